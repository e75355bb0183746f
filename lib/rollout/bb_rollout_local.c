#include "bb_rollout_local.h"

#include <glib.h>
#include <string.h>

/* Part of a row's revision that one step of the order or of the epoch is
 * worth. An order is the version of a row of the store, so it rises faster
 * than any serial. */
#define EPOCH_STEP 10000
#define ORDER_STEP 100000000

typedef struct {
    bb_rollout_row_t row;
    GHashTable *turns; /* route to double: sum of the shares of its calls */
} service_t;

struct bb_rollout_local {
    char *node;
    char *data_centre;
    char *service;
    GHashTable *services; /* name to service_t */
    /* of the target beside this node */
    bool must_learn; /* closed until a row of a deciding node is known */
    double learn_until;
    bool has_lease;
    int64_t lease_order;
    double lease_until;
    char *version;      /* of the target that is counted */
    GHashTable *counts; /* route to bb_rollout_counts_t */
};

/* ---- creation and destruction ---- */

static void
free_service(gpointer data)
{
    service_t *service = data;

    BbRolloutRow_Clear(&service->row);
    g_hash_table_destroy(service->turns);
    g_free(service);
}

bb_rollout_local_t *
BbRolloutLocal_New(const char *node, const char *data_centre,
                   const char *service)
{
    bb_rollout_local_t *local = g_new0(bb_rollout_local_t, 1);

    local->node = g_strdup(node);
    local->data_centre = g_strdup(data_centre);
    local->service = g_strdup(service);
    local->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    local->counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return local;
}

void
BbRolloutLocal_Free(bb_rollout_local_t *local)
{
    if (local != NULL) {
        g_hash_table_destroy(local->services);
        g_hash_table_destroy(local->counts);
        g_free(local->version);
        g_free(local->node);
        g_free(local->data_centre);
        g_free(local->service);
        g_free(local);
    }
}

/* ---- rows ---- */

static service_t *
find_service(const bb_rollout_local_t *local, const char *name)
{
    return g_hash_table_lookup(local->services, name);
}

bool
BbRolloutLocal_Apply(bb_rollout_local_t *local, const bb_rollout_row_t *row)
{
    service_t *service = find_service(local, row->service);

    if (service != NULL && BbRolloutRow_Compare(row, &service->row) <= 0) {
        return false;
    }
    if (service == NULL &&
        g_hash_table_size(local->services) >= BB_ROLLOUT_MAX_SERVICES) {
        return false;
    }
    bb_rollout_row_t copy;
    BbRolloutRow_Copy(&copy, row);
    if (service == NULL) {
        service = g_new0(service_t, 1);
        service->turns =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
    else {
        if (row->order > service->row.order &&
            strcmp(row->service, local->service) == 0) {
            g_hash_table_remove_all(local->counts);
        }
        g_hash_table_steal(local->services, service->row.service);
        BbRolloutRow_Clear(&service->row);
    }
    service->row = copy;
    g_hash_table_insert(local->services, service->row.service, service);
    if (strcmp(row->service, local->service) == 0 && row->epoch > 0) {
        local->must_learn = false;
    }
    return true;
}

bool
BbRolloutLocal_ApplyOrder(bb_rollout_local_t *local,
                          const bb_rollout_order_t *order, bool is_start,
                          double now)
{
    const bb_rollout_row_t *before = BbRolloutLocal_Row(local, order->service);
    char *nothing = NULL;
    bool is_known = before != NULL && before->order >= order->version;
    bool is_completed = before != NULL &&
                        before->phase == BB_ROLLOUT_COMPLETED &&
                        strcmp(before->to, order->to) == 0;
    if (is_known || is_completed) {
        return false;
    }
    const bb_rollout_row_t row = {
        .service = (char *)order->service,
        .to = (char *)order->to,
        .order = order->version,
        .phase = BB_ROLLOUT_CANARY,
        .duration_s = order->duration_s,
        .decider = "",
        .active = &nothing,
        .rejected = BbRolloutRow_RejectedAfter(before, order->to),
        .unheard = &nothing,
    };

    if (is_start && strcmp(order->service, local->service) == 0) {
        local->must_learn = true;
        local->learn_until = now + BB_ROLLOUT_LEARN_S;
    }
    bool is_taken = BbRolloutLocal_Apply(local, &row);
    g_strfreev(row.rejected);
    return is_taken;
}

void
BbRolloutLocal_EndLearning(bb_rollout_local_t *local)
{
    local->must_learn = false;
}

const bb_rollout_row_t *
BbRolloutLocal_Row(const bb_rollout_local_t *local, const char *name)
{
    const service_t *service = find_service(local, name);

    return service != NULL ? &service->row : NULL;
}

void
BbRolloutLocal_ForEach(const bb_rollout_local_t *local,
                       void (*visit)(const bb_rollout_row_t *row, void *arg),
                       void *arg)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, local->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const service_t *service = value;
        visit(&service->row, arg);
    }
}

static void
add_revision(const bb_rollout_row_t *row, void *arg)
{
    int64_t *sum = arg;

    *sum += row->order * ORDER_STEP + MIN(row->epoch, 9999) * EPOCH_STEP +
            MIN(row->serial, EPOCH_STEP - 1);
}

int64_t
BbRolloutLocal_Revision(const bb_rollout_local_t *local)
{
    int64_t sum = 0;

    BbRolloutLocal_ForEach(local, add_revision, &sum);
    return sum;
}

/* ---- placement ---- */

/* The nodes start at different points of a turn, so that their first calls do
 * not all go to the new version, or all to the old one. */
static double
first_turn(const bb_rollout_local_t *local, const char *route)
{
    guint hash = g_str_hash(local->node) * 2654435761U ^ g_str_hash(route);

    return (double)(hash * 2654435761U) / 4294967296.0;
}

bool
BbRolloutLocal_IsNewTurn(bb_rollout_local_t *local, const char *name,
                         const char *route)
{
    const service_t *service = find_service(local, name);

    if (service == NULL || service->row.phase != BB_ROLLOUT_CANARY ||
        service->row.share <= 0) {
        return false;
    }
    double *turn = g_hash_table_lookup(service->turns, route);
    if (turn == NULL) {
        if (g_hash_table_size(service->turns) >= BB_ROLLOUT_MAX_ROUTES) {
            return false;
        }
        turn = g_new(double, 1);
        *turn = first_turn(local, route);
        g_hash_table_insert(service->turns, g_strdup(route), turn);
    }
    *turn += service->row.share;
    if (*turn < 1.0) {
        return false;
    }
    *turn -= 1.0;
    return true;
}

bool
BbRolloutLocal_MayPlace(const bb_rollout_local_t *local, const char *service,
                        const char *node, const char *version,
                        bool is_new_turn)
{
    const bb_rollout_row_t *row = BbRolloutLocal_Row(local, service);

    if (row == NULL) {
        return true;
    }
    bool is_new = g_strcmp0(version, row->to) == 0;
    if (BbRolloutRow_IsRejected(row, version)) {
        return false;
    }
    switch (row->phase) {
    case BB_ROLLOUT_CANARY:
        return is_new ? is_new_turn && BbRolloutRow_IsActive(row, node)
                      : !is_new_turn;
    case BB_ROLLOUT_SHIFTING:
    case BB_ROLLOUT_COMPLETED:
        return is_new;
    case BB_ROLLOUT_ROLLED_BACK:
        return !is_new;
    }
    return true;
}

/* ---- target beside this node ---- */

static bool
is_lease_over(const bb_rollout_local_t *local, const bb_rollout_row_t *row,
              double now)
{
    return local->has_lease && local->lease_order == row->order &&
           now >= local->lease_until;
}

static bool
has_lease(const bb_rollout_local_t *local, const bb_rollout_row_t *row,
          double now)
{
    return local->has_lease && local->lease_order == row->order &&
           now < local->lease_until;
}

bool
BbRolloutLocal_AcceptsCalls(const bb_rollout_local_t *local,
                            const char *version, double now)
{
    const bb_rollout_row_t *row = BbRolloutLocal_Row(local, local->service);

    if (row == NULL) {
        return true;
    }
    bool is_new = g_strcmp0(version, row->to) == 0;
    if (BbRolloutRow_IsRejected(row, version) ||
        (local->must_learn && now < local->learn_until)) {
        return false;
    }
    switch (row->phase) {
    case BB_ROLLOUT_CANARY:
        return is_new ? BbRolloutRow_IsActive(row, local->node) &&
                            has_lease(local, row, now)
                      : !is_lease_over(local, row, now);
    case BB_ROLLOUT_SHIFTING:
        return is_new && has_lease(local, row, now);
    case BB_ROLLOUT_COMPLETED:
        return is_new;
    case BB_ROLLOUT_ROLLED_BACK:
        return !is_new;
    }
    return true;
}

void
BbRolloutLocal_Grant(bb_rollout_local_t *local, int64_t order, double sent_at,
                     double lease_s)
{
    double until = sent_at + lease_s;

    if (!local->has_lease || local->lease_order != order ||
        until > local->lease_until) {
        local->lease_until = until;
    }
    local->has_lease = true;
    local->lease_order = order;
}

void
BbRolloutLocal_CountRun(bb_rollout_local_t *local, const char *version,
                        const char *route, bool is_failed, double duration_s)
{
    const bb_rollout_row_t *row = BbRolloutLocal_Row(local, local->service);

    if (row == NULL || BbRolloutPhase_IsFinal(row->phase)) {
        return;
    }
    if (g_strcmp0(version, local->version) != 0) {
        g_hash_table_remove_all(local->counts);
        g_free(local->version);
        local->version = g_strdup(version);
    }
    bb_rollout_counts_t *counts = g_hash_table_lookup(local->counts, route);
    if (counts == NULL) {
        if (g_hash_table_size(local->counts) >= BB_ROLLOUT_MAX_ROUTES) {
            return;
        }
        counts = g_new0(bb_rollout_counts_t, 1);
        g_hash_table_insert(local->counts, g_strdup(route), counts);
    }
    counts->runs++;
    counts->failures += is_failed;
    counts->durations[BbRollout_Bucket(duration_s)]++;
}

/* ---- reports ---- */

/* [runs, failures, [bucket, count, ...]] */
static json_t *
counts_to_json(const bb_rollout_counts_t *counts)
{
    json_t *durations = json_array();

    for (int i = 0; i < BB_ROLLOUT_BUCKETS; i++) {
        if (counts->durations[i] > 0) {
            json_array_append_new(durations, json_integer(i));
            json_array_append_new(durations,
                                  json_integer(counts->durations[i]));
        }
    }
    return json_pack("[I, I, o]", (json_int_t)counts->runs,
                     (json_int_t)counts->failures, durations);
}

static bool
counts_from_json(const json_t *array, bb_rollout_counts_t *out)
{
    const json_t *durations = json_array_get(array, 2);
    size_t size = json_array_size(durations);

    memset(out, 0, sizeof(*out));
    out->runs = (uint32_t)json_integer_value(json_array_get(array, 0));
    out->failures = (uint32_t)json_integer_value(json_array_get(array, 1));
    for (size_t i = 0; i + 1 < size; i += 2) {
        json_int_t bucket = json_integer_value(json_array_get(durations, i));
        if (bucket < 0 || bucket >= BB_ROLLOUT_BUCKETS) {
            return false;
        }
        out->durations[bucket] =
            (uint32_t)json_integer_value(json_array_get(durations, i + 1));
    }
    return json_is_array(array) && out->failures <= out->runs;
}

char *
BbRolloutLocal_FormatReport(const bb_rollout_local_t *local,
                            const char *version, int open_calls, double now)
{
    const bb_rollout_row_t *row = BbRolloutLocal_Row(local, local->service);

    if (row == NULL) {
        return NULL;
    }
    bool is_closed = !BbRolloutLocal_AcceptsCalls(local, version, now);
    json_t *object =
        json_pack("{s:s, s:s, s:s, s:I, s:I, s:I, s:s, s:b, s:i}", "service",
                  local->service, "node", local->node, "data_centre",
                  local->data_centre, "order", (json_int_t)row->order, "epoch",
                  (json_int_t)row->epoch, "serial", (json_int_t)row->serial,
                  "phase", BbRolloutPhase_Name(row->phase), "closed",
                  is_closed, "open", open_calls);
    if (version != NULL) {
        json_object_set_new(object, "version", json_string(version));
    }
    if (g_strcmp0(version, local->version) == 0 &&
        row->phase == BB_ROLLOUT_CANARY) {
        json_t *routes = json_object();
        GHashTableIter iter;
        gpointer route, counts;
        g_hash_table_iter_init(&iter, local->counts);
        while (g_hash_table_iter_next(&iter, &route, &counts)) {
            json_object_set_new(routes, route, counts_to_json(counts));
        }
        json_object_set_new(object, "routes", routes);
    }
    char *text = json_dumps(object, JSON_COMPACT);
    char *copy = g_strdup(text);
    json_decref(object);
    free(text);
    return copy;
}

static bb_rollout_phase_t
phase_of(const char *name)
{
    static const bb_rollout_phase_t shifted[] = {BB_ROLLOUT_SHIFTING,
                                                 BB_ROLLOUT_COMPLETED};

    for (size_t i = 0; i < G_N_ELEMENTS(shifted); i++) {
        if (strcmp(name, BbRolloutPhase_Name(shifted[i])) == 0) {
            return shifted[i];
        }
    }
    return BB_ROLLOUT_CANARY;
}

double
BbRolloutReport_Deliver(bb_rollout_t *rollout, const json_t *object,
                        double now)
{
    const char *node, *data_centre, *phase, *route;
    json_int_t order, epoch;
    int is_closed, open_calls;
    json_t *counts;
    double lease_s = -1;
    int error = json_unpack(
        (json_t *)object, "{s:s, s:s, s:I, s:I, s:s, s:b, s:i}", "node", &node,
        "data_centre", &data_centre, "order", &order, "epoch", &epoch, "phase",
        &phase, "closed", &is_closed, "open", &open_calls);

    if (object != NULL && error == 0 &&
        order == BbRollout_Row(rollout)->order) {
        const bb_rollout_report_t report = {
            .node = node,
            .data_centre = data_centre,
            .version = json_string_value(json_object_get(object, "version")),
            .order = order,
            .epoch = epoch,
            .phase = phase_of(phase),
            .is_closed = is_closed,
            .open_calls = open_calls,
        };
        lease_s = BbRollout_AddReport(rollout, &report, now);
        json_object_foreach (json_object_get(object, "routes"), route,
                             counts) {
            bb_rollout_counts_t totals;
            if (counts_from_json(counts, &totals)) {
                BbRollout_AddCounts(rollout, node, route, &totals, now);
            }
        }
    }
    return lease_s;
}
