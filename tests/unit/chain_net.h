// Simulation, in virtual time, of what surrounds the modules that decide about
// calls: callers, caller-side nodes, the network, target-side nodes with their
// targets, and the platform's table. The modules themselves (bb_call,
// bb_balancer, bb_admission, bb_once, bb_claim, bb_registry) are the real
// ones. Shared by chain_test.cc and fault_matrix_calls.cc.
#ifndef CHAIN_NET_H
#define CHAIN_NET_H

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bb_admission.h"
#include "bb_balancer.h"
#include "bb_call.h"
#include "bb_claim.h"
#include "bb_error.h"
#include "bb_once.h"
#include "bb_registry.h"
#include "fault_matrix.h"

namespace chain_net {

using namespace fault_matrix;

const int KEY_RETENTION_MS = 4000, DEFER_MS = 5000, CALLER_SIDES = 3;
const int PARTS = 3;                  // number of parts of a response body
const int PLATFORM_TIMEOUT_MS = 2000; // timeout of a request to the platform

class SimulatedCluster;
struct Copy;

// One process of a target-side node. After a restart a new instance has the
// same address.
struct Instance {
    SimulatedCluster *cluster;
    int number;
    std::string address;
    // Keys without a record are refused until defer_until_ms, see
    // BbOnce_DeferUnknownKeys().
    int64_t incarnation = 0, defer_until_ms = 0;
    bool alive = true, underreports_load = false, platform_unreachable = false;
    int slots = 4; // as announced
    // Times until which: the node refuses connections, requests to it are
    // lost, its responses are lost, the target accepts no connection.
    int64_t connections_refused_until = 0, hop_requests_lost_until = 0,
            hop_responses_lost_until = 0;
    int64_t target_down_until = 0;
    int64_t leave_time_ms =
        -1; // time at which its target began to leave, or -1
    bb_admission_t *admission;
    bb_registry_t *registry;
    bb_once_t *once;
    std::set<Copy *> active; // calls that the target runs now
    // Called when its connections break: they fail the attempts in progress.
    std::vector<std::function<void()>> on_break;
};

struct Operation {
    std::string key;
    bb_once_mode_t mode;
    bool idempotent = false;
    int timeout_ms = 300;
    std::vector<Instance *> runs;
    int repeats = 4;      // that the caller may still send
    int64_t until_ms = 0; // no repeat is sent later; 0 = not decided yet
    bool done = false;    // the caller has received a complete response
};

struct CallerSide {
    bb_balancer_t *balancer;
    bb_retry_budget_t budget = {};
    int calls = 0, retries = 0;
};

// How a call ended for its caller: a complete response of the target, a
// response that the node generated (outcome ran or unknown), the same with
// outcome not-run, or a broken connection.
enum CallerResult { COMPLETE, ANSWERED, ANSWERED_NOT_RUN, BROKEN };

// One call as the caller-side node sees it.
struct Exchange {
    bb_call_t call;
    Operation *operation;
    CallerSide *side;
    std::string id, address, body;
    std::vector<std::string> tried;
    std::vector<CallerResult> caller_results;
    int runs = 0;
    bool is_open = false;             // the current attempt is in progress
    bool is_caller_side_dead = false; // the caller-side node has died
    Copy *passing = nullptr;          // copy whose response is being forwarded
};

// One request of an attempt at the target-side node. When the network
// duplicates the request, both copies share the exchange.
struct Copy : std::enable_shared_from_this<Copy> {
    bb_ticket_t ticket = {};
    std::shared_ptr<Exchange> exchange;
    Instance *at; // instance to which it was sent
    int attempt, delay_ms;
    int64_t deadline_ms;
    bool is_last_round;
    bool is_sent = false, is_ended = false, is_claimed = false;
    bool is_corrupt = false;
    // No more bytes are delivered: is_hop_silent between the two nodes,
    // is_target_silent between the target-side node and the target.
    bool is_hop_silent = false, is_target_silent = false;
    bb_claim_t claim;
    std::function<void(const bb_attempt_report_t &)> send_response;
};

class SimulatedCluster {
  public:
    SimulatedCluster(uint32_t seed, int targets, bool random_faults)
        : random_faults(random_faults), random(BbRandom_New(seed))
    {
        for (auto &pool : pools) {
            pool = {};
            pool.retry_max = 2;
            pool.slots = 2;
            pool.queue = 2;
        }
        pools[BB_ONCE_MODE_WINDOW].once = BB_ONCE_MODE_WINDOW;
        pools[BB_ONCE_MODE_CLAIM].once = BB_ONCE_MODE_CLAIM;
        for (auto &side : sides) {
            bb_balancer_options_t options = {"dc", nullptr, random, 1};
            side.balancer = BbBalancer_New(&options);
        }
        for (int i = 0; i < targets; i++) {
            start_target(i, false);
        }
    }

    virtual ~SimulatedCluster()
    {
        for (auto &side : sides) {
            BbBalancer_Free(side.balancer);
        }
        for (auto &copy : copies) {
            if (copy->ticket.state == BB_TICKET_RUNNING) {
                BbAdmission_Finish(copy->at->admission, &copy->ticket, false,
                                   now);
            }
            BbAdmission_Cancel(copy->at->admission, &copy->ticket);
            copy->send_response = nullptr; // it holds a reference to the copy
        }
        for (auto &instance : instances) {
            BbAdmission_Free(instance->admission);
            BbRegistry_Free(instance->registry);
            BbOnce_Free(instance->once);
        }
        for (auto &row : rows) {
            json_decref(row.second.first);
        }
        BbRandom_Free(random);
    }

    int response_count = 0, ran_count = 0, unknown_count = 0;
    std::vector<std::shared_ptr<Exchange>> not_run_exchanges;

  protected:
    // Called at each step of a call. The copy and the instance are NULL when
    // the step comes before they are known.
    virtual void on_step(Step, const std::shared_ptr<Copy> &,
                         Instance * = nullptr)
    {
    }

    // Called when the target begins to run the call.
    virtual void on_run(const std::shared_ptr<Copy> &copy) = 0;

    // Called when the call has ended for its caller.
    virtual void on_end(const std::shared_ptr<Exchange> &)
    {
    }

    virtual void after_event()
    {
    }

    void run_events()
    {
        while (!events.empty()) {
            auto event = std::move(*events.begin());
            events.erase(events.begin());
            now = event.first;
            event.second();
            after_event();
        }
    }

    int below(int bound)
    {
        return BbRandom_Below(random, bound);
    }

    bool chance(int percent)
    {
        return below(100) < percent;
    }

    void after(int delay_ms, std::function<void()> action)
    {
        events.emplace(now + delay_ms, std::move(action));
    }

    // Decides whether a random fault occurs; only with random_faults.
    bool random_fault(int percent)
    {
        return random_faults && chance(percent);
    }

    // ---- targets and membership ----

    void publish_member(Instance *instance, bb_member_state_t state,
                        int spread_ms = 400)
    {
        const bb_announcement_t *target =
            BbRegistry_Current(instance->registry);
        bb_member_t member = {};
        member.node_id = instance->number;
        member.incarnation = instance->incarnation;
        member.state = state;
        member.target_state = target->state;
        snprintf(member.service, sizeof(member.service), "service");
        snprintf(member.caller_address, sizeof(member.caller_address), "%s",
                 instance->address.c_str());
        for (auto &side : sides) { // the sides learn of it at different times
            after(now == 0 ? 0 : below(spread_ms), [=, &side] {
                BbBalancer_SetMember(side.balancer, &member, now);
            });
        }
    }

    static void handle_announcement(const bb_announcement_t *target,
                                    unsigned int changes, void *arg)
    {
        auto *instance = (Instance *)arg;
        (void)changes;
        BbAdmission_SetTarget(instance->admission, target->state,
                              target->slots, target->connections);
        instance->cluster->admit_next(instance);
        instance->cluster->publish_member(instance, BB_MEMBER_ALIVE);
    }

    void announce(Instance *instance, bb_target_state_t state)
    {
        bb_announcement_t announcement = {};
        announcement.state = state;
        announcement.slots = instance->slots;
        announcement.connections = 100;
        BbRegistry_Announce(instance->registry, &announcement, now);
    }

    Instance *start_target(int index, bool joins, int64_t incarnation = 0)
    {
        instances.emplace_back(new Instance);
        Instance *instance = instances.back().get();
        bb_admission_options_t admission = {nullptr};
        bb_once_options_t once = {0, KEY_RETENTION_MS, 60, 0, DEFER_MS};
        bb_registry_options_t registry = {0, handle_announcement, instance};
        instance->cluster = this;
        instance->number = (int)instances.size();
        instance->incarnation = incarnation;
        instance->address = "10.0.0." + std::to_string(index) + ":80";
        instance->admission = BbAdmission_New(&admission);
        instance->registry = BbRegistry_New(&registry);
        instance->once = BbOnce_New(&once);
        if (joins) {
            instance->defer_until_ms = now + DEFER_MS;
            BbOnce_DeferUnknownKeys(instance->once, now);
        }
        by_address[instance->address] = instance;
        announce(instance, BB_TARGET_READY);
        return instance;
    }

    void break_connections(Instance *instance)
    {
        for (auto &action : instance->on_break) {
            after(1 + below(10), action);
        }
        instance->on_break.clear();
    }

    void kill(int index, Instance *instance, int64_t incarnation = 0)
    {
        instance->alive = false;
        instance->active.clear();
        break_connections(instance);
        after(below(300), [=] { publish_member(instance, BB_MEMBER_DEAD); });
        after(1500 + below(500),
              [=] { start_target(index, true, incarnation); });
    }

    // ---- platform ----

    int apply(json_t *transaction, json_t **response)
    {
        json_t *check =
            json_array_get(json_object_get(transaction, "checks"), 0);
        json_t *write =
            json_array_get(json_object_get(transaction, "writes"), 0);
        auto &row = rows[json_string_value(json_object_get(check, "key"))];
        if (json_integer_value(json_object_get(check, "revision")) !=
            row.second) {
            return BB_ERR_CONFLICT;
        }
        json_decref(row.first);
        row.first = json_incref(json_object_get(write, "value"));
        row.second = json_is_null(row.first) ? 0 : ++revision;
        *response = json_pack("{s:I}", "revision", (json_int_t)row.second);
        return 0;
    }

    // Answers after a few ms. The request or the response may be lost, or
    // the write may take effect long after its request has timed out.
    void commit(Instance *from, json_t *transaction,
                std::function<void(int, json_t *)> done)
    {
        int fault = random_faults                         ? below(100)
                    : now < platform_responses_lost_until ? 0
                                                          : 99;
        int slow_ms = platform_delay(),
            timeout_ms = random_faults ? 20 : PLATFORM_TIMEOUT_MS;
        bool lost = fault < 10, late = fault < 15 || slow_ms >= timeout_ms;
        auto attempt = [=] {
            json_t *response = nullptr;
            int error = platform_down || from->platform_unreachable
                            ? BB_ERR_UNAVAILABLE
                            : apply(transaction, &response);
            json_decref(transaction);
            if (!late) {
                done(error, response);
            }
            json_decref(response);
        };
        if (fault >= 15 && fault < 20) { // the request never arrives
            json_decref(transaction);
            late = true;
        }
        else {
            int delay_ms = late && !lost ? 20 + below(300) : 1 + below(5);
            after(slow_ms + delay_ms, attempt);
        }
        if (late) {
            after(timeout_ms, [=] { done(BB_ERR_UNKNOWN, nullptr); });
        }
    }

    int platform_delay()
    {
        return max_platform_delay_ms > 0 ? max_platform_delay_ms / 2 +
                                               below(max_platform_delay_ms / 2)
                                         : 0;
    }

    void read(Instance *from, const std::string &key,
              std::function<void(int, json_t *)> done)
    {
        int slow_ms = platform_delay();
        after(std::min(slow_ms + 1 + below(5), PLATFORM_TIMEOUT_MS), [=] {
            auto &row = rows[key];
            if (platform_down || slow_ms >= PLATFORM_TIMEOUT_MS ||
                from->platform_unreachable || random_fault(10)) {
                done(BB_ERR_UNAVAILABLE, nullptr);
            }
            else if (row.second == 0) {
                done(BB_ERR_NOT_FOUND, nullptr);
            }
            else {
                json_t *response =
                    json_pack("{s:O,s:I}", "value", row.first, "revision",
                              (json_int_t)row.second);
                done(0, response);
                json_decref(response);
            }
        });
    }

    std::string new_id()
    {
        char text[BB_CALL_ID_HEX_LENGTH + 1];
        snprintf(text, sizeof(text), "%032d", ++id_count);
        return text;
    }

    // ---- caller and caller-side node ----

    void issue(Operation *operation)
    {
        auto exchange = std::make_shared<Exchange>();
        exchanges.push_back(exchange);
        exchange->operation = operation;
        exchange->side = &sides[below(CALLER_SIDES)];
        exchange->id = new_id();
        bb_call_options_t options = {};
        options.pool = &pools[operation->mode];
        options.timeout_ms = operation->timeout_ms;
        options.idempotent = operation->idempotent;
        options.key = operation->key.c_str();
        options.budget = &exchange->side->budget;
        options.random = random;
        ASSERT_EQ(BbCall_Init(&exchange->call, &options, now), BB_REASON_NONE);
        exchange->side->calls++;
        if (random_faults) { // the test needs many retries
            exchange->side->budget.tokens = BB_BUDGET_MAX;
        }
        on_step(CALL_ARRIVES, nullptr);
        start_attempt(exchange);
        if (operation->repeats > 0 && chance(10)) { // before a response
            repeat(operation);
        }
    }

    // Calls without a key are not repeated, since a repeat would be a new
    // operation. No call is repeated after its key may have expired.
    void repeat(Operation *operation)
    {
        int delay_ms = below(chance(70) ? 100 : 2000);
        if (operation->until_ms == 0) {
            operation->until_ms = now + KEY_RETENTION_MS - 1000;
        }
        if (!operation->done && operation->mode != BB_ONCE_MODE_NONE &&
            now + delay_ms < operation->until_ms && operation->repeats-- > 0) {
            after(delay_ms, [=] { issue(operation); });
        }
    }

    // The call has ended for the caller.
    void end_exchange(const std::shared_ptr<Exchange> &exchange,
                      CallerResult result)
    {
        exchange->is_open = false;
        exchange->caller_results.push_back(result);
        on_end(exchange);
        if (result != COMPLETE) {
            repeat(exchange->operation);
        }
    }

    void respond(std::shared_ptr<Exchange> exchange,
                 const bb_call_decision_t &decision)
    {
        if (decision.outcome == BB_OUTCOME_NOT_RUN) {
            not_run_exchanges.push_back(exchange);
        }
        else if (decision.outcome == BB_OUTCOME_RAN) {
            ran_count++;
            EXPECT_FALSE(exchange->operation->runs.empty());
        }
        else {
            unknown_count++;
        }
        end_exchange(exchange, decision.outcome == BB_OUTCOME_NOT_RUN
                                   ? ANSWERED_NOT_RUN
                                   : ANSWERED);
    }

    void start_attempt(std::shared_ptr<Exchange> exchange)
    {
        if (exchange->is_caller_side_dead) {
            return;
        }
        std::vector<const char *> tried;
        for (auto &address : exchange->tried) {
            tried.push_back(address.c_str());
        }
        bb_choice_t choice;
        bb_choice_request_t request = {"service",
                                       BbCall_ChoiceKey(&exchange->call),
                                       false, tried.data(), tried.size()};
        if (BbCall_Remaining(&exchange->call, now) == 0) {
            respond(exchange,
                    BbCall_GiveUp(&exchange->call, BB_REASON_DEADLINE_PASSED));
        }
        else if (BbBalancer_Choose(exchange->side->balancer, &request, now,
                                   &choice) == 0) {
            exchange->address = choice.address;
            on_step(TARGET_PICKED, nullptr, by_address[choice.address]);
            send(exchange);
        }
        else if (BbCall_BeginLastRound(&exchange->call)) {
            exchange->tried.clear();
            start_attempt(exchange);
        }
        else {
            respond(exchange,
                    BbCall_GiveUp(&exchange->call, BB_REASON_NO_LIVE_TARGET));
        }
    }

    void send(std::shared_ptr<Exchange> exchange)
    {
        int attempt = BbCall_BeginAttempt(&exchange->call);
        exchange->is_open = true;
        exchange->passing = nullptr;
        BbBalancer_BeginAttempt(exchange->side->balancer,
                                exchange->address.c_str());
        auto fail = [=](bb_attempt_result_t result, int delay_ms) {
            bb_attempt_report_t report = {};
            report.result = result;
            report.can_resend = true;
            after(delay_ms, [=] { handle_result(exchange, attempt, report); });
        };
        Instance *at = by_address[exchange->address];
        if (!at->alive || now < at->connections_refused_until ||
            random_fault(5)) {
            fail(chance(50) ? BB_ATTEMPT_CONNECT_FAILED
                            : BB_ATTEMPT_SEND_FAILED,
                 1);
            return;
        }
        at->on_break.push_back([=] { fail(BB_ATTEMPT_BROKEN, 0); });
        fail(BB_ATTEMPT_TIMEOUT, BbCall_Remaining(&exchange->call, now));
        for (int i = random_fault(20) ? 2 : 1; i > 0; i--) {
            auto copy = std::make_shared<Copy>();
            copies.push_back(copy);
            copy->exchange = exchange;
            copy->at = at;
            copy->attempt = attempt;
            copy->is_last_round = exchange->call.is_last_round;
            copy->deadline_ms = exchange->call.deadline_ms;
            copy->send_response = [=](const bb_attempt_report_t &report) {
                if (random_fault(15)) { // the response is lost
                    fail(BB_ATTEMPT_BROKEN, 1 + below(5));
                    return;
                }
                after(copy->delay_ms, [=] {
                    if (can_deliver(*copy, true)) {
                        handle_result(exchange, attempt, report, copy.get());
                    }
                });
            };
            copy->delay_ms = 1 + below(5);
            after(random_fault(10) ? 50 + below(400) : copy->delay_ms, [=] {
                if (can_deliver(*copy, false)) {
                    handle_request(copy);
                }
            });
        }
    }

    // Whether bytes are delivered between the two nodes.
    bool can_deliver(const Copy &copy, bool is_response)
    {
        return !copy.is_hop_silent &&
               now >= (is_response ? copy.at->hop_responses_lost_until
                                   : copy.at->hop_requests_lost_until);
    }

    // Handles the result of an attempt. Ignores it when the attempt is over,
    // or when the response of another copy is already being forwarded.
    void handle_result(const std::shared_ptr<Exchange> &exchange, int attempt,
                       const bb_attempt_report_t &report, Copy *copy = nullptr)
    {
        bool is_late = attempt != exchange->call.attempt || !exchange->is_open;
        if (exchange->is_caller_side_dead || is_late ||
            (exchange->passing != nullptr && copy != nullptr &&
             exchange->passing != copy)) {
            return;
        }
        exchange->passing = copy;
        end_attempt(exchange, report);
    }

    void end_attempt(std::shared_ptr<Exchange> exchange,
                     const bb_attempt_report_t &report)
    {
        int retries = exchange->call.retries;
        auto decision = BbCall_OnAttempt(&exchange->call, &report, now);
        exchange->side->retries += exchange->call.retries - retries;
        if (decision.action == BB_CALL_FORWARD) {
            response_count++;
            return; // receive_part() gets the body
        }
        exchange->is_open = false;
        BbBalancer_EndAttempt(exchange->side->balancer,
                              exchange->address.c_str(),
                              report.result == BB_ATTEMPT_REFUSED
                                  ? BbBalancer_ClassifyRefusal(report.reason)
                                  : BB_BALANCER_FAILED,
                              -1, now);
        if (decision.action == BB_CALL_TRUNCATE) {
            end_exchange(exchange, BROKEN);
        }
        else if (decision.action == BB_CALL_RESPOND) {
            respond(exchange, decision);
        }
        else {
            if (!decision.same_target) {
                exchange->tried.push_back(exchange->address);
            }
            if (decision.is_last_round) {
                exchange->tried.clear();
            }
            after(decision.delay_ms, [=] { start_attempt(exchange); });
        }
    }

    void receive_part(const std::shared_ptr<Copy> &copy, int part)
    {
        auto exchange = copy->exchange;
        if (!can_deliver(*copy, true) || exchange->passing != copy.get() ||
            !exchange->is_open || exchange->is_caller_side_dead) {
            return;
        }
        exchange->body += body_part(copy->exchange->id, part);
        on_step(RESPONSE_PASSED, copy);
        if (part == PARTS && exchange->is_open &&
            !exchange->is_caller_side_dead) {
            BbBalancer_EndAttempt(
                exchange->side->balancer, exchange->address.c_str(),
                BB_BALANCER_SERVED, reported_load(copy->at), now);
            bool is_lost = random_fault(30); // between node and caller
            exchange->operation->done = !is_lost;
            end_exchange(exchange, is_lost ? BROKEN : COMPLETE);
        }
    }

    static std::string body_part(const std::string &call_id, int part)
    {
        return call_id + "/" + std::to_string(part) + ";";
    }

    double reported_load(Instance *at)
    {
        return at->underreports_load ? 0
                                     : BbAdmission_RunningCount(at->admission);
    }

    // ---- target-side node ----

    bb_once_call_t once_call(const std::shared_ptr<Copy> &copy)
    {
        Operation *operation = copy->exchange->operation;
        const char *key = operation->mode == BB_ONCE_MODE_WINDOW
                              ? operation->key.c_str()
                              : nullptr;
        return {copy->exchange->id.c_str(), copy->attempt, "pool", key,
                copy->is_last_round};
    }

    void send_refusal(const std::shared_ptr<Copy> &copy, bb_reason_t reason,
                      int status = 0)
    {
        bb_attempt_report_t report = {};
        report.result = BB_ATTEMPT_REFUSED;
        report.reason = reason;
        report.outcome = BbReason_Outcome(reason);
        report.status = status;
        report.can_resend = true;
        copy->send_response(report);
    }

    void refuse(const std::shared_ptr<Copy> &copy, bb_reason_t reason)
    {
        auto call = once_call(copy);
        copy->is_ended = true;
        if (!copy->exchange->operation->idempotent) {
            reason = BbOnce_Refuse(copy->at->once, &call, reason, now);
        }
        send_refusal(copy, reason);
    }

    void handle_request(std::shared_ptr<Copy> copy)
    {
        if (!copy->at->alive) {
            return;
        }
        auto call = once_call(copy);
        bb_once_response_t response;
        if (copy->is_corrupt) {
            send_refusal(copy, BB_REASON_BAD_HOP);
            return;
        }
        if (!copy->exchange->operation->idempotent &&
            BbOnce_Begin(copy->at->once, &call, now, &response) !=
                BB_ONCE_PROCEED) {
            send_refusal(copy, response.reason, response.status);
            return;
        }
        const bb_pool_t &pool = pools[copy->exchange->operation->mode];
        const char *names[] = {"none", "window", "claim"};
        bb_admission_request_t request = {names[pool.once], pool.slots, 100,
                                          pool.queue, copy->deadline_ms};
        copy->ticket.arg = copy.get(); // kept allocated by copies
        switch (BbAdmission_Submit(copy->at->admission, &copy->ticket,
                                   &request, now)) {
        case BB_ADMIT_RUN:
            handle_admitted(copy);
            break;
        case BB_ADMIT_QUEUED:
            schedule_queue_check(copy->at);
            on_step(CALL_QUEUED, copy);
            return;
        case BB_ADMIT_REFUSED:
            refuse(copy, copy->ticket.reason);
            break;
        }
    }

    void schedule_queue_check(Instance *at)
    {
        int64_t next_ms = BbAdmission_NextEvent(at->admission, now);
        if (next_ms >= 0) {
            after(next_ms - now, [=] { admit_next(at); });
        }
    }

    void admit_next(Instance *at)
    {
        while (bb_ticket_t *ticket = BbAdmission_Next(at->admission, now)) {
            auto copy = static_cast<Copy *>(ticket->arg)->shared_from_this();
            if (!at->alive) {
                continue;
            }
            if (ticket->state == BB_TICKET_RUNNING) {
                handle_admitted(copy);
            }
            else {
                refuse(copy, ticket->reason);
            }
        }
    }

    void release_slot(const std::shared_ptr<Copy> &copy, bool served)
    {
        BbAdmission_Finish(copy->at->admission, &copy->ticket, served, now);
        admit_next(copy->at);
    }

    void handle_admitted(std::shared_ptr<Copy> copy)
    {
        after(std::max<int64_t>(copy->deadline_ms - now, 0),
              [=] { fail(copy, BB_REASON_CALL_TIMEOUT); });
        Operation *operation = copy->exchange->operation;
        if (operation->idempotent || operation->mode != BB_ONCE_MODE_CLAIM) {
            start_run(copy);
            return;
        }
        advance(copy,
                BbClaim_Start(&copy->claim, "claim", operation->key.c_str(),
                              copy->exchange->id.c_str(), new_id().c_str()));
    }

    void advance(std::shared_ptr<Copy> copy, bb_claim_action_t action)
    {
        bb_claim_t *claim = &copy->claim;
        if (!copy->at->alive) {
            return;
        }
        if (copy->is_ended && action != BB_CLAIM_READ) {
            if (action == BB_CLAIM_RUN) { // ended before the call was sent
                release_claim(copy, [](int, json_t *) {});
            }
            return;
        }
        switch (action) {
        case BB_CLAIM_COMMIT:
            commit(copy->at, BbClaim_InsertTransaction(claim),
                   [=](int error, json_t *response) {
                       advance(copy, BbClaim_OnCommit(claim, error, response));
                   });
            break;
        case BB_CLAIM_READ:
            read(copy->at, claim->row_key, [=](int error, json_t *response) {
                advance(copy, BbClaim_OnRead(claim, error, response));
            });
            break;
        case BB_CLAIM_RUN:
            copy->is_claimed = true;
            start_run(copy);
            break;
        case BB_CLAIM_RESPOND: {
            auto call = once_call(copy);
            copy->is_ended = true;
            release_slot(copy, false);
            send_refusal(
                copy, BbOnce_Refuse(copy->at->once, &call, claim->reason, now),
                claim->status);
            break;
        }
        }
    }

    void release_claim(const std::shared_ptr<Copy> &copy,
                       std::function<void(int, json_t *)> done)
    {
        commit(copy->at,
               BbClaim_ReleaseTransaction(&copy->claim, new_id().c_str()),
               done);
    }

    // Ends an admitted call without a response of the target.
    void fail(const std::shared_ptr<Copy> &copy, bb_reason_t reason)
    {
        if (!copy->at->alive || copy->is_ended) {
            return;
        }
        copy->is_ended = true;
        if (copy->is_sent) {
            end_run(copy, 0);
            send_refusal(copy, reason);
            return;
        }
        auto give_up = [=](int, json_t *) {
            if (copy->at->alive) {
                release_slot(copy, false);
                refuse(copy, BB_REASON_TARGET_CONNECT);
            }
        };
        if (copy->is_claimed) {
            release_claim(copy, give_up);
        }
        else {
            give_up(0, nullptr);
        }
    }

    void end_run(const std::shared_ptr<Copy> &copy, int status)
    {
        auto call = once_call(copy);
        copy->at->active.erase(copy.get());
        release_slot(copy, status > 0);
        if (!copy->exchange->operation->idempotent) {
            BbOnce_End(copy->at->once, &call, status, now);
        }
    }

    // Schedules the next phase of a call, unless the call has ended by then.
    void later(const std::shared_ptr<Copy> &copy, int delay_ms,
               std::function<void()> action)
    {
        after(delay_ms, [=] {
            if (copy->at->alive && !copy->is_ended &&
                !copy->is_target_silent) {
                action();
            }
        });
    }

    void start_run(std::shared_ptr<Copy> copy)
    {
        bb_reason_t obstacle = BbAdmission_CheckStart(copy->at->admission);
        if (obstacle != BB_REASON_NONE) {
            fail(copy, obstacle);
            return;
        }
        if (now < copy->at->target_down_until ||
            random_fault(10)) { // the target accepts no connection
            fail(copy, BB_REASON_TARGET_CONNECT);
            return;
        }
        on_step(CONNECTED, copy);
        later(copy, 1, [=] {
            on_run(copy);
            copy->is_sent = true;
            copy->exchange->runs++;
            copy->exchange->operation->runs.push_back(copy->at);
            copy->at->active.insert(copy.get());
            on_step(HEAD_SENT, copy);
            later(copy, 1, [=] {
                on_step(BODY_SENT, copy);
                later(copy, 1, [=] { wait(copy); });
            });
        });
    }

    void wait(const std::shared_ptr<Copy> &copy)
    {
        on_step(WAITING, copy);
        later(copy, 2 + below(50), [=] {
            if (random_fault(5)) {
                fail(copy, BB_REASON_TARGET_LOST);
                return;
            }
            on_step(RESPONSE_ARRIVING, copy);
            later(copy, 0, [=] {
                bb_attempt_report_t report = {};
                report.result = BB_ATTEMPT_RESPONSE;
                copy->send_response(report);
                send_part(copy, 1);
            });
        });
    }

    void send_part(const std::shared_ptr<Copy> &copy, int part)
    {
        later(copy, 1, [=] {
            after(copy->delay_ms, [=] { receive_part(copy, part); });
            if (part < PARTS) {
                send_part(copy, part + 1);
                return;
            }
            copy->is_ended = true;
            end_run(copy, 200);
            if (copy->is_claimed) {
                commit(copy->at,
                       BbClaim_EndTransaction(&copy->claim, new_id().c_str(),
                                              200),
                       [](int, json_t *) {});
            }
        });
    }

    bool random_faults;
    bb_random_t *random;
    int64_t now = 0;
    int id_count = 0;
    std::multimap<int64_t, std::function<void()>> events;
    bb_pool_t pools[3];
    CallerSide sides[CALLER_SIDES];
    std::vector<std::unique_ptr<Instance>> instances;
    std::map<std::string, Instance *> by_address;
    std::vector<std::unique_ptr<Operation>> operations;
    std::vector<std::shared_ptr<Exchange>> exchanges;
    std::vector<std::shared_ptr<Copy>> copies;
    std::map<std::string, std::pair<json_t *, int64_t>> rows;
    int64_t revision = 0;
    bool platform_down = false;
    int max_platform_delay_ms =
        0; // longest delay of a slow platform; 0 = not slow
    int64_t platform_responses_lost_until = 0;
};

} // namespace chain_net

#endif
