/*
 * bb_mesh_config - routes and services of one configuration version
 *
 * A snapshot is immutable but for the position of its weighted splits, and
 * reference counted: a call keeps the version that it began with.
 *
 * USE
 *   config = BbMeshConfig_New(version);
 *   BbMeshConfig_AddService(config, "orders", 120);
 *   route = BbMeshConfig_AddRoute(config, &options);
 *   BbMeshRoute_AddPart(route, "orders", 90);
 *   BbMeshConfig_Check(config, &findings) before it comes into force.
 *
 * ERRORS
 *   BbMeshConfig_Check() reports each route without parts, with a weight
 *   below 1 or with a service that the version lacks.
 */
#ifndef BB_MESH_CONFIG_H
#define BB_MESH_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bb_findings.h"
#include "bb_random.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_mesh_config bb_mesh_config_t;

typedef struct {
    char *service;
    int weight;
    int64_t credit; /* position in the smooth weighted round robin */
} bb_route_part_t;

typedef struct {
    char *name;
    char *host;   /* lower case */
    char *prefix; /* begins and ends with '/' */
    bool is_idempotent;
    double timeout_s;        /* longest wait for an answer; 0 for none */
    double target_latency_s; /* an answer within it is worth most */
    int rank;                /* 0 is the most urgent */
    int max_targets;         /* that one call may be sent to */
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
} bb_mesh_route_options_t;

/* What callers may send; 0 for no limit. */
typedef struct {
    int64_t head_bytes;
    int64_t body_bytes;
    double head_s;
    double idle_s;
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

/* Returns 0 or BB_ERR_INVALID with findings. */
int BbMeshConfig_Check(const bb_mesh_config_t *config,
                       bb_findings_t *findings);

int64_t BbMeshConfig_Version(const bb_mesh_config_t *config);
size_t BbMeshConfig_RouteCount(const bb_mesh_config_t *config);
const bb_mesh_limits_t *BbMeshConfig_Limits(const bb_mesh_config_t *config);

/* Connections that a target of the service takes, 0 when not known. */
int BbMeshConfig_MaxConnections(const bb_mesh_config_t *config,
                                const char *service);

/* Starts each split at a random position, so that the first calls of many
 * nodes do not all go to the same part. */
void BbMeshConfig_ShuffleSplits(bb_mesh_config_t *config, bb_random_t *random);

/* The route with the longest prefix of the path; a query is ignored, as are
 * case and port of the host. NULL when none matches. */
bb_mesh_route_t *BbMeshConfig_FindRoute(bb_mesh_config_t *config,
                                        const char *host, const char *target);

/* Service of the next call on a route, in proportion to the weights. */
const char *BbMeshRoute_NextService(bb_mesh_route_t *route);

#ifdef __cplusplus
}
#endif

#endif
