#include "bb_candidates.h"

/* Candidates whose predicted times differ by less are compared by load. */
#define EQUAL_COST_S 0.004

void
BbCandidates_Add(bb_candidates_t *group, const bb_candidate_t *candidate)
{
    if (group->items == NULL) {
        group->items = g_array_new(FALSE, FALSE, sizeof(bb_candidate_t));
    }
    g_array_append_val(group->items, *candidate);
    group->capacity += candidate->capacity;
}

guint
BbCandidates_Count(const bb_candidates_t *group)
{
    return group->items != NULL ? group->items->len : 0;
}

static const bb_candidate_t *
candidate_at(const bb_candidates_t *group, guint index)
{
    return &g_array_index(group->items, bb_candidate_t, index);
}

void
BbCandidates_Merge(bb_candidates_t *into, const bb_candidates_t *from)
{
    for (guint i = 0; i < BbCandidates_Count(from); i++) {
        BbCandidates_Add(into, candidate_at(from, i));
    }
}

void
BbCandidates_Clear(bb_candidates_t *group)
{
    g_clear_pointer(&group->items, g_array_unref);
    group->capacity = 0;
}

const bb_candidate_t *
BbCandidates_FindLocal(const bb_candidates_t *group)
{
    for (guint i = 0; i < BbCandidates_Count(group); i++) {
        if (candidate_at(group, i)->endpoint->is_local) {
            return candidate_at(group, i);
        }
    }
    return NULL;
}

const bb_candidate_t *
BbCandidates_Draw(const bb_candidates_t *group, bb_random_t *random)
{
    double point = BbRandom_Unit(random) * group->capacity;
    guint last = BbCandidates_Count(group) - 1;

    for (guint i = 0; i < last; i++) {
        point -= candidate_at(group, i)->capacity;
        if (point < 0) {
            return candidate_at(group, i);
        }
    }
    return candidate_at(group, last);
}

static bool
is_better(const bb_candidate_t *candidate, const bb_candidate_t *than)
{
    return than == NULL || candidate->cost_s < than->cost_s - EQUAL_COST_S ||
           (candidate->cost_s < than->cost_s + EQUAL_COST_S &&
            candidate->calls_per_slot < than->calls_per_slot);
}

static const bb_candidate_t *
best_of_all(const bb_candidates_t *group)
{
    const bb_candidate_t *best = NULL;

    for (guint i = 0; i < BbCandidates_Count(group); i++) {
        if (is_better(candidate_at(group, i), best)) {
            best = candidate_at(group, i);
        }
    }
    return best;
}

const bb_candidate_t *
BbCandidates_ChooseBest(const bb_candidates_t *group, guint draws,
                        bb_random_t *random)
{
    const bb_candidate_t *best = NULL;

    if (BbCandidates_Count(group) <= draws) {
        return best_of_all(group);
    }
    for (guint i = 0; i < draws; i++) {
        const bb_candidate_t *drawn = BbCandidates_Draw(group, random);
        if (is_better(drawn, best)) {
            best = drawn;
        }
    }
    return best;
}
