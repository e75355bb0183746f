#include "bb_repeat_budget.h"

#include <glib.h>

/* Fraction of the limit that this node spends. The rest covers the nested
 * calls of a retried call, which count as retries too. */
#define SPENT_SHARE 0.5

struct bb_repeat_budget {
    bb_repeat_budget_options_t options;
    int nodes;
    GHashTable *tokens; /* service to double: tokens in its bucket */
};

bb_repeat_budget_t *
BbRepeatBudget_New(const bb_repeat_budget_options_t *options)
{
    bb_repeat_budget_t *budget = g_new0(bb_repeat_budget_t, 1);

    budget->options = *options;
    budget->nodes = 1;
    budget->tokens =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return budget;
}

void
BbRepeatBudget_Free(bb_repeat_budget_t *budget)
{
    if (budget != NULL) {
        g_hash_table_destroy(budget->tokens);
        g_free(budget);
    }
}

void
BbRepeatBudget_SetOptions(bb_repeat_budget_t *budget,
                          const bb_repeat_budget_options_t *options)
{
    budget->options = *options;
}

void
BbRepeatBudget_SetNodes(bb_repeat_budget_t *budget, int nodes)
{
    budget->nodes = MAX(nodes, 1);
}

static double
bucket_capacity(const bb_repeat_budget_t *budget)
{
    return MAX(budget->options.extra * SPENT_SHARE / budget->nodes, 1.0);
}

static double *
find_tokens(bb_repeat_budget_t *budget, const char *service)
{
    double *tokens = g_hash_table_lookup(budget->tokens, service);

    if (tokens == NULL) {
        tokens = g_new(double, 1);
        *tokens = bucket_capacity(budget);
        g_hash_table_insert(budget->tokens, g_strdup(service), tokens);
    }
    return tokens;
}

void
BbRepeatBudget_OnCall(bb_repeat_budget_t *budget, const char *service)
{
    double *tokens = find_tokens(budget, service);

    *tokens = MIN(*tokens + budget->options.ratio * SPENT_SHARE,
                  bucket_capacity(budget));
}

bool
BbRepeatBudget_Take(bb_repeat_budget_t *budget, const char *service)
{
    double *tokens = find_tokens(budget, service);

    if (*tokens < 1.0) {
        return false;
    }
    *tokens -= 1.0;
    return true;
}
