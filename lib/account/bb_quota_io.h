/*
 * bb_quota_io - quotas of client accounts: messages between nodes
 *
 * Connects the decisions of this node (bb_quota) with the quota owners, which
 * may be this node itself (bb_quota_owner). A report is one small POST on the
 * address for forwarded calls; it contains names of accounts and no key.
 *
 * USE
 *   BbQuotaIo_SetConfig() for each configuration; BbQuotaIo_Calls() goes into
 *   the options of bb_call_io; BbQuotaIo_HandleReport() for each request of
 *   another node on BB_QUOTA_PATH.
 *
 * LIMITS
 *   No message is sent while the configuration has no account with a limit.
 */
#ifndef BB_QUOTA_IO_H
#define BB_QUOTA_IO_H

#include <ev.h>

#include "bb_call_quota.h"
#include "bb_fleet.h"
#include "bb_h1_client.h"
#include "bb_h1_server.h"
#include "bb_mesh_config.h"
#include "bb_random.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_quota_io bb_quota_io_t;

typedef struct {
    struct ev_loop *loop;
    bb_h1_client_t *client; /* borrowed */
    bb_fleet_t *fleet;      /* borrowed */
    bb_random_t *random;    /* borrowed */
    const char *node;       /* name of this node */
    /* Whether the records of the other nodes have been received. Until then
     * this node does not take itself for the owner. NULL: always. */
    bool (*is_fleet_known)(void *arg);
    void *arg;
} bb_quota_io_options_t;

bb_quota_io_t *BbQuotaIo_New(const bb_quota_io_options_t *options);
void BbQuotaIo_Free(bb_quota_io_t *io);

/* Adopts the accounts of a configuration. */
void BbQuotaIo_SetConfig(bb_quota_io_t *io, const bb_mesh_config_t *config);

/* Admission of calls for bb_call_io. */
bb_call_quota_t BbQuotaIo_Calls(bb_quota_io_t *io);

/* Responds to the report of another node. body has size bytes. */
void BbQuotaIo_HandleReport(bb_quota_io_t *io, bb_h1_request_t *request,
                            const char *body, size_t size);

/* Name of the owner of an account as this node knows it, "" for none. */
const char *BbQuotaIo_Owner(const bb_quota_io_t *io, const char *account);

#ifdef __cplusplus
}
#endif

#endif
