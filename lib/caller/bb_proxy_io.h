/*
 * bb_proxy_io - streams calls between callers, nodes and the local target
 *
 * One proxy per node serves two roles on one address:
 *
 *   caller side   requests without "Burdock-Hop": match the route, choose a
 *                 target, forward to the node beside that target; when that
 *                 is the own node, the target-side role follows at once
 *   target side   requests with "Burdock-Hop: 1": check the call id, admit,
 *                 check the idempotency key, forward to the local target
 *
 * USE
 *   BbProxy_New() binds the address and serves at once. On SIGTERM call
 *   BbProxy_Drain(), wait for done, then BbProxy_Free(). The owner calls
 *   BbProxy_TargetChanged() after each BbAdmission_SetTarget(), so that
 *   queued calls see the change. Times given to the modules of lib/target
 *   are g_get_monotonic_time() / 1000.
 *
 * LIMITS
 *   Bodies are streamed. A call holds at most buffer_bytes in each direction
 *   plus BB_PROXY_REPLAY_BYTES of the request body for a retry. A call whose
 *   body was longer than that is not retried once body bytes were sent.
 *   A caller that closes its sending side counts as gone, and its call is
 *   cancelled. libmicrohttpd starts a response only after the whole request
 *   body, so a target that answers early is heard when the body has ended.
 *
 * ERRORS
 *   Answers made by the system carry Burdock-Outcome and Burdock-Reason and a
 *   text/plain body. A response that breaks after its head was passed on ends
 *   with a closed connection, never with the end-of-body marker.
 */
#ifndef BB_PROXY_IO_H
#define BB_PROXY_IO_H

#include <ev.h>
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "bb_admission.h"
#include "bb_balancer.h"
#include "bb_call.h"
#include "bb_curl_io.h"
#include "bb_once.h"
#include "bb_platform_io.h"
#include "bb_random.h"
#include "bb_registry.h"
#include "bb_stage.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_PROXY_BUFFER_BYTES (256 * 1024)
#define BB_PROXY_REPLAY_BYTES (64 * 1024)

typedef struct bb_proxy bb_proxy_t;

/* All objects are borrowed and must outlive the proxy. */
typedef struct {
    struct ev_loop *loop;
    bb_curl_t *curl;
    /* "IP:PORT" for callers and other nodes, as in the member record: a
     * choice of this address is served by the own target. Copied. */
    const char *address;
    bb_stage_t *stage;
    bb_balancer_t *balancer;
    bb_admission_t *admission;
    bb_once_t *once;
    bb_registry_t *registry;
    bb_platform_t *platform; /* NULL: calls of claim pools are refused */
    bb_random_t *random;
    uint64_t node_id;
    const bb_retry_policy_t *retry_policy; /* NULL takes SafeRetry */
    int64_t drain_ms;    /* calls in flight after this long are cut */
    int64_t stall_ms;    /* longest time without a byte while a body moves */
    size_t buffer_bytes; /* per direction; 0 takes 256 KiB */
    size_t max_header_bytes;      /* request head; 0 takes 16 KiB */
    int64_t max_body_bytes;       /* request body; 0 takes 4 GiB */
    unsigned int max_connections; /* 0 takes 4096 */
    /* Calls and hops at once above which callers are refused (but not hops,
     * which another node has accepted); 0 takes 2048. */
    int max_calls;
} bb_proxy_options_t;

/*
 * Returns BB_ERR_ADDRESS_IN_USE, BB_ERR_ARGUMENT or BB_ERR_IO when the
 * address cannot be bound.
 */
int BbProxy_New(const bb_proxy_options_t *options, bb_proxy_t **proxy);

/* Starts or refuses queued calls after BbAdmission_SetTarget(). */
void BbProxy_TargetChanged(bb_proxy_t *proxy);

/*
 * Drains admission, refuses new work as not-run ("node_draining") and calls
 * done once, from the loop, when no call is in flight or drain_ms is over.
 * From then on no connection is accepted. Calls that came on connections
 * accepted before are still refused, until BbProxy_Free() cuts what is left.
 */
void BbProxy_Drain(bb_proxy_t *proxy, void (*done)(void *arg), void *arg);

/* Calls in flight in both roles; a call through the own node counts once. */
int BbProxy_InFlight(const bb_proxy_t *proxy);

/* New reference: role totals and calls in flight, for /status. */
json_t *BbProxy_StatusJson(const bb_proxy_t *proxy);

/* Cuts calls in flight. */
void BbProxy_Free(bb_proxy_t *proxy);

#ifdef __cplusplus
}
#endif

#endif
