// Tests of lib/target in virtual time: registry, admission control,
// at-most-once execution, claims, balancer.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bb_admission.h"
#include "bb_balancer.h"
#include "bb_claim.h"
#include "bb_counters.h"
#include "bb_error.h"
#include "bb_once.h"
#include "bb_registry.h"

namespace {

const int64_t T0 = 1000;

// ---- registry ----

std::vector<unsigned> changes;

void
record_change(const bb_announcement_t *, unsigned changed_fields, void *)
{
    changes.push_back(changed_fields);
}

// Guards against calls to a target whose leave message was lost (guarantee G7
// in docs/design.md), and against a change report for each renewal of the
// lease.
TEST(Registry, LeaseExpiresAndOnlyChangesAreReported)
{
    bb_registry_options_t options = {0, record_change, nullptr};
    bb_registry_t *registry = BbRegistry_New(&options);
    json_t *body = json_pack("{s:s,s:s,s:s,s:i,s:i,s:f}", "service", "caixa",
                             "address", "127.0.0.1:9000", "state", "ready",
                             "slots", 9, "connections", 120, "load", 1.5);
    bb_announcement_t announcement;
    const char *field;
    ASSERT_EQ(BbRegistry_Parse(body, &announcement, &field), 0);
    changes.clear();
    BbRegistry_Announce(registry, &announcement, T0);
    announcement.load = 3;
    BbRegistry_Announce(registry, &announcement, T0 + 1000);
    EXPECT_EQ(changes.size(), 1u);
    EXPECT_EQ(BbRegistry_NextEvent(registry), T0 + 3500);
    BbRegistry_Tick(registry, T0 + 3499);
    EXPECT_EQ(BbRegistry_Current(registry)->state, BB_TARGET_READY);
    BbRegistry_Tick(registry, T0 + 3500);
    EXPECT_EQ(BbRegistry_Current(registry)->state, BB_TARGET_ABSENT);
    EXPECT_EQ(changes.size(), 2u);
    json_object_set_new(body, "slots", json_integer(0));
    EXPECT_EQ(BbRegistry_Parse(body, &announcement, &field), BB_ERR_INVALID);
    EXPECT_STREQ(field, "slots");
    json_decref(body);
    BbRegistry_Free(registry);
}

// ---- admission ----

class Admission : public testing::Test {
  protected:
    void SetUp() override
    {
        bb_admission_options_t options = {nullptr};
        admission = BbAdmission_New(&options);
        BbAdmission_SetTarget(admission, BB_TARGET_READY, 4, 100);
    }

    void TearDown() override
    {
        BbAdmission_Drain(admission);
        while (BbAdmission_Next(admission, now) != nullptr) {
        }
        for (auto &ticket : tickets) {
            if (ticket.state == BB_TICKET_RUNNING) {
                BbAdmission_Finish(admission, &ticket, false, now);
            }
        }
        BbAdmission_Free(admission);
    }

    bb_ticket_t *submit(int64_t time_to_deadline_ms, const char *pool = "a",
                        int slots = 2, int queue = 3)
    {
        tickets.push_back({});
        bb_admission_request_t request = {pool, slots, 100, queue,
                                          now + time_to_deadline_ms};
        BbAdmission_Submit(admission, &tickets.back(), &request, now);
        return &tickets.back();
    }

    // Runs one call that takes duration_ms, to set the estimate of the service
    // time.
    void run_call(int64_t duration_ms)
    {
        bb_ticket_t *ticket = submit(100000);
        ASSERT_EQ(ticket->state, BB_TICKET_RUNNING);
        now += duration_ms;
        BbAdmission_Finish(admission, ticket, true, now);
    }

    bb_admission_t *admission;
    int64_t now = T0;
    std::deque<bb_ticket_t> tickets; // a deque does not move its elements
};

// Guards against a pool that uses the slots or the queue of another, and
// against pool rows that allow more slots than the target announced.
TEST_F(Admission, PoolsAreSeparateAndTheTargetLimitsTheirSum)
{
    submit(1000), submit(1000);
    EXPECT_EQ(submit(1000)->state, BB_TICKET_QUEUED);
    EXPECT_EQ(submit(1000, "b")->state, BB_TICKET_RUNNING);
    BbAdmission_SetTarget(admission, BB_TARGET_READY, 3, 100);
    EXPECT_EQ(submit(1000, "b")->state, BB_TICKET_QUEUED);
    submit(1000), submit(1000);
    EXPECT_EQ(submit(1000)->reason, BB_REASON_QUEUE_FULL);
    EXPECT_EQ(BbAdmission_RunningCount(admission), 3);
    EXPECT_EQ(BbAdmission_QueuedCount(admission), 4);
}

// Guards against a call that is started before a queued one with an earlier
// deadline, and against the start of a cancelled call.
TEST_F(Admission, QueueIsOrderedByDeadlineAndCancellable)
{
    bb_ticket_t *running = submit(1000);
    submit(1000);
    bb_ticket_t *late = submit(900), *early = submit(500), *gone = submit(400);
    EXPECT_TRUE(BbAdmission_Cancel(admission, gone));
    EXPECT_EQ(gone->reason, BB_REASON_QUEUE_CANCELLED);
    EXPECT_FALSE(BbAdmission_Cancel(admission, running));
    EXPECT_EQ(BbAdmission_Next(admission, now), nullptr);
    BbAdmission_Finish(admission, running, true, ++now);
    EXPECT_EQ(BbAdmission_Next(admission, now), early);
    EXPECT_EQ(BbAdmission_Next(admission, now), nullptr);
    now = BbAdmission_NextEvent(admission, now);
    EXPECT_EQ(BbAdmission_Next(admission, T0 + 901), late);
    EXPECT_EQ(late->reason, BB_REASON_QUEUE_EXPIRED);
}

// Guards against slots used for calls whose callers have stopped waiting, and
// against an estimate that refuses all calls forever after a slow period.
TEST_F(Admission, RefusesLateCallsAndRecoversAfterASlowPeriod)
{
    run_call(200);
    EXPECT_EQ(submit(150)->reason, BB_REASON_TOO_LATE);
    submit(300), submit(300);
    EXPECT_EQ(submit(250)->reason, BB_REASON_TOO_LATE); // wait + service time
    EXPECT_EQ(submit(350)->state, BB_TICKET_QUEUED);
    now += 151;
    bb_ticket_t *expired = BbAdmission_Next(admission, now);
    ASSERT_NE(expired, nullptr);
    EXPECT_EQ(expired->reason, BB_REASON_QUEUE_EXPIRED);
    BbAdmission_Finish(admission, &tickets[2], false, now);
    EXPECT_NEAR(BbAdmission_ServiceEstimate(admission, "a", now), 200, 1);
    now += 20000;
    EXPECT_EQ(submit(150)->state, BB_TICKET_RUNNING);
}

// Guards against new work for a target or node that drains (guarantees G7 and
// G8): queued calls are refused not-run, running ones continue.
TEST_F(Admission, DrainRefusesNewAndQueuedCalls)
{
    bb_ticket_t *running = submit(1000);
    submit(1000);
    bb_ticket_t *queued = submit(1000);
    BbAdmission_SetTarget(admission, BB_TARGET_DRAINING, 4, 100);
    EXPECT_EQ(BbAdmission_Next(admission, now), queued);
    EXPECT_EQ(queued->reason, BB_REASON_TARGET_DRAINING);
    EXPECT_EQ(submit(1000)->reason, BB_REASON_TARGET_DRAINING);
    EXPECT_EQ(running->state, BB_TICKET_RUNNING);
    BbAdmission_SetTarget(admission, BB_TARGET_ABSENT, 0, 0);
    EXPECT_EQ(submit(1000)->reason, BB_REASON_NO_TARGET);
    BbAdmission_Drain(admission);
    EXPECT_EQ(submit(1000)->reason, BB_REASON_NODE_DRAINING);
}

// A simulated caller with its current call.
struct simulated_call {
    bb_ticket_t ticket = {};
    double work_ms = 0;
    bool busy = false;     // at the target or in its queue
    bool waited = false;   // the caller is waiting
    int64_t wake_ms = 0;   // when the caller sends the next call
    int64_t expire_ms = 0; // when the caller stops waiting
};

// Simulates callers that pause about 90 ms between calls, each with 5 to 15 ms
// of work and a deadline after 100 ms, and a target that can work on nine
// calls at full speed and slows down evenly with more. Returns the goodput:
// the responses per second that arrived before their deadline.
double
simulate_goodput(const bb_admission_policy_t *policy, int callers,
                 uint32_t seed)
{
    const int slots = 9, seconds = 20;
    bb_random_t *random = BbRandom_New(seed);
    bb_admission_options_t options = {policy};
    bb_admission_t *admission = BbAdmission_New(&options);
    BbAdmission_SetTarget(admission, BB_TARGET_READY, slots, 1000);
    std::vector<simulated_call> calls(callers);
    int64_t in_time_count = 0;
    auto schedule_next_call = [&](simulated_call &call, int64_t now) {
        call.busy = false;
        call.wake_ms = now + BbRandom_Jitter(random, 90);
    };
    for (auto &call : calls) {
        call.wake_ms = T0 + BbRandom_Below(random, 100);
        call.ticket.arg = &call;
    }
    for (int64_t now = T0; now < T0 + seconds * 1000; now++) {
        double speed = std::min(
            1.0,
            (double)slots / std::max(1, BbAdmission_RunningCount(admission)));
        for (auto &call : calls) {
            if (call.busy && call.ticket.state == BB_TICKET_RUNNING &&
                (call.work_ms -= speed) <= 0) {
                in_time_count += now <= call.expire_ms ? 1 : 0;
                BbAdmission_Finish(admission, &call.ticket, true, now);
                schedule_next_call(call, now);
            }
        }
        while (bb_ticket_t *ticket = BbAdmission_Next(admission, now)) {
            if (ticket->state == BB_TICKET_REFUSED) {
                ticket->state = BB_TICKET_IDLE;
                schedule_next_call(*(simulated_call *)ticket->arg, now);
            }
        }
        for (auto &call : calls) {
            if (call.busy || now < call.wake_ms) {
                continue;
            }
            call.busy = true;
            call.work_ms = 5 + BbRandom_Unit(random) * 10;
            call.expire_ms = now + 100;
            bb_admission_request_t request = {"p", slots, 1000, 100,
                                              call.expire_ms};
            if (BbAdmission_Submit(admission, &call.ticket, &request, now) ==
                BB_ADMIT_REFUSED) {
                call.ticket.state = BB_TICKET_IDLE;
                schedule_next_call(call, now);
            }
        }
    }
    BbAdmission_Drain(admission);
    while (BbAdmission_Next(admission, T0) != nullptr) {
    }
    for (auto &call : calls) {
        if (call.ticket.state == BB_TICKET_RUNNING) {
            BbAdmission_Finish(admission, &call.ticket, false, T0);
        }
    }
    BbAdmission_Free(admission);
    BbRandom_Free(random);
    return (double)in_time_count / seconds;
}

// Guards against the collapse of goodput under overload. The run without
// limits shows that the simulated load does cause one.
TEST(AdmissionLoad, GoodputStaysNearItsPeakAndCollapsesWithoutLimits)
{
    const uint32_t seed = 11;
    double with_limits[3], without_limits[3];
    const int callers[3] = {90, 135, 270}; // load 1, 1.5 and 3 times the slots
    for (int i = 0; i < 3; i++) {
        with_limits[i] =
            simulate_goodput(BbAdmission_LimitPolicy(), callers[i], seed);
        without_limits[i] =
            simulate_goodput(BbAdmission_NoLimitPolicy(), callers[i], seed);
        printf("seed %u, %d callers: %.0f responses/s with limits, "
               "%.0f responses/s without\n",
               seed, callers[i], with_limits[i], without_limits[i]);
    }
    double peak = std::max({with_limits[0], with_limits[1], with_limits[2]});
    for (double goodput : with_limits) {
        EXPECT_GE(goodput, 0.9 * peak);
    }
    EXPECT_LT(without_limits[2], 0.5 * peak);
}

// ---- at-most-once execution ----

class Once : public testing::Test {
  protected:
    Once()
    {
        bb_once_options_t options = {0, 0, 3, 4, BB_ONCE_DEFER_MS};
        once = BbOnce_New(&options);
    }

    ~Once() override
    {
        BbOnce_Free(once);
    }

    // Returns BB_REASON_NONE if the call may run.
    bb_reason_t begin(const char *id, int attempt = 1,
                      const char *key = nullptr, const char *pool = "p",
                      bool is_last_round = false)
    {
        bb_once_call_t call = {id, attempt, pool, key, is_last_round};
        response = {BB_REASON_NONE, 0};
        return BbOnce_Begin(once, &call, now, &response) == BB_ONCE_PROCEED
                   ? BB_REASON_NONE
                   : response.reason;
    }

    void end(const char *id, int status, const char *key = nullptr)
    {
        bb_once_call_t call = {id, 1, "p", key, false};
        BbOnce_End(once, &call, status, now);
    }

    bb_reason_t refuse(const char *id, bb_reason_t reason,
                       const char *key = nullptr)
    {
        bb_once_call_t call = {id, 1, "p", key, false};
        return BbOnce_Refuse(once, &call, reason, now);
    }

    bb_once_t *once;
    bb_once_response_t response;
    int64_t now = T0;
};

// Guards against a second run of a request between nodes that a layer below
// the proxy repeats, and against a run of a late copy of an attempt that was
// answered not-run.
TEST_F(Once, RepeatedCallIdsDoNotRunAgain)
{
    EXPECT_EQ(begin("a"), BB_REASON_NONE);
    EXPECT_EQ(begin("a"), BB_REASON_CALL_RUNNING);
    end("a", 201);
    EXPECT_EQ(begin("a", 2), BB_REASON_CALL_RAN);
    EXPECT_EQ(response.status, 201);
    EXPECT_EQ(begin("b"), BB_REASON_NONE);
    end("b", 0);
    EXPECT_EQ(begin("b"), BB_REASON_CALL_UNKNOWN);
    EXPECT_EQ(begin("c"), BB_REASON_NONE);
    refuse("c", BB_REASON_QUEUE_FULL);
    EXPECT_EQ(begin("c", 1), BB_REASON_ATTEMPT_REFUSED);
    EXPECT_EQ(begin("c", 2), BB_REASON_NONE);
    now += BB_ONCE_CALL_RETENTION_MS;
    EXPECT_EQ(begin("a"), BB_REASON_NONE);
    EXPECT_EQ(begin("c", 3), BB_REASON_CALL_RUNNING); // does not expire
}

// Guards against a second run of a key that the caller repeats, and against a
// draining node that answers key_moved and runs the key itself later.
TEST_F(Once, RepeatedKeysAreAnsweredFromTheirFirstRun)
{
    EXPECT_EQ(begin("a", 1, "k"), BB_REASON_NONE);
    EXPECT_EQ(begin("b", 1, "k"), BB_REASON_KEY_RUNNING);
    end("a", 200, "k");
    EXPECT_EQ(begin("c", 1, "k"), BB_REASON_KEY_RAN);
    EXPECT_EQ(begin("d", 1, "k", "other"), BB_REASON_NONE);
    EXPECT_EQ(begin("e", 1, "m"), BB_REASON_NONE);
    EXPECT_EQ(refuse("e", BB_REASON_TOO_LATE, "m"), BB_REASON_TOO_LATE);
    EXPECT_EQ(begin("f", 1, "m"), BB_REASON_NONE);
    EXPECT_EQ(refuse("f", BB_REASON_TARGET_DRAINING, "m"),
              BB_REASON_KEY_MOVED);
    EXPECT_EQ(begin("g", 1, "m"), BB_REASON_KEY_MOVED);
    now += BB_ONCE_KEY_RETENTION_MS - 1;
    EXPECT_EQ(begin("h", 1, "k"), BB_REASON_KEY_RAN);
    now += 1;
    EXPECT_EQ(begin("i", 1, "k"), BB_REASON_NONE);
}

// Guards against a second run of a key at a node that has just joined, after
// it ran at the node that was first in its order before.
TEST_F(Once, JoiningNodeAnswersKeyMovedForUnknownKeys)
{
    BbOnce_DeferUnknownKeys(once, now);
    EXPECT_EQ(begin("a", 1, "k"), BB_REASON_KEY_MOVED);
    now += BB_ONCE_DEFER_MS - 1;
    EXPECT_EQ(begin("b", 1, "m"), BB_REASON_KEY_MOVED);
    now += 1;
    EXPECT_EQ(begin("c", 1, "m"), BB_REASON_KEY_MOVED);
    EXPECT_EQ(begin("d", 1, "m", "p", true), BB_REASON_NONE);
    EXPECT_EQ(begin("e", 1, "m", "p", true), BB_REASON_KEY_RUNNING);
    EXPECT_EQ(begin("f", 1, "n"), BB_REASON_NONE);
}

// Guards against records dropped before their time under load, records of
// refusals that fill the table during an overload, and the outcome not-run for
// a refusal without a record.
TEST_F(Once, FullTableRefusesCallsAndKeepsLiveRecords)
{
    EXPECT_EQ(begin("a"), BB_REASON_NONE);
    EXPECT_EQ(begin("b"), BB_REASON_NONE);
    EXPECT_EQ(begin("c"), BB_REASON_NONE);
    for (int i = 0; i < 100; i++) {
        EXPECT_EQ(begin(("x" + std::to_string(i)).c_str()),
                  i < 3 ? BB_REASON_WINDOW_FULL : BB_REASON_REFUSALS_FULL);
    }
    EXPECT_EQ(begin("x0"), BB_REASON_ATTEMPT_REFUSED);
    EXPECT_EQ(BbOnce_CallCount(once), 6u);
    refuse("b", BB_REASON_TOO_LATE);
    EXPECT_EQ(begin("b"), BB_REASON_NONE); // its refusal was answered unknown
    EXPECT_EQ(begin("a"), BB_REASON_CALL_RUNNING);
    end("a", 200);
    now += BB_ONCE_CALL_RETENTION_MS;
    EXPECT_EQ(begin("d"), BB_REASON_NONE);
}

// ---- claims ----

json_t *
make_row(const char *write_id, const char *state, int status)
{
    return json_pack("{s:{s:s,s:s,s:i},s:i,s:i}", "value", "write_id",
                     write_id, "state", state, "status", status, "revision", 7,
                     "now_ms", 1);
}

// Guards against a run when it is not certain that the claim belongs to it.
TEST(Claim, EachPlatformResponseDeterminesTheAction)
{
    bb_claim_t claim;
    json_t *ok = json_pack("{s:i}", "revision", 5);
    json_t *own = make_row("w1", "running", 0);
    json_t *running = make_row("w2", "running", 0);
    json_t *ended = make_row("w2", "ended", 409);
    auto start = [&] {
        EXPECT_EQ(BbClaim_Start(&claim, "refunds", "k", "call", "w1"),
                  BB_CLAIM_COMMIT);
    };
    start();
    EXPECT_EQ(BbClaim_OnCommit(&claim, 0, ok), BB_CLAIM_RUN);
    EXPECT_EQ(claim.revision, 5);
    start();
    EXPECT_EQ(BbClaim_OnCommit(&claim, BB_ERR_UNAVAILABLE, nullptr),
              BB_CLAIM_RESPOND);
    EXPECT_EQ(claim.reason, BB_REASON_CLAIM_UNAVAILABLE);
    start();
    EXPECT_EQ(BbClaim_OnCommit(&claim, BB_ERR_UNKNOWN, nullptr),
              BB_CLAIM_READ);
    EXPECT_EQ(BbClaim_OnRead(&claim, 0, own), BB_CLAIM_RUN);
    EXPECT_EQ(claim.revision, 7);
    start();
    EXPECT_EQ(BbClaim_OnCommit(&claim, BB_ERR_CONFLICT, nullptr),
              BB_CLAIM_READ);
    EXPECT_EQ(BbClaim_OnRead(&claim, 0, running), BB_CLAIM_RESPOND);
    EXPECT_EQ(claim.reason, BB_REASON_KEY_UNKNOWN);
    EXPECT_EQ(BbClaim_OnRead(&claim, 0, ended), BB_CLAIM_RESPOND);
    EXPECT_EQ(claim.reason, BB_REASON_KEY_RAN);
    EXPECT_EQ(claim.status, 409);
    start(); // both inserts lost: no third one
    EXPECT_EQ(BbClaim_OnRead(&claim, BB_ERR_NOT_FOUND, nullptr),
              BB_CLAIM_COMMIT);
    EXPECT_EQ(BbClaim_OnRead(&claim, BB_ERR_NOT_FOUND, nullptr),
              BB_CLAIM_RESPOND);
    EXPECT_EQ(claim.reason, BB_REASON_CLAIM_UNAVAILABLE);
    for (json_t *value : {ok, own, running, ended}) {
        json_decref(value);
    }
}

// Guards against two keys that share a row, and against row keys that leave
// the prefix of their pool.
TEST(Claim, RowKeysAreDistinctAndPathSafe)
{
    bb_claim_t a, b;
    BbClaim_Start(&a, "p", "x/../y%41", "call", "w1");
    BbClaim_Start(&b, "p", a.row_key + 2, "call", "w2");
    EXPECT_STRNE(a.row_key, b.row_key);
    EXPECT_EQ(std::string(a.row_key).find_first_of("%/", 2),
              std::string::npos);
    json_t *insert = BbClaim_InsertTransaction(&a);
    char *text = json_dumps(insert, JSON_COMPACT);
    EXPECT_NE(std::string(text).find("\"revision\":0"), std::string::npos);
    free(text);
    json_decref(insert);
}

// ---- balancer ----

class Balancer : public testing::Test {
  protected:
    void SetUp() override
    {
        random = BbRandom_New(21);
        bb_balancer_options_t options = {"recife-a", nullptr, random, 0};
        balancer = BbBalancer_New(&options);
        for (int i = 1; i <= 4; i++) {
            set(i, BB_TARGET_READY);
        }
        now += BB_BALANCER_RAMP_MS;
    }

    void TearDown() override
    {
        BbBalancer_Free(balancer);
        BbRandom_Free(random);
    }

    static std::string address(int i)
    {
        return "10.0.0." + std::to_string(i) + ":80";
    }

    void set(int i, bb_target_state_t target, bb_member_state_t state = {})
    {
        bb_member_t member = {};
        member.node_id = i;
        member.state = state;
        member.target_state = target;
        snprintf(member.service, sizeof(member.service), "caixa");
        snprintf(member.caller_address, sizeof(member.caller_address), "%s",
                 address(i).c_str());
        BbBalancer_SetMember(balancer, &member, now);
    }

    void set_summary()
    {
        const char *remote[] = {"10.1.0.1:80", "10.1.0.2:80"};
        BbBalancer_SetSummary(balancer, "olinda", "caixa", 5, remote, 2, now);
    }

    // Returns the address, empty if there is no candidate.
    std::string choose(const char *key = nullptr,
                       std::vector<const char *> tried = {})
    {
        bb_choice_request_t request = {"caixa", key, true, tried.data(),
                                       tried.size()};
        if (BbBalancer_Choose(balancer, &request, now, &choice) != 0) {
            return "";
        }
        return choice.address;
    }

    std::map<std::string, int> count(int choices)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < choices; i++) {
            counts[choose()]++;
        }
        return counts;
    }

    bb_random_t *random;
    bb_balancer_t *balancer;
    bb_choice_t choice;
    int64_t now = T0;
};

// Guards against calls to busy or failing candidates, and to those that the
// call has tried before.
TEST_F(Balancer, PrefersLessLoadedAndSkipsTriedCandidates)
{
    for (int i = 0; i < 20; i++) {
        BbBalancer_BeginAttempt(balancer, address(1).c_str());
    }
    BbBalancer_EndAttempt(balancer, address(2).c_str(), BB_BALANCER_FAILED, -1,
                          now);
    auto counts = count(4000);
    EXPECT_LT(counts[address(1)], 400); // only if drawn twice: 1/16
    EXPECT_LT(counts[address(2)], 1000);
    EXPECT_GT(counts[address(3)], 1000);
    BbBalancer_EndAttempt(balancer, address(3).c_str(), BB_BALANCER_SERVED, 30,
                          now);
    EXPECT_LT(count(4000)[address(3)], 500);
    EXPECT_EQ(choose(nullptr, {"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}),
              address(4));
    set(4, BB_TARGET_DRAINING);
    EXPECT_EQ(count(1000).count(address(4)), 0u);
}

// Guards against a cold target that gets its full share of calls at once.
TEST_F(Balancer, ColdTargetIsRampedUp)
{
    set(4, BB_TARGET_STARTING);
    set(4, BB_TARGET_READY);
    EXPECT_LT(count(4000)[address(4)], 250);
    now += BB_BALANCER_RAMP_MS / 2;
    int half = count(4000)[address(4)];
    EXPECT_GT(half, 300);
    EXPECT_LT(half, 900);
    now += BB_BALANCER_RAMP_MS / 2;
    EXPECT_GT(count(4000)[address(4)], 850);
}

// Guards against a faulty health endpoint that excludes most targets of a
// service.
TEST_F(Balancer, HealthIsIgnoredWhenMostCandidatesLookUnhealthy)
{
    BbBalancer_SetHealth(balancer, address(1).c_str(), false);
    set(2, BB_TARGET_READY, BB_MEMBER_SUSPECT);
    auto counts = count(1000);
    EXPECT_EQ(counts.count(address(1)) + counts.count(address(2)), 0u);
    BbBalancer_SetHealth(balancer, address(3).c_str(), false);
    EXPECT_EQ(count(1000).size(), 4u);
}

// Guards against a second run of a key at another node while the first node is
// alive: only the keys of a dead node move; a draining node keeps its keys.
TEST_F(Balancer, KeysStayWithTheirNodeUntilItIsDead)
{
    std::map<std::string, std::string> owner;
    std::map<std::string, int> share;
    for (int i = 0; i < 1000; i++) {
        std::string key = "key-" + std::to_string(i);
        share[owner[key] = choose(key.c_str())]++;
    }
    for (auto &entry : share) {
        EXPECT_NEAR(entry.second, 250, 60);
    }
    set(1, BB_TARGET_READY, BB_MEMBER_DRAINING);
    set(2, BB_TARGET_ABSENT);
    set(3, BB_TARGET_READY, BB_MEMBER_SUSPECT);
    for (auto &entry : owner) {
        EXPECT_EQ(choose(entry.first.c_str()), entry.second);
    }
    set(1, BB_TARGET_READY, BB_MEMBER_DEAD);
    for (auto &entry : owner) {
        std::string next = choose(entry.first.c_str());
        EXPECT_EQ(next == entry.second, entry.second != address(1));
        EXPECT_NE(next, choose(entry.first.c_str(), {next.c_str()}));
    }
}

// Guards against calls that oscillate between data centres: local targets
// serve 600/s of the offered 1,000/s, then the offered load falls to 300/s.
TEST_F(Balancer, SpillConvergesAndReturnsToZeroWithoutOscillation)
{
    double min_spill = 1, max_spill = 0, spill_after_3_s = 0;
    int remote_in_last_second = 0;
    for (int ms = 0; ms < 120000; ms++) {
        now++;
        if (ms % 1000 == 0) {
            set_summary();
        }
        int offered = ms < 60000 ? 10 : 3; // calls per 10 ms
        int local = 0;
        for (int i = 0; ms % 10 == 0 && i < offered; i++) {
            std::string chosen = choose();
            bool refused = !choice.spilled && ++local > 6;
            BbBalancer_EndAttempt(
                balancer, chosen.c_str(),
                refused ? BB_BALANCER_REFUSED : BB_BALANCER_SERVED, -1, now);
            remote_in_last_second += ms >= 119000 && choice.spilled ? 1 : 0;
        }
        double spill = BbBalancer_SpillFraction(balancer, "caixa", now);
        spill_after_3_s = ms == 63000 ? spill : spill_after_3_s;
        if (ms >= 10000 && ms < 60000) {
            min_spill = std::min(min_spill, spill);
            max_spill = std::max(max_spill, spill);
        }
    }
    printf("spill fraction between %.2f and %.2f\n", min_spill, max_spill);
    EXPECT_GT(min_spill, 0.25);
    EXPECT_LT(max_spill, 0.75);
    // A faster fall would overload the local targets again.
    EXPECT_GT(spill_after_3_s, min_spill / 2);
    EXPECT_EQ(remote_in_last_second, 0);
    EXPECT_EQ(BbBalancer_SpillFraction(balancer, "caixa", now), 0);
}

// Guards against calls to addresses in a data centre that has become
// unreachable, so that its summaries no longer arrive.
TEST_F(Balancer, StaleSummariesAreNotUsed)
{
    set_summary();
    for (int i = 1; i <= 4; i++) {
        BbBalancer_Remove(balancer, address(i).c_str());
    }
    EXPECT_NE(choose(), "");
    EXPECT_TRUE(choice.spilled);
    now += BB_BALANCER_SUMMARY_MAX_AGE_MS;
    EXPECT_EQ(choose(), "");
}

} // namespace
