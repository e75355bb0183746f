/*
 * bb_news_server - configuration and node records, told to other nodes
 *
 * Answers GET BB_NEWS_PATH?version=V&revision=R&wait_ms=W&from=ADDRESS: at
 * once when this node holds more than that, else when it does, or after W
 * milliseconds. An asker that holds more is told to the owner, who may ask
 * back: so a node that knows nobody hears of others.
 *
 * The answer is JSON: "version" in force here, "connected" (this node reads
 * the store itself and reaches it), "revision" up to which the node records
 * are known; when newer than V: "base", "size", "delta" (base64, see
 * bb_versions.h); "nodes" changed since R, each with "node", "revision" and
 * "record" (a text; missing for a removed node).
 */
#ifndef BB_NEWS_SERVER_H
#define BB_NEWS_SERVER_H

#include <ev.h>

#include "bb_fleet.h"
#include "bb_h1_server.h"
#include "bb_versions.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_NEWS_PATH "/burdockbarrow/news"

typedef struct bb_news_server bb_news_server_t;

typedef struct {
    struct ev_loop *loop;
    bb_fleet_t *fleet;       /* borrowed */
    bb_versions_t *versions; /* borrowed */
    /* Revision up to which this node knows all records. */
    int64_t (*revision)(void *arg);
    bool (*is_connected)(void *arg);
    /* An asker holds a newer version. */
    void (*on_newer)(int64_t version, const char *address, void *arg);
    void *arg;
} bb_news_server_options_t;

bb_news_server_t *BbNewsServer_New(const bb_news_server_options_t *options);

/* Questions that wait are answered before. */
void BbNewsServer_Free(bb_news_server_t *server);

/* Takes a request; it is answered here. */
void BbNewsServer_Ask(bb_news_server_t *server, bb_h1_request_t *request);

/* The asker has left. */
void BbNewsServer_Gone(bb_news_server_t *server, bb_h1_request_t *request);

/* Something new is held: answers the questions that wait for it. */
void BbNewsServer_Changed(bb_news_server_t *server);

#ifdef __cplusplus
}
#endif

#endif
