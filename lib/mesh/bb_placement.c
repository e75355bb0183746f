#include "bb_placement.h"

#include <math.h>
#include <string.h>

/* Mean time of a call at a target that has not reported one. */
#define UNKNOWN_SERVICE_S 0.1

/* Reports older than this fade: an avoided target sends no news. */
#define LOAD_FRESH_S 1.0
#define LOAD_FADE_S 2.0
#define SERVICE_FADE_S 3.0
#define SERVICE_KNOWN_S 20.0

#define FAIL_STEP 0.15 /* weight of the newest attempt in the moving share */
#define FAIL_FADE_S 4.0
#define FAIL_COST_S 1.0 /* added to the predicted time at a share of 1 */
#define FAIL_TOLERATED 0.05

/* A doubted node is probed after these times. */
#define PROBE_FIRST_S 0.1
#define PROBE_MIN_S 0.25
#define PROBE_MAX_S 4.0

/* Added for a node in another data centre when both are past the share. */
#define REMOTE_COST_SHARE 0.3

/* A refusal for want of room holds this long. */
#define FULL_S 0.08
#define MAX_FULL_CLASSES 64

/* Predicted times closer than this are taken as equal. */
#define TIE_S 0.004

static double
slots_of(const bb_endpoint_t *endpoint)
{
    int slots = endpoint->load_at > 0 && endpoint->load.slots > 0
                    ? endpoint->load.slots
                    : endpoint->record.slots;

    return MAX(slots, 1);
}

/*
 * Mean time of a call at the target. What was told fades towards the best time
 * of the service: a target that was slow while it was cold, or has never been
 * asked, gets a call now and then that tells how it is today.
 */
static double
service_time(const bb_endpoint_t *endpoint, double best_s, double now)
{
    if (endpoint->load_at <= 0 || endpoint->load.service_ms <= 0) {
        return best_s;
    }
    double told_s = endpoint->load.service_ms / 1000.0;
    double age = now - endpoint->load_at;
    if (age <= LOAD_FRESH_S || told_s <= best_s) {
        return told_s;
    }
    return best_s +
           (told_s - best_s) * exp(-(age - LOAD_FRESH_S) / SERVICE_FADE_S);
}

/* Best time that a target of the list has told lately. */
static double
best_service_time(const GPtrArray *list, double now)
{
    double best_s = 0;

    for (guint i = 0; list != NULL && i < list->len; i++) {
        const bb_endpoint_t *endpoint = g_ptr_array_index(list, i);
        double told_s = endpoint->load.service_ms / 1000.0;
        bool is_known = endpoint->load_at > 0 && told_s > 0 &&
                        now - endpoint->load_at < SERVICE_KNOWN_S;
        if (is_known && (best_s <= 0 || told_s < best_s)) {
            best_s = told_s;
        }
    }
    return best_s > 0 ? best_s : UNKNOWN_SERVICE_S;
}

static double
estimate_load(const bb_endpoint_t *endpoint, double now)
{
    double own = endpoint->in_flight;

    if (endpoint->load_at <= 0) {
        return own;
    }
    double age = now - endpoint->load_at;
    double others = endpoint->load.running + endpoint->load.waiting -
                    endpoint->in_flight_at_load;
    if (age > LOAD_FRESH_S) {
        others *= exp(-(age - LOAD_FRESH_S) / LOAD_FADE_S);
    }
    return own + MAX(others, 0.0);
}

static double
fail_share(const bb_endpoint_t *endpoint, double now)
{
    double own = endpoint->fail_rate *
                 exp(-MAX(now - endpoint->fail_at, 0.0) / FAIL_FADE_S);
    double told = 0;

    if (endpoint->load_at > 0) {
        told = endpoint->load.fail_permille / 1000.0 *
               exp(-MAX(now - endpoint->load_at, 0.0) / FAIL_FADE_S);
    }
    return MAX(own, told);
}

static double
predict(const bb_endpoint_t *endpoint, double best_s, double now)
{
    double slots = slots_of(endpoint);
    double service = service_time(endpoint, best_s, now);
    double load = estimate_load(endpoint, now);
    double wait = 0;

    if (load >= slots) {
        wait = (load - slots + 1) * service / slots;
    }
    double failing = fail_share(endpoint, now);
    double cost = failing > FAIL_TOLERATED ? failing * FAIL_COST_S : 0;
    return service + wait + cost;
}

double
BbPlacement_Predict(const bb_endpoint_t *endpoint, double now)
{
    return predict(endpoint, UNKNOWN_SERVICE_S, now);
}

/* Time until a large body could come in; old news fade. */
static double
transfer_time(const bb_endpoint_t *endpoint, double now)
{
    if (endpoint->load_at <= 0) {
        return 0;
    }
    double age = now - endpoint->load_at;
    return endpoint->load.transfer_ms / 1000.0 *
           exp(-MAX(age, 0.0) / LOAD_FADE_S);
}

static bool
is_tried(const bb_placement_request_t *request, const bb_endpoint_t *endpoint)
{
    for (size_t i = 0; i < request->tried_count; i++) {
        if (request->tried[i] == endpoint) {
            return true;
        }
    }
    return false;
}

/* The better of a running best and one more candidate. */
typedef struct {
    bb_endpoint_t *endpoint;
    double cost;
    double fullness;
} choice_t;

static void
consider(choice_t *best, bb_endpoint_t *endpoint, double cost, double now,
         bb_random_t *random)
{
    double fullness = estimate_load(endpoint, now) / slots_of(endpoint) +
                      BbRandom_Unit(random) * 0.05;
    bool is_better = best->endpoint == NULL || cost < best->cost - TIE_S ||
                     (cost < best->cost + TIE_S && fullness < best->fullness);

    if (is_better) {
        *best = (choice_t){endpoint, cost, fullness};
    }
}

void
BbPlacement_SetFull(bb_endpoint_t *endpoint, const char *class_name,
                    double now)
{
    double *until = g_new(double, 1);

    if (endpoint->full_until != NULL &&
        g_hash_table_size(endpoint->full_until) >= MAX_FULL_CLASSES) {
        g_clear_pointer(&endpoint->full_until, g_hash_table_destroy);
    }
    if (endpoint->full_until == NULL) {
        endpoint->full_until =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
    *until = now + FULL_S;
    g_hash_table_replace(endpoint->full_until, g_strdup(class_name), until);
}

static bool
is_full_for(const bb_endpoint_t *endpoint, const char *class_name, double now)
{
    if (endpoint->full_until == NULL || class_name == NULL) {
        return false;
    }
    const double *until =
        g_hash_table_lookup(endpoint->full_until, class_name);
    return until != NULL && now < *until;
}

bb_endpoint_t *
BbPlacement_Choose(const bb_fleet_t *fleet,
                   const bb_placement_request_t *request, bb_random_t *random,
                   double now, bool *is_full)
{
    const GPtrArray *list = BbFleet_Service(fleet, request->service);
    choice_t near = {0}, any = {0}, last = {0};
    double remote_cost = request->target_latency_s * REMOTE_COST_SHARE;
    double best_s = best_service_time(list, now);
    bool has_full = false;

    for (guint i = 0; list != NULL && i < list->len; i++) {
        bb_endpoint_t *endpoint = g_ptr_array_index(list, i);
        if (!endpoint->record.is_ready) {
            continue;
        }
        if (is_full_for(endpoint, request->class_name, now)) {
            has_full = true;
            continue;
        }
        if (is_tried(request, endpoint)) {
            continue;
        }
        bool is_near =
            strcmp(endpoint->record.data_centre, request->data_centre) == 0;
        double cost = predict(endpoint, best_s, now);
        if (request->has_large_body) {
            cost += transfer_time(endpoint, now);
        }
        if (endpoint->is_doubted || endpoint->avoid_until > now) {
            endpoint->is_wanted = true;
            consider(&last, endpoint, cost, now, random);
            continue;
        }
        if (is_near) {
            consider(&near, endpoint, cost, now, random);
        }
        consider(&any, endpoint, is_near ? cost : cost + remote_cost, now,
                 random);
    }
    if (is_full != NULL) {
        *is_full = has_full;
    }
    if (near.endpoint != NULL &&
        near.cost <= request->target_latency_s * request->spill_share) {
        return near.endpoint;
    }
    if (any.endpoint != NULL) {
        return any.endpoint;
    }
    return has_full ? NULL : last.endpoint;
}

void
BbPlacement_Started(bb_endpoint_t *endpoint)
{
    endpoint->in_flight++;
}

void
BbPlacement_Trust(bb_endpoint_t *endpoint)
{
    endpoint->is_doubted = false;
    endpoint->is_wanted = false;
    endpoint->probe_backoff_s = 0;
    endpoint->probe_failures = 0;
}

static void
doubt(bb_endpoint_t *endpoint, double now)
{
    if (!endpoint->is_doubted) {
        endpoint->is_doubted = true;
        endpoint->is_wanted = true;
        endpoint->doubted_at = now;
        endpoint->probe_at = now + PROBE_FIRST_S;
    }
}

bool
BbPlacement_IsProbeDue(const bb_endpoint_t *endpoint, double now)
{
    return endpoint->is_doubted && endpoint->is_wanted &&
           !endpoint->is_local && !endpoint->is_removed &&
           now >= endpoint->probe_at;
}

void
BbPlacement_ProbeFailed(bb_endpoint_t *endpoint, double now)
{
    endpoint->is_wanted = false;
    endpoint->probe_failures++;
    endpoint->probe_backoff_s =
        endpoint->probe_backoff_s > 0
            ? MIN(endpoint->probe_backoff_s * 2, PROBE_MAX_S)
            : PROBE_MIN_S;
    endpoint->probe_at = now + endpoint->probe_backoff_s;
}

static void
add_failure(bb_endpoint_t *endpoint, double failure, double now)
{
    double faded = endpoint->fail_rate *
                   exp(-MAX(now - endpoint->fail_at, 0.0) / FAIL_FADE_S);

    endpoint->fail_rate = faded + FAIL_STEP * (failure - faded);
    endpoint->fail_at = now;
}

void
BbPlacement_Avoid(bb_endpoint_t *endpoint, double seconds, double now)
{
    endpoint->avoid_until = MAX(endpoint->avoid_until, now + seconds);
}

void
BbPlacement_Ended(bb_endpoint_t *endpoint, bb_attempt_outcome_t outcome,
                  const bb_load_t *load, double now)
{
    endpoint->in_flight--;
    if (load != NULL) {
        endpoint->load = *load;
        endpoint->load_at = now;
        endpoint->in_flight_at_load = endpoint->in_flight;
    }
    switch (outcome) {
    case BB_ATTEMPT_SERVED:
        endpoint->avoid_until = 0;
        BbPlacement_Trust(endpoint);
        add_failure(endpoint, 0.0, now);
        break;
    case BB_ATTEMPT_FAILED:
        add_failure(endpoint, 1.0, now);
        break;
    case BB_ATTEMPT_LOST:
        doubt(endpoint, now);
        break;
    case BB_ATTEMPT_REFUSED:
        BbPlacement_Trust(endpoint);
        break;
    case BB_ATTEMPT_DROPPED:
        break;
    }
}
