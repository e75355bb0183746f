#include "bb_config_check.h"

#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdbool.h>
#include <string.h>

#include "bb_config.h"
#include "bb_error.h"

#define MAX_TIMEOUT_MS 600000
#define DEFAULT_TIMEOUT_MS 10000
#define DEFAULT_SLOTS 16
#define DEFAULT_CONNECTIONS 100
#define DEFAULT_QUEUE 64
#define DEFAULT_RETRY_MAX 1

/* In the order of the BB_METHOD_* bits. */
static const char *const method_names[] = {
    "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS",
};

static const char *const route_columns[] = {
    "host", "path_prefix", "pool", "methods", "idempotent", "timeout_ms", NULL,
};

static const char *const pool_columns[] = {
    "service",   "slots", "connections", "queue",
    "retry_max", "once",  "spill",       NULL,
};

/* A row that is being validated. */
typedef struct {
    const char *table; /* "routes" or "pools" */
    const char *name;
    json_t *in;  /* as in the document */
    json_t *out; /* canonical form */
    const bb_config_source_t *source;
    bb_findings_t *findings;
} row_t;

/* ---- locations of findings ---- */

/* Returns the line of the column or, when it is not set, of the row. */
static int
find_line(const bb_toml_t *toml, const char *row, const char *column)
{
    char *path =
        column != NULL ? g_strdup_printf("%s.%s", row, column) : g_strdup(row);
    int line = BbToml_Line(toml, path);
    g_free(path);
    return line != 0 ? line : BbToml_Line(toml, row);
}

static void add_finding(const row_t *row, const char *column,
                        const char *format, ...)
    __attribute__((format(printf, 3, 4)));

static void
add_finding(const row_t *row, const char *column, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *message = g_strdup_vprintf(format, args);
    va_end(args);
    if (row->source->toml == NULL) {
        BbFindings_Add(row->findings, row->table, row->name, column, 0, "%s",
                       message);
    }
    else {
        /* routes and pools are the tables [route.NAME] and [pool.NAME] in
         * TOML, without the final s. */
        char *toml_table = g_strdup_printf(
            "%.*s.%s", (int)strlen(row->table) - 1, row->table, row->name);
        BbFindings_Add(row->findings, row->source->path, toml_table, column,
                       find_line(row->source->toml, toml_table, column), "%s",
                       message);
        g_free(toml_table);
    }
    g_free(message);
}

/* ---- columns ---- */

/* Each check_*() function of a column validates it and stores its canonical
 * value, or the default, in row->out. */

static bool
is_name(const char *text)
{
    size_t length = strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-");
    return length >= 1 && length <= BB_MAX_NAME_LENGTH && text[length] == '\0';
}

/* value is the default, stored when the column is not set. */
static void
check_integer(row_t *row, const char *column, int min, int max, int value)
{
    json_t *given = json_object_get(row->in, column);
    json_int_t number = value;

    if (given != NULL && !json_is_integer(given)) {
        add_finding(row, column, "must be an integer");
    }
    else if (given != NULL) {
        number = json_integer_value(given);
        if (number < min || number > max) {
            add_finding(row, column,
                        "%" JSON_INTEGER_FORMAT " is outside %d..%d", number,
                        min, max);
        }
    }
    json_object_set_new(row->out, column, json_integer(number));
}

/* Returns the text of a string column. value is the default, returned when the
 * column is not set; a column with the default NULL is required. Adds a
 * finding and returns NULL when the column is not a string, or is required and
 * not set. */
static const char *
get_string(row_t *row, const char *column, const char *value)
{
    json_t *given = json_object_get(row->in, column);

    if (given == NULL) {
        if (value == NULL) {
            add_finding(row, column, "is required");
        }
        return value;
    }
    if (!json_is_string(given)) {
        add_finding(row, column, "must be a string");
        return NULL;
    }
    return json_string_value(given);
}

static void
check_name(row_t *row, const char *column)
{
    const char *text = get_string(row, column, NULL);

    if (text == NULL) {
        return;
    }
    if (!is_name(text)) {
        add_finding(row, column,
                    "'%.80s' is not a name of the form [a-z0-9-]{1,%d}", text,
                    BB_MAX_NAME_LENGTH);
    }
    json_object_set_new(row->out, column, json_string(text));
}

static void
check_host(row_t *row)
{
    const char *text = get_string(row, "host", "*");

    if (text == NULL) {
        return;
    }
    char *host = g_ascii_strdown(text, -1);
    size_t length = strspn(host, "abcdefghijklmnopqrstuvwxyz0123456789-.");
    bool is_valid =
        length >= 1 && length <= BB_MAX_HOST_LENGTH && host[length] == '\0';
    if (!is_valid && strcmp(host, "*") != 0) {
        add_finding(row, "host", "'%.80s' is neither a host name nor '*'",
                    text);
    }
    json_object_set_new(row->out, "host", json_string(host));
    g_free(host);
}

static bool
is_path_prefix(const char *text)
{
    if (text[0] != '/' || strlen(text) > BB_MAX_PATH_PREFIX_LENGTH) {
        return false;
    }
    for (const char *c = text; *c != '\0'; c++) {
        if (*c <= ' ' || *c >= 0x7f || *c == '?' || *c == '#') {
            return false;
        }
    }
    return true;
}

static void
check_path_prefix(row_t *row)
{
    const char *text = get_string(row, "path_prefix", "/");

    if (text == NULL) {
        return;
    }
    if (!is_path_prefix(text)) {
        add_finding(row, "path_prefix",
                    "must begin with '/' and hold at most %d printable ASCII "
                    "characters other than '?' and '#'",
                    BB_MAX_PATH_PREFIX_LENGTH);
    }
    size_t length = strlen(text);
    while (length > 1 && text[length - 1] == '/') {
        length--;
    }
    json_object_set_new(row->out, "path_prefix", json_stringn(text, length));
}

static unsigned int
collect_methods(row_t *row, json_t *given)
{
    unsigned int bits = 0;
    size_t index;
    json_t *item;

    json_array_foreach (given, index, item) {
        const char *text = json_string_value(item);
        unsigned int bit = text != NULL ? BbConfig_MethodBit(text) : 0;
        if (bit == 0) {
            add_finding(row, "methods", "'%.80s' is not a supported method",
                        text != NULL ? text : "(not a string)");
        }
        bits |= bit;
    }
    return bits;
}

static void
check_methods(row_t *row)
{
    json_t *given = json_object_get(row->in, "methods");
    json_t *methods = json_array();
    unsigned int bits = 0;

    if (given != NULL && !json_is_array(given)) {
        add_finding(row, "methods", "must be an array of strings");
    }
    else if (given != NULL) {
        bits = collect_methods(row, given);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(method_names); i++) {
        if ((bits & (1u << i)) != 0 && bits != BB_METHOD_ALL) {
            json_array_append_new(methods, json_string(method_names[i]));
        }
    }
    json_object_set_new(row->out, "methods", methods);
}

/* Returns the value of a boolean column, NULL when it is not set. Adds a
 * finding and returns NULL when it is not a boolean. */
static json_t *
get_boolean(row_t *row, const char *column)
{
    json_t *given = json_object_get(row->in, column);

    if (given != NULL && !json_is_boolean(given)) {
        add_finding(row, column, "must be true or false");
        return NULL;
    }
    return given;
}

static void
check_once(row_t *row)
{
    const char *text = get_string(row, "once", "none");

    if (text == NULL) {
        return;
    }
    if (strcmp(text, "none") != 0 && strcmp(text, "window") != 0 &&
        strcmp(text, "claim") != 0) {
        add_finding(row, "once",
                    "'%.80s' is not one of none, window and claim", text);
    }
    json_object_set_new(row->out, "once", json_string(text));
}

static void
check_unknown_columns(row_t *row, const char *const *columns)
{
    const char *key;
    json_t *value;

    json_object_foreach (row->in, key, value) {
        (void)value;
        if (!g_strv_contains((const gchar *const *)columns, key)) {
            add_finding(row, key, "no such column");
        }
    }
}

/* ---- rows and tables ---- */

static void
check_pool(row_t *row)
{
    check_name(row, "service");
    check_integer(row, "slots", 1, 1024, DEFAULT_SLOTS);
    check_integer(row, "connections", 1, 10000, DEFAULT_CONNECTIONS);
    check_integer(row, "queue", 0, 10000, DEFAULT_QUEUE);
    check_integer(row, "retry_max", 0, 3, DEFAULT_RETRY_MAX);
    check_once(row);
    json_t *spill = get_boolean(row, "spill");
    json_object_set_new(row->out, "spill",
                        json_boolean(spill == NULL || json_is_true(spill)));
    check_unknown_columns(row, pool_columns);
}

static void
check_route(row_t *row)
{
    check_host(row);
    check_path_prefix(row);
    check_name(row, "pool");
    check_methods(row);
    json_t *idempotent = get_boolean(row, "idempotent");
    if (idempotent != NULL) {
        json_object_set(row->out, "idempotent", idempotent);
    }
    check_integer(row, "timeout_ms", 1, MAX_TIMEOUT_MS, DEFAULT_TIMEOUT_MS);
    check_unknown_columns(row, route_columns);
}

/* Returns the canonical row as a new reference. */
static json_t *
check_row(row_t *row)
{
    row->out = json_object();
    if (!is_name(row->name)) {
        add_finding(row, NULL, "the name is not of the form [a-z0-9-]{1,%d}",
                    BB_MAX_NAME_LENGTH);
    }
    if (!json_is_object(row->in)) {
        add_finding(row, NULL, "must be a table of columns");
    }
    else if (strcmp(row->table, "pools") == 0) {
        check_pool(row);
    }
    else {
        check_route(row);
    }
    return row->out;
}

int
BbConfig_CheckRow(const char *table, const char *name, json_t *in,
                  bb_findings_t *findings, json_t **out)
{
    bb_config_source_t source = {0};
    row_t row = {.table = table,
                 .name = name,
                 .in = in,
                 .source = &source,
                 .findings = findings};
    size_t findings_before = findings->count + findings->omitted;

    *out = check_row(&row);
    if (findings->count + findings->omitted != findings_before) {
        json_decref(*out);
        *out = NULL;
        return BB_ERR_INVALID;
    }
    return 0;
}

static int
check_table(json_t *document, const char *table, size_t max_rows,
            const bb_config_source_t *source, bb_findings_t *findings,
            json_t *out)
{
    json_t *rows = json_object_get(document, table);
    json_t *base_rows = json_object_get(source->base, table);
    json_t *checked = json_object();
    const char *name;
    json_t *in;

    json_object_set_new(out, table, checked);
    if (rows != NULL && !json_is_object(rows)) {
        BbFindings_Add(findings, table, NULL, NULL, 0,
                       "must be a table of rows");
        return BB_ERR_INVALID;
    }
    if (json_object_size(rows) > max_rows) {
        BbFindings_Add(findings, table, NULL, NULL, 0,
                       "%zu rows, at most %zu are allowed",
                       json_object_size(rows), max_rows);
        return BB_ERR_LIMIT;
    }
    json_object_foreach (rows, name, in) {
        row_t row = {table, name, in, NULL, source, findings};
        bool is_checked = json_object_get(base_rows, name) == in;
        json_object_set_new(checked, name,
                            is_checked ? json_incref(in) : check_row(&row));
    }
    return 0;
}

static void
check_unknown_tables(json_t *document, bb_findings_t *findings)
{
    const char *key;
    json_t *value;

    json_object_foreach (document, key, value) {
        (void)value;
        if (strcmp(key, "pools") != 0 && strcmp(key, "routes") != 0) {
            BbFindings_Add(findings, "document", key, NULL, 0,
                           "no such table; expected pools or routes");
        }
    }
}

/* ---- rules between rows ---- */

static void
check_pool_reference(const row_t *row, json_t *pools)
{
    const char *pool = json_string_value(json_object_get(row->out, "pool"));

    if (pool != NULL && json_object_get(pools, pool) == NULL) {
        add_finding(row, "pool", "no pool '%.80s'", pool);
    }
}

static unsigned int
method_bits(json_t *route)
{
    unsigned int bits = 0;
    size_t index;
    json_t *item;

    json_array_foreach (json_object_get(route, "methods"), index, item) {
        bits |= BbConfig_MethodBit(json_string_value(item));
    }
    return bits != 0 ? bits : BB_METHOD_ALL;
}

/* Adds a finding when an earlier route matches the same calls.
 * names_by_match maps "HOST PREFIX" to the names of the earlier routes. */
static void
check_ambiguous_route(const row_t *row, json_t *names_by_match, json_t *routes)
{
    const char *host = json_string_value(json_object_get(row->out, "host"));
    const char *prefix =
        json_string_value(json_object_get(row->out, "path_prefix"));
    size_t index;
    json_t *other;

    if (host == NULL || prefix == NULL) {
        return;
    }
    char *match = g_strdup_printf("%s %s", host, prefix);
    json_t *names = json_object_get(names_by_match, match);
    if (names == NULL) {
        names = json_array();
        json_object_set_new(names_by_match, match, names);
    }
    json_array_foreach (names, index, other) {
        json_t *route = json_object_get(routes, json_string_value(other));
        if ((method_bits(route) & method_bits(row->out)) != 0) {
            add_finding(row, "path_prefix",
                        "same host, prefix and method as route '%s'",
                        json_string_value(other));
            break;
        }
    }
    json_array_append_new(names, json_string(row->name));
    g_free(match);
}

static void
check_between_rows(json_t *document, const bb_config_source_t *source,
                   bb_findings_t *findings)
{
    json_t *routes = json_object_get(document, "routes");
    json_t *pools = json_object_get(document, "pools");
    json_t *names_by_match = json_object();
    const char *name;
    json_t *route;

    json_object_foreach (routes, name, route) {
        row_t row = {"routes", name, NULL, route, source, findings};
        check_pool_reference(&row, pools);
        check_ambiguous_route(&row, names_by_match, routes);
    }
    json_decref(names_by_match);
}

int
BbConfigCheck_Document(json_t *document, const bb_config_source_t *source,
                       bb_findings_t *findings, json_t **out)
{
    size_t findings_before = findings->count + findings->omitted;
    json_t *checked = json_object();

    *out = NULL;
    check_unknown_tables(document, findings);
    int pools_error = check_table(document, "pools", BB_MAX_POOLS, source,
                                  findings, checked);
    int routes_error = check_table(document, "routes", BB_MAX_ROUTES, source,
                                   findings, checked);
    if (pools_error == 0 && routes_error == 0) {
        check_between_rows(checked, source, findings);
    }
    if (findings->count + findings->omitted == findings_before) {
        *out = checked;
        return 0;
    }
    json_decref(checked);
    return pools_error == BB_ERR_LIMIT || routes_error == BB_ERR_LIMIT
               ? BB_ERR_LIMIT
               : BB_ERR_INVALID;
}
