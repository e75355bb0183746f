#include <poll.h>

#include "bb_exchange.h"

/* Checks for the end of the caller's stream in two cases that libmicrohttpd
 * does not report: it does not poll suspended connections, and while it
 * receives a body, version 0.9.75 with epoll misses an end that arrives
 * together with the last bytes. A caller that closed only its sending side
 * counts as gone. */
static bool
is_caller_gone(const bb_exchange_t *exchange)
{
    struct pollfd poll_fd = {.events = POLLRDHUP};

    if (!exchange->is_suspended && exchange->phase != BB_PHASE_BODY) {
        return false;
    }
    poll_fd.fd = BbExchange_GetSocket(exchange);
    return poll(&poll_fd, 1, 0) > 0;
}

/* Ends the call of a caller that neither sends its request nor reads the
 * response. */
static void
drop_stalled_caller(bb_exchange_t *exchange)
{
    bool was_sent = BbAttempt_Cancel(exchange);

    BbReason_Count(BB_REASON_SLOW_CALLER);
    if (exchange->response == NULL) {
        BbExchange_RespondError(
            exchange, BbReason_Status(BB_REASON_SLOW_CALLER),
            was_sent ? BB_OUTCOME_UNKNOWN : BB_OUTCOME_NOT_RUN,
            BB_REASON_SLOW_CALLER, 0);
        return;
    }
    BbExchange_Close(exchange);
}

/* True while request body bytes are being received or are not yet forwarded.
 */
static bool
is_body_in_transfer(const bb_exchange_t *exchange)
{
    if (exchange->phase == BB_PHASE_BODY) {
        return true;
    }
    return exchange->upstream != NULL && exchange->body_requested &&
           exchange->upload.size > 0;
}

/* Decides which side has stalled and ends the exchange or its request. */
static void
handle_stall(bb_exchange_t *exchange)
{
    if (!exchange->is_head_checked) {
        drop_stalled_caller(exchange);
        return;
    }
    if (exchange->phase == BB_PHASE_HEAD) {
        return; /* waiting for admission, limited by the deadline */
    }
    /* A connection that is not suspended waits for the caller, except while
     * the request is complete and no response exists. */
    if (exchange->phase == BB_PHASE_RESPONSE ||
        is_body_in_transfer(exchange)) {
        if (!exchange->is_suspended &&
            exchange->phase != BB_PHASE_AWAIT_RESPONSE) {
            drop_stalled_caller(exchange);
            return;
        }
        if (exchange->upstream != NULL &&
            (exchange->is_forwarding || exchange->body_requested)) {
            BbAttempt_Fail(exchange, BB_ATTEMPT_STALLED);
        }
    }
    else if (exchange->has_response_head && exchange->upstream != NULL) {
        BbAttempt_Fail(exchange, BB_ATTEMPT_STALLED);
    }
}

/* While libcurl is paused for body bytes, neither a response nor a closed
 * connection ends the request, so both are checked here. */
static void
check_waiting_request(bb_exchange_t *exchange)
{
    bb_upstream_t *upstream = exchange->upstream;

    if (upstream == NULL || !BbUpstream_IsReadPaused(upstream)) {
        return;
    }
    /* libcurl stops sending the body after such a response. */
    if (exchange->has_response_head && exchange->status >= 300) {
        BbUpstream_ResumeRead(upstream);
    }
    else if (BbUpstream_IsClosedByPeer(upstream)) {
        BbAttempt_Fail(exchange, BB_ATTEMPT_BROKEN);
    }
}

void
BbExchange_Sweep(bb_exchange_t *exchange, int64_t now_ms)
{
    const bb_proxy_options_t *options = &exchange->proxy->options;

    if (exchange->is_closing) {
        return;
    }
    if (exchange->linger_until_ms > 0) {
        if (now_ms >= exchange->linger_until_ms) {
            BbExchange_Close(exchange);
        }
        return;
    }
    check_waiting_request(exchange);
    if (is_caller_gone(exchange)) {
        if (BbAttempt_IsActive(exchange)) {
            BbAttempt_Cancel(exchange);
            BbReason_Count(BB_REASON_CALLER_GONE);
        }
        BbExchange_Close(exchange);
    }
    else if (now_ms - exchange->last_progress_ms >= options->stall_ms) {
        handle_stall(exchange);
    }
}
