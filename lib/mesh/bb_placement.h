/*
 * bb_placement - chooses the node that gets an attempt of a call
 *
 * The predicted time of an attempt is the mean service time at the target plus
 * the wait for a slot. The wait follows from the last load report of the node
 * beside the target, corrected by this node's own calls since. With many
 * targets the reports are old, and all nodes would choose the same best
 * target. A call therefore takes the best of a few targets that are drawn at
 * random, weighted by capacity.
 *
 * A target in the own data centre is taken while its predicted time is within
 * spill_share of the route's target latency, because traffic between data
 * centres is expensive. Above that limit a node in any data centre is taken,
 * so that a data centre with few targets sends away the calls that it cannot
 * serve in time. Each refusal of the call for lack of capacity halves the
 * limit.
 *
 * A node that has refused a call for lack of capacity is skipped for calls of
 * the same class for a moment (FULL_S in bb_placement.c): it would refuse the
 * next ones too, and asking all nodes again for each call costs bytes and
 * serves none.
 *
 * A large response waits for the outbound link of the VM that it comes from,
 * and takes time on it. Both are added to the predicted time, for other nodes:
 * the response of the target on the own VM has to pass the own link only once,
 * so that target comes first while it has a free slot and its link is free.
 * With is_paced, the calls of all nodes in flight to a target without a report
 * are bounded too: a new target would look idle to every node until its first
 * response. Each node has a share of the target's slots, which doubles each
 * half second; below one call it is the probability that the node may send
 * one. The bound does not apply while most targets of the service have no
 * report, as after a restart of this node or of all targets.
 *
 * Failing targets are detected by their responses: a high share of failed
 * calls adds to the predicted time. An unreachable node gets calls as a last
 * resort only, until a probe (bb_probe) or a response shows that it is
 * reachable. A node of which only the record is known, as all are after a
 * restart of this node, gets calls normally while such nodes outnumber the
 * reachable ones; it is probed too. A call that a reachable node has just
 * refused for lack of capacity is refused, not sent to a node that is probably
 * down.
 *
 * Designed for data centres with unequal numbers of targets for nearly equal
 * traffic, targets of different speed, services with hundreds of targets whose
 * reports arrive seldom, and targets that fail partly, are slow, new or lost.
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
    const char *class_name;  /* class of the call; may be NULL */
    const char *data_centre; /* of this node */
    bool has_large_body;
    double response_bytes;   /* expected size if it is large, else 0 */
    double target_latency_s; /* 0 when the route has none */
    double spill_share;      /* share of target_latency_s, see above */
    int refusals;            /* of this call so far, for lack of capacity */
    bool is_paced;           /* few calls to targets without a report */
    const bb_endpoint_t *tried[BB_PLACEMENT_MAX_TRIED];
    size_t tried_count;
    /* Whether a roll-out lets the call go to this node; NULL without one.
     * route is class_name. */
    bool (*may_place)(const bb_endpoint_t *endpoint, const char *route,
                      void *arg);
    void *may_place_arg;
} bb_placement_request_t;

/* Returns NULL when no node is left that may get the call. Sets *is_full when
 * a node was skipped only for lack of capacity; is_full may be NULL. */
bb_endpoint_t *BbPlacement_Choose(const bb_fleet_t *fleet,
                                  const bb_placement_request_t *request,
                                  bb_random_t *random, double now,
                                  bool *is_full);

/* Marks the node as out of capacity for calls of this class, for the time
 * FULL_S in bb_placement.c. */
void BbPlacement_SetFull(bb_endpoint_t *endpoint, const char *class_name,
                         double now);

/* Predicted seconds until the end of an attempt that starts now, without the
 * transfer time of a large body or response. */
double BbPlacement_Predict(const bb_endpoint_t *endpoint, double now);

/* Whether the target probably has free slots, with a margin for calls of other
 * nodes. Sets *predicted_s to the predicted seconds of an attempt there. */
bool BbPlacement_HasRoom(const bb_fleet_t *fleet,
                         const bb_endpoint_t *endpoint,
                         const char *data_centre, double now,
                         double *predicted_s);

typedef enum {
    BB_ATTEMPT_SERVED,      /* the target responded, also with an error that
                               the request itself caused */
    BB_ATTEMPT_REFUSED,     /* by the node beside the target, not the target */
    BB_ATTEMPT_FAILED,      /* the target refused or failed */
    BB_ATTEMPT_UNREACHABLE, /* the node beside the target is unreachable */
    BB_ATTEMPT_DROPPED,     /* ended without information on the target */
} bb_attempt_outcome_t;

/* Counts an attempt at the node as in flight. */
void BbPlacement_BeginAttempt(bb_endpoint_t *endpoint);

/* Call it exactly once for each BbPlacement_BeginAttempt(). load is the load
 * report that came with the response, or NULL. */
void BbPlacement_EndAttempt(bb_endpoint_t *endpoint,
                            bb_attempt_outcome_t outcome,
                            const bb_load_t *load, double now);

/* Marks the node as reachable. */
void BbPlacement_SetReachable(bb_endpoint_t *endpoint);

/* Whether the node is unverified, a probe of it was requested, and the time
 * of the probe has come. */
bool BbPlacement_IsProbeDue(const bb_endpoint_t *endpoint, double now);

/* Records a probe without response and schedules the next one with backoff. */
void BbPlacement_ProbeFailed(bb_endpoint_t *endpoint, double now);

/* Makes the node a last resort for some seconds, because it has announced that
 * it takes no calls for the service now. */
void BbPlacement_Avoid(bb_endpoint_t *endpoint, double seconds, double now);

#ifdef __cplusplus
}
#endif

#endif
