#include "bb_hop_io.h"
#include "bb_clock.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

#include "bb_counters.h"
#include "bb_error.h"
#include "bb_hop.h"
#include "bb_transfer_gate.h"

/* The server keeps idle connections for longer than the client, so that a
 * call does not cross a close. */
#define SERVER_IDLE_S 30.0
#define CLIENT_IDLE_S 12.0
#define CONNECT_S 0.5

/* A node must tell within a share of the route's target latency that it has
 * read the head of a call. The lower limit covers machines whose processor
 * share is a quota, which pause for up to a tenth of a second, and links on
 * which an upload stands before the call. */
#define ACK_SHARE 0.5
#define ACK_MIN_S 0.25
#define ACK_MAX_S 0.6

/* A node of which something else was heard meanwhile gets more time, since it
 * is slow and not lost; after this many times its connection is. */
#define MAX_EXTENSIONS 2

#define MS_PER_S 1000.0

/* Interim responses. */
#define STATUS_SEND_BODY 100
#define STATUS_HEAD_READ 102

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

struct bb_hop_io {
    bb_hop_io_options_t options;
    bb_h1_server_t *server;
    bb_h1_client_t *client;
    GHashTable *peers; /* address to hop_peer_t */
    bb_transfer_gate_t *gate;
    ev_timer gate_timer;
};

/* ---- server side ---- */

typedef struct {
    bb_hop_io_t *hop;
    bb_h1_request_t *request;
    bb_attempt_request_t asked;
    bb_h1_fields_t fields;
    bb_hop_call_t told;
    char *call_id;
    bb_body_t body;
    bb_attempt_t *attempt; /* NULL until the call starts */
    bb_transfer_ticket_t transfer;
} hop_call_t;

static void run_gate(bb_hop_io_t *hop);

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
add_news(const bb_hop_io_t *hop, bb_h1_fields_t *fields)
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
    BbH1_RespondData(call->request, data, size);
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

static void
split_fields(hop_call_t *call, const bb_h1_fields_t *fields)
{
    size_t cursor = 0;
    const char *name, *value;

    while (BbH1Fields_Next(fields, &cursor, &name, &value)) {
        if (!BbH1_IsHopField(name) &&
            strncasecmp(name, BB_HOP_PREFIX, strlen(BB_HOP_PREFIX)) != 0) {
            BbH1Fields_Add(&call->fields, name, value);
        }
    }
}

static hop_call_t *
new_hop_call(bb_hop_io_t *hop, bb_h1_request_t *request, int *error)
{
    hop_call_t *call = g_new0(hop_call_t, 1);
    const bb_h1_fields_t *fields = &request->fields;
    const char *id = BbH1Fields_Get(fields, hop->options.names->call_id);
    double now = BbClock_Now(hop->options.loop);

    call->hop = hop;
    call->request = request;
    BbH1Fields_Init(&call->fields);
    BbBody_Init(&call->body);
    split_fields(call, fields);
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
        BbH1_RespondInterim(call->request, STATUS_HEAD_READ);
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
run_gate(bb_hop_io_t *hop)
{
    bb_transfer_ticket_t *ticket;

    while ((ticket = BbTransferGate_Next(
                hop->gate, BbClock_Now(hop->options.loop))) != NULL) {
        hop_call_t *call = ticket->arg;
        if (ticket->state == BB_TRANSFER_GRANTED) {
            BbH1_RespondInterim(call->request, STATUS_SEND_BODY);
        }
        else {
            refuse_transfer(call);
        }
    }
}

static void
handle_gate_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    run_gate(timer->data);
}

static void
call_for_body(hop_call_t *call)
{
    bb_hop_io_t *hop = call->hop;
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
        BbH1_RespondInterim(call->request, STATUS_SEND_BODY);
        break;
    case BB_TRANSFER_WAITING:
        BbH1_RespondInterim(call->request, STATUS_HEAD_READ);
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
    bb_hop_io_t *hop = arg;

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
    bb_hop_io_t *hop = arg;
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

static const bb_h1_handler_t server_handler = {
    .on_head = server_head,
    .on_body = server_body,
    .on_end = server_end,
    .on_gone = server_gone,
};

/* ---- client side ---- */

/* What is known of one other node. */
typedef struct {
    char *address;
    double heard_at; /* last byte from it */
    struct hop_attempt *attempts;
} hop_peer_t;

typedef struct hop_attempt {
    bb_attempt_t base; /* first */
    bb_hop_io_t *hop;
    hop_peer_t *peer;
    ev_timer ack_timer;
    double started_at;
    int extensions;
    bool is_cleared;  /* the node has called for the body */
    bool is_answered; /* the head of its answer has come */
    struct hop_attempt *prev, *next;
    bb_attempt_request_t request;
    const bb_attempt_handler_t *handler;
    void *arg;
    bb_hop_news_t *news;
    bb_h1_exchange_t *exchange;
    size_t sent;
    bool is_outcome; /* the node there answers, not its target */
    bb_outcome_t outcome;
    bb_reason_t reason;
    double retry_after_s;
} hop_attempt_t;

static void
free_attempt(hop_attempt_t *attempt)
{
    ev_timer_stop(attempt->hop->options.loop, &attempt->ack_timer);
    DL_DELETE(attempt->peer->attempts, attempt);
    g_free(attempt);
}

static hop_peer_t *
find_peer(bb_hop_io_t *hop, const char *address)
{
    hop_peer_t *peer = g_hash_table_lookup(hop->peers, address);

    if (peer == NULL) {
        peer = g_new0(hop_peer_t, 1);
        peer->address = g_strdup(address);
        g_hash_table_insert(hop->peers, peer->address, peer);
    }
    return peer;
}

static void
free_peer(gpointer data)
{
    hop_peer_t *peer = data;

    g_free(peer->address);
    g_free(peer);
}

static void
note_heard(hop_attempt_t *attempt)
{
    attempt->peer->heard_at = BbClock_Now(attempt->hop->options.loop);
    ev_timer_stop(attempt->hop->options.loop, &attempt->ack_timer);
}

static void
take_news(hop_attempt_t *attempt, const bb_h1_fields_t *fields)
{
    const bb_hop_io_options_t *options = &attempt->hop->options;
    bb_hop_news_t *news = attempt->news;

    if (BbLoad_Parse(BbH1Fields_Get(fields, BB_HOP_LOAD), &news->load) != 0) {
        return;
    }
    news->is_loaded = true;
    options->on_version(news->load.version, attempt->peer->address,
                        options->arg);
}

/* Whether the body waits to be called for. */
static bool
is_held_back(const hop_attempt_t *attempt)
{
    return !attempt->request.is_idempotent && !attempt->is_cleared;
}

static void
feed_body(hop_attempt_t *attempt)
{
    if (!is_held_back(attempt)) {
        BbBody_Feed(attempt->request.body, attempt->exchange, &attempt->sent);
    }
}

static void
client_interim(int status, void *arg)
{
    hop_attempt_t *attempt = arg;

    note_heard(attempt);
    if (status == STATUS_SEND_BODY) {
        attempt->is_cleared = true;
        feed_body(attempt);
    }
}

static void
client_head(int status, const bb_h1_fields_t *fields, void *arg)
{
    hop_attempt_t *attempt = arg;
    const char *outcome = BbH1Fields_Get(fields, BB_HOP_OUTCOME);
    const char *retry_after = BbH1Fields_Get(fields, "Retry-After");

    note_heard(attempt);
    attempt->is_answered = true;
    take_news(attempt, fields);
    if (outcome != NULL) {
        attempt->is_outcome = true;
        attempt->outcome = BbOutcome_Parse(outcome);
        attempt->reason =
            BbReason_Parse(BbH1Fields_Get(fields, BB_HOP_REASON));
        attempt->retry_after_s =
            retry_after != NULL ? g_ascii_strtod(retry_after, NULL) : 0;
        return;
    }
    bb_h1_fields_t passed;
    size_t cursor = 0;
    const char *name, *value;
    BbH1Fields_Init(&passed);
    while (BbH1Fields_Next(fields, &cursor, &name, &value)) {
        if (!BbH1_IsHopField(name) &&
            strncasecmp(name, BB_HOP_PREFIX, strlen(BB_HOP_PREFIX)) != 0) {
            BbH1Fields_Add(&passed, name, value);
        }
    }
    attempt->handler->on_head(status, &passed, BbAttempt_ContentLength(fields),
                              attempt->arg);
    BbH1Fields_Free(&passed);
}

static void
client_data(const char *data, size_t size, void *arg)
{
    hop_attempt_t *attempt = arg;

    if (!attempt->is_outcome) {
        attempt->handler->on_data(data, size, attempt->arg);
    }
}

static void
client_end(void *arg)
{
    hop_attempt_t *attempt = arg;
    hop_attempt_t ended = *attempt;

    free_attempt(attempt);
    if (!ended.is_outcome) {
        ended.handler->on_end(ended.arg);
    }
    else if (ended.outcome == BB_OUTCOME_NOT_RUN) {
        ended.handler->on_refused(ended.reason, ended.retry_after_s,
                                  ended.arg);
    }
    else {
        ended.handler->on_lost(ended.reason, ended.arg);
    }
}

static void
client_fail(int error, bool is_sent, void *arg)
{
    hop_attempt_t *attempt = arg;
    hop_attempt_t ended = *attempt;
    (void)error;

    free_attempt(attempt);
    if (!is_sent || is_held_back(&ended)) {
        ended.handler->on_refused(BB_REASON_CONNECT_FAILED, 0, ended.arg);
    }
    else {
        ended.handler->on_lost(BB_REASON_RESPONSE_LOST, ended.arg);
    }
}

/* Asks the owner whether it goes elsewhere. */
static bool
report_silence(hop_attempt_t *attempt)
{
    bool may_have_run =
        BbH1_IsSent(attempt->exchange) && !is_held_back(attempt);

    return attempt->handler->on_silent != NULL &&
           attempt->handler->on_silent(may_have_run, attempt->arg);
}

/* Calls that may be repeated do not wait for a node that is silent. */
static void
report_waiting(bb_hop_io_t *hop, hop_peer_t *peer, double silent_since)
{
    hop_attempt_t *attempt, *next;

    BbH1Client_CloseIdle(hop->client, peer->address);
    DL_FOREACH_SAFE (peer->attempts, attempt, next) {
        if (attempt->request.is_idempotent && !attempt->is_answered &&
            attempt->started_at <= silent_since) {
            report_silence(attempt);
        }
    }
}

static double
ack_time(const hop_attempt_t *attempt)
{
    double share_s = attempt->request.target_latency_s * ACK_SHARE;
    return CLAMP(share_s, ACK_MIN_S, ACK_MAX_S);
}

static void
handle_ack_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    hop_attempt_t *attempt = timer->data;
    bb_hop_io_t *hop = attempt->hop;
    hop_peer_t *peer = attempt->peer;
    double started_at = attempt->started_at;
    bool is_peer_silent = peer->heard_at < started_at;

    if (!is_peer_silent && attempt->extensions < MAX_EXTENSIONS) {
        attempt->extensions++;
        ev_timer_set(timer, ack_time(attempt), 0.0);
        ev_timer_start(hop->options.loop, timer);
        return;
    }
    report_silence(attempt);
    if (is_peer_silent) {
        report_waiting(hop, peer, started_at);
    }
}

static void
client_drained(void *arg)
{
    hop_attempt_t *attempt = arg;
    attempt->handler->on_drained(attempt->sent, attempt->arg);
}

static const bb_h1_exchange_handler_t client_handler = {
    .on_interim = client_interim,
    .on_head = client_head,
    .on_data = client_data,
    .on_end = client_end,
    .on_fail = client_fail,
    .on_drained = client_drained,
};

static void
client_body_grew(bb_attempt_t *base)
{
    feed_body((hop_attempt_t *)base);
}

static void
client_cancel(bb_attempt_t *base)
{
    hop_attempt_t *attempt = (hop_attempt_t *)base;

    BbH1_Cancel(attempt->exchange);
    free_attempt(attempt);
}

static const bb_attempt_ops_t client_ops = {
    .body_grew = client_body_grew,
    .cancel = client_cancel,
};

static void
add_hop_field(const bb_hop_io_t *hop, const bb_attempt_request_t *request,
              bb_h1_fields_t *fields)
{
    double now = BbClock_Now(hop->options.loop);
    const bb_hop_call_t told = {
        .service = (char *)request->service,
        .caller_service = (char *)request->caller_service,
        .class_name = (char *)request->class_name,
        .deadline_ms = (int)((request->deadline_at - now) * MS_PER_S),
        .latency_ms = (int)(request->target_latency_s * MS_PER_S),
        .left_ms = (int)((request->target_at - now) * MS_PER_S),
        .rank = request->rank,
        .is_once = !request->is_idempotent,
        .content_length = request->content_length,
    };
    char *text = BbHop_Format(&told);

    BbH1Fields_Add(fields, BB_HOP_CALL, text);
    g_free(text);
}

/* A call without a body that must not run twice gets an empty one, so that
 * its head alone does not start it. */
static int64_t
hop_length(const bb_attempt_request_t *request)
{
    bool is_empty = request->content_length == BB_H1_NO_BODY ||
                    request->content_length == 0;

    return !request->is_idempotent && is_empty ? BB_H1_CHUNKED
                                               : request->content_length;
}

bb_attempt_t *
BbHopIo_Start(bb_hop_io_t *hop, const char *address,
              const bb_attempt_request_t *request,
              const bb_attempt_handler_t *handler, void *arg,
              bb_hop_news_t *news)
{
    hop_attempt_t *attempt = g_new0(hop_attempt_t, 1);
    bb_h1_fields_t fields;

    attempt->base.ops = &client_ops;
    attempt->hop = hop;
    attempt->peer = find_peer(hop, address);
    attempt->started_at = BbClock_Now(hop->options.loop);
    DL_APPEND(attempt->peer->attempts, attempt);
    attempt->request = *request;
    attempt->handler = handler;
    attempt->arg = arg;
    attempt->news = news;
    BbH1Fields_Init(&fields);
    BbH1Fields_CopyEndToEnd(&fields, request->fields);
    add_hop_field(hop, request, &fields);
    bb_h1_exchange_options_t options = {
        .address = address,
        .method = request->method,
        .target = request->target,
        .fields = &fields,
        .content_length = hop_length(request),
        .max_idle_s = CLIENT_IDLE_S,
        .handler = &client_handler,
        .arg = attempt,
    };
    attempt->exchange = BbH1_Start(hop->client, &options);
    BbH1Fields_Free(&fields);
    feed_body(attempt);
    ev_timer_init(&attempt->ack_timer, handle_ack_timer, ack_time(attempt),
                  0.0);
    attempt->ack_timer.data = attempt;
    ev_timer_start(hop->options.loop, &attempt->ack_timer);
    return &attempt->base;
}

/* ---- life ---- */

int
BbHopIo_New(const bb_hop_io_options_t *options, bb_hop_io_t **out)
{
    bb_hop_io_t *hop = g_new0(bb_hop_io_t, 1);
    bb_h1_client_options_t client_options = {
        .loop = options->loop,
        .connect_s = CONNECT_S,
        .keep_s = CLIENT_IDLE_S,
    };

    hop->options = *options;
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
    hop->gate = BbTransferGate_New(options->link_mbps);
    ev_timer_init(&hop->gate_timer, handle_gate_timer, GATE_CHECK_S,
                  GATE_CHECK_S);
    hop->gate_timer.data = hop;
    ev_timer_start(options->loop, &hop->gate_timer);
    hop->client = BbH1Client_New(&client_options);
    hop->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    *out = hop;
    return 0;
}

void
BbHopIo_Free(bb_hop_io_t *hop)
{
    if (hop != NULL) {
        ev_timer_stop(hop->options.loop, &hop->gate_timer);
        BbH1Server_Free(hop->server);
        BbTransferGate_Free(hop->gate);
        BbH1Client_Free(hop->client);
        g_hash_table_destroy(hop->peers);
        g_free(hop);
    }
}

bb_h1_client_t *
BbHopIo_Client(bb_hop_io_t *hop)
{
    return hop->client;
}
