#include "change.h"

#include <sodium.h>

#include "io.h"
#include "report.h"

/* With 2 s per request, a change is given up within about half a minute. */
#define MAX_COMMIT_ATTEMPTS 5
#define RETRY_DELAY_MS 250

void
Change_NewWriteId(char *out)
{
    unsigned char bytes[BB_WRITE_ID_HEX_LENGTH / 2];

    randombytes_buf(bytes, sizeof(bytes));
    sodium_bin2hex(out, BB_WRITE_ID_HEX_LENGTH + 1, bytes, sizeof(bytes));
}

static bb_commit_result_t
commit_once(bbctl_t *ctl, bb_change_t *change)
{
    json_t *response = NULL;
    int error = Io_Commit(ctl, change->transaction, &response);
    bb_commit_result_t result =
        BbAccept_EvaluateCommit(change, error, response);

    json_decref(response);
    return result;
}

static bb_commit_result_t
read_back(bbctl_t *ctl, const bb_change_t *change)
{
    json_t *response = NULL;
    int error = Io_GetRow(ctl, change->table, change->key, &response);
    bb_commit_result_t result =
        BbAccept_EvaluateReadBack(change, error, response);

    json_decref(response);
    return result;
}

bb_commit_result_t
Change_Commit(bbctl_t *ctl, bb_change_t *change)
{
    bb_commit_result_t result = BB_COMMIT_RETRY;

    for (int i = 0; i < MAX_COMMIT_ATTEMPTS; i++) {
        if (i > 0) {
            Io_Sleep(ctl, RETRY_DELAY_MS);
        }
        /* While the result is unknown, the change is not sent again; only the
         * row is read back. */
        if (result != BB_COMMIT_UNKNOWN) {
            result = commit_once(ctl, change);
        }
        if (result == BB_COMMIT_READ_BACK || result == BB_COMMIT_UNKNOWN) {
            result = read_back(ctl, change);
        }
        if (result != BB_COMMIT_RETRY && result != BB_COMMIT_UNKNOWN &&
            result != BB_COMMIT_UNAVAILABLE) {
            return result;
        }
    }
    return result == BB_COMMIT_RETRY ? BB_COMMIT_UNKNOWN : result;
}

static int
exit_code(bb_commit_result_t result)
{
    switch (result) {
    case BB_COMMIT_DONE:
        return BBCTL_OK;
    case BB_COMMIT_MONTH_ENDED:
    case BB_COMMIT_OWNER_CHANGED:
    case BB_COMMIT_HEAD_CHANGED:
    case BB_COMMIT_ROW_CHANGED:
        return BBCTL_CONFLICT;
    default:
        return BBCTL_UNAVAILABLE;
    }
}

int
Change_Report(const bbctl_t *ctl, const bb_change_t *change,
              bb_commit_result_t result)
{
    GString *rows = g_string_new(NULL);
    size_t index;
    json_t *row;

    json_array_foreach (change->changed_rows, index, row) {
        g_string_append_printf(rows, "%s%s", index == 0 ? " (" : ", ",
                               json_string_value(row));
    }
    if (rows->len > 0) {
        g_string_append_c(rows, ')');
    }
    int code = Report_Error(ctl, exit_code(result), "%s%s",
                            BbAccept_DescribeResult(result), rows->str);
    g_string_free(rows, TRUE);
    return code;
}
