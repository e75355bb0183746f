/*
 * bb_random - seeded random numbers
 *
 * Random choices, delays and jitter use a bb_random_t, so that a test can
 * replay a run from its seed. The numbers are predictable: keys, call ids and
 * node ids come from libsodium's randombytes_buf() instead.
 */
#ifndef BB_RANDOM_H
#define BB_RANDOM_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_random bb_random_t;

/* With seed 0 the generator is seeded by the operating system. */
bb_random_t *BbRandom_New(uint32_t seed);

void BbRandom_Free(bb_random_t *random);

/* Returns a number in [0, bound); bound must be positive. */
int32_t BbRandom_Below(bb_random_t *random, int32_t bound);

/* Returns a number in [0, 1). */
double BbRandom_Unit(bb_random_t *random);

/* Returns a number in [base/2, base*3/2], so that the retries of several nodes
 * do not coincide. */
int64_t BbRandom_Jitter(bb_random_t *random, int64_t base);

#ifdef __cplusplus
}
#endif

#endif
