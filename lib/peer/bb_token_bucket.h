/*
 * bb_token_bucket - token buckets that limit what a node sends and the joins
 * it admits
 *
 * Does no I/O and reads no clock; times are in milliseconds. A token stands
 * for one byte or one join. A message may make the balance of a bucket
 * negative, so that a message larger than the balance is delayed rather than
 * never sent.
 */
#ifndef BB_TOKEN_BUCKET_H
#define BB_TOKEN_BUCKET_H

#include "bb_random.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    int64_t rate;        /* tokens per second; also the capacity */
    int64_t balance;     /* thousandths of a token; may be negative */
    int64_t refilled_ms; /* time of the last refill */
} bb_token_bucket_t;

void BbTokenBucket_Init(bb_token_bucket_t *bucket, int64_t rate,
                        int64_t now_ms);

/* True when at least one token is available. */
bool BbTokenBucket_HasTokens(bb_token_bucket_t *bucket, int64_t now_ms);

/* Removes tokens; the balance may become negative, down to -4 x rate. */
void BbTokenBucket_Take(bb_token_bucket_t *bucket, int64_t tokens,
                        int64_t now_ms);

/* Longest delay given to a node whose join was deferred. */
#define BB_MAX_JOIN_DELAY_MS 2000

/*
 * Returns true when a join is admitted. Otherwise sets *delay_ms, after which
 * the node may retry. The rate of bucket is in joins per second.
 */
bool BbTokenBucket_AdmitJoin(bb_token_bucket_t *bucket, bb_random_t *random,
                             int64_t now_ms, int64_t *delay_ms);

#ifdef __cplusplus
}
#endif

#endif
