#include "bb_delta.h"

#include <string.h>

#include "bb_error.h"

static const char *const tables[] = {"pools", "routes"};

static json_t *
diff_table(json_t *base, json_t *next)
{
    json_t *set = json_object();
    json_t *removed = json_array();
    const char *name;
    json_t *row;

    json_object_foreach (next, name, row) {
        json_t *old = json_object_get(base, name);
        if (old == NULL || !json_equal(old, row)) {
            json_object_set(set, name, row);
        }
    }
    json_object_foreach (base, name, row) {
        if (json_object_get(next, name) == NULL) {
            json_array_append_new(removed, json_string(name));
        }
    }
    return json_pack("{s:o,s:o}", "set", set, "remove", removed);
}

json_t *
BbDelta_Make(const bb_config_t *base, const bb_config_t *next)
{
    json_t *delta = json_pack("{s:s}", "base", BbConfig_Digest(base));

    for (size_t i = 0; i < 2; i++) {
        json_t *old = json_object_get(BbConfig_Document(base), tables[i]);
        json_t *new = json_object_get(BbConfig_Document(next), tables[i]);
        json_object_set_new(delta, tables[i], diff_table(old, new));
    }
    return delta;
}

/* Applies the changes of one table to rows, a shallow copy of that table of
 * the base. On errors rows may be partly changed. */
static int
apply_table(json_t *rows, json_t *changes)
{
    json_t *set = json_object_get(changes, "set");
    json_t *removed = json_object_get(changes, "remove");
    size_t index;
    json_t *name;

    if (!json_is_object(set) || !json_is_array(removed)) {
        return BB_ERR_PARSE;
    }
    json_array_foreach (removed, index, name) {
        if (!json_is_string(name)) {
            return BB_ERR_PARSE;
        }
        json_object_del(rows, json_string_value(name));
    }
    return json_object_update(rows, set) == 0 ? 0 : BB_ERR_MEMORY;
}

int
BbDelta_Apply(const bb_config_t *base, json_t *delta, json_t **out)
{
    const char *digest = json_string_value(json_object_get(delta, "base"));

    *out = NULL;
    if (digest == NULL) {
        return BB_ERR_PARSE;
    }
    if (strcmp(digest, BbConfig_Digest(base)) != 0) {
        return BB_ERR_NOT_FOUND;
    }
    json_t *document = json_object();
    for (size_t i = 0; i < 2; i++) {
        json_t *rows =
            json_copy(json_object_get(BbConfig_Document(base), tables[i]));
        json_object_set_new(document, tables[i], rows);
        int error = apply_table(rows, json_object_get(delta, tables[i]));
        if (error != 0) {
            json_decref(document);
            return error;
        }
    }
    *out = document;
    return 0;
}
