/*
 * node - one bbnode process: creates the modules and connects their callbacks
 *
 * Owns the loop's signal watchers and the order of start and shutdown.
 * SIGTERM or SIGINT starts a drain: new calls are refused, calls in flight
 * finish, and the leave message is sent. A second signal ends the process at
 * once.
 */
#ifndef NODE_H
#define NODE_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>

#include "bb_settings.h"

typedef struct node node_t;

/* Returns NULL if an address cannot be bound, and logs each such address.
 * settings must outlive the node. */
node_t *Node_New(struct ev_loop *loop, const bb_settings_t *settings);

void Node_Free(node_t *node);

/* Returns a new reference to the JSON of /status: version, membership, calls,
 * platform and counters. */
json_t *Node_StatusJson(node_t *node);

/* Query of GET /explain; members may be NULL. */
typedef struct {
    const char *kind; /* "call", "route", "node" or "version" */
    const char *name; /* of the route; for a call, its path if path is NULL */
    const char *host; /* of the call */
    const char *path;
    const char *method;
} node_explain_t;

/* Returns a new reference, or NULL if the kind is unknown. Explains to which
 * route and targets a call would go, or describes a route, this node's view of
 * the mesh, or the version in force. */
json_t *Node_ExplainJson(node_t *node, const node_explain_t *query);

/* Processes the announcement of the local target (JSON text). Returns 0,
 * BB_ERR_PARSE, or BB_ERR_INVALID with the name of the first invalid field. */
int Node_Announce(node_t *node, const char *text, size_t size,
                  const char **field);

/* True if a version is in force and the node is not draining. */
bool Node_IsReady(const node_t *node);

#endif
