/*
 * bb_mesh_config - routes, services and client accounts of one configuration
 *                  version
 *
 * A configuration is reference counted, so that a call keeps the version that
 * it started with, and immutable once it is in force, except for the position
 * of its weighted splits.
 *
 * USE
 *   config = BbMeshConfig_New(version);
 *   BbMeshConfig_AddService(config, "orders", 120);
 *   route = BbMeshConfig_AddRoute(config, &options);
 *   BbMeshRoute_AddPart(route, "orders", 90);
 *   BbMeshConfig_Check(config, &findings) before the version is applied.
 *
 * ERRORS
 *   BbMeshConfig_Check() reports each route that has no parts, a prefix
 *   without leading slash, a weight below 1 or a service that is not
 *   configured.
 */
#ifndef BB_MESH_CONFIG_H
#define BB_MESH_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bb_account.h"
#include "bb_findings.h"
#include "bb_random.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_mesh_config bb_mesh_config_t;

typedef struct {
    char *service;
    int weight;
    int64_t credit; /* current weight in the smooth weighted round robin */
} bb_route_part_t;

typedef struct {
    char *name;
    char *host;   /* lower case */
    char *prefix; /* begins and ends with '/' */
    bool is_idempotent;
    double timeout_s;        /* longest wait for a response; 0 for no limit */
    double target_latency_s; /* a later response is worth less */
    int rank;                /* 0 is the most urgent */
    int max_targets;         /* most targets that one call is sent to; 0 for no
                                limit */
    bool is_public;          /* needs no key of a client account */
    bb_route_part_t *parts;
    size_t part_count;
} bb_mesh_route_t;

typedef struct {
    const char *name;
    const char *host;
    const char *prefix;
    bool is_idempotent;
    double timeout_s;
    double target_latency_s;
    int rank;
    int max_targets;
    bool is_public;
} bb_mesh_route_options_t;

/* Limits of the requests of callers; 0 for no limit. */
typedef struct {
    int64_t head_bytes;
    int64_t body_bytes;
    double head_s; /* time to receive the head of a request */
    double idle_s; /* idle time of a connection */
} bb_mesh_limits_t;

bb_mesh_config_t *BbMeshConfig_New(int64_t version);
bb_mesh_config_t *BbMeshConfig_Ref(bb_mesh_config_t *config);
void BbMeshConfig_Unref(bb_mesh_config_t *config);

void BbMeshConfig_AddService(bb_mesh_config_t *config, const char *name,
                             int max_connections);
bb_mesh_route_t *BbMeshConfig_AddRoute(bb_mesh_config_t *config,
                                       const bb_mesh_route_options_t *options);
void BbMeshRoute_AddPart(bb_mesh_route_t *route, const char *service,
                         int weight);
void BbMeshConfig_SetLimits(bb_mesh_config_t *config,
                            const bb_mesh_limits_t *limits);

/* Replaces the client accounts. The configuration takes ownership; NULL, the
 * default, means that calls need no key. */
void BbMeshConfig_SetAccounts(bb_mesh_config_t *config,
                              bb_account_table_t *accounts);

/* Returns 0 or BB_ERR_INVALID with findings. */
int BbMeshConfig_Check(const bb_mesh_config_t *config,
                       bb_findings_t *findings);

int64_t BbMeshConfig_Version(const bb_mesh_config_t *config);
size_t BbMeshConfig_RouteCount(const bb_mesh_config_t *config);
const bb_mesh_limits_t *BbMeshConfig_Limits(const bb_mesh_config_t *config);

/* Returns a route by its position, below BbMeshConfig_RouteCount(). */
const bb_mesh_route_t *BbMeshConfig_RouteAt(const bb_mesh_config_t *config,
                                            size_t index);

/* Returns the route that is in force for this host and prefix, or NULL. */
const bb_mesh_route_t *BbMeshConfig_FindExact(const bb_mesh_config_t *config,
                                              const char *host,
                                              const char *prefix);

bool BbMeshConfig_HasService(const bb_mesh_config_t *config, const char *name);

/* Calls visit for each service, in the order of the names. */
void BbMeshConfig_ForEachService(const bb_mesh_config_t *config,
                                 void (*visit)(const char *name,
                                               int max_connections, void *arg),
                                 void *arg);

/* NULL if the configuration has no client accounts. */
const bb_account_table_t *
BbMeshConfig_Accounts(const bb_mesh_config_t *config);

/* Longest timeout_s of the routes that have one; 0 without such a route. */
double BbMeshConfig_LongestTimeout(const bb_mesh_config_t *config);

/* Connections that a target of the service accepts; 0 if unknown. */
int BbMeshConfig_MaxConnections(const bb_mesh_config_t *config,
                                const char *service);

/* Starts each split at a random position; otherwise the first calls of all
 * nodes would go to the same part. */
void BbMeshConfig_ShuffleSplits(bb_mesh_config_t *config, bb_random_t *random);

/* Returns the route of the host with the longest prefix of the path, or NULL.
 * The query of the request target and the case and port of the host are
 * ignored. */
bb_mesh_route_t *BbMeshConfig_FindRoute(bb_mesh_config_t *config,
                                        const char *host, const char *target);

/* Returns the service for the next call of the route, in proportion to the
 * weights. */
const char *BbMeshRoute_NextService(bb_mesh_route_t *route);

#ifdef __cplusplus
}
#endif

#endif
