/*
 * bb_link_admission - admission of calls by the bytes of their responses
 *
 * A call whose class has large responses needs the outbound link after its
 * slot at the target. Admitted calls reserve the expected bytes of their
 * responses, and a call that could not be out within its target latency behind
 * the waiting and the reserved bytes is refused before it runs. Calls with
 * small responses are always admitted.
 *
 * Designed for services that ask for up to some times as many bytes as the
 * links beside their targets can send, while the targets still have slots.
 *
 * USE
 *   if (!BbLinkAdmission_Accepts(admission, &call, ready_s, now,
 *                                &retry_after_s)) refuse it;
 *   BbLinkAdmission_Begin(admission, &reservation, class_name, now);
 *   BbLinkAdmission_End() when the response was given to the connection, or
 *   there will be none; BbLinkAdmission_Measure() after a success.
 */
#ifndef BB_LINK_ADMISSION_H
#define BB_LINK_ADMISSION_H

#include <stdbool.h>

#include "bb_link_queue.h"
#include "bb_link_sizes.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_link_admission bb_link_admission_t;

typedef struct {
    const char *class_name;
    int rank;
    double target_latency_s;
    double due_at;     /* end of the target latency */
    double expires_at; /* a response after that is useless */
} bb_link_call_t;

/* Expected bytes of an admitted call; initialize with zeros. */
typedef struct {
    double bytes;
} bb_link_reservation_t;

/* Returns NULL if queue is NULL. The queue is borrowed. */
bb_link_admission_t *BbLinkAdmission_New(bb_link_queue_t *queue);
void BbLinkAdmission_Free(bb_link_admission_t *admission);

/* In the following functions admission may be NULL: all calls are accepted. */

/* Whether the call can be answered in time if its target responds ready_s from
 * now. Otherwise *retry_after_s is the time until the link would accept it. */
bool BbLinkAdmission_Accepts(const bb_link_admission_t *admission,
                             const bb_link_call_t *call, double ready_s,
                             double now, double *retry_after_s);

void BbLinkAdmission_Begin(bb_link_admission_t *admission,
                           bb_link_reservation_t *reservation,
                           const char *class_name, double now);
void BbLinkAdmission_End(bb_link_admission_t *admission,
                         bb_link_reservation_t *reservation);

/* Adds the size of a successful response. */
void BbLinkAdmission_Measure(bb_link_admission_t *admission,
                             const char *class_name, size_t bytes, double now);

/* Seconds that the waiting and the reserved bytes need on the link. */
double BbLinkAdmission_Wait(const bb_link_admission_t *admission, double now);

#ifdef __cplusplus
}
#endif

#endif
