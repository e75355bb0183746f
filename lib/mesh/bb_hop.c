#include "bb_hop.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "bb_error.h"

enum {
    FIELD_SERVICE,
    FIELD_CALLER,
    FIELD_CLASS,
    FIELD_DEADLINE,
    FIELD_LATENCY,
    FIELD_DUE_IN,
    FIELD_RANK,
    FIELD_ONCE,
    FIELD_LENGTH,
    FIELD_COUNT,
    FIELD_DIGEST = FIELD_COUNT,
    FIELD_ACCOUNT, /* last, since it may contain commas */
    FIELD_COUNT_WITH_ACCOUNT,
};

char *
BbHop_Format(const bb_hop_call_t *hop)
{
    char *text = g_strdup_printf(
        "%s,%s,%s,%d,%d,%d,%d,%d,%" PRId64, hop->service, hop->caller_service,
        hop->class_name, hop->deadline_ms, hop->latency_ms, hop->due_in_ms,
        hop->rank, hop->is_at_most_once ? 1 : 0, hop->content_length);

    if (hop->account == NULL) {
        return text;
    }
    char *with_account = g_strdup_printf("%s,%" PRIx64 ",%s", text,
                                         hop->key_digest, hop->account);
    g_free(text);
    return with_account;
}

static bool
parse_int(const char *text, int *out)
{
    char *end;

    *out = (int)strtol(text, &end, 10);
    return end != text && *end == '\0';
}

int
BbHop_Parse(const char *text, bb_hop_call_t *out)
{
    int once = 0;

    memset(out, 0, sizeof(*out));
    if (text == NULL) {
        return BB_ERR_PARSE;
    }
    char **fields = g_strsplit(text, ",", FIELD_COUNT_WITH_ACCOUNT);
    guint count = g_strv_length(fields);
    bool is_valid =
        (count == FIELD_COUNT || count == FIELD_COUNT_WITH_ACCOUNT) &&
        fields[FIELD_SERVICE][0] != '\0' &&
        parse_int(fields[FIELD_DEADLINE], &out->deadline_ms) &&
        parse_int(fields[FIELD_LATENCY], &out->latency_ms) &&
        parse_int(fields[FIELD_DUE_IN], &out->due_in_ms) &&
        parse_int(fields[FIELD_RANK], &out->rank) &&
        parse_int(fields[FIELD_ONCE], &once) &&
        fields[FIELD_LENGTH][0] != '\0';
    if (is_valid) {
        out->service = g_strdup(fields[FIELD_SERVICE]);
        out->caller_service = g_strdup(fields[FIELD_CALLER]);
        out->class_name = g_strdup(fields[FIELD_CLASS]);
        out->is_at_most_once = once != 0;
        out->content_length = strtoll(fields[FIELD_LENGTH], NULL, 10);
    }
    if (is_valid && count == FIELD_COUNT_WITH_ACCOUNT) {
        out->key_digest = strtoull(fields[FIELD_DIGEST], NULL, 16);
        out->account = g_strdup(fields[FIELD_ACCOUNT]);
    }
    g_strfreev(fields);
    return is_valid ? 0 : BB_ERR_PARSE;
}

void
BbHop_Clear(bb_hop_call_t *hop)
{
    g_free(hop->service);
    g_free(hop->caller_service);
    g_free(hop->class_name);
    g_free(hop->account);
    memset(hop, 0, sizeof(*hop));
}
