#include "bb_placement.h"

#include <math.h>
#include <string.h>

#include "bb_candidates.h"

/* Assumed service time while no target of the service has reported one. */
#define DEFAULT_SERVICE_S 0.1

/* A report counts in full for LOAD_FRESH_S; after that its weight decays with
 * the time constants below, because a target that gets no calls sends no new
 * reports. */
#define LOAD_FRESH_S 1.0
#define LOAD_DECAY_S 2.0
#define SERVICE_DECAY_S 3.0
/* A target counts as slow if its service time is above this factor of the mean
 * of the service. The old report of such a target decays towards the mean, not
 * the best: otherwise each node soon predicts it as one of the best, and all
 * nodes together send it more calls than it can serve. Targets whose speeds
 * differ less are all needed when the service is near its limit. */
#define SLOW_FACTOR 2.0
/* Older reports do not count for the best service time. */
#define SERVICE_MAX_AGE_S 20.0

#define FAIL_STEP 0.15 /* weight of the newest attempt in fail_rate */
#define FAIL_DECAY_S 4.0
/* Added to the predicted time if all calls fail. */
#define FAIL_PENALTY_S 1.0
/* A share of failures up to this adds nothing to the predicted time. */
#define FAIL_SHARE_IGNORED 0.05

/* Delay of the first probe of an unreachable node, and the limits of the
 * backoff after probes without response. */
#define PROBE_FIRST_S 0.1
#define PROBE_MIN_S 0.25
#define PROBE_MAX_S 4.0

/* Penalty for a node in another data centre when the best near node is above
 * its limit: share of the target latency that is added to the predicted time.
 */
#define REMOTE_PENALTY_SHARE 0.3

/* Each refusal of the call multiplies its spill share and REMOTE_PENALTY_SHARE
 * by this. */
#define REFUSED_SPILL_FACTOR 0.5

/* Share of the target latency up to which a call with a large body or response
 * stays in its data centre: moving it costs as many bytes as many other calls.
 */
#define LARGE_SPILL_SHARE 0.9

/* The own target gets a call with a large response first while the response
 * would wait for the link for at most this share of the target latency. */
#define LOCAL_LINK_WAIT_SHARE 0.1

#define BYTES_PER_MBIT (1e6 / 8.0)

/* Time for which a node counts as full after a refusal for lack of capacity,
 * and the number of classes for which that is kept. */
#define FULL_S 0.08
#define MAX_FULL_CLASSES 64

/* Calls in flight over all nodes to a target that has become known just now,
 * as share of its slots, and the time in which this share doubles. A started
 * target that is twice as slow as usual holds half of its slots well. */
#define START_SHARE 0.5
#define START_DOUBLE_S 0.5

/* A target with at most this share of its slots in use has room: with more,
 * the calls that other nodes have sent since its report may fill it. */
#define ROOM_SHARE 0.7

/* Number of targets that are drawn at random for each call. Taking the best of
 * all would send the calls of every node to the same few targets. */
#define DRAWN_CANDIDATES 3

/* Time constant with which a report loses weight in the mean of a service. */
#define MEAN_DECAY_S 2.0

/* Weight of an assumed idle report, so that a few reports do not decide the
 * mean alone. */
#define IDLE_WEIGHT 0.5

/* Statistics of a service at the time of the placement. "near" is the own data
 * centre, "remote" all others. */
typedef struct {
    double now;
    double best_s;    /* best service time reported lately */
    double mean_s;    /* mean service time of recent reports; 0: none */
    double near_load; /* calls per slot, from recent reports */
    double remote_load;
    double fail_share;       /* of recent calls of the service */
    const char *data_centre; /* own; NULL: every node is remote */
    guint targets;           /* that are ready */
    guint reported;          /* of them with a report */
} service_stats_t;

static double
slot_count(const bb_endpoint_t *endpoint)
{
    int slots = endpoint->load_at > 0 && endpoint->load.slots > 0
                    ? endpoint->load.slots
                    : endpoint->record.slots;

    return MAX(slots, 1);
}

/*
 * Estimated service time at the target. A reported time decays towards the
 * best one of the service, or the mean if it is far above that, so that a
 * target that was slow while it was cold, or that has no report yet, gets a
 * call now and then that updates its report.
 */
static double
service_time(const bb_endpoint_t *endpoint, const service_stats_t *stats)
{
    double best_s = stats->best_s;

    if (endpoint->load_at <= 0 || endpoint->load.service_ms <= 0) {
        return best_s;
    }
    double reported_s = endpoint->load.service_ms / 1000.0;
    double age = stats->now - endpoint->load_at;
    bool is_slow =
        stats->mean_s > 0 && reported_s > stats->mean_s * SLOW_FACTOR;
    double old_s = is_slow ? stats->mean_s : best_s;
    if (age <= LOAD_FRESH_S || reported_s <= old_s) {
        return reported_s;
    }
    return old_s +
           (reported_s - old_s) * exp(-(age - LOAD_FRESH_S) / SERVICE_DECAY_S);
}

/* Best service time that a target of the list has reported lately. */
static double
best_service_time(const GPtrArray *list, double now)
{
    double best_s = 0;

    for (guint i = 0; list != NULL && i < list->len; i++) {
        const bb_endpoint_t *endpoint = g_ptr_array_index(list, i);
        double reported_s = endpoint->load.service_ms / 1000.0;
        bool is_known = endpoint->load_at > 0 && reported_s > 0 &&
                        now - endpoint->load_at < SERVICE_MAX_AGE_S;
        if (is_known && (best_s <= 0 || reported_s < best_s)) {
            best_s = reported_s;
        }
    }
    return best_s > 0 ? best_s : DEFAULT_SERVICE_S;
}

/* Sums over reports, weighted by their age. */
typedef struct {
    double load;
    double failed;
    double weight;
    double service_s;
    double service_weight; /* without IDLE_WEIGHT */
} report_mean_t;

static void
add_report(report_mean_t *mean, const bb_endpoint_t *endpoint, double now)
{
    int calls = endpoint->load.running + endpoint->load.waiting;
    double share = exp(-(now - endpoint->load_at) / MEAN_DECAY_S);

    mean->load += share * calls / slot_count(endpoint);
    mean->failed += share * endpoint->load.fail_permille / 1000.0;
    mean->weight += share;
    if (endpoint->load.service_ms > 0) {
        mean->service_s += share * endpoint->load.service_ms / 1000.0;
        mean->service_weight += share;
    }
}

static bool
is_in_data_centre(const bb_endpoint_t *endpoint, const char *data_centre)
{
    return data_centre != NULL &&
           strcmp(endpoint->record.data_centre, data_centre) == 0;
}

static service_stats_t
compute_service_stats(const GPtrArray *list, const char *data_centre,
                      double now)
{
    report_mean_t near = {.weight = IDLE_WEIGHT};
    report_mean_t remote = {.weight = IDLE_WEIGHT};
    guint targets = 0, reported = 0;

    for (guint i = 0; list != NULL && i < list->len; i++) {
        const bb_endpoint_t *endpoint = g_ptr_array_index(list, i);
        targets += endpoint->record.is_ready;
        reported += endpoint->record.is_ready && endpoint->load_at > 0;
        if (endpoint->load_at > 0) {
            add_report(is_in_data_centre(endpoint, data_centre) ? &near
                                                                : &remote,
                       endpoint, now);
        }
    }
    double weight = near.service_weight + remote.service_weight;
    return (service_stats_t){
        .now = now,
        .best_s = best_service_time(list, now),
        .mean_s =
            weight > 0 ? (near.service_s + remote.service_s) / weight : 0.0,
        .near_load = near.load / near.weight,
        .remote_load = remote.load / remote.weight,
        .fail_share =
            (near.failed + remote.failed) / (near.weight + remote.weight),
        .data_centre = data_centre,
        .targets = targets,
        .reported = reported,
    };
}

/* Estimated number of calls at the target. An old report decays towards the
 * mean of the near or remote targets, not towards 0: a target without recent
 * reports is probably as busy as the others. */
static double
estimate_load(const bb_endpoint_t *endpoint, const service_stats_t *stats)
{
    double own = endpoint->in_flight;
    double mean = is_in_data_centre(endpoint, stats->data_centre)
                      ? stats->near_load
                      : stats->remote_load;
    double expected = MAX(mean * slot_count(endpoint) - own, 0.0);

    if (endpoint->load_at <= 0) {
        return own + expected;
    }
    double age = stats->now - endpoint->load_at;
    double others = endpoint->load.running + endpoint->load.waiting -
                    endpoint->in_flight_at_load;
    if (age > LOAD_FRESH_S) {
        others = expected + (others - expected) *
                                exp(-(age - LOAD_FRESH_S) / LOAD_DECAY_S);
    }
    return own + MAX(others, 0.0);
}

/* Estimated share of calls that fail at the target. Reports decay towards the
 * mean of the service: where all targets fail alike, one without recent
 * reports is probably no better. */
static double
fail_share(const bb_endpoint_t *endpoint, const service_stats_t *stats)
{
    double own =
        endpoint->fail_rate *
        exp(-MAX(stats->now - endpoint->fail_rate_at, 0.0) / FAIL_DECAY_S);
    double reported = stats->fail_share;

    if (endpoint->load_at > 0) {
        double age = MAX(stats->now - endpoint->load_at, 0.0);
        reported +=
            (endpoint->load.fail_permille / 1000.0 - stats->fail_share) *
            exp(-age / FAIL_DECAY_S);
    }
    return MAX(own, reported);
}

typedef struct {
    double total_s;   /* until the end of a call that is placed now */
    double service_s; /* part of total_s at the target */
    double load;      /* calls at the target */
} prediction_t;

static prediction_t
predict(const bb_endpoint_t *endpoint, const service_stats_t *stats)
{
    double slots = slot_count(endpoint);
    double service = service_time(endpoint, stats);
    double load = estimate_load(endpoint, stats);
    double wait = 0;

    if (load >= slots) {
        wait = (load - slots + 1) * service / slots;
    }
    double failing = fail_share(endpoint, stats);
    double penalty_s =
        failing > FAIL_SHARE_IGNORED ? failing * FAIL_PENALTY_S : 0;
    return (prediction_t){
        .total_s = service + wait + penalty_s,
        .service_s = service,
        .load = load,
    };
}

double
BbPlacement_Predict(const bb_endpoint_t *endpoint, double now)
{
    const service_stats_t stats = {.now = now, .best_s = DEFAULT_SERVICE_S};

    return predict(endpoint, &stats).total_s;
}

bool
BbPlacement_HasRoom(const bb_fleet_t *fleet, const bb_endpoint_t *endpoint,
                    const char *data_centre, double now, double *predicted_s)
{
    const service_stats_t stats = compute_service_stats(
        BbFleet_ListEndpoints(fleet, endpoint->record.service), data_centre,
        now);
    const prediction_t predicted = predict(endpoint, &stats);

    *predicted_s = predicted.total_s;
    return endpoint->load_at > 0 &&
           predicted.load <= slot_count(endpoint) * ROOM_SHARE;
}

/* Time until the node could receive a large body; the reported time decays
 * with its age. */
static double
transfer_time(const bb_endpoint_t *endpoint, double now)
{
    if (endpoint->load_at <= 0) {
        return 0;
    }
    double age = now - endpoint->load_at;
    return endpoint->load.transfer_ms / 1000.0 *
           exp(-MAX(age, 0.0) / LOAD_DECAY_S);
}

/* Wait of a large response at the link of the target's VM; a reported wait
 * decays with its age. */
static double
link_wait(const bb_endpoint_t *endpoint, double now)
{
    if (endpoint->load_at <= 0) {
        return 0;
    }
    double age = MAX(now - endpoint->load_at - LOAD_FRESH_S, 0.0);
    return endpoint->load.link_ms / 1000.0 * exp(-age / LOAD_DECAY_S);
}

/* Time that a response of this size adds to a call: the wait at the link and,
 * unless the target is on the own VM, the time on it. */
static double
response_time(const bb_endpoint_t *endpoint, double bytes, double now)
{
    double bytes_per_s = endpoint->record.link_mbps * BYTES_PER_MBIT;
    double wait_s = link_wait(endpoint, now);

    return endpoint->is_local || bytes_per_s <= 0
               ? wait_s
               : wait_s + bytes / bytes_per_s;
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
    REACHABLE_NEAR,
    REACHABLE_REMOTE,
    UNVERIFIED_NEAR, /* only the record is known */
    UNVERIFIED_REMOTE,
    LAST_RESORT_NEAR, /* unreachable, or to be avoided now */
    LAST_RESORT_REMOTE,
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
group_of(const bb_endpoint_t *endpoint, bool is_near, double now)
{
    if (endpoint->is_unreachable || endpoint->avoid_until > now) {
        return is_near ? LAST_RESORT_NEAR : LAST_RESORT_REMOTE;
    }
    if (endpoint->is_unverified) {
        return is_near ? UNVERIFIED_NEAR : UNVERIFIED_REMOTE;
    }
    return is_near ? REACHABLE_NEAR : REACHABLE_REMOTE;
}

/* Treats the unverified nodes as reachable while they are the majority. */
static void
merge_unverified(bb_candidates_t groups[GROUP_COUNT])
{
    guint reachable = BbCandidates_Count(&groups[REACHABLE_NEAR]) +
                      BbCandidates_Count(&groups[REACHABLE_REMOTE]);
    guint unknown = BbCandidates_Count(&groups[UNVERIFIED_NEAR]) +
                    BbCandidates_Count(&groups[UNVERIFIED_REMOTE]);

    if (unknown > reachable) {
        BbCandidates_Merge(&groups[REACHABLE_NEAR], &groups[UNVERIFIED_NEAR]);
        BbCandidates_Merge(&groups[REACHABLE_REMOTE],
                           &groups[UNVERIFIED_REMOTE]);
    }
}

/* Whether the node must not get more calls before its first report. An
 * unverified node is not held: it gets calls only as a last resort, and must
 * stay a candidate for probes. */
static bool
is_held(const bb_endpoint_t *endpoint, const service_stats_t *stats,
        size_t nodes)
{
    if (endpoint->load_at > 0 || endpoint->is_local ||
        endpoint->is_unverified || stats->reported * 2 < stats->targets) {
        return false;
    }
    double since_s = MAX(stats->now - endpoint->known_since, 0);
    double share = START_SHARE * slot_count(endpoint) / MAX(nodes, 1) *
                   exp2(MIN(since_s / START_DOUBLE_S, 30));
    return endpoint->in_flight >= floor(share + endpoint->start_draw);
}

/* Sorts the nodes that may get the call into groups. Returns whether a node
 * was skipped for lack of capacity. Sets *is_any_held when one was skipped
 * because it has no report yet. */
static bool
collect_candidates(const bb_fleet_t *fleet, const GPtrArray *list,
                   const bb_placement_request_t *request,
                   const service_stats_t *stats, bb_random_t *random,
                   bb_candidates_t groups[GROUP_COUNT], bool *is_any_held)
{
    size_t nodes = BbFleet_NodeCount(fleet);
    bool is_any_full = false;

    for (guint i = 0; list != NULL && i < list->len; i++) {
        bb_endpoint_t *endpoint = g_ptr_array_index(list, i);
        if (!endpoint->record.is_ready) {
            continue;
        }
        if (request->may_place != NULL &&
            !request->may_place(endpoint, request->class_name,
                                request->may_place_arg)) {
            continue;
        }
        if (is_full_for(endpoint, request->class_name, stats->now)) {
            is_any_full = true;
            continue;
        }
        if (is_tried(request, endpoint)) {
            continue;
        }
        if (request->is_paced && is_held(endpoint, stats, nodes)) {
            *is_any_held = true;
            continue;
        }
        bool is_near = is_in_data_centre(endpoint, request->data_centre);
        const prediction_t predicted = predict(endpoint, stats);
        double transfer_s =
            request->has_large_body ? transfer_time(endpoint, stats->now) : 0;
        if (request->response_bytes > 0) {
            transfer_s +=
                response_time(endpoint, request->response_bytes, stats->now);
        }
        const bb_candidate_t candidate = {
            .endpoint = endpoint,
            .cost_s = predicted.total_s + transfer_s,
            .calls_per_slot = predicted.load / slot_count(endpoint) +
                              BbRandom_Unit(random) * 0.05,
            .capacity = slot_count(endpoint) / predicted.service_s,
        };
        BbCandidates_Add(&groups[group_of(endpoint, is_near, stats->now)],
                         &candidate);
    }
    return is_any_full;
}

static bool
is_large(const bb_placement_request_t *request)
{
    return request->has_large_body || request->response_bytes > 0;
}

/* Factor of the limits that keep a call in its data centre, 0 to 1. Refusals
 * do not lower it for a large call. */
static double
locality_factor(const bb_placement_request_t *request)
{
    return is_large(request) ? 1.0
                             : pow(REFUSED_SPILL_FACTOR, request->refusals);
}

/* Predicted time up to which a call stays in its data centre. */
static double
near_limit_s(const bb_placement_request_t *request)
{
    double share = is_large(request)
                       ? MAX(request->spill_share, LARGE_SPILL_SHARE)
                       : request->spill_share;

    return request->target_latency_s * share * locality_factor(request);
}

/* The own target, if it should get a call with a large response: it has a free
 * slot and its link is free. */
static const bb_candidate_t *
choose_own(const bb_candidates_t groups[GROUP_COUNT],
           const bb_placement_request_t *request, double now)
{
    const bb_candidate_t *own =
        request->response_bytes > 0
            ? BbCandidates_FindLocal(&groups[REACHABLE_NEAR])
            : NULL;

    if (own == NULL || own->calls_per_slot >= 1.0 ||
        own->cost_s > near_limit_s(request)) {
        return NULL;
    }
    double longest_s = request->target_latency_s * LOCAL_LINK_WAIT_SHARE;
    return link_wait(own->endpoint, now) <= longest_s ? own : NULL;
}

static const bb_candidate_t *
choose_reachable(const bb_candidates_t groups[GROUP_COUNT],
                 const bb_placement_request_t *request, bb_random_t *random)
{
    const bb_candidate_t *near = BbCandidates_ChooseBest(
        &groups[REACHABLE_NEAR], DRAWN_CANDIDATES, random);

    if (near != NULL && near->cost_s <= near_limit_s(request)) {
        return near;
    }
    const bb_candidate_t *remote = BbCandidates_ChooseBest(
        &groups[REACHABLE_REMOTE], DRAWN_CANDIDATES, random);
    double remote_penalty_s = request->target_latency_s *
                              REMOTE_PENALTY_SHARE * locality_factor(request);
    bool is_remote_better =
        remote != NULL &&
        (near == NULL || remote->cost_s + remote_penalty_s < near->cost_s);
    return is_remote_better ? remote : near;
}

/* Requests probes of some nodes of the group, drawn at random. */
static void
request_probes_in(const bb_candidates_t *group, int count, bb_random_t *random)
{
    for (int i = 0; i < count && BbCandidates_Count(group) > 0; i++) {
        BbCandidates_Draw(group, random)->endpoint->is_probe_requested = true;
    }
}

/* Requests probes of a few unverified nodes that the call could have used, not
 * of all: after a restart of the whole fleet every node has all others
 * unverified. Remote nodes are probed only when the call may leave its data
 * centre. */
static void
request_probes(const bb_candidates_t groups[GROUP_COUNT], bool is_spilling,
               bb_random_t *random)
{
    request_probes_in(&groups[UNVERIFIED_NEAR], DRAWN_CANDIDATES, random);
    request_probes_in(&groups[LAST_RESORT_NEAR], 1, random);
    if (is_spilling) {
        request_probes_in(&groups[UNVERIFIED_REMOTE], 1, random);
        request_probes_in(&groups[LAST_RESORT_REMOTE], 1, random);
    }
}

/* Chooses among the nodes that get calls only when no reachable one can. */
static const bb_candidate_t *
choose_last_resort(const bb_candidates_t groups[GROUP_COUNT],
                   bb_random_t *random)
{
    static const int order[] = {UNVERIFIED_NEAR, UNVERIFIED_REMOTE,
                                LAST_RESORT_NEAR, LAST_RESORT_REMOTE};

    for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
        const bb_candidate_t *found = BbCandidates_ChooseBest(
            &groups[order[i]], DRAWN_CANDIDATES, random);
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
    const GPtrArray *list = BbFleet_ListEndpoints(fleet, request->service);
    const service_stats_t stats =
        compute_service_stats(list, request->data_centre, now);
    bb_candidates_t groups[GROUP_COUNT] = {0};
    bool is_any_held = false;
    bool is_any_full = collect_candidates(fleet, list, request, &stats, random,
                                          groups, &is_any_held);
    if (!is_any_full) {
        merge_unverified(groups);
    }
    const bb_candidate_t *chosen = choose_own(groups, request, now);
    if (chosen == NULL) {
        chosen = choose_reachable(groups, request, random);
    }
    bool is_spilling =
        chosen == NULL || chosen->cost_s > near_limit_s(request) ||
        !is_in_data_centre(chosen->endpoint, request->data_centre);
    request_probes(groups, is_spilling, random);
    is_any_full = is_any_full || (chosen == NULL && is_any_held);
    if (chosen == NULL && !is_any_full) {
        chosen = choose_last_resort(groups, random);
    }
    bb_endpoint_t *endpoint = chosen != NULL ? chosen->endpoint : NULL;
    for (int i = 0; i < GROUP_COUNT; i++) {
        BbCandidates_Clear(&groups[i]);
    }
    if (is_full != NULL) {
        *is_full = is_any_full;
    }
    return endpoint;
}

void
BbPlacement_BeginAttempt(bb_endpoint_t *endpoint)
{
    endpoint->in_flight++;
}

void
BbPlacement_SetReachable(bb_endpoint_t *endpoint)
{
    endpoint->is_unverified = false;
    endpoint->is_unreachable = false;
    endpoint->is_probe_requested = false;
    endpoint->probe_backoff_s = 0;
    endpoint->probe_failures = 0;
}

static void
mark_unreachable(bb_endpoint_t *endpoint, double now)
{
    endpoint->is_unreachable = true;
    if (!endpoint->is_unverified) {
        endpoint->is_unverified = true;
        endpoint->is_probe_requested = true;
        endpoint->unverified_since = now;
        endpoint->probe_at = now + PROBE_FIRST_S;
    }
}

bool
BbPlacement_IsProbeDue(const bb_endpoint_t *endpoint, double now)
{
    return endpoint->is_unverified && endpoint->is_probe_requested &&
           !endpoint->is_local && !endpoint->is_removed &&
           now >= endpoint->probe_at;
}

void
BbPlacement_ProbeFailed(bb_endpoint_t *endpoint, double now)
{
    endpoint->is_unreachable = true;
    endpoint->is_probe_requested = false;
    endpoint->probe_failures++;
    endpoint->probe_backoff_s =
        endpoint->probe_backoff_s > 0
            ? MIN(endpoint->probe_backoff_s * 2, PROBE_MAX_S)
            : PROBE_MIN_S;
    endpoint->probe_at = now + endpoint->probe_backoff_s;
}

static void
update_fail_rate(bb_endpoint_t *endpoint, double failure, double now)
{
    double decayed =
        endpoint->fail_rate *
        exp(-MAX(now - endpoint->fail_rate_at, 0.0) / FAIL_DECAY_S);

    endpoint->fail_rate = decayed + FAIL_STEP * (failure - decayed);
    endpoint->fail_rate_at = now;
}

void
BbPlacement_Avoid(bb_endpoint_t *endpoint, double seconds, double now)
{
    endpoint->avoid_until = MAX(endpoint->avoid_until, now + seconds);
}

void
BbPlacement_EndAttempt(bb_endpoint_t *endpoint, bb_attempt_outcome_t outcome,
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
        BbPlacement_SetReachable(endpoint);
        update_fail_rate(endpoint, 0.0, now);
        break;
    case BB_ATTEMPT_FAILED:
        update_fail_rate(endpoint, 1.0, now);
        break;
    case BB_ATTEMPT_UNREACHABLE:
        mark_unreachable(endpoint, now);
        break;
    case BB_ATTEMPT_REFUSED:
        BbPlacement_SetReachable(endpoint);
        break;
    case BB_ATTEMPT_DROPPED:
        break;
    }
}
