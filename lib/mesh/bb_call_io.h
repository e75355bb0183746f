/*
 * bb_call_io - calls of the callers on this VM, from head to last byte
 *
 * A call is placed at a node beside a target of its service. It goes to a
 * second target only when the first has certainly not run it, or when it may
 * be repeated and the shared budget allows it. Its answer is held back until
 * it is whole, or too large to hold, so that a broken one can be replaced.
 *
 * Own answers: 404 no route; 503 not run, with Retry-After; 502 it may have
 * run; 504 at the deadline, it may have run.
 */
#ifndef BB_CALL_IO_H
#define BB_CALL_IO_H

#include "bb_fleet.h"
#include "bb_h1_server.h"
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

typedef struct {
    struct ev_loop *loop;
    const char *address;     /* for callers */
    const char *data_centre; /* own */
    const char *service;     /* of the target on this VM */
    const bb_header_names_t *names;
    bb_fleet_t *fleet;
    bb_target_io_t *target;
    bb_hop_client_t *hop;
    bb_repeat_budget_t *budget;
    bb_random_t *random;
    double spill_share; /* see bb_placement.h */
} bb_call_io_options_t;

/* Returns 0 or an error of BbH1Server_New(). */
int BbCallIo_New(const bb_call_io_options_t *options, bb_call_io_t **out);
void BbCallIo_Free(bb_call_io_t *io);

/* Takes a reference. Calls under way keep the version they began with. */
void BbCallIo_SetConfig(bb_call_io_t *io, bb_mesh_config_t *config);

/* The node leaves: callers are asked to close their connections. */
void BbCallIo_SetLeaving(bb_call_io_t *io);

/* From now on new calls are refused as not run. */
void BbCallIo_SetRefusing(bb_call_io_t *io);

/* Answers every open call now, 503 when it has certainly not run, else 504,
 * so that none is cut when the process ends. */
void BbCallIo_EndAll(bb_call_io_t *io);

int BbCallIo_OpenCalls(const bb_call_io_t *io);

/* Time of the last new call, by the clock of the loop. */
double BbCallIo_LastCallAt(const bb_call_io_t *io);

#ifdef __cplusplus
}
#endif

#endif
