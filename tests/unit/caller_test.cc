// Tests of lib/caller/bb_call: parsing of headers, deadlines, retries and
// outcomes.
#include <gtest/gtest.h>

#include <string>

#include "bb_call.h"
#include "bb_counters.h"

namespace {

const int64_t START_MS = 1000;

class CallTest : public testing::Test {
  protected:
    CallTest()
    {
        pool.retry_max = 2;
        budget.tokens = BB_BUDGET_MAX;
        random = BbRandom_New(31);
        options.pool = &pool;
        options.timeout_ms = 1000;
        options.budget = &budget;
        options.random = random;
    }

    ~CallTest() override
    {
        BbRandom_Free(random);
    }

    bb_reason_t init()
    {
        return BbCall_Init(&call, &options, START_MS);
    }

    bb_call_decision_t attempt(bb_attempt_result_t result,
                               bb_reason_t reason = BB_REASON_NONE,
                               int64_t now = START_MS + 10,
                               bool can_resend = true)
    {
        bb_attempt_report_t report = {};
        report.result = result;
        report.reason = reason;
        report.outcome = reason == BB_REASON_NONE ? BB_OUTCOME_UNKNOWN
                                                  : BbReason_Outcome(reason);
        report.can_resend = can_resend;
        BbCall_BeginAttempt(&call);
        return BbCall_OnAttempt(&call, &report, now);
    }

    // Returns the decision after the first attempt of a new call.
    bb_call_decision_t first(bool idempotent, bb_attempt_result_t result,
                             bb_reason_t reason = BB_REASON_NONE)
    {
        options.idempotent = idempotent;
        EXPECT_EQ(init(), BB_REASON_NONE);
        return attempt(result, reason);
    }

    bb_pool_t pool = {};
    bb_retry_budget_t budget = {};
    bb_call_options_t options = {};
    bb_random_t *random;
    bb_call_t call;
};

// Guards against malformed headers that are read as a number or key which the
// sender did not mean.
TEST_F(CallTest, RejectsMalformedHeaders)
{
    int64_t ms;
    EXPECT_EQ(BbCall_ParseDeadline("250", &ms), BB_REASON_NONE);
    EXPECT_EQ(ms, 250);
    EXPECT_EQ(BbCall_ParseDeadline("2147483647", &ms), BB_REASON_NONE);
    EXPECT_EQ(ms, BB_MAX_DEADLINE_MS);
    EXPECT_EQ(BbCall_ParseDeadline("0", &ms), BB_REASON_DEADLINE_PASSED);
    for (const char *bad : {"", "-1", "+5", " 5", "5 ", "1.5", "0x10",
                            "99999999999999999999", "5,6"}) {
        EXPECT_EQ(BbCall_ParseDeadline(bad, &ms), BB_REASON_BAD_DEADLINE);
    }
    EXPECT_EQ(BbCall_CheckKey("order-17/é"), BB_REASON_BAD_KEY);
    EXPECT_EQ(BbCall_CheckKey(""), BB_REASON_BAD_KEY);
    EXPECT_EQ(BbCall_CheckKey(std::string(256, 'k').c_str()),
              BB_REASON_BAD_KEY);
    EXPECT_EQ(BbCall_CheckKey("\"order-17/a\""), BB_REASON_NONE);
    const char *id = "0123456789abcdef0123456789abcdef";
    bb_hop_headers_t headers = {id, "2", "100", "1", "orders", nullptr};
    bb_hop_t hop;
    EXPECT_EQ(BbCall_ParseHop(&headers, &hop), BB_REASON_NONE);
    EXPECT_EQ(hop.attempt, 2);
    EXPECT_TRUE(hop.once); // absent: treated as not idempotent
    headers.hop = "2";
    EXPECT_EQ(BbCall_ParseHop(&headers, &hop), BB_REASON_BAD_HOP);
    headers = {id, "9", "100", "1", "orders", "0"};
    EXPECT_EQ(BbCall_ParseHop(&headers, &hop), BB_REASON_BAD_HOP);
    EXPECT_EQ(BbOutcome_Parse("NOT-RUN"), BB_OUTCOME_UNKNOWN);
    EXPECT_EQ(BbReason_Parse("no_such_reason"), BB_REASON_OTHER);
    for (int i = 1; i < BB_REASON_OTHER; i++) {
        EXPECT_EQ(BbReason_Parse(BbReason_Name((bb_reason_t)i)), i);
    }
}

// Guards against a deadline longer than the route allows, and against a call
// of a keyed pool that runs without its key.
TEST_F(CallTest, LimitsDeadlineAndRequiresKey)
{
    options.deadline_text = "5000";
    ASSERT_EQ(init(), BB_REASON_NONE);
    EXPECT_EQ(BbCall_Remaining(&call, START_MS), 1000);
    options.deadline_text = "50";
    ASSERT_EQ(init(), BB_REASON_NONE);
    EXPECT_EQ(BbCall_Remaining(&call, START_MS + 20), 30);
    EXPECT_EQ(BbCall_Remaining(&call, START_MS + 60), 0);
    pool.once = BB_ONCE_MODE_CLAIM;
    EXPECT_EQ(init(), BB_REASON_KEY_MISSING);
    EXPECT_EQ(BbCall_Refuse(BB_REASON_KEY_MISSING).http_status, 428);
    options.idempotent = true;
    EXPECT_EQ(init(), BB_REASON_NONE);
}

// Guards against a retry of a non-idempotent call that may have run, and
// against a safe retry that is left out.
TEST_F(CallTest, RetriesOnlyNotRunOrIdempotentCalls)
{
    const bb_attempt_result_t safe[] = {BB_ATTEMPT_CONNECT_FAILED,
                                        BB_ATTEMPT_SEND_FAILED};
    const bb_attempt_result_t maybe_run[] = {BB_ATTEMPT_BROKEN,
                                             BB_ATTEMPT_STALLED};
    for (auto result : safe) {
        EXPECT_EQ(first(false, result).action, BB_CALL_RETRY);
        EXPECT_EQ(first(true, result).action, BB_CALL_RETRY);
    }
    for (auto result : maybe_run) {
        auto decision = first(false, result);
        EXPECT_EQ(decision.action, BB_CALL_RESPOND);
        EXPECT_EQ(decision.outcome, BB_OUTCOME_UNKNOWN);
        EXPECT_EQ(first(true, result).action, BB_CALL_RETRY);
    }
    EXPECT_EQ(first(false, BB_ATTEMPT_REFUSED, BB_REASON_QUEUE_FULL).action,
              BB_CALL_RETRY);
    EXPECT_EQ(first(false, BB_ATTEMPT_REFUSED, BB_REASON_KEY_RUNNING).outcome,
              BB_OUTCOME_UNKNOWN);
    EXPECT_EQ(first(false, BB_ATTEMPT_REFUSED, BB_REASON_KEY_RAN).outcome,
              BB_OUTCOME_RAN);
    EXPECT_EQ(
        first(true, BB_ATTEMPT_REFUSED, BB_REASON_CLAIM_UNAVAILABLE).action,
        BB_CALL_RESPOND);
    options.policy = BbCall_AlwaysRetryPolicy();
    EXPECT_EQ(first(false, BB_ATTEMPT_BROKEN).action, BB_CALL_RETRY);
}

// Guards against retries without time left, without the request body or beyond
// retry_max, and against a second response after the first has begun.
TEST_F(CallTest, StopsRetryingAtEachLimit)
{
    options.idempotent = true;
    ASSERT_EQ(init(), BB_REASON_NONE);
    EXPECT_EQ(attempt(BB_ATTEMPT_BROKEN, {}, START_MS + 999).action,
              BB_CALL_RESPOND);
    ASSERT_EQ(init(), BB_REASON_NONE);
    EXPECT_EQ(attempt(BB_ATTEMPT_BROKEN, {}, START_MS, false).action,
              BB_CALL_RESPOND);
    ASSERT_EQ(init(), BB_REASON_NONE);
    EXPECT_EQ(attempt(BB_ATTEMPT_CONNECT_FAILED).delay_ms, 0);
    EXPECT_GT(attempt(BB_ATTEMPT_CONNECT_FAILED).delay_ms, 0);
    auto decision = attempt(BB_ATTEMPT_CONNECT_FAILED);
    EXPECT_EQ(decision.action, BB_CALL_RESPOND);
    EXPECT_EQ(decision.reason, BB_REASON_CONNECT_FAILED);
    EXPECT_EQ(first(true, BB_ATTEMPT_RESPONSE).action, BB_CALL_FORWARD);
    bb_attempt_report_t broken = {};
    broken.result = BB_ATTEMPT_BROKEN;
    EXPECT_EQ(BbCall_OnAttempt(&call, &broken, START_MS).action,
              BB_CALL_TRUNCATE);
}

// Guards against the outcome not-run for a call whose earlier attempt may have
// run, and for a refusal whose reason and outcome contradict each other
// (guarantee G5 of docs/design.md).
TEST_F(CallTest, NeverReportsUnknownAsNotRun)
{
    EXPECT_EQ(first(true, BB_ATTEMPT_BROKEN).action, BB_CALL_RETRY);
    auto decision = attempt(BB_ATTEMPT_REFUSED, BB_REASON_CLAIM_UNAVAILABLE);
    EXPECT_EQ(decision.action, BB_CALL_RESPOND);
    EXPECT_EQ(decision.outcome, BB_OUTCOME_UNKNOWN);
    EXPECT_EQ(decision.reason, BB_REASON_RESPONSE_LOST);
    EXPECT_EQ(first(true, BB_ATTEMPT_BROKEN).action, BB_CALL_RETRY);
    EXPECT_EQ(BbCall_GiveUp(&call, BB_REASON_NO_LIVE_TARGET).outcome,
              BB_OUTCOME_UNKNOWN);
    options.idempotent = false;
    ASSERT_EQ(init(), BB_REASON_NONE);
    bb_attempt_report_t report = {};
    report.result = BB_ATTEMPT_REFUSED;
    report.reason = BB_REASON_KEY_RUNNING;
    report.outcome = BB_OUTCOME_NOT_RUN;
    report.can_resend = true;
    EXPECT_EQ(BbCall_OnAttempt(&call, &report, START_MS).outcome,
              BB_OUTCOME_UNKNOWN);
}

// Guards against a call with a window key that is sent to another node
// although its own node, which knows whether the key has run, did not say
// key_moved.
TEST_F(CallTest, SendsWindowKeysElsewhereOnlyAfterKeyMoved)
{
    pool.once = BB_ONCE_MODE_WINDOW;
    options.key = "k";
    auto decision = first(false, BB_ATTEMPT_CONNECT_FAILED);
    EXPECT_TRUE(decision.same_target);
    EXPECT_GT(decision.delay_ms, 0);
    budget.tokens = 0;
    decision = first(false, BB_ATTEMPT_REFUSED, BB_REASON_KEY_MOVED);
    EXPECT_EQ(decision.action, BB_CALL_RETRY);
    EXPECT_FALSE(decision.same_target);
    EXPECT_STREQ(BbCall_ChoiceKey(&call), "k");
    EXPECT_TRUE(BbCall_BeginLastRound(&call));
    EXPECT_FALSE(BbCall_BeginLastRound(&call));
    decision = BbCall_GiveUp(&call, BB_REASON_NO_LIVE_TARGET);
    EXPECT_EQ(decision.outcome, BB_OUTCOME_NOT_RUN);
    first(false, BB_ATTEMPT_REFUSED, BB_REASON_KEY_MOVED);
    for (int i = 2; i < BB_MAX_ATTEMPTS; i++) {
        decision = attempt(BB_ATTEMPT_REFUSED, BB_REASON_KEY_MOVED);
        EXPECT_EQ(decision.action, BB_CALL_RETRY);
        EXPECT_EQ(decision.is_last_round, i == BB_MAX_ATTEMPTS - 2);
    }
    EXPECT_EQ(attempt(BB_ATTEMPT_REFUSED, BB_REASON_KEY_MOVED).action,
              BB_CALL_RESPOND);
}

// Guards against retries that multiply the load while every target fails: the
// retry budget allows one retry per ten calls.
TEST_F(CallTest, RetriesAtMostATenthOfCalls)
{
    budget.tokens = 0;
    int retries = 0;
    for (int calls = 1; calls <= 2000; calls++) {
        bb_call_decision_t decision = first(true, BB_ATTEMPT_CONNECT_FAILED);
        while (decision.action == BB_CALL_RETRY) {
            retries++;
            decision = attempt(BB_ATTEMPT_CONNECT_FAILED);
        }
        ASSERT_LE(retries * 10, calls);
    }
    EXPECT_EQ(retries, 200);
}

} // namespace
