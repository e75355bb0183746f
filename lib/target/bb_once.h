/*
 * bb_once - at-most-once execution of calls at one target-side node
 *
 * Only for calls that are not idempotent. Keeps two tables of records: of call
 * ids, in case a layer below the proxy repeats a request between nodes, and,
 * for pools with once = "window", of pairs (pool, key), in case a caller
 * repeats a call through another node. The window is the time for which a
 * record is kept.
 *
 * The record of a refused call has its attempt number: a late copy of an
 * attempt that was answered not-run must not run, because the caller-side
 * node may already have sent the call to another target.
 *
 * The order of a key is the order in which caller-side nodes try the
 * candidates for a call with this key, see BbBalancer_Choose(). A key that
 * this node refuses so that the next node of the order may run it has moved
 * (key_moved).
 *
 * USE
 *   BbOnce_Begin()   before admission control. Continue the call on
 *                    BB_ONCE_PROCEED, else answer with response.reason.
 *   BbOnce_Refuse()  when the call is answered not-run after all
 *   BbOnce_End()     when the target has answered with a status, or with
 *                    status 0 if it is not known how the call ended
 *   Call exactly one of BbOnce_Refuse() and BbOnce_End() after each
 *   BB_ONCE_PROCEED.
 *
 * LIMITS
 *   Records of running calls are never dropped. When a table is full, new
 *   calls are refused not-run (window_full), so that no record is dropped
 *   before its time. The table of call ids holds up to max_calls records of
 *   refusals in addition to max_calls other records. A refusal for which there
 *   is no room is answered unknown (refusals_full), since a
 *   late copy of the attempt could run. One record takes about 120 bytes.
 *   If all nodes in the order of a key have answered key_moved, because each
 *   has just joined, drains or has a target that is absent or starting, the
 *   call is sent to the first node of the order again, with Burdock-Key-Last.
 *   Two caller-side nodes with different views of the members could then
 *   choose different nodes.
 *   The records are lost when the process ends; see bb_claim.h for keys that
 *   must survive it.
 */
#ifndef BB_ONCE_H
#define BB_ONCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bb_reason.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_ONCE_CALL_RETENTION_MS 60000
#define BB_ONCE_KEY_RETENTION_MS 600000
/* Retention of keys plus the time in which all nodes learn of a join. */
#define BB_ONCE_DEFER_MS (BB_ONCE_KEY_RETENTION_MS + 30000)
#define BB_ONCE_MAX_CALLS 40000 /* 4 times 144 calls/s for 60 s */
#define BB_ONCE_MAX_KEYS 120000

typedef struct {
    /* Both are counted from the end of a call; 0 takes the constant above. */
    int call_retention_ms;
    int key_retention_ms;

    size_t max_calls; /* 0: BB_ONCE_MAX_CALLS */
    size_t max_keys;  /* 0: BB_ONCE_MAX_KEYS */
    int defer_ms;     /* see BbOnce_DeferUnknownKeys(); 0: off */
} bb_once_options_t;

typedef enum {
    BB_ONCE_PROCEED,
    BB_ONCE_RESPOND,
} bb_once_verdict_t;

typedef struct {
    const char *call_id; /* value of Burdock-Call */
    int attempt;         /* value of Burdock-Attempt, from 1 */
    const char *pool;
    const char *key;    /* NULL unless the pool has once = "window" */
    bool is_last_round; /* Burdock-Key-Last is set: every other node in the
                           order of the key has answered key_moved */
} bb_once_call_t;

typedef struct {
    bb_reason_t
        reason; /* determines outcome and HTTP status of the response */
    int status; /* HTTP status of the first run if reason is
                   BB_REASON_CALL_RAN or BB_REASON_KEY_RAN, else 0 */
} bb_once_response_t;

typedef struct bb_once bb_once_t;

bb_once_t *BbOnce_New(const bb_once_options_t *options);

void BbOnce_Free(bb_once_t *once);

/* Records the call as running, or sets response and returns BB_ONCE_RESPOND.
 */
bb_once_verdict_t BbOnce_Begin(bb_once_t *once, const bb_once_call_t *call,
                               int64_t now_ms, bb_once_response_t *response);

/*
 * Records that a running call was refused and did not run. If the target is
 * draining, absent or starting or the node drains, the key is recorded as
 * moved: this node then refuses it (key_moved) even if the target becomes
 * ready again, so that the caller-side node may use the next target in the
 * order of the key. Returns the reason to answer with: BB_REASON_KEY_MOVED in
 * that case, BB_REASON_REFUSALS_FULL (unknown) if there was no room for the
 * record of a not-run refusal, else reason.
 */
bb_reason_t BbOnce_Refuse(bb_once_t *once, const bb_once_call_t *call,
                          bb_reason_t reason, int64_t now_ms);

/* Records the end of a running call. status is the HTTP status of the target's
 * response, 0 if not known. */
void BbOnce_End(bb_once_t *once, const bb_once_call_t *call, int status,
                int64_t now_ms);

/*
 * To be called when the node starts and whenever its target appears. For
 * defer_ms, keys without a record are refused and recorded as moved: a
 * joining node becomes the first in the order of a part of the keys, but the
 * node that ran them is now the second. Without this, a call that its caller
 * repeats after the join would run a second time.
 */
void BbOnce_DeferUnknownKeys(bb_once_t *once, int64_t now_ms);

/* Drops expired records. BbOnce_Begin() does this as well. */
void BbOnce_Tick(bb_once_t *once, int64_t now_ms);

size_t BbOnce_CallCount(const bb_once_t *once);
size_t BbOnce_KeyCount(const bb_once_t *once);

#ifdef __cplusplus
}
#endif

#endif
