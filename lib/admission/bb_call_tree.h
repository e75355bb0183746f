/*
 * bb_call_tree - nested calls of the runs at the local target
 *
 * A nested call arrives at the address for callers while its parent runs at
 * the local target; its id is the id of the parent, a separator and a suffix.
 * The node learns which nested calls the runs of each class make, and which
 * share of them is refused for lack of capacity. A new call (a root) whose
 * nested calls would most likely be refused can be refused before it takes a
 * slot that other calls wait for.
 *
 * The share of refused roots is at most the share that would fail anyway and
 * leaves a tenth, so that a recovery is seen. It follows the nested service's
 * own refusals only: failures of targets say nothing about its capacity, and
 * refusing roots for them lowers the share that is served.
 *
 * Designed for a service with 1.3 times the nested calls that it can serve,
 * while runs of another service make 1 to 3 of them each.
 *
 * USE
 *   run = BbCallTree_StartRun(...) when a call takes a slot;
 *   BbCallTree_EndRun(tree, run) when it releases the slot.
 *   BbCallTree_BeginNested() for each call that arrives from a caller; if it
 *   returns true, BbCallTree_EndNested() when the call is answered.
 */
#ifndef BB_CALL_TREE_H
#define BB_CALL_TREE_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_call_tree bb_call_tree_t;
typedef struct bb_call_run bb_call_run_t;

/* separator: between the id of a call and the suffix of its nested calls; NULL
 * or empty: nothing is learned. */
bb_call_tree_t *BbCallTree_New(const char *separator);
void BbCallTree_Free(bb_call_tree_t *tree);

/* Returns NULL when nothing is learned from the run. Times are in seconds.
 * arrived_at: when the call came, or the first one that it is nested in. */
bb_call_run_t *BbCallTree_StartRun(bb_call_tree_t *tree, const char *id,
                                   const char *class_name, double arrived_at);

/* run may be NULL. */
void BbCallTree_EndRun(bb_call_tree_t *tree, bb_call_run_t *run);

/* Whether the call is nested in a run at the local target; then sets
 * *parent_age_s to the time since arrived_at of that run. */
bool BbCallTree_BeginNested(bb_call_tree_t *tree, const char *id,
                            const char *class_name, double now,
                            double *parent_age_s);

/* Whether the call is nested in a run at the local target. Learns nothing. */
bool BbCallTree_IsNested(const bb_call_tree_t *tree, const char *id);

/* is_refused: for lack of capacity; the call has not run. */
void BbCallTree_EndNested(bb_call_tree_t *tree, const char *class_name,
                          bool is_refused, double now);

/* Share of new calls of the class to refuse because their nested calls would
 * be refused; 0 in normal operation. */
double BbCallTree_RefusalShare(bb_call_tree_t *tree, const char *class_name,
                               double now);

/* Whether to refuse a new call of the class now. Over many calls the share of
 * refusals is that of BbCallTree_RefusalShare(). */
bool BbCallTree_MustRefuse(bb_call_tree_t *tree, const char *class_name,
                           double now);

#ifdef __cplusplus
}
#endif

#endif
