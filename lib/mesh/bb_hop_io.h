/*
 * bb_hop_io - calls forwarded between nodes
 *
 * A node tells at once that it has read the head of a call (102). A node that
 * does not in time cannot be reached or stands still, and the call goes
 * elsewhere. The body of a call that must not run twice, or an empty one in
 * its place, is sent only when the node calls for it (100), and the call
 * starts with it: so it has certainly not run before that. Large bodies are
 * called for one after the other, see bb_transfer_gate.h.
 *
 * The server side takes calls of other nodes for the target beside this one.
 * The client side is an attempt at another node. Every answer carries the
 * load of the target and the configuration version in force there.
 */
#ifndef BB_HOP_IO_H
#define BB_HOP_IO_H

#include "bb_h1_server.h"
#include "bb_target_io.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_hop_io bb_hop_io_t;

typedef struct {
    struct ev_loop *loop;
    const char *address; /* for forwarded calls */
    double link_mbps;    /* width of this VM's link */
    bb_target_io_t *target;
    const bb_header_names_t *names;
    /* Version of the configuration in force here, 0 for none. */
    int64_t (*own_version)(void *arg);
    /* Another node has told its version. */
    void (*on_version)(int64_t version, const char *address, void *arg);
    /* GET of a path that starts with "/burdockbarrow/": answers it. */
    void (*on_query)(bb_h1_request_t *request, void *arg);
    /* Its client has left before the answer. */
    void (*on_query_gone)(bb_h1_request_t *request, void *arg);
    void *arg;
} bb_hop_io_options_t;

/* Returns 0 or an error of BbH1Server_New(). */
int BbHopIo_New(const bb_hop_io_options_t *options, bb_hop_io_t **out);
void BbHopIo_Free(bb_hop_io_t *hop);

/* Attempt at another node. load is filled before the end of the attempt when
 * the node there told it; *is_loaded says so. */
typedef struct {
    bb_load_t load;
    bool is_loaded;
} bb_hop_news_t;

bb_attempt_t *BbHopIo_Start(bb_hop_io_t *hop, const char *address,
                            const bb_attempt_request_t *request,
                            const bb_attempt_handler_t *handler, void *arg,
                            bb_hop_news_t *news);

/* Client for other requests to nodes. */
bb_h1_client_t *BbHopIo_Client(bb_hop_io_t *hop);

#ifdef __cplusplus
}
#endif

#endif
