#include "bb_peer_io.h"

#include <glib.h>
#include <sodium.h>
#include <time.h>

#include "bb_link_io.h"
#include "bb_log.h"

#define TICK_S 0.1
#define LEAVE_LINGER_MS 200

struct bb_peer {
    struct ev_loop *loop;
    bb_protocol_t *protocol;
    bb_links_t *links;
    ev_timer tick;
    bool has_left;
};

static int64_t
clock_ms(clockid_t clock)
{
    struct timespec now;
    clock_gettime(clock, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Intervals use the monotonic clock, since the VM's wall clock may be wrong or
 * jump. */
static int64_t
now_ms(void)
{
    return clock_ms(CLOCK_MONOTONIC);
}

/* ---- transport functions ---- */

static bool
send_frame(uint64_t link, const unsigned char *frame, size_t size, void *arg)
{
    const bb_peer_t *peer = arg;
    return BbLinks_Send(peer->links, link, frame, size);
}

static bool
open_link(uint64_t link, const char *address, void *arg)
{
    const bb_peer_t *peer = arg;
    return BbLinks_Open(peer->links, link, address);
}

static void
close_link(uint64_t link, void *arg)
{
    const bb_peer_t *peer = arg;
    BbLinks_Close(peer->links, link);
}

static uint64_t
accept_link(void *arg)
{
    const bb_peer_t *peer = arg;
    return BbProtocol_Accept(peer->protocol, now_ms());
}

static void
receive_frame(uint64_t link, const unsigned char *frame, size_t size,
              void *arg)
{
    const bb_peer_t *peer = arg;
    BbProtocol_Receive(peer->protocol, link, frame, size, now_ms());
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    const bb_peer_t *peer = watcher->data;
    BbProtocol_Tick(peer->protocol, now_ms());
}

/* ---- construction ---- */

static bb_protocol_t *
new_protocol(bb_peer_t *peer, const bb_peer_options_t *options)
{
    bb_protocol_options_t protocol = {
        .active_config = options->active_config,
        .self = options->self,
        .cluster = options->cluster,
        .seeds = options->seeds,
        .seed_count = options->seed_count,
        .fanout = options->fanout,
        .mode = options->mode,
        .random = options->random,
        .timing = options->timing,
        .callbacks = options->callbacks,
        .transport = {send_frame, open_link, close_link, peer}};
    while (protocol.self.node_id == 0) {
        randombytes_buf(&protocol.self.node_id, sizeof(protocol.self.node_id));
    }
    if (protocol.self.incarnation == 0) {
        protocol.self.incarnation = clock_ms(CLOCK_REALTIME);
    }
    return BbProtocol_New(&protocol, now_ms());
}

bb_peer_t *
BbPeer_New(const bb_peer_options_t *options)
{
    bb_peer_t *peer = g_new0(bb_peer_t, 1);
    bb_links_options_t links = {.loop = options->loop,
                                .bind_address = options->bind_address,
                                .max_frame_bytes = BB_MAX_FRAME_BYTES,
                                .accept = accept_link,
                                .receive = receive_frame,
                                .arg = peer};
    peer->loop = options->loop;
    if (sodium_init() < 0 || BbLinks_New(&peer->links, &links) != 0) {
        g_free(peer);
        return NULL;
    }
    peer->protocol = new_protocol(peer, options);
    ev_timer_init(&peer->tick, on_tick, 0, TICK_S);
    peer->tick.data = peer;
    ev_timer_start(peer->loop, &peer->tick);
    return peer;
}

void
BbPeer_Free(bb_peer_t *peer)
{
    if (peer == NULL) {
        return;
    }
    ev_timer_stop(peer->loop, &peer->tick);
    BbLinks_Free(peer->links, peer->has_left ? LEAVE_LINGER_MS : 0);
    BbProtocol_Free(peer->protocol);
    g_free(peer);
}

/* ---- operations ---- */

void
BbPeer_SetTarget(bb_peer_t *peer, const char *service, bb_target_state_t state,
                 int slots)
{
    BbProtocol_SetTarget(peer->protocol, service, state, slots, now_ms());
}

void
BbPeer_AddSeeds(bb_peer_t *peer, const char *data_centre,
                const char *const *addresses, size_t count)
{
    BbProtocol_AddSeeds(peer->protocol, data_centre, addresses, count);
}

int
BbPeer_OfferVersion(bb_peer_t *peer, const bb_release_t *release,
                    const char *text, size_t size, bb_findings_t *findings)
{
    return BbProtocol_OfferVersion(peer->protocol, release, text, size,
                                   findings, now_ms());
}

void
BbPeer_Drain(bb_peer_t *peer)
{
    BbProtocol_Drain(peer->protocol, now_ms());
}

void
BbPeer_Leave(bb_peer_t *peer)
{
    BbProtocol_Leave(peer->protocol, now_ms());
    peer->has_left = true;
}

bool
BbPeer_IsGateway(const bb_peer_t *peer)
{
    return BbProtocol_IsGateway(peer->protocol);
}

const bb_member_t *
BbPeer_Self(const bb_peer_t *peer)
{
    return BbMembers_Self(BbProtocol_Members(peer->protocol));
}

json_t *
BbPeer_StatusJson(const bb_peer_t *peer)
{
    return BbProtocol_StatusJson(peer->protocol, now_ms());
}
