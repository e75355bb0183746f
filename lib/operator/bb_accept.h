/*
 * bb_accept - builds the transactions that propose, accept and refuse a
 * configuration, set the owner of a month and edit draft rows
 *
 * The owner of a month holds the key that may accept or refuse proposals in
 * that month.
 *
 * The module does no I/O: the program that uses it reads the rows and sends
 * the transactions.
 *
 * USE
 *   Read the rows, call one of the BbAccept_Make*() functions, send
 *   change.transaction to the platform and pass the response to
 *   BbAccept_EvaluateCommit(). When that returns BB_COMMIT_READ_BACK, read the
 *   row change.table/change.key and pass it to BbAccept_EvaluateReadBack(). On
 *   BB_COMMIT_RETRY send the same transaction again.
 *   Call BbAccept_FreeChange() at the end.
 *
 * LOST RESPONSES
 *   A transaction whose response was lost may still be committed later.
 *   Sending it again is safe: its checks allow at most one of the copies to
 *   be committed, and a row with the write_id of the change proves that one
 *   was. A conflict may come from an earlier copy of the same transaction, so
 *   the row is read back after a conflict as well.
 *
 * UNITS
 *   Names that end in _ms are milliseconds since the Unix epoch. Months are
 *   UTC months, "YYYY-MM".
 *
 * ERRORS
 *   BbAccept_Make*() and BbMonth_GetBounds() return 0 or a code of bb_error.h.
 *
 * ROWS
 *   owners/YYYY-MM    {"owner","key","write_id"}
 *   proposals/ID      {"digest","size","base_version","base_digest",
 *                     "created_ms","state":"open|accepted|refused",
 *                     "version","owner","reason","write_id"}
 *   versions/N        the signed record of version N (bb_release.h); N has 12
 *                     digits
 *   head/config       the signed record of the version accepted last
 *   routes/NAME, pools/NAME   draft rows: {"columns":{...},"write_id"}
 */
#ifndef BB_ACCEPT_H
#define BB_ACCEPT_H

#include <jansson.h>
#include <stdint.h>

#include "bb_findings.h"
#include "bb_release.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_MAX_REASON_LENGTH 500 /* bytes; longest reason for a refusal */

/* One row as read. value is borrowed; an absent row has value NULL and
 * revision 0. */
typedef struct {
    json_t *value;
    int64_t revision;
} bb_row_t;

/* Input of an owner's decision (accept or refuse): the rows as read from the
 * platform, and the owner's key. */
typedef struct {
    int64_t now_ms; /* time of the platform's clock */
    bb_row_t owner; /* owners/YYYY-MM for now_ms */
    bb_row_t head;  /* head/config */
    bb_row_t proposal;
    const char *proposal_id;
    const char *write_id; /* random, BB_WRITE_ID_HEX_LENGTH digits */
    const unsigned char *secret_key; /* Ed25519, 64 bytes */
} bb_decision_t;

/* Result of a change. When several checks failed, it is the value of the
 * failed check that comes first in this list. */
typedef enum {
    BB_COMMIT_DONE,        /* committed */
    BB_COMMIT_READ_BACK,   /* read change.table/change.key */
    BB_COMMIT_RETRY,       /* not committed yet: send again or give up */
    BB_COMMIT_UNAVAILABLE, /* certainly not committed */
    BB_COMMIT_UNKNOWN,     /* may be committed; read back later */
    BB_COMMIT_MONTH_ENDED, /* the commit time is outside the month */
    BB_COMMIT_OWNER_CHANGED,
    BB_COMMIT_HEAD_CHANGED, /* another version was accepted first */
    BB_COMMIT_ROW_CHANGED,  /* the proposal or draft row was changed */
} bb_commit_result_t;

/* One change: its transaction and what is known about the commit. */
typedef struct {
    json_t *transaction; /* owned */
    char table[16];      /* row whose write_id proves the commit */
    char key[BB_MAX_NAME_LENGTH + 1];
    char write_id[BB_WRITE_ID_HEX_LENGTH + 1];
    int64_t revision;      /* of that row as first read, 0 when absent */
    int is_delete;         /* the row's absence proves the commit */
    int has_lost_response; /* an earlier copy may still be committed */
    bb_release_t release;  /* set by BbAccept_MakeAccept() only */
    json_t *changed_rows;  /* "TABLE/KEY" of failed checks; NULL when none */
    bb_commit_result_t conflict; /* BB_COMMIT_DONE when no check failed */
} bb_change_t;

/* ---- months ---- */

/* Writes the UTC month of now_ms as "YYYY-MM" to out, which has
 * BB_MONTH_LENGTH + 1 bytes. */
void BbMonth_Format(int64_t now_ms, char *out);

/* Sets *begin_ms to the first millisecond of the month and *end_ms to that of
 * the next month. Returns BB_ERR_ARGUMENT when the text is not a month. */
int BbMonth_GetBounds(const char *month, int64_t *begin_ms, int64_t *end_ms);

/* ---- changes ---- */

/* A new proposal. Its content is stored separately, under its digest. */
typedef struct {
    const char *id;
    const char *write_id;
    const char *digest;
    int64_t size;  /* bytes of the content */
    bb_row_t head; /* head/config that the content is based on */
    int64_t now_ms;
} bb_proposal_t;

/* Always returns 0. */
int BbAccept_MakePropose(const bb_proposal_t *proposal, bb_change_t *out);

/*
 * Both check that the secret key belongs to the owner of the month and that
 * the proposal is open; MakeAccept also checks that the proposal is based on
 * the head. Each failed check adds a finding that names the row and column.
 * Return 0, BB_ERR_NOT_OWNER, BB_ERR_NOT_FOUND (no such proposal),
 * BB_ERR_CONFLICT (already decided, or not based on the head), BB_ERR_PARSE
 * (a row is malformed) or BB_ERR_ARGUMENT (the reason is not 1 to
 * BB_MAX_REASON_LENGTH bytes of UTF-8).
 */
int BbAccept_MakeAccept(const bb_decision_t *decision, bb_findings_t *findings,
                        bb_change_t *out);
int BbAccept_MakeRefuse(const bb_decision_t *decision, const char *reason,
                        bb_findings_t *findings, bb_change_t *out);

/* Sets the owner of a month; row is the present owners/ row. key is
 * BB_KEY_HEX_LENGTH lower-case hex digits. Returns BB_ERR_ARGUMENT when month,
 * owner or key is malformed. */
int BbAccept_MakeSetOwner(const char *month, bb_row_t row, const char *owner,
                          const char *key, const char *write_id,
                          bb_change_t *out);

/* One edit of a draft row; with columns NULL the row is removed. */
typedef struct {
    const char *table; /* "routes" or "pools" */
    const char *name;
    int64_t revision; /* as read, 0 when absent */
    json_t *columns;  /* borrowed */
} bb_draft_edit_t;

/* Changes draft rows in one transaction; count is 1 or more. Always returns
 * 0. */
int BbAccept_MakeEditDrafts(const bb_draft_edit_t *drafts, size_t count,
                            const char *write_id, bb_change_t *out);

void BbAccept_FreeChange(bb_change_t *change);

/* ---- responses ---- */

/* error and response are those of BbPlatform_Commit(). After a response was
 * lost, a later BB_ERR_UNAVAILABLE does not show that nothing was committed,
 * so the result is then BB_COMMIT_READ_BACK. */
bb_commit_result_t BbAccept_EvaluateCommit(bb_change_t *change, int error,
                                           json_t *response);

/* error and response are those of BbPlatform_GetRow(). */
bb_commit_result_t BbAccept_EvaluateReadBack(const bb_change_t *change,
                                             int error, json_t *response);

/* One-line description of the result for messages to the operator. */
const char *BbAccept_DescribeResult(bb_commit_result_t result);

#ifdef __cplusplus
}
#endif

#endif
