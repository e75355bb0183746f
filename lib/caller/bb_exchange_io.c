#include <string.h>
#include <sys/socket.h>

#include "bb_counters.h"
#include "bb_error.h"
#include "bb_exchange.h"
#include "bb_headers.h"
#include "bb_http_syntax.h"

/* A response made while the body is being received is sent after the rest of
 * the body if no more than this is left: closing a connection with unread
 * bytes resets it, and the response can be lost. */
#define MAX_DISCARDED_BYTES (1024 * 1024)

/* ---- state of the connection ---- */

void
BbExchange_Suspend(bb_exchange_t *exchange)
{
    if (!exchange->is_suspended) {
        exchange->is_suspended = true;
        MHD_suspend_connection(exchange->connection);
    }
}

void
BbExchange_Resume(bb_exchange_t *exchange)
{
    if (exchange->is_suspended) {
        exchange->is_suspended = false;
        MHD_resume_connection(exchange->connection);
        BbMhd_Wake(exchange->proxy->mhd);
    }
}

void
BbExchange_ResumeResponse(bb_exchange_t *exchange)
{
    if (exchange->phase == BB_PHASE_RESPONSE) {
        BbExchange_Resume(exchange);
    }
}

int
BbExchange_GetSocket(const bb_exchange_t *exchange)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info->connect_fd;
}

void
BbExchange_Close(bb_exchange_t *exchange)
{
    exchange->is_closing = true;
    exchange->download_ended = true;
    exchange->download_failed = true;
    if (exchange->is_suspended) {
        BbExchange_Resume(exchange);
    }
    else if (exchange->phase != BB_PHASE_HEAD || !exchange->is_head_checked) {
        /* libmicrohttpd polls the socket and has to see its end. */
        shutdown(BbExchange_GetSocket(exchange), SHUT_RDWR);
    }
}

const char *
BbExchange_GetHeader(const bb_exchange_t *exchange, const char *name)
{
    return MHD_lookup_connection_value(exchange->connection, MHD_HEADER_KIND,
                                       name);
}

/* ---- request ---- */

void *
BbExchange_OnUri(void *arg, const char *uri, struct MHD_Connection *connection)
{
    bb_proxy_t *proxy = arg;
    bb_exchange_t *exchange = g_new0(bb_exchange_t, 1);

    exchange->proxy = proxy;
    exchange->connection = connection;
    exchange->uri = g_strdup(uri);
    exchange->can_resend = true;
    exchange->load = -1.0;
    exchange->last_progress_ms = BbProxy_Now();
    BbStream_Init(&exchange->upload, proxy->options.buffer_bytes);
    BbStream_Init(&exchange->download, proxy->options.buffer_bytes);
    BbProxy_AddExchange(proxy, exchange);
    return exchange;
}

/* Number of Content-Length, Transfer-Encoding and Host headers of a request,
 * and the last value of the first two. */
typedef struct {
    bool has_invalid_name;
    int lengths;
    int encodings;
    int hosts;
    const char *length;
    const char *encoding;
} framing_t;

static enum MHD_Result
collect_framing_header(void *arg, enum MHD_ValueKind kind, const char *name,
                       const char *value)
{
    (void)kind;
    framing_t *framing = arg;

    if (!BbHttpSyntax_IsFieldName(name, strlen(name))) {
        framing->has_invalid_name = true;
    }
    else if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
        framing->lengths++;
        framing->length = value;
    }
    else if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0) {
        framing->encodings++;
        framing->encoding = value;
    }
    else if (g_ascii_strcasecmp(name, "Host") == 0) {
        framing->hosts++;
    }
    return MHD_YES;
}

/* Refuses ambiguous framing. If this node and the next hop disagreed on where
 * a request ends, a caller could smuggle a second request past this node. */
static bb_reason_t
check_framing(bb_exchange_t *exchange)
{
    framing_t framing = {0};

    MHD_get_connection_values(exchange->connection, MHD_HEADER_KIND,
                              collect_framing_header, &framing);
    exchange->body_bytes = BB_BODY_NONE;
    if (framing.has_invalid_name || framing.lengths + framing.encodings > 1 ||
        framing.hosts > 1) {
        return BB_REASON_BAD_REQUEST;
    }
    if (framing.encodings == 1) {
        exchange->body_bytes = BB_BODY_CHUNKED;
        if (g_ascii_strcasecmp(framing.encoding, "chunked") != 0) {
            return BB_REASON_BAD_REQUEST;
        }
    }
    if (framing.lengths == 1 &&
        !BbHeaders_ParseNumber(framing.length, 0, INT64_MAX,
                               &exchange->body_bytes)) {
        return BB_REASON_BAD_REQUEST;
    }
    if (exchange->body_bytes > exchange->proxy->options.max_body_bytes) {
        return BB_REASON_BODY_TOO_LARGE;
    }
    return BB_REASON_NONE;
}

static bool
is_valid_uri(const char *uri)
{
    if (uri[0] != '/') {
        return false;
    }
    for (const unsigned char *c = (const unsigned char *)uri; *c; c++) {
        if (*c <= ' ' || *c == 0x7f || *c == '#') {
            return false;
        }
    }
    return true;
}

static size_t
head_size(const bb_exchange_t *exchange)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        exchange->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    return info != NULL ? info->header_size : 0;
}

static bb_reason_t
check_head(bb_exchange_t *exchange, const char *method)
{
    bb_reason_t reason = check_framing(exchange);

    if (head_size(exchange) > exchange->proxy->options.max_header_bytes) {
        return BB_REASON_HEAD_TOO_LARGE;
    }
    if (reason != BB_REASON_NONE) {
        return reason;
    }
    if (BbConfig_MethodBit(method) == 0) {
        return BB_REASON_BAD_METHOD;
    }
    g_strlcpy(exchange->method, method, sizeof(exchange->method));
    if (!is_valid_uri(exchange->uri) ||
        (exchange->body_bytes != BB_BODY_NONE &&
         strcmp(method, "HEAD") == 0)) {
        return BB_REASON_BAD_REQUEST;
    }
    return BB_REASON_NONE;
}

static void
start_request(bb_exchange_t *exchange, const char *path, const char *method)
{
    exchange->is_head_checked = true;
    exchange->is_hop = BbExchange_GetHeader(exchange, BB_HEADER_HOP) != NULL;
    BbCounters_Add(exchange->is_hop ? BB_COUNTER_HOPS : BB_COUNTER_CALLS, 1);
    bb_reason_t reason = check_head(exchange, method);
    exchange->upload_ended = exchange->body_bytes == BB_BODY_NONE;
    if (reason != BB_REASON_NONE) {
        BbReason_Count(reason);
        BbExchange_RespondError(exchange, BbReason_Status(reason),
                                BB_OUTCOME_NOT_RUN, reason, 0);
    }
    else if (exchange->is_hop) {
        BbTargetSide_BeginHop(exchange);
    }
    else {
        BbCallerSide_Begin(exchange, path);
    }
}

bool
BbExchange_CanDiscardBody(const bb_exchange_t *exchange)
{
    return exchange->upload_ended ||
           (exchange->body_bytes >= 0 &&
            exchange->body_bytes - exchange->body_received <=
                MAX_DISCARDED_BYTES);
}

static enum MHD_Result
queue_response(bb_exchange_t *exchange)
{
    exchange->phase = BB_PHASE_RESPONSE;
    exchange->last_progress_ms = BbProxy_Now();
    return MHD_queue_response(exchange->connection, exchange->status,
                              exchange->response);
}

/* Called repeatedly until the body may be received or a response exists. */
static enum MHD_Result
handle_head(bb_exchange_t *exchange, const char *path, const char *method)
{
    if (!exchange->is_head_checked) {
        start_request(exchange, path, method);
    }
    if (exchange->is_closing) {
        return MHD_NO;
    }
    if (exchange->response != NULL && !BbExchange_CanDiscardBody(exchange) &&
        exchange->linger_until_ms == 0) {
        /* The body is not read, so the connection cannot be reused. */
        MHD_add_response_header(exchange->response, "Connection", "close");
        return queue_response(exchange);
    }
    if (exchange->response == NULL && !exchange->upload_ended &&
        !exchange->may_receive_body) {
        BbExchange_Suspend(exchange);
        return MHD_YES;
    }
    exchange->is_discarding_body = exchange->response != NULL;
    exchange->phase = BB_PHASE_BODY;
    exchange->last_progress_ms = BbProxy_Now();
    return MHD_YES;
}

static void
refuse_oversized_body(bb_exchange_t *exchange)
{
    bool was_sent = BbAttempt_Cancel(exchange);

    BbReason_Count(BB_REASON_BODY_TOO_LARGE);
    BbExchange_RespondError(exchange,
                            BbReason_Status(BB_REASON_BODY_TOO_LARGE),
                            was_sent ? BB_OUTCOME_UNKNOWN : BB_OUTCOME_NOT_RUN,
                            BB_REASON_BODY_TOO_LARGE, 0);
}

static enum MHD_Result
receive_body(bb_exchange_t *exchange, const char *data, size_t *size)
{
    size_t taken = *size;

    exchange->last_progress_ms = BbProxy_Now();
    if (!exchange->is_discarding_body) {
        taken = BbStream_Write(&exchange->upload, data, *size);
    }
    exchange->body_received += (int64_t)taken;
    *size -= taken;
    if (!exchange->is_discarding_body &&
        exchange->body_received > exchange->proxy->options.max_body_bytes) {
        refuse_oversized_body(exchange);
        return MHD_YES;
    }
    if (exchange->upstream != NULL && taken > 0) {
        BbUpstream_ResumeRead(exchange->upstream);
    }
    if (*size > 0) {
        BbExchange_Suspend(exchange);
    }
    return MHD_YES;
}

static enum MHD_Result
handle_await_response(bb_exchange_t *exchange)
{
    if (exchange->linger_until_ms > 0) {
        return MHD_NO;
    }
    if (exchange->response != NULL) {
        return queue_response(exchange);
    }
    BbExchange_Suspend(exchange);
    return MHD_YES;
}

static void
end_body(bb_exchange_t *exchange)
{
    exchange->phase = BB_PHASE_AWAIT_RESPONSE;
    exchange->upload_ended = true;
    exchange->last_progress_ms = BbProxy_Now();
    if (exchange->upstream != NULL) {
        BbUpstream_ResumeRead(exchange->upstream);
    }
}

enum MHD_Result
BbExchange_OnAccess(void *arg, struct MHD_Connection *connection,
                    const char *url, const char *method, const char *version,
                    const char *data, size_t *size, void **request_arg)
{
    (void)arg;
    (void)connection;
    (void)version;
    bb_exchange_t *exchange = *request_arg;

    if (exchange == NULL || exchange->is_closing) {
        return MHD_NO;
    }
    if (exchange->phase == BB_PHASE_HEAD) {
        return handle_head(exchange, url, method);
    }
    if (exchange->phase == BB_PHASE_BODY && *size > 0) {
        return receive_body(exchange, data, size);
    }
    if (exchange->phase == BB_PHASE_BODY) {
        end_body(exchange);
    }
    return handle_await_response(exchange);
}

void
BbExchange_ReceiveBody(bb_exchange_t *exchange)
{
    exchange->may_receive_body = true;
    if (exchange->phase == BB_PHASE_HEAD) {
        BbExchange_Resume(exchange);
    }
}

size_t
BbExchange_TakeBody(bb_exchange_t *exchange, char *data, size_t size)
{
    size_t count = BbStream_Read(&exchange->upload, data, size);

    /* Resuming only when half the buffer is free keeps wake-ups rare. */
    if (exchange->phase == BB_PHASE_BODY && exchange->is_suspended &&
        BbStream_Space(&exchange->upload) >= exchange->upload.limit / 2) {
        BbExchange_Resume(exchange);
    }
    return count;
}

void
BbExchange_OnCompleted(void *arg, struct MHD_Connection *connection,
                       void **request_arg,
                       enum MHD_RequestTerminationCode code)
{
    (void)arg;
    (void)connection;
    bb_exchange_t *exchange = *request_arg;

    if (exchange == NULL) {
        return;
    }
    *request_arg = NULL;
    if (!exchange->is_head_checked) {
        BbCounters_Add(BB_COUNTER_BAD_HEADS, 1);
    }
    if (BbAttempt_IsActive(exchange)) {
        BbAttempt_Cancel(exchange);
        BbReason_Count(BB_REASON_CALLER_GONE);
    }
    else if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK &&
             exchange->phase == BB_PHASE_RESPONSE && !exchange->is_closing &&
             !exchange->download_failed) {
        BbCounters_Add(BB_COUNTER_RESPONSES_ABANDONED, 1);
    }
    BbExchange_Free(exchange);
}

void
BbExchange_Free(bb_exchange_t *exchange)
{
    ev_timer_stop(exchange->proxy->options.loop, &exchange->deadline_timer);
    ev_timer_stop(exchange->proxy->options.loop, &exchange->retry_timer);
    BbProxy_RemoveExchange(exchange->proxy, exchange);
    BbAttempt_ClearResponse(exchange);
    if (exchange->response != NULL) {
        MHD_destroy_response(exchange->response);
    }
    if (exchange->replay != NULL) {
        g_byte_array_unref(exchange->replay);
    }
    BbStream_Clear(&exchange->upload);
    BbStream_Clear(&exchange->download);
    BbConfig_Unref(exchange->config);
    g_free(exchange->uri);
    g_free(exchange);
}
