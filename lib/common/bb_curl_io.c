#include "bb_curl_io.h"

#include <glib.h>
#include <string.h>
#include <utlist.h>

#include "bb_error.h"
#include "bb_http_syntax.h"

#define DEFAULT_MAX_RESPONSE_BYTES (8 * 1024 * 1024)

typedef struct transfer {
    CURL *easy;
    curl_socket_t socket;
    bb_curl_done_cb_t done;
    void *arg;
    struct transfer *prev;
    struct transfer *next;
} transfer_t;

/* Watcher of one socket, attached to it with curl_multi_assign(). */
typedef struct watch {
    ev_io io;
    bb_curl_t *curl;
    struct watch *prev;
    struct watch *next;
} watch_t;

struct bb_curl {
    struct ev_loop *loop;
    CURLM *multi;
    ev_timer timer;
    transfer_t *transfers;
    watch_t *watches;
};

/* A buffered request, see BbCurl_Request(). */
typedef struct {
    bb_curl_t *curl;
    struct curl_slist *headers;
    GByteArray *response;
    bool is_in_head; /* for BbHttpSyntax_ClassifyLine() */
    size_t max_response_bytes;
    char *body;
    size_t body_size;
    bb_curl_result_cb_t done;
    void *arg;
} request_t;

static void
free_request(CURL *easy, request_t *request)
{
    g_byte_array_free(request->response, TRUE);
    curl_slist_free_all(request->headers);
    g_free(request->body);
    g_free(request);
    curl_easy_cleanup(easy);
}

static void finish_request(CURL *easy, CURLcode code, void *arg);

/* ---- loop integration ---- */

static void
finish_transfers(bb_curl_t *curl)
{
    CURLMsg *message;
    int pending;

    while ((message = curl_multi_info_read(curl->multi, &pending)) != NULL) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        CURL *easy = message->easy_handle;
        CURLcode result = message->data.result;
        transfer_t *transfer = NULL;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
        curl_multi_remove_handle(curl->multi, easy);
        DL_DELETE(curl->transfers, transfer);
        transfer->done(easy, result, transfer->arg);
        g_free(transfer);
    }
}

static void
handle_socket_event(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    watch_t *watch = io->data;
    bb_curl_t *curl = watch->curl;
    int mask = ((events & EV_READ) ? CURL_CSELECT_IN : 0) |
               ((events & EV_WRITE) ? CURL_CSELECT_OUT : 0);
    int running;

    curl_multi_socket_action(curl->multi, io->fd, mask, &running);
    finish_transfers(curl);
}

static void
handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    bb_curl_t *curl = timer->data;
    int running;

    curl_multi_socket_action(curl->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    finish_transfers(curl);
}

static void
store_socket(CURL *easy, curl_socket_t socket)
{
    transfer_t *transfer = NULL;

    curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
    if (transfer != NULL) {
        transfer->socket = socket;
    }
}

static int
watch_socket(CURL *easy, curl_socket_t socket, int what, void *arg,
             void *socket_arg)
{
    bb_curl_t *curl = arg;
    watch_t *watch = socket_arg;

    if (what == CURL_POLL_REMOVE) {
        if (watch != NULL) {
            ev_io_stop(curl->loop, &watch->io);
            DL_DELETE(curl->watches, watch);
            g_free(watch);
            curl_multi_assign(curl->multi, socket, NULL);
        }
        return 0;
    }
    store_socket(easy, socket);
    int events = ((what & CURL_POLL_IN) ? EV_READ : 0) |
                 ((what & CURL_POLL_OUT) ? EV_WRITE : 0);
    if (watch == NULL) {
        watch = g_new0(watch_t, 1);
        watch->curl = curl;
        ev_init(&watch->io, handle_socket_event);
        watch->io.data = watch;
        DL_APPEND(curl->watches, watch);
        curl_multi_assign(curl->multi, socket, watch);
    }
    else {
        ev_io_stop(curl->loop, &watch->io);
    }
    ev_io_set(&watch->io, socket, events);
    ev_io_start(curl->loop, &watch->io);
    return 0;
}

static int
set_timer(CURLM *multi, long timeout_ms, void *arg)
{
    (void)multi;
    bb_curl_t *curl = arg;

    ev_timer_stop(curl->loop, &curl->timer);
    if (timeout_ms >= 0) {
        /* libev counts timeouts from the time at which the loop iteration
         * began. */
        ev_now_update(curl->loop);
        ev_timer_set(&curl->timer, (double)timeout_ms / 1000.0, 0.0);
        ev_timer_start(curl->loop, &curl->timer);
    }
    return 0;
}

bb_curl_t *
BbCurl_New(const bb_curl_options_t *options)
{
    bb_curl_t *curl = g_new0(bb_curl_t, 1);
    curl->loop = options->loop;
    curl->multi = curl_multi_init();
    ev_init(&curl->timer, handle_timer);
    curl->timer.data = curl;
    curl_multi_setopt(curl->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
    curl_multi_setopt(curl->multi, CURLMOPT_SOCKETDATA, curl);
    curl_multi_setopt(curl->multi, CURLMOPT_TIMERFUNCTION, set_timer);
    curl_multi_setopt(curl->multi, CURLMOPT_TIMERDATA, curl);
    curl_multi_setopt(curl->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    if (options->max_idle_connections > 0) {
        curl_multi_setopt(curl->multi, CURLMOPT_MAXCONNECTS,
                          (long)options->max_idle_connections);
    }
    return curl;
}

void
BbCurl_Free(bb_curl_t *curl)
{
    transfer_t *transfer, *next_transfer;
    watch_t *watch, *next_watch;

    if (curl == NULL) {
        return;
    }
    DL_FOREACH_SAFE (curl->transfers, transfer, next_transfer) {
        curl_multi_remove_handle(curl->multi, transfer->easy);
        if (transfer->done == finish_request) {
            free_request(transfer->easy, transfer->arg);
        }
        g_free(transfer);
    }
    curl_multi_cleanup(curl->multi);
    ev_timer_stop(curl->loop, &curl->timer);
    DL_FOREACH_SAFE (curl->watches, watch, next_watch) {
        ev_io_stop(curl->loop, &watch->io);
        g_free(watch);
    }
    g_free(curl);
}

int
BbCurl_Start(bb_curl_t *curl, CURL *easy, bb_curl_done_cb_t done, void *arg)
{
    transfer_t *transfer = g_new0(transfer_t, 1);
    transfer->easy = easy;
    transfer->socket = CURL_SOCKET_BAD;
    transfer->done = done;
    transfer->arg = arg;
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    if (curl_multi_add_handle(curl->multi, easy) != CURLM_OK) {
        g_free(transfer);
        return BB_ERR_IO;
    }
    DL_APPEND(curl->transfers, transfer);
    return 0;
}

curl_socket_t
BbCurl_GetSocket(CURL *easy)
{
    transfer_t *transfer = NULL;

    curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
    return transfer != NULL ? transfer->socket : CURL_SOCKET_BAD;
}

void
BbCurl_Cancel(bb_curl_t *curl, CURL *easy)
{
    transfer_t *transfer = NULL;

    curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
    curl_multi_remove_handle(curl->multi, easy);
    if (transfer != NULL) {
        curl_easy_setopt(easy, CURLOPT_PRIVATE, NULL);
        DL_DELETE(curl->transfers, transfer);
        g_free(transfer);
    }
}

/* ---- buffered requests ---- */

/* Returns the length of the line, or 0 to fail the request. */
static size_t
check_header(char *line, size_t size, size_t count, void *arg)
{
    request_t *request = arg;
    size_t length = size * count;
    bb_head_line_t kind =
        BbHttpSyntax_ClassifyLine(line, length, &request->is_in_head);

    return kind != BB_HEAD_LINE_INVALID ? length : 0;
}

static size_t
collect_response(char *data, size_t size, size_t count, void *arg)
{
    request_t *request = arg;
    size_t bytes = size * count;

    if (request->response->len + bytes > request->max_response_bytes) {
        return 0;
    }
    g_byte_array_append(request->response, (const guint8 *)data, (guint)bytes);
    return bytes;
}

static int64_t
count_bytes(CURL *easy)
{
    long head_in = 0, head_out = 0;
    curl_off_t body_in = 0, body_out = 0;

    curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &head_in);
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &head_out);
    curl_easy_getinfo(easy, CURLINFO_SIZE_DOWNLOAD_T, &body_in);
    curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &body_out);
    return (int64_t)head_in + head_out + body_in + body_out;
}

static void
finish_request(CURL *easy, CURLcode code, void *arg)
{
    request_t *request = arg;
    bb_curl_result_t result = {0};

    if (code == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &result.status);
        result.error =
            BbHttpSyntax_IsStatus(result.status) ? 0 : BB_ERR_UNAVAILABLE;
    }
    else if (code == CURLE_OPERATION_TIMEDOUT) {
        result.error = BB_ERR_TIMEOUT;
    }
    else {
        result.error = BB_ERR_UNAVAILABLE;
    }
    long request_size = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_size);
    result.is_sent = request_size > 0;
    result.bytes = count_bytes(easy);
    result.body_size = request->response->len;
    g_byte_array_append(request->response, (const guint8 *)"", 1);
    result.body = (const char *)request->response->data;
    request->done(&result, request->arg);
    free_request(easy, request);
}

int
BbCurl_Request(bb_curl_t *curl, const bb_curl_request_t *options)
{
    CURL *easy = curl_easy_init();
    if (easy == NULL) {
        return BB_ERR_MEMORY;
    }
    request_t *request = g_new0(request_t, 1);
    request->curl = curl;
    request->done = options->done;
    request->arg = options->arg;
    request->response = g_byte_array_new();
    request->max_response_bytes = options->max_response_bytes > 0
                                      ? options->max_response_bytes
                                      : DEFAULT_MAX_RESPONSE_BYTES;
    /* Without this libcurl waits up to 1 s for "100 Continue". */
    request->headers = curl_slist_append(NULL, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, options->url);
    /* Row keys may contain dot segments, which libcurl would remove. */
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, options->method);
    if (options->needs_new_connection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, request->headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, options->timeout_ms);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collect_response);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, request);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, check_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, request);
    if (options->body != NULL) {
        request->body = g_memdup2(options->body, options->body_size);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)options->body_size);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
    }
    int error = BbCurl_Start(curl, easy, finish_request, request);
    if (error != 0) {
        free_request(easy, request);
    }
    return error;
}
