// Plays calls against a fleet in virtual time: each node is beside one target
// and places calls by the load reports that it received. Used by the tests of
// slow start and of hedged calls.
#ifndef TARGET_SIMULATION_H
#define TARGET_SIMULATION_H

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bb_hedge.h"
#include "bb_pace.h"
#include "bb_placement.h"
#include "bb_slot_queue.h"
#include "event_queue.h"

namespace simulation {

struct Class {
    const char *name;
    double work_s, target_latency_s, deadline_s, calls_per_s;
    bool is_idempotent = true;
};

struct Options {
    int targets = 40, slots = 18, data_centres = 2;
    // Classes of service F of docs/hard-load.md.
    std::vector<Class> classes = {{"history", 0.35, 1.0, 2.5, 820},
                                  {"corrections", 0.45, 1.2, 3.0, 314, false}};
    double spread = 0.4; // sigma of the lognormal distribution of work
    double length_s = 12;
    bool is_paced = false;
    bool is_hedged = false;
    double slow_runs = 0; // share of the runs that take slow_factor times
    double slow_factor = 7;
    // A slow target runs fewer calls at the usual speed, or all of them
    // slowly.
    bool does_slow_hold_fewer = false;
    unsigned seed = 1;
};

struct Result {
    int calls = 0, in_time = 0, late = 0, failed = 0, attempts = 0;
    int hedged = 0, hedges_won = 0;
    std::vector<double> times; // of idempotent calls
    std::map<int, int> by_target;
    double InTime() const
    {
        return static_cast<double>(in_time) / calls;
    }
};

class Fleet : public EventQueue {
  public:
    struct Call;
    using CallPtr = std::shared_ptr<Call>;
    struct Target {
        int index, incarnation = 0;
        bool is_up = true;
        double slowness = 1;
        bb_slot_queue_t *queue = BbSlotQueue_New();
        bb_pace_t *pace = BbPace_New();
        std::vector<CallPtr> running;
        int lowered = 0;
        double full_at = 0; // when the last limit has ended
    };
    struct Call {
        int node, refusals = 0;
        const Class *kind;
        double arrived_at, work_s;
        bb_slot_ticket_t ticket;
        Target *target = nullptr;
        std::vector<bb_endpoint_t *> tried;
        double placed_at = 0;
        std::shared_ptr<bool> is_answered = std::make_shared<bool>(false);
        // The other attempt of a hedged call; may be over.
        std::weak_ptr<Call> other;
        bool is_hedge = false;
    };

    explicit Fleet(const Options &options)
        : options(options), engine(options.seed), targets(options.targets),
          random_(BbRandom_New(options.seed + 1))
    {
        for (int i = 0; i < options.targets; i++) {
            targets[i].index = i;
            hedges_.push_back(BbHedge_New());
            BbSlotQueue_SetSlots(targets[i].queue, options.slots);
            BbPace_SetSlots(targets[i].pace, options.slots);
            fleets_.push_back(BbFleet_New(Name(i).c_str()));
        }
        for (Target &target : targets) {
            Announce(target, true);
        }
        for (const Class &kind : this->options.classes) {
            ScheduleNextCall(&kind);
        }
    }
    ~Fleet()
    {
        for (Target &target : targets) {
            BbSlotQueue_Free(target.queue);
            BbPace_Free(target.pace);
            BbFleet_Free(fleets_[target.index]);
            BbHedge_Free(hedges_[target.index]);
        }
        BbRandom_Free(random_);
    }
    Result Run()
    {
        RunEvents();
        return result;
    }
    // Starts a new incarnation that is slow for some seconds.
    void Start(Target &target, double slowness, double for_s)
    {
        Kill(target);
        int incarnation = target.incarnation;
        target.is_up = true;
        BbSlotQueue_SetSlots(target.queue, options.slots);
        target.slowness = slowness;
        Announce(target, true);
        Apply(target, BbPace_Begin(target.pace, BB_PACE_STARTED, 0, Clock()));
        At(now + for_s, [&target, incarnation] {
            if (target.incarnation == incarnation) {
                target.slowness = 1;
            }
        });
    }
    // The target ends; its calls are lost, and new ones do not reach it.
    void Kill(Target &target)
    {
        target.is_up = false;
        target.incarnation++;
        BbSlotQueue_SetSlots(target.queue, 0);
        for (const CallPtr &call : std::exchange(target.running, {})) {
            OnFailure(target, call->ticket.started_at);
            End(call, BB_ATTEMPT_FAILED);
        }
        bb_slot_ticket_t *ticket;
        while ((ticket = BbSlotQueue_FirstWaiting(target.queue)) != nullptr) {
            BbSlotQueue_Cancel(target.queue, ticket);
            CallPtr call = waiting_[ticket];
            Respond(call, BB_ATTEMPT_REFUSED);
        }
    }
    // Sends the record of the target to all nodes.
    void Announce(Target &target, bool is_ready)
    {
        std::string name = Name(target.index);
        std::string centre =
            "dc" + std::to_string(target.index % options.data_centres);
        std::string id = name + "/" + std::to_string(target.incarnation);
        bb_node_record_t record = {};
        record.address = const_cast<char *>(name.c_str());
        record.data_centre = const_cast<char *>(centre.c_str());
        record.service = const_cast<char *>("f");
        record.target_id = const_cast<char *>(id.c_str());
        record.slots = options.slots;
        record.is_ready = is_ready;
        for (bb_fleet_t *fleet : fleets_) {
            if (fleet == fleets_[target.index]) {
                BbFleet_SetOwn(fleet, &record, Clock());
            }
            else {
                BbFleet_Merge(fleet, name.c_str(), &record, ++revision_,
                              Clock());
            }
            BbPlacement_SetReachable(BbFleet_Find(fleet, name.c_str()));
        }
    }
    // Starts at 1000, because the modules take a time of 0 as "never".
    double Clock() const
    {
        return now + 1000;
    }

    Options options;
    std::mt19937 engine;
    std::vector<Target> targets;
    Result result;

  private:
    static std::string Name(int index)
    {
        return "t" + std::to_string(index);
    }
    void ScheduleNextCall(const Class *kind)
    {
        double gap_s =
            std::exponential_distribution<double>(kind->calls_per_s)(engine);
        if (now + gap_s < options.length_s) {
            At(now + gap_s, [this, kind] {
                ScheduleNextCall(kind);
                auto call = std::make_shared<Call>();
                call->node = static_cast<int>(engine() % targets.size());
                call->kind = kind;
                call->arrived_at = now;
                call->work_s = DrawWork(*kind);
                result.calls++;
                BbHedge_OnCall(hedges_[call->node], kind->name);
                Place(call);
                ScheduleHedge(call);
            });
        }
    }
    double DrawWork(const Class &kind)
    {
        double sigma = options.spread;
        return kind.work_s * std::lognormal_distribution<double>(
                                 -sigma * sigma / 2, sigma)(engine);
    }
    std::string CentreName(int node) const
    {
        return "dc" + std::to_string(node % options.data_centres);
    }
    void ScheduleHedge(const CallPtr &call)
    {
        double delay_s = BbHedge_Delay(hedges_[call->node], call->kind->name);
        if (options.is_hedged && call->kind->is_idempotent && delay_s > 0) {
            At(now + delay_s, [this, call] { TryHedge(call); });
        }
    }
    void TryHedge(const CallPtr &first)
    {
        if (*first->is_answered || first->tried.size() != 1) {
            return;
        }
        bb_endpoint_t *endpoint = Choose(*first);
        if (endpoint == nullptr) {
            return;
        }
        bb_hedge_request_t request = {};
        request.class_name = first->kind->name;
        request.service = "f";
        request.due_at =
            first->arrived_at + 1000 + first->kind->target_latency_s;
        request.has_room = BbPlacement_HasRoom(fleets_[first->node], endpoint,
                                               CentreName(first->node).c_str(),
                                               Clock(), &request.predicted_s);
        if (!BbHedge_Take(hedges_[first->node], &request, Clock())) {
            return;
        }
        auto call = std::make_shared<Call>(*first);
        call->is_hedge = true;
        call->other = first;
        first->other = call;
        result.hedged++;
        Send(call, endpoint);
    }
    bb_endpoint_t *Choose(const Call &call)
    {
        std::string centre =
            "dc" + std::to_string(call.node % options.data_centres);
        bb_placement_request_t request = {};
        request.service = "f";
        request.class_name = call.kind->name;
        request.data_centre = centre.c_str();
        request.target_latency_s = call.kind->target_latency_s;
        request.spill_share = 0.65;
        request.refusals = call.refusals;
        request.is_paced = options.is_paced;
        for (bb_endpoint_t *endpoint : call.tried) {
            request.tried[request.tried_count++] = endpoint;
        }
        return BbPlacement_Choose(fleets_[call.node], &request, random_,
                                  Clock(), nullptr);
    }
    void Place(const CallPtr &call)
    {
        bb_endpoint_t *endpoint =
            call->tried.size() < 4 ? Choose(*call) : nullptr;
        if (endpoint == nullptr) {
            result.failed++;
            return;
        }
        Send(call, endpoint);
    }
    void Send(const CallPtr &call, bb_endpoint_t *endpoint)
    {
        call->tried.push_back(endpoint);
        call->target = &targets[atoi(endpoint->node + 1)];
        call->placed_at = now;
        result.attempts++;
        BbPlacement_BeginAttempt(endpoint);
        At(now + 0.001, [this, call] { Offer(call); });
    }
    void Offer(const CallPtr &call)
    {
        Target &target = *call->target;
        if (!target.is_up) {
            OnFailure(target, Clock());
            Respond(call, BB_ATTEMPT_FAILED);
            return;
        }
        if (options.is_paced && BbPace_IsActive(target.pace)) {
            Apply(target, BbPace_Update(target.pace, Clock()));
            BbSlotQueue_AssumeTime(
                target.queue, call->kind->name,
                BbPace_Reference(target.pace, call->kind->name, Clock()) *
                    BbPace_Slowness(target.pace),
                Clock());
        }
        call->ticket = {};
        call->ticket.class_name = call->kind->name;
        call->ticket.target_latency_s = call->kind->target_latency_s;
        call->ticket.due_at =
            call->arrived_at + 1000 + call->kind->target_latency_s;
        call->ticket.expires_at =
            call->arrived_at + 1000 + call->kind->deadline_s;
        waiting_[&call->ticket] = call;
        BbSlotQueue_Offer(target.queue, &call->ticket, Clock());
        if (call->ticket.state == BB_SLOT_RUNNING) {
            Begin(call);
        }
        else if (call->ticket.state == BB_SLOT_REFUSED) {
            Respond(call, BB_ATTEMPT_REFUSED);
        }
        RunQueue(target);
    }
    void RunQueue(Target &target)
    {
        bb_slot_ticket_t *ticket;
        while ((ticket = BbSlotQueue_Next(target.queue, Clock())) != nullptr) {
            CallPtr call = waiting_[ticket];
            if (ticket->state == BB_SLOT_RUNNING) {
                Begin(call);
            }
            else {
                Respond(call, BB_ATTEMPT_REFUSED);
            }
        }
    }
    void Begin(const CallPtr &call)
    {
        Target &target = *call->target;
        double held = options.slots / target.slowness;
        double factor =
            options.does_slow_hold_fewer
                ? std::max(1.0, BbSlotQueue_Running(target.queue) / held)
                : target.slowness;
        target.running.push_back(call);
        result.by_target[target.index]++;
        int incarnation = target.incarnation;
        if (std::uniform_real_distribution<double>()(engine) <
            options.slow_runs) {
            factor *= options.slow_factor;
        }
        At(now + call->work_s * factor, [this, call, &target, incarnation] {
            if (target.incarnation == incarnation) {
                Finish(call);
            }
        });
    }
    void Finish(const CallPtr &call)
    {
        Target &target = *call->target;
        target.running.erase(
            std::find(target.running.begin(), target.running.end(), call));
        if (options.is_paced) {
            Apply(target, BbPace_OnResponse(target.pace, call->kind->name,
                                            call->ticket.started_at,
                                            BbSlotQueue_Running(target.queue),
                                            Clock()));
        }
        End(call, BB_ATTEMPT_SERVED);
    }
    void End(const CallPtr &call, bb_attempt_outcome_t outcome)
    {
        BbSlotQueue_Finish(call->target->queue, &call->ticket,
                           outcome == BB_ATTEMPT_SERVED, Clock());
        Respond(call, outcome);
        RunQueue(*call->target);
    }
    void OnFailure(Target &target, double started_at)
    {
        if (options.is_paced) {
            Apply(target,
                  BbPace_OnFailure(target.pace, started_at, false, Clock()));
        }
    }
    void Apply(Target &target, bb_pace_change_t change)
    {
        target.lowered += change == BB_PACE_LOWERED;
        target.full_at = change == BB_PACE_ENDED ? now : target.full_at;
        if (options.is_paced && target.is_up) {
            BbSlotQueue_SetSlots(target.queue, BbPace_Limit(target.pace));
        }
    }
    void Respond(const CallPtr &call, bb_attempt_outcome_t outcome)
    {
        bb_slot_queue_t *queue = call->target->queue;
        bb_load_t load = {};
        load.running = BbSlotQueue_Running(queue);
        load.waiting = BbSlotQueue_Waiting(queue);
        load.slots = options.is_paced ? BbPace_Limit(call->target->pace)
                                      : options.slots;
        double paced_s = options.is_paced
                             ? BbPace_ServiceTime(call->target->pace,
                                                  load.running + load.waiting)
                             : 0;
        load.service_ms = static_cast<int>(
            1000 *
            (paced_s > 0 ? paced_s : BbSlotQueue_ServiceTime(queue, Clock())));
        load.class_ms = static_cast<int>(
            BbSlotQueue_MeasuredTime(queue, call->kind->name, Clock()) * 1000);
        waiting_.erase(&call->ticket);
        At(now + 0.001,
           [this, call, load, outcome] { Handle(call, load, outcome); });
    }
    void Handle(const CallPtr &call, const bb_load_t &load,
                bb_attempt_outcome_t outcome)
    {
        bb_endpoint_t *endpoint = call->tried.back();
        BbPlacement_EndAttempt(endpoint, outcome, &load, Clock());
        bb_hedge_t *hedge = hedges_[call->node];
        if (outcome == BB_ATTEMPT_REFUSED) {
            BbHedge_OnRefusal(hedge, "f", Clock());
        }
        else {
            BbHedge_OnResponse(hedge, call->kind->name, now - call->placed_at);
        }
        bool is_other_open = !call->other.expired();
        if (*call->is_answered ||
            (is_other_open && outcome != BB_ATTEMPT_SERVED)) {
            return;
        }
        if (outcome == BB_ATTEMPT_SERVED) {
            *call->is_answered = true;
            result.hedges_won += call->is_hedge;
            double took_s = now - call->arrived_at;
            bool is_in_time = took_s <= call->kind->target_latency_s;
            (is_in_time ? result.in_time : result.late)++;
            if (call->kind->is_idempotent) {
                result.times.push_back(took_s);
            }
            if (!endpoint->is_local) {
                bb_pace_t *pace = targets[call->node].pace;
                BbPace_OnUsage(pace, 1.0 * (load.running + load.waiting) /
                                         load.slots);
                if (load.slots == options.slots) {
                    BbPace_OnReference(pace, call->kind->name,
                                       load.class_ms / 1000.0, Clock());
                }
            }
            return;
        }
        if (outcome == BB_ATTEMPT_REFUSED) {
            BbPlacement_SetFull(endpoint, call->kind->name, Clock());
            call->refusals++;
        }
        if (call->refusals >= 2) {
            result.failed++;
            return;
        }
        Place(call);
    }

    bb_random_t *random_;
    std::vector<bb_fleet_t *> fleets_;
    std::vector<bb_hedge_t *> hedges_;
    std::map<bb_slot_ticket_t *, CallPtr> waiting_;
    int64_t revision_ = 0;
};

} // namespace simulation

#endif
