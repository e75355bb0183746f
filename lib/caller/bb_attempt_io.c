#include <string.h>

#include "bb_exchange.h"
#include "bb_headers.h"

/* ---- callbacks of bb_upstream_io ---- */

static void
save_for_retry(bb_exchange_t *exchange, const char *data, size_t size)
{
    if (exchange->is_hop || !exchange->can_resend) {
        exchange->can_resend = false;
        return;
    }
    if (exchange->replay == NULL) {
        exchange->replay = g_byte_array_new();
    }
    if (exchange->replay->len + size > BB_PROXY_REPLAY_BYTES) {
        exchange->can_resend = false;
        return;
    }
    g_byte_array_append(exchange->replay, (const guint8 *)data, (guint)size);
    exchange->replay_sent = exchange->replay->len;
}

static size_t
read_replay(bb_exchange_t *exchange, char *data, size_t size)
{
    size_t left = exchange->replay != NULL
                      ? exchange->replay->len - exchange->replay_sent
                      : 0;
    size_t count = MIN(left, size);

    if (count > 0) {
        memcpy(data, exchange->replay->data + exchange->replay_sent, count);
        exchange->replay_sent += count;
    }
    return count;
}

static size_t
handle_read(void *arg, char *data, size_t size, bool *is_end)
{
    bb_exchange_t *exchange = arg;

    if (!exchange->body_requested) {
        exchange->body_requested = true;
        exchange->last_progress_ms = BbProxy_Now();
        BbExchange_ReceiveBody(exchange);
    }
    size_t count = read_replay(exchange, data, size);
    if (count == 0) {
        count = BbExchange_TakeBody(exchange, data, size);
        if (count > 0) {
            save_for_retry(exchange, data, count);
        }
    }
    if (count > 0) {
        exchange->last_progress_ms = BbProxy_Now();
    }
    *is_end = count == 0 && exchange->upload_ended;
    return count;
}

static void
handle_header(void *arg, const char *name, const char *value)
{
    bb_exchange_t *exchange = arg;
    bb_header_t header = {g_strdup(name), g_strdup(value)};

    g_array_append_val(exchange->headers, header);
}

static void
handle_head(void *arg, unsigned int status, int64_t body_bytes)
{
    bb_exchange_t *exchange = arg;

    exchange->has_response_head = true;
    exchange->status = status;
    exchange->content_length = body_bytes;
    exchange->last_progress_ms = BbProxy_Now();
    if (exchange->is_target_side) {
        BbTargetSide_OnHead(exchange);
    }
    else {
        BbCallerSide_OnHead(exchange);
    }
}

static bool
handle_write(void *arg, const char *data, size_t size)
{
    bb_exchange_t *exchange = arg;

    exchange->last_progress_ms = BbProxy_Now();
    if (!exchange->is_forwarding) {
        return true; /* The body of a refusal only repeats its headers. */
    }
    if (BbStream_Space(&exchange->download) < size) {
        return false;
    }
    BbStream_Write(&exchange->download, data, size);
    exchange->forwarded_bytes += (int64_t)size;
    BbExchange_ResumeResponse(exchange);
    return true;
}

static void
end_forwarding(bb_exchange_t *exchange, bool is_complete)
{
    int status = is_complete ? (int)exchange->status : 0;

    BbCallerSide_EndAttempt(exchange, is_complete ? BB_BALANCER_SERVED
                                                  : BB_BALANCER_FAILED);
    BbTargetSide_Finish(exchange, status, true);
    BbExchange_EndForwarding(exchange, is_complete);
}

/* Reports a request that ended without a response to forward. */
static void
report_failure(bb_exchange_t *exchange, bb_attempt_result_t result,
               bool was_sent)
{
    if (exchange->is_target_side) {
        BbTargetSide_OnFailure(exchange, result, was_sent);
        return;
    }
    bb_attempt_report_t report = {
        .result = was_sent ? result : BB_ATTEMPT_CONNECT_FAILED,
        .can_resend = exchange->can_resend,
    };
    BbCallerSide_OnAttempt(exchange, &report);
}

static void
handle_done(void *arg, CURLcode code, bool was_sent)
{
    bb_exchange_t *exchange = arg;

    exchange->upstream = NULL;
    if (exchange->is_forwarding) {
        end_forwarding(exchange, code == CURLE_OK);
    }
    else if (exchange->was_refused) {
        BbCallerSide_OnRefusal(exchange);
    }
    else {
        report_failure(exchange, BB_ATTEMPT_BROKEN, was_sent);
    }
}

static const bb_upstream_events_t upstream_events = {
    .read_body = handle_read,
    .header = handle_header,
    .head = handle_head,
    .write_body = handle_write,
    .done = handle_done,
};

/* ---- request headers ---- */

typedef struct {
    struct curl_slist *list;
    const char *connection;
    bool has_accept;
} header_filter_t;

static enum MHD_Result
forward_header(void *arg, enum MHD_ValueKind kind, const char *name,
               const char *value)
{
    (void)kind;
    header_filter_t *filter = arg;

    if (BbHeaders_IsInternal(name) ||
        BbHeaders_IsHopByHop(name, filter->connection)) {
        return MHD_YES;
    }
    if (g_ascii_strcasecmp(name, "Accept") == 0) {
        filter->has_accept = true;
    }
    filter->list = BbHeaders_Append(filter->list, name, value);
    return MHD_YES;
}

struct curl_slist *
BbAttempt_BuildHeaders(const bb_exchange_t *exchange)
{
    header_filter_t filter = {0};
    char text[24];

    filter.connection = BbExchange_GetHeader(exchange, "Connection");
    MHD_get_connection_values(exchange->connection, MHD_HEADER_KIND,
                              forward_header, &filter);
    if (!filter.has_accept) {
        /* Keeps libcurl from adding its default Accept header. */
        filter.list = curl_slist_append(filter.list, "Accept:");
    }
    int64_t left = MAX(exchange->deadline_ms - BbProxy_Now(), 1);
    g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, (gint64)left);
    filter.list = BbHeaders_Append(filter.list, BB_HEADER_DEADLINE, text);
    return BbHeaders_Append(filter.list, BB_HEADER_CALL, exchange->call_id);
}

/* ---- response head ---- */

static void
clear_header(void *item)
{
    bb_header_t *header = item;

    g_free(header->name);
    g_free(header->value);
}

const char *
BbAttempt_GetResponseHeader(const bb_exchange_t *exchange, const char *name)
{
    for (guint i = 0; exchange->headers != NULL && i < exchange->headers->len;
         i++) {
        const bb_header_t *header =
            &g_array_index(exchange->headers, bb_header_t, i);
        if (g_ascii_strcasecmp(header->name, name) == 0) {
            return header->value;
        }
    }
    return NULL;
}

void
BbAttempt_ClearResponse(bb_exchange_t *exchange)
{
    if (exchange->headers != NULL) {
        g_array_unref(exchange->headers);
        exchange->headers = NULL;
    }
    exchange->has_response_head = false;
    exchange->was_refused = false;
    exchange->body_requested = false;
    exchange->replay_sent = 0;
    exchange->load = -1.0;
}

/* ---- request ---- */

bool
BbAttempt_Send(bb_exchange_t *exchange, const char *address,
               struct curl_slist *headers, bool use_new_connection,
               bool expect_continue)
{
    BbAttempt_ClearResponse(exchange);
    exchange->headers = g_array_new(FALSE, FALSE, sizeof(bb_header_t));
    g_array_set_clear_func(exchange->headers, clear_header);
    exchange->last_progress_ms = BbProxy_Now();
    bb_upstream_options_t options = {
        .address = address,
        .target = exchange->uri,
        .method = exchange->method,
        .headers = headers,
        .body_bytes = exchange->body_bytes,
        .use_new_connection = use_new_connection,
        .expect_continue = expect_continue,
        .events = &upstream_events,
        .arg = exchange,
    };
    exchange->upstream =
        BbUpstream_Start(exchange->proxy->upstreams, &options);
    if (exchange->upstream != NULL && !expect_continue) {
        BbExchange_ReceiveBody(exchange);
    }
    return exchange->upstream != NULL;
}

static bool
cancel_upstream(bb_exchange_t *exchange)
{
    bb_upstream_t *upstream = exchange->upstream;

    if (upstream == NULL) {
        return false;
    }
    bool was_sent = BbUpstream_WasSent(upstream);
    exchange->upstream = NULL;
    BbUpstream_Cancel(upstream);
    return was_sent;
}

void
BbAttempt_Fail(bb_exchange_t *exchange, bb_attempt_result_t result)
{
    bool was_sent = cancel_upstream(exchange);

    if (exchange->is_forwarding) {
        /* The response is complete if only request body bytes were missing. */
        end_forwarding(exchange, result == BB_ATTEMPT_BROKEN &&
                                     exchange->forwarded_bytes ==
                                         exchange->content_length);
    }
    else if (exchange->was_refused) {
        BbCallerSide_OnRefusal(exchange);
    }
    else {
        report_failure(exchange, result, was_sent);
    }
}

bool
BbAttempt_IsActive(const bb_exchange_t *exchange)
{
    return exchange->upstream != NULL || exchange->claim != NULL ||
           exchange->ticket.state == BB_TICKET_QUEUED ||
           exchange->ticket.state == BB_TICKET_RUNNING ||
           exchange->is_balancer_attempt_open ||
           ev_is_active(&exchange->retry_timer);
}

bool
BbAttempt_Cancel(bb_exchange_t *exchange)
{
    struct ev_loop *loop = exchange->proxy->options.loop;
    bool was_sent = cancel_upstream(exchange);

    ev_timer_stop(loop, &exchange->deadline_timer);
    ev_timer_stop(loop, &exchange->retry_timer);
    BbCallerSide_EndAttempt(exchange, BB_BALANCER_INCONCLUSIVE);
    BbTargetSide_Finish(exchange, 0, was_sent);
    return was_sent || exchange->call.maybe_ran;
}

/* ---- deadline ---- */

static void
handle_deadline(struct ev_loop *loop, ev_timer *timer, int revents)
{
    (void)loop;
    (void)revents;
    bb_exchange_t *exchange = timer->data;

    if (exchange->upstream != NULL) {
        BbAttempt_Fail(exchange, BB_ATTEMPT_TIMEOUT);
    }
    else if (exchange->is_target_side) {
        BbTargetSide_OnDeadline(exchange);
    }
    else {
        BbCallerSide_OnDeadline(exchange);
    }
}

void
BbAttempt_SetDeadline(bb_exchange_t *exchange, int64_t deadline_ms)
{
    struct ev_loop *loop = exchange->proxy->options.loop;
    int64_t left = MAX(deadline_ms - BbProxy_Now(), 0);

    exchange->deadline_ms = deadline_ms;
    ev_timer_init(&exchange->deadline_timer, handle_deadline,
                  (double)left / 1000.0, 0.0);
    exchange->deadline_timer.data = exchange;
    ev_timer_start(loop, &exchange->deadline_timer);
}
