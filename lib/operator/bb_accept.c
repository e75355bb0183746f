#include "bb_accept.h"

#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdbool.h>
#include <string.h>
#include <time.h>

#include "bb_error.h"

/* ---- months ---- */

void
BbMonth_Format(int64_t now_ms, char *out)
{
    time_t seconds = (time_t)(now_ms / 1000);
    struct tm utc;

    gmtime_r(&seconds, &utc);
    g_snprintf(out, BB_MONTH_LENGTH + 1, "%04d-%02d", utc.tm_year + 1900,
               utc.tm_mon + 1);
}

static int64_t
month_start_ms(int year, int month)
{
    struct tm utc = {.tm_year = year - 1900, .tm_mon = month, .tm_mday = 1};

    /* timegm() normalises tm_mon 12 to January of the next year. */
    return (int64_t)timegm(&utc) * 1000;
}

int
BbMonth_GetBounds(const char *month, int64_t *begin_ms, int64_t *end_ms)
{
    int year, number;

    if (strlen(month) != BB_MONTH_LENGTH || month[4] != '-' ||
        strspn(month, "0123456789") != 4 ||
        strspn(month + 5, "0123456789") != 2) {
        return BB_ERR_ARGUMENT;
    }
    year = (int)g_ascii_strtoll(month, NULL, 10);
    number = (int)g_ascii_strtoll(month + 5, NULL, 10);
    if (number < 1 || number > 12) {
        return BB_ERR_ARGUMENT;
    }
    *begin_ms = month_start_ms(year, number - 1);
    *end_ms = month_start_ms(year, number);
    return 0;
}

/* ---- transactions ---- */

static void
begin_change(bb_change_t *change, const char *table, const char *key,
             int64_t revision, const char *write_id)
{
    memset(change, 0, sizeof(*change));
    g_strlcpy(change->table, table, sizeof(change->table));
    g_strlcpy(change->key, key, sizeof(change->key));
    g_strlcpy(change->write_id, write_id, sizeof(change->write_id));
    change->revision = revision;
    change->transaction =
        json_pack("{s:s,s:[],s:[]}", "id", write_id, "checks", "writes");
}

static void
add_check(bb_change_t *change, const char *table, const char *key,
          int64_t revision)
{
    json_array_append_new(json_object_get(change->transaction, "checks"),
                          json_pack("{s:s,s:s,s:I}", "table", table, "key",
                                    key, "revision", (json_int_t)revision));
}

static void
add_month_check(bb_change_t *change, const char *month)
{
    int64_t begin_ms = 0, end_ms = 0;

    BbMonth_GetBounds(month, &begin_ms, &end_ms);
    json_array_append_new(json_object_get(change->transaction, "checks"),
                          json_pack("{s:I,s:I}", "not_before_ms",
                                    (json_int_t)begin_ms, "before_ms",
                                    (json_int_t)end_ms));
}

/* Steals the reference to value. */
static void
add_write(bb_change_t *change, const char *table, const char *key,
          json_t *value)
{
    json_array_append_new(json_object_get(change->transaction, "writes"),
                          json_pack("{s:s,s:s,s:o}", "table", table, "key",
                                    key, "value", value));
}

void
BbAccept_FreeChange(bb_change_t *change)
{
    json_decref(change->transaction);
    json_decref(change->changed_rows);
    memset(change, 0, sizeof(*change));
}

/* ---- proposals and drafts ---- */

static const char *
text_of(json_t *object, const char *field)
{
    const char *text = json_string_value(json_object_get(object, field));
    return text != NULL ? text : "";
}

static int64_t
integer_of(json_t *object, const char *field)
{
    return json_integer_value(json_object_get(object, field));
}

int
BbAccept_MakePropose(const bb_proposal_t *proposal, bb_change_t *out)
{
    json_t *head = proposal->head.value;

    begin_change(out, "proposals", proposal->id, 0, proposal->write_id);
    add_check(out, "proposals", proposal->id, 0);
    add_write(out, "proposals", proposal->id,
              json_pack("{s:s,s:I,s:I,s:s,s:I,s:s,s:s}", "digest",
                        proposal->digest, "size", (json_int_t)proposal->size,
                        "base_version",
                        (json_int_t)integer_of(head, "version"), "base_digest",
                        text_of(head, "digest"), "created_ms",
                        (json_int_t)proposal->now_ms, "state", "open",
                        "write_id", proposal->write_id));
    return 0;
}

int
BbAccept_MakeSetOwner(const char *month, bb_row_t row, const char *owner,
                      const char *key, const char *write_id, bb_change_t *out)
{
    int64_t begin_ms, end_ms;
    size_t name_length =
        strspn(owner, "abcdefghijklmnopqrstuvwxyz0123456789-");

    if (BbMonth_GetBounds(month, &begin_ms, &end_ms) != 0 || name_length < 1 ||
        name_length > BB_MAX_NAME_LENGTH || owner[name_length] != '\0' ||
        strlen(key) != BB_KEY_HEX_LENGTH ||
        strspn(key, "0123456789abcdef") != BB_KEY_HEX_LENGTH) {
        return BB_ERR_ARGUMENT;
    }
    begin_change(out, "owners", month, row.revision, write_id);
    add_check(out, "owners", month, row.revision);
    add_write(out, "owners", month,
              json_pack("{s:s,s:s,s:s}", "owner", owner, "key", key,
                        "write_id", write_id));
    return 0;
}

int
BbAccept_MakeEditDrafts(const bb_draft_edit_t *drafts, size_t count,
                        const char *write_id, bb_change_t *out)
{
    const bb_draft_edit_t *proving_draft = &drafts[0];

    /* All rows change in one transaction, so a single row with the write_id
     * proves the commit. A row that is written is preferred to one that is
     * removed: its absence could also come from another operator's edit. */
    for (size_t i = 0; i < count && proving_draft->columns == NULL; i++) {
        proving_draft = drafts[i].columns != NULL ? &drafts[i] : proving_draft;
    }
    begin_change(out, proving_draft->table, proving_draft->name,
                 proving_draft->revision, write_id);
    out->is_delete = proving_draft->columns == NULL;
    for (size_t i = 0; i < count; i++) {
        const bb_draft_edit_t *draft = &drafts[i];
        add_check(out, draft->table, draft->name, draft->revision);
        add_write(out, draft->table, draft->name,
                  draft->columns != NULL
                      ? json_pack("{s:O,s:s}", "columns", draft->columns,
                                  "write_id", write_id)
                      : json_null());
    }
    return 0;
}

/* ---- decisions of the owner ---- */

static int
check_owner(const bb_decision_t *decision, const char *month,
            bb_findings_t *findings)
{
    unsigned char key[crypto_sign_PUBLICKEYBYTES];
    char key_text[BB_KEY_HEX_LENGTH + 1];

    if (decision->owner.value == NULL) {
        BbFindings_Add(findings, "owners", month, NULL, 0,
                       "no owner is set for this month");
        return BB_ERR_NOT_OWNER;
    }
    crypto_sign_ed25519_sk_to_pk(key, decision->secret_key);
    sodium_bin2hex(key_text, sizeof(key_text), key, sizeof(key));
    if (strcmp(text_of(decision->owner.value, "key"), key_text) != 0) {
        BbFindings_Add(findings, "owners", month, "key", 0,
                       "the key file is not that of '%s', who owns this month",
                       text_of(decision->owner.value, "owner"));
        return BB_ERR_NOT_OWNER;
    }
    return 0;
}

static int
check_open(const bb_decision_t *decision, bb_findings_t *findings)
{
    json_t *row = decision->proposal.value;
    const char *id = decision->proposal_id;
    const char *state = text_of(row, "state");

    if (row == NULL) {
        BbFindings_Add(findings, "proposals", id, NULL, 0, "no such proposal");
        return BB_ERR_NOT_FOUND;
    }
    if (strcmp(state, "open") == 0) {
        return 0;
    }
    if (strcmp(state, "accepted") == 0) {
        BbFindings_Add(findings, "proposals", id, "state", 0,
                       "already accepted as version %" PRId64,
                       integer_of(row, "version"));
    }
    else {
        BbFindings_Add(findings, "proposals", id, "state", 0,
                       "already refused: %s", text_of(row, "reason"));
    }
    return BB_ERR_CONFLICT;
}

static int
check_base(const bb_decision_t *decision, bb_findings_t *findings)
{
    json_t *row = decision->proposal.value;
    int64_t base = integer_of(row, "base_version");
    int64_t head = integer_of(decision->head.value, "version");

    if (base != head) {
        BbFindings_Add(
            findings, "proposals", decision->proposal_id, "base_version", 0,
            "made from version %" PRId64 ", but the head is version %" PRId64,
            base, head);
        return BB_ERR_CONFLICT;
    }
    return 0;
}

/* Checks common to accepting and refusing. */
static int
check_decision(const bb_decision_t *decision, const char *month,
               bb_findings_t *findings)
{
    int owner_error = check_owner(decision, month, findings);
    int open_error = check_open(decision, findings);

    return owner_error != 0 ? owner_error : open_error;
}

/* Returns a copy of the proposal's row with the decision, a new reference. */
static json_t *
make_decided_proposal(const bb_decision_t *decision, const char *state)
{
    json_t *row = json_copy(decision->proposal.value);

    json_object_set_new(row, "state", json_string(state));
    json_object_set(row, "owner",
                    json_object_get(decision->owner.value, "owner"));
    json_object_set_new(row, "write_id", json_string(decision->write_id));
    return row;
}

static void
add_decision_checks(bb_change_t *change, const bb_decision_t *decision,
                    const char *month)
{
    add_month_check(change, month);
    add_check(change, "owners", month, decision->owner.revision);
    add_check(change, "proposals", decision->proposal_id,
              decision->proposal.revision);
}

static int
build_release(const bb_decision_t *decision, const char *month,
              bb_findings_t *findings, bb_release_t *out)
{
    json_t *row = decision->proposal.value;
    json_t *head = decision->head.value;
    bb_release_t checked;

    memset(out, 0, sizeof(*out));
    out->version = integer_of(head, "version") + 1;
    out->size = integer_of(row, "size");
    g_strlcpy(out->digest, text_of(row, "digest"), sizeof(out->digest));
    g_strlcpy(out->previous_digest, text_of(head, "digest"),
              sizeof(out->previous_digest));
    g_strlcpy(out->owner, text_of(decision->owner.value, "owner"),
              sizeof(out->owner));
    g_strlcpy(out->month, month, sizeof(out->month));
    g_strlcpy(out->write_id, decision->write_id, sizeof(out->write_id));
    int error = BbRelease_Sign(out, decision->secret_key);
    json_t *object = error == 0 ? BbRelease_ToJson(out) : NULL;
    if (object == NULL || BbRelease_FromJson(object, &checked) != 0) {
        BbFindings_Add(findings, "proposals", decision->proposal_id, NULL, 0,
                       "the version record built from the proposal, head and "
                       "owner rows is malformed");
        error = BB_ERR_PARSE;
    }
    json_decref(object);
    return error;
}

static void
build_accept_change(const bb_decision_t *decision, const bb_release_t *release,
                    bb_change_t *out)
{
    char key[16];

    g_snprintf(key, sizeof(key), "%012" PRId64, release->version);
    begin_change(out, "versions", key, 0, decision->write_id);
    out->release = *release;
    add_decision_checks(out, decision, release->month);
    add_check(out, "head", "config", decision->head.revision);
    add_check(out, "versions", key, 0);
    add_write(out, "versions", key, BbRelease_ToJson(release));
    add_write(out, "head", "config", BbRelease_ToJson(release));
    json_t *row = make_decided_proposal(decision, "accepted");
    json_object_set_new(row, "version", json_integer(release->version));
    add_write(out, "proposals", decision->proposal_id, row);
}

int
BbAccept_MakeAccept(const bb_decision_t *decision, bb_findings_t *findings,
                    bb_change_t *out)
{
    char month[BB_MONTH_LENGTH + 1];
    bb_release_t release;

    memset(out, 0, sizeof(*out));
    BbMonth_Format(decision->now_ms, month);
    int error = check_decision(decision, month, findings);
    if (error == 0) {
        error = check_base(decision, findings);
    }
    if (error == 0) {
        error = build_release(decision, month, findings, &release);
    }
    if (error == 0) {
        build_accept_change(decision, &release, out);
    }
    return error;
}

int
BbAccept_MakeRefuse(const bb_decision_t *decision, const char *reason,
                    bb_findings_t *findings, bb_change_t *out)
{
    char month[BB_MONTH_LENGTH + 1];

    memset(out, 0, sizeof(*out));
    BbMonth_Format(decision->now_ms, month);
    if (reason == NULL || reason[0] == '\0' ||
        strlen(reason) > BB_MAX_REASON_LENGTH ||
        !g_utf8_validate(reason, -1, NULL)) {
        BbFindings_Add(findings, "proposals", decision->proposal_id, "reason",
                       0, "must hold 1..%d bytes of UTF-8",
                       BB_MAX_REASON_LENGTH);
        return BB_ERR_ARGUMENT;
    }
    int error = check_decision(decision, month, findings);
    if (error != 0) {
        return error;
    }
    begin_change(out, "proposals", decision->proposal_id,
                 decision->proposal.revision, decision->write_id);
    add_decision_checks(out, decision, month);
    json_t *row = make_decided_proposal(decision, "refused");
    json_object_set_new(row, "reason", json_string(reason));
    add_write(out, "proposals", decision->proposal_id, row);
    return 0;
}

/* ---- responses ---- */

/* A check without a table is the one that add_month_check() added. */
static bb_commit_result_t
classify_failed_check(json_t *check)
{
    const char *table = text_of(check, "table");

    if (table[0] == '\0') {
        return BB_COMMIT_MONTH_ENDED;
    }
    if (strcmp(table, "owners") == 0) {
        return BB_COMMIT_OWNER_CHANGED;
    }
    if (strcmp(table, "head") == 0 || strcmp(table, "versions") == 0) {
        return BB_COMMIT_HEAD_CHANGED;
    }
    return BB_COMMIT_ROW_CHANGED;
}

/* Stores the rows of all failed checks in changed_rows and, in conflict, the
 * value of the failed check that comes first in bb_commit_result_t. */
static void
record_conflicts(bb_change_t *change, json_t *response)
{
    json_t *checks = json_object_get(change->transaction, "checks");
    size_t index;
    json_t *conflict;

    json_decref(change->changed_rows);
    change->changed_rows = json_array();
    change->conflict = BB_COMMIT_ROW_CHANGED;
    json_array_foreach (json_object_get(response, "conflicts"), index,
                        conflict) {
        size_t number = (size_t)integer_of(conflict, "check");
        json_t *check = json_array_get(checks, number);
        change->conflict = MIN(change->conflict, classify_failed_check(check));
        if (json_object_get(check, "table") != NULL) {
            json_array_append_new(change->changed_rows,
                                  json_sprintf("%s/%s",
                                               text_of(check, "table"),
                                               text_of(check, "key")));
        }
    }
}

bb_commit_result_t
BbAccept_EvaluateCommit(bb_change_t *change, int error, json_t *response)
{
    switch (error) {
    case 0:
        return BB_COMMIT_DONE;
    case BB_ERR_CONFLICT:
        record_conflicts(change, response);
        return BB_COMMIT_READ_BACK;
    case BB_ERR_UNKNOWN:
        change->has_lost_response = 1;
        return BB_COMMIT_READ_BACK;
    default:
        return change->has_lost_response ? BB_COMMIT_READ_BACK
                                         : BB_COMMIT_UNAVAILABLE;
    }
}

/* True when the row read back proves that the change was committed. */
static bool
is_committed(const bb_change_t *change, int error, json_t *response)
{
    json_t *value = json_object_get(response, "value");

    if (change->is_delete) {
        return error == BB_ERR_NOT_FOUND;
    }
    return error == 0 &&
           strcmp(text_of(value, "write_id"), change->write_id) == 0;
}

bb_commit_result_t
BbAccept_EvaluateReadBack(const bb_change_t *change, int error,
                          json_t *response)
{
    if (error != 0 && error != BB_ERR_NOT_FOUND) {
        return BB_COMMIT_UNKNOWN;
    }
    if (is_committed(change, error, response)) {
        return BB_COMMIT_DONE;
    }
    if (change->conflict != BB_COMMIT_DONE) {
        return change->conflict;
    }
    int64_t revision = error == 0 ? integer_of(response, "revision") : 0;
    if (revision == change->revision) {
        return BB_COMMIT_RETRY;
    }
    return strcmp(change->table, "versions") == 0 ? BB_COMMIT_HEAD_CHANGED
                                                  : BB_COMMIT_ROW_CHANGED;
}

const char *
BbAccept_DescribeResult(bb_commit_result_t result)
{
    switch (result) {
    case BB_COMMIT_DONE:
        return "done";
    case BB_COMMIT_UNAVAILABLE:
        return "the platform does not answer; nothing was written";
    case BB_COMMIT_MONTH_ENDED:
        return "the month has changed since the rows were read; nothing was "
               "written";
    case BB_COMMIT_OWNER_CHANGED:
        return "the owner of the month has changed; nothing was written";
    case BB_COMMIT_HEAD_CHANGED:
        return "another version was accepted first; nothing was written";
    case BB_COMMIT_ROW_CHANGED:
        return "the row has been changed by another operator; nothing was "
               "written";
    default:
        return "the platform did not confirm the write; it may have taken "
               "effect: list the rows before repeating it";
    }
}
