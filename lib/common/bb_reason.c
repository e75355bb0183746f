#include "bb_reason.h"

#include <assert.h>
#include <string.h>

#include "bb_counters.h"

typedef struct {
    const char *name;
    int status;
    bb_outcome_t outcome;
    bb_counter_t counter;
} reason_info_t;

/* Indexed by bb_reason_t - 1: BB_REASON_NONE has no entry. */
static const reason_info_t reason_info[] = {
#define BB_REASON(id, name, status, outcome) \
    {name, status, BB_OUTCOME_##outcome, BB_COUNTER_REFUSED_##id},
#include "reasons.def"
#undef BB_REASON
    {"other", 502, BB_OUTCOME_UNKNOWN, BB_COUNTER_REFUSED_OTHER},
};

static const char *const outcome_names[] = {
    [BB_OUTCOME_NOT_RUN] = "not-run",
    [BB_OUTCOME_RAN] = "ran",
    [BB_OUTCOME_UNKNOWN] = "unknown",
};

static const reason_info_t *
find_info(bb_reason_t reason)
{
    assert(reason > BB_REASON_NONE && reason < BB_REASON_COUNT);
    return &reason_info[reason - 1];
}

const char *
BbOutcome_Name(bb_outcome_t outcome)
{
    return outcome_names[outcome];
}

bb_outcome_t
BbOutcome_Parse(const char *text)
{
    if (text != NULL && strcmp(text, "not-run") == 0) {
        return BB_OUTCOME_NOT_RUN;
    }
    if (text != NULL && strcmp(text, "ran") == 0) {
        return BB_OUTCOME_RAN;
    }
    return BB_OUTCOME_UNKNOWN;
}

const char *
BbReason_Name(bb_reason_t reason)
{
    return reason == BB_REASON_NONE ? "none" : find_info(reason)->name;
}

bb_reason_t
BbReason_Parse(const char *text)
{
    if (text == NULL) {
        return BB_REASON_NONE;
    }
    for (int i = BB_REASON_NONE + 1; i < BB_REASON_OTHER; i++) {
        if (strcmp(text, reason_info[i - 1].name) == 0) {
            return (bb_reason_t)i;
        }
    }
    return BB_REASON_OTHER;
}

int
BbReason_Status(bb_reason_t reason)
{
    return find_info(reason)->status;
}

bb_outcome_t
BbReason_Outcome(bb_reason_t reason)
{
    return find_info(reason)->outcome;
}

void
BbReason_Count(bb_reason_t reason)
{
    BbCounters_Add(find_info(reason)->counter, 1);
}
