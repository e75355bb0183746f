/* Commands accept and refuse. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "bb_accept.h"
#include "bb_error.h"
#include "bbctl.h"
#include "change.h"
#include "content.h"
#include "io.h"
#include "keyfile.h"
#include "nodes.h"
#include "report.h"

#define POLL_INTERVAL_MS 100

static char *key_path;
static char *node_list;
static char *reason;
static gint64 wait_s;

static const GOptionEntry accept_options[] = {
    {"key", 'k', 0, G_OPTION_ARG_FILENAME, &key_path,
     "Key file of the month's owner", "FILE"},
    {"wait", 'w', 0, G_OPTION_ARG_INT64, &wait_s,
     "Wait until the nodes run the version", "SECONDS"},
    {"nodes", 0, 0, G_OPTION_ARG_STRING, &node_list, "Nodes to wait for",
     "ADMIN_ADDRESS,..."},
    G_OPTION_ENTRY_NULL,
};

static const GOptionEntry refuse_options[] = {
    {"key", 'k', 0, G_OPTION_ARG_FILENAME, &key_path,
     "Key file of the month's owner", "FILE"},
    /* G_OPTION_ARG_FILENAME leaves the bytes as they are. G_OPTION_ARG_STRING
     * would convert them from the locale, which fails for UTF-8 text in the C
     * locale. */
    {"reason", 'r', 0, G_OPTION_ARG_FILENAME, &reason,
     "Why the proposal is refused", "TEXT"},
    G_OPTION_ENTRY_NULL,
};

/* Input of a decision, with the responses that own its rows. */
typedef struct {
    json_t *head;
    json_t *owner;
    json_t *proposal;
    keyfile_t key;
    char write_id[BB_WRITE_ID_HEX_LENGTH + 1];
    bb_decision_t decision;
} decision_rows_t;

static int
load_key(bbctl_t *ctl, keyfile_t *key)
{
    bb_findings_t findings;
    int code = BBCTL_OK;

    if (key_path == NULL) {
        return Report_Error(ctl, BBCTL_USAGE, "--key FILE is required");
    }
    BbFindings_Init(&findings);
    if (Keyfile_Load(key_path, key, &findings) != 0) {
        code = Report_Findings(ctl, &findings, BBCTL_FINDINGS);
    }
    BbFindings_Free(&findings);
    return code;
}

/* Reads a row that may be absent. */
static int
read_row(bbctl_t *ctl, const char *table, const char *key, json_t **response)
{
    int error = Io_GetRow(ctl, table, key, response);

    if (error != 0 && error != BB_ERR_NOT_FOUND) {
        return Report_ReadError(ctl, error, table);
    }
    return BBCTL_OK;
}

/* Reads the key and the rows. Free them with free_decision(), also after an
 * error. */
static int
load_decision(bbctl_t *ctl, const char *id, decision_rows_t *rows)
{
    char month[BB_MONTH_LENGTH + 1];
    int64_t now_ms = 0;

    memset(rows, 0, sizeof(*rows));
    int code = load_key(ctl, &rows->key);
    if (code == BBCTL_OK) {
        code = Content_ReadHead(ctl, &rows->head, &now_ms);
    }
    BbMonth_Format(now_ms, month);
    if (code == BBCTL_OK) {
        code = read_row(ctl, "owners", month, &rows->owner);
    }
    if (code == BBCTL_OK) {
        code = read_row(ctl, "proposals", id, &rows->proposal);
    }
    Change_NewWriteId(rows->write_id);
    rows->decision = (bb_decision_t){
        .now_ms = now_ms,
        .owner = Io_ExtractRow(rows->owner),
        .head = Io_ExtractRow(rows->head),
        .proposal = Io_ExtractRow(rows->proposal),
        .proposal_id = id,
        .write_id = rows->write_id,
        .secret_key = rows->key.secret_key,
    };
    return code;
}

static void
free_decision(decision_rows_t *rows)
{
    Keyfile_Wipe(&rows->key);
    json_decref(rows->head);
    json_decref(rows->owner);
    json_decref(rows->proposal);
}

/* ---- reports ---- */

/* Prints the rows that differ between the base of an open proposal and the
 * head. */
static void
print_head_changes(bbctl_t *ctl, json_t *proposal)
{
    const char *state = json_string_value(json_object_get(proposal, "state"));
    const char *digest =
        json_string_value(json_object_get(proposal, "base_digest"));
    bb_config_t *base = NULL, *head = NULL;

    if (ctl->is_json || state == NULL || strcmp(state, "open") != 0 ||
        digest == NULL || digest[0] == '\0' ||
        Content_LoadByDigest(ctl, digest, &base) != BBCTL_OK) {
        return;
    }
    if (Content_Load(ctl, "head", &head) == BBCTL_OK) {
        puts("changed from the proposal's base to the head:");
        Content_PrintDiff(base, head);
        puts("the proposal stays open; edit the tables of the head and "
             "propose again");
    }
    BbConfig_Unref(base);
    BbConfig_Unref(head);
}

static int
report_result(bbctl_t *ctl, const decision_rows_t *rows, bb_change_t *change,
              bb_commit_result_t result)
{
    if (result == BB_COMMIT_DONE) {
        return BBCTL_OK;
    }
    int code = Change_Report(ctl, change, result);
    if (result == BB_COMMIT_HEAD_CHANGED) {
        print_head_changes(ctl, rows->decision.proposal.value);
    }
    return code;
}

/* ---- accept ---- */

/* Checks that the stored content has the digest and size of the proposal.
 * Otherwise every node would refuse the accepted version. */
static int
check_content(bbctl_t *ctl, json_t *proposal)
{
    const char *digest =
        json_string_value(json_object_get(proposal, "digest"));
    bb_config_t *config = NULL;
    size_t size;

    int code =
        Content_LoadByDigest(ctl, digest != NULL ? digest : "", &config);
    if (code != BBCTL_OK) {
        return code;
    }
    BbConfig_CanonicalText(config, &size);
    if (strcmp(BbConfig_Digest(config), digest) != 0 ||
        json_integer_value(json_object_get(proposal, "size")) !=
            (json_int_t)size) {
        code = Report_Error(ctl, BBCTL_FINDINGS,
                            "the content is not in canonical form or not of "
                            "the size that the proposal names");
    }
    BbConfig_Unref(config);
    return code;
}

static int
commit_accept(bbctl_t *ctl, decision_rows_t *rows, bb_release_t *release)
{
    bb_findings_t findings;
    bb_change_t change;

    BbFindings_Init(&findings);
    int error = BbAccept_MakeAccept(&rows->decision, &findings, &change);
    int code = BBCTL_OK;
    if (error != 0) {
        code = Report_Findings(ctl, &findings, Report_ExitCode(error));
        if (error == BB_ERR_CONFLICT) {
            print_head_changes(ctl, rows->decision.proposal.value);
        }
    }
    else {
        code = check_content(ctl, rows->decision.proposal.value);
    }
    if (code == BBCTL_OK) {
        *release = change.release;
        code = report_result(ctl, rows, &change, Change_Commit(ctl, &change));
    }
    BbAccept_FreeChange(&change);
    BbFindings_Free(&findings);
    return code;
}

/* Returns how many nodes run the version or a later one, and sets behind to
 * the addresses of the others. */
static size_t
count_nodes_at_version(bbctl_t *ctl, char **nodes, size_t count,
                       int64_t version, json_t *behind)
{
    json_t **responses = g_new0(json_t *, count + 1);
    size_t updated_count = 0;

    json_array_clear(behind);
    Io_GetFromNodes(ctl, nodes, count, "/status", responses);
    for (size_t i = 0; i < count; i++) {
        if (Nodes_GetVersion(responses[i]) >= version) {
            updated_count++;
        }
        else {
            json_array_append_new(behind, json_string(nodes[i]));
        }
        json_decref(responses[i]);
    }
    g_free(responses);
    return updated_count;
}

/* Polls until all nodes run the version or --wait has passed. Prints a line
 * whenever their number changes, and returns it. */
static size_t
wait_for_nodes(bbctl_t *ctl, char **nodes, int64_t version, json_t *behind)
{
    size_t count = g_strv_length(nodes), last = count + 1, updated_count;
    gint64 start_us = g_get_monotonic_time();

    for (;;) {
        updated_count =
            count_nodes_at_version(ctl, nodes, count, version, behind);
        gint64 elapsed_us = g_get_monotonic_time() - start_us;
        if (updated_count != last && !ctl->is_json) {
            printf("%zu of %zu nodes run version %" PRId64 " after %.1f s\n",
                   updated_count, count, version,
                   (double)elapsed_us / G_USEC_PER_SEC);
            fflush(stdout);
        }
        last = updated_count;
        if (updated_count == count || elapsed_us >= wait_s * G_USEC_PER_SEC) {
            return updated_count;
        }
        Io_Sleep(ctl, POLL_INTERVAL_MS);
    }
}

static int
report_accepted(bbctl_t *ctl, const bb_release_t *release, json_t *behind)
{
    size_t index;
    json_t *node;
    json_t *object = json_pack("{s:I,s:s,s:s,s:s,s:O}", "version",
                               (json_int_t)release->version, "digest",
                               release->digest, "owner", release->owner,
                               "month", release->month, "behind", behind);

    if (!Report_Json(ctl, object)) {
        json_array_foreach (behind, index, node) {
            printf("behind: %s\n", json_string_value(node));
        }
    }
    json_decref(object);
    return json_array_size(behind) > 0 ? BBCTL_WAITING : BBCTL_OK;
}

static int
run_accept(bbctl_t *ctl, int argc, char **argv)
{
    (void)argc;
    decision_rows_t rows;
    bb_release_t release = {0};

    if (wait_s < 0 || wait_s > 3600 || (wait_s > 0 && node_list == NULL)) {
        return Report_Error(ctl, BBCTL_USAGE,
                            "--wait takes 0..3600 s and needs --nodes");
    }
    int code = load_decision(ctl, argv[0], &rows);
    if (code == BBCTL_OK) {
        code = commit_accept(ctl, &rows, &release);
    }
    free_decision(&rows);
    if (code != BBCTL_OK) {
        return code;
    }
    if (!ctl->is_json) {
        printf("version %" PRId64 " accepted, digest %s\n", release.version,
               release.digest);
        fflush(stdout);
    }
    json_t *behind = json_array();
    if (wait_s > 0) {
        char **nodes = Nodes_SplitAddresses(node_list);
        wait_for_nodes(ctl, nodes, release.version, behind);
        g_strfreev(nodes);
    }
    code = report_accepted(ctl, &release, behind);
    json_decref(behind);
    return code;
}

/* ---- refuse ---- */

static int
commit_refuse(bbctl_t *ctl, decision_rows_t *rows)
{
    bb_findings_t findings;
    bb_change_t change;
    int code;

    BbFindings_Init(&findings);
    int error =
        BbAccept_MakeRefuse(&rows->decision, reason, &findings, &change);
    if (error != 0) {
        code = Report_Findings(
            ctl, &findings,
            error == BB_ERR_ARGUMENT ? BBCTL_USAGE : Report_ExitCode(error));
    }
    else {
        code = report_result(ctl, rows, &change, Change_Commit(ctl, &change));
    }
    BbAccept_FreeChange(&change);
    BbFindings_Free(&findings);
    return code;
}

static int
run_refuse(bbctl_t *ctl, int argc, char **argv)
{
    (void)argc;
    decision_rows_t rows;
    int code = load_decision(ctl, argv[0], &rows);

    if (code == BBCTL_OK) {
        code = commit_refuse(ctl, &rows);
    }
    free_decision(&rows);
    if (code == BBCTL_OK) {
        json_t *object =
            json_pack("{s:s,s:s}", "refused", argv[0], "reason", reason);
        if (!Report_Json(ctl, object)) {
            printf("proposal %s refused: %s\n", argv[0], reason);
        }
        json_decref(object);
    }
    return code;
}

const command_t accept_commands[] = {
    {"accept", "PROPOSAL --key FILE", "accept a proposal as the next version",
     accept_options, 1, 1, run_accept, true},
    {"refuse", "PROPOSAL --key FILE --reason TEXT", "refuse a proposal",
     refuse_options, 1, 1, run_refuse, true},
    {0},
};
