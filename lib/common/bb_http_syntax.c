#include "bb_http_syntax.h"

#include <string.h>

#define MIN_STATUS 100
#define MAX_STATUS 599
#define DELETE_CHARACTER 0x7f

bool
BbHttpSyntax_IsStatus(long status)
{
    return status >= MIN_STATUS && status <= MAX_STATUS;
}

static bool
is_token_character(char c)
{
    bool is_alphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                           (c >= '0' && c <= '9');

    return is_alphanumeric ||
           (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

bool
BbHttpSyntax_IsFieldName(const char *name, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        if (!is_token_character(name[i])) {
            return false;
        }
    }
    return size > 0;
}

bool
BbHttpSyntax_IsFieldValue(const char *value, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        unsigned char c = (unsigned char)value[i];
        if ((c < ' ' && c != '\t') || c == DELETE_CHARACTER) {
            return false;
        }
    }
    return true;
}

static size_t
size_without_line_end(const char *line, size_t size)
{
    if (size > 0 && line[size - 1] == '\n') {
        size--;
    }
    if (size > 0 && line[size - 1] == '\r') {
        size--;
    }
    return size;
}

static bool
is_field_line(const char *line, size_t size)
{
    const char *colon = memchr(line, ':', size);

    if (colon == NULL) {
        return false;
    }
    size_t name_size = (size_t)(colon - line);
    return BbHttpSyntax_IsFieldName(line, name_size) &&
           BbHttpSyntax_IsFieldValue(colon + 1, size - name_size - 1);
}

bb_head_line_t
BbHttpSyntax_ClassifyLine(const char *line, size_t size, bool *is_in_head)
{
    static const char start[] = "HTTP/";
    size_t start_size = sizeof(start) - 1;

    if (!*is_in_head && size >= start_size &&
        memcmp(line, start, start_size) == 0) {
        *is_in_head = true;
        return BB_HEAD_LINE_STATUS;
    }
    size = size_without_line_end(line, size);
    if (size == 0) {
        *is_in_head = false;
        return BB_HEAD_LINE_END;
    }
    return is_field_line(line, size) ? BB_HEAD_LINE_FIELD
                                     : BB_HEAD_LINE_INVALID;
}
