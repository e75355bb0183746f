#include <assert.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utlist.h>

#include "bb_clock.h"
#include "bb_h1_server_private.h"

/* After the last response a connection stays open for reading for this long:
 * closing it with unread bytes would reset it, and the client could lose the
 * response. */
#define LINGER_S 1.0

/* Written bytes at the start of the output are removed when they are more than
 * this and more than half of it: with a pacer, a connection with pipelined
 * requests may never have written all. */
#define COMPACT_BYTES 65536

/* Closes the connection from the event loop. A handler that has just passed
 * data of a response would not expect on_connection_lost, and the end of its
 * request, before that call returns. */
static void
break_connection(bb_h1_connection_t *connection)
{
    struct ev_loop *loop = connection->server->loop;

    connection->is_broken = true;
    BbLinkPacer_Remove(connection->server->pacer, &connection->transfer);
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

/* Whether the kernel holds bytes of earlier pieces that it could not send yet.
 * More would only fill its queue, so the transfer yields its turn. The same
 * limit keeps the write watcher from firing until there is room. */
static bool
is_socket_full(bb_h1_connection_t *connection)
{
    int unsent;

    if (connection->unsent_limit == 0) {
        const bb_link_queue_t *queue =
            BbLinkPacer_Queue(connection->server->pacer);
        connection->unsent_limit =
            (int)MIN(BbLinkQueue_PieceBytes(queue), G_MAXINT);
        setsockopt(connection->fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT,
                   &connection->unsent_limit,
                   sizeof(connection->unsent_limit));
    }
    return ioctl(connection->fd, SIOCOUTQNSD, &unsent) == 0 &&
           unsent >= connection->unsent_limit;
}

/* Number of bytes that may be written now. If it is 0, the rest follows when
 * the pacer resumes the transfer or when the socket has room. */
static size_t
allowed_bytes(bb_h1_connection_t *connection, size_t unsent)
{
    const bb_h1_server_t *server = connection->server;
    bb_paced_transfer_t *transfer = &connection->transfer;

    if (server->pacer == NULL || !connection->is_bulk) {
        return unsent;
    }
    if (transfer->base.is_queued && is_socket_full(connection)) {
        BbLinkPacer_Return(server->pacer, transfer, 0);
        ev_io_start(server->loop, &connection->write_watcher);
        return 0;
    }
    size_t allowed = BbLinkPacer_Take(server->pacer, transfer, unsent);
    if (allowed == 0) {
        ev_io_stop(server->loop, &connection->write_watcher);
    }
    return allowed;
}

/* Counts the bytes that were written of those that allowed_bytes() returned.
 */
static void
count_written(bb_h1_connection_t *connection, size_t allowed, size_t written)
{
    bb_link_pacer_t *pacer = connection->server->pacer;

    if (pacer == NULL) {
        return;
    }
    if (!connection->is_bulk) {
        BbLinkPacer_Charge(pacer, written);
    }
    else if (written < allowed) {
        BbLinkPacer_Return(pacer, &connection->transfer, allowed - written);
    }
}

bool
BbH1Connection_WriteOut(bb_h1_connection_t *connection)
{
    while (connection->out_offset < connection->out->len) {
        size_t allowed = allowed_bytes(connection, connection->out->len -
                                                       connection->out_offset);
        if (allowed == 0) {
            return false;
        }
        ssize_t sent = TEMP_FAILURE_RETRY(send(
            connection->fd, connection->out->data + connection->out_offset,
            allowed, MSG_NOSIGNAL));
        if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
            break_connection(connection);
            return false;
        }
        size_t written = (size_t)MAX(sent, 0);
        count_written(connection, allowed, written);
        connection->out_offset += written;
        if (written < allowed) {
            ev_io_start(connection->server->loop, &connection->write_watcher);
            return false;
        }
    }
    g_byte_array_set_size(connection->out, 0);
    connection->out_offset = 0;
    connection->is_bulk = false;
    ev_io_stop(connection->server->loop, &connection->write_watcher);
    return true;
}

/* Orders the transfer of the connection by its most urgent response: those
 * behind a large one must wait for it. */
static void
add_to_transfer(bb_h1_connection_t *connection, const bb_h1_request_t *request)
{
    bb_link_transfer_t *transfer = &connection->transfer.base;

    if (!connection->is_bulk) {
        transfer->rank = request->rank;
        transfer->due_at = request->due_at;
    }
    else if (request->due_at > 0) {
        bool is_late =
            transfer->due_at < BbClock_Now(connection->server->loop);
        transfer->rank = MIN(transfer->rank, request->rank);
        transfer->due_at =
            is_late ? request->due_at : MIN(transfer->due_at, request->due_at);
    }
    connection->is_bulk = connection->is_bulk || request->is_bulk;
}

static void
remove_written(bb_h1_connection_t *connection)
{
    if (connection->out_offset > COMPACT_BYTES &&
        connection->out_offset > connection->out->len / 2) {
        g_byte_array_remove_range(connection->out, 0,
                                  (guint)connection->out_offset);
        connection->out_offset = 0;
    }
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
            add_to_transfer(connection, request);
            remove_written(connection);
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
        BbH1Connection_DropRequest(connection, request);
        request = next;
    }
    *must_close = connection->is_close_pending;
}

static void
start_lingering(bb_h1_connection_t *connection)
{
    bool has_open_requests = connection->requests != NULL;

    if (has_open_requests || shutdown(connection->fd, SHUT_WR) != 0) {
        BbH1Connection_Close(connection);
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

void
BbH1Connection_Flush(bb_h1_connection_t *connection)
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
    bool is_all_written = BbH1Connection_WriteOut(connection);
    if (is_all_written && must_close) {
        start_lingering(connection);
    }
    else if (connection->request_count == 0 || must_close) {
        BbH1Connection_RestartIdleTimer(connection);
    }
    if (is_all_written) {
        report_drained(connection);
    }
    BbH1Connection_UpdateReading(connection);
    BbH1Connection_Release(connection);
}

static void
write_head(bb_h1_request_t *request, int status, const bb_h1_fields_t *fields,
           int64_t content_length)
{
    bb_h1_connection_t *connection = request->connection;

    assert(!request->is_response_started);
    request->is_response_started = true;
    request->is_chunked = content_length == BB_H1_CHUNKED;
    request->body_size = MAX(content_length, 0);
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
    BbH1Connection_Flush(request->connection);
}

void
BbH1_RespondStart(bb_h1_request_t *request, int status,
                  const bb_h1_fields_t *fields, int64_t content_length)
{
    write_head(request, status, fields, content_length);
    BbH1Connection_Flush(request->connection);
}

static void
write_data(bb_h1_request_t *request, const void *data, size_t size)
{
    if (request->is_head_request || size == 0) {
        return;
    }
    if (request->is_chunked) {
        BbH1_WriteChunk(request->out, data, size);
        request->body_size += (int64_t)size;
    }
    else {
        g_byte_array_append(request->out, data, (guint)size);
    }
    request->is_bulk =
        request->due_at > 0 && request->body_size > BB_LINK_BULK_BYTES;
}

void
BbH1_RespondData(bb_h1_request_t *request, const void *data, size_t size)
{
    write_data(request, data, size);
    BbH1Connection_Flush(request->connection);
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
    BbH1Connection_Flush(connection);
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
    /* No request is accepted that could not be answered any more. */
    request->connection->is_close_pending = true;
    BbH1Connection_Flush(request->connection);
}

void
BbH1Connection_Resume(bb_paced_transfer_t *transfer)
{
    BbH1Connection_Flush(transfer->base.arg);
}

bool
BbH1Connection_HasUnsentBytes(const bb_h1_connection_t *connection)
{
    const bb_h1_request_t *request;

    DL_FOREACH (connection->requests, request) {
        if (request->out->len > 0) {
            return true;
        }
    }
    return connection->out->len > connection->out_offset;
}
