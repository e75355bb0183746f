#include "bb_rollout.h"

#include <glib.h>
#include <string.h>

/* Share of the permitted exposure that is used: refused and repeated calls and
 * those between two reports are not counted exactly. */
#define SHARE_MARGIN 0.8

/* Rounds the number of active targets: each runs at least some 0.7 of the load
 * of a full shift, unless one target alone is below that. */
#define ACTIVE_ROUNDING 0.4

/* The canary is stopped above this share of the permitted number of calls,
 * and above this part of the further ones. */
#define GUARD_SHARE 0.95
#define GUARD_EXTRA 0.5

/* Parts of the time to the deadline: the first moment of a shift, and the one
 * from which few calls of the new version are enough. */
#define DECIDE_SHARE 0.7
#define DECIDE_LATEST_SHARE 0.8
#define DECIDE_EARLIEST_SHARE 0.4

/* Part of the time up to the decision that is left for the canary, if the
 * order was read late: the rest may be deducted. A version needs some seconds
 * of calls to show a fault, and a good one as many to show that it has none.
 */
#define CANARY_LEFT_SHARE 0.5

/* Time reserved between the shift and the deadline, besides the longest call:
 * for the store and for the reports of the old targets. */
#define SHIFT_RESERVE_S 2.0

/* Lease of an old target when a shift is possible at any moment. */
#define OLD_LEASE_S 2.0

/* Lease of a new target after the shift. No evidence is judged any more, so a
 * longer one does no harm, and a change of the deciding node costs no calls.
 */
#define SHIFTED_LEASE_S 5.0

/* A new target whose node has not reported for this long gets no canary
 * calls: its lease ends. */
#define SILENT_S 1.5

/* Shortest time from the shift to the completion, in which the row reaches
 * all nodes and calls on their way to an old target are refused. */
#define SETTLE_S 1.0

/* Time before the deadline at which an undecided canary is rolled back, so
 * that the status row is written by the deadline, with one repeated write. */
#define STATUS_RESERVE_S 0.5

/* Without a ready new target for this long after the shift: rolled back. */
#define ALL_LOST_S 1.0

/* Fewest active targets that must have been lost for a verdict. */
#define MIN_LOST 3

/* Fewest suspects for a verdict. */
#define MIN_SUSPECTS 2

/* Calls of the new version that are enough when few calls arrive. */
#define FEW_CALLS 20

/* Part of their share of the calls that new targets must have taken. */
#define TAKEN_SHARE 0.25

/* More nodes that have never reported are not named in the row. */
#define MAX_UNHEARD 8

typedef struct {
    char *node;
    char *data_centre;
    char *version;
    bool is_listed; /* has a record */
    bool is_ready;
    bool was_active;
    bool is_suspect;
    bool was_heard;  /* by an earlier deciding node */
    bool is_lost;    /* was active and lost its target */
    double heard_at; /* last report; 0 before the first */
    double lease_until;
    bool is_drained; /* closed by the row of the shift, nothing open */
    int open_calls;
} node_t;

struct bb_rollout {
    bb_rollout_options_t options;
    char *own_node;
    bb_rollout_row_t row;
    double started_at;
    double shifted_at;
    double new_seen_at; /* last time with a ready new target */
    GHashTable *nodes;  /* name to node_t */
    bb_rollout_evidence_t *evidence;
    bb_rollout_verdict_t verdict;
    bool must_recall; /* nodes that an earlier deciding node has heard */
    const char *reason;
    const char *next_reason;
    bool has_next;
    bb_rollout_phase_t next;
};

static void
free_node(gpointer data)
{
    node_t *node = data;

    g_free(node->node);
    g_free(node->data_centre);
    g_free(node->version);
    g_free(node);
}

static char **
no_names(void)
{
    return g_new0(char *, 1);
}

static char **
every_name(void)
{
    char **names = g_new0(char *, 2);

    names[0] = g_strdup(BB_ROLLOUT_EVERY_NODE);
    return names;
}

/* ---- creation and destruction ---- */

/* The service runs this version already, by an earlier order. */
static bool
is_completed_before(const bb_rollout_order_t *order,
                    const bb_rollout_row_t *before)
{
    return before != NULL && before->phase == BB_ROLLOUT_COMPLETED &&
           strcmp(before->to, order->to) == 0;
}

static void
start_row(bb_rollout_t *rollout, const bb_rollout_order_t *order,
          const bb_rollout_row_t *before)
{
    rollout->row = (bb_rollout_row_t){
        .service = g_strdup(order->service),
        .to = g_strdup(order->to),
        .order = order->version,
        .epoch = before != NULL ? before->epoch + 1 : 1,
        .serial = 1,
        .phase = is_completed_before(order, before) ? BB_ROLLOUT_COMPLETED
                                                    : BB_ROLLOUT_CANARY,
        .duration_s = order->duration_s,
        .decider = g_strdup(rollout->own_node),
        .active = no_names(),
        .rejected = BbRolloutRow_RejectedAfter(before, order->to),
        .unheard = every_name(),
    };
}

static void
continue_row(bb_rollout_t *rollout, const bb_rollout_row_t *before)
{
    BbRolloutRow_Copy(&rollout->row, before);
    rollout->must_recall = true;
    rollout->row.epoch++;
    rollout->row.serial = 1;
    g_free(rollout->row.decider);
    rollout->row.decider = g_strdup(rollout->own_node);
}

static double decide_after_s(const bb_rollout_t *rollout);

/* The order was written between the two moments of the sighting. An earlier
 * deciding node may have known more; its wall clock is believed between them.
 * Without that node, the earlier moment counts, within CANARY_LEFT_SHARE. */
static double
find_start(const bb_rollout_t *rollout, const bb_rollout_sighting_t *sighting,
           bool is_continued, int64_t wall_ms, double now)
{
    bool has_row_start = is_continued && rollout->row.started_ms > 0;
    double row_at = now - (double)(wall_ms - rollout->row.started_ms) / 1000.0;
    double largest_deduction_s =
        (1 - CANARY_LEFT_SHARE) * decide_after_s(rollout);

    if (sighting->absent_at <= 0) {
        return has_row_start ? MIN(row_at, sighting->seen_at)
                             : sighting->seen_at;
    }
    return has_row_start
               ? CLAMP(row_at, sighting->absent_at, sighting->seen_at)
               : MAX(sighting->absent_at,
                     sighting->seen_at - largest_deduction_s);
}

bb_rollout_t *
BbRollout_New(const bb_rollout_options_t *options,
              const bb_rollout_order_t *order, const bb_rollout_row_t *before,
              const bb_rollout_sighting_t *sighting, int64_t wall_ms,
              double now)
{
    bb_rollout_t *rollout = g_new0(bb_rollout_t, 1);

    rollout->options = *options;
    rollout->own_node = g_strdup(options->node);
    rollout->shifted_at = now;
    rollout->new_seen_at = now;
    rollout->reason = "order";
    rollout->evidence = BbRolloutEvidence_New();
    rollout->nodes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_node);
    bool is_continued =
        before != NULL && before->order == order->version && before->epoch > 0;
    if (is_continued) {
        continue_row(rollout, before);
    }
    else {
        start_row(rollout, order, before);
    }
    rollout->started_at =
        find_start(rollout, sighting, is_continued, wall_ms, now);
    if (!is_continued) {
        rollout->row.started_ms =
            wall_ms - (int64_t)((now - rollout->started_at) * 1000.0);
    }
    return rollout;
}

void
BbRollout_Free(bb_rollout_t *rollout)
{
    if (rollout != NULL) {
        g_hash_table_destroy(rollout->nodes);
        BbRolloutEvidence_Free(rollout->evidence);
        BbRolloutRow_Clear(&rollout->row);
        g_free(rollout->own_node);
        g_free(rollout);
    }
}

/* ---- what is known ---- */

static bool
is_new_target(const bb_rollout_t *rollout, const node_t *node)
{
    return g_strcmp0(node->version, rollout->row.to) == 0;
}

static node_t *
get_node(bb_rollout_t *rollout, const char *name)
{
    node_t *node = g_hash_table_lookup(rollout->nodes, name);

    if (node == NULL) {
        node = g_new0(node_t, 1);
        node->node = g_strdup(name);
        g_hash_table_insert(rollout->nodes, node->node, node);
    }
    return node;
}

static void
describe_node(node_t *node, const char *data_centre, const char *version)
{
    if (g_strcmp0(node->version, version) != 0) {
        node->is_drained = false;
    }
    g_free(node->data_centre);
    g_free(node->version);
    node->data_centre = g_strdup(data_centre);
    node->version = g_strdup(version);
}

/* Takes over what an earlier deciding node knew: the nodes that had reported,
 * and the longest lease that it may have granted them. */
static void
recall_nodes(bb_rollout_t *rollout, double now)
{
    GHashTableIter iter;
    gpointer value;
    double shift_at = rollout->started_at + decide_after_s(rollout);

    g_hash_table_iter_init(&iter, rollout->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        node_t *node = value;
        node->was_heard = !BbRolloutRow_IsUnheard(&rollout->row, node->node);
        node->lease_until = MAX(shift_at, now + OLD_LEASE_S);
    }
}

void
BbRollout_SetTargets(bb_rollout_t *rollout, const bb_rollout_target_t *targets,
                     size_t count, double now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, rollout->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        node_t *node = value;
        node->is_listed = false;
        node->is_ready = false;
    }
    for (size_t i = 0; i < count; i++) {
        const bb_rollout_target_t *target = &targets[i];
        node_t *node = get_node(rollout, target->node);
        bool is_report_newer = now - node->heard_at < SILENT_S;
        if (!is_report_newer || node->version == NULL) {
            describe_node(node, target->data_centre, target->version);
        }
        node->is_listed = true;
        node->is_ready = target->is_ready;
    }
    g_hash_table_iter_init(&iter, rollout->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        node_t *node = value;
        bool was_new = is_new_target(rollout, node);
        node->is_lost = node->was_active && !(node->is_ready && was_new);
    }
    if (rollout->must_recall) {
        rollout->must_recall = false;
        recall_nodes(rollout, now);
    }
}

static double
decide_after_s(const bb_rollout_t *rollout)
{
    double duration_s = rollout->row.duration_s;
    double reserve_s = rollout->options.longest_call_s + SHIFT_RESERVE_S;
    double latest_s = MIN(DECIDE_SHARE * duration_s, duration_s - reserve_s);

    return MAX(latest_s, DECIDE_EARLIEST_SHARE * duration_s);
}

static double
lease_s(const bb_rollout_t *rollout, const node_t *node, double now)
{
    double until_shift_s = rollout->started_at + decide_after_s(rollout) - now;

    if (is_new_target(rollout, node)) {
        return rollout->row.phase == BB_ROLLOUT_CANARY ? BB_ROLLOUT_LEASE_S
                                                       : SHIFTED_LEASE_S;
    }
    return MAX(until_shift_s, OLD_LEASE_S);
}

double
BbRollout_AddReport(bb_rollout_t *rollout, const bb_rollout_report_t *report,
                    double now)
{
    node_t *node = get_node(rollout, report->node);
    const bb_rollout_row_t *row = &rollout->row;
    bool is_shift_known = report->order == row->order &&
                          report->epoch == row->epoch &&
                          (report->phase == BB_ROLLOUT_SHIFTING ||
                           report->phase == BB_ROLLOUT_COMPLETED);

    describe_node(node, report->data_centre, report->version);
    node->heard_at = now;
    node->open_calls = report->open_calls;
    node->is_drained =
        is_shift_known && report->is_closed && report->open_calls == 0;
    double lease = lease_s(rollout, node, now);
    if (row->phase == BB_ROLLOUT_CANARY) {
        node->lease_until = now + lease;
    }
    return lease;
}

void
BbRollout_AddCounts(bb_rollout_t *rollout, const char *name, const char *route,
                    const bb_rollout_counts_t *totals, double now)
{
    const node_t *node = g_hash_table_lookup(rollout->nodes, name);

    if (node != NULL && rollout->row.phase == BB_ROLLOUT_CANARY) {
        BbRolloutEvidence_Add(rollout->evidence, name, node->data_centre,
                              is_new_target(rollout, node), route, totals,
                              now);
    }
}

static int
compare_strings(const void *a, const void *b)
{
    const char *const *first = a;
    const char *const *second = b;

    return strcmp(*first, *second);
}

/* Whether the node may not know of the order. */
static bool
is_unheard(const bb_rollout_t *rollout, const node_t *node)
{
    return node->is_listed && node->is_ready && node->heard_at <= 0 &&
           !node->was_heard && !is_new_target(rollout, node);
}

/* Returns whether the row has changed. */
static bool
update_unheard(bb_rollout_t *rollout)
{
    GPtrArray *names = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, rollout->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const node_t *node = value;
        if (is_unheard(rollout, node)) {
            g_ptr_array_add(names, g_strdup(node->node));
        }
    }
    g_ptr_array_sort(names, compare_strings);
    g_ptr_array_add(names, NULL);
    bool are_many = names->len > MAX_UNHEARD + 1;
    char **unheard = (char **)g_ptr_array_free(names, FALSE);
    if (are_many) {
        g_strfreev(unheard);
        unheard = every_name();
    }
    bool is_changed =
        !g_strv_equal((const gchar *const *)unheard,
                      (const gchar *const *)rollout->row.unheard);
    g_strfreev(rollout->row.unheard);
    rollout->row.unheard = unheard;
    rollout->row.serial += is_changed;
    return is_changed;
}

/* ---- phases ---- */

static bool
change_phase(bb_rollout_t *rollout, bb_rollout_phase_t phase,
             const char *reason)
{
    bb_rollout_row_t *row = &rollout->row;

    row->phase = phase;
    row->serial++;
    row->share = phase == BB_ROLLOUT_ROLLED_BACK ? 0.0 : 1.0;
    g_strfreev(row->active);
    row->active = no_names();
    rollout->reason = reason;
    rollout->has_next = false;
    return true;
}

static void
wait_for_store(bb_rollout_t *rollout, bb_rollout_phase_t phase,
               const char *reason)
{
    rollout->has_next = true;
    rollout->next = phase;
    rollout->next_reason = reason;
}

/* Numbers of the known targets of the service. */
typedef struct {
    int old_listed;
    int old_ready;
    int new_ready;
    int used; /* new targets that have been active */
    int suspects;
    int lost;
} tally_t;

static tally_t
count_targets(const bb_rollout_t *rollout)
{
    tally_t tally = {0};
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, rollout->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const node_t *node = value;
        bool is_new = is_new_target(rollout, node);
        tally.old_listed += node->is_listed && !is_new;
        tally.old_ready += node->is_ready && !is_new;
        tally.new_ready += node->is_ready && is_new;
        tally.used += node->was_active;
        tally.suspects += node->is_suspect;
        tally.lost += node->is_lost;
    }
    return tally;
}

/* ---- canary ---- */

static int
compare_names(const void *a, const void *b)
{
    const node_t *const *first = a;
    const node_t *const *second = b;

    return strcmp((*first)->node, (*second)->node);
}

static bool
may_be_active(const bb_rollout_t *rollout, const node_t *node, double now)
{
    return node->is_ready && is_new_target(rollout, node) &&
           !node->is_suspect && node->heard_at > 0 &&
           now - node->heard_at <= SILENT_S;
}

/* New targets that may be active, by name. */
static GPtrArray *
list_candidates(const bb_rollout_t *rollout, double now)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, rollout->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (may_be_active(rollout, value, now)) {
            g_ptr_array_add(list, value);
        }
    }
    g_ptr_array_sort(list, compare_names);
    return list;
}

static int
count_in_data_centre(const GPtrArray *chosen, const node_t *node)
{
    int count = 0;

    for (guint i = 0; i < chosen->len; i++) {
        const node_t *other = g_ptr_array_index(chosen, i);
        count += g_strcmp0(other->data_centre, node->data_centre) == 0;
    }
    return count;
}

/* The next target to add: one that is active already, else one of the data
 * centre with the fewest chosen ones. */
static node_t *
next_active(const bb_rollout_t *rollout, const GPtrArray *candidates,
            GPtrArray *chosen)
{
    node_t *best = NULL;
    int best_rank = 0;

    for (guint i = 0; i < candidates->len; i++) {
        node_t *node = g_ptr_array_index(candidates, i);
        int rank = BbRolloutRow_IsActive(&rollout->row, node->node)
                       ? -1
                       : count_in_data_centre(chosen, node);
        if (!g_ptr_array_find(chosen, node, NULL) &&
            (best == NULL || rank < best_rank)) {
            best = node;
            best_rank = rank;
        }
    }
    return best;
}

static bool
is_over_exposed(const bb_rollout_t *rollout)
{
    const bb_rollout_options_t *options = &rollout->options;
    double permitted =
        GUARD_SHARE * options->expose_share *
            (double)BbRolloutEvidence_AllRuns(rollout->evidence) +
        GUARD_EXTRA * options->expose_extra;

    return (double)BbRolloutEvidence_NewRuns(rollout->evidence) > permitted;
}

/* As many active targets as run the share at the load of a full shift, and
 * the share that they can take. */
static bool
choose_active(bb_rollout_t *rollout, const tally_t *tally, double now)
{
    bb_rollout_row_t *row = &rollout->row;
    double share = SHARE_MARGIN * rollout->options.expose_share;
    int full = MAX(MAX(tally->new_ready, tally->old_ready), 1);
    int wanted =
        CLAMP((int)(share * full + ACTIVE_ROUNDING), 1, BB_ROLLOUT_MAX_NAMES);
    GPtrArray *candidates = list_candidates(rollout, now);
    GPtrArray *chosen = g_ptr_array_new();
    GStrvBuilder *names = g_strv_builder_new();
    node_t *node;

    while ((int)chosen->len < wanted &&
           (node = next_active(rollout, candidates, chosen)) != NULL) {
        g_ptr_array_add(chosen, node);
    }
    g_ptr_array_sort(chosen, compare_names);
    for (guint i = 0; i < chosen->len; i++) {
        node = g_ptr_array_index(chosen, i);
        node->was_active = true;
        g_strv_builder_add(names, node->node);
    }
    double new_share = is_over_exposed(rollout)
                           ? 0.0
                           : MIN(share, (double)chosen->len / full);
    char **active = g_strv_builder_end(names);
    bool is_changed = new_share != row->share ||
                      !g_strv_equal((const gchar *const *)active,
                                    (const gchar *const *)row->active);
    g_strfreev(row->active);
    row->active = active;
    row->share = new_share;
    row->serial += is_changed;
    g_strv_builder_unref(names);
    g_ptr_array_unref(candidates);
    g_ptr_array_unref(chosen);
    return is_changed;
}

static void
mark_suspect(bb_rollout_t *rollout)
{
    node_t *node =
        g_hash_table_lookup(rollout->nodes, rollout->verdict.target);

    if (node != NULL) {
        node->is_suspect = true;
        rollout->verdict.target = node->node; /* outlives the evidence */
        BbRolloutEvidence_Exclude(rollout->evidence, node->node);
    }
}

/* Reason to roll back in canary, or NULL. */
static const char *
rollback_reason(const bb_rollout_t *rollout, const tally_t *tally, double now)
{
    if (rollout->verdict.kind == BB_VERDICT_BAD) {
        return "evidence";
    }
    if (tally->suspects >= MIN_SUSPECTS && tally->suspects * 2 > tally->used) {
        return "suspects";
    }
    if (tally->lost >= MIN_LOST && tally->lost * 2 > tally->used) {
        return "targets_lost";
    }
    bool is_late = now - rollout->started_at >=
                   rollout->row.duration_s - STATUS_RESERVE_S;
    return is_late ? "deadline" : NULL;
}

/* A service that has few calls, or none, is shifted late and without a full
 * verdict, if the new targets have taken a part of their share. */
static bool
has_few_calls(const bb_rollout_t *rollout)
{
    double all = (double)BbRolloutEvidence_AllRuns(rollout->evidence);
    double new = (double)BbRolloutEvidence_JudgedRuns(rollout->evidence);
    double share = SHARE_MARGIN * rollout->options.expose_share;

    return new >= FEW_CALLS || all < 2 * FEW_CALLS ||
           new >= TAKEN_SHARE *share *all;
}

static void
decide_shift(bb_rollout_t *rollout, const tally_t *tally, double now)
{
    double elapsed_s = now - rollout->started_at;
    double decide_s = decide_after_s(rollout);
    double latest_s = decide_s * DECIDE_LATEST_SHARE / DECIDE_SHARE;
    bool is_latest = elapsed_s >= latest_s;
    bool has_capacity =
        tally->new_ready > 0 &&
        (is_latest || tally->new_ready * 2 >= tally->old_ready);
    /* Where all used targets are suspects, nothing speaks for the version. */
    bool is_supported = tally->used > tally->suspects;
    bool is_good = is_supported && rollout->verdict.kind == BB_VERDICT_GOOD;
    bool is_enough =
        is_good || (is_latest && is_supported &&
                    rollout->verdict.kind == BB_VERDICT_NOT_YET &&
                    has_few_calls(rollout) &&
                    BbRolloutEvidence_IsInFavour(rollout->evidence, now));

    if (tally->old_listed == 0 && tally->new_ready > 0) {
        wait_for_store(rollout, BB_ROLLOUT_SHIFTING, "no_old_targets");
    }
    else if (elapsed_s >= decide_s && has_capacity && is_enough) {
        wait_for_store(rollout, BB_ROLLOUT_SHIFTING,
                       is_good ? "enough_calls" : "few_calls");
    }
    else {
        rollout->has_next = false;
    }
}

static bool
tick_canary(bb_rollout_t *rollout, double now)
{
    rollout->verdict = BbRolloutEvidence_Judge(rollout->evidence, now);
    if (rollout->verdict.kind == BB_VERDICT_SUSPECT) {
        mark_suspect(rollout);
    }
    tally_t tally = count_targets(rollout);
    const char *reason = rollback_reason(rollout, &tally, now);
    if (reason != NULL) {
        return change_phase(rollout, BB_ROLLOUT_ROLLED_BACK, reason);
    }
    decide_shift(rollout, &tally, now);
    bool is_changed = update_unheard(rollout);
    return choose_active(rollout, &tally, now) || is_changed;
}

/* ---- shifting ---- */

/* Whether nothing can be running at the target of the node, nor start there.
 */
static bool
is_idle_for_sure(const bb_rollout_t *rollout, const node_t *node, double now)
{
    double longest_s = rollout->options.longest_call_s;
    double silent_from = MAX(node->lease_until, rollout->shifted_at);

    if (is_new_target(rollout, node) || node->is_drained) {
        return true;
    }
    if (is_unheard(rollout, node)) {
        return false;
    }
    return now - MAX(node->heard_at, silent_from) >
           BB_ROLLOUT_LEASE_S + longest_s;
}

static bool
are_old_targets_idle(const bb_rollout_t *rollout, double now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, rollout->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (!is_idle_for_sure(rollout, value, now)) {
            return false;
        }
    }
    return now - rollout->shifted_at >= SETTLE_S;
}

static bool
tick_shifting(bb_rollout_t *rollout, double now)
{
    const tally_t tally = count_targets(rollout);

    if (rollout->has_next) {
        return false; /* the row of the completion may be stored already */
    }
    if (tally.new_ready > 0) {
        rollout->new_seen_at = now;
    }
    if (now - rollout->new_seen_at > ALL_LOST_S) {
        return change_phase(rollout, BB_ROLLOUT_ROLLED_BACK, "targets_lost");
    }
    if (are_old_targets_idle(rollout, now)) {
        wait_for_store(rollout, BB_ROLLOUT_COMPLETED, "no_open_calls");
        return false;
    }
    if (now - rollout->started_at >= rollout->row.duration_s) {
        return change_phase(rollout, BB_ROLLOUT_ROLLED_BACK, "deadline");
    }
    return update_unheard(rollout);
}

bool
BbRollout_Tick(bb_rollout_t *rollout, double now)
{
    switch (rollout->row.phase) {
    case BB_ROLLOUT_CANARY:
        return tick_canary(rollout, now);
    case BB_ROLLOUT_SHIFTING:
        return tick_shifting(rollout, now);
    case BB_ROLLOUT_COMPLETED:
    case BB_ROLLOUT_ROLLED_BACK:
        break;
    }
    return false;
}

bool
BbRollout_Withdraw(bb_rollout_t *rollout)
{
    return !BbRolloutPhase_IsFinal(rollout->row.phase) &&
           change_phase(rollout, BB_ROLLOUT_ROLLED_BACK, "withdrawn");
}

const bb_rollout_row_t *
BbRollout_Row(const bb_rollout_t *rollout)
{
    return &rollout->row;
}

bool
BbRollout_NextRow(const bb_rollout_t *rollout, bb_rollout_row_t *out)
{
    if (!rollout->has_next) {
        return false;
    }
    BbRolloutRow_Copy(out, &rollout->row);
    out->phase = rollout->next;
    out->serial++;
    out->share = 1.0;
    return true;
}

bool
BbRollout_Confirm(bb_rollout_t *rollout, const bb_rollout_row_t *stored,
                  double now)
{
    if (!rollout->has_next || rollout->next != stored->phase) {
        return false;
    }
    rollout->shifted_at =
        stored->phase == BB_ROLLOUT_SHIFTING ? now : rollout->shifted_at;
    rollout->new_seen_at = now;
    rollout->row.serial = MAX(rollout->row.serial, stored->serial);
    return change_phase(rollout, stored->phase, rollout->next_reason);
}

bool
BbRollout_Outbid(bb_rollout_t *rollout, const bb_rollout_row_t *other)
{
    bb_rollout_row_t *row = &rollout->row;
    bool is_found_bad = row->phase == BB_ROLLOUT_ROLLED_BACK &&
                        (strcmp(rollout->reason, "evidence") == 0 ||
                         strcmp(rollout->reason, "suspects") == 0);

    if (!is_found_bad || other->order != row->order ||
        BbRolloutPhase_IsFinal(other->phase)) {
        return false;
    }
    row->epoch = MAX(row->epoch, other->epoch) + 1;
    row->serial++;
    return true;
}

bool
BbRollout_MustEndEarlier(const bb_rollout_t *rollout, const char *to)
{
    return !BbRolloutPhase_IsFinal(rollout->row.phase) &&
           BbRolloutRow_IsRejected(&rollout->row, to);
}

void
BbRollout_SetReported(bb_rollout_t *rollout)
{
    rollout->row.is_reported = true;
    rollout->row.serial++;
}

const char *
BbRollout_Reason(const bb_rollout_t *rollout)
{
    return rollout->reason;
}

const bb_rollout_verdict_t *
BbRollout_Verdict(const bb_rollout_t *rollout)
{
    return &rollout->verdict;
}

double
BbRollout_ElapsedS(const bb_rollout_t *rollout, double now)
{
    return now - rollout->started_at;
}

uint64_t
BbRollout_NewRuns(const bb_rollout_t *rollout)
{
    return BbRolloutEvidence_NewRuns(rollout->evidence);
}

uint64_t
BbRollout_AllRuns(const bb_rollout_t *rollout)
{
    return BbRolloutEvidence_AllRuns(rollout->evidence);
}
