#include "bb_retry_after.h"

#include <glib.h>

/* Assumed when no node has estimated when a slot is free. */
#define DEFAULT_S 0.3

/* Below this a retry costs as much as it can gain: the state of a queue
 * reaches the other nodes only with the next responses. */
#define MIN_S 0.05
#define MAX_S 5.0

#define SPREAD_FROM 0.8
#define SPREAD_TO 1.5

double
BbRetryAfter_Spread(double expected_s, double random_unit)
{
    double base_s = expected_s > 0 ? expected_s : DEFAULT_S;

    return CLAMP(base_s, MIN_S, MAX_S) *
           (SPREAD_FROM + (SPREAD_TO - SPREAD_FROM) * random_unit);
}
