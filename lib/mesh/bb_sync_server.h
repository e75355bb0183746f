/*
 * bb_sync_server - sends the configuration and node records to other nodes
 *
 * Serves long-polling queries of the form
 * GET BB_SYNC_PATH?version=V&revision=R&generation=G&wait_ms=W&connected=C
 * &rows=S&from=ADDRESS: answers at once when this node has a configuration
 * newer than V, node records newer than the position (G, R) or shared rows
 * newer than S, or if C is 1 when it does not reach the store, else as soon as
 * that is so, at the latest after W milliseconds (at most 10 s). "rows" and
 * "generation" are left out for 0. ADDRESS must come last. When the querying
 * node has a newer version, on_newer_version passes its address to the owner,
 * which may query it in turn; in this way a node that knows no others learns
 * of them.
 *
 * The response is a JSON object:
 *   "version"    configuration version that this node uses
 *   "age_s"      seconds since "version" was last confirmed as the newest one,
 *                or BB_FRESHNESS_UNKNOWN
 *   "connected"  whether this node reads the store itself and reaches it
 *   "revision", "generation"
 *                position up to which this node knows all node records;
 *                "generation" is left out for 0
 *   "base", "size", "delta"
 *                only when "version" is newer than V; the delta is base64
 *                (see bb_versions.h)
 *   "rows"       only when newer than S: the shared rows, a list of texts of
 *                at most BB_SYNC_ROWS_MAX_BYTES together
 *   "nodes"      the records changed since (G, R), each with "node",
 *                "revision", "generation" if it is not that of the response,
 *                and "record" (a text; absent for a removed node)
 *
 * A node of a release without "generation" ignores it. What it sends counts as
 * of the generation that the receiving node knows.
 */
#ifndef BB_SYNC_SERVER_H
#define BB_SYNC_SERVER_H

#include <ev.h>

#include "bb_fleet.h"
#include "bb_h1_server.h"
#include "bb_versions.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_SYNC_PATH "/burdockbarrow/news"

/* Shared rows beyond this size are left out of a response. */
#define BB_SYNC_ROWS_MAX_BYTES 65536

typedef struct bb_sync_server bb_sync_server_t;

/* Small rows that all nodes share, besides the node records. */
typedef struct {
    /* Returns a number that is higher where rows are newer; 0 for none. */
    int64_t (*revision)(void *arg);
    /* Calls add with the text of each row. */
    void (*list)(void (*add)(const char *text, void *to), void *to, void *arg);
    void *arg;
} bb_sync_rows_t;

typedef struct {
    struct ev_loop *loop;
    bb_fleet_t *fleet;       /* borrowed */
    bb_versions_t *versions; /* borrowed */
    /* Returns the revision up to which this node knows all node records. */
    bb_position_t (*revision)(void *arg);
    const bb_sync_rows_t *rows; /* borrowed; may be NULL */
    bool (*is_connected)(void *arg);
    /* Not connected for longer than a retry after a reset takes. */
    bool (*is_store_lost)(void *arg);
    /* Returns the age of the configuration (see bb_freshness.h). */
    double (*config_age_s)(void *arg);
    /* The node at address holds a newer configuration version. */
    void (*on_newer_version)(int64_t version, const char *address, void *arg);
    void *arg;
} bb_sync_server_options_t;

bb_sync_server_t *BbSyncServer_New(const bb_sync_server_options_t *options);

/* Answers all waiting queries first. */
void BbSyncServer_Free(bb_sync_server_t *server);

/* Handles a query: answers the request now, or later if it has to wait. */
void BbSyncServer_HandleQuery(bb_sync_server_t *server,
                              bb_h1_request_t *request);

/* The client has closed the connection of the request: drops its query. */
void BbSyncServer_DropQuery(bb_sync_server_t *server,
                            bb_h1_request_t *request);

/* The configuration, records, shared rows or is_store_lost() have changed:
 * answers the waiting queries that are due. */
void BbSyncServer_NotifyChange(bb_sync_server_t *server);

#ifdef __cplusplus
}
#endif

#endif
