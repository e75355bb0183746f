// Randomised test of all modules that decide about non-idempotent calls, from
// the caller's repeats to the target. The responses are compared with a record
// of the calls that the targets ran.
//
// BB_SEED=N replays one seed; otherwise seeds 1 to 200 are run.
#include "chain_net.h"

namespace {

using namespace chain_net;

const int TARGETS = 4;

class RandomizedCluster : public SimulatedCluster {
  public:
    explicit RandomizedCluster(uint32_t seed)
        : SimulatedCluster(seed, TARGETS, true)
    {
    }

    void run()
    {
        for (int i = 0; i < 300; i++) {
            operations.emplace_back(new Operation);
            Operation *operation = operations.back().get();
            operation->key = "key-" + std::to_string(i);
            operation->mode = (bb_once_mode_t)below(3);
            after(below(15000), [=] { issue(operation); });
        }
        for (int i = 0; i < 12; i++) {
            after(below(15000), [=] { inject_disruption(); });
        }
        run_events();
        for (auto &exchange : not_run_exchanges) {
            EXPECT_EQ(exchange->runs, 0)
                << "call answered not-run, but it ran";
        }
    }

  private:
    void drain(Instance *instance)
    {
        BbAdmission_SetTarget(instance->admission, BB_TARGET_DRAINING, 4, 100);
        admit_next(instance);
        after(below(1000), [=] {
            BbAdmission_SetTarget(instance->admission, BB_TARGET_READY, 4,
                                  100);
        });
    }

    // Calls with a window key run at most once only while some node in the
    // order of the key accepts new keys (see BbOnce_DeferUnknownKeys()), so
    // nodes are killed or drained only while all are alive and accept them.
    void inject_disruption()
    {
        int index = below(TARGETS);
        Instance *instance =
            by_address["10.0.0." + std::to_string(index) + ":80"];
        if (chance(30)) {
            platform_down = true;
            after(500, [=] { platform_down = false; });
            return;
        }
        for (auto &entry : by_address) {
            if (!entry.second->alive || now < entry.second->defer_until_ms) {
                return;
            }
        }
        if (chance(70)) {
            kill(index, instance);
        }
        else {
            drain(instance);
        }
    }

    void on_run(const std::shared_ptr<Copy> &copy) override
    {
        Operation *operation = copy->exchange->operation;
        for (Instance *earlier : operation->runs) {
            EXPECT_FALSE(operation->mode == BB_ONCE_MODE_CLAIM ||
                         earlier->alive)
                << operation->key << " of mode " << operation->mode
                << " ran a second time at " << now << " ms";
        }
        EXPECT_EQ(copy->exchange->runs, 0) << "one call id ran twice";
    }
};

// Guards against a second run of a non-idempotent call (guarantee G6 of
// docs/design.md) and against the outcome not-run for a call that ran (G5).
// Messages are lost, delayed and duplicated; nodes die, join and drain; the
// platform fails and loses responses to claims.
TEST(ChainTest, RunsCallsAtMostOnceAndNotRunIsTrue)
{
    const char *text = getenv("BB_SEED");
    uint32_t first = text != nullptr ? strtoul(text, nullptr, 10) : 1;
    uint32_t last = text != nullptr ? first : 200;
    int run = 0, ran = 0, unknown = 0, not_run = 0;
    for (uint32_t seed = first; seed <= last && !HasFailure(); seed++) {
        SCOPED_TRACE("BB_SEED=" + std::to_string(seed));
        RandomizedCluster cluster(seed);
        cluster.run();
        run += cluster.response_count;
        ran += cluster.ran_count;
        unknown += cluster.unknown_count;
        not_run += (int)cluster.not_run_exchanges.size();
    }
    printf("seeds %u to %u: %d responses, %d ran, %d unknown, %d not-run\n",
           first, last, run, ran, unknown, not_run);
    EXPECT_GT(std::min({run, ran, unknown, not_run}), 0);
}

} // namespace
