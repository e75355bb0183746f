/* Record of this node in the shared node table: what it tells others, and what
 * it tells the next process of this node. */
#include "bb_clock.h"
#include "bb_event.h"
#include "sidecar_internal.h"

/* This long after the start the record of this node is written in any case. */
#define RECORD_WAIT_S 2.5

/* When the record of an earlier process of this node says that the target is
 * ready, it is assumed ready for this long after the start. The next heartbeat
 * arrives within that time. */
#define RESTORED_READY_S 2.5

/* A record that could not be read for this long after the start is given up:
 * from then on heartbeats count without it. Longer than a heartbeat is late as
 * a rule, and short enough that a live target is not idle through an outage of
 * the store. */
#define RECORD_MISSING_S 5.0

/* ---- publishing ---- */

static bool
accepts_calls(const sidecar_t *sidecar)
{
    return BbLocalTarget_State(sidecar->target) == BB_LOCAL_READY &&
           sidecar->shutdown_started_at <= 0;
}

bool
Sidecar_HasTargetDeparted(const sidecar_t *sidecar)
{
    bb_local_state_t state = BbLocalTarget_State(sidecar->target);

    return state == BB_LOCAL_DRAINING || state == BB_LOCAL_GONE;
}

/* A record written before the first heartbeat of the target, or before the
 * record of an earlier process of this node was read, would soon have to be
 * written again. */
static bool
is_record_due(const sidecar_t *sidecar)
{
    bool is_target_known =
        BbLocalTarget_State(sidecar->target) != BB_LOCAL_UNKNOWN;
    bool is_table_known =
        sidecar->has_records || sidecar->settings->is_first_start;

    return Sidecar_HasTargetDeparted(sidecar) ||
           (is_target_known && is_table_known) ||
           BbClock_Now(sidecar->loop) - sidecar->started_at >= RECORD_WAIT_S;
}

/* A node that shuts down removes its record, unless its target has departed:
 * the next process must know that, since heartbeats that the target sent
 * before may arrive seconds late. */
static bool
is_record_wanted(const sidecar_t *sidecar)
{
    return sidecar->shutdown_started_at <= 0 ||
           Sidecar_HasTargetDeparted(sidecar);
}

void
Sidecar_PublishRecord(sidecar_t *sidecar)
{
    const bb_sidecar_settings_t *settings = sidecar->settings;
    const bb_node_record_t record = {
        .address = settings->forward_address,
        .data_centre = settings->data_centre,
        .service = settings->service,
        .target_id = (char *)BbLocalTarget_Id(sidecar->target),
        .is_target_departed = Sidecar_HasTargetDeparted(sidecar),
        .target_born_ms = BbLocalTarget_BornMs(sidecar->target),
        .departed_born_ms = BbLocalTarget_DepartedBornMs(sidecar->target),
        .slots = BbLocalTarget_Slots(sidecar->target),
        .is_ready = accepts_calls(sidecar),
        .is_stopped = sidecar->shutdown_started_at > 0,
        .link_mbps = (int)sidecar->settings->link_mbps,
        .target_version = (char *)BbLocalTarget_Version(sidecar->target),
    };

    BbFleet_SetOwn(sidecar->fleet, &record, BbClock_Now(sidecar->loop));
    if (!is_record_wanted(sidecar)) {
        BbRowWriter_Set(sidecar->record, NULL);
        return;
    }
    if (!is_record_due(sidecar)) {
        return;
    }
    char *text = BbNodeRecord_Format(&record);
    BbRowWriter_Set(sidecar->record, text);
    g_free(text);
}

/* ---- restoring ---- */

/* Reports what an earlier process of this node has left in its record; record
 * NULL means that there is none. Only the first record that this process
 * learns of is reported, since it writes the later ones itself. */
static void
log_own_record(sidecar_t *sidecar, const bb_node_record_t *record,
               const char *source)
{
    if (sidecar->is_own_record_logged) {
        return;
    }
    sidecar->is_own_record_logged = true;
    const char *state = record == NULL               ? "none"
                        : record->is_target_departed ? "departed"
                        : record->is_ready           ? "ready"
                                                     : "not_ready";
    if (BbEvent_Allows(BB_EVENT_OWN_RECORD)) {
        BbEvent_Write(
            BB_EVENT_OWN_RECORD,
            json_pack("{s:s, s:s, s:s, s:f}", "record", state, "target",
                      record != NULL ? record->target_id : "", "source",
                      source, "after_s",
                      BbClock_Now(sidecar->loop) - sidecar->started_at));
    }
}

static void
expire_restored_state(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    sidecar_t *sidecar = timer->data;

    if (BbLocalTarget_ExpireRestored(sidecar->target)) {
        Sidecar_TargetChanged(sidecar, "not_confirmed");
    }
}

/* The target keeps running while its node is restarted. A leave is
 * acknowledged only after it is in the record, so a record that says "ready"
 * is outdated for a moment at most. If a target process with another
 * start time runs at the address, it refuses the call. */
static void
restore_ready(sidecar_t *sidecar, const bb_node_record_t *record)
{
    double age_s = BbClock_Now(sidecar->loop) - sidecar->started_at;

    if (age_s < RESTORED_READY_S && sidecar->shutdown_started_at <= 0 &&
        BbLocalTarget_RestoreReady(sidecar->target, record->target_id,
                                   record->target_born_ms, record->slots)) {
        BbLocalTarget_RestoreVersion(sidecar->target, record->target_version);
        ev_timer_set(&sidecar->restored_timer, RESTORED_READY_S - age_s, 0.0);
        ev_timer_start(sidecar->loop, &sidecar->restored_timer);
        Sidecar_TargetChanged(sidecar, "recalled");
    }
}

/* The record of an earlier process of this node, if there is one, is restored:
 * heartbeats count from now on. */
static void
finish_restoring(sidecar_t *sidecar)
{
    ev_timer_stop(sidecar->loop, &sidecar->record_timer);
    if (BbLocalTarget_RecordKnown(sidecar->target)) {
        Sidecar_TargetChanged(sidecar, "heartbeat");
    }
}

static void
give_up_record(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    sidecar_t *sidecar = timer->data;

    log_own_record(sidecar, NULL, "timeout");
    BbLocalTarget_RecordMissing(sidecar->target);
}

static void
restore_target(sidecar_t *sidecar, const bb_node_record_t *record)
{
    if (record->is_target_departed) {
        if (BbLocalTarget_RestoreDeparted(sidecar->target, record->target_id,
                                          record->target_born_ms,
                                          record->departed_born_ms)) {
            Sidecar_TargetChanged(sidecar, "recalled");
        }
    }
    else if (record->is_ready) {
        restore_ready(sidecar, record);
    }
}

void
Sidecar_RestoreRecord(sidecar_t *sidecar, const bb_node_record_t *record,
                      const char *source)
{
    log_own_record(sidecar, record, source);
    if (record != NULL) {
        restore_target(sidecar, record);
    }
    finish_restoring(sidecar);
}

static void
restore_from_own_row(const bb_table_row_t *row, void *arg)
{
    bb_node_record_t record;

    if (row->value != NULL &&
        BbNodeRecord_Parse(row->value, row->size, &record) == 0) {
        Sidecar_RestoreRecord(arg, &record, "store");
        BbNodeRecord_Clear(&record);
    }
}

/* ---- start ---- */

static void
record_written(void *arg)
{
    Sidecar_AcknowledgeLeaves(arg);
}

void
Sidecar_StartRecord(sidecar_t *sidecar)
{
    const bb_row_writer_options_t record = {
        .loop = sidecar->loop,
        .store = sidecar->store,
        .table = PLATFORM_NODE_TABLE,
        .key = sidecar->settings->name,
        .random = sidecar->random,
        .on_conflict = restore_from_own_row,
        .on_done = record_written,
        .arg = sidecar,
    };

    sidecar->record = BbRowWriter_New(&record);
    ev_init(&sidecar->restored_timer, expire_restored_state);
    sidecar->restored_timer.data = sidecar;
    ev_timer_init(&sidecar->record_timer, give_up_record, RECORD_MISSING_S,
                  0.0);
    sidecar->record_timer.data = sidecar;
    ev_timer_start(sidecar->loop, &sidecar->record_timer);
}
