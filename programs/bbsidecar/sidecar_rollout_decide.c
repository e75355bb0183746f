/* Roll-outs at the deciding node: who decides, what is written to the store,
 * and the rows that are pushed to the other readers.
 *
 * Writes of one roll-out are made one after the other, in this order: the row
 * that fences off an earlier deciding node; the row of a step that needs the
 * store; the row of a step back; the operator's status row, after the row of
 * the same phase; the row that says that the final status was written. Before
 * the first status row of an order, the status of the order that it replaces
 * is changed from running to rolled_back. */
#include <stdlib.h>
#include <string.h>

#include "bb_counters.h"
#include "bb_error.h"
#include "bb_event.h"
#include "sidecar_rollout_internal.h"

/* A deciding node that is silent for this long is replaced by the first of
 * the other readers, by name; each further one waits a bit longer. */
#define TAKEOVER_S 1.0
#define TAKEOVER_STEP_S 0.3

/* Pause after a failed write. */
#define WRITE_RETRY_S 0.4

/* How long the final row is pushed, for nodes that were cut off. */
#define FINAL_PUSH_S 20.0

/* Longest call where the configuration sets no limit. */
#define DEFAULT_LONGEST_CALL_S 30.0

typedef enum {
    WRITE_NOTHING,
    WRITE_FENCE,          /* the row of this node, for the first time */
    WRITE_NEXT,           /* the row of a step that waits for the store */
    WRITE_ROW,            /* the row as it is */
    WRITE_STATUS,         /* the operator's status row */
    WRITE_EARLIER_STATUS, /* the same, of the order that was replaced */
} write_kind_t;

typedef struct rollout_duty {
    sidecar_rollouts_t *rollouts;
    rollout_order_t *order;
    bb_rollout_t *rollout;
    bb_rollout_row_t writing; /* row of the write in progress */
    write_kind_t write_kind;
    void *write; /* handle; NULL when none is in progress */
    double retry_at;
    bool is_fenced; /* the store has a row of this node */
    bb_position_t row_position;
    bb_rollout_phase_t stored_phase;
    bool is_stored_reported;
    bb_position_t status_position;
    bool must_fence_again; /* before the status row is written over another */
    const char *status;    /* last state written; NULL before the first */
    char *earlier_to; /* version of a replaced order that the status row says
                         to be running; NULL if there is none */
    double final_at;
} rollout_duty_t;

/* ---- log ---- */

static void
log_phase(const rollout_duty_t *duty)
{
    const bb_rollout_t *rollout = duty->rollout;
    const bb_rollout_row_t *row = BbRollout_Row(rollout);
    const bb_rollout_verdict_t *verdict = BbRollout_Verdict(rollout);
    double since_order_s =
        BbRollout_ElapsedS(rollout, rollouts_now(duty->rollouts));

    BbCounters_Add(BB_COUNTER_ROLLOUT_PHASES, 1);
    if (BbEvent_Allows(BB_EVENT_ROLLOUT)) {
        json_t *fields = json_pack(
            "{s:s, s:s, s:I, s:I, s:s, s:s, s:f, s:f, s:i, s:I, s:I}",
            "service", row->service, "to", row->to, "order",
            (json_int_t)row->order, "epoch", (json_int_t)row->epoch, "phase",
            BbRolloutPhase_Name(row->phase), "reason",
            BbRollout_Reason(rollout), "elapsed_s", since_order_s, "share",
            row->share, "active", (int)g_strv_length(row->active), "new_runs",
            (json_int_t)BbRollout_NewRuns(rollout), "all_runs",
            (json_int_t)BbRollout_AllRuns(rollout));
        if (verdict->route != NULL) {
            json_t *evidence =
                json_pack("{s:s, s:s, s:f, s:i, s:f, s:f}", "route",
                          verdict->route, "sign", verdict->sign, "span_s",
                          verdict->span_s, "runs", (int)verdict->runs, "seen",
                          verdict->seen, "expected", verdict->expected);
            json_object_update(fields, evidence);
            json_decref(evidence);
        }
        BbEvent_Write(BB_EVENT_ROLLOUT, fields);
    }
}

static void
log_suspect(const rollout_duty_t *duty)
{
    const bb_rollout_verdict_t *verdict = BbRollout_Verdict(duty->rollout);

    if (verdict->kind == BB_VERDICT_SUSPECT &&
        BbEvent_Allows(BB_EVENT_ROLLOUT_SUSPECT)) {
        BbEvent_Write(BB_EVENT_ROLLOUT_SUSPECT,
                      json_pack("{s:s, s:s, s:s, s:s, s:i, s:f, s:f}",
                                "service", duty->order->service, "target",
                                verdict->target, "route", verdict->route,
                                "sign", verdict->sign, "runs",
                                (int)verdict->runs, "seen", verdict->seen,
                                "expected", verdict->expected));
    }
}

static void
log_status(const rollout_duty_t *duty, const char *to, const char *state,
           int error)
{
    if (BbEvent_Allows(BB_EVENT_ROLLOUT_STATUS)) {
        BbEvent_Write(BB_EVENT_ROLLOUT_STATUS,
                      json_pack("{s:s, s:s, s:s, s:s, s:s}", "service",
                                duty->order->service, "to", to, "state", state,
                                "outcome", error == 0 ? "written" : "refused",
                                "error",
                                error != 0 ? BbError_Name(error) : ""));
    }
}

/* ---- duties ---- */

static void
free_duty(rollout_duty_t *duty)
{
    if (duty->write != NULL) {
        bb_table_store_t *store = duty->rollouts->sidecar->store;
        store->ops->cancel(store, duty->write);
    }
    BbRolloutRow_Clear(&duty->writing);
    BbRollout_Free(duty->rollout);
    g_free(duty->earlier_to);
    g_free(duty);
}

void
SidecarRollouts_DropDuty(rollout_order_t *order)
{
    if (order->duty != NULL) {
        free_duty(order->duty);
        order->duty = NULL;
    }
}

static void
lose_duty(rollout_duty_t *duty, const bb_rollout_row_t *to)
{
    rollout_order_t *order = duty->order;

    BbCounters_Add(BB_COUNTER_ROLLOUT_CONFLICTS, 1);
    if (BbEvent_Allows(BB_EVENT_ROLLOUT_FENCED)) {
        BbEvent_Write(BB_EVENT_ROLLOUT_FENCED,
                      json_pack("{s:s, s:I, s:s}", "service", order->service,
                                "epoch", (json_int_t)to->epoch, "decider",
                                to->decider));
    }
    order->heard_at = rollouts_now(duty->rollouts);
    SidecarRollouts_DropDuty(order);
}

/* Whether the row is that of another node that has replaced this one. */
static bool
is_fencing(const rollout_duty_t *duty, const bb_rollout_row_t *row)
{
    const bb_rollout_row_t *own = BbRollout_Row(duty->rollout);

    return row->epoch > 0 && strcmp(row->decider, own->decider) != 0 &&
           (row->order > own->order ||
            (row->order == own->order && row->epoch >= own->epoch));
}

static void publish(rollout_duty_t *duty);

void
SidecarRollouts_CheckFence(sidecar_rollouts_t *rollouts,
                           const bb_rollout_row_t *row)
{
    const rollout_order_t *order =
        g_hash_table_lookup(rollouts->orders, row->service);

    if (order == NULL || order->duty == NULL ||
        !is_fencing(order->duty, row)) {
        return;
    }
    if (BbRollout_Outbid(order->duty->rollout, row)) {
        order->duty->must_fence_again = true;
        publish(order->duty);
    }
    else {
        lose_duty(order->duty, row);
    }
}

static double
longest_call_s(const sidecar_t *sidecar)
{
    double longest_s = sidecar->config != NULL
                           ? BbMeshConfig_LongestTimeout(sidecar->config)
                           : 0;

    return longest_s > 0 ? longest_s : DEFAULT_LONGEST_CALL_S;
}

static bb_rollout_t *
new_rollout(const sidecar_rollouts_t *rollouts, const rollout_order_t *order,
            const bb_rollout_row_t *before)
{
    const sidecar_t *sidecar = rollouts->sidecar;
    const bb_rollout_options_t options = {
        .node = sidecar->settings->name,
        .expose_share = sidecar->settings->expose_share,
        .expose_extra = sidecar->settings->expose_extra,
        .longest_call_s = longest_call_s(sidecar),
    };
    const bb_rollout_order_t decoded = {order->service, order->to,
                                        order->duration_s, order->version};

    return BbRollout_New(&options, &decoded, before, &order->sighting,
                         g_get_real_time() / 1000, rollouts_now(rollouts));
}

static void
take_duty(sidecar_rollouts_t *rollouts, rollout_order_t *order)
{
    const bb_rollout_row_t *known =
        BbRolloutLocal_Row(rollouts->local, order->service);
    rollout_duty_t *duty = g_new0(rollout_duty_t, 1);

    if (known != NULL && known->order == order->version && known->epoch > 0) {
        BbCounters_Add(BB_COUNTER_ROLLOUT_TAKEOVERS, 1);
    }
    duty->rollouts = rollouts;
    duty->order = order;
    duty->rollout = new_rollout(rollouts, order, known);
    order->duty = duty;
}

/* ---- rows of the own roll-outs ---- */

static void
push_text(sidecar_rollouts_t *rollouts, const char *json)
{
    const sidecar_t *sidecar = rollouts->sidecar;
    const GPtrArray *readers =
        BbReaders_ListOthers(sidecar->readers, sidecar->settings->data_centre);
    const rollout_message_t about = {0};

    for (guint i = 0; i < readers->len; i++) {
        const bb_endpoint_t *endpoint = g_ptr_array_index(readers, i);
        if (endpoint->record.address != NULL) {
            SidecarRollouts_Send(rollouts, endpoint->record.address, json,
                                 &about);
        }
    }
}

void
SidecarRollouts_Push(sidecar_rollouts_t *rollouts)
{
    GHashTableIter iter;
    gpointer value;
    json_t *rows = json_array();
    bool is_writing = Sidecar_IsStoreConnected(rollouts->sidecar);

    g_hash_table_iter_init(&iter, rollouts->orders);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const rollout_order_t *order = value;
        if (order->duty != NULL && order->duty->is_fenced) {
            char *text =
                BbRolloutRow_Format(BbRollout_Row(order->duty->rollout));
            json_array_append_new(rows, json_string(text));
            g_free(text);
        }
    }
    if (json_array_size(rows) > 0) {
        json_t *root =
            json_pack("{s:b, s:O}", "writing", is_writing, "rows", rows);
        char *text = json_dumps(root, JSON_COMPACT);
        push_text(rollouts, text);
        free(text);
        json_decref(root);
    }
    json_decref(rows);
    rollouts->pushed_at = rollouts_now(rollouts);
}

static void
publish(rollout_duty_t *duty)
{
    sidecar_rollouts_t *rollouts = duty->rollouts;

    if (duty->is_fenced) {
        SidecarRollouts_Apply(rollouts, BbRollout_Row(duty->rollout), "own");
        rollouts->pushed_at = 0; /* the next tick pushes */
    }
}

/* ---- writes ---- */

static const char *
wanted_status(const rollout_duty_t *duty)
{
    bb_rollout_phase_t phase = BbRollout_Row(duty->rollout)->phase;

    return BbRolloutPhase_IsFinal(phase) ? BbRolloutPhase_Name(phase)
                                         : "running";
}

static write_kind_t
next_write(const rollout_duty_t *duty, bb_rollout_row_t *out)
{
    const bb_rollout_row_t *row = BbRollout_Row(duty->rollout);

    if (!duty->is_fenced || duty->must_fence_again) {
        BbRolloutRow_Copy(out, row);
        return WRITE_FENCE;
    }
    if (row->phase != duty->stored_phase) {
        BbRolloutRow_Copy(out, row);
        return WRITE_ROW;
    }
    if (g_strcmp0(wanted_status(duty), duty->status) != 0) {
        return duty->earlier_to != NULL && BbRollout_MustEndEarlier(
                                               duty->rollout, duty->earlier_to)
                   ? WRITE_EARLIER_STATUS
                   : WRITE_STATUS;
    }
    if (BbRollout_NextRow(duty->rollout, out)) {
        return WRITE_NEXT;
    }
    if (row->is_reported && !duty->is_stored_reported) {
        BbRolloutRow_Copy(out, row);
        return WRITE_ROW;
    }
    return WRITE_NOTHING;
}

/* The row in the store is another one: either one that this node has written
 * in a write whose response was lost, or that of another deciding node. */
static void
handle_row_conflict(rollout_duty_t *duty, const bb_table_result_t *result)
{
    sidecar_rollouts_t *rollouts = duty->rollouts;
    const rollout_order_t *order = duty->order;
    const bb_rollout_row_t *own = BbRollout_Row(duty->rollout);
    const bb_table_row_t *found = result->count > 0 ? &result->rows[0] : NULL;
    bb_rollout_row_t row;

    if (found == NULL || found->is_removed ||
        BbRolloutRow_Parse(found->value, found->size, &row) != 0) {
        duty->row_position =
            found != NULL && !found->is_removed ? found->position : 0;
        return;
    }
    duty->row_position = found->position;
    bool is_own = strcmp(row.decider, own->decider) == 0 &&
                  row.order == own->order && row.epoch == own->epoch &&
                  row.started_ms == own->started_ms;
    bool is_first = duty->write_kind == WRITE_FENCE && !duty->is_fenced;
    if (!is_own && is_first && row.order <= own->order) {
        /* Continues from what the store has. */
        SidecarRollouts_Apply(rollouts, &row, "store");
        if (order->duty == duty) { /* else freed by CheckFence() */
            const bb_rollout_row_t *known =
                BbRolloutLocal_Row(rollouts->local, order->service);
            bool is_earlier_order =
                row.order < order->version && known->epoch == 0;
            BbRollout_Free(duty->rollout);
            duty->rollout =
                new_rollout(rollouts, order, is_earlier_order ? &row : known);
        }
    }
    else if (!is_own) {
        SidecarRollouts_Apply(rollouts, &row, "store");
        if (order->duty == duty && is_fencing(duty, &row)) {
            lose_duty(duty, &row);
        }
    }
    BbRolloutRow_Clear(&row);
}

static void
handle_row_stored(rollout_duty_t *duty, bb_position_t position)
{
    double now = rollouts_now(duty->rollouts);
    bool was_fenced = duty->is_fenced;

    duty->row_position = position;
    duty->stored_phase = duty->writing.phase;
    duty->is_stored_reported = duty->writing.is_reported;
    duty->is_fenced = true;
    duty->must_fence_again = false;
    if (duty->write_kind == WRITE_NEXT &&
        BbRollout_Confirm(duty->rollout, &duty->writing, now)) {
        log_phase(duty);
    }
    else if (!was_fenced) {
        log_phase(duty);
    }
    publish(duty);
    SidecarRollouts_Push(duty->rollouts);
}

static void
handle_status_conflict(rollout_duty_t *duty, const bb_table_result_t *result)
{
    const bb_table_row_t *found = result->count > 0 ? &result->rows[0] : NULL;
    platform_rollout_status_t status;

    g_clear_pointer(&duty->earlier_to, g_free);
    duty->status_position =
        found != NULL && !found->is_removed ? found->position : 0;
    if (found == NULL || found->value == NULL) {
        return;
    }
    Platform_DecodeRolloutStatus(found->value, found->size, &status);
    bool is_own = strcmp(status.to, duty->order->to) == 0;
    if (is_own && strcmp(status.state, wanted_status(duty)) == 0) {
        duty->status = wanted_status(duty);
    }
    else {
        duty->must_fence_again = true;
        if (!is_own && strcmp(status.state, "running") == 0) {
            duty->earlier_to = g_strdup(status.to);
        }
    }
    Platform_FreeRolloutStatus(&status);
}

static void
report_final(rollout_duty_t *duty)
{
    const bb_rollout_row_t *row = BbRollout_Row(duty->rollout);

    if (BbRolloutPhase_IsFinal(row->phase) && !row->is_reported &&
        g_strcmp0(duty->status, BbRolloutPhase_Name(row->phase)) == 0) {
        BbRollout_SetReported(duty->rollout);
        publish(duty);
    }
}

static void
handle_earlier_status_written(const bb_table_result_t *result, void *arg)
{
    rollout_duty_t *duty = arg;

    duty->write = NULL;
    log_status(duty, duty->earlier_to,
               BbRolloutPhase_Name(BB_ROLLOUT_ROLLED_BACK), result->error);
    if (result->error == 0) {
        duty->status_position = result->position;
        g_clear_pointer(&duty->earlier_to, g_free);
    }
    else if (result->error == BB_ERR_CONFLICT) {
        handle_status_conflict(duty, result);
    }
    else {
        duty->retry_at = rollouts_now(duty->rollouts) + WRITE_RETRY_S;
    }
}

static void
handle_status_written(const bb_table_result_t *result, void *arg)
{
    rollout_duty_t *duty = arg;

    duty->write = NULL;
    log_status(duty, duty->order->to, wanted_status(duty), result->error);
    if (result->error == 0) {
        duty->status_position = result->position;
        duty->status = BbRolloutPhase_IsFinal(duty->writing.phase)
                           ? BbRolloutPhase_Name(duty->writing.phase)
                           : "running";
    }
    else if (result->error == BB_ERR_CONFLICT) {
        handle_status_conflict(duty, result);
    }
    else {
        duty->retry_at = rollouts_now(duty->rollouts) + WRITE_RETRY_S;
    }
    report_final(duty);
}

static void
handle_row_written(const bb_table_result_t *result, void *arg)
{
    rollout_duty_t *duty = arg;

    duty->write = NULL;
    if (result->error == 0) {
        handle_row_stored(duty, result->position);
    }
    else if (result->error == BB_ERR_CONFLICT) {
        handle_row_conflict(duty, result);
    }
    else {
        duty->retry_at = rollouts_now(duty->rollouts) + WRITE_RETRY_S;
    }
}

static void
write_status(rollout_duty_t *duty, const char *to, const char *state,
             bb_table_done_t done)
{
    bb_table_store_t *store = duty->rollouts->sidecar->store;
    char *key =
        g_strconcat(PLATFORM_ROLLOUT_PREFIX, duty->order->service, NULL);
    char *text = Platform_FormatRolloutStatus(to, state);

    BbRolloutRow_Clear(&duty->writing);
    BbRolloutRow_Copy(&duty->writing, BbRollout_Row(duty->rollout));
    duty->write =
        store->ops->write(store, PLATFORM_STATUS_TABLE, key, text,
                          strlen(text), duty->status_position, done, duty);
    g_free(key);
    g_free(text);
}

static void
write_row(rollout_duty_t *duty, const bb_rollout_row_t *row)
{
    bb_table_store_t *store = duty->rollouts->sidecar->store;
    char *text = BbRolloutRow_Format(row);

    duty->write = store->ops->write(
        store, PLATFORM_ROLLOUT_TABLE, duty->order->service, text,
        strlen(text), duty->row_position, handle_row_written, duty);
    g_free(text);
}

static void
write_due(rollout_duty_t *duty)
{
    bb_rollout_row_t row = {0};

    if (duty->write != NULL || rollouts_now(duty->rollouts) < duty->retry_at) {
        return;
    }
    duty->write_kind = next_write(duty, &row);
    switch (duty->write_kind) {
    case WRITE_NOTHING:
        break;
    case WRITE_STATUS:
        write_status(duty, duty->order->to, wanted_status(duty),
                     handle_status_written);
        break;
    case WRITE_EARLIER_STATUS:
        write_status(duty, duty->earlier_to,
                     BbRolloutPhase_Name(BB_ROLLOUT_ROLLED_BACK),
                     handle_earlier_status_written);
        break;
    case WRITE_FENCE:
    case WRITE_NEXT:
    case WRITE_ROW:
        BbRolloutRow_Clear(&duty->writing);
        duty->writing = row;
        write_row(duty, &duty->writing);
        break;
    }
}

void
SidecarRollouts_StoreRestored(sidecar_rollouts_t *rollouts)
{
    GHashTableIter iter;
    gpointer value;

    if (rollouts == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, rollouts->orders);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        rollout_duty_t *duty = ((rollout_order_t *)value)->duty;
        if (duty != NULL) {
            duty->must_fence_again = true;
            duty->is_stored_reported = false;
            duty->status = NULL;
        }
    }
}

/* ---- decisions ---- */

static void
set_targets(rollout_duty_t *duty, double now)
{
    const GPtrArray *endpoints = BbFleet_ListEndpoints(
        duty->rollouts->sidecar->fleet, duty->order->service);
    guint count = endpoints != NULL ? endpoints->len : 0;
    bb_rollout_target_t *targets = g_new0(bb_rollout_target_t, count);

    for (guint i = 0; i < count; i++) {
        const bb_endpoint_t *endpoint = g_ptr_array_index(endpoints, i);
        targets[i] = (bb_rollout_target_t){
            .node = endpoint->node,
            .data_centre = endpoint->record.data_centre,
            .version = endpoint->record.target_version,
            .is_ready = endpoint->record.is_ready,
        };
    }
    BbRollout_SetTargets(duty->rollout, targets, count, now);
    g_free(targets);
}

static void
tick_duty(rollout_duty_t *duty)
{
    double now = rollouts_now(duty->rollouts);
    bool is_changed = false;

    if (duty->is_fenced) {
        bb_rollout_phase_t phase = BbRollout_Row(duty->rollout)->phase;
        set_targets(duty, now);
        is_changed = duty->order->is_withdrawn
                         ? BbRollout_Withdraw(duty->rollout)
                         : BbRollout_Tick(duty->rollout, now);
        log_suspect(duty);
        if (BbRollout_Row(duty->rollout)->phase != phase) {
            log_phase(duty);
        }
    }
    if (is_changed) {
        publish(duty);
    }
    report_final(duty);
    write_due(duty);
}

/* A final row whose status was written is pushed for a while longer. */
static bool
is_finished(rollout_duty_t *duty)
{
    double now = rollouts_now(duty->rollouts);

    if (!BbRollout_Row(duty->rollout)->is_reported ||
        !duty->is_stored_reported || duty->write != NULL) {
        return false;
    }
    duty->final_at = duty->final_at > 0 ? duty->final_at : now;
    return now - duty->final_at >= FINAL_PUSH_S;
}

/* Position of this node among the readers by name, or -1 if it is none. */
static int
reader_position(const sidecar_t *sidecar)
{
    const GPtrArray *others =
        BbReaders_ListOthers(sidecar->readers, sidecar->settings->data_centre);
    int position = 0;

    if (!sidecar->is_reader || !sidecar->has_records ||
        sidecar->shutdown_started_at > 0) {
        return -1;
    }
    for (guint i = 0; i < others->len; i++) {
        const bb_endpoint_t *endpoint = g_ptr_array_index(others, i);
        position += strcmp(endpoint->node, sidecar->settings->name) < 0;
    }
    return position;
}

/* Whether the roll-out of the order has ended and nothing is left to do. */
static bool
is_done(const sidecar_rollouts_t *rollouts, const rollout_order_t *order)
{
    const bb_rollout_row_t *row =
        BbRolloutLocal_Row(rollouts->local, order->service);
    bool is_final = row != NULL && row->order >= order->version &&
                    row->epoch > 0 && BbRolloutPhase_IsFinal(row->phase);

    return is_final && row->is_reported;
}

static bool
is_takeover_due(const sidecar_rollouts_t *rollouts,
                const rollout_order_t *order)
{
    const bb_rollout_row_t *row =
        BbRolloutLocal_Row(rollouts->local, order->service);
    int position = reader_position(rollouts->sidecar);
    bool is_first = (row == NULL || row->epoch == 0) && position == 0 &&
                    rollouts->table_read == NULL;
    double wait_s =
        is_first ? 0.0 : TAKEOVER_S + TAKEOVER_STEP_S * MAX(position, 0);

    return position >= 0 && Sidecar_IsStoreConnected(rollouts->sidecar) &&
           rollouts_now(rollouts) - order->heard_at >= wait_s;
}

void
SidecarRollouts_Decide(sidecar_rollouts_t *rollouts)
{
    GHashTableIter iter;
    gpointer value;
    bool has_duty = false;

    g_hash_table_iter_init(&iter, rollouts->orders);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        rollout_order_t *order = value;
        if (order->duty == NULL && !is_done(rollouts, order) &&
            is_takeover_due(rollouts, order)) {
            take_duty(rollouts, order);
        }
        if (order->duty != NULL) {
            tick_duty(order->duty);
        }
        if (order->duty != NULL && is_finished(order->duty)) {
            SidecarRollouts_DropDuty(order);
        }
        has_duty = has_duty || order->duty != NULL;
    }
    if (has_duty && rollouts_is_due(rollouts, rollouts->pushed_at)) {
        SidecarRollouts_Push(rollouts);
    }
}

bool
SidecarRollouts_IsDeciding(const sidecar_rollouts_t *rollouts)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, rollouts->orders);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const rollout_order_t *order = value;
        if (order->duty != NULL || !is_done(rollouts, order)) {
            return true;
        }
    }
    return false;
}

double
SidecarRollouts_TakeReport(sidecar_rollouts_t *rollouts, const json_t *report)
{
    const char *service =
        json_string_value(json_object_get(report, "service"));
    const rollout_order_t *order =
        service != NULL ? g_hash_table_lookup(rollouts->orders, service)
                        : NULL;

    return order != NULL && order->duty != NULL && order->duty->is_fenced
               ? BbRolloutReport_Deliver(order->duty->rollout, report,
                                         rollouts_now(rollouts))
               : -1;
}
