#include "bb_platform_io.h"

#include <glib.h>
#include <string.h>
#include <utlist.h>

#include "bb_counters.h"
#include "bb_error.h"

#define DEFAULT_TIMEOUT_MS 2000L

typedef struct request {
    bb_platform_t *platform;
    gboolean is_write;
    bb_platform_cb_t done; /* exactly one of done and object_done is set */
    bb_platform_object_cb_t object_done;
    void *arg;
    struct request *prev;
    struct request *next;
} request_t;

struct bb_platform {
    bb_curl_t *curl;
    char *url;
    long timeout_ms;
    request_t *requests;
    int64_t request_count;
    int64_t byte_count;
};

/* ---- responses ---- */

static int
classify_failure(const request_t *request, const bb_curl_result_t *result)
{
    if (request->is_write && result->is_sent) {
        return BB_ERR_UNKNOWN;
    }
    return BB_ERR_UNAVAILABLE;
}

static int
classify_response(const request_t *request, const bb_curl_result_t *result)
{
    if (result->error != 0) {
        return classify_failure(request, result);
    }
    switch (result->status) {
    case 200:
    case 201:
        return 0;
    case 404:
        return BB_ERR_NOT_FOUND;
    case 409:
        return BB_ERR_CONFLICT;
    case 503: /* nothing was written */
        return BB_ERR_UNAVAILABLE;
    default:
        if (result->status >= 400 && result->status < 500) {
            BbCounters_Add(BB_COUNTER_PLATFORM_REJECTED, 1);
            return BB_ERR_UNAVAILABLE;
        }
        return classify_failure(request, result);
    }
}

static void
count_error(int error)
{
    if (error == BB_ERR_CONFLICT) {
        BbCounters_Add(BB_COUNTER_PLATFORM_CONFLICTS, 1);
    }
    else if (error == BB_ERR_UNAVAILABLE) {
        BbCounters_Add(BB_COUNTER_PLATFORM_UNAVAILABLE, 1);
    }
    else if (error == BB_ERR_UNKNOWN) {
        BbCounters_Add(BB_COUNTER_PLATFORM_UNKNOWN, 1);
    }
}

static void
finish_json(request_t *request, int error, const bb_curl_result_t *result)
{
    json_t *response = NULL;

    if (error == 0 || error == BB_ERR_CONFLICT) {
        response = json_loadb(result->body, result->body_size, 0, NULL);
        if (!json_is_object(response) && error == 0) {
            error = classify_failure(request, result);
        }
    }
    count_error(error);
    gboolean has_response = error == 0 || error == BB_ERR_CONFLICT;
    request->done(error, has_response ? response : NULL, request->arg);
    json_decref(response);
}

static void
finish_object(request_t *request, int error, const bb_curl_result_t *result)
{
    gboolean has_content = error == 0 && !request->is_write;

    count_error(error);
    request->object_done(error, has_content ? result->body : NULL,
                         has_content ? result->body_size : 0, request->arg);
}

static void
handle_result(const bb_curl_result_t *result, void *arg)
{
    request_t *request = arg;
    bb_platform_t *platform = request->platform;
    int error = classify_response(request, result);

    platform->byte_count += result->bytes;
    DL_DELETE(platform->requests, request);
    if (request->done != NULL) {
        finish_json(request, error, result);
    }
    else {
        finish_object(request, error, result);
    }
    g_free(request);
}

/* ---- requests ---- */

/* Takes ownership of path. request_template holds the fields that the caller
 * sets; it is copied. body may be NULL. */
static void
send_request(bb_platform_t *platform, const char *method, char *path,
             const char *body, size_t size, const request_t *request_template)
{
    request_t *request =
        g_memdup2(request_template, sizeof(*request_template));
    char *url = g_strconcat(platform->url, path, NULL);
    bb_curl_request_t options = {
        .method = method,
        .url = url,
        .body = body,
        .body_size = size,
        .timeout_ms = platform->timeout_ms,
        .needs_new_connection = request_template->is_write,
        .done = handle_result,
        .arg = request,
    };

    request->platform = platform;
    platform->request_count++;
    BbCounters_Add(request_template->is_write ? BB_COUNTER_PLATFORM_WRITES
                                              : BB_COUNTER_PLATFORM_READS,
                   1);
    DL_APPEND(platform->requests, request);
    if (BbCurl_Request(platform->curl, &options) != 0) {
        /* libcurl could not start the request, so nothing was sent. */
        bb_curl_result_t result = {.error = BB_ERR_UNAVAILABLE};
        handle_result(&result, request);
    }
    g_free(url);
    g_free(path);
}

/* Returns prefix + name, or prefix + name + "/" + key if key is not NULL, with
 * name and key escaped except for '/'. */
static char *
escape_path(const char *prefix, const char *name, const char *key)
{
    char *name_text = g_uri_escape_string(name, "/", FALSE);
    char *key_text = key ? g_uri_escape_string(key, "/", FALSE) : NULL;
    char *path =
        g_strconcat(prefix, name_text, key ? "/" : NULL, key_text, NULL);
    g_free(name_text);
    g_free(key_text);
    return path;
}

bb_platform_t *
BbPlatform_New(const bb_platform_options_t *options)
{
    bb_platform_t *platform = g_new0(bb_platform_t, 1);
    platform->curl = options->curl;
    platform->url = g_strdup(options->url);
    platform->timeout_ms =
        options->timeout_ms > 0 ? options->timeout_ms : DEFAULT_TIMEOUT_MS;
    return platform;
}

const char *
BbPlatform_Url(const bb_platform_t *platform)
{
    return platform->url;
}

void
BbPlatform_Free(bb_platform_t *platform)
{
    request_t *request, *next;

    if (platform == NULL) {
        return;
    }
    DL_FOREACH_SAFE (platform->requests, request, next) {
        g_free(request);
    }
    g_free(platform->url);
    g_free(platform);
}

void
BbPlatform_GetRow(bb_platform_t *platform, const char *table, const char *key,
                  bb_platform_cb_t done, void *arg)
{
    request_t request_template = {.done = done, .arg = arg};

    send_request(platform, "GET", escape_path("/v1/rows/", table, key), NULL,
                 0, &request_template);
}

void
BbPlatform_ListRows(bb_platform_t *platform, const char *table,
                    const char *prefix, bb_platform_cb_t done, void *arg)
{
    request_t request_template = {.done = done, .arg = arg};
    char *path = escape_path("/v1/rows/", table, NULL);

    if (prefix != NULL) {
        char *value = g_uri_escape_string(prefix, "/", FALSE);
        char *query = g_strconcat(path, "?prefix=", value, NULL);
        g_free(value);
        g_free(path);
        path = query;
    }
    send_request(platform, "GET", path, NULL, 0, &request_template);
}

void
BbPlatform_Commit(bb_platform_t *platform, json_t *transaction,
                  bb_platform_cb_t done, void *arg)
{
    request_t request_template = {.is_write = TRUE, .done = done, .arg = arg};
    char *text = json_dumps(transaction, JSON_COMPACT);

    send_request(platform, "POST", g_strdup("/v1/transaction"), text,
                 strlen(text), &request_template);
    free(text);
}

void
BbPlatform_PutObject(bb_platform_t *platform, const char *key,
                     const char *content, size_t size,
                     bb_platform_object_cb_t done, void *arg)
{
    request_t request_template = {
        .is_write = TRUE, .object_done = done, .arg = arg};

    send_request(platform, "PUT", escape_path("/v1/objects/", key, NULL),
                 content, size, &request_template);
}

void
BbPlatform_GetObject(bb_platform_t *platform, const char *key,
                     bb_platform_object_cb_t done, void *arg)
{
    request_t request_template = {.object_done = done, .arg = arg};

    send_request(platform, "GET", escape_path("/v1/objects/", key, NULL), NULL,
                 0, &request_template);
}

int64_t
BbPlatform_RequestCount(const bb_platform_t *platform)
{
    return platform->request_count;
}

int64_t
BbPlatform_ByteCount(const bb_platform_t *platform)
{
    return platform->byte_count;
}
