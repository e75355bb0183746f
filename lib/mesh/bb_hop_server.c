#include "bb_hop_server.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "bb_clock.h"
#include "bb_counters.h"
#include "bb_error.h"
#include "bb_hop.h"
#include "bb_transfer_gate.h"

/* Longer than the client side keeps idle connections, so that the server does
 * not close one while a call is being sent on it. */
#define SERVER_IDLE_S (2.5 * BB_HOP_CLIENT_IDLE_S)

#define MS_PER_S 1000.0

/* Assumed size of a body of unknown length. */
#define ASSUMED_BODY_BYTES 65536.0

/* How often waiting transfers are checked. */
#define GATE_CHECK_INTERVAL_S 0.02

/* Share of the target latency reserved between the arrival of a body and the
 * start of its call, since other calls use the link too. */
#define TRANSFER_MARGIN_SHARE 0.15

/* Time that a body may take to arrive if it is too late for the target
 * latency. */
#define LATE_TRANSFER_GRACE_S 0.3

#define PEER_REQUEST_PREFIX "/burdockbarrow/"

/* Reading of a body pauses while more than this is buffered, for example while
 * its call waits for a slot. */
#define MAX_BUFFERED_BODY_BYTES (1024 * 1024)

/* Largest body of a request that is not a forwarded call: a report on some
 * thousand accounts or targets. */
#define MAX_PEER_MESSAGE_BYTES (256 * 1024)

struct bb_hop_server {
    bb_hop_server_options_t options;
    bb_h1_server_t *http_server;
    bb_transfer_gate_t *gate;
    ev_timer gate_timer;
    GHashTable *peer_bodies; /* request to GByteArray, while it is read */
    struct hop_call *calls;
};

/* ---- responses ---- */

typedef struct hop_call {
    bb_hop_server_t *server;
    bb_h1_request_t *request;
    bb_attempt_request_t attempt_request;
    bb_h1_fields_t fields;
    bb_hop_call_t call_header;
    char *call_id;
    bb_body_t body;
    bb_attempt_t *attempt; /* NULL until the call starts */
    bb_transfer_ticket_t transfer;
    struct hop_call *prev, *next;
} hop_call_t;

static void process_gate(bb_hop_server_t *server);

/* Ends the transfer of a body that has arrived or is no longer needed. */
static void
finish_transfer(hop_call_t *call)
{
    if (call->transfer.state != BB_TRANSFER_NONE) {
        BbTransferGate_Finish(call->server->gate, &call->transfer);
        process_gate(call->server);
    }
}

static void
free_hop_call(hop_call_t *call)
{
    DL_DELETE(call->server->calls, call);
    finish_transfer(call);
    BbH1Fields_Free(&call->fields);
    BbBody_Free(&call->body);
    BbHop_Clear(&call->call_header);
    g_free(call->call_id);
    g_free(call);
}

static void
add_load_report(const hop_call_t *call, bb_h1_fields_t *fields)
{
    const bb_hop_server_t *server = call->server;
    char text[BB_LOAD_TEXT];
    bb_load_t load = {.version =
                          server->options.config_version(server->options.arg)};

    BbTargetIo_GetLoad(server->options.target, call->call_header.class_name,
                       &load);
    load.transfer_ms = (int)(BbTransferGate_Wait(server->gate) * MS_PER_S);
    BbLoad_Format(&load, text, sizeof(text));
    BbH1Fields_Add(fields, BB_HOP_LOAD, text);
}

static void
respond_outcome(hop_call_t *call, int status, bb_outcome_t outcome,
                bb_reason_t reason, double retry_after_s)
{
    bb_h1_fields_t fields;
    char seconds[24];

    BbH1Fields_Init(&fields);
    add_load_report(call, &fields);
    BbH1Fields_Add(&fields, BB_HOP_OUTCOME, BbOutcome_Name(outcome));
    BbH1Fields_Add(&fields, BB_HOP_REASON, BbReason_Name(reason));
    g_ascii_formatd(seconds, sizeof(seconds), "%.3f", retry_after_s);
    BbH1Fields_Add(&fields, "Retry-After", seconds);
    if (reason == BB_REASON_BAD_HOP) {
        BbH1Fields_Add(&fields, "Connection", "close");
    }
    BbH1_Respond(call->request, status, &fields, NULL, 0);
    BbH1Fields_Free(&fields);
}

static void
hop_refused(bb_reason_t reason, double retry_after_s, void *arg)
{
    hop_call_t *call = arg;

    respond_outcome(call, 503, BB_OUTCOME_NOT_RUN, reason, retry_after_s);
    free_hop_call(call);
}

static void
hop_head(int status, const bb_h1_fields_t *fields, int64_t content_length,
         void *arg)
{
    hop_call_t *call = arg;
    bb_h1_fields_t end_to_end_fields;

    BbH1Fields_Init(&end_to_end_fields);
    BbH1Fields_CopyEndToEnd(&end_to_end_fields, fields);
    add_load_report(call, &end_to_end_fields);
    BbH1_RespondStart(call->request, status, &end_to_end_fields,
                      content_length);
    BbH1Fields_Free(&end_to_end_fields);
}

static void
hop_data(const char *data, size_t size, void *arg)
{
    hop_call_t *call = arg;

    BbAttempt_ForwardData(call->attempt, call->request, data, size);
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

    if (call->request->is_response_started) {
        BbH1_Abort(call->request);
    }
    else {
        respond_outcome(call, 502, BB_OUTCOME_UNKNOWN, reason, 0);
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

/* Whether the message is framed as its call header says. A call without a body
 * that must not run twice has an empty chunked one. */
static bool
is_framed_as_announced(const hop_call_t *call)
{
    int64_t length = call->call_header.content_length;
    bool is_empty = length == BB_H1_NO_BODY || length == 0;

    return call->request->content_length ==
           (call->call_header.is_at_most_once && is_empty ? BB_H1_CHUNKED
                                                          : length);
}

static hop_call_t *
new_hop_call(bb_hop_server_t *server, bb_h1_request_t *request, int *error)
{
    hop_call_t *call = g_new0(hop_call_t, 1);
    const bb_h1_fields_t *fields = &request->fields;
    const char *id = BbH1Fields_Get(fields, server->options.names->call_id);
    double now = BbClock_Now(server->options.loop);

    call->server = server;
    call->request = request;
    DL_APPEND(server->calls, call);
    BbH1Fields_Init(&call->fields);
    BbBody_Init(&call->body);
    BbAttempt_CopyEndToEnd(&call->fields, fields);
    call->call_id = g_strdup(id != NULL ? id : "");
    *error =
        BbHop_Parse(BbH1Fields_Get(fields, BB_HOP_CALL), &call->call_header);
    call->attempt_request = (bb_attempt_request_t){
        .call_id = call->call_id,
        .method = request->method,
        .target = request->target->str,
        .fields = &call->fields,
        .content_length = call->call_header.content_length,
        .body = &call->body,
        .service = call->call_header.service,
        .caller_service = call->call_header.caller_service,
        .is_idempotent = !call->call_header.is_at_most_once,
        .class_name = call->call_header.class_name,
        .rank = call->call_header.rank,
        .account = call->call_header.account,
        .key_digest = call->call_header.key_digest,
        .is_nested = call->call_header.is_nested,
        .parent_age_s = call->call_header.parent_age_ms / MS_PER_S,
        .target_latency_s = call->call_header.latency_ms / MS_PER_S,
        .due_at = now + call->call_header.due_in_ms / MS_PER_S,
        .deadline_at = now + call->call_header.deadline_ms / MS_PER_S,
    };
    if (*error == 0 && !is_framed_as_announced(call)) {
        *error = BB_ERR_PARSE;
    }
    request->rank = call->attempt_request.rank;
    request->due_at = call->attempt_request.due_at;
    return call;
}

/* Offers the call to the target, or refuses it. Acknowledges the head if that
 * has not been done yet. */
static void
offer_call(hop_call_t *call, bool is_ack_due)
{
    double retry_after_s = 0;
    bb_reason_t reason =
        BbTargetIo_Submit(call->server->options.target, &call->attempt_request,
                          &hop_handler, call, &retry_after_s, &call->attempt);

    if (reason != BB_REASON_NONE) {
        hop_refused(reason, retry_after_s, call);
    }
    else if (is_ack_due) {
        BbH1_RespondInterim(call->request, BB_HOP_HEAD_READ);
    }
}

/* A refused transfer is reported like a full queue, so that the forwarding
 * node may try another node. */
static void
refuse_transfer(hop_call_t *call)
{
    call->transfer.state = BB_TRANSFER_NONE;
    hop_refused(BB_REASON_QUEUE_FULL, BbTransferGate_Wait(call->server->gate),
                call);
}

/* Requests the bodies that the gate has granted and refuses those that would
 * arrive too late. */
static void
process_gate(bb_hop_server_t *server)
{
    bb_transfer_ticket_t *ticket;

    while ((ticket = BbTransferGate_Next(
                server->gate, BbClock_Now(server->options.loop))) != NULL) {
        hop_call_t *call = ticket->arg;
        if (ticket->state == BB_TRANSFER_GRANTED) {
            BbH1_RespondInterim(call->request, BB_HOP_SEND_BODY);
        }
        else {
            refuse_transfer(call);
        }
    }
}

/* Starts the timer only while a body waits, since each wake-up is costly on a
 * VM that has a tenth of a core. */
static void
schedule_gate_timer(bb_hop_server_t *server)
{
    if (BbTransferGate_HasWaiting(server->gate) &&
        !ev_is_active(&server->gate_timer)) {
        ev_timer_set(&server->gate_timer, GATE_CHECK_INTERVAL_S, 0.0);
        ev_timer_start(server->options.loop, &server->gate_timer);
    }
}

static void
handle_gate_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    process_gate(timer->data);
    schedule_gate_timer(timer->data);
}

/* Requests the body of a call that must not run twice, now or when the
 * transfer gate allows it, or refuses the call. */
static void
request_body(hop_call_t *call)
{
    bb_hop_server_t *server = call->server;
    double now = BbClock_Now(server->options.loop);
    double service_s = BbTargetIo_ServiceTime(server->options.target,
                                              call->call_header.class_name);
    double latest_arrival =
        call->attempt_request.due_at - service_s -
        call->attempt_request.target_latency_s * TRANSFER_MARGIN_SHARE;

    call->transfer.bytes =
        call->call_header.content_length == BB_H1_CHUNKED
            ? ASSUMED_BODY_BYTES
            : (double)MAX(call->call_header.content_length, 0);
    /* A body that is late already is still accepted while the link is free. */
    call->transfer.needed_by = MAX(
        latest_arrival, MIN(now + LATE_TRANSFER_GRACE_S,
                            call->attempt_request.deadline_at - service_s));
    call->transfer.arg = call;
    switch (BbTransferGate_Offer(server->gate, &call->transfer, now)) {
    case BB_TRANSFER_GRANTED:
        BbH1_RespondInterim(call->request, BB_HOP_SEND_BODY);
        break;
    case BB_TRANSFER_WAITING:
        BbH1_RespondInterim(call->request, BB_HOP_HEAD_READ);
        schedule_gate_timer(server);
        break;
    case BB_TRANSFER_REFUSED:
    case BB_TRANSFER_NONE:
        refuse_transfer(call);
        break;
    }
}

/* ---- requests ---- */

static void
handle_peer_head(bb_hop_server_t *server, bb_h1_request_t *request)
{
    bool has_body = request->content_length == BB_H1_CHUNKED ||
                    request->content_length > 0;

    if (!has_body || server->options.on_peer_message == NULL) {
        server->options.on_peer_request(request, server->options.arg);
    }
    else if (request->content_length > MAX_PEER_MESSAGE_BYTES) {
        BbH1_Respond(request, 413, NULL, NULL, 0);
    }
    else {
        g_hash_table_insert(server->peer_bodies, request, g_byte_array_new());
    }
}

static void
append_peer_body(bb_hop_server_t *server, bb_h1_request_t *request,
                 const char *data, size_t size)
{
    GByteArray *body = g_hash_table_lookup(server->peer_bodies, request);

    if (body == NULL) {
        return;
    }
    if (body->len + size > MAX_PEER_MESSAGE_BYTES) {
        g_hash_table_remove(server->peer_bodies, request);
        BbH1_Respond(request, 413, NULL, NULL, 0);
        return;
    }
    g_byte_array_append(body, (const guint8 *)data, (guint)size);
}

static void
end_peer_body(bb_hop_server_t *server, bb_h1_request_t *request)
{
    GByteArray *body = g_hash_table_lookup(server->peer_bodies, request);

    if (body != NULL) {
        g_hash_table_steal(server->peer_bodies, request);
        server->options.on_peer_message(request, (const char *)body->data,
                                        body->len, server->options.arg);
        g_byte_array_unref(body);
    }
}

static void
server_head(bb_h1_request_t *request, void *arg)
{
    bb_hop_server_t *server = arg;

    request->user_data = NULL;
    if (strncmp(request->target->str, PEER_REQUEST_PREFIX,
                strlen(PEER_REQUEST_PREFIX)) == 0 &&
        BbH1Fields_Get(&request->fields, BB_HOP_CALL) == NULL) {
        handle_peer_head(server, request);
        return;
    }
    int error;
    hop_call_t *call = new_hop_call(server, request, &error);
    if (error != 0) {
        respond_outcome(call, 400, BB_OUTCOME_NOT_RUN, BB_REASON_BAD_HOP, 0);
        free_hop_call(call);
        return;
    }
    BbCounters_Add(BB_COUNTER_HOPS, 1);
    request->user_data = call;
    if (!call->call_header.is_at_most_once) {
        call->body.is_complete =
            call->call_header.content_length == BB_H1_NO_BODY ||
            call->call_header.content_length == 0;
        offer_call(call, true);
        return;
    }
    double retry_after_s;
    bb_reason_t reason = BbTargetIo_RefusalReason(
        server->options.target, &call->attempt_request, &retry_after_s);
    if (reason != BB_REASON_NONE) {
        hop_refused(reason, retry_after_s, call);
        return;
    }
    call->attempt_request.is_checked = true;
    request_body(call);
}

static void
server_body(bb_h1_request_t *request, const char *data, size_t size, void *arg)
{
    hop_call_t *call = request->user_data;

    if (call == NULL) {
        append_peer_body(arg, request, data, size);
        return;
    }
    BbBody_Append(&call->body, data, size);
    if (call->body.bytes->len > MAX_BUFFERED_BODY_BYTES) {
        BbH1_PauseBody(request, true);
    }
    if (call->attempt != NULL) {
        call->attempt->ops->body_extended(call->attempt);
    }
    else {
        offer_call(call, false);
    }
}

static void
server_end(bb_h1_request_t *request, void *arg)
{
    hop_call_t *call = request->user_data;

    if (call == NULL) {
        end_peer_body(arg, request);
        return;
    }
    call->body.is_complete = true;
    finish_transfer(call);
    if (call->attempt != NULL) {
        call->attempt->ops->body_extended(call->attempt);
    }
    else {
        offer_call(call, false);
    }
}

/* The forwarding node withdraws the call, for example because its process
 * ends: it is told when the call has certainly not run. */
static void
server_sending_ended(bb_h1_request_t *request, void *arg)
{
    hop_call_t *call = request->user_data;
    (void)arg;

    if (call != NULL && call->attempt != NULL &&
        call->attempt->ops->is_not_started(call->attempt)) {
        call->attempt->ops->cancel(call->attempt);
        hop_refused(BB_REASON_QUEUE_CANCELLED, 0, call);
    }
}

static void
server_connection_lost(bb_h1_request_t *request, void *arg)
{
    bb_hop_server_t *server = arg;
    hop_call_t *call = request->user_data;

    if (call == NULL) {
        if (g_hash_table_remove(server->peer_bodies, request)) {
            return;
        }
        server->options.on_peer_request_lost(request, server->options.arg);
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
    hop_call_t *call = request->user_data;

    if (call != NULL && call->attempt != NULL) {
        call->attempt->ops->pause(call->attempt, false);
    }
}

static const bb_h1_handler_t server_handler = {
    .on_head = server_head,
    .on_body = server_body,
    .on_end = server_end,
    .on_sending_ended = server_sending_ended,
    .on_connection_lost = server_connection_lost,
    .on_drained = server_drained,
};

/* ---- shutdown ---- */

/* A call whose body has not begun to arrive, NULL when there is none. */
static hop_call_t *
find_without_body(const bb_hop_server_t *server)
{
    hop_call_t *call;

    DL_SEARCH_SCALAR(server->calls, call, attempt, NULL);
    return call;
}

bool
BbHopServer_HasCallsWithoutBody(const bb_hop_server_t *server)
{
    return find_without_body(server) != NULL;
}

void
BbHopServer_RefuseCallsWithoutBody(bb_hop_server_t *server)
{
    hop_call_t *call;

    while ((call = find_without_body(server)) != NULL) {
        hop_refused(BB_REASON_NODE_DRAINING, 0, call);
    }
}

/* ---- create and free ---- */

static void
unref_bytes(gpointer bytes)
{
    g_byte_array_unref(bytes);
}

int
BbHopServer_New(const bb_hop_server_options_t *options, bb_hop_server_t **out)
{
    bb_hop_server_t *server = g_new0(bb_hop_server_t, 1);
    bb_h1_server_options_t server_options = {
        .loop = options->loop,
        .address = options->address,
        .handler = &server_handler,
        .arg = server,
        .idle_s = SERVER_IDLE_S,
        .head_s = SERVER_IDLE_S,
        .pacer = options->pacer,
    };
    int error = BbH1Server_New(&server_options, &server->http_server);

    if (error != 0) {
        g_free(server);
        return error;
    }
    server->peer_bodies = g_hash_table_new_full(NULL, NULL, NULL, unref_bytes);
    server->options = *options;
    server->gate = BbTransferGate_New(options->link_mbps);
    ev_timer_init(&server->gate_timer, handle_gate_timer,
                  GATE_CHECK_INTERVAL_S, 0.0);
    server->gate_timer.data = server;
    *out = server;
    return 0;
}

void
BbHopServer_Free(bb_hop_server_t *server)
{
    if (server != NULL) {
        ev_timer_stop(server->options.loop, &server->gate_timer);
        BbH1Server_Free(server->http_server);
        g_hash_table_destroy(server->peer_bodies);
        BbTransferGate_Free(server->gate);
        g_free(server);
    }
}

bool
BbHopServer_IsFlushed(const bb_hop_server_t *server)
{
    return BbH1Server_IsFlushed(server->http_server);
}
