#include "bb_hop.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "bb_error.h"
#include "bb_h1_length.h"

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
    FIELD_OPTIONAL = FIELD_COUNT, /* the text behind the figures above */
    FIELD_COUNT_WITH_OPTIONAL,
};

/* Begins the figure of a nested call; no hexadecimal digest begins with it. */
#define NESTED_MARK 'n'

char *
BbHop_Format(const bb_hop_call_t *hop)
{
    GString *text = g_string_new(NULL);

    g_string_printf(text, "%s,%s,%s,%d,%d,%d,%d,%d,%" PRId64, hop->service,
                    hop->caller_service, hop->class_name, hop->deadline_ms,
                    hop->latency_ms, hop->due_in_ms, hop->rank,
                    hop->is_at_most_once ? 1 : 0, hop->content_length);

    if (hop->is_nested) {
        g_string_append_printf(text, ",%c%d", NESTED_MARK, hop->parent_age_ms);
    }
    if (hop->account != NULL) {
        g_string_append_printf(text, ",%" PRIx64 ",%s", hop->key_digest,
                               hop->account);
    }
    return g_string_free(text, FALSE);
}

static bool
parse_int(const char *text, int *out)
{
    char *end;

    *out = (int)strtol(text, &end, 10);
    return end != text && *end == '\0';
}

/* Parses a length, BB_H1_NO_BODY or BB_H1_CHUNKED. */
static bool
parse_length(const char *text, int64_t *out)
{
    if (strcmp(text, "-1") == 0 || strcmp(text, "-2") == 0) {
        *out = text[1] == '1' ? BB_H1_NO_BODY : BB_H1_CHUNKED;
        return true;
    }
    return BbH1Length_Parse(text, strlen(text), out) == 0;
}

/* Parses "nAGE", "digest,account" or both. An account may contain commas. */
static bool
parse_optional(const char *text, bb_hop_call_t *out)
{
    char *end;

    if (*text == NESTED_MARK) {
        out->is_nested = true;
        out->parent_age_ms = (int)strtol(text + 1, &end, 10);
        if (end == text + 1 || *end == '\0') {
            return end != text + 1;
        }
        if (*end != ',') {
            return false;
        }
        text = end + 1;
    }
    out->key_digest = strtoull(text, &end, 16);
    if (end == text || *end != ',') {
        return false;
    }
    out->account = g_strdup(end + 1);
    return true;
}

int
BbHop_Parse(const char *text, bb_hop_call_t *out)
{
    int once = 0;

    memset(out, 0, sizeof(*out));
    if (text == NULL) {
        return BB_ERR_PARSE;
    }
    char **fields = g_strsplit(text, ",", FIELD_COUNT_WITH_OPTIONAL);
    guint count = g_strv_length(fields);
    bool is_valid =
        (count == FIELD_COUNT || count == FIELD_COUNT_WITH_OPTIONAL) &&
        fields[FIELD_SERVICE][0] != '\0' &&
        parse_int(fields[FIELD_DEADLINE], &out->deadline_ms) &&
        parse_int(fields[FIELD_LATENCY], &out->latency_ms) &&
        parse_int(fields[FIELD_DUE_IN], &out->due_in_ms) &&
        parse_int(fields[FIELD_RANK], &out->rank) &&
        parse_int(fields[FIELD_ONCE], &once) &&
        parse_length(fields[FIELD_LENGTH], &out->content_length) &&
        (count == FIELD_COUNT || parse_optional(fields[FIELD_OPTIONAL], out));
    if (is_valid) {
        out->service = g_strdup(fields[FIELD_SERVICE]);
        out->caller_service = g_strdup(fields[FIELD_CALLER]);
        out->class_name = g_strdup(fields[FIELD_CLASS]);
        out->is_at_most_once = once != 0;
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
