/*
 * sidecar - one node of the mesh, beside one target
 *
 * Joins the parts of lib/mesh and the platform's adapter: follows the
 * operator's configuration and the records of other nodes, keeps the own
 * record, hears the target beside it, and ends in order after SIGTERM.
 */
#ifndef SIDECAR_H
#define SIDECAR_H

#include <ev.h>

#include "bb_sidecar_settings.h"

typedef struct sidecar sidecar_t;

/* settings and path stay the caller's; the file is read again at SIGHUP and
 * when it changes. NULL when an address cannot be bound. */
sidecar_t *Sidecar_New(struct ev_loop *loop,
                       const bb_sidecar_settings_t *settings,
                       const char *path);
void Sidecar_Free(sidecar_t *sidecar);

#endif
