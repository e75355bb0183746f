#include "server.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>
#include <utlist.h>

#include "bb_error.h"
#include "bb_http_io.h"
#include "bb_log.h"
#include "bb_store.h"
#include "fault.h"

#define EXPIRE_INTERVAL_S 10.0

/* Limit of requests that FAULT_SILENT leaves unanswered with their connections
 * open. Beyond it the oldest of them is closed, so that requests to the
 * control paths still get a connection. */
#define MAX_SILENT 500

typedef struct {
    unsigned int status;
    char *body; /* owned */
    size_t size;
    const char *content_type;
} response_t;

/* A request that is not answered yet: delayed, with its timer running, or left
 * unanswered by FAULT_SILENT. */
typedef struct pending_request {
    server_t *server;
    bb_http_request_t *request;
    response_t response;
    ev_timer timer;
    struct pending_request *prev;
    struct pending_request *next;
} pending_request_t;

struct server {
    struct ev_loop *loop;
    bb_http_t *http;
    bb_store_t *store;
    ev_timer expire_timer;
    int64_t clock_offset_ms;
    fault_t fault;
    pending_request_t *delayed;
    pending_request_t *silent;
    int silent_count;
    int64_t reads;
    int64_t writes;
    int64_t conflicts;
    int64_t faults;
    int64_t bytes;
};

static int64_t
now_ms(const server_t *server)
{
    return g_get_real_time() / 1000 + server->clock_offset_ms;
}

/* ---- responses ---- */

/* Takes over the reference to object; NULL gives an empty body. */
static response_t
make_json_response(unsigned int status, json_t *object)
{
    response_t response = {.status = status,
                           .content_type = "application/json"};

    if (object != NULL) {
        response.body = json_dumps(object, JSON_COMPACT | JSON_SORT_KEYS);
        response.size = strlen(response.body);
        json_decref(object);
    }
    return response;
}

static response_t
make_error_response(unsigned int status, const char *reason)
{
    return make_json_response(status, json_pack("{s:s}", "error", reason));
}

static void
send_response(server_t *server, bb_http_request_t *request,
              response_t *response)
{
    server->bytes += (int64_t)response->size;
    BbHttp_Reply(request, response->status, response->content_type,
                 response->body != NULL ? response->body : "", response->size);
    free(response->body);
}

/* ---- protocol ---- */

static response_t
read_rows(server_t *server, bb_http_request_t *request, const char *path)
{
    const char *slash = strchr(path, '/');

    if (slash == NULL) {
        return make_json_response(
            200,
            BbStore_ListRows(server->store, path,
                             BbHttp_Query(request, "prefix"), now_ms(server)));
    }
    char *table = g_strndup(path, (gsize)(slash - path));
    json_t *row =
        BbStore_GetRow(server->store, table, slash + 1, now_ms(server));
    g_free(table);
    return row != NULL ? make_json_response(200, row)
                       : make_error_response(404, "no such row");
}

static response_t
read_object(server_t *server, const char *key)
{
    size_t size;
    const char *content = BbStore_GetObject(server->store, key, &size);

    if (content == NULL) {
        return make_error_response(404, "no such object");
    }
    response_t response = {
        .status = 200,
        .body = malloc(size + 1),
        .size = size,
        .content_type = "application/octet-stream",
    };
    memcpy(response.body, content, size);
    return response;
}

static response_t
write_object(server_t *server, const char *key, const char *body, size_t size)
{
    int result = BbStore_PutObject(server->store, key, body, size);

    if (result == BB_ERR_CONFLICT) {
        server->conflicts++;
        return make_error_response(409, "object exists with other content");
    }
    return make_json_response(result == 1 ? 201 : 200, NULL);
}

static response_t
commit(server_t *server, const char *body, size_t size)
{
    json_t *transaction = json_loadb(body, size, 0, NULL);
    json_t *response = NULL;
    int error =
        BbStore_Commit(server->store, transaction, now_ms(server), &response);

    json_decref(transaction);
    if (error == BB_ERR_ARGUMENT) {
        return make_error_response(400, "malformed transaction");
    }
    if (error == BB_ERR_CONFLICT) {
        server->conflicts++;
        return make_json_response(409, response);
    }
    return make_json_response(200, response);
}

static response_t
serve(server_t *server, bb_http_request_t *request)
{
    const char *method = BbHttp_Method(request);
    const char *path = BbHttp_Path(request);
    size_t size;
    const char *body = BbHttp_Body(request, &size);

    if (strcmp(method, "GET") == 0) {
        if (g_str_has_prefix(path, "/v1/rows/")) {
            return read_rows(server, request, path + strlen("/v1/rows/"));
        }
        if (g_str_has_prefix(path, "/v1/objects/")) {
            return read_object(server, path + strlen("/v1/objects/"));
        }
    }
    if (strcmp(method, "POST") == 0 && strcmp(path, "/v1/transaction") == 0) {
        return commit(server, body, size);
    }
    if (strcmp(method, "PUT") == 0 && g_str_has_prefix(path, "/v1/objects/")) {
        return write_object(server, path + strlen("/v1/objects/"), body, size);
    }
    return make_error_response(400, "no such method and path");
}

/* ---- faults ---- */

static void
send_delayed_response(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    pending_request_t *pending = timer->data;
    server_t *server = pending->server;

    DL_DELETE(server->delayed, pending);
    send_response(server, pending->request, &pending->response);
    g_free(pending);
}

static void
delay_response(server_t *server, bb_http_request_t *request,
               response_t response)
{
    pending_request_t *pending = g_new0(pending_request_t, 1);

    pending->server = server;
    pending->request = request;
    pending->response = response;
    ev_timer_init(&pending->timer, send_delayed_response,
                  (double)server->fault.delay_ms / 1000.0, 0.0);
    pending->timer.data = pending;
    ev_now_update(server->loop);
    ev_timer_start(server->loop, &pending->timer);
    DL_APPEND(server->delayed, pending);
}

static void
leave_unanswered(server_t *server, bb_http_request_t *request)
{
    pending_request_t *pending = g_new0(pending_request_t, 1);

    pending->request = request;
    DL_APPEND(server->silent, pending);
    if (++server->silent_count > MAX_SILENT) {
        pending_request_t *oldest = server->silent;
        DL_DELETE(server->silent, oldest);
        server->silent_count--;
        BbHttp_Drop(oldest->request);
        g_free(oldest);
    }
}

static void
serve_with_fault(server_t *server, bb_http_request_t *request,
                 fault_mode_t mode)
{
    response_t response;

    if (mode == FAULT_SILENT) {
        leave_unanswered(server, request);
        return;
    }
    response = mode == FAULT_OUTAGE ? make_error_response(503, "outage")
                                    : serve(server, request);
    if (mode == FAULT_LOSE_ANSWERS) {
        free(response.body);
        BbHttp_Drop(request);
    }
    else if (mode == FAULT_SLOW) {
        delay_response(server, request, response);
    }
    else {
        send_response(server, request, &response);
    }
}

/* ---- control paths ---- */

static response_t
set_fault(server_t *server, json_t *object)
{
    if (Fault_FromJson(object, &server->fault) != 0) {
        return make_error_response(400, "malformed fault");
    }
    return make_json_response(200, json_object());
}

static response_t
set_clock(server_t *server, json_t *object)
{
    json_int_t offset_ms;

    if (json_unpack(object, "{s:I !}", "offset_ms", &offset_ms) != 0) {
        return make_error_response(400, "malformed clock");
    }
    server->clock_offset_ms = offset_ms;
    return make_json_response(
        200, json_pack("{s:I}", "now_ms", (json_int_t)now_ms(server)));
}

static response_t
format_stats(const server_t *server)
{
    return make_json_response(
        200, json_pack("{s:I, s:I, s:I, s:I, s:I, s:I}", "reads",
                       (json_int_t)server->reads, "writes",
                       (json_int_t)server->writes, "conflicts",
                       (json_int_t)server->conflicts, "faults",
                       (json_int_t)server->faults, "bytes",
                       (json_int_t)server->bytes, "now_ms",
                       (json_int_t)now_ms(server)));
}

/* Returns 0 when the path is not a control path. */
static int
serve_control(server_t *server, bb_http_request_t *request)
{
    const char *path = BbHttp_Path(request);
    gboolean is_post = strcmp(BbHttp_Method(request), "POST") == 0;
    size_t size;
    const char *body = BbHttp_Body(request, &size);
    json_t *object = is_post ? json_loadb(body, size, 0, NULL) : NULL;
    response_t response;

    if (is_post && strcmp(path, "/v1/fault") == 0) {
        response = set_fault(server, object);
    }
    else if (is_post && strcmp(path, "/v1/clock") == 0) {
        response = set_clock(server, object);
    }
    else if (!is_post && strcmp(path, "/v1/stats") == 0) {
        response = format_stats(server);
    }
    else {
        json_decref(object);
        return 0;
    }
    json_decref(object);
    BbHttp_Reply(request, response.status, response.content_type,
                 response.body, response.size);
    free(response.body);
    return 1;
}

static void
handle_request(bb_http_request_t *request, void *arg)
{
    server_t *server = arg;
    size_t size;

    if (serve_control(server, request)) {
        return;
    }
    int is_write = strcmp(BbHttp_Method(request), "GET") != 0;
    BbHttp_Body(request, &size);
    server->bytes += (int64_t)size;
    if (is_write) {
        server->writes++;
    }
    else {
        server->reads++;
    }
    fault_mode_t mode = Fault_NextMode(&server->fault, is_write);
    if (mode != FAULT_NONE) {
        server->faults++;
    }
    serve_with_fault(server, request, mode);
}

static void
expire_rows(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    server_t *server = timer->data;
    BbStore_Expire(server->store, now_ms(server));
}

int
Server_Start(server_t **out, const server_options_t *options)
{
    server_t *server = g_new0(server_t, 1);
    bb_http_options_t http_options = {
        .loop = options->loop,
        .address = options->address,
        .handler = handle_request,
        .arg = server,
    };

    int error = BbHttp_Start(&server->http, &http_options);
    if (error != 0) {
        g_free(server);
        return error;
    }
    server->loop = options->loop;
    server->clock_offset_ms = options->clock_offset_ms;
    server->store = BbStore_New();
    ev_timer_init(&server->expire_timer, expire_rows, EXPIRE_INTERVAL_S,
                  EXPIRE_INTERVAL_S);
    server->expire_timer.data = server;
    ev_timer_start(server->loop, &server->expire_timer);
    *out = server;
    return 0;
}

void
Server_Free(server_t *server)
{
    pending_request_t *pending, *next;

    BbHttp_Free(server->http);
    ev_timer_stop(server->loop, &server->expire_timer);
    DL_FOREACH_SAFE (server->delayed, pending, next) {
        ev_timer_stop(server->loop, &pending->timer);
        free(pending->response.body);
        g_free(pending);
    }
    DL_FOREACH_SAFE (server->silent, pending, next) {
        g_free(pending);
    }
    BbStore_Free(server->store);
    g_free(server);
}
