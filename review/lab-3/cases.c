/* Programs of the cases: cases NUMBER TROUBLE RECORD, see run.sh of each. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lab.h"

#define ANSWER_TIMEOUT_S 15.0

/* The clients are on the machines of service two and ask for service one. */
#define CLIENT_MACHINES 3

enum { EXIT_HELD, EXIT_BROKEN, EXIT_CANNOT_RUN };

/* ---- requests ---- */

#define MAX_REQUESTS 8192

typedef struct {
    char id[24];
    bool is_large;
    /* what the backends saw */
    int runs;
    const char *backend;
    bool is_backend_sound; /* neither slow nor breaking off this answer */
    /* what the client saw */
    bool is_answered; /* with a whole answer, whatever its status */
    int status;
} request_t;

static request_t requests[MAX_REQUESTS];
static int request_count;
static pthread_mutex_t requests_lock = PTHREAD_MUTEX_INITIALIZER;
static bool has_trouble;

static request_t *
new_request(bool is_large)
{
    pthread_mutex_lock(&requests_lock);
    if (request_count == MAX_REQUESTS) {
        exit(EXIT_CANNOT_RUN);
    }
    request_t *request = &requests[request_count++];
    g_snprintf(request->id, sizeof(request->id), "r%05d", request_count);
    request->is_large = is_large;
    pthread_mutex_unlock(&requests_lock);
    return request;
}

static request_t *
find_request(const lab_head_t *head)
{
    const char *id = Lab_Field(head, "X-Attempt-Id");
    long number = id != NULL && id[0] == 'r' ? strtol(id + 1, NULL, 10) : 0;

    return number >= 1 && number <= request_count ? &requests[number - 1]
                                                  : NULL;
}

static void
note_run(request_t *request, const lab_backend_t *backend, bool is_sound)
{
    pthread_mutex_lock(&requests_lock);
    request->runs++;
    request->backend = backend->id;
    request->is_backend_sound = is_sound;
    pthread_mutex_unlock(&requests_lock);
    Lab_Record("run %s at %s%s%s", request->id, backend->id,
               request->is_large ? " large" : "", is_sound ? "" : " troubled");
}

static bool
send_answer_head(int fd, const request_t *request, size_t size)
{
    return Lab_SendText(fd,
                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                        "X-Server-Seal: s\r\nContent-Length: %zu\r\n\r\n",
                        request->id, size);
}

/* ---- clients ---- */

typedef struct {
    int port;
    int rounds;
    int depth;       /* requests that are sent before the first answer */
    int large;       /* index of the first one with a large answer */
    int large_count; /* of those in a row */
    int deadline_ms;
    pthread_barrier_t *start; /* after the first answer; may be NULL */
} client_t;

static bool
send_request(int fd, const client_t *client, const request_t *request)
{
    return Lab_SendText(fd,
                        "GET /%s/x HTTP/1.1\r\nHost: h\r\n"
                        "X-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n",
                        request->is_large ? "large" : "small", request->id,
                        client->deadline_ms);
}

static bool
read_answer(lab_connection_t *connection, lab_head_t *head, request_t *request)
{
    size_t size = 0;
    bool is_whole =
        Lab_ReadHead(connection, head, ANSWER_TIMEOUT_S) &&
        Lab_ReadBody(connection, head, NULL, &size, ANSWER_TIMEOUT_S);

    pthread_mutex_lock(&requests_lock);
    request->is_answered = is_whole;
    request->status = head->status;
    pthread_mutex_unlock(&requests_lock);
    if (is_whole) {
        Lab_Record("answered %s %d, %zu bytes", request->id, head->status,
                   size);
    }
    else {
        Lab_Record("cut %s after %zu bytes of the body: connection closed",
                   request->id, size);
    }
    return is_whole;
}

/* One connection: a request of its own, then some at once. */
static void
play_connection(const client_t *client)
{
    lab_connection_t *connection = g_new0(lab_connection_t, 1);
    lab_head_t *head = g_new0(lab_head_t, 1);
    request_t *sent[128];

    connection->fd = Lab_Connect(client->port);
    request_t *first = new_request(false);
    bool is_open = connection->fd >= 0 &&
                   send_request(connection->fd, client, first) &&
                   read_answer(connection, head, first);
    if (client->start != NULL) {
        pthread_barrier_wait(client->start); /* all have their answer */
        pthread_barrier_wait(client->start); /* the trouble has begun */
    }
    for (int i = 0; is_open && i < client->depth; i++) {
        sent[i] = new_request(i >= client->large &&
                              i < client->large + client->large_count);
        Lab_Record("sent %s behind %d others", sent[i]->id, i);
        send_request(connection->fd, client, sent[i]);
    }
    for (int i = 0; is_open && i < client->depth; i++) {
        is_open = read_answer(connection, head, sent[i]);
    }
    if (connection->fd >= 0) {
        close(connection->fd);
    }
    g_free(connection);
    g_free(head);
}

static void *
run_client(void *arg)
{
    const client_t *client = arg;

    for (int i = 0; i < client->rounds; i++) {
        play_connection(client);
    }
    return NULL;
}

/* Runs count clients, spread over the machines of service two. begin_trouble,
 * which may be NULL, is called when each has got its first answer. */
static void
run_clients(const client_t *options, int count, void (*begin_trouble)(void))
{
    client_t clients[64];
    pthread_t threads[64];
    pthread_barrier_t start;

    pthread_barrier_init(&start, NULL, (unsigned)count + 1);

    for (int i = 0; i < count; i++) {
        clients[i] = *options;
        clients[i].port =
            Lab_Nodes[Lab_NodeCount - 1 - i % CLIENT_MACHINES].callers;
        clients[i].start = begin_trouble != NULL ? &start : NULL;
        pthread_create(&threads[i], NULL, run_client, &clients[i]);
    }
    if (begin_trouble != NULL) {
        pthread_barrier_wait(&start);
        begin_trouble();
        pthread_barrier_wait(&start);
    }
    for (int i = 0; i < count; i++) {
        pthread_join(threads[i], NULL);
    }
}

/* ---- judgement ---- */

/* LOST: requests that were passed on to a sound backend and whose connection
 * ended without an answer; more than three break the rule. */
static int
judge_lost(void)
{
    const int permitted = 3;
    int lost = 0, ran = 0;

    for (int i = 0; i < request_count; i++) {
        const request_t *request = &requests[i];
        ran += request->runs > 0;
        if (request->runs > 0 && request->is_backend_sound &&
            !request->is_answered) {
            Lab_Record("lost %s: run by %s, connection closed without a "
                       "whole answer",
                       request->id, request->backend);
            lost++;
        }
    }
    Lab_Record("requests %d, run %d, lost at sound backends %d, permitted %d",
               request_count, ran, lost, permitted);
    printf("requests %d, run %d, lost at sound backends %d, permitted %d\n",
           request_count, ran, lost, permitted);
    return lost > permitted ? EXIT_BROKEN : EXIT_HELD;
}

#define RULE(name, prefix, timeout)                                 \
    "{\"name\":\"" name "\",\"prefix\":\"" prefix                   \
    "\",\"kind\":\"safe\",\"timeout_s\":" timeout                   \
    ",\"target_latency_s\":0.6,\"priority\":1,\"service\":\"one\"," \
    "\"max_attempts\":2}"

static void
put_services(const char *rules)
{
    Lab_PutConfig(1,
                  "[{\"name\":\"one\",\"health_path\":\"/health\","
                  "\"max_connections\":120},{\"name\":\"two\","
                  "\"health_path\":\"/health\",\"max_connections\":120}]",
                  rules);
}

static void
start_deployment(lab_answer_t answer, int backends, int slots,
                 const char *rules)
{
    static const char *const zones[] = {"zone-a", "zone-b", "zone-c"};

    for (int i = 0; i < backends; i++) {
        Lab_AddNode(zones[i % 3], "one", slots, answer);
    }
    for (int i = 0; i < CLIENT_MACHINES; i++) {
        Lab_AddNode(zones[i % 3], "two", slots, answer);
    }
    put_services(rules);
    Lab_StartNodes();
}

/* ---- 13: slow backends, and a large answer behind a small one ---- */

#define WORK_S 0.45
#define SLOW_FACTOR 12.0
#define LARGE_BYTES (8 * 1000 * 1000)

static bool
answer_13(lab_backend_t *backend, int fd, const lab_head_t *head)
{
    request_t *request = find_request(head);

    if (request == NULL) {
        return false;
    }
    size_t size = request->is_large ? LARGE_BYTES : 1500;
    note_run(request, backend, !backend->is_slow);
    Lab_Sleep(backend->is_slow ? WORK_S * SLOW_FACTOR : WORK_S);
    return send_answer_head(fd, request, size) && Lab_SendFiller(fd, size);
}

static void
turn_slow(void)
{
    Lab_Record("two of the five backends of service one turn slow: %s",
               has_trouble ? "yes" : "no");
    Lab_Nodes[0].backend.is_slow = has_trouble;
    Lab_Nodes[1].backend.is_slow = has_trouble;
}

static int
run_13(void)
{
    const client_t client = {.rounds = 1,
                             .depth = 6,
                             .large = 1,
                             .large_count = 3,
                             .deadline_ms = 8000};

    start_deployment(answer_13, 5, 18,
                     "[" RULE("small", "/small/",
                              "8") "," RULE("large", "/large/", "8") "]");
    run_clients(&client, 12, turn_slow);
    return judge_lost();
}

/* ---- 14: a drill of the store, and a roll-out that had ended ---- */

#define OLD_NODES 4
#define NEW_NODES 4
#define ORDER_S 16.0
#define DRILL_AT_S 0.5 /* from the order on, as all times here */
#define DRILL_FOR_S 0.2
#define BAD_FROM_S 4.2
#define RESTART_AT_S 5.2
#define END_AT_S 16.0
#define STABLE_WINDOW_S 3.0
#define ROLLBACK_S 5.0
#define PERMITTED_BAD 50

/* "At `rolled_back`, the new backends drain some seconds later." */
#define DRAIN_AFTER_S 6.5

#define LOAD_CLIENTS 128
#define MAX_ARRIVALS 65536

typedef struct {
    double sent_at, arrived_at; /* from the order on */
    int caller;                 /* index of the node */
    bool is_bad;
} arrival_t;

static arrival_t arrivals[MAX_ARRIVALS]; /* at backends of the new version */
static int arrival_count;
static int old_arrivals;
static double ordered_at;
static double stable_at; /* the core has been stable since */
static volatile bool is_load_over;
static double restarted_from, restarted_until; /* node 1 is not in touch */

static double
since_order(void)
{
    return Lab_Now() - ordered_at;
}

static void
note_arrival(const char *id, bool is_bad)
{
    int caller = 0, client = 0;
    double sent_at = 0;

    sscanf(id, "q%d-%d-%lf", &caller, &client, &sent_at);
    pthread_mutex_lock(&requests_lock);
    if (arrival_count < MAX_ARRIVALS) {
        arrivals[arrival_count++] = (arrival_t){
            .sent_at = sent_at - ordered_at,
            .arrived_at = since_order(),
            .caller = caller,
            .is_bad = is_bad,
        };
    }
    pthread_mutex_unlock(&requests_lock);
    Lab_Record("run %s at the new version: %s", id, is_bad ? "500" : "200");
}

static bool
answer_14(lab_backend_t *backend, int fd, const lab_head_t *head)
{
    const char *id = Lab_Field(head, "X-Attempt-Id");
    bool is_new = strcmp(backend->version, "v2") == 0;
    bool is_bad = is_new && ordered_at > 0 && since_order() >= BAD_FROM_S;

    if (is_new) {
        note_arrival(id != NULL ? id : "", is_bad);
    }
    else {
        __atomic_add_fetch(&old_arrivals, 1, __ATOMIC_RELAXED);
    }
    Lab_Sleep(0.03);
    return Lab_SendText(fd,
                        "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n"
                        "X-Server-Seal: s\r\nContent-Length: 3\r\n\r\nabc",
                        is_bad ? "500 Error" : "200 OK", id);
}

static void *
run_load(void *arg)
{
    int client = (int)(intptr_t)arg;
    int caller = client % OLD_NODES;
    lab_connection_t *connection = g_new0(lab_connection_t, 1);
    lab_head_t *head = g_new0(lab_head_t, 1);
    size_t size;

    connection->fd = -1;
    while (!is_load_over) {
        if (connection->fd < 0) {
            connection->start = connection->end = 0;
            connection->fd = Lab_Connect(Lab_Nodes[caller].callers);
        }
        bool is_open = connection->fd >= 0 &&
                       Lab_SendText(connection->fd,
                                    "GET /small/x HTTP/1.1\r\nHost: h\r\n"
                                    "X-Attempt-Id: q%d-%d-%.4f\r\n"
                                    "X-Deadline-Ms: 2500\r\n\r\n",
                                    caller, client, Lab_Now()) &&
                       Lab_ReadHead(connection, head, 3.0) &&
                       Lab_ReadBody(connection, head, NULL, &size, 3.0);
        const char *field = is_open ? Lab_Field(head, "Connection") : NULL;
        if (!is_open || (field != NULL && strcmp(field, "close") == 0)) {
            if (connection->fd >= 0) {
                close(connection->fd);
            }
            connection->fd = -1;
        }
        Lab_Sleep(0.06);
    }
    return NULL;
}

/* The platform: shows each state of the status row, and lets the new backends
 * drain some seconds after the first "rolled_back". */
static void *
run_platform(void *arg)
{
    char *last = g_strdup("");
    double rolled_back_at = 0;
    (void)arg;

    while (!is_load_over) {
        char *text = Lab_GetRow("status", "rollout/one");
        if (strcmp(text != NULL ? text : "", last) != 0) {
            g_free(last);
            last = g_strdup(text != NULL ? text : "");
            Lab_Record("%.2f s after the order: status row %s", since_order(),
                       text != NULL ? text : "is missing");
        }
        if (rolled_back_at == 0 && strstr(last, "rolled_back") != NULL) {
            rolled_back_at = since_order();
        }
        if (rolled_back_at > 0 &&
            since_order() - rolled_back_at >= DRAIN_AFTER_S) {
            for (int i = OLD_NODES; i < Lab_NodeCount; i++) {
                Lab_Nodes[i].backend.is_draining = true;
            }
        }
        g_free(text);
        Lab_Sleep(0.01);
    }
    g_free(last);
    return NULL;
}

static void
put_order(void)
{
    Lab_PutRow("op", "rollout/one",
               "{\"service\":\"one\",\"to\":\"v2\",\"duration_s\":16}");
}

static void
wait_until(double since_order_s)
{
    Lab_Sleep(MAX(since_order_s - since_order(), 0.0));
}

static void
play_drill(const char *rules)
{
    wait_until(DRILL_AT_S);
    if (has_trouble) {
        Lab_SetStoreAway(true);
        Lab_Sleep(DRILL_FOR_S);
        Lab_RestoreStore();
        stable_at = since_order() + STABLE_WINDOW_S;
        Lab_Record("the store is back from a copy taken before the order");
        put_services(rules); /* what the operator wrote is written again */
        put_order();
    }
}

/* EXPOSURE: no request, from a machine in touch, that was sent later than
 * ROLLBACK_S after the 50th bad answer since the core was last unstable. */
static int
judge_exposure(void)
{
    int bad = 0, late = 0;
    double limit_at = 1e9;

    for (int i = 0; i < arrival_count; i++) {
        const arrival_t *arrival = &arrivals[i];
        bool is_in_touch = arrival->caller != 1 ||
                           arrival->sent_at < restarted_from ||
                           arrival->sent_at > restarted_until;
        bad += arrival->is_bad && arrival->arrived_at >= stable_at;
        if (bad == PERMITTED_BAD && limit_at > 1e8) {
            limit_at = arrival->arrived_at + ROLLBACK_S;
        }
        if (arrival->sent_at > limit_at && is_in_touch) {
            late++;
            Lab_Record("late: sent %.2f s after the order", arrival->sent_at);
        }
    }
    char *text = g_strdup_printf(
        "runs at the old version %d, at the new one %d, bad since the core "
        "is stable %d, limit %.2f s after the order, later ones %d, "
        "permitted 0",
        old_arrivals, arrival_count, bad, limit_at < 1e8 ? limit_at : -1.0,
        late);
    Lab_Record("%s", text);
    puts(text);
    g_free(text);
    return late > 0 ? EXIT_BROKEN : EXIT_HELD;
}

static int
run_14(void)
{
    const char *rules = "[" RULE("small", "/small/", "2.5") "]";
    pthread_t load[LOAD_CLIENTS], platform;

    Lab_MoreSettings = "\n[rollout]\nexpose_share = 0.1\nexpose_extra = 50\n"
                       "rollback_s = 5\n\n[pace]\nenabled = true\n";
    for (int i = 0; i < OLD_NODES; i++) {
        Lab_AddNode(i % 2 == 0 ? "zone-a" : "zone-b", "one", 18, answer_14);
    }
    put_services(rules);
    Lab_StartNodes();
    for (int i = 0; i < LOAD_CLIENTS; i++) {
        pthread_create(&load[i], NULL, run_load, (void *)(intptr_t)i);
    }
    Lab_Sleep(1.0);
    Lab_CopyStore();
    ordered_at = Lab_Now();
    put_order();
    pthread_create(&platform, NULL, run_platform, NULL);
    for (int i = OLD_NODES; i < OLD_NODES + NEW_NODES; i++) {
        Lab_AddNode(i % 2 == 0 ? "zone-a" : "zone-b", "one", 18, answer_14);
        Lab_Nodes[i].backend.version = "v2";
        Lab_StartNode(&Lab_Nodes[i], false);
    }
    play_drill(rules);
    wait_until(RESTART_AT_S);
    restarted_from = since_order();
    Lab_Record("SIGTERM of %s", Lab_Nodes[1].name);
    Lab_TerminateNode(&Lab_Nodes[1]);
    Lab_Sleep(0.3);
    Lab_StartNode(&Lab_Nodes[1], false);
    restarted_until = since_order() + STABLE_WINDOW_S;
    Lab_Record("%s is started again", Lab_Nodes[1].name);
    wait_until(END_AT_S);
    is_load_over = true;
    for (int i = 0; i < LOAD_CLIENTS; i++) {
        pthread_join(load[i], NULL);
    }
    pthread_join(platform, NULL);
    return judge_exposure();
}

/* ---- 12: slow backends, and clients that go on sending ---- */

#define MEMORY_LIMIT_MB 260.0
#define MEMORY_CHECK_S 0.01
#define PIPELINED 60
#define SEND_INTERVAL_S 0.08
#define PIPELINE_CLIENTS 8
#define ANSWER_BYTES (900 * 1000)

static double memory_peak_mb;

static bool
answer_12(lab_backend_t *backend, int fd, const lab_head_t *head)
{
    request_t *request = find_request(head);

    if (request == NULL) {
        return false;
    }
    note_run(request, backend, !backend->is_slow);
    Lab_Sleep(backend->is_slow ? WORK_S * SLOW_FACTOR : WORK_S);
    return send_answer_head(fd, request, ANSWER_BYTES) &&
           Lab_SendFiller(fd, ANSWER_BYTES);
}

/* The platform ends a process that exceeds its memory. */
static void *
watch_memory(void *arg)
{
    lab_node_t *node = arg;

    while (node->pid > 0) {
        double used_mb = Lab_MemoryMb(node);
        memory_peak_mb = MAX(memory_peak_mb, used_mb);
        if (used_mb > MEMORY_LIMIT_MB) {
            Lab_Record("killed %s: %.0f MB of memory, permitted %.0f",
                       node->name, used_mb, MEMORY_LIMIT_MB);
            Lab_EndNode(node);
            break;
        }
        Lab_Sleep(MEMORY_CHECK_S);
    }
    return NULL;
}

typedef struct {
    lab_connection_t *connection;
    request_t *sent[PIPELINED];
    pthread_barrier_t *start;
    int port;
} pipeline_t;

static void *
send_pipeline(void *arg)
{
    pipeline_t *pipeline = arg;
    const client_t client = {.deadline_ms = 6000};

    for (int i = 0; i < PIPELINED; i++) {
        if (!send_request(pipeline->connection->fd, &client,
                          pipeline->sent[i])) {
            break;
        }
        Lab_Record("sent %s", pipeline->sent[i]->id);
        Lab_Sleep(SEND_INTERVAL_S);
    }
    return NULL;
}

static void *
run_pipeline(void *arg)
{
    pipeline_t *pipeline = arg;
    const client_t client = {.deadline_ms = 6000};
    lab_head_t *head = g_new0(lab_head_t, 1);
    pthread_t sender;
    bool is_open;

    pipeline->connection = g_new0(lab_connection_t, 1);
    pipeline->connection->fd = Lab_Connect(pipeline->port);
    request_t *first = new_request(false);
    is_open = send_request(pipeline->connection->fd, &client, first) &&
              read_answer(pipeline->connection, head, first);
    for (int i = 0; i < PIPELINED; i++) {
        pipeline->sent[i] = new_request(false);
    }
    pthread_barrier_wait(pipeline->start);
    pthread_barrier_wait(pipeline->start);
    pthread_create(&sender, NULL, send_pipeline, pipeline);
    for (int i = 0; is_open && i < PIPELINED; i++) {
        is_open = read_answer(pipeline->connection, head, pipeline->sent[i]);
    }
    pthread_join(sender, NULL);
    close(pipeline->connection->fd);
    return NULL;
}

static int
run_12(void)
{
    static pipeline_t pipelines[PIPELINE_CLIENTS];
    pthread_t threads[PIPELINE_CLIENTS], watcher;
    pthread_barrier_t start;

    start_deployment(answer_12, 5, 18, "[" RULE("small", "/small/", "6") "]");
    lab_node_t *node = &Lab_Nodes[Lab_NodeCount - 1];
    pthread_create(&watcher, NULL, watch_memory, node);
    pthread_barrier_init(&start, NULL, PIPELINE_CLIENTS + 1);
    for (int i = 0; i < PIPELINE_CLIENTS; i++) {
        pipelines[i].start = &start;
        pipelines[i].port = node->callers;
        pthread_create(&threads[i], NULL, run_pipeline, &pipelines[i]);
    }
    pthread_barrier_wait(&start);
    turn_slow();
    pthread_barrier_wait(&start);
    for (int i = 0; i < PIPELINE_CLIENTS; i++) {
        pthread_join(threads[i], NULL);
    }
    Lab_Record("most memory of %s: %.0f MB", node->name, memory_peak_mb);
    printf("most memory of %s: %.0f MB\n", node->name, memory_peak_mb);
    return judge_lost();
}

int
main(int argc, char **argv)
{
    if (argc != 4) {
        fputs("usage: cases NUMBER TROUBLE RECORD\n", stderr);
        return EXIT_CANNOT_RUN;
    }
    has_trouble = strcmp(argv[2], "0") != 0;
    Lab_Start(argv[3]);
    int result = EXIT_CANNOT_RUN;
    switch (atoi(argv[1])) {
    case 13:
        result = run_13();
        break;
    case 14:
        result = run_14();
        break;
    case 12:
        result = run_12();
        break;
    default:
        break;
    }
    Lab_StopNodes();
    return result;
}
