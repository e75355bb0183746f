#include "bb_mesh_config.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "bb_error.h"

/* Size of the lookup key on the stack: host, space, the part of the path that
 * can match a prefix, and the terminating NUL. Longer keys are allocated. */
#define STACK_KEY_BYTES 2304

struct bb_mesh_config {
    int references;
    int64_t version;
    bb_mesh_limits_t limits;
    bb_account_table_t *accounts; /* NULL: calls need no key */
    GHashTable *services;         /* name to its max_connections */
    GHashTable *routes;           /* "host prefix" to bb_mesh_route_t */
    GPtrArray *route_list; /* bb_mesh_route_t, owned, in order of addition */
    size_t longest_prefix; /* in bytes */
};

static void
free_route(gpointer data)
{
    bb_mesh_route_t *route = data;

    for (size_t i = 0; i < route->part_count; i++) {
        g_free(route->parts[i].service);
    }
    g_free(route->parts);
    g_free(route->name);
    g_free(route->host);
    g_free(route->prefix);
    g_free(route);
}

bb_mesh_config_t *
BbMeshConfig_New(int64_t version)
{
    bb_mesh_config_t *config = g_new0(bb_mesh_config_t, 1);

    config->references = 1;
    config->version = version;
    config->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    config->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    config->route_list = g_ptr_array_new_with_free_func(free_route);
    return config;
}

bb_mesh_config_t *
BbMeshConfig_Ref(bb_mesh_config_t *config)
{
    config->references++;
    return config;
}

void
BbMeshConfig_Unref(bb_mesh_config_t *config)
{
    if (config == NULL || --config->references > 0) {
        return;
    }
    g_hash_table_destroy(config->services);
    g_hash_table_destroy(config->routes);
    g_ptr_array_unref(config->route_list);
    BbAccountTable_Free(config->accounts);
    g_free(config);
}

void
BbMeshConfig_AddService(bb_mesh_config_t *config, const char *name,
                        int max_connections)
{
    g_hash_table_replace(config->services, g_strdup(name),
                         GINT_TO_POINTER(max_connections));
}

bb_mesh_route_t *
BbMeshConfig_AddRoute(bb_mesh_config_t *config,
                      const bb_mesh_route_options_t *options)
{
    bb_mesh_route_t *route = g_new0(bb_mesh_route_t, 1);

    route->name = g_strdup(options->name);
    route->host = g_ascii_strdown(options->host, -1);
    route->prefix = g_strdup(options->prefix);
    route->is_idempotent = options->is_idempotent;
    route->timeout_s = options->timeout_s;
    route->target_latency_s = options->target_latency_s;
    route->rank = options->rank;
    route->max_targets = options->max_targets;
    route->is_public = options->is_public;
    g_ptr_array_add(config->route_list, route);
    config->longest_prefix =
        MAX(config->longest_prefix, strlen(options->prefix));
    g_hash_table_replace(config->routes,
                         g_strconcat(route->host, " ", route->prefix, NULL),
                         route);
    return route;
}

void
BbMeshRoute_AddPart(bb_mesh_route_t *route, const char *service, int weight)
{
    route->parts =
        g_renew(bb_route_part_t, route->parts, route->part_count + 1);
    route->parts[route->part_count++] = (bb_route_part_t){
        .service = g_strdup(service),
        .weight = weight,
    };
}

void
BbMeshConfig_SetLimits(bb_mesh_config_t *config,
                       const bb_mesh_limits_t *limits)
{
    config->limits = *limits;
}

void
BbMeshConfig_SetAccounts(bb_mesh_config_t *config,
                         bb_account_table_t *accounts)
{
    BbAccountTable_Free(config->accounts);
    config->accounts = accounts;
}

const bb_account_table_t *
BbMeshConfig_Accounts(const bb_mesh_config_t *config)
{
    return config->accounts;
}

static void
check_route(const bb_mesh_config_t *config, const bb_mesh_route_t *route,
            bb_findings_t *findings)
{
    if (route->part_count == 0) {
        BbFindings_Add(findings, "routes", route->name, "service", 0,
                       "route has no service");
    }
    if (route->prefix[0] != '/') {
        BbFindings_Add(findings, "routes", route->name, "prefix", 0,
                       "must begin with '/'");
    }
    for (size_t i = 0; i < route->part_count; i++) {
        const bb_route_part_t *part = &route->parts[i];
        if (part->weight < 1) {
            BbFindings_Add(findings, "routes", route->name, "weight", 0,
                           "%d is below the minimum of 1", part->weight);
        }
        if (!g_hash_table_contains(config->services, part->service)) {
            BbFindings_Add(findings, "routes", route->name, "service", 0,
                           "service '%s' is not configured", part->service);
        }
    }
}

int
BbMeshConfig_Check(const bb_mesh_config_t *config, bb_findings_t *findings)
{
    size_t before = findings->count + findings->omitted;

    for (guint i = 0; i < config->route_list->len; i++) {
        check_route(config, g_ptr_array_index(config->route_list, i),
                    findings);
    }
    return findings->count + findings->omitted == before ? 0 : BB_ERR_INVALID;
}

int64_t
BbMeshConfig_Version(const bb_mesh_config_t *config)
{
    return config->version;
}

size_t
BbMeshConfig_RouteCount(const bb_mesh_config_t *config)
{
    return config->route_list->len;
}

double
BbMeshConfig_LongestTimeout(const bb_mesh_config_t *config)
{
    double longest_s = 0;

    for (guint i = 0; i < config->route_list->len; i++) {
        const bb_mesh_route_t *route =
            g_ptr_array_index(config->route_list, i);
        longest_s = MAX(longest_s, route->timeout_s);
    }
    return longest_s;
}

const bb_mesh_limits_t *
BbMeshConfig_Limits(const bb_mesh_config_t *config)
{
    return &config->limits;
}

const bb_mesh_route_t *
BbMeshConfig_RouteAt(const bb_mesh_config_t *config, size_t index)
{
    return g_ptr_array_index(config->route_list, index);
}

const bb_mesh_route_t *
BbMeshConfig_FindExact(const bb_mesh_config_t *config, const char *host,
                       const char *prefix)
{
    char *key = g_strconcat(host, " ", prefix, NULL);
    const bb_mesh_route_t *route = g_hash_table_lookup(config->routes, key);

    g_free(key);
    return route;
}

bool
BbMeshConfig_HasService(const bb_mesh_config_t *config, const char *name)
{
    return g_hash_table_contains(config->services, name);
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

void
BbMeshConfig_ForEachService(const bb_mesh_config_t *config,
                            void (*visit)(const char *name,
                                          int max_connections, void *arg),
                            void *arg)
{
    GList *names =
        g_list_sort(g_hash_table_get_keys(config->services), compare_names);

    for (const GList *item = names; item != NULL; item = item->next) {
        visit(item->data, BbMeshConfig_MaxConnections(config, item->data),
              arg);
    }
    g_list_free(names);
}

int
BbMeshConfig_MaxConnections(const bb_mesh_config_t *config,
                            const char *service)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(config->services, service));
}

void
BbMeshConfig_ShuffleSplits(bb_mesh_config_t *config, bb_random_t *random)
{
    for (guint i = 0; i < config->route_list->len; i++) {
        bb_mesh_route_t *route = g_ptr_array_index(config->route_list, i);
        int32_t total = 0;

        for (size_t k = 0; k < route->part_count; k++) {
            total += route->parts[k].weight;
        }
        if (route->part_count < 2 || total < 1) {
            continue;
        }
        int32_t steps = BbRandom_Below(random, MIN(total, 1000));
        for (int32_t k = 0; k < steps; k++) {
            BbMeshRoute_NextService(route);
        }
    }
}

/* key has room for host, space, path and the terminating NUL. */
static bb_mesh_route_t *
find_longest_prefix(const bb_mesh_config_t *config, char *key,
                    const char *host, size_t host_size, const char *target,
                    size_t path_size)
{
    for (size_t i = 0; i < host_size; i++) {
        key[i] = g_ascii_tolower(host[i]);
    }
    key[host_size] = ' ';
    char *path = key + host_size + 1;
    memcpy(path, target, path_size);
    /* Tries each prefix that ends with '/', longest first. */
    while (path_size > 0) {
        if (path[path_size - 1] == '/') {
            path[path_size] = '\0';
            bb_mesh_route_t *route = g_hash_table_lookup(config->routes, key);
            if (route != NULL) {
                return route;
            }
        }
        path_size--;
    }
    return NULL;
}

bb_mesh_route_t *
BbMeshConfig_FindRoute(bb_mesh_config_t *config, const char *host,
                       const char *target)
{
    char on_stack[STACK_KEY_BYTES];
    size_t host_size = host != NULL ? strcspn(host, ":") : 0;
    size_t path_size = MIN(strcspn(target, "?#"), config->longest_prefix);
    size_t key_size = host_size + path_size + 2;

    if (host_size == 0) {
        return NULL;
    }
    char *key = key_size <= sizeof(on_stack) ? on_stack : g_malloc(key_size);
    bb_mesh_route_t *route =
        find_longest_prefix(config, key, host, host_size, target, path_size);
    if (key != on_stack) {
        g_free(key);
    }
    return route;
}

const char *
BbMeshRoute_NextService(bb_mesh_route_t *route)
{
    bb_route_part_t *best = NULL;
    int64_t total = 0;

    assert(route->part_count > 0);
    for (size_t i = 0; i < route->part_count; i++) {
        bb_route_part_t *part = &route->parts[i];
        part->credit += part->weight;
        total += part->weight;
        if (best == NULL || part->credit > best->credit) {
            best = part;
        }
    }
    best->credit -= total;
    return best->service;
}
