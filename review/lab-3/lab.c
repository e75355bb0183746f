#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define SIDECAR "target/bbsidecar"
#define EXIT_CANNOT_RUN 2
#define HEARTBEAT_INTERVAL_S 1.0
#define STORE_ANSWER_S 0.004
#define READ_TIMEOUT_S 600.0

lab_node_t Lab_Nodes[LAB_MAX_NODES];
int Lab_NodeCount;

static char *work_folder;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec started;

static void
fail_to_run(const char *what)
{
    fprintf(stderr, "cannot run: %s\n", what);
    exit(EXIT_CANNOT_RUN);
}

/* ---- time and record ---- */

double
Lab_Now(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)(now.tv_sec - started.tv_sec) +
           (double)(now.tv_nsec - started.tv_nsec) / 1e9;
}

void
Lab_Sleep(double seconds)
{
    struct timespec left = {(time_t)seconds,
                            (long)((seconds - (double)(time_t)seconds) * 1e9)};

    while (nanosleep(&left, &left) != 0 && errno == EINTR) {
    }
}

void
Lab_Record(const char *format, ...)
{
    va_list args;

    pthread_mutex_lock(&record_lock);
    fprintf(record_file, "%8.3f ", Lab_Now());
    va_start(args, format);
    vfprintf(record_file, format, args);
    va_end(args);
    fputc('\n', record_file);
    fflush(record_file);
    pthread_mutex_unlock(&record_lock);
}

/* ---- HTTP ---- */

static bool
fill(lab_connection_t *connection, double timeout_s)
{
    struct pollfd state = {.fd = connection->fd, .events = POLLIN};

    if (connection->start == connection->end) {
        connection->start = connection->end = 0;
    }
    else if (connection->start > 0) {
        memmove(connection->buffer, connection->buffer + connection->start,
                connection->end - connection->start);
        connection->end -= connection->start;
        connection->start = 0;
    }
    if (connection->end == sizeof(connection->buffer) ||
        poll(&state, 1, (int)(timeout_s * 1000)) <= 0) {
        return false;
    }
    ssize_t size = recv(connection->fd, connection->buffer + connection->end,
                        sizeof(connection->buffer) - connection->end, 0);
    if (size <= 0) {
        return false;
    }
    connection->end += (size_t)size;
    return true;
}

static void
parse_first_line(lab_head_t *head)
{
    head->status = 0;
    if (sscanf(head->text, "HTTP/1.1 %d", &head->status) != 1) {
        sscanf(head->text, "%15s %1023s", head->method, head->target);
    }
}

bool
Lab_ReadHead(lab_connection_t *connection, lab_head_t *head, double timeout_s)
{
    for (;;) {
        const char *data = connection->buffer + connection->start;
        size_t size = connection->end - connection->start;
        const char *end = memmem(data, size, "\r\n\r\n", 4);
        if (end != NULL && (size_t)(end - data) + 4 < LAB_HEAD_BYTES) {
            head->size = (size_t)(end - data) + 2;
            memcpy(head->text, data, head->size);
            connection->start += head->size + 2;
            for (size_t i = 0; i < head->size; i++) {
                if (head->text[i] == '\r' || head->text[i] == '\n') {
                    head->text[i] = '\0';
                }
            }
            parse_first_line(head);
            return true;
        }
        if (!fill(connection, timeout_s)) {
            return false;
        }
    }
}

const char *
Lab_Field(const lab_head_t *head, const char *name)
{
    size_t length = strlen(name);

    for (size_t at = 0; at < head->size; at++) {
        const char *line = head->text + at;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            line += length + 1;
            return line + strspn(line, " ");
        }
        at += strlen(line);
    }
    return NULL;
}

bool
Lab_ReadBody(lab_connection_t *connection, const lab_head_t *head,
             GByteArray *out, size_t *size, double timeout_s)
{
    const char *length = Lab_Field(head, "Content-Length");
    size_t left = length != NULL ? strtoul(length, NULL, 10) : 0;

    *size = 0;
    while (left > 0) {
        size_t available = connection->end - connection->start;
        if (available == 0) {
            if (!fill(connection, timeout_s)) {
                return false;
            }
            continue;
        }
        size_t taken = MIN(available, left);
        if (out != NULL) {
            g_byte_array_append(
                out, (const guint8 *)connection->buffer + connection->start,
                (guint)taken);
        }
        connection->start += taken;
        left -= taken;
        *size += taken;
    }
    return true;
}

static struct sockaddr_in
loopback(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int
Lab_Connect(int port)
{
    struct sockaddr_in address = loopback(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool
Lab_SendAll(int fd, const void *data, size_t size)
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

bool
Lab_SendText(int fd, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    bool is_sent = Lab_SendAll(fd, text, strlen(text));
    g_free(text);
    return is_sent;
}

bool
Lab_SendFiller(int fd, size_t size)
{
    static char filler[65536];

    while (size > 0) {
        size_t part = MIN(size, sizeof(filler));
        if (!Lab_SendAll(fd, filler, part)) {
            return false;
        }
        size -= part;
    }
    return true;
}

/* ---- servers ---- */

typedef struct {
    int fd;
    void (*serve)(int fd, void *arg);
    void *arg;
} server_t;

static void *
run_connection(void *arg)
{
    server_t *accepted = arg;

    accepted->serve(accepted->fd, accepted->arg);
    close(accepted->fd);
    g_free(accepted);
    return NULL;
}

static void
start_thread(void *(*run)(void *), void *arg)
{
    pthread_t thread;

    if (pthread_create(&thread, NULL, run, arg) != 0) {
        fail_to_run("no thread");
    }
    pthread_detach(thread);
}

static void *
run_server(void *arg)
{
    const server_t *server = arg;

    for (;;) {
        int on = 1;
        int fd = accept4(server->fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        server_t *accepted = g_memdup2(server, sizeof(*server));
        accepted->fd = fd;
        start_thread(run_connection, accepted);
    }
    return NULL;
}

/* Listens on a free port, which is returned. */
static int
listen_on_free_port(int *port)
{
    struct sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (bind(fd, (struct sockaddr *)&address, size) != 0 ||
        listen(fd, 256) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
        fail_to_run("no free port");
    }
    *port = ntohs(address.sin_port);
    return fd;
}

static int
start_server(void (*serve)(int fd, void *arg), void *arg)
{
    server_t *server = g_new0(server_t, 1);
    int port;

    server->fd = listen_on_free_port(&port);
    server->serve = serve;
    server->arg = arg;
    start_thread(run_server, server);
    return port;
}

/* A free port for a sidecar, below those that the kernel gives to connections.
 */
static int
draw_port(void)
{
    const int first = 10240, count = 22000;
    static int next;

    /* Scripts that run side by side begin at different ports. */
    next = next == 0 ? (int)g_random_int_range(1, count) : next;
    for (int tries = 0; tries < count; tries++) {
        int port = first + next++ % count;
        struct sockaddr_in address = loopback(port);
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int error = bind(fd, (struct sockaddr *)&address, sizeof(address));
        close(fd);
        if (error == 0) {
            return port;
        }
    }
    fail_to_run("no free port");
    return 0;
}

/* ---- store ---- */

typedef struct {
    char *value; /* base64; NULL: removed */
    int64_t version;
} row_t;

static GHashTable *rows; /* "table\nkey" to row_t */
static int64_t store_version = 100;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static int store_port;
static int store_era = 1; /* header Store-Era */
static bool is_store_away;
static GHashTable *copied_rows;
static int64_t copied_version;

const char *Lab_MoreSettings = "";

static void
set_row(const char *table, const char *key, const char *value)
{
    row_t *row = g_new0(row_t, 1);

    row->value = g_strdup(value);
    row->version = store_version;
    g_hash_table_replace(rows, g_strconcat(table, "\n", key, NULL), row);
}

static json_t *
row_to_json(const char *name, const row_t *row)
{
    const char *key = strchr(name, '\n') + 1;
    char *table = g_strndup(name, (gsize)(key - 1 - name));
    json_t *object =
        json_pack("{s:s, s:s, s:s, s:I}", "table_name", table, "part", "",
                  "key", key, "ver", (json_int_t)row->version);

    if (row->value != NULL) {
        json_object_set_new(object, "value", json_string(row->value));
    }
    else {
        json_object_set_new(object, "tombstone", json_true());
    }
    g_free(table);
    return object;
}

static gint
compare_versions(gconstpointer a, gconstpointer b)
{
    const row_t *x = g_hash_table_lookup(rows, a);
    const row_t *y = g_hash_table_lookup(rows, b);

    return (x->version > y->version) - (x->version < y->version);
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

/* Rows of the table: for a read the present ones by key; for a feed those
 * that changed after a version, in order. */
static json_t *
list_rows(const char *table, const char *from, int64_t after)
{
    json_t *list = json_array();
    char *prefix = g_strconcat(table, "\n", NULL);
    GList *names = g_list_sort(g_hash_table_get_keys(rows),
                               after < 0 ? compare_names : compare_versions);

    for (const GList *item = names; item != NULL; item = item->next) {
        const char *name = item->data;
        const row_t *row = g_hash_table_lookup(rows, name);
        bool is_listed = after < 0
                             ? row->value != NULL &&
                                   strcmp(name + strlen(prefix), from) >= 0
                             : row->version > after;
        if (g_str_has_prefix(name, prefix) && is_listed) {
            json_array_append_new(list, row_to_json(name, row));
        }
    }
    g_list_free(names);
    g_free(prefix);
    return list;
}

static char *
query_value(const char *target, const char *name)
{
    char *wanted = g_strconcat(name, "=", NULL);
    const char *found = strstr(target, wanted);
    char *value = NULL;

    if (found != NULL) {
        found += strlen(wanted);
        value =
            g_uri_unescape_segment(found, found + strcspn(found, "&"), NULL);
    }
    g_free(wanted);
    return value != NULL ? value : g_strdup("");
}

static json_t *
with_rows(json_t *list)
{
    return json_pack("{s:o, s:b, s:I, s:f}", "rows", list, "has_more", 0,
                     "ver", (json_int_t)store_version, "now_s", Lab_Now());
}

static json_t *
handle_feed(const char *target, const char *table, int *status)
{
    char *after = query_value(target, "after");
    char *wait_ms = query_value(target, "wait_ms");
    double end = Lab_Now() + strtod(wait_ms, NULL) / 1000.0;
    json_t *list = list_rows(table, "", strtoll(after, NULL, 10));

    while (json_array_size(list) == 0 && Lab_Now() < end &&
           strtoll(after, NULL, 10) <= store_version) {
        struct timespec until;
        clock_gettime(CLOCK_REALTIME, &until);
        until.tv_nsec += 50 * 1000 * 1000;
        until.tv_sec += until.tv_nsec / 1000000000;
        until.tv_nsec %= 1000000000;
        pthread_cond_timedwait(&store_changed, &store_lock, &until);
        json_decref(list);
        list = list_rows(table, "", strtoll(after, NULL, 10));
    }
    if (strtoll(after, NULL, 10) > store_version) {
        *status = 410; /* a version that the store does not have */
    }
    g_free(after);
    g_free(wait_ms);
    return with_rows(list);
}

static char *
name_of(const json_t *entry)
{
    return g_strconcat(json_string_value(json_object_get(entry, "table_name")),
                       "\n", json_string_value(json_object_get(entry, "key")),
                       NULL);
}

static void
apply_entries(const json_t *entries, bool is_removal)
{
    size_t index;
    const json_t *entry;

    json_array_foreach (entries, index, entry) {
        set_row(json_string_value(json_object_get(entry, "table_name")),
                json_string_value(json_object_get(entry, "key")),
                is_removal
                    ? NULL
                    : json_string_value(json_object_get(entry, "value")));
    }
}

static json_t *
handle_transaction(const json_t *root, int *status)
{
    json_t *current = json_array();
    bool is_met = true;
    size_t index;
    const json_t *entry;

    json_array_foreach (json_object_get(root, "expected"), index, entry) {
        char *name = name_of(entry);
        const row_t *row = g_hash_table_lookup(rows, name);
        bool is_present = row != NULL && row->value != NULL;
        int64_t version = is_present ? row->version : 0;
        is_met = is_met &&
                 version == json_integer_value(json_object_get(entry, "ver"));
        if (is_present) {
            json_array_append_new(current, row_to_json(name, row));
        }
        g_free(name);
    }
    if (!is_met) {
        *status = 412;
        return with_rows(current);
    }
    json_decref(current);
    store_version++;
    apply_entries(json_object_get(root, "upserts"), false);
    apply_entries(json_object_get(root, "remove"), true);
    pthread_cond_broadcast(&store_changed);
    return json_pack("{s:I, s:f}", "ver", (json_int_t)store_version, "now_s",
                     Lab_Now());
}

static json_t *
handle_store_call(const lab_head_t *head, const json_t *body, int *status)
{
    char *table = query_value(head->target, "table_name");
    char *from = query_value(head->target, "from");
    json_t *answer = NULL;

    *status = 200;
    pthread_mutex_lock(&store_lock);
    if (is_store_away) {
        *status = 503;
        answer = json_object();
    }
    else if (g_str_has_prefix(head->target, "/v1/rows-get?")) {
        answer = with_rows(list_rows(table, from, -1));
    }
    else if (g_str_has_prefix(head->target, "/v1/rows-feed?")) {
        answer = handle_feed(head->target, table, status);
    }
    else if (strcmp(head->target, "/v1/rows-tx") == 0) {
        answer = handle_transaction(body, status);
    }
    else {
        *status = 404;
        answer = json_object();
    }
    pthread_mutex_unlock(&store_lock);
    g_free(table);
    g_free(from);
    return answer;
}

static void
serve_store(int fd, void *arg)
{
    lab_connection_t *connection = g_new0(lab_connection_t, 1);
    lab_head_t *head = g_new0(lab_head_t, 1);
    bool is_open = true;
    (void)arg;

    connection->fd = fd;
    while (is_open && Lab_ReadHead(connection, head, READ_TIMEOUT_S)) {
        GByteArray *body = g_byte_array_new();
        size_t size;
        int status;
        is_open = Lab_ReadBody(connection, head, body, &size, READ_TIMEOUT_S);
        json_t *root =
            json_loadb((const char *)body->data, body->len, 0, NULL);
        Lab_Sleep(STORE_ANSWER_S);
        json_t *answer = handle_store_call(head, root, &status);
        char *text = json_dumps(answer, JSON_COMPACT);
        is_open =
            is_open && Lab_SendText(fd,
                                    "HTTP/1.1 %d X\r\n"
                                    "Content-Type: application/json\r\n"
                                    "Store-Era: %d\r\n"
                                    "Content-Length: %zu\r\n\r\n%s",
                                    status, store_era, strlen(text), text);
        free(text);
        json_decref(answer);
        json_decref(root);
        g_byte_array_unref(body);
    }
    g_free(connection);
    g_free(head);
}

void
Lab_PutRow(const char *table, const char *key, const char *text)
{
    char *value = g_base64_encode((const guchar *)text, strlen(text));

    pthread_mutex_lock(&store_lock);
    store_version++;
    set_row(table, key, value);
    pthread_cond_broadcast(&store_changed);
    pthread_mutex_unlock(&store_lock);
    g_free(value);
}

char *
Lab_GetRow(const char *table, const char *key)
{
    char *name = g_strconcat(table, "\n", key, NULL);
    char *text = NULL;

    pthread_mutex_lock(&store_lock);
    const row_t *row = g_hash_table_lookup(rows, name);
    if (row != NULL && row->value != NULL) {
        gsize size;
        guchar *bytes = g_base64_decode(row->value, &size);
        text = g_strndup((const char *)bytes, size);
        g_free(bytes);
    }
    pthread_mutex_unlock(&store_lock);
    g_free(name);
    return text;
}

/* A row_t is never changed, so tables may share it. */
static GHashTable *
copy_rows(GHashTable *from)
{
    GHashTable *to =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTableIter iter;
    gpointer name, row;

    g_hash_table_iter_init(&iter, from);
    while (g_hash_table_iter_next(&iter, &name, &row)) {
        g_hash_table_insert(to, g_strdup(name), row);
    }
    return to;
}

void
Lab_CopyStore(void)
{
    pthread_mutex_lock(&store_lock);
    copied_rows = copy_rows(rows);
    copied_version = store_version;
    pthread_mutex_unlock(&store_lock);
}

void
Lab_SetStoreAway(bool is_away)
{
    pthread_mutex_lock(&store_lock);
    is_store_away = is_away;
    pthread_mutex_unlock(&store_lock);
}

void
Lab_RestoreStore(void)
{
    pthread_mutex_lock(&store_lock);
    rows = copy_rows(copied_rows);
    store_version = copied_version;
    store_era++;
    is_store_away = false;
    pthread_cond_broadcast(&store_changed);
    pthread_mutex_unlock(&store_lock);
}

void
Lab_PutConfig(int version, const char *services, const char *rules)
{
    char *text = g_strdup_printf(
        "{\"version\":\"r%d\",\"services\":%s,\"limits\":{\"header_bytes\":"
        "16384,\"body_bytes\":67108864,\"header_s\":3,\"idle_s\":15},"
        "\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":%s}]}",
        version, services, rules);

    Lab_PutRow("op", "config", text);
    g_free(text);
}

/* ---- backends ---- */

static void
serve_backend(int fd, void *arg)
{
    lab_backend_t *backend = arg;
    lab_connection_t *connection = g_new0(lab_connection_t, 1);
    lab_head_t *head = g_new0(lab_head_t, 1);
    bool is_open = true;

    connection->fd = fd;
    while (is_open && Lab_ReadHead(connection, head, READ_TIMEOUT_S)) {
        const char *expected = Lab_Field(head, "X-Expect-Instance");
        size_t size;
        is_open = Lab_ReadBody(connection, head, NULL, &size, READ_TIMEOUT_S);
        if (is_open && expected != NULL &&
            strcmp(expected, backend->id) != 0) {
            is_open = Lab_SendText(fd,
                                   "HTTP/1.1 421 Misdirected Request\r\n"
                                   "X-Instance-Id: %s\r\n"
                                   "Content-Length: 0\r\n\r\n",
                                   backend->id);
        }
        else if (is_open) {
            is_open = backend->answer(backend, fd, head);
        }
    }
    g_free(connection);
    g_free(head);
}

static void
send_heartbeat(const lab_node_t *node, int sequence, int64_t born_ms)
{
    const lab_backend_t *backend = &node->backend;
    lab_connection_t *connection = g_new0(lab_connection_t, 1);
    lab_head_t *head = g_new0(lab_head_t, 1);
    char *body = g_strdup_printf(
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
        "\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\","
        "\"cold_left_s\":0,\"sequence\":%d,\"born\":%" G_GINT64_FORMAT "}",
        backend->service, backend->port, node->zone, backend->version,
        backend->slots, backend->is_draining ? "draining" : "ready", sequence,
        born_ms);

    connection->fd = Lab_Connect(node->announcements);
    if (connection->fd >= 0) {
        Lab_SendText(connection->fd,
                     "PUT /v1/instances/%s HTTP/1.1\r\nHost: h\r\n"
                     "Content-Type: application/json\r\n"
                     "Content-Length: %zu\r\n\r\n%s",
                     backend->id, strlen(body), body);
        Lab_ReadHead(connection, head, 1.0);
        close(connection->fd);
    }
    g_free(body);
    g_free(connection);
    g_free(head);
}

static void *
run_heartbeats(void *arg)
{
    const lab_node_t *node = arg;
    int64_t born_ms = g_get_real_time() / 1000;

    for (int sequence = 1;; sequence++) {
        send_heartbeat(node, sequence, born_ms);
        Lab_Sleep(HEARTBEAT_INTERVAL_S);
    }
    return NULL;
}

/* ---- sidecars ---- */

void
Lab_Start(const char *record_path)
{
    clock_gettime(CLOCK_MONOTONIC, &started);
    signal(SIGPIPE, SIG_IGN);
    record_file = fopen(record_path, "w");
    work_folder = g_dir_make_tmp("bb-review-XXXXXX", NULL);
    if (record_file == NULL || work_folder == NULL) {
        fail_to_run("no folder for the record or the settings");
    }
    if (access(SIDECAR, X_OK) != 0) {
        fail_to_run(SIDECAR " is missing; run the build of the deploy file");
    }
    rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    store_port = start_server(serve_store, NULL);
}

void
Lab_AddNode(const char *zone, const char *service, int slots,
            lab_answer_t answer)
{
    lab_node_t *node = &Lab_Nodes[Lab_NodeCount++];
    lab_backend_t *backend = &node->backend;

    g_snprintf(node->name, sizeof(node->name), "node-%d", Lab_NodeCount);
    g_snprintf(backend->id, sizeof(backend->id), "i-%d", Lab_NodeCount);
    node->zone = zone;
    backend->service = service;
    backend->slots = slots;
    backend->version = "v1";
    backend->answer = answer;
    backend->port = start_server(serve_backend, backend);
}

static char *
write_settings(const lab_node_t *node, bool is_first_start)
{
    char *path = g_strdup_printf("%s/%s.toml", work_folder, node->name);
    char *text = g_strdup_printf(
        "[node]\nname = \"%s\"\ndata_centre = \"%s\"\nservice = \"%s\"\n"
        "target_address = \"127.0.0.1:%d\"\nlink_mbps = 1000.0\n"
        "first_start = %s\n\n[listen]\ncallers = \"127.0.0.1:%d\"\n"
        "forwarded = \"127.0.0.1:%d\"\nadmin = \"127.0.0.1:%d\"\n"
        "announcements = \"127.0.0.1:%d\"\n\n[platform]\n"
        "address = \"127.0.0.1:%d\"\n\n[limits]\nshutdown_s = 6\n"
        "repeat_ratio = 0.2\nrepeat_extra = 60\n\n[target_load]\n"
        "enabled = true\n%s",
        node->name, node->zone, node->backend.service, node->backend.port,
        is_first_start ? "true" : "false", node->callers, node->forwarded,
        node->admin, node->announcements, store_port, Lab_MoreSettings);

    if (!g_file_set_contents(path, text, -1, NULL)) {
        fail_to_run("settings cannot be written");
    }
    g_free(text);
    return path;
}

static void
start_sidecar(lab_node_t *node, bool is_first_start)
{
    char *log = g_strdup_printf("%s/%s.log", work_folder, node->name);

    if (!node->was_started) {
        node->callers = draw_port();
        node->forwarded = draw_port();
        node->admin = draw_port();
        node->announcements = draw_port();
    }
    char *settings = write_settings(node, is_first_start);
    pid_t parent = getpid();
    node->pid = fork();
    if (node->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent || freopen(log, "a", stdout) == NULL ||
            dup2(STDOUT_FILENO, STDERR_FILENO) < 0) {
            _exit(EXIT_CANNOT_RUN);
        }
        setenv("BURDOCKBARROW_CONFIG", settings, 1);
        execl(SIDECAR, SIDECAR, (char *)NULL);
        _exit(EXIT_CANNOT_RUN);
    }
    g_free(settings);
    g_free(log);
}

static bool
is_ready(const lab_node_t *node)
{
    lab_connection_t *connection = g_new0(lab_connection_t, 1);
    lab_head_t *head = g_new0(lab_head_t, 1);
    bool is_ok = false;

    connection->fd = Lab_Connect(node->admin);
    if (connection->fd >= 0) {
        is_ok = Lab_SendText(connection->fd,
                             "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n") &&
                Lab_ReadHead(connection, head, 1.0) && head->status == 200;
        close(connection->fd);
    }
    g_free(connection);
    g_free(head);
    return is_ok;
}

void
Lab_StartNode(lab_node_t *node, bool is_first_start)
{
    start_sidecar(node, is_first_start);
    if (!node->was_started) {
        node->was_started = true;
        start_thread(run_heartbeats, node);
    }
}

void
Lab_TerminateNode(lab_node_t *node)
{
    kill(node->pid, SIGTERM);
    waitpid(node->pid, NULL, 0);
    node->pid = 0;
}

void
Lab_StartNodes(void)
{
    for (int i = 0; i < Lab_NodeCount; i++) {
        Lab_StartNode(&Lab_Nodes[i], true);
    }
    Lab_Sleep(0.3);
    for (int i = 0; i < Lab_NodeCount; i++) {
        while (!is_ready(&Lab_Nodes[i])) {
            if (Lab_Now() > 20 ||
                waitpid(Lab_Nodes[i].pid, NULL, WNOHANG) != 0) {
                Lab_StopNodes();
                fail_to_run("a sidecar does not become ready");
            }
            Lab_Sleep(0.1);
        }
    }
    /* All records are known, and no machine has started lately. */
    Lab_Sleep(4.0);
}

double
Lab_MemoryMb(const lab_node_t *node)
{
    char *path = g_strdup_printf("/proc/%d/statm", (int)node->pid);
    char *text = NULL;
    long total = 0, resident = 0;

    if (g_file_get_contents(path, &text, NULL, NULL)) {
        sscanf(text, "%ld %ld", &total, &resident);
    }
    g_free(text);
    g_free(path);
    return (double)resident * (double)sysconf(_SC_PAGESIZE) / 1e6;
}

void
Lab_EndNode(lab_node_t *node)
{
    if (node->pid > 0) {
        kill(node->pid, SIGKILL);
        waitpid(node->pid, NULL, 0);
        node->pid = 0;
    }
}

/* Removes the settings and logs. They stay while LAB_KEEP is set. */
static void
remove_work_folder(void)
{
    const char *name;
    GDir *folder = g_dir_open(work_folder, 0, NULL);

    while (folder != NULL && (name = g_dir_read_name(folder)) != NULL) {
        char *path = g_build_filename(work_folder, name, NULL);
        unlink(path);
        g_free(path);
    }
    if (folder != NULL) {
        g_dir_close(folder);
        rmdir(work_folder);
    }
}

void
Lab_StopNodes(void)
{
    for (int i = 0; i < Lab_NodeCount; i++) {
        Lab_EndNode(&Lab_Nodes[i]);
    }
    if (getenv("LAB_KEEP") == NULL) {
        remove_work_folder();
    }
}
