#include "bb_fleet.h"

#include <jansson.h>
#include <string.h>

#include "bb_error.h"

struct bb_fleet {
    char *own_node;
    GHashTable *nodes;    /* name to bb_endpoint_t */
    GHashTable *services; /* name to GPtrArray of bb_endpoint_t */
    uint64_t generation;
    size_t count;           /* nodes that are not removed */
    bb_position_t position; /* up to which all rows have been merged */
    double restored_at;     /* the first position of its store generation */
    bool has_lost; /* there may be records of an earlier store generation */
};

/* ---- records ---- */

char *
BbNodeRecord_Format(const bb_node_record_t *record)
{
    json_t *object = json_pack(
        "{s:s, s:s, s:s, s:s, s:i, s:b, s:i}", "address", record->address,
        "data_centre", record->data_centre, "service", record->service,
        "target", record->target_id, "slots", record->slots, "ready",
        record->is_ready, "link_mbps", record->link_mbps);
    if (record->target_born_ms != 0) {
        json_object_set_new(object, "born_ms",
                            json_integer(record->target_born_ms));
    }
    if (record->is_target_departed) {
        json_object_set_new(object, "left", json_true());
    }
    if (record->is_target_departed &&
        record->departed_born_ms != record->target_born_ms) {
        json_object_set_new(object, "left_born_ms",
                            json_integer(record->departed_born_ms));
    }
    if (record->target_version != NULL) {
        json_object_set_new(object, "target_version",
                            json_string(record->target_version));
    }
    if (record->is_stopped) {
        json_object_set_new(object, "stopped", json_true());
    }
    char *text = json_dumps(object, JSON_COMPACT);
    char *copy = g_strdup(text);

    json_decref(object);
    free(text);
    return copy;
}

static void
parse_departed_born(const json_t *object, bb_node_record_t *out)
{
    const json_t *born = json_object_get(object, "left_born_ms");

    if (out->is_target_departed) {
        out->departed_born_ms = json_is_integer(born)
                                    ? json_integer_value(born)
                                    : out->target_born_ms;
    }
}

int
BbNodeRecord_Parse(const char *text, size_t size, bb_node_record_t *out)
{
    json_t *object = json_loadb(text, size, 0, NULL);
    const char *address, *data_centre, *service, *target;
    int slots, is_ready, link_mbps = 0;

    memset(out, 0, sizeof(*out));
    int error = json_unpack(
        object, "{s:s, s:s, s:s, s:s, s:i, s:b, s?i}", "address", &address,
        "data_centre", &data_centre, "service", &service, "target", &target,
        "slots", &slots, "ready", &is_ready, "link_mbps", &link_mbps);
    if (object != NULL && error == 0) {
        out->address = g_strdup(address);
        out->data_centre = g_strdup(data_centre);
        out->service = g_strdup(service);
        out->target_id = g_strdup(target);
        out->slots = slots;
        out->is_ready = is_ready;
        out->link_mbps = link_mbps;
        out->is_target_departed =
            json_is_true(json_object_get(object, "left"));
        out->target_born_ms =
            json_integer_value(json_object_get(object, "born_ms"));
        parse_departed_born(object, out);
        out->is_stopped = json_is_true(json_object_get(object, "stopped"));
        out->target_version = g_strdup(
            json_string_value(json_object_get(object, "target_version")));
    }
    json_decref(object);
    return error == 0 ? 0 : BB_ERR_PARSE;
}

void
BbNodeRecord_Clear(bb_node_record_t *record)
{
    g_free(record->address);
    g_free(record->data_centre);
    g_free(record->service);
    g_free(record->target_id);
    g_free(record->target_version);
    memset(record, 0, sizeof(*record));
}

static void
copy_record(bb_node_record_t *to, const bb_node_record_t *from)
{
    *to = *from;
    to->address = g_strdup(from->address);
    to->data_centre = g_strdup(from->data_centre);
    to->service = g_strdup(from->service);
    to->target_id = g_strdup(from->target_id);
    to->target_version = g_strdup(from->target_version);
}

/* ---- endpoints ---- */

bb_endpoint_t *
BbEndpoint_Ref(bb_endpoint_t *endpoint)
{
    endpoint->references++;
    return endpoint;
}

void
BbEndpoint_Unref(bb_endpoint_t *endpoint)
{
    if (endpoint == NULL || --endpoint->references > 0) {
        return;
    }
    BbNodeRecord_Clear(&endpoint->record);
    g_clear_pointer(&endpoint->full_until, g_hash_table_destroy);
    g_free(endpoint->node);
    g_free(endpoint);
}

static void
unref_endpoint(gpointer endpoint)
{
    BbEndpoint_Unref(endpoint);
}

static void
unref_list(gpointer list)
{
    g_ptr_array_unref(list);
}

static void
remove_from_service(bb_fleet_t *fleet, bb_endpoint_t *endpoint)
{
    fleet->generation++;
    fleet->count--;
    if (endpoint->record.service == NULL) {
        return;
    }
    GPtrArray *list =
        g_hash_table_lookup(fleet->services, endpoint->record.service);
    if (list != NULL) {
        g_ptr_array_remove_fast(list, endpoint);
    }
}

static void
add_to_service(bb_fleet_t *fleet, bb_endpoint_t *endpoint)
{
    const char *service = endpoint->record.service;
    GPtrArray *list = g_hash_table_lookup(fleet->services, service);

    fleet->generation++;
    fleet->count++;
    if (list == NULL) {
        list = g_ptr_array_new();
        g_hash_table_insert(fleet->services, g_strdup(service), list);
    }
    g_ptr_array_add(list, endpoint);
}

/* Resets what was observed of the previous target. The record may be left from
 * a VM that was lost, so the node is unverified until the first contact. */
static void
reset_observations(bb_endpoint_t *endpoint, double now)
{
    endpoint->load_at = 0;
    endpoint->known_since = now;
    endpoint->fail_rate = 0;
    endpoint->avoid_until = 0;
    endpoint->is_unverified = !endpoint->is_local;
    endpoint->is_unreachable = false;
    endpoint->unverified_since = now;
    endpoint->probe_at = now;
    endpoint->probe_backoff_s = 0;
    endpoint->probe_failures = 0;
    g_clear_pointer(&endpoint->full_until, g_hash_table_destroy);
}

/* Number from 0 to 1 that depends on both nodes and the target. */
static double
draw_start(const bb_fleet_t *fleet, const bb_endpoint_t *endpoint,
           const bb_node_record_t *record)
{
    const uint64_t mixer = UINT64_C(0x9e3779b97f4a7c15);
    uint64_t hash = g_str_hash(fleet->own_node);

    hash = (hash ^ g_str_hash(endpoint->node)) * mixer;
    hash = (hash ^ (hash >> 32) ^ g_str_hash(record->target_id)) * mixer;
    return (double)(hash >> 32) / (double)(UINT64_C(1) << 32);
}

/* Leaves the endpoint without an entry in the lists of services. */
static void
replace_record(bb_fleet_t *fleet, bb_endpoint_t *endpoint,
               const bb_node_record_t *record)
{
    if (!endpoint->is_removed) {
        remove_from_service(fleet, endpoint);
    }
    BbNodeRecord_Clear(&endpoint->record);
    copy_record(&endpoint->record, record);
}

static void
set_record(bb_fleet_t *fleet, bb_endpoint_t *endpoint,
           const bb_node_record_t *record, double now)
{
    bool is_new = endpoint->is_removed || endpoint->record.target_id == NULL ||
                  strcmp(endpoint->record.target_id, record->target_id) != 0;

    if (is_new) {
        reset_observations(endpoint, now);
        endpoint->start_draw = draw_start(fleet, endpoint, record);
    }
    replace_record(fleet, endpoint, record);
    endpoint->is_removed = false;
    endpoint->is_stopped = false;
    add_to_service(fleet, endpoint);
}

/* Keeps the record of a stopped node for bb_sync_server and bb_reaper. */
static void
set_stopped(bb_fleet_t *fleet, bb_endpoint_t *endpoint,
            const bb_node_record_t *record, double now)
{
    replace_record(fleet, endpoint, record);
    endpoint->is_removed = true;
    endpoint->is_stopped = true;
    endpoint->stopped_at = now;
}

static void
remove_endpoint(bb_fleet_t *fleet, bb_endpoint_t *endpoint)
{
    if (!endpoint->is_removed) {
        remove_from_service(fleet, endpoint);
    }
    endpoint->is_removed = true;
    endpoint->is_stopped = false;
}

static bb_endpoint_t *
add_endpoint(bb_fleet_t *fleet, const char *node)
{
    bb_endpoint_t *endpoint = g_new0(bb_endpoint_t, 1);

    endpoint->references = 1;
    endpoint->node = g_strdup(node);
    endpoint->is_removed = true;
    endpoint->is_local = strcmp(node, fleet->own_node) == 0;
    g_hash_table_insert(fleet->nodes, endpoint->node, endpoint);
    return endpoint;
}

/* ---- fleet ---- */

bb_fleet_t *
BbFleet_New(const char *own_node)
{
    bb_fleet_t *fleet = g_new0(bb_fleet_t, 1);

    fleet->own_node = g_strdup(own_node);
    fleet->generation = 1;
    fleet->nodes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unref_endpoint);
    fleet->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unref_list);
    return fleet;
}

void
BbFleet_Free(bb_fleet_t *fleet)
{
    if (fleet != NULL) {
        g_hash_table_destroy(fleet->services);
        g_hash_table_destroy(fleet->nodes);
        g_free(fleet->own_node);
        g_free(fleet);
    }
}

bool
BbFleet_Merge(bb_fleet_t *fleet, const char *node,
              const bb_node_record_t *record, bb_position_t revision,
              double now)
{
    bb_endpoint_t *endpoint = g_hash_table_lookup(fleet->nodes, node);

    if (endpoint == NULL) {
        if (record == NULL) {
            return false;
        }
        endpoint = add_endpoint(fleet, node);
    }
    if (revision <= endpoint->revision) {
        return false;
    }
    endpoint->revision = revision;
    if (BbPosition_IsRestored(fleet->position, revision)) {
        fleet->has_lost = true;
    }
    if (endpoint->is_local) {
        return false; /* the own record is set by BbFleet_SetOwn() */
    }
    if (record == NULL) {
        remove_endpoint(fleet, endpoint);
    }
    else if (record->is_stopped) {
        set_stopped(fleet, endpoint, record, now);
    }
    else {
        set_record(fleet, endpoint, record, now);
    }
    return true;
}

static bool
has_record(const bb_endpoint_t *endpoint)
{
    return !endpoint->is_removed || endpoint->is_stopped;
}

void
BbFleet_KeepOnly(bb_fleet_t *fleet, GHashTable *nodes, bb_position_t revision)
{
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, fleet->nodes);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        bb_endpoint_t *endpoint = value;
        if (!endpoint->is_local && has_record(endpoint) &&
            endpoint->revision <= revision &&
            !BbPosition_IsRestored(revision, endpoint->revision) &&
            !g_hash_table_contains(nodes, key)) {
            remove_endpoint(fleet, endpoint);
            endpoint->revision = revision;
        }
    }
}

bool
BbFleet_SetPosition(bb_fleet_t *fleet, bb_position_t position, double now)
{
    bool is_first = fleet->position == 0;
    bool is_restored = BbPosition_IsRestored(position, fleet->position);

    fleet->position = MAX(fleet->position, position);
    if (is_restored) {
        fleet->restored_at = now;
        fleet->has_lost = true;
    }
    return is_restored && !is_first;
}

/* Whether the record is to be dropped now, if it is of an earlier generation.
 */
static bool
is_grace_over(const bb_fleet_t *fleet, const bb_endpoint_t *endpoint,
              double now)
{
    double kept_s = endpoint->is_stopped ? BB_FLEET_STOPPED_KEPT_S
                                         : BB_FLEET_RESTORE_GRACE_S;

    return now - fleet->restored_at >= kept_s;
}

bool
BbFleet_DropLost(bb_fleet_t *fleet, double now)
{
    GHashTableIter iter;
    gpointer value;
    bool is_any_kept = false;
    bool is_any_dropped = false;

    if (!fleet->has_lost) {
        return false;
    }
    g_hash_table_iter_init(&iter, fleet->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        bb_endpoint_t *endpoint = value;
        if (endpoint->is_local || !has_record(endpoint) ||
            !BbPosition_IsRestored(fleet->position, endpoint->revision)) {
            continue;
        }
        if (is_grace_over(fleet, endpoint, now)) {
            remove_endpoint(fleet, endpoint);
            is_any_dropped = true;
        }
        else {
            is_any_kept = true;
        }
    }
    fleet->has_lost = is_any_kept;
    return is_any_dropped;
}

void
BbFleet_SetOwn(bb_fleet_t *fleet, const bb_node_record_t *record, double now)
{
    bb_endpoint_t *endpoint =
        g_hash_table_lookup(fleet->nodes, fleet->own_node);

    if (endpoint == NULL) {
        endpoint = add_endpoint(fleet, fleet->own_node);
    }
    set_record(fleet, endpoint, record, now);
}

bb_endpoint_t *
BbFleet_Find(const bb_fleet_t *fleet, const char *node)
{
    return g_hash_table_lookup(fleet->nodes, node);
}

const GPtrArray *
BbFleet_ListEndpoints(const bb_fleet_t *fleet, const char *service)
{
    return g_hash_table_lookup(fleet->services, service);
}

void
BbFleet_ForEach(const bb_fleet_t *fleet,
                void (*visit)(bb_endpoint_t *endpoint, void *arg), void *arg)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        visit(value, arg);
    }
}

size_t
BbFleet_NodeCount(const bb_fleet_t *fleet)
{
    return fleet->count;
}

uint64_t
BbFleet_Generation(const bb_fleet_t *fleet)
{
    return fleet->generation;
}
