#include "io.h"

#include <string.h>

#include "bb_error.h"

#define MAX_PUT_ATTEMPTS 3
#define RETRY_DELAY_MS 200

/* Result of one request. The callback stores it and stops the event loop. */
typedef struct {
    struct ev_loop *loop;
    int error;
    json_t *response;
    char *content;
    size_t size;
} blocking_request_t;

static void
end_row_request(int error, json_t *response, void *arg)
{
    blocking_request_t *wait = arg;

    wait->error = error;
    wait->response = json_incref(response);
    ev_break(wait->loop, EVBREAK_ALL);
}

static void
end_object_request(int error, const char *content, size_t size, void *arg)
{
    blocking_request_t *wait = arg;

    wait->error = error;
    if (content != NULL) {
        wait->content = g_malloc(size + 1);
        memcpy(wait->content, content, size);
        wait->content[size] = '\0';
        wait->size = size;
    }
    ev_break(wait->loop, EVBREAK_ALL);
}

int
Io_GetRow(bbctl_t *ctl, const char *table, const char *key, json_t **response)
{
    blocking_request_t wait = {.loop = ctl->loop};

    BbPlatform_GetRow(ctl->platform, table, key, end_row_request, &wait);
    ev_run(ctl->loop, 0);
    *response = wait.response;
    return wait.error;
}

int
Io_ListRows(bbctl_t *ctl, const char *table, const char *prefix,
            json_t **response)
{
    blocking_request_t wait = {.loop = ctl->loop};

    BbPlatform_ListRows(ctl->platform, table, prefix, end_row_request, &wait);
    ev_run(ctl->loop, 0);
    *response = wait.response;
    return wait.error;
}

int
Io_Commit(bbctl_t *ctl, json_t *transaction, json_t **response)
{
    blocking_request_t wait = {.loop = ctl->loop};

    BbPlatform_Commit(ctl->platform, transaction, end_row_request, &wait);
    ev_run(ctl->loop, 0);
    *response = wait.response;
    return wait.error;
}

int
Io_PutObject(bbctl_t *ctl, const char *key, const char *content, size_t size)
{
    blocking_request_t wait = {.loop = ctl->loop};

    for (int i = 0; i < MAX_PUT_ATTEMPTS; i++) {
        BbPlatform_PutObject(ctl->platform, key, content, size,
                             end_object_request, &wait);
        ev_run(ctl->loop, 0);
        if (wait.error != BB_ERR_UNKNOWN) {
            break;
        }
        Io_Sleep(ctl, RETRY_DELAY_MS);
    }
    return wait.error;
}

int
Io_GetObject(bbctl_t *ctl, const char *key, char **content, size_t *size)
{
    blocking_request_t wait = {.loop = ctl->loop};

    BbPlatform_GetObject(ctl->platform, key, end_object_request, &wait);
    ev_run(ctl->loop, 0);
    *content = wait.content;
    *size = wait.size;
    return wait.error;
}

/* ---- nodes ---- */

typedef struct {
    bbctl_t *ctl;
    size_t *pending;
    json_t **response;
} node_request_t;

static void
end_node_request(const bb_curl_result_t *result, void *arg)
{
    node_request_t *request = arg;

    if (result->error == 0) {
        *request->response =
            json_loadb(result->body, result->body_size, JSON_DECODE_ANY, NULL);
    }
    if (--*request->pending == 0) {
        ev_break(request->ctl->loop, EVBREAK_ALL);
    }
}

void
Io_GetFromNodes(bbctl_t *ctl, char **addresses, size_t count, const char *path,
                json_t **responses)
{
    node_request_t *requests = g_new0(node_request_t, count);
    size_t pending = 0;

    for (size_t i = 0; i < count; i++) {
        char *url = g_strdup_printf("http://%s%s", addresses[i], path);
        requests[i] = (node_request_t){ctl, &pending, &responses[i]};
        bb_curl_request_t options = {
            .method = "GET",
            .url = url,
            .timeout_ms = ctl->timeout_ms,
            .done = end_node_request,
            .arg = &requests[i],
        };
        responses[i] = NULL;
        if (BbCurl_Request(ctl->curl, &options) == 0) {
            pending++;
        }
        g_free(url);
    }
    if (pending > 0) {
        ev_run(ctl->loop, 0);
    }
    g_free(requests);
}

static void
end_sleep(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)timer;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

void
Io_Sleep(bbctl_t *ctl, int64_t ms)
{
    ev_timer timer;

    ev_timer_init(&timer, end_sleep, (double)ms / 1000.0, 0.0);
    ev_now_update(ctl->loop);
    ev_timer_start(ctl->loop, &timer);
    ev_run(ctl->loop, 0);
}

bb_row_t
Io_ExtractRow(json_t *response)
{
    return (bb_row_t){
        json_object_get(response, "value"),
        json_integer_value(json_object_get(response, "revision")),
    };
}
