#include "bb_upstream_io.h"

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#include "bb_headers.h"
#include "bb_http_syntax.h"

#define CONNECT_TIMEOUT_MS 1000L
/* Shorter than CONNECTION_TIMEOUT_S of bb_proxy_io, so that this side discards
 * an idle connection before the other node closes it. */
#define MAX_IDLE_S 20L
#define KEEPALIVE_IDLE_S 5L
#define KEEPALIVE_INTERVAL_S 2L
#define TRANSFER_BUFFER_BYTES (64L * 1024)
/* A longer response head fails the request. The response head shares the
 * memory of a libmicrohttpd connection with the request head. */
#define MAX_RESPONSE_HEAD_BYTES (12 * 1024)
/* One hour, so that the deadline of the call, not libcurl, ends the wait for
 * "100 Continue". */
#define EXPECT_TIMEOUT_MS (3600L * 1000)

struct bb_upstream_pool {
    bb_curl_t *curl;
    int active;
};

struct bb_upstream {
    bb_upstream_pool_t *pool;
    CURL *easy;
    struct curl_slist *headers;
    const bb_upstream_events_t *events;
    void *arg;
    int64_t content_length; /* Content-Length of the response or -1 */
    size_t head_bytes;
    bool is_in_head; /* for BbHttpSyntax_ClassifyLine() */
    bool is_head_done;
    bool is_read_paused;
    bool is_write_paused;
};

/* ---- libcurl callbacks ---- */

static size_t
read_body(char *data, size_t size, size_t count, void *arg)
{
    bb_upstream_t *upstream = arg;
    bool is_end = false;
    size_t bytes = upstream->events->read_body(upstream->arg, data,
                                               size * count, &is_end);

    if (bytes == 0 && !is_end) {
        upstream->is_read_paused = true;
        return CURL_READFUNC_PAUSE;
    }
    return bytes;
}

static size_t
write_body(char *data, size_t size, size_t count, void *arg)
{
    bb_upstream_t *upstream = arg;

    if (!upstream->events->write_body(upstream->arg, data, size * count)) {
        upstream->is_write_paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    return size * count;
}

/* Returns false for a head with an invalid status. */
static bool
finish_head(bb_upstream_t *upstream)
{
    long status = 0;

    curl_easy_getinfo(upstream->easy, CURLINFO_RESPONSE_CODE, &status);
    if (!BbHttpSyntax_IsStatus(status)) {
        return false;
    }
    /* Interim responses (1xx) are followed by the final head. */
    if (status >= 200 && !upstream->is_head_done) {
        upstream->is_head_done = true;
        upstream->events->head(upstream->arg, (unsigned int)status,
                               upstream->content_length);
    }
    return true;
}

static void
parse_header(bb_upstream_t *upstream, char *line, size_t length)
{
    long status = 0;
    char *colon = memchr(line, ':', length);

    curl_easy_getinfo(upstream->easy, CURLINFO_RESPONSE_CODE, &status);
    if (status < 200) {
        return;
    }
    char *name = g_strndup(line, (gsize)(colon - line));
    char *value =
        g_strstrip(g_strndup(colon + 1, (gsize)(line + length - colon - 1)));
    if (g_ascii_strcasecmp(name, "Content-Length") == 0 &&
        !BbHeaders_ParseNumber(value, 0, INT64_MAX,
                               &upstream->content_length)) {
        upstream->content_length = -1;
    }
    upstream->events->header(upstream->arg, name, value);
    g_free(name);
    g_free(value);
}

/* Returns the length of the line, or 0 to fail the request. */
static size_t
read_header(char *line, size_t size, size_t count, void *arg)
{
    bb_upstream_t *upstream = arg;
    size_t length = size * count;

    bb_head_line_t kind =
        BbHttpSyntax_ClassifyLine(line, length, &upstream->is_in_head);
    if (kind == BB_HEAD_LINE_INVALID) {
        return 0;
    }
    /* Field lines after the head are trailers, which are dropped. */
    if (kind == BB_HEAD_LINE_STATUS || upstream->is_head_done) {
        return length;
    }
    upstream->head_bytes += length;
    if (upstream->head_bytes > MAX_RESPONSE_HEAD_BYTES) {
        return 0;
    }
    if (kind == BB_HEAD_LINE_END) {
        return finish_head(upstream) ? length : 0;
    }
    parse_header(upstream, line, length);
    return length;
}

/* ---- handles ---- */

bb_upstream_pool_t *
BbUpstream_NewPool(bb_curl_t *curl)
{
    bb_upstream_pool_t *pool = g_new0(bb_upstream_pool_t, 1);
    pool->curl = curl;
    return pool;
}

void
BbUpstream_FreePool(bb_upstream_pool_t *pool)
{
    if (pool == NULL) {
        return;
    }
    assert(pool->active == 0);
    g_free(pool);
}

/* Frees the object and its handle. libcurl 7.88.1 keeps a pointer to the last
 * field that a handle has read, also when curl_easy_reset() has freed it, and
 * appends a line that begins with a blank to it. So no handle is used again;
 * the connections belong to the multi handle. */
static void
release(bb_upstream_t *upstream)
{
    curl_easy_cleanup(upstream->easy);
    curl_slist_free_all(upstream->headers);
    upstream->pool->active--;
    g_free(upstream);
}

static bool
was_sent(CURL *easy)
{
    long bytes = 0;

    /* Stays above 0 when libcurl sends the request again, so it also reports a
     * first copy that was sent when the second connection fails. */
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &bytes);
    return bytes > 0;
}

static void
finish(CURL *easy, CURLcode code, void *arg)
{
    bb_upstream_t *upstream = arg;

    if (code == CURLE_OK && !upstream->is_head_done) {
        code = CURLE_GOT_NOTHING;
    }
    upstream->events->done(upstream->arg, code, was_sent(easy));
    release(upstream);
}

/* ---- requests ---- */

static void
set_connection_options(CURL *easy, bool use_new_connection)
{
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, MAX_IDLE_S);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, TRANSFER_BUFFER_BYTES);
    curl_easy_setopt(easy, CURLOPT_EXPECT_100_TIMEOUT_MS, EXPECT_TIMEOUT_MS);
    if (use_new_connection) {
        /* The connection is closed after use. Kept ones would accumulate and
         * exceed the pool's limit of connections to the target. */
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
}

static void
set_method(CURL *easy, const char *method, int64_t body_bytes)
{
    if (strcmp(method, "HEAD") == 0) {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (body_bytes != BB_BODY_NONE) {
        curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
        curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
                         (curl_off_t)body_bytes);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
}

static void
set_callbacks(bb_upstream_t *upstream)
{
    CURL *easy = upstream->easy;

    curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_body);
    curl_easy_setopt(easy, CURLOPT_READDATA, upstream);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, write_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, upstream);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, read_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, upstream);
}

bb_upstream_t *
BbUpstream_Start(bb_upstream_pool_t *pool,
                 const bb_upstream_options_t *options)
{
    CURL *easy = curl_easy_init();
    if (easy == NULL) {
        curl_slist_free_all(options->headers);
        return NULL;
    }
    bb_upstream_t *upstream = g_new0(bb_upstream_t, 1);
    upstream->pool = pool;
    upstream->easy = easy;
    upstream->events = options->events;
    upstream->arg = options->arg;
    upstream->content_length = -1;
    upstream->headers = curl_slist_append(
        options->headers,
        options->expect_continue ? "Expect: 100-continue" : "Expect:");
    pool->active++;

    char url[64];
    g_snprintf(url, sizeof(url), "http://%s/", options->address);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    /* Sent as received, without libcurl's normalisation. */
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, options->target);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, upstream->headers);
    set_connection_options(easy, options->use_new_connection);
    set_method(easy, options->method, options->body_bytes);
    set_callbacks(upstream);
    if (BbCurl_Start(pool->curl, easy, finish, upstream) != 0) {
        release(upstream);
        return NULL;
    }
    return upstream;
}

void
BbUpstream_ResumeRead(bb_upstream_t *upstream)
{
    if (upstream->is_read_paused) {
        upstream->is_read_paused = false;
        curl_easy_pause(upstream->easy, upstream->is_write_paused
                                            ? CURLPAUSE_RECV
                                            : CURLPAUSE_CONT);
    }
}

void
BbUpstream_ResumeWrite(bb_upstream_t *upstream)
{
    if (upstream->is_write_paused) {
        upstream->is_write_paused = false;
        curl_easy_pause(upstream->easy, upstream->is_read_paused
                                            ? CURLPAUSE_SEND
                                            : CURLPAUSE_CONT);
    }
}

bool
BbUpstream_IsReadPaused(const bb_upstream_t *upstream)
{
    return upstream->is_read_paused;
}

bool
BbUpstream_IsWritePaused(const bb_upstream_t *upstream)
{
    return upstream->is_write_paused;
}

bool
BbUpstream_IsClosedByPeer(const bb_upstream_t *upstream)
{
    curl_socket_t fd = BbCurl_GetSocket(upstream->easy);
    char byte;

    if (!upstream->is_read_paused || fd == CURL_SOCKET_BAD) {
        return false;
    }
    ssize_t count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

bool
BbUpstream_WasSent(const bb_upstream_t *upstream)
{
    return was_sent(upstream->easy);
}

void
BbUpstream_Cancel(bb_upstream_t *upstream)
{
    BbCurl_Cancel(upstream->pool->curl, upstream->easy);
    release(upstream);
}
