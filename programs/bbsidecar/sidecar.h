/*
 * sidecar - one node of the mesh, running beside one target
 *
 * Connects the modules of lib/mesh with the platform adapter: follows the
 * operator's configuration and the records of other nodes, publishes its own
 * record, receives the heartbeats of its target, and shuts down gracefully
 * after SIGTERM or SIGINT.
 */
#ifndef SIDECAR_H
#define SIDECAR_H

#include <ev.h>

#include "bb_sidecar_settings.h"

typedef struct sidecar sidecar_t;

/* settings and path are borrowed. The settings file is read again at SIGHUP
 * and when it changes. Returns NULL when an address cannot be bound. */
sidecar_t *Sidecar_New(struct ev_loop *loop,
                       const bb_sidecar_settings_t *settings,
                       const char *path);
void Sidecar_Free(sidecar_t *sidecar);

#endif
