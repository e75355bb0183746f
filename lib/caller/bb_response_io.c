#include <string.h>
#include <sys/socket.h>

#include "bb_counters.h"
#include "bb_exchange.h"
#include "bb_headers.h"

/* Time from an error response written directly to the socket to the close of
 * this socket. */
#define LINGER_MS 1000
/* Most bytes that libmicrohttpd requests from read_response() at once. */
#define MAX_READER_BLOCK (32 * 1024)

/* libmicrohttpd accepts no response while it receives a head or body. An error
 * response that cannot wait for the end of the body is therefore written
 * directly to the socket, on which no response byte was sent before. */
static void
write_error_response(bb_exchange_t *exchange, bb_outcome_t outcome,
                     bb_reason_t reason)
{
    char text[512];
    const char *name = BbReason_Name(reason);

    int length = g_snprintf(
        text, sizeof(text),
        "HTTP/1.1 %u %s\r\nConnection: close\r\nContent-Type: text/plain\r\n"
        "Content-Length: %zu\r\n" BB_HEADER_OUTCOME ": %s\r\n" BB_HEADER_REASON
        ": %s\r\n\r\n%s\n",
        exchange->status, MHD_get_reason_phrase_for(exchange->status),
        strlen(name) + 1, BbOutcome_Name(outcome), name, name);
    int fd = BbExchange_GetSocket(exchange);
    if (send(fd, text, (size_t)length, MSG_DONTWAIT | MSG_NOSIGNAL) < 0) {
        BbCounters_Add(BB_COUNTER_RESPONSES_ABANDONED, 1);
    }
    shutdown(fd, SHUT_WR);
    exchange->is_discarding_body = true;
    exchange->linger_until_ms = BbProxy_Now() + LINGER_MS;
    BbExchange_Resume(exchange);
}

static void
add_number_header(struct MHD_Response *response, const char *name, int value)
{
    char text[16];

    g_snprintf(text, sizeof(text), "%d", value);
    MHD_add_response_header(response, name, text);
}

/* Adds the headers that this node sets on every response. */
static void
add_common_headers(bb_exchange_t *exchange)
{
    bb_admission_t *admission = exchange->proxy->options.admission;

    if (exchange->is_hop) {
        add_number_header(exchange->response, BB_HEADER_LOAD,
                          BbAdmission_RunningCount(admission) +
                              BbAdmission_QueuedCount(admission));
    }
    if (exchange->proxy->is_draining) {
        MHD_add_response_header(exchange->response, "Connection", "close");
    }
}

static bool
must_write_to_socket(const bb_exchange_t *exchange, bb_reason_t reason)
{
    if (!exchange->is_head_checked) {
        return true;
    }
    if (exchange->upload_ended) {
        return false;
    }
    if (exchange->phase == BB_PHASE_HEAD) {
        /* After a response queued before the body, libmicrohttpd closes the
         * connection, which resets it if body bytes are unread. A caller that
         * waits for "100 Continue" sends no such bytes. */
        return !BbExchange_CanDiscardBody(exchange) &&
               BbExchange_GetHeader(exchange, "Expect") == NULL;
    }
    return exchange->phase == BB_PHASE_BODY &&
           (reason == BB_REASON_SLOW_CALLER ||
            !BbExchange_CanDiscardBody(exchange));
}

void
BbExchange_RespondError(bb_exchange_t *exchange, int status,
                        bb_outcome_t outcome, bb_reason_t reason,
                        int ran_status)
{
    char text[64];

    if (exchange->response != NULL || exchange->is_closing) {
        return;
    }
    ev_timer_stop(exchange->proxy->options.loop, &exchange->deadline_timer);
    g_snprintf(text, sizeof(text), "%s\n", BbReason_Name(reason));
    exchange->status = (unsigned int)status;
    exchange->response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(exchange->response, "Content-Type", "text/plain");
    MHD_add_response_header(exchange->response, BB_HEADER_OUTCOME,
                            BbOutcome_Name(outcome));
    MHD_add_response_header(exchange->response, BB_HEADER_REASON,
                            BbReason_Name(reason));
    if (ran_status > 0) {
        add_number_header(exchange->response, BB_HEADER_STATUS, ran_status);
    }
    add_common_headers(exchange);
    if (must_write_to_socket(exchange, reason)) {
        write_error_response(exchange, outcome, reason);
        return;
    }
    exchange->is_discarding_body = true;
    BbExchange_Resume(exchange);
}

static ssize_t
read_response(void *arg, uint64_t position, char *data, size_t size)
{
    (void)position;
    bb_exchange_t *exchange = arg;
    size_t count = BbStream_Read(&exchange->download, data, size);

    if (count > 0) {
        exchange->last_progress_ms = BbProxy_Now();
        if (exchange->upstream != NULL &&
            BbStream_Space(&exchange->download) >=
                exchange->download.limit / 2) {
            BbUpstream_ResumeWrite(exchange->upstream);
        }
        return (ssize_t)count;
    }
    if (exchange->download_failed) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (exchange->download_ended) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    BbExchange_Suspend(exchange);
    return 0;
}

static void
add_response_headers(bb_exchange_t *exchange)
{
    const char *connection =
        BbAttempt_GetResponseHeader(exchange, "Connection");

    for (guint i = 0; i < exchange->headers->len; i++) {
        bb_header_t *header =
            &g_array_index(exchange->headers, bb_header_t, i);
        if (BbHeaders_IsHopByHop(header->name, connection)) {
            continue;
        }
        /* The target side drops all Burdock-* headers of the response, because
         * a target must not set them. The caller side drops Burdock-Load,
         * which is meant for itself, keeps the others of the target-side node
         * and adds none. */
        if (BbHeaders_IsInternal(header->name) &&
            (exchange->is_target_side ||
             g_ascii_strcasecmp(header->name, BB_HEADER_LOAD) == 0)) {
            continue;
        }
        /* libmicrohttpd rejects tabs, which are equivalent to spaces here. */
        MHD_add_response_header(exchange->response, header->name,
                                g_strdelimit(header->value, "\t", ' '));
    }
}

void
BbExchange_ForwardResponse(bb_exchange_t *exchange)
{
    bool has_body = strcmp(exchange->method, "HEAD") != 0 &&
                    exchange->status != MHD_HTTP_NO_CONTENT &&
                    exchange->status != MHD_HTTP_NOT_MODIFIED;
    uint64_t size = MHD_SIZE_UNKNOWN;

    if (exchange->content_length >= 0) {
        size = (uint64_t)exchange->content_length;
    }
    else if (!has_body && exchange->status != MHD_HTTP_OK) {
        size = 0;
    }
    exchange->is_forwarding = true;
    exchange->response = MHD_create_response_from_callback(
        size, (size_t)CLAMP(size, 1, MAX_READER_BLOCK), read_response,
        exchange, NULL);
    add_response_headers(exchange);
    add_common_headers(exchange);
    if (exchange->status >= 300) {
        /* libcurl stops sending the body after such a response. */
        exchange->is_discarding_body = true;
    }
    BbExchange_Resume(exchange);
}

void
BbExchange_EndForwarding(bb_exchange_t *exchange, bool is_complete)
{
    exchange->download_ended = true;
    exchange->is_discarding_body = true;
    if (!is_complete) {
        exchange->download_failed = true;
        BbCounters_Add(BB_COUNTER_TRUNCATED, 1);
    }
    ev_timer_stop(exchange->proxy->options.loop, &exchange->deadline_timer);
    BbExchange_Resume(exchange);
}
