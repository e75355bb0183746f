#include "bb_clock.h"
#include "bb_counters.h"
#include "bb_event.h"
#include "bb_mesh_call.h"
#include "bb_transfer_gate.h"

/* An answer is held back until it is whole, up to this size. */
#define HELD_ANSWER_BYTES (1024 * 1024)

/* Attempts at nodes, refusals of nodes included, but not of those that
 * leave: many may leave at once, and each says so only once. */
#define MAX_ATTEMPTS 5

/* Nodes that refuse for want of slots before a call is given up: when two of
 * the best have none, the others seldom do. */
#define MAX_FULL 2

/* A node that knows no target is not asked for this long. */
#define AVOID_S 1.0

/* A target or node that leaves does not come back in the same incarnation;
 * the record of the next one ends the avoidance. */
#define AVOID_LEAVING_S 5.0

/* A node that has not told that it read a call is not asked for this long. */
#define SILENT_S 0.5

void
BbMeshCall_CloseAttempt(bb_mesh_call_t *call, bb_attempt_outcome_t outcome)
{
    if (call->endpoint == NULL) {
        return;
    }
    bb_load_t load = call->news.load;
    bool is_loaded = call->news.is_loaded;
    if (call->endpoint->is_local) {
        BbTargetIo_GetLoad(call->io->options.target, &load);
        is_loaded = true;
    }
    BbPlacement_Ended(call->endpoint, outcome, is_loaded ? &load : NULL,
                      BbMeshCall_Now(call));
    BbEndpoint_Unref(call->endpoint);
    call->endpoint = NULL;
    call->attempt = NULL;
}

/* ---- results of attempts ---- */

/* Whether the call may go to one more target. */
static bool
may_repeat(bb_mesh_call_t *call, bool has_reached_target)
{
    const bb_mesh_route_t *route = call->route;
    bb_call_io_t *io = call->io;

    if (call->attempts - call->leaving >= MAX_ATTEMPTS ||
        call->full >= MAX_FULL || call->body.dropped > 0 ||
        call->is_streaming ||
        BbMeshCall_Now(call) + BB_ANSWER_MARGIN_S >= call->asked.deadline_at) {
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
    /* Each further arrival at a target is paid from the shared budget. */
    return !has_reached_target ||
           BbRepeatBudget_Take(io->options.budget, call->service);
}

static bb_endpoint_t *choose_endpoint(bb_mesh_call_t *call, bool *is_full);

/* A run that fails for want of capacity elsewhere must not be repeated where
 * capacity is short already. */
static bool
can_end_in_time(bb_mesh_call_t *call)
{
    bb_endpoint_t *endpoint = choose_endpoint(call, NULL);
    double now = BbMeshCall_Now(call);

    return endpoint != NULL &&
           now + BbPlacement_Predict(endpoint, now) <= call->asked.target_at;
}

static void
repeat_now(bb_mesh_call_t *call, bb_reason_t reason)
{
    call->last_reason = reason;
    BbCounters_Add(call->may_have_run ? BB_COUNTER_REPEATS_RUN
                                      : BB_COUNTER_REPEATS_NOT_RUN,
                   1);
    BbH1Fields_Clear(&call->answer_fields);
    g_byte_array_set_size(call->answer, 0);
    call->status = 0;
    if (BbEvent_Allows(BB_EVENT_CALL_REPEATED)) {
        BbEvent_Write(
            BB_EVENT_CALL_REPEATED,
            json_pack("{s:s, s:s, s:s, s:b, s:i}", "call", call->call_id,
                      "peer", BbMeshCall_PeerName(call), "reason",
                      BbReason_Name(reason), "sent", call->may_have_run,
                      "attempt", call->attempts));
    }
    BbMeshCall_Place(call);
}

static void
repeat_or_give_up(bb_mesh_call_t *call, bb_reason_t reason,
                  bool has_reached_target)
{
    if (may_repeat(call, has_reached_target)) {
        repeat_now(call, reason);
    }
    else {
        BbMeshCall_GiveUp(call, reason);
    }
}

static void
call_refused(bb_reason_t reason, double retry_after_s, void *arg)
{
    bb_mesh_call_t *call = arg;
    bb_endpoint_t *endpoint = call->endpoint;
    bool is_by_target =
        reason == BB_REASON_TARGET_SHED || reason == BB_REASON_TARGET_REPLACED;
    bb_attempt_outcome_t outcome = BB_ATTEMPT_REFUSED;

    if (is_by_target || reason == BB_REASON_TARGET_CONNECT) {
        outcome = BB_ATTEMPT_FAILED;
    }
    else if (reason == BB_REASON_CONNECT_FAILED) {
        outcome = BB_ATTEMPT_LOST;
    }
    if (reason == BB_REASON_WRONG_SERVICE) {
        /* Another node has the address. The record is that of a lost one and
         * says nothing until it changes. */
        endpoint->record.is_ready = false;
    }
    if (reason == BB_REASON_NO_TARGET) {
        BbPlacement_Avoid(endpoint, AVOID_S, BbMeshCall_Now(call));
    }
    if (reason == BB_REASON_TARGET_DRAINING ||
        reason == BB_REASON_NODE_DRAINING) {
        call->leaving++;
        BbPlacement_Avoid(endpoint, AVOID_LEAVING_S, BbMeshCall_Now(call));
    }
    call->targets_reached += is_by_target;
    if (reason == BB_REASON_QUEUE_FULL || reason == BB_REASON_QUEUE_EXPIRED ||
        reason == BB_REASON_TOO_LATE) {
        call->full++;
    }
    if (reason == BB_REASON_QUEUE_FULL) {
        BbPlacement_SetFull(endpoint, call->route->name, BbMeshCall_Now(call));
    }
    if (retry_after_s > 0 &&
        (call->retry_after_s <= 0 || retry_after_s < call->retry_after_s)) {
        call->retry_after_s = retry_after_s;
    }
    BbMeshCall_CloseAttempt(call, outcome);
    repeat_or_give_up(call, reason, is_by_target);
}

static void
call_lost(bb_reason_t reason, void *arg)
{
    bb_mesh_call_t *call = arg;

    call->may_have_run = true;
    call->targets_reached++;
    BbMeshCall_CloseAttempt(call, reason == BB_REASON_RESPONSE_LOST
                                      ? BB_ATTEMPT_LOST
                                      : BB_ATTEMPT_FAILED);
    repeat_or_give_up(call, reason, true);
}

/* A node is silent: the call moves on if another node can have it. */
static bool
call_silent(bool may_have_run, void *arg)
{
    bb_mesh_call_t *call = arg;
    bool had_run = call->may_have_run;
    bb_attempt_t *attempt = call->attempt;

    call->may_have_run = had_run || may_have_run;
    call->targets_reached += may_have_run;
    if (choose_endpoint(call, NULL) == NULL ||
        !may_repeat(call, may_have_run)) {
        call->may_have_run = had_run;
        call->targets_reached -= may_have_run;
        BbPlacement_Avoid(call->endpoint, SILENT_S, BbMeshCall_Now(call));
        return false;
    }
    BbMeshCall_CloseAttempt(call, BB_ATTEMPT_LOST);
    attempt->ops->cancel(attempt);
    repeat_now(call, BB_REASON_STALLED);
    return true;
}

static void
start_streaming(bb_mesh_call_t *call)
{
    call->is_streaming = true;
    BbH1_RespondStart(call->request, call->status, &call->answer_fields,
                      call->answer_length);
    BbH1_RespondData(call->request, call->answer->data, call->answer->len);
    g_byte_array_set_size(call->answer, 0);
}

static void
call_head(int status, const bb_h1_fields_t *fields, int64_t content_length,
          void *arg)
{
    bb_mesh_call_t *call = arg;

    call->status = status;
    call->answer_length = content_length;
    BbH1Fields_Clear(&call->answer_fields);
    BbH1Fields_CopyEndToEnd(&call->answer_fields, fields);
}

static void
call_data(const char *data, size_t size, void *arg)
{
    bb_mesh_call_t *call = arg;

    if (call->is_streaming) {
        BbAttempt_PassData(call->attempt, call->request, data, size);
        return;
    }
    g_byte_array_append(call->answer, (const guint8 *)data, (guint)size);
    if (call->answer->len > HELD_ANSWER_BYTES) {
        start_streaming(call);
    }
}

static void
call_end(void *arg)
{
    bb_mesh_call_t *call = arg;
    bool is_failure = call->status >= 500;

    call->targets_reached++;
    BbMeshCall_CloseAttempt(call, is_failure ? BB_ATTEMPT_FAILED
                                             : BB_ATTEMPT_SERVED);
    if (is_failure && call->route->is_idempotent && !call->is_streaming) {
        call->may_have_run = true;
        if (can_end_in_time(call) && may_repeat(call, true)) {
            repeat_now(call, BB_REASON_OTHER);
            return;
        }
    }
    BbMeshCall_AnswerWhole(call);
}

static void
call_drained(size_t sent, void *arg)
{
    bb_mesh_call_t *call = arg;

    if (call->body.bytes->len > BB_KEPT_BODY_BYTES) {
        BbBody_Drop(&call->body, sent);
        BbH1_PauseBody(call->request, false);
    }
}

static const bb_attempt_handler_t call_handler = {
    .on_refused = call_refused,
    .on_head = call_head,
    .on_data = call_data,
    .on_end = call_end,
    .on_lost = call_lost,
    .on_silent = call_silent,
    .on_drained = call_drained,
};

/* ---- placing ---- */

static bb_endpoint_t *
choose_endpoint(bb_mesh_call_t *call, bool *is_full)
{
    const bb_call_io_options_t *options = &call->io->options;
    bb_placement_request_t request = {
        .service = call->service,
        .class_name = call->route->name,
        .data_centre = call->io->data_centre,
        .has_large_body =
            call->request->content_length == BB_H1_CHUNKED ||
            call->request->content_length >= BB_TRANSFER_SMALL_BYTES,
        .target_latency_s = call->route->target_latency_s,
        .spill_share = options->spill_share,
        .refusals = call->full,
        .tried_count = call->tried_count,
    };

    for (size_t i = 0; i < call->tried_count; i++) {
        request.tried[i] = call->tried[i];
    }
    return BbPlacement_Choose(options->fleet, &request, options->random,
                              BbMeshCall_Now(call), is_full);
}

static void
log_placed(const bb_mesh_call_t *call)
{
    const bb_endpoint_t *endpoint = call->endpoint;
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

static void
start_attempt(bb_mesh_call_t *call, bb_endpoint_t *endpoint)
{
    const bb_call_io_options_t *options = &call->io->options;

    call->attempts++;
    call->tried[call->tried_count++] = BbEndpoint_Ref(endpoint);
    call->endpoint = BbEndpoint_Ref(endpoint);
    call->news.is_loaded = false;
    log_placed(call);
    BbPlacement_Started(endpoint);
    if (!endpoint->is_local) {
        call->attempt =
            BbHopClient_Start(options->hop, endpoint->record.address,
                              &call->asked, &call_handler, call, &call->news);
        return;
    }
    double retry_after_s = 0;
    bb_reason_t reason =
        BbTargetIo_Offer(options->target, &call->asked, &call_handler, call,
                         &retry_after_s, &call->attempt);
    if (reason != BB_REASON_NONE) {
        call_refused(reason, retry_after_s, call);
    }
}

void
BbMeshCall_Place(bb_mesh_call_t *call)
{
    bb_endpoint_t *endpoint = NULL;
    bool is_full = false;

    if (call->tried_count < BB_PLACEMENT_MAX_TRIED) {
        endpoint = choose_endpoint(call, &is_full);
    }
    if (endpoint == NULL) {
        bb_reason_t reason =
            is_full ? BB_REASON_QUEUE_FULL : BB_REASON_NO_LIVE_TARGET;
        BbMeshCall_GiveUp(call,
                          call->attempts > 0 ? call->last_reason : reason);
        return;
    }
    start_attempt(call, endpoint);
}

/* ---- end ---- */

void
BbMeshCall_End(bb_mesh_call_t *call, bb_attempt_outcome_t outcome)
{
    if (call->attempt != NULL) {
        bb_attempt_t *attempt = call->attempt;
        call->may_have_run = true;
        BbMeshCall_CloseAttempt(call, outcome);
        attempt->ops->cancel(attempt);
    }
    BbMeshCall_GiveUp(call, BB_REASON_CALL_TIMEOUT);
}
