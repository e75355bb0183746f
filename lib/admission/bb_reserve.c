#include "bb_reserve.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <utlist.h>

/* Time constant of the arrival rates: the reserve follows a burst of some
 * seconds, and most of it is released a second after the last urgent call. */
#define RATE_DECAY_S 0.7

/* Share of the slots that every rank may occupy. */
#define MIN_SHARE 0.25

/* Share of urgent calls that may wait for too long while no slot is reserved.
 * The users accept that an urgent class is served up to 5 in 100 less often
 * than a less urgent one, so a reserve that avoids less costs more than it
 * gains. */
#define MAX_LATE_SHARE 0.05

/* Half of the calls take longer than the mean. */
#define SERVICE_MARGIN 1.3

/* A class without arrivals for this time is forgotten. */
#define FORGET_S 30.0

/* Ranks from here on share one count of running calls. */
#define MAX_RANKS 16

/* Arrivals of one class at one rank; the rank of an account takes precedence
 * over that of the route, so a class may have several. */
typedef struct reserve_class {
    char *name;
    int rank;
    double service_s;
    double slack_s; /* time that a call of the class can wait */
    double count;   /* of arrivals, decayed */
    double counted_at;
    struct reserve_class *prev, *next;
} reserve_class_t;

struct bb_reserve {
    reserve_class_t *classes;
    int running[MAX_RANKS];
};

bb_reserve_t *
BbReserve_New(void)
{
    return g_new0(bb_reserve_t, 1);
}

static void
remove_class(bb_reserve_t *reserve, reserve_class_t *class)
{
    DL_DELETE(reserve->classes, class);
    g_free(class->name);
    g_free(class);
}

void
BbReserve_Free(bb_reserve_t *reserve)
{
    if (reserve == NULL) {
        return;
    }
    while (reserve->classes != NULL) {
        remove_class(reserve, reserve->classes);
    }
    g_free(reserve);
}

static double
current_count(const reserve_class_t *class, double now)
{
    return class->count *
           exp(-MAX(now - class->counted_at, 0.0) / RATE_DECAY_S);
}

static reserve_class_t *
find_class(bb_reserve_t *reserve, const bb_reserve_call_t *call, double now)
{
    reserve_class_t *class, *next, *found = NULL;

    DL_FOREACH_SAFE (reserve->classes, class, next) {
        if (class->rank == call->rank &&
            strcmp(class->name, call->class_name) == 0) {
            found = class;
        }
        else if (now - class->counted_at > FORGET_S) {
            remove_class(reserve, class);
        }
    }
    return found;
}

void
BbReserve_OnArrival(bb_reserve_t *reserve, const bb_reserve_call_t *call,
                    double now)
{
    if (call->class_name == NULL || call->target_latency_s <= 0) {
        return;
    }
    reserve_class_t *class = find_class(reserve, call, now);
    if (class == NULL) {
        class = g_new0(reserve_class_t, 1);
        class->name = g_strdup(call->class_name);
        class->rank = call->rank;
        DL_APPEND(reserve->classes, class);
    }
    class->count = current_count(class, now) + 1;
    class->counted_at = now;
    class->service_s = call->service_s;
    class->slack_s =
        MAX(call->target_latency_s - call->service_s * SERVICE_MARGIN, 0.0);
}

static int
rank_index(int rank)
{
    return CLAMP(rank, 0, MAX_RANKS - 1);
}

void
BbReserve_OnStart(bb_reserve_t *reserve, int rank)
{
    reserve->running[rank_index(rank)]++;
}

void
BbReserve_OnEnd(bb_reserve_t *reserve, int rank)
{
    reserve->running[rank_index(rank)]--;
}

/* Calls that are more urgent than the one that asks. */
typedef struct {
    double per_s;
    double service_s;
    double slack_s;
} urgent_calls_t;

static urgent_calls_t
sum_urgent(const bb_reserve_t *reserve, const bb_reserve_call_t *call,
           double now)
{
    const reserve_class_t *class;
    urgent_calls_t sum = {0};

    DL_FOREACH (reserve->classes, class) {
        if (class->rank < call->rank && call->service_s > class->slack_s) {
            double per_s = current_count(class, now) / RATE_DECAY_S;
            sum.per_s += per_s;
            sum.service_s += per_s * class->service_s;
            sum.slack_s += per_s * class->slack_s;
        }
    }
    if (sum.per_s > 0) {
        sum.service_s /= sum.per_s;
        sum.slack_s /= sum.per_s;
    }
    return sum;
}

/* Share of the urgent calls that wait for longer than their slack when the
 * calls of the class that asks hold all slots but the reserved ones. The
 * waiting time is that of a queue whose next call starts whenever a slot is
 * free, at random times. */
static double
late_share(const urgent_calls_t *urgent, double long_s, int slots,
           int reserved)
{
    double freed_per_s =
        (slots - reserved) / long_s + reserved / urgent->service_s;

    if (freed_per_s <= urgent->per_s) {
        return 1.0;
    }
    return urgent->per_s / freed_per_s *
           exp(-(freed_per_s - urgent->per_s) * urgent->slack_s);
}

int
BbReserve_Limit(const bb_reserve_t *reserve, const bb_reserve_call_t *call,
                int slots, double now)
{
    const urgent_calls_t urgent = sum_urgent(reserve, call, now);
    int floor_slots = (int)ceil(slots * MIN_SHARE);
    int limit = slots;

    if (urgent.per_s > 0 && urgent.service_s > 0) {
        while (limit > floor_slots &&
               late_share(&urgent, call->service_s, slots, slots - limit) >
                   MAX_LATE_SHARE) {
            limit--;
        }
    }
    return MAX(limit, 1);
}

bool
BbReserve_MayStart(const bb_reserve_t *reserve, const bb_reserve_call_t *call,
                   int slots, double now)
{
    int running = 0;

    for (int i = rank_index(call->rank); i < MAX_RANKS; i++) {
        running += reserve->running[i];
    }
    return running < BbReserve_Limit(reserve, call, slots, now);
}
