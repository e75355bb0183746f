/* Commands key, owner set, owner list and check. */
#include <limits.h>
#include <stdio.h>
#include <string.h>

#include "bb_accept.h"
#include "bb_config.h"
#include "bb_error.h"
#include "bbctl.h"
#include "change.h"
#include "io.h"
#include "keyfile.h"
#include "report.h"

static gboolean shows_existing;

static const GOptionEntry key_options[] = {
    {"show", 0, 0, G_OPTION_ARG_NONE, &shows_existing,
     "Print the public key of an existing file", NULL},
    G_OPTION_ENTRY_NULL,
};

static int
run_key(bbctl_t *ctl, int argc, char **argv)
{
    (void)argc;
    bb_findings_t findings;
    keyfile_t key;

    BbFindings_Init(&findings);
    int error = shows_existing ? Keyfile_Load(argv[0], &key, &findings)
                               : Keyfile_Create(argv[0], &key, &findings);
    if (error != 0) {
        error = Report_Findings(ctl, &findings, BBCTL_FINDINGS);
    }
    else {
        json_t *object = json_pack("{s:s}", "public_key", key.public_key);
        if (!Report_Json(ctl, object)) {
            printf("%s\n", key.public_key);
        }
        json_decref(object);
    }
    Keyfile_Wipe(&key);
    BbFindings_Free(&findings);
    return error;
}

static int
write_owner(bbctl_t *ctl, char **argv, bb_row_t row)
{
    char write_id[BB_WRITE_ID_HEX_LENGTH + 1];
    bb_change_t change;

    Change_NewWriteId(write_id);
    if (BbAccept_MakeSetOwner(argv[0], row, argv[1], argv[2], write_id,
                              &change) != 0) {
        return Report_Error(ctl, BBCTL_USAGE,
                            "MONTH must be YYYY-MM, OWNER a name of the form "
                            "[a-z0-9-]{1,%d} and PUBKEY %d hex digits",
                            BB_MAX_NAME_LENGTH, BB_KEY_HEX_LENGTH);
    }
    int code = BBCTL_OK;
    bb_commit_result_t result = Change_Commit(ctl, &change);
    if (result != BB_COMMIT_DONE) {
        code = Change_Report(ctl, &change, result);
    }
    else {
        json_t *object =
            json_pack("{s:s,s:s}", "month", argv[0], "owner", argv[1]);
        if (!Report_Json(ctl, object)) {
            printf("%s owns %s\n", argv[1], argv[0]);
        }
        json_decref(object);
    }
    BbAccept_FreeChange(&change);
    return code;
}

static int
run_owner_set(bbctl_t *ctl, int argc, char **argv)
{
    (void)argc;
    json_t *response = NULL;
    int error = Io_GetRow(ctl, "owners", argv[0], &response);

    if (error != 0 && error != BB_ERR_NOT_FOUND) {
        return Report_ReadError(ctl, error, "the owners table");
    }
    int code = write_owner(ctl, argv, Io_ExtractRow(response));
    json_decref(response);
    return code;
}

static int
run_owner_list(bbctl_t *ctl, int argc, char **argv)
{
    (void)argc;
    (void)argv;
    static const char *const headers[] = {"MONTH", "OWNER", "KEY", NULL};
    json_t *response = NULL, *row, *lines = json_array();
    size_t index;

    int error = Io_ListRows(ctl, "owners", NULL, &response);
    if (error != 0) {
        json_decref(lines);
        return Report_ReadError(ctl, error, "the owners table");
    }
    json_array_foreach (json_object_get(response, "rows"), index, row) {
        json_t *value = json_object_get(row, "value");
        json_array_append_new(lines, json_pack("[O,O*,O*]",
                                               json_object_get(row, "key"),
                                               json_object_get(value, "owner"),
                                               json_object_get(value, "key")));
    }
    if (!Report_Json(ctl, response)) {
        Report_Table(headers, lines);
    }
    json_decref(lines);
    json_decref(response);
    return BBCTL_OK;
}

static int
run_check(bbctl_t *ctl, int argc, char **argv)
{
    (void)argc;
    bb_findings_t findings;
    bb_config_t *config;

    BbFindings_Init(&findings);
    if (BbConfig_LoadToml(argv[0], &findings, &config) != 0) {
        int code = Report_Findings(ctl, &findings, BBCTL_FINDINGS);
        BbFindings_Free(&findings);
        return code;
    }
    json_t *object =
        json_pack("{s:s,s:I,s:I}", "digest", BbConfig_Digest(config), "routes",
                  (json_int_t)BbConfig_RouteCount(config), "pools",
                  (json_int_t)BbConfig_PoolCount(config));
    if (!Report_Json(ctl, object)) {
        printf("%zu routes, %zu pools, %zu services: no findings\n"
               "digest %s\n",
               BbConfig_RouteCount(config), BbConfig_PoolCount(config),
               BbConfig_ServiceCount(config), BbConfig_Digest(config));
    }
    json_decref(object);
    BbConfig_Unref(config);
    return BBCTL_OK;
}

const command_t key_commands[] = {
    {"key", "FILE", "make an owner key, print its public key", key_options, 1,
     1, run_key, false},
    {"owner set", "MONTH OWNER PUBKEY", "set the owner of a month", NULL, 3, 3,
     run_owner_set, true},
    {"owner list", "", "list months and owners", NULL, 0, 0, run_owner_list,
     false},
    {"check", "FILE", "check the tables of a TOML file", NULL, 1, 1, run_check,
     false},
    {0},
};
