#include "bb_clock.h"
#include "bb_counters.h"
#include "bb_event.h"
#include "bb_mesh_call.h"
#include "bb_transfer_gate.h"

#include <string.h>

/* A response up to this size is buffered until it is complete. A larger one
 * is streamed. */
#define MAX_BUFFERED_RESPONSE_BYTES (1024 * 1024)

/* Limit of attempts per call. Refusals count, except those of draining nodes
 * and targets: many may drain at once, and each refuses a call only once. */
#define MAX_ATTEMPTS 5

/* Limit of refusals because no slot was free: when two of the best nodes have
 * no free slot, the others seldom have one. */
#define MAX_FULL_REFUSALS 2

/* How long a node without a known target is avoided. */
#define NO_TARGET_AVOID_S 1.0

/* How long a draining node or target is avoided. It takes no calls again in
 * the same incarnation, and the record of the next one ends the avoidance. */
#define DRAINING_AVOID_S 5.0

/* How long a node is avoided whose target's version takes no calls now. The
 * row that says so reaches this node within that time. */
#define VERSION_AVOID_S 0.3

/* How long a node is avoided that has not acknowledged a call in time. */
#define UNRESPONSIVE_AVOID_S 0.5

void
BbMeshCall_ReleaseEndpoint(const bb_mesh_call_t *call, bb_endpoint_t *endpoint,
                           const bb_hop_load_report_t *report,
                           bb_attempt_outcome_t outcome)
{
    bb_load_t load = report->load;
    bool has_load = report->has_load;

    if (endpoint->is_local) {
        BbTargetIo_GetLoad(call->io->options.target, NULL, &load);
        has_load = true;
    }
    else if (has_load && outcome == BB_ATTEMPT_SERVED &&
             strcmp(call->service, call->io->service) == 0) {
        BbTargetIo_OnLoadElsewhere(call->io->options.target, call->route->name,
                                   &load, endpoint->record.slots);
    }
    BbPlacement_EndAttempt(endpoint, outcome, has_load ? &load : NULL,
                           BbMeshCall_Now(call));
    BbEndpoint_Unref(endpoint);
}

void
BbMeshCall_EndAttempt(bb_mesh_call_t *call, bb_attempt_outcome_t outcome)
{
    if (call->endpoint == NULL) {
        return;
    }
    BbMeshCall_ReleaseEndpoint(call, call->endpoint, &call->load_report,
                               outcome);
    call->endpoint = NULL;
    call->attempt = NULL;
    if (call->io->options.hedge != NULL && outcome == BB_ATTEMPT_SERVED) {
        BbHedge_OnResponse(call->io->options.hedge, call->route->name,
                           BbMeshCall_Now(call) - call->attempt_started_at);
    }
}

/* ---- results of attempts ---- */

/* Whether the call may be sent to another node. Takes from the shared retry
 * budget when the ended attempt reached a target. */
static bool
may_retry(bb_mesh_call_t *call, bool reached_target)
{
    const bb_mesh_route_t *route = call->route;
    bb_call_io_t *io = call->io;

    /* A run that holds a slot waits for a nested call. */
    int max_full_refusals = call->is_nested ? MAX_ATTEMPTS : MAX_FULL_REFUSALS;

    if (call->attempts - call->draining_refusals >= MAX_ATTEMPTS ||
        call->full_refusals >= max_full_refusals || call->body.dropped > 0 ||
        call->is_streaming ||
        BbMeshCall_Now(call) + BB_RESPONSE_MARGIN_S >=
            call->attempt_request.deadline_at) {
        return false;
    }
    if (call->may_have_run && !route->is_idempotent) {
        return false;
    }
    if (call->targets_reached == 0) {
        return true;
    }
    if (route->max_targets > 0 &&
        call->targets_reached >= route->max_targets) {
        return false;
    }
    /* Each retry after an attempt that reached a target uses the budget. */
    return !reached_target ||
           BbRepeatBudget_Take(io->options.budget, call->service);
}

/* Whether the best node left is predicted to finish the call within the
 * target latency. A call that failed because its target lacked capacity must
 * not be retried on a node that lacks it too. */
static bool
can_finish_in_time(bb_mesh_call_t *call)
{
    call->is_new_turn = false;
    bb_endpoint_t *endpoint = BbMeshCall_ChooseEndpoint(call, NULL);
    double now = BbMeshCall_Now(call);

    return endpoint != NULL && now + BbPlacement_Predict(endpoint, now) <=
                                   call->attempt_request.due_at;
}

static void
retry_call(bb_mesh_call_t *call, bb_reason_t reason)
{
    call->last_reason = reason;
    BbCounters_Add(call->may_have_run ? BB_COUNTER_REPEATS_RUN
                                      : BB_COUNTER_REPEATS_NOT_RUN,
                   1);
    BbH1Fields_Clear(&call->response_fields);
    g_byte_array_set_size(call->response_body, 0);
    call->status = 0;
    if (BbEvent_Allows(BB_EVENT_CALL_REPEATED)) {
        BbEvent_Write(
            BB_EVENT_CALL_REPEATED,
            json_pack("{s:s, s:s, s:s, s:b, s:i}", "call", call->call_id,
                      "peer", BbMeshCall_PeerName(call), "reason",
                      BbReason_Name(reason), "sent", call->may_have_run,
                      "attempt", call->attempts));
    }
    BbMeshCall_StartNextAttempt(call);
}

/* A process that is about to exit has no time for another attempt. */
static void
fail_at_exit(bb_mesh_call_t *call)
{
    BbMeshCall_Fail(call, call->may_have_run ? BB_REASON_CALL_TIMEOUT
                                             : BB_REASON_NODE_DRAINING);
}

void
BbMeshCall_RetryOrFail(bb_mesh_call_t *call, bb_reason_t reason,
                       bool reached_target)
{
    if (call->has_failed_response) {
        BbMeshCall_RespondFromTarget(call);
    }
    else if (call->io->is_ending) {
        fail_at_exit(call);
    }
    else if (reason == BB_REASON_NESTED_SHORT) {
        /* The nested service is as short for the other nodes. */
        BbMeshCall_Fail(call, reason);
    }
    else if (may_retry(call, reached_target)) {
        retry_call(call, reason);
    }
    else {
        BbMeshCall_Fail(call, reason);
    }
}

/* Keeps when a node expected room for calls of the route, for calls that are
 * refused without an attempt because all nodes are full. */
static void
record_room_expected(bb_mesh_call_t *call, double retry_after_s)
{
    double *at = BbMeshCall_RouteNumber(call, call->io->room_expected_at);

    *at = BbMeshCall_Now(call) + retry_after_s;
}

static double
time_until_room(const bb_mesh_call_t *call)
{
    const double *at =
        g_hash_table_lookup(call->io->room_expected_at, call->route->name);

    return at != NULL ? MAX(*at - BbMeshCall_Now(call), 0.0) : 0.0;
}

bb_attempt_outcome_t
BbMeshCall_ApplyRefusal(bb_mesh_call_t *call, bb_endpoint_t *endpoint,
                        bb_reason_t reason, double retry_after_s)
{
    bool refused_by_target =
        reason == BB_REASON_TARGET_SHED || reason == BB_REASON_TARGET_REPLACED;
    bb_attempt_outcome_t outcome = BB_ATTEMPT_REFUSED;

    if (refused_by_target || reason == BB_REASON_TARGET_CONNECT) {
        outcome = BB_ATTEMPT_FAILED;
    }
    else if (reason == BB_REASON_CONNECT_FAILED) {
        outcome = BB_ATTEMPT_UNREACHABLE;
    }
    if (reason == BB_REASON_WRONG_SERVICE) {
        /* Another node has taken over the address. The record describes a
         * node that no longer exists, so it is ignored until it changes. */
        endpoint->record.is_ready = false;
    }
    if (reason == BB_REASON_NO_TARGET) {
        BbPlacement_Avoid(endpoint, NO_TARGET_AVOID_S, BbMeshCall_Now(call));
    }
    if (reason == BB_REASON_TARGET_DRAINING ||
        reason == BB_REASON_NODE_DRAINING) {
        call->draining_refusals++;
        BbPlacement_Avoid(endpoint, DRAINING_AVOID_S, BbMeshCall_Now(call));
    }
    /* A node whose version takes no calls now says nothing on its load. */
    if (reason == BB_REASON_VERSION_INACTIVE) {
        call->draining_refusals++;
        BbPlacement_Avoid(endpoint, VERSION_AVOID_S, BbMeshCall_Now(call));
    }
    call->targets_reached += refused_by_target;
    bool is_full =
        reason == BB_REASON_QUEUE_FULL || reason == BB_REASON_LINK_FULL;
    if (is_full || reason == BB_REASON_QUEUE_EXPIRED ||
        reason == BB_REASON_TOO_LATE) {
        call->full_refusals++;
        if (call->io->options.hedge != NULL) {
            BbHedge_OnRefusal(call->io->options.hedge, call->service,
                              BbMeshCall_Now(call));
        }
    }
    if (is_full) {
        BbPlacement_SetFull(endpoint, call->route->name, BbMeshCall_Now(call));
        record_room_expected(call, retry_after_s);
    }
    if (retry_after_s > 0 &&
        (call->retry_after_s <= 0 || retry_after_s < call->retry_after_s)) {
        call->retry_after_s = retry_after_s;
    }
    return outcome;
}

void
BbMeshCall_AllowRetry(bb_mesh_call_t *call, const bb_endpoint_t *endpoint,
                      bb_reason_t reason)
{
    if (reason == BB_REASON_TARGET_SURPLUS) {
        call->retryable = endpoint;
    }
}

static void
call_refused(bb_reason_t reason, double retry_after_s, void *arg)
{
    bb_mesh_call_t *call = arg;
    int targets_reached = call->targets_reached;

    BbMeshCall_EndAttempt(
        call,
        BbMeshCall_ApplyRefusal(call, call->endpoint, reason, retry_after_s));
    if (!BbMeshCall_IsHedged(call)) {
        BbMeshCall_RetryOrFail(call, reason,
                               call->targets_reached > targets_reached);
    }
}

static void
call_lost(bb_reason_t reason, void *arg)
{
    bb_mesh_call_t *call = arg;

    BbMeshCall_AllowRetry(call, call->endpoint, reason);
    call->may_have_run = true;
    call->targets_reached++;
    BbMeshCall_EndAttempt(call, reason == BB_REASON_RESPONSE_LOST
                                    ? BB_ATTEMPT_UNREACHABLE
                                    : BB_ATTEMPT_FAILED);
    if (!BbMeshCall_IsHedged(call)) {
        BbMeshCall_RetryOrFail(call, reason, true);
    }
}

/* The node has not acknowledged the call in time: retries the call if it may
 * be retried and another node can take it. While this node drains, an attempt
 * that may be running is kept: if no other node can take the call, giving it
 * up would replace the response of its target by an error. */
static bool
call_unresponsive(bool may_have_run, void *arg)
{
    bb_mesh_call_t *call = arg;
    bool may_have_run_before = call->may_have_run;
    bb_attempt_t *attempt = call->attempt;

    if (may_have_run && call->io->is_draining) {
        return false;
    }
    if (BbMeshCall_IsHedged(call)) {
        return false; /* the second attempt is running already */
    }
    call->may_have_run = may_have_run_before || may_have_run;
    call->targets_reached += may_have_run;
    call->is_new_turn = false;
    if (BbMeshCall_ChooseEndpoint(call, NULL) == NULL ||
        !may_retry(call, may_have_run)) {
        call->may_have_run = may_have_run_before;
        call->targets_reached -= may_have_run;
        BbPlacement_Avoid(call->endpoint, UNRESPONSIVE_AVOID_S,
                          BbMeshCall_Now(call));
        return false;
    }
    BbMeshCall_EndAttempt(call, BB_ATTEMPT_UNREACHABLE);
    attempt->ops->cancel(attempt);
    retry_call(call, BB_REASON_STALLED);
    return true;
}

static void
start_streaming(bb_mesh_call_t *call)
{
    if (BbMeshCall_IsHedged(call)) {
        BbMeshCall_CancelHedge(call);
    }
    call->is_streaming = true;
    BbH1_RespondStart(call->request, call->status, &call->response_fields,
                      call->response_length);
    BbH1_RespondData(call->request, call->response_body->data,
                     call->response_body->len);
    g_byte_array_set_size(call->response_body, 0);
}

static void
call_head(int status, const bb_h1_fields_t *fields, int64_t content_length,
          void *arg)
{
    bb_mesh_call_t *call = arg;

    call->status = status;
    call->response_length = content_length;
    call->response_bytes = 0;
    BbH1Fields_Clear(&call->response_fields);
    BbH1Fields_CopyEndToEnd(&call->response_fields, fields);
}

static void
call_data(const char *data, size_t size, void *arg)
{
    bb_mesh_call_t *call = arg;

    call->response_bytes += size;
    if (call->is_streaming) {
        BbAttempt_ForwardData(call->attempt, call->request, data, size);
        return;
    }
    g_byte_array_append(call->response_body, (const guint8 *)data,
                        (guint)size);
    if (call->response_body->len > MAX_BUFFERED_RESPONSE_BYTES) {
        start_streaming(call);
    }
}

static void
call_end(void *arg)
{
    bb_mesh_call_t *call = arg;
    bool is_failure = call->status >= 500;

    call->may_have_run = true;
    call->targets_reached++;
    BbMeshCall_EndAttempt(call,
                          is_failure ? BB_ATTEMPT_FAILED : BB_ATTEMPT_SERVED);
    if (is_failure && BbMeshCall_IsHedged(call)) {
        call->has_failed_response = true;
        return;
    }
    BbMeshCall_CancelHedge(call);
    if (is_failure && call->route->is_idempotent && !call->is_streaming &&
        can_finish_in_time(call) && may_retry(call, true)) {
        retry_call(call, BB_REASON_OTHER);
        return;
    }
    BbMeshCall_RespondFromTarget(call);
}

static void
call_drained(size_t sent, void *arg)
{
    bb_mesh_call_t *call = arg;

    if (call->body.bytes->len > BB_MAX_BUFFERED_BODY_BYTES) {
        BbBody_Drop(&call->body, sent);
        BbH1_PauseBody(call->request, false);
    }
}

const bb_attempt_handler_t BbMeshCall_Handler = {
    .on_refused = call_refused,
    .on_head = call_head,
    .on_data = call_data,
    .on_end = call_end,
    .on_lost = call_lost,
    .on_unresponsive = call_unresponsive,
    .on_drained = call_drained,
};

/* ---- placement ---- */

static bool
may_place(const bb_endpoint_t *endpoint, const char *route, void *arg)
{
    (void)route;
    const bb_mesh_call_t *call = arg;
    const bb_call_rollout_t *rollout = call->io->options.rollout;

    return rollout->may_place(endpoint, call->service, call->is_new_turn,
                              rollout->arg);
}

bb_endpoint_t *
BbMeshCall_ChooseEndpoint(bb_mesh_call_t *call, bool *is_full)
{
    const bb_call_io_options_t *options = &call->io->options;
    bb_placement_request_t request = {
        .service = call->service,
        .class_name = call->route->name,
        .data_centre = call->io->data_centre,
        .response_bytes = BbLinkSizes_Bulk(call->io->sizes, call->route->name,
                                           BbMeshCall_Now(call)),
        .has_large_body =
            call->request->content_length == BB_H1_CHUNKED ||
            call->request->content_length >= BB_TRANSFER_SMALL_BYTES,
        .target_latency_s = call->route->target_latency_s,
        .spill_share = options->spill_share,
        .refusals = call->full_refusals,
        .is_paced = options->is_paced,
        .tried_count = call->tried_count,
        .may_place = options->rollout != NULL ? may_place : NULL,
        .may_place_arg = call,
    };

    for (size_t i = 0; i < call->tried_count; i++) {
        request.tried[i] = call->tried[i];
    }
    return BbPlacement_Choose(options->fleet, &request, options->random,
                              BbMeshCall_Now(call), is_full);
}

/* Only the first attempt of a call may be part of the share of a new version:
 * what fails there is repeated at the old one. */
static void
choose_version(bb_mesh_call_t *call)
{
    const bb_call_rollout_t *rollout = call->io->options.rollout;

    call->is_new_turn =
        rollout != NULL && call->attempts == 0 &&
        rollout->is_new_turn(call->service, call->route->name, rollout->arg);
}

void
BbMeshCall_LogPlaced(const bb_mesh_call_t *call, const bb_endpoint_t *endpoint)
{
    double now = BbMeshCall_Now(call);

    if (BbEvent_Allows(BB_EVENT_CALL_PLACED)) {
        BbEvent_Write(
            BB_EVENT_CALL_PLACED,
            json_pack("{s:s, s:s, s:i, s:s, s:s, s:i, s:f, s:f, s:I}", "call",
                      call->call_id, "route", call->route->name, "rank",
                      call->route->rank, "service", call->service, "peer",
                      endpoint->node, "attempt", call->attempts, "predicted_s",
                      BbPlacement_Predict(endpoint, now), "load_age_s",
                      endpoint->load_at > 0 ? now - endpoint->load_at : -1.0,
                      "version",
                      (json_int_t)BbMeshConfig_Version(call->config)));
    }
}

bb_reason_t
BbMeshCall_OpenAttempt(bb_mesh_call_t *call, bb_endpoint_t *endpoint,
                       const bb_attempt_handler_t *handler, void *arg,
                       bb_hop_load_report_t *report, double *retry_after_s,
                       bb_attempt_t **attempt)
{
    const bb_call_io_options_t *options = &call->io->options;

    *retry_after_s = 0;
    if (!endpoint->is_local) {
        *attempt =
            BbHopClient_Start(options->hop, endpoint->record.address,
                              &call->attempt_request, handler, arg, report);
        return BB_REASON_NONE;
    }
    return BbTargetIo_Submit(options->target, &call->attempt_request, handler,
                             arg, retry_after_s, attempt);
}

static void
start_attempt(bb_mesh_call_t *call, bb_endpoint_t *endpoint)
{
    double retry_after_s;

    call->attempts++;
    call->tried[call->tried_count++] = BbEndpoint_Ref(endpoint);
    call->endpoint = BbEndpoint_Ref(endpoint);
    call->load_report.has_load = false;
    BbMeshCall_LogPlaced(call, endpoint);
    BbPlacement_BeginAttempt(endpoint);
    call->attempt_started_at = BbMeshCall_Now(call);
    bb_reason_t reason = BbMeshCall_OpenAttempt(
        call, endpoint, &BbMeshCall_Handler, call, &call->load_report,
        &retry_after_s, &call->attempt);
    if (reason != BB_REASON_NONE) {
        call_refused(reason, retry_after_s, call);
    }
}

/* Chooses among the nodes that have not been tried and the retryable one,
 * which is then no longer retryable. */
static bb_endpoint_t *
choose_retryable(bb_mesh_call_t *call)
{
    size_t kept = 0;
    bb_endpoint_t *endpoint = NULL;

    for (size_t i = 0; i < call->tried_count; i++) {
        if (call->tried[i] == call->retryable) {
            endpoint = call->tried[i];
        }
        else {
            call->tried[kept++] = call->tried[i];
        }
    }
    call->retryable = NULL;
    if (endpoint == NULL) {
        return NULL;
    }
    call->tried_count = kept;
    bb_endpoint_t *chosen = BbMeshCall_ChooseEndpoint(call, NULL);
    if (chosen == endpoint) {
        BbEndpoint_Unref(endpoint); /* the new attempt takes its own */
    }
    else {
        call->tried[call->tried_count++] = endpoint;
    }
    return chosen;
}

void
BbMeshCall_StartNextAttempt(bb_mesh_call_t *call)
{
    bb_endpoint_t *endpoint = NULL;
    bool is_full = false;

    if (BbDroppedKeys_Contains(call->io->options.dropped_keys,
                               call->key_digest)) {
        BbMeshCall_RespondRevoked(call);
        return;
    }
    if (call->tried_count < BB_PLACEMENT_MAX_TRIED) {
        choose_version(call);
        endpoint = BbMeshCall_ChooseEndpoint(call, &is_full);
    }
    if (endpoint == NULL && call->is_new_turn) {
        call->is_new_turn = false;
        endpoint = BbMeshCall_ChooseEndpoint(call, &is_full);
    }
    if (endpoint == NULL && call->retryable != NULL) {
        endpoint = choose_retryable(call);
    }
    if (endpoint == NULL) {
        bb_reason_t reason =
            is_full ? BB_REASON_QUEUE_FULL : BB_REASON_NO_LIVE_TARGET;
        if (is_full && call->attempts == 0) {
            call->retry_after_s = time_until_room(call);
        }
        BbMeshCall_Fail(call, call->attempts > 0 ? call->last_reason : reason);
        return;
    }
    if (call->attempts == 0) {
        BbMeshCall_ScheduleHedge(call);
    }
    start_attempt(call, endpoint);
}

/* ---- end ---- */

void
BbMeshCall_TimeOut(bb_mesh_call_t *call, bb_attempt_outcome_t outcome)
{
    BbMeshCall_CancelHedge(call);
    if (call->attempt != NULL) {
        bb_attempt_t *attempt = call->attempt;
        if (!attempt->ops->is_not_started(attempt)) {
            call->may_have_run = true;
        }
        BbMeshCall_EndAttempt(call, outcome);
        attempt->ops->cancel(attempt);
    }
    if (call->io->is_ending) {
        fail_at_exit(call);
    }
    else {
        BbMeshCall_Fail(call, BB_REASON_CALL_TIMEOUT);
    }
}
