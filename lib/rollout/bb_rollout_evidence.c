#include "bb_rollout_evidence.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* The bad versions that few calls are compared with: the parts of their calls
 * that fail, or are slow. A version that is 8 times slower has nearly all its
 * calls above the limit of SLOW_BUCKETS. */
#define BAD_FAILURE_SHARE 0.5
#define BAD_SLOW_SHARE 0.8

/* Largest chance with which such a version passes at one look: with half of
 * the responses failing, 6 calls without a failure, or 9 with one. Looks are
 * repeated until the deadline; with 0.1, 7 of 40 failing versions passed at
 * 10 calls/s, with 0.03 2 of 40. */
#define PASS_CHANCE 0.03

/* Time that is kept, in bins of one second. */
#define BINS 32

/* Spans over which the versions are compared. The short ones find a fault that
 * has just begun, the long ones a rare one. */
static const int spans_s[] = {2, 4, 8, 16, BINS};

/* A call is slow from this many buckets above the bucket of the median of the
 * old version on: 2^(8/4), 3.4 to 4 times the median. */
#define SLOW_BUCKETS 8

/* Fewest calls of the old version on a route in a span for a comparison. */
#define MIN_OLD_RUNS 20

/* The excess of a bad version: at least this many calls, at least this share
 * of its calls, and this many standard deviations. There are five spans, two
 * signs and some ten routes, judged four times a second for a minute: 4.5
 * deviations keep the chance of a false verdict below one in a thousand. */
#define MIN_FAILURES 5.0
#define MIN_SLOW 6.0
#define MIN_FAILURE_SHARE 0.05
#define MIN_SLOW_SHARE 0.1
#define DEVIATIONS 4.5

/* What must remain of it without any one target or data centre. */
#define REST_EXCESS 2.5
#define REST_DEVIATIONS 2.0

/* Value of slow_from that stands for failures. */
#define FAILURES (-1)

/* Seconds with fewer calls of the old version than this count only together
 * with their neighbours. */
#define MIN_BIN_RUNS 30

/* A route with fewer calls of the old version since the start is too rare to
 * be waited for; the others need MIN_NEW_RUNS of the new version. */
#define MIN_ROUTE_RUNS 200
#define MIN_NEW_RUNS 20
/* Share of the old version's calls above which fewer new ones are enough. */
#define ENOUGH_SHARE 0.05

typedef struct {
    int64_t second; /* of the counts; older ones are cleared on reuse */
    bb_rollout_counts_t counts;
} bin_t;

/* Counts of one route, of all old targets or of one new target. The last bin
 * holds what nodes report first: calls from before the first report. */
typedef struct {
    bin_t bins[BINS + 1];
    uint64_t runs;
    char *node; /* NULL for the old targets */
    char *data_centre;
} series_t;

typedef struct {
    char *name;
    series_t *old;
    GPtrArray *targets; /* of series_t, one for each new target */
} route_t;

struct bb_rollout_evidence {
    GPtrArray *routes;    /* of route_t */
    GHashTable *excluded; /* names of nodes */
    GHashTable *previous; /* "node\nroute" to bb_rollout_counts_t */
    uint64_t new_runs;
    uint64_t old_runs;
};

int
BbRollout_Bucket(double duration_s)
{
    double ms = MAX(duration_s * 1000.0, 1.0);

    return MIN((int)(4.0 * log2(ms)), BB_ROLLOUT_BUCKETS - 1);
}

/* ---- creation and destruction ---- */

static series_t *
new_series(const char *node, const char *data_centre)
{
    series_t *series = g_new0(series_t, 1);

    series->node = g_strdup(node);
    series->data_centre = g_strdup(data_centre);
    return series;
}

static void
free_series(gpointer data)
{
    series_t *series = data;

    g_free(series->node);
    g_free(series->data_centre);
    g_free(series);
}

static void
free_route(gpointer data)
{
    route_t *route = data;

    free_series(route->old);
    g_ptr_array_unref(route->targets);
    g_free(route->name);
    g_free(route);
}

bb_rollout_evidence_t *
BbRolloutEvidence_New(void)
{
    bb_rollout_evidence_t *evidence = g_new0(bb_rollout_evidence_t, 1);

    evidence->routes = g_ptr_array_new_with_free_func(free_route);
    evidence->excluded =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    evidence->previous =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return evidence;
}

void
BbRolloutEvidence_Free(bb_rollout_evidence_t *evidence)
{
    if (evidence != NULL) {
        g_ptr_array_unref(evidence->routes);
        g_hash_table_destroy(evidence->excluded);
        g_hash_table_destroy(evidence->previous);
        g_free(evidence);
    }
}

/* ---- counts ---- */

static void
add_counts(bb_rollout_counts_t *to, const bb_rollout_counts_t *more)
{
    to->runs += more->runs;
    to->failures += more->failures;
    for (int i = 0; i < BB_ROLLOUT_BUCKETS; i++) {
        to->durations[i] += more->durations[i];
    }
}

/* What the totals have increased by; all of them if the node was restarted. */
static bb_rollout_counts_t
increase(const bb_rollout_counts_t *totals,
         const bb_rollout_counts_t *previous)
{
    bb_rollout_counts_t more = *totals;

    if (previous == NULL || totals->runs < previous->runs ||
        totals->failures < previous->failures) {
        return more;
    }
    more.runs -= previous->runs;
    more.failures -= previous->failures;
    for (int i = 0; i < BB_ROLLOUT_BUCKETS; i++) {
        more.durations[i] -= MIN(previous->durations[i], more.durations[i]);
    }
    return more;
}

static route_t *
find_route(bb_rollout_evidence_t *evidence, const char *name)
{
    for (guint i = 0; i < evidence->routes->len; i++) {
        route_t *route = g_ptr_array_index(evidence->routes, i);
        if (strcmp(route->name, name) == 0) {
            return route;
        }
    }
    if (evidence->routes->len >= BB_ROLLOUT_MAX_ROUTES) {
        return NULL;
    }
    route_t *route = g_new0(route_t, 1);
    route->name = g_strdup(name);
    route->old = new_series(NULL, NULL);
    route->targets = g_ptr_array_new_with_free_func(free_series);
    g_ptr_array_add(evidence->routes, route);
    return route;
}

static series_t *
find_target(route_t *route, const char *node, const char *data_centre)
{
    for (guint i = 0; i < route->targets->len; i++) {
        series_t *series = g_ptr_array_index(route->targets, i);
        if (strcmp(series->node, node) == 0) {
            return series;
        }
    }
    series_t *series = new_series(node, data_centre);
    g_ptr_array_add(route->targets, series);
    return series;
}

static bin_t *
bin_at(series_t *series, int64_t second)
{
    bin_t *bin = &series->bins[second % BINS];

    if (bin->second != second) {
        memset(bin, 0, sizeof(*bin));
        bin->second = second;
    }
    return bin;
}

void
BbRolloutEvidence_Add(bb_rollout_evidence_t *evidence, const char *node,
                      const char *data_centre, bool is_new, const char *name,
                      const bb_rollout_counts_t *totals, double now)
{
    char *key = g_strconcat(node, "\n", name, NULL);
    const bb_rollout_counts_t *previous =
        g_hash_table_lookup(evidence->previous, key);
    const bb_rollout_counts_t more = increase(totals, previous);
    bool is_first = previous == NULL;

    g_hash_table_replace(evidence->previous, key,
                         g_memdup2(totals, sizeof(*totals)));
    route_t *route = more.runs > 0 ? find_route(evidence, name) : NULL;
    if (route == NULL) {
        return;
    }
    evidence->new_runs += is_new ? more.runs : 0;
    evidence->old_runs += is_new ? 0 : more.runs;
    if (g_hash_table_contains(evidence->excluded, node)) {
        return;
    }
    series_t *series =
        is_new ? find_target(route, node, data_centre) : route->old;
    bin_t *bin =
        is_first ? &series->bins[BINS] : bin_at(series, (int64_t)floor(now));
    add_counts(&bin->counts, &more);
    series->runs += more.runs;
}

void
BbRolloutEvidence_Exclude(bb_rollout_evidence_t *evidence, const char *node)
{
    g_hash_table_add(evidence->excluded, g_strdup(node));
    for (guint i = 0; i < evidence->routes->len; i++) {
        route_t *route = g_ptr_array_index(evidence->routes, i);
        for (guint j = 0; j < route->targets->len; j++) {
            const series_t *target = g_ptr_array_index(route->targets, j);
            if (strcmp(target->node, node) == 0) {
                g_ptr_array_remove_index(route->targets, j);
                break;
            }
        }
    }
}

uint64_t
BbRolloutEvidence_NewRuns(const bb_rollout_evidence_t *evidence)
{
    return evidence->new_runs;
}

uint64_t
BbRolloutEvidence_JudgedRuns(const bb_rollout_evidence_t *evidence)
{
    uint64_t runs = 0;

    for (guint i = 0; i < evidence->routes->len; i++) {
        const route_t *route = g_ptr_array_index(evidence->routes, i);
        for (guint j = 0; j < route->targets->len; j++) {
            const series_t *target = g_ptr_array_index(route->targets, j);
            runs += target->runs;
        }
    }
    return runs;
}

uint64_t
BbRolloutEvidence_AllRuns(const bb_rollout_evidence_t *evidence)
{
    return evidence->new_runs + evidence->old_runs;
}

/* ---- comparison ---- */

/* Counts of a second, or of the time before the first reports for index BINS;
 * NULL when there are none. */
static const bb_rollout_counts_t *
counts_at(const series_t *series, int64_t now_s, int age)
{
    if (age == BINS) {
        return &series->bins[BINS].counts;
    }
    int64_t second = now_s - age;
    if (second < 0) {
        return NULL;
    }
    const bin_t *bin = &series->bins[second % BINS];
    return bin->second == second ? &bin->counts : NULL;
}

static uint32_t
hits_of(const bb_rollout_counts_t *counts, int slow_from)
{
    uint32_t hits = 0;

    if (slow_from < 0) {
        return counts->failures;
    }
    for (int i = slow_from; i < BB_ROLLOUT_BUCKETS; i++) {
        hits += counts->durations[i];
    }
    return hits;
}

/* Number of ages to visit: the span, and for the longest one also the time
 * before the first reports. */
static int
age_count(int span_s)
{
    return span_s < BINS ? span_s : BINS + 1;
}

static bb_rollout_counts_t
sum_span(const series_t *series, int64_t now_s, int span_s)
{
    bb_rollout_counts_t sum = {0};

    for (int age = 0; age < age_count(span_s); age++) {
        const bb_rollout_counts_t *counts = counts_at(series, now_s, age);
        if (counts != NULL) {
            add_counts(&sum, counts);
        }
    }
    return sum;
}

static int
median_bucket(const bb_rollout_counts_t *counts)
{
    uint32_t total = 0, below = 0;

    for (int i = 0; i < BB_ROLLOUT_BUCKETS; i++) {
        total += counts->durations[i];
    }
    for (int i = 0; i < BB_ROLLOUT_BUCKETS; i++) {
        below += counts->durations[i];
        if (2 * below >= total) {
            return i;
        }
    }
    return BB_ROLLOUT_BUCKETS - 1;
}

/* Shares of hits among the calls of the old version, by age. A report may be
 * counted in the second before or after that of the call, so the share of a
 * second is the highest of its neighbourhood. */
static void
compute_shares(const series_t *old, int64_t now_s, int slow_from,
               double pooled, double shares[BINS + 1])
{
    for (int age = 0; age <= BINS; age++) {
        double runs = 0, hits = 0, highest = 0;
        int first = age < BINS ? MAX(age - 1, 0) : BINS;
        int last = age < BINS ? MIN(age + 1, BINS - 1) : BINS;
        for (int near = first; near <= last; near++) {
            const bb_rollout_counts_t *counts = counts_at(old, now_s, near);
            if (counts == NULL) {
                continue;
            }
            double near_hits = hits_of(counts, slow_from);
            runs += counts->runs;
            hits += near_hits;
            if (counts->runs >= MIN_BIN_RUNS) {
                highest = MAX(highest, near_hits / counts->runs);
            }
        }
        shares[age] = runs >= MIN_OLD_RUNS ? MAX(highest, hits / runs)
                                           : MAX(highest, pooled);
    }
}

/* Sums over some targets of the new version. */
typedef struct {
    double runs;
    double seen;
    double expected;
    double variance;
} excess_t;

static excess_t
excess_of(const series_t *target, int64_t now_s, int span_s, int slow_from,
          const double shares[BINS + 1])
{
    excess_t sum = {0};

    for (int age = 0; age < age_count(span_s); age++) {
        const bb_rollout_counts_t *counts = counts_at(target, now_s, age);
        if (counts == NULL) {
            continue;
        }
        double share = shares[age];
        sum.runs += counts->runs;
        sum.seen += hits_of(counts, slow_from);
        sum.expected += counts->runs * share;
        sum.variance += counts->runs * share * (1 - share);
    }
    return sum;
}

static bool
is_excessive(const excess_t *sum, double min_count, double min_share,
             double deviations)
{
    double excess = sum->seen - sum->expected;

    /* 1 is added to the variance, since the share of the old version is
     * itself only estimated and may be 0. */
    return excess >= min_count && excess >= min_share * sum->runs &&
           excess >= deviations * sqrt(sum->variance + 1.0);
}

static excess_t
add_excess(const excess_t *a, const excess_t *b, double sign)
{
    return (excess_t){
        .runs = a->runs + sign * b->runs,
        .seen = a->seen + sign * b->seen,
        .expected = a->expected + sign * b->expected,
        .variance = MAX(a->variance + sign * b->variance, 0.0),
    };
}

/* Excess of the targets in the data centre of one of them. */
static excess_t
data_centre_excess(const route_t *route, const excess_t *each,
                   const series_t *of)
{
    excess_t sum = {0};

    for (guint i = 0; i < route->targets->len; i++) {
        const series_t *target = g_ptr_array_index(route->targets, i);
        if (g_strcmp0(target->data_centre, of->data_centre) == 0) {
            sum = add_excess(&sum, &each[i], 1.0);
        }
    }
    return sum;
}

/* Whether the excess remains without any one target, and, where the targets
 * are in several data centres, without any one data centre. */
static bool
is_spread(const route_t *route, const excess_t *each, const excess_t *all,
          double min_share)
{
    for (guint i = 0; i < route->targets->len; i++) {
        const series_t *target = g_ptr_array_index(route->targets, i);
        const excess_t centre = data_centre_excess(route, each, target);
        bool is_only_centre = centre.runs >= all->runs;
        const excess_t *part = is_only_centre ? &each[i] : &centre;
        const excess_t rest = add_excess(all, part, -1.0);
        if (!is_excessive(&rest, REST_EXCESS, min_share, REST_DEVIATIONS)) {
            return false;
        }
    }
    return true;
}

static guint
worst_target(const excess_t *each, guint count)
{
    guint worst = 0;

    for (guint i = 1; i < count; i++) {
        if (each[i].seen - each[i].expected >
            each[worst].seen - each[worst].expected) {
            worst = i;
        }
    }
    return worst;
}

/* Sets *verdict when there is an excess; each holds one for each target of the
 * route, and all their sum. */
static void
judge_excess(const route_t *route, const excess_t *each, const excess_t *all,
             int slow_from, int span_s, bb_rollout_verdict_t *verdict)
{
    bool is_slow = slow_from != FAILURES;
    double min_share = is_slow ? MIN_SLOW_SHARE : MIN_FAILURE_SHARE;

    if (!is_excessive(all, is_slow ? MIN_SLOW : MIN_FAILURES, min_share,
                      DEVIATIONS)) {
        return;
    }
    const series_t *worst = g_ptr_array_index(
        route->targets, worst_target(each, route->targets->len));
    *verdict = (bb_rollout_verdict_t){
        .kind = is_spread(route, each, all, min_share) ? BB_VERDICT_BAD
                                                       : BB_VERDICT_SUSPECT,
        .route = route->name,
        .sign = is_slow ? "slow" : "failures",
        .target = worst->node,
        .span_s = span_s,
        .runs = (uint32_t)all->runs,
        .seen = all->seen,
        .expected = all->expected,
    };
}

/* Compares one sign (slow_from is FAILURES, or the bucket from which a call is
 * slow) on one route over one span; sets *verdict when there is an excess. */
static void
compare_sign(const route_t *route, int64_t now_s, int span_s, int slow_from,
             const bb_rollout_counts_t *old_sum, bb_rollout_verdict_t *verdict)
{
    double shares[BINS + 1];
    guint count = route->targets->len;
    excess_t *each = g_new0(excess_t, count);
    excess_t all = {0};

    compute_shares(route->old, now_s, slow_from,
                   (double)hits_of(old_sum, slow_from) / old_sum->runs,
                   shares);
    for (guint i = 0; i < count; i++) {
        each[i] = excess_of(g_ptr_array_index(route->targets, i), now_s,
                            span_s, slow_from, shares);
        all = add_excess(&all, &each[i], 1.0);
    }
    judge_excess(route, each, &all, slow_from, span_s, verdict);
    g_free(each);
}

/* Adds the excess of failures of each target to that of the same target on
 * other routes. */
static void
pool_failures(const route_t *route, int64_t now_s, int span_s,
              GPtrArray *targets, GArray *each)
{
    const bb_rollout_counts_t old_sum = sum_span(route->old, now_s, span_s);
    double shares[BINS + 1];

    if (old_sum.runs < MIN_OLD_RUNS) {
        return;
    }
    compute_shares(route->old, now_s, FAILURES,
                   (double)hits_of(&old_sum, FAILURES) / old_sum.runs, shares);
    for (guint i = 0; i < route->targets->len; i++) {
        series_t *target = g_ptr_array_index(route->targets, i);
        const excess_t excess =
            excess_of(target, now_s, span_s, FAILURES, shares);
        guint at = 0;
        while (at < targets->len &&
               strcmp(((series_t *)g_ptr_array_index(targets, at))->node,
                      target->node) != 0) {
            at++;
        }
        if (at == targets->len) {
            g_ptr_array_add(targets, target);
            g_array_append_val(each, excess);
        }
        else {
            excess_t *sum = &g_array_index(each, excess_t, at);
            *sum = add_excess(sum, &excess, 1.0);
        }
    }
}

/* Compares the failures of all routes together: with few calls, a version that
 * fails on every route shows too few failures on each of them. */
static void
compare_all_routes(const bb_rollout_evidence_t *evidence, int64_t now_s,
                   int span_s, bb_rollout_verdict_t *verdict)
{
    GPtrArray *targets = g_ptr_array_new();
    GArray *each = g_array_new(FALSE, FALSE, sizeof(excess_t));
    excess_t all = {0};

    for (guint i = 0; i < evidence->routes->len; i++) {
        pool_failures(g_ptr_array_index(evidence->routes, i), now_s, span_s,
                      targets, each);
    }
    for (guint i = 0; i < each->len; i++) {
        all = add_excess(&all, &g_array_index(each, excess_t, i), 1.0);
    }
    const route_t pooled = {.name = (char *)"", .targets = targets};
    judge_excess(&pooled, (const excess_t *)each->data, &all, FAILURES, span_s,
                 verdict);
    g_array_unref(each);
    g_ptr_array_unref(targets);
}

static void
keep_worse(bb_rollout_verdict_t *verdict, const bb_rollout_verdict_t *found)
{
    bool is_first = found->kind == BB_VERDICT_SUSPECT &&
                    verdict->kind != BB_VERDICT_SUSPECT;

    if (verdict->kind != BB_VERDICT_BAD &&
        (found->kind == BB_VERDICT_BAD || is_first)) {
        *verdict = *found;
    }
}

static void
compare_route(const route_t *route, int64_t now_s,
              bb_rollout_verdict_t *verdict)
{
    for (size_t i = 0; i < G_N_ELEMENTS(spans_s); i++) {
        bb_rollout_verdict_t failures = {0}, slow = {0};
        const bb_rollout_counts_t old_sum =
            sum_span(route->old, now_s, spans_s[i]);
        if (old_sum.runs < MIN_OLD_RUNS || route->targets->len == 0) {
            continue;
        }
        compare_sign(route, now_s, spans_s[i], FAILURES, &old_sum, &failures);
        compare_sign(route, now_s, spans_s[i],
                     MIN(median_bucket(&old_sum) + SLOW_BUCKETS,
                         BB_ROLLOUT_BUCKETS - 1),
                     &old_sum, &slow);
        keep_worse(verdict, &failures);
        keep_worse(verdict, &slow);
    }
}

/* Whether the new version has run enough calls on the route. */
static bool
is_route_covered(const route_t *route)
{
    uint64_t runs = 0;

    for (guint i = 0; i < route->targets->len; i++) {
        const series_t *target = g_ptr_array_index(route->targets, i);
        runs += target->runs;
    }
    return route->old->runs < MIN_ROUTE_RUNS || runs >= MIN_NEW_RUNS ||
           (double)runs >= ENOUGH_SHARE * (double)route->old->runs;
}

/* Chance of at most seen hits in runs calls. */
static double
chance_of_at_most(uint32_t seen, uint32_t runs, double share)
{
    double sum = 0;

    for (uint32_t k = 0; k <= seen && k <= runs; k++) {
        sum +=
            exp(lgamma(runs + 1.0) - lgamma(k + 1.0) - lgamma(runs - k + 1.0) +
                k * log(share) + (runs - k) * log1p(-share));
    }
    return sum;
}

/* The calls of the new version on all routes, and what would be expected of
 * the old one. */
typedef struct {
    uint32_t runs;
    uint32_t seen;
    double expected;
} pooled_t;

static void
pool_route(const route_t *route, int64_t now_s, bool is_slow, pooled_t *pooled)
{
    const bb_rollout_counts_t old_sum = sum_span(route->old, now_s, BINS);

    if (old_sum.runs == 0) {
        return; /* nothing to compare with */
    }
    int slow_from = is_slow ? MIN(median_bucket(&old_sum) + SLOW_BUCKETS,
                                  BB_ROLLOUT_BUCKETS - 1)
                            : FAILURES;
    double share = (double)hits_of(&old_sum, slow_from) / old_sum.runs;
    for (guint i = 0; i < route->targets->len; i++) {
        const bb_rollout_counts_t sum =
            sum_span(g_ptr_array_index(route->targets, i), now_s, BINS);
        pooled->runs += sum.runs;
        pooled->seen += hits_of(&sum, slow_from);
        pooled->expected += sum.runs * share;
    }
}

static bool
speaks_for(const bb_rollout_evidence_t *evidence, double now, bool is_slow)
{
    pooled_t pooled = {0};
    bool has_suspects = g_hash_table_size(evidence->excluded) > 0;

    for (guint i = 0; i < evidence->routes->len; i++) {
        pool_route(g_ptr_array_index(evidence->routes, i), (int64_t)floor(now),
                   is_slow, &pooled);
    }
    if (pooled.runs == 0) {
        return !has_suspects && evidence->old_runs < MIN_OLD_RUNS;
    }
    double old_share = pooled.expected / pooled.runs;
    double added = is_slow ? BAD_SLOW_SHARE : BAD_FAILURE_SHARE;
    double bad_share = old_share + (1 - old_share) * added;
    if (bad_share >= 1) {
        return false; /* all calls of the old version fail, or are slow */
    }
    return chance_of_at_most(pooled.seen, pooled.runs, bad_share) <=
               PASS_CHANCE ||
           (pooled.seen == 0 && !has_suspects);
}

bool
BbRolloutEvidence_IsInFavour(const bb_rollout_evidence_t *evidence, double now)
{
    return speaks_for(evidence, now, false) && speaks_for(evidence, now, true);
}

bb_rollout_verdict_t
BbRolloutEvidence_Judge(bb_rollout_evidence_t *evidence, double now)
{
    bb_rollout_verdict_t verdict = {.kind = BB_VERDICT_NOT_YET};
    bool is_covered = BbRolloutEvidence_JudgedRuns(evidence) >= MIN_NEW_RUNS;

    for (guint i = 0; i < evidence->routes->len; i++) {
        const route_t *route = g_ptr_array_index(evidence->routes, i);
        compare_route(route, (int64_t)floor(now), &verdict);
        is_covered = is_covered && is_route_covered(route);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(spans_s); i++) {
        bb_rollout_verdict_t pooled = {0};
        compare_all_routes(evidence, (int64_t)floor(now), spans_s[i], &pooled);
        keep_worse(&verdict, &pooled);
    }
    if (verdict.kind == BB_VERDICT_NOT_YET && is_covered) {
        verdict.kind = BB_VERDICT_GOOD;
    }
    verdict.runs =
        verdict.route != NULL ? verdict.runs : (uint32_t)evidence->new_runs;
    return verdict;
}
