#include "bb_pace.h"

#include <glib.h>
#include <math.h>

#include "bb_name_table.h"

/* A started target begins with this share of its slots: a target that takes
 * twice the usual time after its start holds half of them. */
#define START_SHARE 0.5

/* Assumed slowness of a started target before its first responses. With 1, its
 * queue admits calls that end late in the first round trip. */
#define START_SLOWNESS 1.5

/* Least limit at the beginning and while the target is only slow. One call at
 * a time would make the ramp depend on the time of a single call. */
#define FLOOR 2

/* A target that is started again within this time flaps, and begins with
 * FLOOR: it may go down again before it is warm. */
#define FLAP_S 5.0

/* Least limit while calls fail. */
#define FAILING_FLOOR 1

/* Calls that take at most this many times their time elsewhere are as fast.
 * The time of a call varies by about half of its mean. */
#define FAST_SLOWNESS 1.5

/* Mean slowness below which a slow target is as fast again. With one bound for
 * both, the limit of a target of about that slowness goes up and down. */
#define FAST_AGAIN_SLOWNESS 1.3

/* One response counts for at most this much more than the mean, because a few
 * calls in a hundred take many times as long at any target. */
#define MAX_STEP 1.5

/* Bounds for the weight of the newest response in the mean slowness. */
#define MIN_WEIGHT 0.1
#define MAX_WEIGHT 0.25

/* The limit is only raised while at least this share of it is in use: fewer
 * calls do not show that the target holds more. */
#define MIN_USED_SHARE 0.25

/* Share of the slots that a slow target keeps while others have room: with
 * fewer calls it takes seconds to show that it has become warm. */
#define SLOW_SHARE 0.4

/* Calls per slot elsewhere up to which the others have room, and from which
 * the service needs all slots of a slow target. */
#define ROOM_USAGE 0.6
#define SHORT_USAGE 0.9

/* One report counts for at most this many calls per slot. */
#define MAX_USAGE 1.5

/* Factors of the limit at one lowering, at most once in a round trip. */
#define SLOW_FACTOR 0.8
#define FAILURE_FACTOR 0.5

/* Raise for each fast and each slow response while the target holds more calls
 * than the limit. */
#define FAST_STEP 2.0
#define SLOW_STEP 0.5

/* The limit ends after as many fast responses as this share of the slots, all
 * of them with all slots in use or free. */
#define FULL_SHARE 0.4

/* A target with half of its slots in use normally responds many times within
 * this time. */
#define SILENCE_S 1.0

/* Time without failures after which a slow target is released, twice the time
 * for which a started target is slow, and the time in which its limit then
 * rises to all slots. */
#define PACE_SLOW_S 6.0
#define PACE_RELEASE_S 2.0

/* Time after the end that the target has forecast: one round trip shows
 * whether it is warm. */
#define FORECAST_SLACK_S 1.0

/* Slowness that the load report shows at most while the limit is not reached.
 * Placement prefers fast targets while they have free slots: with its real
 * slowness a target gets hardly any calls, and does not show for seconds that
 * it has become warm. Once the limit is reached the real slowness is shown, so
 * that calls go to another data centre instead of waiting for a slow target.
 */
#define MAX_REPORTED_SLOWNESS 1.05

/* Weight of the newest report in the usage elsewhere: a mean over one or two
 * seconds, because the limit of a slow target follows it. */
#define USAGE_WEIGHT 0.03

/* Weight of the newest report in the time of a class elsewhere, and the age
 * from which that time is not used. */
#define REFERENCE_WEIGHT 0.1
#define REFERENCE_MAX_AGE_S 10.0
#define MAX_CLASSES 256

typedef struct {
    double mean_s;
    double reported_at;
} reference_t;

struct bb_pace {
    GHashTable *references; /* class to reference_t */
    int slots;
    bool is_active;
    bool is_slow; /* by the mean of its responses */
    bb_pace_reason_t reason;
    double limit;
    double slowness;
    double elsewhere_s; /* mean time elsewhere of the calls that responded */
    double usage;       /* calls per slot elsewhere */
    int64_t usage_reports;
    double started_at; /* last start of an incarnation */
    double begun_at;
    double calm_since; /* begin of the limit, or the last failure */
    double cold_until;
    bool has_forecast; /* of cold_until, by the target */
    double lowered_at;
    double round_trip_s; /* time of the last call, at least that elsewhere */
    int full_responses;  /* fast ones since the limit has reached all slots */
    double responded_at; /* 0 before the first response */
};

bb_pace_t *
BbPace_New(void)
{
    bb_pace_t *pace = g_new0(bb_pace_t, 1);

    pace->references =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    pace->slowness = 1;
    pace->started_at = -FLAP_S;
    return pace;
}

void
BbPace_Free(bb_pace_t *pace)
{
    if (pace != NULL) {
        g_hash_table_destroy(pace->references);
        g_free(pace);
    }
}

void
BbPace_SetSlots(bb_pace_t *pace, int slots)
{
    pace->slots = slots;
    pace->limit = MIN(pace->limit, MAX(slots, 1));
}

/* How short of room the service is: 0 while others have slots free, 1 when it
 * needs all slots of this target. */
static double
shortage(const bb_pace_t *pace)
{
    double part = (pace->usage - ROOM_USAGE) / (SHORT_USAGE - ROOM_USAGE);

    return CLAMP(part, 0.0, 1.0);
}

/* The share of the slots, and more the fewer slots are free elsewhere. */
static double
limit_at_usage(const bb_pace_t *pace, double share)
{
    double all = MAX(pace->slots, 1);
    double least = MIN(MAX(all * share, FLOOR), all);

    return least + shortage(pace) * (all - least);
}

bb_pace_change_t
BbPace_Begin(bb_pace_t *pace, bb_pace_reason_t reason, double cold_left_s,
             double now)
{
    bool is_started = reason == BB_PACE_STARTED;
    bool is_flapping = is_started && now - pace->started_at < FLAP_S;
    double limit = is_started && !is_flapping
                       ? ceil(limit_at_usage(pace, START_SHARE))
                       : (double)FLOOR;

    if (is_started) {
        pace->started_at = now;
    }
    pace->limit = MIN(limit, MAX(pace->slots, 1));
    pace->is_active = true;
    pace->is_slow = false;
    pace->reason = reason;
    pace->slowness = is_started ? START_SLOWNESS : 1;
    pace->elsewhere_s = 0;
    pace->begun_at = now;
    pace->calm_since = now;
    pace->cold_until = now + MAX(cold_left_s, 0);
    pace->has_forecast = cold_left_s > 0;
    pace->lowered_at = now;
    pace->round_trip_s = 0;
    pace->full_responses = 0;
    pace->responded_at = 0;
    return BB_PACE_BEGUN;
}

/* ---- time of a class elsewhere ---- */

void
BbPace_OnUsage(bb_pace_t *pace, double usage)
{
    pace->usage_reports++;
    double weight = MAX(USAGE_WEIGHT, 1.0 / pace->usage_reports);
    pace->usage += weight * (MIN(usage, MAX_USAGE) - pace->usage);
}

void
BbPace_OnReference(bb_pace_t *pace, const char *class_name, double service_s,
                   double now)
{
    if (class_name == NULL || service_s <= 0) {
        return;
    }
    reference_t *known = BbNameTable_Get(pace->references, class_name,
                                         sizeof(reference_t), MAX_CLASSES);
    bool is_old = now - known->reported_at > REFERENCE_MAX_AGE_S;
    known->mean_s = is_old ? service_s
                           : known->mean_s + REFERENCE_WEIGHT *
                                                 (service_s - known->mean_s);
    known->reported_at = now;
}

double
BbPace_Reference(const bb_pace_t *pace, const char *class_name, double now)
{
    const reference_t *known =
        class_name != NULL ? g_hash_table_lookup(pace->references, class_name)
                           : NULL;

    return known != NULL && now - known->reported_at <= REFERENCE_MAX_AGE_S
               ? known->mean_s
               : 0;
}

/* ---- decisions ---- */

static bb_pace_change_t
end_limit(bb_pace_t *pace)
{
    pace->is_active = false;
    return BB_PACE_ENDED;
}

/* Lowers the limit towards a floor, at most once in a round trip: responses to
 * calls from before the last lowering do not show its effect. */
static bb_pace_change_t
lower(bb_pace_t *pace, double factor, double least, double now)
{
    double lowered = MAX(pace->limit * factor, least);

    if (lowered >= pace->limit ||
        now - pace->lowered_at < pace->round_trip_s) {
        return BB_PACE_UNCHANGED;
    }
    pace->limit = lowered;
    pace->lowered_at = now;
    pace->full_responses = 0;
    return BB_PACE_LOWERED;
}

static void
add_response(bb_pace_t *pace, double slowness, double reference_s)
{
    double weight = CLAMP(2 / (pace->limit + 1), MIN_WEIGHT, MAX_WEIGHT);
    double counted = MIN(slowness, pace->slowness + MAX_STEP);

    if (reference_s > 0) {
        pace->elsewhere_s =
            pace->elsewhere_s > 0
                ? pace->elsewhere_s +
                      weight * (reference_s - pace->elsewhere_s)
                : reference_s;
    }
    pace->slowness += weight * (counted - pace->slowness);
}

/* When the limit begins to rise by time only, because the target is slow for
 * good: soon after the time for which the target itself expects to be cold. */
static double
release_at(const bb_pace_t *pace)
{
    double slow_until = pace->calm_since + PACE_SLOW_S;

    return pace->has_forecast ? pace->cold_until + FORECAST_SLACK_S
                              : slow_until;
}

static bool
is_released(const bb_pace_t *pace, double now)
{
    return now > release_at(pace);
}

static bb_pace_change_t
adapt_to_response(bb_pace_t *pace, double took_s, double reference_s,
                  int running, double now)
{
    double slowness = reference_s > 0 ? took_s / reference_s : 1.0;
    double all = MAX(pace->slots, 1);
    bool is_used = running >= pace->limit * MIN_USED_SHARE;

    add_response(pace, slowness, reference_s);
    if (is_released(pace, now)) {
        return BbPace_Update(pace, now);
    }
    pace->is_slow =
        pace->slowness > (pace->is_slow ? FAST_AGAIN_SLOWNESS : FAST_SLOWNESS);
    double held = pace->is_slow ? limit_at_usage(pace, SLOW_SHARE) : all;
    pace->limit = MAX(pace->limit, shortage(pace) * all);
    if (pace->limit * SLOW_FACTOR > held) {
        return lower(pace, SLOW_FACTOR, held, now);
    }
    if (pace->limit < held) {
        double step = slowness <= FAST_SLOWNESS ? FAST_STEP : SLOW_STEP;
        pace->limit = MIN(pace->limit + (is_used ? step : 0), held);
        return BB_PACE_UNCHANGED;
    }
    pace->full_responses += held >= all;
    return pace->full_responses >= all * FULL_SHARE && now >= pace->cold_until
               ? end_limit(pace)
               : BB_PACE_UNCHANGED;
}

/* Whether a late response ends a silence of a busy target. */
static bool
ends_silence(const bb_pace_t *pace, double took_s, double reference_s,
             int running, double now)
{
    return pace->responded_at > 0 && reference_s > 0 &&
           running * 2 >= pace->slots &&
           took_s > reference_s * FAST_SLOWNESS &&
           now - pace->responded_at > MAX(SILENCE_S, 2 * reference_s);
}

bb_pace_change_t
BbPace_OnResponse(bb_pace_t *pace, const char *class_name, double started_at,
                  int running, double now)
{
    double took_s = now - started_at;
    double reference_s = BbPace_Reference(pace, class_name, now);
    bool is_silence_over =
        !pace->is_active &&
        ends_silence(pace, took_s, reference_s, running, now);

    pace->responded_at = now;
    if (is_silence_over) {
        return BbPace_Begin(pace, BB_PACE_SILENT, 0, now);
    }
    if (!pace->is_active || started_at < pace->begun_at) {
        return BB_PACE_UNCHANGED;
    }
    pace->round_trip_s = MAX(took_s, reference_s);
    return adapt_to_response(pace, took_s, reference_s, running, now);
}

bb_pace_change_t
BbPace_OnFailure(bb_pace_t *pace, double started_at, bool is_timeout,
                 double now)
{
    bool has_responded = now - pace->responded_at < SILENCE_S;

    if (started_at < pace->begun_at || (is_timeout && has_responded)) {
        return BB_PACE_UNCHANGED;
    }
    if (!pace->is_active) {
        return BB_PACE_UNCHANGED;
    }
    pace->calm_since = now;
    return lower(pace, FAILURE_FACTOR, FAILING_FLOOR, now);
}

bb_pace_change_t
BbPace_Update(bb_pace_t *pace, double now)
{
    if (!pace->is_active || !is_released(pace, now)) {
        return BB_PACE_UNCHANGED;
    }
    double release_s = now - release_at(pace);
    if (release_s >= PACE_RELEASE_S) {
        return end_limit(pace);
    }
    pace->limit = MAX(pace->limit, pace->slots * release_s / PACE_RELEASE_S);
    return BB_PACE_UNCHANGED;
}

int
BbPace_Limit(const bb_pace_t *pace)
{
    return pace->is_active ? MIN((int)pace->limit, pace->slots) : pace->slots;
}

bool
BbPace_IsActive(const bb_pace_t *pace)
{
    return pace->is_active;
}

double
BbPace_Slowness(const bb_pace_t *pace)
{
    return pace->slowness;
}

double
BbPace_ServiceTime(const bb_pace_t *pace, int calls)
{
    bool is_full = calls >= BbPace_Limit(pace);

    if (!pace->is_active) {
        return 0;
    }
    return pace->elsewhere_s *
           (is_full ? pace->slowness
                    : MIN(pace->slowness, MAX_REPORTED_SLOWNESS));
}

const char *
BbPace_ReasonName(const bb_pace_t *pace)
{
    static const char *const names[] = {"started", "returned", "silent"};
    return names[pace->reason];
}
