/*
 * bb_hop_server - calls of other nodes for the target beside this one
 *
 * The node tells at once that it has read the head of a call (102). The body
 * of a call that must not run twice, or an empty one in its place, is called
 * for (100), and the call starts with it: so it has certainly not run before
 * that. Large bodies are called for one after the other, see
 * bb_transfer_gate.h. Every answer carries the load of the target and the
 * configuration version in force here.
 */
#ifndef BB_HOP_SERVER_H
#define BB_HOP_SERVER_H

#include "bb_h1_server.h"
#include "bb_target_io.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_hop_server bb_hop_server_t;

typedef struct {
    struct ev_loop *loop;
    const char *address; /* for forwarded calls */
    double link_mbps;    /* width of this VM's link */
    bb_target_io_t *target;
    const bb_header_names_t *names;
    /* Version of the configuration in force here, 0 for none. */
    int64_t (*own_version)(void *arg);
    /* GET of a path that starts with "/burdockbarrow/": answers it. */
    void (*on_query)(bb_h1_request_t *request, void *arg);
    /* Its client has left before the answer. */
    void (*on_query_gone)(bb_h1_request_t *request, void *arg);
    void *arg;
} bb_hop_server_options_t;

/* Returns 0 or an error of BbH1Server_New(). */
int BbHopServer_New(const bb_hop_server_options_t *options,
                    bb_hop_server_t **out);
void BbHopServer_Free(bb_hop_server_t *hop);

#ifdef __cplusplus
}
#endif

#endif
