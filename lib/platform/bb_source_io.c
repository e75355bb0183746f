#include "bb_source_io.h"

#include <glib.h>
#include <string.h>

#include "bb_backoff.h"
#include "bb_counters.h"
#include "bb_error.h"
#include "bb_lease.h"
#include "bb_log.h"
#include "bb_reader.h"

struct bb_source {
    bb_source_options_t options; /* its strings are not copied */
    bb_lease_t *lease;
    bb_reader_t *reader;
    ev_timer timer;
    gboolean is_reading;
    gboolean is_unreachable; /* the last request got no usable response */

    int64_t next_peers_read_ms; /* INT64_MAX: no read is scheduled */
    int peer_failures;

    bb_release_t release_in_flight; /* names the content being fetched */
};

static int64_t
monotonic_ms(void)
{
    return g_get_monotonic_time() / 1000;
}

/* Logs when the platform stops or starts to answer, but not each request. */
static void
update_reachability(bb_source_t *source, int error)
{
    const char *url = BbPlatform_Url(source->options.platform);
    gboolean is_unreachable = error == BB_ERR_UNAVAILABLE ||
                              error == BB_ERR_UNKNOWN ||
                              error == BB_ERR_TIMEOUT;

    if (is_unreachable && !source->is_unreachable) {
        BbLog_Write(BB_LOG_WARNING,
                    "platform %s does not answer (%s), trying again", url,
                    BbError_Name(error));
    }
    else if (!is_unreachable && source->is_unreachable) {
        BbLog_Write(BB_LOG_NOTICE, "platform %s answers again", url);
    }
    source->is_unreachable = is_unreachable;
}

/* Sets the timer so that run() is called at due_ms, or stops it when due_ms is
 * INT64_MAX. */
static void
schedule(bb_source_t *source, int64_t due_ms)
{
    struct ev_loop *loop = source->options.loop;
    int64_t delay_ms = MAX(due_ms - monotonic_ms(), 0);

    ev_timer_stop(loop, &source->timer);
    if (due_ms == INT64_MAX) {
        return;
    }
    ev_now_update(loop);
    ev_timer_set(&source->timer, (double)delay_ms / 1000.0, 0.0);
    ev_timer_start(loop, &source->timer);
}

/* ---- peers ---- */

/* Fills in peer from a lease row. Returns FALSE for a malformed row; otherwise
 * the caller frees *data_centre. */
static gboolean
parse_peer(json_t *row, int64_t platform_ms, bb_source_peer_t *peer,
           char **data_centre)
{
    const char *key = json_string_value(json_object_get(row, "key"));
    json_t *value = json_object_get(row, "value");
    const char *slash = key != NULL ? strchr(key, '/') : NULL;

    peer->node_id = json_string_value(json_object_get(value, "holder"));
    peer->peer_address =
        json_string_value(json_object_get(value, "peer_address"));
    peer->is_current =
        json_integer_value(json_object_get(value, "expires_ms")) > platform_ms;
    if (slash == NULL || peer->node_id == NULL || peer->peer_address == NULL) {
        return FALSE;
    }
    *data_centre = g_strndup(key, (gsize)(slash - key));
    peer->data_centre = *data_centre;
    return TRUE;
}

static void
report_peers(bb_source_t *source, json_t *response)
{
    json_t *rows = json_object_get(response, "rows");
    int64_t platform_ms =
        json_integer_value(json_object_get(response, "now_ms"));
    GArray *peers = g_array_new(FALSE, TRUE, sizeof(bb_source_peer_t));
    GPtrArray *data_centres = g_ptr_array_new_with_free_func(g_free);
    size_t index;
    json_t *row;

    json_array_foreach (rows, index, row) {
        bb_source_peer_t peer;
        char *data_centre;
        if (parse_peer(row, platform_ms, &peer, &data_centre)) {
            g_ptr_array_add(data_centres, data_centre);
            g_array_append_val(peers, peer);
        }
    }
    if (source->options.on_peers != NULL) {
        source->options.on_peers((bb_source_peer_t *)(void *)peers->data,
                                 peers->len, source->options.arg);
    }
    g_array_free(peers, TRUE);
    g_ptr_array_free(data_centres, TRUE);
}

static void
handle_peers(int error, json_t *response, void *arg)
{
    bb_source_t *source = arg;

    update_reachability(source, error);
    if (error == 0) {
        source->peer_failures = 0;
        report_peers(source, response);
        return;
    }
    source->next_peers_read_ms =
        monotonic_ms() +
        BbBackoff_Next(&source->peer_failures, source->options.random);
    schedule(source, 0);
}

/* ---- lease ---- */

static void
handle_lease_rows(int error, json_t *response, void *arg)
{
    bb_source_t *source = arg;

    update_reachability(source, error);
    BbLease_HandleRows(source->lease, error, response, monotonic_ms());
    if (error == 0) {
        report_peers(source, response);
    }
    schedule(source, 0);
}

static void
handle_lease_commit(int error, json_t *response, void *arg)
{
    bb_source_t *source = arg;

    update_reachability(source, error);
    BbLease_HandleCommit(source->lease, error, response, monotonic_ms());
    schedule(source, 0);
}

static void
set_reading(bb_source_t *source, gboolean is_reading, int64_t now_ms)
{
    source->is_reading = is_reading;
    BbReader_SetActive(source->reader, is_reading, now_ms);
    if (source->lease != NULL) {
        BbLog_Write(BB_LOG_NOTICE, "reader lease %s, fence %" G_GINT64_FORMAT,
                    is_reading ? "taken" : "ended",
                    (gint64)BbLease_Fence(source->lease));
    }
}

/* Carries out the actions that are due. Returns the time of the next one. */
static int64_t
run_lease(bb_source_t *source, int64_t now_ms)
{
    bb_lease_action_t action;

    for (;;) {
        BbLease_Next(source->lease, now_ms, &action);
        switch (action.kind) {
        case BB_LEASE_WAIT:
            return action.wake_ms;
        case BB_LEASE_START_READING:
        case BB_LEASE_STOP_READING:
            set_reading(source, action.kind == BB_LEASE_START_READING, now_ms);
            break;
        case BB_LEASE_READ_ROWS:
            BbPlatform_ListRows(source->options.platform, "leases", NULL,
                                handle_lease_rows, source);
            break;
        case BB_LEASE_COMMIT:
            BbPlatform_Commit(source->options.platform, action.transaction,
                              handle_lease_commit, source);
            json_decref(action.transaction);
            break;
        }
    }
}

/* ---- reader ---- */

static void
handle_head(int error, json_t *response, void *arg)
{
    bb_source_t *source = arg;
    bb_release_t release;

    update_reachability(source, error);
    if (error == 0) {
        error =
            BbRelease_FromJson(json_object_get(response, "value"), &release);
    }
    BbReader_HandleHead(source->reader, error, error == 0 ? &release : NULL,
                        monotonic_ms());
    schedule(source, 0);
}

static void
handle_content(int error, const char *content, size_t size, void *arg)
{
    bb_source_t *source = arg;
    const bb_source_options_t *options = &source->options;

    update_reachability(source, error);
    if (error == 0) {
        options->on_release(&source->release_in_flight, content, size,
                            options->arg);
    }
    BbReader_HandleContent(source->reader, error,
                           options->get_version(options->arg), monotonic_ms());
    schedule(source, 0);
}

static void
fetch_content(bb_source_t *source, const bb_release_t *release)
{
    char *key = g_strconcat("configs/", release->digest, NULL);

    source->release_in_flight = *release;
    BbPlatform_GetObject(source->options.platform, key, handle_content,
                         source);
    g_free(key);
}

/* Carries out the actions that are due. Returns the time of the next one. */
static int64_t
run_reader(bb_source_t *source, int64_t now_ms)
{
    const bb_source_options_t *options = &source->options;
    bb_reader_action_t action;

    for (;;) {
        BbReader_Next(source->reader, options->get_version(options->arg),
                      now_ms, &action);
        switch (action.kind) {
        case BB_READER_WAIT:
            return action.wake_ms;
        case BB_READER_READ_HEAD:
            BbPlatform_GetRow(options->platform, "head", "config", handle_head,
                              source);
            break;
        case BB_READER_FETCH_CONTENT:
            fetch_content(source, action.release);
            break;
        }
    }
}

/* ---- source ---- */

static void
run(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    bb_source_t *source = timer->data;
    int64_t now_ms = monotonic_ms();
    int64_t wake_ms = INT64_MAX;

    if (now_ms >= source->next_peers_read_ms) {
        source->next_peers_read_ms = INT64_MAX;
        BbPlatform_ListRows(source->options.platform, "leases", NULL,
                            handle_peers, source);
    }
    if (source->lease != NULL) {
        wake_ms = run_lease(source, now_ms);
    }
    wake_ms = MIN(wake_ms, run_reader(source, now_ms));
    schedule(source, MIN(wake_ms, source->next_peers_read_ms));
}

static bb_lease_t *
new_lease(const bb_source_options_t *options)
{
    bb_lease_options_t lease_options = {
        .data_centre = options->data_centre,
        .node_id = options->node_id,
        .peer_address = options->peer_address,
        .random = options->random,
    };

    return BbLease_New(&lease_options);
}

bb_source_t *
BbSource_New(const bb_source_options_t *options)
{
    bb_source_t *source = g_new0(bb_source_t, 1);
    bb_reader_options_t reader_options = {
        .poll_ms = options->poll_ms,
        .delays_first_read = options->poll_all,
        .random = options->random,
    };
    int64_t now_ms = monotonic_ms();

    source->options = *options;
    source->reader = BbReader_New(&reader_options);
    source->lease = options->poll_all ? NULL : new_lease(options);
    ev_init(&source->timer, run);
    source->timer.data = source;
    source->next_peers_read_ms =
        now_ms + (int64_t)(BbRandom_Unit(options->random) *
                           (double)options->start_jitter_ms);
    if (options->poll_all) {
        set_reading(source, TRUE, now_ms);
    }
    schedule(source, 0);
    return source;
}

void
BbSource_Free(bb_source_t *source)
{
    if (source == NULL) {
        return;
    }
    ev_timer_stop(source->options.loop, &source->timer);
    BbLease_Free(source->lease);
    BbReader_Free(source->reader);
    g_free(source);
}

void
BbSource_SetCandidate(bb_source_t *source, int is_candidate)
{
    if (source->lease != NULL) {
        BbLease_SetCandidate(source->lease, is_candidate, monotonic_ms());
        BbReader_SetStandby(source->reader, is_candidate, monotonic_ms());
        schedule(source, 0);
    }
}

void
BbSource_ReadPeers(bb_source_t *source)
{
    source->next_peers_read_ms =
        MIN(source->next_peers_read_ms, monotonic_ms());
    schedule(source, 0);
}

int
BbSource_IsReading(const bb_source_t *source)
{
    return source->is_reading;
}
