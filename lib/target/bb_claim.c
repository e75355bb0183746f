#include "bb_claim.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "bb_counters.h"
#include "bb_error.h"

/* The second insert is for a first one that was lost on its way to the
 * platform. More would only keep the slot in use during an outage. */
#define MAX_INSERTS 2

#define MAX_UNHASHED_KEY 128

/* Characters that need no quoting in a URL path. */
static const char path_safe_characters[] = "abcdefghijklmnopqrstuvwxyz"
                                           "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                           "0123456789-_.";

static bool
is_path_safe(const char *key)
{
    size_t length = strspn(key, path_safe_characters);
    return length > 0 && length <= MAX_UNHASHED_KEY && key[length] == '\0' &&
           key[0] != '.';
}

/* A key that is too long or would need quoting is replaced by its hash, with
 * '~' in front so that it cannot equal an unhashed key. */
static void
format_row_key(char *out, size_t size, const char *pool, const char *key)
{
    unsigned char hash[32];
    char hex[2 * sizeof(hash) + 1];
    if (is_path_safe(key)) {
        g_snprintf(out, size, "%s/%s", pool, key);
        return;
    }
    crypto_generichash(hash, sizeof(hash), (const unsigned char *)key,
                       strlen(key), NULL, 0);
    sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
    g_snprintf(out, size, "%s/~%s", pool, hex);
}

bb_claim_action_t
BbClaim_Start(bb_claim_t *claim, const char *pool, const char *key,
              const char *call_id, const char *write_id)
{
    memset(claim, 0, sizeof(*claim));
    format_row_key(claim->row_key, sizeof(claim->row_key), pool, key);
    g_strlcpy(claim->call_id, call_id, sizeof(claim->call_id));
    g_strlcpy(claim->write_id, write_id, sizeof(claim->write_id));
    claim->insert_count = 1;
    return BB_CLAIM_COMMIT;
}

static json_t *
make_transaction(const char *id, const char *row_key, int64_t revision,
                 json_t *value)
{
    return json_pack("{s:s, s:[{s:s, s:s, s:I}], s:[{s:s, s:s, s:o, s:I}]}",
                     "id", id, "checks", "table", BB_CLAIM_TABLE, "key",
                     row_key, "revision", (json_int_t)revision, "writes",
                     "table", BB_CLAIM_TABLE, "key", row_key, "value", value,
                     "ttl_ms", (json_int_t)BB_CLAIM_TTL_MS);
}

json_t *
BbClaim_InsertTransaction(const bb_claim_t *claim)
{
    json_t *value = json_pack("{s:s, s:s, s:s}", "write_id", claim->write_id,
                              "call", claim->call_id, "state", "running");
    return make_transaction(claim->write_id, claim->row_key, 0, value);
}

json_t *
BbClaim_EndTransaction(const bb_claim_t *claim, const char *end_id, int status)
{
    json_t *value =
        json_pack("{s:s, s:s, s:s, s:i}", "write_id", claim->write_id, "call",
                  claim->call_id, "state", "ended", "status", status);
    return make_transaction(end_id, claim->row_key, claim->revision, value);
}

json_t *
BbClaim_ReleaseTransaction(const bb_claim_t *claim, const char *release_id)
{
    return json_pack("{s:s, s:[{s:s, s:s, s:I}], s:[{s:s, s:s, s:n}]}", "id",
                     release_id, "checks", "table", BB_CLAIM_TABLE, "key",
                     claim->row_key, "revision", (json_int_t)claim->revision,
                     "writes", "table", BB_CLAIM_TABLE, "key", claim->row_key,
                     "value");
}

static bb_claim_action_t
set_response(bb_claim_t *claim, bb_reason_t reason, int status)
{
    claim->reason = reason;
    claim->status = status;
    BbReason_Count(reason);
    return BB_CLAIM_RESPOND;
}

static bb_claim_action_t
accept_row(bb_claim_t *claim, const json_t *response)
{
    const json_t *revision = json_object_get(response, "revision");
    if (!json_is_integer(revision) || json_integer_value(revision) <= 0) {
        return set_response(claim, BB_REASON_CLAIM_UNAVAILABLE, 0);
    }
    claim->revision = json_integer_value(revision);
    return BB_CLAIM_RUN;
}

bb_claim_action_t
BbClaim_OnCommit(bb_claim_t *claim, int error, json_t *response)
{
    switch (error) {
    case BB_OK:
        /* Without a revision the response does not prove that the row was
         * written. */
        if (json_is_integer(json_object_get(response, "revision"))) {
            return accept_row(claim, response);
        }
        break;
    case BB_ERR_CONFLICT: /* row of another run or of the first insert */
    case BB_ERR_UNKNOWN:
        break;
    default:
        /* This insert wrote nothing, but an earlier one may have. */
        return set_response(claim, BB_REASON_CLAIM_UNAVAILABLE, 0);
    }
    BbCounters_Add(BB_COUNTER_CLAIM_READ_BACK, 1);
    return BB_CLAIM_READ;
}

/* Answers from the row of another run of the same key. */
static bb_claim_action_t
respond_from_row(bb_claim_t *claim, const json_t *value)
{
    const char *state = json_string_value(json_object_get(value, "state"));
    const json_t *status = json_object_get(value, "status");
    if (state != NULL && strcmp(state, "ended") == 0 &&
        json_is_integer(status) && json_integer_value(status) >= 100 &&
        json_integer_value(status) <= 599) {
        return set_response(claim, BB_REASON_KEY_RAN,
                            (int)json_integer_value(status));
    }
    return set_response(claim, BB_REASON_KEY_UNKNOWN, 0);
}

bb_claim_action_t
BbClaim_OnRead(bb_claim_t *claim, int error, json_t *response)
{
    if (error == BB_ERR_NOT_FOUND && claim->insert_count < MAX_INSERTS) {
        /* Repeat with the same write id: if the first insert arrives in the
         * meantime, the next read finds this id in the row. */
        claim->insert_count++;
        return BB_CLAIM_COMMIT;
    }
    if (error != BB_OK) {
        return set_response(claim, BB_REASON_CLAIM_UNAVAILABLE, 0);
    }
    const json_t *value = json_object_get(response, "value");
    const char *write_id =
        json_string_value(json_object_get(value, "write_id"));
    if (write_id != NULL && strcmp(write_id, claim->write_id) == 0) {
        return accept_row(claim, response);
    }
    return respond_from_row(claim, value);
}
