#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "bb_error.h"
#include "bb_h1_length.h"
#include "bb_h1_server_private.h"

#define READ_BYTES 65536
#define DEFAULT_HEAD_BYTES 65536
#define DEFAULT_IDLE_S 60.0
#define ACCEPTS_PER_EVENT 64

/* Interval at which a connection that is not read is checked for its end. */
#define END_CHECK_S 0.1

/* ---- closing of connections, idle timeout ---- */

static void
free_request(bb_h1_request_t *request)
{
    g_string_free(request->target, TRUE);
    BbH1Fields_Free(&request->fields);
    g_byte_array_unref(request->out);
    g_free(request);
}

void
BbH1Connection_DropRequest(bb_h1_connection_t *connection,
                           bb_h1_request_t *request)
{
    DL_DELETE(connection->requests, request);
    connection->request_count--;
    if (connection->current_request == request) {
        connection->current_request = NULL;
    }
    free_request(request);
}

static void
free_connection(bb_h1_connection_t *connection)
{
    bb_h1_server_t *server = connection->server;

    DL_DELETE(server->connections, connection);
    BbH1Reader_Free(&connection->reader);
    g_byte_array_unref(connection->out);
    g_free(connection);
}

void
BbH1Connection_Close(bb_h1_connection_t *connection)
{
    bb_h1_server_t *server = connection->server;

    if (connection->is_closed) {
        return;
    }
    connection->is_closed = true;
    connection->depth++;
    ev_io_stop(server->loop, &connection->read_watcher);
    ev_io_stop(server->loop, &connection->write_watcher);
    ev_timer_stop(server->loop, &connection->idle_timer);
    ev_timer_stop(server->loop, &connection->end_timer);
    BbLinkPacer_Remove(server->pacer, &connection->transfer);
    close(connection->fd);
    while (connection->requests != NULL) {
        bb_h1_request_t *request = connection->requests;
        if (request->is_head_reported && !request->is_response_ended &&
            server->handler->on_connection_lost != NULL) {
            server->handler->on_connection_lost(request, server->arg);
        }
        BbH1Connection_DropRequest(connection, request);
    }
    connection->depth--;
}

void
BbH1Connection_Release(bb_h1_connection_t *connection)
{
    connection->depth--;
    if (connection->is_closed && connection->depth == 0) {
        free_connection(connection);
    }
}

void
BbH1Connection_UpdateReading(bb_h1_connection_t *connection)
{
    struct ev_loop *loop = connection->server->loop;
    bool is_reading_request = connection->current_request != NULL;
    bool has_room =
        connection->out->len - connection->out_offset < BB_H1_MAX_UNSENT_BYTES;
    bool can_read = !connection->is_broken && !connection->is_paused &&
                    connection->request_count < BB_H1_MAX_PIPELINE &&
                    (is_reading_request || has_room);

    if (connection->is_closed) {
        return;
    }
    if (can_read && !ev_is_active(&connection->read_watcher)) {
        ev_io_start(loop, &connection->read_watcher);
        ev_timer_stop(loop, &connection->end_timer);
    }
    else if (!can_read && ev_is_active(&connection->read_watcher)) {
        ev_io_stop(loop, &connection->read_watcher);
        ev_timer_again(loop, &connection->end_timer);
    }
}

/* Reading would show the end of a connection only behind the bytes that wait
 * in the socket; poll() shows it before them. */
static void
check_end(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    bb_h1_connection_t *connection = timer->data;
    struct pollfd state = {.fd = connection->fd, .events = POLLRDHUP};

    if (poll(&state, 1, 0) > 0 &&
        (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
        connection->depth++;
        BbH1Connection_Close(connection);
        BbH1Connection_Release(connection);
    }
}

void
BbH1Connection_RestartIdleTimer(bb_h1_connection_t *connection)
{
    bb_h1_server_t *server = connection->server;

    if (connection->is_closed || connection->is_broken) {
        return;
    }
    connection->idle_timer.repeat =
        connection->has_partial_head ? server->head_s : server->idle_s;
    ev_timer_again(server->loop, &connection->idle_timer);
}

/* Whether a request waits for its response. Behind an aborted response none is
 * sent. */
static bool
has_open_request(const bb_h1_connection_t *connection)
{
    const bb_h1_request_t *first = connection->requests;

    return connection->request_count >
               (connection->has_partial_head ? 1 : 0) &&
           !first->is_aborted;
}

static void
handle_idle(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)events;
    bb_h1_connection_t *connection = timer->data;

    ev_timer_stop(loop, timer);
    if (!connection->is_lingering && !connection->is_broken &&
        has_open_request(connection)) {
        return; /* started again when no request is open */
    }
    bool is_waiting_for_link = connection->transfer.base.is_queued &&
                               !connection->transfer.base.is_held;
    if (is_waiting_for_link && !connection->is_broken) {
        BbH1Connection_RestartIdleTimer(connection);
        return;
    }
    connection->depth++;
    BbH1Connection_Close(connection);
    BbH1Connection_Release(connection);
}

void
BbH1_PauseBody(bb_h1_request_t *request, bool is_paused)
{
    request->connection->is_paused = is_paused;
    BbH1Connection_UpdateReading(request->connection);
}

/* ---- requests ---- */

static bb_h1_connection_t *
connection_of(http_parser *parser)
{
    return parser->data;
}

static int
on_message_begin(http_parser *parser)
{
    bb_h1_connection_t *connection = connection_of(parser);
    bb_h1_request_t *request = g_new0(bb_h1_request_t, 1);

    request->connection = connection;
    request->target = g_string_new(NULL);
    BbH1Fields_Init(&request->fields);
    request->out = g_byte_array_new();
    DL_APPEND(connection->requests, request);
    connection->request_count++;
    connection->current_request = request;
    connection->has_partial_head = true;
    BbH1Reader_Clear(&connection->reader);
    return 0;
}

static void
store_head(bb_h1_connection_t *connection, bb_h1_request_t *request,
           int64_t length)
{
    bb_h1_reader_t *reader = &connection->reader;
    http_parser *parser = &reader->parser;
    GString *text = request->fields.text;

    request->method = http_method_str((enum http_method)parser->method);
    request->is_head_request = parser->method == HTTP_HEAD;
    g_string_assign(request->target, reader->target->str);
    request->fields.text = reader->fields.text;
    reader->fields.text = text;
    request->content_length =
        parser->flags & F_CHUNKED ? BB_H1_CHUNKED : length;
}

static int
on_headers_complete(http_parser *parser)
{
    bb_h1_connection_t *connection = connection_of(parser);
    bb_h1_server_t *server = connection->server;
    bb_h1_request_t *request = connection->current_request;
    int64_t length;

    if (!BbH1Reader_EndHead(&connection->reader) ||
        connection->reader.head_bytes > server->max_head_bytes ||
        BbH1Length_Read(&connection->reader.fields, &length) != 0) {
        return -1;
    }
    store_head(connection, request, length);
    connection->has_partial_head = false;
    if (connection->is_broken) {
        return -1;
    }
    ev_timer_stop(server->loop, &connection->idle_timer);
    const char *expect = BbH1Fields_Get(&request->fields, "Expect");
    if (expect != NULL && strcasecmp(expect, "100-continue") == 0 &&
        connection->requests == request) {
        BbH1_AppendFormat(connection->out, "HTTP/1.1 100 Continue\r\n\r\n");
        BbH1Connection_WriteOut(connection);
    }
    if (!http_should_keep_alive(parser)) {
        connection->is_close_pending = true;
    }
    request->is_head_reported = true;
    server->handler->on_head(request, server->arg);
    return connection->is_closed ? -1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
    bb_h1_connection_t *connection = connection_of(parser);
    bb_h1_server_t *server = connection->server;
    bb_h1_request_t *request = connection->current_request;

    if (!request->is_response_ended && server->handler->on_body != NULL) {
        server->handler->on_body(request, at, length, server->arg);
    }
    return connection->is_closed ? -1 : 0;
}

static int
on_message_complete(http_parser *parser)
{
    bb_h1_connection_t *connection = connection_of(parser);
    bb_h1_server_t *server = connection->server;
    bb_h1_request_t *request = connection->current_request;

    connection->current_request = NULL;
    request->is_read = true;
    if (request->is_response_ended) {
        BbH1Connection_Flush(connection);
    }
    else if (server->handler->on_end != NULL) {
        server->handler->on_end(request, server->arg);
    }
    return connection->is_closed || connection->is_close_pending ? -1 : 0;
}

static const http_parser_settings request_settings = {
    .on_message_begin = on_message_begin,
    .on_url = BbH1Reader_OnTarget,
    .on_header_field = BbH1Reader_OnField,
    .on_header_value = BbH1Reader_OnValue,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
    .on_chunk_header = BbH1Length_OnChunkHeader,
};

/* Responds to a request that cannot be parsed, and closes the connection after
 * that response. */
static void
reject_malformed(bb_h1_connection_t *connection)
{
    bb_h1_request_t *request = connection->current_request;
    bool is_head_too_large =
        connection->reader.head_bytes > connection->server->max_head_bytes ||
        HTTP_PARSER_ERRNO(&connection->reader.parser) == HPE_HEADER_OVERFLOW;

    connection->is_close_pending = true;
    if (request != NULL && request->is_head_reported) {
        /* The body is malformed; the handler was called and may have
         * responded. */
        if (request->is_response_started || request->is_response_ended) {
            BbH1Connection_Close(connection);
            return;
        }
        if (connection->server->handler->on_connection_lost != NULL) {
            connection->server->handler->on_connection_lost(
                request, connection->server->arg);
        }
    }
    if (request == NULL) {
        /* The error is in the first bytes: on_message_begin() was not
         * called. */
        on_message_begin(&connection->reader.parser);
        request = connection->current_request;
    }
    connection->current_request = NULL;
    request->is_read = true;
    BbH1_Respond(request, is_head_too_large ? 431 : 400, NULL, NULL, 0);
}

static void
parse_bytes(bb_h1_connection_t *connection, const char *data, size_t size)
{
    http_parser *parser = &connection->reader.parser;

    if (connection->is_close_pending && connection->current_request == NULL) {
        return; /* bytes after the last request */
    }
    size_t used =
        BbH1Reader_Execute(&connection->reader, &request_settings, data, size);
    if (connection->is_closed || connection->is_broken) {
        return;
    }
    if (connection->is_close_pending && connection->current_request == NULL) {
        return;
    }
    if (parser->upgrade || used != size) {
        reject_malformed(connection);
    }
}

static void
handle_sending_ended(bb_h1_connection_t *connection)
{
    bb_h1_server_t *server = connection->server;
    bb_h1_request_t *request = connection->requests;

    if (request != NULL && request->is_read && !request->is_response_started &&
        server->handler->on_sending_ended != NULL) {
        server->handler->on_sending_ended(request, server->arg);
    }
    BbH1Connection_Close(connection);
}

static void
handle_read(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    bb_h1_connection_t *connection = watcher->data;
    static char data[READ_BYTES];

    ssize_t size = recv(connection->fd, data, sizeof(data), 0);
    if (size < 0 &&
        (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        return;
    }
    connection->depth++;
    if (size == 0) {
        handle_sending_ended(connection);
    }
    else if (size < 0) {
        BbH1Connection_Close(connection);
    }
    else if (!connection->is_lingering) {
        parse_bytes(connection, data, (size_t)size);
        if (!connection->is_closed && !connection->is_broken &&
            connection->request_count <=
                (connection->has_partial_head ? 1 : 0)) {
            if (!ev_is_active(&connection->idle_timer)) {
                BbH1Connection_RestartIdleTimer(connection);
            }
        }
        BbH1Connection_UpdateReading(connection);
    }
    BbH1Connection_Release(connection);
}

/* ---- server ---- */

static void
handle_write(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    BbH1Connection_Flush(watcher->data);
}

static void
add_connection(bb_h1_server_t *server, int fd)
{
    bb_h1_connection_t *connection = g_new0(bb_h1_connection_t, 1);

    BbH1_SetSocketOptions(fd);
    connection->server = server;
    connection->fd = fd;
    connection->out = g_byte_array_new();
    BbH1Reader_Init(&connection->reader, HTTP_REQUEST, connection);
    ev_io_init(&connection->read_watcher, handle_read, fd, EV_READ);
    ev_io_init(&connection->write_watcher, handle_write, fd, EV_WRITE);
    ev_init(&connection->idle_timer, handle_idle);
    ev_init(&connection->end_timer, check_end);
    connection->end_timer.repeat = END_CHECK_S;
    connection->transfer.base.arg = connection;
    connection->transfer.resume = BbH1Connection_Resume;
    connection->read_watcher.data = connection;
    connection->write_watcher.data = connection;
    connection->idle_timer.data = connection;
    connection->end_timer.data = connection;
    DL_APPEND(server->connections, connection);
    ev_io_start(server->loop, &connection->read_watcher);
    BbH1Connection_RestartIdleTimer(connection);
}

static void
handle_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    bb_h1_server_t *server = watcher->data;

    for (int i = 0; i < ACCEPTS_PER_EVENT; i++) {
        int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        add_connection(server, fd);
    }
}

int
BbH1Server_New(const bb_h1_server_options_t *options, bb_h1_server_t **out)
{
    int fd = BbH1_Listen(options->address);

    if (fd < 0) {
        return fd;
    }
    bb_h1_server_t *server = g_new0(bb_h1_server_t, 1);
    server->loop = options->loop;
    server->fd = fd;
    server->handler = options->handler;
    server->arg = options->arg;
    server->pacer = options->pacer;
    BbH1Server_SetLimits(server, options->max_head_bytes, options->idle_s,
                         options->head_s);
    ev_io_init(&server->accept_watcher, handle_accept, fd, EV_READ);
    server->accept_watcher.data = server;
    ev_io_start(server->loop, &server->accept_watcher);
    *out = server;
    return 0;
}

void
BbH1Server_Free(bb_h1_server_t *server)
{
    bb_h1_connection_t *connection, *next;

    if (server == NULL) {
        return;
    }
    ev_io_stop(server->loop, &server->accept_watcher);
    close(server->fd);
    DL_FOREACH_SAFE (server->connections, connection, next) {
        connection->depth++;
        BbH1Connection_Close(connection);
        BbH1Connection_Release(connection);
    }
    g_free(server);
}

bool
BbH1Server_IsFlushed(const bb_h1_server_t *server)
{
    const bb_h1_connection_t *connection;

    DL_FOREACH (server->connections, connection) {
        if (BbH1Connection_HasUnsentBytes(connection)) {
            return false;
        }
    }
    return true;
}

void
BbH1Server_SetLimits(bb_h1_server_t *server, size_t max_head_bytes,
                     double idle_s, double head_s)
{
    server->max_head_bytes =
        max_head_bytes > 0 ? max_head_bytes : DEFAULT_HEAD_BYTES;
    server->idle_s = idle_s > 0 ? idle_s : DEFAULT_IDLE_S;
    server->head_s = head_s > 0 ? head_s : DEFAULT_IDLE_S;
}

void
BbH1Server_SetClosing(bb_h1_server_t *server)
{
    server->is_closing = true;
}
