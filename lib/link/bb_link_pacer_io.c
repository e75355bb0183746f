#include "bb_link_pacer_io.h"

#include <glib.h>

#include "bb_clock.h"
#include "bb_counters.h"
#include "bb_event.h"
#include "bb_histogram.h"

/* Transfers resumed in one run of the timer; a limit, so that other events are
 * handled in between. */
#define MAX_RESUMED 64

/* Timers that fire earlier than this after now would only cost wake-ups. */
#define MIN_DELAY_S 0.001

#define BYTES_PER_MBIT (1e6 / 8.0)

/* Change of the learned rate that is worth a line in the log. */
#define RATE_LOG_SHARE 0.2

struct bb_link_pacer {
    struct ev_loop *loop;
    bb_link_queue_t *queue;
    ev_timer timer;
    double logged_rate;
};

/* Starts the timer for the next piece. */
static void
schedule(bb_link_pacer_t *pacer)
{
    double delay_s = -1.0;

    if (BbLinkQueue_HasWaiting(pacer->queue)) {
        delay_s = BbLinkQueue_Delay(pacer->queue, BbClock_Now(pacer->loop));
    }
    ev_timer_stop(pacer->loop, &pacer->timer);
    if (delay_s >= 0) {
        ev_timer_set(&pacer->timer, MAX(delay_s, MIN_DELAY_S), 0.0);
        ev_timer_start(pacer->loop, &pacer->timer);
    }
}

static void
log_rate(bb_link_pacer_t *pacer)
{
    double rate = BbLinkQueue_Rate(pacer->queue);

    if (rate < pacer->logged_rate * (1.0 + RATE_LOG_SHARE) &&
        rate > pacer->logged_rate * (1.0 - RATE_LOG_SHARE)) {
        return;
    }
    if (BbEvent_Allows(BB_EVENT_LINK_RATE)) {
        BbEvent_Write(
            BB_EVENT_LINK_RATE,
            json_pack(
                "{s:f, s:f, s:i}", "mbps", rate / BYTES_PER_MBIT,
                "previous_mbps", pacer->logged_rate / BYTES_PER_MBIT,
                "waiting_bytes",
                (int)MIN(BbLinkQueue_WaitingBytes(pacer->queue), G_MAXINT)));
    }
    pacer->logged_rate = rate;
}

static void
handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)events;
    bb_link_pacer_t *pacer = timer->data;
    bb_link_transfer_t *transfer;

    for (int i = 0; i < MAX_RESUMED; i++) {
        transfer = BbLinkQueue_Next(pacer->queue, BbClock_Now(loop));
        if (transfer == NULL) {
            break;
        }
        bb_paced_transfer_t *paced = (bb_paced_transfer_t *)transfer;
        paced->resume(paced);
    }
    log_rate(pacer);
    schedule(pacer);
}

bb_link_pacer_t *
BbLinkPacer_New(struct ev_loop *loop, double link_mbps)
{
    if (link_mbps <= 0) {
        return NULL;
    }
    bb_link_pacer_t *pacer = g_new0(bb_link_pacer_t, 1);
    pacer->loop = loop;
    pacer->queue = BbLinkQueue_New(link_mbps, BbClock_Now(loop));
    pacer->logged_rate = BbLinkQueue_Rate(pacer->queue);
    ev_init(&pacer->timer, handle_timer);
    pacer->timer.data = pacer;
    return pacer;
}

void
BbLinkPacer_Free(bb_link_pacer_t *pacer)
{
    if (pacer != NULL) {
        ev_timer_stop(pacer->loop, &pacer->timer);
        BbLinkQueue_Free(pacer->queue);
        g_free(pacer);
    }
}

void
BbLinkPacer_Charge(bb_link_pacer_t *pacer, size_t bytes)
{
    if (pacer != NULL && bytes > 0) {
        BbLinkQueue_Charge(pacer->queue, bytes, BbClock_Now(pacer->loop));
    }
}

size_t
BbLinkPacer_Take(bb_link_pacer_t *pacer, bb_paced_transfer_t *transfer,
                 size_t bytes)
{
    double now = BbClock_Now(pacer->loop);
    bool was_queued = transfer->base.is_queued;
    double waiting_since = transfer->base.waiting_since;
    size_t allowed =
        BbLinkQueue_Take(pacer->queue, &transfer->base, bytes, now);
    bool is_queued = transfer->base.is_queued;

    if (!was_queued && is_queued) {
        BbCounters_Add(BB_COUNTER_LINK_WAITS, 1);
    }
    else if (was_queued && !is_queued) {
        BbHistogram_Add(BB_HISTOGRAM_LINK_WAIT, now - waiting_since);
    }
    if (is_queued) {
        schedule(pacer);
    }
    return allowed;
}

void
BbLinkPacer_Return(bb_link_pacer_t *pacer, bb_paced_transfer_t *transfer,
                   size_t bytes)
{
    BbCounters_Add(BB_COUNTER_LINK_YIELDS, 1);
    BbLinkQueue_Return(pacer->queue, &transfer->base, bytes,
                       BbClock_Now(pacer->loop));
    schedule(pacer);
}

void
BbLinkPacer_Remove(bb_link_pacer_t *pacer, bb_paced_transfer_t *transfer)
{
    if (pacer != NULL && transfer->base.is_queued) {
        BbCounters_Add(BB_COUNTER_LINK_DROPPED, 1);
        BbLinkQueue_Remove(pacer->queue, &transfer->base,
                           BbClock_Now(pacer->loop));
        schedule(pacer);
    }
}

bb_link_queue_t *
BbLinkPacer_Queue(bb_link_pacer_t *pacer)
{
    return pacer != NULL ? pacer->queue : NULL;
}
