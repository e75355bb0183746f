/*
 * bb_sync_client - fetches the configuration and node records from other nodes
 *
 * A reader is a node that reads the store for others (see bb_readers.h). Every
 * other node keeps a long-polling query open at two readers, so that updates
 * are not delayed when one of them is killed, frozen or cut off. A reader that
 * fails, or that cannot reach the store, is passed over (gets no queries) for
 * up to two seconds. When all are passed over, or none that reaches the store
 * has answered for 1.5 s, on_readers_available(false) tells the owner to read
 * the store itself.
 * A node without a configuration version queries only one reader: the response
 * holds the whole version, and all nodes may have just started.
 *
 * A reader keeps one query open at a reader of another data centre. When its
 * connection to the store stalls without a reset, it notices this only when
 * its feed call times out; without that query its whole data centre would get
 * no updates until then.
 *
 * While the store is unreachable, a node queries random nodes, including
 * nodes whose records were removed: a node that was restarted in the meantime
 * knows no others, and learns the address of this node from the query.
 *
 * USE
 *   BbSyncClient_SetScope() when the role of this node changes;
 *   BbSyncClient_HintVersion() when another node reports a newer version.
 */
#ifndef BB_SYNC_CLIENT_H
#define BB_SYNC_CLIENT_H

#include <ev.h>

#include "bb_fleet.h"
#include "bb_freshness.h"
#include "bb_h1_client.h"
#include "bb_random.h"
#include "bb_readers.h"
#include "bb_versions.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Largest number of readers at which a node keeps a query open. */
#define BB_SYNC_SUBSCRIPTIONS 2

typedef struct bb_sync_client bb_sync_client_t;

/* The nodes at which queries are kept open. */
typedef enum {
    BB_SYNC_NONE,    /* none: every node reads the store itself */
    BB_SYNC_REMOTE,  /* one reader of another data centre; for a node that
                        is a reader itself */
    BB_SYNC_READERS, /* two readers, those of the own data centre first */
} bb_sync_scope_t;

typedef struct {
    struct ev_loop *loop;
    bb_h1_client_t *client;  /* borrowed */
    bb_fleet_t *fleet;       /* borrowed */
    bb_readers_t *readers;   /* borrowed */
    bb_versions_t *versions; /* borrowed */
    bb_random_t *random;     /* borrowed */
    const char *data_centre;
    const char *address; /* of this node, for forwarded calls */
    void (*on_config)(const char *text, size_t size, const char *source,
                      void *arg);
    /* text is NULL when the node was removed. */
    void (*on_node)(const char *node, const char *text, size_t size,
                    bb_position_t revision, void *arg);
    /* All node records up to this revision have been passed to on_node. */
    void (*on_revision)(bb_position_t revision, void *arg);
    /* A shared row of another node (see bb_sync_server.h), passed before its
     * configuration. May be NULL. */
    void (*on_row)(const char *text, size_t size, void *arg);
    /* Returns the revision of the shared rows; NULL without on_row. */
    int64_t (*rows_revision)(void *arg);
    /* Another node has responded. Its version, which was passed to on_config
     * if this node lacked it, was the newest one age_s ago; age_s is
     * BB_FRESHNESS_UNKNOWN if that node does not know. May be NULL. */
    void (*on_confirmed)(int64_t version, double age_s, void *arg);
    /* Only in scope BB_SYNC_READERS: whether any reader answers that reaches
     * the store. Called when this changes. */
    void (*on_readers_available)(bool are_readers_available, void *arg);
    /* Returns the revision up to which this node knows all node records. */
    bb_position_t (*revision)(void *arg);
    void *arg;
} bb_sync_client_options_t;

bb_sync_client_t *BbSyncClient_New(const bb_sync_client_options_t *options);
void BbSyncClient_Free(bb_sync_client_t *client);

/* In scope BB_SYNC_READERS, readers are assumed to be available at first; if
 * none answers, on_readers_available(false) follows. */
void BbSyncClient_SetScope(bb_sync_client_t *client, bb_sync_scope_t scope);

/* is_unreachable: this node reads the store itself and cannot reach it. */
void BbSyncClient_SetStoreUnreachable(bb_sync_client_t *client,
                                      bool is_unreachable);

/* Whether readers answer, including readers that cannot reach the store. */
bool BbSyncClient_HasRecentResponses(const bb_sync_client_t *client);

/* The node at address has reported a newer version. It is queried if no other
 * source delivers the version within 0.4 s. Ignored while another hint is
 * pending. */
void BbSyncClient_HintVersion(bb_sync_client_t *client, int64_t version,
                              const char *address);

#ifdef __cplusplus
}
#endif

#endif
