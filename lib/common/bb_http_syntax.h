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

#ifdef __cplusplus
extern "C" {
#endif

/* Whether a response may have this status: 100 to 599 (RFC 9110, section
 * 15). */
bool BbHttpSyntax_IsStatus(long status);

#ifdef __cplusplus
}
#endif

#endif
