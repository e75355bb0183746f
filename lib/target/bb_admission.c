#include "bb_admission.h"

#include <assert.h>
#include <glib.h>
#include <math.h>
#include <stddef.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "bb_counters.h"

/* Weight of one ended call in the moving average of the service time, which so
 * covers about the last ten calls. */
#define SERVICE_SAMPLE_WEIGHT 0.125

/* While no call ends, the estimate halves in this time. Otherwise a slow
 * period could raise it above every deadline; all calls would then be refused,
 * and without new samples it would never fall again. */
#define SERVICE_HALF_LIFE_MS 5000.0

/* The estimate starts to decay this long after the last sample. */
#define SERVICE_DECAY_DELAY_MS 1000

struct bb_admission_pool {
    char *name;
    int slots, connections, queue_limit;
    int running, queued;
    double service_ms;
    int64_t sampled_ms; /* when service_ms was last changed */
    bb_ticket_t *queue; /* DL list, earliest deadline first */
    UT_hash_handle hh;
};

struct bb_admission {
    const bb_admission_policy_t *policy;
    bb_admission_pool_t *pools;
    bb_target_state_t target_state;
    int target_slots, target_connections;
    int running, queued;
    bool node_draining;
};

/* ---- policies ---- */

static bb_reason_t
limit_may_run(const bb_admission_view_t *view)
{
    if (view->remaining_ms <= 0 ||
        view->service_ms > (double)view->remaining_ms) {
        return BB_REASON_TOO_LATE;
    }
    return view->running < view->limit ? BB_REASON_NONE : BB_REASON_QUEUE_FULL;
}

static bb_reason_t
limit_may_queue(const bb_admission_view_t *view)
{
    if (view->queued >= view->queue_limit) {
        return BB_REASON_QUEUE_FULL;
    }
    int servers = view->limit > 1 ? view->limit : 1;
    double wait_ms = view->service_ms * (view->queued_before + 1) / servers;
    if (wait_ms + view->service_ms > (double)view->remaining_ms) {
        return BB_REASON_TOO_LATE;
    }
    return BB_REASON_NONE;
}

static bb_reason_t
allow_always(const bb_admission_view_t *view)
{
    (void)view;
    return BB_REASON_NONE;
}

static const bb_admission_policy_t limit_policy = {"limit", limit_may_run,
                                                   limit_may_queue};

static const bb_admission_policy_t no_limit_policy = {"no-limit", allow_always,
                                                      allow_always};

const bb_admission_policy_t *
BbAdmission_LimitPolicy(void)
{
    return &limit_policy;
}

const bb_admission_policy_t *
BbAdmission_NoLimitPolicy(void)
{
    return &no_limit_policy;
}

/* ---- construction ---- */

bb_admission_t *
BbAdmission_New(const bb_admission_options_t *options)
{
    bb_admission_t *admission = g_new0(bb_admission_t, 1);
    admission->policy =
        options->policy != NULL ? options->policy : &limit_policy;
    admission->target_state = BB_TARGET_ABSENT;
    return admission;
}

static void
free_pool(bb_admission_t *admission, bb_admission_pool_t *pool)
{
    HASH_DEL(admission->pools, pool);
    g_free(pool->name);
    g_free(pool);
}

void
BbAdmission_Free(bb_admission_t *admission)
{
    if (admission == NULL) {
        return;
    }
    assert(admission->running == 0 && admission->queued == 0);
    bb_admission_pool_t *pool, *tmp = NULL;
    HASH_ITER(hh, admission->pools, pool, tmp)
    {
        free_pool(admission, pool);
    }
    g_free(admission);
}

void
BbAdmission_SetTarget(bb_admission_t *admission, bb_target_state_t state,
                      int slots, int connections)
{
    admission->target_state = state;
    admission->target_slots = slots;
    admission->target_connections = connections;
}

void
BbAdmission_Drain(bb_admission_t *admission)
{
    admission->node_draining = true;
}

/* ---- helpers ---- */

/* Reason why no call of any pool may run, BB_REASON_NONE if calls may run. */
static bb_reason_t
find_unavailable_reason(const bb_admission_t *admission)
{
    if (admission->node_draining) {
        return BB_REASON_NODE_DRAINING;
    }
    switch (admission->target_state) {
    case BB_TARGET_READY:
        return BB_REASON_NONE;
    case BB_TARGET_STARTING:
        return BB_REASON_TARGET_STARTING;
    case BB_TARGET_DRAINING:
        return BB_REASON_TARGET_DRAINING;
    case BB_TARGET_ABSENT:
        break;
    }
    return BB_REASON_NO_TARGET;
}

bb_reason_t
BbAdmission_CheckStart(const bb_admission_t *admission)
{
    return find_unavailable_reason(admission);
}

static double
decay_service_ms(const bb_admission_pool_t *pool, int64_t now_ms)
{
    int64_t decay_ms = now_ms - pool->sampled_ms - SERVICE_DECAY_DELAY_MS;
    if (decay_ms <= 0) {
        return pool->service_ms;
    }
    return pool->service_ms * exp2(-(double)decay_ms / SERVICE_HALF_LIFE_MS);
}

/* Most running calls of the pool, see bb_admission_view_t.limit. */
static int
compute_limit(const bb_admission_t *admission, const bb_admission_pool_t *pool)
{
    int free_slots =
        MIN(admission->target_slots, admission->target_connections) -
        admission->running;
    int limit = MIN(pool->slots, pool->connections);
    return MIN(limit, pool->running + MAX(free_slots, 0));
}

static bb_admission_view_t
make_view(const bb_admission_t *admission, const bb_admission_pool_t *pool,
          int64_t deadline_ms, int64_t now_ms)
{
    return (bb_admission_view_t){
        .running = pool->running,
        .limit = compute_limit(admission, pool),
        .queued = pool->queued,
        .queue_limit = pool->queue_limit,
        .service_ms = decay_service_ms(pool, now_ms),
        .remaining_ms = deadline_ms - now_ms,
    };
}

static bb_admission_pool_t *
find_or_add_pool(bb_admission_t *admission,
                 const bb_admission_request_t *request)
{
    bb_admission_pool_t *pool;
    HASH_FIND_STR(admission->pools, request->pool, pool);
    if (pool == NULL) {
        pool = g_new0(bb_admission_pool_t, 1);
        pool->name = g_strdup(request->pool);
        HASH_ADD_KEYPTR(hh, admission->pools, pool->name, strlen(pool->name),
                        pool);
    }
    pool->slots = request->slots;
    pool->connections = request->connections;
    pool->queue_limit = request->queue;
    return pool;
}

static void
start_ticket(bb_admission_t *admission, bb_ticket_t *ticket, int64_t now_ms)
{
    ticket->state = BB_TICKET_RUNNING;
    ticket->started_ms = now_ms;
    ticket->pool->running++;
    admission->running++;
    BbCounters_Add(BB_COUNTER_ADMITTED, 1);
}

static void
refuse_ticket(bb_ticket_t *ticket, bb_reason_t reason)
{
    ticket->state = BB_TICKET_REFUSED;
    ticket->reason = reason;
    ticket->pool = NULL;
    BbReason_Count(reason);
}

/* ---- queue ---- */

/* Last queued ticket whose deadline is not later than deadline_ms, NULL if
 * there is none. Searches from the end, where most new calls belong. */
static bb_ticket_t *
find_predecessor(const bb_admission_pool_t *pool, int64_t deadline_ms,
                 int *queued_before)
{
    *queued_before = pool->queued;
    if (pool->queue == NULL) {
        return NULL;
    }
    bb_ticket_t *at = pool->queue->prev;
    while (at->deadline_ms > deadline_ms) {
        --*queued_before;
        if (at == pool->queue) {
            return NULL;
        }
        at = at->prev;
    }
    return at;
}

static void
insert_ticket(bb_admission_t *admission, bb_ticket_t *ticket,
              bb_ticket_t *predecessor)
{
    bb_admission_pool_t *pool = ticket->pool;
    if (predecessor == NULL) {
        DL_PREPEND(pool->queue, ticket);
    }
    else {
        DL_APPEND_ELEM(pool->queue, predecessor, ticket);
    }
    ticket->state = BB_TICKET_QUEUED;
    pool->queued++;
    admission->queued++;
    BbCounters_Add(BB_COUNTER_QUEUED, 1);
}

static void
remove_ticket(bb_admission_t *admission, bb_ticket_t *ticket)
{
    assert(ticket->state == BB_TICKET_QUEUED);
    DL_DELETE(ticket->pool->queue, ticket);
    ticket->pool->queued--;
    admission->queued--;
}

/* ---- decisions ---- */

static bb_admit_t
try_queue(bb_admission_t *admission, bb_ticket_t *ticket,
          bb_admission_view_t *view)
{
    bb_ticket_t *predecessor = find_predecessor(
        ticket->pool, ticket->deadline_ms, &view->queued_before);
    bb_reason_t reason = admission->policy->may_queue(view);
    if (reason != BB_REASON_NONE) {
        refuse_ticket(ticket, reason);
        return BB_ADMIT_REFUSED;
    }
    insert_ticket(admission, ticket, predecessor);
    return BB_ADMIT_QUEUED;
}

bb_admit_t
BbAdmission_Submit(bb_admission_t *admission, bb_ticket_t *ticket,
                   const bb_admission_request_t *request, int64_t now_ms)
{
    assert(ticket->state == BB_TICKET_IDLE);
    bb_reason_t reason = find_unavailable_reason(admission);
    if (reason != BB_REASON_NONE) {
        refuse_ticket(ticket, reason);
        return BB_ADMIT_REFUSED;
    }
    ticket->pool = find_or_add_pool(admission, request);
    ticket->deadline_ms = request->deadline_ms;
    ticket->queued_ms = now_ms;
    bb_admission_view_t view =
        make_view(admission, ticket->pool, request->deadline_ms, now_ms);
    reason = admission->policy->may_run(&view);
    /* While calls of the pool wait, a new one takes its place in the queue by
     * its deadline. */
    bool must_wait = ticket->pool->queued > 0;
    if (reason == BB_REASON_NONE && !must_wait) {
        start_ticket(admission, ticket, now_ms);
        return BB_ADMIT_RUN;
    }
    if (reason != BB_REASON_NONE && reason != BB_REASON_QUEUE_FULL) {
        refuse_ticket(ticket, reason);
        return BB_ADMIT_REFUSED;
    }
    return try_queue(admission, ticket, &view);
}

static void
add_sample(bb_admission_pool_t *pool, double duration_ms, bool served,
           int64_t now_ms)
{
    double old_ms = decay_service_ms(pool, now_ms);
    if (!served && duration_ms <= old_ms) {
        return;
    }
    pool->service_ms =
        pool->sampled_ms == 0
            ? duration_ms
            : old_ms + (duration_ms - old_ms) * SERVICE_SAMPLE_WEIGHT;
    pool->sampled_ms = now_ms;
}

void
BbAdmission_Finish(bb_admission_t *admission, bb_ticket_t *ticket, bool served,
                   int64_t now_ms)
{
    assert(ticket->state == BB_TICKET_RUNNING);
    bb_admission_pool_t *pool = ticket->pool;
    pool->running--;
    admission->running--;
    assert(pool->running >= 0 && admission->running >= 0);
    add_sample(pool, (double)(now_ms - ticket->started_ms), served, now_ms);
    ticket->state = BB_TICKET_IDLE;
    ticket->pool = NULL;
}

bool
BbAdmission_Cancel(bb_admission_t *admission, bb_ticket_t *ticket)
{
    if (ticket->state != BB_TICKET_QUEUED) {
        return false;
    }
    remove_ticket(admission, ticket);
    refuse_ticket(ticket, BB_REASON_QUEUE_CANCELLED);
    return true;
}

/* Reason to refuse the first call of a queue, BB_REASON_NONE to keep it. */
static bb_reason_t
find_head_refusal(const bb_admission_t *admission,
                  const bb_admission_pool_t *pool, int64_t now_ms)
{
    bb_reason_t unavailable = find_unavailable_reason(admission);
    if (unavailable != BB_REASON_NONE) {
        return unavailable;
    }
    bb_admission_view_t view =
        make_view(admission, pool, pool->queue->deadline_ms, now_ms);
    bb_reason_t reason = admission->policy->may_run(&view);
    return reason == BB_REASON_TOO_LATE ? BB_REASON_QUEUE_EXPIRED
                                        : BB_REASON_NONE;
}

static bool
has_free_slot(const bb_admission_t *admission, const bb_admission_pool_t *pool)
{
    return pool->running < compute_limit(admission, pool);
}

/* True if a uses a smaller share of its own slots than b, or the same share
 * and its first call has the earlier deadline. */
static bool
has_priority_over(const bb_admission_pool_t *a, const bb_admission_pool_t *b)
{
    int64_t share_a = (int64_t)a->running * b->slots;
    int64_t share_b = (int64_t)b->running * a->slots;
    if (share_a != share_b) {
        return share_a < share_b;
    }
    return a->queue->deadline_ms < b->queue->deadline_ms;
}

bb_ticket_t *
BbAdmission_Next(bb_admission_t *admission, int64_t now_ms)
{
    if (admission->queued == 0) {
        return NULL;
    }
    bb_admission_pool_t *best = NULL;
    for (bb_admission_pool_t *pool = admission->pools; pool != NULL;
         pool = pool->hh.next) {
        if (pool->queue == NULL) {
            continue;
        }
        bb_ticket_t *head = pool->queue;
        bb_reason_t reason = find_head_refusal(admission, pool, now_ms);
        if (reason != BB_REASON_NONE) {
            remove_ticket(admission, head);
            refuse_ticket(head, reason);
            return head;
        }
        if (has_free_slot(admission, pool) &&
            (best == NULL || has_priority_over(pool, best))) {
            best = pool;
        }
    }
    if (best == NULL) {
        return NULL;
    }
    bb_ticket_t *ticket = best->queue;
    remove_ticket(admission, ticket);
    start_ticket(admission, ticket, now_ms);
    return ticket;
}

int64_t
BbAdmission_NextEvent(const bb_admission_t *admission, int64_t now_ms)
{
    int64_t next_ms = -1;
    for (const bb_admission_pool_t *pool = admission->pools; pool != NULL;
         pool = pool->hh.next) {
        if (pool->queue == NULL) {
            continue;
        }
        int64_t latest_start_ms =
            pool->queue->deadline_ms -
            (int64_t)ceil(decay_service_ms(pool, now_ms));
        int64_t expiry_ms = MAX(latest_start_ms, now_ms) + 1;
        if (next_ms < 0 || expiry_ms < next_ms) {
            next_ms = expiry_ms;
        }
    }
    return next_ms;
}

int
BbAdmission_RunningCount(const bb_admission_t *admission)
{
    return admission->running;
}

int
BbAdmission_QueuedCount(const bb_admission_t *admission)
{
    return admission->queued;
}

double
BbAdmission_ServiceEstimate(const bb_admission_t *admission, const char *name,
                            int64_t now_ms)
{
    const bb_admission_pool_t *pool;
    HASH_FIND_STR(admission->pools, name, pool);
    return pool != NULL ? decay_service_ms(pool, now_ms) : 0;
}
