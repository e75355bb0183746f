// Roll-outs in virtual time: nodes that place and run calls, report to a
// deciding node and follow its rows, without network.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <glib.h>

#include <algorithm>
#include <cstring>

#include "bb_rollout_local.h"

namespace {

const char kService[] = "prices";
const double kStep = 0.025, kReport = 0.5, kDecide = 0.25;
const double kLongestCall = 6; // calls are cut then

struct Run {
    double ends_at;
    double duration_s;
    std::string route;
    bool is_failed;
};

struct SimNode {
    std::string name, data_centre, version;
    bb_rollout_local_t *local;
    double started_at = 0;
    bool is_ready = true;
    bool is_cut = false; // neither rows nor reports pass
    std::vector<Run> runs;
    int bad_runs = 0;
};

struct Options {
    int old_targets = 20, new_targets = 20, data_centres = 3;
    double calls_per_s = 400, duration_s = 30, base_s = 0.1;
    unsigned seed = 1;
};

// How long a call takes (as a factor) and whether it fails.
struct Outcome {
    double factor = 1;
    double fail_share = 0;
};

class Fleet {
  public:
    explicit Fleet(const Options &options)
        : options(options), random_(options.seed)
    {
        for (int i = 0; i < options.old_targets + options.new_targets; i++) {
            bool is_old = i < options.old_targets;
            AddNode(is_old ? "v1" : "v2");
        }
    }
    ~Fleet()
    {
        for (auto &node : nodes) {
            BbRolloutLocal_Free(node->local);
        }
        BbRollout_Free(rollout);
    }
    SimNode *AddNode(const char *version)
    {
        auto node = std::make_unique<SimNode>();
        int i = static_cast<int>(nodes.size());
        node->name = "n" + std::to_string(100 + i);
        node->data_centre =
            std::string(1, static_cast<char>('a' + i % options.data_centres));
        node->version = version;
        node->started_at = now;
        node->local = BbRolloutLocal_New(node->name.c_str(),
                                         node->data_centre.c_str(), kService);
        nodes.push_back(std::move(node));
        return nodes.back().get();
    }
    // The operator's order; the deciding node is the first one of an epoch.
    // The store answers until just before the order, then after silent_s.
    void Order(int64_t version = 10, const char *to = "v2",
               double silent_s = 0)
    {
        order_ = {kService, to, options.duration_s, version};
        ordered_at = now;
        double absent_at = now - 0.1;
        RunFor(silent_s);
        sighting = {now, absent_at};
        for (auto &node : nodes) {
            BbRolloutLocal_ApplyOrder(node->local, &order_, false, now);
        }
        StartDecider("d1");
    }
    // Another node decides, from the newest row that a node knows.
    void StartDecider(const char *name)
    {
        const bb_rollout_row_t *known =
            BbRolloutLocal_Row(nodes.back()->local, kService);
        bb_rollout_options_t decider = {name, 0.1, 50, kLongestCall};
        bb_rollout_t *next =
            BbRollout_New(&decider, &order_, known, &sighting,
                          static_cast<int64_t>(now * 1000), now);
        BbRollout_Free(rollout);
        rollout = next;
        is_deciding = true;
        Publish();
    }
    void Publish()
    {
        for (auto &node : nodes) {
            if (!node->is_cut) {
                BbRolloutLocal_Apply(node->local, BbRollout_Row(rollout));
            }
        }
    }
    void RunFor(double seconds)
    {
        double end = now + seconds;
        while (now < end) {
            Step();
        }
    }
    // Runs until the roll-out has ended or for some seconds.
    bb_rollout_phase_t RunUntilFinal(double limit_s = 40)
    {
        double end = now + limit_s;
        while (now < end && !BbRolloutPhase_IsFinal(Phase())) {
            Step();
        }
        return Phase();
    }
    bb_rollout_phase_t Phase() const
    {
        return BbRollout_Row(rollout)->phase;
    }
    std::string Reason() const
    {
        return BbRollout_Reason(rollout);
    }
    int OpenAt(const char *version) const
    {
        int open = 0;
        for (auto &node : nodes) {
            open += node->version == version
                        ? static_cast<int>(node->runs.size())
                        : 0;
        }
        return open;
    }
    // A bad version's bounds: a tenth of all calls and 50 more; nothing sent
    // later than 5 s after its 50th bad response.
    void ExpectExposureBounded() const
    {
        EXPECT_LE(new_calls, 0.1 * all_calls + 50);
        if (bad_50_at > 0) {
            EXPECT_LE(last_new_call_at, bad_50_at + 5.0);
        }
    }

    Options options;
    double now = 100;
    std::vector<std::unique_ptr<SimNode>> nodes;
    bb_rollout_t *rollout = nullptr;
    bool is_deciding = false, is_store_up = true;
    double ordered_at = 0;
    bb_rollout_sighting_t sighting = {};
    int all_calls = 0, new_calls = 0, unplaced = 0, bad_responses = 0;
    double bad_50_at = 0, last_new_call_at = 0;
    int old_open_at_completion = -1;
    std::vector<std::string> routes = {"read", "write"};
    std::function<Outcome(const SimNode &, const std::string &)> behaviour =
        [](const SimNode &, const std::string &) { return Outcome(); };
    std::function<bool()> loses_report = [] { return false; };

  private:
    double Draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }
    SimNode *Any()
    {
        return nodes[static_cast<size_t>(Draw() * nodes.size())].get();
    }
    bool Place(SimNode *caller, const char *route, bool is_new_turn)
    {
        std::vector<SimNode *> candidates;
        for (auto &node : nodes) {
            if (node->is_ready && node->is_cut == caller->is_cut &&
                BbRolloutLocal_MayPlace(caller->local, kService,
                                        node->name.c_str(),
                                        node->version.c_str(), is_new_turn)) {
                candidates.push_back(node.get());
            }
        }
        for (int tries = 0; tries < 5 && !candidates.empty(); tries++) {
            SimNode *target =
                candidates[static_cast<size_t>(Draw() * candidates.size())];
            if (BbRolloutLocal_AcceptsCalls(target->local,
                                            target->version.c_str(), now)) {
                Start(target, route);
                return true;
            }
        }
        return false;
    }
    void Start(SimNode *target, const char *route)
    {
        Outcome outcome = behaviour(*target, route);
        double duration_s =
            options.base_s * outcome.factor * (0.7 + 0.6 * Draw());
        if (Draw() < 0.01) {
            duration_s *= 5;
        }
        duration_s = std::min(duration_s, kLongestCall);
        bool is_failed = Draw() < outcome.fail_share;
        target->runs.push_back(
            {now + duration_s, duration_s, route, is_failed});
        if (target->version == "v2") {
            new_calls++;
            last_new_call_at = now;
        }
    }
    void Call()
    {
        const std::string &route = routes[Draw() < 0.7 ? 0 : 1];
        SimNode *caller = Any();
        bool is_new =
            BbRolloutLocal_IsNewTurn(caller->local, kService, route.c_str());
        all_calls++;
        if (!Place(caller, route.c_str(), is_new) &&
            !(is_new && Place(caller, route.c_str(), false))) {
            unplaced++;
        }
    }
    void FinishRuns(SimNode *node)
    {
        for (size_t i = 0; i < node->runs.size();) {
            Run run = node->runs[i];
            if (run.ends_at > now) {
                i++;
                continue;
            }
            BbRolloutLocal_CountRun(node->local, node->version.c_str(),
                                    run.route.c_str(), run.is_failed,
                                    run.duration_s);
            bool is_bad =
                node->version == "v2" &&
                (run.is_failed || run.duration_s > 3 * options.base_s);
            bad_responses += is_bad;
            if (bad_responses == 50 && bad_50_at == 0) {
                bad_50_at = now;
            }
            node->runs.erase(node->runs.begin() + static_cast<long>(i));
        }
    }
    void Report(SimNode *node)
    {
        if (!is_deciding || node->is_cut || loses_report()) {
            return;
        }
        char *text = BbRolloutLocal_FormatReport(
            node->local, node->version.c_str(),
            static_cast<int>(node->runs.size()), now);
        json_t *report =
            text != nullptr ? json_loads(text, 0, nullptr) : nullptr;
        double lease_s = BbRolloutReport_Deliver(rollout, report, now);
        json_decref(report);
        if (lease_s >= 0) {
            BbRolloutLocal_Grant(node->local, order_.version, now, lease_s);
        }
        BbRolloutLocal_Apply(node->local, BbRollout_Row(rollout));
        g_free(text);
    }
    void Decide()
    {
        std::vector<bb_rollout_target_t> targets;
        bb_rollout_row_t next;
        for (auto &node : nodes) {
            targets.push_back({node->name.c_str(), node->data_centre.c_str(),
                               node->version.c_str(), node->is_ready});
        }
        BbRollout_SetTargets(rollout, targets.data(), targets.size(), now);
        bool is_changed = BbRollout_Tick(rollout, now);
        const bb_rollout_verdict_t *verdict = BbRollout_Verdict(rollout);
        if (verdict->kind == BB_VERDICT_SUSPECT) {
            EXPECT_GE(strlen(verdict->target), 2u); // is still allocated
        }
        if (BbRollout_NextRow(rollout, &next)) {
            if (is_store_up) {
                if (next.phase == BB_ROLLOUT_COMPLETED) {
                    old_open_at_completion = OpenAt("v1");
                }
                is_changed |= BbRollout_Confirm(rollout, &next, now);
            }
            BbRolloutRow_Clear(&next);
        }
        if (is_changed) {
            Publish();
        }
    }
    bool IsDue(double interval_s, size_t offset = 0) const
    {
        auto steps = static_cast<size_t>(now / kStep + 0.5) + offset;
        return steps % static_cast<size_t>(interval_s / kStep + 0.5) == 0;
    }
    void Step()
    {
        now += kStep;
        pending_calls_ += options.calls_per_s * kStep;
        for (; pending_calls_ >= 1; pending_calls_ -= 1) {
            Call();
        }
        for (size_t i = 0; i < nodes.size(); i++) {
            FinishRuns(nodes[i].get());
            if (rollout != nullptr && IsDue(kReport, i)) {
                Report(nodes[i].get());
            }
        }
        if (is_deciding && IsDue(kDecide)) {
            Decide();
        }
    }
    std::mt19937 random_;
    bb_rollout_order_t order_ = {};
    double pending_calls_ = 0;
};

bool
IsNew(const SimNode &node)
{
    return node.version == "v2";
}

// ---- bad versions ----

struct BadVersion {
    const char *name;
    Options options;
    std::function<Outcome(const Fleet &, const SimNode &, const std::string &)>
        behaviour;
};

class BadVersions : public testing::TestWithParam<BadVersion> {};

// Guards against a bad version that is completed, or that gets more calls than
// permitted, for each kind of fault.
TEST_P(BadVersions, AreRolledBack)
{
    for (unsigned seed = 1; seed <= 5; seed++) {
        Options options = GetParam().options;
        options.seed = seed;
        Fleet fleet(options);
        fleet.behaviour = [&](const SimNode &node, const std::string &route) {
            return IsNew(node) ? GetParam().behaviour(fleet, node, route)
                               : Outcome();
        };
        fleet.Order();
        EXPECT_EQ(fleet.RunUntilFinal(), BB_ROLLOUT_ROLLED_BACK);
        EXPECT_TRUE(fleet.Reason() == "evidence" ||
                    fleet.Reason() == "suspects")
            << fleet.Reason();
        double ended_at = fleet.now;
        fleet.RunFor(6);
        fleet.ExpectExposureBounded();
        EXPECT_LE(fleet.unplaced, fleet.all_calls / 100);
        EXPECT_LE(fleet.last_new_call_at, ended_at + kReport);
    }
}

Options
Small(int targets, double calls_per_s)
{
    Options options;
    options.old_targets = options.new_targets = targets;
    options.calls_per_s = calls_per_s;
    return options;
}

Options
Slow(double base_s)
{
    Options options;
    options.base_s = base_s;
    return options;
}

const BadVersion kBadVersions[] = {
    {"half_fail", Options(),
     [](const Fleet &, const SimNode &, const std::string &) {
         return Outcome{1, 0.5};
     }},
    {"tenth_fails", Options(),
     [](const Fleet &, const SimNode &, const std::string &) {
         return Outcome{1, 0.1};
     }},
    {"slow", Options(),
     [](const Fleet &, const SimNode &, const std::string &) {
         return Outcome{8, 0};
     }},
    {"slow_long_calls", Slow(0.9),
     [](const Fleet &, const SimNode &, const std::string &) {
         return Outcome{8, 0};
     }},
    {"one_route", Options(),
     [](const Fleet &, const SimNode &, const std::string &route) {
         return Outcome{1, route == "write" ? 0.5 : 0};
     }},
    {"one_route_slow", Options(),
     [](const Fleet &, const SimNode &, const std::string &route) {
         return Outcome{route == "write" ? 8.0 : 1.0, 0};
     }},
    {"late", Options(),
     [](const Fleet &fleet, const SimNode &node, const std::string &) {
         return Outcome{1, fleet.now - node.started_at > 12 ? 0.5 : 0};
     }},
    {"under_load", Options(),
     [](const Fleet &, const SimNode &node, const std::string &) {
         // a full shift runs 400 x 0.1 / 20 = 2 calls at each target
         return Outcome{1, node.runs.size() >= 2 ? 0.5 : 0};
     }},
    {"few_targets", Small(6, 120),
     [](const Fleet &, const SimNode &, const std::string &) {
         return Outcome{1, 0.5};
     }},
    // Few calls on each route: the failures show only over all routes.
    {"two_targets", Small(2, 22),
     [](const Fleet &, const SimNode &, const std::string &) {
         return Outcome{1, 0.4};
     }},
    {"few_targets_slow", Small(6, 120),
     [](const Fleet &, const SimNode &, const std::string &) {
         return Outcome{8, 0};
     }},
};

std::string
BadVersionName(const testing::TestParamInfo<BadVersion> &info)
{
    return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(Rollout, BadVersions, testing::ValuesIn(kBadVersions),
                         BadVersionName);

// ---- good versions ----

struct GoodVersion {
    const char *name;
    Options options;
    std::function<Outcome(const Fleet &, const SimNode &, const std::string &)>
        behaviour; // of all targets
};

class GoodVersions : public testing::TestWithParam<GoodVersion> {};

// Guards against a good version that is rolled back because of trouble that
// is not its own, is not completed in time, or is completed while an old
// target still runs calls.
TEST_P(GoodVersions, AreCompleted)
{
    for (unsigned seed = 1; seed <= 5; seed++) {
        Options options = GetParam().options;
        options.seed = seed;
        Fleet fleet(options);
        fleet.behaviour = [&](const SimNode &node, const std::string &route) {
            return GetParam().behaviour(fleet, node, route);
        };
        fleet.Order();
        EXPECT_EQ(fleet.RunUntilFinal(), BB_ROLLOUT_COMPLETED)
            << fleet.Reason();
        EXPECT_LE(fleet.now - fleet.ordered_at, options.duration_s);
        EXPECT_EQ(fleet.old_open_at_completion, 0);
        fleet.RunFor(3);
        EXPECT_EQ(fleet.OpenAt("v1"), 0);
        EXPECT_LE(fleet.unplaced, fleet.all_calls / 100);
    }
}

const GoodVersion kGoodVersions[] = {
    {"plain", Options(),
     [](const Fleet &, const SimNode &, const std::string &) {
         return Outcome();
     }},
    {"cold_start", Options(),
     [](const Fleet &fleet, const SimNode &node, const std::string &) {
         return Outcome{
             IsNew(node) && fleet.now - node.started_at < 3 ? 2.0 : 1.0, 0};
     }},
    {"service_fails", Options(),
     [](const Fleet &fleet, const SimNode &, const std::string &) {
         // in some seconds only, at all targets
         return Outcome{1, static_cast<int>(fleet.now) % 7 < 2 ? 0.6 : 0};
     }},
    {"service_slow", Options(),
     [](const Fleet &fleet, const SimNode &, const std::string &) {
         return Outcome{static_cast<int>(fleet.now) % 9 < 3 ? 8.0 : 1.0, 0};
     }},
    {"one_bad_vm", Options(),
     [](const Fleet &fleet, const SimNode &node, const std::string &) {
         bool is_bad = node.name == fleet.nodes[20]->name;
         return Outcome{1, is_bad ? 0.7 : 0};
     }},
    {"two_slow_vms", Options(),
     [](const Fleet &fleet, const SimNode &node, const std::string &) {
         bool is_slow = node.name == fleet.nodes[20]->name ||
                        node.name == fleet.nodes[23]->name;
         return Outcome{is_slow ? 8.0 : 1.0, 0};
     }},
    {"uneven_vms", Options(),
     [](const Fleet &, const SimNode &node, const std::string &) {
         return Outcome{(node.name.back() - '0') % 3 == 0 ? 1.7 : 0.6, 0.02};
     }},
    {"few_targets", Small(6, 60),
     [](const Fleet &, const SimNode &, const std::string &) {
         return Outcome();
     }},
    {"few_calls", Small(4, 4),
     [](const Fleet &, const SimNode &, const std::string &) {
         return Outcome();
     }},
    {"hardly_any_calls", Small(4, 1),
     [](const Fleet &, const SimNode &, const std::string &) {
         return Outcome();
     }},
};

std::string
GoodVersionName(const testing::TestParamInfo<GoodVersion> &info)
{
    return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(Rollout, GoodVersions,
                         testing::ValuesIn(kGoodVersions), GoodVersionName);

// ---- few calls ----

// Completed roll-outs of 20 s among 40 with different seeds.
int
CountCompleted(double calls_per_s, const Outcome &of_new,
               const Outcome &of_old = Outcome())
{
    int completed = 0;
    for (unsigned seed = 1; seed <= 40; seed++) {
        Options options = Small(4, calls_per_s);
        options.duration_s = 20;
        options.seed = seed;
        Fleet fleet(options);
        fleet.behaviour = [&](const SimNode &node, const std::string &) {
            return IsNew(node) ? of_new : of_old;
        };
        fleet.Order();
        completed += fleet.RunUntilFinal() == BB_ROLLOUT_COMPLETED;
    }
    return completed;
}

// Guards against a bad version that is completed because it has run too few
// calls for a full verdict, and against a good one that is rolled back then.
// A bad version may pass with a chance of 0.03, 4 of 40 with a certainty of
// 0.99; after 2 calls without a failure it passes with 0.25, 17 of 40. A
// version of which 0.05 of the calls fail like those of the old one is
// completed at least if none of its calls has failed: 4 calls with 0.81, 26 of
// 40, and 10 calls with 0.6, 16 of 40; from 10 calls/s on always.
TEST(Rollout, FewCallsMustSpeakForTheVersion)
{
    const struct {
        double calls_per_s;
        int good, common, failing, slow;
    } cases[] = {
        {2, 40, 26, 17, 4},
        {5, 40, 16, 4, 4},
        {10, 40, 40, 4, 4},
        {20, 40, 40, 4, 4},
    };
    for (const auto &c : cases) {
        SCOPED_TRACE(c.calls_per_s);
        int good = CountCompleted(c.calls_per_s, Outcome());
        int common = CountCompleted(c.calls_per_s, {1, 0.05}, {1, 0.05});
        int failing = CountCompleted(c.calls_per_s, {1, 0.5});
        int slow = CountCompleted(c.calls_per_s, {8, 0});
        EXPECT_GE(good, c.good);
        EXPECT_GE(common, c.common);
        EXPECT_LE(failing, c.failing);
        EXPECT_LE(slow, c.slow);
    }
}

// ---- failures ----

// Guards against a roll-out that stalls or ends wrongly when the deciding node
// dies in the canary or during the shift, or against new targets that go on
// taking calls when nobody decides.
TEST(Rollout, SurvivesDeathOfTheDecidingNode)
{
    for (double dies_after_s : {5.0, 21.2}) {
        Fleet fleet(Options{});
        fleet.Order();
        fleet.RunFor(dies_after_s);
        fleet.is_deciding = false;
        fleet.RunFor(BB_ROLLOUT_LEASE_S + kReport);
        int before = fleet.new_calls;
        fleet.RunFor(1);
        if (fleet.Phase() == BB_ROLLOUT_CANARY) {
            EXPECT_EQ(fleet.new_calls, before);
        }
        fleet.StartDecider("d2");
        EXPECT_EQ(fleet.RunUntilFinal(), BB_ROLLOUT_COMPLETED)
            << fleet.Reason();
        EXPECT_EQ(fleet.old_open_at_completion, 0);
        EXPECT_LE(fleet.now - fleet.ordered_at, 30.5);
    }
}

// Guards against a verdict that is lost to a node that decides at the same
// time on the other side of a cut link and has not seen the fault.
TEST(Rollout, VerdictAgainstAVersionOutlivesAnotherDecidingNode)
{
    Fleet fleet(Options{});
    bb_rollout_row_t other;
    fleet.Order();
    fleet.RunFor(1);
    BbRolloutRow_Copy(&other, BbRollout_Row(fleet.rollout));
    other.epoch = 5;
    EXPECT_FALSE(BbRollout_Outbid(fleet.rollout, &other));
    fleet.behaviour = [](const SimNode &node, const std::string &) {
        return Outcome{1, IsNew(node) ? 0.5 : 0};
    };
    EXPECT_EQ(fleet.RunUntilFinal(), BB_ROLLOUT_ROLLED_BACK);
    EXPECT_TRUE(BbRollout_Outbid(fleet.rollout, &other));
    EXPECT_GT(BbRolloutRow_Compare(BbRollout_Row(fleet.rollout), &other), 0);
    other.phase = BB_ROLLOUT_COMPLETED;
    EXPECT_FALSE(BbRollout_Outbid(fleet.rollout, &other));
    BbRolloutRow_Clear(&other);
}

// Guards against evidence that is lost with the deciding node: the next one
// gets the totals that the nodes have counted.
TEST(Rollout, BadVersionIsFoundAfterAChangeOfTheDecidingNode)
{
    Fleet fleet(Options{});
    fleet.behaviour = [](const SimNode &node, const std::string &) {
        return Outcome{1, IsNew(node) ? 0.5 : 0};
    };
    fleet.Order();
    fleet.RunFor(1.5);
    fleet.is_deciding = false;
    fleet.RunFor(1.5);
    fleet.StartDecider("d2");
    EXPECT_EQ(fleet.RunUntilFinal(), BB_ROLLOUT_ROLLED_BACK);
    fleet.RunFor(3);
    fleet.ExpectExposureBounded();
}

// Guards against nodes that follow a deciding node which was replaced.
TEST(Rollout, RowsOfAReplacedDecidingNodeAreIgnored)
{
    Fleet fleet(Options{});
    bb_rollout_row_t old;
    fleet.Order();
    fleet.RunFor(3);
    BbRolloutRow_Copy(&old, BbRollout_Row(fleet.rollout));
    fleet.StartDecider("d2");
    old.phase = BB_ROLLOUT_SHIFTING;
    old.serial += 1000;
    for (auto &node : fleet.nodes) {
        EXPECT_FALSE(BbRolloutLocal_Apply(node->local, &old));
    }
    BbRolloutRow_Clear(&old);
}

// Guards against a verdict or a lease that depends on each single report.
TEST(Rollout, SurvivesLostReports)
{
    for (bool is_bad : {false, true}) {
        Fleet fleet(Options{});
        int count = 0;
        fleet.loses_report = [&] { return count++ % 3 == 0; };
        fleet.behaviour = [&](const SimNode &node, const std::string &) {
            return Outcome{1, is_bad && IsNew(node) ? 0.5 : 0};
        };
        fleet.Order();
        EXPECT_EQ(fleet.RunUntilFinal(),
                  is_bad ? BB_ROLLOUT_ROLLED_BACK : BB_ROLLOUT_COMPLETED);
        fleet.RunFor(3);
        if (is_bad) {
            fleet.ExpectExposureBounded();
        }
        EXPECT_LE(fleet.unplaced, fleet.all_calls / 100);
    }
}

// Guards against a step towards the new version that the store has not
// recorded, and against a roll-out that is lost with the store.
TEST(Rollout, WaitsForTheStore)
{
    Fleet fleet(Options{});
    fleet.Order();
    fleet.is_store_up = false;
    fleet.RunFor(25);
    EXPECT_EQ(fleet.Phase(), BB_ROLLOUT_CANARY);
    fleet.RunFor(6);
    EXPECT_EQ(fleet.Phase(), BB_ROLLOUT_ROLLED_BACK);
    EXPECT_EQ(fleet.Reason(), "deadline");
}

TEST(Rollout, CompletesLateWhenTheStoreReturnsAfterTheShift)
{
    Fleet fleet(Options{});
    fleet.Order();
    while (fleet.Phase() == BB_ROLLOUT_CANARY) {
        fleet.RunFor(kStep);
    }
    fleet.is_store_up = false;
    fleet.RunFor(15);
    EXPECT_EQ(fleet.Phase(), BB_ROLLOUT_SHIFTING);
    fleet.is_store_up = true;
    EXPECT_EQ(fleet.RunUntilFinal(1), BB_ROLLOUT_COMPLETED);
    EXPECT_EQ(fleet.old_open_at_completion, 0);
}

// Guards against a deadline that counts from the first read of an order that
// was written while the store was silent, and against a good version that is
// rolled back because the silence left no time for the canary.
TEST(Rollout, DeadlineCountsFromTheOrder)
{
    for (double silent_s : {8.0, 28.0}) {
        Fleet fleet(Options{});
        fleet.Order(10, "v2", silent_s);
        EXPECT_EQ(fleet.RunUntilFinal(), BB_ROLLOUT_COMPLETED)
            << fleet.Reason();
        if (silent_s < 10) {
            EXPECT_LE(fleet.now - fleet.ordered_at, 30);
        }
    }
}

// Guards against a later deciding node that counts from another moment than
// the first one, or from one at which the order was certainly not there.
TEST(Rollout, StartAfterATakeover)
{
    const struct {
        bb_rollout_sighting_t sighting;
        double elapsed_s; // at 110 s; the first node counts from 99.9 s
    } cases[] = {
        {{100, 99.5}, 10.1}, {{104, 50}, 10.1}, {{99.8, 99.0}, 10.2},
        {{108, 103}, 7.0},   {{109, 0}, 10.1},
    };
    for (const auto &c : cases) {
        Fleet fleet(Options{});
        fleet.Order();
        fleet.RunFor(10);
        fleet.sighting = c.sighting;
        fleet.StartDecider("d2");
        EXPECT_NEAR(BbRollout_ElapsedS(fleet.rollout, fleet.now), c.elapsed_s,
                    0.03);
    }
}

// Guards against new targets that get calls when their version has none to
// compare, and against a wait until the deadline, after which the status row
// is written too late.
TEST(Rollout, WithoutNewTargetsEndsAtTheDeadline)
{
    Options options;
    options.new_targets = 0;
    Fleet fleet(options);
    fleet.Order();
    EXPECT_EQ(fleet.RunUntilFinal(), BB_ROLLOUT_ROLLED_BACK);
    EXPECT_EQ(fleet.Reason(), "deadline");
    EXPECT_LE(fleet.now - fleet.ordered_at, options.duration_s - 0.4);
    EXPECT_EQ(fleet.unplaced, 0);
}

// Guards against an outage where all targets have the ordered version.
TEST(Rollout, WithoutOldTargetsCompletesAtOnce)
{
    Options options;
    options.old_targets = 0;
    Fleet fleet(options);
    fleet.Order();
    fleet.RunFor(5);
    EXPECT_EQ(fleet.Phase(), BB_ROLLOUT_COMPLETED);
}

// Guards against a verdict because of one or two lost VMs, and against a
// completed roll-out of a version whose targets keep dying.
TEST(Rollout, NewTargetsThatDie)
{
    for (bool do_all_die : {false, true}) {
        Fleet fleet(Options{});
        fleet.Order();
        fleet.RunFor(4);
        for (int i = 0; i < (do_all_die ? 20 : 2); i++) {
            fleet.nodes[static_cast<size_t>(20 + i)]->is_ready = false;
            fleet.RunFor(0.5);
        }
        EXPECT_EQ(fleet.RunUntilFinal(),
                  do_all_die ? BB_ROLLOUT_ROLLED_BACK : BB_ROLLOUT_COMPLETED)
            << fleet.Reason();
    }
}

// Guards against an order that is withdrawn or replaced and goes on.
TEST(Rollout, WithdrawnAndReplacedOrders)
{
    Fleet fleet(Options{});
    fleet.Order();
    fleet.RunFor(5);
    EXPECT_TRUE(BbRollout_Withdraw(fleet.rollout));
    fleet.Publish();
    EXPECT_EQ(fleet.Phase(), BB_ROLLOUT_ROLLED_BACK);
    EXPECT_FALSE(BbRollout_Withdraw(fleet.rollout));
    int before = fleet.new_calls;
    fleet.RunFor(3);
    EXPECT_EQ(fleet.new_calls, before);
    fleet.Order(20, "v3"); // the targets of v2 are still there
    fleet.RunFor(3);
    EXPECT_EQ(fleet.new_calls, before);
    EXPECT_TRUE(BbRolloutRow_IsRejected(BbRollout_Row(fleet.rollout), "v2"));
}

// Guards against a completion while a node that is cut off still sends calls
// to an old target: its lease and its calls must have ended.
TEST(Rollout, CompletionWaitsForNodesThatAreCutOff)
{
    Fleet fleet(Options{});
    fleet.Order();
    fleet.RunFor(15);
    fleet.nodes[0]->is_cut = fleet.nodes[1]->is_cut = true;
    EXPECT_EQ(fleet.RunUntilFinal(), BB_ROLLOUT_COMPLETED);
    EXPECT_EQ(fleet.old_open_at_completion, 0);
    fleet.RunFor(2);
    EXPECT_EQ(fleet.OpenAt("v1"), 0);
}

// Guards against a roll-out that waits for ever for a node that died together
// with the deciding node.
TEST(Rollout, CompletesAlthoughAnOldNodeDiedWithTheDecidingNode)
{
    Fleet fleet(Options{});
    fleet.Order();
    fleet.RunFor(5);
    fleet.nodes[1]->is_cut = true;
    fleet.is_deciding = false;
    fleet.RunFor(1.5);
    fleet.StartDecider("d2");
    EXPECT_EQ(fleet.RunUntilFinal(), BB_ROLLOUT_COMPLETED) << fleet.Reason();
    EXPECT_EQ(fleet.old_open_at_completion, 0);
}

// Guards against a completion beside a node that has never heard of the order.
TEST(Rollout, NoCompletionBesideANodeThatNeverReported)
{
    Fleet fleet(Options{});
    fleet.nodes[0]->is_cut = true;
    fleet.Order();
    fleet.RunFor(5);
    fleet.StartDecider("d2"); // which learns of that node from the row
    EXPECT_EQ(fleet.RunUntilFinal(), BB_ROLLOUT_ROLLED_BACK);
    EXPECT_EQ(fleet.Reason(), "deadline");
}

// Guards against calls at a wrong version after a restart of the node, before
// it knows more than the order.
TEST(RolloutLocal, LearnsTheRowBeforeItsTargetTakesCalls)
{
    bb_rollout_order_t order = {kService, "v2", 30, 10};
    bb_rollout_local_t *local = BbRolloutLocal_New("n1", "a", kService);
    EXPECT_TRUE(BbRolloutLocal_AcceptsCalls(local, "v1", 0));
    EXPECT_TRUE(BbRolloutLocal_ApplyOrder(local, &order, true, 0));
    EXPECT_FALSE(BbRolloutLocal_AcceptsCalls(local, "v1", 1));
    EXPECT_TRUE(BbRolloutLocal_AcceptsCalls(local, "v1", 3));
    EXPECT_FALSE(BbRolloutLocal_AcceptsCalls(local, "v2", 3));
    EXPECT_TRUE(BbRolloutLocal_MayPlace(local, "other", "n2", "v2", false));
    EXPECT_FALSE(BbRolloutLocal_MayPlace(local, kService, "n2", "v2", false));
    BbRolloutLocal_Free(local);
}

// Guards against a row that another release or a fault has written.
TEST(RolloutRow, MalformedTextIsRefused)
{
    bb_rollout_row_t row;
    for (const char *text :
         {"", "{}", "[1]", "{\"service\":\"s\",\"to\":\"v\"}"}) {
        EXPECT_NE(BbRolloutRow_Parse(text, strlen(text), &row), 0);
    }
    Fleet fleet(Options{});
    fleet.Order();
    char *text = BbRolloutRow_Format(BbRollout_Row(fleet.rollout));
    ASSERT_EQ(BbRolloutRow_Parse(text, strlen(text), &row), 0);
    EXPECT_EQ(BbRolloutRow_Compare(&row, BbRollout_Row(fleet.rollout)), 0);
    BbRolloutRow_Clear(&row);
    g_free(text);
}

} // namespace
