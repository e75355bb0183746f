#include "report.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "bb_error.h"

#define COLUMN_GAP 2

bool
Report_Json(const bbctl_t *ctl, json_t *object)
{
    if (!ctl->is_json) {
        return false;
    }
    json_dumpf(object, stdout, JSON_COMPACT | JSON_SORT_KEYS);
    fputc('\n', stdout);
    return true;
}

static const char *
cell_text(json_t *row, size_t column)
{
    const char *text = json_string_value(json_array_get(row, column));
    return text != NULL ? text : "";
}

static size_t
column_width(const char *header, json_t *rows, size_t column)
{
    size_t width = (size_t)g_utf8_strlen(header, -1), index;
    json_t *row;

    json_array_foreach (rows, index, row) {
        glong length = g_utf8_strlen(cell_text(row, column), -1);
        width = MAX(width, (size_t)length);
    }
    return width;
}

/* Prints one cell; the last one of a row is not padded. */
static void
print_cell(const char *text, size_t width, bool is_last)
{
    fputs(text, stdout);
    if (is_last) {
        fputc('\n', stdout);
        return;
    }
    size_t padding = width + COLUMN_GAP - (size_t)g_utf8_strlen(text, -1);
    printf("%*s", (int)padding, "");
}

void
Report_Table(const char *const *headers, json_t *rows)
{
    size_t count = g_strv_length((gchar **)headers), index;
    size_t *widths = g_new0(size_t, count);
    json_t *row;

    for (size_t i = 0; i < count; i++) {
        widths[i] = column_width(headers[i], rows, i);
    }
    for (size_t i = 0; i < count; i++) {
        print_cell(headers[i], widths[i], i + 1 == count);
    }
    json_array_foreach (rows, index, row) {
        for (size_t i = 0; i < count; i++) {
            print_cell(cell_text(row, i), widths[i], i + 1 == count);
        }
    }
    g_free(widths);
}

static json_t *
findings_json(const bb_findings_t *findings)
{
    json_t *list = json_array();

    for (size_t i = 0; i < findings->count; i++) {
        const bb_finding_t *item = &findings->items[i];
        json_array_append_new(
            list, json_pack("{s:s,s:s,s:s,s:i,s:s}", "source", item->source,
                            "row", item->row, "column", item->column, "line",
                            item->line, "message", item->message));
    }
    return list;
}

int
Report_Findings(const bbctl_t *ctl, const bb_findings_t *findings, int code)
{
    json_t *object =
        json_pack("{s:o,s:I}", "findings", findings_json(findings), "omitted",
                  (json_int_t)findings->omitted);

    if (!Report_Json(ctl, object)) {
        BbFindings_Print(findings, stderr);
        fprintf(stderr, "bbctl %s: %zu finding%s\n", ctl->command,
                findings->count + findings->omitted,
                findings->count == 1 ? "" : "s");
    }
    json_decref(object);
    return code;
}

int
Report_Error(const bbctl_t *ctl, int code, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    char *message = g_strdup_vprintf(format, args);
    va_end(args);
    json_t *object = json_pack("{s:s}", "error", message);
    if (!Report_Json(ctl, object)) {
        fprintf(stderr, "bbctl %s: %s\n", ctl->command, message);
    }
    json_decref(object);
    g_free(message);
    return code;
}

int
Report_ReadError(const bbctl_t *ctl, int error, const char *item_name)
{
    if (error == BB_ERR_NOT_FOUND) {
        return Report_Error(ctl, BBCTL_NOT_FOUND, "no such %s", item_name);
    }
    return Report_Error(
        ctl, BBCTL_UNAVAILABLE,
        "cannot read %s: the platform at %s does not answer (%s)%s", item_name,
        ctl->platform_url, BbError_Name(error),
        ctl->is_write ? "; nothing was written" : "");
}

int
Report_ExitCode(int error)
{
    switch (error) {
    case 0:
        return BBCTL_OK;
    case BB_ERR_UNAVAILABLE:
    case BB_ERR_UNKNOWN:
    case BB_ERR_TIMEOUT:
        return BBCTL_UNAVAILABLE;
    case BB_ERR_CONFLICT:
        return BBCTL_CONFLICT;
    case BB_ERR_NOT_OWNER:
        return BBCTL_NOT_OWNER;
    case BB_ERR_NOT_FOUND:
        return BBCTL_NOT_FOUND;
    default:
        return BBCTL_FINDINGS;
    }
}
