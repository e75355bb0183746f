#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "bb_exchange.h"
#include "bb_headers.h"

static void start_attempt(bb_exchange_t *exchange);

/* ---- results of attempts ---- */

static void
respond(bb_exchange_t *exchange, const bb_call_decision_t *decision)
{
    BbExchange_RespondError(exchange, decision->http_status, decision->outcome,
                            decision->reason, decision->ran_status);
}

/* Refuses a call before its first attempt. */
static void
refuse(bb_exchange_t *exchange, bb_reason_t reason)
{
    bb_call_decision_t decision = BbCall_Refuse(reason);

    respond(exchange, &decision);
}

/* Ends a call for which no further attempt is made. */
static void
give_up(bb_exchange_t *exchange, bb_reason_t reason)
{
    bb_call_decision_t decision = BbCall_GiveUp(&exchange->call, reason);

    respond(exchange, &decision);
}

static void
handle_retry(struct ev_loop *loop, ev_timer *timer, int revents)
{
    (void)loop;
    (void)revents;
    start_attempt(timer->data);
}

static void
retry(bb_exchange_t *exchange, const bb_call_decision_t *decision)
{
    BbAttempt_ClearResponse(exchange);
    if (decision->is_last_round) {
        exchange->tried_count = 0;
    }
    else if (!decision->same_target &&
             exchange->tried_count < BB_BALANCER_MAX_TRIED) {
        g_strlcpy(exchange->tried[exchange->tried_count++], exchange->address,
                  sizeof(exchange->tried[0]));
    }
    ev_timer_init(&exchange->retry_timer, handle_retry,
                  (double)decision->delay_ms / 1000.0, 0.0);
    exchange->retry_timer.data = exchange;
    ev_timer_start(exchange->proxy->options.loop, &exchange->retry_timer);
}

static bb_balancer_result_t
balancer_result(const bb_attempt_report_t *report)
{
    return report->result == BB_ATTEMPT_REFUSED
               ? BbBalancer_ClassifyRefusal(report->reason)
               : BB_BALANCER_FAILED;
}

void
BbCallerSide_EndAttempt(bb_exchange_t *exchange, bb_balancer_result_t result)
{
    if (exchange->is_balancer_attempt_open) {
        exchange->is_balancer_attempt_open = false;
        BbBalancer_EndAttempt(exchange->proxy->options.balancer,
                              exchange->address, result, exchange->load,
                              BbProxy_Now());
    }
}

void
BbCallerSide_OnAttempt(bb_exchange_t *exchange,
                       const bb_attempt_report_t *report)
{
    if (report->result != BB_ATTEMPT_RESPONSE) {
        BbCallerSide_EndAttempt(exchange, balancer_result(report));
    }
    bb_call_decision_t decision =
        BbCall_OnAttempt(&exchange->call, report, BbProxy_Now());
    switch (decision.action) {
    case BB_CALL_RETRY:
        retry(exchange, &decision);
        break;
    case BB_CALL_FORWARD:
        BbExchange_ForwardResponse(exchange);
        break;
    case BB_CALL_RESPOND:
        respond(exchange, &decision);
        break;
    case BB_CALL_TRUNCATE: /* bb_attempt_io.c ends forwarded responses */
        g_assert_not_reached();
    }
}

void
BbCallerSide_OnHead(bb_exchange_t *exchange)
{
    const char *load = BbAttempt_GetResponseHeader(exchange, BB_HEADER_LOAD);

    exchange->load = BbCall_ParseLoad(load);
    if (BbAttempt_GetResponseHeader(exchange, BB_HEADER_OUTCOME) != NULL) {
        /* The decision may start another request, which must not happen before
         * the end of this one: see BbCallerSide_OnRefusal(). */
        exchange->was_refused = true;
        return;
    }
    bb_attempt_report_t report = {.result = BB_ATTEMPT_RESPONSE};
    BbCallerSide_OnAttempt(exchange, &report);
}

void
BbCallerSide_OnRefusal(bb_exchange_t *exchange)
{
    const char *status =
        BbAttempt_GetResponseHeader(exchange, BB_HEADER_STATUS);
    int64_t ran_status = 0;

    if (status != NULL &&
        !BbHeaders_ParseNumber(status, 100, 999, &ran_status)) {
        ran_status = 0;
    }
    bb_attempt_report_t report = {
        .result = BB_ATTEMPT_REFUSED,
        .outcome = BbOutcome_Parse(
            BbAttempt_GetResponseHeader(exchange, BB_HEADER_OUTCOME)),
        .reason = BbReason_Parse(
            BbAttempt_GetResponseHeader(exchange, BB_HEADER_REASON)),
        .status = (int)ran_status,
        .can_resend = exchange->can_resend,
    };
    BbCallerSide_OnAttempt(exchange, &report);
}

void
BbCallerSide_OnDeadline(bb_exchange_t *exchange)
{
    ev_timer_stop(exchange->proxy->options.loop, &exchange->retry_timer);
    give_up(exchange, BB_REASON_DEADLINE_PASSED);
}

/* ---- attempts ---- */

static int
choose_target(bb_exchange_t *exchange, bb_choice_t *choice)
{
    const char *tried[BB_BALANCER_MAX_TRIED];

    for (size_t i = 0; i < exchange->tried_count; i++) {
        tried[i] = exchange->tried[i];
    }
    bb_choice_request_t request = {
        .service = exchange->pool->service->name,
        .key = BbCall_ChoiceKey(&exchange->call),
        .spill = exchange->pool->spill,
        .tried = tried,
        .tried_count = exchange->tried_count,
    };
    return BbBalancer_Choose(exchange->proxy->options.balancer, &request,
                             BbProxy_Now(), choice);
}

static void
send_to_node(bb_exchange_t *exchange)
{
    struct curl_slist *headers = BbAttempt_BuildHeaders(exchange);
    char attempt[16];

    g_snprintf(attempt, sizeof(attempt), "%d", exchange->attempt);
    headers = BbHeaders_Append(headers, BB_HEADER_ATTEMPT, attempt);
    headers = BbHeaders_Append(headers, BB_HEADER_HOP, "1");
    headers = BbHeaders_Append(headers, BB_HEADER_POOL, exchange->pool->name);
    if (exchange->call.is_last_round) {
        headers = BbHeaders_Append(headers, BB_HEADER_KEY_LAST, "1");
    }
    headers = BbHeaders_Append(headers, BB_HEADER_ONCE,
                               exchange->is_idempotent ? "0" : "1");
    /* A body too long to be kept for a retry is not sent before the
     * target-side node has admitted the call, so that a refused call can still
     * be retried. */
    bool expect_continue = exchange->body_bytes == BB_BODY_CHUNKED ||
                           exchange->body_bytes > BB_PROXY_REPLAY_BYTES;
    if (!BbAttempt_Send(exchange, exchange->address, headers, false,
                        expect_continue)) {
        bb_attempt_report_t report = {
            .result = BB_ATTEMPT_CONNECT_FAILED,
            .can_resend = exchange->can_resend,
        };
        BbCallerSide_OnAttempt(exchange, &report);
    }
}

static void
start_attempt(bb_exchange_t *exchange)
{
    bb_proxy_t *proxy = exchange->proxy;
    bb_choice_t choice;

    if (BbCall_Remaining(&exchange->call, BbProxy_Now()) <= 0) {
        give_up(exchange, BB_REASON_DEADLINE_PASSED);
        return;
    }
    int error = choose_target(exchange, &choice);
    if (error != 0 && BbCall_BeginLastRound(&exchange->call)) {
        exchange->tried_count = 0;
        error = choose_target(exchange, &choice);
    }
    if (error != 0) {
        give_up(exchange, BB_REASON_NO_LIVE_TARGET);
        return;
    }
    exchange->attempt = BbCall_BeginAttempt(&exchange->call);
    g_strlcpy(exchange->address, choice.address, sizeof(exchange->address));
    exchange->is_balancer_attempt_open = true;
    BbBalancer_BeginAttempt(proxy->options.balancer, exchange->address);
    if (strcmp(exchange->address, proxy->address) == 0) {
        BbTargetSide_BeginLocal(exchange);
    }
    else {
        send_to_node(exchange);
    }
}

/* ---- start of a call ---- */

static bb_retry_budget_t *
find_budget(bb_proxy_t *proxy, const char *pool)
{
    bb_retry_budget_t *budget = g_hash_table_lookup(proxy->budgets, pool);

    if (budget == NULL) {
        budget = g_new0(bb_retry_budget_t, 1);
        g_hash_table_insert(proxy->budgets, g_strdup(pool), budget);
    }
    return budget;
}

static void
make_call_id(bb_exchange_t *exchange)
{
    unsigned char bytes[BB_CALL_ID_HEX_LENGTH / 2];

    randombytes_buf(bytes, sizeof(bytes));
    sodium_bin2hex(exchange->call_id, sizeof(exchange->call_id), bytes,
                   sizeof(bytes));
}

static bb_reason_t
init_call(bb_exchange_t *exchange, const bb_route_t *route)
{
    bb_proxy_t *proxy = exchange->proxy;

    exchange->pool = route->pool;
    exchange->is_idempotent = BbRoute_IsIdempotent(route, exchange->method);
    bb_call_options_t options = {
        .policy = proxy->options.retry_policy,
        .pool = route->pool,
        .timeout_ms = route->timeout_ms,
        .idempotent = exchange->is_idempotent,
        .deadline_text = BbExchange_GetHeader(exchange, BB_HEADER_DEADLINE),
        .key = BbExchange_GetHeader(exchange, BB_HEADER_KEY),
        .budget = find_budget(proxy, route->pool->name),
        .random = proxy->options.random,
    };
    return BbCall_Init(&exchange->call, &options, BbProxy_Now());
}

void
BbCallerSide_Begin(bb_exchange_t *exchange, const char *path)
{
    bb_proxy_t *proxy = exchange->proxy;
    bb_config_t *config =
        BbActiveConfig_GetConfig(proxy->options.active_config);

    if (proxy->is_draining) {
        refuse(exchange, BB_REASON_NODE_DRAINING);
        return;
    }
    if (proxy->exchange_count > proxy->options.max_calls) {
        refuse(exchange, BB_REASON_TOO_MANY_CALLS);
        return;
    }
    if (config == NULL) {
        refuse(exchange, BB_REASON_NO_CONFIG);
        return;
    }
    exchange->config = BbConfig_Ref(config);
    const bb_route_t *route =
        BbConfig_FindRoute(config, BbExchange_GetHeader(exchange, "Host"),
                           path, exchange->method);
    if (route == NULL) {
        refuse(exchange, BB_REASON_NO_ROUTE);
        return;
    }
    bb_reason_t reason = init_call(exchange, route);
    if (reason != BB_REASON_NONE) {
        refuse(exchange, reason);
        return;
    }
    make_call_id(exchange);
    BbAttempt_SetDeadline(exchange, exchange->call.deadline_ms);
    start_attempt(exchange);
}
