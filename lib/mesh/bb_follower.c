#include "bb_follower.h"
#include "bb_clock.h"

#include "bb_error.h"
#include "bb_event.h"

/* Time for which the store may hold one feed call open (long polling), unless
 * the options say otherwise. */
#define DEFAULT_FEED_WAIT_S 10.0

struct bb_follower {
    bb_follower_options_t options;
    char *table;
    void *pending; /* handle of the call in progress */
    ev_timer next_call_timer;
    double backoff_s;
    double backoff_first_s;
    double backoff_max_s;
    bb_position_t position;
    bb_position_t read_position; /* of the first page of the full read */
    double called_at;   /* start of the feed call or full read in progress */
    double call_wait_s; /* wait of the feed call in progress */
    double current_at;
    bool has_snapshot;
    bool is_connected;
    bool is_suspended;
    bool is_check_requested; /* the next feed call does not wait */
    bool is_just_read;       /* the last call that succeeded was a full read */
    double lost_at;
    GHashTable *keys; /* keys received by the full read in progress */
    char *last_key;
};

static void read_page(bb_follower_t *follower);
static void poll_feed(bb_follower_t *follower);

/* result is the response that led to this state; NULL if there was none. */
static void
log_state(const bb_follower_t *follower, const char *state, int error,
          const bb_table_result_t *result)
{
    if (!BbEvent_Allows(BB_EVENT_STORE)) {
        return;
    }
    bb_position_t position = follower->position;
    json_t *fields = json_pack(
        "{s:s, s:s, s:s, s:f, s:I, s:I}", "table", follower->table, "state",
        state, "error", error != 0 ? BbError_Name(error) : "", "for_s",
        follower->lost_at > 0
            ? BbClock_Now(follower->options.loop) - follower->lost_at
            : 0.0,
        "generation", (json_int_t)BbPosition_Generation(position), "version",
        (json_int_t)BbPosition_Version(position));
    if (result != NULL) {
        json_object_set_new(
            fields, "store_generation",
            json_integer(BbPosition_Generation(result->position)));
        json_object_set_new(
            fields, "store_version",
            json_integer(BbPosition_Version(result->position)));
        json_object_set_new(fields, "rows",
                            json_integer((json_int_t)result->count));
    }
    BbEvent_Write(BB_EVENT_STORE, fields);
}

static void
set_connected(bb_follower_t *follower, bool is_connected, int error,
              const bb_table_result_t *result)
{
    if (is_connected) {
        follower->backoff_s = 0;
    }
    if (follower->is_connected == is_connected) {
        return;
    }
    follower->is_connected = is_connected;
    if (!is_connected) {
        follower->lost_at = BbClock_Now(follower->options.loop);
    }
    log_state(follower, is_connected ? "regained" : "lost", error, result);
    follower->options.handler->on_health(is_connected, error,
                                         follower->options.arg);
}

/* The store may have prepared a response at any time since the call. Only one
 * without changes that came after the whole wait was prepared at the end of
 * the wait. */
static double
proven_at(const bb_follower_t *follower, bool is_unchanged)
{
    double wait_end_at = follower->called_at + follower->call_wait_s;
    bool has_waited =
        is_unchanged && BbClock_Now(follower->options.loop) >= wait_end_at;

    return has_waited ? wait_end_at : follower->called_at;
}

static void
report_confirmed(bb_follower_t *follower, const bb_table_result_t *result,
                 bool is_unchanged)
{
    const bb_follower_handler_t *handler = follower->options.handler;

    follower->current_at = proven_at(follower, is_unchanged);
    if (handler->on_confirmed != NULL) {
        handler->on_confirmed(follower->options.arg);
    }
    set_connected(follower, true, 0, result);
}

static void
call_after_backoff(bb_follower_t *follower)
{
    follower->backoff_s =
        follower->backoff_s > 0
            ? MIN(follower->backoff_s * 2, follower->backoff_max_s)
            : follower->backoff_first_s;
    double delay_s =
        follower->backoff_s * (0.5 + BbRandom_Unit(follower->options.random));
    ev_timer_set(&follower->next_call_timer, delay_s, 0.0);
    ev_timer_start(follower->options.loop, &follower->next_call_timer);
}

static void
retry_later(bb_follower_t *follower, int error)
{
    set_connected(follower, false, error, NULL);
    call_after_backoff(follower);
}

static void
deliver_rows(bb_follower_t *follower, const bb_table_result_t *result)
{
    for (size_t i = 0; i < result->count; i++) {
        const bb_table_row_t *row = &result->rows[i];
        if (follower->keys != NULL) {
            g_hash_table_add(follower->keys, g_strdup(row->key));
        }
        follower->options.handler->on_row(row, follower->options.arg);
    }
}

/* ---- full read ---- */

static void
begin_full_read(bb_follower_t *follower)
{
    if (follower->keys != NULL) {
        g_hash_table_destroy(follower->keys);
    }
    follower->keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_clear_pointer(&follower->last_key, g_free);
    follower->called_at = BbClock_Now(follower->options.loop);
    read_page(follower);
}

static void
handle_page(const bb_table_result_t *result, void *arg)
{
    bb_follower_t *follower = arg;
    const bb_follower_handler_t *handler = follower->options.handler;

    follower->pending = NULL;
    if (result->error != 0) {
        retry_later(follower, result->error);
        return;
    }
    if (follower->last_key == NULL) {
        follower->read_position = result->position;
    }
    else if (BbPosition_IsRestored(result->position,
                                   follower->read_position)) {
        begin_full_read(follower);
        return;
    }
    deliver_rows(follower, result);
    if (result->has_more && result->count > 0) {
        g_free(follower->last_key);
        follower->last_key = g_strdup(result->rows[result->count - 1].key);
        read_page(follower);
        return;
    }
    /* The feed repeats the changes made while the pages were read. */
    follower->position = follower->read_position;
    follower->has_snapshot = true;
    follower->is_just_read = true;
    if (handler->on_snapshot != NULL) {
        handler->on_snapshot(follower->keys, follower->position,
                             follower->options.arg);
    }
    g_clear_pointer(&follower->keys, g_hash_table_destroy);
    report_confirmed(follower, result, false);
    if (!follower->is_suspended) {
        poll_feed(follower);
    }
}

static void
read_page(bb_follower_t *follower)
{
    bb_table_store_t *store = follower->options.store;
    follower->pending = store->ops->read(
        store, follower->table, follower->last_key, handle_page, follower);
}

/* ---- feed ---- */

/* The store does not have the changes since the last position. */
static void
handle_lost_history(bb_follower_t *follower)
{
    log_state(follower, "history_lost", BB_ERR_STALE, NULL);
    if (!follower->is_just_read) {
        begin_full_read(follower);
        return;
    }
    follower->has_snapshot = false; /* the next call is a full read */
    call_after_backoff(follower);
}

static void
handle_feed(const bb_table_result_t *result, void *arg)
{
    bb_follower_t *follower = arg;

    follower->pending = NULL;
    if (result->error == BB_ERR_STALE) {
        handle_lost_history(follower);
        return;
    }
    if (result->error != 0) {
        retry_later(follower, result->error);
        return;
    }
    if (BbPosition_IsRestored(result->position, follower->position)) {
        log_state(follower, "restored", 0, result);
        begin_full_read(follower);
        return;
    }
    deliver_rows(follower, result);
    follower->position = MAX(follower->position, result->position);
    follower->is_just_read = false;
    report_confirmed(follower, result, result->count == 0);
    if (result->count == 0) {
        poll_feed(follower);
        return;
    }
    ev_timer_set(&follower->next_call_timer, follower->options.pause_s, 0.0);
    ev_timer_start(follower->options.loop, &follower->next_call_timer);
}

static void
poll_feed(bb_follower_t *follower)
{
    bb_table_store_t *store = follower->options.store;
    /* The first call after a failure does not wait for changes, so it shows at
     * once whether the store is reachable again. */
    bool is_check = follower->is_check_requested || !follower->is_connected;
    double wait_s = is_check ? 0.0 : follower->options.feed_wait_s;

    follower->is_check_requested = false;
    follower->called_at = BbClock_Now(follower->options.loop);
    follower->call_wait_s = wait_s;
    follower->pending =
        store->ops->feed(store, follower->table, follower->position, wait_s,
                         handle_feed, follower);
}

static void
start_next_call(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    bb_follower_t *follower = timer->data;

    if (!follower->has_snapshot || follower->keys != NULL) {
        /* No full read is complete, or a suspension interrupted one. */
        begin_full_read(follower);
    }
    else {
        poll_feed(follower);
    }
}

/* ---- lifecycle ---- */

bb_follower_t *
BbFollower_New(const bb_follower_options_t *options)
{
    bb_follower_t *follower = g_new0(bb_follower_t, 1);

    follower->options = *options;
    if (options->feed_wait_s <= 0) {
        follower->options.feed_wait_s = DEFAULT_FEED_WAIT_S;
    }
    BbFollower_SetBackoff(follower, BB_FOLLOWER_BACKOFF_FIRST_S,
                          BB_FOLLOWER_BACKOFF_MAX_S);
    follower->table = g_strdup(options->table);
    ev_init(&follower->next_call_timer, start_next_call);
    follower->next_call_timer.data = follower;
    follower->is_suspended = options->is_suspended;
    if (!follower->is_suspended) {
        ev_timer_set(&follower->next_call_timer, options->start_delay_s, 0.0);
        ev_timer_start(options->loop, &follower->next_call_timer);
    }
    return follower;
}

void
BbFollower_SetBackoff(bb_follower_t *follower, double first_s, double max_s)
{
    follower->backoff_first_s = first_s;
    follower->backoff_max_s = max_s;
}

static void
stop_pending(bb_follower_t *follower)
{
    bb_table_store_t *store = follower->options.store;

    ev_timer_stop(follower->options.loop, &follower->next_call_timer);
    if (follower->pending != NULL) {
        store->ops->cancel(store, follower->pending);
        follower->pending = NULL;
    }
}

void
BbFollower_Free(bb_follower_t *follower)
{
    if (follower == NULL) {
        return;
    }
    stop_pending(follower);
    g_clear_pointer(&follower->keys, g_hash_table_destroy);
    g_free(follower->last_key);
    g_free(follower->table);
    g_free(follower);
}

void
BbFollower_Suspend(bb_follower_t *follower)
{
    stop_pending(follower);
    follower->is_suspended = true;
}

void
BbFollower_Resume(bb_follower_t *follower, double delay_s)
{
    if (!follower->is_suspended) {
        return;
    }
    follower->is_suspended = false;
    follower->is_just_read = false;
    follower->is_connected = false; /* until a call succeeds */
    ev_timer_set(&follower->next_call_timer, delay_s, 0.0);
    ev_timer_start(follower->options.loop, &follower->next_call_timer);
}

void
BbFollower_Check(bb_follower_t *follower)
{
    if (follower->is_suspended || !follower->has_snapshot ||
        follower->keys != NULL) {
        return; /* a full read is under way or due */
    }
    follower->is_check_requested = true;
    if (follower->pending != NULL) {
        stop_pending(follower);
        poll_feed(follower);
    }
}

bool
BbFollower_IsSuspended(const bb_follower_t *follower)
{
    return follower->is_suspended;
}

bb_position_t
BbFollower_Position(const bb_follower_t *follower)
{
    return follower->position;
}

double
BbFollower_CurrentAt(const bb_follower_t *follower)
{
    return follower->current_at;
}

bool
BbFollower_IsConnected(const bb_follower_t *follower)
{
    return follower->is_connected;
}
