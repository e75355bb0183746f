/*
 * bb_backoff - delays between attempts while the platform does not answer
 *
 * The delay doubles with each failure, from BB_BACKOFF_MIN_MS up to
 * BB_BACKOFF_MAX_MS, with random jitter. The growing delay keeps the load low
 * during an outage; the jitter keeps nodes from retrying at the same moment
 * when the platform is back.
 */
#ifndef BB_BACKOFF_H
#define BB_BACKOFF_H

#include <stdint.h>

#include "bb_random.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_BACKOFF_MIN_MS 250

/* Every node must have the last accepted version in force within 6 s after the
 * platform is back (guarantee G9 of docs/design.md). A maximum of 4 s leaves
 * 2 s to take the lease, read the version and pass it on. */
#define BB_BACKOFF_MAX_MS 4000

/* Returns the delay in ms after *failures consecutive failures, and increments
 * *failures. */
int64_t BbBackoff_Next(int *failures, bb_random_t *random);

#ifdef __cplusplus
}
#endif

#endif
