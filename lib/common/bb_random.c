#include "bb_random.h"

#include <assert.h>
#include <glib.h>

struct bb_random {
    GRand *generator;
};

bb_random_t *
BbRandom_New(uint32_t seed)
{
    bb_random_t *random = g_new0(bb_random_t, 1);
    random->generator = seed != 0 ? g_rand_new_with_seed(seed) : g_rand_new();
    return random;
}

void
BbRandom_Free(bb_random_t *random)
{
    if (random != NULL) {
        g_rand_free(random->generator);
        g_free(random);
    }
}

int32_t
BbRandom_Below(bb_random_t *random, int32_t bound)
{
    assert(bound > 0);
    return g_rand_int_range(random->generator, 0, bound);
}

double
BbRandom_Unit(bb_random_t *random)
{
    return g_rand_double(random->generator);
}

int64_t
BbRandom_Jitter(bb_random_t *random, int64_t base)
{
    return base / 2 + (int64_t)(BbRandom_Unit(random) * (double)(base + 1));
}
