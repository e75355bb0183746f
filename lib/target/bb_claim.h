/*
 * bb_claim - claim of an idempotency key in a platform table before the call
 *            with this key is sent
 *
 * This module chooses the next step and builds the transactions; the owner of
 * the claim makes the requests through bb_platform_io.h. The target-side node
 * uses it for pools with once = "claim", after admission control has given the
 * call a slot, so that refused calls cost no platform write.
 *
 * USE
 *   action = BbClaim_Start(&claim, pool, key, call_id, write_id);
 *   Then, until the action is BB_CLAIM_RUN or BB_CLAIM_RESPOND:
 *     BB_CLAIM_COMMIT  json = BbClaim_InsertTransaction(&claim), commit it,
 *                      pass the result to BbClaim_OnCommit()
 *     BB_CLAIM_READ    get the row claim.row_key of BB_CLAIM_TABLE, pass the
 *                      result to BbClaim_OnRead()
 *     BB_CLAIM_RUN     send the call to the target
 *     BB_CLAIM_RESPOND answer with claim.reason and claim.status
 *   After BB_CLAIM_RUN: commit BbClaim_EndTransaction() if the call ended with
 *   a status, or BbClaim_ReleaseTransaction() if it certainly did not reach
 *   the target. Wait for the result of the release before answering not-run,
 *   because the retry will read the row. If it is not known how the call
 *   ended, commit nothing: repeats of the key are then answered unknown until
 *   the row expires.
 *
 * ERRORS
 *   The call runs only if the row certainly belongs to it; in all other cases
 *   it is answered. If the row of another run has no status, the outcome of
 *   the response is unknown (key_unknown).
 */
#ifndef BB_CLAIM_H
#define BB_CLAIM_H

#include <jansson.h>
#include <stdint.h>

#include "bb_config.h"
#include "bb_reason.h"
#include "bb_release.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_CLAIM_TABLE "claims"
#define BB_CLAIM_TTL_MS (24 * 3600 * 1000)
#define BB_CLAIM_MAX_KEY_LENGTH 255 /* length of an Idempotency-Key */
/* Pool, '/' and the key, or '~' and its hash if the key is longer than 128 or
 * needs quoting in a URL path. */
#define BB_CLAIM_ROW_KEY_TEXT (BB_MAX_NAME_LENGTH + 1 + 128)

typedef enum {
    BB_CLAIM_COMMIT,
    BB_CLAIM_READ,
    BB_CLAIM_RUN,
    BB_CLAIM_RESPOND,
} bb_claim_action_t;

typedef struct {
    char row_key[BB_CLAIM_ROW_KEY_TEXT + 1]; /* POOL/KEY */
    char call_id[BB_WRITE_ID_HEX_LENGTH + 1];
    char write_id[BB_WRITE_ID_HEX_LENGTH + 1];
    int insert_count; /* number of inserts requested so far */
    int64_t revision; /* of the row of this claim; valid after BB_CLAIM_RUN */
    bb_reason_t reason; /* valid after BB_CLAIM_RESPOND */
    int status;         /* HTTP status of the first run if reason is
                           BB_REASON_KEY_RAN */
} bb_claim_t;

/* write_id is a new random id of BB_WRITE_ID_HEX_LENGTH hex digits. */
bb_claim_action_t BbClaim_Start(bb_claim_t *claim, const char *pool,
                                const char *key, const char *call_id,
                                const char *write_id);

/* Transaction that inserts the row unless it exists. All functions that return
 * json_t return a new reference. */
json_t *BbClaim_InsertTransaction(const bb_claim_t *claim);

/* Next action after the commit of an insert. error and response are those
 * that bb_platform_cb_t gets. */
bb_claim_action_t BbClaim_OnCommit(bb_claim_t *claim, int error,
                                   json_t *response);

/* Next action after the row was read. */
bb_claim_action_t BbClaim_OnRead(bb_claim_t *claim, int error,
                                 json_t *response);

/* Transaction that stores the status of the ended run. end_id is a new random
 * id. */
json_t *BbClaim_EndTransaction(const bb_claim_t *claim, const char *end_id,
                               int status);

/* Transaction that deletes the row of this claim. release_id is a new random
 * id. */
json_t *BbClaim_ReleaseTransaction(const bb_claim_t *claim,
                                   const char *release_id);

#ifdef __cplusplus
}
#endif

#endif
