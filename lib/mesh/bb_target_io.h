/*
 * bb_target_io - calls to the target beside this node
 *
 * This node is the only way to its target, so it alone decides what starts
 * there: admission, queue and drain stand here. A call that the target did
 * not take ends with on_refused; it has cost no arrival at the target when
 * the reason is one of this node's own.
 *
 * USE
 *   reason = BbTargetIo_Offer(io, &request, handler, arg, &retry_after_s,
 *                             &attempt);
 *   After BB_REASON_NONE the attempt ends as bb_attempt.h says. After any
 *   other reason there is no attempt and the call has not run.
 */
#ifndef BB_TARGET_IO_H
#define BB_TARGET_IO_H

#include <ev.h>

#include "bb_attempt.h"
#include "bb_local_target.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_target_io bb_target_io_t;

typedef struct {
    struct ev_loop *loop;
    const char *address; /* of the target */
    const char *service;
    const bb_header_names_t *names;
    bb_local_target_t *target; /* borrowed */
} bb_target_io_options_t;

bb_target_io_t *BbTargetIo_New(const bb_target_io_options_t *options);

/* No attempt may be open. */
void BbTargetIo_Free(bb_target_io_t *io);

bb_reason_t BbTargetIo_Offer(bb_target_io_t *io,
                             const bb_attempt_request_t *request,
                             const bb_attempt_handler_t *handler, void *arg,
                             double *retry_after_s, bb_attempt_t **attempt);

/* Reason for which an offer made now would be refused. */
bb_reason_t BbTargetIo_Obstacle(const bb_target_io_t *io,
                                const bb_attempt_request_t *request,
                                double *retry_after_s);

/* Mean seconds of a call of this class at the target. */
double BbTargetIo_ServiceTime(const bb_target_io_t *io,
                              const char *class_name);

/* The state of the local target has changed: waiting calls are refused when
 * it leaves. */
void BbTargetIo_TargetChanged(bb_target_io_t *io);

/* This node leaves: waiting calls go on, new ones are refused. */
void BbTargetIo_SetLeaving(bb_target_io_t *io);

/* Load as reported to other nodes; the version is left alone. */
void BbTargetIo_GetLoad(const bb_target_io_t *io, bb_load_t *load);

int BbTargetIo_OpenCalls(const bb_target_io_t *io);

#ifdef __cplusplus
}
#endif

#endif
