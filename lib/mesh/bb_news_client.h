/*
 * bb_news_client - configuration and node records, asked of other nodes
 *
 * A node that does not read the store keeps a question open at two readers,
 * so that one that is killed, frozen or cut off delays nothing. A reader that
 * fails, or has lost the store itself, is passed over for some seconds. When
 * no reader has answered for FED_S, on_fed(false) tells the owner to read the
 * store itself. A node without a version asks one reader only: the answer is
 * the whole version, and all nodes may have just started.
 *
 * A reader keeps one question open at a reader of another data centre: when
 * the store falls silent for it without a reset, it learns so only at the end
 * of its feed call, and its whole data centre would wait for it.
 *
 * While the store is lost, a node asks random nodes, also those that have left
 * before: one that was restarted meanwhile knows nobody, and hears of the
 * asker by its question.
 *
 * USE
 *   BbNewsClient_SetScope() when the role of this node changes;
 *   BbNewsClient_Hint() when another node tells a newer version.
 */
#ifndef BB_NEWS_CLIENT_H
#define BB_NEWS_CLIENT_H

#include <ev.h>

#include "bb_fleet.h"
#include "bb_h1_client.h"
#include "bb_random.h"
#include "bb_readers.h"
#include "bb_versions.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_NEWS_SUBSCRIPTIONS 2

typedef struct bb_news_client bb_news_client_t;

/* At which nodes questions are kept open. */
typedef enum {
    BB_NEWS_NONE,    /* every node reads the store itself */
    BB_NEWS_REMOTE,  /* this node reads: one reader of another data centre */
    BB_NEWS_READERS, /* readers, those of the own data centre first */
} bb_news_scope_t;

typedef struct {
    struct ev_loop *loop;
    bb_h1_client_t *client;  /* borrowed */
    bb_fleet_t *fleet;       /* borrowed */
    bb_readers_t *readers;   /* borrowed */
    bb_versions_t *versions; /* borrowed */
    bb_random_t *random;     /* borrowed */
    const char *data_centre;
    const char *address; /* own, for forwarded calls */
    void (*on_config)(const char *text, size_t size, const char *source,
                      void *arg);
    /* text NULL: the node was removed. */
    void (*on_node)(const char *node, const char *text, size_t size,
                    int64_t revision, void *arg);
    /* All records up to this revision have been told. */
    void (*on_revision)(int64_t revision, void *arg);
    /* In scope BB_NEWS_READERS: readers answer, or none does any more. */
    void (*on_fed)(bool is_fed, void *arg);
    /* Revision up to which this node knows all records. */
    int64_t (*revision)(void *arg);
    void *arg;
} bb_news_client_options_t;

bb_news_client_t *BbNewsClient_New(const bb_news_client_options_t *options);
void BbNewsClient_Free(bb_news_client_t *client);

/* In scope BB_NEWS_READERS the readers are taken to be there at first; if none
 * answers, on_fed(false) follows. */
void BbNewsClient_SetScope(bb_news_client_t *client, bb_news_scope_t scope);

/* Whether this node reads the store and does not reach it. */
void BbNewsClient_SetStoreLost(bb_news_client_t *client, bool is_lost);

/* Whether readers answer, be it that they do not reach the store. */
bool BbNewsClient_HasAnswers(const bb_news_client_t *client);

/* A node has told a version; it is asked if the version does not come by
 * itself within a moment. */
void BbNewsClient_Hint(bb_news_client_t *client, int64_t version,
                       const char *address);

#ifdef __cplusplus
}
#endif

#endif
