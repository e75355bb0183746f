/*
 * bb_fleet - the nodes that a node knows, each beside one target
 *
 * A node writes a record of itself into the shared table when its target or
 * its own state changes. Records are merged by their revision, so that news
 * from the table and from other nodes may arrive in any order.
 *
 * USE
 *   BbFleet_Merge() for each row, then BbFleet_Service() to walk the nodes
 *   beside the targets of a service.
 *
 * LIMITS
 *   An endpoint stays allocated while calls hold it, also after its removal.
 */
#ifndef BB_FLEET_H
#define BB_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bb_load.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What a node says of itself in the shared table. */
typedef struct {
    char *address; /* for forwarded calls, "IP:PORT" */
    char *data_centre;
    char *service;
    char *target_id;        /* incarnation of the target; empty without one */
    bool is_target_left;    /* it has announced that it leaves */
    int64_t target_born_ms; /* wall clock at its start; 0 when not known */
    int slots;
    bool is_ready; /* takes new calls */
    int link_mbps; /* width of the VM's link */
} bb_node_record_t;

/* A node as the choosing node sees it; times are seconds. */
typedef struct {
    int references;
    char *node;
    bb_node_record_t record;
    int64_t revision; /* of the row */
    bool is_removed;
    bool is_local; /* this node itself */
    /* state of bb_placement */
    int in_flight; /* own calls */
    bb_load_t load;
    double load_at; /* 0 while no report is known */
    int in_flight_at_load;
    double fail_rate; /* moving share of own attempts that failed */
    double fail_at;
    double avoid_until; /* not chosen before, but as a last resort */
    bool is_doubted;    /* lost, or not heard of yet */
    bool is_lost;       /* it has not answered: a last resort too */
    bool is_wanted;     /* a call would have gone there but for the doubt */
    bool is_probed;     /* a probe is under way */
    double doubted_at;
    double probe_at; /* not before */
    double probe_backoff_s;
    int probe_failures;     /* since it was doubted */
    GHashTable *full_until; /* class of calls to the time before which the
                               node has no room for it; NULL while empty */
} bb_endpoint_t;

typedef struct bb_fleet bb_fleet_t;

bb_fleet_t *BbFleet_New(const char *own_node);
void BbFleet_Free(bb_fleet_t *fleet);

/* JSON text of a record; free with g_free(). */
char *BbNodeRecord_Format(const bb_node_record_t *record);

/* Returns 0 or BB_ERR_PARSE; free the record with BbNodeRecord_Clear(). */
int BbNodeRecord_Parse(const char *text, size_t size, bb_node_record_t *out);
void BbNodeRecord_Clear(bb_node_record_t *record);

/*
 * Takes over a row; record NULL removes the node. Older revisions are
 * ignored. Returns true when something changed.
 */
bool BbFleet_Merge(bb_fleet_t *fleet, const char *node,
                   const bb_node_record_t *record, int64_t revision,
                   double now);

/* Removes the nodes whose rows a whole read of the table did not show. */
void BbFleet_KeepOnly(bb_fleet_t *fleet, GHashTable *nodes, int64_t revision);

/* The own record, without a row of the table. */
void BbFleet_SetOwn(bb_fleet_t *fleet, const bb_node_record_t *record,
                    double now);

bb_endpoint_t *BbFleet_Find(const bb_fleet_t *fleet, const char *node);

/* Endpoints of a service, NULL when there is none. Borrowed. */
const GPtrArray *BbFleet_Service(const bb_fleet_t *fleet, const char *service);

/* All endpoints, in no order. */
void BbFleet_ForEach(const bb_fleet_t *fleet,
                     void (*visit)(bb_endpoint_t *endpoint, void *arg),
                     void *arg);

size_t BbFleet_NodeCount(const bb_fleet_t *fleet);

/* Grows with each change of a record; 1 for an empty fleet. */
uint64_t BbFleet_Generation(const bb_fleet_t *fleet);

bb_endpoint_t *BbEndpoint_Ref(bb_endpoint_t *endpoint);
void BbEndpoint_Unref(bb_endpoint_t *endpoint);

#ifdef __cplusplus
}
#endif

#endif
