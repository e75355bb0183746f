/*
 * bb_balancer - load balancer of the caller-side node
 *
 * Chooses a candidate for each attempt of a call. A candidate is a node beside
 * a target, identified by its caller address. Local candidates, which are
 * those of the own data centre, come from membership; remote candidates come
 * from the summaries that the gateways of other data centres send.
 *
 * The default policy takes the less loaded of two random candidates. The score
 * of a candidate is the number of calls that this node has in flight to it,
 * plus the load in its last response, plus a penalty for recent failures.
 * Reported load and failures decay, since a candidate that gets no calls sends
 * no newer values. For a ramp time after a cold start a candidate is chosen
 * less often.
 *
 * Spill is the fraction of calls sent to other data centres. It grows with
 * each refusal by a local candidate and shrinks slowly after a time without
 * refusals. Switching all calls at once would oscillate: the local targets
 * would become idle, get all calls back, and be overloaded again.
 *
 * USE
 *   Call BbBalancer_Choose() for each attempt, then BbBalancer_BeginAttempt()
 *   when it starts and BbBalancer_EndAttempt() exactly once when it has ended.
 */
#ifndef BB_BALANCER_H
#define BB_BALANCER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bb_member.h"
#include "bb_random.h"
#include "bb_reason.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_BALANCER_RAMP_MS 10000
/* Older summaries are not used. */
#define BB_BALANCER_SUMMARY_MAX_AGE_MS 30000
/* Addresses per service in a summary. */
#define BB_BALANCER_MAX_SUMMARY_ADDRESSES 4
#define BB_BALANCER_MAX_TRIED 8

typedef struct bb_candidate bb_candidate_t;

/* Input of a policy for one candidate. */
typedef struct {
    const char *address;
    double score; /* load plus penalty for failures; lower is better */
    double share; /* fraction of the normal call rate, below 1 in the ramp */
    bb_candidate_t *handle; /* not used by policies */
} bb_candidate_view_t;

typedef struct {
    const char *name;
    /* Returns the index of the chosen view; count is at least 1. key is
     * bb_choice_request_t.key, which only rendezvous hashing uses. *cursor is
     * the position of round robin, kept for each service. */
    size_t (*choose)(const bb_candidate_view_t *views, size_t count,
                     const char *key, uint64_t *cursor, bb_random_t *random);
} bb_balancer_policy_t;

const bb_balancer_policy_t *BbBalancer_LeastOfTwoPolicy(void);

/* Baseline for comparisons: each candidate in turn, regardless of load. */
const bb_balancer_policy_t *BbBalancer_RoundRobinPolicy(void);

/* Rendezvous hashing: the candidate with the highest hash of key and address.
 * Used for every call with a key, whatever the policy of the options. */
const bb_balancer_policy_t *BbBalancer_RendezvousPolicy(void);

typedef struct {
    const char *data_centre;            /* of this node; copied */
    const bb_balancer_policy_t *policy; /* NULL: least of two */
    bb_random_t *random;                /* not owned */
    int ramp_ms;                        /* 0: BB_BALANCER_RAMP_MS */
} bb_balancer_options_t;

typedef struct bb_balancer bb_balancer_t;

bb_balancer_t *BbBalancer_New(const bb_balancer_options_t *options);

void BbBalancer_Free(bb_balancer_t *balancer);

/*
 * Adds or updates a candidate from a member record of the own data centre.
 * Members that are dead or have left are removed. A member that loses its
 * target is still chosen for its keys, because its node has the records of the
 * keys that have run. A new node id or a change to BB_TARGET_READY restarts
 * the ramp.
 */
void BbBalancer_SetMember(bb_balancer_t *balancer, const bb_member_t *member,
                          int64_t now_ms);

void BbBalancer_Remove(bb_balancer_t *balancer, const char *address);

/* Replaces the remote candidates of one service in one other data centre. live
 * is the number of live targets there; with 0 the addresses are ignored. */
void BbBalancer_SetSummary(bb_balancer_t *balancer, const char *data_centre,
                           const char *service, int live,
                           const char *const *addresses, size_t count,
                           int64_t now_ms);

/*
 * Sets the result of the health endpoint for a candidate. While more than half
 * of a service's local candidates look unhealthy, health is ignored: a fault
 * of the endpoint or of the path to it is then more likely than one of the
 * targets.
 */
void BbBalancer_SetHealth(bb_balancer_t *balancer, const char *address,
                          bool healthy);

typedef struct {
    const char *service;
    const char *key;          /* key of a call that is not idempotent, in a
                                 pool with once = "window"; else NULL */
    bool spill;               /* from the pool row: remote is allowed */
    const char *const *tried; /* addresses that this call has tried */
    size_t tried_count;
} bb_choice_request_t;

typedef struct {
    char address[BB_ADDRESS_TEXT + 1];
    char data_centre[BB_DATA_CENTRE_TEXT + 1];
    bool spilled; /* the candidate is remote */
} bb_choice_t;

/*
 * Chooses a candidate that was not tried. For a call with a key, the key
 * determines the order in which the candidates are tried; draining candidates
 * are included, because they have the records of the keys that have run.
 * Returns 0, or BB_ERR_NOT_FOUND if there is no candidate.
 *
 * The order of a key covers the own data centre only, and a joining node
 * changes it for a part of the keys. Pools whose callers repeat calls through
 * other data centres, or while nodes join, need once = "claim".
 */
int BbBalancer_Choose(bb_balancer_t *balancer,
                      const bb_choice_request_t *request, int64_t now_ms,
                      bb_choice_t *out);

/* Counts a call in flight to the candidate. */
void BbBalancer_BeginAttempt(bb_balancer_t *balancer, const char *address);

typedef enum {
    BB_BALANCER_SERVED,  /* answered by the target */
    BB_BALANCER_REFUSED, /* refused for lack of slots or time; raises spill */
    BB_BALANCER_FAILED,  /* failed connect, lost connection, timeout, stall, or
                          the target or its node cannot take calls */
    BB_BALANCER_INCONCLUSIVE, /* ended for a reason unrelated to the target */
} bb_balancer_result_t;

/* Result for a call that the target-side node answered with this reason. */
bb_balancer_result_t BbBalancer_ClassifyRefusal(bb_reason_t reason);

/* Ends a call in flight. load is the value of the Burdock-Load header field,
 * negative if the response had none. */
void BbBalancer_EndAttempt(bb_balancer_t *balancer, const char *address,
                           bb_balancer_result_t result, double load,
                           int64_t now_ms);

/* Number of local candidates of a service that are ready and not draining. */
size_t BbBalancer_LocalCount(const bb_balancer_t *balancer,
                             const char *service);

/* Fraction of calls sent to other data centres at present, 0 to 1. */
double BbBalancer_SpillFraction(const bb_balancer_t *balancer,
                                const char *service, int64_t now_ms);

/* State of one candidate at the time of the report. */
typedef struct {
    const char *address;
    const char *data_centre;
    const char
        *unusable_reason; /* why it would not be chosen, NULL if usable */
    int in_flight;
    double score;
    double share; /* below 1 during the ramp */
} bb_candidate_report_t;

typedef void (*bb_candidate_report_cb_t)(const bb_candidate_report_t *entry,
                                         void *arg);

/* Calls report for each candidate of a service, local candidates first. */
void BbBalancer_Report(const bb_balancer_t *balancer, const char *service,
                       int64_t now_ms, bb_candidate_report_cb_t report,
                       void *arg);

/* Calls list for each known service; live is its BbBalancer_LocalCount(). */
void BbBalancer_ListServices(const bb_balancer_t *balancer,
                             void (*list)(const char *service, size_t live,
                                          void *arg),
                             void *arg);

#ifdef __cplusplus
}
#endif

#endif
