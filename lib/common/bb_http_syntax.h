/*
 * bb_http_syntax - which parts of an HTTP/1.1 head are valid
 *
 * The parsers of libraries accept more than the standard allows. All readers
 * of heads apply these rules too, so that none passes on what the next one
 * reads in another way.
 */
#ifndef BB_HTTP_SYNTAX_H
#define BB_HTTP_SYNTAX_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Whether a response may have this status: 100 to 599 (RFC 9110, section
 * 15). */
bool BbHttpSyntax_IsStatus(long status);

/* Whether a text is the name of a field: a token (RFC 9110, section 5.6.2).
 * Blanks, control bytes and separators are none of its characters. */
bool BbHttpSyntax_IsFieldName(const char *name, size_t size);

/* Whether a text may be a part of a field's value: it holds no control byte
 * other than tabs (RFC 9110, section 5.5). */
bool BbHttpSyntax_IsFieldValue(const char *value, size_t size);

typedef enum {
    BB_HEAD_LINE_STATUS,
    BB_HEAD_LINE_FIELD, /* also one behind the body */
    BB_HEAD_LINE_END,   /* the empty line */
    BB_HEAD_LINE_INVALID,
} bb_head_line_t;

/* Classifies the next line that libcurl passes to a header callback. The line
 * includes its line end. *is_in_head keeps the state between the lines of a
 * request; it is false before the first one. */
bb_head_line_t BbHttpSyntax_ClassifyLine(const char *line, size_t size,
                                         bool *is_in_head);

#ifdef __cplusplus
}
#endif

#endif
