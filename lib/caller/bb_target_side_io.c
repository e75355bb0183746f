#include <string.h>

#include "bb_exchange.h"

static const char *
idempotency_key(const bb_exchange_t *exchange)
{
    return BbExchange_GetHeader(exchange, BB_HEADER_KEY);
}

static bb_once_call_t
make_once_call(const bb_exchange_t *exchange)
{
    bb_once_call_t call = {
        .call_id = exchange->call_id,
        .attempt = exchange->attempt,
        .pool = exchange->pool->name,
        .is_last_round = exchange->is_last_round,
    };
    if (exchange->pool->once == BB_ONCE_MODE_WINDOW) {
        call.key = idempotency_key(exchange);
    }
    return call;
}

/* ---- refusals ---- */

/* Reports a refusal to the caller-side node, or to the caller side of this
 * node. */
static void
report_refusal(bb_exchange_t *exchange, bb_reason_t reason,
               bb_outcome_t outcome, int ran_status)
{
    if (exchange->is_hop) {
        BbExchange_RespondError(exchange, BbReason_Status(reason), outcome,
                                reason, ran_status);
        return;
    }
    bb_attempt_report_t report = {
        .result = BB_ATTEMPT_REFUSED,
        .outcome = outcome,
        .reason = reason,
        .status = ran_status,
        .can_resend = exchange->can_resend,
    };
    exchange->is_target_side = false;
    BbCallerSide_OnAttempt(exchange, &report);
}

/* Refuses a call that was certainly not run. The reason must have been counted
 * before. */
static void
refuse(bb_exchange_t *exchange, bb_reason_t reason)
{
    if (exchange->is_once_entry_open) {
        bb_once_call_t call = make_once_call(exchange);
        exchange->is_once_entry_open = false;
        reason = BbOnce_Refuse(exchange->proxy->options.once, &call, reason,
                               BbProxy_Now());
    }
    report_refusal(exchange, reason, BB_OUTCOME_NOT_RUN, 0);
}

static void
count_and_refuse(bb_exchange_t *exchange, bb_reason_t reason)
{
    BbReason_Count(reason);
    refuse(exchange, reason);
}

/* ---- end of a call ---- */

static void
release_slot(bb_exchange_t *exchange, bool was_served)
{
    bb_proxy_t *proxy = exchange->proxy;

    if (exchange->ticket.state == BB_TICKET_RUNNING) {
        BbAdmission_Finish(proxy->options.admission, &exchange->ticket,
                           was_served, BbProxy_Now());
        memset(&exchange->ticket, 0, sizeof(exchange->ticket));
        BbProxy_ProcessQueue(proxy);
    }
    else if (exchange->ticket.state == BB_TICKET_QUEUED) {
        BbAdmission_Cancel(proxy->options.admission, &exchange->ticket);
        memset(&exchange->ticket, 0, sizeof(exchange->ticket));
    }
}

static void
end_once_entry(bb_exchange_t *exchange, int status, bool was_sent)
{
    if (!exchange->is_once_entry_open) {
        return;
    }
    bb_once_t *once = exchange->proxy->options.once;
    bb_once_call_t call = make_once_call(exchange);
    exchange->is_once_entry_open = false;
    if (was_sent) {
        BbOnce_End(once, &call, status, BbProxy_Now());
    }
    else {
        BbOnce_Refuse(once, &call, BB_REASON_QUEUE_CANCELLED, BbProxy_Now());
    }
}

static void
end_claim(bb_exchange_t *exchange, int status, bool was_sent)
{
    bb_claim_io_t *claim = exchange->claim;

    exchange->claim = NULL;
    if (claim == NULL) {
        return;
    }
    if (status > 0) {
        BbClaimIo_End(claim, status);
    }
    else if (was_sent || !exchange->is_claimed) {
        BbClaimIo_Abandon(claim);
    }
    else {
        BbClaimIo_Release(claim, NULL, NULL);
    }
}

void
BbTargetSide_Finish(bb_exchange_t *exchange, int status, bool was_sent)
{
    if (!exchange->is_target_side) {
        return;
    }
    exchange->is_target_side = false;
    end_once_entry(exchange, status, was_sent);
    end_claim(exchange, status, was_sent);
    release_slot(exchange, status > 0);
}

/* ---- request to the target ---- */

static void
handle_claim_released(void *arg)
{
    bb_exchange_t *exchange = arg;

    exchange->claim = NULL;
    release_slot(exchange, false);
    count_and_refuse(exchange, exchange->not_sent_reason);
}

static void
fail_not_sent(bb_exchange_t *exchange, bb_reason_t reason)
{
    bb_claim_io_t *claim = exchange->claim;

    if (claim != NULL && exchange->is_claimed) {
        /* A retry reads the claim row, so the refusal is reported only after
         * the release of the claim. */
        exchange->is_claimed = false;
        exchange->not_sent_reason = reason;
        BbClaimIo_Release(claim, handle_claim_released, exchange);
        return;
    }
    exchange->claim = NULL;
    if (claim != NULL) {
        BbClaimIo_Abandon(claim);
    }
    release_slot(exchange, false);
    count_and_refuse(exchange, reason);
}

void
BbTargetSide_OnFailure(bb_exchange_t *exchange, bb_attempt_result_t result,
                       bool was_sent)
{
    bb_reason_t reason = BB_REASON_TARGET_LOST;

    if (!was_sent) {
        fail_not_sent(exchange, BB_REASON_TARGET_CONNECT);
        return;
    }
    if (result == BB_ATTEMPT_TIMEOUT) {
        reason = BB_REASON_CALL_TIMEOUT;
    }
    else if (result == BB_ATTEMPT_STALLED) {
        reason = BB_REASON_STALLED;
    }
    BbReason_Count(reason);
    BbTargetSide_Finish(exchange, 0, true);
    report_refusal(exchange, reason, BB_OUTCOME_UNKNOWN, 0);
}

void
BbTargetSide_OnDeadline(bb_exchange_t *exchange)
{
    fail_not_sent(exchange, BB_REASON_QUEUE_EXPIRED);
}

void
BbTargetSide_OnHead(bb_exchange_t *exchange)
{
    if (exchange->is_hop) {
        BbExchange_ForwardResponse(exchange);
        return;
    }
    bb_attempt_report_t report = {.result = BB_ATTEMPT_RESPONSE};
    BbCallerSide_OnAttempt(exchange, &report);
}

/* Checks again whether calls may start: the target or the node may have begun
 * to drain or left while the call waited for its claim (G7 in
 * docs/design.md). */
static void
send_to_target(bb_exchange_t *exchange)
{
    const bb_announcement_t *target =
        BbRegistry_Current(exchange->proxy->options.registry);

    /* A reused connection can close while the request is in flight; libcurl
     * then sends the request a second time on its own. */
    bool use_new_connection = !exchange->is_idempotent;
    bb_reason_t reason =
        BbAdmission_CheckStart(exchange->proxy->options.admission);
    if (reason != BB_REASON_NONE) {
        fail_not_sent(exchange, reason);
    }
    else if (!BbAttempt_Send(exchange, target->address,
                             BbAttempt_BuildHeaders(exchange),
                             use_new_connection, false)) {
        fail_not_sent(exchange, BB_REASON_TARGET_CONNECT);
    }
}

/* ---- claim ---- */

static void
handle_claim(bb_claim_action_t action, bb_reason_t reason, int status,
             void *arg)
{
    bb_exchange_t *exchange = arg;

    if (action == BB_CLAIM_RUN) {
        exchange->is_claimed = true;
        send_to_target(exchange);
        return;
    }
    BbClaimIo_Abandon(exchange->claim);
    exchange->claim = NULL;
    release_slot(exchange, false);
    if (BbReason_Outcome(reason) == BB_OUTCOME_NOT_RUN) {
        refuse(exchange, reason);
        return;
    }
    /* This call was not run, but an earlier one with the same key may have
     * run. */
    end_once_entry(exchange, 0, false);
    report_refusal(exchange, reason, BbReason_Outcome(reason), status);
}

static void
start_call(bb_exchange_t *exchange)
{
    bb_proxy_t *proxy = exchange->proxy;

    if (exchange->is_idempotent ||
        exchange->pool->once != BB_ONCE_MODE_CLAIM) {
        send_to_target(exchange);
        return;
    }
    if (proxy->options.platform == NULL) {
        fail_not_sent(exchange, BB_REASON_CLAIM_UNAVAILABLE);
        return;
    }
    bb_claim_io_options_t options = {
        .platform = proxy->options.platform,
        .pool = exchange->pool->name,
        .key = idempotency_key(exchange),
        .call_id = exchange->call_id,
        .ready = handle_claim,
        .arg = exchange,
    };
    BbClaimIo_Start(&options, &exchange->claim);
}

/* ---- admission ---- */

void
BbTargetSide_OnTicket(bb_exchange_t *exchange)
{
    if (exchange->ticket.state == BB_TICKET_RUNNING) {
        start_call(exchange);
        return;
    }
    bb_reason_t reason = exchange->ticket.reason;
    memset(&exchange->ticket, 0, sizeof(exchange->ticket));
    refuse(exchange, reason);
}

static void
request_admission(bb_exchange_t *exchange)
{
    const bb_pool_t *pool = exchange->pool;
    bb_admission_request_t request = {
        .pool = pool->name,
        .slots = pool->slots,
        .connections = pool->connections,
        .queue = pool->queue,
        .deadline_ms = exchange->deadline_ms,
    };
    memset(&exchange->ticket, 0, sizeof(exchange->ticket));
    exchange->ticket.arg = exchange;
    if (BbAdmission_Submit(exchange->proxy->options.admission,
                           &exchange->ticket, &request,
                           BbProxy_Now()) == BB_ADMIT_QUEUED) {
        BbProxy_ArmQueueTimer(exchange->proxy);
        return;
    }
    BbTargetSide_OnTicket(exchange);
}

/* ---- start of a call ---- */

static bb_reason_t
check_service_and_key(const bb_exchange_t *exchange)
{
    const bb_announcement_t *target =
        BbRegistry_Current(exchange->proxy->options.registry);

    if (target->state != BB_TARGET_ABSENT &&
        strcmp(target->service, exchange->pool->service->name) != 0) {
        return BB_REASON_WRONG_SERVICE;
    }
    if (!exchange->is_idempotent &&
        exchange->pool->once != BB_ONCE_MODE_NONE &&
        idempotency_key(exchange) == NULL) {
        return BB_REASON_KEY_MISSING;
    }
    return BB_REASON_NONE;
}

static void
start_target_side(bb_exchange_t *exchange)
{
    bb_once_response_t response;

    exchange->is_target_side = true;
    bb_reason_t reason = check_service_and_key(exchange);
    if (reason != BB_REASON_NONE) {
        count_and_refuse(exchange, reason);
        return;
    }
    if (!exchange->is_idempotent) {
        bb_once_call_t call = make_once_call(exchange);
        if (BbOnce_Begin(exchange->proxy->options.once, &call, BbProxy_Now(),
                         &response) == BB_ONCE_RESPOND) {
            report_refusal(exchange, response.reason,
                           BbReason_Outcome(response.reason), response.status);
            return;
        }
        exchange->is_once_entry_open = true;
    }
    request_admission(exchange);
}

void
BbTargetSide_BeginLocal(bb_exchange_t *exchange)
{
    exchange->is_last_round = exchange->call.is_last_round;
    start_target_side(exchange);
}

static bb_reason_t
parse_hop_headers(bb_exchange_t *exchange, bb_hop_t *hop)
{
    bb_hop_headers_t headers = {
        .call_id = BbExchange_GetHeader(exchange, BB_HEADER_CALL),
        .attempt = BbExchange_GetHeader(exchange, BB_HEADER_ATTEMPT),
        .deadline = BbExchange_GetHeader(exchange, BB_HEADER_DEADLINE),
        .hop = BbExchange_GetHeader(exchange, BB_HEADER_HOP),
        .pool = BbExchange_GetHeader(exchange, BB_HEADER_POOL),
        .once = BbExchange_GetHeader(exchange, BB_HEADER_ONCE),
    };
    bb_config_t *config =
        BbActiveConfig_GetConfig(exchange->proxy->options.active_config);

    bb_reason_t reason = BbCall_ParseHop(&headers, hop);
    if (reason != BB_REASON_NONE) {
        return reason;
    }
    if (config == NULL) {
        return BB_REASON_NO_CONFIG;
    }
    exchange->config = BbConfig_Ref(config);
    exchange->pool = BbConfig_FindPool(config, hop->pool);
    return exchange->pool != NULL ? BB_REASON_NONE : BB_REASON_NO_POOL;
}

void
BbTargetSide_BeginHop(bb_exchange_t *exchange)
{
    bb_hop_t hop;
    bb_reason_t reason = parse_hop_headers(exchange, &hop);

    if (reason != BB_REASON_NONE) {
        count_and_refuse(exchange, reason);
        return;
    }
    g_strlcpy(exchange->call_id, hop.call_id, sizeof(exchange->call_id));
    exchange->attempt = hop.attempt;
    exchange->is_idempotent = !hop.once;
    exchange->is_last_round =
        BbExchange_GetHeader(exchange, BB_HEADER_KEY_LAST) != NULL;
    BbAttempt_SetDeadline(exchange, BbProxy_Now() + hop.deadline_ms);
    start_target_side(exchange);
}
