#include "bb_call_io.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

#include "bb_clock.h"
#include "bb_counters.h"
#include "bb_event.h"
#include "bb_mesh_call.h"
#include "bb_name_table.h"

/* Timeout of a call if neither its caller nor its route sets one. */
#define DEFAULT_TIMEOUT_S 60.0

/* Limit of routes in a table by route name. One configuration has some
 * hundred, but 4,000 configurations a day may have different ones. */
#define MAX_ROUTE_NUMBERS 2048

/* ---- call state ---- */

double
BbMeshCall_Now(const bb_mesh_call_t *call)
{
    return BbClock_Now(call->io->options.loop);
}

double *
BbMeshCall_RouteNumber(const bb_mesh_call_t *call, GHashTable *table)
{
    return BbNameTable_Get(table, call->route->name, sizeof(double),
                           MAX_ROUTE_NUMBERS);
}

/* Gives back what the call has taken from its account's quota if it has
 * certainly not run. */
static void
return_quota(const bb_mesh_call_t *call)
{
    const bb_call_quota_t *quota = &call->io->quota;

    if (call->has_quota_ticket && !call->may_have_run) {
        quota->give_back(call->account->name, call->quota_ticket, quota->arg);
    }
}

void
BbMeshCall_Free(bb_mesh_call_t *call)
{
    bb_call_io_t *io = call->io;

    ev_timer_stop(io->options.loop, &call->deadline_timer);
    BbMeshCall_CancelHedge(call);
    return_quota(call);
    DL_DELETE(io->calls, call);
    io->call_count--;
    for (size_t i = 0; i < call->tried_count; i++) {
        BbEndpoint_Unref(call->tried[i]);
    }
    BbMeshConfig_Unref(call->config);
    BbH1Fields_Free(&call->fields);
    BbH1Fields_Free(&call->response_fields);
    BbBody_Free(&call->body);
    g_byte_array_unref(call->response_body);
    g_free(call->call_id);
    g_free(call);
}

/* ---- requests from callers ---- */

static void
handle_deadline(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    BbMeshCall_TimeOut(timer->data, BB_ATTEMPT_FAILED);
}

/* Whether a node removes the field or replaces it by its own. Fields of client
 * accounts have a meaning only in a configuration that has accounts. */
static bool
is_replaced_field(const bb_mesh_call_t *call, const char *name)
{
    const bb_header_names_t *names = call->io->options.names;

    if (BbMeshConfig_Accounts(call->config) != NULL &&
        (strcasecmp(name, names->account_key) == 0 ||
         strcasecmp(name, names->account) == 0)) {
        return true;
    }
    return strcasecmp(name, names->deadline) == 0 ||
           strcasecmp(name, names->expected_target) == 0 ||
           strcasecmp(name, names->caller_service) == 0;
}

static void
copy_call_fields(bb_mesh_call_t *call, const bb_h1_fields_t *fields)
{
    size_t cursor = 0;
    const char *name, *value;

    while (BbH1Fields_Next(fields, &cursor, &name, &value)) {
        if (!is_replaced_field(call, name) && BbAttempt_IsEndToEnd(name)) {
            BbH1Fields_Add(&call->fields, name, value);
        }
    }
}

static bb_mesh_call_t *
new_call(bb_call_io_t *io, bb_h1_request_t *request)
{
    bb_mesh_call_t *call = g_new0(bb_mesh_call_t, 1);
    const char *id =
        BbH1Fields_Get(&request->fields, io->options.names->call_id);

    call->io = io;
    call->request = request;
    call->call_id = g_strdup(id != NULL ? id : "");
    call->arrived_at = BbClock_Now(io->options.loop);
    call->response_body = g_byte_array_new();
    BbH1Fields_Init(&call->fields);
    BbH1Fields_Init(&call->response_fields);
    BbBody_Init(&call->body);
    ev_init(&call->deadline_timer, handle_deadline);
    call->deadline_timer.data = call;
    DL_APPEND(io->calls, call);
    io->call_count++;
    io->last_call_at = call->arrived_at;
    BbCounters_Add(BB_COUNTER_CALLS, 1);
    return call;
}

/*
 * Estimates the seconds since the caller first sent the call. A retry by the
 * caller carries only the time left until its deadline, so the longest
 * deadline seen on the route is taken as that of a first try.
 */
static double
estimate_earlier_tries_s(bb_mesh_call_t *call, double left_s)
{
    double *longest_s =
        BbMeshCall_RouteNumber(call, call->io->longest_deadlines);

    *longest_s = MAX(*longest_s, left_s);
    return *longest_s - left_s;
}

/* Seconds that the call may take: the smaller of the caller's deadline and the
 * timeout of the route. */
static double
time_allowed(bb_mesh_call_t *call)
{
    const char *text = BbH1Fields_Get(&call->request->fields,
                                      call->io->options.names->deadline);
    double allowed_s = call->route->timeout_s > 0 ? call->route->timeout_s
                                                  : DEFAULT_TIMEOUT_S;

    if (text != NULL) {
        char *end;
        double caller_timeout_s = g_ascii_strtod(text, &end) / 1000;
        /* A value that is not finite would make all later calls of the route
         * look late, because the longest deadline is kept. */
        if (end != text && isfinite(caller_timeout_s)) {
            call->earlier_tries_s =
                estimate_earlier_tries_s(call, caller_timeout_s);
            allowed_s = MIN(allowed_s, caller_timeout_s);
        }
    }
    return allowed_s;
}

static void
fill_request(bb_mesh_call_t *call)
{
    bb_h1_request_t *request = call->request;
    double allowed_s = time_allowed(call);

    copy_call_fields(call, &request->fields);
    call->body.is_complete = request->content_length == BB_H1_NO_BODY ||
                             request->content_length == 0;
    double parent_age_s = 0;
    call->is_nested = BbCallTree_BeginNested(
        BbTargetIo_CallTree(call->io->options.target), call->call_id,
        call->route->name, call->arrived_at, &parent_age_s);
    BbCounters_Add(BB_COUNTER_NESTED_CALLS, call->is_nested ? 1 : 0);
    call->attempt_request = (bb_attempt_request_t){
        .call_id = call->call_id,
        .method = request->method,
        .target = request->target->str,
        .fields = &call->fields,
        .content_length = request->content_length,
        .body = &call->body,
        .service = call->service,
        .caller_service = call->io->service,
        .is_idempotent = call->route->is_idempotent,
        .class_name = call->route->name,
        .rank =
            call->account != NULL ? call->account->rank : call->route->rank,
        .account = call->account != NULL ? call->account->name : NULL,
        .key_digest = call->key_digest,
        .is_nested = call->is_nested,
        .parent_age_s = parent_age_s,
        .target_latency_s = call->route->target_latency_s,
        .due_at = call->arrived_at + call->route->target_latency_s -
                  call->earlier_tries_s,
        .deadline_at = call->arrived_at + allowed_s - BB_RESPONSE_MARGIN_S,
    };
    request->rank = call->attempt_request.rank;
    request->due_at = call->attempt_request.due_at;
    ev_timer_set(&call->deadline_timer,
                 MAX(allowed_s - BB_RESPONSE_MARGIN_S, 0.001), 0.0);
    ev_timer_start(call->io->options.loop, &call->deadline_timer);
}

/* Denies a call that the version in force does not allow. A caller does not
 * retry after such a status, so a node that knows of a newer version, which
 * may allow the call, answers 503. */
static void
deny_call(bb_mesh_call_t *call, int status, bb_reason_t reason)
{
    const bb_freshness_t *freshness = call->io->options.freshness;
    bool is_outdated =
        freshness != NULL &&
        BbFreshness_IsBehind(freshness, BbMeshConfig_Version(call->config));

    if (is_outdated) {
        BbMeshCall_RespondError(call, 503, BB_REASON_CONFIG_OUTDATED);
    }
    else {
        BbMeshCall_RespondError(call, status, reason);
    }
}

/* Finds the client account of the call. Returns false if the call needs one
 * and its key is unknown. */
static bool
identify_account(bb_mesh_call_t *call)
{
    const bb_account_table_t *accounts = BbMeshConfig_Accounts(call->config);

    if (accounts == NULL || call->route->is_public) {
        return true;
    }
    const char *key = BbH1Fields_Get(&call->request->fields,
                                     call->io->options.names->account_key);
    call->account = BbAccountTable_Find(accounts, key, &call->key_digest);
    return call->account != NULL;
}

/* Asks for admission to the quota of the call's account. */
static bool
admit_to_quota(bb_mesh_call_t *call)
{
    const bb_call_quota_t *quota = &call->io->quota;

    if (call->account == NULL || quota->admit == NULL) {
        return true;
    }
    call->has_quota_ticket =
        quota->admit(call->account->name, &call->quota_ticket,
                     &call->retry_after_s, quota->arg);
    return call->has_quota_ticket;
}

/* Nested calls of a run at the local target are still accepted during a
 * shutdown: without them the run fails, for which the process waits. */
static bool
is_refused_at_shutdown(const bb_mesh_call_t *call)
{
    const bb_call_io_t *io = call->io;

    return io->is_ending ||
           (io->is_refusing &&
            !BbCallTree_IsNested(BbTargetIo_CallTree(io->options.target),
                                 call->call_id));
}

static void
handle_head(bb_h1_request_t *request, void *arg)
{
    bb_call_io_t *io = arg;
    bb_mesh_call_t *call = new_call(io, request);

    request->user_data = call;
    if (is_refused_at_shutdown(call)) {
        BbMeshCall_RespondError(call, 503, BB_REASON_NODE_DRAINING);
        return;
    }
    if (io->config == NULL) {
        BbMeshCall_RespondError(call, 503, BB_REASON_NO_CONFIG);
        return;
    }
    call->config = BbMeshConfig_Ref(io->config);
    bb_mesh_route_t *route = BbMeshConfig_FindRoute(
        call->config, BbH1Fields_Get(&request->fields, "Host"),
        request->target->str);
    call->route = route;
    if (route == NULL) {
        deny_call(call, 404, BB_REASON_NO_ROUTE);
        return;
    }
    if (!identify_account(call)) {
        deny_call(call, 401, BB_REASON_ACCOUNT_UNKNOWN);
        return;
    }
    int64_t limit = BbMeshConfig_Limits(call->config)->body_bytes;
    if (limit > 0 && request->content_length > limit) {
        BbMeshCall_RespondError(call, 413, BB_REASON_BODY_TOO_LARGE);
        return;
    }
    if (!admit_to_quota(call)) {
        BbMeshCall_RespondError(call, 429, BB_REASON_QUOTA_EXCEEDED);
        return;
    }
    call->service = BbMeshRoute_NextService(route);
    BbRepeatBudget_OnCall(io->options.budget, call->service);
    if (io->options.hedge != NULL) {
        BbHedge_OnCall(io->options.hedge, route->name);
    }
    fill_request(call);
    BbMeshCall_StartNextAttempt(call);
}

static void
handle_body(bb_h1_request_t *request, const char *data, size_t size, void *arg)
{
    bb_mesh_call_t *call = request->user_data;
    (void)arg;

    BbBody_Append(&call->body, data, size);
    if (call->body.bytes->len > BB_MAX_BUFFERED_BODY_BYTES) {
        BbH1_PauseBody(request, true);
    }
    if (call->attempt != NULL) {
        call->attempt->ops->body_extended(call->attempt);
    }
}

static void
handle_end(bb_h1_request_t *request, void *arg)
{
    bb_mesh_call_t *call = request->user_data;
    (void)arg;

    call->body.is_complete = true;
    if (call->attempt != NULL) {
        call->attempt->ops->body_extended(call->attempt);
    }
}

static void
handle_connection_lost(bb_h1_request_t *request, void *arg)
{
    bb_mesh_call_t *call = request->user_data;
    (void)arg;

    if (BbEvent_Allows(BB_EVENT_CALL_GONE)) {
        BbEvent_Write(BB_EVENT_CALL_GONE,
                      json_pack("{s:s, s:s, s:s, s:f}", "call", call->call_id,
                                "route",
                                call->route != NULL ? call->route->name : "",
                                "peer", BbMeshCall_PeerName(call), "took_s",
                                BbMeshCall_Now(call) - call->arrived_at));
    }
    if (call->attempt != NULL) {
        bb_attempt_t *attempt = call->attempt;
        if (!attempt->ops->is_not_started(attempt)) {
            call->may_have_run = true;
        }
        BbMeshCall_EndAttempt(call, BB_ATTEMPT_DROPPED);
        attempt->ops->cancel(attempt);
    }
    BbMeshCall_Free(call);
}

static void
handle_drained(bb_h1_request_t *request, void *arg)
{
    bb_mesh_call_t *call = request->user_data;
    (void)arg;

    if (call->attempt != NULL) {
        call->attempt->ops->pause(call->attempt, false);
    }
}

static const bb_h1_handler_t server_handler = {
    .on_head = handle_head,
    .on_body = handle_body,
    .on_end = handle_end,
    .on_connection_lost = handle_connection_lost,
    .on_drained = handle_drained,
};

/* ---- create and free ---- */

int
BbCallIo_New(const bb_call_io_options_t *options, bb_call_io_t **out)
{
    bb_call_io_t *io = g_new0(bb_call_io_t, 1);
    bb_h1_server_options_t server_options = {
        .loop = options->loop,
        .address = options->address,
        .handler = &server_handler,
        .arg = io,
        .pacer = options->pacer,
    };
    int error = BbH1Server_New(&server_options, &io->server);

    if (error != 0) {
        g_free(io);
        return error;
    }
    io->options = *options;
    if (options->quota != NULL) {
        io->quota = *options->quota;
    }
    io->data_centre = g_strdup(options->data_centre);
    io->service = g_strdup(options->service);
    io->longest_deadlines =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    io->sizes = BbLinkSizes_New();
    io->room_expected_at =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    *out = io;
    return 0;
}

void
BbCallIo_Free(bb_call_io_t *io)
{
    if (io != NULL) {
        BbH1Server_Free(io->server);
        BbMeshConfig_Unref(io->config);
        g_hash_table_destroy(io->longest_deadlines);
        BbLinkSizes_Free(io->sizes);
        g_hash_table_destroy(io->room_expected_at);
        g_free(io->data_centre);
        g_free(io->service);
        g_free(io);
    }
}

void
BbCallIo_SetConfig(bb_call_io_t *io, bb_mesh_config_t *config)
{
    const bb_mesh_limits_t *limits = BbMeshConfig_Limits(config);

    BbMeshConfig_Ref(config);
    BbMeshConfig_Unref(io->config);
    io->config = config;
    BbH1Server_SetLimits(io->server, (size_t)limits->head_bytes,
                         limits->idle_s, limits->head_s);
}

void
BbCallIo_SetDraining(bb_call_io_t *io)
{
    io->is_draining = true;
    BbH1Server_SetClosing(io->server);
}

void
BbCallIo_RefuseNewCalls(bb_call_io_t *io)
{
    io->is_refusing = true;
}

/* A call that has certainly not started, NULL when there is none. */
static bb_mesh_call_t *
find_not_started(const bb_call_io_t *io)
{
    bb_mesh_call_t *call;

    DL_FOREACH (io->calls, call) {
        if (call->attempt == NULL ||
            call->attempt->ops->is_not_started(call->attempt)) {
            return call;
        }
    }
    return NULL;
}

void
BbCallIo_EndWaitingCalls(bb_call_io_t *io)
{
    bb_mesh_call_t *call;

    if (io->is_ending) {
        return;
    }
    io->is_ending = true;
    /* Otherwise the end of a running call would start a waiting one, which
     * would be cut at once and could not be answered with 503. */
    BbTargetIo_SetNodeEnding(io->options.target);
    while ((call = find_not_started(io)) != NULL) {
        BbMeshCall_TimeOut(call, BB_ATTEMPT_DROPPED);
    }
    DL_FOREACH (io->calls, call) {
        if (call->attempt != NULL && !BbMeshCall_IsHedged(call) &&
            call->attempt->ops->withdraw != NULL) {
            call->attempt->ops->withdraw(call->attempt);
        }
    }
}

void
BbCallIo_FailOpenCalls(bb_call_io_t *io)
{
    BbCallIo_EndWaitingCalls(io);
    while (io->calls != NULL) {
        BbMeshCall_TimeOut(io->calls, BB_ATTEMPT_DROPPED);
    }
}

int
BbCallIo_OpenCalls(const bb_call_io_t *io)
{
    return io->call_count;
}

bool
BbCallIo_IsFlushed(const bb_call_io_t *io)
{
    return BbH1Server_IsFlushed(io->server);
}

double
BbCallIo_LastCallTime(const bb_call_io_t *io)
{
    return io->last_call_at;
}
