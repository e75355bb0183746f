#include "bb_backoff.h"

int64_t
BbBackoff_Next(int *failures, bb_random_t *random)
{
    int64_t base = BB_BACKOFF_MIN_MS;

    for (int i = 0; i < *failures && base < BB_BACKOFF_MAX_MS; i++) {
        base *= 2;
    }
    *failures += 1;
    int64_t delay = BbRandom_Jitter(random, base);
    if (delay < BB_BACKOFF_MIN_MS) {
        return BB_BACKOFF_MIN_MS;
    }
    return delay < BB_BACKOFF_MAX_MS ? delay : BB_BACKOFF_MAX_MS;
}
