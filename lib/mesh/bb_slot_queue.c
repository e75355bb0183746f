#include "bb_slot_queue.h"

#include <assert.h>
#include <glib.h>
#include <utlist.h>

/* A call of the next lower rank goes first after waiting this much longer. */
#define RANK_AGING_S 0.4

/* Weight of the newest call in the mean service time. */
#define SERVICE_WEIGHT 0.05

/* Part of the mean service time that a late call must still have left. */
#define MIN_RUN_SHARE 0.5

/* A call that would start later than this share of its time left is refused
 * at once: its caller can try elsewhere while there is time. */
#define WAIT_SHARE 0.5

struct bb_slot_queue {
    int slots;
    int running;
    int waiting;
    double service_s;
    bb_slot_ticket_t *tickets; /* waiting, by arrival */
};

bb_slot_queue_t *
BbSlotQueue_New(void)
{
    return g_new0(bb_slot_queue_t, 1);
}

void
BbSlotQueue_Free(bb_slot_queue_t *queue)
{
    g_free(queue);
}

void
BbSlotQueue_SetSlots(bb_slot_queue_t *queue, int slots)
{
    queue->slots = slots;
}

static double
start_by(const bb_slot_queue_t *queue, const bb_slot_ticket_t *ticket)
{
    return ticket->expires_at - queue->service_s * MIN_RUN_SHARE;
}

static bool
is_in_time(const bb_slot_queue_t *queue, const bb_slot_ticket_t *ticket,
           double now)
{
    return now + queue->service_s <= ticket->target_at;
}

static double
order_of(const bb_slot_ticket_t *ticket)
{
    return ticket->arrived_at + ticket->rank * RANK_AGING_S;
}

/* Whether a goes before b. */
static bool
goes_first(const bb_slot_queue_t *queue, const bb_slot_ticket_t *a,
           const bb_slot_ticket_t *b, double now)
{
    bool a_in_time = is_in_time(queue, a, now);

    if (a_in_time != is_in_time(queue, b, now)) {
        return a_in_time;
    }
    return order_of(a) < order_of(b);
}

static double
predict_wait(const bb_slot_queue_t *queue, int ahead)
{
    if (queue->running + ahead < queue->slots) {
        return 0;
    }
    return (ahead + 1) * queue->service_s / MAX(queue->slots, 1);
}

double
BbSlotQueue_Wait(const bb_slot_queue_t *queue)
{
    return predict_wait(queue, queue->waiting);
}

static int
count_ahead(const bb_slot_queue_t *queue, const bb_slot_ticket_t *ticket,
            double now)
{
    int ahead = 0;
    const bb_slot_ticket_t *other;

    DL_FOREACH(queue->tickets, other)
    {
        ahead += goes_first(queue, other, ticket, now);
    }
    return ahead;
}

bb_slot_state_t
BbSlotQueue_Offer(bb_slot_queue_t *queue, bb_slot_ticket_t *ticket, double now)
{
    ticket->arrived_at = now;
    ticket->reason = BB_REASON_NONE;
    if (now > start_by(queue, ticket)) {
        ticket->state = BB_SLOT_REFUSED;
        ticket->reason = BB_REASON_TOO_LATE;
        return ticket->state;
    }
    if (queue->waiting == 0 && queue->running < queue->slots) {
        ticket->state = BB_SLOT_RUNNING;
        ticket->started_at = now;
        queue->running++;
        return ticket->state;
    }
    double wait = predict_wait(queue, count_ahead(queue, ticket, now));
    if (wait > (start_by(queue, ticket) - now) * WAIT_SHARE) {
        ticket->state = BB_SLOT_REFUSED;
        ticket->reason = BB_REASON_QUEUE_FULL;
        return ticket->state;
    }
    ticket->state = BB_SLOT_WAITING;
    queue->waiting++;
    DL_APPEND(queue->tickets, ticket);
    return ticket->state;
}

static void
take_out(bb_slot_queue_t *queue, bb_slot_ticket_t *ticket)
{
    assert(ticket->state == BB_SLOT_WAITING);
    DL_DELETE(queue->tickets, ticket);
    queue->waiting--;
}

void
BbSlotQueue_Finish(bb_slot_queue_t *queue, bb_slot_ticket_t *ticket,
                   bool is_measured, double now)
{
    assert(ticket->state == BB_SLOT_RUNNING);
    queue->running--;
    ticket->state = BB_SLOT_NONE;
    if (!is_measured) {
        return;
    }
    double took_s = now - ticket->started_at;
    if (queue->service_s <= 0) {
        queue->service_s = took_s;
    }
    else {
        queue->service_s += SERVICE_WEIGHT * (took_s - queue->service_s);
    }
}

void
BbSlotQueue_Cancel(bb_slot_queue_t *queue, bb_slot_ticket_t *ticket)
{
    take_out(queue, ticket);
    ticket->state = BB_SLOT_NONE;
}

bb_slot_ticket_t *
BbSlotQueue_Next(bb_slot_queue_t *queue, double now)
{
    bb_slot_ticket_t *ticket, *best = NULL;

    DL_FOREACH(queue->tickets, ticket)
    {
        if (now > start_by(queue, ticket)) {
            take_out(queue, ticket);
            ticket->state = BB_SLOT_REFUSED;
            ticket->reason = BB_REASON_QUEUE_EXPIRED;
            return ticket;
        }
        if (best == NULL || goes_first(queue, ticket, best, now)) {
            best = ticket;
        }
    }
    if (best == NULL || queue->running >= queue->slots) {
        return NULL;
    }
    take_out(queue, best);
    best->state = BB_SLOT_RUNNING;
    best->started_at = now;
    queue->running++;
    return best;
}

bb_slot_ticket_t *
BbSlotQueue_First(const bb_slot_queue_t *queue)
{
    return queue->tickets;
}

int
BbSlotQueue_Running(const bb_slot_queue_t *queue)
{
    return queue->running;
}

int
BbSlotQueue_Waiting(const bb_slot_queue_t *queue)
{
    return queue->waiting;
}

double
BbSlotQueue_ServiceTime(const bb_slot_queue_t *queue)
{
    return queue->service_s;
}
