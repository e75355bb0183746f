#include "bb_h1_client.h"
#include "bb_clock.h"

#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "bb_error.h"

#define READ_BYTES 65536

/* Bytes before the head of the response: interim heads, late responses to
 * earlier requests. */
#define MAX_DROPPED_BYTES (4 * 1024 * 1024)

#define DEFAULT_CONNECT_S 1.0
#define DEFAULT_KEEP_S 10.0
#define DEFAULT_MAX_IDLE 64

/* A connection is closed this long before the server would close it, so that
 * a request does not cross the close. */
#define KEEP_MARGIN_S 0.5

typedef struct bb_h1_link bb_h1_link_t;

struct bb_h1_exchange {
    bb_h1_link_t *link;
    const bb_h1_exchange_handler_t *handler;
    void *arg;
    bool is_chunked;
    bool is_complete; /* the whole request was given */
    bool is_sent;
    bool is_head_request;
};

/* One connection. */
struct bb_h1_link {
    bb_h1_reader_t reader; /* first, see reader_of() */
    bb_h1_client_t *client;
    struct bb_h1_peer *peer;
    int fd;
    ev_io read_watcher;
    ev_io write_watcher;
    ev_timer timer; /* connect, then idle */
    GByteArray *out;
    size_t out_offset;
    bb_h1_exchange_t *exchange;
    int depth;
    bool is_connected;
    bool is_foreign;   /* the response being read is dropped */
    size_t dropped;    /* bytes read in vain for the exchange */
    bool has_own_head; /* of the response that is being read */
    bool is_answered;
    bool is_last; /* the server closes after this response */
    bool is_dead;
    double keep_s;
    ev_tstamp idle_since;
    bb_h1_link_t *prev, *next;
};

typedef struct bb_h1_peer {
    char *address;
    bb_h1_link_t *idle; /* most recently used first */
    bb_h1_link_t *busy;
    int idle_count;
} bb_h1_peer_t;

struct bb_h1_client {
    struct ev_loop *loop;
    double connect_s;
    int max_idle;
    double keep_s;
    GHashTable *peers; /* address to bb_h1_peer_t */
};

/* ---- connection life ---- */

static void
close_link(bb_h1_link_t *link)
{
    if (link->is_dead) {
        return;
    }
    link->is_dead = true;
    ev_io_stop(link->client->loop, &link->read_watcher);
    ev_io_stop(link->client->loop, &link->write_watcher);
    ev_timer_stop(link->client->loop, &link->timer);
    if (link->fd >= 0) {
        close(link->fd);
    }
    if (link->exchange != NULL) {
        DL_DELETE(link->peer->busy, link);
    }
    else {
        DL_DELETE(link->peer->idle, link);
        link->peer->idle_count--;
    }
}

static void
leave_link(bb_h1_link_t *link)
{
    link->depth--;
    if (link->is_dead && link->depth == 0) {
        BbH1Reader_Free(&link->reader);
        g_byte_array_unref(link->out);
        g_free(link);
    }
}

/* Closes the connection and frees the exchange; no callback. */
static void
drop_exchange(bb_h1_exchange_t *exchange)
{
    bb_h1_link_t *link = exchange->link;

    close_link(link);
    link->exchange = NULL;
    g_free(exchange);
}

static void
fail_exchange(bb_h1_link_t *link, int error)
{
    bb_h1_exchange_t *exchange = link->exchange;

    if (exchange == NULL) {
        close_link(link);
        return;
    }
    const bb_h1_exchange_handler_t *handler = exchange->handler;
    void *arg = exchange->arg;
    bool is_sent = exchange->is_sent;
    drop_exchange(exchange);
    handler->on_fail(error, is_sent, arg);
}

static void
keep_link(bb_h1_link_t *link)
{
    bb_h1_client_t *client = link->client;
    bb_h1_peer_t *peer = link->peer;

    DL_DELETE(peer->busy, link);
    DL_PREPEND(peer->idle, link);
    peer->idle_count++;
    link->idle_since = BbClock_Now(client->loop);
    link->timer.repeat = link->keep_s;
    ev_timer_again(client->loop, &link->timer);
    ev_io_start(client->loop, &link->read_watcher); /* after a pause */
    if (peer->idle_count > client->max_idle) {
        bb_h1_link_t *oldest = peer->idle->prev;
        oldest->depth++;
        close_link(oldest);
        leave_link(oldest);
    }
}

static void
end_exchange(bb_h1_link_t *link)
{
    bb_h1_exchange_t *exchange = link->exchange;
    const bb_h1_exchange_handler_t *handler = exchange->handler;
    void *arg = exchange->arg;
    bool is_whole = exchange->is_complete && link->out->len == 0;

    if (link->is_last || !is_whole || link->is_dead) {
        drop_exchange(exchange);
    }
    else {
        keep_link(link);
        link->exchange = NULL;
        g_free(exchange);
    }
    handler->on_end(arg);
}

/* ---- responses ---- */

static bb_h1_link_t *
link_of(http_parser *parser)
{
    return parser->data;
}

static int
on_message_begin(http_parser *parser)
{
    bb_h1_link_t *link = link_of(parser);

    if (link->exchange == NULL || link->is_answered) {
        return -1; /* bytes that no request asked for */
    }
    BbH1Reader_Clear(&link->reader);
    link->is_foreign = false;
    return 0;
}

static double
keep_time(const bb_h1_link_t *link, const bb_h1_fields_t *fields)
{
    const char *value = BbH1Fields_Get(fields, "Keep-Alive");
    const char *timeout = value != NULL ? strcasestr(value, "timeout=") : NULL;
    double keep_s = link->client->keep_s;

    if (timeout != NULL) {
        double server_s = strtod(timeout + strlen("timeout="), NULL);
        keep_s = MIN(keep_s, server_s - KEEP_MARGIN_S);
    }
    return MAX(keep_s, 0.01);
}

static int
on_headers_complete(http_parser *parser)
{
    bb_h1_link_t *link = link_of(parser);
    bb_h1_exchange_t *exchange = link->exchange;
    const bb_h1_fields_t *fields = &link->reader.fields;

    BbH1Reader_EndHead(&link->reader);
    if (parser->status_code / 100 == 1) {
        link->is_foreign = true;
        if (exchange->handler->on_interim != NULL) {
            exchange->handler->on_interim((int)parser->status_code,
                                          exchange->arg);
        }
        return link->is_dead ? -1 : 0;
    }
    if (exchange->handler->is_own != NULL &&
        !exchange->handler->is_own(fields, exchange->arg)) {
        link->is_foreign = true;
        return 0;
    }
    link->has_own_head = true;
    link->keep_s = keep_time(link, fields);
    exchange->handler->on_head((int)parser->status_code, fields,
                               exchange->arg);
    if (link->is_dead) {
        return -1;
    }
    return exchange->is_head_request ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
    bb_h1_link_t *link = link_of(parser);

    if (link->is_foreign) {
        return 0;
    }
    link->exchange->handler->on_data(at, length, link->exchange->arg);
    return link->is_dead ? -1 : 0;
}

static int
on_message_complete(http_parser *parser)
{
    bb_h1_link_t *link = link_of(parser);

    if (!http_should_keep_alive(parser)) {
        link->is_last = true;
    }
    if (link->is_foreign) {
        link->is_foreign = false;
        return link->is_last ? -1 : 0;
    }
    link->is_answered = true;
    return 0;
}

static const http_parser_settings response_settings = {
    .on_message_begin = on_message_begin,
    .on_header_field = BbH1Reader_OnField,
    .on_header_value = BbH1Reader_OnValue,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/* Interim heads and responses of others may come without end. */
static bool
is_flooded(bb_h1_link_t *link, size_t size)
{
    bool has_head = link->is_answered || link->has_own_head;

    link->dropped += has_head ? 0 : size;
    return link->dropped > MAX_DROPPED_BYTES;
}

static void
parse_bytes(bb_h1_link_t *link, const char *data, size_t size)
{
    if (is_flooded(link, size)) {
        fail_exchange(link, BB_ERR_PARSE);
        return;
    }
    http_parser *parser = &link->reader.parser;
    size_t used = http_parser_execute(parser, &response_settings, data, size);
    bool is_spoiled = used != size || parser->upgrade;

    if (link->is_dead) {
        return;
    }
    if (link->is_answered) {
        /* Bytes behind a whole response spoil the connection, not the
         * response. */
        link->is_last = link->is_last || is_spoiled;
        end_exchange(link);
    }
    else if (is_spoiled) {
        fail_exchange(link, BB_ERR_PARSE);
    }
}

static void
read_end(bb_h1_link_t *link, bool is_reset)
{
    if (link->exchange == NULL || is_reset) {
        fail_exchange(link, BB_ERR_IO);
        return;
    }
    /* A response without a length ends with its connection. */
    http_parser_execute(&link->reader.parser, &response_settings, NULL, 0);
    if (link->is_dead) {
        return;
    }
    link->is_last = true;
    if (link->is_answered) {
        end_exchange(link);
    }
    else {
        fail_exchange(link, BB_ERR_IO);
    }
}

static void
handle_read(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    bb_h1_link_t *link = watcher->data;
    static char data[READ_BYTES];

    ssize_t size = recv(link->fd, data, sizeof(data), 0);
    if (size < 0 &&
        (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        return;
    }
    link->depth++;
    if (size <= 0) {
        read_end(link, size < 0);
    }
    else if (link->exchange == NULL) {
        close_link(link); /* nobody asked for these bytes */
    }
    else {
        parse_bytes(link, data, (size_t)size);
    }
    leave_link(link);
}

/* ---- requests ---- */

static void
write_out(bb_h1_link_t *link)
{
    if (!link->is_connected) {
        return;
    }
    while (link->out_offset < link->out->len) {
        ssize_t sent = send(link->fd, link->out->data + link->out_offset,
                            link->out->len - link->out_offset, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            ev_io_start(link->client->loop, &link->write_watcher);
            return;
        }
        if (sent < 0) {
            /* The response may have come before the connection broke; the
             * read watcher reports what happened. */
            g_byte_array_set_size(link->out, 0);
            link->out_offset = 0;
            ev_io_stop(link->client->loop, &link->write_watcher);
            link->is_last = true;
            return;
        }
        link->exchange->is_sent = true;
        link->out_offset += (size_t)sent;
    }
    g_byte_array_set_size(link->out, 0);
    link->out_offset = 0;
    ev_io_stop(link->client->loop, &link->write_watcher);
}

static bool
finish_connect(bb_h1_link_t *link)
{
    int error = 0;
    socklen_t size = sizeof(error);

    getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        fail_exchange(link, BB_ERR_UNAVAILABLE);
        return false;
    }
    link->is_connected = true;
    ev_timer_stop(link->client->loop, &link->timer);
    ev_io_start(link->client->loop, &link->read_watcher);
    return true;
}

static void
handle_write(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    bb_h1_link_t *link = watcher->data;

    link->depth++;
    if (link->is_connected || finish_connect(link)) {
        write_out(link);
        bb_h1_exchange_t *exchange = link->exchange;
        if (link->out->len == 0 && exchange != NULL &&
            exchange->handler->on_drained != NULL) {
            exchange->handler->on_drained(exchange->arg);
        }
    }
    leave_link(link);
}

static void
handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)events;
    bb_h1_link_t *link = timer->data;

    ev_timer_stop(loop, timer);
    link->depth++;
    fail_exchange(link, BB_ERR_UNAVAILABLE);
    leave_link(link);
}

static bb_h1_peer_t *
find_peer(bb_h1_client_t *client, const char *address)
{
    bb_h1_peer_t *peer = g_hash_table_lookup(client->peers, address);

    if (peer == NULL) {
        peer = g_new0(bb_h1_peer_t, 1);
        peer->address = g_strdup(address);
        g_hash_table_insert(client->peers, peer->address, peer);
    }
    return peer;
}

static bb_h1_link_t *
take_idle(bb_h1_peer_t *peer, double max_idle_s, ev_tstamp now)
{
    bb_h1_link_t *link = peer->idle;

    if (link == NULL || now - link->idle_since > max_idle_s) {
        return NULL;
    }
    DL_DELETE(peer->idle, link);
    peer->idle_count--;
    ev_timer_stop(link->client->loop, &link->timer);
    link->is_answered = false;
    link->has_own_head = false;
    link->dropped = 0;
    return link;
}

static bb_h1_link_t *
open_link(bb_h1_client_t *client, bb_h1_peer_t *peer)
{
    bb_h1_link_t *link = g_new0(bb_h1_link_t, 1);

    link->client = client;
    link->peer = peer;
    link->out = g_byte_array_new();
    link->keep_s = client->keep_s;
    BbH1Reader_Init(&link->reader, HTTP_RESPONSE, link);
    link->fd = BbH1_Connect(peer->address);
    ev_init(&link->timer, handle_timer);
    link->timer.data = link;
    link->read_watcher.data = link;
    link->write_watcher.data = link;
    ev_init(&link->read_watcher, handle_read);
    ev_init(&link->write_watcher, handle_write);
    if (link->fd < 0) {
        /* Reported by the timer, so that the owner is not called back before
         * it has the exchange. */
        link->fd = -1;
        ev_timer_set(&link->timer, 0.0, 0.0);
        ev_timer_start(client->loop, &link->timer);
        return link;
    }
    ev_io_set(&link->read_watcher, link->fd, EV_READ);
    ev_io_set(&link->write_watcher, link->fd, EV_WRITE);
    ev_io_start(client->loop, &link->write_watcher);
    ev_timer_set(&link->timer, client->connect_s, 0.0);
    ev_timer_start(client->loop, &link->timer);
    return link;
}

static void
write_head(bb_h1_link_t *link, const bb_h1_exchange_options_t *options)
{
    GByteArray *out = link->out;

    BbH1_Print(out, "%s %s HTTP/1.1\r\n", options->method, options->target);
    BbH1Fields_Write(options->fields, out);
    if (options->content_length == BB_H1_CHUNKED) {
        BbH1_Print(out, "Transfer-Encoding: chunked\r\n");
    }
    else if (options->content_length >= 0) {
        BbH1_Print(out, "Content-Length: %" G_GINT64_FORMAT "\r\n",
                   options->content_length);
    }
    BbH1_Print(out, "\r\n");
}

bb_h1_exchange_t *
BbH1_Start(bb_h1_client_t *client, const bb_h1_exchange_options_t *options)
{
    bb_h1_peer_t *peer = find_peer(client, options->address);
    bb_h1_exchange_t *exchange = g_new0(bb_h1_exchange_t, 1);
    bb_h1_link_t *link =
        take_idle(peer, options->max_idle_s, BbClock_Now(client->loop));

    if (link == NULL) {
        link = open_link(client, peer);
    }
    DL_APPEND(peer->busy, link);
    link->exchange = exchange;
    exchange->link = link;
    exchange->handler = options->handler;
    exchange->arg = options->arg;
    exchange->is_chunked = options->content_length == BB_H1_CHUNKED;
    exchange->is_complete = options->content_length == BB_H1_NO_BODY ||
                            options->content_length == 0;
    exchange->is_head_request = strcmp(options->method, "HEAD") == 0;
    write_head(link, options);
    write_out(link);
    return exchange;
}

void
BbH1_Send(bb_h1_exchange_t *exchange, const void *data, size_t size)
{
    bb_h1_link_t *link = exchange->link;

    if (size == 0 || link->is_last) {
        return;
    }
    if (exchange->is_chunked) {
        BbH1_WriteChunk(link->out, data, size);
    }
    else {
        g_byte_array_append(link->out, data, (guint)size);
    }
    write_out(link);
}

void
BbH1_SendEnd(bb_h1_exchange_t *exchange)
{
    if (exchange->is_complete) {
        return;
    }
    exchange->is_complete = true;
    if (exchange->is_chunked && !exchange->link->is_last) {
        BbH1_WriteChunk(exchange->link->out, NULL, 0);
        write_out(exchange->link);
    }
}

bool
BbH1_IsSent(const bb_h1_exchange_t *exchange)
{
    return exchange->is_sent;
}

void
BbH1_PauseResponse(bb_h1_exchange_t *exchange, bool is_paused)
{
    bb_h1_link_t *link = exchange->link;

    if (is_paused) {
        ev_io_stop(link->client->loop, &link->read_watcher);
    }
    else if (!link->is_dead && link->is_connected) {
        ev_io_start(link->client->loop, &link->read_watcher);
    }
}

void
BbH1_Cancel(bb_h1_exchange_t *exchange)
{
    bb_h1_link_t *link = exchange->link;

    link->depth++;
    drop_exchange(exchange);
    leave_link(link);
}

/* ---- client ---- */

static void
drop_link(bb_h1_link_t *link)
{
    link->depth++;
    if (link->exchange != NULL) {
        drop_exchange(link->exchange);
    }
    else {
        close_link(link);
    }
    leave_link(link);
}

static void
free_peer(gpointer data)
{
    bb_h1_peer_t *peer = data;
    bb_h1_link_t *link, *next;

    DL_FOREACH_SAFE (peer->idle, link, next) {
        drop_link(link);
    }
    DL_FOREACH_SAFE (peer->busy, link, next) {
        drop_link(link);
    }
    g_free(peer->address);
    g_free(peer);
}

bb_h1_client_t *
BbH1Client_New(const bb_h1_client_options_t *options)
{
    bb_h1_client_t *client = g_new0(bb_h1_client_t, 1);

    client->loop = options->loop;
    client->connect_s =
        options->connect_s > 0 ? options->connect_s : DEFAULT_CONNECT_S;
    client->max_idle =
        options->max_idle > 0 ? options->max_idle : DEFAULT_MAX_IDLE;
    client->keep_s = options->keep_s > 0 ? options->keep_s : DEFAULT_KEEP_S;
    client->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    return client;
}

void
BbH1Client_Free(bb_h1_client_t *client)
{
    if (client != NULL) {
        g_hash_table_destroy(client->peers);
        g_free(client);
    }
}

void
BbH1Client_CloseIdle(bb_h1_client_t *client, const char *address)
{
    bb_h1_peer_t *peer = g_hash_table_lookup(client->peers, address);
    bb_h1_link_t *link, *next;

    if (peer == NULL) {
        return;
    }
    DL_FOREACH_SAFE (peer->idle, link, next) {
        drop_link(link);
    }
}
