#include "bb_config.h"

#include <assert.h>
#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "bb_config_check.h"
#include "bb_error.h"

#define DIGEST_BYTES 32
#define CANONICAL_FLAGS (JSON_COMPACT | JSON_SORT_KEYS)

/* Routes of one host, indexed by path prefix. */
typedef struct {
    GHashTable *by_prefix;    /* prefix -> GPtrArray of bb_route_t */
    size_t max_prefix_length; /* bytes */
} host_index_t;

struct bb_config {
    int ref_count;
    json_t *document;
    char *text;
    size_t size;
    char digest[BB_DIGEST_HEX_LENGTH + 1];
    bb_service_t *services;
    size_t service_count;
    bb_pool_t *pools;
    size_t pool_count;
    GHashTable *pools_by_name;
    bb_route_t *routes;
    size_t route_count;
    GHashTable *hosts; /* host -> host_index_t */
};

/* ---- construction ---- */

void
BbConfig_ComputeDigest(const char *text, size_t size, char *out)
{
    unsigned char digest[DIGEST_BYTES];

    crypto_generichash(digest, sizeof(digest), (const unsigned char *)text,
                       size, NULL, 0);
    sodium_bin2hex(out, BB_DIGEST_HEX_LENGTH + 1, digest, sizeof(digest));
}

static int
compare_names(const void *a, const void *b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Returns the keys in byte order, so that the indexes of routes, pools and
 * services do not depend on the order of the hash table. Free the array with
 * g_free(). */
static const char **
sorted_keys(json_t *object)
{
    const char **keys = g_new0(const char *, json_object_size(object) + 1);
    size_t count = 0;
    const char *key;
    json_t *value;

    json_object_foreach (object, key, value) {
        (void)value;
        keys[count++] = key;
    }
    qsort(keys, count, sizeof(*keys), compare_names);
    return keys;
}

static const char *
row_string(json_t *row, const char *column)
{
    return json_string_value(json_object_get(row, column));
}

static int
row_integer(json_t *row, const char *column)
{
    return (int)json_integer_value(json_object_get(row, column));
}

static const bb_service_t *
intern_service(bb_config_t *config, GHashTable *services_by_name,
               const char *name)
{
    bb_service_t *service = g_hash_table_lookup(services_by_name, name);

    if (service == NULL) {
        service = &config->services[config->service_count];
        service->name = g_strdup(name);
        service->index = (int)config->service_count++;
        g_hash_table_insert(services_by_name, service->name, service);
    }
    return service;
}

static bb_once_mode_t
parse_once(const char *text)
{
    if (strcmp(text, "claim") == 0) {
        return BB_ONCE_MODE_CLAIM;
    }
    return strcmp(text, "window") == 0 ? BB_ONCE_MODE_WINDOW
                                       : BB_ONCE_MODE_NONE;
}

static void
build_pool(bb_config_t *config, GHashTable *services_by_name, const char *name,
           json_t *row)
{
    bb_pool_t *pool = &config->pools[config->pool_count++];

    pool->name = g_strdup(name);
    pool->service =
        intern_service(config, services_by_name, row_string(row, "service"));
    pool->slots = row_integer(row, "slots");
    pool->connections = row_integer(row, "connections");
    pool->queue = row_integer(row, "queue");
    pool->retry_max = row_integer(row, "retry_max");
    pool->once = parse_once(row_string(row, "once"));
    pool->spill = json_is_true(json_object_get(row, "spill"));
    g_hash_table_insert(config->pools_by_name, pool->name, pool);
}

static void
build_pools(bb_config_t *config)
{
    json_t *rows = json_object_get(config->document, "pools");
    size_t count = json_object_size(rows);
    const char **names = sorted_keys(rows);
    GHashTable *services_by_name = g_hash_table_new(g_str_hash, g_str_equal);

    config->pools = g_new0(bb_pool_t, count + 1);
    config->services = g_new0(bb_service_t, count + 1);
    for (size_t i = 0; i < count; i++) {
        build_pool(config, services_by_name, names[i],
                   json_object_get(rows, names[i]));
    }
    g_hash_table_destroy(services_by_name);
    g_free(names);
}

static void
index_route(bb_config_t *config, const bb_route_t *route)
{
    host_index_t *index = g_hash_table_lookup(config->hosts, route->host);
    if (index == NULL) {
        index = g_new0(host_index_t, 1);
        index->by_prefix = g_hash_table_new_full(
            g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
        g_hash_table_insert(config->hosts, route->host, index);
    }
    GPtrArray *routes =
        g_hash_table_lookup(index->by_prefix, route->path_prefix);
    if (routes == NULL) {
        routes = g_ptr_array_new();
        g_hash_table_insert(index->by_prefix, route->path_prefix, routes);
    }
    g_ptr_array_add(routes, (gpointer)route);
    index->max_prefix_length =
        MAX(index->max_prefix_length, strlen(route->path_prefix));
}

static unsigned int
parse_methods(json_t *methods)
{
    unsigned int bits = 0;
    size_t index;
    json_t *item;

    json_array_foreach (methods, index, item) {
        bits |= BbConfig_MethodBit(json_string_value(item));
    }
    return bits != 0 ? bits : BB_METHOD_ALL;
}

static void
build_route(bb_config_t *config, const char *name, json_t *row)
{
    bb_route_t *route = &config->routes[config->route_count++];
    json_t *idempotent = json_object_get(row, "idempotent");

    route->name = g_strdup(name);
    route->host = g_strdup(row_string(row, "host"));
    route->path_prefix = g_strdup(row_string(row, "path_prefix"));
    route->methods = parse_methods(json_object_get(row, "methods"));
    route->timeout_ms = row_integer(row, "timeout_ms");
    route->pool = BbConfig_FindPool(config, row_string(row, "pool"));
    route->idempotent = BB_IDEMPOTENT_BY_METHOD;
    if (idempotent != NULL) {
        route->idempotent =
            json_is_true(idempotent) ? BB_IDEMPOTENT_YES : BB_IDEMPOTENT_NO;
    }
    index_route(config, route);
}

static void
build_routes(bb_config_t *config)
{
    json_t *rows = json_object_get(config->document, "routes");
    size_t count = json_object_size(rows);
    const char **names = sorted_keys(rows);

    config->routes = g_new0(bb_route_t, count + 1);
    for (size_t i = 0; i < count; i++) {
        build_route(config, names[i], json_object_get(rows, names[i]));
    }
    g_free(names);
}

static void
free_host_index(gpointer data)
{
    host_index_t *index = data;
    g_hash_table_destroy(index->by_prefix);
    g_free(index);
}

/* Takes ownership of document and text. */
static bb_config_t *
build_config(json_t *document, char *text)
{
    bb_config_t *config = g_new0(bb_config_t, 1);

    config->ref_count = 1;
    config->document = document;
    config->text = text;
    config->size = strlen(text);
    BbConfig_ComputeDigest(text, config->size, config->digest);
    config->pools_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    config->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_host_index);
    build_pools(config);
    build_routes(config);
    BbConfig_AssertReferences(config);
    return config;
}

static int
parse_document(json_t *document, const bb_config_source_t *source,
               bb_findings_t *findings, bb_config_t **out)
{
    json_t *checked;

    *out = NULL;
    int error = BbConfigCheck_Document(document, source, findings, &checked);
    if (error != 0) {
        return error;
    }
    char *text = json_dumps(checked, CANONICAL_FLAGS);
    if (strlen(text) > BB_MAX_DOCUMENT_BYTES) {
        BbFindings_Add(findings, "document", NULL, NULL, 0,
                       "%zu bytes, at most %d are allowed", strlen(text),
                       BB_MAX_DOCUMENT_BYTES);
        free(text);
        json_decref(checked);
        return BB_ERR_LIMIT;
    }
    *out = build_config(checked, text);
    return 0;
}

static int
parse_json(json_t *document, const bb_config_source_t *source,
           bb_findings_t *findings, bb_config_t **out)
{
    *out = NULL;
    if (!json_is_object(document)) {
        BbFindings_Add(findings, "document", NULL, NULL, 0,
                       "must be a JSON object with pools and routes");
        return BB_ERR_INVALID;
    }
    return parse_document(document, source, findings, out);
}

int
BbConfig_Parse(json_t *document, bb_findings_t *findings, bb_config_t **out)
{
    bb_config_source_t source = {0};

    return parse_json(document, &source, findings, out);
}

int
BbConfig_ParseIncremental(const bb_config_t *base, json_t *document,
                          bb_findings_t *findings, bb_config_t **out)
{
    bb_config_source_t source = {.base = base->document};

    return parse_json(document, &source, findings, out);
}

int
BbConfig_ParseText(const char *text, size_t size, bb_findings_t *findings,
                   bb_config_t **out)
{
    json_error_t json_error;

    *out = NULL;
    if (size > BB_MAX_DOCUMENT_BYTES) {
        BbFindings_Add(findings, "document", NULL, NULL, 0,
                       "%zu bytes, at most %d are allowed", size,
                       BB_MAX_DOCUMENT_BYTES);
        return BB_ERR_LIMIT;
    }
    json_t *document =
        json_loadb(text, size, JSON_REJECT_DUPLICATES, &json_error);
    if (document == NULL) {
        BbFindings_Add(findings, "document", NULL, NULL, json_error.line, "%s",
                       json_error.text);
        return BB_ERR_PARSE;
    }
    int error = BbConfig_Parse(document, findings, out);
    json_decref(document);
    return error;
}

/* ---- TOML ---- */

/* Makes a document from the TOML tables [route] and [pool], which become its
 * tables routes and pools. */
static json_t *
make_toml_document(const bb_toml_t *toml, const char *path,
                   bb_findings_t *findings)
{
    json_t *document = json_object();
    const char *key;
    json_t *value;

    json_object_foreach (BbToml_Root(toml), key, value) {
        if (strcmp(key, "route") == 0) {
            json_object_set(document, "routes", value);
        }
        else if (strcmp(key, "pool") == 0) {
            json_object_set(document, "pools", value);
        }
        else {
            BbFindings_Add(findings, path, key, NULL, BbToml_Line(toml, key),
                           "no such table; expected [route.NAME] or "
                           "[pool.NAME]");
        }
    }
    return document;
}

int
BbConfig_LoadToml(const char *path, bb_findings_t *findings, bb_config_t **out)
{
    *out = NULL;
    bb_toml_t *toml = BbToml_Load(path, findings);
    if (toml == NULL) {
        return BB_ERR_PARSE;
    }
    size_t findings_before = findings->count + findings->omitted;
    bb_config_source_t source = {.path = path, .toml = toml};
    json_t *document = make_toml_document(toml, path, findings);
    int error = parse_document(document, &source, findings, out);
    if (error == 0 && findings->count + findings->omitted != findings_before) {
        BbConfig_Unref(*out);
        *out = NULL;
        error = BB_ERR_INVALID;
    }
    json_decref(document);
    BbToml_Free(toml);
    return error;
}

/* ---- reference count; references between rows ---- */

bb_config_t *
BbConfig_Ref(bb_config_t *config)
{
    config->ref_count++;
    return config;
}

static void
free_config(bb_config_t *config)
{
    g_hash_table_destroy(config->hosts);
    g_hash_table_destroy(config->pools_by_name);
    for (size_t i = 0; i < config->route_count; i++) {
        g_free(config->routes[i].name);
        g_free(config->routes[i].host);
        g_free(config->routes[i].path_prefix);
    }
    for (size_t i = 0; i < config->pool_count; i++) {
        g_free(config->pools[i].name);
    }
    for (size_t i = 0; i < config->service_count; i++) {
        g_free(config->services[i].name);
    }
    g_free(config->routes);
    g_free(config->pools);
    g_free(config->services);
    json_decref(config->document);
    free(config->text);
    g_free(config);
}

void
BbConfig_Unref(bb_config_t *config)
{
    if (config == NULL) {
        return;
    }
    assert(config->ref_count > 0);
    if (--config->ref_count == 0) {
        free_config(config);
    }
}

void
BbConfig_AssertReferences(const bb_config_t *config)
{
    for (size_t i = 0; i < config->route_count; i++) {
        const bb_pool_t *pool = config->routes[i].pool;
        if (pool < config->pools ||
            pool >= config->pools + config->pool_count) {
            abort();
        }
    }
    for (size_t i = 0; i < config->pool_count; i++) {
        const bb_service_t *service = config->pools[i].service;
        if (service < config->services ||
            service >= config->services + config->service_count) {
            abort();
        }
    }
}

/* ---- accessors ---- */

const char *
BbConfig_CanonicalText(const bb_config_t *config, size_t *size)
{
    if (size != NULL) {
        *size = config->size;
    }
    return config->text;
}

const char *
BbConfig_Digest(const bb_config_t *config)
{
    return config->digest;
}

json_t *
BbConfig_Document(const bb_config_t *config)
{
    return config->document;
}

size_t
BbConfig_RouteCount(const bb_config_t *config)
{
    return config->route_count;
}

const bb_route_t *
BbConfig_Route(const bb_config_t *config, size_t index)
{
    assert(index < config->route_count);
    return &config->routes[index];
}

size_t
BbConfig_PoolCount(const bb_config_t *config)
{
    return config->pool_count;
}

const bb_pool_t *
BbConfig_Pool(const bb_config_t *config, size_t index)
{
    assert(index < config->pool_count);
    return &config->pools[index];
}

size_t
BbConfig_ServiceCount(const bb_config_t *config)
{
    return config->service_count;
}

const bb_service_t *
BbConfig_Service(const bb_config_t *config, size_t index)
{
    assert(index < config->service_count);
    return &config->services[index];
}

const bb_pool_t *
BbConfig_FindPool(const bb_config_t *config, const char *name)
{
    return g_hash_table_lookup(config->pools_by_name, name);
}

/* ---- lookup ---- */

unsigned int
BbConfig_MethodBit(const char *method)
{
    static const struct {
        const char *name;
        unsigned int bit;
    } bits[] = {
        {"GET", BB_METHOD_GET},         {"HEAD", BB_METHOD_HEAD},
        {"POST", BB_METHOD_POST},       {"PUT", BB_METHOD_PUT},
        {"DELETE", BB_METHOD_DELETE},   {"PATCH", BB_METHOD_PATCH},
        {"OPTIONS", BB_METHOD_OPTIONS},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(bits); i++) {
        if (strcmp(bits[i].name, method) == 0) {
            return bits[i].bit;
        }
    }
    return 0;
}

static const bb_route_t *
find_at_prefix(const host_index_t *index, const char *prefix, unsigned int bit)
{
    GPtrArray *routes = g_hash_table_lookup(index->by_prefix, prefix);

    for (guint i = 0; routes != NULL && i < routes->len; i++) {
        const bb_route_t *route = g_ptr_array_index(routes, i);
        if ((route->methods & bit) != 0) {
            return route;
        }
    }
    return NULL;
}

/* Tries each prefix that ends at a segment boundary, longest first. */
static const bb_route_t *
find_in_host(const host_index_t *index, const char *path, unsigned int bit)
{
    char prefix[BB_MAX_PATH_PREFIX_LENGTH + 1];
    size_t length = strcspn(path, "?#");
    bool has_partial_segment = length > index->max_prefix_length;

    if (has_partial_segment) {
        /* Truncate the path to the length of the longest prefix. A '/' as the
         * next byte means that its last segment is whole. */
        has_partial_segment = path[index->max_prefix_length] != '/';
        length = index->max_prefix_length;
    }
    memcpy(prefix, path, length);
    prefix[length] = '\0';
    if (has_partial_segment) {
        char *slash = strrchr(prefix, '/');
        if (slash == NULL) {
            return NULL;
        }
        *slash = '\0';
    }
    while (prefix[0] != '\0') {
        const bb_route_t *route = find_at_prefix(index, prefix, bit);
        char *slash = strrchr(prefix, '/');
        if (route != NULL || slash == NULL) {
            return route;
        }
        *slash = '\0';
    }
    return path[0] == '/' ? find_at_prefix(index, "/", bit) : NULL;
}

/* Copies the host in lower case and without its port. Returns false when it
 * is empty or too long. */
static bool
copy_host(char *out, const char *host)
{
    size_t length = strcspn(host, ":");

    if (length == 0 || length > BB_MAX_HOST_LENGTH) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        out[i] = g_ascii_tolower(host[i]);
    }
    out[length] = '\0';
    return true;
}

const bb_route_t *
BbConfig_FindRoute(const bb_config_t *config, const char *host,
                   const char *path, const char *method)
{
    char name[BB_MAX_HOST_LENGTH + 1];
    unsigned int bit = BbConfig_MethodBit(method);
    const bb_route_t *route = NULL;

    if (host != NULL && copy_host(name, host)) {
        const host_index_t *exact = g_hash_table_lookup(config->hosts, name);
        route = exact != NULL ? find_in_host(exact, path, bit) : NULL;
    }
    if (route == NULL) {
        const host_index_t *any = g_hash_table_lookup(config->hosts, "*");
        route = any != NULL ? find_in_host(any, path, bit) : NULL;
    }
    return route;
}

bool
BbRoute_IsIdempotent(const bb_route_t *route, const char *method)
{
    const unsigned int idempotent_methods = BB_METHOD_GET | BB_METHOD_HEAD |
                                            BB_METHOD_OPTIONS | BB_METHOD_PUT |
                                            BB_METHOD_DELETE;

    if (route->idempotent != BB_IDEMPOTENT_BY_METHOD) {
        return route->idempotent == BB_IDEMPOTENT_YES;
    }
    return (BbConfig_MethodBit(method) & idempotent_methods) != 0;
}
