/* Roll-outs at any node: orders and rows that it learns, hooks of the data
 * path, reports to the deciding node, messages of other nodes. */
#include <stdlib.h>
#include <string.h>

#include "bb_counters.h"
#include "bb_error.h"
#include "bb_event.h"
#include "bb_hop.h"
#include "sidecar_rollout_internal.h"

/* ---- hooks of the data path ---- */

static bool
accepts_calls(void *arg)
{
    const sidecar_rollouts_t *rollouts = arg;

    return BbRolloutLocal_AcceptsCalls(
        rollouts->local, BbLocalTarget_Version(rollouts->sidecar->target),
        rollouts_now(rollouts));
}

static void
count_run(const char *class_name, bool is_failed, double duration_s, void *arg)
{
    const sidecar_rollouts_t *rollouts = arg;

    BbRolloutLocal_CountRun(rollouts->local,
                            BbLocalTarget_Version(rollouts->sidecar->target),
                            class_name, is_failed, duration_s);
}

static bool
is_new_turn(const char *service, const char *route, void *arg)
{
    const sidecar_rollouts_t *rollouts = arg;
    bool is_new = BbRolloutLocal_IsNewTurn(rollouts->local, service, route);

    if (is_new) {
        BbCounters_Add(BB_COUNTER_ROLLOUT_NEW_TURNS, 1);
    }
    return is_new;
}

static bool
may_place(const bb_endpoint_t *endpoint, const char *service, bool is_new_call,
          void *arg)
{
    const sidecar_rollouts_t *rollouts = arg;

    return BbRolloutLocal_MayPlace(rollouts->local, service, endpoint->node,
                                   endpoint->record.target_version,
                                   is_new_call);
}

const bb_target_rollout_t *
SidecarRollouts_TargetHooks(const sidecar_rollouts_t *rollouts)
{
    return rollouts != NULL ? &rollouts->target_hooks : NULL;
}

const bb_call_rollout_t *
SidecarRollouts_CallHooks(const sidecar_rollouts_t *rollouts)
{
    return rollouts != NULL ? &rollouts->call_hooks : NULL;
}

/* ---- rows for other nodes ---- */

static int64_t
rows_revision(void *arg)
{
    return SidecarRollouts_Revision(arg);
}

typedef struct {
    void (*add)(const char *text, void *to);
    void *to;
} row_list_t;

static void
list_row(const bb_rollout_row_t *row, void *arg)
{
    const row_list_t *list = arg;
    char *text = BbRolloutRow_Format(row);

    list->add(text, list->to);
    g_free(text);
}

static void
list_rows(void (*add)(const char *text, void *to), void *to, void *arg)
{
    const sidecar_rollouts_t *rollouts = arg;
    row_list_t list = {add, to};

    BbRolloutLocal_ForEach(rollouts->local, list_row, &list);
}

const bb_sync_rows_t *
SidecarRollouts_SyncRows(const sidecar_rollouts_t *rollouts)
{
    return rollouts != NULL ? &rollouts->sync_rows : NULL;
}

int64_t
SidecarRollouts_Revision(const sidecar_rollouts_t *rollouts)
{
    return rollouts != NULL ? BbRolloutLocal_Revision(rollouts->local) : 0;
}

/* ---- rows ---- */

static void
log_row(const bb_rollout_row_t *row, const char *source)
{
    if (BbEvent_Allows(BB_EVENT_ROLLOUT_ROW)) {
        BbEvent_Write(BB_EVENT_ROLLOUT_ROW,
                      json_pack("{s:s, s:s, s:s, s:I, s:I, s:f, s:s, s:s}",
                                "service", row->service, "to", row->to,
                                "phase", BbRolloutPhase_Name(row->phase),
                                "epoch", (json_int_t)row->epoch, "serial",
                                (json_int_t)row->serial, "share", row->share,
                                "decider", row->decider, "source", source));
    }
}

/* Waiting calls are refused as soon as the target takes none any more. */
static void
update_target(sidecar_rollouts_t *rollouts)
{
    bool is_accepting = accepts_calls(rollouts);

    if (is_accepting != rollouts->was_accepting) {
        rollouts->was_accepting = is_accepting;
        BbTargetIo_TargetChanged(rollouts->sidecar->target_io);
    }
}

static void
row_changed(sidecar_rollouts_t *rollouts, const bb_rollout_row_t *row,
            const char *source)
{
    log_row(row, source);
    if (strcmp(row->service, rollouts->sidecar->settings->service) == 0) {
        update_target(rollouts);
        if (row->phase != rollouts->reported_phase ||
            row->epoch != rollouts->reported_epoch) {
            rollouts->reported_at = 0; /* the next tick reports */
        }
    }
    BbSyncServer_NotifyChange(rollouts->sidecar->sync_server);
    SidecarRollouts_CheckFence(rollouts, row);
    SidecarRollouts_Wake(rollouts);
}

void
SidecarRollouts_Apply(sidecar_rollouts_t *rollouts,
                      const bb_rollout_row_t *row, const char *source)
{
    if (BbRolloutLocal_Apply(rollouts->local, row)) {
        row_changed(rollouts, row, source);
    }
}

void
SidecarRollouts_HandleRow(sidecar_rollouts_t *rollouts, const char *text,
                          size_t size)
{
    bb_rollout_row_t row;

    if (rollouts != NULL && BbRolloutRow_Parse(text, size, &row) == 0) {
        SidecarRollouts_Apply(rollouts, &row, "node");
        BbRolloutRow_Clear(&row);
    }
}

/* ---- orders ---- */

static void
log_order(const char *service, const char *to, double duration_s,
          int64_t version, const char *state)
{
    if (BbEvent_Allows(BB_EVENT_ROLLOUT_ORDER)) {
        BbEvent_Write(BB_EVENT_ROLLOUT_ORDER,
                      json_pack("{s:s, s:s, s:f, s:I, s:s}", "service",
                                service, "to", to, "duration_s", duration_s,
                                "order", (json_int_t)version, "state", state));
    }
}

static void
free_order(gpointer data)
{
    rollout_order_t *order = data;

    SidecarRollouts_DropDuty(order);
    g_free(order->service);
    g_free(order->to);
    g_free(order);
}

static void
withdraw_order(sidecar_rollouts_t *rollouts, rollout_order_t *order)
{
    if (!order->is_withdrawn) {
        order->is_withdrawn = true;
        log_order(order->service, order->to, order->duration_s, order->version,
                  "withdrawn");
        SidecarRollouts_Wake(rollouts);
    }
}

/* The row of the roll-out is read from the store once, when an order was there
 * before this process. */
static void
handle_table(const bb_table_result_t *result, void *arg)
{
    sidecar_rollouts_t *rollouts = arg;

    rollouts->table_read = NULL;
    for (size_t i = 0; result->error == 0 && i < result->count; i++) {
        const bb_table_row_t *read = &result->rows[i];
        bb_rollout_row_t row;
        if (read->value != NULL &&
            BbRolloutRow_Parse(read->value, read->size, &row) == 0) {
            SidecarRollouts_Apply(rollouts, &row, "store");
            BbRolloutRow_Clear(&row);
        }
    }
    if (result->error == 0) {
        BbRolloutLocal_EndLearning(rollouts->local);
    }
    update_target(rollouts);
}

static void
read_table(sidecar_rollouts_t *rollouts)
{
    bb_table_store_t *store = rollouts->sidecar->store;

    if (rollouts->table_read == NULL) {
        rollouts->table_read = store->ops->read(store, PLATFORM_ROLLOUT_TABLE,
                                                NULL, handle_table, rollouts);
    }
}

/* Whether a row holds the known order, which a restored store has kept or the
 * operator has written again. */
static bool
is_same_order(const rollout_order_t *order,
              const platform_rollout_order_t *read, bb_position_t position)
{
    return BbPosition_IsRestored(position, order->position) &&
           strcmp(order->to, read->to) == 0 &&
           order->duration_s == read->duration_s;
}

static void
take_order(sidecar_rollouts_t *rollouts, const platform_rollout_order_t *read,
           bb_position_t position, double absent_at)
{
    bool is_start = absent_at <= 0;
    int64_t version = BbPosition_Version(position);
    rollout_order_t *order =
        g_hash_table_lookup(rollouts->orders, read->service);

    if (order != NULL && is_same_order(order, read, position)) {
        order->position = position;
        return;
    }
    if (order != NULL && order->version >= version) {
        return;
    }
    order = g_new0(rollout_order_t, 1);
    order->service = g_strdup(read->service);
    order->to = g_strdup(read->to);
    order->duration_s = read->duration_s;
    order->version = version;
    order->position = position;
    order->sighting =
        (bb_rollout_sighting_t){rollouts_now(rollouts), absent_at};
    order->heard_at = order->sighting.seen_at;
    g_hash_table_replace(rollouts->orders, order->service, order);
    log_order(order->service, order->to, order->duration_s, version,
              "ordered");
    const bb_rollout_order_t decoded = {order->service, order->to,
                                        order->duration_s, version};
    if (BbRolloutLocal_ApplyOrder(rollouts->local, &decoded, is_start,
                                  order->sighting.seen_at)) {
        row_changed(rollouts,
                    BbRolloutLocal_Row(rollouts->local, order->service),
                    "order");
    }
    if (is_start) {
        read_table(rollouts);
    }
    SidecarRollouts_Wake(rollouts);
}

void
SidecarRollouts_HandleOrder(sidecar_rollouts_t *rollouts,
                            const bb_table_row_t *row, double absent_at)
{
    platform_rollout_order_t read;

    if (rollouts == NULL) {
        return;
    }
    if (row->is_removed) {
        rollout_order_t *order = g_hash_table_lookup(
            rollouts->orders, row->key + strlen(PLATFORM_ROLLOUT_PREFIX));
        if (order != NULL) {
            withdraw_order(rollouts, order);
        }
    }
    else if (Platform_DecodeRolloutOrder(row->key, row->value, row->size,
                                         &read) == 0) {
        take_order(rollouts, &read, row->position, absent_at);
        Platform_FreeRolloutOrder(&read);
    }
    else {
        log_order(row->key, "", 0, BbPosition_Version(row->position),
                  "unreadable");
    }
}

void
SidecarRollouts_KeepOrders(sidecar_rollouts_t *rollouts, GHashTable *keys,
                           bb_position_t position)
{
    GHashTableIter iter;
    gpointer value;

    if (rollouts == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, rollouts->orders);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        rollout_order_t *order = value;
        char *key = g_strconcat(PLATFORM_ROLLOUT_PREFIX, order->service, NULL);
        if (!g_hash_table_contains(keys, key) &&
            !BbPosition_IsRestored(position, order->position)) {
            withdraw_order(rollouts, order);
        }
        g_free(key);
    }
}

/* ---- messages to other nodes ---- */

static void
free_message(rollout_message_t *message)
{
    g_ptr_array_remove_fast(message->rollouts->messages, message);
    g_free(message);
}

static void
apply_rows(sidecar_rollouts_t *rollouts, const json_t *rows)
{
    size_t index;
    json_t *row;

    json_array_foreach (rows, index, row) {
        if (json_is_string(row)) {
            SidecarRollouts_HandleRow(rollouts, json_string_value(row),
                                      json_string_length(row));
        }
    }
}

static void
handle_sent(const bb_h1_fetch_result_t *fetched, void *arg)
{
    rollout_message_t *message = arg;
    sidecar_rollouts_t *rollouts = message->rollouts;
    bool is_answered = fetched->error == 0 && fetched->status == 200;
    json_t *root =
        is_answered ? json_loadb(fetched->body, fetched->size, 0, NULL) : NULL;
    const json_t *lease = json_object_get(root, "lease_s");

    if (message->is_report && json_is_number(lease)) {
        BbRolloutLocal_Grant(rollouts->local, message->order, message->sent_at,
                             json_number_value(lease));
    }
    else if (message->is_report) {
        BbCounters_Add(BB_COUNTER_ROLLOUT_REPORTS_LOST, 1);
    }
    free_message(message);
    apply_rows(rollouts, json_object_get(root, "rows"));
    json_decref(root);
    update_target(rollouts);
}

void
SidecarRollouts_Send(sidecar_rollouts_t *rollouts, const char *address,
                     const char *json, const rollout_message_t *about)
{
    const sidecar_t *sidecar = rollouts->sidecar;
    rollout_message_t *message = g_new0(rollout_message_t, 1);
    const bb_h1_fetch_options_t options = {
        .loop = sidecar->loop,
        .client = BbHopClient_GetHttpClient(sidecar->hop_client),
        .address = address,
        .method = "POST",
        .target = SIDECAR_ROLLOUT_PATH,
        .json = json,
        .max_idle_s = BB_HOP_CLIENT_IDLE_S,
        .timeout_s = ROLLOUT_MESSAGE_S,
        .done = handle_sent,
        .arg = message,
    };

    *message = *about;
    message->rollouts = rollouts;
    message->sent_at = rollouts_now(rollouts);
    g_ptr_array_add(rollouts->messages, message);
    message->fetch = BbH1Fetch_Start(&options);
}

/* ---- reports ---- */

/* Row of the own service while the target's node has to report; else NULL. */
static const bb_rollout_row_t *
reported_row(const sidecar_rollouts_t *rollouts)
{
    const bb_rollout_row_t *row = BbRolloutLocal_Row(
        rollouts->local, rollouts->sidecar->settings->service);

    return row != NULL && !BbRolloutPhase_IsFinal(row->phase) ? row : NULL;
}

static void
send_report(sidecar_rollouts_t *rollouts, const bb_rollout_row_t *row)
{
    const sidecar_t *sidecar = rollouts->sidecar;
    const bb_endpoint_t *decider = BbFleet_Find(sidecar->fleet, row->decider);
    double now = rollouts_now(rollouts);
    char *text = BbRolloutLocal_FormatReport(
        rollouts->local, BbLocalTarget_Version(sidecar->target),
        BbTargetIo_OpenCallCount(sidecar->target_io), now);

    BbCounters_Add(BB_COUNTER_ROLLOUT_REPORTS, 1);
    if (strcmp(row->decider, sidecar->settings->name) == 0) {
        int64_t order = row->order;
        json_t *report = json_loads(text, 0, NULL);
        double lease_s = SidecarRollouts_TakeReport(rollouts, report);
        json_decref(report);
        if (lease_s >= 0) {
            BbRolloutLocal_Grant(rollouts->local, order, now, lease_s);
        }
    }
    else if (decider != NULL && decider->record.address != NULL) {
        const rollout_message_t about = {.order = row->order,
                                         .is_report = true};
        SidecarRollouts_Send(rollouts, decider->record.address, text, &about);
    }
    g_free(text);
}

/* ---- messages of other nodes ---- */

static void
add_newer_row(const sidecar_rollouts_t *rollouts, const char *service,
              const bb_rollout_row_t *than, json_t *rows)
{
    const bb_rollout_row_t *row = BbRolloutLocal_Row(rollouts->local, service);

    if (row != NULL && BbRolloutRow_Compare(row, than) > 0) {
        char *text = BbRolloutRow_Format(row);
        json_array_append_new(rows, json_string(text));
        g_free(text);
    }
}

static void
respond_with(bb_h1_request_t *request, json_t *root)
{
    char *text = json_dumps(root, JSON_COMPACT | JSON_REAL_PRECISION(6));

    BbH1_Respond(request, 200, NULL, text, strlen(text));
    free(text);
    json_decref(root);
}

static void
handle_report(sidecar_rollouts_t *rollouts, bb_h1_request_t *request,
              const json_t *report)
{
    const char *service =
        json_string_value(json_object_get(report, "service"));
    const bb_rollout_row_t known = {
        .order = json_integer_value(json_object_get(report, "order")),
        .epoch = json_integer_value(json_object_get(report, "epoch")),
        .serial = json_integer_value(json_object_get(report, "serial")),
    };
    json_t *rows = json_array();
    json_t *root = json_pack("{s:o}", "rows", rows);
    double lease_s = SidecarRollouts_TakeReport(rollouts, report);

    if (lease_s >= 0) {
        json_object_set_new(root, "lease_s", json_real(lease_s));
    }
    add_newer_row(rollouts, service, &known, rows);
    respond_with(request, root);
}

/* A push counts as a sign of life of the deciding node unless it cannot write
 * to the store while this node could. */
static void
hear_decider(sidecar_rollouts_t *rollouts, const bb_rollout_row_t *row,
             bool is_writing)
{
    rollout_order_t *order =
        g_hash_table_lookup(rollouts->orders, row->service);
    const bb_rollout_row_t *known =
        BbRolloutLocal_Row(rollouts->local, row->service);

    if (order != NULL && known != NULL &&
        BbRolloutRow_Compare(row, known) >= 0 &&
        (is_writing || !Sidecar_IsStoreConnected(rollouts->sidecar))) {
        order->heard_at = rollouts_now(rollouts);
    }
}

static void
handle_push(sidecar_rollouts_t *rollouts, bb_h1_request_t *request,
            const json_t *root)
{
    bool is_writing = json_is_true(json_object_get(root, "writing"));
    json_t *newer = json_array();
    size_t index;
    json_t *text;

    json_array_foreach (json_object_get(root, "rows"), index, text) {
        bb_rollout_row_t row;
        if (!json_is_string(text) ||
            BbRolloutRow_Parse(json_string_value(text),
                               json_string_length(text), &row) != 0) {
            continue;
        }
        SidecarRollouts_Apply(rollouts, &row, "node");
        add_newer_row(rollouts, row.service, &row, newer);
        hear_decider(rollouts, &row, is_writing);
        BbRolloutRow_Clear(&row);
    }
    respond_with(request, json_pack("{s:o}", "rows", newer));
}

void
SidecarRollouts_HandleMessage(sidecar_rollouts_t *rollouts,
                              bb_h1_request_t *request, const char *body,
                              size_t size)
{
    json_t *root = rollouts != NULL ? json_loadb(body, size, 0, NULL) : NULL;

    if (json_is_array(json_object_get(root, "rows"))) {
        handle_push(rollouts, request, root);
    }
    else if (json_is_string(json_object_get(root, "service"))) {
        handle_report(rollouts, request, root);
    }
    else {
        BbH1_Respond(request, rollouts != NULL ? 400 : 404, NULL, NULL, 0);
    }
    json_decref(root);
}

/* ---- timer ---- */

static void
handle_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)events;
    sidecar_rollouts_t *rollouts = timer->data;

    SidecarRollouts_Decide(rollouts);
    const bb_rollout_row_t *row = reported_row(rollouts);
    if (row != NULL && row->epoch > 0 &&
        rollouts_is_due(rollouts, rollouts->reported_at)) {
        rollouts->reported_at = rollouts_now(rollouts);
        rollouts->reported_phase = row->phase;
        rollouts->reported_epoch = row->epoch;
        send_report(rollouts, row);
    }
    update_target(rollouts);
    if (reported_row(rollouts) == NULL &&
        !SidecarRollouts_IsDeciding(rollouts)) {
        ev_timer_stop(loop, timer);
    }
}

void
SidecarRollouts_Wake(sidecar_rollouts_t *rollouts)
{
    if (!ev_is_active(&rollouts->tick_timer)) {
        ev_timer_set(&rollouts->tick_timer, ROLLOUT_TICK_S, ROLLOUT_TICK_S);
        ev_timer_start(rollouts->sidecar->loop, &rollouts->tick_timer);
    }
}

/* ---- creation and destruction ---- */

sidecar_rollouts_t *
SidecarRollouts_New(sidecar_t *sidecar)
{
    const bb_sidecar_settings_t *settings = sidecar->settings;
    sidecar_rollouts_t *rollouts = g_new0(sidecar_rollouts_t, 1);

    rollouts->sidecar = sidecar;
    rollouts->local = BbRolloutLocal_New(settings->name, settings->data_centre,
                                         settings->service);
    rollouts->target_hooks =
        (bb_target_rollout_t){accepts_calls, count_run, rollouts};
    rollouts->call_hooks =
        (bb_call_rollout_t){is_new_turn, may_place, rollouts};
    rollouts->sync_rows = (bb_sync_rows_t){rows_revision, list_rows, rollouts};
    rollouts->orders =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_order);
    rollouts->messages = g_ptr_array_new();
    rollouts->was_accepting = true;
    ev_init(&rollouts->tick_timer, handle_tick);
    rollouts->tick_timer.data = rollouts;
    return rollouts;
}

void
SidecarRollouts_Free(sidecar_rollouts_t *rollouts)
{
    if (rollouts == NULL) {
        return;
    }
    ev_timer_stop(rollouts->sidecar->loop, &rollouts->tick_timer);
    while (rollouts->messages->len > 0) {
        rollout_message_t *message = g_ptr_array_index(rollouts->messages, 0);
        BbH1Fetch_Cancel(message->fetch);
        free_message(message);
    }
    g_ptr_array_unref(rollouts->messages);
    if (rollouts->table_read != NULL) {
        bb_table_store_t *store = rollouts->sidecar->store;
        store->ops->cancel(store, rollouts->table_read);
    }
    g_hash_table_destroy(rollouts->orders);
    BbRolloutLocal_Free(rollouts->local);
    g_free(rollouts);
}
