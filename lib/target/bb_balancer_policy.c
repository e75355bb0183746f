/* Policies of bb_balancer for the choice of a candidate. */
#include <string.h>
#include <xxhash.h>

#include "bb_balancer.h"

/* Draws a random index. A candidate in the ramp is accepted with the
 * probability of its share; after four rejections in a row the last one is
 * taken. */
static size_t
draw_index(const bb_candidate_view_t *views, size_t count, bb_random_t *random)
{
    size_t index = 0;
    for (int i = 0; i < 4; i++) {
        index = (size_t)BbRandom_Below(random, (int32_t)count);
        if (views[index].share >= 1 ||
            BbRandom_Unit(random) < views[index].share) {
            break;
        }
    }
    return index;
}

static size_t
choose_least_of_two(const bb_candidate_view_t *views, size_t count,
                    const char *key, uint64_t *cursor, bb_random_t *random)
{
    (void)key;
    (void)cursor;
    size_t a = draw_index(views, count, random);
    size_t b = draw_index(views, count, random);
    return views[b].score < views[a].score ? b : a;
}

static size_t
choose_round_robin(const bb_candidate_view_t *views, size_t count,
                   const char *key, uint64_t *cursor, bb_random_t *random)
{
    (void)views;
    (void)key;
    (void)random;
    return (size_t)((*cursor)++ % count);
}

static size_t
choose_rendezvous(const bb_candidate_view_t *views, size_t count,
                  const char *key, uint64_t *cursor, bb_random_t *random)
{
    (void)cursor;
    (void)random;
    size_t best = 0;
    uint64_t best_weight = 0;
    uint64_t seed = key != NULL ? XXH3_64bits(key, strlen(key)) : 0;
    for (size_t i = 0; i < count; i++) {
        uint64_t weight = XXH3_64bits_withSeed(views[i].address,
                                               strlen(views[i].address), seed);
        if (i == 0 || weight > best_weight) {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

static const bb_balancer_policy_t least_of_two = {"least-of-two",
                                                  choose_least_of_two};
static const bb_balancer_policy_t round_robin = {"round-robin",
                                                 choose_round_robin};
static const bb_balancer_policy_t rendezvous = {"rendezvous",
                                                choose_rendezvous};

const bb_balancer_policy_t *
BbBalancer_LeastOfTwoPolicy(void)
{
    return &least_of_two;
}

const bb_balancer_policy_t *
BbBalancer_RoundRobinPolicy(void)
{
    return &round_robin;
}

const bb_balancer_policy_t *
BbBalancer_RendezvousPolicy(void)
{
    return &rendezvous;
}
