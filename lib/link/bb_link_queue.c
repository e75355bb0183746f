#include "bb_link_queue.h"

#include <glib.h>
#include <math.h>
#include <utlist.h>

#define BYTES_PER_MBIT (1e6 / 8.0)

/* Share of the link's rate at which bytes are written. The rest covers the
 * headers of TCP and IP, 4 in 100 of full packets. */
#define PACE_SHARE 0.95

/* Time that one piece takes on the link. Shorter pieces cost more wake-ups on
 * a VM with a tenth of a core; longer ones delay small responses. */
#define PIECE_S 0.02
#define MIN_PIECE_BYTES 8192.0

/* Bytes that may be written at once, as time on the link: the longest wait of
 * a small response behind bulk. It exceeds a piece so that a timer that fires
 * late loses no rate. */
#define BURST_S 0.025

/* Bulk gets a piece after this time even when small responses use the whole
 * link, so that it does not starve. */
#define MAX_HOLD_S 0.25

/* Lead of a more urgent rank in due time, as in bb_slot_queue.c. */
#define RANK_AGING_S 0.4

/* Time constant of the mean rate of small responses. */
#define SMALL_RATE_DECAY_S 1.0

/* Least share of the rate that is assumed to be left for bulk. */
#define MIN_BULK_SHARE 0.1

/* The rate is compared with what the sockets take in windows of this length,
 * some ten pieces. */
#define WINDOW_S 0.25

/* A window shows a slower link when all waiting transfers were held for this
 * share of it. */
#define HELD_SHARE 0.3

/* Number of such windows in a row that reduce the rate: receivers that have
 * just stopped reading show one. */
#define HELD_WINDOWS 2

/* A transfer that is held for longer has a receiver that does not read. */
#define STALLED_S 1.0

/* Growth of a reduced rate in a window without held transfers, and its lower
 * limit as a share of the configured rate. Two receivers that read slowly look
 * like a slow link; with these values the others get the rate back in 2 s. */
#define RATE_GROWTH 1.2
#define MIN_RATE_SHARE 0.25

struct bb_link_queue {
    double max_rate; /* bytes/s, from the settings */
    double rate;     /* bytes/s that the link takes */
    double tokens;
    double updated_at;
    double small_bytes; /* decaying sum, see SMALL_RATE_DECAY_S */
    double released_at; /* of the last piece */
    size_t waiting_bytes;
    bb_link_transfer_t *transfers;
    /* the present window */
    double window_start;
    double window_bytes; /* of all responses */
    double window_bulk;  /* part of window_bytes */
    double held_s;
    int held_windows; /* in a row, up to the present one */
};

bb_link_queue_t *
BbLinkQueue_New(double link_mbps, double now)
{
    bb_link_queue_t *queue = g_new0(bb_link_queue_t, 1);

    queue->max_rate = link_mbps * BYTES_PER_MBIT;
    queue->rate = queue->max_rate;
    queue->tokens = queue->rate * BURST_S;
    queue->updated_at = now;
    queue->window_start = now;
    queue->released_at = now;
    return queue;
}

void
BbLinkQueue_Free(bb_link_queue_t *queue)
{
    g_free(queue);
}

static double
burst_bytes(const bb_link_queue_t *queue)
{
    return MAX(queue->rate * BURST_S, MIN_PIECE_BYTES);
}

size_t
BbLinkQueue_PieceBytes(const bb_link_queue_t *queue)
{
    return (size_t)MAX(queue->rate * PIECE_S, MIN_PIECE_BYTES);
}

double
BbLinkQueue_Rate(const bb_link_queue_t *queue)
{
    return queue->rate;
}

/* Whether at least two transfers wait and the sockets of all are full, those
 * of stalled receivers aside. */
static bool
are_all_held(const bb_link_queue_t *queue, double now)
{
    const bb_link_transfer_t *transfer;
    int count = 0;

    DL_FOREACH (queue->transfers, transfer) {
        if (!transfer->is_held) {
            return false;
        }
        count += now - transfer->held_since < STALLED_S;
    }
    return count >= 2;
}

/* Adapts the rate to what was written in the window that ends now. */
static void
end_window(bb_link_queue_t *queue, double now)
{
    double length_s = now - queue->window_start;
    double taken = queue->window_bytes / length_s;

    bool is_held = queue->held_s > length_s * HELD_SHARE &&
                   queue->window_bulk > 0 && taken < queue->rate;

    queue->held_windows = is_held ? queue->held_windows + 1 : 0;
    if (queue->held_windows >= HELD_WINDOWS) {
        queue->rate = MAX(taken, queue->max_rate * MIN_RATE_SHARE);
    }
    else if (!is_held) {
        double windows = length_s / WINDOW_S;
        queue->rate =
            MIN(queue->rate * pow(RATE_GROWTH, windows), queue->max_rate);
    }
    queue->window_start = now;
    queue->window_bytes = 0;
    queue->window_bulk = 0;
    queue->held_s = 0;
}

static void
update(bb_link_queue_t *queue, double now)
{
    double elapsed_s = now - queue->updated_at;

    if (elapsed_s <= 0) {
        return;
    }
    queue->tokens =
        MIN(queue->tokens + elapsed_s * queue->rate * PACE_SHARE,
            MAX(burst_bytes(queue), (double)BbLinkQueue_PieceBytes(queue)));
    queue->small_bytes *= exp(-elapsed_s / SMALL_RATE_DECAY_S);
    if (queue->transfers != NULL && are_all_held(queue, now)) {
        queue->held_s += elapsed_s;
    }
    queue->updated_at = now;
    if (now - queue->window_start >= WINDOW_S) {
        end_window(queue, now);
    }
}

void
BbLinkQueue_Charge(bb_link_queue_t *queue, size_t bytes, double now)
{
    update(queue, now);
    queue->small_bytes += (double)bytes;
    queue->window_bytes += (double)bytes;
    queue->tokens =
        MAX(queue->tokens - (double)bytes, -queue->rate * MAX_HOLD_S);
}

/* Whether a goes before b. */
static bool
precedes(const bb_link_transfer_t *a, const bb_link_transfer_t *b, double now)
{
    bool is_a_late = a->due_at < now;

    if (is_a_late != (b->due_at < now)) {
        return !is_a_late;
    }
    return a->due_at + a->rank * RANK_AGING_S <
           b->due_at + b->rank * RANK_AGING_S;
}

/* The first transfer in order whose socket has room. */
static bb_link_transfer_t *
first_ready(const bb_link_queue_t *queue, double now)
{
    bb_link_transfer_t *transfer, *first = NULL;

    DL_FOREACH (queue->transfers, transfer) {
        if (!transfer->is_held &&
            (first == NULL || precedes(transfer, first, now))) {
            first = transfer;
        }
    }
    return first;
}

/* Seconds until the transfer may write its next piece. */
static double
piece_delay(const bb_link_queue_t *queue, const bb_link_transfer_t *transfer,
            double now)
{
    double piece = (double)MIN(BbLinkQueue_PieceBytes(queue),
                               MAX(transfer->waiting_bytes, 1));
    double by_pace = (piece - queue->tokens) / (queue->rate * PACE_SHARE);
    double longest =
        MAX(queue->released_at, transfer->waiting_since) + MAX_HOLD_S - now;

    /* Less than a byte is a rounding error of the refill. */
    return by_pace * queue->rate < 1.0 ? 0.0 : MAX(MIN(by_pace, longest), 0.0);
}

static void
set_waiting(bb_link_queue_t *queue, bb_link_transfer_t *transfer, size_t bytes,
            double now)
{
    queue->waiting_bytes -= transfer->waiting_bytes;
    queue->waiting_bytes += bytes;
    transfer->waiting_bytes = bytes;
    if (bytes > 0 && !transfer->is_queued) {
        transfer->is_queued = true;
        transfer->waiting_since = now;
        DL_APPEND(queue->transfers, transfer);
    }
    else if (bytes == 0 && transfer->is_queued) {
        transfer->is_queued = false;
        DL_DELETE(queue->transfers, transfer);
    }
}

size_t
BbLinkQueue_Take(bb_link_queue_t *queue, bb_link_transfer_t *transfer,
                 size_t bytes, double now)
{
    update(queue, now);
    transfer->is_held = false;
    set_waiting(queue, transfer, bytes, now);
    if (bytes == 0 || first_ready(queue, now) != transfer ||
        piece_delay(queue, transfer, now) > 0) {
        return 0;
    }
    size_t allowed =
        MAX((size_t)MAX(queue->tokens, 0), BbLinkQueue_PieceBytes(queue));
    allowed = MIN(allowed, bytes);
    queue->tokens -= (double)allowed;
    queue->window_bytes += (double)allowed;
    queue->window_bulk += (double)allowed;
    queue->released_at = now;
    set_waiting(queue, transfer, bytes - allowed, now);
    return allowed;
}

void
BbLinkQueue_Return(bb_link_queue_t *queue, bb_link_transfer_t *transfer,
                   size_t bytes, double now)
{
    update(queue, now);
    queue->tokens += (double)bytes;
    queue->window_bytes = MAX(queue->window_bytes - (double)bytes, 0);
    queue->window_bulk = MAX(queue->window_bulk - (double)bytes, 0);
    set_waiting(queue, transfer, transfer->waiting_bytes + bytes, now);
    if (!transfer->is_held) {
        transfer->is_held = true;
        transfer->held_since = now;
    }
}

void
BbLinkQueue_Remove(bb_link_queue_t *queue, bb_link_transfer_t *transfer,
                   double now)
{
    update(queue, now);
    set_waiting(queue, transfer, 0, now);
    transfer->is_held = false;
}

bb_link_transfer_t *
BbLinkQueue_Next(bb_link_queue_t *queue, double now)
{
    update(queue, now);
    bb_link_transfer_t *first = first_ready(queue, now);

    return first != NULL && piece_delay(queue, first, now) <= 0 ? first : NULL;
}

double
BbLinkQueue_Delay(bb_link_queue_t *queue, double now)
{
    update(queue, now);
    const bb_link_transfer_t *first = first_ready(queue, now);

    return first != NULL ? piece_delay(queue, first, now) : -1.0;
}

bool
BbLinkQueue_HasWaiting(const bb_link_queue_t *queue)
{
    return queue->transfers != NULL;
}

size_t
BbLinkQueue_WaitingBytes(const bb_link_queue_t *queue)
{
    return queue->waiting_bytes;
}

double
BbLinkQueue_BulkRate(bb_link_queue_t *queue, double now)
{
    update(queue, now);
    double small_rate = queue->small_bytes / SMALL_RATE_DECAY_S;

    return MAX(queue->rate * PACE_SHARE - small_rate,
               queue->rate * MIN_BULK_SHARE);
}

double
BbLinkQueue_Predict(bb_link_queue_t *queue, double bytes, int rank,
                    double due_at, double now)
{
    const bb_link_transfer_t response = {.rank = rank, .due_at = due_at};
    const bb_link_transfer_t *transfer;
    double ahead = bytes;
    double rate = BbLinkQueue_BulkRate(queue, now);

    DL_FOREACH (queue->transfers, transfer) {
        if (!precedes(&response, transfer, now)) {
            ahead += (double)transfer->waiting_bytes;
        }
    }
    return MAX(ahead - queue->tokens, 0.0) / rate;
}
