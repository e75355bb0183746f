/*
 * bb_peer_io - peer protocol of one node over ZeroMQ
 *
 * USE
 *   BbPeer_New() binds the peer address and joins through the seeds. The event
 *   loop then keeps membership, versions and summaries up to date. Callbacks
 *   run from the loop or from within a function of this header; they must not
 *   free the peer.
 *
 *   To shut down, call BbPeer_Drain(), wait for calls in flight, then call
 *   BbPeer_Leave() and BbPeer_Free(). BbPeer_Free() waits up to 200 ms until
 *   the leave message is sent.
 *
 * LIMITS
 *   One per process. In the self option, a node id of 0 is replaced by a
 *   random id and an incarnation of 0 by the current time.
 */
#ifndef BB_PEER_IO_H
#define BB_PEER_IO_H

#include <ev.h>
#include <jansson.h>

#include "bb_protocol.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_peer bb_peer_t;

typedef struct {
    struct ev_loop *loop;
    bb_active_config_t *active_config; /* borrowed */
    bb_member_t self;
    const char *cluster;
    const char *bind_address; /* "IP:PORT" */
    const char *const *seeds; /* "IP:PORT"; this node's is skipped */
    size_t seed_count;
    int fanout; /* ring successors to link to; 0 = 3 */
    bb_spread_mode_t mode;
    bb_random_t *random; /* borrowed */
    bb_peer_timing_t timing;
    bb_peer_callbacks_t callbacks;
} bb_peer_options_t;

/* Returns NULL when the address cannot be bound, which is logged, or when
 * libsodium cannot be initialized. */
bb_peer_t *BbPeer_New(const bb_peer_options_t *options);

/* Sets what the target on this VM announced. service may be "". */
void BbPeer_SetTarget(bb_peer_t *peer, const char *service,
                      bb_target_state_t state, int slots);

/*
 * Adds addresses of members of a data centre, for example from the lease rows.
 * Addresses in this node's data centre are asked for members until the node
 * has joined; gateways use those of other data centres. data_centre may be
 * NULL when it is not known.
 */
void BbPeer_AddSeeds(bb_peer_t *peer, const char *data_centre,
                     const char *const *addresses, size_t count);

/* Offers a version to bb_active_config and sends it to peers when it was
 * swapped in. Returns the result of BbActiveConfig_Apply(). */
int BbPeer_OfferVersion(bb_peer_t *peer, const bb_release_t *release,
                        const char *text, size_t size,
                        bb_findings_t *findings);

/* Announces draining on all links at once, ahead of all other messages. */
void BbPeer_Drain(bb_peer_t *peer);

/* Announces on all links that the node left; nothing is sent afterwards. */
void BbPeer_Leave(bb_peer_t *peer);

bool BbPeer_IsGateway(const bb_peer_t *peer);

/* This node's record, borrowed. */
const bb_member_t *BbPeer_Self(const bb_peer_t *peer);

/* Members, links, versions of neighbours and bytes by message type. Returns a
 * new reference. */
json_t *BbPeer_StatusJson(const bb_peer_t *peer);

void BbPeer_Free(bb_peer_t *peer);

#ifdef __cplusplus
}
#endif

#endif
