#include "bb_hop_server.h"

#include <stdlib.h>
#include <string.h>

#include "bb_clock.h"
#include "bb_counters.h"
#include "bb_hop.h"
#include "bb_transfer_gate.h"

/* Longer than the client side keeps idle connections, so that a call does not
 * cross a close. */
#define SERVER_IDLE_S (2.5 * BB_HOP_CLIENT_IDLE_S)

#define MS_PER_S 1000.0

/* Taken as the size of a body without a known length. */
#define UNKNOWN_BODY_BYTES 65536.0

#define GATE_CHECK_S 0.02

/* Share of the target latency kept free between the last byte of a body and
 * the start of its call, since other calls use the link too. */
#define TRANSFER_MARGIN_SHARE 0.15

#define LATE_TRANSFER_S 0.3

#define QUERY_PREFIX "/burdockbarrow/"

/* A body that waits for a slot is not read beyond this. */
#define WAITING_BODY_BYTES (1024 * 1024)

struct bb_hop_server {
    bb_hop_server_options_t options;
    bb_h1_server_t *server;
    bb_transfer_gate_t *gate;
    ev_timer gate_timer;
};

/* ---- answers ---- */

typedef struct {
    bb_hop_server_t *hop;
    bb_h1_request_t *request;
    bb_attempt_request_t asked;
    bb_h1_fields_t fields;
    bb_hop_call_t told;
    char *call_id;
    bb_body_t body;
    bb_attempt_t *attempt; /* NULL until the call starts */
    bb_transfer_ticket_t transfer;
} hop_call_t;

static void run_gate(bb_hop_server_t *hop);

/* The body is here, or nobody waits for it any more. */
static void
end_transfer(hop_call_t *call)
{
    if (call->transfer.state != BB_TRANSFER_NONE) {
        BbTransferGate_Finish(call->hop->gate, &call->transfer);
        run_gate(call->hop);
    }
}

static void
free_hop_call(hop_call_t *call)
{
    end_transfer(call);
    BbH1Fields_Free(&call->fields);
    BbBody_Free(&call->body);
    BbHop_Clear(&call->told);
    g_free(call->call_id);
    g_free(call);
}

static void
add_news(const bb_hop_server_t *hop, bb_h1_fields_t *fields)
{
    char text[BB_LOAD_TEXT];
    bb_load_t load = {.version = hop->options.own_version(hop->options.arg)};

    BbTargetIo_GetLoad(hop->options.target, &load);
    load.transfer_ms = (int)(BbTransferGate_Wait(hop->gate) * MS_PER_S);
    BbLoad_Format(&load, text, sizeof(text));
    BbH1Fields_Add(fields, BB_HOP_LOAD, text);
}

static void
answer_outcome(hop_call_t *call, int status, bb_outcome_t outcome,
               bb_reason_t reason, double retry_after_s)
{
    bb_h1_fields_t fields;
    char seconds[24];

    BbH1Fields_Init(&fields);
    add_news(call->hop, &fields);
    BbH1Fields_Add(&fields, BB_HOP_OUTCOME, BbOutcome_Name(outcome));
    BbH1Fields_Add(&fields, BB_HOP_REASON, BbReason_Name(reason));
    g_ascii_formatd(seconds, sizeof(seconds), "%.3f", retry_after_s);
    BbH1Fields_Add(&fields, "Retry-After", seconds);
    BbH1_Respond(call->request, status, &fields, NULL, 0);
    BbH1Fields_Free(&fields);
}

static void
hop_refused(bb_reason_t reason, double retry_after_s, void *arg)
{
    hop_call_t *call = arg;

    answer_outcome(call, 503, BB_OUTCOME_NOT_RUN, reason, retry_after_s);
    free_hop_call(call);
}

static void
hop_head(int status, const bb_h1_fields_t *fields, int64_t content_length,
         void *arg)
{
    hop_call_t *call = arg;
    bb_h1_fields_t passed;

    BbH1Fields_Init(&passed);
    BbH1Fields_CopyEndToEnd(&passed, fields);
    add_news(call->hop, &passed);
    BbH1_RespondStart(call->request, status, &passed, content_length);
    BbH1Fields_Free(&passed);
}

static void
hop_data(const char *data, size_t size, void *arg)
{
    hop_call_t *call = arg;

    BbAttempt_PassData(call->attempt, call->request, data, size);
}

static void
hop_end(void *arg)
{
    hop_call_t *call = arg;
    bb_h1_request_t *request = call->request;

    free_hop_call(call);
    BbH1_RespondEnd(request);
}

static void
hop_lost(bb_reason_t reason, void *arg)
{
    hop_call_t *call = arg;

    if (call->request->is_started) {
        BbH1_Abort(call->request);
    }
    else {
        answer_outcome(call, 502, BB_OUTCOME_UNKNOWN, reason, 0);
    }
    free_hop_call(call);
}

static void
hop_drained(size_t sent, void *arg)
{
    hop_call_t *call = arg;

    BbBody_Drop(&call->body, sent);
    BbH1_PauseBody(call->request, false);
}

static const bb_attempt_handler_t hop_handler = {
    .on_refused = hop_refused,
    .on_head = hop_head,
    .on_data = hop_data,
    .on_end = hop_end,
    .on_lost = hop_lost,
    .on_drained = hop_drained,
};

/* ---- calls ---- */

static hop_call_t *
new_hop_call(bb_hop_server_t *hop, bb_h1_request_t *request, int *error)
{
    hop_call_t *call = g_new0(hop_call_t, 1);
    const bb_h1_fields_t *fields = &request->fields;
    const char *id = BbH1Fields_Get(fields, hop->options.names->call_id);
    double now = BbClock_Now(hop->options.loop);

    call->hop = hop;
    call->request = request;
    BbH1Fields_Init(&call->fields);
    BbBody_Init(&call->body);
    BbAttempt_CopyFields(&call->fields, fields);
    call->call_id = g_strdup(id != NULL ? id : "");
    *error = BbHop_Parse(BbH1Fields_Get(fields, BB_HOP_CALL), &call->told);
    call->asked = (bb_attempt_request_t){
        .call_id = call->call_id,
        .method = request->method,
        .target = request->target->str,
        .fields = &call->fields,
        .content_length = call->told.content_length,
        .body = &call->body,
        .service = call->told.service,
        .caller_service = call->told.caller_service,
        .is_idempotent = !call->told.is_once,
        .class_name = call->told.class_name,
        .rank = call->told.rank,
        .target_latency_s = call->told.latency_ms / MS_PER_S,
        .target_at = now + call->told.left_ms / MS_PER_S,
        .deadline_at = now + call->told.deadline_ms / MS_PER_S,
    };
    return call;
}

/* The call starts here, or is refused. */
static void
offer_call(hop_call_t *call, bool is_interim_due)
{
    double retry_after_s = 0;
    bb_reason_t reason =
        BbTargetIo_Offer(call->hop->options.target, &call->asked, &hop_handler,
                         call, &retry_after_s, &call->attempt);

    if (reason != BB_REASON_NONE) {
        hop_refused(reason, retry_after_s, call);
    }
    else if (is_interim_due) {
        BbH1_RespondInterim(call->request, BB_HOP_HEAD_READ);
    }
}

/* Refused transfers count as a want of room: the caller may go elsewhere. */
static void
refuse_transfer(hop_call_t *call)
{
    call->transfer.state = BB_TRANSFER_NONE;
    hop_refused(BB_REASON_QUEUE_FULL, BbTransferGate_Wait(call->hop->gate),
                call);
}

static void
run_gate(bb_hop_server_t *hop)
{
    bb_transfer_ticket_t *ticket;

    while ((ticket = BbTransferGate_Next(
                hop->gate, BbClock_Now(hop->options.loop))) != NULL) {
        hop_call_t *call = ticket->arg;
        if (ticket->state == BB_TRANSFER_GRANTED) {
            BbH1_RespondInterim(call->request, BB_HOP_SEND_BODY);
        }
        else {
            refuse_transfer(call);
        }
    }
}

/* A VM whose core is a tenth of one pays for each wake-up, so the timer runs
 * only while a body waits. */
static void
plan_gate_timer(bb_hop_server_t *hop)
{
    if (BbTransferGate_HasWaiting(hop->gate) &&
        !ev_is_active(&hop->gate_timer)) {
        ev_timer_set(&hop->gate_timer, GATE_CHECK_S, 0.0);
        ev_timer_start(hop->options.loop, &hop->gate_timer);
    }
}

static void
handle_gate_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    run_gate(timer->data);
    plan_gate_timer(timer->data);
}

static void
call_for_body(hop_call_t *call)
{
    bb_hop_server_t *hop = call->hop;
    double now = BbClock_Now(hop->options.loop);
    double service_s =
        BbTargetIo_ServiceTime(hop->options.target, call->told.class_name);
    double in_time_by = call->asked.target_at - service_s -
                        call->asked.target_latency_s * TRANSFER_MARGIN_SHARE;

    call->transfer.bytes = call->told.content_length == BB_H1_CHUNKED
                               ? UNKNOWN_BODY_BYTES
                               : (double)MAX(call->told.content_length, 0);
    /* A body that is late already is taken while the link is free. */
    call->transfer.here_by =
        MAX(in_time_by,
            MIN(now + LATE_TRANSFER_S, call->asked.deadline_at - service_s));
    call->transfer.arg = call;
    switch (BbTransferGate_Offer(hop->gate, &call->transfer, now)) {
    case BB_TRANSFER_GRANTED:
        BbH1_RespondInterim(call->request, BB_HOP_SEND_BODY);
        break;
    case BB_TRANSFER_WAITING:
        BbH1_RespondInterim(call->request, BB_HOP_HEAD_READ);
        plan_gate_timer(hop);
        break;
    case BB_TRANSFER_REFUSED:
    case BB_TRANSFER_NONE:
        refuse_transfer(call);
        break;
    }
}

static void
server_head(bb_h1_request_t *request, void *arg)
{
    bb_hop_server_t *hop = arg;

    request->user = NULL;
    if (strncmp(request->target->str, QUERY_PREFIX, strlen(QUERY_PREFIX)) ==
            0 &&
        BbH1Fields_Get(&request->fields, BB_HOP_CALL) == NULL) {
        hop->options.on_query(request, hop->options.arg);
        return;
    }
    int error;
    hop_call_t *call = new_hop_call(hop, request, &error);
    if (error != 0) {
        answer_outcome(call, 400, BB_OUTCOME_NOT_RUN, BB_REASON_BAD_HOP, 0);
        free_hop_call(call);
        return;
    }
    BbCounters_Add(BB_COUNTER_HOPS, 1);
    request->user = call;
    if (!call->told.is_once) {
        call->body.is_complete = call->told.content_length == BB_H1_NO_BODY ||
                                 call->told.content_length == 0;
        offer_call(call, true);
        return;
    }
    double retry_after_s;
    bb_reason_t reason =
        BbTargetIo_Obstacle(hop->options.target, &call->asked, &retry_after_s);
    if (reason != BB_REASON_NONE) {
        hop_refused(reason, retry_after_s, call);
        return;
    }
    call_for_body(call);
}

static void
server_body(bb_h1_request_t *request, const char *data, size_t size, void *arg)
{
    (void)arg;
    hop_call_t *call = request->user;

    if (call == NULL) {
        return;
    }
    BbBody_Append(&call->body, data, size);
    if (call->body.bytes->len > WAITING_BODY_BYTES) {
        BbH1_PauseBody(request, true);
    }
    if (call->attempt != NULL) {
        call->attempt->ops->body_grew(call->attempt);
    }
    else {
        offer_call(call, false);
    }
}

static void
server_end(bb_h1_request_t *request, void *arg)
{
    (void)arg;
    hop_call_t *call = request->user;

    if (call == NULL) {
        return;
    }
    call->body.is_complete = true;
    end_transfer(call);
    if (call->attempt != NULL) {
        call->attempt->ops->body_grew(call->attempt);
    }
    else {
        offer_call(call, false);
    }
}

static void
server_gone(bb_h1_request_t *request, void *arg)
{
    bb_hop_server_t *hop = arg;
    hop_call_t *call = request->user;

    if (call == NULL) {
        hop->options.on_query_gone(request, hop->options.arg);
        return;
    }
    if (call->attempt != NULL) {
        call->attempt->ops->cancel(call->attempt);
    }
    free_hop_call(call);
}

static void
server_drained(bb_h1_request_t *request, void *arg)
{
    (void)arg;
    hop_call_t *call = request->user;

    if (call != NULL && call->attempt != NULL) {
        call->attempt->ops->pause(call->attempt, false);
    }
}

static const bb_h1_handler_t server_handler = {
    .on_head = server_head,
    .on_body = server_body,
    .on_end = server_end,
    .on_gone = server_gone,
    .on_drained = server_drained,
};

/* ---- life ---- */

int
BbHopServer_New(const bb_hop_server_options_t *options, bb_hop_server_t **out)
{
    bb_hop_server_t *hop = g_new0(bb_hop_server_t, 1);
    bb_h1_server_options_t server_options = {
        .loop = options->loop,
        .address = options->address,
        .handler = &server_handler,
        .arg = hop,
        .idle_s = SERVER_IDLE_S,
        .head_s = SERVER_IDLE_S,
    };
    int error = BbH1Server_New(&server_options, &hop->server);

    if (error != 0) {
        g_free(hop);
        return error;
    }
    hop->options = *options;
    hop->gate = BbTransferGate_New(options->link_mbps);
    ev_timer_init(&hop->gate_timer, handle_gate_timer, GATE_CHECK_S, 0.0);
    hop->gate_timer.data = hop;
    *out = hop;
    return 0;
}

void
BbHopServer_Free(bb_hop_server_t *hop)
{
    if (hop != NULL) {
        ev_timer_stop(hop->options.loop, &hop->gate_timer);
        BbH1Server_Free(hop->server);
        BbTransferGate_Free(hop->gate);
        g_free(hop);
    }
}
