/*
 * bb_retry_after - the Retry-After of a call refused for lack of capacity
 *
 * Designed for bursts in which hundreds of callers are refused within some
 * milliseconds: if all came back at the same moment, most would be refused
 * again.
 */
#ifndef BB_RETRY_AFTER_H
#define BB_RETRY_AFTER_H

#ifdef __cplusplus
extern "C" {
#endif

/* Seconds for the response, spread around the time until room is expected.
 * expected_s: 0 when not known; random_unit: uniform in 0 to 1. */
double BbRetryAfter_Spread(double expected_s, double random_unit);

#ifdef __cplusplus
}
#endif

#endif
