/* Commands propose and diff. */
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "bb_accept.h"
#include "bb_delta.h"
#include "bb_error.h"
#include "bbctl.h"
#include "change.h"
#include "content.h"
#include "io.h"
#include "nodes.h"
#include "report.h"

#define NO_BASE (-1)

static gint64 base_version = NO_BASE;
static char *node_list;

static const GOptionEntry propose_options[] = {
    {"base", 0, 0, G_OPTION_ARG_INT64, &base_version,
     "Version that the tables were edited from; refused when it is not the "
     "head",
     "N"},
    {"nodes", 0, 0, G_OPTION_ARG_STRING, &node_list,
     "Warn of services without a live target on these nodes",
     "ADMIN_ADDRESS,..."},
    G_OPTION_ENTRY_NULL,
};

/* ---- warnings ---- */

static bool
has_route(const bb_config_t *config, const bb_pool_t *pool)
{
    for (size_t i = 0; i < BbConfig_RouteCount(config); i++) {
        if (BbConfig_Route(config, i)->pool == pool) {
            return true;
        }
    }
    return false;
}

static void
warn_pools_without_route(const bb_config_t *config, json_t *warnings)
{
    for (size_t i = 0; i < BbConfig_PoolCount(config); i++) {
        const bb_pool_t *pool = BbConfig_Pool(config, i);
        if (!has_route(config, pool)) {
            json_array_append_new(
                warnings, json_sprintf("pools: %s: no route names this pool",
                                       pool->name));
        }
    }
}

static void
warn_removed_routes(const bb_config_t *head, const bb_config_t *config,
                    json_t *warnings)
{
    json_t *delta = BbDelta_Make(head, config), *name;
    json_t *routes = json_object_get(delta, "routes");
    size_t index;

    json_array_foreach (json_object_get(routes, "remove"), index, name) {
        json_array_append_new(
            warnings, json_sprintf("routes: %s: in the head, not in this "
                                   "proposal",
                                   json_string_value(name)));
    }
    json_decref(delta);
}

/* Warns of each service that has no live target on any node that answered. */
static void
warn_services_without_target(bbctl_t *ctl, const bb_config_t *config,
                             json_t *warnings)
{
    json_t *live = json_object();
    int reported_count = Nodes_CollectLiveServices(ctl, node_list, live);

    if (reported_count == 0) {
        json_array_append_new(
            warnings, json_string("services: no node reported which services "
                                  "have live targets"));
    }
    for (size_t i = 0; reported_count > 0 && i < BbConfig_ServiceCount(config);
         i++) {
        const char *name = BbConfig_Service(config, i)->name;
        if (json_object_get(live, name) == NULL) {
            json_array_append_new(
                warnings, json_sprintf("services: %s: no live target; calls "
                                       "will be refused (no_live_target)",
                                       name));
        }
    }
    json_decref(live);
}

static json_t *
collect_warnings(bbctl_t *ctl, const bb_config_t *head,
                 const bb_config_t *config)
{
    json_t *warnings = json_array();

    if (strcmp(BbConfig_Digest(head), BbConfig_Digest(config)) == 0) {
        json_array_append_new(warnings,
                              json_string("the tables equal the head"));
    }
    if (BbConfig_RouteCount(config) == 0) {
        json_array_append_new(warnings,
                              json_string("the tables hold no route"));
    }
    warn_pools_without_route(config, warnings);
    warn_removed_routes(head, config, warnings);
    if (node_list != NULL) {
        warn_services_without_target(ctl, config, warnings);
    }
    return warnings;
}

/* ---- propose ---- */

/* State of one run of the command propose. */
typedef struct {
    json_t *head_row; /* owned; NULL before the first version */
    int64_t now_ms;
    bb_config_t *head;
    bb_config_t *config;
    char id[CONTENT_PROPOSAL_ID_LENGTH + 1];
} propose_state_t;

/* Proposal ids begin with a letter, so that Content_Load() cannot take one for
 * a version number. */
static void
new_proposal_id(char *out)
{
    unsigned char bytes[CONTENT_PROPOSAL_ID_LENGTH / 2];
    char text[CONTENT_PROPOSAL_ID_LENGTH + 1];

    randombytes_buf(bytes, sizeof(bytes));
    sodium_bin2hex(text, sizeof(text), bytes, sizeof(bytes));
    out[0] = 'p';
    memcpy(out + 1, text, CONTENT_PROPOSAL_ID_LENGTH - 1);
    out[CONTENT_PROPOSAL_ID_LENGTH] = '\0';
}

static int64_t
head_version(const propose_state_t *proposal)
{
    return json_integer_value(json_object_get(
        json_object_get(proposal->head_row, "value"), "version"));
}

static int
read_head(bbctl_t *ctl, propose_state_t *proposal)
{
    int code = Content_ReadHead(ctl, &proposal->head_row, &proposal->now_ms);

    if (code != BBCTL_OK) {
        return code;
    }
    if (proposal->head_row == NULL) {
        bb_findings_t findings;
        BbFindings_Init(&findings);
        BbConfig_ParseText("{}", 2, &findings, &proposal->head);
        BbFindings_Free(&findings);
        return BBCTL_OK;
    }
    const char *digest = json_string_value(json_object_get(
        json_object_get(proposal->head_row, "value"), "digest"));
    return Content_LoadByDigest(ctl, digest != NULL ? digest : "",
                                &proposal->head);
}

/* Reports that the head is not version --base, with the rows that changed
 * since that version. */
static int
report_head_mismatch(bbctl_t *ctl, const propose_state_t *proposal)
{
    char name[24];
    bb_config_t *base = NULL;
    int code = Report_Error(ctl, BBCTL_CONFLICT,
                            "the head is version %" PRId64 ", not %" PRId64
                            "; nothing was written",
                            head_version(proposal), (int64_t)base_version);

    g_snprintf(name, sizeof(name), "%" PRId64, (int64_t)base_version);
    if (!ctl->is_json && base_version > 0 &&
        Content_Load(ctl, name, &base) == BBCTL_OK) {
        printf("changed from version %s to the head:\n", name);
        Content_PrintDiff(base, proposal->head);
        BbConfig_Unref(base);
    }
    return code;
}

static int
store_content(bbctl_t *ctl, const bb_config_t *config)
{
    size_t size;
    const char *text = BbConfig_CanonicalText(config, &size);
    char *key = g_strdup_printf("configs/%s", BbConfig_Digest(config));
    int error = Io_PutObject(ctl, key, text, size);

    g_free(key);
    if (error == 0) {
        return BBCTL_OK;
    }
    if (error == BB_ERR_CONFLICT) {
        return Report_Error(ctl, BBCTL_FINDINGS,
                            "other content is stored under digest %s",
                            BbConfig_Digest(config));
    }
    return Report_Error(ctl, BBCTL_UNAVAILABLE,
                        "cannot store the content: the platform at %s does "
                        "not answer (%s); no proposal was written",
                        ctl->platform_url, BbError_Name(error));
}

static int
write_proposal(bbctl_t *ctl, propose_state_t *proposal)
{
    char write_id[BB_WRITE_ID_HEX_LENGTH + 1];
    bb_change_t change;
    size_t size;

    BbConfig_CanonicalText(proposal->config, &size);
    new_proposal_id(proposal->id);
    Change_NewWriteId(write_id);
    bb_proposal_t row = {
        .id = proposal->id,
        .write_id = write_id,
        .digest = BbConfig_Digest(proposal->config),
        .size = (int64_t)size,
        .head = Io_ExtractRow(proposal->head_row),
        .now_ms = proposal->now_ms,
    };
    BbAccept_MakePropose(&row, &change);
    bb_commit_result_t result = Change_Commit(ctl, &change);
    int code = result == BB_COMMIT_DONE ? BBCTL_OK
                                        : Change_Report(ctl, &change, result);
    BbAccept_FreeChange(&change);
    return code;
}

static void
print_proposal(bbctl_t *ctl, const propose_state_t *proposal)
{
    json_t *warnings = collect_warnings(ctl, proposal->head, proposal->config);
    json_t *object =
        json_pack("{s:s,s:s,s:I,s:O}", "proposal", proposal->id, "digest",
                  BbConfig_Digest(proposal->config), "base_version",
                  (json_int_t)head_version(proposal), "warnings", warnings);
    size_t index;
    json_t *warning;

    if (!Report_Json(ctl, object)) {
        printf("proposal %s\ndigest   %s\nagainst version %" PRId64 ":\n",
               proposal->id, BbConfig_Digest(proposal->config),
               head_version(proposal));
        Content_PrintDiff(proposal->head, proposal->config);
        json_array_foreach (warnings, index, warning) {
            printf("warning: %s\n", json_string_value(warning));
        }
    }
    json_decref(object);
    json_decref(warnings);
}

static int
run_propose(bbctl_t *ctl, int argc, char **argv)
{
    propose_state_t proposal = {0};
    int code =
        Content_Load(ctl, argc > 0 ? argv[0] : "draft", &proposal.config);

    if (code == BBCTL_OK) {
        code = read_head(ctl, &proposal);
    }
    if (code == BBCTL_OK && base_version != NO_BASE &&
        base_version != head_version(&proposal)) {
        code = report_head_mismatch(ctl, &proposal);
    }
    if (code == BBCTL_OK) {
        code = store_content(ctl, proposal.config);
    }
    if (code == BBCTL_OK) {
        code = write_proposal(ctl, &proposal);
    }
    if (code == BBCTL_OK) {
        print_proposal(ctl, &proposal);
    }
    BbConfig_Unref(proposal.head);
    BbConfig_Unref(proposal.config);
    json_decref(proposal.head_row);
    return code;
}

/* ---- diff ---- */

static int
run_diff(bbctl_t *ctl, int argc, char **argv)
{
    const char *from_name = argc > 1 ? argv[0] : "head";
    const char *to_name = argc > 0 ? argv[argc - 1] : "draft";
    bb_config_t *from = NULL, *to = NULL;
    int code = Content_Load(ctl, from_name, &from);

    if (code == BBCTL_OK) {
        code = Content_Load(ctl, to_name, &to);
    }
    if (code == BBCTL_OK) {
        json_t *delta = BbDelta_Make(from, to);
        if (!Report_Json(ctl, delta)) {
            printf("from %s to %s:\n", from_name, to_name);
            Content_PrintDiff(from, to);
        }
        json_decref(delta);
    }
    BbConfig_Unref(from);
    BbConfig_Unref(to);
    return code;
}

const command_t propose_commands[] = {
    {"propose", "[" CONTENT_HELP "]", "propose tables (default draft)",
     propose_options, 0, 1, run_propose, true},
    {"diff", "[[FROM] TO]", "show the rows that differ", NULL, 0, 2, run_diff,
     false},
    {0},
};
