#include "bb_slot_queue.h"

#include <assert.h>
#include <glib.h>
#include <math.h>
#include <utlist.h>

#include "bb_target_load.h"

/* A call goes before one of the next more urgent rank after waiting this
 * much longer. */
#define RANK_AGING_S 0.4

/* Weight of the target latency in the order of calls: with 2, a call with a
 * target latency of L goes before one with 2 L that arrived less than 2 L
 * earlier. */
#define LATENCY_WEIGHT 2.0

/* Weight of the newest call in the moving averages. */
#define SERVICE_WEIGHT 0.05

/* After MEAN_FRESH_S without new calls a mean decays with this time constant:
 * otherwise a mean that makes the queue refuse all calls would never be
 * corrected. */
#define MEAN_FRESH_S 1.0
#define MEAN_DECAY_S 2.0

/* An older mean of a class is not reported to other nodes. */
#define MEASURED_MAX_AGE_S 10.0

/* Moving average of the service time of calls. */
typedef struct {
    double mean_s;
    double measured_at;
} service_mean_t;

/* Expected times are multiplied by the margin to decide on admission, because
 * half of the calls take longer than the mean. A call that waits already is
 * checked without extra margin: refusing it after a wait is no use to its
 * caller. */
#define ADMISSION_MARGIN 1.3
#define WAITING_MARGIN 1.0

/* A late call may wait while the predicted wait is not longer than this. */
#define MAX_LATE_WAIT_S 0.1

struct bb_slot_queue {
    int slots;
    int running;
    int waiting;
    service_mean_t all;
    bb_work_factor_t work_factor;
    GHashTable *classes;       /* name to service_mean_t */
    bb_slot_ticket_t *tickets; /* waiting calls, by arrival */
};

bb_slot_queue_t *
BbSlotQueue_New(void)
{
    bb_slot_queue_t *queue = g_new0(bb_slot_queue_t, 1);

    queue->classes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return queue;
}

void
BbSlotQueue_Free(bb_slot_queue_t *queue)
{
    g_hash_table_destroy(queue->classes);
    g_free(queue);
}

void
BbSlotQueue_SetSlots(bb_slot_queue_t *queue, int slots)
{
    queue->slots = slots;
}

/* Weight of a mean by its age, 0 to 1. */
static double
mean_weight(const service_mean_t *mean, double now)
{
    double age = now - mean->measured_at - MEAN_FRESH_S;

    return age > 0 ? exp(-age / MEAN_DECAY_S) : 1.0;
}

static double
current_mean(const service_mean_t *mean, double now)
{
    return mean->mean_s * mean_weight(mean, now);
}

/* The mean, corrected by what the target reports of its hardware. */
static double
predicted_mean(const bb_slot_queue_t *queue, const service_mean_t *mean,
               double now)
{
    return current_mean(mean, now) *
           BbWorkFactor_Scale(&queue->work_factor, now);
}

void
BbSlotQueue_SetWorkPercent(bb_slot_queue_t *queue, double percent, double now)
{
    BbWorkFactor_Add(&queue->work_factor, percent, now);
}

double
BbSlotQueue_ClassTime(const bb_slot_queue_t *queue, const char *name,
                      double now)
{
    const service_mean_t *mean =
        name != NULL ? g_hash_table_lookup(queue->classes, name) : NULL;
    return predicted_mean(queue, mean != NULL ? mean : &queue->all, now);
}

double
BbSlotQueue_MeasuredTime(const bb_slot_queue_t *queue, const char *name,
                         double now)
{
    const service_mean_t *mean =
        name != NULL ? g_hash_table_lookup(queue->classes, name) : NULL;

    return mean != NULL && now - mean->measured_at <= MEASURED_MAX_AGE_S
               ? mean->mean_s
               : 0;
}

static double
latest_start(const bb_slot_ticket_t *ticket)
{
    return ticket->expires_at - ticket->service_s;
}

static bool
is_in_time(const bb_slot_ticket_t *ticket, double start_at, double margin)
{
    return start_at + ticket->service_s * margin <= ticket->due_at;
}

static double
queue_order(const bb_slot_ticket_t *ticket)
{
    return ticket->arrived_at + ticket->target_latency_s * LATENCY_WEIGHT +
           ticket->rank * RANK_AGING_S;
}

/* Whether a goes before b. */
static bool
precedes(const bb_slot_ticket_t *a, const bb_slot_ticket_t *b, double now)
{
    bool a_in_time = is_in_time(a, now, WAITING_MARGIN);

    if (a_in_time != is_in_time(b, now, WAITING_MARGIN)) {
        return a_in_time;
    }
    return queue_order(a) < queue_order(b);
}

/* Seconds until a slot is free behind an amount of waiting work. */
static double
predict_wait(const bb_slot_queue_t *queue, double work_s, double now)
{
    if (queue->running < queue->slots && work_s <= 0) {
        return 0;
    }
    return (work_s + predicted_mean(queue, &queue->all, now)) /
           MAX(queue->slots, 1);
}

static double
work_ahead(const bb_slot_queue_t *queue, const bb_slot_ticket_t *ticket,
           double now)
{
    double work_s = 0;
    const bb_slot_ticket_t *other;

    DL_FOREACH (queue->tickets, other) {
        if (ticket == NULL || precedes(other, ticket, now)) {
            work_s += other->service_s;
        }
    }
    return work_s;
}

double
BbSlotQueue_PredictWait(const bb_slot_queue_t *queue, double now)
{
    return predict_wait(queue, work_ahead(queue, NULL, now), now);
}

static bb_slot_state_t
refuse(bb_slot_ticket_t *ticket, bb_reason_t reason)
{
    ticket->state = BB_SLOT_REFUSED;
    ticket->reason = reason;
    return ticket->state;
}

/* Whether a call that must wait is admitted to the queue. */
static bool
is_wait_acceptable(const bb_slot_ticket_t *ticket, double wait_s, double now)
{
    if (is_in_time(ticket, now, ADMISSION_MARGIN)) {
        return is_in_time(ticket, now + wait_s, ADMISSION_MARGIN);
    }
    return wait_s <= MAX_LATE_WAIT_S;
}

bb_slot_state_t
BbSlotQueue_Offer(bb_slot_queue_t *queue, bb_slot_ticket_t *ticket, double now)
{
    ticket->arrived_at = now;
    ticket->reason = BB_REASON_NONE;
    ticket->service_s = BbSlotQueue_ClassTime(queue, ticket->class_name, now);
    if (now > latest_start(ticket)) {
        return refuse(ticket, BB_REASON_TOO_LATE);
    }
    if (queue->waiting == 0 && queue->running < queue->slots) {
        ticket->state = BB_SLOT_RUNNING;
        ticket->started_at = now;
        queue->running++;
        return ticket->state;
    }
    if (BbSlotQueue_WouldRefuse(queue, ticket, now)) {
        return refuse(ticket, BB_REASON_QUEUE_FULL);
    }
    ticket->state = BB_SLOT_WAITING;
    queue->waiting++;
    DL_APPEND(queue->tickets, ticket);
    return ticket->state;
}

bool
BbSlotQueue_WouldRefuse(const bb_slot_queue_t *queue,
                        const bb_slot_ticket_t *ticket, double now)
{
    bb_slot_ticket_t copy = *ticket;

    copy.arrived_at = now;
    copy.service_s = BbSlotQueue_ClassTime(queue, copy.class_name, now);
    if (now > latest_start(&copy)) {
        return true;
    }
    if (queue->waiting == 0 && queue->running < queue->slots) {
        return false;
    }
    double wait_s = predict_wait(queue, work_ahead(queue, &copy, now), now);
    return !is_wait_acceptable(&copy, wait_s, now) ||
           now + wait_s > latest_start(&copy);
}

static void
remove_waiting(bb_slot_queue_t *queue, bb_slot_ticket_t *ticket)
{
    assert(ticket->state == BB_SLOT_WAITING);
    DL_DELETE(queue->tickets, ticket);
    queue->waiting--;
}

static void
add_measurement(service_mean_t *mean, double took_s, double now)
{
    double old_weight = mean->measured_at > 0
                            ? (1.0 - SERVICE_WEIGHT) * mean_weight(mean, now)
                            : 0.0;

    mean->mean_s = took_s + old_weight * (mean->mean_s - took_s);
    mean->measured_at = now;
}

static service_mean_t *
class_mean(bb_slot_queue_t *queue, const char *name)
{
    service_mean_t *mean = g_hash_table_lookup(queue->classes, name);

    if (mean == NULL) {
        mean = g_new0(service_mean_t, 1);
        g_hash_table_insert(queue->classes, g_strdup(name), mean);
    }
    return mean;
}

void
BbSlotQueue_AssumeTime(bb_slot_queue_t *queue, const char *name,
                       double seconds, double now)
{
    if (name == NULL || seconds <= 0) {
        return;
    }
    service_mean_t *mean = class_mean(queue, name);
    mean->mean_s = seconds;
    mean->measured_at = now;
    if (queue->all.measured_at <= 0) {
        queue->all = *mean;
    }
}

void
BbSlotQueue_Finish(bb_slot_queue_t *queue, bb_slot_ticket_t *ticket,
                   bool is_measured, double now)
{
    double took_s = now - ticket->started_at;

    assert(ticket->state == BB_SLOT_RUNNING);
    queue->running--;
    ticket->state = BB_SLOT_NONE;
    if (!is_measured) {
        return;
    }
    add_measurement(&queue->all, took_s, now);
    if (ticket->class_name != NULL) {
        add_measurement(class_mean(queue, ticket->class_name), took_s, now);
    }
}

void
BbSlotQueue_Cancel(bb_slot_queue_t *queue, bb_slot_ticket_t *ticket)
{
    remove_waiting(queue, ticket);
    ticket->state = BB_SLOT_NONE;
}

/* Whether a waiting call is to be refused: it cannot end before it expires, or
 * it is late and the calls in time keep all slots busy. */
static bool
must_refuse(const bb_slot_queue_t *queue, const bb_slot_ticket_t *ticket,
            double now)
{
    if (now > latest_start(ticket)) {
        return true;
    }
    return !is_in_time(ticket, now, WAITING_MARGIN) &&
           predict_wait(queue, work_ahead(queue, ticket, now), now) >
               MAX_LATE_WAIT_S;
}

bb_slot_ticket_t *
BbSlotQueue_Next(bb_slot_queue_t *queue, double now)
{
    bb_slot_ticket_t *ticket, *best = NULL;

    DL_FOREACH (queue->tickets, ticket) {
        if (must_refuse(queue, ticket, now)) {
            remove_waiting(queue, ticket);
            refuse(ticket, BB_REASON_QUEUE_EXPIRED);
            return ticket;
        }
        if (best == NULL || precedes(ticket, best, now)) {
            best = ticket;
        }
    }
    if (best == NULL || queue->running >= queue->slots) {
        return NULL;
    }
    remove_waiting(queue, best);
    best->state = BB_SLOT_RUNNING;
    best->started_at = now;
    queue->running++;
    return best;
}

bb_slot_ticket_t *
BbSlotQueue_FirstWaiting(const bb_slot_queue_t *queue)
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
BbSlotQueue_ServiceTime(const bb_slot_queue_t *queue, double now)
{
    return predicted_mean(queue, &queue->all, now);
}
