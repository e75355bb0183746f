#include "bb_call.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "bb_counters.h"

/* Base delay of retries at another target. The first is sent at once; each
 * later one waits about twice as long as the one before. */
#define RETRY_DELAY_MS 10

/* Base delay of retries at the same target. The first waits as well, because
 * the attempt at that target has just failed. */
#define SAME_TARGET_DELAY_MS 20

/* After this many attempts of a window key the last round begins, so that two
 * attempts remain for it. */
#define LAST_ROUND_ATTEMPT (BB_MAX_ATTEMPTS - 2)

/* ---- parsing ---- */

/* Reads decimal digits only. Returns -1 for other text and for a number
 * above max. */
static int64_t
parse_number(const char *text, int64_t max)
{
    int64_t value = 0;
    if (*text == '\0') {
        return -1;
    }
    for (; *text != '\0'; text++) {
        if (!g_ascii_isdigit(*text)) {
            return -1;
        }
        value = value * 10 + (*text - '0');
        if (value > max) {
            return -1;
        }
    }
    return value;
}

bb_reason_t
BbCall_ParseDeadline(const char *text, int64_t *out)
{
    *out = 0;
    if (text == NULL) {
        return BB_REASON_NONE;
    }
    int64_t value = parse_number(text, INT32_MAX);
    if (value < 0) {
        return BB_REASON_BAD_DEADLINE;
    }
    if (value == 0) {
        return BB_REASON_DEADLINE_PASSED;
    }
    *out = MIN(value, BB_MAX_DEADLINE_MS);
    return BB_REASON_NONE;
}

bb_reason_t
BbCall_CheckKey(const char *text)
{
    size_t length = strlen(text);
    if (length == 0 || length > BB_MAX_KEY_LENGTH) {
        return BB_REASON_BAD_KEY;
    }
    for (; *text != '\0'; text++) {
        if (!g_ascii_isgraph(*text)) {
            return BB_REASON_BAD_KEY;
        }
    }
    return BB_REASON_NONE;
}

static bool
is_call_id(const char *text)
{
    return text != NULL && strlen(text) == BB_CALL_ID_HEX_LENGTH &&
           strspn(text, "0123456789abcdef") == BB_CALL_ID_HEX_LENGTH;
}

static bool
is_pool_name(const char *text)
{
    size_t length =
        text == NULL ? 0
                     : strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-");
    return length > 0 && length <= BB_MAX_NAME_LENGTH && text[length] == '\0';
}

bb_reason_t
BbCall_ParseHop(const bb_hop_headers_t *headers, bb_hop_t *out)
{
    memset(out, 0, sizeof(*out));
    if (!is_call_id(headers->call_id) || !is_pool_name(headers->pool) ||
        headers->attempt == NULL || headers->deadline == NULL ||
        headers->hop == NULL || strcmp(headers->hop, "1") != 0) {
        return BB_REASON_BAD_HOP;
    }
    int64_t attempt = parse_number(headers->attempt, BB_MAX_ATTEMPTS);
    int64_t deadline_ms = parse_number(headers->deadline, BB_MAX_DEADLINE_MS);
    if (attempt < 1 || deadline_ms < 0) {
        return BB_REASON_BAD_HOP;
    }
    /* A call of unknown kind is treated as not idempotent. */
    out->once = headers->once == NULL || strcmp(headers->once, "0") != 0;
    out->attempt = (int)attempt;
    out->deadline_ms = deadline_ms;
    g_strlcpy(out->call_id, headers->call_id, sizeof(out->call_id));
    g_strlcpy(out->pool, headers->pool, sizeof(out->pool));
    return BB_REASON_NONE;
}

double
BbCall_ParseLoad(const char *text)
{
    return text != NULL ? (double)parse_number(text, 1000000) : -1.0;
}

/* ---- retry budget ---- */

void
BbRetryBudget_OnCall(bb_retry_budget_t *budget)
{
    budget->tokens = MIN(budget->tokens + BB_BUDGET_PER_CALL, BB_BUDGET_MAX);
}

bool
BbRetryBudget_Take(bb_retry_budget_t *budget)
{
    /* Ten additions of 0.1 are slightly less than 1 in binary. */
    if (budget->tokens < 1.0 - 1e-9) {
        return false;
    }
    budget->tokens = MAX(budget->tokens - 1.0, 0);
    return true;
}

/* ---- classification of attempts ---- */

/* Returns the outcome of one attempt: unknown when the reason and the outcome
 * of a refusal contradict each other. */
static bb_outcome_t
attempt_outcome(const bb_attempt_report_t *report)
{
    switch (report->result) {
    case BB_ATTEMPT_CONNECT_FAILED:
    case BB_ATTEMPT_SEND_FAILED:
        return BB_OUTCOME_NOT_RUN;
    case BB_ATTEMPT_REFUSED:
        break;
    default:
        return BB_OUTCOME_UNKNOWN;
    }
    if (report->reason == BB_REASON_NONE) {
        return BB_OUTCOME_UNKNOWN;
    }
    if (report->reason != BB_REASON_OTHER &&
        report->outcome != BbReason_Outcome(report->reason)) {
        return BB_OUTCOME_UNKNOWN;
    }
    return report->outcome;
}

static bb_reason_t
attempt_reason(const bb_attempt_report_t *report)
{
    switch (report->result) {
    case BB_ATTEMPT_REFUSED:
        return report->reason != BB_REASON_NONE ? report->reason
                                                : BB_REASON_OTHER;
    case BB_ATTEMPT_CONNECT_FAILED:
        return BB_REASON_CONNECT_FAILED;
    case BB_ATTEMPT_SEND_FAILED:
        return BB_REASON_SEND_FAILED;
    case BB_ATTEMPT_TIMEOUT:
        return BB_REASON_CALL_TIMEOUT;
    case BB_ATTEMPT_STALLED:
        return BB_REASON_STALLED;
    default:
        return BB_REASON_RESPONSE_LOST;
    }
}

static bb_counter_t
retry_counter(bb_attempt_result_t result)
{
    switch (result) {
    case BB_ATTEMPT_REFUSED:
        return BB_COUNTER_RETRY_REFUSED;
    case BB_ATTEMPT_CONNECT_FAILED:
        return BB_COUNTER_RETRY_CONNECT_FAILED;
    case BB_ATTEMPT_SEND_FAILED:
        return BB_COUNTER_RETRY_SEND_FAILED;
    case BB_ATTEMPT_TIMEOUT:
        return BB_COUNTER_RETRY_TIMEOUT;
    case BB_ATTEMPT_STALLED:
        return BB_COUNTER_RETRY_STALLED;
    default:
        return BB_COUNTER_RETRY_BROKEN;
    }
}

/* Whether every other target would refuse the call for the same reason. */
static bool
is_refused_everywhere(const bb_attempt_report_t *report)
{
    return report->result == BB_ATTEMPT_REFUSED &&
           (report->reason == BB_REASON_BAD_HOP ||
            report->reason == BB_REASON_CLAIM_UNAVAILABLE ||
            report->reason == BB_REASON_QUEUE_CANCELLED);
}

/* ---- policies ---- */

static bool
may_retry_safely(const bb_call_t *call, const bb_attempt_report_t *report)
{
    (void)report;
    return !call->maybe_ran || call->options.idempotent;
}

static bool
may_retry_always(const bb_call_t *call, const bb_attempt_report_t *report)
{
    (void)call;
    (void)report;
    return true;
}

static const bb_retry_policy_t safe_policy = {"safe", may_retry_safely, true};

static const bb_retry_policy_t always_policy = {"always", may_retry_always,
                                                false};

const bb_retry_policy_t *
BbCall_SafeRetryPolicy(void)
{
    return &safe_policy;
}

const bb_retry_policy_t *
BbCall_AlwaysRetryPolicy(void)
{
    return &always_policy;
}

/* ---- one call ---- */

static bb_reason_t
check_key(const bb_call_options_t *options)
{
    if (options->key != NULL) {
        return BbCall_CheckKey(options->key);
    }
    if (!options->idempotent && options->pool->once != BB_ONCE_MODE_NONE) {
        return BB_REASON_KEY_MISSING;
    }
    return BB_REASON_NONE;
}

bb_reason_t
BbCall_Init(bb_call_t *call, const bb_call_options_t *options, int64_t now_ms)
{
    int64_t caller_limit_ms;
    memset(call, 0, sizeof(*call));
    call->options = *options;
    if (call->options.policy == NULL) {
        call->options.policy = &safe_policy;
    }
    bb_reason_t reason =
        BbCall_ParseDeadline(options->deadline_text, &caller_limit_ms);
    if (reason == BB_REASON_NONE) {
        reason = check_key(options);
    }
    if (reason != BB_REASON_NONE) {
        return reason;
    }
    int64_t limit_ms = options->timeout_ms;
    if (caller_limit_ms > 0) {
        limit_ms = MIN(limit_ms, caller_limit_ms);
    }
    call->deadline_ms = now_ms + limit_ms;
    BbRetryBudget_OnCall(options->budget);
    return BB_REASON_NONE;
}

const char *
BbCall_ChoiceKey(const bb_call_t *call)
{
    bool has_window_key = !call->options.idempotent &&
                          call->options.pool->once == BB_ONCE_MODE_WINDOW;
    return has_window_key ? call->options.key : NULL;
}

int64_t
BbCall_Remaining(const bb_call_t *call, int64_t now_ms)
{
    return MAX(call->deadline_ms - now_ms, 0);
}

int
BbCall_BeginAttempt(bb_call_t *call)
{
    assert(call->attempt < BB_MAX_ATTEMPTS && !call->response_started);
    return ++call->attempt;
}

static bb_call_decision_t
respond(bb_reason_t reason, bb_outcome_t outcome, int ran_status)
{
    static const bb_counter_t counters[] = {
        [BB_OUTCOME_NOT_RUN] = BB_COUNTER_RESPONSES_NOT_RUN,
        [BB_OUTCOME_RAN] = BB_COUNTER_RESPONSES_RAN,
        [BB_OUTCOME_UNKNOWN] = BB_COUNTER_RESPONSES_UNKNOWN,
    };
    BbCounters_Add(counters[outcome], 1);
    return (bb_call_decision_t){
        .action = BB_CALL_RESPOND,
        .http_status = BbReason_Status(reason),
        .outcome = outcome,
        .reason = reason,
        .ran_status = ran_status,
    };
}

bb_call_decision_t
BbCall_Refuse(bb_reason_t reason)
{
    BbReason_Count(reason);
    return respond(reason, BbReason_Outcome(reason), 0);
}

/* Answers the call after its last attempt. */
static bb_call_decision_t
respond_final(const bb_call_t *call)
{
    if (call->maybe_ran) {
        return respond(call->maybe_ran_reason, BB_OUTCOME_UNKNOWN, 0);
    }
    return respond(call->last_reason, BB_OUTCOME_NOT_RUN, 0);
}

/* All nodes in the order of a key have refused it with key_moved. One of them
 * must take it; the last round starts at the first of the order, since this
 * is the same node for all caller-side nodes. */
bool
BbCall_BeginLastRound(bb_call_t *call)
{
    if (call->is_last_round || call->maybe_ran ||
        call->last_reason != BB_REASON_KEY_MOVED ||
        call->attempt >= BB_MAX_ATTEMPTS || BbCall_ChoiceKey(call) == NULL) {
        return false;
    }
    call->is_last_round = true;
    return true;
}

bb_call_decision_t
BbCall_GiveUp(bb_call_t *call, bb_reason_t reason)
{
    if (!call->maybe_ran && call->last_reason == BB_REASON_NONE) {
        return BbCall_Refuse(reason);
    }
    return respond_final(call);
}

static void
record_attempt(bb_call_t *call, const bb_attempt_report_t *report,
               bb_outcome_t outcome)
{
    call->last_reason = attempt_reason(report);
    if (report->result != BB_ATTEMPT_REFUSED) {
        BbReason_Count(call->last_reason);
    }
    if (outcome != BB_OUTCOME_NOT_RUN && !call->maybe_ran) {
        call->maybe_ran = true;
        call->maybe_ran_reason = call->last_reason;
    }
}

static int64_t
retry_delay_ms(const bb_call_t *call, bool same_target)
{
    if (same_target) {
        return BbRandom_Jitter(call->options.random,
                               SAME_TARGET_DELAY_MS << call->retries);
    }
    if (call->retries == 0) {
        return 0;
    }
    return BbRandom_Jitter(call->options.random,
                           RETRY_DELAY_MS << call->retries);
}

/* Whether the call goes to the next target in the order of its key, because
 * this one refused it with key_moved. A target that answers key_moved cannot
 * have run the call, so the next attempt does not count as a retry. */
static bool
is_key_move(const bb_call_t *call, const bb_attempt_report_t *report,
            bb_outcome_t outcome)
{
    return outcome == BB_OUTCOME_NOT_RUN &&
           report->result == BB_ATTEMPT_REFUSED &&
           report->reason == BB_REASON_KEY_MOVED &&
           BbCall_ChoiceKey(call) != NULL;
}

static bool
deny_retry(bb_counter_t counter)
{
    BbCounters_Add(counter, 1);
    return false;
}

/* The first check that fails is counted as the cause, so the more specific
 * causes come first. The budget comes last, because that check takes a
 * token. */
static bool
may_retry(const bb_call_t *call, const bb_attempt_report_t *report,
          bool after_key_moved, int64_t delay_ms, int64_t now_ms)
{
    const bb_retry_policy_t *policy = call->options.policy;
    if (!policy->may_retry(call, report)) {
        return deny_retry(BB_COUNTER_RETRY_DENIED_UNSAFE);
    }
    if (!report->can_resend) {
        return deny_retry(BB_COUNTER_RETRY_DENIED_BODY);
    }
    if (is_refused_everywhere(report)) {
        return deny_retry(BB_COUNTER_RETRY_DENIED_POINTLESS);
    }
    if (call->attempt >= BB_MAX_ATTEMPTS ||
        (!after_key_moved && call->retries >= call->options.pool->retry_max)) {
        return deny_retry(BB_COUNTER_RETRY_DENIED_MAX);
    }
    if (BbCall_Remaining(call, now_ms) < delay_ms + BB_MIN_ATTEMPT_MS) {
        return deny_retry(BB_COUNTER_RETRY_DENIED_DEADLINE);
    }
    if (!after_key_moved && policy->uses_budget &&
        !BbRetryBudget_Take(call->options.budget)) {
        return deny_retry(BB_COUNTER_RETRY_DENIED_BUDGET);
    }
    return true;
}

static bb_call_decision_t
decide_retry(bb_call_t *call, const bb_attempt_report_t *report,
             bb_outcome_t outcome, int64_t now_ms)
{
    bool after_key_moved = is_key_move(call, report, outcome);
    bool same_target = !after_key_moved && BbCall_ChoiceKey(call) != NULL;
    int64_t delay_ms = after_key_moved ? 0 : retry_delay_ms(call, same_target);
    if (!may_retry(call, report, after_key_moved, delay_ms, now_ms)) {
        return respond_final(call);
    }
    BbCounters_Add(after_key_moved ? BB_COUNTER_RETRY_MOVED
                                   : retry_counter(report->result),
                   1);
    call->retries += after_key_moved ? 0 : 1;
    return (bb_call_decision_t){
        .action = BB_CALL_RETRY,
        .delay_ms = delay_ms,
        .same_target = same_target,
        .is_last_round = after_key_moved &&
                         call->attempt >= LAST_ROUND_ATTEMPT &&
                         BbCall_BeginLastRound(call),
    };
}

bb_call_decision_t
BbCall_OnAttempt(bb_call_t *call, const bb_attempt_report_t *report,
                 int64_t now_ms)
{
    if (report->result == BB_ATTEMPT_RESPONSE) {
        call->response_started = true;
        return (bb_call_decision_t){.action = BB_CALL_FORWARD};
    }
    if (call->response_started) {
        BbCounters_Add(BB_COUNTER_TRUNCATED, 1);
        return (bb_call_decision_t){.action = BB_CALL_TRUNCATE};
    }
    bb_outcome_t outcome = attempt_outcome(report);
    if (outcome == BB_OUTCOME_RAN) {
        return respond(report->reason, outcome, report->status);
    }
    record_attempt(call, report, outcome);
    return decide_retry(call, report, outcome, now_ms);
}
