#include "bb_link_admission.h"

#include <glib.h>

/* Share of the target latency that is kept free behind the predicted end:
 * bodies vary in size, and the response still has to pass the caller's node.
 */
#define LATENCY_RESERVE 0.1

/* A late call is admitted while the link would be free this soon after the
 * response of the target, as in bb_slot_queue.c. */
#define MAX_LATE_WAIT_S 0.1

struct bb_link_admission {
    bb_link_queue_t *queue;
    bb_link_sizes_t *sizes;
    double reserved_bytes;
};

bb_link_admission_t *
BbLinkAdmission_New(bb_link_queue_t *queue)
{
    if (queue == NULL) {
        return NULL;
    }
    bb_link_admission_t *admission = g_new0(bb_link_admission_t, 1);
    admission->queue = queue;
    admission->sizes = BbLinkSizes_New();
    return admission;
}

void
BbLinkAdmission_Free(bb_link_admission_t *admission)
{
    if (admission != NULL) {
        BbLinkSizes_Free(admission->sizes);
        g_free(admission);
    }
}

bool
BbLinkAdmission_Accepts(const bb_link_admission_t *admission,
                        const bb_link_call_t *call, double ready_s, double now,
                        double *retry_after_s)
{
    *retry_after_s = 0;
    if (admission == NULL) {
        return true;
    }
    double bytes = BbLinkSizes_Bulk(admission->sizes, call->class_name, now);
    if (bytes <= 0) {
        return true;
    }
    double rate = BbLinkQueue_BulkRate(admission->queue, now);
    double own_s = bytes / rate;
    double free_s =
        BbLinkQueue_Predict(admission->queue, admission->reserved_bytes,
                            call->rank, call->due_at, now);
    double wait_s = MAX(free_s - ready_s, 0.0);
    double end_at = now + ready_s + wait_s + own_s;
    double latest_end =
        call->due_at - call->target_latency_s * LATENCY_RESERVE;

    if (end_at <= latest_end) {
        return true;
    }
    bool is_late = end_at - wait_s > latest_end;
    if (is_late && wait_s <= MAX_LATE_WAIT_S && end_at <= call->expires_at) {
        return true;
    }
    *retry_after_s = is_late ? wait_s : MIN(wait_s, end_at - latest_end);
    return false;
}

void
BbLinkAdmission_Begin(bb_link_admission_t *admission,
                      bb_link_reservation_t *reservation,
                      const char *class_name, double now)
{
    if (admission != NULL) {
        reservation->bytes =
            BbLinkSizes_Bulk(admission->sizes, class_name, now);
        admission->reserved_bytes += reservation->bytes;
    }
}

void
BbLinkAdmission_End(bb_link_admission_t *admission,
                    bb_link_reservation_t *reservation)
{
    if (admission != NULL) {
        admission->reserved_bytes =
            MAX(admission->reserved_bytes - reservation->bytes, 0.0);
        reservation->bytes = 0;
    }
}

void
BbLinkAdmission_Measure(bb_link_admission_t *admission, const char *class_name,
                        size_t bytes, double now)
{
    if (admission != NULL) {
        BbLinkSizes_Add(admission->sizes, class_name, bytes, now);
    }
}

double
BbLinkAdmission_Wait(const bb_link_admission_t *admission, double now)
{
    if (admission == NULL) {
        return 0;
    }
    double bytes = admission->reserved_bytes +
                   (double)BbLinkQueue_WaitingBytes(admission->queue);
    return bytes / BbLinkQueue_BulkRate(admission->queue, now);
}
