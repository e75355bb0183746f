/*
 * bb_rollout_local - roll-outs as one node knows them, and what it does for
 * them
 *
 * Keeps the newest row of each service (see bb_rollout_row.h). Where the node
 * places calls, it says which targets may get a call, and which calls make up
 * the share of the new version: a fixed part of the calls of each route, in
 * regular turns. Where it runs calls, it says whether its target may take
 * them, counts what has run by route, and writes the reports for the deciding
 * node.
 *
 * Without a row of a service nothing is refused or counted for it.
 *
 * The target takes calls
 *   of the new version: in canary if it is active and its lease lasts; in
 *     shifting while its lease lasts; after completion always.
 *   of any other version: in canary unless its lease has ended; after
 *     rolled_back always.
 *   of a rejected version: never.
 * The first row that a node learns right after its start may be an outdated
 * one (epoch 0, derived from the order alone). Its target then waits for a row
 * of a deciding node for up to BB_ROLLOUT_LEARN_S.
 *
 * USE
 *   BbRolloutLocal_Apply() for each row received. Times are seconds of one
 *   monotonic clock.
 */
#ifndef BB_ROLLOUT_LOCAL_H
#define BB_ROLLOUT_LOCAL_H

#include <jansson.h>

#include "bb_rollout.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Rows are pushed each 0.5 s, and a deciding node is replaced after about
 * 1.5 s. */
#define BB_ROLLOUT_LEARN_S 2.5

/* Most services whose rows are kept. */
#define BB_ROLLOUT_MAX_SERVICES 256

typedef struct bb_rollout_local bb_rollout_local_t;

/* service: of the target beside this node. */
bb_rollout_local_t *BbRolloutLocal_New(const char *node,
                                       const char *data_centre,
                                       const char *service);
void BbRolloutLocal_Free(bb_rollout_local_t *local);

/* Takes a row if it is newer than the known one. Returns whether it was. */
bool BbRolloutLocal_Apply(bb_rollout_local_t *local,
                          const bb_rollout_row_t *row);

/* Takes the provisional row of an order. is_start: the order was there when
 * this process started, so the roll-out may be in any phase. */
bool BbRolloutLocal_ApplyOrder(bb_rollout_local_t *local,
                               const bb_rollout_order_t *order, bool is_start,
                               double now);

/* The rows of the store are known: the target no longer waits for one. */
void BbRolloutLocal_EndLearning(bb_rollout_local_t *local);

/* NULL when there is none. */
const bb_rollout_row_t *BbRolloutLocal_Row(const bb_rollout_local_t *local,
                                           const char *service);

void BbRolloutLocal_ForEach(const bb_rollout_local_t *local,
                            void (*visit)(const bb_rollout_row_t *row,
                                          void *arg),
                            void *arg);

/* A number that rises with each newer row; 0 without rows. Of two nodes with
 * different rows, the one with the higher number has a newer one. */
int64_t BbRolloutLocal_Revision(const bb_rollout_local_t *local);

/* ---- placement ---- */

/* Whether the next call of this route is to go to the new version, if one of
 * its targets can take it. Counts the call. */
bool BbRolloutLocal_IsNewTurn(bb_rollout_local_t *local, const char *service,
                              const char *route);

/* Whether a call may go to the target of this version (NULL: unknown) beside
 * the node. is_new_turn: from BbRolloutLocal_IsNewTurn(). */
bool BbRolloutLocal_MayPlace(const bb_rollout_local_t *local,
                             const char *service, const char *node,
                             const char *version, bool is_new_turn);

/* ---- target beside this node ---- */

bool BbRolloutLocal_AcceptsCalls(const bb_rollout_local_t *local,
                                 const char *version, double now);

/* A report that was sent at sent_at was answered with a lease. */
void BbRolloutLocal_Grant(bb_rollout_local_t *local, int64_t order,
                          double sent_at, double lease_s);

/* Counts a call that has ended at the target; nothing without a row. */
void BbRolloutLocal_CountRun(bb_rollout_local_t *local, const char *version,
                             const char *route, bool is_failed,
                             double duration_s);

/* Returns the report as JSON text, NULL without a row of the own service. */
char *BbRolloutLocal_FormatReport(const bb_rollout_local_t *local,
                                  const char *version, int open_calls,
                                  double now);

/* Passes a report to the roll-out of its service. Returns the lease, or -1 if
 * the report is malformed or belongs to another order. */
double BbRolloutReport_Deliver(bb_rollout_t *rollout, const json_t *object,
                               double now);

#ifdef __cplusplus
}
#endif

#endif
