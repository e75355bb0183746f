/*
 * bb_admission - admission control for the target beside this node
 *
 * Each pool has its own slots and its own queue, so that a pool with slow
 * calls cannot fill the queue of another. The announced slots and connections
 * limit the sum over all pools. A queue is ordered by deadline. A call is
 * refused at once if, by the moving average of its pool's service time, it
 * cannot end before its deadline: running it would use a slot for a response
 * that arrives after its caller has stopped waiting, which makes goodput
 * collapse under overload.
 *
 * USE
 *   Embed a bb_ticket_t in the structure of each call.
 *
 *   switch (BbAdmission_Submit(admission, &call->ticket, &request, now_ms)) {
 *   case BB_ADMIT_RUN:      start it
 *   case BB_ADMIT_QUEUED:   wait for BbAdmission_Next()
 *   case BB_ADMIT_REFUSED:  answer with call->ticket.reason (not-run)
 *   }
 *   Pass each call that was started to BbAdmission_Finish() when it ends.
 *   After BbAdmission_Finish(), BbAdmission_Cancel() and
 *   BbAdmission_SetTarget(), and at the time BbAdmission_NextEvent():
 *
 *   while ((ticket = BbAdmission_Next(admission, now_ms)) != NULL) {
 *       start it when ticket->state == BB_TICKET_RUNNING, else answer with
 *       ticket->reason (not-run)
 *   }
 *
 * LIMITS
 *   A running call uses one slot and one connection. The proxy limits the
 *   idle connections that it keeps for reuse.
 */
#ifndef BB_ADMISSION_H
#define BB_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "bb_member.h"
#include "bb_reason.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
    BB_ADMIT_RUN,
    BB_ADMIT_QUEUED,
    BB_ADMIT_REFUSED,
} bb_admit_t;

typedef enum {
    BB_TICKET_IDLE, /* 0: the ticket is not in use */
    BB_TICKET_QUEUED,
    BB_TICKET_RUNNING,
    BB_TICKET_REFUSED,
} bb_ticket_state_t;

typedef struct bb_admission_pool bb_admission_pool_t;

/* State of one call in admission control. Zero it before the first use, and do
 * not move it while it is queued or running. */
typedef struct bb_ticket {
    bb_ticket_state_t state;
    bb_reason_t reason; /* valid in BB_TICKET_REFUSED */
    void *arg;          /* for the owner of the ticket; not used here */
    int64_t deadline_ms;
    int64_t queued_ms;
    int64_t started_ms;
    bb_admission_pool_t *pool;
    struct bb_ticket *prev, *next; /* in the queue, ordered by deadline */
} bb_ticket_t;

/* Input of a policy for one call. Times are in milliseconds. */
typedef struct {
    int running;          /* running calls of the pool */
    int limit;            /* most running calls of the pool: the smallest of
                             three numbers, which are the slots of its row, the
                             connections of its row, and running plus the free
                             slots of the target */
    int queued;           /* queued calls of the pool */
    int queued_before;    /* queued calls that would go before this one */
    int queue_limit;      /* most queued calls, from the pool row */
    double service_ms;    /* estimated service time; 0 before the first call
                             has ended */
    int64_t remaining_ms; /* until the deadline of the call */
} bb_admission_view_t;

/* Decides about one call; a function returns BB_REASON_NONE to allow it. */
typedef struct {
    const char *name;
    /* Whether the call may run now. BB_REASON_QUEUE_FULL means that no slot
     * is free; the call is then passed to may_queue. */
    bb_reason_t (*may_run)(const bb_admission_view_t *view);
    /* Whether the call may wait in the queue. */
    bb_reason_t (*may_queue)(const bb_admission_view_t *view);
} bb_admission_policy_t;

/* Default: the limits, queues and early refusal described at the top. */
const bb_admission_policy_t *BbAdmission_LimitPolicy(void);

/* Baseline for comparisons: every call runs at once. */
const bb_admission_policy_t *BbAdmission_NoLimitPolicy(void);

typedef struct {
    const bb_admission_policy_t *policy; /* NULL: BbAdmission_LimitPolicy() */
} bb_admission_options_t;

typedef struct {
    const char *pool; /* name; copied for a new pool */
    int slots;        /* from the pool row in the config version of the call,
                         like connections and queue */
    int connections;
    int queue;
    int64_t deadline_ms; /* on the clock of now_ms */
} bb_admission_request_t;

typedef struct bb_admission bb_admission_t;

bb_admission_t *BbAdmission_New(const bb_admission_options_t *options);

/* No ticket may be queued or running. */
void BbAdmission_Free(bb_admission_t *admission);

/* Sets the state and limits that the target announced; see bb_registry.h. */
void BbAdmission_SetTarget(bb_admission_t *admission, bb_target_state_t state,
                           int slots, int connections);

/* Starts the drain of this node: from now on all new and queued calls are
 * refused. */
void BbAdmission_Drain(bb_admission_t *admission);

/*
 * Checks again whether a call that was admitted earlier may be sent to the
 * target, for use after a wait between admission and sending, such as the wait
 * for a claim. Returns BB_REASON_NONE, or the reason why no call may start:
 * this node drains, or the target is absent, starting or draining.
 */
bb_reason_t BbAdmission_CheckStart(const bb_admission_t *admission);

bb_admit_t BbAdmission_Submit(bb_admission_t *admission, bb_ticket_t *ticket,
                              const bb_admission_request_t *request,
                              int64_t now_ms);

/*
 * Ends a running call and frees its slot. served is false if the target did
 * not complete the call. The duration of such a call may raise the estimate of
 * the service time but not lower it: a failed connect is short, a call that
 * was cut off after a long time is not.
 */
void BbAdmission_Finish(bb_admission_t *admission, bb_ticket_t *ticket,
                        bool served, int64_t now_ms);

/*
 * Removes a queued call whose caller has disconnected. Returns true if it was
 * still queued, so that the call is known not to have run. A running call is
 * not changed and ends with BbAdmission_Finish().
 */
bool BbAdmission_Cancel(bb_admission_t *admission, bb_ticket_t *ticket);

/* Takes the next call that must be started or refused now out of the queues.
 * Returns NULL if there is none. */
bb_ticket_t *BbAdmission_Next(bb_admission_t *admission, int64_t now_ms);

/* Time at which the next queued call expires, -1 if no call is queued. */
int64_t BbAdmission_NextEvent(const bb_admission_t *admission, int64_t now_ms);

/* Sums over all pools; together they are the load reported in responses. */
int BbAdmission_RunningCount(const bb_admission_t *admission);
int BbAdmission_QueuedCount(const bb_admission_t *admission);

/* Estimated service time of a pool in ms, 0 if not known. */
double BbAdmission_ServiceEstimate(const bb_admission_t *admission,
                                   const char *pool, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
