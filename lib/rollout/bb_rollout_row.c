#include "bb_rollout_row.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "bb_error.h"

static const char *const phase_names[] = {
    [BB_ROLLOUT_CANARY] = "canary",
    [BB_ROLLOUT_SHIFTING] = "shifting",
    [BB_ROLLOUT_COMPLETED] = "completed",
    [BB_ROLLOUT_ROLLED_BACK] = "rolled_back",
};

const char *
BbRolloutPhase_Name(bb_rollout_phase_t phase)
{
    return phase_names[phase];
}

bool
BbRolloutPhase_IsFinal(bb_rollout_phase_t phase)
{
    return phase == BB_ROLLOUT_COMPLETED || phase == BB_ROLLOUT_ROLLED_BACK;
}

static int
parse_phase(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(phase_names); i++) {
        if (strcmp(name, phase_names[i]) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static json_t *
names_to_json(char **names)
{
    json_t *array = json_array();

    for (int i = 0; names != NULL && names[i] != NULL; i++) {
        json_array_append_new(array, json_string(names[i]));
    }
    return array;
}

static char **
names_from_json(const json_t *array)
{
    GPtrArray *names = g_ptr_array_new();
    size_t index;
    json_t *entry;

    json_array_foreach (array, index, entry) {
        if (json_is_string(entry) && names->len < BB_ROLLOUT_MAX_NAMES) {
            g_ptr_array_add(names, g_strdup(json_string_value(entry)));
        }
    }
    g_ptr_array_add(names, NULL);
    return (char **)g_ptr_array_free(names, FALSE);
}

char *
BbRolloutRow_Format(const bb_rollout_row_t *row)
{
    json_t *object = json_pack(
        "{s:s, s:s, s:I, s:I, s:I, s:s, s:b, s:f, s:f, s:I, s:s, s:o, s:o, "
        "s:o}",
        "service", row->service, "to", row->to, "order",
        (json_int_t)row->order, "epoch", (json_int_t)row->epoch, "serial",
        (json_int_t)row->serial, "phase", BbRolloutPhase_Name(row->phase),
        "reported", row->is_reported, "share", row->share, "duration_s",
        row->duration_s, "started_ms", (json_int_t)row->started_ms, "decider",
        row->decider, "active", names_to_json(row->active), "rejected",
        names_to_json(row->rejected), "unheard", names_to_json(row->unheard));
    char *text = json_dumps(object, JSON_COMPACT | JSON_REAL_PRECISION(6));
    char *copy = g_strdup(text);

    json_decref(object);
    free(text);
    return copy;
}

int
BbRolloutRow_Parse(const char *text, size_t size, bb_rollout_row_t *out)
{
    json_t *object = json_loadb(text, size, 0, NULL);
    const char *service, *to, *phase, *decider;
    json_int_t order, epoch, serial, started_ms;
    double share, duration_s;
    int error = json_unpack(
        object, "{s:s, s:s, s:I, s:I, s:I, s:s, s:F, s:F, s:I, s:s}",
        "service", &service, "to", &to, "order", &order, "epoch", &epoch,
        "serial", &serial, "phase", &phase, "share", &share, "duration_s",
        &duration_s, "started_ms", &started_ms, "decider", &decider);

    memset(out, 0, sizeof(*out));
    if (object == NULL || error != 0 || parse_phase(phase) < 0) {
        json_decref(object);
        return BB_ERR_PARSE;
    }
    *out = (bb_rollout_row_t){
        .service = g_strdup(service),
        .to = g_strdup(to),
        .order = order,
        .epoch = epoch,
        .serial = serial,
        .phase = (bb_rollout_phase_t)parse_phase(phase),
        .is_reported = json_is_true(json_object_get(object, "reported")),
        .share = CLAMP(share, 0.0, 1.0),
        .duration_s = duration_s,
        .started_ms = started_ms,
        .decider = g_strdup(decider),
        .active = names_from_json(json_object_get(object, "active")),
        .rejected = names_from_json(json_object_get(object, "rejected")),
        .unheard = names_from_json(json_object_get(object, "unheard")),
    };
    json_decref(object);
    return 0;
}

void
BbRolloutRow_Clear(bb_rollout_row_t *row)
{
    g_free(row->service);
    g_free(row->to);
    g_free(row->decider);
    g_strfreev(row->active);
    g_strfreev(row->rejected);
    g_strfreev(row->unheard);
    memset(row, 0, sizeof(*row));
}

void
BbRolloutRow_Copy(bb_rollout_row_t *to, const bb_rollout_row_t *from)
{
    *to = *from;
    to->service = g_strdup(from->service);
    to->to = g_strdup(from->to);
    to->decider = g_strdup(from->decider);
    to->active = g_strdupv(from->active);
    to->rejected = g_strdupv(from->rejected);
    to->unheard = g_strdupv(from->unheard);
}

static int
compare_numbers(int64_t a, int64_t b)
{
    return (a > b) - (a < b);
}

int
BbRolloutRow_Compare(const bb_rollout_row_t *row, const bb_rollout_row_t *than)
{
    int order = compare_numbers(row->order, than->order);
    int epoch = compare_numbers(row->epoch, than->epoch);

    if (order != 0) {
        return order;
    }
    return epoch != 0 ? epoch : compare_numbers(row->serial, than->serial);
}

char **
BbRolloutRow_RejectedAfter(const bb_rollout_row_t *before, const char *to)
{
    GPtrArray *names = g_ptr_array_new();

    for (int i = 0; before != NULL && before->rejected[i] != NULL; i++) {
        if (strcmp(before->rejected[i], to) != 0 &&
            names->len + 1 < BB_ROLLOUT_MAX_NAMES) {
            g_ptr_array_add(names, g_strdup(before->rejected[i]));
        }
    }
    if (before != NULL && before->phase != BB_ROLLOUT_COMPLETED &&
        strcmp(before->to, to) != 0) {
        g_ptr_array_add(names, g_strdup(before->to));
    }
    g_ptr_array_add(names, NULL);
    return (char **)g_ptr_array_free(names, FALSE);
}

static bool
contains(char **names, const char *name)
{
    return names != NULL && name != NULL &&
           g_strv_contains((const gchar *const *)names, name);
}

bool
BbRolloutRow_IsActive(const bb_rollout_row_t *row, const char *node)
{
    return contains(row->active, node);
}

bool
BbRolloutRow_IsUnheard(const bb_rollout_row_t *row, const char *node)
{
    return contains(row->unheard, node) ||
           contains(row->unheard, BB_ROLLOUT_EVERY_NODE);
}

bool
BbRolloutRow_IsRejected(const bb_rollout_row_t *row, const char *version)
{
    return contains(row->rejected, version);
}
