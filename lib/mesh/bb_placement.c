#include "bb_placement.h"

#include <math.h>
#include <string.h>

#include "bb_candidates.h"

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

/* Factor of both shares for each refusal of the call. */
#define REFUSED_SPILL_FACTOR 0.5

/* Share of the target latency up to which a large body stays in its data
 * centre: it takes the bytes of many calls. */
#define LARGE_SPILL_SHARE 0.9

/* A refusal for want of room holds this long. */
#define FULL_S 0.08
#define MAX_FULL_CLASSES 64

/* Targets that are drawn at random for each call, by their capacity. Taking
 * the best of all would send the calls of every node to the same few. */
#define DRAWS 3

/* Reports count towards the mean load of a service for about this long. */
#define MEAN_FADE_S 2.0

/* Weight of an idle service beside the reports, while there are few. */
#define IDLE_WEIGHT 0.5

/* What is known of a service when a call is placed. */
typedef struct {
    double now;
    double best_s; /* best time of a call that a target has told lately */
    /* Calls per slot by recent reports, in the own data centre and others. */
    double near_load;
    double far_load;
    double fail_share;       /* of recent calls of the service */
    const char *data_centre; /* own; NULL while it does not matter */
} service_view_t;

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
service_time(const bb_endpoint_t *endpoint, const service_view_t *view)
{
    double best_s = view->best_s;

    if (endpoint->load_at <= 0 || endpoint->load.service_ms <= 0) {
        return best_s;
    }
    double told_s = endpoint->load.service_ms / 1000.0;
    double age = view->now - endpoint->load_at;
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

/* Sums over reports, the recent ones with more weight. */
typedef struct {
    double load;
    double failed;
    double weight;
} report_mean_t;

static void
add_report(report_mean_t *mean, const bb_endpoint_t *endpoint, double now)
{
    int calls = endpoint->load.running + endpoint->load.waiting;
    double share = exp(-(now - endpoint->load_at) / MEAN_FADE_S);

    mean->load += share * calls / slots_of(endpoint);
    mean->failed += share * endpoint->load.fail_permille / 1000.0;
    mean->weight += share;
}

static bool
is_near(const bb_endpoint_t *endpoint, const char *data_centre)
{
    return data_centre != NULL &&
           strcmp(endpoint->record.data_centre, data_centre) == 0;
}

static service_view_t
view_service(const GPtrArray *list, const char *data_centre, double now)
{
    report_mean_t near = {.weight = IDLE_WEIGHT};
    report_mean_t far = {.weight = IDLE_WEIGHT};

    for (guint i = 0; list != NULL && i < list->len; i++) {
        const bb_endpoint_t *endpoint = g_ptr_array_index(list, i);
        if (endpoint->load_at > 0) {
            add_report(is_near(endpoint, data_centre) ? &near : &far, endpoint,
                       now);
        }
    }
    return (service_view_t){
        .now = now,
        .best_s = best_service_time(list, now),
        .near_load = near.load / near.weight,
        .far_load = far.load / far.weight,
        .fail_share = (near.failed + far.failed) / (near.weight + far.weight),
        .data_centre = data_centre,
    };
}

/* Calls at the target. An old report fades towards the mean of the targets
 * there, not towards none: one that was not asked for long is no idler than
 * others. */
static double
estimate_load(const bb_endpoint_t *endpoint, const service_view_t *view)
{
    double own = endpoint->in_flight;
    double mean = is_near(endpoint, view->data_centre) ? view->near_load
                                                       : view->far_load;
    double usual = MAX(mean * slots_of(endpoint) - own, 0.0);

    if (endpoint->load_at <= 0) {
        return own + usual;
    }
    double age = view->now - endpoint->load_at;
    double others = endpoint->load.running + endpoint->load.waiting -
                    endpoint->in_flight_at_load;
    if (age > LOAD_FRESH_S) {
        others = usual +
                 (others - usual) * exp(-(age - LOAD_FRESH_S) / LOAD_FADE_S);
    }
    return own + MAX(others, 0.0);
}

/* Reports fade towards the mean of the service: where all targets fail alike,
 * one that was not asked for long is no better. */
static double
fail_share(const bb_endpoint_t *endpoint, const service_view_t *view)
{
    double own = endpoint->fail_rate *
                 exp(-MAX(view->now - endpoint->fail_at, 0.0) / FAIL_FADE_S);
    double told = view->fail_share;

    if (endpoint->load_at > 0) {
        double age = MAX(view->now - endpoint->load_at, 0.0);
        told += (endpoint->load.fail_permille / 1000.0 - view->fail_share) *
                exp(-age / FAIL_FADE_S);
    }
    return MAX(own, told);
}

typedef struct {
    double total_s;   /* until the end of a call that is placed now */
    double service_s; /* of it, at the target */
    double load;      /* calls there */
} prediction_t;

static prediction_t
predict(const bb_endpoint_t *endpoint, const service_view_t *view)
{
    double slots = slots_of(endpoint);
    double service = service_time(endpoint, view);
    double load = estimate_load(endpoint, view);
    double wait = 0;

    if (load >= slots) {
        wait = (load - slots + 1) * service / slots;
    }
    double failing = fail_share(endpoint, view);
    double cost = failing > FAIL_TOLERATED ? failing * FAIL_COST_S : 0;
    return (prediction_t){
        .total_s = service + wait + cost,
        .service_s = service,
        .load = load,
    };
}

double
BbPlacement_Predict(const bb_endpoint_t *endpoint, double now)
{
    const service_view_t view = {.now = now, .best_s = UNKNOWN_SERVICE_S};

    return predict(endpoint, &view).total_s;
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

/* ---- candidates of one call ---- */

enum {
    TRUSTED_NEAR,
    TRUSTED_FAR,
    UNKNOWN_NEAR, /* by their records only */
    UNKNOWN_FAR,
    LAST_NEAR, /* lost, or to be avoided now */
    LAST_FAR,
    GROUP_COUNT,
};

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

static int
group_of(const bb_endpoint_t *endpoint, bool is_here, double now)
{
    if (endpoint->is_lost || endpoint->avoid_until > now) {
        return is_here ? LAST_NEAR : LAST_FAR;
    }
    if (endpoint->is_doubted) {
        return is_here ? UNKNOWN_NEAR : UNKNOWN_FAR;
    }
    return is_here ? TRUSTED_NEAR : TRUSTED_FAR;
}

/* Takes the unknown nodes for trusted ones while they are the majority. */
static void
merge_unknown(bb_candidates_t groups[GROUP_COUNT])
{
    guint trusted = BbCandidates_Count(&groups[TRUSTED_NEAR]) +
                    BbCandidates_Count(&groups[TRUSTED_FAR]);
    guint unknown = BbCandidates_Count(&groups[UNKNOWN_NEAR]) +
                    BbCandidates_Count(&groups[UNKNOWN_FAR]);

    if (unknown > trusted) {
        BbCandidates_Merge(&groups[TRUSTED_NEAR], &groups[UNKNOWN_NEAR]);
        BbCandidates_Merge(&groups[TRUSTED_FAR], &groups[UNKNOWN_FAR]);
    }
}

/* Sorts the nodes that may have the call into groups. Returns whether one was
 * passed over for want of room. */
static bool
collect_candidates(const GPtrArray *list,
                   const bb_placement_request_t *request,
                   const service_view_t *view, bb_random_t *random,
                   bb_candidates_t groups[GROUP_COUNT])
{
    bool has_full = false;

    for (guint i = 0; list != NULL && i < list->len; i++) {
        bb_endpoint_t *endpoint = g_ptr_array_index(list, i);
        if (!endpoint->record.is_ready) {
            continue;
        }
        if (is_full_for(endpoint, request->class_name, view->now)) {
            has_full = true;
            continue;
        }
        if (is_tried(request, endpoint)) {
            continue;
        }
        const prediction_t predicted = predict(endpoint, view);
        double transfer_s =
            request->has_large_body ? transfer_time(endpoint, view->now) : 0;
        const bb_candidate_t candidate = {
            .endpoint = endpoint,
            .cost = predicted.total_s + transfer_s,
            .fullness = predicted.load / slots_of(endpoint) +
                        BbRandom_Unit(random) * 0.05,
            .capacity = slots_of(endpoint) / predicted.service_s,
        };
        bool is_here = is_near(endpoint, request->data_centre);
        BbCandidates_Add(&groups[group_of(endpoint, is_here, view->now)],
                         &candidate);
    }
    return has_full;
}

/* How much still holds a call in its data centre, 0 to 1. A refusal does not
 * send a large body elsewhere. */
static double
locality(const bb_placement_request_t *request)
{
    return request->has_large_body
               ? 1.0
               : pow(REFUSED_SPILL_FACTOR, request->refusals);
}

/* Predicted time up to which a call stays in the data centre. */
static double
near_limit(const bb_placement_request_t *request)
{
    double share = request->has_large_body
                       ? MAX(request->spill_share, LARGE_SPILL_SHARE)
                       : request->spill_share;

    return request->target_latency_s * share * locality(request);
}

static const bb_candidate_t *
choose_trusted(const bb_candidates_t groups[GROUP_COUNT],
               const bb_placement_request_t *request, bb_random_t *random)
{
    const bb_candidate_t *near =
        BbCandidates_BestOfDrawn(&groups[TRUSTED_NEAR], DRAWS, random);

    if (near != NULL && near->cost <= near_limit(request)) {
        return near;
    }
    const bb_candidate_t *far =
        BbCandidates_BestOfDrawn(&groups[TRUSTED_FAR], DRAWS, random);
    double remote_cost_s =
        request->target_latency_s * REMOTE_COST_SHARE * locality(request);
    bool is_far_better =
        far != NULL &&
        (near == NULL || far->cost + remote_cost_s < near->cost);
    return is_far_better ? far : near;
}

static void
want_some(const bb_candidates_t *group, int count, bb_random_t *random)
{
    for (int i = 0; i < count && BbCandidates_Count(group) > 0; i++) {
        BbCandidates_Draw(group, random)->endpoint->is_wanted = true;
    }
}

/* Doubted nodes that a call could have used are probed, some for each call:
 * after a restart of the whole fleet every node doubts all others. Those of
 * other data centres are probed when the call could not stay. */
static void
want_probes(const bb_candidates_t groups[GROUP_COUNT], bool is_spilling,
            bb_random_t *random)
{
    want_some(&groups[UNKNOWN_NEAR], DRAWS, random);
    want_some(&groups[LAST_NEAR], 1, random);
    if (is_spilling) {
        want_some(&groups[UNKNOWN_FAR], 1, random);
        want_some(&groups[LAST_FAR], 1, random);
    }
}

/* What is left when no other node can have the call. */
static const bb_candidate_t *
choose_last(const bb_candidates_t groups[GROUP_COUNT], bb_random_t *random)
{
    static const int order[] = {UNKNOWN_NEAR, UNKNOWN_FAR, LAST_NEAR,
                                LAST_FAR};

    for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
        const bb_candidate_t *found =
            BbCandidates_BestOfDrawn(&groups[order[i]], DRAWS, random);
        if (found != NULL) {
            return found;
        }
    }
    return NULL;
}

bb_endpoint_t *
BbPlacement_Choose(const bb_fleet_t *fleet,
                   const bb_placement_request_t *request, bb_random_t *random,
                   double now, bool *is_full)
{
    const GPtrArray *list = BbFleet_Service(fleet, request->service);
    const service_view_t view = view_service(list, request->data_centre, now);
    bb_candidates_t groups[GROUP_COUNT] = {0};
    bool has_full = collect_candidates(list, request, &view, random, groups);
    if (!has_full) {
        merge_unknown(groups);
    }
    const bb_candidate_t *chosen = choose_trusted(groups, request, random);
    bool is_spilling = chosen == NULL || chosen->cost > near_limit(request) ||
                       !is_near(chosen->endpoint, request->data_centre);
    want_probes(groups, is_spilling, random);
    if (chosen == NULL && !has_full) {
        chosen = choose_last(groups, random);
    }
    bb_endpoint_t *endpoint = chosen != NULL ? chosen->endpoint : NULL;
    for (int i = 0; i < GROUP_COUNT; i++) {
        BbCandidates_Clear(&groups[i]);
    }
    if (is_full != NULL) {
        *is_full = has_full;
    }
    return endpoint;
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
    endpoint->is_lost = false;
    endpoint->is_wanted = false;
    endpoint->probe_backoff_s = 0;
    endpoint->probe_failures = 0;
}

static void
doubt(bb_endpoint_t *endpoint, double now)
{
    endpoint->is_lost = true;
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
    endpoint->is_lost = true;
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
