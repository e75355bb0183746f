/* Commands history and proposals. */
#include <inttypes.h>
#include <stdio.h>

#include "bb_error.h"
#include "bb_release.h"
#include "bbctl.h"
#include "io.h"
#include "report.h"

/* Adds one line with the given fields of the row's value. */
static void
add_line(json_t *lines, json_t *row, const char *const *fields)
{
    json_t *value = json_object_get(row, "value");
    json_t *line = json_array();

    for (size_t i = 0; fields[i] != NULL; i++) {
        json_t *cell = json_object_get(value, fields[i]);
        if (json_is_integer(cell)) {
            json_array_append_new(line,
                                  json_sprintf("%" JSON_INTEGER_FORMAT,
                                               json_integer_value(cell)));
        }
        else {
            const char *text = json_string_value(cell);
            json_array_append_new(line,
                                  json_string(text != NULL ? text : "-"));
        }
    }
    json_array_append_new(lines, line);
}

static int
list_table(bbctl_t *ctl, const char *table, const char *const *headers,
           const char *const *fields, bool has_key)
{
    json_t *response = NULL, *row, *lines = json_array();
    size_t index;

    int error = Io_ListRows(ctl, table, NULL, &response);
    if (error != 0) {
        json_decref(lines);
        return Report_ReadError(ctl, error, table);
    }
    json_array_foreach (json_object_get(response, "rows"), index, row) {
        add_line(lines, row, fields);
        if (has_key) {
            json_array_insert(json_array_get(lines, index), 0,
                              json_object_get(row, "key"));
        }
    }
    if (!Report_Json(ctl, response)) {
        Report_Table(headers, lines);
    }
    json_decref(lines);
    json_decref(response);
    return BBCTL_OK;
}

static int
run_history(bbctl_t *ctl, int argc, char **argv)
{
    (void)argc;
    (void)argv;
    static const char *const headers[] = {"VERSION", "MONTH",  "OWNER",
                                          "BYTES",   "DIGEST", NULL};
    static const char *const fields[] = {"version", "month",  "owner",
                                         "size",    "digest", NULL};
    return list_table(ctl, "versions", headers, fields, false);
}

static int
run_proposals(bbctl_t *ctl, int argc, char **argv)
{
    (void)argc;
    (void)argv;
    static const char *const headers[] = {
        "PROPOSAL", "STATE", "BASE", "VERSION", "OWNER", "REASON", NULL};
    static const char *const fields[] = {"state", "base_version", "version",
                                         "owner", "reason",       NULL};
    return list_table(ctl, "proposals", headers, fields, true);
}

const command_t version_commands[] = {
    {"history", "", "list the accepted versions", NULL, 0, 0, run_history,
     false},
    {"proposals", "", "list proposals and their state", NULL, 0, 0,
     run_proposals, false},
    {0},
};
