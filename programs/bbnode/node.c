#include "node.h"

#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>

#include "admin.h"
#include "bb_error.h"
#include "bb_log.h"
#include "node_internal.h"

/* Interval at which lapsed target announcements and expired at-most-once
 * records are dropped, and so the longest delay until a lapse is noticed.
 * BB_REGISTRY_LEASE_MS and this interval together must stay below the 3 s of
 * guarantee G7 (docs/design.md). */
#define TICK_S 0.1

/* After a drain the process exits at the first check at which no call is in
 * flight, or after the timeout. The interval is long enough for the leave
 * message to reach the other nodes; the timeout lets calls on the connections
 * accepted last finish. */
#define LEAVE_CHECK_S 0.1
#define LEAVE_TIMEOUT_S 1.0

/* The first platform read of a node is delayed at random by up to this time,
 * so that nodes that start together spread their reads: 3,400 nodes in 2 s are
 * 1,700 reads/s, below the platform's limit of 2,000 reads/s. */
#define START_JITTER_MS 2000

/* ---- callbacks that connect the modules ---- */

static void
handle_version_applied(const bb_release_t *release, bb_config_t *config,
                       void *arg)
{
    node_t *node = arg;
    applied_version_t *applied =
        &node->history[node->applied_count++ % HISTORY_SIZE];

    applied->version = release->version;
    applied->at_ms = (g_get_real_time() / 1000);
    BbLog_Write(BB_LOG_NOTICE,
                "version %" PRId64 " in force: %zu routes, %zu pools, "
                "accepted by %s, digest %.12s",
                release->version, BbConfig_RouteCount(config),
                BbConfig_PoolCount(config), release->owner, release->digest);
}

static void
handle_release(const bb_release_t *release, const char *text, size_t size,
               void *arg)
{
    node_t *node = arg;
    bb_findings_t findings;

    BbFindings_Init(&findings);
    int error =
        BbPeer_OfferVersion(node->peer, release, text, size, &findings);
    bool is_repeated = release->version == node->refused_version;
    if (error != 0 && error != BB_ERR_STALE && !is_repeated) {
        /* A refused version is read repeatedly until a newer one is
         * accepted; it is logged only once. */
        node->refused_version = release->version;
        BbLog_Write(BB_LOG_WARNING,
                    "version %" PRId64 " refused: %s, %zu findings%s%s",
                    release->version, BbError_Name(error), findings.count,
                    findings.count > 0 ? ", first: " : "",
                    findings.count > 0 ? findings.items[0].message : "");
    }
    BbFindings_Free(&findings);
}

static void
handle_member_change(const bb_member_t *member, void *arg)
{
    node_t *node = arg;
    BbBalancer_SetMember(node->balancer, member, Node_NowMs());
}

static void
handle_summary_change(const char *data_centre, const bb_summary_t *summary,
                      void *arg)
{
    node_t *node = arg;
    const char *addresses[BB_SUMMARY_ADDRESSES];

    for (size_t i = 0; i < summary->address_count; i++) {
        addresses[i] = summary->addresses[i];
    }
    BbBalancer_SetSummary(node->balancer, data_centre, summary->service,
                          summary->live, addresses, summary->address_count,
                          Node_NowMs());
}

static void
handle_gateway_change(bool is_gateway, void *arg)
{
    node_t *node = arg;

    BbLog_Write(BB_LOG_NOTICE, "gateway role %s",
                is_gateway ? "taken" : "given up");
    if (node->source != NULL) {
        BbSource_SetCandidate(node->source, is_gateway && !node->is_draining);
    }
}

/* Adds the nodes that the platform's lease rows name as seeds. */
static void
handle_source_peers(const bb_source_peer_t *peers, size_t count, void *arg)
{
    node_t *node = arg;

    for (size_t i = 0; i < count; i++) {
        BbPeer_AddSeeds(node->peer, peers[i].data_centre,
                        &peers[i].peer_address, 1);
    }
}

static int64_t
get_version_in_force(void *arg)
{
    const node_t *node = arg;
    return BbActiveConfig_GetVersion(node->active_config);
}

/* An absent target has neither address nor service. */
static void
log_target(const bb_announcement_t *target)
{
    if (target->state == BB_TARGET_ABSENT) {
        BbLog_Write(BB_LOG_NOTICE, "target absent: its announcement lapsed");
        return;
    }
    BbLog_Write(BB_LOG_NOTICE, "target %s of service %s is %s",
                target->address, target->service,
                Node_TargetStateName(target->state));
}

static void
handle_target_change(const bb_announcement_t *target, unsigned int changes,
                     void *arg)
{
    node_t *node = arg;

    BbAdmission_SetTarget(node->admission, target->state, target->slots,
                          target->connections);
    if (node->proxy != NULL) {
        BbProxy_OnTargetChanged(node->proxy);
    }
    if ((changes & BB_REGISTRY_STATE) && target->state == BB_TARGET_READY) {
        BbOnce_DeferUnknownKeys(node->once, Node_NowMs());
    }
    if (changes & (BB_REGISTRY_STATE | BB_REGISTRY_SERVICE)) {
        log_target(target);
    }
    if (node->peer != NULL) {
        BbPeer_SetTarget(node->peer, target->service, target->state,
                         target->slots);
        BbBalancer_SetMember(node->balancer, BbPeer_Self(node->peer),
                             Node_NowMs());
    }
}

int
Node_Announce(node_t *node, const char *text, size_t size, const char **field)
{
    bb_announcement_t announcement;
    json_t *body = json_loadb(text, size, 0, NULL);
    int error = BbRegistry_Parse(body, &announcement, field);

    json_decref(body);
    if (error == 0) {
        BbRegistry_Announce(node->registry, &announcement, Node_NowMs());
    }
    return error;
}

static void
handle_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    node_t *node = timer->data;

    BbRegistry_Tick(node->registry, Node_NowMs());
    BbOnce_Tick(node->once, Node_NowMs());
}

/* ---- shutdown ---- */

static void
handle_leave_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)events;
    node_t *node = timer->data;

    if (BbProxy_InFlightCount(node->proxy) == 0 ||
        Node_NowMs() - node->drained_ms >= LEAVE_TIMEOUT_S * 1000) {
        ev_break(loop, EVBREAK_ALL);
    }
}

static void
handle_drained(void *arg)
{
    node_t *node = arg;

    BbLog_Write(BB_LOG_NOTICE, "drained, %d calls left in flight",
                BbProxy_InFlightCount(node->proxy));
    BbPeer_Leave(node->peer);
    node->drained_ms = Node_NowMs();
    ev_timer_set(&node->leave_timer, LEAVE_CHECK_S, LEAVE_CHECK_S);
    ev_timer_start(node->loop, &node->leave_timer);
}

static void
handle_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)events;
    node_t *node = watcher->data;

    if (node->is_draining) {
        BbLog_Write(
            BB_LOG_WARNING,
            "second signal, exiting without waiting for calls in flight");
        ev_break(loop, EVBREAK_ALL);
        return;
    }
    node->is_draining = TRUE;
    BbLog_Write(BB_LOG_NOTICE, "draining, %d calls in flight",
                BbProxy_InFlightCount(node->proxy));
    BbSource_SetCandidate(node->source, 0);
    BbPeer_Drain(node->peer);
    BbProxy_Drain(node->proxy, handle_drained, node);
}

/* ---- construction ---- */

static void
load_owners(node_t *node)
{
    for (size_t i = 0; i < node->settings->owner_count; i++) {
        const bb_owner_setting_t *setting = &node->settings->owners[i];
        bb_trusted_owner_t *owner = &node->owners[i];
        g_strlcpy(owner->name, setting->name, sizeof(owner->name));
        int is_invalid =
            sodium_hex2bin(owner->key, sizeof(owner->key), setting->public_key,
                           strlen(setting->public_key), NULL, NULL, NULL);
        g_assert(!is_invalid); /* checked by BbSettings_Load() */
    }
}

static void
create_routing_state(node_t *node)
{
    const bb_settings_t *settings = node->settings;
    bb_active_config_options_t active_config_options = {
        .owners = node->owners,
        .owner_count = settings->owner_count,
        .on_swap = handle_version_applied,
        .arg = node,
    };
    node->active_config = BbActiveConfig_New(&active_config_options);
    bb_registry_options_t registry_options = {
        .on_change = handle_target_change, .arg = node};
    node->registry = BbRegistry_New(&registry_options);
    bb_admission_options_t admission_options = {
        .policy = strcmp(settings->admission, "none") == 0
                      ? BbAdmission_NoLimitPolicy()
                      : BbAdmission_LimitPolicy()};
    node->admission = BbAdmission_New(&admission_options);
    bb_once_options_t once_options = {.defer_ms = BB_ONCE_DEFER_MS};
    node->once = BbOnce_New(&once_options);
    BbOnce_DeferUnknownKeys(node->once, Node_NowMs());
    bb_balancer_options_t balancer_options = {
        .data_centre = settings->data_centre,
        .policy = strcmp(settings->balancer, "round-robin") == 0
                      ? BbBalancer_RoundRobinPolicy()
                      : BbBalancer_LeastOfTwoPolicy(),
        .random = node->random,
    };
    node->balancer = BbBalancer_New(&balancer_options);
}

static void
create_platform(node_t *node)
{
    bb_curl_options_t curl_options = {.loop = node->loop,
                                      .max_idle_connections = 2};
    node->platform_curl = BbCurl_New(&curl_options);
    bb_platform_options_t options = {
        .curl = node->platform_curl,
        .url = node->settings->platform_url,
        .timeout_ms = (long)node->settings->platform_timeout_ms,
    };
    node->platform = BbPlatform_New(&options);
}

static int
create_proxy(node_t *node)
{
    const bb_settings_t *settings = node->settings;
    bb_curl_options_t curl_options = {.loop = node->loop,
                                      .max_idle_connections = 256};
    node->call_curl = BbCurl_New(&curl_options);
    bb_proxy_options_t options = {
        .loop = node->loop,
        .curl = node->call_curl,
        .address = settings->caller_address,
        .active_config = node->active_config,
        .balancer = node->balancer,
        .admission = node->admission,
        .once = node->once,
        .registry = node->registry,
        .platform = node->platform,
        .random = node->random,
        .node_id = node->node_id,
        .retry_policy = strcmp(settings->retry, "always") == 0
                            ? BbCall_AlwaysRetryPolicy()
                            : BbCall_SafeRetryPolicy(),
        .drain_ms = settings->drain_ms,
        .stall_ms = settings->stall_ms,
    };
    int error = BbProxy_New(&options, &node->proxy);
    if (error != 0) {
        BbLog_Write(BB_LOG_ERROR, "cannot listen on caller_address %s: %s",
                    settings->caller_address, BbError_Name(error));
    }
    return error;
}

static void
fill_own_member(const node_t *node, bb_member_t *self)
{
    const bb_settings_t *settings = node->settings;

    memset(self, 0, sizeof(*self));
    self->node_id = node->node_id;
    self->incarnation = (g_get_real_time() / 1000);
    g_strlcpy(self->data_centre, settings->data_centre,
              sizeof(self->data_centre));
    g_strlcpy(self->caller_address, settings->caller_address,
              sizeof(self->caller_address));
    g_strlcpy(self->peer_address, settings->peer_address,
              sizeof(self->peer_address));
}

static int
create_peer(node_t *node)
{
    const bb_settings_t *settings = node->settings;
    bb_peer_options_t options = {
        .loop = node->loop,
        .active_config = node->active_config,
        .cluster = settings->cluster,
        .bind_address = settings->peer_address,
        .seeds = (const char *const *)settings->seeds,
        .seed_count = settings->seed_count,
        .fanout = (int)settings->fanout,
        .mode = strcmp(settings->peer_mode, "advertise") == 0
                    ? BB_SPREAD_ADVERTISE
                    : BB_SPREAD_PUSH,
        .random = node->random,
        .callbacks = {.on_member_change = handle_member_change,
                      .on_summary_change = handle_summary_change,
                      .on_gateway_change = handle_gateway_change,
                      .arg = node},
    };
    fill_own_member(node, &options.self);
    node->peer = BbPeer_New(&options);
    return node->peer != NULL ? 0 : BB_ERR_IO;
}

static void
create_source(node_t *node)
{
    const bb_settings_t *settings = node->settings;
    char node_id[NODE_ID_DIGITS + 1];
    bb_source_options_t options = {
        .loop = node->loop,
        .platform = node->platform,
        .data_centre = settings->data_centre,
        .node_id = node_id,
        .peer_address = settings->peer_address,
        .poll_ms = settings->poll_ms,
        .start_jitter_ms = START_JITTER_MS,
        .poll_all = strcmp(settings->platform_mode, "poll-all") == 0,
        .random = node->random,
        .get_version = get_version_in_force,
        .on_release = handle_release,
        .on_peers = handle_source_peers,
        .arg = node,
    };
    Node_FormatId(node, node_id);
    node->source = BbSource_New(&options);
    BbSource_SetCandidate(node->source, BbPeer_IsGateway(node->peer));
}

static int
create_admin(node_t *node)
{
    int error = Admin_New(node->loop, node->settings->admin_address, node,
                          &node->admin);
    if (error != 0) {
        BbLog_Write(BB_LOG_ERROR, "cannot listen on admin_address %s: %s",
                    node->settings->admin_address, BbError_Name(error));
    }
    return error;
}

static void
start_watchers(node_t *node)
{
    ev_signal_init(&node->term_signal, handle_signal, SIGTERM);
    ev_signal_init(&node->interrupt_signal, handle_signal, SIGINT);
    ev_timer_init(&node->tick, handle_tick, TICK_S, TICK_S);
    ev_init(&node->leave_timer, handle_leave_timer);
    node->term_signal.data = node;
    node->interrupt_signal.data = node;
    node->tick.data = node;
    node->leave_timer.data = node;
    ev_signal_start(node->loop, &node->term_signal);
    ev_signal_start(node->loop, &node->interrupt_signal);
    ev_timer_start(node->loop, &node->tick);
}

node_t *
Node_New(struct ev_loop *loop, const bb_settings_t *settings)
{
    node_t *node = g_new0(node_t, 1);

    node->loop = loop;
    node->settings = settings;
    node->started_ms = Node_NowMs();
    node->random = BbRandom_New(0);
    randombytes_buf(&node->node_id, sizeof(node->node_id));
    load_owners(node);
    create_routing_state(node);
    create_platform(node);
    start_watchers(node);
    /* All three are tried, so that one start reports every address in use. */
    bool is_bound = create_admin(node) == 0;
    is_bound = create_proxy(node) == 0 && is_bound;
    is_bound = create_peer(node) == 0 && is_bound;
    if (!is_bound) {
        Node_Free(node);
        return NULL;
    }
    create_source(node);
    BbLog_Write(
        BB_LOG_NOTICE,
        "started in data centre %s, caller address %s, peer address %s",
        settings->data_centre, settings->caller_address,
        settings->peer_address);
    return node;
}

void
Node_Free(node_t *node)
{
    ev_signal_stop(node->loop, &node->term_signal);
    ev_signal_stop(node->loop, &node->interrupt_signal);
    ev_timer_stop(node->loop, &node->tick);
    ev_timer_stop(node->loop, &node->leave_timer);
    Admin_Free(node->admin);
    BbProxy_Free(node->proxy);
    BbCurl_Free(node->call_curl);
    BbCurl_Free(node->platform_curl); /* its requests refer to the source */
    BbSource_Free(node->source);
    BbPlatform_Free(node->platform);
    BbPeer_Free(node->peer);
    BbBalancer_Free(node->balancer);
    BbOnce_Free(node->once);
    BbAdmission_Free(node->admission);
    BbRegistry_Free(node->registry);
    BbActiveConfig_Free(node->active_config);
    BbRandom_Free(node->random);
    g_free(node);
}

bool
Node_IsReady(const node_t *node)
{
    return !node->is_draining &&
           BbActiveConfig_GetVersion(node->active_config) > 0;
}
