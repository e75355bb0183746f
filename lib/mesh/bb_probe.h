/*
 * bb_probe - asks nodes that may be lost whether they are there
 *
 * A node that is doubted gets no calls while another can have them (see
 * bb_placement). Trying it with a caller's call would hold that call for the
 * time of a connect to a VM without power, at every node and again and again
 * while the record of a lost VM stands in the table. So a small request
 * between nodes is sent instead, only to nodes that a call would have gone to.
 *
 * USE
 *   BbProbe_New() starts a timer on the loop; nothing else is to be done.
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

/* Probes under way are dropped. */
void BbProbe_Free(bb_probe_t *probe);

#ifdef __cplusplus
}
#endif

#endif
