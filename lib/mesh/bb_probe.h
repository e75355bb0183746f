/*
 * bb_probe - checks whether unverified nodes are reachable
 *
 * An unverified node gets no calls while another node can take them (see
 * bb_placement). Testing it with a caller's call would delay that call by the
 * connect timeout of a VM that is down, at every node and repeatedly while the
 * record of the lost VM is in the table. A small request between nodes is sent
 * instead, and only to nodes for which a probe was requested.
 *
 * USE
 *   BbProbe_New() starts a timer on the loop that sends the probes that are
 *   due.
 */
#ifndef BB_PROBE_H
#define BB_PROBE_H

#include <ev.h>

#include "bb_fleet.h"
#include "bb_h1_client.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_probe bb_probe_t;

typedef struct {
    struct ev_loop *loop;
    bb_h1_client_t *client; /* borrowed */
    bb_fleet_t *fleet;      /* borrowed */
} bb_probe_options_t;

bb_probe_t *BbProbe_New(const bb_probe_options_t *options);

/* Cancels the probes in progress. */
void BbProbe_Free(bb_probe_t *probe);

#ifdef __cplusplus
}
#endif

#endif
