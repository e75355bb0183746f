/*
 * sidecar_rollout_internal - shared by the files of sidecar_rollout
 */
#ifndef SIDECAR_ROLLOUT_INTERNAL_H
#define SIDECAR_ROLLOUT_INTERNAL_H

#include "bb_clock.h"
#include "bb_h1_fetch.h"
#include "bb_rollout_local.h"
#include "sidecar_internal.h"

/* Decisions, reports and pushes are due at multiples of this. */
#define ROLLOUT_TICK_S 0.125

/* Longest interval of reports and pushes. */
#define ROLLOUT_REPORT_S 0.5

/* Reports in the time within which a bad version must get no more calls. */
#define ROLLOUT_REPORTS_TO_ROLLBACK 10.0

/* A message without a response for this long is lost. */
#define ROLLOUT_MESSAGE_S 0.9

/* An order of the operator, as this node has read it. */
typedef struct {
    char *service;
    char *to;
    double duration_s;
    int64_t version;        /* of its row when it was first read */
    bb_position_t position; /* of its row when it was read last */
    bb_rollout_sighting_t sighting;
    bool is_withdrawn;
    double heard_at;           /* last push of the deciding node */
    struct rollout_duty *duty; /* NULL while another node decides */
} rollout_order_t;

struct sidecar_rollouts {
    sidecar_t *sidecar;
    bb_rollout_local_t *local;
    bb_target_rollout_t target_hooks;
    bb_call_rollout_t call_hooks;
    bb_sync_rows_t sync_rows;
    GHashTable *orders; /* service to rollout_order_t */
    ev_timer tick_timer;
    GPtrArray *messages; /* in progress, of rollout_message_t */
    double reported_at;
    bb_rollout_phase_t reported_phase; /* of the row of the last report */
    int64_t reported_epoch;
    double pushed_at;
    bool was_accepting;
    void *table_read; /* of the store; NULL when none is in progress */
};

/* A POST to another node. */
typedef struct {
    sidecar_rollouts_t *rollouts;
    bb_h1_fetch_t *fetch;
    int64_t order; /* of a report */
    double sent_at;
    bool is_report;
} rollout_message_t;

static inline double
rollouts_now(const sidecar_rollouts_t *rollouts)
{
    return BbClock_Now(rollouts->sidecar->loop);
}

/* Whether a report or a push is due that was made last at some time; half a
 * tick early, since ticks are late by up to some milliseconds. */
static inline bool
rollouts_is_due(const sidecar_rollouts_t *rollouts, double last_at)
{
    double interval_s =
        MIN(ROLLOUT_REPORT_S, rollouts->sidecar->settings->rollback_s /
                                  ROLLOUT_REPORTS_TO_ROLLBACK);

    return rollouts_now(rollouts) - last_at >= interval_s - ROLLOUT_TICK_S / 2;
}

/* ---- sidecar_rollout.c ---- */

/* Takes a row if it is newer than the known one; source is "order", "node",
 * "store" or "own". */
void SidecarRollouts_Apply(sidecar_rollouts_t *rollouts,
                           const bb_rollout_row_t *row, const char *source);

void SidecarRollouts_Wake(sidecar_rollouts_t *rollouts);

/* Sends a POST; a response may carry rows, and a lease for a report. */
void SidecarRollouts_Send(sidecar_rollouts_t *rollouts, const char *address,
                          const char *json, const rollout_message_t *about);

/* ---- sidecar_rollout_decide.c ---- */

/* Takes over orders that nobody decides on, and ticks the own ones. */
void SidecarRollouts_Decide(sidecar_rollouts_t *rollouts);

/* Pushes the rows of the own roll-outs to the other readers. */
void SidecarRollouts_Push(sidecar_rollouts_t *rollouts);

/* Whether this node has something to decide or to watch. */
bool SidecarRollouts_IsDeciding(const sidecar_rollouts_t *rollouts);

/* A row of another deciding node was taken: ends the own duty if it is newer.
 */
void SidecarRollouts_CheckFence(sidecar_rollouts_t *rollouts,
                                const bb_rollout_row_t *row);

void SidecarRollouts_DropDuty(rollout_order_t *order);

/* Returns the lease for a report, or -1 if this node does not decide. */
double SidecarRollouts_TakeReport(sidecar_rollouts_t *rollouts,
                                  const json_t *report);

#endif
