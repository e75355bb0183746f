#include "sidecar.h"

#include <signal.h>
#include <string.h>
#include <sys/stat.h>

#include "bb_call_io.h"
#include "bb_counters.h"
#include "bb_error.h"
#include "bb_event.h"
#include "bb_follow.h"
#include "bb_histogram.h"
#include "bb_hop_io.h"
#include "bb_local_target.h"
#include "bb_news_client.h"
#include "bb_news_server.h"
#include "bb_readers.h"
#include "bb_row_writer.h"
#include "platform.h"

/* The settings file is looked at this often, for changes without SIGHUP. */
#define SETTINGS_CHECK_S 1.0

/* Pauses after news from the store, so that changes in quick succession are
 * read by one call. */
#define CONFIG_PAUSE_S 0.3
#define NODES_PAUSE_S 1.0

/* The role of a reader is worked out again this often. */
#define ROLE_CHECK_S 0.5

/* After SIGTERM callers need two failed readiness checks, a second apart,
 * before they stop to send. */
#define LEAVE_MIN_S 2.3

/* Without a new call for this long the callers are taken to be gone. */
#define QUIET_S 0.6

/* From then on new calls are refused as not run, for callers that the
 * platform does not move: the sooner this process ends, the sooner the next
 * one serves them. */
#define REFUSE_AFTER_S 2.6
#define LEAVE_CHECK_S 0.05

/* Open calls are answered this long before the platform would kill the
 * process, and the answers get a moment to leave. */
#define LEAVE_MARGIN_S 0.3
#define LAST_ANSWERS_S 0.1

struct sidecar {
    struct ev_loop *loop;
    const bb_sidecar_settings_t *settings;
    const char *path;
    struct timespec settings_changed_at;
    bb_random_t *random;
    bb_fleet_t *fleet;
    bb_mesh_config_t *config;
    bb_local_target_t *target;
    bb_target_io_t *target_io;
    bb_hop_io_t *hop;
    bb_call_io_t *call_io;
    bb_repeat_budget_t *budget;
    bb_table_store_t *store;
    bb_follow_t *config_follow;
    bb_follow_t *node_follow;
    bb_row_writer_t *record;
    bb_versions_t *versions;
    bb_news_server_t *news_server;
    bb_news_client_t *news_client;
    int64_t told_revision; /* of node records, by other nodes */
    bool is_reader;
    bb_h1_server_t *admin;
    bb_h1_server_t *metrics;
    bb_h1_server_t *announcements;
    ev_signal term_signal;
    ev_signal interrupt_signal;
    ev_signal hangup_signal;
    ev_timer settings_timer;
    ev_timer role_timer;
    ev_timer leave_timer;
    int64_t started_ms;
    double leaving_since; /* 0 before SIGTERM */
};

/* ---- own record ---- */

static bool
takes_calls(const sidecar_t *sidecar)
{
    return BbLocalTarget_State(sidecar->target) == BB_LOCAL_READY &&
           sidecar->leaving_since <= 0;
}

static void
publish_record(sidecar_t *sidecar)
{
    const bb_sidecar_settings_t *settings = sidecar->settings;
    const bb_node_record_t record = {
        .address = settings->forward_address,
        .data_centre = settings->data_centre,
        .service = settings->service,
        .target_id = (char *)BbLocalTarget_Id(sidecar->target),
        .slots = BbLocalTarget_Slots(sidecar->target),
        .is_ready = takes_calls(sidecar),
        .link_mbps = (int)sidecar->settings->link_mbps,
        .started_ms = sidecar->started_ms,
    };

    BbFleet_SetOwn(sidecar->fleet, &record, ev_now(sidecar->loop));
    if (sidecar->leaving_since > 0) {
        BbRowWriter_Set(sidecar->record, NULL);
        return;
    }
    char *text = BbNodeRecord_Format(&record);
    BbRowWriter_Set(sidecar->record, text);
    g_free(text);
}

static void
target_changed(sidecar_t *sidecar, const char *reason)
{
    if (BbEvent_Allows(BB_EVENT_TARGET)) {
        BbEvent_Write(
            BB_EVENT_TARGET,
            json_pack("{s:s, s:s, s:i, s:s}", "target",
                      BbLocalTarget_Id(sidecar->target), "state",
                      BbLocalState_Name(BbLocalTarget_State(sidecar->target)),
                      "slots", BbLocalTarget_Slots(sidecar->target), "reason",
                      reason));
    }
    BbTargetIo_TargetChanged(sidecar->target_io);
    publish_record(sidecar);
}

/* ---- configuration ---- */

static void
take_config(const char *text, size_t size, const char *source, void *arg)
{
    sidecar_t *sidecar = arg;
    bb_findings_t findings;
    bb_mesh_config_t *config = NULL;
    int64_t previous =
        sidecar->config != NULL ? BbMeshConfig_Version(sidecar->config) : 0;

    BbFindings_Init(&findings);
    int error = Platform_DecodeConfig(text, size, &findings, &config);
    if (error != 0) {
        if (BbEvent_Allows(BB_EVENT_CONFIG_REFUSED)) {
            BbEvent_Write(
                BB_EVENT_CONFIG_REFUSED,
                json_pack("{s:s, s:i, s:s}", "error", BbError_Name(error),
                          "findings", (int)findings.count, "first",
                          findings.count > 0 ? findings.items[0].message
                                             : ""));
        }
        BbFindings_Free(&findings);
        return;
    }
    BbFindings_Free(&findings);
    if (BbMeshConfig_Version(config) <= previous) {
        BbMeshConfig_Unref(config); /* never back to an older version */
        return;
    }
    BbMeshConfig_ShuffleSplits(config, sidecar->random);
    BbMeshConfig_Unref(sidecar->config);
    sidecar->config = config;
    BbCallIo_SetConfig(sidecar->call_io, config);
    BbVersions_Add(sidecar->versions, BbMeshConfig_Version(config), text,
                   size);
    BbNewsServer_Changed(sidecar->news_server);
    if (BbEvent_Allows(BB_EVENT_CONFIG)) {
        BbEvent_Write(BB_EVENT_CONFIG,
                      json_pack("{s:I, s:I, s:i, s:s}", "version",
                                (json_int_t)BbMeshConfig_Version(config),
                                "previous", (json_int_t)previous, "routes",
                                (int)BbMeshConfig_RouteCount(config), "source",
                                source));
    }
}

static void
config_row(const bb_table_row_t *row, void *arg)
{
    if (strcmp(row->key, PLATFORM_CONFIG_KEY) == 0 && !row->is_removed) {
        take_config(row->value, row->size, "store", arg);
    }
}

/* Health is asked for where it matters; see is_connected(). */
static void
ignore_health(bool is_connected, int error, void *arg)
{
    (void)is_connected;
    (void)error;
    (void)arg;
}

static const bb_follow_handler_t config_handler = {
    .on_row = config_row,
    .on_health = ignore_health,
};

/* ---- other nodes ---- */

static void
log_node(const char *node, const bb_node_record_t *record, int64_t revision)
{
    const char *state = record == NULL     ? "removed"
                        : record->is_ready ? "ready"
                                           : "not_ready";

    if (BbEvent_Allows(BB_EVENT_NODE)) {
        BbEvent_Write(BB_EVENT_NODE,
                      json_pack("{s:s, s:s, s:s, s:I}", "peer", node,
                                "service",
                                record != NULL ? record->service : "", "state",
                                state, "revision", (json_int_t)revision));
    }
}

static void
take_node(const char *node, const char *text, size_t size, int64_t revision,
          void *arg)
{
    sidecar_t *sidecar = arg;
    bb_node_record_t record;
    bool is_readable =
        text != NULL && BbNodeRecord_Parse(text, size, &record) == 0;

    if (text != NULL && !is_readable) {
        return; /* of another writer or a later release */
    }
    if (BbFleet_Merge(sidecar->fleet, node, is_readable ? &record : NULL,
                      revision, ev_now(sidecar->loop))) {
        log_node(node, is_readable ? &record : NULL, revision);
        BbRepeatBudget_SetNodes(sidecar->budget,
                                (int)BbFleet_NodeCount(sidecar->fleet));
    }
    if (is_readable) {
        BbNodeRecord_Clear(&record);
    }
}

static void
node_row(const bb_table_row_t *row, void *arg)
{
    sidecar_t *sidecar = arg;

    if (strcmp(row->key, sidecar->settings->name) == 0) {
        BbRowWriter_Observe(sidecar->record, row->version, row->is_removed);
    }
    take_node(row->key, row->is_removed ? NULL : row->value, row->size,
              row->version, sidecar);
}

static void
node_snapshot(GHashTable *keys, int64_t version, void *arg)
{
    sidecar_t *sidecar = arg;
    BbFleet_KeepOnly(sidecar->fleet, keys, version);
    BbNewsServer_Changed(sidecar->news_server);
}

static const bb_follow_handler_t node_handler = {
    .on_row = node_row,
    .on_snapshot = node_snapshot,
    .on_health = ignore_health,
};

static int64_t
own_version(void *arg)
{
    const sidecar_t *sidecar = arg;
    return sidecar->config != NULL ? BbMeshConfig_Version(sidecar->config) : 0;
}

/* ---- news of other nodes ---- */

static void
version_heard(int64_t version, const char *address, void *arg)
{
    sidecar_t *sidecar = arg;
    BbNewsClient_Hint(sidecar->news_client, version, address);
}

static void
node_query(bb_h1_request_t *request, void *arg)
{
    sidecar_t *sidecar = arg;

    if (g_str_has_prefix(request->target->str, BB_NEWS_PATH)) {
        BbNewsServer_Ask(sidecar->news_server, request);
    }
    else {
        BbH1_Respond(request, 404, NULL, NULL, 0);
    }
}

static void
node_query_gone(bb_h1_request_t *request, void *arg)
{
    sidecar_t *sidecar = arg;
    BbNewsServer_Gone(sidecar->news_server, request);
}

static int64_t
known_revision(void *arg)
{
    const sidecar_t *sidecar = arg;
    int64_t read = BbFollow_Version(sidecar->node_follow);

    return MAX(read, sidecar->told_revision);
}

static void
revision_told(int64_t revision, void *arg)
{
    sidecar_t *sidecar = arg;
    sidecar->told_revision = MAX(sidecar->told_revision, revision);
}

static bool
is_connected(void *arg)
{
    const sidecar_t *sidecar = arg;

    return !BbFollow_IsSuspended(sidecar->config_follow) &&
           BbFollow_IsConnected(sidecar->config_follow) &&
           BbFollow_IsConnected(sidecar->node_follow);
}

static void
set_reading(sidecar_t *sidecar, bool is_reading)
{
    if (is_reading == !BbFollow_IsSuspended(sidecar->config_follow)) {
        return;
    }
    if (is_reading) {
        BbFollow_Resume(sidecar->config_follow);
        BbFollow_Resume(sidecar->node_follow);
    }
    else {
        BbFollow_Suspend(sidecar->config_follow);
        BbFollow_Suspend(sidecar->node_follow);
    }
}

static void
handle_fed(bool is_fed, void *arg)
{
    sidecar_t *sidecar = arg;
    set_reading(sidecar, sidecar->is_reader || !is_fed);
}

static void
check_role(sidecar_t *sidecar)
{
    bool is_reader = BbReaders_IsOwn(sidecar->fleet, sidecar->settings->name);

    if (is_reader == sidecar->is_reader) {
        return;
    }
    sidecar->is_reader = is_reader;
    BbNewsClient_SetActive(sidecar->news_client, !is_reader);
    if (is_reader) {
        set_reading(sidecar, true);
    }
}

static void
handle_role_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    sidecar_t *sidecar = timer->data;
    bool is_reading = !BbFollow_IsSuspended(sidecar->config_follow);

    check_role(sidecar);
    BbNewsClient_SetStoreLost(sidecar->news_client,
                              is_reading && !is_connected(sidecar));
}

/* ---- announcements of the target ---- */

static void
log_ignored(const char *id, const char *reason)
{
    if (BbEvent_Allows(BB_EVENT_HEARTBEAT_IGNORED)) {
        BbEvent_Write(BB_EVENT_HEARTBEAT_IGNORED,
                      json_pack("{s:s, s:s}", "target", id, "reason", reason));
    }
}

/* Returns the status of the answer. */
static int
take_heartbeat(sidecar_t *sidecar, const char *id, const GByteArray *body)
{
    platform_heartbeat_t heartbeat;

    if (Platform_DecodeHeartbeat(id, (const char *)body->data, body->len,
                                 &heartbeat) != 0) {
        log_ignored(id, "unreadable");
        return 400;
    }
    switch (BbLocalTarget_Heartbeat(sidecar->target, &heartbeat.heartbeat)) {
    case BB_HEARTBEAT_CHANGED:
        target_changed(sidecar, "heartbeat");
        break;
    case BB_HEARTBEAT_STALE:
        log_ignored(id, "stale");
        break;
    case BB_HEARTBEAT_FOREIGN:
        log_ignored(id, "foreign");
        break;
    case BB_HEARTBEAT_UNCHANGED:
        break;
    }
    Platform_FreeHeartbeat(&heartbeat);
    return 200;
}

static void
announcement_head(bb_h1_request_t *request, void *arg)
{
    (void)arg;
    request->user = g_byte_array_new();
}

static void
announcement_body(bb_h1_request_t *request, const char *data, size_t size,
                  void *arg)
{
    (void)arg;
    g_byte_array_append(request->user, (const guint8 *)data, (guint)size);
}

static void
announcement_end(bb_h1_request_t *request, void *arg)
{
    sidecar_t *sidecar = arg;
    GByteArray *body = request->user;
    char id[BB_TARGET_ID_TEXT + 1];
    bb_h1_fields_t fields;
    int status = 404;

    switch (Platform_SortCall(request->method, request->target->str, id,
                              sizeof(id))) {
    case PLATFORM_HEARTBEAT:
        status = take_heartbeat(sidecar, id, body);
        break;
    case PLATFORM_LEAVE:
        status = 200;
        if (BbLocalTarget_Leave(sidecar->target, id)) {
            target_changed(sidecar, "leave");
        }
        break;
    case PLATFORM_OTHER_CALL:
        break;
    }
    g_byte_array_unref(body);
    BbH1Fields_Init(&fields);
    BbH1Fields_Add(&fields, "Content-Type", "application/json");
    BbH1_Respond(request, status, &fields, "{}", 2);
    BbH1Fields_Free(&fields);
}

static void
announcement_gone(bb_h1_request_t *request, void *arg)
{
    (void)arg;
    g_byte_array_unref(request->user);
}

static const bb_h1_handler_t announcement_handler = {
    .on_head = announcement_head,
    .on_body = announcement_body,
    .on_end = announcement_end,
    .on_gone = announcement_gone,
};

/* ---- admin ---- */

static bool
is_ready(const sidecar_t *sidecar)
{
    return sidecar->config != NULL && sidecar->leaving_since <= 0;
}

static void
answer_metrics(bb_h1_request_t *request)
{
    char *counters = BbCounters_FormatPrometheus();
    GString *text = g_string_new(counters);
    bb_h1_fields_t fields;

    BbH1Fields_Init(&fields);
    BbH1Fields_Add(&fields, "Content-Type", "text/plain; version=0.0.4");
    BbHistogram_FormatPrometheus(text);
    BbH1_Respond(request, 200, &fields, text->str, text->len);
    BbH1Fields_Free(&fields);
    g_string_free(text, TRUE);
    g_free(counters);
}

static void
admin_head(bb_h1_request_t *request, void *arg)
{
    sidecar_t *sidecar = arg;
    const char *path = request->target->str;

    if (strcmp(path, "/healthz") == 0) {
        BbH1_Respond(request, is_ready(sidecar) ? 200 : 503, NULL, NULL, 0);
    }
    else if (strcmp(path, "/metrics") == 0) {
        answer_metrics(request);
    }
    else {
        BbH1_Respond(request, 404, NULL, NULL, 0);
    }
}

static const bb_h1_handler_t admin_handler = {
    .on_head = admin_head,
};

/* ---- settings ---- */

static void
log_settings(const char *outcome, const bb_findings_t *findings)
{
    if (BbEvent_Allows(BB_EVENT_SETTINGS)) {
        BbEvent_Write(
            BB_EVENT_SETTINGS,
            json_pack("{s:s, s:i, s:s}", "outcome", outcome, "findings",
                      (int)findings->count, "first",
                      findings->count > 0 ? findings->items[0].message : ""));
    }
}

static void
reload_settings(sidecar_t *sidecar)
{
    bb_sidecar_settings_t changed;
    bb_findings_t findings;

    BbFindings_Init(&findings);
    if (BbSidecarSettings_Load(sidecar->path, &findings, &changed) != 0) {
        log_settings("refused", &findings);
        BbFindings_Free(&findings);
        return;
    }
    const bb_repeat_budget_options_t budget = {.ratio = changed.repeat_ratio,
                                               .extra = changed.repeat_extra};
    BbRepeatBudget_SetOptions(sidecar->budget, &budget);
    log_settings("taken", &findings);
    BbSidecarSettings_Free(&changed);
    BbFindings_Free(&findings);
}

static bool
has_settings_changed(sidecar_t *sidecar)
{
    struct stat info;

    if (stat(sidecar->path, &info) != 0) {
        return false;
    }
    bool is_changed =
        info.st_mtim.tv_sec != sidecar->settings_changed_at.tv_sec ||
        info.st_mtim.tv_nsec != sidecar->settings_changed_at.tv_nsec;
    sidecar->settings_changed_at = info.st_mtim;
    return is_changed;
}

static void
handle_settings_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    sidecar_t *sidecar = timer->data;

    if (has_settings_changed(sidecar)) {
        reload_settings(sidecar);
    }
}

static void
handle_hangup(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)events;
    sidecar_t *sidecar = watcher->data;

    has_settings_changed(sidecar);
    reload_settings(sidecar);
}

/* ---- shutdown ---- */

static int
open_calls(const sidecar_t *sidecar)
{
    return BbCallIo_OpenCalls(sidecar->call_io) +
           BbTargetIo_OpenCalls(sidecar->target_io);
}

static void
handle_leave_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)events;
    sidecar_t *sidecar = timer->data;
    double now = ev_now(loop);
    double since_s = now - sidecar->leaving_since;
    bool is_left = since_s >= REFUSE_AFTER_S ||
                   now - BbCallIo_LastCallAt(sidecar->call_io) >= QUIET_S;
    bool is_quiet =
        open_calls(sidecar) == 0 && since_s >= LEAVE_MIN_S && is_left;

    if (since_s >= REFUSE_AFTER_S) {
        BbCallIo_SetRefusing(sidecar->call_io);
    }

    if (is_quiet ||
        since_s >= sidecar->settings->shutdown_s - LEAVE_MARGIN_S) {
        if (BbEvent_Allows(BB_EVENT_STOP)) {
            BbEvent_Write(BB_EVENT_STOP,
                          json_pack("{s:i, s:f}", "open_calls",
                                    open_calls(sidecar), "after_s", since_s));
        }
        ev_break(loop, EVBREAK_ALL);
    }
}

static void
handle_term(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)events;
    sidecar_t *sidecar = watcher->data;

    if (sidecar->leaving_since > 0) {
        return;
    }
    sidecar->leaving_since = ev_now(loop);
    if (BbEvent_Allows(BB_EVENT_TERM)) {
        BbEvent_Write(BB_EVENT_TERM,
                      json_pack("{s:i}", "open_calls", open_calls(sidecar)));
    }
    BbCallIo_SetLeaving(sidecar->call_io);
    BbTargetIo_SetLeaving(sidecar->target_io);
    publish_record(sidecar);
    ev_timer_start(loop, &sidecar->leave_timer);
}

/* ---- start ---- */

static int
start_server(sidecar_t *sidecar, const char *address,
             const bb_h1_handler_t *handler, bb_h1_server_t **out)
{
    const bb_h1_server_options_t options = {
        .loop = sidecar->loop,
        .address = address,
        .handler = handler,
        .arg = sidecar,
    };
    return BbH1Server_New(&options, out);
}

static void
start_decisions(sidecar_t *sidecar)
{
    const bb_sidecar_settings_t *settings = sidecar->settings;
    const bb_repeat_budget_options_t budget = {
        .ratio = settings->repeat_ratio, .extra = settings->repeat_extra};
    const bb_local_target_options_t target = {
        .address = settings->target_address, .service = settings->service};
    const bb_target_io_options_t target_io = {
        .loop = sidecar->loop,
        .address = settings->target_address,
        .service = settings->service,
        .names = Platform_HeaderNames(),
    };

    sidecar->random = BbRandom_New(0);
    sidecar->fleet = BbFleet_New(settings->name);
    sidecar->versions = BbVersions_New();
    sidecar->budget = BbRepeatBudget_New(&budget);
    sidecar->target = BbLocalTarget_New(&target);
    bb_target_io_options_t options = target_io;
    options.target = sidecar->target;
    sidecar->target_io = BbTargetIo_New(&options);
}

static int
start_calls(sidecar_t *sidecar)
{
    const bb_sidecar_settings_t *settings = sidecar->settings;
    const bb_hop_io_options_t hop = {
        .loop = sidecar->loop,
        .address = settings->forward_address,
        .link_mbps = settings->link_mbps,
        .target = sidecar->target_io,
        .names = Platform_HeaderNames(),
        .own_version = own_version,
        .on_version = version_heard,
        .on_query = node_query,
        .on_query_gone = node_query_gone,
        .arg = sidecar,
    };
    int error = BbHopIo_New(&hop, &sidecar->hop);
    if (error != 0) {
        return error;
    }
    const bb_call_io_options_t calls = {
        .loop = sidecar->loop,
        .address = settings->caller_address,
        .data_centre = settings->data_centre,
        .service = settings->service,
        .names = Platform_HeaderNames(),
        .fleet = sidecar->fleet,
        .target = sidecar->target_io,
        .hop = sidecar->hop,
        .budget = sidecar->budget,
        .random = sidecar->random,
        .spill_share = settings->spill_share,
    };
    return BbCallIo_New(&calls, &sidecar->call_io);
}

static void
start_news(sidecar_t *sidecar)
{
    const bb_news_server_options_t server = {
        .loop = sidecar->loop,
        .fleet = sidecar->fleet,
        .versions = sidecar->versions,
        .revision = known_revision,
        .is_connected = is_connected,
        .on_newer = version_heard,
        .arg = sidecar,
    };
    const bb_news_client_options_t client = {
        .loop = sidecar->loop,
        .client = BbHopIo_Client(sidecar->hop),
        .fleet = sidecar->fleet,
        .versions = sidecar->versions,
        .random = sidecar->random,
        .data_centre = sidecar->settings->data_centre,
        .address = sidecar->settings->forward_address,
        .on_config = take_config,
        .on_node = take_node,
        .on_revision = revision_told,
        .on_fed = handle_fed,
        .revision = known_revision,
        .arg = sidecar,
    };

    sidecar->news_server = BbNewsServer_New(&server);
    sidecar->news_client = BbNewsClient_New(&client);
    sidecar->is_reader = true;
    ev_timer_init(&sidecar->role_timer, handle_role_timer, ROLE_CHECK_S,
                  ROLE_CHECK_S);
    sidecar->role_timer.data = sidecar;
    ev_timer_start(sidecar->loop, &sidecar->role_timer);
}

static void
start_store(sidecar_t *sidecar)
{
    const platform_store_options_t store = {
        .loop = sidecar->loop, .address = sidecar->settings->platform_address};
    sidecar->store = PlatformStore_New(&store);
    const bb_row_writer_options_t record = {
        .loop = sidecar->loop,
        .store = sidecar->store,
        .table = PLATFORM_NODE_TABLE,
        .key = sidecar->settings->name,
        .random = sidecar->random,
    };
    sidecar->record = BbRowWriter_New(&record);
    bb_follow_options_t follow = {
        .loop = sidecar->loop,
        .store = sidecar->store,
        .table = PLATFORM_OPERATOR_TABLE,
        .pause_s = CONFIG_PAUSE_S,
        .handler = &config_handler,
        .arg = sidecar,
        .random = sidecar->random,
    };
    sidecar->config_follow = BbFollow_New(&follow);
    follow.table = PLATFORM_NODE_TABLE;
    follow.pause_s = NODES_PAUSE_S;
    follow.handler = &node_handler;
    sidecar->node_follow = BbFollow_New(&follow);
}

static void
start_signals(sidecar_t *sidecar)
{
    ev_signal_init(&sidecar->term_signal, handle_term, SIGTERM);
    ev_signal_init(&sidecar->interrupt_signal, handle_term, SIGINT);
    ev_signal_init(&sidecar->hangup_signal, handle_hangup, SIGHUP);
    ev_timer_init(&sidecar->settings_timer, handle_settings_timer,
                  SETTINGS_CHECK_S, SETTINGS_CHECK_S);
    ev_timer_init(&sidecar->leave_timer, handle_leave_timer, LEAVE_CHECK_S,
                  LEAVE_CHECK_S);
    sidecar->term_signal.data = sidecar;
    sidecar->interrupt_signal.data = sidecar;
    sidecar->hangup_signal.data = sidecar;
    sidecar->settings_timer.data = sidecar;
    sidecar->leave_timer.data = sidecar;
    ev_signal_start(sidecar->loop, &sidecar->term_signal);
    ev_signal_start(sidecar->loop, &sidecar->interrupt_signal);
    ev_signal_start(sidecar->loop, &sidecar->hangup_signal);
    ev_timer_start(sidecar->loop, &sidecar->settings_timer);
}

sidecar_t *
Sidecar_New(struct ev_loop *loop, const bb_sidecar_settings_t *settings,
            const char *path)
{
    sidecar_t *sidecar = g_new0(sidecar_t, 1);

    sidecar->loop = loop;
    sidecar->settings = settings;
    sidecar->path = path;
    sidecar->started_ms = g_get_real_time() / 1000;
    has_settings_changed(sidecar);
    start_decisions(sidecar);
    int error = start_calls(sidecar);
    if (error == 0) {
        error = start_server(sidecar, settings->admin_address, &admin_handler,
                             &sidecar->admin);
    }
    if (error == 0) {
        error = start_server(sidecar, settings->announce_address,
                             &announcement_handler, &sidecar->announcements);
    }
    if (error == 0 && settings->metrics_address != NULL) {
        error = start_server(sidecar, settings->metrics_address,
                             &admin_handler, &sidecar->metrics);
    }
    if (error != 0) {
        fprintf(stderr, "bbsidecar: cannot bind an address: %s\n",
                BbError_Name(error));
        Sidecar_Free(sidecar);
        return NULL;
    }
    start_store(sidecar);
    start_news(sidecar);
    start_signals(sidecar);
    publish_record(sidecar);
    if (BbEvent_Allows(BB_EVENT_START)) {
        BbEvent_Write(BB_EVENT_START,
                      json_pack("{s:s, s:s, s:s}", "version",
                                BB_VERSION_STRING, "callers",
                                settings->caller_address, "forwarded",
                                settings->forward_address));
    }
    return sidecar;
}

void
Sidecar_Free(sidecar_t *sidecar)
{
    struct ev_loop *loop = sidecar->loop;

    ev_signal_stop(loop, &sidecar->term_signal);
    ev_signal_stop(loop, &sidecar->interrupt_signal);
    ev_signal_stop(loop, &sidecar->hangup_signal);
    ev_timer_stop(loop, &sidecar->settings_timer);
    ev_timer_stop(loop, &sidecar->role_timer);
    ev_timer_stop(loop, &sidecar->leave_timer);
    BbNewsClient_Free(sidecar->news_client);
    BbNewsServer_Free(sidecar->news_server);
    BbFollow_Free(sidecar->config_follow);
    BbFollow_Free(sidecar->node_follow);
    BbRowWriter_Free(sidecar->record);
    PlatformStore_Free(sidecar->store);
    BbH1Server_Free(sidecar->admin);
    BbH1Server_Free(sidecar->metrics);
    BbH1Server_Free(sidecar->announcements);
    BbCallIo_Free(sidecar->call_io);
    BbHopIo_Free(sidecar->hop);
    BbTargetIo_Free(sidecar->target_io);
    BbLocalTarget_Free(sidecar->target);
    BbRepeatBudget_Free(sidecar->budget);
    BbMeshConfig_Unref(sidecar->config);
    BbVersions_Free(sidecar->versions);
    BbFleet_Free(sidecar->fleet);
    BbRandom_Free(sidecar->random);
    g_free(sidecar);
}
