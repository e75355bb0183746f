#include "bb_h1_message.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bb_error.h"
#include "bb_http_syntax.h"

#define LISTEN_BACKLOG 1024

/* A connection is aborted when sent bytes stay unacknowledged for this long.
 */
#define USER_TIMEOUT_MS 1500
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

/* ---- fields ---- */

void
BbH1Fields_Init(bb_h1_fields_t *fields)
{
    fields->text = g_string_sized_new(256);
}

void
BbH1Fields_Free(bb_h1_fields_t *fields)
{
    if (fields->text != NULL) {
        g_string_free(fields->text, TRUE);
        fields->text = NULL;
    }
}

void
BbH1Fields_Clear(bb_h1_fields_t *fields)
{
    g_string_truncate(fields->text, 0);
}

void
BbH1Fields_Add(bb_h1_fields_t *fields, const char *name, const char *value)
{
    g_string_append_len(fields->text, name, (gssize)strlen(name) + 1);
    g_string_append_len(fields->text, value, (gssize)strlen(value) + 1);
}

bool
BbH1Fields_Next(const bb_h1_fields_t *fields, size_t *cursor,
                const char **name, const char **value)
{
    if (*cursor >= fields->text->len) {
        return false;
    }
    *name = fields->text->str + *cursor;
    *value = *name + strlen(*name) + 1;
    *cursor = (size_t)(*value - fields->text->str) + strlen(*value) + 1;
    return true;
}

const char *
BbH1Fields_Get(const bb_h1_fields_t *fields, const char *name)
{
    size_t cursor = 0;
    const char *key, *value;

    while (BbH1Fields_Next(fields, &cursor, &key, &value)) {
        if (strcasecmp(key, name) == 0) {
            return value;
        }
    }
    return NULL;
}

bool
BbH1_IsHopByHopField(const char *name)
{
    static const char *const names[] = {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "te",
        "trailer",
        "upgrade",
        "expect",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcasecmp(names[i], name) == 0) {
            return true;
        }
    }
    return false;
}

void
BbH1Fields_CopyEndToEnd(bb_h1_fields_t *to, const bb_h1_fields_t *from)
{
    size_t cursor = 0;
    const char *name, *value;

    while (BbH1Fields_Next(from, &cursor, &name, &value)) {
        if (!BbH1_IsHopByHopField(name)) {
            BbH1Fields_Add(to, name, value);
        }
    }
}

static void
append_text(GByteArray *out, const char *text)
{
    g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text));
}

void
BbH1Fields_Write(const bb_h1_fields_t *fields, GByteArray *out)
{
    size_t cursor = 0;
    const char *name, *value;

    while (BbH1Fields_Next(fields, &cursor, &name, &value)) {
        append_text(out, name);
        append_text(out, ": ");
        append_text(out, value);
        append_text(out, "\r\n");
    }
}

void
BbH1_AppendFormat(GByteArray *out, const char *format, ...)
{
    char text[256];
    va_list args;

    va_start(args, format);
    int length = vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    if (length > 0 && (size_t)length < sizeof(text)) {
        append_text(out, text);
        return;
    }
    va_start(args, format);
    char *long_text = g_strdup_vprintf(format, args);
    va_end(args);
    append_text(out, long_text);
    g_free(long_text);
}

void
BbH1_WriteChunk(GByteArray *out, const void *data, size_t size)
{
    BbH1_AppendFormat(out, "%zx\r\n", size);
    if (size > 0) {
        g_byte_array_append(out, data, (guint)size);
    }
    append_text(out, "\r\n");
}

/* ---- reader ---- */

void
BbH1Reader_Init(bb_h1_reader_t *reader, enum http_parser_type type, void *arg)
{
    http_parser_init(&reader->parser, type);
    reader->parser.data = arg;
    reader->target = g_string_sized_new(64);
    BbH1Fields_Init(&reader->fields);
    BbH1Reader_Clear(reader);
}

void
BbH1Reader_Free(bb_h1_reader_t *reader)
{
    g_string_free(reader->target, TRUE);
    BbH1Fields_Free(&reader->fields);
}

void
BbH1Reader_Clear(bb_h1_reader_t *reader)
{
    g_string_truncate(reader->target, 0);
    BbH1Fields_Clear(&reader->fields);
    reader->head_bytes = 0;
    reader->in_value = false;
    reader->is_in_head = false;
    reader->has_malformed_line = false;
}

/* Returns true if the byte ends the head. */
static bool
scan_byte(bb_h1_reader_t *reader)
{
    char c = *reader->scanned_to++;
    bool is_head_end = c == '\n' && reader->is_line_empty;
    bool is_bare_return = reader->last_scanned == '\r' && c != '\n';
    bool is_folded = reader->last_scanned == '\n' && (c == ' ' || c == '\t');

    if (is_bare_return || is_folded) {
        reader->has_malformed_line = true;
    }
    reader->is_line_empty =
        c == '\n' || (c == '\r' && reader->last_scanned == '\n');
    reader->last_scanned = c;
    return is_head_end;
}

/* Checks the lines of the head up to end. The first call for a message gives
 * where the check starts: the target or reason in its first line or, without a
 * reason, its first name. */
static void
scan_head(bb_h1_reader_t *reader, const char *at, const char *end)
{
    if (!reader->is_in_head) {
        reader->is_in_head = true;
        reader->scanned_to = at;
        reader->last_scanned = '\0';
        reader->is_line_empty = false;
    }
    while (reader->scanned_to < end) {
        scan_byte(reader);
    }
}

size_t
BbH1Reader_Execute(bb_h1_reader_t *reader,
                   const http_parser_settings *settings, const char *data,
                   size_t size)
{
    reader->scanned_to = data;
    reader->input_end = data + size;
    size_t used = http_parser_execute(&reader->parser, settings, data, size);
    if (reader->is_in_head) {
        scan_head(reader, data, reader->input_end);
    }
    return used;
}

static bb_h1_reader_t *
reader_of(http_parser *parser)
{
    return (bb_h1_reader_t *)parser;
}

int
BbH1Reader_OnTarget(http_parser *parser, const char *at, size_t length)
{
    bb_h1_reader_t *reader = reader_of(parser);

    scan_head(reader, at, at + length);
    reader->head_bytes += length;
    g_string_append_len(reader->target, at, (gssize)length);
    return 0;
}

int
BbH1Reader_OnReason(http_parser *parser, const char *at, size_t length)
{
    scan_head(reader_of(parser), at, at + length);
    return 0;
}

int
BbH1Reader_OnField(http_parser *parser, const char *at, size_t length)
{
    bb_h1_reader_t *reader = reader_of(parser);

    if (reader->in_value) {
        g_string_append_c(reader->fields.text, '\0');
        reader->in_value = false;
    }
    scan_head(reader, at, at + length);
    reader->head_bytes += length;
    g_string_append_len(reader->fields.text, at, (gssize)length);
    /* A name may come in several parts, of which the last one may be empty. */
    bool is_name = length == 0 || BbHttpSyntax_IsFieldName(at, length);
    return is_name && !reader->has_malformed_line ? 0 : -1;
}

int
BbH1Reader_OnValue(http_parser *parser, const char *at, size_t length)
{
    bb_h1_reader_t *reader = reader_of(parser);

    if (!reader->in_value) {
        g_string_append_c(reader->fields.text, '\0');
        reader->in_value = true;
    }
    scan_head(reader, at, at + length);
    reader->head_bytes += length;
    g_string_append_len(reader->fields.text, at, (gssize)length);
    return !reader->has_malformed_line && BbHttpSyntax_IsFieldValue(at, length)
               ? 0
               : -1;
}

bool
BbH1Reader_EndHead(bb_h1_reader_t *reader)
{
    if (reader->in_value) {
        g_string_append_c(reader->fields.text, '\0');
        reader->in_value = false;
    }
    while (reader->is_in_head && reader->scanned_to < reader->input_end) {
        reader->is_in_head = !scan_byte(reader);
    }
    reader->is_in_head = false;
    return !reader->has_malformed_line;
}

/* ---- sockets ---- */

static int
parse_address(const char *address, struct sockaddr_in *out)
{
    char host[INET_ADDRSTRLEN];
    const char *colon = strrchr(address, ':');

    memset(out, 0, sizeof(*out));
    if (colon == NULL || (size_t)(colon - address) >= sizeof(host)) {
        return BB_ERR_ARGUMENT;
    }
    memcpy(host, address, (size_t)(colon - address));
    host[colon - address] = '\0';
    long port = strtol(colon + 1, NULL, 10);
    if (port < 0 || port > 65535) {
        return BB_ERR_ARGUMENT;
    }
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, host, &out->sin_addr) == 1 ? 0 : BB_ERR_ARGUMENT;
}

static int
open_socket(void)
{
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

int
BbH1_Listen(const char *address)
{
    struct sockaddr_in socket_address;
    const int on = 1;

    if (parse_address(address, &socket_address) != 0) {
        return BB_ERR_ARGUMENT;
    }
    int fd = open_socket();
    if (fd < 0) {
        return BB_ERR_IO;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&socket_address, sizeof(socket_address)) !=
            0 ||
        listen(fd, LISTEN_BACKLOG) != 0) {
        int error = errno == EADDRINUSE ? BB_ERR_ADDRESS_IN_USE : BB_ERR_IO;
        close(fd);
        return error;
    }
    return fd;
}

void
BbH1_SetSocketOptions(int fd)
{
    const int on = 1;
    const int idle_s = KEEPALIVE_IDLE_S;
    const int interval_s = KEEPALIVE_INTERVAL_S;
    const int probes = KEEPALIVE_PROBES;
    const unsigned int user_timeout_ms = USER_TIMEOUT_MS;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
               sizeof(interval_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
               sizeof(user_timeout_ms));
}

int
BbH1_Connect(const char *address)
{
    struct sockaddr_in socket_address;

    if (parse_address(address, &socket_address) != 0) {
        return BB_ERR_ARGUMENT;
    }
    int fd = open_socket();
    if (fd < 0) {
        return BB_ERR_IO;
    }
    BbH1_SetSocketOptions(fd);
    if (connect(fd, (struct sockaddr *)&socket_address,
                sizeof(socket_address)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return BB_ERR_IO;
    }
    return fd;
}
