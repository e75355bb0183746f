/*
 * bb_local_target - the target beside this node, from its heartbeats
 *
 * A heartbeat counts when it comes from the newest incarnation at the
 * target's address: a later birth wins, and within one incarnation a higher
 * sequence. An incarnation that has left stays gone, whatever arrives late.
 *
 * USE
 *   BbLocalTarget_Heartbeat(target, &heartbeat) and BbLocalTarget_Leave()
 *   return whether the state changed. From the return of either no call may
 *   start at a target that drains or is gone.
 */
#ifndef BB_LOCAL_TARGET_H
#define BB_LOCAL_TARGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BB_TARGET_ID_TEXT 200

typedef enum {
    BB_LOCAL_UNKNOWN, /* no heartbeat so far */
    BB_LOCAL_READY,
    BB_LOCAL_DRAINING,
    BB_LOCAL_GONE,
} bb_local_state_t;

typedef struct {
    const char *id;
    const char *address;
    const char *service;
    int slots;
    bool is_draining;
    double cold_left_s; /* it is slow for this much longer */
    int64_t sequence;   /* grows within an incarnation */
    int64_t born_ms;    /* wall clock at its start; 0 when not told */
} bb_heartbeat_t;

typedef struct {
    const char *address; /* of the target beside this node; copied */
    const char *service; /* copied */
} bb_local_target_options_t;

typedef struct bb_local_target bb_local_target_t;

bb_local_target_t *BbLocalTarget_New(const bb_local_target_options_t *options);
void BbLocalTarget_Free(bb_local_target_t *target);

typedef enum {
    BB_HEARTBEAT_CHANGED,   /* state, incarnation or slots are new */
    BB_HEARTBEAT_UNCHANGED, /* nothing new */
    BB_HEARTBEAT_STALE,     /* of an older incarnation or out of order */
    BB_HEARTBEAT_FOREIGN,   /* of another address or service */
} bb_heartbeat_result_t;

bb_heartbeat_result_t BbLocalTarget_Heartbeat(bb_local_target_t *target,
                                              const bb_heartbeat_t *heartbeat);

/* The incarnation leaves. True when it was the current one. */
bool BbLocalTarget_Leave(bb_local_target_t *target, const char *id);

/* An earlier process of this node has acknowledged that the incarnation
 * leaves, so heartbeats of it that arrive late count no more. True when the
 * state changed. */
bool BbLocalTarget_Recall(bb_local_target_t *target, const char *id,
                          int64_t born_ms);

/* An earlier process of this node has known the incarnation as ready, and no
 * heartbeat has come to this one so far. True when the state changed. */
bool BbLocalTarget_RecallReady(bb_local_target_t *target, const char *id,
                               int64_t born_ms, int slots);

/* Ends a recalled state that no heartbeat has confirmed. True when the state
 * changed. */
bool BbLocalTarget_ExpireRecall(bb_local_target_t *target);

/* Another incarnation answered at the address: nothing is known until the
 * next heartbeat. */
void BbLocalTarget_Mismatch(bb_local_target_t *target);

bb_local_state_t BbLocalTarget_State(const bb_local_target_t *target);
const char *BbLocalTarget_Id(const bb_local_target_t *target);
int64_t BbLocalTarget_BornMs(const bb_local_target_t *target);
int BbLocalTarget_Slots(const bb_local_target_t *target);

/* "unknown", "ready", "draining" or "gone". */
const char *BbLocalState_Name(bb_local_state_t state);

#ifdef __cplusplus
}
#endif

#endif
