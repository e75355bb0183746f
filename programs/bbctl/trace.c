/* Command trace: collects the log lines of all nodes about one call. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bbctl.h"

#define LINE_BYTES 8192

static gboolean shows_context;

static const GOptionEntry trace_options[] = {
    {"context", 'c', 0, G_OPTION_ARG_NONE, &shows_context,
     "Also print other events of the call's nodes around that time", NULL},
    G_OPTION_ENTRY_NULL,
};

/* With --context, events without a call are printed from this long before the
 * first line of the call to this long after its last line. */
#define CONTEXT_BEFORE_S 5.0
#define CONTEXT_AFTER_S 1.0

typedef struct {
    GPtrArray *lines;   /* json_t of every line with an event */
    GHashTable *nodes;  /* names of the nodes that handled the call */
    double first, last; /* times of the call's first and last line */
} trace_t;

static const char *
text_of(const json_t *line, const char *key)
{
    const char *text = json_string_value(json_object_get(line, key));
    return text != NULL ? text : "";
}

static double
time_of(const json_t *line)
{
    return json_number_value(json_object_get(line, "time"));
}

/* Text before the JSON object is skipped: a log collector may have put a
 * prefix there. Lines that are not events are left out. */
static void
read_line(const char *text, GPtrArray *lines)
{
    const char *start = strchr(text, '{');
    json_t *line = start != NULL ? json_loads(start, 0, NULL) : NULL;

    if (line != NULL && json_is_object(line) &&
        text_of(line, "event")[0] != '\0') {
        g_ptr_array_add(lines, line);
    }
    else {
        json_decref(line);
    }
}

static int
read_file(const char *path, GPtrArray *lines)
{
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
    char text[LINE_BYTES];

    if (file == NULL) {
        fprintf(stderr, "bbctl trace: cannot open log file %s\n", path);
        return BBCTL_FINDINGS;
    }
    while (fgets(text, sizeof(text), file) != NULL) {
        read_line(text, lines);
    }
    if (file != stdin) {
        fclose(file);
    }
    return BBCTL_OK;
}

static bool
belongs_to_call(const json_t *line, const char *id)
{
    return strcmp(text_of(line, "call"), id) == 0;
}

/* Finds the time of the first and last line of the call, and its nodes. */
static void
find_call_span(trace_t *trace, const char *id)
{
    for (guint i = 0; i < trace->lines->len; i++) {
        const json_t *line = g_ptr_array_index(trace->lines, i);
        if (!belongs_to_call(line, id)) {
            continue;
        }
        double at = time_of(line);
        trace->first = trace->first == 0 ? at : MIN(trace->first, at);
        trace->last = MAX(trace->last, at);
        g_hash_table_add(trace->nodes, g_strdup(text_of(line, "node")));
        if (text_of(line, "peer")[0] != '\0') {
            g_hash_table_add(trace->nodes, g_strdup(text_of(line, "peer")));
        }
    }
}

static bool
is_context(const trace_t *trace, const json_t *line)
{
    double at = time_of(line);

    return shows_context && json_object_get(line, "call") == NULL &&
           g_hash_table_contains(trace->nodes, text_of(line, "node")) &&
           at >= trace->first - CONTEXT_BEFORE_S &&
           at <= trace->last + CONTEXT_AFTER_S;
}

static gint
compare_time(gconstpointer a, gconstpointer b)
{
    double x = time_of(*(json_t *const *)a);
    double y = time_of(*(json_t *const *)b);

    return x < y ? -1 : x > y;
}

static void
print_line(const trace_t *trace, json_t *line)
{
    const char *key;
    json_t *value;

    printf("%+9.4f  %-24s %-16s", time_of(line) - trace->first,
           text_of(line, "node"), text_of(line, "event"));
    json_object_foreach (line, key, value) {
        if (strcmp(key, "time") == 0 || strcmp(key, "node") == 0 ||
            strcmp(key, "event") == 0 || strcmp(key, "call") == 0) {
            continue;
        }
        char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT |
                                           JSON_REAL_PRECISION(4));
        printf(" %s=%s", key, text);
        free(text);
    }
    putchar('\n');
}

static void
unref_line(gpointer line)
{
    json_decref(line);
}

static int
run_trace(bbctl_t *ctl, int argc, char **argv)
{
    trace_t trace = {
        .lines = g_ptr_array_new_with_free_func(unref_line),
        .nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    int code = BBCTL_OK;
    int shown = 0;
    (void)ctl;

    for (int i = 1; i < argc && code == BBCTL_OK; i++) {
        code = read_file(argv[i], trace.lines);
    }
    find_call_span(&trace, argv[0]);
    g_ptr_array_sort(trace.lines, compare_time);
    for (guint i = 0; i < trace.lines->len; i++) {
        json_t *line = g_ptr_array_index(trace.lines, i);
        if (belongs_to_call(line, argv[0]) || is_context(&trace, line)) {
            print_line(&trace, line);
            shown++;
        }
    }
    if (code == BBCTL_OK && shown == 0) {
        fprintf(stderr, "bbctl trace: no line names call %s\n", argv[0]);
        code = BBCTL_NOT_FOUND;
    }
    g_ptr_array_unref(trace.lines);
    g_hash_table_destroy(trace.nodes);
    return code;
}

const command_t trace_commands[] = {
    {"trace", "CALL FILE...",
     "print the log lines of all nodes about one call", trace_options, 2,
     10000, run_trace, false},
    {0},
};
