#include "bb_token_bucket.h"

#include <glib.h>

#include "bb_counters.h"

#define MILLI_PER_TOKEN 1000 /* balances are in thousandths of a token */

void
BbTokenBucket_Init(bb_token_bucket_t *bucket, int64_t rate, int64_t now_ms)
{
    *bucket = (bb_token_bucket_t){rate, rate * MILLI_PER_TOKEN, now_ms};
}

static void
refill(bb_token_bucket_t *bucket, int64_t now_ms)
{
    /* A minute is more than any refill needs: from the lowest balance of
     * -4 x rate to the capacity of 1 x rate takes 5 s. */
    int64_t elapsed_ms = CLAMP(now_ms - bucket->refilled_ms, 0, 60000);
    bucket->refilled_ms = now_ms;
    bucket->balance = MIN(bucket->balance + elapsed_ms * bucket->rate,
                          bucket->rate * MILLI_PER_TOKEN);
}

bool
BbTokenBucket_HasTokens(bb_token_bucket_t *bucket, int64_t now_ms)
{
    refill(bucket, now_ms);
    return bucket->balance >= MILLI_PER_TOKEN;
}

void
BbTokenBucket_Take(bb_token_bucket_t *bucket, int64_t tokens, int64_t now_ms)
{
    refill(bucket, now_ms);
    /* The lower bound keeps urgent messages, which are sent regardless of the
     * balance, from delaying others for long. */
    bucket->balance = MAX(bucket->balance - tokens * MILLI_PER_TOKEN,
                          -4 * bucket->rate * MILLI_PER_TOKEN);
}

bool
BbTokenBucket_AdmitJoin(bb_token_bucket_t *bucket, bb_random_t *random,
                        int64_t now_ms, int64_t *delay_ms)
{
    if (BbTokenBucket_HasTokens(bucket, now_ms)) {
        BbTokenBucket_Take(bucket, 1, now_ms);
        BbCounters_Add(BB_COUNTER_JOIN_ADMITTED, 1);
        return true;
    }
    *delay_ms = BB_MAX_JOIN_DELAY_MS / 4 +
                BbRandom_Below(random, BB_MAX_JOIN_DELAY_MS * 3 / 4);
    BbCounters_Add(BB_COUNTER_JOIN_DEFERRED, 1);
    return false;
}
