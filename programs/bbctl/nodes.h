/*
 * nodes - reads GET /status from the admin addresses of nodes
 *
 * Uses "config.version" and, where a node reports it,
 * "services": {NAME: {"live": N}}.
 */
#ifndef BBCTL_NODES_H
#define BBCTL_NODES_H

#include "bbctl.h"

/* Splits a list "A,B" and strips white space. Free the result with
 * g_strfreev(). */
char **Nodes_SplitAddresses(const char *list);

/* Returns the version in one response to /status, -1 when it has none. */
int64_t Nodes_GetVersion(json_t *status);

/* Asks the nodes of the list and adds a key to live for each service that has
 * a live target. Returns the number of nodes that reported their services. */
int Nodes_CollectLiveServices(bbctl_t *ctl, const char *list, json_t *live);

#endif
