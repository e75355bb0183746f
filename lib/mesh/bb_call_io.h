/*
 * bb_call_io - processes the calls of the callers on this VM
 *
 * A call is sent to a node that runs beside a target of its service. It is
 * sent to a second target only if the first has certainly not run it, or if
 * its route is idempotent and the shared retry budget allows it. Responses are
 * buffered until they are complete, up to 1 MiB, so that an incomplete one can
 * be replaced by a retry; larger ones are streamed.
 *
 * USE
 *   error = BbCallIo_New(&options, &io);
 *   BbCallIo_SetConfig(io, config);
 *   BbCallIo_Free(io);
 *
 * ERRORS
 *   Responses of this node:
 *   401  the key belongs to no client account, 404 no route matches; 503 if
 *        another node has reported a newer version
 *   413  the body exceeds the configured limit
 *   429  the call exceeds the quota of its client account; with Retry-After
 *   502  the call failed and may have run
 *   503  the call has not run; with Retry-After
 *   504  the deadline has passed and the call may have run
 */
#ifndef BB_CALL_IO_H
#define BB_CALL_IO_H

#include "bb_call_quota.h"
#include "bb_fleet.h"
#include "bb_freshness.h"
#include "bb_h1_server.h"
#include "bb_hedge.h"
#include "bb_hop_client.h"
#include "bb_mesh_config.h"
#include "bb_placement.h"
#include "bb_random.h"
#include "bb_repeat_budget.h"
#include "bb_target_io.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_call_io bb_call_io_t;

/* What a roll-out decides on the placement of calls. */
typedef struct {
    /* Whether the next call of the route is part of the share of the new
     * version; counts the call. */
    bool (*is_new_turn)(const char *service, const char *route, void *arg);
    /* Whether a call may go to this node. */
    bool (*may_place)(const bb_endpoint_t *endpoint, const char *service,
                      bool is_new_turn, void *arg);
    void *arg;
} bb_call_rollout_t;

typedef struct {
    struct ev_loop *loop;
    const char *address;     /* listening address for callers */
    const char *data_centre; /* of this VM */
    const char *service;     /* of the target on this VM */
    const bb_header_names_t *names;
    bb_fleet_t *fleet;
    bb_target_io_t *target;
    bb_hop_client_t *hop;
    bb_repeat_budget_t *budget;
    bb_random_t *random;
    double spill_share;              /* see bb_placement.h */
    bool is_paced;                   /* see bb_placement.h */
    bb_hedge_t *hedge;               /* NULL without hedged calls */
    const bb_freshness_t *freshness; /* of the configuration; may be NULL */
    /* Calls with these keys get no further attempt. Borrowed; may be NULL. */
    const bb_dropped_keys_t *dropped_keys;
    bb_link_pacer_t *pacer;           /* of the outbound link; may be NULL */
    const bb_call_quota_t *quota;     /* copied; NULL for no quotas */
    const bb_call_rollout_t *rollout; /* borrowed; NULL without roll-outs */
} bb_call_io_options_t;

/* Returns 0 or an error of BbH1Server_New(). */
int BbCallIo_New(const bb_call_io_options_t *options, bb_call_io_t **out);
void BbCallIo_Free(bb_call_io_t *io);

/* Takes a reference. Calls that have begun keep their version. */
void BbCallIo_SetConfig(bb_call_io_t *io, bb_mesh_config_t *config);

/* The node is shutting down: callers are asked to close their connections. */
void BbCallIo_SetDraining(bb_call_io_t *io);

/* Refuses new calls from now on, with status 503, except those nested in runs
 * at the local target. */
void BbCallIo_RefuseNewCalls(bb_call_io_t *io);

/* The process is about to exit. Ends the calls that wait at the local target
 * with 503, and asks the nodes of forwarded calls to end them: with 503 for
 * those that wait there, which takes a round trip, and with 504 for those that
 * run. */
void BbCallIo_EndWaitingCalls(bb_call_io_t *io);

/* Ends every open call with an error response, 503 if it has certainly not
 * run, else 504, so that no connection is closed without a response when the
 * process exits. The local target starts no more calls: those of other nodes
 * that wait for it are refused as not run. */
void BbCallIo_FailOpenCalls(bb_call_io_t *io);

int BbCallIo_OpenCalls(const bb_call_io_t *io);

/* Whether all responses given so far have been passed to sockets. A call is no
 * longer open once its response is given. */
bool BbCallIo_IsFlushed(const bb_call_io_t *io);

/* Time of the last new call, in seconds of BbClock_Now(). */
double BbCallIo_LastCallTime(const bb_call_io_t *io);

#ifdef __cplusplus
}
#endif

#endif
