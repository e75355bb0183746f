#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_RUNS 100000
#define MAX_ROWS 200
#define HEARTBEAT_S 1.0
#define READY_TIMEOUT_S 30.0
#define FIRST_PORT 15000
#define PORT_COUNT 15000

lab_node_t lab_nodes[LAB_MAX_NODES];
int lab_node_count;
bool lab_trouble;

static double started_at;
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char work_dir[256];
static volatile bool is_stopping;

static void end_nodes(void);

/* ---- time, record ---- */

static double
clock_s(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

double
Lab_Now(void)
{
    return clock_s() - started_at;
}

void
Lab_Sleep(double seconds)
{
    struct timespec pause = {
        (time_t)seconds, (long)((seconds - (double)(time_t)seconds) * 1e9)};

    if (seconds > 0) {
        nanosleep(&pause, NULL);
    }
}

void
Lab_Record(const char *format, ...)
{
    va_list args;

    pthread_mutex_lock(&record_lock);
    fprintf(record, "%9.4f  ", Lab_Now());
    va_start(args, format);
    vfprintf(record, format, args);
    va_end(args);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_lock);
}

/* ---- sockets ---- */

static int
listen_on_free_port(int *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 1024) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
        Lab_GiveUp("cannot listen");
    }
    *port = ntohs(address.sin_port);
    return fd;
}

/* A port that was free a moment ago; each is drawn once. It lies below those
 * that the kernel gives to connections, so that no other process gets it in
 * passing. */
static int
free_port(void)
{
    static unsigned next;
    struct sockaddr_in address = {.sin_family = AF_INET};

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (next == 0) {
        next = (unsigned)getpid() * 97 + (unsigned)time(NULL);
    }
    for (int i = 0; i < PORT_COUNT; i++) {
        int port = FIRST_PORT + (int)(next++ % PORT_COUNT);
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        address.sin_port = htons((uint16_t)port);
        bool is_free =
            bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
        close(fd);
        if (is_free) {
            return port;
        }
    }
    Lab_GiveUp("no free port");
}

static bool
write_all(int fd, const void *data, size_t size)
{
    const char *at = data;

    while (size > 0) {
        ssize_t sent = send(fd, at, size, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent <= 0) {
            return false;
        }
        at += sent;
        size -= (size_t)sent;
    }
    return true;
}

static int
connect_to(int port, int mss, int receive_bytes)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (mss > 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &mss, sizeof(mss));
    }
    if (receive_bytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                   sizeof(receive_bytes));
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* ---- messages, as the stand-ins read them ---- */

typedef struct {
    int fd;
    char buffer[65536];
    size_t used;
} reader_t;

/* Reads up to the end of a head; returns its size, 0 at the end. */
static size_t
read_head(reader_t *reader)
{
    for (;;) {
        char *end = memmem(reader->buffer, reader->used, "\r\n\r\n", 4);
        if (end != NULL) {
            return (size_t)(end - reader->buffer) + 4;
        }
        if (reader->used == sizeof(reader->buffer)) {
            return 0;
        }
        ssize_t size = recv(reader->fd, reader->buffer + reader->used,
                            sizeof(reader->buffer) - reader->used, 0);
        if (size <= 0) {
            return 0;
        }
        reader->used += (size_t)size;
    }
}

static void
drop(reader_t *reader, size_t size)
{
    memmove(reader->buffer, reader->buffer + size, reader->used - size);
    reader->used -= size;
}

/* Copies the value of a field of a head; "" without one. */
static bool
get_field(const char *head, size_t size, const char *name, char *out,
          size_t out_size)
{
    size_t length = strlen(name);
    const char *line = memmem(head, size, "\r\n", 2);

    out[0] = '\0';
    while (line != NULL && (size_t)(line + 2 - head) + length < size) {
        line += 2;
        const char *end =
            memmem(line, size - (size_t)(line - head), "\r\n", 2);
        if (end == NULL) {
            return false;
        }
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            const char *value = line + length + 1;
            while (value < end && *value == ' ') {
                value++;
            }
            size_t copied = (size_t)(end - value);
            copied = copied < out_size ? copied : out_size - 1;
            memcpy(out, value, copied);
            out[copied] = '\0';
            return true;
        }
        line = end;
    }
    return false;
}

static bool
fill(reader_t *reader)
{
    ssize_t size = recv(reader->fd, reader->buffer + reader->used,
                        sizeof(reader->buffer) - reader->used, 0);

    if (size <= 0) {
        return false;
    }
    reader->used += (size_t)size;
    return true;
}

static bool
read_length(reader_t *reader, size_t left, char *out, size_t out_size,
            size_t *kept)
{
    while (left > 0) {
        if (reader->used == 0 && !fill(reader)) {
            return false;
        }
        size_t part = reader->used < left ? reader->used : left;
        for (size_t i = 0; out != NULL && i < part && *kept + 1 < out_size;
             i++) {
            out[(*kept)++] = reader->buffer[i];
        }
        drop(reader, part);
        left -= part;
    }
    return true;
}

/* Reads a body; keeps as much as fits into out, which may be NULL. */
static bool
read_body(reader_t *reader, const char *head, size_t head_size, char *out,
          size_t out_size)
{
    char text[64];
    size_t kept = 0;
    bool is_read = true;

    if (get_field(head, head_size, "Transfer-Encoding", text, sizeof(text))) {
        for (;;) {
            char *end;
            while ((end = memmem(reader->buffer, reader->used, "\r\n", 2)) ==
                   NULL) {
                if (!fill(reader)) {
                    return false;
                }
            }
            size_t size = strtoul(reader->buffer, NULL, 16);
            drop(reader, (size_t)(end - reader->buffer) + 2);
            if (!read_length(reader, size, out, out_size, &kept) ||
                !read_length(reader, 2, NULL, 0, &kept)) {
                return false;
            }
            if (size == 0) {
                break;
            }
        }
    }
    else if (get_field(head, head_size, "Content-Length", text,
                       sizeof(text))) {
        is_read =
            read_length(reader, strtoul(text, NULL, 10), out, out_size, &kept);
    }
    if (out != NULL) {
        out[kept] = '\0';
    }
    return is_read;
}

static void
get_query(const char *target, const char *name, char *out, size_t out_size)
{
    const char *at = strchr(target, '?');
    size_t length = strlen(name);

    out[0] = '\0';
    while (at != NULL) {
        at++;
        if (strncmp(at, name, length) == 0 && at[length] == '=') {
            size_t size = strcspn(at + length + 1, "&");
            size = size < out_size ? size : out_size - 1;
            memcpy(out, at + length + 1, size);
            out[size] = '\0';
            return;
        }
        at = strchr(at, '&');
    }
}

static double
get_query_number(const char *target, const char *name)
{
    char text[32];

    get_query(target, name, text, sizeof(text));
    return atof(text);
}

static void
start_thread(void *(*function)(void *), void *arg)
{
    pthread_t thread;
    pthread_attr_t attributes;

    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, 512 * 1024);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attributes, function, arg) != 0) {
        Lab_GiveUp("cannot start a thread");
    }
    pthread_attr_destroy(&attributes);
}

typedef struct {
    int fd;
    void *arg;
    void *(*serve)(void *);
} acceptor_t;

typedef struct {
    reader_t reader;
    void *arg;
} connection_t;

static void *
accept_connections(void *arg)
{
    acceptor_t *acceptor = arg;

    while (!is_stopping) {
        int fd = accept4(acceptor->fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        connection_t *connection = calloc(1, sizeof(*connection));
        connection->reader.fd = fd;
        connection->arg = acceptor->arg;
        start_thread(acceptor->serve, connection);
    }
    return NULL;
}

static void
serve_on(int fd, void *(*serve)(void *), void *arg)
{
    acceptor_t *acceptor = calloc(1, sizeof(*acceptor));

    *acceptor = (acceptor_t){.fd = fd, .arg = arg, .serve = serve};
    start_thread(accept_connections, acceptor);
}

/* ---- store ---- */

typedef struct {
    char table[64];
    char key[64];
    char *value; /* base64; NULL: removed */
    int64_t version;
} row_t;

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static row_t rows[MAX_ROWS];
static int row_count;
static int64_t store_version = 100;

static row_t *
find_row(const char *table, const char *key, bool is_added)
{
    for (int i = 0; i < row_count; i++) {
        if (strcmp(rows[i].table, table) == 0 &&
            strcmp(rows[i].key, key) == 0) {
            return &rows[i];
        }
    }
    if (!is_added || row_count == MAX_ROWS) {
        return NULL;
    }
    row_t *row = &rows[row_count++];
    snprintf(row->table, sizeof(row->table), "%s", table);
    snprintf(row->key, sizeof(row->key), "%s", key);
    return row;
}

static json_t *
row_json(const row_t *row)
{
    json_t *entry =
        json_pack("{s:s, s:s, s:s, s:I}", "table_name", row->table, "part", "",
                  "key", row->key, "ver", (json_int_t)row->version);
    if (row->value != NULL) {
        json_object_set_new(entry, "value", json_string(row->value));
    }
    else {
        json_object_set_new(entry, "tombstone", json_true());
    }
    return entry;
}

/* Rows of a table that changed after a version; removed ones with tombstones
 * only if is_feed. */
static json_t *
list_rows(const char *table, int64_t after, bool is_feed)
{
    json_t *list = json_array();

    for (int i = 0; i < row_count; i++) {
        if (strcmp(rows[i].table, table) == 0 && rows[i].version > after &&
            (is_feed || rows[i].value != NULL)) {
            json_array_append_new(list, row_json(&rows[i]));
        }
    }
    return list;
}

static bool
respond_json(int fd, int status, json_t *root)
{
    char head[200];
    char *text = root != NULL ? json_dumps(root, JSON_COMPACT) : strdup("{}");
    int size = snprintf(head, sizeof(head),
                        "HTTP/1.1 %d Status\r\nContent-Type: "
                        "application/json\r\nContent-Length: %zu\r\n\r\n",
                        status, strlen(text));
    bool is_sent =
        write_all(fd, head, (size_t)size) && write_all(fd, text, strlen(text));

    free(text);
    json_decref(root);
    return is_sent;
}

static json_t *
rows_json(json_t *list)
{
    return json_pack("{s:o, s:b, s:I, s:f}", "rows", list, "has_more", 0,
                     "ver", (json_int_t)store_version, "now_s", clock_s());
}

static json_t *
feed(const char *target)
{
    char table[64];
    int64_t after = (int64_t)get_query_number(target, "after");
    double until = clock_s() + get_query_number(target, "wait_ms") / 1000;

    get_query(target, "table_name", table, sizeof(table));
    for (;;) {
        json_t *list = list_rows(table, after, true);
        if (json_array_size(list) > 0 || clock_s() >= until || is_stopping) {
            return rows_json(list);
        }
        json_decref(list);
        struct timespec wake;
        clock_gettime(CLOCK_REALTIME, &wake);
        wake.tv_nsec += 50 * 1000 * 1000;
        wake.tv_sec += wake.tv_nsec / 1000000000;
        wake.tv_nsec %= 1000000000;
        pthread_cond_timedwait(&store_changed, &store_lock, &wake);
    }
}

static int
transact(const char *body, json_t **out)
{
    json_t *root = json_loads(body, 0, NULL);
    json_t *entry, *conflicts = json_array();
    size_t i;
    bool is_held = true;

    json_array_foreach (json_object_get(root, "expected"), i, entry) {
        const char *table =
            json_string_value(json_object_get(entry, "table_name"));
        const char *key = json_string_value(json_object_get(entry, "key"));
        int64_t expected = json_integer_value(json_object_get(entry, "ver"));
        row_t *row = find_row(table, key, false);
        int64_t version = row != NULL && row->value != NULL ? row->version : 0;
        if (version != expected) {
            is_held = false;
        }
        if (row != NULL && row->value != NULL) {
            json_array_append_new(conflicts, row_json(row));
        }
    }
    if (!is_held) {
        *out = rows_json(conflicts);
        json_decref(root);
        return 412;
    }
    json_decref(conflicts);
    store_version++;
    json_array_foreach (json_object_get(root, "upserts"), i, entry) {
        row_t *row =
            find_row(json_string_value(json_object_get(entry, "table_name")),
                     json_string_value(json_object_get(entry, "key")), true);
        free(row->value);
        row->value =
            strdup(json_string_value(json_object_get(entry, "value")));
        row->version = store_version;
    }
    json_array_foreach (json_object_get(root, "remove"), i, entry) {
        row_t *row =
            find_row(json_string_value(json_object_get(entry, "table_name")),
                     json_string_value(json_object_get(entry, "key")), true);
        free(row->value);
        row->value = NULL;
        row->version = store_version;
    }
    json_decref(root);
    pthread_cond_broadcast(&store_changed);
    *out = json_pack("{s:I, s:f}", "ver", (json_int_t)store_version, "now_s",
                     clock_s());
    return 200;
}

static void
note_feed(lab_node_t *node, const char *target)
{
    bool is_config = strstr(target, "table_name=op&") != NULL;

    node->feed_began[is_config ? LAB_FEED_CONFIG : LAB_FEED_NODES] = Lab_Now();
}

static int
store_answer(lab_node_t *node, const char *target, const char *body,
             json_t **out)
{
    char table[64];
    int status = 200;

    pthread_mutex_lock(&store_lock);
    if (strncmp(target, "/v1/rows-get?", 13) == 0) {
        get_query(target, "table_name", table, sizeof(table));
        *out = rows_json(list_rows(table, 0, false));
    }
    else if (strncmp(target, "/v1/rows-feed?", 14) == 0) {
        note_feed(node, target);
        *out = feed(target);
    }
    else if (strcmp(target, "/v1/rows-tx") == 0) {
        status = transact(body, out);
    }
    else {
        status = 404;
    }
    pthread_mutex_unlock(&store_lock);
    return status;
}

/* Keeps a connection open on which a response was lost, until the node closes
 * it. */
static void
stay_silent(const lab_node_t *node, int fd, const char *target)
{
    char data[4096];

    Lab_Record("store: its response to %s is lost: %s", node->name, target);
    while (recv(fd, data, sizeof(data), 0) > 0) {
    }
    Lab_Record("store: %s has closed that connection", node->name);
}

static void *
serve_store(void *arg)
{
    connection_t *connection = arg;
    reader_t *reader = &connection->reader;
    char head[8192], method[16], target[1024];
    static __thread char body[65536];
    size_t size;

    while ((size = read_head(reader)) > 0 && size < sizeof(head)) {
        memcpy(head, reader->buffer, size);
        head[size] = '\0';
        drop(reader, size);
        json_t *out = NULL;
        if (sscanf(head, "%15s %1023s", method, target) != 2 ||
            !read_body(reader, head, size, body, sizeof(body))) {
            break;
        }
        int status = store_answer(connection->arg, target, body, &out);
        if (((lab_node_t *)connection->arg)->is_store_silent) {
            json_decref(out);
            stay_silent(connection->arg, reader->fd, target);
            break;
        }
        if (!respond_json(reader->fd, status, out)) {
            break;
        }
    }
    close(reader->fd);
    free(connection);
    return NULL;
}

static char *
encode_base64(const char *text)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t size = strlen(text);
    char *out = calloc(1, size * 4 / 3 + 8), *at = out;

    for (size_t i = 0; i < size; i += 3) {
        uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;
        bits |= i + 1 < size ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
        bits |= i + 2 < size ? (uint32_t)(unsigned char)text[i + 2] : 0;
        *at++ = digits[bits >> 18 & 63];
        *at++ = digits[bits >> 12 & 63];
        *at++ = i + 1 < size ? digits[bits >> 6 & 63] : '=';
        *at++ = i + 2 < size ? digits[bits & 63] : '=';
    }
    return out;
}

double
LabStore_PutConfig(const char *config)
{
    pthread_mutex_lock(&store_lock);
    row_t *row = find_row("op", "config", true);
    free(row->value);
    row->value = encode_base64(config);
    row->version = ++store_version;
    pthread_cond_broadcast(&store_changed);
    pthread_mutex_unlock(&store_lock);
    Lab_Record("store: op/config written and acknowledged: %s", config);
    return Lab_Now();
}

void
LabStore_SetSilent(lab_node_t *node, bool is_silent)
{
    node->is_store_silent = is_silent;
    Lab_Record("store: %s %s", is_silent ? "gives no response to" : "serves",
               node->name);
}

static int
count_node_rows(void)
{
    int count = 0;

    pthread_mutex_lock(&store_lock);
    for (int i = 0; i < row_count; i++) {
        count += strcmp(rows[i].table, "op") != 0 && rows[i].value != NULL;
    }
    pthread_mutex_unlock(&store_lock);
    return count;
}

/* ---- backends ---- */

static pthread_mutex_t run_lock = PTHREAD_MUTEX_INITIALIZER;
static lab_run_t runs[MAX_RUNS];
static int run_count;

static lab_run_t *
add_run(const char *id, const char *target_id)
{
    pthread_mutex_lock(&run_lock);
    if (run_count == MAX_RUNS) {
        Lab_GiveUp("too many runs");
    }
    lab_run_t *run = &runs[run_count++];
    snprintf(run->id, sizeof(run->id), "%s", id);
    snprintf(run->target_id, sizeof(run->target_id), "%s", target_id);
    run->arrived_at = Lab_Now();
    pthread_mutex_unlock(&run_lock);
    return run;
}

int
LabBackend_Runs(lab_run_t *out, int most)
{
    pthread_mutex_lock(&run_lock);
    int count = run_count < most ? run_count : most;
    memcpy(out, runs, (size_t)count * sizeof(*out));
    pthread_mutex_unlock(&run_lock);
    return count;
}

bool
LabBackend_FindRun(const char *id, lab_run_t *out)
{
    bool is_found = false;

    pthread_mutex_lock(&run_lock);
    for (int i = 0; i < run_count && !is_found; i++) {
        if (strcmp(runs[i].id, id) == 0) {
            *out = runs[i];
            is_found = true;
        }
    }
    pthread_mutex_unlock(&run_lock);
    return is_found;
}

/* Works for a time; returns false when the connection closes meanwhile: most
 * backends drop a request then. */
static bool
work(int fd, double seconds)
{
    double until = clock_s() + seconds;

    for (;;) {
        double left = until - clock_s();
        if (left <= 0) {
            return true;
        }
        struct pollfd poll_fd = {.fd = fd, .events = POLLRDHUP};
        if (poll(&poll_fd, 1, (int)(left * 1000) + 1) > 0) {
            return false;
        }
    }
}

static bool
send_body(int fd, int64_t size, double rate_kbps)
{
    static char data[16384];
    double began = clock_s();
    int64_t sent = 0;

    memset(data, 'b', sizeof(data));
    while (sent < size) {
        size_t part = size - sent < (int64_t)sizeof(data)
                          ? (size_t)(size - sent)
                          : sizeof(data);
        if (!write_all(fd, data, part)) {
            return false;
        }
        sent += (int64_t)part;
        if (rate_kbps > 0) {
            Lab_Sleep(began + (double)sent / (rate_kbps * 125) - clock_s());
        }
    }
    return true;
}

static bool
serve_request(lab_node_t *node, reader_t *reader, const char *head,
              size_t head_size)
{
    char method[16], target[1024], id[40], expected[64], fields[512];
    bool is_kept = false;

    if (sscanf(head, "%15s %1023s", method, target) != 2) {
        return false;
    }
    get_field(head, head_size, "X-Attempt-Id", id, sizeof(id));
    bool is_expected = !get_field(head, head_size, "X-Expect-Instance",
                                  expected, sizeof(expected)) ||
                       strcmp(expected, node->target_id) == 0;
    if (!is_expected) {
        if (!read_body(reader, head, head_size, NULL, 0)) {
            return false;
        }
        int size = snprintf(fields, sizeof(fields),
                            "HTTP/1.1 421 Misdirected Request\r\n"
                            "X-Attempt-Id: %s\r\nX-Instance-Id: %s\r\n"
                            "Content-Length: 0\r\n\r\n",
                            id, node->target_id);
        Lab_Record("backend %s: %s gets 421", node->target_id, id);
        return write_all(reader->fd, fields, (size_t)size);
    }
    lab_run_t *run = add_run(id, node->target_id);
    if (!read_body(reader, head, head_size, NULL, 0)) {
        run->is_dropped = true;
        run->ended_at = Lab_Now();
        Lab_Record("backend %s: %s ended before its body was whole",
                   node->target_id, id);
        return false;
    }
    run->began_at = Lab_Now();
    int running = __sync_add_and_fetch(&node->running, 1);
    Lab_Record("backend %s: runs %s %s", node->target_id, id, target);
    if (work(reader->fd, get_query_number(target, "work") / 1000)) {
        int64_t body = (int64_t)get_query_number(target, "size");
        int size = snprintf(
            fields, sizeof(fields),
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\n"
            "X-Server-Load: %d,0,%d\r\nContent-Length: %lld\r\n\r\n",
            id, id, running, node->slots, (long long)body);
        is_kept =
            write_all(reader->fd, fields, (size_t)size) &&
            send_body(reader->fd, body, get_query_number(target, "rate"));
    }
    run->is_dropped = !is_kept;
    run->ended_at = Lab_Now();
    __sync_sub_and_fetch(&node->running, 1);
    Lab_Record("backend %s: %s %s", node->target_id,
               is_kept ? "has answered" : "drops, connection closed:", id);
    return is_kept;
}

static void *
serve_backend(void *arg)
{
    connection_t *connection = arg;
    reader_t *reader = &connection->reader;
    char head[8192];
    size_t size;

    while ((size = read_head(reader)) > 0 && size < sizeof(head)) {
        memcpy(head, reader->buffer, size);
        head[size] = '\0';
        drop(reader, size);
        if (!serve_request(connection->arg, reader, head, size)) {
            break;
        }
    }
    close(reader->fd);
    free(connection);
    return NULL;
}

/* Sends a call to the control address of the node; returns the status of the
 * response, 0 for none within a second. */
static int
call_control(const lab_node_t *node, const char *method, const char *body)
{
    char text[1024];
    int length = snprintf(text, sizeof(text),
                          "%s /v1/instances/%s HTTP/1.1\r\nHost: node\r\n"
                          "Content-Type: application/json\r\n"
                          "Content-Length: %zu\r\n\r\n%s",
                          method, node->target_id, strlen(body), body);
    lab_client_t *client = calloc(1, sizeof(*client));
    int status = 0;

    if (LabClient_Open(client, node->control_port)) {
        if (write_all(client->fd, text, (size_t)length)) {
            status = LabClient_Read(client, 1.0, 0, 0).status;
        }
        LabClient_Close(client);
    }
    free(client);
    return status;
}

int
LabBackend_SendHeartbeat(lab_node_t *node, int64_t sequence)
{
    char body[512];

    snprintf(body, sizeof(body),
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
             "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
             "\"state\":\"ready\",\"cold_left_s\":0,\"sequence\":%lld,"
             "\"born\":%lld}",
             node->service, node->target_port, node->zone, node->slots,
             (long long)sequence, (long long)node->born_ms);
    return call_control(node, "PUT", body);
}

double
LabBackend_Leave(lab_node_t *node)
{
    node->has_left = true;
    int status = call_control(node, "DELETE", "");
    Lab_Record("backend %s: says that it leaves, response %d", node->target_id,
               status);
    return status / 100 == 2 ? Lab_Now() : 0;
}

static void *
send_heartbeats(void *arg)
{
    lab_node_t *node = arg;

    while (!is_stopping && !node->has_left) {
        LabBackend_SendHeartbeat(node, ++node->sequence);
        Lab_Sleep(HEARTBEAT_S);
    }
    return NULL;
}

/* ---- nodes ---- */

void
Lab_GiveUp(const char *reason)
{
    fprintf(stderr, "lab: %s\n", reason);
    if (record != NULL) {
        Lab_Record("could not run: %s", reason);
    }
    end_nodes();
    _exit(LAB_EXIT_NOT_RUN);
}

void
Lab_Start(void)
{
    const char *trouble = getenv("TROUBLE");
    const char *path = getenv("LAB_RECORD");

    signal(SIGPIPE, SIG_IGN);
    started_at = clock_s();
    lab_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    record = fopen(path != NULL ? path : "record.txt", "w");
    snprintf(work_dir, sizeof(work_dir), "%s/review-XXXXXX",
             getenv("TMPDIR") != NULL ? getenv("TMPDIR") : "/tmp");
    if (record == NULL || mkdtemp(work_dir) == NULL) {
        fprintf(stderr, "lab: cannot write the record or make a folder\n");
        exit(LAB_EXIT_NOT_RUN);
    }
    Lab_Record("trouble: %s", lab_trouble ? "yes" : "no");
}

lab_node_t *
Lab_AddNode(const char *service, const char *zone, int slots)
{
    lab_node_t *node = &lab_nodes[lab_node_count++];
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    snprintf(node->name, sizeof(node->name), "sidecar-%s-%d", zone,
             lab_node_count);
    snprintf(node->service, sizeof(node->service), "%s", service);
    snprintf(node->zone, sizeof(node->zone), "%s", zone);
    snprintf(node->target_id, sizeof(node->target_id), "i-%s-%d", service,
             lab_node_count);
    node->slots = slots;
    node->is_first_start = true;
    node->born_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    serve_on(listen_on_free_port(&node->target_port), serve_backend, node);
    serve_on(listen_on_free_port(&node->store_port), serve_store, node);
    node->callers_port = free_port();
    node->forward_port = free_port();
    node->admin_port = free_port();
    node->control_port = free_port();
    return node;
}

/* Path of a file of a node; free it. */
static char *
format_path(const char *folder, const lab_node_t *node, const char *ending)
{
    char *path;

    if (asprintf(&path, "%s/%s%s", folder, node->name, ending) < 0) {
        Lab_GiveUp("no memory");
    }
    return path;
}

/* The settings as the template of the deploy file gives them. */
static void
write_settings(lab_node_t *node)
{
    char *path = format_path(work_dir, node, ".toml");
    FILE *file = fopen(path, "w");
    if (file == NULL) {
        Lab_GiveUp("cannot write settings");
    }
    fprintf(file,
            "[node]\nname = \"%s\"\ndata_centre = \"%s\"\nservice = \"%s\"\n"
            "target_address = \"127.0.0.1:%d\"\nlink_mbps = 1000.0\n"
            "first_start = %s\n\n[listen]\ncallers = \"127.0.0.1:%d\"\n"
            "forwarded = \"127.0.0.1:%d\"\nadmin = \"127.0.0.1:%d\"\n"
            "announcements = \"127.0.0.1:%d\"\n\n[platform]\n"
            "address = \"127.0.0.1:%d\"\n\n[limits]\nshutdown_s = 6\n"
            "repeat_ratio = 0.2\nrepeat_extra = 60\n",
            node->name, node->zone, node->service, node->target_port,
            node->is_first_start ? "true" : "false", node->callers_port,
            node->forward_port, node->admin_port, node->control_port,
            node->store_port);
    fclose(file);
    free(path);
}

void
Lab_StartNode(lab_node_t *node)
{
    char settings[600], path[4096];
    const char *log_dir = getenv("LAB_LOG");
    char *log_path =
        format_path(log_dir != NULL ? log_dir : work_dir, node, ".log");

    write_settings(node);
    snprintf(settings, sizeof(settings), "BURDOCKBARROW_CONFIG=%s/%s.toml",
             work_dir, node->name);
    snprintf(path, sizeof(path), "PATH=%s",
             getenv("PATH") != NULL ? getenv("PATH") : "");
    char *environment[] = {settings, path, NULL};
    char *arguments[] = {"target/bbsidecar", NULL};
    node->is_first_start = false;
    node->pid = fork();
    if (node->pid == 0) {
        int fd = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        execve(arguments[0], arguments, environment);
        _exit(127);
    }
    free(log_path);
    Lab_Record("node %s: started, callers 127.0.0.1:%d, service %s",
               node->name, node->callers_port, node->service);
}

bool
Lab_IsAlive(lab_node_t *node, int *status)
{
    int ended = 0;

    if (node->pid <= 0) {
        return false;
    }
    if (waitpid(node->pid, &ended, WNOHANG) != node->pid) {
        return true;
    }
    if (WIFSIGNALED(ended)) {
        Lab_Record("node %s: process ended by signal %d", node->name,
                   WTERMSIG(ended));
    }
    else {
        Lab_Record("node %s: process exited with %d", node->name,
                   WEXITSTATUS(ended));
    }
    node->pid = 0;
    if (status != NULL) {
        *status = ended;
    }
    return false;
}

static bool
is_ready(lab_node_t *node)
{
    lab_client_t *client = calloc(1, sizeof(*client));
    char id[40];
    int status = 0;

    LabClient_NewId(id);
    if (LabClient_Open(client, node->admin_port)) {
        if (LabClient_Send(client, "GET", "/healthz", id, 0, 0)) {
            status = LabClient_Read(client, 1.0, 0, 0).status;
        }
        LabClient_Close(client);
    }
    free(client);
    return status == 200;
}

void
Lab_Run(const char *config)
{
    LabStore_PutConfig(config);
    for (int i = 0; i < lab_node_count; i++) {
        Lab_StartNode(&lab_nodes[i]);
    }
    for (int i = 0; i < lab_node_count; i++) {
        start_thread(send_heartbeats, &lab_nodes[i]);
    }
    for (int i = 0; i < lab_node_count; i++) {
        while (!is_ready(&lab_nodes[i])) {
            if (Lab_Now() > READY_TIMEOUT_S ||
                !Lab_IsAlive(&lab_nodes[i], NULL)) {
                Lab_GiveUp("a node is not ready");
            }
            Lab_Sleep(0.1);
        }
    }
    while (count_node_rows() < lab_node_count) {
        if (Lab_Now() > READY_TIMEOUT_S) {
            Lab_GiveUp("records are missing");
        }
        Lab_Sleep(0.1);
    }
    Lab_Sleep(2.5); /* all nodes have read all records */
    Lab_Record("all nodes are ready");
}

static bool
is_listed(const char *service, int before)
{
    for (int i = 0; i < before; i++) {
        if (strcmp(lab_nodes[i].service, service) == 0) {
            return true;
        }
    }
    return false;
}

char *
Lab_FormatConfig(int version, const char *rules)
{
    char services[1024] = "", *text;

    for (int i = 0; i < lab_node_count; i++) {
        const char *service = lab_nodes[i].service;
        size_t used = strlen(services);
        if (!is_listed(service, i)) {
            snprintf(services + used, sizeof(services) - used,
                     "%s{\"name\":\"%s\",\"health_path\":\"/health\","
                     "\"max_connections\":120}",
                     used > 0 ? "," : "", service);
        }
    }
    if (asprintf(&text,
                 "{\"version\":\"r%d\",\"services\":[%s],\"limits\":{"
                 "\"header_bytes\":16384,\"body_bytes\":67108864,"
                 "\"header_s\":3,\"idle_s\":15},\"virtual_hosts\":[{"
                 "\"host\":\"mesh.example\",\"path_rules\":[%s]}]}",
                 version, services, rules) < 0) {
        Lab_GiveUp("no memory");
    }
    return text;
}

static void
remove_file(const lab_node_t *node, const char *ending)
{
    char *path = format_path(work_dir, node, ending);

    unlink(path);
    free(path);
}

/* Ends all processes that were started and removes their files. */
static void
end_nodes(void)
{
    for (int i = 0; i < lab_node_count; i++) {
        if (lab_nodes[i].pid > 0) {
            kill(lab_nodes[i].pid, SIGKILL);
            waitpid(lab_nodes[i].pid, NULL, 0);
        }
        remove_file(&lab_nodes[i], ".log");
        remove_file(&lab_nodes[i], ".toml");
    }
    rmdir(work_dir);
}

void
Lab_End(void)
{
    is_stopping = true;
    end_nodes();
}

int
Lab_Finish(bool is_broken)
{
    Lab_End();
    Lab_Record("result: the rule %s", is_broken ? "was broken" : "held");
    printf("the rule %s\n", is_broken ? "was broken" : "held");
    fflush(stdout);
    return is_broken ? LAB_EXIT_BROKEN : LAB_EXIT_HELD;
}

/* ---- clients ---- */

void
LabClient_NewId(char id[40])
{
    static int next;

    snprintf(id, 40, "%08x%08x", (unsigned)getpid(),
             __sync_add_and_fetch(&next, 1));
}

bool
LabClient_Open(lab_client_t *client, int port)
{
    return LabClient_OpenFar(client, port, 0, 0);
}

bool
LabClient_OpenFar(lab_client_t *client, int port, int mss, int receive_bytes)
{
    client->used = 0;
    client->id[0] = '\0';
    client->fd = connect_to(port, mss, receive_bytes);
    return client->fd >= 0;
}

void
LabClient_Close(lab_client_t *client)
{
    if (client->fd >= 0) {
        close(client->fd);
    }
    client->fd = -1;
}

bool
LabClient_Write(lab_client_t *client, const void *data, size_t size)
{
    return write_all(client->fd, data, size);
}

bool
LabClient_Send(lab_client_t *client, const char *method, const char *target,
               const char *id, int deadline_ms, size_t body_bytes)
{
    char head[2048], deadline[64] = "", length[64] = "";

    if (deadline_ms > 0) {
        snprintf(deadline, sizeof(deadline), "X-Deadline-Ms: %d\r\n",
                 deadline_ms);
    }
    if (body_bytes > 0) {
        snprintf(length, sizeof(length), "Content-Length: %zu\r\n",
                 body_bytes);
    }
    int size = snprintf(head, sizeof(head),
                        "%s %s HTTP/1.1\r\nHost: mesh.example\r\n"
                        "X-Attempt-Id: %s\r\n%s%s\r\n",
                        method, target, id, deadline, length);
    snprintf(client->id, sizeof(client->id), "%s", id);
    Lab_Record("client: sends %s %s %s", id, method, target);
    return write_all(client->fd, head, (size_t)size);
}

static bool
wait_readable(int fd, double until)
{
    double left = until - clock_s();
    struct pollfd poll_fd = {.fd = fd, .events = POLLIN};

    return left > 0 && poll(&poll_fd, 1, (int)(left * 1000) + 1) > 0;
}

static lab_answer_t
read_answer(lab_client_t *client, double timeout_s, double rate_kbps,
            int64_t stop_after)
{
    lab_answer_t answer = {.content_length = -1};
    double until = clock_s() + timeout_s, began = 0;
    char *end, text[64];
    int status = 0;

    for (;;) {
        while ((end = memmem(client->buffer, client->used, "\r\n\r\n", 4)) ==
               NULL) {
            if (!wait_readable(client->fd, until)) {
                answer.is_timeout = true;
                return answer;
            }
            ssize_t size = recv(client->fd, client->buffer + client->used,
                                sizeof(client->buffer) - client->used, 0);
            if (size <= 0) {
                return answer;
            }
            client->used += (size_t)size;
        }
        size_t head_size = (size_t)(end - client->buffer) + 4;
        status = atoi(client->buffer + 9);
        answer.has_head = true;
        answer.is_sealed = get_field(client->buffer, head_size,
                                     "X-Server-Seal", text, sizeof(text));
        get_field(client->buffer, head_size, "X-Attempt-Id", answer.call_id,
                  sizeof(answer.call_id));
        if (get_field(client->buffer, head_size, "Content-Length", text,
                      sizeof(text))) {
            answer.content_length = atoll(text);
        }
        client->used -= head_size;
        memmove(client->buffer, client->buffer + head_size, client->used);
        if (status >= 200) {
            break;
        }
    }
    began = clock_s();
    while (answer.received < answer.content_length) {
        if (stop_after > 0 && answer.received >= stop_after) {
            return answer;
        }
        if (client->used == 0) {
            if (!wait_readable(client->fd, until)) {
                answer.is_timeout = true;
                return answer;
            }
            size_t most = rate_kbps > 0 ? 8192 : sizeof(client->buffer);
            ssize_t size = recv(client->fd, client->buffer, most, 0);
            if (size <= 0) {
                return answer;
            }
            client->used = (size_t)size;
        }
        int64_t left = answer.content_length - answer.received;
        size_t part =
            (int64_t)client->used < left ? client->used : (size_t)left;
        answer.received += (int64_t)part;
        client->used -= part;
        memmove(client->buffer, client->buffer + part, client->used);
        if (rate_kbps > 0) {
            Lab_Sleep(began + (double)answer.received / (rate_kbps * 125) -
                      clock_s());
        }
    }
    answer.status = status;
    return answer;
}

lab_answer_t
LabClient_Read(lab_client_t *client, double timeout_s, double rate_kbps,
               int64_t stop_after)
{
    lab_answer_t answer =
        read_answer(client, timeout_s, rate_kbps, stop_after);

    if (client->id[0] == '\0') {
        return answer; /* of a heartbeat */
    }
    if (answer.status != 0) {
        Lab_Record("client: %s gets %d, %lld bytes",
                   answer.call_id[0] != '\0' ? answer.call_id : client->id,
                   answer.status, (long long)answer.received);
    }
    else {
        Lab_Record("client: %s has no whole answer, %lld of %lld bytes%s",
                   client->id, (long long)answer.received,
                   (long long)answer.content_length,
                   answer.is_timeout ? ", waits no longer" : "");
    }
    return answer;
}
