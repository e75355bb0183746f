/*
 * bb_slot_queue - which forwarded call the target beside this node runs next
 *
 * The target gets at most as many calls as it has slots; the others wait
 * here, where a refusal costs nothing. Calls that can still end within their
 * target latency go first, those with the shorter target latency before
 * others: they are the calls that running requests wait for, with a slot
 * already spent on them. A lower rank gains on a higher one by waiting, so
 * that none starves.
 *
 * A call is refused at once when the queue is too long for it to end within
 * its target latency. One that is late already is worth less than a fresh one
 * and gets slots that would stay empty.
 *
 * Answers the load: more calls than slots for seconds (bursts, slow or lost
 * targets), when a queue that is served in order makes every call late.
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

#include "bb_reason.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
    BB_SLOT_NONE,
    BB_SLOT_WAITING,
    BB_SLOT_RUNNING,
    BB_SLOT_REFUSED,
} bb_slot_state_t;

/* Times are seconds by the clock of now. */
typedef struct bb_slot_ticket {
    const char *class_name;  /* calls that take about equally long */
    int rank;                /* 0 is the most urgent */
    double target_latency_s; /* of the route */
    double target_at;        /* an answer by then is worth most */
    double expires_at;       /* an answer after it is worth nothing */
    void *arg;               /* the owner's */
    /* set here */
    bb_slot_state_t state;
    bb_reason_t reason;
    double arrived_at;
    double started_at;
    double service_s; /* expected time at the target */
    struct bb_slot_ticket *prev, *next;
} bb_slot_ticket_t;

typedef struct bb_slot_queue bb_slot_queue_t;

bb_slot_queue_t *BbSlotQueue_New(void);
void BbSlotQueue_Free(bb_slot_queue_t *queue);

/* 0 slots refuse nothing by themselves; waiting calls keep waiting. */
void BbSlotQueue_SetSlots(bb_slot_queue_t *queue, int slots);

/* Sets the state of the ticket and returns it. */
bb_slot_state_t BbSlotQueue_Offer(bb_slot_queue_t *queue,
                                  bb_slot_ticket_t *ticket, double now);

/* Whether an offer made now would be refused; the ticket stays as it is. */
bool BbSlotQueue_WouldRefuse(const bb_slot_queue_t *queue,
                             const bb_slot_ticket_t *ticket, double now);

/* Ends a running call. is_measured: its time tells how long calls take. */
void BbSlotQueue_Finish(bb_slot_queue_t *queue, bb_slot_ticket_t *ticket,
                        bool is_measured, double now);

/* Takes a waiting call out. */
void BbSlotQueue_Cancel(bb_slot_queue_t *queue, bb_slot_ticket_t *ticket);

/* Next call to start or to refuse, NULL when there is none. */
bb_slot_ticket_t *BbSlotQueue_Next(bb_slot_queue_t *queue, double now);

/* Any waiting call, to refuse all of them; NULL when there is none. */
bb_slot_ticket_t *BbSlotQueue_First(const bb_slot_queue_t *queue);

int BbSlotQueue_Running(const bb_slot_queue_t *queue);
int BbSlotQueue_Waiting(const bb_slot_queue_t *queue);

/* Mean seconds of a call at the target, 0 while not known. A mean that no call
 * confirms fades, so that a target which was slow gets calls again. */
double BbSlotQueue_ServiceTime(const bb_slot_queue_t *queue, double now);

/* The same of a class, or the mean of all while the class is not known. */
double BbSlotQueue_ClassTime(const bb_slot_queue_t *queue, const char *name,
                             double now);

/* Seconds until a call that arrives now would start. */
double BbSlotQueue_Wait(const bb_slot_queue_t *queue, double now);

#ifdef __cplusplus
}
#endif

#endif
