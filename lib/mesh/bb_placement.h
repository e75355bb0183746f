/*
 * bb_placement - which node gets an attempt of a call
 *
 * The predicted time of an attempt is the mean time of a call at the target
 * plus the wait for a slot, by the load that the node there reported last,
 * corrected by own calls since. Reports are old where targets are many, and
 * all nodes would agree on the same best one: so a call takes the best of a
 * few targets that are drawn at random, by their capacity. A target in the own
 * data centre is taken while its predicted time stays within a share of the
 * route's target latency, since bytes between data centres are dear. Past that
 * share a node anywhere is taken, so that a data centre with few targets
 * spills what it cannot serve in time. Each refusal for want of room halves
 * the share.
 *
 * A node that has just refused a class of calls for want of room is passed
 * over for that class for FULL_S: its answer holds for calls that follow at
 * once, and asking all nodes again for each call costs bytes and serves none.
 *
 * Targets that fail are found by their answers: a high share of failures
 * adds to the predicted time. A node that was lost gets calls as a last resort
 * until a probe (bb_probe) or an answer shows that it is there. One that is
 * known by its record only gets calls while more such nodes are known than
 * others, as after a start of this one; it is probed too. A call that a live
 * node has just refused for want of room is refused, not tried at a node that
 * is likely dead.
 *
 * Answers the load: data centres with unequal targets for nearly equal
 * traffic; targets that differ in speed; hundreds of targets of a service, of
 * which a node hears seldom; grey, slow, new and lost targets.
 */
#ifndef BB_PLACEMENT_H
#define BB_PLACEMENT_H

#include "bb_fleet.h"
#include "bb_random.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_PLACEMENT_MAX_TRIED 16

typedef struct {
    const char *service;
    const char *class_name;  /* of the call; may be NULL */
    const char *data_centre; /* of the choosing node */
    bool has_large_body;
    double target_latency_s; /* 0 when the route has none */
    double spill_share;      /* of it, see above */
    int refusals;            /* of this call, for want of room */
    const bb_endpoint_t *tried[BB_PLACEMENT_MAX_TRIED];
    size_t tried_count;
} bb_placement_request_t;

/* NULL when no node beside a target of the service is left. *is_full says
 * whether one was passed over for want of room only; it may be NULL. */
bb_endpoint_t *BbPlacement_Choose(const bb_fleet_t *fleet,
                                  const bb_placement_request_t *request,
                                  bb_random_t *random, double now,
                                  bool *is_full);

/* The node has no room for calls of this class now. */
void BbPlacement_SetFull(bb_endpoint_t *endpoint, const char *class_name,
                         double now);

/* Predicted seconds until the end of an attempt begun now, without the time
 * that a large body takes. */
double BbPlacement_Predict(const bb_endpoint_t *endpoint, double now);

typedef enum {
    BB_ATTEMPT_SERVED,  /* answered by the target, also with an error of the
                           request itself */
    BB_ATTEMPT_REFUSED, /* by the node beside the target, not by the target */
    BB_ATTEMPT_FAILED,  /* the target refused or failed */
    BB_ATTEMPT_LOST,    /* the node beside the target cannot be reached */
    BB_ATTEMPT_DROPPED, /* says nothing about the target */
} bb_attempt_outcome_t;

void BbPlacement_Started(bb_endpoint_t *endpoint);

/* load may be NULL. Exactly once for each Started. */
void BbPlacement_Ended(bb_endpoint_t *endpoint, bb_attempt_outcome_t outcome,
                       const bb_load_t *load, double now);

/* The node is there. */
void BbPlacement_Trust(bb_endpoint_t *endpoint);

/* Whether the node is doubted, was passed over, and is to be asked now. */
bool BbPlacement_IsProbeDue(const bb_endpoint_t *endpoint, double now);

/* It has not answered; the next probe is due later. */
void BbPlacement_ProbeFailed(bb_endpoint_t *endpoint, double now);

/* The node says that it takes no calls for the service now. */
void BbPlacement_Avoid(bb_endpoint_t *endpoint, double seconds, double now);

#ifdef __cplusplus
}
#endif

#endif
