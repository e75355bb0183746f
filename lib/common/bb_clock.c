#include "bb_clock.h"

#include <glib.h>

double
BbClock_Now(struct ev_loop *loop)
{
    static ev_tstamp iteration_start; /* ev_now() when now_s was read */
    static double now_s;

    if (ev_now(loop) != iteration_start || now_s <= 0) {
        iteration_start = ev_now(loop);
        now_s = (double)g_get_monotonic_time() / G_USEC_PER_SEC;
    }
    return now_s;
}
