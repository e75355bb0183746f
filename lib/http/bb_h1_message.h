/*
 * bb_h1_message - header fields and parser state of HTTP/1.1 messages
 *
 * Parsing is http_parser's; this module collects what it reports.
 *
 * USE
 *   bb_h1_fields_t fields;
 *   BbH1Fields_Init(&fields);
 *   BbH1Fields_Add(&fields, "Retry-After", "0.5");
 *   BbH1Fields_Free(&fields);
 *
 * LIMITS
 *   Names compare without regard to case. Order and repeated fields are kept.
 */
#ifndef BB_H1_MESSAGE_H
#define BB_H1_MESSAGE_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BB_H1_NO_BODY (-1)
#define BB_H1_CHUNKED (-2)

/* Pairs of NUL-terminated texts, name before value, in one buffer. */
typedef struct {
    GString *text;
} bb_h1_fields_t;

void BbH1Fields_Init(bb_h1_fields_t *fields);
void BbH1Fields_Free(bb_h1_fields_t *fields);
void BbH1Fields_Clear(bb_h1_fields_t *fields);
void BbH1Fields_Add(bb_h1_fields_t *fields, const char *name,
                    const char *value);

/* First value of a name, NULL when there is none. */
const char *BbH1Fields_Get(const bb_h1_fields_t *fields, const char *name);

/* Walks all fields; *cursor starts at 0. Returns false at the end. */
bool BbH1Fields_Next(const bb_h1_fields_t *fields, size_t *cursor,
                     const char **name, const char **value);

/* True for fields that concern one connection only, and for framing. */
bool BbH1_IsHopField(const char *name);

/* Copies all fields but those for which BbH1_IsHopField() holds. */
void BbH1Fields_CopyEndToEnd(bb_h1_fields_t *to, const bb_h1_fields_t *from);

/* Appends "name: value" lines of all fields. */
void BbH1Fields_Write(const bb_h1_fields_t *fields, GByteArray *out);

/* Appends printed text. */
void BbH1_Print(GByteArray *out, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Appends one chunk of a chunked body; size 0 appends the last chunk. */
void BbH1_WriteChunk(GByteArray *out, const void *data, size_t size);

/* ---- parser state shared by server and client ---- */

typedef struct {
    http_parser parser;
    GString *target; /* of a request, as it was sent */
    bb_h1_fields_t fields;
    size_t head_bytes;
    bool in_value; /* the last callback reported a value */
} bb_h1_reader_t;

void BbH1Reader_Init(bb_h1_reader_t *reader, enum http_parser_type type,
                     void *arg);
void BbH1Reader_Free(bb_h1_reader_t *reader);

/* Forgets the message that was read. */
void BbH1Reader_Clear(bb_h1_reader_t *reader);

/* Callbacks for http_parser_settings; parser is the first member of reader. */
int BbH1Reader_OnTarget(http_parser *parser, const char *at, size_t length);
int BbH1Reader_OnField(http_parser *parser, const char *at, size_t length);
int BbH1Reader_OnValue(http_parser *parser, const char *at, size_t length);

/* Ends the last value; call it when the head is complete. */
void BbH1Reader_EndHead(bb_h1_reader_t *reader);

/* ---- sockets ---- */

/* Non-blocking listening socket on "IP:PORT", or a negative error. */
int BbH1_Listen(const char *address);

/* Starts a non-blocking connect to "IP:PORT"; the socket or an error. */
int BbH1_Connect(const char *address);

/* No delay, and an end within seconds when the other side is silent. */
void BbH1_SetSocketOptions(int fd);

#ifdef __cplusplus
}
#endif

#endif
