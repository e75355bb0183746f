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
#include "bb_h1_length.h"
#include "bb_http_syntax.h"

#define READ_BYTES 65536

/* Limit of bytes read before the head of the response: interim heads and late
 * responses to earlier requests. */
#define MAX_DROPPED_BYTES (4 * 1024 * 1024)

#define DEFAULT_CONNECT_S 1.0
#define DEFAULT_IDLE_TIMEOUT_S 10.0
#define DEFAULT_MAX_IDLE_CONNECTIONS 64

/* An idle connection is closed this long before the server would close it, so
 * that no request is sent while the server closes it. */
#define KEEP_ALIVE_MARGIN_S 0.5

typedef struct bb_h1_client_connection bb_h1_client_connection_t;

struct bb_h1_exchange {
    bb_h1_client_connection_t *connection;
    const bb_h1_exchange_handler_t *handler;
    void *arg;
    bool is_chunked;
    bool is_request_complete; /* the owner has given the whole request */
    bool is_sent;             /* at least one byte was written */
    bool is_head_request;
};

struct bb_h1_client_connection {
    bb_h1_reader_t reader;
    bb_h1_client_t *client;
    struct bb_h1_peer *peer;
    int fd;
    ev_io read_watcher;
    ev_io write_watcher;
    ev_timer timer; /* connect timeout, then idle timeout */
    GByteArray *out;
    size_t out_offset;
    bb_h1_exchange_t *exchange;
    int depth; /* callbacks in progress; it is freed at 0 once closed */
    bool is_connected;
    bool is_reused; /* an earlier request was sent on it */
    /* The response being read is an interim one or one to another request;
     * its body is dropped. */
    bool is_response_dropped;
    size_t dropped; /* bytes read before the head of the matching response */
    bool has_response_head; /* the head of the matching response was read */
    bool is_response_ended; /* the matching response was read whole */
    bool is_close_pending;  /* closed after this exchange, not made idle */
    /* A write reported that the connection broke. The kernel reports this
     * once; what is read afterwards ends as if the server had closed it. */
    bool is_reset;
    bool is_closed;
    double idle_timeout_s; /* idle timeout, shortened by Keep-Alive of the
                              server */
    ev_tstamp idle_since;
    bb_h1_client_connection_t *prev, *next;
};

/* A server address with the connections to it. */
typedef struct bb_h1_peer {
    char *address;
    bb_h1_client_connection_t *idle; /* most recently used first */
    bb_h1_client_connection_t *busy;
    int idle_count;
} bb_h1_peer_t;

struct bb_h1_client {
    struct ev_loop *loop;
    double connect_timeout_s;
    int max_idle_connections;
    double idle_timeout_s;
    bb_link_pacer_t *pacer; /* may be NULL */
    GHashTable *peers;      /* address to bb_h1_peer_t */
};

/* ---- opening and closing of connections ---- */

static void
close_connection(bb_h1_client_connection_t *connection)
{
    if (connection->is_closed) {
        return;
    }
    connection->is_closed = true;
    ev_io_stop(connection->client->loop, &connection->read_watcher);
    ev_io_stop(connection->client->loop, &connection->write_watcher);
    ev_timer_stop(connection->client->loop, &connection->timer);
    if (connection->fd >= 0) {
        close(connection->fd);
    }
    if (connection->exchange != NULL) {
        DL_DELETE(connection->peer->busy, connection);
    }
    else {
        DL_DELETE(connection->peer->idle, connection);
        connection->peer->idle_count--;
    }
}

static void
release_connection(bb_h1_client_connection_t *connection)
{
    connection->depth--;
    if (connection->is_closed && connection->depth == 0) {
        BbH1Reader_Free(&connection->reader);
        g_byte_array_unref(connection->out);
        g_free(connection);
    }
}

/* Closes the connection and frees the exchange without a callback. */
static void
drop_exchange(bb_h1_exchange_t *exchange)
{
    bb_h1_client_connection_t *connection = exchange->connection;

    close_connection(connection);
    connection->exchange = NULL;
    g_free(exchange);
}

static void
fail_exchange(bb_h1_client_connection_t *connection, int error)
{
    bb_h1_exchange_t *exchange = connection->exchange;

    if (exchange == NULL) {
        close_connection(connection);
        return;
    }
    const bb_h1_exchange_handler_t *handler = exchange->handler;
    void *arg = exchange->arg;
    bool is_sent = exchange->is_sent;
    drop_exchange(exchange);
    handler->on_fail(error, is_sent, arg);
}

static void
move_to_idle(bb_h1_client_connection_t *connection)
{
    bb_h1_client_t *client = connection->client;
    bb_h1_peer_t *peer = connection->peer;

    DL_DELETE(peer->busy, connection);
    DL_PREPEND(peer->idle, connection);
    peer->idle_count++;
    connection->idle_since = BbClock_Now(client->loop);
    connection->timer.repeat = connection->idle_timeout_s;
    ev_timer_again(client->loop, &connection->timer);
    ev_io_start(client->loop, &connection->read_watcher); /* after a pause */
    if (peer->idle_count > client->max_idle_connections) {
        bb_h1_client_connection_t *oldest = peer->idle->prev;
        oldest->depth++;
        close_connection(oldest);
        release_connection(oldest);
    }
}

static void
end_exchange(bb_h1_client_connection_t *connection)
{
    bb_h1_exchange_t *exchange = connection->exchange;
    const bb_h1_exchange_handler_t *handler = exchange->handler;
    void *arg = exchange->arg;
    bool is_request_written =
        exchange->is_request_complete && connection->out->len == 0;

    if (connection->is_close_pending || !is_request_written ||
        connection->is_closed) {
        drop_exchange(exchange);
    }
    else {
        move_to_idle(connection);
        connection->exchange = NULL;
        g_free(exchange);
    }
    handler->on_end(arg);
}

/* ---- responses ---- */

static bb_h1_client_connection_t *
connection_of(http_parser *parser)
{
    return parser->data;
}

static int
on_message_begin(http_parser *parser)
{
    bb_h1_client_connection_t *connection = connection_of(parser);

    if (connection->exchange == NULL || connection->is_response_ended) {
        return -1; /* bytes that belong to no request */
    }
    BbH1Reader_Clear(&connection->reader);
    connection->is_response_dropped = false;
    return 0;
}

static double
idle_timeout_for(const bb_h1_client_connection_t *connection,
                 const bb_h1_fields_t *fields)
{
    const char *value = BbH1Fields_Get(fields, "Keep-Alive");
    const char *timeout = value != NULL ? strcasestr(value, "timeout=") : NULL;
    double idle_timeout_s = connection->client->idle_timeout_s;

    if (timeout != NULL) {
        double server_s = strtod(timeout + strlen("timeout="), NULL);
        idle_timeout_s = MIN(idle_timeout_s, server_s - KEEP_ALIVE_MARGIN_S);
    }
    return MAX(idle_timeout_s, 0.01);
}

static int
on_headers_complete(http_parser *parser)
{
    bb_h1_client_connection_t *connection = connection_of(parser);
    bb_h1_exchange_t *exchange = connection->exchange;
    const bb_h1_fields_t *fields = &connection->reader.fields;

    if (!BbH1Reader_EndHead(&connection->reader) ||
        !BbHttpSyntax_IsStatus(parser->status_code)) {
        return -1;
    }
    if (parser->status_code / 100 == 1) {
        connection->is_response_dropped = true;
        if (exchange->handler->on_interim != NULL) {
            exchange->handler->on_interim((int)parser->status_code,
                                          exchange->arg);
        }
        return connection->is_closed ? -1 : 0;
    }
    int64_t length;
    if (BbH1Length_Read(fields, &length) != 0) {
        return -1;
    }
    if (exchange->handler->belongs_to_request != NULL &&
        !exchange->handler->belongs_to_request(fields, exchange->arg)) {
        connection->is_response_dropped = true;
        return 0;
    }
    connection->has_response_head = true;
    connection->idle_timeout_s = idle_timeout_for(connection, fields);
    exchange->handler->on_head((int)parser->status_code, fields,
                               exchange->arg);
    if (connection->is_closed) {
        return -1;
    }
    return exchange->is_head_request ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
    bb_h1_client_connection_t *connection = connection_of(parser);

    if (connection->is_response_dropped) {
        return 0;
    }
    connection->exchange->handler->on_data(at, length,
                                           connection->exchange->arg);
    return connection->is_closed ? -1 : 0;
}

static int
on_message_complete(http_parser *parser)
{
    bb_h1_client_connection_t *connection = connection_of(parser);

    if (!http_should_keep_alive(parser)) {
        connection->is_close_pending = true;
    }
    if (connection->is_response_dropped) {
        connection->is_response_dropped = false;
        return connection->is_close_pending ? -1 : 0;
    }
    connection->is_response_ended = true;
    return 0;
}

static const http_parser_settings response_settings = {
    .on_message_begin = on_message_begin,
    .on_status = BbH1Reader_OnReason,
    .on_header_field = BbH1Reader_OnField,
    .on_header_value = BbH1Reader_OnValue,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
    .on_chunk_header = BbH1Length_OnChunkHeader,
};

/* Counts the bytes before the head of the response to this request and
 * compares them with the limit: a server can send interim heads and responses
 * to other requests without end. */
static bool
exceeds_dropped_limit(bb_h1_client_connection_t *connection, size_t size)
{
    bool has_head =
        connection->is_response_ended || connection->has_response_head;

    connection->dropped += has_head ? 0 : size;
    return connection->dropped > MAX_DROPPED_BYTES;
}

static void
parse_bytes(bb_h1_client_connection_t *connection, const char *data,
            size_t size)
{
    if (exceeds_dropped_limit(connection, size)) {
        fail_exchange(connection, BB_ERR_PARSE);
        return;
    }
    http_parser *parser = &connection->reader.parser;
    size_t used = BbH1Reader_Execute(&connection->reader, &response_settings,
                                     data, size);
    bool has_unexpected_bytes = used != size || parser->upgrade;

    if (connection->is_closed) {
        return;
    }
    if (connection->is_response_ended) {
        /* The response is valid despite bytes that follow it, but the
         * connection cannot be used again. */
        connection->is_close_pending =
            connection->is_close_pending || has_unexpected_bytes;
        end_exchange(connection);
    }
    else if (has_unexpected_bytes) {
        bool is_surplus =
            connection->is_reused && !connection->has_response_head;
        fail_exchange(connection, is_surplus ? BB_ERR_SURPLUS : BB_ERR_PARSE);
    }
}

static void
handle_connection_end(bb_h1_client_connection_t *connection)
{
    if (connection->exchange == NULL || connection->is_reset) {
        fail_exchange(connection, BB_ERR_IO);
        return;
    }
    /* A response without a length ends when its connection is closed. */
    http_parser_execute(&connection->reader.parser, &response_settings, NULL,
                        0);
    if (connection->is_closed) {
        return;
    }
    connection->is_close_pending = true;
    if (connection->is_response_ended) {
        end_exchange(connection);
    }
    else {
        fail_exchange(connection, BB_ERR_IO);
    }
}

static void
handle_read(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    bb_h1_client_connection_t *connection = watcher->data;
    static char data[READ_BYTES];

    ssize_t size = recv(connection->fd, data, sizeof(data), 0);
    if (size < 0 &&
        (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        return;
    }
    connection->depth++;
    if (size <= 0) {
        connection->is_reset = connection->is_reset || size < 0;
        handle_connection_end(connection);
    }
    else if (connection->exchange == NULL) {
        close_connection(connection); /* bytes that belong to no request */
    }
    else {
        parse_bytes(connection, data, (size_t)size);
    }
    release_connection(connection);
}

/* ---- requests ---- */

static void
write_out(bb_h1_client_connection_t *connection)
{
    if (!connection->is_connected) {
        return;
    }
    while (connection->out_offset < connection->out->len) {
        ssize_t sent = send(
            connection->fd, connection->out->data + connection->out_offset,
            connection->out->len - connection->out_offset, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            ev_io_start(connection->client->loop, &connection->write_watcher);
            return;
        }
        if (sent < 0) {
            /* The response may have arrived before the connection broke, so
             * the failure is left to the read watcher. Linux reports EPIPE,
             * not ECONNRESET, if the server had ended its side before it reset
             * the connection: a response without a length is complete then. */
            connection->is_reset = connection->is_reset || errno != EPIPE;
            g_byte_array_set_size(connection->out, 0);
            connection->out_offset = 0;
            ev_io_stop(connection->client->loop, &connection->write_watcher);
            connection->is_close_pending = true;
            return;
        }
        connection->exchange->is_sent = true;
        connection->out_offset += (size_t)sent;
        BbLinkPacer_Charge(connection->client->pacer, (size_t)sent);
    }
    g_byte_array_set_size(connection->out, 0);
    connection->out_offset = 0;
    ev_io_stop(connection->client->loop, &connection->write_watcher);
}

static bool
finish_connect(bb_h1_client_connection_t *connection)
{
    int error = 0;
    socklen_t size = sizeof(error);

    getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        fail_exchange(connection, BB_ERR_UNAVAILABLE);
        return false;
    }
    connection->is_connected = true;
    ev_timer_stop(connection->client->loop, &connection->timer);
    ev_io_start(connection->client->loop, &connection->read_watcher);
    return true;
}

static void
handle_write(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    bb_h1_client_connection_t *connection = watcher->data;

    connection->depth++;
    if (connection->is_connected || finish_connect(connection)) {
        write_out(connection);
        bb_h1_exchange_t *exchange = connection->exchange;
        if (connection->out->len == 0 && exchange != NULL &&
            exchange->handler->on_drained != NULL) {
            exchange->handler->on_drained(exchange->arg);
        }
    }
    release_connection(connection);
}

static void
handle_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)events;
    bb_h1_client_connection_t *connection = timer->data;

    ev_timer_stop(loop, timer);
    connection->depth++;
    fail_exchange(connection, BB_ERR_UNAVAILABLE);
    release_connection(connection);
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

static void
close_and_release(bb_h1_client_connection_t *connection)
{
    connection->depth++;
    if (connection->exchange != NULL) {
        drop_exchange(connection->exchange);
    }
    else {
        close_connection(connection);
    }
    release_connection(connection);
}

/* Whether bytes, the end of the stream or an error can be read from an idle
 * connection. The event loop may not have reported them yet. */
static bool
has_pending_input(const bb_h1_client_connection_t *connection)
{
    char byte;
    ssize_t size;

    do {
        size = recv(connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    } while (size < 0 && errno == EINTR);
    return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

static bb_h1_client_connection_t *
take_idle(bb_h1_peer_t *peer, double max_idle_s, ev_tstamp now)
{
    bb_h1_client_connection_t *connection = peer->idle;

    while (connection != NULL && now - connection->idle_since <= max_idle_s &&
           has_pending_input(connection)) {
        close_and_release(connection);
        connection = peer->idle;
    }
    if (connection == NULL || now - connection->idle_since > max_idle_s) {
        return NULL;
    }
    DL_DELETE(peer->idle, connection);
    peer->idle_count--;
    ev_timer_stop(connection->client->loop, &connection->timer);
    connection->is_reused = true;
    connection->is_response_ended = false;
    connection->has_response_head = false;
    connection->dropped = 0;
    return connection;
}

static bb_h1_client_connection_t *
open_connection(bb_h1_client_t *client, bb_h1_peer_t *peer)
{
    bb_h1_client_connection_t *connection =
        g_new0(bb_h1_client_connection_t, 1);

    connection->client = client;
    connection->peer = peer;
    connection->out = g_byte_array_new();
    connection->idle_timeout_s = client->idle_timeout_s;
    BbH1Reader_Init(&connection->reader, HTTP_RESPONSE, connection);
    connection->fd = BbH1_Connect(peer->address);
    ev_init(&connection->timer, handle_timeout);
    connection->timer.data = connection;
    connection->read_watcher.data = connection;
    connection->write_watcher.data = connection;
    ev_init(&connection->read_watcher, handle_read);
    ev_init(&connection->write_watcher, handle_write);
    if (connection->fd < 0) {
        /* Reported by the timer, because BbH1_Start() must return the
         * exchange before on_fail is called. */
        connection->fd = -1;
        ev_timer_set(&connection->timer, 0.0, 0.0);
        ev_timer_start(client->loop, &connection->timer);
        return connection;
    }
    ev_io_set(&connection->read_watcher, connection->fd, EV_READ);
    ev_io_set(&connection->write_watcher, connection->fd, EV_WRITE);
    ev_io_start(client->loop, &connection->write_watcher);
    ev_timer_set(&connection->timer, client->connect_timeout_s, 0.0);
    ev_timer_start(client->loop, &connection->timer);
    return connection;
}

static void
write_head(bb_h1_client_connection_t *connection,
           const bb_h1_exchange_options_t *options)
{
    GByteArray *out = connection->out;

    BbH1_AppendFormat(out, "%s %s HTTP/1.1\r\n", options->method,
                      options->target);
    BbH1Fields_Write(options->fields, out);
    if (options->content_length == BB_H1_CHUNKED) {
        BbH1_AppendFormat(out, "Transfer-Encoding: chunked\r\n");
    }
    else if (options->content_length >= 0) {
        BbH1_AppendFormat(out, "Content-Length: %" G_GINT64_FORMAT "\r\n",
                          options->content_length);
    }
    BbH1_AppendFormat(out, "\r\n");
}

bb_h1_exchange_t *
BbH1_Start(bb_h1_client_t *client, const bb_h1_exchange_options_t *options)
{
    bb_h1_peer_t *peer = find_peer(client, options->address);
    bb_h1_exchange_t *exchange = g_new0(bb_h1_exchange_t, 1);
    bb_h1_client_connection_t *connection =
        take_idle(peer, options->max_idle_s, BbClock_Now(client->loop));

    if (connection == NULL) {
        connection = open_connection(client, peer);
    }
    DL_APPEND(peer->busy, connection);
    connection->exchange = exchange;
    exchange->connection = connection;
    exchange->handler = options->handler;
    exchange->arg = options->arg;
    exchange->is_chunked = options->content_length == BB_H1_CHUNKED;
    exchange->is_request_complete = options->content_length == BB_H1_NO_BODY ||
                                    options->content_length == 0;
    exchange->is_head_request = strcmp(options->method, "HEAD") == 0;
    write_head(connection, options);
    write_out(connection);
    return exchange;
}

void
BbH1_Send(bb_h1_exchange_t *exchange, const void *data, size_t size)
{
    bb_h1_client_connection_t *connection = exchange->connection;

    if (size == 0 || connection->is_close_pending) {
        return;
    }
    if (exchange->is_chunked) {
        BbH1_WriteChunk(connection->out, data, size);
    }
    else {
        g_byte_array_append(connection->out, data, (guint)size);
    }
    write_out(connection);
    if (exchange->handler->on_drained != NULL && connection->is_connected &&
        !connection->is_close_pending) {
        /* Calls on_drained from the loop also when all bytes were written at
         * once: the owner may have stopped reading until then. */
        ev_io_start(connection->client->loop, &connection->write_watcher);
    }
}

void
BbH1_SendEnd(bb_h1_exchange_t *exchange)
{
    if (exchange->is_request_complete) {
        return;
    }
    exchange->is_request_complete = true;
    if (exchange->is_chunked && !exchange->connection->is_close_pending) {
        BbH1_WriteChunk(exchange->connection->out, NULL, 0);
        write_out(exchange->connection);
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
    bb_h1_client_connection_t *connection = exchange->connection;

    if (is_paused) {
        ev_io_stop(connection->client->loop, &connection->read_watcher);
    }
    else if (!connection->is_closed && connection->is_connected) {
        ev_io_start(connection->client->loop, &connection->read_watcher);
    }
}

bool
BbH1_EndSending(bb_h1_exchange_t *exchange)
{
    bb_h1_client_connection_t *connection = exchange->connection;
    bool is_written = exchange->is_sent && exchange->is_request_complete &&
                      connection->out->len == 0 &&
                      !connection->is_close_pending;

    if (!is_written || shutdown(connection->fd, SHUT_WR) != 0) {
        return false;
    }
    connection->is_close_pending = true;
    return true;
}

void
BbH1_Cancel(bb_h1_exchange_t *exchange)
{
    bb_h1_client_connection_t *connection = exchange->connection;

    connection->depth++;
    drop_exchange(exchange);
    release_connection(connection);
}

/* ---- client ---- */

static void
free_peer(gpointer data)
{
    bb_h1_peer_t *peer = data;
    bb_h1_client_connection_t *connection, *next;

    DL_FOREACH_SAFE (peer->idle, connection, next) {
        close_and_release(connection);
    }
    DL_FOREACH_SAFE (peer->busy, connection, next) {
        close_and_release(connection);
    }
    g_free(peer->address);
    g_free(peer);
}

bb_h1_client_t *
BbH1Client_New(const bb_h1_client_options_t *options)
{
    bb_h1_client_t *client = g_new0(bb_h1_client_t, 1);

    client->loop = options->loop;
    client->connect_timeout_s = options->connect_timeout_s > 0
                                    ? options->connect_timeout_s
                                    : DEFAULT_CONNECT_S;
    client->max_idle_connections = options->max_idle_connections > 0
                                       ? options->max_idle_connections
                                       : DEFAULT_MAX_IDLE_CONNECTIONS;
    client->idle_timeout_s = options->idle_timeout_s > 0
                                 ? options->idle_timeout_s
                                 : DEFAULT_IDLE_TIMEOUT_S;
    client->pacer = options->pacer;
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
    bb_h1_client_connection_t *connection, *next;

    if (peer == NULL) {
        return;
    }
    DL_FOREACH_SAFE (peer->idle, connection, next) {
        close_and_release(connection);
    }
}
