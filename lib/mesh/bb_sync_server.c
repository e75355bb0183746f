#include "bb_sync_server.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Longest time that a query may wait, whatever its wait_ms. */
#define MAX_WAIT_S 10.0

typedef struct query {
    bb_sync_server_t *server;
    bb_h1_request_t *request;
    int64_t version;
    bb_position_t revision;
    int64_t rows;           /* revision of the shared rows */
    bool must_be_connected; /* answered at once without the store */
    ev_timer timer;
    struct query *prev, *next;
} query_t;

struct bb_sync_server {
    bb_sync_server_options_t options;
    query_t *waiting;
};

typedef struct {
    json_t *nodes;
    bb_position_t after;
    int64_t generation; /* of the response */
} node_collector_t;

static void
add_node(bb_endpoint_t *endpoint, void *arg)
{
    node_collector_t *collector = arg;

    if (endpoint->revision <= collector->after) {
        return;
    }
    json_t *entry =
        json_pack("{s:s, s:I}", "node", endpoint->node, "revision",
                  (json_int_t)BbPosition_Version(endpoint->revision));
    int64_t generation = BbPosition_Generation(endpoint->revision);
    if (generation != collector->generation) {
        json_object_set_new(entry, "generation", json_integer(generation));
    }
    if (!endpoint->is_removed || endpoint->is_stopped) {
        char *text = BbNodeRecord_Format(&endpoint->record);
        json_object_set_new(entry, "record", json_string(text));
        g_free(text);
    }
    json_array_append_new(collector->nodes, entry);
}

static void
add_config(bb_sync_server_t *server, int64_t known_version, json_t *root)
{
    bb_versions_t *versions = server->options.versions;
    int64_t base = 0;

    if (BbVersions_Newest(versions) <= known_version) {
        return;
    }
    const GByteArray *delta =
        BbVersions_EncodeDelta(versions, known_version, &base);
    if (delta == NULL) {
        return;
    }
    char *encoded = g_base64_encode(delta->data, delta->len);
    json_object_set_new(root, "base", json_integer(base));
    json_object_set_new(
        root, "size",
        json_integer((json_int_t)BbVersions_NewestSize(versions)));
    json_object_set_new(root, "delta", json_string(encoded));
    g_free(encoded);
}

static int64_t
rows_revision(const bb_sync_server_t *server)
{
    const bb_sync_rows_t *rows = server->options.rows;

    return rows != NULL ? rows->revision(rows->arg) : 0;
}

typedef struct {
    json_t *texts;
    size_t size;
} row_collector_t;

static void
add_row(const char *text, void *to)
{
    row_collector_t *collector = to;

    collector->size += strlen(text);
    if (collector->size <= BB_SYNC_ROWS_MAX_BYTES) {
        json_array_append_new(collector->texts, json_string(text));
    }
}

static void
add_rows(const bb_sync_server_t *server, int64_t known, json_t *root)
{
    const bb_sync_rows_t *rows = server->options.rows;
    row_collector_t collector = {0};

    if (rows_revision(server) > known) {
        collector.texts = json_array();
        rows->list(add_row, &collector, rows->arg);
        json_object_set_new(root, "rows", collector.texts);
    }
}

static void
respond(bb_sync_server_t *server, const query_t *query)
{
    const bb_sync_server_options_t *options = &server->options;
    bb_position_t own_revision = options->revision(options->arg);
    int64_t generation = BbPosition_Generation(own_revision);
    node_collector_t collector = {json_array(), query->revision, generation};
    json_t *root =
        json_pack("{s:I, s:f, s:b, s:I}", "version",
                  (json_int_t)BbVersions_Newest(options->versions), "age_s",
                  options->config_age_s(options->arg), "connected",
                  options->is_connected(options->arg), "revision",
                  (json_int_t)BbPosition_Version(own_revision));

    if (generation > 0) {
        json_object_set_new(root, "generation", json_integer(generation));
    }
    add_config(server, query->version, root);
    add_rows(server, query->rows, root);
    BbFleet_ForEach(options->fleet, add_node, &collector);
    json_object_set_new(root, "nodes", collector.nodes);
    char *text = json_dumps(root, JSON_COMPACT | JSON_REAL_PRECISION(4));
    json_decref(root);
    BbH1_Respond(query->request, 200, NULL, text, strlen(text));
    free(text);
}

static void
respond_to_query(query_t *query)
{
    bb_sync_server_t *server = query->server;

    ev_timer_stop(server->options.loop, &query->timer);
    DL_DELETE(server->waiting, query);
    respond(server, query);
    g_free(query);
}

static void
handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    respond_to_query(timer->data);
}

static int64_t
parse_query_number(const char *target, const char *name)
{
    const char *found = strstr(target, name);
    return found != NULL ? g_ascii_strtoll(found + strlen(name), NULL, 10) : 0;
}

/* The position that the querying node knows; without a generation it counts as
 * of that of this node. */
static bb_position_t
parse_revision(const bb_sync_server_t *server, const char *target)
{
    const bb_sync_server_options_t *options = &server->options;
    int64_t revision = parse_query_number(target, "revision=");
    int64_t generation = parse_query_number(target, "generation=");

    if (revision <= 0) {
        return 0;
    }
    if (generation <= 0) {
        generation = BbPosition_Generation(options->revision(options->arg));
    }
    return BbPosition_Make(generation, revision);
}

static void
report_newer_version(const bb_sync_server_t *server, const query_t *parsed)
{
    const bb_sync_server_options_t *options = &server->options;
    const char *from = strstr(parsed->request->target->str, "from=");

    if (from != NULL &&
        parsed->version > BbVersions_Newest(options->versions)) {
        options->on_newer_version(parsed->version, from + strlen("from="),
                                  options->arg);
    }
}

static bool
is_answer_due(const bb_sync_server_t *server, const query_t *query)
{
    const bb_sync_server_options_t *options = &server->options;

    return BbVersions_Newest(options->versions) > query->version ||
           options->revision(options->arg) > query->revision ||
           rows_revision(server) > query->rows ||
           (query->must_be_connected && options->is_store_lost(options->arg));
}

void
BbSyncServer_HandleQuery(bb_sync_server_t *server, bb_h1_request_t *request)
{
    const char *target = request->target->str;
    double wait_s = (double)parse_query_number(target, "wait_ms=") / 1000.0;
    query_t parsed = {
        .server = server,
        .request = request,
        .version = parse_query_number(target, "version="),
        .revision = parse_revision(server, target),
        .rows = parse_query_number(target, "rows="),
        .must_be_connected = parse_query_number(target, "connected=") != 0,
    };

    report_newer_version(server, &parsed);
    if (wait_s <= 0 || is_answer_due(server, &parsed)) {
        respond(server, &parsed);
        return;
    }
    query_t *query = g_memdup2(&parsed, sizeof(parsed));
    DL_APPEND(server->waiting, query);
    ev_timer_init(&query->timer, handle_timer, MIN(wait_s, MAX_WAIT_S), 0.0);
    query->timer.data = query;
    ev_timer_start(server->options.loop, &query->timer);
}

void
BbSyncServer_DropQuery(bb_sync_server_t *server, bb_h1_request_t *request)
{
    query_t *query, *next;

    DL_FOREACH_SAFE (server->waiting, query, next) {
        if (query->request == request) {
            ev_timer_stop(server->options.loop, &query->timer);
            DL_DELETE(server->waiting, query);
            g_free(query);
        }
    }
}

void
BbSyncServer_NotifyChange(bb_sync_server_t *server)
{
    query_t *query, *next;

    DL_FOREACH_SAFE (server->waiting, query, next) {
        if (is_answer_due(server, query)) {
            respond_to_query(query);
        }
    }
}

bb_sync_server_t *
BbSyncServer_New(const bb_sync_server_options_t *options)
{
    bb_sync_server_t *server = g_new0(bb_sync_server_t, 1);

    server->options = *options;
    return server;
}

void
BbSyncServer_Free(bb_sync_server_t *server)
{
    if (server == NULL) {
        return;
    }
    while (server->waiting != NULL) {
        respond_to_query(server->waiting);
    }
    g_free(server);
}
