/*
 * news - configuration and node records from other nodes
 *
 * Nodes that the store does not serve learn from those that it serves. Each
 * forwarded call and its answer tell the version in force; a node that hears
 * of a newer one asks the teller. While the store is lost, a node also asks a
 * random node again and again.
 */
#ifndef NEWS_H
#define NEWS_H

#include <ev.h>

#include "bb_fleet.h"
#include "bb_h1_client.h"
#include "bb_h1_server.h"
#include "bb_random.h"

typedef struct news news_t;

typedef struct {
    struct ev_loop *loop;
    bb_h1_client_t *client; /* borrowed */
    bb_fleet_t *fleet;      /* borrowed */
    bb_random_t *random;    /* borrowed */
    void (*on_config)(const char *text, size_t size, const char *source,
                      void *arg);
    /* text NULL: the node was removed. */
    void (*on_node)(const char *node, const char *text, size_t size,
                    int64_t revision, void *arg);
    void *arg;
} news_options_t;

news_t *News_New(const news_options_t *options);
void News_Free(news_t *news);

/* What is told to others: the operator's text of the version in force. */
void News_SetConfig(news_t *news, int64_t version, const char *text,
                    size_t size);

/* Asks others for as long as the store is lost. */
void News_SetStoreLost(news_t *news, bool is_lost);

/* Asks one node, unless a question is under way. */
void News_Fetch(news_t *news, const char *address);

/* Answers the question of another node. */
void News_Answer(news_t *news, bb_h1_request_t *request);

#endif
