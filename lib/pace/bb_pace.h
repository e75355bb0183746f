/*
 * bb_pace - concurrency limit of a target that has started or recovered
 *
 * The node beside a target keeps one limiter. It is idle until the target has
 * started, was restarted or has recovered; then it limits the calls that the
 * target runs at once. Each response is compared with what its class takes at
 * the other targets of the service, as their nodes report it:
 *
 *   - A response as fast as elsewhere raises the limit by one, so that the
 *     limit doubles with each round trip.
 *   - While responses are slow, the limit falls to a part of the slots, as
 *     long as the other targets have slots free: calls end sooner there. The
 *     limit yields when the service is short of room: the more of the slots
 *     elsewhere are in use, the higher it is, up to all slots.
 *   - A refusal by the target, a lost call or a timeout halves the limit.
 *   - The limit ends once the target keeps up with all its slots. It ends too
 *     when the target has been slow for PACE_SLOW_S without failures: then it
 *     is a slow target, which placement knows from its service time.
 *
 * Designed for targets that are slow for some seconds after their start, that
 * go down and come back repeatedly, that recover from a pause with a backlog,
 * and for a data centre whose targets all start at once. When the whole
 * service is slow, the times elsewhere rise as well and nothing is lowered.
 * Failures alone begin no limit: where responses are lost or targets fail for
 * a moment, the slots would be missing to calls that have no place elsewhere.
 *
 * USE
 *   BbPace_SetSlots() and BbPace_Begin() when the target has become ready;
 *   BbPace_OnUsage() and BbPace_OnReference() for each report of another
 *   target;
 *   BbPace_OnResponse() or BbPace_OnFailure() for each call that has ended;
 *   BbPace_Update() before a new call is admitted. The limit in force is
 *   BbPace_Limit(). Times are seconds on one clock, greater than 0.
 */
#ifndef BB_PACE_H
#define BB_PACE_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
    BB_PACE_UNCHANGED, /* nothing that is worth a log line */
    BB_PACE_BEGUN,
    BB_PACE_LOWERED,
    BB_PACE_ENDED, /* all slots are in use again */
} bb_pace_change_t;

typedef enum {
    BB_PACE_STARTED,  /* new incarnation of the target */
    BB_PACE_RETURNED, /* the same incarnation is ready again */
    BB_PACE_SILENT,   /* no response for a while, then late ones */
} bb_pace_reason_t;

typedef struct bb_pace bb_pace_t;

bb_pace_t *BbPace_New(void);
void BbPace_Free(bb_pace_t *pace);

/* Slots of the target, 0 while unknown. */
void BbPace_SetSlots(bb_pace_t *pace, int slots);

/* cold_left_s: until the target expects to be warmed up, or 0; the limit does
 * not end before. */
bb_pace_change_t BbPace_Begin(bb_pace_t *pace, bb_pace_reason_t reason,
                              double cold_left_s, double now);

/* Another target of the service has usage calls for each slot that it may use,
 * waiting ones included. */
void BbPace_OnUsage(bb_pace_t *pace, double usage);

/* Another target of the service takes this long for calls of the class. To be
 * called only for targets without a limit in force. */
void BbPace_OnReference(bb_pace_t *pace, const char *class_name,
                        double service_s, double now);

/* Seconds that a call of the class takes elsewhere, 0 while not known. */
double BbPace_Reference(const bb_pace_t *pace, const char *class_name,
                        double now);

/* The target has completed a call that was started there at started_at;
 * running: calls at the target before that. Calls from before the limit began
 * count neither here nor as failures: an earlier process may have had them. */
bb_pace_change_t BbPace_OnResponse(bb_pace_t *pace, const char *class_name,
                                   double started_at, int running, double now);

/* The target has refused a call, or not answered it. A timeout counts only
 * while the target responds to no call at all: one class may wait for nested
 * calls that are late elsewhere. */
bb_pace_change_t BbPace_OnFailure(bb_pace_t *pace, double started_at,
                                  bool is_timeout, double now);

/* Applies what depends on the time only. */
bb_pace_change_t BbPace_Update(bb_pace_t *pace, double now);

/* Calls that the target may run at once, at most its slots. */
int BbPace_Limit(const bb_pace_t *pace);

bool BbPace_IsActive(const bb_pace_t *pace);

/* Recent time of calls relative to elsewhere; 1 is as fast. */
double BbPace_Slowness(const bb_pace_t *pace);

/* Seconds of a call that the load report shows while the target has this many
 * calls, waiting ones included; 0 without a limit in force or before the first
 * response: then the mean of the slot queue is reported. */
double BbPace_ServiceTime(const bb_pace_t *pace, int calls);

/* Why the limit in force, or the last one, has begun: "started", "returned"
 * or "silent". */
const char *BbPace_ReasonName(const bb_pace_t *pace);

#ifdef __cplusplus
}
#endif

#endif
