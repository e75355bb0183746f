/*
 * bb_h1_length - lengths of HTTP message bodies
 *
 * All readers of lengths use this module, so that no two of them take one
 * message for messages of different sizes.
 *
 * USE
 *   error = BbH1Length_Read(&fields, &length);
 *
 * LIMITS
 *   http_parser reads chunk sizes. It takes what follows a blank behind the
 *   digits for a chunk extension and doesn't report it.
 */
#ifndef BB_H1_LENGTH_H
#define BB_H1_LENGTH_H

#include "bb_h1_message.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Parses decimal digits. Returns 0, or BB_ERR_PARSE if there is none, any
 * other byte, or a value above INT64_MAX. */
int BbH1Length_Parse(const char *text, size_t size, int64_t *out);

/* Reads Content-Length; *out is BB_H1_NO_BODY if there is none. Returns 0, or
 * BB_ERR_PARSE if the value is malformed, the field is repeated (also with the
 * same value) or there is a Transfer-Encoding, which frames the body too. */
int BbH1Length_Read(const bb_h1_fields_t *fields, int64_t *out);

/* For http_parser_settings.on_chunk_header: rejects sizes above INT64_MAX. */
int BbH1Length_OnChunkHeader(http_parser *parser);

#ifdef __cplusplus
}
#endif

#endif
