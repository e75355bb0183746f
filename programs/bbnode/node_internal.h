/*
 * node_internal - state of a node, shared by node.c and node_report.c
 */
#ifndef NODE_INTERNAL_H
#define NODE_INTERNAL_H

#include <ev.h>
#include <glib.h>

#include "admin.h"
#include "bb_active_config.h"
#include "bb_admission.h"
#include "bb_balancer.h"
#include "bb_once.h"
#include "bb_peer_io.h"
#include "bb_platform_io.h"
#include "bb_proxy_io.h"
#include "bb_random.h"
#include "bb_registry.h"
#include "bb_source_io.h"
#include "node.h"

/* Number of versions that /status lists with the time at which each came into
 * force. */
#define HISTORY_SIZE 64

typedef struct {
    int64_t version;
    int64_t at_ms; /* wall clock, for reports only */
} applied_version_t;

struct node {
    struct ev_loop *loop;
    const bb_settings_t *settings;
    bb_trusted_owner_t owners[BB_MAX_OWNERS];
    uint64_t node_id;
    int64_t started_ms;
    int64_t drained_ms; /* end of the drain; calls may still be in flight */
    bb_random_t *random;
    bb_curl_t *platform_curl;
    bb_curl_t *call_curl;
    bb_platform_t *platform;
    bb_active_config_t *active_config;
    bb_peer_t *peer;
    bb_source_t *source;
    bb_registry_t *registry;
    bb_admission_t *admission;
    bb_once_t *once;
    bb_balancer_t *balancer;
    bb_proxy_t *proxy;
    admin_t *admin;
    ev_signal term_signal;
    ev_signal interrupt_signal;
    ev_timer tick;
    ev_timer leave_timer;
    gboolean is_draining;
    int64_t refused_version; /* last version that was logged as refused */
    applied_version_t history[HISTORY_SIZE]; /* ring buffer */
    size_t applied_count;                    /* since the start */
};

/* Monotonic time in milliseconds, for all decisions. */
static inline int64_t
Node_NowMs(void)
{
    return g_get_monotonic_time() / 1000;
}

#define NODE_ID_DIGITS 16 /* hex digits */

/* out holds NODE_ID_DIGITS + 1 bytes. */
void Node_FormatId(const node_t *node, char *out);

/* "absent", "starting", "ready" or "draining". */
const char *Node_TargetStateName(bb_target_state_t state);

#endif
