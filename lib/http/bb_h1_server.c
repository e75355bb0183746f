#include "bb_h1_server.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "bb_error.h"

#define READ_BYTES 65536
#define DEFAULT_HEAD_BYTES 65536
#define DEFAULT_IDLE_S 60.0
#define ACCEPTS_PER_EVENT 64

/* Interval at which a connection that is not read is checked for its end. */
#define END_CHECK_S 0.1

/* After the last response a connection stays open for reading for this long:
 * closing it with unread bytes would reset it, and the client could lose the
 * response. */
#define LINGER_S 1.0

struct bb_h1_connection {
    bb_h1_reader_t reader;
    bb_h1_server_t *server;
    int fd;
    ev_io read_watcher;
    ev_io write_watcher;
    ev_timer idle_timer; /* also limits the reading of a head, and lingering */
    ev_timer end_timer;  /* runs while the connection is not read */
    bb_h1_request_t *requests;        /* in order of arrival */
    bb_h1_request_t *current_request; /* whose head or body is being read */
    int request_count;
    GByteArray *out;
    size_t out_offset;
    int depth;             /* callbacks in progress */
    bool is_paused;        /* by the handler */
    bool is_close_pending; /* closed after the responses to open requests */
    bool is_lingering;     /* the last response was sent; input is dropped */
    bool is_broken;        /* a write failed; closed by the idle timer */
    bool is_closed;        /* freed once depth is 0 */
    bool has_partial_head; /* the head of the newest request is incomplete */
    struct bb_h1_connection *prev, *next;
};

struct bb_h1_server {
    struct ev_loop *loop;
    int fd;
    ev_io accept_watcher;
    const bb_h1_handler_t *handler;
    void *arg;
    size_t max_head_bytes;
    double idle_s;
    double head_s;
    bool is_closing; /* see BbH1Server_SetClosing() */
    bb_h1_connection_t *connections;
};

static void flush_connection(bb_h1_connection_t *connection);

/* ---- closing of connections, idle timeout ---- */

static void
free_request(bb_h1_request_t *request)
{
    g_string_free(request->target, TRUE);
    BbH1Fields_Free(&request->fields);
    g_byte_array_unref(request->out);
    g_free(request);
}

static void
drop_request(bb_h1_connection_t *connection, bb_h1_request_t *request)
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

static void
close_connection(bb_h1_connection_t *connection)
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
    close(connection->fd);
    while (connection->requests != NULL) {
        bb_h1_request_t *request = connection->requests;
        if (request->is_head_reported && !request->is_response_ended &&
            server->handler->on_connection_lost != NULL) {
            server->handler->on_connection_lost(request, server->arg);
        }
        drop_request(connection, request);
    }
    connection->depth--;
}

static void
release_connection(bb_h1_connection_t *connection)
{
    connection->depth--;
    if (connection->is_closed && connection->depth == 0) {
        free_connection(connection);
    }
}

static void
update_read_watcher(bb_h1_connection_t *connection)
{
    struct ev_loop *loop = connection->server->loop;
    bool can_read = !connection->is_broken && !connection->is_paused &&
                    connection->request_count < BB_H1_MAX_PIPELINE;

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
        close_connection(connection);
        release_connection(connection);
    }
}

static void
restart_idle_timer(bb_h1_connection_t *connection)
{
    bb_h1_server_t *server = connection->server;

    if (connection->is_closed || connection->is_broken) {
        return;
    }
    connection->idle_timer.repeat =
        connection->has_partial_head ? server->head_s : server->idle_s;
    ev_timer_again(server->loop, &connection->idle_timer);
}

static void
handle_idle(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)events;
    bb_h1_connection_t *connection = timer->data;

    ev_timer_stop(loop, timer);
    if (!connection->is_lingering && !connection->is_broken &&
        connection->request_count > (connection->has_partial_head ? 1 : 0)) {
        return; /* started again when no request is open */
    }
    connection->depth++;
    close_connection(connection);
    release_connection(connection);
}

/* ---- responses ---- */

/* Closes the connection from the event loop. A handler that has just passed
 * data of a response would not expect on_connection_lost, and the end of its
 * request, before that call returns. */
static void
break_connection(bb_h1_connection_t *connection)
{
    struct ev_loop *loop = connection->server->loop;

    connection->is_broken = true;
    ev_io_stop(loop, &connection->read_watcher);
    ev_io_stop(loop, &connection->write_watcher);
    ev_timer_stop(loop, &connection->end_timer);
    ev_timer_stop(loop, &connection->idle_timer);
    ev_timer_set(&connection->idle_timer, 0.0, 0.0);
    ev_timer_start(loop, &connection->idle_timer);
}

/* Drops the data of responses on a broken connection. */
static void
drop_output(bb_h1_connection_t *connection)
{
    bb_h1_request_t *request;

    g_byte_array_set_size(connection->out, 0);
    connection->out_offset = 0;
    DL_FOREACH (connection->requests, request) {
        g_byte_array_set_size(request->out, 0);
    }
}

static bool
write_out(bb_h1_connection_t *connection)
{
    while (connection->out_offset < connection->out->len) {
        ssize_t sent = send(
            connection->fd, connection->out->data + connection->out_offset,
            connection->out->len - connection->out_offset, MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno == EINTR) {
                continue;
            }
            if (errno != EAGAIN && errno != EWOULDBLOCK) {
                break_connection(connection);
                return false;
            }
            ev_io_start(connection->server->loop, &connection->write_watcher);
            return false;
        }
        connection->out_offset += (size_t)sent;
    }
    g_byte_array_set_size(connection->out, 0);
    connection->out_offset = 0;
    ev_io_stop(connection->server->loop, &connection->write_watcher);
    return true;
}

/* Moves the bytes that may be sent next from the requests to the output of the
 * connection, in the order of the requests. *must_close: the connection is to
 * be closed after these bytes. */
static void
move_responses(bb_h1_connection_t *connection, bool *must_close)
{
    bb_h1_request_t *request = connection->requests;

    while (request != NULL) {
        bb_h1_request_t *next = request->next;
        if (request->out->len > 0) {
            g_byte_array_append(connection->out, request->out->data,
                                request->out->len);
            g_byte_array_set_size(request->out, 0);
        }
        if (request->is_aborted) {
            *must_close = true;
            return;
        }
        if (!request->is_response_ended || !request->is_read) {
            return;
        }
        drop_request(connection, request);
        request = next;
    }
    *must_close = connection->is_close_pending;
}

static void
start_lingering(bb_h1_connection_t *connection)
{
    bool has_open_requests = connection->requests != NULL;

    if (has_open_requests || shutdown(connection->fd, SHUT_WR) != 0) {
        close_connection(connection);
        return;
    }
    connection->is_lingering = true;
    connection->idle_timer.repeat = LINGER_S;
    ev_timer_again(connection->server->loop, &connection->idle_timer);
}

static void
report_drained(bb_h1_connection_t *connection)
{
    bb_h1_server_t *server = connection->server;
    bb_h1_request_t *request = connection->requests;

    if (!connection->is_closed && request != NULL &&
        request->is_awaiting_drain && !request->is_response_ended) {
        request->is_awaiting_drain = false;
        server->handler->on_drained(request, server->arg);
    }
}

static void
flush_connection(bb_h1_connection_t *connection)
{
    bool must_close = false;

    if (connection->is_broken) {
        drop_output(connection);
    }
    if (connection->is_closed || connection->is_broken ||
        connection->is_lingering) {
        return;
    }
    connection->depth++;
    move_responses(connection, &must_close);
    bool is_all_written = write_out(connection);
    if (is_all_written && must_close) {
        start_lingering(connection);
    }
    else if (connection->request_count == 0) {
        restart_idle_timer(connection);
    }
    if (is_all_written) {
        report_drained(connection);
    }
    update_read_watcher(connection);
    release_connection(connection);
}

static void
handle_write(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    flush_connection(watcher->data);
}

static void
write_head(bb_h1_request_t *request, int status, const bb_h1_fields_t *fields,
           int64_t content_length)
{
    bb_h1_connection_t *connection = request->connection;

    assert(!request->is_response_started);
    request->is_response_started = true;
    request->is_chunked = content_length == BB_H1_CHUNKED;
    BbH1_AppendFormat(request->out, "HTTP/1.1 %d %s\r\n", status,
                      http_status_str((enum http_status)status));
    if (fields != NULL) {
        BbH1Fields_Write(fields, request->out);
    }
    if (request->is_chunked) {
        BbH1_AppendFormat(request->out, "Transfer-Encoding: chunked\r\n");
    }
    else if (status != 204 && status != 304) {
        BbH1_AppendFormat(request->out,
                          "Content-Length: %" G_GINT64_FORMAT "\r\n",
                          content_length);
    }
    bool is_newest = request->next == NULL;
    if (connection->is_close_pending && is_newest) {
        BbH1_AppendFormat(request->out, "Connection: close\r\n");
    }
    else if (connection->server->is_closing && is_newest && request->is_read) {
        connection->is_close_pending = true;
        BbH1_AppendFormat(request->out, "Connection: close\r\n");
    }
    BbH1_AppendFormat(request->out, "\r\n");
}

void
BbH1_RespondInterim(bb_h1_request_t *request, int status)
{
    assert(!request->is_response_started);
    BbH1_AppendFormat(request->out, "HTTP/1.1 %d %s\r\n\r\n", status,
                      http_status_str((enum http_status)status));
    flush_connection(request->connection);
}

void
BbH1_RespondStart(bb_h1_request_t *request, int status,
                  const bb_h1_fields_t *fields, int64_t content_length)
{
    write_head(request, status, fields, content_length);
    flush_connection(request->connection);
}

static void
write_data(bb_h1_request_t *request, const void *data, size_t size)
{
    if (request->is_head_request || size == 0) {
        return;
    }
    if (request->is_chunked) {
        BbH1_WriteChunk(request->out, data, size);
    }
    else {
        g_byte_array_append(request->out, data, (guint)size);
    }
}

void
BbH1_RespondData(bb_h1_request_t *request, const void *data, size_t size)
{
    write_data(request, data, size);
    flush_connection(request->connection);
}

void
BbH1_RespondEnd(bb_h1_request_t *request)
{
    bb_h1_connection_t *connection = request->connection;

    assert(!request->is_response_ended);
    if (request->is_chunked && !request->is_head_request) {
        BbH1_WriteChunk(request->out, NULL, 0);
    }
    request->is_response_ended = true;
    if (connection->is_paused) {
        connection->is_paused = false;
    }
    flush_connection(connection);
}

void
BbH1_Respond(bb_h1_request_t *request, int status,
             const bb_h1_fields_t *fields, const void *body, size_t size)
{
    write_head(request, status, fields, (int64_t)size);
    write_data(request, body, size);
    BbH1_RespondEnd(request);
}

size_t
BbH1_UnsentBytes(const bb_h1_request_t *request)
{
    const bb_h1_connection_t *connection = request->connection;

    return request->out->len + connection->out->len - connection->out_offset;
}

void
BbH1_NotifyWhenDrained(bb_h1_request_t *request)
{
    request->is_awaiting_drain = true;
}

void
BbH1_Abort(bb_h1_request_t *request)
{
    request->is_response_ended = true;
    request->is_aborted = true;
    flush_connection(request->connection);
}

void
BbH1_PauseBody(bb_h1_request_t *request, bool is_paused)
{
    request->connection->is_paused = is_paused;
    update_read_watcher(request->connection);
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
store_head(bb_h1_connection_t *connection, bb_h1_request_t *request)
{
    bb_h1_reader_t *reader = &connection->reader;
    http_parser *parser = &reader->parser;
    GString *text = request->fields.text;

    BbH1Reader_EndHead(reader);
    request->method = http_method_str((enum http_method)parser->method);
    request->is_head_request = parser->method == HTTP_HEAD;
    g_string_assign(request->target, reader->target->str);
    request->fields.text = reader->fields.text;
    reader->fields.text = text;
    if (parser->flags & F_CHUNKED) {
        request->content_length = BB_H1_CHUNKED;
    }
    else if (parser->content_length == 0 ||
             parser->content_length == UINT64_MAX) {
        request->content_length =
            BbH1Fields_Get(&request->fields, "Content-Length") != NULL
                ? 0
                : BB_H1_NO_BODY;
    }
    else {
        request->content_length = (int64_t)parser->content_length;
    }
}

static int
on_headers_complete(http_parser *parser)
{
    bb_h1_connection_t *connection = connection_of(parser);
    bb_h1_server_t *server = connection->server;
    bb_h1_request_t *request = connection->current_request;

    bool has_length = parser->content_length != UINT64_MAX;
    if (connection->reader.head_bytes > server->max_head_bytes ||
        (has_length && parser->content_length > INT64_MAX)) {
        return -1;
    }
    store_head(connection, request);
    connection->has_partial_head = false;
    if (connection->is_broken) {
        return -1;
    }
    ev_timer_stop(server->loop, &connection->idle_timer);
    const char *expect = BbH1Fields_Get(&request->fields, "Expect");
    if (expect != NULL && strcasecmp(expect, "100-continue") == 0 &&
        connection->requests == request) {
        BbH1_AppendFormat(connection->out, "HTTP/1.1 100 Continue\r\n\r\n");
        write_out(connection);
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
        flush_connection(connection);
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
        close_connection(connection);
        return;
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
    size_t used = http_parser_execute(parser, &request_settings, data, size);
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
    if (size <= 0) {
        close_connection(connection);
    }
    else if (!connection->is_lingering) {
        parse_bytes(connection, data, (size_t)size);
        if (!connection->is_closed && !connection->is_broken &&
            connection->request_count <=
                (connection->has_partial_head ? 1 : 0)) {
            if (!ev_is_active(&connection->idle_timer)) {
                restart_idle_timer(connection);
            }
        }
        update_read_watcher(connection);
    }
    release_connection(connection);
}

/* ---- server ---- */

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
    connection->read_watcher.data = connection;
    connection->write_watcher.data = connection;
    connection->idle_timer.data = connection;
    connection->end_timer.data = connection;
    DL_APPEND(server->connections, connection);
    ev_io_start(server->loop, &connection->read_watcher);
    restart_idle_timer(connection);
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
        close_connection(connection);
        release_connection(connection);
    }
    g_free(server);
}

static bool
has_unsent_bytes(const bb_h1_connection_t *connection)
{
    const bb_h1_request_t *request;

    DL_FOREACH (connection->requests, request) {
        if (request->out->len > 0) {
            return true;
        }
    }
    return connection->out->len > connection->out_offset;
}

bool
BbH1Server_IsFlushed(const bb_h1_server_t *server)
{
    const bb_h1_connection_t *connection;

    DL_FOREACH (server->connections, connection) {
        if (has_unsent_bytes(connection)) {
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
