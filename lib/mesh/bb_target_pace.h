/*
 * bb_target_pace - applies slow start to the target beside this node
 *
 * Begins the limit of bb_pace when the target has become ready, feeds it with
 * what the target's calls and the reports of other targets tell, and applies
 * it to the slot queue and the load report. Without bb_pace_t the target
 * always has all its slots and nothing is reported.
 *
 * USE
 *   BbTargetPace_TargetChanged() when the state of the target has changed;
 *   BbTargetPace_OnOffer() before a call is offered to the slot queue;
 *   BbTargetPace_OnResponse() or BbTargetPace_OnFailure() when it has ended,
 *   before its slot is released.
 */
#ifndef BB_TARGET_PACE_H
#define BB_TARGET_PACE_H

#include <stdbool.h>

#include "bb_load.h"
#include "bb_local_target.h"
#include "bb_pace.h"
#include "bb_slot_queue.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_target_pace bb_target_pace_t;

typedef struct {
    bb_pace_t *pace; /* borrowed; may be NULL */
    const bb_local_target_t *target;
    bb_slot_queue_t *queue;
} bb_target_pace_options_t;

bb_target_pace_t *BbTargetPace_New(const bb_target_pace_options_t *options);
void BbTargetPace_Free(bb_target_pace_t *target_pace);

void BbTargetPace_TargetChanged(bb_target_pace_t *target_pace, double now);

void BbTargetPace_OnOffer(bb_target_pace_t *target_pace,
                          const char *class_name, double now);

void BbTargetPace_OnResponse(bb_target_pace_t *target_pace,
                             const char *class_name, double started_at,
                             double now);

/* See BbPace_OnFailure(). */
void BbTargetPace_OnFailure(bb_target_pace_t *target_pace, double started_at,
                            bool is_timeout, double now);

/* Another target of the service, with this number of slots in its record, has
 * responded to a call of the class; load is the report that came with it. */
void BbTargetPace_OnLoadElsewhere(bb_target_pace_t *target_pace,
                                  const char *class_name,
                                  const bb_load_t *load, int record_slots,
                                  double now);

/* Calls that the target may run at once now. */
int BbTargetPace_Slots(const bb_target_pace_t *target_pace);

/* Seconds of a call for the load report while the target has this many calls,
 * waiting ones included; 0 if the mean of the slot queue is to be reported. */
double BbTargetPace_ServiceTime(const bb_target_pace_t *target_pace,
                                int calls);

/* Measured seconds of a call of the class for the load report; 0 without slow
 * start, or if none has been measured lately. */
double BbTargetPace_ClassTime(const bb_target_pace_t *target_pace,
                              const char *class_name, double now);

#ifdef __cplusplus
}
#endif

#endif
