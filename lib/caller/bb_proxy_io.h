/*
 * bb_proxy_io - streams calls between callers, nodes and the local target
 *
 * One proxy per node serves two roles on one address:
 *
 *   caller side   requests without "Burdock-Hop": match the route, choose a
 *                 target, forward to the node beside that target; if that is
 *                 this node itself, go on in the target-side role at once
 *   target side   requests with "Burdock-Hop: 1": check the call id, admit,
 *                 check the idempotency key, forward to the local target
 *
 * USE
 *   BbProxy_New() binds the address and starts to serve. On SIGTERM call
 *   BbProxy_Drain(), wait for done, then call BbProxy_Free(). The owner calls
 *   BbProxy_OnTargetChanged() after each BbAdmission_SetTarget(), so that
 *   queued calls are started or refused. Times passed to the modules of
 *   lib/target are milliseconds of the monotonic clock,
 *   g_get_monotonic_time() / 1000.
 *
 * LIMITS
 *   Bodies are streamed. A call holds at most buffer_bytes in each direction
 *   plus BB_PROXY_REPLAY_BYTES of the request body for a retry. A call is not
 *   retried once more body bytes than that were sent.
 *   A caller that closes its sending side (half-close) is treated as
 *   disconnected, and its call is cancelled. libmicrohttpd starts a response
 *   only after the whole request body, so the response of a target that
 *   answers early is forwarded when the request body has ended.
 *
 * ERRORS
 *   Responses that a node generates itself carry Burdock-Outcome and
 *   Burdock-Reason and a text/plain body. When a response breaks off after its
 *   head was forwarded, the connection to the caller is closed without the
 *   end-of-body marker, so that the caller can see that the body is
 *   truncated.
 */
#ifndef BB_PROXY_IO_H
#define BB_PROXY_IO_H

#include <ev.h>
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "bb_active_config.h"
#include "bb_admission.h"
#include "bb_balancer.h"
#include "bb_call.h"
#include "bb_curl_io.h"
#include "bb_once.h"
#include "bb_platform_io.h"
#include "bb_random.h"
#include "bb_registry.h"

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
    /* "IP:PORT" for callers and other nodes, equal to the address in this
     * node's member record: a call for which it is chosen goes to the local
     * target. Copied. */
    const char *address;
    bb_active_config_t *active_config;
    bb_balancer_t *balancer;
    bb_admission_t *admission;
    bb_once_t *once;
    bb_registry_t *registry;
    bb_platform_t *platform; /* NULL: calls of pools with once = "claim"
                                are refused */
    bb_random_t *random;
    uint64_t node_id;
    const bb_retry_policy_t *retry_policy; /* NULL: BbCall_SafeRetryPolicy() */
    int64_t drain_ms;                      /* limit of BbProxy_Drain() */
    int64_t stall_ms;        /* longest pause within a body; 0 takes 5 s */
    size_t buffer_bytes;     /* per direction; 0 takes 256 KiB */
    size_t max_header_bytes; /* request head; 0 takes 16 KiB */
    int64_t max_body_bytes;  /* request body; 0 takes 4 GiB */
    unsigned int max_connections; /* 0 takes 4096 */
    /* Limit of concurrent calls and hops together; 0 takes 2048. Above it,
     * requests of callers are refused, but not hops, since another node has
     * already accepted their calls. */
    int max_calls;
} bb_proxy_options_t;

/*
 * Returns 0, or BB_ERR_ADDRESS_IN_USE, BB_ERR_ARGUMENT or BB_ERR_IO when the
 * address cannot be bound.
 */
int BbProxy_New(const bb_proxy_options_t *options, bb_proxy_t **proxy);

/* To be called after BbAdmission_SetTarget(): starts or refuses queued
 * calls. */
void BbProxy_OnTargetChanged(bb_proxy_t *proxy);

/*
 * Drains admission, refuses new calls as not-run ("node_draining") and calls
 * done once, from the event loop, when no call is in flight or after drain_ms.
 * From then on no connection is accepted. New calls on connections accepted
 * before are still refused, until BbProxy_Free() closes all connections.
 */
void BbProxy_Drain(bb_proxy_t *proxy, void (*done)(void *arg), void *arg);

/* Number of calls in flight in both roles; a call that is forwarded to the
 * local target counts once. */
int BbProxy_InFlightCount(const bb_proxy_t *proxy);

/* Totals of both roles and calls in flight, for /status. The caller owns the
 * returned reference. */
json_t *BbProxy_StatusJson(const bb_proxy_t *proxy);

/* Ends calls in flight by closing their connections. NULL is allowed. */
void BbProxy_Free(bb_proxy_t *proxy);

#ifdef __cplusplus
}
#endif

#endif
