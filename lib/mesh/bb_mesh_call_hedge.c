#include "bb_clock.h"
#include "bb_counters.h"
#include "bb_mesh_call.h"

/* A larger response ends the race before it is complete: it is streamed to the
 * caller from then on. */
#define MAX_RACE_BYTES (1024 * 1024)

/* Second attempt of a call. Its response is kept apart from that of the first
 * attempt until one of them is complete. Once it has won, is_adopted is set
 * and all events are passed to the handler of the call. */
typedef struct bb_hedge_attempt {
    bb_mesh_call_t *call;
    bb_attempt_t *attempt;
    bb_endpoint_t *endpoint;
    bb_hop_load_report_t load_report;
    double started_at;
    int status;
    int64_t response_length;
    bb_h1_fields_t fields;
    GByteArray *body;
    bool is_adopted;
} hedge_t;

bool
BbMeshCall_IsHedged(const bb_mesh_call_t *call)
{
    return call->hedge != NULL && !call->hedge->is_adopted;
}

static void
free_hedge(hedge_t *hedge)
{
    hedge->call->hedge = NULL;
    BbH1Fields_Free(&hedge->fields);
    g_byte_array_unref(hedge->body);
    g_free(hedge);
}

/* Ends a second attempt that has not won. */
static void
end_hedge(hedge_t *hedge, bb_attempt_outcome_t outcome)
{
    BbMeshCall_ReleaseEndpoint(hedge->call, hedge->endpoint,
                               &hedge->load_report, outcome);
    free_hedge(hedge);
}

void
BbMeshCall_CancelHedge(bb_mesh_call_t *call)
{
    hedge_t *hedge = call->hedge;

    ev_timer_stop(call->io->options.loop, &call->hedge_timer);
    if (hedge == NULL) {
        return;
    }
    if (hedge->is_adopted) {
        free_hedge(hedge);
        return;
    }
    bb_attempt_t *attempt = hedge->attempt;
    if (!attempt->ops->is_not_started(attempt)) {
        call->may_have_run = true;
        call->targets_reached++;
    }
    end_hedge(hedge, BB_ATTEMPT_DROPPED);
    attempt->ops->cancel(attempt);
    if (call->tried_count == 2) {
        /* The last one tried is named as the node that has responded. */
        bb_endpoint_t *second = call->tried[1];
        call->tried[1] = call->tried[0];
        call->tried[0] = second;
    }
}

/* Makes the second attempt the one of the call, and cancels the first. */
static void
adopt(hedge_t *hedge)
{
    bb_mesh_call_t *call = hedge->call;
    bb_attempt_t *first = call->attempt;

    if (first != NULL) {
        BbHedge_OnResponse(call->io->options.hedge, call->route->name,
                           BbMeshCall_Now(call) - call->attempt_started_at);
        call->targets_reached++;
        BbMeshCall_EndAttempt(call, BB_ATTEMPT_DROPPED);
        first->ops->cancel(first);
    }
    BbCounters_Add(BB_COUNTER_HEDGES_WON, 1);
    hedge->is_adopted = true;
    call->may_have_run = true;
    call->has_failed_response = false;
    call->attempt = hedge->attempt;
    call->attempt_started_at = hedge->started_at;
    call->endpoint = hedge->endpoint;
    call->load_report = hedge->load_report;
    call->status = hedge->status;
    call->response_length = hedge->response_length;
    BbH1Fields_Clear(&call->response_fields);
    BbH1Fields_CopyEndToEnd(&call->response_fields, &hedge->fields);
    g_byte_array_set_size(call->response_body, 0);
    g_byte_array_append(call->response_body, hedge->body->data,
                        hedge->body->len);
    call->response_bytes = hedge->body->len;
    g_byte_array_set_size(hedge->body, 0);
}

/* ---- events of the second attempt ---- */

static void
hedge_refused(bb_reason_t reason, double retry_after_s, void *arg)
{
    hedge_t *hedge = arg;
    bb_mesh_call_t *call = hedge->call;
    int targets_reached = call->targets_reached;

    if (hedge->is_adopted) {
        BbMeshCall_Handler.on_refused(reason, retry_after_s, call);
        return;
    }
    end_hedge(hedge, BbMeshCall_ApplyRefusal(call, hedge->endpoint, reason,
                                             retry_after_s));
    if (call->attempt == NULL) {
        BbMeshCall_RetryOrFail(call, reason,
                               call->targets_reached > targets_reached);
    }
}

static void
hedge_lost(bb_reason_t reason, void *arg)
{
    hedge_t *hedge = arg;
    bb_mesh_call_t *call = hedge->call;

    if (hedge->is_adopted) {
        BbMeshCall_Handler.on_lost(reason, call);
        return;
    }
    BbMeshCall_AllowRetry(call, hedge->endpoint, reason);
    call->may_have_run = true;
    call->targets_reached++;
    end_hedge(hedge, reason == BB_REASON_RESPONSE_LOST ? BB_ATTEMPT_UNREACHABLE
                                                       : BB_ATTEMPT_FAILED);
    if (call->attempt == NULL) {
        BbMeshCall_RetryOrFail(call, reason, true);
    }
}

static void
hedge_head(int status, const bb_h1_fields_t *fields, int64_t content_length,
           void *arg)
{
    hedge_t *hedge = arg;

    hedge->status = status;
    hedge->response_length = content_length;
    BbH1Fields_Clear(&hedge->fields);
    BbH1Fields_CopyEndToEnd(&hedge->fields, fields);
}

static void
hedge_data(const char *data, size_t size, void *arg)
{
    hedge_t *hedge = arg;

    if (!hedge->is_adopted) {
        if (hedge->body->len + size <= MAX_RACE_BYTES) {
            g_byte_array_append(hedge->body, (const guint8 *)data,
                                (guint)size);
            return;
        }
        adopt(hedge);
    }
    BbMeshCall_Handler.on_data(data, size, hedge->call);
}

static void
hedge_end(void *arg)
{
    hedge_t *hedge = arg;
    bb_mesh_call_t *call = hedge->call;

    if (!hedge->is_adopted) {
        if (hedge->status >= 500 && call->attempt != NULL) {
            call->may_have_run = true;
            call->targets_reached++;
            end_hedge(hedge, BB_ATTEMPT_FAILED);
            return;
        }
        adopt(hedge);
    }
    BbMeshCall_Handler.on_end(call);
}

static bool
hedge_unresponsive(bool may_have_run, void *arg)
{
    hedge_t *hedge = arg;

    return hedge->is_adopted &&
           BbMeshCall_Handler.on_unresponsive(may_have_run, hedge->call);
}

/* Only calls whose whole body is buffered are hedged. */
static void
hedge_drained(size_t sent, void *arg)
{
    (void)sent;
    (void)arg;
}

static const bb_attempt_handler_t hedge_handler = {
    .on_refused = hedge_refused,
    .on_head = hedge_head,
    .on_data = hedge_data,
    .on_end = hedge_end,
    .on_lost = hedge_lost,
    .on_unresponsive = hedge_unresponsive,
    .on_drained = hedge_drained,
};

/* ---- start ---- */

/* Whether the call is still in its first attempt, without a response, and may
 * be sent to one more target. */
static bool
may_hedge(const bb_mesh_call_t *call)
{
    int max_targets = call->route->max_targets;

    return call->attempt != NULL && call->attempts == 1 && call->status == 0 &&
           !BbDroppedKeys_Contains(call->io->options.dropped_keys,
                                   call->key_digest) &&
           call->body.is_complete && call->body.dropped == 0 &&
           call->body.bytes->len <= BB_MAX_BUFFERED_BODY_BYTES &&
           (max_targets == 0 || call->targets_reached + 2 <= max_targets);
}

/* Whether the second attempt is worth it at this node. Takes from the share of
 * the class and from the repeat budget. */
static bool
take_hedge(const bb_mesh_call_t *call, const bb_endpoint_t *endpoint)
{
    const bb_call_io_options_t *options = &call->io->options;
    double now = BbMeshCall_Now(call);
    bb_hedge_request_t request = {
        .class_name = call->route->name,
        .service = call->service,
        .due_at = call->attempt_request.due_at,
    };

    request.has_room =
        BbPlacement_HasRoom(options->fleet, endpoint, call->io->data_centre,
                            now, &request.predicted_s);
    return BbHedge_Take(options->hedge, &request, now) &&
           BbRepeatBudget_Take(options->budget, call->service);
}

static void
handle_hedge_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    bb_mesh_call_t *call = timer->data;
    double retry_after_s;
    (void)loop;
    (void)events;

    if (!may_hedge(call)) {
        return;
    }
    /* Only the first attempt may be part of the share of a new version. */
    call->is_new_turn = false;
    bb_endpoint_t *endpoint = BbMeshCall_ChooseEndpoint(call, NULL);
    if (endpoint == NULL || !take_hedge(call, endpoint)) {
        return;
    }
    hedge_t *hedge = g_new0(hedge_t, 1);
    hedge->call = call;
    hedge->endpoint = BbEndpoint_Ref(endpoint);
    hedge->started_at = BbMeshCall_Now(call);
    hedge->body = g_byte_array_new();
    BbH1Fields_Init(&hedge->fields);
    call->hedge = hedge;
    call->attempts++;
    call->tried[call->tried_count++] = BbEndpoint_Ref(endpoint);
    BbCounters_Add(BB_COUNTER_HEDGES, 1);
    BbMeshCall_LogPlaced(call, endpoint);
    BbPlacement_BeginAttempt(endpoint);
    bb_reason_t reason = BbMeshCall_OpenAttempt(
        call, endpoint, &hedge_handler, hedge, &hedge->load_report,
        &retry_after_s, &hedge->attempt);
    if (reason != BB_REASON_NONE) {
        hedge_refused(reason, retry_after_s, hedge);
    }
}

void
BbMeshCall_ScheduleHedge(bb_mesh_call_t *call)
{
    const bb_call_io_options_t *options = &call->io->options;
    double delay_s = options->hedge != NULL && call->route->is_idempotent
                         ? BbHedge_Delay(options->hedge, call->route->name)
                         : 0;

    if (delay_s > 0) {
        ev_timer_init(&call->hedge_timer, handle_hedge_timer, delay_s, 0.0);
        call->hedge_timer.data = call;
        ev_timer_start(options->loop, &call->hedge_timer);
    }
}
