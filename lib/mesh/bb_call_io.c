#include "bb_call_io.h"
#include "bb_clock.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

#include "bb_counters.h"
#include "bb_event.h"
#include "bb_histogram.h"
#include "bb_transfer_gate.h"

/* The own answer at a deadline leaves this much earlier. */
#define ANSWER_MARGIN_S 0.02

/* Time that a call without deadline and route timeout gets. */
#define DEFAULT_TIMEOUT_S 60.0

/* A request body is kept for a second attempt up to this size, and read no
 * further than this ahead of what was sent. */
#define KEPT_BODY_BYTES (1024 * 1024)

/* An answer is held back until it is whole, up to this size. */
#define HELD_ANSWER_BYTES (1024 * 1024)

/* Attempts at nodes, refusals of nodes included, but not of those that
 * leave: many may leave at once, and each says so only once. */
#define MAX_ATTEMPTS 5

/* Nodes that refuse for want of slots before a call is given up: when two of
 * the best have none, the others seldom do. */
#define MAX_FULL 2

/* Retry-After of a refusal that no queue explains. */
#define DEFAULT_RETRY_AFTER_S 0.3
#define MAX_RETRY_AFTER_S 2.0

/* A node that knows no target is not asked for this long. */
#define AVOID_S 1.0

/* A target or node that leaves does not come back in the same incarnation;
 * the record of the next one ends the avoidance. */
#define AVOID_LEAVING_S 5.0

/* A node that has not told that it read a call is not asked for this long. */
#define SILENT_S 0.5

typedef struct call {
    bb_call_io_t *io;
    bb_h1_request_t *request;
    bb_mesh_config_t *config;
    const bb_mesh_route_t *route;
    const char *service; /* of the chosen part; lives with config */
    char *call_id;
    bb_h1_fields_t fields;
    bb_body_t body;
    bb_attempt_request_t asked;
    double arrived_at;
    ev_timer deadline_timer;
    double spent_s; /* by the caller on earlier tries */
    /* attempts */
    bb_attempt_t *attempt;
    bb_endpoint_t *endpoint;
    bb_hop_news_t news;
    bb_endpoint_t *tried[BB_PLACEMENT_MAX_TRIED];
    size_t tried_count;
    int attempts;
    int leaving;         /* attempts refused by what leaves */
    int full;            /* attempts refused for want of slots */
    int targets_reached; /* attempts that a target may have seen */
    bool may_have_run;
    bb_reason_t last_reason;
    double retry_after_s;
    /* answer */
    int status;
    bb_h1_fields_t answer_fields;
    GByteArray *answer;
    int64_t answer_length;
    bool is_streaming; /* too large to hold back */
    struct call *prev, *next;
} call_t;

struct bb_call_io {
    bb_call_io_options_t options;
    char *data_centre;
    char *service;
    bb_h1_server_t *server;
    bb_mesh_config_t *config;
    call_t *calls;
    int call_count;
    double last_call_at;
    bool is_refusing;
    GHashTable *longest; /* route to the longest deadline of its calls */
};

static void place_call(call_t *call);

/* ---- life of a call ---- */

static double
now_of(const call_t *call)
{
    return BbClock_Now(call->io->options.loop);
}

static void
free_call(call_t *call)
{
    bb_call_io_t *io = call->io;

    ev_timer_stop(io->options.loop, &call->deadline_timer);
    DL_DELETE(io->calls, call);
    io->call_count--;
    for (size_t i = 0; i < call->tried_count; i++) {
        BbEndpoint_Unref(call->tried[i]);
    }
    BbMeshConfig_Unref(call->config);
    BbH1Fields_Free(&call->fields);
    BbH1Fields_Free(&call->answer_fields);
    BbBody_Free(&call->body);
    g_byte_array_unref(call->answer);
    g_free(call->call_id);
    g_free(call);
}

/* The attempt under way is over; tells placement what it showed. */
static void
close_attempt(call_t *call, bb_attempt_outcome_t outcome)
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
                      now_of(call));
    BbEndpoint_Unref(call->endpoint);
    call->endpoint = NULL;
    call->attempt = NULL;
}

static const char *
peer_name(const call_t *call)
{
    return call->tried_count > 0 ? call->tried[call->tried_count - 1]->node
                                 : "";
}

/* ---- answers ---- */

static void
log_own_answer(const call_t *call, int status, bb_reason_t reason)
{
    bool is_refusal = status == 503 || status == 404;
    bb_event_t event =
        is_refusal ? BB_EVENT_CALL_REFUSED : BB_EVENT_CALL_FAILED;

    if (!BbEvent_Allows(event)) {
        return;
    }
    json_t *fields = json_pack(
        "{s:s, s:s, s:i, s:s, s:s, s:i, s:f, s:I}", "call", call->call_id,
        "route", call->route != NULL ? call->route->name : "", "status",
        status, "reason", BbReason_Name(reason), "peer", peer_name(call),
        "attempts", call->attempts, "took_s", now_of(call) - call->arrived_at,
        "version",
        (json_int_t)(call->config != NULL ? BbMeshConfig_Version(call->config)
                                          : 0));
    if (status == 503) {
        json_object_set_new(fields, "retry_after_s",
                            json_real(call->retry_after_s));
    }
    BbEvent_Write(event, fields);
}

static void
count_own_answer(const call_t *call, int status, bb_reason_t reason)
{
    BbReason_Count(reason);
    BbHistogram_Add(status == 503 ? BB_HISTOGRAM_CALL_REFUSED
                                  : BB_HISTOGRAM_CALL_FAILED,
                    now_of(call) - call->arrived_at);
}

static void
answer_own(call_t *call, int status, bb_reason_t reason)
{
    bb_h1_fields_t fields;
    char seconds[24];
    bb_h1_request_t *request = call->request;

    log_own_answer(call, status, reason);
    count_own_answer(call, status, reason);
    BbH1Fields_Init(&fields);
    if (call->call_id[0] != '\0') {
        BbH1Fields_Add(&fields, call->io->options.names->call_id,
                       call->call_id);
    }
    if (status == 503) {
        double wait_s = call->retry_after_s > 0 ? call->retry_after_s
                                                : DEFAULT_RETRY_AFTER_S;
        g_ascii_formatd(seconds, sizeof(seconds), "%.3f",
                        MIN(wait_s, MAX_RETRY_AFTER_S));
        BbH1Fields_Add(&fields, "Retry-After", seconds);
    }
    if (call->is_streaming) {
        BbH1_Abort(request);
    }
    else {
        BbH1_Respond(request, status, &fields, NULL, 0);
    }
    BbH1Fields_Free(&fields);
    free_call(call);
}

/* Ends a call that no attempt has answered and none will. */
static void
give_up(call_t *call, bb_reason_t reason)
{
    if (!call->may_have_run) {
        answer_own(call, 503, reason);
    }
    else {
        answer_own(call, reason == BB_REASON_CALL_TIMEOUT ? 504 : 502, reason);
    }
}

static void
answer_whole(call_t *call)
{
    bb_h1_request_t *request = call->request;

    BbHistogram_Add(BB_HISTOGRAM_CALL_SERVED, now_of(call) - call->arrived_at);
    if (BbEvent_Allows(BB_EVENT_CALL_SERVED)) {
        BbEvent_Write(BB_EVENT_CALL_SERVED,
                      json_pack("{s:s, s:s, s:i, s:s, s:i, s:f}", "call",
                                call->call_id, "route", call->route->name,
                                "status", call->status, "peer",
                                peer_name(call), "attempts", call->attempts,
                                "took_s", now_of(call) - call->arrived_at));
    }
    if (call->is_streaming) {
        BbH1_RespondEnd(request);
    }
    else {
        BbH1_Respond(request, call->status, &call->answer_fields,
                     call->answer->data, call->answer->len);
    }
    free_call(call);
}

/* ---- results of attempts ---- */

/* Whether the call may go to one more target. */
static bool
may_repeat(call_t *call, bool has_reached_target)
{
    const bb_mesh_route_t *route = call->route;
    bb_call_io_t *io = call->io;

    if (call->attempts - call->leaving >= MAX_ATTEMPTS ||
        call->full >= MAX_FULL || call->body.dropped > 0 ||
        call->is_streaming ||
        now_of(call) + ANSWER_MARGIN_S >= call->asked.deadline_at) {
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

static bb_endpoint_t *choose_endpoint(call_t *call, bool *is_full);

/* A run that fails for want of capacity elsewhere must not be repeated where
 * capacity is short already. */
static bool
can_end_in_time(call_t *call)
{
    bb_endpoint_t *endpoint = choose_endpoint(call, NULL);
    double now = now_of(call);

    return endpoint != NULL &&
           now + BbPlacement_Predict(endpoint, now) <= call->asked.target_at;
}

static void
repeat_now(call_t *call, bb_reason_t reason)
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
                      "peer", peer_name(call), "reason", BbReason_Name(reason),
                      "sent", call->may_have_run, "attempt", call->attempts));
    }
    place_call(call);
}

static void
repeat_or_give_up(call_t *call, bb_reason_t reason, bool has_reached_target)
{
    if (may_repeat(call, has_reached_target)) {
        repeat_now(call, reason);
    }
    else {
        give_up(call, reason);
    }
}

static void
call_refused(bb_reason_t reason, double retry_after_s, void *arg)
{
    call_t *call = arg;
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
        BbPlacement_Avoid(endpoint, AVOID_S, now_of(call));
    }
    if (reason == BB_REASON_TARGET_DRAINING ||
        reason == BB_REASON_NODE_DRAINING) {
        call->leaving++;
        BbPlacement_Avoid(endpoint, AVOID_LEAVING_S, now_of(call));
    }
    call->targets_reached += is_by_target;
    if (reason == BB_REASON_QUEUE_FULL || reason == BB_REASON_QUEUE_EXPIRED ||
        reason == BB_REASON_TOO_LATE) {
        call->full++;
    }
    if (reason == BB_REASON_QUEUE_FULL) {
        BbPlacement_SetFull(endpoint, call->route->name, now_of(call));
    }
    if (retry_after_s > 0 &&
        (call->retry_after_s <= 0 || retry_after_s < call->retry_after_s)) {
        call->retry_after_s = retry_after_s;
    }
    close_attempt(call, outcome);
    repeat_or_give_up(call, reason, is_by_target);
}

static void
call_lost(bb_reason_t reason, void *arg)
{
    call_t *call = arg;

    call->may_have_run = true;
    call->targets_reached++;
    close_attempt(call, reason == BB_REASON_RESPONSE_LOST ? BB_ATTEMPT_LOST
                                                          : BB_ATTEMPT_FAILED);
    repeat_or_give_up(call, reason, true);
}

/* A node is silent: the call moves on if another node can have it. */
static bool
call_silent(bool may_have_run, void *arg)
{
    call_t *call = arg;
    bool had_run = call->may_have_run;
    bb_attempt_t *attempt = call->attempt;

    call->may_have_run = had_run || may_have_run;
    call->targets_reached += may_have_run;
    if (choose_endpoint(call, NULL) == NULL ||
        !may_repeat(call, may_have_run)) {
        call->may_have_run = had_run;
        call->targets_reached -= may_have_run;
        BbPlacement_Avoid(call->endpoint, SILENT_S, now_of(call));
        return false;
    }
    close_attempt(call, BB_ATTEMPT_LOST);
    attempt->ops->cancel(attempt);
    repeat_now(call, BB_REASON_STALLED);
    return true;
}

static void
start_streaming(call_t *call)
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
    call_t *call = arg;

    call->status = status;
    call->answer_length = content_length;
    BbH1Fields_Clear(&call->answer_fields);
    BbH1Fields_CopyEndToEnd(&call->answer_fields, fields);
}

static void
call_data(const char *data, size_t size, void *arg)
{
    call_t *call = arg;

    if (call->is_streaming) {
        BbH1_RespondData(call->request, data, size);
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
    call_t *call = arg;
    bool is_failure = call->status >= 500;

    call->targets_reached++;
    close_attempt(call, is_failure ? BB_ATTEMPT_FAILED : BB_ATTEMPT_SERVED);
    if (is_failure && call->route->is_idempotent && !call->is_streaming) {
        call->may_have_run = true;
        if (can_end_in_time(call) && may_repeat(call, true)) {
            repeat_now(call, BB_REASON_OTHER);
            return;
        }
    }
    answer_whole(call);
}

static void
call_drained(size_t sent, void *arg)
{
    call_t *call = arg;

    if (call->body.bytes->len > KEPT_BODY_BYTES) {
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
choose_endpoint(call_t *call, bool *is_full)
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
        .tried_count = call->tried_count,
    };

    for (size_t i = 0; i < call->tried_count; i++) {
        request.tried[i] = call->tried[i];
    }
    return BbPlacement_Choose(options->fleet, &request, options->random,
                              now_of(call), is_full);
}

static void
log_placed(const call_t *call)
{
    const bb_endpoint_t *endpoint = call->endpoint;
    double now = now_of(call);

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
start_attempt(call_t *call, bb_endpoint_t *endpoint)
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

static void
place_call(call_t *call)
{
    bb_endpoint_t *endpoint = NULL;
    bool is_full = false;

    if (call->tried_count < BB_PLACEMENT_MAX_TRIED) {
        endpoint = choose_endpoint(call, &is_full);
    }
    if (endpoint == NULL) {
        bb_reason_t reason =
            is_full ? BB_REASON_QUEUE_FULL : BB_REASON_NO_LIVE_TARGET;
        give_up(call, call->attempts > 0 ? call->last_reason : reason);
        return;
    }
    start_attempt(call, endpoint);
}

/* ---- requests of callers ---- */

/* Ends a call for which there is no more time. */
static void
end_call(call_t *call, bb_attempt_outcome_t outcome)
{
    if (call->attempt != NULL) {
        bb_attempt_t *attempt = call->attempt;
        call->may_have_run = true;
        close_attempt(call, outcome);
        attempt->ops->cancel(attempt);
    }
    give_up(call, BB_REASON_CALL_TIMEOUT);
}

static void
handle_deadline(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    end_call(timer->data, BB_ATTEMPT_FAILED);
}

static void
copy_call_fields(call_t *call, const bb_h1_fields_t *fields)
{
    const bb_header_names_t *names = call->io->options.names;
    size_t cursor = 0;
    const char *name, *value;

    while (BbH1Fields_Next(fields, &cursor, &name, &value)) {
        bool is_set_here = strcasecmp(name, names->deadline) == 0 ||
                           strcasecmp(name, names->expected_target) == 0 ||
                           strcasecmp(name, names->caller_service) == 0;
        if (!is_set_here && !BbH1_IsHopField(name) &&
            strncasecmp(name, BB_HOP_PREFIX, strlen(BB_HOP_PREFIX)) != 0) {
            BbH1Fields_Add(&call->fields, name, value);
        }
    }
}

static call_t *
new_call(bb_call_io_t *io, bb_h1_request_t *request)
{
    call_t *call = g_new0(call_t, 1);
    const char *id =
        BbH1Fields_Get(&request->fields, io->options.names->call_id);

    call->io = io;
    call->request = request;
    call->call_id = g_strdup(id != NULL ? id : "");
    call->arrived_at = BbClock_Now(io->options.loop);
    call->answer = g_byte_array_new();
    BbH1Fields_Init(&call->fields);
    BbH1Fields_Init(&call->answer_fields);
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
 * Seconds since the caller first tried. A call that its caller repeats brings
 * the deadline that is left; the longest one seen on the route is that of
 * first tries.
 */
static double
time_spent(call_t *call, double left_s)
{
    GHashTable *longest = call->io->longest;
    double *seen_s = g_hash_table_lookup(longest, call->route->name);

    if (seen_s == NULL) {
        seen_s = g_new0(double, 1);
        g_hash_table_insert(longest, g_strdup(call->route->name), seen_s);
    }
    *seen_s = MAX(*seen_s, left_s);
    return *seen_s - left_s;
}

/* Seconds that the call may take, by its caller and its route. */
static double
time_allowed(call_t *call)
{
    const char *text = BbH1Fields_Get(&call->request->fields,
                                      call->io->options.names->deadline);
    double allowed_s = call->route->timeout_s > 0 ? call->route->timeout_s
                                                  : DEFAULT_TIMEOUT_S;

    if (text != NULL) {
        char *end;
        double client_s = g_ascii_strtod(text, &end) / 1000;
        if (end != text) {
            call->spent_s = time_spent(call, client_s);
            allowed_s = MIN(allowed_s, client_s);
        }
    }
    return allowed_s;
}

static void
fill_request(call_t *call)
{
    bb_h1_request_t *request = call->request;
    double allowed_s = time_allowed(call);

    copy_call_fields(call, &request->fields);
    call->body.is_complete = request->content_length == BB_H1_NO_BODY ||
                             request->content_length == 0;
    call->asked = (bb_attempt_request_t){
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
        .rank = call->route->rank,
        .target_latency_s = call->route->target_latency_s,
        .target_at =
            call->arrived_at + call->route->target_latency_s - call->spent_s,
        .deadline_at = call->arrived_at + allowed_s - ANSWER_MARGIN_S,
    };
    ev_timer_set(&call->deadline_timer,
                 MAX(allowed_s - ANSWER_MARGIN_S, 0.001), 0.0);
    ev_timer_start(call->io->options.loop, &call->deadline_timer);
}

static void
handle_head(bb_h1_request_t *request, void *arg)
{
    bb_call_io_t *io = arg;
    call_t *call = new_call(io, request);

    request->user = call;
    if (io->is_refusing) {
        answer_own(call, 503, BB_REASON_NODE_DRAINING);
        return;
    }
    if (io->config == NULL) {
        answer_own(call, 503, BB_REASON_NO_CONFIG);
        return;
    }
    call->config = BbMeshConfig_Ref(io->config);
    bb_mesh_route_t *route = BbMeshConfig_FindRoute(
        call->config, BbH1Fields_Get(&request->fields, "Host"),
        request->target->str);
    call->route = route;
    if (route == NULL) {
        answer_own(call, 404, BB_REASON_NO_ROUTE);
        return;
    }
    int64_t limit = BbMeshConfig_Limits(call->config)->body_bytes;
    if (limit > 0 && request->content_length > limit) {
        answer_own(call, 413, BB_REASON_BODY_TOO_LARGE);
        return;
    }
    call->service = BbMeshRoute_NextService(route);
    BbRepeatBudget_OnCall(io->options.budget, call->service);
    fill_request(call);
    place_call(call);
}

static void
handle_body(bb_h1_request_t *request, const char *data, size_t size, void *arg)
{
    call_t *call = request->user;
    (void)arg;

    BbBody_Append(&call->body, data, size);
    if (call->body.bytes->len > KEPT_BODY_BYTES) {
        BbH1_PauseBody(request, true);
    }
    if (call->attempt != NULL) {
        call->attempt->ops->body_grew(call->attempt);
    }
}

static void
handle_end(bb_h1_request_t *request, void *arg)
{
    call_t *call = request->user;
    (void)arg;

    call->body.is_complete = true;
    if (call->attempt != NULL) {
        call->attempt->ops->body_grew(call->attempt);
    }
}

static void
handle_gone(bb_h1_request_t *request, void *arg)
{
    call_t *call = request->user;
    (void)arg;

    if (BbEvent_Allows(BB_EVENT_CALL_GONE)) {
        BbEvent_Write(BB_EVENT_CALL_GONE,
                      json_pack("{s:s, s:s, s:s, s:f}", "call", call->call_id,
                                "route",
                                call->route != NULL ? call->route->name : "",
                                "peer", peer_name(call), "took_s",
                                now_of(call) - call->arrived_at));
    }
    if (call->attempt != NULL) {
        bb_attempt_t *attempt = call->attempt;
        close_attempt(call, BB_ATTEMPT_DROPPED);
        attempt->ops->cancel(attempt);
    }
    free_call(call);
}

static const bb_h1_handler_t server_handler = {
    .on_head = handle_head,
    .on_body = handle_body,
    .on_end = handle_end,
    .on_gone = handle_gone,
};

/* ---- life ---- */

int
BbCallIo_New(const bb_call_io_options_t *options, bb_call_io_t **out)
{
    bb_call_io_t *io = g_new0(bb_call_io_t, 1);
    bb_h1_server_options_t server_options = {
        .loop = options->loop,
        .address = options->address,
        .handler = &server_handler,
        .arg = io,
    };
    int error = BbH1Server_New(&server_options, &io->server);

    if (error != 0) {
        g_free(io);
        return error;
    }
    io->options = *options;
    io->data_centre = g_strdup(options->data_centre);
    io->service = g_strdup(options->service);
    io->longest =
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
        g_hash_table_destroy(io->longest);
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
BbCallIo_SetLeaving(bb_call_io_t *io)
{
    BbH1Server_SetClosing(io->server);
}

void
BbCallIo_SetRefusing(bb_call_io_t *io)
{
    io->is_refusing = true;
}

void
BbCallIo_EndAll(bb_call_io_t *io)
{
    while (io->calls != NULL) {
        end_call(io->calls, BB_ATTEMPT_DROPPED);
    }
}

int
BbCallIo_OpenCalls(const bb_call_io_t *io)
{
    return io->call_count;
}

double
BbCallIo_LastCallAt(const bb_call_io_t *io)
{
    return io->last_call_at;
}
