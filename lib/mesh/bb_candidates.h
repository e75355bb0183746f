/*
 * bb_candidates - nodes that may get a call, and the choice among them
 *
 * All nodes of a data centre would choose the same best target from reports
 * that are already old. The choice is therefore the best of a few candidates
 * that are drawn at random, weighted by capacity.
 *
 * USE
 *   bb_candidates_t group = {0}; BbCandidates_Add() for each node, then
 *   BbCandidates_ChooseBest(); BbCandidates_Clear() at the end.
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
    double cost_s;         /* predicted time of the call, with the penalty for
                              failures and the transfer of a large body */
    double calls_per_slot; /* load of the target */
    double capacity;       /* calls per second */
} bb_candidate_t;

typedef struct {
    GArray *items;   /* of bb_candidate_t; NULL while empty */
    double capacity; /* sum over the items */
} bb_candidates_t;

/* The candidate is copied. */
void BbCandidates_Add(bb_candidates_t *group, const bb_candidate_t *candidate);
void BbCandidates_Merge(bb_candidates_t *into, const bb_candidates_t *from);
void BbCandidates_Clear(bb_candidates_t *group);
guint BbCandidates_Count(const bb_candidates_t *group);

/* Returns the candidate that is this node itself, or NULL. */
const bb_candidate_t *BbCandidates_FindLocal(const bb_candidates_t *group);

/* Draws one at random, weighted by capacity; the group must not be empty. */
const bb_candidate_t *BbCandidates_Draw(const bb_candidates_t *group,
                                        bb_random_t *random);

/* Returns the best of some random draws, or the best of all when the group has
 * no more candidates than that; NULL when the group is empty. */
const bb_candidate_t *BbCandidates_ChooseBest(const bb_candidates_t *group,
                                              guint draws,
                                              bb_random_t *random);

#ifdef __cplusplus
}
#endif

#endif
