#include <poll.h>

#include "bb_exchange.h"

/* A suspended connection is not polled, so the end of its stream is looked
 * for here. While a body arrives, libmicrohttpd (0.9.75 with epoll) misses an
 * end that came together with the last bytes. A caller that closed only its
 * sending side counts as gone. */
static bool
is_caller_gone(const bb_exchange_t *exchange)
{
    struct pollfd poll_fd = {.events = POLLRDHUP};

    if (!exchange->is_suspended && exchange->phase != BB_PHASE_BODY) {
        return false;
    }
    poll_fd.fd = BbExchange_Socket(exchange);
    return poll(&poll_fd, 1, 0) > 0;
}

/* The caller neither sends its body nor takes the response. */
static void
drop_stalled_caller(bb_exchange_t *exchange)
{
    bool was_sent = BbAttempt_Withdraw(exchange);

    BbReason_Count(BB_REASON_SLOW_CALLER);
    if (exchange->response == NULL) {
        BbExchange_Answer(exchange, BbReason_Status(BB_REASON_SLOW_CALLER),
                          was_sent ? BB_OUTCOME_UNKNOWN : BB_OUTCOME_NOT_RUN,
                          BB_REASON_SLOW_CALLER, 0);
        return;
    }
    BbExchange_Close(exchange);
}

static bool
is_body_moving(const bb_exchange_t *exchange)
{
    if (exchange->phase == BB_PHASE_BODY) {
        return true;
    }
    return exchange->upstream != NULL && exchange->body_asked &&
           exchange->upload.size > 0;
}

static void
handle_stall(bb_exchange_t *exchange)
{
    if (!exchange->is_begun) {
        drop_stalled_caller(exchange);
        return;
    }
    if (exchange->phase == BB_PHASE_HEAD) {
        return; /* waits for admission, which the deadline limits */
    }
    if (exchange->phase == BB_PHASE_REPLY || is_body_moving(exchange)) {
        if (!exchange->is_suspended && exchange->phase != BB_PHASE_WAIT) {
            drop_stalled_caller(exchange);
            return;
        }
        if (exchange->upstream != NULL &&
            (exchange->is_passing || exchange->body_asked)) {
            BbAttempt_Fail(exchange, BB_ATTEMPT_STALLED);
        }
    }
    else if (exchange->has_head && exchange->upstream != NULL) {
        BbAttempt_Fail(exchange, BB_ATTEMPT_STALLED);
    }
}

/* A request that waits for body bytes does not end by itself, neither by its
 * response nor by the end of its connection. */
static void
check_waiting_request(bb_exchange_t *exchange)
{
    bb_upstream_t *upstream = exchange->upstream;

    if (upstream == NULL || !BbUpstream_IsReadWaiting(upstream)) {
        return;
    }
    if (exchange->has_head && exchange->status >= 300) {
        BbUpstream_ResumeRead(upstream);
    }
    else if (BbUpstream_IsAbandoned(upstream)) {
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
        if (BbAttempt_IsLive(exchange)) {
            BbAttempt_Withdraw(exchange);
            BbReason_Count(BB_REASON_CALLER_GONE);
        }
        BbExchange_Close(exchange);
    }
    else if (now_ms - exchange->progress_ms >= options->stall_ms) {
        handle_stall(exchange);
    }
}
