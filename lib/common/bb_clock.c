#include "bb_clock.h"

#include <glib.h>

double
BbClock_Now(struct ev_loop *loop)
{
    static ev_tstamp turn; /* of the loop for which now_s was read */
    static double now_s;

    if (ev_now(loop) != turn || now_s <= 0) {
        turn = ev_now(loop);
        now_s = (double)g_get_monotonic_time() / G_USEC_PER_SEC;
    }
    return now_s;
}
