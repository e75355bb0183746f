/*
 * bb_clock - time for decisions, unmoved by steps of the time of day
 *
 * ev_now() follows the time of day: a step of 3 s makes every deadline pass
 * or every pause last 3 s longer. Decisions take the time from here.
 *
 * USE
 *   double now = BbClock_Now(loop); seconds of the monotonic clock, the same
 *   for all callbacks of one turn of the loop.
 */
#ifndef BB_CLOCK_H
#define BB_CLOCK_H

#include <ev.h>

#ifdef __cplusplus
extern "C" {
#endif

double BbClock_Now(struct ev_loop *loop);

#ifdef __cplusplus
}
#endif

#endif
