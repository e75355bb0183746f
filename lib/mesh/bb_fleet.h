/*
 * bb_fleet - all nodes that this node knows, each beside one target
 *
 * A node writes a record of itself into the shared table when its target or
 * its own state changes. Records are merged by revision, so that rows may
 * arrive from the table and from other nodes in any order. The revision of a
 * record is the position of its row in the store.
 *
 * A store that is restored from a copy has lost the records that were written
 * since. Their nodes write them again, so the records are kept for
 * BB_FLEET_RESTORE_GRACE_S: targets that are alive go on getting calls. Those
 * of stopped nodes, which nobody writes again, are kept for
 * BB_FLEET_STOPPED_KEPT_S, to tell the next process of the node.
 *
 * USE
 *   BbFleet_Merge() for each row and BbFleet_SetPosition() when all rows up to
 *   a position are merged, then BbFleet_ListEndpoints() for the nodes beside
 *   the targets of a service. BbFleet_DropLost() from time to time.
 *
 * LIMITS
 *   An endpoint stays allocated while calls hold a reference, also after its
 *   removal. The record of a stopped node is kept, but the node counts as
 *   removed: it gets no calls, queries or probes.
 */
#ifndef BB_FLEET_H
#define BB_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bb_load.h"
#include "bb_position.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Time for which records are kept that a restored store has lost, of nodes
 * that run and of nodes that are stopped. */
#define BB_FLEET_RESTORE_GRACE_S 5.0
#define BB_FLEET_STOPPED_KEPT_S 60.0

/* Record that a node writes of itself into the shared table. */
typedef struct {
    char *address; /* "IP:PORT" for forwarded calls */
    char *data_centre;
    char *service;
    char *target_id; /* incarnation of the target; empty without target */
    bool is_target_departed; /* the target has announced that it leaves */
    int64_t target_born_ms;  /* wall clock at its start; 0 when not known */
    /* Incarnations with target_id that were started up to then have departed:
     * target_born_ms, or later if that is not known. 0 if none has. */
    int64_t departed_born_ms;
    int slots;
    bool is_ready;   /* takes new calls */
    bool is_stopped; /* the node shuts down; the record only tells its next
                        process that the target has departed */
    int link_mbps;   /* bandwidth of the VM's link */
    char *target_version; /* of the target's software; NULL if unknown */
} bb_node_record_t;

/* A node as this node sees it; times are seconds. */
typedef struct {
    int references;
    char *node;
    bb_node_record_t record;
    bb_position_t revision; /* of its row in the shared table */
    bool is_removed;        /* without a record, or is_stopped */
    bool is_stopped;        /* removed, but the table still has its record */
    double stopped_at;
    bool is_local; /* this node itself */
    /* state of bb_placement */
    int in_flight; /* calls of this node there */
    bb_load_t load;
    double load_at; /* time of the report; 0 without report */
    int in_flight_at_load;
    double fail_rate; /* moving average of own attempts that failed */
    double fail_rate_at;
    double known_since;      /* when the record of this target came */
    double start_draw;       /* 0 to 1, differs between nodes and targets */
    double avoid_until;      /* until then the node is a last resort: it gets
                                calls only if no other node can */
    bool is_unverified;      /* no contact yet, or unreachable */
    bool is_unreachable;     /* did not respond: a last resort */
    bool is_probe_requested; /* a probe is requested */
    bool is_probe_running;   /* a probe is in progress */
    double unverified_since;
    double probe_at; /* earliest time of the next probe */
    double probe_backoff_s;
    int probe_failures;     /* since unverified_since */
    GHashTable *full_until; /* class of calls to the time until which the
                               node has no capacity; NULL while empty */
} bb_endpoint_t;

typedef struct bb_fleet bb_fleet_t;

bb_fleet_t *BbFleet_New(const char *own_node);
void BbFleet_Free(bb_fleet_t *fleet);

/* Returns the record as JSON text; free it with g_free(). */
char *BbNodeRecord_Format(const bb_node_record_t *record);

/* Returns 0 or BB_ERR_PARSE; free the record with BbNodeRecord_Clear(). */
int BbNodeRecord_Parse(const char *text, size_t size, bb_node_record_t *out);
void BbNodeRecord_Clear(bb_node_record_t *record);

/*
 * Applies a row of the table; record NULL removes the node. Revisions that are
 * not newer than the known one are ignored. Returns true when something
 * changed.
 */
bool BbFleet_Merge(bb_fleet_t *fleet, const char *node,
                   const bb_node_record_t *record, bb_position_t revision,
                   double now);

/* Removes the nodes that a complete read of the table at this revision did not
 * contain, except those whose record is of an earlier generation. */
void BbFleet_KeepOnly(bb_fleet_t *fleet, GHashTable *nodes,
                      bb_position_t revision);

/* Reports that all rows up to this position have been merged. Returns true if
 * the store was restored since the last such position. */
bool BbFleet_SetPosition(bb_fleet_t *fleet, bb_position_t position,
                         double now);

/* Removes the nodes whose records the store has lost in a restore and that
 * were not written again in time. Returns true if there were any. */
bool BbFleet_DropLost(bb_fleet_t *fleet, double now);

/* Sets the own record, which needs no row of the table. */
void BbFleet_SetOwn(bb_fleet_t *fleet, const bb_node_record_t *record,
                    double now);

bb_endpoint_t *BbFleet_Find(const bb_fleet_t *fleet, const char *node);

/* Returns the endpoints of a service, borrowed; NULL when there are none. */
const GPtrArray *BbFleet_ListEndpoints(const bb_fleet_t *fleet,
                                       const char *service);

/* Calls visit for all endpoints, also removed ones, in no order. */
void BbFleet_ForEach(const bb_fleet_t *fleet,
                     void (*visit)(bb_endpoint_t *endpoint, void *arg),
                     void *arg);

/* Number of nodes that are not removed. */
size_t BbFleet_NodeCount(const bb_fleet_t *fleet);

/* Increases with each change of a record; 1 for a new fleet. */
uint64_t BbFleet_Generation(const bb_fleet_t *fleet);

bb_endpoint_t *BbEndpoint_Ref(bb_endpoint_t *endpoint);
void BbEndpoint_Unref(bb_endpoint_t *endpoint);

#ifdef __cplusplus
}
#endif

#endif
