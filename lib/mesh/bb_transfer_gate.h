/*
 * bb_transfer_gate - schedules large request bodies on this VM's inbound link
 *
 * Bodies that are received concurrently share the link: each takes as long as
 * all of them together, and other calls to this node queue behind their bytes.
 * The node therefore requests a body only when the transfers in progress are
 * nearly complete, and refuses a call whose body cannot arrive in time.
 *
 * Intended for loads with uploads that saturate the links of their targets.
 *
 * USE
 *   switch (BbTransferGate_Offer(gate, &ticket, now)) ...
 *   BbTransferGate_Finish() when the body is complete or its sender is gone.
 *   After it, and on a timer:
 *   while ((ticket = BbTransferGate_Next(gate, now)) != NULL) {
 *       request the body if its state is BB_TRANSFER_GRANTED, else refuse
 *   }
 *
 * LIMITS
 *   Bodies below BB_TRANSFER_SMALL_BYTES are granted at once.
 */
#ifndef BB_TRANSFER_GATE_H
#define BB_TRANSFER_GATE_H

#include <stdbool.h>

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BB_TRANSFER_SMALL_BYTES 16384

typedef enum {
    BB_TRANSFER_NONE,
    BB_TRANSFER_WAITING,
    BB_TRANSFER_GRANTED,
    BB_TRANSFER_REFUSED,
} bb_transfer_state_t;

/* Times are in seconds, on the clock of the now arguments. */
typedef struct bb_transfer_ticket {
    double bytes;     /* size of the body */
    double needed_by; /* latest time at which the body is useful */
    void *arg;        /* for the owner; not used here */
    bb_transfer_state_t state;
    struct bb_transfer_ticket *prev, *next;
} bb_transfer_ticket_t;

typedef struct bb_transfer_gate bb_transfer_gate_t;

/* link_mbps: bandwidth of the link in Mbit/s. */
bb_transfer_gate_t *BbTransferGate_New(double link_mbps);
void BbTransferGate_Free(bb_transfer_gate_t *gate);

/* Grants, queues or refuses the transfer; returns the new state. */
bb_transfer_state_t BbTransferGate_Offer(bb_transfer_gate_t *gate,
                                         bb_transfer_ticket_t *ticket,
                                         double now);

/* Ends a granted transfer or removes a waiting one. */
void BbTransferGate_Finish(bb_transfer_gate_t *gate,
                           bb_transfer_ticket_t *ticket);

/* Takes the next ticket that is granted or refused now out of the queue; NULL
 * if there is none. */
bb_transfer_ticket_t *BbTransferGate_Next(bb_transfer_gate_t *gate,
                                          double now);

/* Expected seconds until all granted and waiting bodies have arrived. */
double BbTransferGate_Wait(const bb_transfer_gate_t *gate);

/* Whether a body is waiting to be granted. */
bool BbTransferGate_HasWaiting(const bb_transfer_gate_t *gate);

#ifdef __cplusplus
}
#endif

#endif
