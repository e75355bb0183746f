#include "bb_h1_length.h"

#include <string.h>
#include <strings.h>

#include "bb_error.h"

int
BbH1Length_Parse(const char *text, size_t size, int64_t *out)
{
    int64_t length = 0;

    if (size == 0) {
        return BB_ERR_PARSE;
    }
    for (size_t i = 0; i < size; i++) {
        int digit = text[i] - '0';
        if (digit < 0 || digit > 9 ||
            __builtin_mul_overflow(length, 10, &length) ||
            __builtin_add_overflow(length, digit, &length)) {
            return BB_ERR_PARSE;
        }
    }
    *out = length;
    return 0;
}

/* Size of a field value without the blanks that may follow it. */
static size_t
trimmed_size(const char *value)
{
    size_t size = strlen(value);

    while (size > 0 && (value[size - 1] == ' ' || value[size - 1] == '\t')) {
        size--;
    }
    return size;
}

int
BbH1Length_Read(const bb_h1_fields_t *fields, int64_t *out)
{
    size_t cursor = 0;
    const char *name, *value;
    bool has_length = false;
    bool has_encoding = false;

    *out = BB_H1_NO_BODY;
    while (BbH1Fields_Next(fields, &cursor, &name, &value)) {
        if (strcasecmp(name, "Transfer-Encoding") == 0) {
            has_encoding = true;
        }
        else if (strcasecmp(name, "Content-Length") == 0) {
            if (has_length ||
                BbH1Length_Parse(value, trimmed_size(value), out) != 0) {
                return BB_ERR_PARSE;
            }
            has_length = true;
        }
    }
    return has_length && has_encoding ? BB_ERR_PARSE : 0;
}

int
BbH1Length_OnChunkHeader(http_parser *parser)
{
    return parser->content_length > INT64_MAX ? -1 : 0;
}
