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

/* Share of the target latency by which calls of an account that uses at least
 * twice its fair share go later among calls of their rank. No call waits for
 * longer than its target latency, so with 1 they go behind the others. */
#define SHARE_DELAY 1.0

/* How often waiting calls of such accounts are checked for being late; each
 * check compares them with all waiting calls. */
#define SHARE_CHECK_S 0.05

/* Target latencies within this factor are those of classes that callers use
 * side by side; a nested call has a shorter one than its parent. */
#define SIMILAR_LATENCY_FACTOR 2.0

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
    double measured_at; /* 0 before the first call has ended */
    int open;           /* running and waiting calls of the class */
} service_mean_t;

/* Limit of classes. Their names come from the configurations of other nodes;
 * of these, the classes of one service are some tens. */
#define MAX_CLASSES 512

/* Calls that are not nested get a slot at least this share as often as nested
 * ones. */
#define MIN_ROOT_SHARE 0.25
#define START_DECAY_S 5.0

/* Calls offered and started lately, decayed. */
typedef struct {
    double offered;
    double started;
    double decayed_at;
} start_share_t;

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
    start_share_t roots;       /* calls that are not nested */
    start_share_t nested;
    bb_reserve_t *reserve; /* borrowed; may be NULL */
    double share_checked_at;
    bb_fair_share_t *share; /* borrowed; may be NULL */
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
    bool is_known = mean != NULL && mean->measured_at > 0;
    return predicted_mean(queue, is_known ? mean : &queue->all, now);
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

static gboolean
is_unused(gpointer name, gpointer value, gpointer arg)
{
    const service_mean_t *mean = value;
    (void)name;
    (void)arg;

    return mean->open == 0;
}

static service_mean_t *
class_mean(bb_slot_queue_t *queue, const char *name)
{
    service_mean_t *mean = g_hash_table_lookup(queue->classes, name);

    if (mean == NULL) {
        if (g_hash_table_size(queue->classes) >= MAX_CLASSES) {
            g_hash_table_foreach_remove(queue->classes, is_unused, NULL);
        }
        mean = g_new0(service_mean_t, 1);
        g_hash_table_insert(queue->classes, g_strdup(name), mean);
    }
    return mean;
}

static void
add_open(bb_slot_queue_t *queue, const bb_slot_ticket_t *ticket, int count)
{
    if (ticket->class_name != NULL) {
        class_mean(queue, ticket->class_name)->open += count;
    }
}

void
BbSlotQueue_SetReserve(bb_slot_queue_t *queue, bb_reserve_t *reserve)
{
    queue->reserve = reserve;
}

void
BbSlotQueue_SetFairShare(bb_slot_queue_t *queue, bb_fair_share_t *share)
{
    queue->share = share;
}

/* Fills in what the queue knows about a call that arrives now. */
static void
prepare(const bb_slot_queue_t *queue, bb_slot_ticket_t *ticket, double now)
{
    ticket->arrived_at = now;
    ticket->service_s = BbSlotQueue_ClassTime(queue, ticket->class_name, now);
    ticket->share_delay_s =
        queue->share != NULL && !ticket->is_nested
            ? BbFairShare_Excess(queue->share, ticket->account, now) *
                  ticket->target_latency_s * SHARE_DELAY
            : 0;
}

static bb_reserve_call_t
reserve_call(const bb_slot_ticket_t *ticket)
{
    return (bb_reserve_call_t){
        .class_name = ticket->class_name,
        .rank = ticket->rank,
        .service_s = ticket->service_s,
        .target_latency_s = ticket->target_latency_s,
    };
}

/* Whether the reserve for more urgent calls leaves room for the call. */
static bool
is_unreserved(const bb_slot_queue_t *queue, const bb_slot_ticket_t *ticket,
              double now)
{
    if (queue->reserve == NULL || ticket->is_nested) {
        return true;
    }
    const bb_reserve_call_t call = reserve_call(ticket);
    return BbReserve_MayStart(queue->reserve, &call, queue->slots, now);
}

/* Number of slots that the call may get; ticket may be NULL. */
static int
usable_slots(const bb_slot_queue_t *queue, const bb_slot_ticket_t *ticket,
             double now)
{
    if (queue->reserve == NULL || ticket == NULL || ticket->is_nested) {
        return MAX(queue->slots, 1);
    }
    const bb_reserve_call_t call = reserve_call(ticket);
    return BbReserve_Limit(queue->reserve, &call, queue->slots, now);
}

/* Whether the call, which arrives now, takes a free slot at once. */
static bool
can_start_now(const bb_slot_queue_t *queue, const bb_slot_ticket_t *ticket,
              double now)
{
    const bb_slot_ticket_t *other;

    if (queue->running >= queue->slots || !is_unreserved(queue, ticket, now)) {
        return false;
    }
    DL_FOREACH (queue->tickets, other) {
        if (is_unreserved(queue, other, now)) {
            return false;
        }
    }
    return true;
}

static start_share_t *
start_share(bb_slot_queue_t *queue, const bb_slot_ticket_t *ticket, double now)
{
    start_share_t *share = ticket->is_nested ? &queue->nested : &queue->roots;
    double factor = exp(-MAX(now - share->decayed_at, 0.0) / START_DECAY_S);

    share->offered *= factor;
    share->started *= factor;
    share->decayed_at = now;
    return share;
}

/* Whether calls that are not nested have started so seldom that one of them
 * goes before nested calls now. */
static bool
are_roots_starved(const bb_slot_queue_t *queue)
{
    const start_share_t *roots = &queue->roots, *nested = &queue->nested;

    return roots->started * nested->offered <
           MIN_ROOT_SHARE * nested->started * roots->offered;
}

static void
start(bb_slot_queue_t *queue, bb_slot_ticket_t *ticket, double now)
{
    ticket->state = BB_SLOT_RUNNING;
    ticket->started_at = now;
    queue->running++;
    start_share(queue, ticket, now)->started++;
    add_open(queue, ticket, 1);
    if (queue->reserve != NULL) {
        BbReserve_OnStart(queue->reserve, ticket->rank);
    }
    if (queue->share != NULL && !ticket->is_nested) {
        BbFairShare_Add(queue->share, ticket->account, ticket->rank,
                        ticket->service_s, now);
    }
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
queue_order(const bb_slot_ticket_t *ticket, double latency_s)
{
    return ticket->arrived_at - ticket->parent_age_s +
           latency_s * LATENCY_WEIGHT + ticket->rank * RANK_AGING_S;
}

/* Target latency of a for its order against b. A more urgent call is not put
 * behind another for a moderately longer target latency. */
static double
order_latency(const bb_slot_ticket_t *a, const bb_slot_ticket_t *b)
{
    bool is_similar =
        a->target_latency_s <= b->target_latency_s * SIMILAR_LATENCY_FACTOR;

    return a->rank < b->rank && is_similar
               ? MIN(a->target_latency_s, b->target_latency_s)
               : a->target_latency_s;
}

/* Whether a goes before b. */
static bool
precedes(const bb_slot_ticket_t *a, const bb_slot_ticket_t *b, double now)
{
    bool a_in_time = is_in_time(a, now, WAITING_MARGIN);

    if (a_in_time != is_in_time(b, now, WAITING_MARGIN)) {
        return a_in_time;
    }
    if (a->is_nested != b->is_nested) {
        return a->is_nested;
    }
    double a_order = queue_order(a, order_latency(a, b));
    double b_order = queue_order(b, order_latency(b, a));
    if (a->rank == b->rank) {
        a_order += a->share_delay_s;
        b_order += b->share_delay_s;
    }
    return a_order < b_order;
}

/* Seconds until the call gets a slot behind an amount of waiting work; ticket
 * NULL: a call for which nothing is reserved. */
static double
predict_wait(const bb_slot_queue_t *queue, const bb_slot_ticket_t *ticket,
             double work_s, double now)
{
    if (queue->running < queue->slots && work_s <= 0 &&
        (ticket == NULL || is_unreserved(queue, ticket, now))) {
        return 0;
    }
    return (work_s + predicted_mean(queue, &queue->all, now)) /
           usable_slots(queue, ticket, now);
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
    return predict_wait(queue, NULL, work_ahead(queue, NULL, now), now);
}

double
BbSlotQueue_PredictTicketWait(const bb_slot_queue_t *queue,
                              const bb_slot_ticket_t *ticket, double now)
{
    bb_slot_ticket_t copy = *ticket;

    prepare(queue, &copy, now);
    return predict_wait(queue, &copy, work_ahead(queue, &copy, now), now);
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
    ticket->reason = BB_REASON_NONE;
    prepare(queue, ticket, now);
    if (now > latest_start(ticket)) {
        return refuse(ticket, BB_REASON_TOO_LATE);
    }
    if (queue->reserve != NULL) {
        const bb_reserve_call_t call = reserve_call(ticket);
        BbReserve_OnArrival(queue->reserve, &call, now);
    }
    start_share(queue, ticket, now)->offered++;
    if (can_start_now(queue, ticket, now)) {
        start(queue, ticket, now);
        return ticket->state;
    }
    if (BbSlotQueue_WouldRefuse(queue, ticket, now)) {
        return refuse(ticket, BB_REASON_QUEUE_FULL);
    }
    ticket->state = BB_SLOT_WAITING;
    queue->waiting++;
    add_open(queue, ticket, 1);
    DL_APPEND(queue->tickets, ticket);
    return ticket->state;
}

bool
BbSlotQueue_WouldRefuse(const bb_slot_queue_t *queue,
                        const bb_slot_ticket_t *ticket, double now)
{
    bb_slot_ticket_t copy = *ticket;

    prepare(queue, &copy, now);
    if (now > latest_start(&copy)) {
        return true;
    }
    if (can_start_now(queue, &copy, now)) {
        return false;
    }
    double wait_s =
        predict_wait(queue, &copy, work_ahead(queue, &copy, now), now);
    return !is_wait_acceptable(&copy, wait_s, now) ||
           now + wait_s > latest_start(&copy);
}

static void
remove_waiting(bb_slot_queue_t *queue, bb_slot_ticket_t *ticket)
{
    assert(ticket->state == BB_SLOT_WAITING);
    DL_DELETE(queue->tickets, ticket);
    queue->waiting--;
    add_open(queue, ticket, -1);
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
    add_open(queue, ticket, -1);
    if (queue->reserve != NULL) {
        BbReserve_OnEnd(queue->reserve, ticket->rank);
    }
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
 * it is late and the calls in time keep all slots busy. A call of an account
 * above its fair share, before which others have gone, is refused as soon as
 * it will be late. */
static bool
must_refuse(const bb_slot_queue_t *queue, const bb_slot_ticket_t *ticket,
            bool is_share_check, double now)
{
    if (now > latest_start(ticket)) {
        return true;
    }
    if (ticket->share_delay_s > 0 && is_share_check) {
        double wait_s =
            predict_wait(queue, ticket, work_ahead(queue, ticket, now), now);
        return wait_s > MAX_LATE_WAIT_S &&
               !is_in_time(ticket, now + wait_s, WAITING_MARGIN);
    }
    return !is_in_time(ticket, now, WAITING_MARGIN) &&
           predict_wait(queue, ticket, work_ahead(queue, ticket, now), now) >
               MAX_LATE_WAIT_S;
}

bb_slot_ticket_t *
BbSlotQueue_Next(bb_slot_queue_t *queue, double now)
{
    bb_slot_ticket_t *ticket, *best = NULL, *best_root = NULL;
    bool is_share_check = now - queue->share_checked_at >= SHARE_CHECK_S;

    DL_FOREACH (queue->tickets, ticket) {
        if (must_refuse(queue, ticket, is_share_check, now)) {
            remove_waiting(queue, ticket);
            refuse(ticket, BB_REASON_QUEUE_EXPIRED);
            return ticket;
        }
    }
    if (is_share_check) {
        queue->share_checked_at = now;
    }
    if (queue->running >= queue->slots) {
        return NULL;
    }
    DL_FOREACH (queue->tickets, ticket) {
        if ((best == NULL || precedes(ticket, best, now)) &&
            is_unreserved(queue, ticket, now)) {
            best = ticket;
        }
        if (!ticket->is_nested &&
            (best_root == NULL || precedes(ticket, best_root, now)) &&
            is_unreserved(queue, ticket, now)) {
            best_root = ticket;
        }
    }
    if (best == NULL) {
        return NULL;
    }
    if (best->is_nested && best_root != NULL && are_roots_starved(queue)) {
        best = best_root;
    }
    remove_waiting(queue, best);
    start(queue, best, now);
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
BbSlotQueue_MixTime(const bb_slot_queue_t *queue, double now)
{
    double all_s = BbSlotQueue_ServiceTime(queue, now), work_s = 0;
    int open = 0;
    GHashTableIter iter;
    gpointer value;

    if (queue->waiting == 0) {
        return all_s;
    }
    g_hash_table_iter_init(&iter, queue->classes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const service_mean_t *mean = value;
        if (mean->open > 0) {
            open += mean->open;
            work_s += mean->open * (mean->measured_at > 0
                                        ? predicted_mean(queue, mean, now)
                                        : all_s);
        }
    }
    return open > 0 ? work_s / open : all_s;
}

double
BbSlotQueue_ServiceTime(const bb_slot_queue_t *queue, double now)
{
    return predicted_mean(queue, &queue->all, now);
}
