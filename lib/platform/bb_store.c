#include "bb_store.h"

#include <glib.h>
#include <string.h>
#include <uthash.h>

#include "bb_error.h"

typedef struct {
    char *key;
    json_t *value;
    int64_t revision;
    int64_t expires_ms; /* 0: never */
    UT_hash_handle hh;
} row_t;

typedef struct {
    char *name;
    row_t *rows;
    UT_hash_handle hh;
} table_t;

typedef struct {
    char *key;
    GBytes *content;
    UT_hash_handle hh;
} object_t;

struct bb_store {
    table_t *tables;
    object_t *objects;
    int64_t revision;
};

/* ---- rows ---- */

static void
remove_row(table_t *table, row_t *row)
{
    HASH_DEL(table->rows, row);
    json_decref(row->value);
    g_free(row->key);
    g_free(row);
}

static table_t *
find_table(const bb_store_t *store, const char *name)
{
    table_t *table;

    HASH_FIND_STR(store->tables, name, table);
    return table;
}

static gboolean
is_expired(const row_t *row, int64_t now_ms)
{
    return row->expires_ms != 0 && row->expires_ms <= now_ms;
}

static row_t *
find_row(const bb_store_t *store, const char *table_name, const char *key,
         int64_t now_ms)
{
    const table_t *table = find_table(store, table_name);
    row_t *row = NULL;

    if (table != NULL) {
        HASH_FIND_STR(table->rows, key, row);
    }
    return row != NULL && !is_expired(row, now_ms) ? row : NULL;
}

static table_t *
ensure_table(bb_store_t *store, const char *name)
{
    table_t *table = find_table(store, name);

    if (table == NULL) {
        table = g_new0(table_t, 1);
        table->name = g_strdup(name);
        HASH_ADD_KEYPTR(hh, store->tables, table->name, strlen(table->name),
                        table);
    }
    return table;
}

static row_t *
ensure_row(table_t *table, const char *key)
{
    row_t *row;

    HASH_FIND_STR(table->rows, key, row);
    if (row == NULL) {
        row = g_new0(row_t, 1);
        row->key = g_strdup(key);
        HASH_ADD_KEYPTR(hh, table->rows, row->key, strlen(row->key), row);
    }
    return row;
}

static int
compare_rows(const void *left, const void *right)
{
    return strcmp((*(row_t *const *)left)->key, (*(row_t *const *)right)->key);
}

json_t *
BbStore_GetRow(bb_store_t *store, const char *table, const char *key,
               int64_t now_ms)
{
    const row_t *row = find_row(store, table, key, now_ms);

    if (row == NULL) {
        return NULL;
    }
    return json_pack("{s:O, s:I, s:I}", "value", row->value, "revision",
                     (json_int_t)row->revision, "now_ms", (json_int_t)now_ms);
}

json_t *
BbStore_ListRows(bb_store_t *store, const char *table_name, const char *prefix,
                 int64_t now_ms)
{
    const table_t *table = find_table(store, table_name);
    GPtrArray *found = g_ptr_array_new();
    json_t *rows = json_array();

    for (row_t *row = table != NULL ? table->rows : NULL; row != NULL;
         row = row->hh.next) {
        if (!is_expired(row, now_ms) &&
            (prefix == NULL || g_str_has_prefix(row->key, prefix))) {
            g_ptr_array_add(found, row);
        }
    }
    g_ptr_array_sort(found, compare_rows);
    for (guint i = 0; i < found->len; i++) {
        const row_t *row = found->pdata[i];
        json_array_append_new(rows,
                              json_pack("{s:s, s:O, s:I}", "key", row->key,
                                        "value", row->value, "revision",
                                        (json_int_t)row->revision));
    }
    g_ptr_array_free(found, TRUE);
    return json_pack("{s:o, s:I}", "rows", rows, "now_ms", (json_int_t)now_ms);
}

void
BbStore_Expire(bb_store_t *store, int64_t now_ms)
{
    for (table_t *table = store->tables; table != NULL;
         table = table->hh.next) {
        row_t *row, *next = NULL;
        HASH_ITER(hh, table->rows, row, next)
        {
            if (is_expired(row, now_ms)) {
                remove_row(table, row);
            }
        }
    }
}

/* ---- transactions ---- */

typedef struct {
    const char *table;
    const char *key;
    json_int_t revision;
    json_int_t not_before_ms;
    json_int_t before_ms;
} check_t;

/* Sets out->table to NULL for a check of the commit time. */
static int
parse_check(json_t *check, check_t *out)
{
    memset(out, 0, sizeof(*out));
    if (json_unpack(check, "{s:s, s:s, s:I !}", "table", &out->table, "key",
                    &out->key, "revision", &out->revision) == 0) {
        return out->revision >= 0 ? 0 : BB_ERR_ARGUMENT;
    }
    out->table = NULL;
    if (json_unpack(check, "{s:I, s:I !}", "not_before_ms",
                    &out->not_before_ms, "before_ms", &out->before_ms) == 0) {
        return 0;
    }
    return BB_ERR_ARGUMENT;
}

typedef struct {
    const char *table;
    const char *key;
    json_t *value; /* borrowed */
    json_int_t ttl_ms;
} write_t;

static int
parse_write(json_t *write, write_t *out)
{
    memset(out, 0, sizeof(*out));
    if (json_unpack(write, "{s:s, s:s, s:o, s?I !}", "table", &out->table,
                    "key", &out->key, "value", &out->value, "ttl_ms",
                    &out->ttl_ms) != 0) {
        return BB_ERR_ARGUMENT;
    }
    gboolean has_ttl = json_object_get(write, "ttl_ms") != NULL;
    if (out->table[0] == '\0' || strchr(out->table, '/') != NULL ||
        out->key[0] == '\0' || (has_ttl && out->ttl_ms <= 0)) {
        return BB_ERR_ARGUMENT;
    }
    return 0;
}

/* A transaction that writes a row twice is malformed. */
static int
validate_writes(json_t *writes)
{
    GHashTable *row_names =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    int error = 0;

    for (size_t i = 0; i < json_array_size(writes) && error == 0; i++) {
        write_t write;
        error = parse_write(json_array_get(writes, i), &write);
        if (error == 0 &&
            !g_hash_table_add(
                row_names, g_strconcat(write.table, "/", write.key, NULL))) {
            error = BB_ERR_ARGUMENT;
        }
    }
    g_hash_table_destroy(row_names);
    return error;
}

static int
validate_transaction(json_t *transaction)
{
    json_t *checks = json_object_get(transaction, "checks");
    json_t *writes = json_object_get(transaction, "writes");

    if (!json_is_string(json_object_get(transaction, "id")) ||
        !json_is_array(checks) || !json_is_array(writes)) {
        return BB_ERR_ARGUMENT;
    }
    for (size_t i = 0; i < json_array_size(checks); i++) {
        check_t check;
        if (parse_check(json_array_get(checks, i), &check) != 0) {
            return BB_ERR_ARGUMENT;
        }
    }
    return validate_writes(writes);
}

/* Returns the conflict (new reference), or NULL when the check holds. */
static json_t *
evaluate_check(const bb_store_t *store, const check_t *check, size_t index,
               int64_t now_ms)
{
    if (check->table == NULL) {
        if (check->not_before_ms <= now_ms && now_ms < check->before_ms) {
            return NULL;
        }
        return json_pack("{s:I, s:I}", "check", (json_int_t)index, "now_ms",
                         (json_int_t)now_ms);
    }
    const row_t *row = find_row(store, check->table, check->key, now_ms);
    json_int_t revision = row != NULL ? row->revision : 0;
    if (revision == check->revision) {
        return NULL;
    }
    return json_pack("{s:I, s:s, s:s, s:I}", "check", (json_int_t)index,
                     "table", check->table, "key", check->key, "revision",
                     revision);
}

static json_t *
collect_conflicts(const bb_store_t *store, json_t *checks, int64_t now_ms)
{
    json_t *conflicts = json_array();

    for (size_t i = 0; i < json_array_size(checks); i++) {
        check_t check;
        parse_check(json_array_get(checks, i), &check);
        json_t *conflict = evaluate_check(store, &check, i, now_ms);
        if (conflict != NULL) {
            json_array_append_new(conflicts, conflict);
        }
    }
    return conflicts;
}

static void
apply_write(bb_store_t *store, const write_t *write, int64_t now_ms)
{
    table_t *table = ensure_table(store, write->table);
    row_t *row = ensure_row(table, write->key);

    if (json_is_null(write->value)) {
        remove_row(table, row);
        return;
    }
    json_decref(row->value);
    row->value = json_deep_copy(write->value);
    row->revision = store->revision;
    row->expires_ms = write->ttl_ms > 0 ? now_ms + write->ttl_ms : 0;
}

int
BbStore_Commit(bb_store_t *store, const json_t *transaction, int64_t now_ms,
               json_t **response)
{
    *response = NULL;
    if (validate_transaction((json_t *)transaction) != 0) {
        return BB_ERR_ARGUMENT;
    }
    json_t *conflicts = collect_conflicts(
        store, json_object_get(transaction, "checks"), now_ms);
    if (json_array_size(conflicts) > 0) {
        *response = json_pack("{s:o, s:I}", "conflicts", conflicts, "now_ms",
                              (json_int_t)now_ms);
        return BB_ERR_CONFLICT;
    }
    json_decref(conflicts);
    store->revision++;
    json_t *writes = json_object_get(transaction, "writes");
    for (size_t i = 0; i < json_array_size(writes); i++) {
        write_t write;
        parse_write(json_array_get(writes, i), &write);
        apply_write(store, &write, now_ms);
    }
    *response =
        json_pack("{s:I, s:I}", "revision", (json_int_t)store->revision,
                  "now_ms", (json_int_t)now_ms);
    return 0;
}

/* ---- objects ---- */

int
BbStore_PutObject(bb_store_t *store, const char *key, const char *content,
                  size_t size)
{
    object_t *object;

    HASH_FIND_STR(store->objects, key, object);
    if (object != NULL) {
        gsize old_size;
        const void *old = g_bytes_get_data(object->content, &old_size);
        gboolean is_same =
            old_size == size && (size == 0 || memcmp(old, content, size) == 0);
        return is_same ? 0 : BB_ERR_CONFLICT;
    }
    object = g_new0(object_t, 1);
    object->key = g_strdup(key);
    object->content = g_bytes_new(content, size);
    HASH_ADD_KEYPTR(hh, store->objects, object->key, strlen(object->key),
                    object);
    return 1;
}

const char *
BbStore_GetObject(const bb_store_t *store, const char *key, size_t *size)
{
    object_t *object;

    HASH_FIND_STR(store->objects, key, object);
    if (object == NULL) {
        return NULL;
    }
    const char *content = g_bytes_get_data(object->content, size);
    return content != NULL ? content : "";
}

bb_store_t *
BbStore_New(void)
{
    return g_new0(bb_store_t, 1);
}

void
BbStore_Free(bb_store_t *store)
{
    table_t *table, *next_table = NULL;
    object_t *object, *next_object = NULL;

    if (store == NULL) {
        return;
    }
    HASH_ITER(hh, store->tables, table, next_table)
    {
        row_t *row, *next_row = NULL;
        HASH_ITER(hh, table->rows, row, next_row)
        {
            remove_row(table, row);
        }
        HASH_DEL(store->tables, table);
        g_free(table->name);
        g_free(table);
    }
    HASH_ITER(hh, store->objects, object, next_object)
    {
        HASH_DEL(store->objects, object);
        g_bytes_unref(object->content);
        g_free(object->key);
        g_free(object);
    }
    g_free(store);
}
