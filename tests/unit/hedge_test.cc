// Hedged calls, see lib/mesh/bb_hedge.h, under load in virtual time.
#include <gtest/gtest.h>

#include "target_simulation.h"

using simulation::Class;
using simulation::Fleet;
using simulation::Options;
using simulation::Result;

namespace {

double
Quantile(std::vector<double> times, double share)
{
    std::sort(times.begin(), times.end());
    return times[static_cast<size_t>(share * (times.size() - 1))];
}

// Sums the results of a few seeds.
Result
RunLoad(const char *name, Options options, double load, bool is_hedged)
{
    Result sum;
    options.is_hedged = is_hedged;
    options.slow_runs = 0.03;
    options.length_s = load > 2 ? 5 : 15;
    for (Class &kind : options.classes) {
        kind.calls_per_s *= load;
    }
    for (unsigned seed = 1; seed <= 2; seed++) {
        options.seed = seed;
        Result result = Fleet(options).Run();
        sum.calls += result.calls;
        sum.in_time += result.in_time;
        sum.late += result.late;
        sum.failed += result.failed;
        sum.attempts += result.attempts;
        sum.hedged += result.hedged;
        sum.hedges_won += result.hedges_won;
        sum.times.insert(sum.times.end(), result.times.begin(),
                         result.times.end());
    }
    printf("%s load %.2f %-6s in time %.4f late %.4f failed "
           "%.4f attempts %.4f hedged %.4f won %.4f p50 %.3f p95 %.3f p99 "
           "%.3f\n",
           name, load, is_hedged ? "hedged" : "", sum.InTime(),
           1.0 * sum.late / sum.calls, 1.0 * sum.failed / sum.calls,
           1.0 * sum.attempts / sum.calls, 1.0 * sum.hedged / sum.calls,
           1.0 * sum.hedges_won / sum.calls, Quantile(sum.times, 0.5),
           Quantile(sum.times, 0.95), Quantile(sum.times, 0.99));
    return sum;
}

Options
ServiceP()
{
    Options options;
    options.targets = 65;
    options.slots = 9;
    options.data_centres = 4;
    options.classes = {{"menu", 0.16, 0.6, 1.5, 1103, true},
                       {"bookings", 0.21, 1.0, 2.5, 341, false}};
    return options;
}

} // namespace

// Guards against hedged calls that cost more than they save: where 3 runs in
// 100 take 7 times as long, they must serve more calls in time with at most 3
// in 100 further attempts, and none under overload.
TEST(Hedge, CutsTheTailWhereSlotsAreFree)
{
    for (double load : {0.5, 1.0}) {
        Result without = RunLoad("P", ServiceP(), load, false);
        Result hedged = RunLoad("P", ServiceP(), load, true);
        EXPECT_GT(hedged.InTime(), without.InTime() + 0.002) << load;
        EXPECT_LT(Quantile(hedged.times, 0.99), Quantile(without.times, 0.99));
        EXPECT_LE(hedged.hedged, 0.03 * hedged.calls) << load;
    }
    Result busy = RunLoad("F", Options(), 0.8, false);
    Result busy_hedged = RunLoad("F", Options(), 0.8, true);
    EXPECT_GE(busy_hedged.InTime(), busy.InTime() - 0.001);
    Result over = RunLoad("P", ServiceP(), 2.4, true);
    EXPECT_LE(over.hedged, 0.0005 * over.calls);
}
