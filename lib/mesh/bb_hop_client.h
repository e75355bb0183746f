/*
 * bb_hop_client - forwards attempts of calls to other nodes
 *
 * The other node acknowledges that it has read the head of a call. One that
 * does not do so in time is unreachable or stalled, which is reported to
 * on_unresponsive so that the call can be sent to another node. The body of a
 * call that must not run twice is sent only when the other node requests it;
 * see bb_hop_server.h.
 *
 * USE
 *   attempt = BbHopClient_Start(client, address, &request, &handler, arg,
 *                               &load_report);
 *   The attempt ends as described in bb_attempt.h.
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
    /* Called with the configuration version that the node at address uses. */
    void (*on_version)(int64_t version, const char *address, void *arg);
    void *arg;
    bb_link_pacer_t *pacer; /* of the outbound link; may be NULL */
} bb_hop_client_options_t;

bb_hop_client_t *BbHopClient_New(const bb_hop_client_options_t *options);
void BbHopClient_Free(bb_hop_client_t *client);

/* Load that the other node reported with its response. has_load tells whether
 * it has sent one; both are set before the attempt ends. */
typedef struct {
    bb_load_t load;
    bool has_load;
} bb_hop_load_report_t;

/* load_report is borrowed until the attempt ends. */
bb_attempt_t *BbHopClient_Start(bb_hop_client_t *client, const char *address,
                                const bb_attempt_request_t *request,
                                const bb_attempt_handler_t *handler, void *arg,
                                bb_hop_load_report_t *load_report);

/* HTTP client for other requests to nodes; owned by client. */
bb_h1_client_t *BbHopClient_GetHttpClient(bb_hop_client_t *client);

#ifdef __cplusplus
}
#endif

#endif
