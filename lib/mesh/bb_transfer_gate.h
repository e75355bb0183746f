/*
 * bb_transfer_gate - which large body may come in over this VM's link next
 *
 * Bodies that arrive together share the link: each takes as long as all of
 * them, and every other call of this node waits behind their bytes. The node
 * therefore calls for a body only when the ones under way are nearly through,
 * and refuses a call whose body cannot be here in time.
 *
 * Answers the load: uploads that fill the links of the targets that take
 * them.
 *
 * USE
 *   switch (BbTransferGate_Offer(gate, &ticket, now)) ...
 *   BbTransferGate_Finish() when the body is here or its sender has left;
 *   after it, and at a timer:
 *   while ((ticket = BbTransferGate_Next(gate, now)) != NULL) {
 *       call for the body when its state is BB_TRANSFER_GRANTED, else refuse
 *   }
 *
 * LIMITS
 *   Bodies below BB_TRANSFER_SMALL_BYTES are let through at once.
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

/* Times are seconds by the clock of now. */
typedef struct bb_transfer_ticket {
    double bytes;   /* of the body */
    double here_by; /* the body is of no use after it */
    void *arg;      /* the owner's */
    bb_transfer_state_t state;
    struct bb_transfer_ticket *prev, *next;
} bb_transfer_ticket_t;

typedef struct bb_transfer_gate bb_transfer_gate_t;

/* link_mbps: width of the link in Mbit/s. */
bb_transfer_gate_t *BbTransferGate_New(double link_mbps);
void BbTransferGate_Free(bb_transfer_gate_t *gate);

bb_transfer_state_t BbTransferGate_Offer(bb_transfer_gate_t *gate,
                                         bb_transfer_ticket_t *ticket,
                                         double now);

/* Ends a granted transfer or takes a waiting one out. */
void BbTransferGate_Finish(bb_transfer_gate_t *gate,
                           bb_transfer_ticket_t *ticket);

bb_transfer_ticket_t *BbTransferGate_Next(bb_transfer_gate_t *gate,
                                          double now);

/* Seconds until the bodies under way and waiting are here. */
double BbTransferGate_Wait(const bb_transfer_gate_t *gate);

/* Whether a body waits to be called for. */
bool BbTransferGate_HasWaiting(const bb_transfer_gate_t *gate);

#ifdef __cplusplus
}
#endif

#endif
