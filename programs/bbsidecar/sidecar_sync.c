#include <string.h>

#include "bb_clock.h"
#include "bb_counters.h"
#include "bb_error.h"
#include "bb_event.h"
#include "bb_quota_wire.h"
#include "bb_readers.h"
#include "bb_reaper.h"
#include "sidecar_internal.h"

/* Pause after a response with changes from the store, so that changes in quick
 * succession are read by one call. */
#define CONFIG_PAUSE_S 0.3
#define NODES_PAUSE_S 1.0

/* Longest wait of a feed call for the configuration. A node whose connections
 * to the store went silent must notice it, and have the newest version, within
 * the 3 s after which it counts as undisturbed. */
#define CONFIG_FEED_WAIT_S 1.0

/* Mean pauses between calls to a failing store, for a fallback reader: a node
 * without the reader role that reads the store because no reader reaches it.
 * They can be long, since the readers notice when the store works again. */
#define FALLBACK_BACKOFF_FIRST_S 2.0
#define FALLBACK_BACKOFF_MAX_S 4.0

/* Longest random delay before the first call of a fallback reader, and the
 * rate of these calls of all nodes together, within the limit of the store. */
#define FALLBACK_DELAY_MAX_S 2.0
#define FALLBACK_CALLS_PER_S 1500.0

/* A reader whose first retry, up to 0.15 s after a loss, succeeds within this
 * time does not report the loss. */
#define STORE_LOSS_GRACE_S 0.2

/* When the whole fleet starts for the first time, reading the node records is
 * delayed until every node has had time to write its own. */
#define FIRST_START_DELAY_S 2.2

/* Interval at which this node decides again whether it is a reader. */
#define ROLE_CHECK_S BB_REAPER_CHECK_S

/* ---- configuration ---- */

static double
config_age_s(void *arg)
{
    const sidecar_t *sidecar = arg;

    return BbFreshness_AgeS(&sidecar->freshness, BbClock_Now(sidecar->loop));
}

/* Records the keys that a new version removes. */
static void
drop_keys(sidecar_t *sidecar, const bb_mesh_config_t *config)
{
    const bb_account_table_t *accounts = BbMeshConfig_Accounts(config);
    size_t count = sidecar->config == NULL
                       ? 0
                       : BbDroppedKeys_Update(
                             sidecar->dropped_keys,
                             BbMeshConfig_Accounts(sidecar->config), accounts);

    if (count > 0 && BbEvent_Allows(BB_EVENT_KEYS_DROPPED)) {
        BbEvent_Write(BB_EVENT_KEYS_DROPPED,
                      json_pack("{s:I, s:i, s:i}", "version",
                                (json_int_t)BbMeshConfig_Version(config),
                                "keys", (int)count, "accounts",
                                accounts != NULL
                                    ? (int)BbAccountTable_Count(accounts)
                                    : 0));
    }
}

static void
apply_config(const char *text, size_t size, const char *source, void *arg)
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
        BbMeshConfig_Unref(config); /* never go back to an older version */
        return;
    }
    BbMeshConfig_ShuffleSplits(config, sidecar->random);
    drop_keys(sidecar, config);
    BbMeshConfig_Unref(sidecar->config);
    sidecar->config = config;
    BbCallIo_SetConfig(sidecar->call_io, config);
    BbQuotaIo_SetConfig(sidecar->quota_io, config);
    BbVersions_Add(sidecar->versions, BbMeshConfig_Version(config), text,
                   size);
    BbSyncServer_NotifyChange(sidecar->sync_server);
    if (BbEvent_Allows(BB_EVENT_CONFIG)) {
        BbEvent_Write(BB_EVENT_CONFIG,
                      json_pack("{s:I, s:I, s:i, s:s, s:f}", "version",
                                (json_int_t)BbMeshConfig_Version(config),
                                "previous", (json_int_t)previous, "routes",
                                (int)BbMeshConfig_RouteCount(config), "source",
                                source, "age_s", config_age_s(sidecar)));
    }
}

static void
confirm_config(void *arg)
{
    sidecar_t *sidecar = arg;

    BbFreshness_Confirm(&sidecar->freshness, BbClock_Now(sidecar->loop));
}

static void
handle_config_row(const bb_table_row_t *row, void *arg)
{
    sidecar_t *sidecar = arg;

    if (strcmp(row->key, PLATFORM_CONFIG_KEY) == 0 && !row->is_removed) {
        apply_config(row->value, row->size, "store", arg);
    }
    else if (g_str_has_prefix(row->key, PLATFORM_ROLLOUT_PREFIX)) {
        SidecarRollouts_HandleOrder(
            sidecar->rollouts, row,
            BbFollower_CurrentAt(sidecar->config_follower));
    }
}

static void
handle_config_snapshot(GHashTable *keys, bb_position_t position, void *arg)
{
    const sidecar_t *sidecar = arg;
    bb_follower_t *nodes = sidecar->node_follower;

    SidecarRollouts_KeepOrders(sidecar->rollouts, keys, position);
    if (BbPosition_IsRestored(position, BbFollower_Position(nodes))) {
        BbFollower_Check(nodes); /* its feed call waits for longer */
    }
}

/* Not needed for the node table: is_connected() reads the state when it is
 * used. */
static void
ignore_health(bool is_connected, int error, void *arg)
{
    (void)is_connected;
    (void)error;
    (void)arg;
}

/* Nodes that ask this one are told of the loss only after a grace, so that a
 * reset of all connections to the store, after which a retry succeeds, does
 * not make every node read it. */
static void
begin_loss_grace(sidecar_t *sidecar)
{
    sidecar->store_lost_at = BbClock_Now(sidecar->loop);
    ev_timer_stop(sidecar->loop, &sidecar->store_loss_timer);
    ev_timer_set(&sidecar->store_loss_timer, STORE_LOSS_GRACE_S, 0.0);
    ev_timer_start(sidecar->loop, &sidecar->store_loss_timer);
}

static void
handle_loss_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    sidecar_t *sidecar = timer->data;

    BbSyncServer_NotifyChange(sidecar->sync_server);
}

static void update_store_state(sidecar_t *sidecar);

/* A fallback reader resumes the node table once the store has answered. The
 * feed call of the node table, which waits for longer, is checked when that of
 * the configuration has failed. */
static void
handle_config_health(bool is_connected, int error, void *arg)
{
    sidecar_t *sidecar = arg;
    (void)error;

    if (!is_connected) {
        BbFollower_Check(sidecar->node_follower);
        begin_loss_grace(sidecar);
    }
    else if (!BbFollower_IsSuspended(sidecar->config_follower)) {
        BbFollower_Resume(sidecar->node_follower, 0.0);
    }
    update_store_state(sidecar);
}

static const bb_follower_handler_t config_handler = {
    .on_row = handle_config_row,
    .on_snapshot = handle_config_snapshot,
    .on_health = handle_config_health,
    .on_confirmed = confirm_config,
};

/* ---- other nodes ---- */

static void
log_node(const char *node, const bb_node_record_t *record,
         bb_position_t revision)
{
    const char *state = record == NULL       ? "removed"
                        : record->is_stopped ? "stopped"
                        : record->is_ready   ? "ready"
                                             : "not_ready";

    if (BbEvent_Allows(BB_EVENT_NODE)) {
        BbEvent_Write(
            BB_EVENT_NODE,
            json_pack("{s:s, s:s, s:s, s:I, s:I}", "peer", node, "service",
                      record != NULL ? record->service : "", "state", state,
                      "revision", (json_int_t)BbPosition_Version(revision),
                      "generation",
                      (json_int_t)BbPosition_Generation(revision)));
    }
}

static void
apply_node(sidecar_t *sidecar, const char *node, const char *text, size_t size,
           bb_position_t revision, const char *source)
{
    bb_node_record_t record;
    bool is_readable =
        text != NULL && BbNodeRecord_Parse(text, size, &record) == 0;

    if (text != NULL && !is_readable) {
        return; /* from another writer or a later release */
    }
    if (strcmp(node, sidecar->settings->name) == 0) {
        BbRowWriter_Observe(sidecar->record, revision, text, size);
        if (is_readable) {
            Sidecar_RestoreRecord(sidecar, &record, source);
        }
    }
    if (BbFleet_Merge(sidecar->fleet, node, is_readable ? &record : NULL,
                      revision, BbClock_Now(sidecar->loop))) {
        log_node(node, is_readable ? &record : NULL, revision);
        BbRepeatBudget_SetNodes(sidecar->budget,
                                (int)BbFleet_NodeCount(sidecar->fleet));
    }
    if (is_readable) {
        BbNodeRecord_Clear(&record);
    }
}

static void
handle_node_row(const bb_table_row_t *row, void *arg)
{
    apply_node(arg, row->key, row->is_removed ? NULL : row->value, row->size,
               row->position, "store");
}

static void
handle_peer_node(const char *node, const char *text, size_t size,
                 bb_position_t revision, void *arg)
{
    apply_node(arg, node, text, size, revision, "node");
}

static void update_role(sidecar_t *sidecar);

/* All node records up to this position are known. */
static void
set_records_position(sidecar_t *sidecar, bb_position_t position,
                     const char *source)
{
    BbRowWriter_ObserveTable(sidecar->record, position);
    if (!BbFleet_SetPosition(sidecar->fleet, position,
                             BbClock_Now(sidecar->loop))) {
        return;
    }
    BbCounters_Add(BB_COUNTER_STORE_RESTORES, 1);
    SidecarRollouts_StoreRestored(sidecar->rollouts);
    if (BbEvent_Allows(BB_EVENT_STORE_RESTORED)) {
        BbEvent_Write(
            BB_EVENT_STORE_RESTORED,
            json_pack("{s:I, s:I, s:b, s:s}", "generation",
                      (json_int_t)BbPosition_Generation(position), "version",
                      (json_int_t)BbPosition_Version(position),
                      "is_record_lost", !BbRowWriter_IsDone(sidecar->record),
                      "source", source));
    }
}

static void
handle_node_snapshot(GHashTable *keys, bb_position_t position, void *arg)
{
    sidecar_t *sidecar = arg;

    sidecar->has_records = true;
    if (!g_hash_table_contains(keys, sidecar->settings->name)) {
        BbRowWriter_Observe(sidecar->record, position, NULL, 0);
    }
    set_records_position(sidecar, position, "store");
    Sidecar_RestoreRecord(sidecar, NULL, "store");
    BbFleet_KeepOnly(sidecar->fleet, keys, position);
    BbSyncServer_NotifyChange(sidecar->sync_server);
    Sidecar_PublishRecord(sidecar);
    update_role(sidecar);
}

static const bb_follower_handler_t node_handler = {
    .on_row = handle_node_row,
    .on_snapshot = handle_node_snapshot,
    .on_health = ignore_health,
};

int64_t
Sidecar_OwnVersion(void *arg)
{
    const sidecar_t *sidecar = arg;
    return sidecar->config != NULL ? BbMeshConfig_Version(sidecar->config) : 0;
}

/* ---- updates from other nodes ---- */

void
Sidecar_HandlePeerVersion(int64_t version, const char *address, void *arg)
{
    sidecar_t *sidecar = arg;

    BbFreshness_Hear(&sidecar->freshness, version);
    BbSyncClient_HintVersion(sidecar->sync_client, version, address);
}

void
Sidecar_HandlePeerRequest(bb_h1_request_t *request, void *arg)
{
    sidecar_t *sidecar = arg;

    if (g_str_has_prefix(request->target->str, BB_SYNC_PATH)) {
        BbSyncServer_HandleQuery(sidecar->sync_server, request);
    }
    else {
        BbH1_Respond(request, 404, NULL, NULL, 0);
    }
}

void
Sidecar_HandlePeerMessage(bb_h1_request_t *request, const char *body,
                          size_t size, void *arg)
{
    sidecar_t *sidecar = arg;

    if (strcmp(request->target->str, BB_QUOTA_PATH) == 0) {
        BbQuotaIo_HandleReport(sidecar->quota_io, request, body, size);
    }
    else if (strcmp(request->target->str, SIDECAR_ROLLOUT_PATH) == 0) {
        SidecarRollouts_HandleMessage(sidecar->rollouts, request, body, size);
    }
    else {
        BbH1_Respond(request, 404, NULL, NULL, 0);
    }
}

void
Sidecar_DropPeerRequest(bb_h1_request_t *request, void *arg)
{
    sidecar_t *sidecar = arg;
    BbSyncServer_DropQuery(sidecar->sync_server, request);
}

bb_position_t
Sidecar_RecordsPosition(const sidecar_t *sidecar)
{
    bb_position_t read = BbFollower_Position(sidecar->node_follower);

    return MAX(read, sidecar->peer_revision);
}

static bb_position_t
known_revision(void *arg)
{
    return Sidecar_RecordsPosition(arg);
}

static void
handle_peer_row(const char *text, size_t size, void *arg)
{
    const sidecar_t *sidecar = arg;
    SidecarRollouts_HandleRow(sidecar->rollouts, text, size);
}

static int64_t
peer_rows_revision(void *arg)
{
    const sidecar_t *sidecar = arg;
    return SidecarRollouts_Revision(sidecar->rollouts);
}

static void
handle_peer_revision(bb_position_t revision, void *arg)
{
    sidecar_t *sidecar = arg;

    sidecar->peer_revision = MAX(sidecar->peer_revision, revision);
    if (sidecar->peer_revision > 0) {
        set_records_position(sidecar, revision, "node");
        Sidecar_RestoreRecord(sidecar, NULL, "node");
    }
}

static void
handle_peer_confirmed(int64_t version, double age_s, void *arg)
{
    sidecar_t *sidecar = arg;

    BbFreshness_Hear(&sidecar->freshness, version);
    if (age_s >= 0 && version >= Sidecar_OwnVersion(sidecar)) {
        BbFreshness_Confirm(&sidecar->freshness,
                            BbClock_Now(sidecar->loop) - age_s);
    }
}

static bool
is_connected(void *arg)
{
    const sidecar_t *sidecar = arg;

    return !BbFollower_IsSuspended(sidecar->config_follower) &&
           !BbFollower_IsSuspended(sidecar->node_follower) &&
           BbFollower_IsConnected(sidecar->config_follower) &&
           BbFollower_IsConnected(sidecar->node_follower);
}

bool
Sidecar_IsStoreConnected(const sidecar_t *sidecar)
{
    return is_connected((void *)sidecar);
}

static bool
is_store_lost(void *arg)
{
    const sidecar_t *sidecar = arg;

    return !is_connected(arg) &&
           BbClock_Now(sidecar->loop) - sidecar->store_lost_at >=
               STORE_LOSS_GRACE_S;
}

/* When readers answer but cannot reach the store, the fallback readers most
 * likely cannot reach it either, so their first calls are spread over time. */
static double
fallback_delay(const sidecar_t *sidecar)
{
    bool are_readers_answering =
        !sidecar->is_reader &&
        BbSyncClient_HasRecentResponses(sidecar->sync_client);

    double nodes = (double)BbFleet_NodeCount(sidecar->fleet);
    double longest_s = MIN(nodes / FALLBACK_CALLS_PER_S, FALLBACK_DELAY_MAX_S);

    return are_readers_answering ? longest_s * BbRandom_Unit(sidecar->random)
                                 : 0.0;
}

static void
set_backoff(const sidecar_t *sidecar, bb_follower_t *follower)
{
    bool is_fallback_reader = !sidecar->is_reader && sidecar->config != NULL;

    if (is_fallback_reader) {
        BbFollower_SetBackoff(follower, FALLBACK_BACKOFF_FIRST_S,
                              FALLBACK_BACKOFF_MAX_S);
    }
    else {
        BbFollower_SetBackoff(follower, BB_FOLLOWER_BACKOFF_FIRST_S,
                              BB_FOLLOWER_BACKOFF_MAX_S);
    }
}

static void
set_store_reading(sidecar_t *sidecar, bool is_reading)
{
    if (is_reading && BbFollower_IsSuspended(sidecar->config_follower)) {
        begin_loss_grace(sidecar);
    }
    if (is_reading) {
        double delay_s = fallback_delay(sidecar);
        set_backoff(sidecar, sidecar->config_follower);
        set_backoff(sidecar, sidecar->node_follower);
        BbFollower_Resume(sidecar->config_follower, delay_s);
        if (sidecar->is_reader || !sidecar->has_records) {
            BbFollower_Resume(sidecar->node_follower, delay_s);
        }
    }
    else {
        BbFollower_Suspend(sidecar->config_follower);
        BbFollower_Suspend(sidecar->node_follower);
    }
}

static void
handle_readers_available(bool are_readers_available, void *arg)
{
    sidecar_t *sidecar = arg;
    set_store_reading(sidecar, sidecar->is_reader || !are_readers_available);
}

static bb_sync_scope_t
sync_scope(const sidecar_t *sidecar)
{
    if (!sidecar->is_reader) {
        return BB_SYNC_READERS;
    }
    return BbFleet_NodeCount(sidecar->fleet) > BB_READERS_MAX_ALL_READ
               ? BB_SYNC_REMOTE
               : BB_SYNC_NONE;
}

/* Roles are derived from the node records, so they stay as they are until
 * records are known. */
static void
update_role(sidecar_t *sidecar)
{
    if (!sidecar->has_records && sidecar->peer_revision == 0) {
        return;
    }
    bool was_reader = sidecar->is_reader;
    sidecar->is_reader =
        BbReaders_IsReader(sidecar->readers, sidecar->settings->name);
    BbSyncClient_SetScope(sidecar->sync_client, sync_scope(sidecar));
    BbVersions_SetMaxCount(sidecar->versions,
                           sidecar->is_reader
                               ? BB_VERSIONS_KEPT
                               : BB_VERSIONS_KEPT_BY_NON_READER);
    if (sidecar->is_reader) {
        set_store_reading(sidecar, true);
    }
    else if (was_reader) {
        set_store_reading(sidecar, false);
    }
}

static void
log_removed_record(const bb_table_result_t *result, void *arg)
{
    (void)arg;
    if (BbEvent_Allows(BB_EVENT_ROW)) {
        BbEvent_Write(
            BB_EVENT_ROW,
            json_pack("{s:s, s:s}", "outcome",
                      result->error == 0 ? "removed" : "refused", "error",
                      result->error != 0 ? BbError_Name(result->error) : ""));
    }
}

/* Removes the record of a VM that is considered permanently lost. */
static void
reap_record(sidecar_t *sidecar)
{
    const bb_endpoint_t *lost = BbReaper_Next(sidecar->fleet, sidecar->random,
                                              BbClock_Now(sidecar->loop));

    if (lost == NULL) {
        return;
    }
    log_node(lost->node, NULL, lost->revision);
    sidecar->store->ops->write(sidecar->store, PLATFORM_NODE_TABLE, lost->node,
                               NULL, 0, lost->revision, log_removed_record,
                               sidecar);
}

/* Removes the records that a restored store has lost and that nobody has
 * written again. */
static void
drop_lost_records(sidecar_t *sidecar)
{
    if (BbFleet_DropLost(sidecar->fleet, BbClock_Now(sidecar->loop))) {
        BbRepeatBudget_SetNodes(sidecar->budget,
                                (int)BbFleet_NodeCount(sidecar->fleet));
    }
}

/* While the store is unreachable the node asks others for its configuration.
 */
static void
update_store_state(sidecar_t *sidecar)
{
    bool is_reading = !BbFollower_IsSuspended(sidecar->node_follower);

    BbSyncClient_SetStoreUnreachable(sidecar->sync_client,
                                     is_reading && !is_connected(sidecar));
}

static void
handle_role_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    sidecar_t *sidecar = timer->data;

    drop_lost_records(sidecar);
    Sidecar_PublishRecord(sidecar);
    update_role(sidecar);
    update_store_state(sidecar);
    if (sidecar->shutdown_started_at <= 0) {
        reap_record(sidecar);
    }
}

/* ---- start ---- */

void
Sidecar_StartSync(sidecar_t *sidecar)
{
    const bb_sync_server_options_t server = {
        .loop = sidecar->loop,
        .fleet = sidecar->fleet,
        .versions = sidecar->versions,
        .revision = known_revision,
        .rows = SidecarRollouts_SyncRows(sidecar->rollouts),
        .is_connected = is_connected,
        .is_store_lost = is_store_lost,
        .config_age_s = config_age_s,
        .on_newer_version = Sidecar_HandlePeerVersion,
        .arg = sidecar,
    };
    const bb_sync_client_options_t client = {
        .loop = sidecar->loop,
        .client = BbHopClient_GetHttpClient(sidecar->hop_client),
        .fleet = sidecar->fleet,
        .readers = sidecar->readers,
        .versions = sidecar->versions,
        .random = sidecar->random,
        .data_centre = sidecar->settings->data_centre,
        .address = sidecar->settings->forward_address,
        .on_config = apply_config,
        .on_node = handle_peer_node,
        .on_revision = handle_peer_revision,
        .on_row = handle_peer_row,
        .rows_revision = peer_rows_revision,
        .on_confirmed = handle_peer_confirmed,
        .on_readers_available = handle_readers_available,
        .revision = known_revision,
        .arg = sidecar,
    };

    sidecar->sync_server = BbSyncServer_New(&server);
    sidecar->sync_client = BbSyncClient_New(&client);
    const bb_probe_options_t probe = {
        .loop = sidecar->loop,
        .client = BbHopClient_GetHttpClient(sidecar->hop_client),
        .fleet = sidecar->fleet,
    };
    sidecar->probe = BbProbe_New(&probe);
    sidecar->is_reader = true;
    ev_init(&sidecar->store_loss_timer, handle_loss_timer);
    sidecar->store_loss_timer.data = sidecar;
    ev_timer_init(&sidecar->role_timer, handle_role_timer, ROLE_CHECK_S,
                  ROLE_CHECK_S);
    sidecar->role_timer.data = sidecar;
    ev_timer_start(sidecar->loop, &sidecar->role_timer);
}

void
Sidecar_StartStore(sidecar_t *sidecar)
{
    const platform_store_options_t store = {
        .loop = sidecar->loop, .address = sidecar->settings->platform_address};
    sidecar->store = PlatformStore_New(&store);
    Sidecar_StartRecord(sidecar);
    bb_follower_options_t follower = {
        .loop = sidecar->loop,
        .store = sidecar->store,
        .table = PLATFORM_OPERATOR_TABLE,
        .pause_s = CONFIG_PAUSE_S,
        .feed_wait_s = CONFIG_FEED_WAIT_S,
        .handler = &config_handler,
        .arg = sidecar,
        .random = sidecar->random,
        .is_suspended = true,
    };
    sidecar->config_follower = BbFollower_New(&follower);
    follower.table = PLATFORM_NODE_TABLE;
    follower.pause_s = NODES_PAUSE_S;
    follower.feed_wait_s = 0; /* the default */
    follower.is_suspended = false;
    follower.start_delay_s =
        sidecar->settings->is_first_start ? FIRST_START_DELAY_S : 0.0;
    follower.handler = &node_handler;
    sidecar->node_follower = BbFollower_New(&follower);
}
