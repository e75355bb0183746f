#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define LONGEST_RUN_S 112
#define HEARTBEAT_S 1.5
#define SURPLUS_DELAY_S 0.03

/* A backend in trouble spoils one in so many of its responses: by surplus
 * bytes, and by bytes without end. */
#define SURPLUS_ONE_IN 34
#define ENDLESS_ONE_IN 3

/* ---- time and record ---- */

static double started_at;
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pid_t children[64];
static int child_count;
static char work_folder[LAB_TEXT];

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
    if (seconds > 0) {
        usleep((useconds_t)(seconds * 1e6));
    }
}

void
Lab_SleepUntil(double at)
{
    Lab_Sleep(at - Lab_Now());
}

void
Lab_Record(const char *format, ...)
{
    va_list args;

    pthread_mutex_lock(&record_lock);
    fprintf(record, "%8.3f ", Lab_Now());
    va_start(args, format);
    vfprintf(record, format, args);
    va_end(args);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_lock);
}

static void
end_children(void)
{
    for (int i = 0; i < child_count; i++) {
        if (children[i] > 0) {
            kill(children[i], SIGKILL);
            waitpid(children[i], NULL, 0);
        }
    }
}

/* Logs of the sidecars are kept if KEEP_LOGS is set. */
static void
remove_work_folder(void)
{
    char path[2 * LAB_TEXT];

    for (int i = 0; i < LAB_MAX_NODES; i++) {
        snprintf(path, sizeof(path), "%s/%d.toml", work_folder, i);
        unlink(path);
        snprintf(path, sizeof(path), "%s/%d.log", work_folder, i);
        if (getenv("KEEP_LOGS") == NULL) {
            unlink(path);
        }
    }
    rmdir(work_folder);
}

void
Lab_Exit(int code)
{
    end_children();
    remove_work_folder();
    fprintf(stderr, "exit %d\n", code);
    _exit(code);
}

void
Lab_Require(bool condition, const char *what)
{
    if (!condition) {
        Lab_Record("could not run: %s", what);
        fprintf(stderr, "could not run: %s\n", what);
        Lab_Exit(2);
    }
}

static void
handle_alarm(int signal_number)
{
    (void)signal_number;
    end_children();
    remove_work_folder();
    _exit(2);
}

void
Lab_Start(const char *record_path)
{
    started_at = clock_s();
    record = fopen(record_path, "we");
    if (record == NULL) {
        perror(record_path);
        _exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    signal(SIGALRM, handle_alarm);
    signal(SIGTERM, handle_alarm);
    signal(SIGINT, handle_alarm);
    alarm(LONGEST_RUN_S);
    snprintf(work_folder, sizeof(work_folder), "/tmp/lab-2.XXXXXX");
    Lab_Require(mkdtemp(work_folder) != NULL, "no temporary folder");
}

/* ---- HTTP ---- */

static bool
read_more(lab_stream_t *stream, double deadline)
{
    char data[16384];

    if (deadline > 0) {
        struct pollfd state = {.fd = stream->fd, .events = POLLIN};
        double left_s = deadline - Lab_Now();
        if (left_s <= 0 || poll(&state, 1, (int)(left_s * 1000) + 1) <= 0) {
            return false;
        }
    }
    ssize_t size = recv(stream->fd, data, sizeof(data), 0);
    if (size <= 0) {
        return false;
    }
    stream->bytes = realloc(stream->bytes, stream->size + (size_t)size + 1);
    memcpy(stream->bytes + stream->size, data, (size_t)size);
    stream->size += (size_t)size;
    stream->bytes[stream->size] = '\0';
    return true;
}

static void
consume(lab_stream_t *stream, size_t size)
{
    memmove(stream->bytes, stream->bytes + size, stream->size - size + 1);
    stream->size -= size;
}

bool
Lab_Field(const lab_message_t *message, const char *name, char *out,
          size_t size)
{
    size_t length = strlen(name);
    const char *line = strstr(message->head, "\r\n");

    while (line != NULL && strncmp(line, "\r\n\r\n", 4) != 0) {
        line += 2;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            const char *value = line + length + 1;
            value += strspn(value, " ");
            size_t value_size = strcspn(value, "\r");
            if (value_size >= size) {
                value_size = size - 1;
            }
            memcpy(out, value, value_size);
            out[value_size] = '\0';
            return true;
        }
        line = strstr(line, "\r\n");
    }
    out[0] = '\0';
    return false;
}

static bool
take_body(lab_stream_t *stream, lab_message_t *message, size_t size,
          double deadline)
{
    while (stream->size < size) {
        if (!read_more(stream, deadline)) {
            return false;
        }
    }
    message->body = realloc(message->body, message->body_size + size + 1);
    memcpy(message->body + message->body_size, stream->bytes, size);
    message->body_size += size;
    message->body[message->body_size] = '\0';
    consume(stream, size);
    return true;
}

static bool
read_chunks(lab_stream_t *stream, lab_message_t *message, double deadline)
{
    for (;;) {
        char *end;
        while (stream->size == 0 ||
               (end = strstr(stream->bytes, "\r\n")) == NULL) {
            if (!read_more(stream, deadline)) {
                return false;
            }
        }
        size_t size = strtoul(stream->bytes, NULL, 16);
        consume(stream, (size_t)(end - stream->bytes) + 2);
        if (!take_body(stream, message, size, deadline)) {
            return false;
        }
        while (stream->size < 2) {
            if (!read_more(stream, deadline)) {
                return false;
            }
        }
        consume(stream, 2);
        if (size == 0) {
            return true;
        }
    }
}

bool
Lab_ReadMessage(lab_stream_t *stream, lab_message_t *message, double deadline)
{
    char value[LAB_TEXT];
    char *end = NULL;

    memset(message, 0, sizeof(*message));
    while (stream->size == 0 ||
           (end = strstr(stream->bytes, "\r\n\r\n")) == NULL) {
        if (!read_more(stream, deadline)) {
            return false;
        }
    }
    message->head_size = (size_t)(end - stream->bytes) + 4;
    message->head = strndup(stream->bytes, message->head_size);
    message->body = calloc(1, 1);
    consume(stream, message->head_size);
    if (strncmp(message->head, "HTTP/1.1 ", 9) == 0) {
        message->status = atoi(message->head + 9);
    }
    else {
        sscanf(message->head, "%15s %1023s", message->method, message->target);
    }
    bool is_complete = true;
    if (message->status == 204) {
        return true;
    }
    if (Lab_Field(message, "Transfer-Encoding", value, sizeof(value))) {
        is_complete = read_chunks(stream, message, deadline);
    }
    else if (Lab_Field(message, "Content-Length", value, sizeof(value))) {
        is_complete =
            take_body(stream, message, strtoul(value, NULL, 10), deadline);
    }
    if (!is_complete) {
        Lab_FreeMessage(message);
    }
    return is_complete;
}

void
Lab_FreeMessage(lab_message_t *message)
{
    free(message->head);
    free(message->body);
    message->head = NULL;
    message->body = NULL;
}

bool
Lab_Send(int fd, const void *data, size_t size)
{
    const char *next = data;

    while (size > 0) {
        ssize_t sent = send(fd, next, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        next += sent;
        size -= (size_t)sent;
    }
    return true;
}

bool
Lab_SendText(int fd, const char *format, ...)
{
    char *text = NULL;
    va_list args;

    va_start(args, format);
    int size = vasprintf(&text, format, args);
    va_end(args);
    bool is_sent = size >= 0 && Lab_Send(fd, text, (size_t)size);
    free(text);
    return is_sent;
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
    const int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Ports below those that the system gives to outgoing connections; processes
 * that run at the same time begin at different ones. */
int
Lab_FreePort(void)
{
    static int next;
    const int on = 1;

    if (next == 0) {
        next = 12000 + getpid() % 300 * 60;
    }
    for (int tries = 0; tries < 500; tries++) {
        struct sockaddr_in address = loopback(next++);
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        bool is_free =
            bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
        close(fd);
        if (is_free) {
            return next - 1;
        }
    }
    Lab_Require(false, "no free port");
    return 0;
}

/* ---- servers ---- */

#define MAX_CONNECTIONS 512

struct lab_server {
    int port;
    int fd;
    lab_handler_t handler;
    void *arg;
    pthread_mutex_t lock;
    int connections[MAX_CONNECTIONS];
};

typedef struct {
    lab_server_t *server;
    int fd;
    int slot;
} connection_t;

static void *
serve_connection(void *arg)
{
    connection_t *connection = arg;
    lab_server_t *server = connection->server;
    lab_stream_t stream = {.fd = connection->fd};
    lab_message_t request;

    while (Lab_ReadMessage(&stream, &request, 0)) {
        server->handler(connection->fd, &request, server->arg);
        Lab_FreeMessage(&request);
    }
    pthread_mutex_lock(&server->lock);
    server->connections[connection->slot] = -1;
    close(connection->fd);
    pthread_mutex_unlock(&server->lock);
    free(stream.bytes);
    free(connection);
    return NULL;
}

static void
start_thread(void *(*run)(void *arg), void *arg)
{
    pthread_t thread;
    pthread_attr_t attributes;

    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, 256 * 1024);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    Lab_Require(pthread_create(&thread, &attributes, run, arg) == 0,
                "no thread");
    pthread_attr_destroy(&attributes);
}

/* Connections on which a backend has answered; by number of the descriptor. */
static bool is_used[4096];

static void
add_connection(lab_server_t *server, int fd)
{
    const int on = 1;
    int slot = 0;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    is_used[fd % 4096] = false;
    pthread_mutex_lock(&server->lock);
    while (slot < MAX_CONNECTIONS && server->connections[slot] >= 0) {
        slot++;
    }
    if (slot < MAX_CONNECTIONS) {
        server->connections[slot] = fd;
    }
    pthread_mutex_unlock(&server->lock);
    if (slot == MAX_CONNECTIONS) {
        close(fd);
        return;
    }
    connection_t *connection = malloc(sizeof(*connection));
    *connection = (connection_t){server, fd, slot};
    start_thread(serve_connection, connection);
}

static void *
accept_connections(void *arg)
{
    lab_server_t *server = arg;

    for (;;) {
        int listener = server->fd;
        int fd =
            listener >= 0 ? accept4(listener, NULL, NULL, SOCK_CLOEXEC) : -1;
        if (fd >= 0) {
            add_connection(server, fd);
        }
        else {
            Lab_Sleep(0.002);
        }
    }
    return NULL;
}

void
Lab_OpenServer(lab_server_t *server)
{
    struct sockaddr_in address = loopback(server->port);
    const int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    Lab_Require(bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
                    listen(fd, 256) == 0,
                "a port is in use");
    server->fd = fd;
}

void
Lab_CloseServer(lab_server_t *server)
{
    int fd = server->fd;

    server->fd = -1;
    shutdown(fd, SHUT_RDWR);
    close(fd);
    pthread_mutex_lock(&server->lock);
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        if (server->connections[i] >= 0) {
            shutdown(server->connections[i], SHUT_RDWR);
        }
    }
    pthread_mutex_unlock(&server->lock);
}

lab_server_t *
Lab_NewServer(int port, lab_handler_t handler, void *arg)
{
    lab_server_t *server = calloc(1, sizeof(*server));

    server->port = port;
    server->handler = handler;
    server->arg = arg;
    pthread_mutex_init(&server->lock, NULL);
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        server->connections[i] = -1;
    }
    Lab_OpenServer(server);
    start_thread(accept_connections, server);
    return server;
}

/* ---- backends ---- */

static void
send_endless_response(int fd, const char *id, const char *backend)
{
    char piece[16384 + 16];

    if (!Lab_SendText(fd,
                      "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                      "X-Server-Seal: %s\r\nTransfer-Encoding: chunked\r\n"
                      "\r\n",
                      id, backend)) {
        return;
    }
    int head = snprintf(piece, sizeof(piece), "4000\r\n");
    memset(piece + head, 'x', 16384);
    memcpy(piece + head + 16384, "\r\n", 2);
    while (Lab_Send(fd, piece, (size_t)head + 16386)) {
        Lab_Sleep(0.001);
    }
}

static bool
is_on_kept_connection(int fd)
{
    return is_used[fd % 4096];
}

static void
note_use(int fd)
{
    is_used[fd % 4096] = true;
}

/* A response without a body by its status, and, a moment later, an extra
 * response with the same id. */
static void
send_no_content(int fd, const char *id, const char *backend)
{
    char bytes[3 * LAB_TEXT];

    snprintf(bytes, sizeof(bytes),
             "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
             "X-Server-Seal: %s\r\nContent-Length: 7\r\n\r\nsurplus",
             id, backend);
    Lab_Record("backend %s: answers %s with 204 and surplus bytes", backend,
               id);
    Lab_SendText(fd,
                 "HTTP/1.1 204 No Content\r\nX-Attempt-Id: %s\r\n"
                 "X-Server-Seal: %s\r\nContent-Length: %zu\r\n\r\n",
                 id, backend, strlen(bytes));
    Lab_Sleep(SURPLUS_DELAY_S);
    Lab_SendText(fd, "%s", bytes);
}

#define MAX_RUNS 8192
#define SHORT_ID 16

static char run_ids[MAX_RUNS][SHORT_ID];
static int run_count;
static pthread_mutex_t run_lock = PTHREAD_MUTEX_INITIALIZER;

static void
note_run(const char *attempt_id)
{
    pthread_mutex_lock(&run_lock);
    if (run_count < MAX_RUNS) {
        snprintf(run_ids[run_count++], SHORT_ID, "%.*s", SHORT_ID - 1,
                 attempt_id);
    }
    pthread_mutex_unlock(&run_lock);
}

bool
Lab_HasRun(const char *attempt_id)
{
    bool has_run = false;

    pthread_mutex_lock(&run_lock);
    for (int i = 0; i < run_count; i++) {
        has_run = has_run || strcmp(run_ids[i], attempt_id) == 0;
    }
    pthread_mutex_unlock(&run_lock);
    return has_run;
}

static void
handle_backend_request(int fd, lab_message_t *request, void *arg)
{
    lab_node_t *node = arg;
    char id[LAB_TEXT], expected[LAB_TEXT];

    Lab_Field(request, "X-Attempt-Id", id, sizeof(id));
    if (Lab_Field(request, "X-Expect-Instance", expected, sizeof(expected)) &&
        strcmp(expected, node->id) != 0) {
        Lab_Record("backend %s: 421 to %s, which expects %s", node->id, id,
                   expected);
        Lab_SendText(fd,
                     "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\n"
                     "X-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
                     id, node->id);
        return;
    }
    int one_in = node->mode == LAB_ENDLESS ? ENDLESS_ONE_IN : SURPLUS_ONE_IN;
    bool is_spoiled = ++node->runs % one_in == 0;
    bool is_kept = is_on_kept_connection(fd);
    note_use(fd);
    note_run(id);
    node->last_run_at = Lab_Now();
    Lab_Record("backend %s (%s): runs %s %s %s", node->id, node->service, id,
               request->method, request->target);
    if (is_spoiled && is_kept && node->mode == LAB_SURPLUS) {
        Lab_Record("backend %s: surplus bytes, while %s is awaited", node->id,
                   id);
        Lab_SendText(fd,
                     "HTTP/1.1 200 OK\r\nX-Server-Seal: %s\r\n"
                     "Content-Length: 7\r\n\r\nsurplus",
                     node->id);
    }
    Lab_Sleep(node->work_s);
    if (is_spoiled && node->mode == LAB_ENDLESS) {
        Lab_Record("backend %s: answers %s without end", node->id, id);
        send_endless_response(fd, id, node->id);
        shutdown(fd, SHUT_RDWR);
        return;
    }
    if (is_spoiled && node->mode == LAB_NO_CONTENT) {
        send_no_content(fd, id, node->id);
        return;
    }
    Lab_SendText(
        fd,
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
        "X-Server-Seal: %s\r\nContent-Length: %zu\r\n\r\nanswer to %s",
        id, node->id, strlen("answer to ") + strlen(id), id);
}

int
Lab_Announce(const lab_node_t *node, const char *method, const char *body)
{
    lab_message_t response;
    int fd = Lab_Connect(node->announcements);
    int status = 0;

    if (fd < 0) {
        return 0;
    }
    lab_stream_t stream = {.fd = fd};
    Lab_SendText(fd,
                 "%s /v1/instances/%s HTTP/1.1\r\nHost: control\r\n"
                 "Content-Type: application/json\r\nContent-Length: %zu\r\n"
                 "\r\n%s",
                 method, node->id, strlen(body), body);
    if (Lab_ReadMessage(&stream, &response, Lab_Now() + 1.0)) {
        status = response.status;
        Lab_FreeMessage(&response);
    }
    close(fd);
    free(stream.bytes);
    return status;
}

int
Lab_SendBeat(lab_node_t *node, int64_t sequence, const char *state)
{
    char body[1024];

    snprintf(body, sizeof(body),
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
             "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
             "\"state\":\"%s\",\"cold_left_s\":0,\"sequence\":%lld,"
             "\"born\":%lld}",
             node->service, node->backend_port, node->zone, state,
             (long long)sequence, (long long)node->born_ms);
    return Lab_Announce(node, "PUT", body);
}

int
Lab_SendLeave(lab_node_t *node)
{
    int status = Lab_Announce(node, "DELETE", "");

    Lab_Record("backend %s: DELETE, status %d", node->id, status);
    return status;
}

static void *
send_beats(void *arg)
{
    lab_node_t *node = arg;

    while (node->is_beating) {
        Lab_SendBeat(node, ++node->sequence, "ready");
        Lab_Sleep(HEARTBEAT_S);
    }
    return NULL;
}

/* ---- sidecars ---- */

static int node_count;
static const lab_node_t *nodes[LAB_MAX_NODES];

static int
settings_number(const lab_node_t *node)
{
    for (int i = 0; i < node_count; i++) {
        if (nodes[i] == node) {
            return i;
        }
    }
    return 0;
}

static int store_port_number;

/* The text that the platform makes of deploy/settings.toml. */
static void
write_settings(const lab_node_t *node, const char *path, bool is_first_start)
{
    FILE *file = fopen(path, "w");

    Lab_Require(file != NULL, "settings cannot be written");
    fprintf(file,
            "[node]\nname = \"%s\"\ndata_centre = \"%s\"\nservice = \"%s\"\n"
            "target_address = \"127.0.0.1:%d\"\nlink_mbps = 1000.0\n"
            "first_start = %s\n\n[listen]\ncallers = \"127.0.0.1:%d\"\n"
            "forwarded = \"127.0.0.1:%d\"\nadmin = \"127.0.0.1:%d\"\n"
            "announcements = \"127.0.0.1:%d\"\n\n[platform]\n"
            "address = \"127.0.0.1:%d\"\n\n[limits]\nshutdown_s = 6\n"
            "repeat_ratio = 0.2\nrepeat_extra = 60\n\n[target_load]\n"
            "enabled = true\n",
            node->name, node->zone, node->service, node->backend_port,
            is_first_start ? "true" : "false", node->callers, node->forwarded,
            node->admin, node->announcements, store_port_number);
    fclose(file);
}

void
Lab_StartSidecar(lab_node_t *node, bool is_first_start)
{
    char path[2 * LAB_TEXT], log_path[2 * LAB_TEXT];
    int number = settings_number(node);

    snprintf(path, sizeof(path), "%s/%d.toml", work_folder, number);
    snprintf(log_path, sizeof(log_path), "%s/%d.log", work_folder, number);
    write_settings(node, path, is_first_start);
    FILE *log = fopen(log_path, "ae");
    Lab_Require(log != NULL, "no log file");
    pid_t parent = getpid();
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(2);
        }
        dup2(fileno(log), STDOUT_FILENO);
        dup2(fileno(log), STDERR_FILENO);
        setenv("BURDOCKBARROW_CONFIG", path, 1);
        execl("target/bbsidecar", "target/bbsidecar", (char *)NULL);
        _exit(127);
    }
    fclose(log);
    Lab_Require(pid > 0, "no process");
    children[child_count++] = pid;
    node->pid = pid;
    Lab_Record("sidecar %s: started", node->name);
}

void
Lab_KillSidecar(lab_node_t *node)
{
    Lab_Record("sidecar %s: killed", node->name);
    kill(node->pid, SIGKILL);
    waitpid(node->pid, NULL, 0);
    for (int i = 0; i < child_count; i++) {
        if (children[i] == node->pid) {
            children[i] = 0;
        }
    }
    node->pid = 0;
}

void
Lab_StartNode(lab_node_t *node, const char *name, const char *zone,
              const char *service, int store_port)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    memset(node, 0, sizeof(*node));
    snprintf(node->name, sizeof(node->name), "sidecar-%s", name);
    snprintf(node->zone, sizeof(node->zone), "%s", zone);
    snprintf(node->service, sizeof(node->service), "%s", service);
    snprintf(node->id, sizeof(node->id), "i-%s", name);
    node->born_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    node->backend_port = Lab_FreePort();
    Lab_NewServer(node->backend_port, handle_backend_request, node);
    node->callers = Lab_FreePort();
    node->forwarded = Lab_FreePort();
    node->admin = Lab_FreePort();
    node->announcements = Lab_FreePort();
    node->work_s = 0.02;
    store_port_number = store_port;
    nodes[node_count++] = node;
    Lab_StartSidecar(node, true);
    node->is_beating = true;
    Lab_Require(pthread_create(&node->beats, NULL, send_beats, node) == 0,
                "no thread");
}

void
Lab_AwaitReady(const lab_node_t *node, double timeout_s)
{
    double until = Lab_Now() + timeout_s;
    int status = 0;

    while (status != 200 && Lab_Now() < until) {
        lab_message_t response;
        int fd = Lab_Connect(node->admin);
        if (fd >= 0) {
            lab_stream_t stream = {.fd = fd};
            Lab_SendText(fd, "GET /healthz HTTP/1.1\r\nHost: ready\r\n\r\n");
            if (Lab_ReadMessage(&stream, &response, Lab_Now() + 1.0)) {
                status = response.status;
                Lab_FreeMessage(&response);
            }
            close(fd);
            free(stream.bytes);
        }
        Lab_Sleep(0.05);
    }
    Lab_Require(status == 200, "a sidecar does not become ready");
}

/* ---- clients ---- */

lab_answer_t
Lab_CallWith(const lab_node_t *node, const char *method, const char *host,
             const char *path, int deadline_ms)
{
    static int calls;
    lab_answer_t answer = {.sent_at = Lab_Now()};
    lab_message_t response;
    int fd = Lab_Connect(node->callers);

    snprintf(answer.attempt_id, sizeof(answer.attempt_id), "a%06d",
             __sync_add_and_fetch(&calls, 1));
    if (fd < 0) {
        return answer;
    }
    lab_stream_t stream = {.fd = fd};
    Lab_SendText(fd,
                 "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n"
                 "X-Deadline-Ms: %d\r\n%s\r\n",
                 method, path, host, answer.attempt_id, deadline_ms,
                 strcmp(method, "POST") == 0 ? "Content-Length: 0\r\n" : "");
    if (Lab_ReadMessage(&stream, &response,
                        answer.sent_at + deadline_ms / 1000.0)) {
        answer.status = response.status;
        Lab_Field(&response, "X-Server-Seal", answer.backend,
                  sizeof(answer.backend));
        snprintf(answer.body, sizeof(answer.body), "%s", response.body);
        Lab_FreeMessage(&response);
    }
    close(fd);
    free(stream.bytes);
    Lab_Record("client at %s: %s %s %s%s sent at %.3f, status %d from %s, "
               "\"%s\"",
               node->name, answer.attempt_id, method, host, path,
               answer.sent_at, answer.status, answer.backend, answer.body);
    return answer;
}

lab_answer_t
Lab_Call(const lab_node_t *node, const char *host, const char *path,
         int deadline_ms)
{
    return Lab_CallWith(node, "GET", host, path, deadline_ms);
}

lab_answer_t
Lab_CallUntilServed(const lab_node_t *node, const char *host, const char *path,
                    double timeout_s)
{
    double until = Lab_Now() + timeout_s;
    lab_answer_t answer;

    do {
        answer = Lab_Call(node, host, path, 2000);
        Lab_Sleep(0.1);
    } while (answer.status != 200 && Lab_Now() < until);
    return answer;
}
