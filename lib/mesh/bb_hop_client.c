#include "bb_hop_client.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "bb_clock.h"
#include "bb_hop.h"

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

struct bb_hop_client {
    bb_hop_client_options_t options;
    bb_h1_client_t *http;
    GHashTable *peers; /* address to hop_peer_t */
};

/* What is known of one other node. */
typedef struct {
    char *address;
    double heard_at; /* last byte from it */
    struct hop_attempt *attempts;
} hop_peer_t;

typedef struct hop_attempt {
    bb_attempt_t base; /* first */
    bb_hop_client_t *hop;
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
find_peer(bb_hop_client_t *hop, const char *address)
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
    const bb_hop_client_options_t *options = &attempt->hop->options;
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
    if (status == BB_HOP_SEND_BODY) {
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
    BbH1Fields_Init(&passed);
    BbAttempt_CopyFields(&passed, fields);
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
report_waiting(bb_hop_client_t *hop, hop_peer_t *peer, double silent_since)
{
    hop_attempt_t *attempt, *next;

    BbH1Client_CloseIdle(hop->http, peer->address);
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
    bb_hop_client_t *hop = attempt->hop;
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

static void
client_pause(bb_attempt_t *base, bool is_paused)
{
    BbH1_PauseResponse(((hop_attempt_t *)base)->exchange, is_paused);
}

static const bb_attempt_ops_t client_ops = {
    .body_grew = client_body_grew,
    .cancel = client_cancel,
    .pause = client_pause,
};

static void
add_hop_field(const bb_hop_client_t *hop, const bb_attempt_request_t *request,
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
BbHopClient_Start(bb_hop_client_t *hop, const char *address,
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
        .max_idle_s = BB_HOP_CLIENT_IDLE_S,
        .handler = &client_handler,
        .arg = attempt,
    };
    attempt->exchange = BbH1_Start(hop->http, &options);
    BbH1Fields_Free(&fields);
    feed_body(attempt);
    ev_timer_init(&attempt->ack_timer, handle_ack_timer, ack_time(attempt),
                  0.0);
    attempt->ack_timer.data = attempt;
    ev_timer_start(hop->options.loop, &attempt->ack_timer);
    return &attempt->base;
}

/* ---- life ---- */

bb_hop_client_t *
BbHopClient_New(const bb_hop_client_options_t *options)
{
    bb_hop_client_t *hop = g_new0(bb_hop_client_t, 1);
    bb_h1_client_options_t http_options = {
        .loop = options->loop,
        .connect_s = CONNECT_S,
        .keep_s = BB_HOP_CLIENT_IDLE_S,
    };

    hop->options = *options;
    hop->http = BbH1Client_New(&http_options);
    hop->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    return hop;
}

void
BbHopClient_Free(bb_hop_client_t *hop)
{
    if (hop != NULL) {
        BbH1Client_Free(hop->http);
        g_hash_table_destroy(hop->peers);
        g_free(hop);
    }
}

bb_h1_client_t *
BbHopClient_Http(bb_hop_client_t *hop)
{
    return hop->http;
}
