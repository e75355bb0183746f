#include "bb_pace.h"

#include <glib.h>

#include "bb_counters.h"

#define MILLI_PER_UNIT 1000 /* balances are in thousandths of a unit */

void
BbBucket_Init(bb_bucket_t *bucket, int64_t rate, int64_t now_ms)
{
    *bucket = (bb_bucket_t){rate, rate * MILLI_PER_UNIT, now_ms};
}

static void
refill(bb_bucket_t *bucket, int64_t now_ms)
{
    /* A minute is more than any refill needs: from the lowest balance of
     * -4 x rate to the capacity of 1 x rate takes 5 s. */
    int64_t elapsed_ms = CLAMP(now_ms - bucket->refilled_ms, 0, 60000);
    bucket->refilled_ms = now_ms;
    bucket->balance = MIN(bucket->balance + elapsed_ms * bucket->rate,
                          bucket->rate * MILLI_PER_UNIT);
}

bool
BbBucket_IsOpen(bb_bucket_t *bucket, int64_t now_ms)
{
    refill(bucket, now_ms);
    return bucket->balance >= MILLI_PER_UNIT;
}

void
BbBucket_Take(bb_bucket_t *bucket, int64_t units, int64_t now_ms)
{
    refill(bucket, now_ms);
    /* The lower bound keeps urgent messages, which are sent regardless of the
     * balance, from delaying others for long. */
    bucket->balance = MAX(bucket->balance - units * MILLI_PER_UNIT,
                          -4 * bucket->rate * MILLI_PER_UNIT);
}

bool
BbPace_AdmitJoin(bb_bucket_t *bucket, bb_random_t *random, int64_t now_ms,
                 int64_t *delay_ms)
{
    if (BbBucket_IsOpen(bucket, now_ms)) {
        BbBucket_Take(bucket, 1, now_ms);
        BbCounters_Add(BB_COUNTER_JOIN_ADMITTED, 1);
        return true;
    }
    *delay_ms = BB_MAX_JOIN_DELAY_MS / 4 +
                BbRandom_Below(random, BB_MAX_JOIN_DELAY_MS * 3 / 4);
    BbCounters_Add(BB_COUNTER_JOIN_DEFERRED, 1);
    return false;
}
