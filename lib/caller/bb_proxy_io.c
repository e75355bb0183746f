#include <utlist.h>

#include "bb_counters.h"
#include "bb_error.h"
#include "bb_exchange.h"

/* Interval of the checks of all exchanges, see BbExchange_Sweep(). */
#define SWEEP_INTERVAL_S 0.05
#define MIN_BUFFER_BYTES (64 * 1024)
#define DEFAULT_HEADER_BYTES (16 * 1024)
#define DEFAULT_BODY_BYTES (4LL * 1024 * 1024 * 1024)
#define DEFAULT_CONNECTIONS 4096
#define DEFAULT_CALLS 2048
#define DEFAULT_STALL_MS 5000
/* Longer than MAX_IDLE_S of bb_upstream_io, so that an idle connection between
 * nodes is closed by the side that would send the next request on it. */
#define CONNECTION_TIMEOUT_S 60

int64_t
BbProxy_Now(void)
{
    return g_get_monotonic_time() / 1000;
}

/* ---- queue ---- */

void
BbProxy_ArmQueueTimer(bb_proxy_t *proxy)
{
    struct ev_loop *loop = proxy->options.loop;
    int64_t now_ms = BbProxy_Now();
    int64_t next_ms = BbAdmission_NextEvent(proxy->options.admission, now_ms);

    ev_timer_stop(loop, &proxy->queue_timer);
    if (next_ms >= 0 && !proxy->is_stopping) {
        ev_timer_set(&proxy->queue_timer,
                     (double)MAX(next_ms - now_ms, 1) / 1000.0, 0.0);
        ev_timer_start(loop, &proxy->queue_timer);
    }
}

void
BbProxy_ProcessQueue(bb_proxy_t *proxy)
{
    bb_ticket_t *ticket;

    while (!proxy->is_stopping &&
           (ticket = BbAdmission_Next(proxy->options.admission,
                                      BbProxy_Now())) != NULL) {
        BbTargetSide_OnTicket(ticket->arg);
    }
    BbProxy_ArmQueueTimer(proxy);
}

void
BbProxy_OnTargetChanged(bb_proxy_t *proxy)
{
    BbProxy_ProcessQueue(proxy);
}

static void
handle_queue_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
    (void)loop;
    (void)revents;
    BbProxy_ProcessQueue(timer->data);
}

/* ---- exchanges ---- */

static void
handle_sweep(struct ev_loop *loop, ev_timer *timer, int revents)
{
    (void)loop;
    (void)revents;
    bb_proxy_t *proxy = timer->data;
    bb_exchange_t *exchange, *next;
    int64_t now_ms = BbProxy_Now();

    DL_FOREACH_SAFE (proxy->exchanges, exchange, next) {
        BbExchange_Sweep(exchange, now_ms);
    }
}

void
BbProxy_AddExchange(bb_proxy_t *proxy, bb_exchange_t *exchange)
{
    DL_APPEND(proxy->exchanges, exchange);
    proxy->exchange_count++;
    if (!ev_is_active(&proxy->sweep_timer)) {
        ev_timer_again(proxy->options.loop, &proxy->sweep_timer);
    }
}

static void
end_drain(bb_proxy_t *proxy)
{
    void (*done)(void *arg) = proxy->drain_done;

    ev_timer_stop(proxy->options.loop, &proxy->drain_timer);
    proxy->drain_done = NULL;
    BbMhd_StopAccepting(proxy->mhd);
    if (done != NULL) {
        done(proxy->drain_arg);
    }
}

/* Called after drain_ms, and by check_drained() when no call is in flight. */
static void
handle_drain_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
    (void)loop;
    (void)revents;
    bb_proxy_t *proxy = timer->data;

    if (proxy->exchange_count > 0) {
        BbCounters_Add(BB_COUNTER_DRAIN_CUT, proxy->exchange_count);
    }
    end_drain(proxy);
}

static void
check_drained(bb_proxy_t *proxy)
{
    if (proxy->is_draining && proxy->exchange_count == 0 &&
        proxy->drain_done != NULL) {
        /* Deferred to the event loop, because done() may free the proxy while
         * functions of the call stack still use it. */
        ev_feed_event(proxy->options.loop, &proxy->drain_timer, EV_TIMER);
    }
}

void
BbProxy_RemoveExchange(bb_proxy_t *proxy, bb_exchange_t *exchange)
{
    DL_DELETE(proxy->exchanges, exchange);
    proxy->exchange_count--;
    if (proxy->exchange_count == 0) {
        ev_timer_stop(proxy->options.loop, &proxy->sweep_timer);
        check_drained(proxy);
    }
}

/* ---- start, drain and end ---- */

static void
set_defaults(bb_proxy_options_t *options)
{
    if (options->buffer_bytes == 0) {
        options->buffer_bytes = BB_PROXY_BUFFER_BYTES;
    }
    /* libcurl delivers up to 16 KiB at once; the buffer has to hold at least
     * two such blocks. */
    options->buffer_bytes = MAX(options->buffer_bytes, MIN_BUFFER_BYTES);
    if (options->max_header_bytes == 0) {
        options->max_header_bytes = DEFAULT_HEADER_BYTES;
    }
    if (options->max_body_bytes == 0) {
        options->max_body_bytes = DEFAULT_BODY_BYTES;
    }
    if (options->max_connections == 0) {
        options->max_connections = DEFAULT_CONNECTIONS;
    }
    if (options->max_calls == 0) {
        options->max_calls = DEFAULT_CALLS;
    }
    if (options->stall_ms == 0) {
        options->stall_ms = DEFAULT_STALL_MS;
    }
}

static int
start_server(bb_proxy_t *proxy)
{
    bb_mhd_options_t options = {
        .loop = proxy->options.loop,
        .address = proxy->address,
        .handler = BbExchange_OnAccess,
        .handler_arg = proxy,
        .completed = BbExchange_OnCompleted,
        .completed_arg = proxy,
        .raw_uri = BbExchange_OnUri,
        .raw_uri_arg = proxy,
        .connection_timeout_s = CONNECTION_TIMEOUT_S,
        .max_connections = proxy->options.max_connections,
        /* One half for the request head, the other for the body buffer or the
         * response head. */
        .memory_per_connection = proxy->options.max_header_bytes * 2,
    };
    return BbMhd_Start(&proxy->mhd, &options);
}

int
BbProxy_New(const bb_proxy_options_t *options, bb_proxy_t **out)
{
    bb_proxy_t *proxy = g_new0(bb_proxy_t, 1);

    proxy->options = *options;
    proxy->address = g_strdup(options->address);
    set_defaults(&proxy->options);
    int error = start_server(proxy);
    if (error != 0) {
        g_free(proxy->address);
        g_free(proxy);
        return error;
    }
    proxy->upstreams = BbUpstream_NewPool(options->curl);
    proxy->budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    ev_timer_init(&proxy->sweep_timer, handle_sweep, SWEEP_INTERVAL_S,
                  SWEEP_INTERVAL_S);
    ev_init(&proxy->queue_timer, handle_queue_timer);
    ev_init(&proxy->drain_timer, handle_drain_timer);
    proxy->sweep_timer.data = proxy;
    proxy->queue_timer.data = proxy;
    proxy->drain_timer.data = proxy;
    *out = proxy;
    return 0;
}

void
BbProxy_Drain(bb_proxy_t *proxy, void (*done)(void *arg), void *arg)
{
    proxy->is_draining = true;
    proxy->drain_done = done;
    proxy->drain_arg = arg;
    BbAdmission_Drain(proxy->options.admission);
    BbProxy_ProcessQueue(proxy);
    ev_timer_set(&proxy->drain_timer, (double)proxy->options.drain_ms / 1000.0,
                 0.0);
    ev_timer_start(proxy->options.loop, &proxy->drain_timer);
    check_drained(proxy);
}

int
BbProxy_InFlightCount(const bb_proxy_t *proxy)
{
    return proxy->exchange_count;
}

json_t *
BbProxy_StatusJson(const bb_proxy_t *proxy)
{
    const bb_exchange_t *exchange;
    int hops = 0, receiving = 0, passing = 0;

    DL_FOREACH (proxy->exchanges, exchange) {
        hops += exchange->is_hop;
        receiving += !exchange->upload_ended;
        passing += exchange->is_forwarding;
    }
    return json_pack("{s:b,s:i,s:i,s:i,s:i,s:i,s:I,s:I}", "draining",
                     proxy->is_draining, "calls_in_flight",
                     proxy->exchange_count - hops, "hops_in_flight", hops,
                     "receiving", receiving, "passing", passing, "connections",
                     (int)BbMhd_ConnectionCount(proxy->mhd), "calls",
                     (json_int_t)BbCounters_Get(BB_COUNTER_CALLS), "hops",
                     (json_int_t)BbCounters_Get(BB_COUNTER_HOPS));
}

void
BbProxy_Free(bb_proxy_t *proxy)
{
    bb_exchange_t *exchange, *next;

    if (proxy == NULL) {
        return;
    }
    proxy->is_stopping = true;
    DL_FOREACH_SAFE (proxy->exchanges, exchange, next) {
        BbAttempt_Cancel(exchange);
        BbExchange_Close(exchange);
    }
    BbMhd_Free(proxy->mhd);
    DL_FOREACH_SAFE (proxy->exchanges, exchange, next) {
        BbExchange_Free(exchange);
    }
    ev_timer_stop(proxy->options.loop, &proxy->sweep_timer);
    ev_timer_stop(proxy->options.loop, &proxy->queue_timer);
    ev_timer_stop(proxy->options.loop, &proxy->drain_timer);
    BbUpstream_FreePool(proxy->upstreams);
    g_hash_table_destroy(proxy->budgets);
    g_free(proxy->address);
    g_free(proxy);
}
