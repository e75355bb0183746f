/*
 * sidecar_rollout - roll-outs of target versions, as far as this node takes
 * part
 *
 * Any node follows the rows that it receives (bb_rollout_local) and reports
 * what its target does. Nodes that read the store also learn the operator's
 * orders; one of them decides (bb_rollout) and pushes its rows to the others,
 * from which all other nodes get them with bb_sync_client. See
 * docs/design/rollout.md.
 *
 * All functions accept rollouts NULL (disabled by the settings) and then do
 * nothing.
 */
#ifndef SIDECAR_ROLLOUT_H
#define SIDECAR_ROLLOUT_H

#include <glib.h>

#include "bb_call_io.h"
#include "bb_rollout_local.h"
#include "bb_sync_server.h"
#include "bb_table.h"
#include "bb_target_io.h"

/* Reports and pushed rows are POSTs to this path. */
#define SIDECAR_ROLLOUT_PATH "/burdockbarrow/rollout"

typedef struct sidecar sidecar_t;
typedef struct sidecar_rollouts sidecar_rollouts_t;

/* Needs the settings and the loop of the sidecar only. */
sidecar_rollouts_t *SidecarRollouts_New(sidecar_t *sidecar);

/* To be called before the client and the store are freed. */
void SidecarRollouts_Free(sidecar_rollouts_t *rollouts);

/* NULL where roll-outs are disabled; valid as long as rollouts. */
const bb_target_rollout_t *
SidecarRollouts_TargetHooks(const sidecar_rollouts_t *rollouts);
const bb_call_rollout_t *
SidecarRollouts_CallHooks(const sidecar_rollouts_t *rollouts);
const bb_sync_rows_t *
SidecarRollouts_SyncRows(const sidecar_rollouts_t *rollouts);

int64_t SidecarRollouts_Revision(const sidecar_rollouts_t *rollouts);

/* A row of an order was read from the store. absent_at: the latest moment at
 * which the store certainly had no such row; 0 at the first read. */
void SidecarRollouts_HandleOrder(sidecar_rollouts_t *rollouts,
                                 const bb_table_row_t *row, double absent_at);

/* Withdraws the orders whose keys a full read at this position did not
 * contain, except those of an earlier generation of the store: the operator
 * writes them again. */
void SidecarRollouts_KeepOrders(sidecar_rollouts_t *rollouts, GHashTable *keys,
                                bb_position_t position);

/* The store was restored from a copy: the deciding node writes the rows of its
 * roll-outs again, which the store may have lost. */
void SidecarRollouts_StoreRestored(sidecar_rollouts_t *rollouts);

/* A row of a roll-out was received from another node. */
void SidecarRollouts_HandleRow(sidecar_rollouts_t *rollouts, const char *text,
                               size_t size);

/* Responds to a POST to SIDECAR_ROLLOUT_PATH. */
void SidecarRollouts_HandleMessage(sidecar_rollouts_t *rollouts,
                                   bb_h1_request_t *request, const char *body,
                                   size_t size);

#endif
