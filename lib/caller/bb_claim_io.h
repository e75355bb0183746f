/*
 * bb_claim_io - sends the platform requests of one claim (see bb_claim.h)
 *
 * USE
 *   BbClaimIo_Start() writes the claim and calls ready() once. After
 *   BB_CLAIM_RUN the owner calls exactly one of BbClaimIo_End(), _Release()
 *   and _Abandon(); after _Release() also _Abandon(), if the callback is no
 *   longer wanted. After BB_CLAIM_RESPOND it calls BbClaimIo_Abandon().
 *
 * LIMITS
 *   A request to the platform cannot be cancelled. When a claim is abandoned
 *   before ready() and its insert succeeds later, the claim is released,
 *   because its call was not sent.
 */
#ifndef BB_CLAIM_IO_H
#define BB_CLAIM_IO_H

#include "bb_claim.h"
#include "bb_platform_io.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_claim_io bb_claim_io_t;

/* action is BB_CLAIM_RUN, or BB_CLAIM_RESPOND with the reason and status of
 * the response (see bb_claim_t). */
typedef void (*bb_claim_ready_cb_t)(bb_claim_action_t action,
                                    bb_reason_t reason, int status, void *arg);

typedef struct {
    bb_platform_t *platform;
    const char *pool;
    const char *key;
    const char *call_id;
    bb_claim_ready_cb_t ready;
    void *arg;
} bb_claim_io_options_t;

/* *out is set before ready() can run. */
void BbClaimIo_Start(const bb_claim_io_options_t *options,
                     bb_claim_io_t **out);

/* Writes the status with which the run ended to the row. Frees the claim. */
void BbClaimIo_End(bb_claim_io_t *claim, int status);

/* Deletes the row, because the call was not sent. Calls released when the
 * platform has answered, unless BbClaimIo_Abandon() comes first. Frees the
 * claim. */
void BbClaimIo_Release(bb_claim_io_t *claim, void (*released)(void *arg),
                       void *arg);

/* Frees the claim, after the end of a request that is in progress. No callback
 * is called afterwards. */
void BbClaimIo_Abandon(bb_claim_io_t *claim);

#ifdef __cplusplus
}
#endif

#endif
