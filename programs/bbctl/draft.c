/*
 * Commands route set/remove/list, pool set/remove/list and draft load.
 *
 * Draft rows are written with compare-and-set on the revision that this
 * command has read, or on the one given by --revision. When an edit of one row
 * is not written, because the platform does not answer or another operator has
 * changed the row, its columns are printed, so that the edit is not lost.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bb_accept.h"
#include "bb_config.h"
#include "bb_error.h"
#include "bbctl.h"
#include "change.h"
#include "content.h"
#include "io.h"
#include "report.h"

#define NO_REVISION (-1)
#define MAX_COLUMNS 16

static gint64 expected_revision = NO_REVISION;

static const GOptionEntry revision_options[] = {
    {"revision", 0, 0, G_OPTION_ARG_INT64, &expected_revision,
     "Write only when the row still has this revision", "N"},
    G_OPTION_ENTRY_NULL,
};

/* ---- arguments ---- */

static bool
is_text_column(const char *column)
{
    static const char *const columns[] = {"host",    "path_prefix", "pool",
                                          "service", "once",        NULL};
    return g_strv_contains((const gchar *const *)columns, column);
}

static json_t *
parse_list(const char *text)
{
    json_t *list = json_array();
    char **items = g_strsplit(text, ",", -1);

    for (size_t i = 0; items[i] != NULL; i++) {
        json_array_append_new(list, json_string(items[i]));
    }
    g_strfreev(items);
    return list;
}

/* Text that is not JSON becomes a string. Where the column needs another type,
 * BbConfig_CheckRow() reports it. */
static json_t *
parse_value(const char *column, const char *text)
{
    if (strcmp(column, "methods") == 0) {
        return parse_list(text);
    }
    json_t *value = NULL;
    if (!is_text_column(column)) {
        value = json_loads(text, JSON_DECODE_ANY, NULL);
    }
    return value != NULL ? value : json_string(text);
}

/* Applies COLUMN=VALUE arguments. An empty value removes the column, so that
 * its default applies. */
static int
apply_arguments(bbctl_t *ctl, json_t *columns, int argc, char **argv)
{
    for (int i = 0; i < argc; i++) {
        char *equals = strchr(argv[i], '=');
        if (equals == NULL || equals == argv[i]) {
            return Report_Error(ctl, BBCTL_USAGE,
                                "'%s' is not of the form COLUMN=VALUE",
                                argv[i]);
        }
        char *column = g_strndup(argv[i], (gsize)(equals - argv[i]));
        if (equals[1] == '\0') {
            json_object_del(columns, column);
        }
        else if (json_object_set_new(columns, column,
                                     parse_value(column, equals + 1)) != 0) {
            g_free(column);
            return Report_Error(ctl, BBCTL_USAGE, "'%s' is not valid UTF-8",
                                argv[i]);
        }
        g_free(column);
    }
    return BBCTL_OK;
}

/* ---- columns as text ---- */

/* Appends a value in the form that parse_value() reads. */
static void
append_value(GString *line, json_t *value)
{
    size_t index;
    json_t *item;

    if (json_is_string(value)) {
        g_string_append(line, json_string_value(value));
        return;
    }
    if (json_is_array(value)) {
        json_array_foreach (value, index, item) {
            const char *text = json_string_value(item);
            g_string_append_printf(line, "%s%s", index > 0 ? "," : "",
                                   text != NULL ? text : "?");
        }
        return;
    }
    char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    g_string_append(line, text);
    free(text);
}

/* Returns "column=value" of all set columns, separated by spaces. Free it with
 * g_free(). */
static char *
format_columns(json_t *columns)
{
    GString *line = g_string_new(NULL);
    const char *column;
    json_t *value;

    json_object_foreach (columns, column, value) {
        g_string_append_printf(line, "%s%s=", line->len > 0 ? " " : "",
                               column);
        append_value(line, value);
    }
    return g_string_free(line, FALSE);
}

/* ---- writes ---- */

/* Prints the columns of an edit that was not written, in the form that the
 * command takes. */
static void
print_unwritten_edit(const bbctl_t *ctl, const char *name, json_t *columns)
{
    char *text = format_columns(columns);

    fprintf(stderr, "bbctl %s: your edit of '%s' was: %s\n", ctl->command,
            name, columns != NULL ? text : "remove the row");
    g_free(text);
}

/* Prints the row as it is stored now, after another operator changed it. */
static void
print_current_row(bbctl_t *ctl, const char *table, const char *name)
{
    json_t *response = NULL;

    int error = Io_GetRow(ctl, table, name, &response);
    if (error == BB_ERR_NOT_FOUND) {
        fprintf(stderr, "bbctl %s: the row has been removed\n", ctl->command);
    }
    else if (error == 0) {
        bb_row_t row = Io_ExtractRow(response);
        char *text = format_columns(json_object_get(row.value, "columns"));
        fprintf(stderr,
                "bbctl %s: the row has revision %" PRId64 " and is: %s\n",
                ctl->command, row.revision, text);
        g_free(text);
    }
    json_decref(response);
}

static int
report_written(bbctl_t *ctl, const char *name, json_t *columns)
{
    json_t *object = json_pack("{s:s,s:O?}", "name", name, "columns", columns);

    if (!Report_Json(ctl, object)) {
        printf("%s: draft row %s\n", name,
               columns != NULL ? "set" : "removed");
    }
    json_decref(object);
    return BBCTL_OK;
}

/* Writes or, with columns NULL, removes a draft row. */
static int
write_row(bbctl_t *ctl, const char *table, const char *name, bb_row_t row,
          json_t *columns)
{
    char write_id[BB_WRITE_ID_HEX_LENGTH + 1];
    bb_change_t change;

    bb_draft_edit_t draft = {
        .table = table,
        .name = name,
        .revision = expected_revision != NO_REVISION ? expected_revision
                                                     : row.revision,
        .columns = columns,
    };
    Change_NewWriteId(write_id);
    BbAccept_MakeEditDrafts(&draft, 1, write_id, &change);
    bb_commit_result_t result = Change_Commit(ctl, &change);
    int code = result == BB_COMMIT_DONE ? report_written(ctl, name, columns)
                                        : Change_Report(ctl, &change, result);
    if (result != BB_COMMIT_DONE) {
        print_unwritten_edit(ctl, name, columns);
    }
    if (result == BB_COMMIT_ROW_CHANGED) {
        print_current_row(ctl, table, name);
    }
    BbAccept_FreeChange(&change);
    return code;
}

static int
check_and_write(bbctl_t *ctl, const char *table, const char *name,
                bb_row_t row, json_t *columns)
{
    bb_findings_t findings;
    json_t *canonical;
    int code;

    BbFindings_Init(&findings);
    if (BbConfig_CheckRow(table, name, columns, &findings, &canonical) != 0) {
        code = Report_Findings(ctl, &findings, BBCTL_FINDINGS);
    }
    else {
        code = write_row(ctl, table, name, row, columns);
        json_decref(canonical);
    }
    BbFindings_Free(&findings);
    return code;
}

static int
set_row(bbctl_t *ctl, const char *table, int argc, char **argv)
{
    json_t *response = NULL;
    int error = Io_GetRow(ctl, table, argv[0], &response);

    json_t *old = json_object_get(Io_ExtractRow(response).value, "columns");
    json_t *columns = old != NULL ? json_copy(old) : json_object();
    int code = apply_arguments(ctl, columns, argc - 1, argv + 1);
    if (code == BBCTL_OK && error != 0 && error != BB_ERR_NOT_FOUND) {
        code = Report_ReadError(ctl, error, "the draft row");
        print_unwritten_edit(ctl, argv[0], columns);
    }
    else if (code == BBCTL_OK) {
        code = check_and_write(ctl, table, argv[0], Io_ExtractRow(response),
                               columns);
    }
    json_decref(columns);
    json_decref(response);
    return code;
}

static int
remove_row(bbctl_t *ctl, const char *table, const char *name)
{
    json_t *response = NULL;
    int error = Io_GetRow(ctl, table, name, &response);

    if (error != 0) {
        return Report_ReadError(ctl, error, "draft row");
    }
    int code = write_row(ctl, table, name, Io_ExtractRow(response), NULL);
    json_decref(response);
    return code;
}

/* ---- lists ---- */

static int
list_rows(bbctl_t *ctl, const char *table)
{
    static const char *const headers[] = {"NAME", "REVISION", "COLUMNS", NULL};
    json_t *response = NULL, *row, *lines = json_array();
    size_t index;

    int error = Io_ListRows(ctl, table, NULL, &response);
    if (error != 0) {
        json_decref(lines);
        return Report_ReadError(ctl, error, "the draft rows");
    }
    json_array_foreach (json_object_get(response, "rows"), index, row) {
        json_t *value = json_object_get(row, "value");
        char *columns = format_columns(json_object_get(value, "columns"));
        json_array_append_new(
            lines, json_pack("[O,o,s]", json_object_get(row, "key"),
                             json_sprintf("%" JSON_INTEGER_FORMAT,
                                          json_integer_value(json_object_get(
                                              row, "revision"))),
                             columns));
        g_free(columns);
    }
    if (!Report_Json(ctl, response)) {
        Report_Table(headers, lines);
    }
    json_decref(lines);
    json_decref(response);
    return BBCTL_OK;
}

/* ---- load ---- */

/* Adds the edits that turn the draft rows of one table into those of the
 * document. Rows that are equal need no edit. */
static void
collect_edits(const char *table, json_t *rows, json_t *response, GArray *edits)
{
    json_t *existing_names = json_object(), *row, *columns;
    const char *name;
    size_t index;

    json_array_foreach (json_object_get(response, "rows"), index, row) {
        bb_draft_edit_t edit = {
            .table = table,
            .name = json_string_value(json_object_get(row, "key")),
            .revision = Io_ExtractRow(row).revision,
        };
        json_t *old = json_object_get(Io_ExtractRow(row).value, "columns");
        edit.columns = json_object_get(rows, edit.name);
        json_object_set_new(existing_names, edit.name, json_true());
        if (edit.columns == NULL || old == NULL ||
            !json_equal(old, edit.columns)) {
            g_array_append_val(edits, edit);
        }
    }
    json_object_foreach (rows, name, columns) {
        bb_draft_edit_t edit = {table, name, 0, columns};
        if (json_object_get(existing_names, name) == NULL) {
            g_array_append_val(edits, edit);
        }
    }
    json_decref(existing_names);
}

static int
write_edits(bbctl_t *ctl, const GArray *edits)
{
    char write_id[BB_WRITE_ID_HEX_LENGTH + 1];
    bb_change_t change = {0};
    int code = BBCTL_OK;

    if (edits->len > 0) {
        Change_NewWriteId(write_id);
        BbAccept_MakeEditDrafts(
            (const bb_draft_edit_t *)(const void *)edits->data, edits->len,
            write_id, &change);
        bb_commit_result_t result = Change_Commit(ctl, &change);
        if (result != BB_COMMIT_DONE) {
            code = Change_Report(ctl, &change, result);
        }
    }
    if (code == BBCTL_OK) {
        json_t *object = json_pack("{s:I}", "changed", (json_int_t)edits->len);
        if (!Report_Json(ctl, object)) {
            printf("%u draft rows changed\n", edits->len);
        }
        json_decref(object);
    }
    BbAccept_FreeChange(&change);
    return code;
}

static int
run_draft_load(bbctl_t *ctl, int argc, char **argv)
{
    (void)argc;
    static const char *const tables[] = {"pools", "routes"};
    json_t *responses[2] = {NULL, NULL};
    GArray *edits = g_array_new(FALSE, FALSE, sizeof(bb_draft_edit_t));
    bb_config_t *config = NULL;

    int code = Content_Load(ctl, argv[0], &config);
    for (size_t i = 0; i < 2 && code == BBCTL_OK; i++) {
        int error = Io_ListRows(ctl, tables[i], NULL, &responses[i]);
        if (error != 0) {
            code = Report_ReadError(ctl, error, "the draft rows");
            break;
        }
        collect_edits(tables[i],
                      json_object_get(BbConfig_Document(config), tables[i]),
                      responses[i], edits);
    }
    if (code == BBCTL_OK) {
        code = write_edits(ctl, edits);
    }
    g_array_free(edits, TRUE);
    json_decref(responses[0]);
    json_decref(responses[1]);
    BbConfig_Unref(config);
    return code;
}

/* ---- commands ---- */

static int
run_route_set(bbctl_t *ctl, int argc, char **argv)
{
    return set_row(ctl, "routes", argc, argv);
}

static int
run_route_remove(bbctl_t *ctl, int argc, char **argv)
{
    (void)argc;
    return remove_row(ctl, "routes", argv[0]);
}

static int
run_route_list(bbctl_t *ctl, int argc, char **argv)
{
    (void)argc;
    (void)argv;
    return list_rows(ctl, "routes");
}

static int
run_pool_set(bbctl_t *ctl, int argc, char **argv)
{
    return set_row(ctl, "pools", argc, argv);
}

static int
run_pool_remove(bbctl_t *ctl, int argc, char **argv)
{
    (void)argc;
    return remove_row(ctl, "pools", argv[0]);
}

static int
run_pool_list(bbctl_t *ctl, int argc, char **argv)
{
    (void)argc;
    (void)argv;
    return list_rows(ctl, "pools");
}

const command_t draft_commands[] = {
    {"route set", "NAME COLUMN=VALUE...", "edit a draft row of routes",
     revision_options, 2, 1 + MAX_COLUMNS, run_route_set, true},
    {"route remove", "NAME", "remove a draft row of routes", revision_options,
     1, 1, run_route_remove, true},
    {"route list", "", "list the draft rows of routes", NULL, 0, 0,
     run_route_list, false},
    {"pool set", "NAME COLUMN=VALUE...", "edit a draft row of pools",
     revision_options, 2, 1 + MAX_COLUMNS, run_pool_set, true},
    {"pool remove", "NAME", "remove a draft row of pools", revision_options, 1,
     1, run_pool_remove, true},
    {"pool list", "", "list the draft rows of pools", NULL, 0, 0,
     run_pool_list, false},
    {"draft load", CONTENT_HELP,
     "make the draft rows equal to the given tables", NULL, 1, 1,
     run_draft_load, true},
    {0},
};
