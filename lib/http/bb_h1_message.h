/*
 * bb_h1_message - header fields and parser state of HTTP/1.1 messages
 *
 * http_parser does the parsing; this module collects the request target and
 * the header fields from its callbacks.
 *
 * USE
 *   bb_h1_fields_t fields;
 *   BbH1Fields_Init(&fields);
 *   BbH1Fields_Add(&fields, "Retry-After", "0.5");
 *   BbH1Fields_Free(&fields);
 *
 * LIMITS
 *   Field names are compared without regard to case. The order of fields and
 *   repeated fields are preserved.
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

/* Values of content_length other than a length. */
#define BB_H1_NO_BODY (-1)
#define BB_H1_CHUNKED (-2)

/* Pairs of NUL-terminated strings, name before value, in one buffer. */
typedef struct {
    GString *text;
} bb_h1_fields_t;

void BbH1Fields_Init(bb_h1_fields_t *fields);
void BbH1Fields_Free(bb_h1_fields_t *fields);
void BbH1Fields_Clear(bb_h1_fields_t *fields);
void BbH1Fields_Add(bb_h1_fields_t *fields, const char *name,
                    const char *value);

/* Returns the first value of a name, or NULL when there is none. */
const char *BbH1Fields_Get(const bb_h1_fields_t *fields, const char *name);

/* Iterates over all fields; *cursor starts at 0. Returns false at the end. */
bool BbH1Fields_Next(const bb_h1_fields_t *fields, size_t *cursor,
                     const char **name, const char **value);

/* True for hop-by-hop fields: those that concern one connection only, and
 * those that frame the body. */
bool BbH1_IsHopByHopField(const char *name);

/* Copies all fields except those for which BbH1_IsHopByHopField() is true. */
void BbH1Fields_CopyEndToEnd(bb_h1_fields_t *to, const bb_h1_fields_t *from);

/* Appends a "name: value" line for each field. */
void BbH1Fields_Write(const bb_h1_fields_t *fields, GByteArray *out);

/* Appends text formatted as by printf(). */
void BbH1_AppendFormat(GByteArray *out, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Appends one chunk of a chunked body; size 0 appends the last chunk. */
void BbH1_WriteChunk(GByteArray *out, const void *data, size_t size);

/* ---- parser state shared by server and client ---- */

typedef struct {
    http_parser parser; /* must be first, see BbH1Reader_OnTarget() */
    GString *target;    /* of a request, as it was sent */
    bb_h1_fields_t fields;
    size_t head_bytes; /* of target, names and values read so far */
    bool in_value;     /* the last callback reported a value */
    /* Check of the lines of the head, see BbH1Reader_Execute(). */
    bool is_in_head;
    const char *scanned_to; /* in the bytes being parsed, which end here: */
    const char *input_end;
    char last_scanned;
    bool is_line_empty; /* up to the last scanned byte */
    bool has_malformed_line;
} bb_h1_reader_t;

void BbH1Reader_Init(bb_h1_reader_t *reader, enum http_parser_type type,
                     void *arg);
void BbH1Reader_Free(bb_h1_reader_t *reader);

/* Discards the head that was read, before the next message. */
void BbH1Reader_Clear(bb_h1_reader_t *reader);

/* Parses bytes like http_parser_execute(), with settings that have the
 * callbacks below. Returns less than size also if the head or the trailers
 * have
 *   a line that begins with a blank, which http_parser takes for a part of the
 *   field before it (line folding, deprecated by RFC 9112, section 5.2), or
 *   CR without LF, behind which http_parser skips a byte in some places. */
size_t BbH1Reader_Execute(bb_h1_reader_t *reader,
                          const http_parser_settings *settings,
                          const char *data, size_t size);

/* Callbacks for http_parser_settings. They cast the parser to its reader, of
 * which it is the first member. OnField fails the message if a name is not a
 * token, OnValue if a value holds a control byte: http_parser takes blanks in
 * names, and any byte as the first one of a value. */
int BbH1Reader_OnTarget(http_parser *parser, const char *at, size_t length);
int BbH1Reader_OnReason(http_parser *parser, const char *at, size_t length);
int BbH1Reader_OnField(http_parser *parser, const char *at, size_t length);
int BbH1Reader_OnValue(http_parser *parser, const char *at, size_t length);

/* Terminates the last value; must be called when the head is complete. Returns
 * false if the end of the head is malformed. */
bool BbH1Reader_EndHead(bb_h1_reader_t *reader);

/* ---- sockets ---- */

/* Opens a non-blocking listening socket on "IP:PORT". Returns the socket or a
 * negative error. */
int BbH1_Listen(const char *address);

/* Starts a non-blocking connect to "IP:PORT". Returns the socket or a negative
 * error. */
int BbH1_Connect(const char *address);

/* Sets TCP_NODELAY, and keep-alive and user timeouts that end the connection
 * within seconds when the other side does not respond. */
void BbH1_SetSocketOptions(int fd);

#ifdef __cplusplus
}
#endif

#endif
