/*
 * bb_hop_client - attempts of calls at other nodes
 *
 * A node that does not tell in time that it has read the head of a call
 * cannot be reached or stands still, and the call may go elsewhere. The body
 * of a call that must not run twice is sent only when the node calls for it;
 * see bb_hop_server.h.
 */
#ifndef BB_HOP_CLIENT_H
#define BB_HOP_CLIENT_H

#include "bb_attempt.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_hop_client bb_hop_client_t;

typedef struct {
    struct ev_loop *loop;
    /* Another node has told the version in force there. */
    void (*on_version)(int64_t version, const char *address, void *arg);
    void *arg;
} bb_hop_client_options_t;

bb_hop_client_t *BbHopClient_New(const bb_hop_client_options_t *options);
void BbHopClient_Free(bb_hop_client_t *hop);

/* load is filled before the end of the attempt when the node there told it;
 * is_loaded says so. */
typedef struct {
    bb_load_t load;
    bool is_loaded;
} bb_hop_news_t;

bb_attempt_t *BbHopClient_Start(bb_hop_client_t *hop, const char *address,
                                const bb_attempt_request_t *request,
                                const bb_attempt_handler_t *handler, void *arg,
                                bb_hop_news_t *news);

/* For other requests to nodes. */
bb_h1_client_t *BbHopClient_Http(bb_hop_client_t *hop);

#ifdef __cplusplus
}
#endif

#endif
