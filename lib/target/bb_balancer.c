#include "bb_balancer.h"

#include <assert.h>
#include <glib.h>
#include <math.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "bb_counters.h"
#include "bb_error.h"

/* Half-life of a reported load, which is a few calls old when it arrives. It
 * decays so that a candidate that gets no calls is tried again. */
#define LOAD_HALF_LIFE_MS 2000.0

/* A failed call initially adds as much to the score as this many calls in
 * flight. */
#define FAILURE_PENALTY 8.0
#define FAILURE_HALF_LIFE_MS 3000.0
#define FAILURE_MAX 8.0

/* Share at the start of the ramp. With 0 no first call would be sent. */
#define RAMP_MIN_SHARE 0.1

/* Time for which a member that has lost its target is still chosen for its
 * keys: the time for which its node keeps the records of the keys, see
 * BB_ONCE_KEY_RETENTION_MS in bb_once.h. */
#define KEY_RETENTION_MS 600000

/* Each local refusal adds SPILL_STEP of the remaining distance to 1 to the
 * spill fraction. After SPILL_QUIET_MS without a refusal the fraction decays
 * with the time constant SPILL_DECAY_MS, much more slowly than it grows, so
 * that the local targets are not overloaded again at once. */
#define SPILL_STEP 0.02
#define SPILL_MAX 0.9 /* the rest tests whether local targets serve again */
#define SPILL_MIN 0.01
#define SPILL_QUIET_MS 1000
#define SPILL_DECAY_MS 10000.0

typedef struct service {
    char *name;
    bb_candidate_t *local, *remote; /* DL lists */
    double spill;
    int64_t spill_updated_ms; /* when spill was last updated */
    int64_t last_refusal_ms;  /* last refusal by a local candidate */
    uint64_t cursor;
    UT_hash_handle hh;
} service_t;

struct bb_candidate {
    char address[BB_ADDRESS_TEXT + 1];
    char data_centre[BB_DATA_CENTRE_TEXT + 1];
    service_t *service;
    bool remote;
    bool healthy;
    bool suspect;
    bool draining; /* state of the node, not of its target */
    bb_target_state_t target_state;
    uint64_t node_id;
    int64_t ramp_or_summary_ms; /* local: start of the ramp; remote: last
                                   summary */
    int64_t target_lost_ms;     /* when the target became absent */
    int in_flight;
    double load;
    int64_t load_ms;
    double failures;
    int64_t failures_ms;
    struct bb_candidate *prev, *next;
    UT_hash_handle hh;
};

struct bb_balancer {
    bb_balancer_options_t options;
    char *data_centre;
    service_t *services;
    bb_candidate_t *candidates;
    GArray *views; /* reused by each choice */
};

/* ---- construction ---- */

bb_balancer_t *
BbBalancer_New(const bb_balancer_options_t *options)
{
    bb_balancer_t *balancer = g_new0(bb_balancer_t, 1);
    balancer->options = *options;
    balancer->data_centre = g_strdup(options->data_centre);
    balancer->options.data_centre = balancer->data_centre;
    if (options->policy == NULL) {
        balancer->options.policy = BbBalancer_LeastOfTwoPolicy();
    }
    if (options->ramp_ms == 0) {
        balancer->options.ramp_ms = BB_BALANCER_RAMP_MS;
    }
    balancer->views = g_array_new(FALSE, FALSE, sizeof(bb_candidate_view_t));
    return balancer;
}

static service_t *
find_service(const bb_balancer_t *balancer, const char *name)
{
    service_t *service;
    HASH_FIND_STR(balancer->services, name, service);
    return service;
}

static service_t *
find_or_add_service(bb_balancer_t *balancer, const char *name)
{
    service_t *service = find_service(balancer, name);
    if (service == NULL) {
        service = g_new0(service_t, 1);
        service->name = g_strdup(name);
        service->last_refusal_ms = INT64_MIN / 2;
        HASH_ADD_KEYPTR(hh, balancer->services, service->name,
                        strlen(service->name), service);
    }
    return service;
}

static bb_candidate_t *
find_candidate(const bb_balancer_t *balancer, const char *address)
{
    bb_candidate_t *candidate;
    HASH_FIND_STR(balancer->candidates, address, candidate);
    return candidate;
}

static void
attach_candidate(bb_candidate_t *candidate, service_t *service)
{
    candidate->service = service;
    if (candidate->remote) {
        DL_APPEND(service->remote, candidate);
    }
    else {
        DL_APPEND(service->local, candidate);
    }
}

/* Services without candidates are kept: their spill state must survive a short
 * absence, and the limits of the config tables bound their number. */
static void
detach_candidate(bb_candidate_t *candidate)
{
    if (candidate->remote) {
        DL_DELETE(candidate->service->remote, candidate);
    }
    else {
        DL_DELETE(candidate->service->local, candidate);
    }
}

static bb_candidate_t *
add_candidate(bb_balancer_t *balancer, const char *address,
              const char *data_centre, bool remote, const char *service)
{
    bb_candidate_t *candidate = g_new0(bb_candidate_t, 1);
    g_strlcpy(candidate->address, address, sizeof(candidate->address));
    g_strlcpy(candidate->data_centre, data_centre,
              sizeof(candidate->data_centre));
    candidate->remote = remote;
    candidate->healthy = true;
    HASH_ADD_STR(balancer->candidates, address, candidate);
    attach_candidate(candidate, find_or_add_service(balancer, service));
    return candidate;
}

static void
drop_candidate(bb_balancer_t *balancer, bb_candidate_t *candidate)
{
    detach_candidate(candidate);
    HASH_DEL(balancer->candidates, candidate);
    g_free(candidate);
}

void
BbBalancer_Free(bb_balancer_t *balancer)
{
    if (balancer == NULL) {
        return;
    }
    bb_candidate_t *candidate, *next_candidate = NULL;
    HASH_ITER(hh, balancer->candidates, candidate, next_candidate)
    {
        drop_candidate(balancer, candidate);
    }
    service_t *service, *next_service = NULL;
    HASH_ITER(hh, balancer->services, service, next_service)
    {
        HASH_DEL(balancer->services, service);
        g_free(service->name);
        g_free(service);
    }
    g_array_free(balancer->views, TRUE);
    g_free(balancer->data_centre);
    g_free(balancer);
}

/* ---- candidates ---- */

static void
update_target(bb_candidate_t *candidate, const bb_member_t *member,
              int64_t now_ms)
{
    /* A node takes a new id at each start. A new incarnation alone is no
     * cold start: it also rises when the node refutes a suspicion. */
    bool restarted = member->node_id != candidate->node_id;
    bool became_ready = member->target_state == BB_TARGET_READY &&
                        candidate->target_state != BB_TARGET_READY;
    if (became_ready || restarted) {
        candidate->ramp_or_summary_ms = now_ms;
        candidate->load = 0;
        candidate->failures = 0;
    }
    if (member->target_state == BB_TARGET_ABSENT &&
        candidate->target_state != BB_TARGET_ABSENT) {
        candidate->target_lost_ms = now_ms;
    }
    candidate->target_state = member->target_state;
    candidate->node_id = member->node_id;
    candidate->suspect = member->state == BB_MEMBER_SUSPECT;
    candidate->draining = member->state == BB_MEMBER_DRAINING;
}

void
BbBalancer_SetMember(bb_balancer_t *balancer, const bb_member_t *member,
                     int64_t now_ms)
{
    bb_candidate_t *candidate =
        find_candidate(balancer, member->caller_address);
    if (member->state == BB_MEMBER_DEAD || member->state == BB_MEMBER_LEFT) {
        BbBalancer_Remove(balancer, member->caller_address);
        return;
    }
    if (candidate != NULL && candidate->remote) {
        drop_candidate(balancer, candidate);
        candidate = NULL;
    }
    if (candidate == NULL) {
        if (member->service[0] == '\0') {
            return;
        }
        candidate =
            add_candidate(balancer, member->caller_address,
                          balancer->data_centre, false, member->service);
    }
    if (member->service[0] != '\0' &&
        strcmp(candidate->service->name, member->service) != 0) {
        detach_candidate(candidate);
        attach_candidate(candidate,
                         find_or_add_service(balancer, member->service));
    }
    update_target(candidate, member, now_ms);
}

void
BbBalancer_Remove(bb_balancer_t *balancer, const char *address)
{
    bb_candidate_t *candidate = find_candidate(balancer, address);
    if (candidate != NULL) {
        drop_candidate(balancer, candidate);
    }
}

static bool
is_listed(const char *address, const char *const *list, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(address, list[i]) == 0) {
            return true;
        }
    }
    return false;
}

static void
drop_unlisted(bb_balancer_t *balancer, service_t *service,
              const char *data_centre, const char *const *addresses,
              size_t count)
{
    bb_candidate_t *candidate, *next = NULL;
    DL_FOREACH_SAFE (service->remote, candidate, next) {
        if (strcmp(candidate->data_centre, data_centre) == 0 &&
            !is_listed(candidate->address, addresses, count)) {
            drop_candidate(balancer, candidate);
        }
    }
}

void
BbBalancer_SetSummary(bb_balancer_t *balancer, const char *data_centre,
                      const char *name, int live, const char *const *addresses,
                      size_t count, int64_t now_ms)
{
    if (strcmp(data_centre, balancer->data_centre) == 0) {
        return;
    }
    count = live > 0 ? MIN(count, BB_BALANCER_MAX_SUMMARY_ADDRESSES) : 0;
    service_t *service = find_or_add_service(balancer, name);
    drop_unlisted(balancer, service, data_centre, addresses, count);
    for (size_t i = 0; i < count; i++) {
        bb_candidate_t *candidate = find_candidate(balancer, addresses[i]);
        if (candidate != NULL && !candidate->remote) {
            continue; /* membership takes precedence over summaries */
        }
        if (candidate != NULL && candidate->service != service) {
            drop_candidate(balancer, candidate);
            candidate = NULL;
        }
        if (candidate == NULL) {
            candidate =
                add_candidate(balancer, addresses[i], data_centre, true, name);
        }
        candidate->target_state = BB_TARGET_READY;
        candidate->ramp_or_summary_ms = now_ms;
    }
}

void
BbBalancer_SetHealth(bb_balancer_t *balancer, const char *address,
                     bool healthy)
{
    bb_candidate_t *candidate = find_candidate(balancer, address);
    if (candidate != NULL) {
        candidate->healthy = healthy;
    }
}

/* ---- choice ---- */

static double
decay(double value, int64_t since_ms, double half_life_ms, int64_t now_ms)
{
    return value * exp2(-(double)(now_ms - since_ms) / half_life_ms);
}

static double
compute_score(const bb_candidate_t *candidate, int64_t now_ms)
{
    return candidate->in_flight +
           decay(candidate->load, candidate->load_ms, LOAD_HALF_LIFE_MS,
                 now_ms) +
           FAILURE_PENALTY * decay(candidate->failures, candidate->failures_ms,
                                   FAILURE_HALF_LIFE_MS, now_ms);
}

/* Share of the normal call rate. A remote candidate gets its full share: its
 * own data centre ramps it up. */
static double
compute_share(const bb_balancer_t *balancer, const bb_candidate_t *candidate,
              int64_t now_ms)
{
    if (candidate->remote) {
        return 1.0;
    }
    double share = (double)(now_ms - candidate->ramp_or_summary_ms) /
                   balancer->options.ramp_ms;
    return CLAMP(share, RAMP_MIN_SHARE, 1.0);
}

static void
add_view(bb_balancer_t *balancer, bb_candidate_t *candidate, int64_t now_ms)
{
    const bb_candidate_view_t view = {
        .address = candidate->address,
        .score = compute_score(candidate, now_ms),
        .share = compute_share(balancer, candidate, now_ms),
        .handle = candidate,
    };
    g_array_append_val(balancer->views, view);
}

static bool
is_usable(const bb_candidate_t *candidate, int64_t now_ms)
{
    if (candidate->remote) {
        return now_ms - candidate->ramp_or_summary_ms <
               BB_BALANCER_SUMMARY_MAX_AGE_MS;
    }
    return !candidate->draining && candidate->target_state == BB_TARGET_READY;
}

/* True if the node may still have records of keys that ran. */
static bool
may_have_key_records(const bb_candidate_t *candidate, int64_t now_ms)
{
    return candidate->target_state != BB_TARGET_ABSENT ||
           now_ms - candidate->target_lost_ms < KEY_RETENTION_MS;
}

static bool
looks_healthy(const bb_candidate_t *candidate)
{
    return candidate->healthy && !candidate->suspect;
}

/* False while more than half of the usable local candidates look unhealthy;
 * health is then ignored, see BbBalancer_SetHealth(). */
static bool
is_health_plausible(const service_t *service, int64_t now_ms)
{
    int total = 0, unhealthy = 0;
    const bb_candidate_t *candidate;
    DL_FOREACH (service->local, candidate) {
        if (is_usable(candidate, now_ms)) {
            total++;
            unhealthy += looks_healthy(candidate) ? 0 : 1;
        }
    }
    return 2 * unhealthy <= total;
}

static bool
was_tried(const bb_candidate_t *candidate, const bb_choice_request_t *request)
{
    return is_listed(candidate->address, request->tried, request->tried_count);
}

static void
collect_local(bb_balancer_t *balancer, const service_t *service,
              const bb_choice_request_t *request, bool healthy_only,
              int64_t now_ms)
{
    bb_candidate_t *candidate;
    g_array_set_size(balancer->views, 0);
    DL_FOREACH (service->local, candidate) {
        if (is_usable(candidate, now_ms) && !was_tried(candidate, request) &&
            (!healthy_only || looks_healthy(candidate))) {
            add_view(balancer, candidate, now_ms);
        }
    }
}

/* Collects the local candidates for a call with a key, whatever their health
 * and also while they drain. */
static void
collect_keyed(bb_balancer_t *balancer, const service_t *service,
              const bb_choice_request_t *request, int64_t now_ms)
{
    bb_candidate_t *candidate;
    g_array_set_size(balancer->views, 0);
    DL_FOREACH (service->local, candidate) {
        if (may_have_key_records(candidate, now_ms) &&
            !was_tried(candidate, request)) {
            add_view(balancer, candidate, now_ms);
        }
    }
}

static void
collect_remote(bb_balancer_t *balancer, const service_t *service,
               const bb_choice_request_t *request, int64_t now_ms)
{
    bb_candidate_t *candidate;
    g_array_set_size(balancer->views, 0);
    DL_FOREACH (service->remote, candidate) {
        if (is_usable(candidate, now_ms) && !was_tried(candidate, request)) {
            add_view(balancer, candidate, now_ms);
        }
    }
}

static void
update_spill(service_t *service, int64_t now_ms)
{
    int64_t from_ms = MAX(service->spill_updated_ms,
                          service->last_refusal_ms + SPILL_QUIET_MS);
    if (now_ms > from_ms) {
        service->spill *= exp(-(double)(now_ms - from_ms) / SPILL_DECAY_MS);
        if (service->spill < SPILL_MIN) {
            service->spill = 0;
        }
    }
    service->spill_updated_ms = now_ms;
}

/* A later attempt of a call goes to another data centre if a local candidate
 * has refused a call within SPILL_QUIET_MS; other attempts go there with the
 * probability of the spill fraction. */
static bool
prefers_remote(bb_balancer_t *balancer, service_t *service,
               const bb_choice_request_t *request, int64_t now_ms)
{
    update_spill(service, now_ms);
    if (request->tried_count > 0 &&
        now_ms - service->last_refusal_ms < SPILL_QUIET_MS) {
        return true;
    }
    return service->spill > 0 &&
           BbRandom_Unit(balancer->options.random) < service->spill;
}

/* Collects the candidates for this attempt in balancer->views. */
static void
collect_candidates(bb_balancer_t *balancer, service_t *service,
                   const bb_choice_request_t *request, int64_t now_ms)
{
    if (request->key != NULL) {
        collect_keyed(balancer, service, request, now_ms);
        if (balancer->views->len == 0 && request->spill) {
            collect_remote(balancer, service, request, now_ms);
        }
        return;
    }
    if (request->spill && service->remote != NULL &&
        prefers_remote(balancer, service, request, now_ms)) {
        collect_remote(balancer, service, request, now_ms);
        if (balancer->views->len > 0) {
            return;
        }
    }
    bool healthy_only = is_health_plausible(service, now_ms);
    if (!healthy_only) {
        BbCounters_Add(BB_COUNTER_HEALTH_IGNORED, 1);
    }
    collect_local(balancer, service, request, healthy_only, now_ms);
    if (balancer->views->len == 0 && request->spill) {
        collect_remote(balancer, service, request, now_ms);
    }
    if (balancer->views->len == 0 && healthy_only) {
        collect_local(balancer, service, request, false, now_ms);
    }
}

int
BbBalancer_Choose(bb_balancer_t *balancer, const bb_choice_request_t *request,
                  int64_t now_ms, bb_choice_t *out)
{
    service_t *service = find_service(balancer, request->service);
    if (service == NULL) {
        return BB_ERR_NOT_FOUND;
    }
    collect_candidates(balancer, service, request, now_ms);
    if (balancer->views->len == 0) {
        return BB_ERR_NOT_FOUND;
    }
    const bb_balancer_policy_t *policy = request->key != NULL
                                             ? BbBalancer_RendezvousPolicy()
                                             : balancer->options.policy;
    const bb_candidate_view_t *views =
        (const bb_candidate_view_t *)(void *)balancer->views->data;
    size_t index = policy->choose(views, balancer->views->len, request->key,
                                  &service->cursor, balancer->options.random);
    assert(index < balancer->views->len);
    const bb_candidate_t *candidate = views[index].handle;
    g_strlcpy(out->address, candidate->address, sizeof(out->address));
    g_strlcpy(out->data_centre, candidate->data_centre,
              sizeof(out->data_centre));
    out->spilled = candidate->remote;
    if (out->spilled) {
        BbCounters_Add(BB_COUNTER_SPILLED, 1);
    }
    return 0;
}

/* ---- results ---- */

void
BbBalancer_BeginAttempt(bb_balancer_t *balancer, const char *address)
{
    bb_candidate_t *candidate = find_candidate(balancer, address);
    if (candidate != NULL) {
        candidate->in_flight++;
    }
}

static void
record_refusal(bb_candidate_t *candidate, int64_t now_ms)
{
    service_t *service = candidate->service;
    update_spill(service, now_ms);
    if (candidate->remote) {
        /* The other data centre is full as well: spill less. */
        service->spill -= SPILL_STEP * service->spill;
        return;
    }
    service->last_refusal_ms = now_ms;
    service->spill += SPILL_STEP * (1 - service->spill);
    service->spill = CLAMP(service->spill, SPILL_MIN, SPILL_MAX);
}

bb_balancer_result_t
BbBalancer_ClassifyRefusal(bb_reason_t reason)
{
    switch (reason) {
    case BB_REASON_QUEUE_FULL:
    case BB_REASON_TOO_LATE:
    case BB_REASON_QUEUE_EXPIRED:
        return BB_BALANCER_REFUSED;
    case BB_REASON_NO_TARGET:
    case BB_REASON_WRONG_SERVICE:
    case BB_REASON_TARGET_STARTING:
    case BB_REASON_TARGET_DRAINING:
    case BB_REASON_NODE_DRAINING:
    case BB_REASON_TARGET_CONNECT:
    case BB_REASON_TARGET_LOST:
        return BB_BALANCER_FAILED;
    default:
        return BB_BALANCER_INCONCLUSIVE;
    }
}

void
BbBalancer_EndAttempt(bb_balancer_t *balancer, const char *address,
                      bb_balancer_result_t result, double load, int64_t now_ms)
{
    bb_candidate_t *candidate = find_candidate(balancer, address);
    if (candidate == NULL) {
        return; /* removed while the call was in flight */
    }
    if (candidate->in_flight > 0) {
        candidate->in_flight--;
    }
    if (load >= 0) {
        candidate->load = load;
        candidate->load_ms = now_ms;
    }
    if (result == BB_BALANCER_REFUSED) {
        record_refusal(candidate, now_ms);
    }
    if (result == BB_BALANCER_FAILED) {
        double failures = decay(candidate->failures, candidate->failures_ms,
                                FAILURE_HALF_LIFE_MS, now_ms);
        candidate->failures = MIN(failures + 1, FAILURE_MAX);
        candidate->failures_ms = now_ms;
    }
}

size_t
BbBalancer_LocalCount(const bb_balancer_t *balancer, const char *name)
{
    size_t count = 0;
    const service_t *service = find_service(balancer, name);
    const bb_candidate_t *candidate;
    if (service != NULL) {
        DL_FOREACH (service->local, candidate) {
            count += is_usable(candidate, 0) ? 1 : 0;
        }
    }
    return count;
}

double
BbBalancer_SpillFraction(const bb_balancer_t *balancer, const char *name,
                         int64_t now_ms)
{
    service_t *service = find_service(balancer, name);
    if (service == NULL) {
        return 0;
    }
    update_spill(service, now_ms);
    return service->spill;
}

/* ---- reports ---- */

static const char *
find_unusable_reason(const bb_candidate_t *candidate, bool healthy_only,
                     int64_t now_ms)
{
    if (candidate->remote) {
        return is_usable(candidate, now_ms) ? NULL : "summary is stale";
    }
    if (candidate->draining) {
        return "node drains";
    }
    switch (candidate->target_state) {
    case BB_TARGET_ABSENT:
        return "no target announced";
    case BB_TARGET_STARTING:
        return "target starts";
    case BB_TARGET_DRAINING:
        return "target drains";
    case BB_TARGET_READY:
        break;
    }
    if (healthy_only && !looks_healthy(candidate)) {
        return candidate->suspect ? "node is suspect" : "reported unhealthy";
    }
    return NULL;
}

void
BbBalancer_Report(const bb_balancer_t *balancer, const char *name,
                  int64_t now_ms, bb_candidate_report_cb_t report, void *arg)
{
    const service_t *service = find_service(balancer, name);
    const bb_candidate_t *candidate;

    if (service == NULL) {
        return;
    }
    bool healthy_only = is_health_plausible(service, now_ms);
    bb_candidate_t *const lists[] = {service->local, service->remote};
    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        DL_FOREACH (lists[i], candidate) {
            const bb_candidate_report_t entry = {
                .address = candidate->address,
                .data_centre = candidate->data_centre,
                .unusable_reason =
                    find_unusable_reason(candidate, healthy_only, now_ms),
                .in_flight = candidate->in_flight,
                .score = compute_score(candidate, now_ms),
                .share = compute_share(balancer, candidate, now_ms),
            };
            report(&entry, arg);
        }
    }
}

void
BbBalancer_ListServices(const bb_balancer_t *balancer,
                        void (*list)(const char *service, size_t live,
                                     void *arg),
                        void *arg)
{
    const service_t *service;

    for (service = balancer->services; service != NULL;
         service = service->hh.next) {
        list(service->name, BbBalancer_LocalCount(balancer, service->name),
             arg);
    }
}
