/*
 * bb_slot_queue - chooses the forwarded call that the local target runs next
 *
 * The target gets at most as many calls as it has slots; the others wait
 * here, where a refusal costs no work at the target. Calls that can still end
 * within their target latency go first, a shorter target latency before a
 * longer one: the short ones are the nested calls for which requests wait that
 * already hold a slot. Waiting raises the priority of a lower rank, so that no
 * call starves.
 *
 * A call is refused at once when the queue is too long for it to end within
 * its target latency. A call that is already late is worth less than a new one
 * and only gets slots that would stay empty.
 *
 * Designed for more calls than slots for seconds (bursts, slow or lost
 * targets), when a first-in first-out queue makes every call late.
 *
 * USE
 *   switch (BbSlotQueue_Offer(queue, &ticket, now)) ...
 *   After Offer, Finish, Cancel, SetSlots and at each timer:
 *   while ((ticket = BbSlotQueue_Next(queue, now)) != NULL) {
 *       start it when its state is BB_SLOT_RUNNING, else refuse it
 *   }
 */
#ifndef BB_SLOT_QUEUE_H
#define BB_SLOT_QUEUE_H

#include <stdbool.h>

#include "bb_fair_share.h"
#include "bb_reason.h"
#include "bb_reserve.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
    BB_SLOT_NONE,
    BB_SLOT_WAITING,
    BB_SLOT_RUNNING,
    BB_SLOT_REFUSED,
} bb_slot_state_t;

/* Times are in seconds, on the clock of the now arguments. */
typedef struct bb_slot_ticket {
    const char *class_name;  /* class of calls with similar duration */
    int rank;                /* 0 is the most urgent */
    const char *account;     /* client account, or NULL */
    bool is_nested;          /* a run elsewhere waits for it */
    double parent_age_s;     /* of that run, since its call arrived */
    double target_latency_s; /* of the route */
    double due_at;           /* end of the target latency */
    double expires_at;       /* a response after that is useless */
    void *arg;               /* for the owner */
    /* set by the queue */
    bb_slot_state_t state;
    bb_reason_t reason;
    double arrived_at;
    double started_at;
    double service_s;     /* expected time at the target */
    double share_delay_s; /* for an account above its fair share */
    struct bb_slot_ticket *prev, *next;
} bb_slot_ticket_t;

typedef struct bb_slot_queue bb_slot_queue_t;

bb_slot_queue_t *BbSlotQueue_New(void);
void BbSlotQueue_Free(bb_slot_queue_t *queue);

/* With 0 slots no call is refused for that alone; waiting calls keep waiting.
 */
void BbSlotQueue_SetSlots(bb_slot_queue_t *queue, int slots);

/* Keeps slots free for urgent calls. The reserve is borrowed; NULL, the
 * default, keeps none. Set it before the first offer. */
void BbSlotQueue_SetReserve(bb_slot_queue_t *queue, bb_reserve_t *reserve);

/* Lets accounts of one rank share the slots fairly while calls wait. The
 * shares are borrowed; NULL, the default, ignores accounts. */
void BbSlotQueue_SetFairShare(bb_slot_queue_t *queue, bb_fair_share_t *share);

/* Sets the state of the ticket and returns it. */
bb_slot_state_t BbSlotQueue_Offer(bb_slot_queue_t *queue,
                                  bb_slot_ticket_t *ticket, double now);

/* Whether an offer made now would be refused; does not change the ticket. */
bool BbSlotQueue_WouldRefuse(const bb_slot_queue_t *queue,
                             const bb_slot_ticket_t *ticket, double now);

/* Ends a running call; is_measured: its duration counts for the mean times. */
void BbSlotQueue_Finish(bb_slot_queue_t *queue, bb_slot_ticket_t *ticket,
                        bool is_measured, double now);

/* Removes a waiting call. */
void BbSlotQueue_Cancel(bb_slot_queue_t *queue, bb_slot_ticket_t *ticket);

/* Returns the next call to start or to refuse, NULL when there is none. */
bb_slot_ticket_t *BbSlotQueue_Next(bb_slot_queue_t *queue, double now);

/* Returns the waiting call that arrived first, NULL when there is none. */
bb_slot_ticket_t *BbSlotQueue_FirstWaiting(const bb_slot_queue_t *queue);

int BbSlotQueue_Running(const bb_slot_queue_t *queue);
int BbSlotQueue_Waiting(const bb_slot_queue_t *queue);

/* Mean seconds of a call at the target, 0 while not known. Without new calls
 * the mean decays, so that a target that was slow gets calls again. */
double BbSlotQueue_ServiceTime(const bb_slot_queue_t *queue, double now);

/* Expected mean seconds of the calls that run and wait now, for load reports
 * while slots are short; ServiceTime() while none waits or all are of one
 * class. The mean of the calls that ended lately would be too low where short
 * urgent calls go first: the target would look fast while long calls fill its
 * queue.
 */
double BbSlotQueue_MixTime(const bb_slot_queue_t *queue, double now);

/* The mean of a class, or that of all calls while the class is not known. */
double BbSlotQueue_ClassTime(const bb_slot_queue_t *queue, const char *name,
                             double now);

/* Seconds until the calls that wait now before such a call have started. */
double BbSlotQueue_PredictTicketWait(const bb_slot_queue_t *queue,
                                     const bb_slot_ticket_t *ticket,
                                     double now);
/* How long work takes on the target's hardware at this moment, 100 being
 * normal; see bb_target_load.h. */
void BbSlotQueue_SetWorkPercent(bb_slot_queue_t *queue, double percent,
                                double now);

/* The mean of a class without decay, 0 if it was not measured for some
 * seconds. */
double BbSlotQueue_MeasuredTime(const bb_slot_queue_t *queue, const char *name,
                                double now);

/* Sets the time of a class. For a target that has just started, whose own
 * mean is unknown or from before: calls would be admitted to wait too long. */
void BbSlotQueue_AssumeTime(bb_slot_queue_t *queue, const char *name,
                            double seconds, double now);

/* Seconds until a call that arrives now would start. */
double BbSlotQueue_PredictWait(const bb_slot_queue_t *queue, double now);

#ifdef __cplusplus
}
#endif

#endif
