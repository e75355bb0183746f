/* JSON reports of a node for /status and /explain. */
#include <inttypes.h>
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#include "bb_counters.h"
#include "node_internal.h"

void
Node_FormatId(const node_t *node, char *out)
{
    g_snprintf(out, NODE_ID_DIGITS + 1, "%016" PRIx64, node->node_id);
}

const char *
Node_TargetStateName(bb_target_state_t state)
{
    static const char *const names[] = {"absent", "starting", "ready",
                                        "draining"};
    return names[state];
}

static json_t *
history_json(const node_t *node)
{
    json_t *list = json_array();
    size_t first = node->applied_count > HISTORY_SIZE
                       ? node->applied_count - HISTORY_SIZE
                       : 0;

    for (size_t i = first; i < node->applied_count; i++) {
        const applied_version_t *applied = &node->history[i % HISTORY_SIZE];
        json_array_append_new(list,
                              json_pack("{s:I,s:I}", "version",
                                        (json_int_t)applied->version, "at_ms",
                                        (json_int_t)applied->at_ms));
    }
    return list;
}

static json_t *
version_json(const node_t *node)
{
    const bb_release_t *release =
        BbActiveConfig_GetRelease(node->active_config);

    if (release == NULL) {
        return json_pack("{s:i,s:o}", "version", 0, "history",
                         history_json(node));
    }
    return json_pack("{s:I,s:s,s:s,s:s,s:o}", "version",
                     (json_int_t)release->version, "digest", release->digest,
                     "owner", release->owner, "month", release->month,
                     "history", history_json(node));
}

static json_t *
target_json(const node_t *node)
{
    const bb_announcement_t *target = BbRegistry_Current(node->registry);

    return json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:i}", "state",
                     Node_TargetStateName(target->state), "service",
                     target->service, "address", target->address, "slots",
                     target->slots, "connections", target->connections,
                     "running", BbAdmission_RunningCount(node->admission),
                     "queued", BbAdmission_QueuedCount(node->admission));
}

static int64_t
resident_kb(void)
{
    char *text = NULL;
    long pages = 0;

    if (g_file_get_contents("/proc/self/statm", &text, NULL, NULL)) {
        sscanf(text, "%*d %ld", &pages);
        g_free(text);
    }
    return (int64_t)pages * (sysconf(_SC_PAGESIZE) / 1024);
}

static json_t *
process_json(const node_t *node)
{
    struct rusage usage;

    getrusage(RUSAGE_SELF, &usage);
    int64_t cpu_us =
        (int64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000000 +
        usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
    return json_pack("{s:i,s:I,s:I,s:I}", "pid", (int)getpid(), "uptime_ms",
                     (json_int_t)(Node_NowMs() - node->started_ms), "cpu_ms",
                     (json_int_t)(cpu_us / 1000), "resident_kb",
                     (json_int_t)resident_kb());
}

static json_t *
counters_json(void)
{
    json_t *counters = json_object();

    for (int i = 0; i < BB_COUNTER_COUNT; i++) {
        json_object_set_new(counters, BbCounters_Name((bb_counter_t)i),
                            json_integer(BbCounters_Get((bb_counter_t)i)));
    }
    return counters;
}

static json_t *
platform_json(const node_t *node)
{
    return json_pack(
        "{s:b,s:I,s:I}", "reader", BbSource_IsReading(node->source),
        "requests", (json_int_t)BbPlatform_RequestCount(node->platform),
        "bytes", (json_int_t)BbPlatform_ByteCount(node->platform));
}

static void
add_service(const char *service, size_t live, void *arg)
{
    json_object_set_new(arg, service,
                        json_pack("{s:I}", "live", (json_int_t)live));
}

/* Services of the version in force and services of announced targets. */
static json_t *
services_json(const node_t *node)
{
    json_t *services = json_object();
    const bb_config_t *config = BbActiveConfig_GetConfig(node->active_config);

    for (size_t i = 0; config != NULL && i < BbConfig_ServiceCount(config);
         i++) {
        add_service(BbConfig_Service(config, i)->name, 0, services);
    }
    BbBalancer_ListServices(node->balancer, add_service, services);
    return services;
}

json_t *
Node_StatusJson(node_t *node)
{
    const bb_settings_t *settings = node->settings;
    char node_id[NODE_ID_DIGITS + 1];

    Node_FormatId(node, node_id);
    return json_pack(
        "{s:{s:s,s:s,s:s,s:s,s:s,s:b}, s:o, s:o,s:o,s:o,s:o,s:o,s:o,s:o}",
        "node", "id", node_id, "cluster", settings->cluster, "data_centre",
        settings->data_centre, "caller_address", settings->caller_address,
        "peer_address", settings->peer_address, "draining",
        (int)node->is_draining, "config", version_json(node), "services",
        services_json(node), "target", target_json(node), "calls",
        BbProxy_StatusJson(node->proxy), "peer", BbPeer_StatusJson(node->peer),
        "platform", platform_json(node), "process", process_json(node),
        "counters", counters_json());
}

/* ---- explanations ---- */

static json_t *
explain_version(node_t *node)
{
    const bb_release_t *release =
        BbActiveConfig_GetRelease(node->active_config);
    json_t *out = json_pack("{s:s,s:o}", "kind", "version", "config",
                            version_json(node));

    json_object_set_new(
        out, "text",
        release == NULL
            ? json_string("no version is in force; calls are refused not-run "
                          "(no_config) until a verified one arrives")
            : json_sprintf("version %" PRId64
                           " is in force: accepted by %s for %s, signature "
                           "and digest verified at this node",
                           release->version, release->owner, release->month));
    return out;
}

static json_t *
route_json(const bb_route_t *route)
{
    return json_pack("{s:s,s:s,s:s,s:s,s:s,s:i}", "route", route->name, "host",
                     route->host, "path_prefix", route->path_prefix, "pool",
                     route->pool->name, "service", route->pool->service->name,
                     "timeout_ms", route->timeout_ms);
}

static json_t *
explain_route(node_t *node, const char *name)
{
    bb_config_t *config = BbActiveConfig_GetConfig(node->active_config);

    for (size_t i = 0; config != NULL && i < BbConfig_RouteCount(config);
         i++) {
        const bb_route_t *route = BbConfig_Route(config, i);
        if (g_strcmp0(route->name, name) == 0) {
            json_t *out = route_json(route);
            size_t local = BbBalancer_LocalCount(node->balancer,
                                                 route->pool->service->name);
            json_object_set_new(out, "kind", json_string("route"));
            json_object_set_new(out, "live_local_targets",
                                json_integer((json_int_t)local));
            json_object_set_new(out, "spill_fraction",
                                json_real(BbBalancer_SpillFraction(
                                    node->balancer, route->pool->service->name,
                                    Node_NowMs())));
            return out;
        }
    }
    return json_pack("{s:s,s:s,s:s}", "kind", "route", "route",
                     name != NULL ? name : "", "text",
                     "no route of this name is in force at this node");
}

static void
add_candidate(const bb_candidate_report_t *entry, void *arg)
{
    json_t *target = json_pack(
        "{s:s, s:s, s:b, s:i, s:f, s:f}", "address", entry->address,
        "data_centre", entry->data_centre, "usable",
        entry->unusable_reason == NULL, "in_flight", entry->in_flight, "score",
        entry->score, "share", entry->share);

    if (entry->unusable_reason != NULL) {
        json_object_set_new(target, "passed_over",
                            json_string(entry->unusable_reason));
    }
    json_array_append_new(arg, target);
}

static json_t *
explain_call(node_t *node, const node_explain_t *query)
{
    bb_config_t *config = BbActiveConfig_GetConfig(node->active_config);
    const char *method = query->method != NULL ? query->method : "GET";
    const char *path = query->path != NULL ? query->path : query->name;
    json_t *out = json_pack("{s:s}", "kind", "call");

    if (config == NULL) {
        json_object_set_new(out, "refusal", json_string("no_config"));
        return out;
    }
    const bb_route_t *route =
        path != NULL ? BbConfig_FindRoute(config, query->host, path, method)
                     : NULL;
    if (route == NULL) {
        json_object_set_new(out, "refusal", json_string("no_route"));
        return out;
    }
    json_object_set_new(
        out, "version",
        json_integer(BbActiveConfig_GetVersion(node->active_config)));
    json_object_set_new(out, "route", route_json(route));
    json_object_set_new(out, "idempotent",
                        json_boolean(BbRoute_IsIdempotent(route, method)));
    json_t *targets = json_array();
    BbBalancer_Report(node->balancer, route->pool->service->name, Node_NowMs(),
                      add_candidate, targets);
    json_object_set_new(out, "targets", targets);
    return out;
}

static json_t *
explain_node(node_t *node)
{
    json_t *out =
        json_pack("{s:s,s:o,s:o}", "kind", "node", "peer",
                  BbPeer_StatusJson(node->peer), "target", target_json(node));
    json_object_set_new(out, "gateway",
                        json_boolean(BbPeer_IsGateway(node->peer)));
    return out;
}

json_t *
Node_ExplainJson(node_t *node, const node_explain_t *query)
{
    if (g_strcmp0(query->kind, "version") == 0) {
        return explain_version(node);
    }
    if (g_strcmp0(query->kind, "route") == 0) {
        return explain_route(node, query->name);
    }
    if (g_strcmp0(query->kind, "call") == 0) {
        return explain_call(node, query);
    }
    if (g_strcmp0(query->kind, "node") == 0) {
        return explain_node(node);
    }
    return NULL;
}
