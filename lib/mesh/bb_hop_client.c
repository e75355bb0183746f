#include "bb_hop_client.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "bb_clock.h"
#include "bb_hop.h"

#define CONNECT_TIMEOUT_S 0.5

/* A node must acknowledge the head of a call within this share of the route's
 * target latency. The lower limit allows for VMs with a CPU quota, which pause
 * for up to a tenth of a second, and for links on which an upload delays the
 * call. */
#define ACK_SHARE 0.5
#define ACK_MIN_S 0.25
#define ACK_MAX_S 0.6

/* A node that has responded to another call in the meantime is slow rather
 * than unreachable, so the timeout is extended. After this many extensions the
 * node is reported as unresponsive. */
#define MAX_ACK_EXTENSIONS 2

#define MS_PER_S 1000.0

struct bb_hop_client {
    bb_hop_client_options_t options;
    bb_h1_client_t *http;
    GHashTable *peers; /* address to hop_peer_t */
};

/* One other node. */
typedef struct {
    char *address;
    double last_heard_at; /* when it last responded */
    struct hop_attempt *attempts;
} hop_peer_t;

typedef struct hop_attempt {
    bb_attempt_t base; /* must be first */
    bb_hop_client_t *client;
    hop_peer_t *peer;
    ev_timer ack_timer;
    double started_at;
    int ack_extensions;
    bool is_body_requested; /* by the other node */
    bool has_response_head; /* from the other node */
    struct hop_attempt *prev, *next;
    bb_attempt_request_t request;
    const bb_attempt_handler_t *handler;
    void *arg;
    bb_hop_load_report_t *load_report;
    bb_h1_exchange_t *exchange;
    size_t sent;
    bool has_outcome; /* response of the node, not of its target */
    bb_outcome_t outcome;
    bb_reason_t reason;
    double retry_after_s;
} hop_attempt_t;

static void
free_attempt(hop_attempt_t *attempt)
{
    ev_timer_stop(attempt->client->options.loop, &attempt->ack_timer);
    DL_DELETE(attempt->peer->attempts, attempt);
    g_free(attempt);
}

static hop_peer_t *
find_peer(bb_hop_client_t *client, const char *address)
{
    hop_peer_t *peer = g_hash_table_lookup(client->peers, address);

    if (peer == NULL) {
        peer = g_new0(hop_peer_t, 1);
        peer->address = g_strdup(address);
        g_hash_table_insert(client->peers, peer->address, peer);
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
record_peer_activity(hop_attempt_t *attempt)
{
    attempt->peer->last_heard_at = BbClock_Now(attempt->client->options.loop);
    ev_timer_stop(attempt->client->options.loop, &attempt->ack_timer);
}

static void
read_load_report(hop_attempt_t *attempt, const bb_h1_fields_t *fields)
{
    const bb_hop_client_options_t *options = &attempt->client->options;
    bb_hop_load_report_t *load_report = attempt->load_report;

    if (BbLoad_Parse(BbH1Fields_Get(fields, BB_HOP_LOAD),
                     &load_report->load) != 0) {
        return;
    }
    load_report->has_load = true;
    options->on_version(load_report->load.version, attempt->peer->address,
                        options->arg);
}

/* Whether the body must not be sent yet: the call must not run twice and the
 * node has not requested the body. */
static bool
is_body_withheld(const hop_attempt_t *attempt)
{
    return !attempt->request.is_idempotent && !attempt->is_body_requested;
}

static void
send_body(hop_attempt_t *attempt)
{
    if (!is_body_withheld(attempt)) {
        BbBody_SendBuffered(attempt->request.body, attempt->exchange,
                            &attempt->sent);
    }
}

static void
handle_interim(int status, void *arg)
{
    hop_attempt_t *attempt = arg;

    record_peer_activity(attempt);
    if (status == BB_HOP_SEND_BODY) {
        attempt->is_body_requested = true;
        send_body(attempt);
    }
}

static void
handle_head(int status, const bb_h1_fields_t *fields, void *arg)
{
    hop_attempt_t *attempt = arg;
    const char *outcome = BbH1Fields_Get(fields, BB_HOP_OUTCOME);
    const char *retry_after = BbH1Fields_Get(fields, "Retry-After");

    record_peer_activity(attempt);
    attempt->has_response_head = true;
    read_load_report(attempt, fields);
    if (outcome != NULL) {
        attempt->has_outcome = true;
        attempt->outcome = BbOutcome_Parse(outcome);
        attempt->reason =
            BbReason_Parse(BbH1Fields_Get(fields, BB_HOP_REASON));
        attempt->retry_after_s =
            retry_after != NULL ? g_ascii_strtod(retry_after, NULL) : 0;
        return;
    }
    bb_h1_fields_t end_to_end_fields;
    BbH1Fields_Init(&end_to_end_fields);
    BbAttempt_CopyEndToEnd(&end_to_end_fields, fields);
    attempt->handler->on_head(status, &end_to_end_fields,
                              BbAttempt_ContentLength(fields), attempt->arg);
    BbH1Fields_Free(&end_to_end_fields);
}

static void
handle_data(const char *data, size_t size, void *arg)
{
    hop_attempt_t *attempt = arg;

    if (!attempt->has_outcome) {
        attempt->handler->on_data(data, size, attempt->arg);
    }
}

static void
handle_end(void *arg)
{
    hop_attempt_t *attempt = arg;
    hop_attempt_t ended = *attempt;

    free_attempt(attempt);
    if (!ended.has_outcome) {
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
handle_fail(int error, bool is_sent, void *arg)
{
    hop_attempt_t *attempt = arg;
    hop_attempt_t ended = *attempt;
    (void)error;

    free_attempt(attempt);
    if (!is_sent || is_body_withheld(&ended)) {
        ended.handler->on_refused(BB_REASON_CONNECT_FAILED, 0, ended.arg);
    }
    else {
        ended.handler->on_lost(BB_REASON_RESPONSE_LOST, ended.arg);
    }
}

/* A node starts a call whose body is withheld only after it has requested the
 * body. One that may start at once counts as started: the other node does not
 * say whether it waits in its queue. */
static bool
is_not_started(const bb_attempt_t *base)
{
    const hop_attempt_t *attempt = (const hop_attempt_t *)base;

    return !BbH1_IsSent(attempt->exchange) || is_body_withheld(attempt);
}

/* Reports the unresponsive node to the owner, which may cancel the attempt.
 * Returns true if it did. */
static bool
report_unresponsive(hop_attempt_t *attempt)
{
    return attempt->handler->on_unresponsive != NULL &&
           attempt->handler->on_unresponsive(!is_not_started(&attempt->base),
                                             attempt->arg);
}

/* Reports a node that has not responded to any call to all idempotent calls
 * that wait for it, so that none of them waits for its own timeout. */
static void
report_silent_peer(bb_hop_client_t *client, hop_peer_t *peer,
                   double silent_since)
{
    hop_attempt_t *attempt, *next;

    BbH1Client_CloseIdle(client->http, peer->address);
    DL_FOREACH_SAFE (peer->attempts, attempt, next) {
        if (attempt->request.is_idempotent && !attempt->has_response_head &&
            attempt->started_at <= silent_since) {
            report_unresponsive(attempt);
        }
    }
}

static double
ack_timeout(const hop_attempt_t *attempt)
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
    bb_hop_client_t *client = attempt->client;
    hop_peer_t *peer = attempt->peer;
    double started_at = attempt->started_at;
    bool is_peer_silent = peer->last_heard_at < started_at;

    if (!is_peer_silent && attempt->ack_extensions < MAX_ACK_EXTENSIONS) {
        attempt->ack_extensions++;
        ev_timer_set(timer, ack_timeout(attempt), 0.0);
        ev_timer_start(client->options.loop, timer);
        return;
    }
    report_unresponsive(attempt);
    if (is_peer_silent) {
        report_silent_peer(client, peer, started_at);
    }
}

static void
handle_drained(void *arg)
{
    hop_attempt_t *attempt = arg;
    attempt->handler->on_drained(attempt->sent, attempt->arg);
}

static const bb_h1_exchange_handler_t exchange_handler = {
    .on_interim = handle_interim,
    .on_head = handle_head,
    .on_data = handle_data,
    .on_end = handle_end,
    .on_fail = handle_fail,
    .on_drained = handle_drained,
};

static void
handle_body_extended(bb_attempt_t *base)
{
    send_body((hop_attempt_t *)base);
}

static void
cancel_attempt(bb_attempt_t *base)
{
    hop_attempt_t *attempt = (hop_attempt_t *)base;

    BbH1_Cancel(attempt->exchange);
    free_attempt(attempt);
}

/* The other node responds that it has not run the call, or cancels the run and
 * closes the connection. A node of an earlier release always closes it. */
static void
withdraw_attempt(bb_attempt_t *base)
{
    BbH1_EndSending(((hop_attempt_t *)base)->exchange);
}

static void
pause_response(bb_attempt_t *base, bool is_paused)
{
    BbH1_PauseResponse(((hop_attempt_t *)base)->exchange, is_paused);
}

static const bb_attempt_ops_t attempt_ops = {
    .body_extended = handle_body_extended,
    .cancel = cancel_attempt,
    .withdraw = withdraw_attempt,
    .pause = pause_response,
    .is_not_started = is_not_started,
};

static void
add_call_header(const bb_hop_client_t *client,
                const bb_attempt_request_t *request, bb_h1_fields_t *fields)
{
    double now = BbClock_Now(client->options.loop);
    const bb_hop_call_t call_header = {
        .service = (char *)request->service,
        .caller_service = (char *)request->caller_service,
        .class_name = (char *)request->class_name,
        .deadline_ms = (int)((request->deadline_at - now) * MS_PER_S),
        .latency_ms = (int)(request->target_latency_s * MS_PER_S),
        .due_in_ms = (int)((request->due_at - now) * MS_PER_S),
        .rank = request->rank,
        .is_at_most_once = !request->is_idempotent,
        .content_length = request->content_length,
        .is_nested = request->is_nested,
        .parent_age_ms = (int)(request->parent_age_s * MS_PER_S),
        .key_digest = request->key_digest,
        .account = (char *)request->account,
    };
    char *text = BbHop_Format(&call_header);

    BbH1Fields_Add(fields, BB_HOP_CALL, text);
    g_free(text);
}

/* Content length of the forwarded request. A call without a body that must not
 * run twice is given an empty chunked one, since the node starts such a call
 * only when its body arrives. */
static int64_t
forwarded_content_length(const bb_attempt_request_t *request)
{
    bool is_empty = request->content_length == BB_H1_NO_BODY ||
                    request->content_length == 0;

    return !request->is_idempotent && is_empty ? BB_H1_CHUNKED
                                               : request->content_length;
}

bb_attempt_t *
BbHopClient_Start(bb_hop_client_t *client, const char *address,
                  const bb_attempt_request_t *request,
                  const bb_attempt_handler_t *handler, void *arg,
                  bb_hop_load_report_t *load_report)
{
    hop_attempt_t *attempt = g_new0(hop_attempt_t, 1);
    bb_h1_fields_t fields;

    attempt->base.ops = &attempt_ops;
    attempt->client = client;
    attempt->peer = find_peer(client, address);
    attempt->started_at = BbClock_Now(client->options.loop);
    DL_APPEND(attempt->peer->attempts, attempt);
    attempt->request = *request;
    attempt->handler = handler;
    attempt->arg = arg;
    attempt->load_report = load_report;
    BbH1Fields_Init(&fields);
    BbH1Fields_CopyEndToEnd(&fields, request->fields);
    add_call_header(client, request, &fields);
    bb_h1_exchange_options_t options = {
        .address = address,
        .method = request->method,
        .target = request->target,
        .fields = &fields,
        .content_length = forwarded_content_length(request),
        .max_idle_s = BB_HOP_CLIENT_IDLE_S,
        .handler = &exchange_handler,
        .arg = attempt,
    };
    attempt->exchange = BbH1_Start(client->http, &options);
    BbH1Fields_Free(&fields);
    send_body(attempt);
    ev_timer_init(&attempt->ack_timer, handle_ack_timer, ack_timeout(attempt),
                  0.0);
    attempt->ack_timer.data = attempt;
    ev_timer_start(client->options.loop, &attempt->ack_timer);
    return &attempt->base;
}

/* ---- create and free ---- */

bb_hop_client_t *
BbHopClient_New(const bb_hop_client_options_t *options)
{
    bb_hop_client_t *client = g_new0(bb_hop_client_t, 1);
    bb_h1_client_options_t http_options = {
        .loop = options->loop,
        .connect_timeout_s = CONNECT_TIMEOUT_S,
        .idle_timeout_s = BB_HOP_CLIENT_IDLE_S,
        .pacer = options->pacer,
    };

    client->options = *options;
    client->http = BbH1Client_New(&http_options);
    client->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    return client;
}

void
BbHopClient_Free(bb_hop_client_t *client)
{
    if (client != NULL) {
        BbH1Client_Free(client->http);
        g_hash_table_destroy(client->peers);
        g_free(client);
    }
}

bb_h1_client_t *
BbHopClient_GetHttpClient(bb_hop_client_t *client)
{
    return client->http;
}
