#include "bb_follower.h"
#include "bb_clock.h"

#include "bb_error.h"
#include "bb_event.h"

/* Time for which the store may hold one feed call open (long polling). */
#define FEED_WAIT_S 10.0

struct bb_follower {
    bb_follower_options_t options;
    char *table;
    void *pending; /* handle of the call in progress */
    ev_timer retry_timer;
    double backoff_s;
    double backoff_first_s;
    double backoff_max_s;
    int64_t version;
    bool has_snapshot;
    bool is_connected;
    bool is_suspended;
    double lost_at;
    GHashTable *keys; /* keys received by the full read in progress */
    char *last_key;
};

static void read_page(bb_follower_t *follow);
static void poll_feed(bb_follower_t *follow);

static void
log_state(const bb_follower_t *follow, const char *state, int error)
{
    if (BbEvent_Allows(BB_EVENT_STORE)) {
        BbEvent_Write(
            BB_EVENT_STORE,
            json_pack("{s:s, s:s, s:s, s:f}", "table", follow->table, "state",
                      state, "error", error != 0 ? BbError_Name(error) : "",
                      "for_s",
                      follow->lost_at > 0
                          ? BbClock_Now(follow->options.loop) - follow->lost_at
                          : 0.0));
    }
}

static void
set_connected(bb_follower_t *follow, bool is_connected, int error)
{
    if (is_connected) {
        follow->backoff_s = 0;
    }
    if (follow->is_connected == is_connected) {
        return;
    }
    follow->is_connected = is_connected;
    if (!is_connected) {
        follow->lost_at = BbClock_Now(follow->options.loop);
    }
    log_state(follow, is_connected ? "regained" : "lost", error);
    follow->options.handler->on_health(is_connected, error,
                                       follow->options.arg);
}

static void
retry_later(bb_follower_t *follow, int error)
{
    set_connected(follow, false, error);
    follow->backoff_s = follow->backoff_s > 0
                            ? MIN(follow->backoff_s * 2, follow->backoff_max_s)
                            : follow->backoff_first_s;
    double delay_s =
        follow->backoff_s * (0.5 + BbRandom_Unit(follow->options.random));
    ev_timer_set(&follow->retry_timer, delay_s, 0.0);
    ev_timer_start(follow->options.loop, &follow->retry_timer);
}

static void
deliver_rows(bb_follower_t *follow, const bb_table_result_t *result)
{
    for (size_t i = 0; i < result->count; i++) {
        const bb_table_row_t *row = &result->rows[i];
        if (follow->keys != NULL) {
            g_hash_table_add(follow->keys, g_strdup(row->key));
        }
        follow->options.handler->on_row(row, follow->options.arg);
    }
}

/* ---- full read ---- */

static void
begin_full_read(bb_follower_t *follow)
{
    if (follow->keys != NULL) {
        g_hash_table_destroy(follow->keys);
    }
    follow->keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_clear_pointer(&follow->last_key, g_free);
    read_page(follow);
}

static void
handle_page(const bb_table_result_t *result, void *arg)
{
    bb_follower_t *follow = arg;
    const bb_follower_handler_t *handler = follow->options.handler;

    follow->pending = NULL;
    if (result->error != 0) {
        retry_later(follow, result->error);
        return;
    }
    deliver_rows(follow, result);
    if (result->has_more && result->count > 0) {
        g_free(follow->last_key);
        follow->last_key = g_strdup(result->rows[result->count - 1].key);
        read_page(follow);
        return;
    }
    /* The pages may belong to different versions; the feed repeats the changes
     * made while they were read. */
    follow->version = MAX(follow->version, result->version);
    follow->has_snapshot = true;
    if (handler->on_snapshot != NULL) {
        handler->on_snapshot(follow->keys, result->version,
                             follow->options.arg);
    }
    g_clear_pointer(&follow->keys, g_hash_table_destroy);
    set_connected(follow, true, 0);
    if (!follow->is_suspended) {
        poll_feed(follow);
    }
}

static void
read_page(bb_follower_t *follow)
{
    bb_table_store_t *store = follow->options.store;
    follow->pending = store->ops->read(store, follow->table, follow->last_key,
                                       handle_page, follow);
}

/* ---- feed ---- */

static void
handle_feed(const bb_table_result_t *result, void *arg)
{
    bb_follower_t *follow = arg;

    follow->pending = NULL;
    if (result->error == BB_ERR_STALE) {
        log_state(follow, "history_lost", result->error);
        begin_full_read(follow);
        return;
    }
    if (result->error != 0) {
        retry_later(follow, result->error);
        return;
    }
    deliver_rows(follow, result);
    follow->version = MAX(follow->version, result->version);
    set_connected(follow, true, 0);
    if (result->count == 0) {
        poll_feed(follow);
        return;
    }
    ev_timer_set(&follow->retry_timer, follow->options.pause_s, 0.0);
    ev_timer_start(follow->options.loop, &follow->retry_timer);
}

static void
poll_feed(bb_follower_t *follow)
{
    bb_table_store_t *store = follow->options.store;
    /* The first call after a failure does not wait for changes, so it shows at
     * once whether the store is reachable again. */
    double wait_s = follow->is_connected ? FEED_WAIT_S : 0.0;

    follow->pending = store->ops->feed(store, follow->table, follow->version,
                                       wait_s, handle_feed, follow);
}

static void
handle_retry(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    bb_follower_t *follow = timer->data;

    if (!follow->has_snapshot || follow->keys != NULL) {
        /* Also if suspension interrupted a full read. */
        begin_full_read(follow);
    }
    else {
        poll_feed(follow);
    }
}

/* ---- lifecycle ---- */

bb_follower_t *
BbFollower_New(const bb_follower_options_t *options)
{
    bb_follower_t *follow = g_new0(bb_follower_t, 1);

    follow->options = *options;
    BbFollower_SetBackoff(follow, BB_FOLLOWER_BACKOFF_FIRST_S,
                          BB_FOLLOWER_BACKOFF_MAX_S);
    follow->table = g_strdup(options->table);
    ev_init(&follow->retry_timer, handle_retry);
    follow->retry_timer.data = follow;
    follow->is_suspended = options->is_suspended;
    if (!follow->is_suspended) {
        ev_timer_set(&follow->retry_timer, options->start_delay_s, 0.0);
        ev_timer_start(options->loop, &follow->retry_timer);
    }
    return follow;
}

void
BbFollower_SetBackoff(bb_follower_t *follow, double first_s, double max_s)
{
    follow->backoff_first_s = first_s;
    follow->backoff_max_s = max_s;
}

static void
stop_pending(bb_follower_t *follow)
{
    bb_table_store_t *store = follow->options.store;

    ev_timer_stop(follow->options.loop, &follow->retry_timer);
    if (follow->pending != NULL) {
        store->ops->cancel(store, follow->pending);
        follow->pending = NULL;
    }
}

void
BbFollower_Free(bb_follower_t *follow)
{
    if (follow == NULL) {
        return;
    }
    stop_pending(follow);
    g_clear_pointer(&follow->keys, g_hash_table_destroy);
    g_free(follow->last_key);
    g_free(follow->table);
    g_free(follow);
}

void
BbFollower_Suspend(bb_follower_t *follow)
{
    stop_pending(follow);
    follow->is_suspended = true;
}

void
BbFollower_Resume(bb_follower_t *follow, double delay_s)
{
    if (!follow->is_suspended) {
        return;
    }
    follow->is_suspended = false;
    follow->is_connected = false; /* until a call succeeds */
    ev_timer_set(&follow->retry_timer, delay_s, 0.0);
    ev_timer_start(follow->options.loop, &follow->retry_timer);
}

bool
BbFollower_IsSuspended(const bb_follower_t *follow)
{
    return follow->is_suspended;
}

int64_t
BbFollower_Version(const bb_follower_t *follow)
{
    return follow->version;
}

bool
BbFollower_IsConnected(const bb_follower_t *follow)
{
    return follow->is_connected;
}
