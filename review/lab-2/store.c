/* Stand-in for the platform's store: rows of tables in the part "", the feed
 * of changes, and transactions of one row or more. It loses nothing that it
 * has acknowledged, except in a drill. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lab.h"

#define MAX_ROWS 64
#define TX_S 0.004

typedef struct {
    char table[LAB_TEXT];
    char key[LAB_TEXT];
    char *value; /* base64; NULL for a dropped row */
    int64_t version;
} row_t;

typedef struct {
    row_t rows[MAX_ROWS];
    int count;
    int64_t version;
} rows_t;

static lab_server_t *server;
static rows_t current, copy;
static int64_t era = 1;
static bool is_away;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* ---- rows ---- */

static char *
encode_base64(const char *text)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t size = strlen(text);
    char *out = calloc(1, (size + 2) / 3 * 4 + 1);
    char *next = out;

    for (size_t i = 0; i < size; i += 3) {
        unsigned bits = (unsigned char)text[i] << 16;
        bits |= i + 1 < size ? (unsigned char)text[i + 1] << 8 : 0;
        bits |= i + 2 < size ? (unsigned char)text[i + 2] : 0;
        *next++ = digits[bits >> 18 & 63];
        *next++ = digits[bits >> 12 & 63];
        *next++ = i + 1 < size ? digits[bits >> 6 & 63] : '=';
        *next++ = i + 2 < size ? digits[bits & 63] : '=';
    }
    return out;
}

static void
decode_base64(const char *text, char *out, size_t size)
{
    unsigned bits = 0;
    int held = 0;
    size_t used = 0;

    for (; *text != '\0' && *text != '=' && used + 1 < size; text++) {
        unsigned digit = *text >= 'a'   ? (unsigned)(*text - 'a' + 26)
                         : *text >= 'A' ? (unsigned)(*text - 'A')
                         : *text >= '0' ? (unsigned)(*text - '0' + 52)
                         : *text == '+' ? 62
                                        : 63;
        bits = bits << 6 | digit;
        held += 6;
        if (held >= 8) {
            held -= 8;
            out[used++] = (char)(bits >> held & 255);
        }
    }
    out[used] = '\0';
}

static row_t *
find_row(const char *table, const char *key)
{
    for (int i = 0; i < current.count; i++) {
        row_t *row = &current.rows[i];
        if (strcmp(row->table, table) == 0 && strcmp(row->key, key) == 0) {
            return row;
        }
    }
    return NULL;
}

static int64_t
version_of(const row_t *row)
{
    return row != NULL && row->value != NULL ? row->version : 0;
}

/* value is in base64, NULL to drop the row. */
static void
set_row(const char *table, const char *key, const char *value)
{
    row_t *row = find_row(table, key);

    if (row == NULL) {
        Lab_Require(current.count < MAX_ROWS, "the store is full");
        row = &current.rows[current.count++];
        snprintf(row->table, sizeof(row->table), "%s", table);
        snprintf(row->key, sizeof(row->key), "%s", key);
    }
    row->value = value != NULL ? strdup(value) : NULL; /* copies share it */
    row->version = current.version;
}

static json_t *
row_to_json(const row_t *row)
{
    json_t *object =
        json_pack("{s:s, s:s, s:s, s:I}", "table_name", row->table, "part", "",
                  "key", row->key, "ver", (json_int_t)row->version);

    if (row->value != NULL) {
        json_object_set_new(object, "value", json_string(row->value));
    }
    else {
        json_object_set_new(object, "tombstone", json_true());
    }
    return object;
}

static int
compare_keys(const void *a, const void *b)
{
    return strcmp((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

/* Rows of a table with a version above after, by key. */
static json_t *
list_rows(const char *table, int64_t after, bool with_dropped)
{
    row_t *found[MAX_ROWS];
    size_t count = 0;
    json_t *rows = json_array();

    for (int i = 0; i < current.count; i++) {
        row_t *row = &current.rows[i];
        if (strcmp(row->table, table) == 0 && row->version > after &&
            (with_dropped || row->value != NULL)) {
            found[count++] = row;
        }
    }
    qsort(found, count, sizeof(row_t *), compare_keys);
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(rows, row_to_json(found[i]));
    }
    return rows;
}

/* ---- calls ---- */

static void
respond(int fd, int status, json_t *body)
{
    json_object_set_new(body, "ver", json_integer(current.version));
    json_object_set_new(body, "now_s", json_real(Lab_Now()));
    char *text = json_dumps(body, JSON_COMPACT);

    Lab_SendText(fd,
                 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                 "Store-Era: %lld\r\nContent-Length: %zu\r\n\r\n%s",
                 status, (long long)era, strlen(text), text);
    free(text);
    json_decref(body);
}

static const char *
text_of(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));
    return text != NULL ? text : "";
}

static void
handle_transaction(int fd, const lab_message_t *request)
{
    json_t *root = json_loadb(request->body, request->body_size, 0, NULL);
    json_t *entry;
    size_t i;
    bool holds = true;
    json_t *rows = json_array();

    json_array_foreach (json_object_get(root, "expected"), i, entry) {
        const row_t *row =
            find_row(text_of(entry, "table_name"), text_of(entry, "key"));
        if (version_of(row) !=
            json_integer_value(json_object_get(entry, "ver"))) {
            holds = false;
        }
        if (version_of(row) > 0) {
            json_array_append_new(rows, row_to_json(row));
        }
    }
    if (!holds) {
        respond(fd, 412, json_pack("{s:o}", "rows", rows));
        json_decref(root);
        return;
    }
    json_decref(rows);
    current.version++;
    json_array_foreach (json_object_get(root, "upserts"), i, entry) {
        set_row(text_of(entry, "table_name"), text_of(entry, "key"),
                text_of(entry, "value"));
        Lab_Record("store: %s/%s written, version %lld",
                   text_of(entry, "table_name"), text_of(entry, "key"),
                   (long long)current.version);
    }
    json_array_foreach (json_object_get(root, "remove"), i, entry) {
        set_row(text_of(entry, "table_name"), text_of(entry, "key"), NULL);
        Lab_Record("store: %s/%s removed, version %lld",
                   text_of(entry, "table_name"), text_of(entry, "key"),
                   (long long)current.version);
    }
    respond(fd, 200, json_object());
    json_decref(root);
}

static void
query_text(const char *target, const char *name, char *out, size_t size)
{
    const char *found = strstr(target, name);

    out[0] = '\0';
    if (found != NULL) {
        found += strlen(name);
        snprintf(out, size, "%.*s", (int)strcspn(found, "&"), found);
    }
}

static void
handle_feed(int fd, const lab_message_t *request)
{
    char table[LAB_TEXT], number[64];

    query_text(request->target, "table_name=", table, sizeof(table));
    query_text(request->target, "after=", number, sizeof(number));
    int64_t after = strtoll(number, NULL, 10);
    query_text(request->target, "wait_ms=", number, sizeof(number));
    double until = Lab_Now() + atof(number) / 1000;
    int64_t asked_in_era = era;
    json_t *rows = list_rows(table, after, true);

    while (after <= current.version && json_array_size(rows) == 0 &&
           Lab_Now() < until && era == asked_in_era) {
        pthread_mutex_unlock(&lock);
        Lab_Sleep(0.002);
        pthread_mutex_lock(&lock);
        json_decref(rows);
        rows = list_rows(table, after, true);
    }
    if (after > current.version) { /* a version that it does not have */
        json_decref(rows);
        respond(fd, 410, json_object());
    }
    else {
        respond(fd, 200, json_pack("{s:o}", "rows", rows));
    }
}

static void
handle_store_request(int fd, lab_message_t *request, void *arg)
{
    char table[LAB_TEXT];
    (void)arg;

    Lab_Sleep(TX_S);
    pthread_mutex_lock(&lock);
    if (is_away) {
        pthread_mutex_unlock(&lock);
        return;
    }
    if (strncmp(request->target, "/v1/rows-tx", 11) == 0) {
        handle_transaction(fd, request);
    }
    else if (strncmp(request->target, "/v1/rows-feed", 13) == 0) {
        handle_feed(fd, request);
    }
    else {
        query_text(request->target, "table_name=", table, sizeof(table));
        respond(fd, 200,
                json_pack("{s:o, s:b}", "rows", list_rows(table, 0, false),
                          "has_more", 0));
    }
    pthread_mutex_unlock(&lock);
}

/* ---- operator and drill ---- */

int
Lab_StartStore(void)
{
    int port = Lab_FreePort();

    current.version = 100;
    server = Lab_NewServer(port, handle_store_request, NULL);
    return port;
}

bool
Lab_OperatorPut(const char *table, const char *key, const char *value)
{
    pthread_mutex_lock(&lock);
    bool is_written = !is_away;
    if (is_written) {
        char *encoded = encode_base64(value);
        current.version++;
        set_row(table, key, encoded);
        free(encoded);
        Lab_Record("operator: %s/%s acknowledged, version %lld, %.40s", table,
                   key, (long long)current.version, value);
    }
    pthread_mutex_unlock(&lock);
    return is_written;
}

void
Lab_CopyStore(void)
{
    pthread_mutex_lock(&lock);
    copy = current;
    Lab_Record("store: copy taken at version %lld",
               (long long)current.version);
    pthread_mutex_unlock(&lock);
}

void
Lab_StoreAway(void)
{
    pthread_mutex_lock(&lock);
    is_away = true;
    Lab_Record("store: away, at version %lld", (long long)current.version);
    pthread_mutex_unlock(&lock);
    Lab_CloseServer(server);
}

void
Lab_StoreBack(void)
{
    pthread_mutex_lock(&lock);
    is_away = false;
    Lab_Record("store: back, at version %lld", (long long)current.version);
    pthread_mutex_unlock(&lock);
    Lab_OpenServer(server);
}

void
Lab_StoreDrill(void)
{
    pthread_mutex_lock(&lock);
    current = copy;
    era++;
    is_away = false;
    Lab_Record("store: back from the copy, at version %lld, era %lld",
               (long long)current.version, (long long)era);
    pthread_mutex_unlock(&lock);
    Lab_OpenServer(server);
}

int64_t
Lab_StoreVersion(void)
{
    pthread_mutex_lock(&lock);
    int64_t version = current.version;
    pthread_mutex_unlock(&lock);
    return version;
}

bool
Lab_StoreRow(const char *table, const char *key, char *out, size_t size)
{
    pthread_mutex_lock(&lock);
    const row_t *row = find_row(table, key);
    bool is_found = row != NULL && row->value != NULL;
    if (is_found) {
        decode_base64(row->value, out, size);
    }
    pthread_mutex_unlock(&lock);
    return is_found;
}
