/*
 * bb_hop_server - runs calls forwarded by other nodes on this node's target
 *
 * The node acknowledges the head of a call at once. Status 102 says that the
 * head was read. Status 100 requests the body of a call that must not run
 * twice, at once or later; the call starts when its body arrives, even if that
 * is empty. Before that the call has certainly not run. Large bodies are
 * requested one after the other; see bb_transfer_gate.h. Every response
 * carries the load of the target and the configuration version that this node
 * uses.
 *
 * USE
 *   error = BbHopServer_New(&options, &server);
 *   BbHopServer_Free(server);
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
    const char *address;    /* listening address for other nodes */
    double link_mbps;       /* bandwidth of this VM's link in Mbit/s */
    bb_link_pacer_t *pacer; /* of the outbound link; may be NULL */
    bb_target_io_t *target;
    const bb_header_names_t *names;
    /* Returns the configuration version that this node uses, 0 for none. */
    int64_t (*config_version)(void *arg);
    /* Handles a request of another node that is not a forwarded call: its path
     * starts with "/burdockbarrow/". */
    void (*on_peer_request)(bb_h1_request_t *request, void *arg);
    /* The same for a request with a body, once it is read completely. May be
     * NULL: then on_peer_request is called for it. */
    void (*on_peer_message)(bb_h1_request_t *request, const char *body,
                            size_t size, void *arg);
    /* The client of such a request has disconnected before the response. */
    void (*on_peer_request_lost)(bb_h1_request_t *request, void *arg);
    void *arg;
} bb_hop_server_options_t;

/* Returns 0 or an error of BbH1Server_New(). */
int BbHopServer_New(const bb_hop_server_options_t *options,
                    bb_hop_server_t **out);
void BbHopServer_Free(bb_hop_server_t *server);

/* Whether a call waits for the body that was requested, or for its turn to
 * have it requested. Such a call has not been offered to the target yet. */
bool BbHopServer_HasCallsWithoutBody(const bb_hop_server_t *server);

/* This node is about to exit: refuses these calls as not run. */
void BbHopServer_RefuseCallsWithoutBody(bb_hop_server_t *server);

/* Whether all responses given so far have been passed to sockets. */
bool BbHopServer_IsFlushed(const bb_hop_server_t *server);

#ifdef __cplusplus
}
#endif

#endif
