#include "admin.h"

#include <glib.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "bb_counters.h"
#include "bb_error.h"
#include "bb_http_io.h"

#define MAX_ANNOUNCEMENT_BYTES 4096

struct admin {
    bb_http_t *http;
    node_t *node;
};

static void
reply_text(bb_http_request_t *request, unsigned int status, const char *text)
{
    BbHttp_Reply(request, status, "text/plain", text, strlen(text));
}

/* Steals the reference. */
static void
reply_json(bb_http_request_t *request, json_t *response)
{
    char *text = json_dumps(response, JSON_COMPACT | JSON_SORT_KEYS);

    BbHttp_Reply(request, MHD_HTTP_OK, "application/json", text, strlen(text));
    free(text);
    json_decref(response);
}

static void
handle_announce(admin_t *admin, bb_http_request_t *request)
{
    size_t size;
    const char *body = BbHttp_Body(request, &size);
    const char *field = NULL;
    int error = Node_Announce(admin->node, body, size, &field);

    if (error == 0) {
        BbHttp_Reply(request, MHD_HTTP_NO_CONTENT, "text/plain", "", 0);
        return;
    }
    char *text = error == BB_ERR_PARSE
                     ? g_strdup("the announcement is not a JSON object\n")
                     : g_strdup_printf("announcement: wrong field %s\n",
                                       field != NULL ? field : "");
    reply_text(request, MHD_HTTP_BAD_REQUEST, text);
    g_free(text);
}

static void
handle_metrics(admin_t *admin, bb_http_request_t *request)
{
    (void)admin;
    char *text = BbCounters_FormatPrometheus();

    BbHttp_Reply(request, MHD_HTTP_OK, "text/plain; version=0.0.4", text,
                 strlen(text));
    g_free(text);
}

static void
handle_status(admin_t *admin, bb_http_request_t *request)
{
    reply_json(request, Node_StatusJson(admin->node));
}

static void
handle_explain(admin_t *admin, bb_http_request_t *request)
{
    node_explain_t query = {
        .kind = BbHttp_Query(request, "kind"),
        .name = BbHttp_Query(request, "name"),
        .host = BbHttp_Query(request, "host"),
        .path = BbHttp_Query(request, "path"),
        .method = BbHttp_Query(request, "method"),
    };
    json_t *response = Node_ExplainJson(admin->node, &query);

    if (response == NULL) {
        reply_text(request, MHD_HTTP_BAD_REQUEST,
                   "kind must be call, route, node or version\n");
        return;
    }
    reply_json(request, response);
}

static void
handle_health(admin_t *admin, bb_http_request_t *request)
{
    if (Node_IsReady(admin->node)) {
        reply_text(request, MHD_HTTP_OK, "ready\n");
    }
    else {
        reply_text(request, MHD_HTTP_SERVICE_UNAVAILABLE, "not ready\n");
    }
}

typedef struct {
    const char *method;
    const char *path;
    void (*handle)(admin_t *admin, bb_http_request_t *request);
} endpoint_t;

static const endpoint_t endpoints[] = {
    {"POST", "/v1/announce", handle_announce},
    {"GET", "/status", handle_status},
    {"GET", "/metrics", handle_metrics},
    {"GET", "/explain", handle_explain},
    {"GET", "/healthz", handle_health},
};

static void
handle_request(bb_http_request_t *request, void *arg)
{
    for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++) {
        if (strcmp(BbHttp_Path(request), endpoints[i].path) != 0) {
            continue;
        }
        if (strcmp(BbHttp_Method(request), endpoints[i].method) != 0) {
            reply_text(request, MHD_HTTP_METHOD_NOT_ALLOWED,
                       "method not allowed\n");
            return;
        }
        endpoints[i].handle(arg, request);
        return;
    }
    reply_text(request, MHD_HTTP_NOT_FOUND, "no such endpoint\n");
}

int
Admin_New(struct ev_loop *loop, const char *address, node_t *node,
          admin_t **out)
{
    admin_t *admin = g_new0(admin_t, 1);
    bb_http_options_t options = {
        .loop = loop,
        .address = address,
        .handler = handle_request,
        .arg = admin,
        .max_body_bytes = MAX_ANNOUNCEMENT_BYTES,
    };
    admin->node = node;
    int error = BbHttp_Start(&admin->http, &options);
    if (error != 0) {
        g_free(admin);
        return error;
    }
    *out = admin;
    return 0;
}

void
Admin_Free(admin_t *admin)
{
    if (admin != NULL) {
        BbHttp_Free(admin->http);
        g_free(admin);
    }
}
