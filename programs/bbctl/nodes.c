/* Commands status and explain, and requests to nodes for other commands. */
#include "nodes.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io.h"
#include "report.h"

#define MAX_NODES 1000
/* Significant digits; jansson's default of 17 prints 0.1 as
 * 0.10000000000000001. */
#define REAL_PRECISION 6
/* Hex digits, enough to tell versions apart. */
#define SHORT_DIGEST_LENGTH 12

static gboolean shows_details;

static const GOptionEntry status_options[] = {
    {"details", 'd', 0, G_OPTION_ARG_NONE, &shows_details,
     "Print all fields of the responses", NULL},
    G_OPTION_ENTRY_NULL,
};

char **
Nodes_SplitAddresses(const char *list)
{
    char **addresses = g_strsplit(list, ",", -1);

    for (size_t i = 0; addresses[i] != NULL; i++) {
        g_strstrip(addresses[i]);
    }
    return addresses;
}

int64_t
Nodes_GetVersion(json_t *status)
{
    json_t *config = json_object_get(status, "config");
    json_t *version = json_object_get(config, "version");

    return json_is_integer(version) ? json_integer_value(version) : -1;
}

static void
collect_live_services(json_t *status, json_t *live, int *reported_count)
{
    json_t *services = json_object_get(status, "services"), *service;
    const char *name;

    if (!json_is_object(services)) {
        return;
    }
    ++*reported_count;
    json_object_foreach (services, name, service) {
        if (json_integer_value(json_object_get(service, "live")) > 0) {
            json_object_set_new(live, name, json_true());
        }
    }
}

int
Nodes_CollectLiveServices(bbctl_t *ctl, const char *list, json_t *live)
{
    char **addresses = Nodes_SplitAddresses(list);
    size_t count = g_strv_length(addresses);
    json_t **responses = g_new0(json_t *, count + 1);
    int reported_count = 0;

    Io_GetFromNodes(ctl, addresses, count, "/status", responses);
    for (size_t i = 0; i < count; i++) {
        collect_live_services(responses[i], live, &reported_count);
        json_decref(responses[i]);
    }
    g_free(responses);
    g_strfreev(addresses);
    return reported_count;
}

/* ---- printing ---- */

static void
print_scalar(json_t *value)
{
    if (json_is_string(value)) {
        puts(json_string_value(value));
        return;
    }
    char *text =
        json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY |
                              JSON_REAL_PRECISION(REAL_PRECISION));
    puts(text);
    free(text);
}

static int
compare_keys(const void *a, const void *b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Prints "a.b: value" lines, sorted by name. Counters that are 0 are left out:
 * a node has many counters, and most of them stay at 0. */
static void
print_tree(const char *prefix, json_t *object)
{
    size_t count = json_object_size(object), index = 0;
    const char **keys = g_new0(const char *, count + 1);
    const char *key;
    json_t *value;

    json_object_foreach (object, key, value) {
        keys[index++] = key;
    }
    qsort(keys, count, sizeof(*keys), compare_keys);
    for (size_t i = 0; i < count; i++) {
        value = json_object_get(object, keys[i]);
        char *name = g_strconcat(prefix, keys[i], NULL);
        if (json_is_object(value)) {
            char *inner = g_strconcat(name, ".", NULL);
            print_tree(inner, value);
            g_free(inner);
        }
        else if (!g_str_has_prefix(name, "counters.") ||
                 json_integer_value(value) != 0) {
            printf("  %s: ", name);
            print_scalar(value);
        }
        g_free(name);
    }
    g_free(keys);
}

static void
print_response(const char *address, json_t *response)
{
    printf("%s\n", address);
    if (json_is_object(response)) {
        print_tree("", response);
    }
    else if (response != NULL) {
        fputs("  ", stdout);
        print_scalar(response);
    }
    else {
        puts("  no answer");
    }
}

static void
print_responses(char **addresses, json_t **responses, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        print_response(addresses[i], responses[i]);
    }
}

/* Returns one field of a section of /status as a JSON string, "-" when it is
 * missing. */
static json_t *
status_cell(json_t *status, const char *section, const char *field)
{
    json_t *value = json_object_get(json_object_get(status, section), field);

    if (json_is_integer(value)) {
        return json_sprintf("%" JSON_INTEGER_FORMAT,
                            json_integer_value(value));
    }
    const char *text = json_string_value(value);
    return json_string(text != NULL && text[0] != '\0' ? text : "-");
}

static json_t *
status_line(const char *address, json_t *status)
{
    json_t *digest = status_cell(status, "config", "digest");
    json_t *line = json_pack(
        "[s,o,o,o,o,o,o]", address, status_cell(status, "config", "version"),
        json_sprintf("%.*s", SHORT_DIGEST_LENGTH, json_string_value(digest)),
        status_cell(status, "node", "data_centre"),
        status_cell(status, "target", "service"),
        status_cell(status, "target", "state"),
        status_cell(status, "peer", "live_members"));

    if (status == NULL) {
        json_array_set_new(line, 1, json_string("no answer"));
    }
    json_decref(digest);
    return line;
}

static void
print_status_table(char **addresses, json_t **responses, size_t count)
{
    static const char *const headers[] = {"NODE",        "VERSION", "DIGEST",
                                          "DATA CENTRE", "SERVICE", "TARGET",
                                          "MEMBERS",     NULL};
    json_t *lines = json_array();

    for (size_t i = 0; i < count; i++) {
        json_array_append_new(lines, status_line(addresses[i], responses[i]));
    }
    Report_Table(headers, lines);
    json_decref(lines);
}

typedef void (*print_responses_t)(char **addresses, json_t **responses,
                                  size_t count);

/* Gets one path from all nodes and prints the responses. Returns the exit
 * code, BBCTL_UNAVAILABLE when a node did not answer. */
static int
query_nodes(bbctl_t *ctl, char **addresses, size_t count, const char *path,
            print_responses_t print)
{
    json_t **responses = g_new0(json_t *, count + 1);
    json_t *object = json_object();
    int code = BBCTL_OK;

    Io_GetFromNodes(ctl, addresses, count, path, responses);
    for (size_t i = 0; i < count; i++) {
        json_object_set_new(object, addresses[i],
                            responses[i] != NULL ? json_incref(responses[i])
                                                 : json_null());
        code = responses[i] != NULL ? code : BBCTL_UNAVAILABLE;
    }
    if (!Report_Json(ctl, object)) {
        print(addresses, responses, count);
    }
    for (size_t i = 0; i < count; i++) {
        json_decref(responses[i]);
    }
    json_decref(object);
    g_free(responses);
    return code;
}

/* ---- commands ---- */

static int
run_status(bbctl_t *ctl, int argc, char **argv)
{
    return query_nodes(ctl, argv, (size_t)argc, "/status",
                       shows_details ? print_responses : print_status_table);
}

static bool
is_explain_kind(const char *text)
{
    static const char *const kinds[] = {"call", "route", "node", "version",
                                        NULL};
    return g_strv_contains((const gchar *const *)kinds, text);
}

/* Appends a KEY=VALUE argument to the query, with both parts escaped. Returns
 * false when the argument does not have this form. */
static bool
append_query(GString *path, const char *argument)
{
    const char *equals = strchr(argument, '=');

    if (equals == NULL || equals == argument) {
        return false;
    }
    char *key = g_strndup(argument, (gsize)(equals - argument));
    char *key_text = g_uri_escape_string(key, NULL, FALSE);
    char *value = g_uri_escape_string(equals + 1, NULL, FALSE);
    g_string_append_printf(path, "&%s=%s", key_text, value);
    g_free(value);
    g_free(key_text);
    g_free(key);
    return true;
}

static int
run_explain(bbctl_t *ctl, int argc, char **argv)
{
    GString *path = g_string_new("/explain?kind=");
    int code = BBCTL_OK;

    if (!is_explain_kind(argv[0])) {
        code = Report_Error(ctl, BBCTL_USAGE,
                            "unknown kind '%s': expected call, route, node or "
                            "version",
                            argv[0]);
    }
    g_string_append(path, argv[0]);
    for (int i = 2; i < argc && code == BBCTL_OK; i++) {
        if (!append_query(path, argv[i])) {
            code = Report_Error(ctl, BBCTL_USAGE,
                                "'%s' is not of the form KEY=VALUE", argv[i]);
        }
    }
    if (code == BBCTL_OK) {
        code = query_nodes(ctl, argv + 1, 1, path->str, print_responses);
    }
    g_string_free(path, TRUE);
    return code;
}

const command_t node_commands[] = {
    {"status", "ADMIN_ADDRESS...", "show the state of nodes", status_options,
     1, MAX_NODES, run_status, false},
    {"explain", "call|route|node|version ADMIN_ADDRESS [KEY=VALUE...]",
     "ask a node for an explanation; keys are name, host, path, method", NULL,
     2, 18, run_explain, false},
    {0},
};
