#include "bb_config_review.h"

#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

typedef struct {
    FILE *out;
    size_t lines;
    const char *kind; /* "added" or "removed" while one side is listed */
    const bb_mesh_config_t *config;
    const bb_mesh_config_t *other; /* the version to compare with */
} review_t;

static void __attribute__((format(printf, 2, 3)))
print_line(review_t *review, const char *format, ...)
{
    va_list arguments;

    va_start(arguments, format);
    vfprintf(review->out, format, arguments);
    va_end(arguments);
    fputc('\n', review->out);
    review->lines++;
}

/* ---- warnings ---- */

static void
warn_unmatched(review_t *review, const bb_mesh_route_t *route)
{
    size_t size = strlen(route->prefix);
    const bb_mesh_route_t *match =
        BbMeshConfig_FindExact(review->config, route->host, route->prefix);

    if (route->host[0] == '\0') {
        print_line(review, "warning: route %s never matches: it has no host",
                   route->name);
    }
    else if (size == 0 || route->prefix[size - 1] != '/') {
        print_line(review,
                   "warning: route %s never matches: prefix %s does not end "
                   "with '/'",
                   route->name, route->prefix);
    }
    else if (match != route) {
        print_line(review,
                   "warning: route %s never matches: route %s has the same "
                   "host and prefix",
                   route->name, match->name);
    }
}

static void
warn_route_limits(review_t *review, const bb_mesh_route_t *route)
{
    if (route->timeout_s > 0 && route->timeout_s < route->target_latency_s) {
        print_line(review,
                   "warning: route %s: timeout of %g s is below the target "
                   "latency of %g s",
                   route->name, route->timeout_s, route->target_latency_s);
    }
    if (route->target_latency_s <= 0) {
        print_line(review, "warning: route %s has no target latency",
                   route->name);
    }
}

static void
warn_unused_service(const char *name, int max_connections, void *arg)
{
    review_t *review = arg;
    (void)max_connections;

    for (size_t i = 0; i < BbMeshConfig_RouteCount(review->config); i++) {
        const bb_mesh_route_t *route = BbMeshConfig_RouteAt(review->config, i);
        for (size_t k = 0; k < route->part_count; k++) {
            if (strcmp(route->parts[k].service, name) == 0) {
                return;
            }
        }
    }
    print_line(review, "warning: service %s gets no calls: no route names it",
               name);
}

static void
warn_account(const bb_account_t *account, void *arg)
{
    review_t *review = arg;
    const bb_account_table_t *accounts = BbMeshConfig_Accounts(review->config);

    if (BbAccountTable_AccountKeyCount(accounts, account) == 0) {
        print_line(review, "warning: account %s never matches: it has no key",
                   account->name);
    }
    if (account->rate_per_s > 0 && account->burst < 1) {
        print_line(review,
                   "warning: account %s: a rate of %g/s with a burst of %g "
                   "refuses calls that arrive together",
                   account->name, account->rate_per_s, account->burst);
    }
    if (account->rate_per_s <= 0 && account->burst > 0) {
        print_line(review,
                   "warning: account %s: the burst of %g has no effect "
                   "without a rate",
                   account->name, account->burst);
    }
}

static void
warn_limits(review_t *review)
{
    const bb_mesh_limits_t *limits = BbMeshConfig_Limits(review->config);

    if (limits->idle_s > 0 && limits->head_s > limits->idle_s) {
        print_line(review,
                   "warning: limits: %g s for a head are longer than the idle "
                   "time of %g s",
                   limits->head_s, limits->idle_s);
    }
}

size_t
BbConfigReview_Warn(const bb_mesh_config_t *config, FILE *out)
{
    review_t review = {.out = out, .config = config};
    const bb_account_table_t *accounts = BbMeshConfig_Accounts(config);
    size_t keyed = 0;

    for (size_t i = 0; i < BbMeshConfig_RouteCount(config); i++) {
        const bb_mesh_route_t *route = BbMeshConfig_RouteAt(config, i);
        warn_unmatched(&review, route);
        warn_route_limits(&review, route);
        keyed += !route->is_public;
    }
    BbMeshConfig_ForEachService(config, warn_unused_service, &review);
    if (accounts != NULL) {
        BbAccountTable_ForEach(accounts, warn_account, &review);
    }
    if (accounts != NULL && keyed == 0) {
        print_line(&review,
                   "warning: accounts have no effect: all routes are public");
    }
    warn_limits(&review);
    return review.lines;
}

/* ---- differences ---- */

/* Parts of a route as "orders:90 catalogue:10"; free it with g_free(). */
static char *
describe_parts(const bb_mesh_route_t *route)
{
    GString *text = g_string_new(NULL);

    for (size_t i = 0; i < route->part_count; i++) {
        g_string_append_printf(text, "%s%s:%d", i > 0 ? " " : "",
                               route->parts[i].service,
                               route->parts[i].weight);
    }
    return g_string_free(text, FALSE);
}

static void
compare_number(review_t *review, const bb_mesh_route_t *route,
               const char *field, double before, double after)
{
    if (before != after) {
        print_line(review, "changed: route %s: %s %g -> %g", route->name,
                   field, before, after);
    }
}

static void
compare_flag(review_t *review, const bb_mesh_route_t *route, const char *field,
             bool before, bool after)
{
    if (before != after) {
        print_line(review, "changed: route %s: %s %s -> %s", route->name,
                   field, before ? "yes" : "no", after ? "yes" : "no");
    }
}

static void
compare_route(review_t *review, const bb_mesh_route_t *before,
              const bb_mesh_route_t *after)
{
    char *parts_before = describe_parts(before);
    char *parts_after = describe_parts(after);

    if (strcmp(parts_before, parts_after) != 0) {
        print_line(review, "changed: route %s: parts %s -> %s", after->name,
                   parts_before, parts_after);
    }
    g_free(parts_before);
    g_free(parts_after);
    compare_flag(review, after, "idempotent", before->is_idempotent,
                 after->is_idempotent);
    compare_flag(review, after, "public", before->is_public, after->is_public);
    compare_number(review, after, "timeout_s", before->timeout_s,
                   after->timeout_s);
    compare_number(review, after, "target_latency_s", before->target_latency_s,
                   after->target_latency_s);
    compare_number(review, after, "rank", before->rank, after->rank);
    compare_number(review, after, "max_targets", before->max_targets,
                   after->max_targets);
}

/* Lists the routes of one version that the other lacks. */
static void
list_missing_routes(review_t *review)
{
    for (size_t i = 0; i < BbMeshConfig_RouteCount(review->config); i++) {
        const bb_mesh_route_t *route = BbMeshConfig_RouteAt(review->config, i);
        if (BbMeshConfig_FindExact(review->other, route->host,
                                   route->prefix) == NULL) {
            print_line(review, "%s: route %s %s%s", review->kind, route->name,
                       route->host, route->prefix);
        }
    }
}

static void
list_missing_service(const char *name, int max_connections, void *arg)
{
    review_t *review = arg;
    (void)max_connections;

    if (!BbMeshConfig_HasService(review->other, name)) {
        print_line(review, "%s: service %s", review->kind, name);
    }
}

static void
list_missing_account(const bb_account_t *account, void *arg)
{
    review_t *review = arg;
    const bb_account_table_t *other = BbMeshConfig_Accounts(review->other);

    if (other == NULL ||
        BbAccountTable_FindByName(other, account->name) == NULL) {
        print_line(review, "%s: account %s", review->kind, account->name);
    }
}

static void
compare_service(const char *name, int max_connections, void *arg)
{
    review_t *review = arg;
    int before = BbMeshConfig_MaxConnections(review->other, name);

    if (BbMeshConfig_HasService(review->other, name) &&
        before != max_connections) {
        print_line(review, "changed: service %s: max_connections %d -> %d",
                   name, before, max_connections);
    }
}

static void
compare_account(const bb_account_t *after, void *arg)
{
    review_t *review = arg;
    const bb_account_table_t *other = BbMeshConfig_Accounts(review->other);
    const bb_account_t *before =
        other != NULL ? BbAccountTable_FindByName(other, after->name) : NULL;

    if (before == NULL) {
        return;
    }
    if (before->rate_per_s != after->rate_per_s ||
        before->burst != after->burst) {
        print_line(review, "changed: account %s: quota %g/s+%g -> %g/s+%g",
                   after->name, before->rate_per_s, before->burst,
                   after->rate_per_s, after->burst);
    }
    if (before->rank != after->rank) {
        print_line(review, "changed: account %s: rank %d -> %d", after->name,
                   before->rank, after->rank);
    }
}

static void
ignore_digest(uint64_t digest, void *arg)
{
    (void)digest;
    (void)arg;
}

static void
compare_keys(review_t *review)
{
    const bb_account_table_t *before = BbMeshConfig_Accounts(review->other);
    const bb_account_table_t *after = BbMeshConfig_Accounts(review->config);
    size_t added =
        BbAccountTable_ForEachMissingKey(after, before, ignore_digest, NULL);
    size_t removed =
        BbAccountTable_ForEachMissingKey(before, after, ignore_digest, NULL);

    if (added > 0 || removed > 0) {
        print_line(review, "changed: keys: %zu added, %zu removed", added,
                   removed);
    }
}

/* Lists what config has and other lacks. */
static void
list_missing(review_t *review, const char *kind,
             const bb_mesh_config_t *config, const bb_mesh_config_t *other)
{
    const bb_account_table_t *accounts = BbMeshConfig_Accounts(config);

    review->kind = kind;
    review->config = config;
    review->other = other;
    list_missing_routes(review);
    BbMeshConfig_ForEachService(config, list_missing_service, review);
    if (accounts != NULL) {
        BbAccountTable_ForEach(accounts, list_missing_account, review);
    }
}

size_t
BbConfigReview_Compare(const bb_mesh_config_t *in_force,
                       const bb_mesh_config_t *config, FILE *out)
{
    review_t review = {.out = out};
    const bb_account_table_t *accounts = BbMeshConfig_Accounts(config);

    if (BbMeshConfig_Version(config) <= BbMeshConfig_Version(in_force)) {
        print_line(&review,
                   "error: version %" PRId64 " is not above version %" PRId64
                   ", which is in force",
                   BbMeshConfig_Version(config),
                   BbMeshConfig_Version(in_force));
    }
    list_missing(&review, "removed", in_force, config);
    list_missing(&review, "added", config, in_force);
    for (size_t i = 0; i < BbMeshConfig_RouteCount(config); i++) {
        const bb_mesh_route_t *after = BbMeshConfig_RouteAt(config, i);
        const bb_mesh_route_t *before =
            BbMeshConfig_FindExact(in_force, after->host, after->prefix);
        if (before != NULL) {
            compare_route(&review, before, after);
        }
    }
    BbMeshConfig_ForEachService(config, compare_service, &review);
    if (accounts != NULL) {
        BbAccountTable_ForEach(accounts, compare_account, &review);
    }
    compare_keys(&review);
    return review.lines;
}
