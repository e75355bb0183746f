#include "bb_sync_client.h"
#include "bb_clock.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "bb_h1_fetch.h"
#include "bb_sync_server.h"

/* Longest time for which a reader holds a query before it answers. */
#define LONG_POLL_S 1.0

/* Added to LONG_POLL_S for the transfer of the response, which can be a delta
 * on a slow link. */
#define RESPONSE_MARGIN_S 0.8

/* Without a response from a reader that reaches the store for this long, the
 * readers are considered unavailable. */
#define READERS_TIMEOUT_S 1.5

/* The same limit for the first response after a change of the scope. */
#define FIRST_RESPONSE_TIMEOUT_S 0.8

/* A reader that failed gets no queries for this long. A node without a version
 * uses the shorter limit: after a power failure its readers start at the same
 * time as it does. */
#define PASS_OVER_S 2.0
#define PASS_OVER_START_S 0.2

/* Interval at which hints, random and open queries, and READERS_TIMEOUT_S are
 * checked. */
#define CHECK_S 0.1

/* Delay between a hint of a newer version and the query for it. A node without
 * a version does not wait. */
#define HINT_DELAY_S 0.4

/* Interval of the queries to random nodes while the store is unreachable. */
#define RANDOM_QUERY_INTERVAL_S 0.3

typedef struct {
    bb_sync_client_t *owner;
    char *address; /* NULL while no query is open */
    bb_h1_fetch_t *fetch;
    bool is_one_off; /* for a hint or to a random node; not kept open */
} query_t;

struct bb_sync_client {
    bb_sync_client_options_t options;
    char *data_centre;
    bb_sync_scope_t scope;
    bool are_readers_available;
    double connected_response_at; /* from any reader that reaches the store */
    double last_response_at;      /* from any reader; 0 before the first */
    query_t queries[BB_SYNC_SUBSCRIPTIONS + 1]; /* last: is_one_off */
    GHashTable *passed_over; /* address -> double, time until which to skip */
    ev_timer check_timer;
    int64_t hint_version;
    double hint_at;
    char *hint_address;
    char *address;
    bool is_store_unreachable;
    double last_random_query_at;
};

static double
current_time(const bb_sync_client_t *client)
{
    return BbClock_Now(client->options.loop);
}

static bool
has_no_version(const bb_sync_client_t *client)
{
    return BbVersions_Newest(client->options.versions) == 0;
}

/* ---- responses ---- */

/* Position in an object of a response; generation is that of one without. */
static bb_position_t
parse_revision(const json_t *object, int64_t generation)
{
    const json_t *named = json_object_get(object, "generation");

    return BbPosition_Make(
        json_is_integer(named) ? json_integer_value(named) : generation,
        json_integer_value(json_object_get(object, "revision")));
}

static void
apply_nodes(bb_sync_client_t *client, const json_t *root)
{
    const bb_sync_client_options_t *options = &client->options;
    int64_t known = BbPosition_Generation(options->revision(options->arg));
    bb_position_t revision = parse_revision(root, known);
    size_t index;
    json_t *entry;

    json_array_foreach (json_object_get(root, "nodes"), index, entry) {
        const char *node = json_string_value(json_object_get(entry, "node"));
        const char *record =
            json_string_value(json_object_get(entry, "record"));
        if (node != NULL) {
            options->on_node(
                node, record, record != NULL ? strlen(record) : 0,
                parse_revision(entry, BbPosition_Generation(revision)),
                options->arg);
        }
    }
    options->on_revision(revision, options->arg);
}

static void
apply_rows(bb_sync_client_t *client, const json_t *root)
{
    const bb_sync_client_options_t *options = &client->options;
    size_t index;
    json_t *row;

    if (options->on_row == NULL) {
        return;
    }
    json_array_foreach (json_object_get(root, "rows"), index, row) {
        if (json_is_string(row)) {
            options->on_row(json_string_value(row), json_string_length(row),
                            options->arg);
        }
    }
}

static void
apply_config(bb_sync_client_t *client, const json_t *root)
{
    const bb_sync_client_options_t *options = &client->options;
    const char *encoded = json_string_value(json_object_get(root, "delta"));
    json_int_t text_size = json_integer_value(json_object_get(root, "size"));
    gsize size;

    if (encoded == NULL || text_size <= 0) {
        return;
    }
    guchar *delta = g_base64_decode(encoded, &size);
    char *text = BbVersions_DecodeDelta(
        options->versions, json_integer_value(json_object_get(root, "base")),
        delta, size, (size_t)text_size);
    if (text != NULL) {
        options->on_config(text, (size_t)text_size, "node", options->arg);
    }
    g_free(text);
    g_free(delta);
}

static void
report_confirmed(bb_sync_client_t *client, const json_t *root)
{
    const bb_sync_client_options_t *options = &client->options;
    const json_t *age = json_object_get(root, "age_s");

    if (options->on_confirmed != NULL) {
        options->on_confirmed(
            json_integer_value(json_object_get(root, "version")),
            json_is_number(age) ? json_number_value(age)
                                : BB_FRESHNESS_UNKNOWN,
            options->arg);
    }
}

static void
set_readers_available(bb_sync_client_t *client, bool are_readers_available)
{
    if (client->are_readers_available != are_readers_available) {
        client->are_readers_available = are_readers_available;
        client->options.on_readers_available(are_readers_available,
                                             client->options.arg);
    }
}

static void
pass_over(bb_sync_client_t *client, const char *address)
{
    double *until = g_new(double, 1);
    double pass_over_s =
        has_no_version(client) ? PASS_OVER_START_S : PASS_OVER_S;

    *until = current_time(client) + pass_over_s;
    g_hash_table_replace(client->passed_over, g_strdup(address), until);
}

static void
close_query(query_t *query)
{
    query->fetch = NULL;
    g_clear_pointer(&query->address, g_free);
}

/* Whether a reader that does not reach the store is to say so at once. Without
 * such readers their queries are held, so that they tell when the store is
 * back. A node without a version waits for the readers, which may have just
 * started as well. */
static bool
expects_connected_readers(const bb_sync_client_t *client)
{
    return client->scope == BB_SYNC_READERS && client->are_readers_available &&
           !has_no_version(client);
}

static void start_missing_queries(bb_sync_client_t *client);

/* All readers were passed over, because they failed or reported that they do
 * not reach the store. */
static bool
has_no_open_query(const bb_sync_client_t *client)
{
    for (int i = 0; i < BB_SYNC_SUBSCRIPTIONS; i++) {
        if (client->queries[i].fetch != NULL) {
            return false;
        }
    }
    return true;
}

static void
handle_response(query_t *query, const bb_h1_fetch_result_t *fetched)
{
    bb_sync_client_t *client = query->owner;
    json_t *root = json_loadb(fetched->body, fetched->size, 0, NULL);
    bool is_connected = json_is_true(json_object_get(root, "connected"));

    if (!query->is_one_off && !is_connected) {
        pass_over(client, query->address);
    }
    close_query(query);
    if (root != NULL) {
        apply_nodes(client, root);
        apply_rows(client, root);
        apply_config(client, root);
        report_confirmed(client, root);
    }
    json_decref(root);
    if (!query->is_one_off) {
        client->last_response_at = current_time(client);
    }
    if (!query->is_one_off && is_connected) {
        client->connected_response_at = current_time(client);
        set_readers_available(client, client->scope == BB_SYNC_READERS);
    }
}

static void
handle_fetched(const bb_h1_fetch_result_t *fetched, void *arg)
{
    query_t *query = arg;
    bb_sync_client_t *client = query->owner;

    if (fetched->error == 0 && fetched->status == 200) {
        handle_response(query, fetched);
    }
    else {
        pass_over(client, query->address);
        close_query(query);
    }
    start_missing_queries(client);
    if (expects_connected_readers(client) && has_no_open_query(client)) {
        set_readers_available(client, false);
    }
}

/* ---- queries ---- */

static void
start_query(query_t *query, const char *address, double wait_s)
{
    bb_sync_client_t *client = query->owner;
    const bb_sync_client_options_t *options = &client->options;
    int64_t rows = options->rows_revision != NULL
                       ? options->rows_revision(options->arg)
                       : 0;
    bb_position_t revision = options->revision(options->arg);
    char target[280], known_rows[32] = "", generation[48] = "";

    if (rows > 0) {
        g_snprintf(known_rows, sizeof(known_rows), "&rows=%" PRId64, rows);
    }
    if (BbPosition_Generation(revision) > 0) {
        g_snprintf(generation, sizeof(generation), "&generation=%" PRId64,
                   BbPosition_Generation(revision));
    }
    g_snprintf(target, sizeof(target),
               BB_SYNC_PATH "?version=%" PRId64 "&revision=%" PRId64
                            "%s&wait_ms=%d&connected=%d%s&from=%s",
               BbVersions_Newest(options->versions),
               BbPosition_Version(revision), generation, (int)(wait_s * 1000),
               expects_connected_readers(client), known_rows, client->address);
    query->address = g_strdup(address);
    const bb_h1_fetch_options_t fetch = {
        .loop = options->loop,
        .client = options->client,
        .address = address,
        .method = "GET",
        .target = target,
        .max_idle_s = LONG_POLL_S,
        .timeout_s = wait_s + RESPONSE_MARGIN_S,
        .done = handle_fetched,
        .arg = query,
    };
    query->fetch = BbH1Fetch_Start(&fetch);
}

static bool
is_usable_reader(const bb_sync_client_t *client, const bb_endpoint_t *endpoint)
{
    const char *address = endpoint->record.address;
    const double *until = g_hash_table_lookup(client->passed_over, address);

    if (client->scope == BB_SYNC_REMOTE &&
        strcmp(endpoint->record.data_centre, client->data_centre) == 0) {
        return false;
    }
    if (until != NULL && *until > current_time(client)) {
        return false;
    }
    for (int i = 0; i < BB_SYNC_SUBSCRIPTIONS; i++) {
        if (g_strcmp0(client->queries[i].address, address) == 0) {
            return false;
        }
    }
    return true;
}

static int
count_local_readers(const bb_sync_client_t *client, const GPtrArray *readers)
{
    int count = 0;

    for (guint i = 0; i < readers->len; i++) {
        const bb_endpoint_t *endpoint = g_ptr_array_index(readers, i);
        count +=
            strcmp(endpoint->record.data_centre, client->data_centre) == 0;
    }
    return count;
}

/* Spreads the nodes of a data centre over its readers: each node starts at an
 * index that is a hash of its own address. */
static const char *
choose_reader(const bb_sync_client_t *client, const GPtrArray *readers)
{
    guint local_count = (guint)count_local_readers(client, readers);
    guint first =
        local_count > 0 ? g_str_hash(client->address) % local_count : 0;

    for (guint i = 0; i < readers->len; i++) {
        guint index = i < local_count ? (first + i) % local_count : i;
        const bb_endpoint_t *endpoint = g_ptr_array_index(readers, index);
        if (is_usable_reader(client, endpoint)) {
            return endpoint->record.address;
        }
    }
    return NULL;
}

static int
subscription_count(const bb_sync_client_t *client)
{
    switch (client->scope) {
    case BB_SYNC_NONE:
        return 0;
    case BB_SYNC_REMOTE:
        return 1;
    case BB_SYNC_READERS:
        return has_no_version(client) ? 1 : BB_SYNC_SUBSCRIPTIONS;
    }
    return 0;
}

static void
start_missing_queries(bb_sync_client_t *client)
{
    int count = subscription_count(client);

    if (count == 0) {
        return;
    }
    const GPtrArray *readers =
        BbReaders_ListOthers(client->options.readers, client->data_centre);
    for (int i = 0; i < count; i++) {
        query_t *query = &client->queries[i];
        if (query->fetch != NULL) {
            continue;
        }
        const char *address = choose_reader(client, readers);
        if (address != NULL) {
            start_query(query, address, LONG_POLL_S);
        }
    }
}

static void
check_hint(bb_sync_client_t *client)
{
    query_t *query = &client->queries[BB_SYNC_SUBSCRIPTIONS];

    if (client->hint_version <= BbVersions_Newest(client->options.versions)) {
        client->hint_version = 0;
    }
    else if (current_time(client) - client->hint_at >= HINT_DELAY_S &&
             query->fetch == NULL) {
        client->hint_version = 0;
        start_query(query, client->hint_address, 0.0);
    }
}

static void
collect_address(bb_endpoint_t *endpoint, void *arg)
{
    if (!endpoint->is_local && endpoint->record.address != NULL) {
        g_ptr_array_add(arg, endpoint->record.address);
    }
}

static void
query_random_node(bb_sync_client_t *client)
{
    query_t *query = &client->queries[BB_SYNC_SUBSCRIPTIONS];
    GPtrArray *addresses = g_ptr_array_new();

    BbFleet_ForEach(client->options.fleet, collect_address, addresses);
    if (addresses->len > 0 && query->fetch == NULL) {
        int32_t index =
            BbRandom_Below(client->options.random, (int32_t)addresses->len);
        start_query(query, g_ptr_array_index(addresses, index), 0.0);
    }
    g_ptr_array_unref(addresses);
}

static void
handle_check(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    bb_sync_client_t *client = timer->data;

    if (client->hint_version > 0) {
        check_hint(client);
    }
    if (client->is_store_unreachable &&
        current_time(client) - client->last_random_query_at >=
            RANDOM_QUERY_INTERVAL_S) {
        client->last_random_query_at = current_time(client);
        query_random_node(client);
    }
    start_missing_queries(client);
    if (client->scope == BB_SYNC_READERS && client->are_readers_available &&
        current_time(client) - client->connected_response_at >
            READERS_TIMEOUT_S) {
        set_readers_available(client, false);
    }
}

void
BbSyncClient_HintVersion(bb_sync_client_t *client, int64_t version,
                         const char *address)
{
    if (client->hint_version > 0 ||
        version <= BbVersions_Newest(client->options.versions)) {
        return;
    }
    client->hint_version = version;
    client->hint_at = has_no_version(client) ? 0 : current_time(client);
    g_free(client->hint_address);
    client->hint_address = g_strdup(address);
}

void
BbSyncClient_SetStoreUnreachable(bb_sync_client_t *client, bool is_unreachable)
{
    client->is_store_unreachable = is_unreachable;
}

bool
BbSyncClient_HasRecentResponses(const bb_sync_client_t *client)
{
    return client->last_response_at > 0 &&
           current_time(client) - client->last_response_at <=
               READERS_TIMEOUT_S;
}

static void
cancel_query(query_t *query)
{
    if (query->fetch != NULL) {
        BbH1Fetch_Cancel(query->fetch);
        close_query(query);
    }
}

void
BbSyncClient_SetScope(bb_sync_client_t *client, bb_sync_scope_t scope)
{
    if (client->scope == scope) {
        return;
    }
    client->scope = scope;
    client->are_readers_available = scope == BB_SYNC_READERS;
    client->connected_response_at =
        current_time(client) - READERS_TIMEOUT_S + FIRST_RESPONSE_TIMEOUT_S;
    for (int i = 0; i < BB_SYNC_SUBSCRIPTIONS; i++) {
        cancel_query(&client->queries[i]);
    }
    start_missing_queries(client);
}

/* ---- creation and destruction ---- */

bb_sync_client_t *
BbSyncClient_New(const bb_sync_client_options_t *options)
{
    bb_sync_client_t *client = g_new0(bb_sync_client_t, 1);

    client->options = *options;
    client->data_centre = g_strdup(options->data_centre);
    client->address = g_strdup(options->address);
    client->passed_over =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (int i = 0; i <= BB_SYNC_SUBSCRIPTIONS; i++) {
        query_t *query = &client->queries[i];
        query->owner = client;
        query->is_one_off = i == BB_SYNC_SUBSCRIPTIONS;
    }
    ev_timer_init(&client->check_timer, handle_check, CHECK_S, CHECK_S);
    client->check_timer.data = client;
    ev_timer_start(options->loop, &client->check_timer);
    return client;
}

void
BbSyncClient_Free(bb_sync_client_t *client)
{
    if (client == NULL) {
        return;
    }
    ev_timer_stop(client->options.loop, &client->check_timer);
    for (int i = 0; i <= BB_SYNC_SUBSCRIPTIONS; i++) {
        cancel_query(&client->queries[i]);
    }
    g_hash_table_destroy(client->passed_over);
    g_free(client->hint_address);
    g_free(client->data_centre);
    g_free(client->address);
    g_free(client);
}
