/*
 * admin - the HTTP endpoints of one node for its target and its operators
 *
 *   POST /v1/announce   the target's announcement; 204, 400 with the reason
 *   GET  /status        JSON, see Node_StatusJson()
 *   GET  /metrics       counters in the Prometheus text format
 *   GET  /explain       JSON; query kind=call|route|node|version and the
 *                       members of node_explain_t
 *   GET  /healthz       200 once a version is in force and the node does not
 *                       drain, 503 before and after
 */
#ifndef ADMIN_H
#define ADMIN_H

#include <ev.h>

#include "node.h"

typedef struct admin admin_t;

/* Returns 0, BB_ERR_ADDRESS_IN_USE, BB_ERR_ARGUMENT or BB_ERR_IO. */
int Admin_New(struct ev_loop *loop, const char *address, node_t *node,
              admin_t **out);

void Admin_Free(admin_t *admin);

#endif
