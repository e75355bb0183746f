/*
 * bb_candidates - nodes that may have one call, and the choice among them
 *
 * Nodes of a data centre hear of each target at different times and would all
 * agree on the same best one. The choice is therefore the best of a few that
 * are drawn at random, by their capacity.
 *
 * USE
 *   bb_candidates_t group = {0}; BbCandidates_Add() for each node, then
 *   BbCandidates_BestOfDrawn(); BbCandidates_Clear() at the end.
 */
#ifndef BB_CANDIDATES_H
#define BB_CANDIDATES_H

#include "bb_fleet.h"
#include "bb_random.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    bb_endpoint_t *endpoint;
    double cost;     /* predicted seconds */
    double fullness; /* calls per slot */
    double capacity; /* calls a second */
} bb_candidate_t;

typedef struct {
    GArray *items; /* of bb_candidate_t; NULL while empty */
    double capacity;
} bb_candidates_t;

/* The candidate is copied. */
void BbCandidates_Add(bb_candidates_t *group, const bb_candidate_t *candidate);
void BbCandidates_Merge(bb_candidates_t *into, const bb_candidates_t *from);
void BbCandidates_Clear(bb_candidates_t *group);
guint BbCandidates_Count(const bb_candidates_t *group);

/* One at random, by capacity; the group is not empty. */
const bb_candidate_t *BbCandidates_Draw(const bb_candidates_t *group,
                                        bb_random_t *random);

/* The best of some draws, or of all in a group that is not larger; NULL when
 * the group is empty. */
const bb_candidate_t *BbCandidates_BestOfDrawn(const bb_candidates_t *group,
                                               guint draws,
                                               bb_random_t *random);

#ifdef __cplusplus
}
#endif

#endif
