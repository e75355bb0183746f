// Slow start of targets, see lib/pace/bb_pace.h: unit cases and a fleet under
// load in virtual time, with and without slow start on the same seeds.
#include <gtest/gtest.h>

#include "bb_target_io.h"
#include "target_simulation.h"

using simulation::Fleet;
using simulation::Options;
using simulation::Result;

namespace {

using Scenario = std::function<void(Fleet &)>;

const unsigned SEEDS = 8;

// Sums the results of several seeds.
Result
RunScenario(const char *name, Options options, const Scenario &scenario,
            const std::function<void(Fleet &)> &check = nullptr)
{
    Result sum;
    for (unsigned seed = 1; seed <= SEEDS; seed++) {
        options.seed = seed;
        Fleet fleet(options);
        scenario(fleet);
        Result result = fleet.Run();
        sum.calls += result.calls;
        sum.in_time += result.in_time;
        sum.late += result.late;
        sum.failed += result.failed;
        sum.attempts += result.attempts;
        if (check) {
            check(fleet);
        }
    }
    printf("%-28s %-9s %-5s in time %.4f late %.4f failed %.4f attempts "
           "%.3f\n",
           name, options.does_slow_hold_fewer ? "fewer" : "slower",
           options.is_paced ? "paced" : "", sum.InTime(),
           1.0 * sum.late / sum.calls, 1.0 * sum.failed / sum.calls,
           1.0 * sum.attempts / sum.calls);
    return sum;
}

// The target takes no new calls for a second, then the next one starts.
void
Replace(Fleet &fleet, int index, double at)
{
    fleet.At(at,
             [&fleet, index] { fleet.Announce(fleet.targets[index], false); });
    fleet.At(at + 1,
             [&fleet, index] { fleet.Start(fleet.targets[index], 2, 3); });
}

struct Case {
    const char *name;
    double load; // share of the usual load
    Scenario scenario;
    // Required gain in the share of calls in time. The default allows for the
    // noise of 87,000 to 109,000 calls.
    double min_gain = -0.001;
};

std::vector<Case>
Cases()
{
    return {
        {"new target of 40", 1.0,
         [](Fleet &fleet) {
             fleet.At(3, [&fleet] { fleet.Start(fleet.targets[7], 2, 3); });
         }},
        {"a third replaced", 1.0,
         [](Fleet &fleet) {
             for (int i = 0; i < 13; i++) {
                 Replace(fleet, i, 2 + 0.6 * i);
             }
         },
         0.005},
        {"a third replaced, busy", 1.35,
         [](Fleet &fleet) {
             for (int i = 0; i < 13; i++) {
                 Replace(fleet, i, 2 + 0.6 * i);
             }
         },
         0.005},
        {"flapping target", 1.0,
         [](Fleet &fleet) {
             for (int i = 0; i < 6; i++) {
                 fleet.At(2 + 1.4 * i,
                          [&fleet] { fleet.Kill(fleet.targets[7]); });
                 fleet.At(2.7 + 1.4 * i,
                          [&fleet] { fleet.Start(fleet.targets[7], 2, 3); });
             }
         }},
        {"data centre comes back", 0.8,
         [](Fleet &fleet) {
             fleet.At(3, [&fleet] {
                 for (int i = 0; i < 40; i += 2) {
                     fleet.Kill(fleet.targets[i]);
                     fleet.Announce(fleet.targets[i], false);
                 }
             });
             fleet.At(6, [&fleet] {
                 for (int i = 0; i < 40; i += 2) {
                     fleet.Start(fleet.targets[i], 2, 3);
                 }
             });
         }},
        {"slow for good", 1.0,
         [](Fleet &fleet) {
             fleet.At(2, [&fleet] { fleet.Start(fleet.targets[7], 3, 100); });
         }},
    };
}

} // namespace

// Guards against a slow start that costs callers more than it gains: targets
// left idle, or new targets flooded.
TEST(Pace, CallersGetAsMuchWithSlowStart)
{
    for (bool does_hold_fewer : {false, true}) {
        for (const Case &item : Cases()) {
            Options options;
            options.does_slow_hold_fewer = does_hold_fewer;
            for (auto &kind : options.classes) {
                kind.calls_per_s *= item.load;
            }
            Result without = RunScenario(item.name, options, item.scenario);
            options.is_paced = true;
            Result paced = RunScenario(item.name, options, item.scenario);
            EXPECT_GE(paced.InTime(), without.InTime() + item.min_gain)
                << item.name;
        }
    }
}

// Guards against a limit that stays although the target is as fast as the
// others (all slots within 2 s of that), and against one that is never
// released for a slow target or goes up and down.
TEST(Pace, LimitEnds)
{
    struct Start {
        double slowness, for_s, longest_s;
    };
    const std::vector<Start> starts = {
        {1, 0, 2.0}, {2, 3, 5.0}, {2, 100, 8.5}, {3, 100, 8.5}};
    for (size_t i = 0; i < starts.size() * SEEDS; i++) {
        const Start &start = starts[i / SEEDS];
        Options options;
        options.is_paced = true;
        options.seed = i % SEEDS + 1;
        Fleet fleet(options);
        Fleet::Target &target = fleet.targets[7];
        fleet.At(2, [&] { fleet.Start(target, start.slowness, start.for_s); });
        fleet.Run();
        printf("slowness %.0f for %.0f s: full after %.2f s, lowered %d\n",
               start.slowness, start.for_s, target.full_at - 2,
               target.lowered);
        EXPECT_GT(target.full_at, 0);
        EXPECT_LE(target.full_at - 2, start.longest_s);
        EXPECT_LE(target.lowered, 3);
    }
}

namespace {

// Responses to calls that take took_s, with the limit in use, for one second.
bb_pace_change_t
Respond(bb_pace_t *pace, const char *class_name, double took_s, double *now)
{
    bb_pace_change_t last = BB_PACE_UNCHANGED;
    for (int i = 0; i < 20; i++) {
        *now += 0.05;
        bb_pace_change_t change = BbPace_OnResponse(
            pace, class_name, *now - took_s, BbPace_Limit(pace), *now);
        last = change != BB_PACE_UNCHANGED ? change : last;
    }
    return last;
}

} // namespace

// Guards against a long class that is taken for a slow target, a nested call's
// timeout that is taken for a target that is down, and failures of an earlier
// process that lower the limit of the new one.
TEST(Pace, TellsSlowTargetsFromLongClassesAndOldFailures)
{
    double now = 1000;
    bb_pace_t *pace = BbPace_New();
    BbPace_SetSlots(pace, 18);
    BbPace_OnReference(pace, "profile", 0.87, now);
    BbPace_OnReference(pace, "price", 0.14, now);
    EXPECT_EQ(BbPace_Limit(pace), 18);
    BbPace_Begin(pace, BB_PACE_STARTED, 0, now);
    EXPECT_EQ(BbPace_Limit(pace), 9);
    EXPECT_EQ(BbPace_OnFailure(pace, now - 1, false, now), BB_PACE_UNCHANGED);
    now += 1; // calls of 0.87 s that start after the limit has begun
    EXPECT_EQ(Respond(pace, "profile", 0.87, &now), BB_PACE_ENDED);
    EXPECT_EQ(BbPace_Limit(pace), 18);
    for (int i = 0; i < 5; i++) {
        EXPECT_EQ(BbPace_OnFailure(pace, now, true, now), BB_PACE_UNCHANGED);
    }
    BbPace_Free(pace);
}

// Guards against a target that fails during its slow start, or comes back from
// a pause with a backlog, and still gets all its slots; and against a limit
// for a target of which single calls fail.
TEST(Pace, FailuresLowerALimitAndSilenceBeginsOne)
{
    double now = 1000;
    bb_pace_t *pace = BbPace_New();
    BbPace_SetSlots(pace, 18);
    BbPace_OnReference(pace, "price", 0.14, now);
    Respond(pace, "price", 0.14, &now);
    for (int i = 0; i < 3; i++) {
        EXPECT_EQ(BbPace_OnFailure(pace, now, false, now), BB_PACE_UNCHANGED);
    }
    EXPECT_EQ(BbPace_Limit(pace), 18);
    EXPECT_EQ(BbPace_Begin(pace, BB_PACE_RETURNED, 0, now), BB_PACE_BEGUN);
    EXPECT_EQ(BbPace_Limit(pace), 2);
    EXPECT_EQ(BbPace_OnFailure(pace, now, false, now + 1), BB_PACE_LOWERED);
    EXPECT_EQ(BbPace_Limit(pace), 1);
    now += 1;
    EXPECT_EQ(Respond(pace, "price", 0.14, &now), BB_PACE_ENDED);
    EXPECT_EQ(BbPace_Limit(pace), 18);
    now += 1.5;
    EXPECT_EQ(BbPace_OnResponse(pace, "price", now - 1.5, 18, now),
              BB_PACE_BEGUN);
    EXPECT_STREQ(BbPace_ReasonName(pace), "silent");
    BbPace_Free(pace);
}

// Guards against a slow target that is held back while the service has no free
// slot elsewhere, and against one that keeps all its slots while there are.
TEST(Pace, YieldsWhileTheServiceIsShortOfRoom)
{
    for (double usage : {0.3, 1.2}) {
        double now = 1000;
        bb_pace_t *pace = BbPace_New();
        BbPace_SetSlots(pace, 18);
        BbPace_OnReference(pace, "price", 0.14, now);
        BbPace_OnUsage(pace, usage);
        BbPace_Begin(pace, BB_PACE_STARTED, 0, now);
        now += 1;
        Respond(pace, "price", 0.4, &now);
        Respond(pace, "price", 0.4, &now);
        if (usage > 1) {
            EXPECT_EQ(BbPace_Limit(pace), 18);
        }
        else {
            EXPECT_LE(BbPace_Limit(pace), 9);
        }
        BbPace_Free(pace);
    }
}

// Guards against nodes that all send calls to a target which none has a report
// of: over all nodes, only a part of its slots is used at once.
TEST(Pace, FewCallsBeforeTheFirstReport)
{
    bb_random_t *random = BbRandom_New(1);
    int first = 0, later = 0;
    for (int node = 0; node < 78; node++) {
        bb_fleet_t *fleet = BbFleet_New(("n" + std::to_string(node)).c_str());
        for (int i = 0; i < 78; i++) {
            std::string name = "t" + std::to_string(i);
            bb_node_record_t record = {};
            record.address = const_cast<char *>("127.0.0.1:1");
            record.data_centre = const_cast<char *>("dc");
            record.service = const_cast<char *>(i < 40 ? "f" : "d");
            record.target_id = const_cast<char *>(name.c_str());
            record.slots = 18;
            record.is_ready = true;
            BbFleet_Merge(fleet, name.c_str(), &record, i + 1, 1000);
            bb_endpoint_t *endpoint = BbFleet_Find(fleet, name.c_str());
            BbPlacement_SetReachable(endpoint);
            endpoint->load = {18, 9, 18, 400, 0, 0, 1, 0, 0};
            endpoint->load_at = i > 0 ? 1000 : 0;
        }
        bb_placement_request_t request = {};
        request.service = "f";
        request.data_centre = "dc";
        request.target_latency_s = 1;
        request.is_paced = true;
        bb_endpoint_t *fresh = BbFleet_Find(fleet, "t0");
        for (int i = 0; i < 60; i++) {
            if (BbPlacement_Choose(fleet, &request, random, 1000, nullptr) ==
                fresh) {
                BbPlacement_BeginAttempt(fresh);
                first++;
            }
        }
        for (int i = 0; i < 60; i++) {
            if (BbPlacement_Choose(fleet, &request, random, 1002, nullptr) ==
                fresh) {
                BbPlacement_BeginAttempt(fresh);
                later++;
            }
        }
        BbFleet_Free(fleet);
    }
    printf("in flight without report: %d at once, %d more after 2 s\n", first,
           later);
    EXPECT_GE(first, 2);
    EXPECT_LE(first, 18);
    EXPECT_GE(later, 78);
    BbRandom_Free(random);
}

// Guards against a limit that the node beside the target does not apply or
// report, and against a slow start of a target that runs since before the
// node.
TEST(Pace, NodeReportsTheLimitAsSlots)
{
    const bb_header_names_t names = {};
    for (bool is_new : {true, false}) {
        bb_local_target_options_t target_options = {"127.0.0.1:1", "f", false};
        bb_local_target_t *target = BbLocalTarget_New(&target_options);
        bb_pace_t *pace = BbPace_New();
        struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
        bb_target_io_options_t options = {};
        options.loop = loop;
        options.address = "127.0.0.1:1";
        options.service = "f";
        options.names = &names;
        options.target = target;
        options.pace = pace;
        bb_target_io_t *io = BbTargetIo_New(&options);
        bb_heartbeat_t heartbeat = {};
        heartbeat.id = "t";
        heartbeat.address = "127.0.0.1:1";
        heartbeat.service = "f";
        heartbeat.slots = 18;
        heartbeat.sequence = 1;
        heartbeat.born_ms = g_get_real_time() / 1000 - (is_new ? 0 : 60000);
        BbLocalTarget_Heartbeat(target, &heartbeat);
        BbTargetIo_TargetChanged(io);
        bb_load_t load = {};
        BbTargetIo_GetLoad(io, "history", &load);
        EXPECT_EQ(load.slots, is_new ? 9 : 18);
        EXPECT_EQ(load.class_ms, 0);
        BbTargetIo_Free(io);
        ev_loop_destroy(loop);
        BbPace_Free(pace);
        BbLocalTarget_Free(target);
    }
}
