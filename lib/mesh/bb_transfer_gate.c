#include "bb_transfer_gate.h"

#include <glib.h>
#include <utlist.h>

/* Fraction of the link for large bodies; the rest is for other calls. */
#define BODY_LINK_SHARE 0.8

/* Limit of the granted bytes, as the time that they take on the link. */
#define GRANT_WINDOW_S 0.1

#define BITS_PER_BYTE 8.0
#define BITS_PER_MBIT 1e6

struct bb_transfer_gate {
    double bytes_per_s;
    double granted_bytes;
    double waiting_bytes;
    bb_transfer_ticket_t *waiting; /* in order of arrival */
};

bb_transfer_gate_t *
BbTransferGate_New(double link_mbps)
{
    bb_transfer_gate_t *gate = g_new0(bb_transfer_gate_t, 1);

    gate->bytes_per_s =
        MAX(link_mbps, 0.1) * BITS_PER_MBIT / BITS_PER_BYTE * BODY_LINK_SHARE;
    return gate;
}

void
BbTransferGate_Free(bb_transfer_gate_t *gate)
{
    g_free(gate);
}

double
BbTransferGate_Wait(const bb_transfer_gate_t *gate)
{
    return (gate->granted_bytes + gate->waiting_bytes) / gate->bytes_per_s;
}

bool
BbTransferGate_HasWaiting(const bb_transfer_gate_t *gate)
{
    return gate->waiting != NULL;
}

static void
grant(bb_transfer_gate_t *gate, bb_transfer_ticket_t *ticket)
{
    ticket->state = BB_TRANSFER_GRANTED;
    gate->granted_bytes += ticket->bytes;
}

static bool
has_capacity(const bb_transfer_gate_t *gate)
{
    return gate->granted_bytes < gate->bytes_per_s * GRANT_WINDOW_S;
}

static bool
can_arrive_in_time(const bb_transfer_gate_t *gate,
                   const bb_transfer_ticket_t *ticket, double start_at)
{
    return start_at + ticket->bytes / gate->bytes_per_s <= ticket->needed_by;
}

bb_transfer_state_t
BbTransferGate_Offer(bb_transfer_gate_t *gate, bb_transfer_ticket_t *ticket,
                     double now)
{
    if (ticket->bytes < BB_TRANSFER_SMALL_BYTES ||
        (gate->waiting == NULL && has_capacity(gate))) {
        grant(gate, ticket);
    }
    else if (!can_arrive_in_time(gate, ticket,
                                 now + BbTransferGate_Wait(gate))) {
        ticket->state = BB_TRANSFER_REFUSED;
    }
    else {
        ticket->state = BB_TRANSFER_WAITING;
        gate->waiting_bytes += ticket->bytes;
        DL_APPEND(gate->waiting, ticket);
    }
    return ticket->state;
}

static void
remove_waiting(bb_transfer_gate_t *gate, bb_transfer_ticket_t *ticket)
{
    DL_DELETE(gate->waiting, ticket);
    gate->waiting_bytes -= ticket->bytes;
}

void
BbTransferGate_Finish(bb_transfer_gate_t *gate, bb_transfer_ticket_t *ticket)
{
    if (ticket->state == BB_TRANSFER_GRANTED) {
        gate->granted_bytes -= ticket->bytes;
    }
    else if (ticket->state == BB_TRANSFER_WAITING) {
        remove_waiting(gate, ticket);
    }
    ticket->state = BB_TRANSFER_NONE;
}

bb_transfer_ticket_t *
BbTransferGate_Next(bb_transfer_gate_t *gate, double now)
{
    bb_transfer_ticket_t *ticket;

    DL_FOREACH (gate->waiting, ticket) {
        if (!can_arrive_in_time(gate, ticket, now)) {
            remove_waiting(gate, ticket);
            ticket->state = BB_TRANSFER_REFUSED;
            return ticket;
        }
    }
    ticket = gate->waiting;
    if (ticket == NULL || !has_capacity(gate)) {
        return NULL;
    }
    remove_waiting(gate, ticket);
    grant(gate, ticket);
    return ticket;
}
