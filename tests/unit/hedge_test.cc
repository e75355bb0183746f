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
RunLoad(const char *name, Options options, double load, bool is_hedged,
        double slow_runs = 0.03)
{
    Result sum;
    options.is_hedged = is_hedged;
    options.slow_runs = slow_runs;
    options.length_s = 20;
    for (Class &kind : options.classes) {
        kind.calls_per_s *= load;
    }
    for (unsigned seed = 1; seed <= 3; seed++) {
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
    printf("%s load %.2f slow runs %.2f %-6s in time %.4f late %.4f failed "
           "%.4f attempts %.4f hedged %.4f won %.4f p50 %.3f p95 %.3f p99 "
           "%.3f\n",
           name, load, slow_runs, is_hedged ? "hedged" : "", sum.InTime(),
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

// Guards against hedged calls that cost more than they save.
TEST(Hedge, X)
{
    for (double slow : {.03, .0}) {
        RunLoad("P", ServiceP(), 1, false, slow);
        RunLoad("P", ServiceP(), 1, true, slow);
        RunLoad("F", Options(), .8, false, slow);
        RunLoad("F", Options(), .8, true, slow);
    }
}
