#include "content.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bb_delta.h"
#include "bb_error.h"
#include "io.h"
#include "report.h"

static const char *const tables[] = {"pools", "routes"};

/* ---- sources ---- */

int
Content_ReadHead(bbctl_t *ctl, json_t **head, int64_t *now_ms)
{
    json_t *response = NULL, *row;
    size_t index;

    *head = NULL;
    /* The row is read through a list, because the response to a list holds
     * the platform's time even when the row is absent. */
    int error = Io_ListRows(ctl, "head", NULL, &response);
    if (error != 0) {
        return Report_ReadError(ctl, error, "the head");
    }
    *now_ms = json_integer_value(json_object_get(response, "now_ms"));
    json_array_foreach (json_object_get(response, "rows"), index, row) {
        const char *key = json_string_value(json_object_get(row, "key"));
        if (key != NULL && strcmp(key, "config") == 0) {
            *head = json_incref(row);
        }
    }
    json_decref(response);
    return BBCTL_OK;
}

/* Parses content and reports the findings when it is invalid. */
static int
parse_content(bbctl_t *ctl, const char *text, size_t size, bb_config_t **out)
{
    bb_findings_t findings;
    int code = BBCTL_OK;

    BbFindings_Init(&findings);
    if (BbConfig_ParseText(text, size, &findings, out) != 0) {
        code = Report_Findings(ctl, &findings, BBCTL_FINDINGS);
    }
    BbFindings_Free(&findings);
    return code;
}

int
Content_LoadByDigest(bbctl_t *ctl, const char *digest, bb_config_t **out)
{
    char *key = g_strdup_printf("configs/%s", digest);
    char actual_digest[BB_DIGEST_HEX_LENGTH + 1];
    char *text = NULL;
    size_t size = 0;

    int error = Io_GetObject(ctl, key, &text, &size);
    g_free(key);
    if (error != 0) {
        return Report_ReadError(ctl, error, "content of that digest");
    }
    BbConfig_ComputeDigest(text, size, actual_digest);
    int code = strcmp(actual_digest, digest) == 0
                   ? parse_content(ctl, text, size, out)
                   : Report_Error(ctl, BBCTL_FINDINGS,
                                  "the content stored under digest %s has "
                                  "digest %s",
                                  digest, actual_digest);
    g_free(text);
    return code;
}

/* Loads the content that the "digest" field of a row names. */
static int
load_row_content(bbctl_t *ctl, json_t *row, bb_config_t **out)
{
    const char *digest = json_string_value(json_object_get(row, "digest"));

    if (digest == NULL) {
        return Report_Error(ctl, BBCTL_FINDINGS,
                            "the row has no string 'digest'");
    }
    return Content_LoadByDigest(ctl, digest, out);
}

static int
load_head(bbctl_t *ctl, bb_config_t **out)
{
    json_t *head;
    int64_t now_ms;

    int code = Content_ReadHead(ctl, &head, &now_ms);
    if (code != BBCTL_OK) {
        return code;
    }
    code = head != NULL
               ? load_row_content(ctl, json_object_get(head, "value"), out)
               : parse_content(ctl, "{}", 2, out);
    json_decref(head);
    return code;
}

static int
load_row(bbctl_t *ctl, const char *table, const char *key,
         const char *item_name, bb_config_t **out)
{
    json_t *response = NULL;
    int error = Io_GetRow(ctl, table, key, &response);

    if (error != 0) {
        return Report_ReadError(ctl, error, item_name);
    }
    int code = load_row_content(ctl, Io_ExtractRow(response).value, out);
    json_decref(response);
    return code;
}

static int
load_file(bbctl_t *ctl, const char *path, bb_config_t **out)
{
    bb_findings_t findings;
    int code = BBCTL_OK;

    BbFindings_Init(&findings);
    if (BbConfig_LoadToml(path, &findings, out) != 0) {
        code = Report_Findings(ctl, &findings, BBCTL_FINDINGS);
    }
    BbFindings_Free(&findings);
    return code;
}

/* Adds the draft rows of one table to the document. */
static int
read_drafts(bbctl_t *ctl, const char *table, json_t *document)
{
    json_t *response = NULL, *row, *rows = json_object();
    size_t index;

    json_object_set_new(document, table, rows);
    int error = Io_ListRows(ctl, table, NULL, &response);
    if (error != 0) {
        return Report_ReadError(ctl, error, "the draft rows");
    }
    json_array_foreach (json_object_get(response, "rows"), index, row) {
        const char *name = json_string_value(json_object_get(row, "key"));
        json_t *columns =
            json_object_get(json_object_get(row, "value"), "columns");
        if (name != NULL) {
            json_object_set_new(rows, name,
                                columns != NULL ? json_incref(columns)
                                                : json_null());
        }
    }
    json_decref(response);
    return BBCTL_OK;
}

static int
parse_drafts(bbctl_t *ctl, json_t *document, bb_config_t **out)
{
    bb_findings_t findings;
    int code = BBCTL_OK;

    BbFindings_Init(&findings);
    if (BbConfig_Parse(document, &findings, out) != 0) {
        code = Report_Findings(ctl, &findings, BBCTL_FINDINGS);
    }
    BbFindings_Free(&findings);
    return code;
}

static int
load_drafts(bbctl_t *ctl, bb_config_t **out)
{
    json_t *document = json_object();
    int code = BBCTL_OK;

    for (size_t i = 0; i < 2 && code == BBCTL_OK; i++) {
        code = read_drafts(ctl, tables[i], document);
    }
    if (code == BBCTL_OK) {
        code = parse_drafts(ctl, document, out);
    }
    json_decref(document);
    return code;
}

static int
load_version(bbctl_t *ctl, const char *name, bb_config_t **out)
{
    char key[16];

    g_snprintf(key, sizeof(key), "%012" PRId64,
               g_ascii_strtoll(name, NULL, 10));
    return load_row(ctl, "versions", key, "version", out);
}

int
Content_Load(bbctl_t *ctl, const char *name, bb_config_t **out)
{
    *out = NULL;
    if (strchr(name, '/') != NULL || g_str_has_suffix(name, ".toml")) {
        return load_file(ctl, name, out);
    }
    if (strcmp(name, "head") == 0) {
        return load_head(ctl, out);
    }
    if (strcmp(name, "draft") == 0) {
        return load_drafts(ctl, out);
    }
    if (name[0] != '\0' && name[strspn(name, "0123456789")] == '\0') {
        return load_version(ctl, name, out);
    }
    if (name[0] == 'p' && strlen(name) == CONTENT_PROPOSAL_ID_LENGTH) {
        return load_row(ctl, "proposals", name, "proposal", out);
    }
    return Report_Error(ctl, BBCTL_USAGE, "'%s' is none of %s", name,
                        CONTENT_HELP);
}

/* ---- differences ---- */

static void
print_value(json_t *value)
{
    char *text = value != NULL
                     ? json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS |
                                             JSON_ENCODE_ANY)
                     : NULL;

    fputs(text != NULL ? text : "unset", stdout);
    free(text);
}

/* Prints "    column: old -> new" for each column that differs. The columns of
 * both rows are compared, since either may lack an optional column. */
static void
print_changed_columns(json_t *old_row, json_t *new_row)
{
    json_t *columns = json_copy(old_row);
    const char *column;
    json_t *value;

    json_object_update(columns, new_row);
    json_object_foreach (columns, column, value) {
        json_t *old_value = json_object_get(old_row, column);
        json_t *new_value = json_object_get(new_row, column);
        if (old_value != NULL && new_value != NULL &&
            json_equal(old_value, new_value)) {
            continue;
        }
        printf("    %s: ", column);
        print_value(old_value);
        fputs(" -> ", stdout);
        print_value(new_value);
        fputc('\n', stdout);
    }
    json_decref(columns);
}

static void
print_table_diff(const char *table, json_t *old_rows, json_t *changes)
{
    json_t *name, *row;
    const char *key;
    size_t index;

    json_array_foreach (json_object_get(changes, "remove"), index, name) {
        printf("  - %s %s\n", table, json_string_value(name));
    }
    json_object_foreach (json_object_get(changes, "set"), key, row) {
        json_t *old_row = json_object_get(old_rows, key);
        if (old_row == NULL) {
            printf("  + %s %s ", table, key);
            print_value(row);
            fputc('\n', stdout);
        }
        else {
            printf("  ~ %s %s\n", table, key);
            print_changed_columns(old_row, row);
        }
    }
}

void
Content_PrintDiff(const bb_config_t *from, const bb_config_t *to)
{
    json_t *delta = BbDelta_Make(from, to);

    if (strcmp(BbConfig_Digest(from), BbConfig_Digest(to)) == 0) {
        puts("  no difference");
    }
    for (size_t i = 0; i < 2; i++) {
        print_table_diff(tables[i],
                         json_object_get(BbConfig_Document(from), tables[i]),
                         json_object_get(delta, tables[i]));
    }
    json_decref(delta);
}
