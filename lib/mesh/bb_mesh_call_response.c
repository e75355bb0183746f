#include <jansson.h>

#include "bb_clock.h"
#include "bb_event.h"
#include "bb_histogram.h"
#include "bb_mesh_call.h"
#include "bb_retry_after.h"

const char *
BbMeshCall_PeerName(const bb_mesh_call_t *call)
{
    return call->tried_count > 0 ? call->tried[call->tried_count - 1]->node
                                 : "";
}

/* Tells a route that does not exist from one that this node does not know yet.
 */
static void
add_freshness(json_t *fields, const bb_mesh_call_t *call)
{
    const bb_freshness_t *freshness = call->io->options.freshness;

    if (freshness != NULL) {
        json_object_set_new(
            fields, "config_age_s",
            json_real(BbFreshness_AgeS(freshness, BbMeshCall_Now(call))));
        json_object_set_new(fields, "heard_version",
                            json_integer(freshness->heard_version));
    }
}

static void
log_error_response(const bb_mesh_call_t *call, int status, bb_reason_t reason)
{
    bool is_refusal =
        status == 503 || status == 404 || status == 401 || status == 429;
    bb_event_t event =
        is_refusal ? BB_EVENT_CALL_REFUSED : BB_EVENT_CALL_FAILED;

    if (!BbEvent_Allows(event)) {
        return;
    }
    json_t *fields = json_pack(
        "{s:s, s:s, s:i, s:s, s:s, s:i, s:f, s:I}", "call", call->call_id,
        "route", call->route != NULL ? call->route->name : "", "status",
        status, "reason", BbReason_Name(reason), "peer",
        BbMeshCall_PeerName(call), "attempts", call->attempts, "took_s",
        BbMeshCall_Now(call) - call->arrived_at, "version",
        (json_int_t)(call->config != NULL ? BbMeshConfig_Version(call->config)
                                          : 0));
    if (call->account != NULL) {
        json_object_set_new(fields, "account",
                            json_string(call->account->name));
    }
    if (status == 503 || status == 429) {
        json_object_set_new(fields, "retry_after_s",
                            json_real(call->retry_after_s));
    }
    if (call->config != NULL && call->route == NULL) {
        add_freshness(fields, call);
    }
    BbEvent_Write(event, fields);
}

static void
count_error_response(const bb_mesh_call_t *call, int status,
                     bb_reason_t reason)
{
    BbReason_Count(reason);
    BbHistogram_Add(status == 503 || status == 429 ? BB_HISTOGRAM_CALL_REFUSED
                                                   : BB_HISTOGRAM_CALL_FAILED,
                    BbMeshCall_Now(call) - call->arrived_at);
}

/* Whether a call was refused because its service lacks capacity. */
static bool
is_capacity_refusal(const bb_mesh_call_t *call, bb_reason_t reason)
{
    switch (reason) {
    case BB_REASON_QUEUE_FULL:
    case BB_REASON_LINK_FULL:
    case BB_REASON_QUEUE_EXPIRED:
    case BB_REASON_TOO_LATE:
    case BB_REASON_TARGET_SHED:
    case BB_REASON_NESTED_SHORT:
        return !call->may_have_run;
    default:
        return false;
    }
}

static void
end_nested(const bb_mesh_call_t *call, bool is_refused)
{
    if (call->is_nested) {
        BbCallTree_EndNested(BbTargetIo_CallTree(call->io->options.target),
                             call->route->name, is_refused,
                             BbMeshCall_Now(call));
    }
}

void
BbMeshCall_RespondError(bb_mesh_call_t *call, int status, bb_reason_t reason)
{
    bb_h1_fields_t fields;
    char seconds[24];
    bb_h1_request_t *request = call->request;

    log_error_response(call, status, reason);
    count_error_response(call, status, reason);
    end_nested(call, is_capacity_refusal(call, reason));
    BbH1Fields_Init(&fields);
    if (call->call_id[0] != '\0') {
        BbH1Fields_Add(&fields, call->io->options.names->call_id,
                       call->call_id);
    }
    if (status == 503 || status == 429) {
        /* The quota has spread its time already. */
        double wait_s =
            status == 429
                ? call->retry_after_s
                : BbRetryAfter_Spread(call->retry_after_s,
                                      BbRandom_Unit(call->io->options.random));
        g_ascii_formatd(seconds, sizeof(seconds), "%.3f", wait_s);
        BbH1Fields_Add(&fields, "Retry-After", seconds);
    }
    if (call->is_streaming) {
        BbH1_Abort(request);
    }
    else {
        BbH1_Respond(request, status, &fields, NULL, 0);
    }
    BbH1Fields_Free(&fields);
    BbMeshCall_Free(call);
}

void
BbMeshCall_Fail(bb_mesh_call_t *call, bb_reason_t reason)
{
    if (!call->may_have_run) {
        BbMeshCall_RespondError(call, 503, reason);
    }
    else {
        BbMeshCall_RespondError(
            call, reason == BB_REASON_CALL_TIMEOUT ? 504 : 502, reason);
    }
}

void
BbMeshCall_RespondRevoked(bb_mesh_call_t *call)
{
    if (call->may_have_run) {
        BbMeshCall_Fail(call, BB_REASON_ACCOUNT_REVOKED);
    }
    else {
        BbMeshCall_RespondError(call, 401, BB_REASON_ACCOUNT_REVOKED);
    }
}

void
BbMeshCall_RespondFromTarget(bb_mesh_call_t *call)
{
    bb_h1_request_t *request = call->request;

    end_nested(call, false);
    BbHistogram_Add(BB_HISTOGRAM_CALL_SERVED,
                    BbMeshCall_Now(call) - call->arrived_at);
    if (BbEvent_Allows(BB_EVENT_CALL_SERVED)) {
        BbEvent_Write(BB_EVENT_CALL_SERVED,
                      json_pack("{s:s, s:s, s:i, s:s, s:i, s:f}", "call",
                                call->call_id, "route", call->route->name,
                                "status", call->status, "peer",
                                BbMeshCall_PeerName(call), "attempts",
                                call->attempts, "took_s",
                                BbMeshCall_Now(call) - call->arrived_at));
    }
    if (call->status / 100 == 2) {
        BbLinkSizes_Add(call->io->sizes, call->route->name,
                        call->response_bytes, BbMeshCall_Now(call));
    }
    if (call->is_streaming) {
        BbH1_RespondEnd(request);
    }
    else {
        BbH1_Respond(request, call->status, &call->response_fields,
                     call->response_body->data, call->response_body->len);
    }
    BbMeshCall_Free(call);
}
