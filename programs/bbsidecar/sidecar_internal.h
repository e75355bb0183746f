/*
 * sidecar_internal - state and functions shared by the sources of the sidecar
 */
#ifndef SIDECAR_INTERNAL_H
#define SIDECAR_INTERNAL_H

#include <time.h>

#include "bb_call_io.h"
#include "bb_follower.h"
#include "bb_freshness.h"
#include "bb_hop_client.h"
#include "bb_hop_server.h"
#include "bb_local_target.h"
#include "bb_probe.h"
#include "bb_quota_io.h"
#include "bb_row_writer.h"
#include "bb_sync_client.h"
#include "bb_sync_server.h"
#include "platform.h"
#include "sidecar.h"
#include "sidecar_rollout.h"

struct sidecar {
    struct ev_loop *loop;
    const bb_sidecar_settings_t *settings;
    const char *path; /* of the settings file */
    struct timespec settings_changed_at;
    bb_random_t *random;
    bb_fleet_t *fleet;
    bb_readers_t *readers;
    bb_mesh_config_t *config;
    bb_freshness_t freshness; /* of config */
    bb_dropped_keys_t *dropped_keys;
    bb_local_target_t *target;
    bb_target_io_t *target_io;
    bb_link_pacer_t *pacer;
    bb_link_admission_t *link_admission;
    bb_pace_t *pace;   /* NULL without slow start */
    bb_hedge_t *hedge; /* NULL without hedged calls */
    bb_hop_server_t *hop_server;
    bb_hop_client_t *hop_client;
    bb_quota_io_t *quota_io;
    bb_call_io_t *call_io;
    bb_repeat_budget_t *budget;
    bb_table_store_t *store;
    bb_follower_t *config_follower;
    bb_follower_t *node_follower;
    bb_row_writer_t *record; /* writer of the record of this node */
    bb_versions_t *versions;
    bb_sync_server_t *sync_server;
    bb_sync_client_t *sync_client;
    bb_probe_t *probe;
    sidecar_rollouts_t *rollouts; /* NULL where the settings disable them */
    bb_position_t peer_revision;  /* of all node records received from other
                                     nodes */
    bool is_reader;   /* reads the store for the nodes that are not */
    bool has_records; /* the node table of the store was read completely */
    bool is_own_record_logged;
    bb_h1_server_t *admin;
    bb_h1_server_t *metrics;
    bb_h1_server_t *announcements;
    ev_signal term_signal;
    ev_signal interrupt_signal;
    ev_signal hangup_signal;
    ev_timer settings_timer;
    ev_timer role_timer;
    ev_timer shutdown_timer;
    ev_timer store_loss_timer; /* end of the grace after a loss */
    double store_lost_at;      /* last loss or begin of reading */
    ev_timer restored_timer;
    ev_timer record_timer; /* end of the wait for the record of this node */
    ev_timer ack_timer;
    GPtrArray *pending_leaves; /* answered once the record is written */
    double started_at;
    double shutdown_started_at; /* 0 before SIGTERM */
    double target_departed_at;  /* when the target began to leave, or 0 */
};

/* ---- sidecar.c ---- */

/* The state of the local target has changed. */
void Sidecar_TargetChanged(sidecar_t *sidecar, const char *reason);

/* ---- sidecar_record.c: record of this node ---- */

/* Needs the store. */
void Sidecar_StartRecord(sidecar_t *sidecar);

/* Updates the record of this node in the local fleet and, once enough is known
 * about its target, in the shared node table. */
void Sidecar_PublishRecord(sidecar_t *sidecar);

/* Restores the state of the target from the record of this node, which may be
 * one of an earlier process; record NULL means that there is none. source is
 * "store" or "node". */
void Sidecar_RestoreRecord(sidecar_t *sidecar, const bb_node_record_t *record,
                           const char *source);

/* The target is draining or gone. */
bool Sidecar_HasTargetDeparted(const sidecar_t *sidecar);

/* ---- sidecar_sync.c: configuration versions and node records ---- */

void Sidecar_StartStore(sidecar_t *sidecar);
void Sidecar_StartSync(sidecar_t *sidecar);

/* Whether this node reads the store and reaches it. */
bool Sidecar_IsStoreConnected(const sidecar_t *sidecar);

/* Position of the store up to which all node records are known. */
bb_position_t Sidecar_RecordsPosition(const sidecar_t *sidecar);

/* Callbacks for bb_hop_server and bb_hop_client; arg is the sidecar. */
int64_t Sidecar_OwnVersion(void *arg);
void Sidecar_HandlePeerVersion(int64_t version, const char *address,
                               void *arg);
void Sidecar_HandlePeerRequest(bb_h1_request_t *request, void *arg);
void Sidecar_HandlePeerMessage(bb_h1_request_t *request, const char *body,
                               size_t size, void *arg);
void Sidecar_DropPeerRequest(bb_h1_request_t *request, void *arg);

/* ---- sidecar_endpoints.c: target announcements and admin endpoints ---- */

/* Returns 0 or an error of BbH1Server_New(). */
int Sidecar_StartEndpoints(sidecar_t *sidecar);

/* Acknowledges the leave announcements that waited for the record to be
 * written. */
void Sidecar_AcknowledgeLeaves(sidecar_t *sidecar);

#endif
