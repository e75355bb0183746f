/*
 * bb_rollout - one roll-out, at the deciding node
 *
 * Phases: canary, shifting, completed, rolled_back. In canary a share of the
 * calls just below the permitted one goes to as few new targets as make each
 * of them run at the load of a full shift, since some faults show under load
 * only. The canary lasts for most of the time to the deadline, since others
 * show only after a while; evidence against the version ends it at once. Then
 * all calls are shifted, and when no old target runs anything, the roll-out is
 * completed.
 *
 * A step towards the new version (shifting, completed) takes effect only after
 * the row was stored under a condition on its version, so that a node that was
 * replaced as the deciding one cannot take it. A step back takes effect at
 * once and is stored later.
 *
 * LEASES
 *   Each report of a node is answered with a lease: the time, from the sending
 *   of the report on, for which its target may take calls without a further
 *   answer. Old targets get a long one until the first moment at which a shift
 *   is possible, so that a node that is cut off goes on serving; completion
 *   waits for the end of the leases of silent nodes and of their calls. A node
 *   that has never reported to a deciding node, but whose record says that its
 *   old target is ready, may not know of the order: completion waits for its
 *   report.
 *
 * USE
 *   BbRollout_SetTargets() and BbRollout_AddReport() with what is known,
 *   BbRollout_Tick() a few times a second. BbRollout_Row() is to be published
 *   whenever it changes. While BbRollout_NextRow() returns a row, it is to be
 *   stored, then passed to BbRollout_Confirm().
 *
 * Times are seconds of one monotonic clock.
 */
#ifndef BB_ROLLOUT_H
#define BB_ROLLOUT_H

#include "bb_rollout_evidence.h"
#include "bb_rollout_row.h"

#ifdef __cplusplus
extern "C" {
#endif

/* How long a new target may take calls during the canary without an answer of
 * the deciding node. */
#define BB_ROLLOUT_LEASE_S 1.0

typedef struct {
    const char *node;      /* name of the deciding node */
    double expose_share;   /* largest share of the calls for a bad version */
    double expose_extra;   /* further calls */
    double longest_call_s; /* from the admission of a call to its end */
} bb_rollout_options_t;

/* The operator's order. */
typedef struct {
    const char *service;
    const char *to;
    double duration_s;
    int64_t version; /* of the order's row */
} bb_rollout_order_t;

/* When the deciding node learned of an order. */
typedef struct {
    double seen_at;   /* it first read the order's row */
    double absent_at; /* the latest moment at which the store certainly had no
                         such row; 0 if the row was there when it started */
} bb_rollout_sighting_t;

/* A target of the service, from the record of the node beside it. */
typedef struct {
    const char *node;
    const char *data_centre;
    const char *version; /* NULL if unknown */
    bool is_ready;
} bb_rollout_target_t;

/* State of a node beside a target, as it reports it. */
typedef struct {
    const char *node;
    const char *data_centre;
    const char *version; /* of the target; NULL if unknown */
    int64_t order;       /* of the row that the node follows */
    int64_t epoch;
    bb_rollout_phase_t phase;
    bool is_closed; /* the node refuses new calls for the target */
    int open_calls; /* waiting for the target or running at it */
} bb_rollout_report_t;

typedef struct bb_rollout bb_rollout_t;

/* before is the newest known row of the service, or NULL. If it belongs to the
 * same order, the roll-out is continued with a higher epoch; else it starts
 * anew and the version of an order that was not completed is rejected.
 * The deadline counts from the latest moment that is certainly not later than
 * the order, as far as that leaves time for the canary. */
bb_rollout_t *BbRollout_New(const bb_rollout_options_t *options,
                            const bb_rollout_order_t *order,
                            const bb_rollout_row_t *before,
                            const bb_rollout_sighting_t *sighting,
                            int64_t wall_ms, double now);
void BbRollout_Free(bb_rollout_t *rollout);

void BbRollout_SetTargets(bb_rollout_t *rollout,
                          const bb_rollout_target_t *targets, size_t count,
                          double now);

/* Returns the lease in seconds. */
double BbRollout_AddReport(bb_rollout_t *rollout,
                           const bb_rollout_report_t *report, double now);

/* Adds counts of the reporting node; see bb_rollout_evidence.h. The node must
 * have been passed to BbRollout_AddReport(). */
void BbRollout_AddCounts(bb_rollout_t *rollout, const char *node,
                         const char *route, const bb_rollout_counts_t *totals,
                         double now);

/* Decides. Returns whether the row has changed. */
bool BbRollout_Tick(bb_rollout_t *rollout, double now);

/* The order was withdrawn: rolls back, unless completed. Returns whether the
 * row has changed. */
bool BbRollout_Withdraw(bb_rollout_t *rollout);

const bb_rollout_row_t *BbRollout_Row(const bb_rollout_t *rollout);

/* Returns whether the next step waits for the store, with the row to store in
 * out; free it with BbRolloutRow_Clear(). */
bool BbRollout_NextRow(const bb_rollout_t *rollout, bb_rollout_row_t *out);

/* The row was stored: takes the step, unless it was rolled back meanwhile.
 * Returns whether the row has changed. */
bool BbRollout_Confirm(bb_rollout_t *rollout, const bb_rollout_row_t *stored,
                       double now);

/* Another node decides on the same order with this epoch. If this one has
 * found the version bad, its verdict stands: takes a higher epoch, for the row
 * to be stored and published again, and returns true. */
bool BbRollout_Outbid(bb_rollout_t *rollout, const bb_rollout_row_t *other);

/* Whether the operator's status row, which says that the roll-out of this
 * version is running, is that of an earlier order that this one has replaced:
 * it is to be changed to "rolled_back" first. False once this roll-out has
 * ended, since the final state of this one is then due. */
bool BbRollout_MustEndEarlier(const bb_rollout_t *rollout, const char *to);

/* The final phase is in the operator's status row. */
void BbRollout_SetReported(bb_rollout_t *rollout);

/* Why the phase has changed last: "order", "evidence", "suspects",
 * "targets_lost", "enough_calls", "few_calls", "no_old_targets",
 * "no_open_calls", "deadline" or "withdrawn". */
const char *BbRollout_Reason(const bb_rollout_t *rollout);

/* The last verdict in canary; valid until the next BbRollout_Tick(). */
const bb_rollout_verdict_t *BbRollout_Verdict(const bb_rollout_t *rollout);

/* Time since the moment from which the deadline counts. */
double BbRollout_ElapsedS(const bb_rollout_t *rollout, double now);

/* Calls counted so far: of the new version, and of both. */
uint64_t BbRollout_NewRuns(const bb_rollout_t *rollout);
uint64_t BbRollout_AllRuns(const bb_rollout_t *rollout);

#ifdef __cplusplus
}
#endif

#endif
