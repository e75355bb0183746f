/*
 * bb_clock - monotonic time of a libev loop
 *
 * ev_now() follows the time of day. If the time of day is set 3 s forward or
 * back, deadlines pass 3 s too early or delays last 3 s longer. Deadlines and
 * delays are therefore computed from BbClock_Now(), which such steps do not
 * change.
 *
 * USE
 *   double now = BbClock_Now(loop); seconds of the monotonic clock, the same
 *   for all callbacks of one iteration of the loop.
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
