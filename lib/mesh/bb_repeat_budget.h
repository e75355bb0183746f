/*
 * bb_repeat_budget - how many attempts may be repeated at a second target
 *
 * The installation allows, in any window, ratio x calls + extra repeats per
 * service over all nodes. Each node keeps to its share: it earns a part of
 * ratio with each call and may save up to its part of extra.
 *
 * USE
 *   BbRepeatBudget_OnCall(budget, "orders");
 *   if (BbRepeatBudget_Take(budget, "orders")) { send it again }
 */
#ifndef BB_REPEAT_BUDGET_H
#define BB_REPEAT_BUDGET_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    double ratio; /* repeats per call */
    double extra; /* repeats in a window besides, over all nodes */
} bb_repeat_budget_options_t;

typedef struct bb_repeat_budget bb_repeat_budget_t;

bb_repeat_budget_t *
BbRepeatBudget_New(const bb_repeat_budget_options_t *options);
void BbRepeatBudget_Free(bb_repeat_budget_t *budget);
void BbRepeatBudget_SetOptions(bb_repeat_budget_t *budget,
                               const bb_repeat_budget_options_t *options);

/* Number of nodes that share the extra repeats; at least 1. */
void BbRepeatBudget_SetNodes(bb_repeat_budget_t *budget, int nodes);

void BbRepeatBudget_OnCall(bb_repeat_budget_t *budget, const char *service);

/* Takes one repeat; false when none is left. */
bool BbRepeatBudget_Take(bb_repeat_budget_t *budget, const char *service);

#ifdef __cplusplus
}
#endif

#endif
