/*
 * bb_local_target - state of the target on this node's VM, from its heartbeats
 *
 * An incarnation is one run of the target's process. Only heartbeats of the
 * newest incarnation at the target's address are accepted, which is the one
 * with the latest start time; within an incarnation the sequence must grow. An
 * incarnation that has left stays gone, even if its heartbeats arrive late.
 *
 * After a restart, a heartbeat may be one from before a leave that the earlier
 * process has acknowledged. Until the record of that process is known, a
 * heartbeat makes no target ready.
 *
 * USE
 *   With waits_for_record set, BbLocalTarget_RecordKnown() after the record
 * was restored, or BbLocalTarget_RecordMissing() when it cannot be read.
 *   BbLocalTarget_Heartbeat(target, &heartbeat) and BbLocalTarget_Leave()
 *   return whether the state changed. Once either has returned, no call may
 *   start at a target that is draining or gone.
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
    BB_LOCAL_UNKNOWN, /* no valid heartbeat yet, or none that counts */
    BB_LOCAL_READY,
    BB_LOCAL_DRAINING,
    BB_LOCAL_GONE, /* the incarnation has departed */
} bb_local_state_t;

typedef struct {
    const char *id;
    const char *address;
    const char *service;
    int slots;
    bool is_draining;
    double cold_left_s;  /* time until warmed up; slower until then */
    int64_t sequence;    /* increases within an incarnation */
    int64_t born_ms;     /* wall clock time of its start; 0 if unknown */
    const char *version; /* of its software; NULL if unknown */
} bb_heartbeat_t;

typedef struct {
    const char *address;   /* of the target on this node's VM; copied */
    const char *service;   /* copied */
    bool waits_for_record; /* an earlier process may have left a record */
} bb_local_target_options_t;

typedef struct bb_local_target bb_local_target_t;

bb_local_target_t *BbLocalTarget_New(const bb_local_target_options_t *options);
void BbLocalTarget_Free(bb_local_target_t *target);

typedef enum {
    BB_HEARTBEAT_CHANGED,   /* state, incarnation, version or slots changed */
    BB_HEARTBEAT_UNCHANGED, /* accepted, no change */
    BB_HEARTBEAT_STALE,     /* older incarnation or sequence; ignored */
    BB_HEARTBEAT_OTHER_TARGET, /* another address or service; ignored */
} bb_heartbeat_result_t;

bb_heartbeat_result_t BbLocalTarget_Heartbeat(bb_local_target_t *target,
                                              const bb_heartbeat_t *heartbeat);

/* Marks an incarnation as departed. Returns true if the state changed: it was
 * the current one, or no target was known. In the second case its start time
 * is not known: BbLocalTarget_BornMs() is not changed. */
bool BbLocalTarget_Leave(bb_local_target_t *target, const char *id);

/* Restores the departure of an incarnation that an earlier process of this
 * node has acknowledged, so that late heartbeats of it are ignored. born_ms
 * and departed_born_ms are those of BbLocalTarget_BornMs() and
 * BbLocalTarget_DepartedBornMs() then. Returns true if the state changed. */
bool BbLocalTarget_RestoreDeparted(bb_local_target_t *target, const char *id,
                                   int64_t born_ms, int64_t departed_born_ms);

/* Reports that the record of the earlier process is known and restored, or
 * that there is none. The last heartbeat counts now. Returns true if the state
 * changed. */
bool BbLocalTarget_RecordKnown(bb_local_target_t *target);

/* Reports that the record cannot be read. The last heartbeat is dropped and
 * the next one counts. */
void BbLocalTarget_RecordMissing(bb_local_target_t *target);

/* Restores the ready state that an earlier process of this node has recorded,
 * unless this process has already received a heartbeat. Returns true if the
 * state changed. */
bool BbLocalTarget_RestoreReady(bb_local_target_t *target, const char *id,
                                int64_t born_ms, int slots);

/* Resets a restored ready state that no heartbeat has confirmed. Returns true
 * if the state changed. */
bool BbLocalTarget_ExpireRestored(bb_local_target_t *target);

/* Reports that another incarnation has responded at the address: the state is
 * unknown until the next heartbeat. */
void BbLocalTarget_OnMismatch(bb_local_target_t *target);

bb_local_state_t BbLocalTarget_State(const bb_local_target_t *target);
const char *BbLocalTarget_Id(const bb_local_target_t *target);
int64_t BbLocalTarget_BornMs(const bb_local_target_t *target);

/* When the state is draining or gone: the latest start time of the
 * incarnations with the current id that have departed. It is later than
 * BbLocalTarget_BornMs() if the start time was not known at the leave. */
int64_t BbLocalTarget_DepartedBornMs(const bb_local_target_t *target);
int BbLocalTarget_Slots(const bb_local_target_t *target);

/* Version of the target's software; NULL if unknown. */
const char *BbLocalTarget_Version(const bb_local_target_t *target);

/* Restores the version from the record that BbLocalTarget_RestoreReady() was
 * given; NULL if it has none. */
void BbLocalTarget_RestoreVersion(bb_local_target_t *target,
                                  const char *version);
/* cold_left_s of the last heartbeat. */
double BbLocalTarget_ColdLeft(const bb_local_target_t *target);

/* "unknown", "ready", "draining" or "gone". */
const char *BbLocalState_Name(bb_local_state_t state);

#ifdef __cplusplus
}
#endif

#endif
