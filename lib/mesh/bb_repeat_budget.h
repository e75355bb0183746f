/*
 * bb_repeat_budget - limits the calls that are retried at another target
 *
 * A repeat is a retry, as in the settings repeat_ratio and repeat_extra.
 * In any time window, all nodes together may retry at most
 * ratio x calls + extra calls of each service. Each node enforces its share
 * by a token bucket per service: each call adds ratio x SPENT_SHARE tokens,
 * and the bucket holds extra x SPENT_SHARE / number of nodes, at least one
 * token (SPENT_SHARE is in bb_repeat_budget.c).
 *
 * USE
 *   BbRepeatBudget_OnCall(budget, "orders");
 *   if (BbRepeatBudget_Take(budget, "orders")) { retry }
 */
#ifndef BB_REPEAT_BUDGET_H
#define BB_REPEAT_BUDGET_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    double ratio; /* retries per call */
    double extra; /* further retries per window, over all nodes */
} bb_repeat_budget_options_t;

typedef struct bb_repeat_budget bb_repeat_budget_t;

bb_repeat_budget_t *
BbRepeatBudget_New(const bb_repeat_budget_options_t *options);
void BbRepeatBudget_Free(bb_repeat_budget_t *budget);
void BbRepeatBudget_SetOptions(bb_repeat_budget_t *budget,
                               const bb_repeat_budget_options_t *options);

/* Number of nodes that share the extra retries; at least 1. */
void BbRepeatBudget_SetNodes(bb_repeat_budget_t *budget, int nodes);

/* Adds the tokens that one call earns. */
void BbRepeatBudget_OnCall(bb_repeat_budget_t *budget, const char *service);

/* Consumes one retry; returns false if none is left. */
bool BbRepeatBudget_Take(bb_repeat_budget_t *budget, const char *service);

#ifdef __cplusplus
}
#endif

#endif
