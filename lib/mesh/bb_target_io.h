/*
 * bb_target_io - runs calls at the local target
 *
 * All calls to the target go through its node, so admission, queueing and
 * draining are implemented here. A call that the target did not run ends with
 * on_refused. When this node itself refused the call, no request was sent to
 * the target.
 *
 * USE
 *   reason = BbTargetIo_Submit(io, &request, handler, arg, &retry_after_s,
 *                             &attempt);
 *   After BB_REASON_NONE the attempt ends as described in bb_attempt.h. With
 *   any other reason no attempt was created and the call has not run.
 *   retry_after_s is in seconds, 0 when not known.
 */
#ifndef BB_TARGET_IO_H
#define BB_TARGET_IO_H

#include <ev.h>

#include "bb_attempt.h"
#include "bb_call_tree.h"
#include "bb_dropped_keys.h"
#include "bb_link_admission.h"
#include "bb_local_target.h"
#include "bb_pace.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_target_io bb_target_io_t;

/* What a roll-out of the target's version decides and counts. */
typedef struct {
    /* Whether the target may take new calls. When the result changes, call
     * BbTargetIo_TargetChanged(). */
    bool (*accepts_calls)(void *arg);
    /* A call that was sent to the target has ended. It may have been cancelled
     * by its caller after duration_s. */
    void (*on_run_ended)(const char *class_name, bool is_failed,
                         double duration_s, void *arg);
    void *arg;
} bb_target_rollout_t;

typedef struct {
    struct ev_loop *loop;
    const char *address; /* of the target */
    const char *service;
    const bb_header_names_t *names;
    bb_local_target_t *target; /* borrowed */
    /* Calls with these keys are not started. Borrowed; may be NULL. */
    const bb_dropped_keys_t *dropped_keys;
    /* Admission by response bytes; borrowed, NULL admits all calls. */
    bb_link_admission_t *link;
    const bb_target_rollout_t *rollout; /* borrowed; NULL without roll-outs */
    bb_pace_t *pace;                    /* borrowed; NULL without slow start */
    bool uses_target_load; /* reads names->target_load of responses */
} bb_target_io_options_t;

bb_target_io_t *BbTargetIo_New(const bb_target_io_options_t *options);

/* No attempt may be open any more. */
void BbTargetIo_Free(bb_target_io_t *io);

bb_reason_t BbTargetIo_Submit(bb_target_io_t *io,
                              const bb_attempt_request_t *request,
                              const bb_attempt_handler_t *handler, void *arg,
                              double *retry_after_s, bb_attempt_t **attempt);

/* Reason for which BbTargetIo_Submit() would refuse the call now, or
 * BB_REASON_NONE. A refusal is counted and logged like one by
 * BbTargetIo_Submit(). */
bb_reason_t BbTargetIo_RefusalReason(const bb_target_io_t *io,
                                     const bb_attempt_request_t *request,
                                     double *retry_after_s);

/* The nested calls of the runs at the target; owned by io. */
bb_call_tree_t *BbTargetIo_CallTree(bb_target_io_t *io);

/* Mean time of a call of this class at the target, in seconds. */
double BbTargetIo_ServiceTime(const bb_target_io_t *io,
                              const char *class_name);

/* To be called when the state of the local target has changed. When the target
 * is draining, gone or unknown, all waiting calls are refused. */
void BbTargetIo_TargetChanged(bb_target_io_t *io);

/* This node shuts down: new calls are refused, waiting calls still run. */
void BbTargetIo_SetNodeDraining(bb_target_io_t *io);

/* This node is about to exit: waiting calls are refused as not run, and no
 * more are started. */
void BbTargetIo_SetNodeEnding(bb_target_io_t *io);

/* Fills in the load that is reported to other nodes with a response to a call
 * of the class (may be NULL), except its version. */
void BbTargetIo_GetLoad(const bb_target_io_t *io, const char *class_name,
                        bb_load_t *load);

/* To be called when another target of the service has responded to a call of
 * the class; load is the report that came with the response, record_slots the
 * slots of the target's record. */
void BbTargetIo_OnLoadElsewhere(bb_target_io_t *io, const char *class_name,
                                const bb_load_t *load, int record_slots);

int BbTargetIo_OpenCallCount(const bb_target_io_t *io);

#ifdef __cplusplus
}
#endif

#endif
