/* The cases of review/6 to review/10: `lab CASE RECORD`. With TROUBLE=0 in the
 * environment a case does the same without its disruption. Exit codes: 0 the
 * rule held, 1 it was broken, 2 the case could not run. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "lab.h"

/* Bounds of the small deployments. */
#define DRAIN_S 2.0
#define CONFIG_APPLY_S 2.0
#define STABLE_WINDOW_S 3.0
#define OUTER_BOUND_S 5.0

#define HOST "shop.example"
#define NODE_TABLE "burdockbarrow-nodes"

static bool has_trouble;
static int store_port;

/* One version of the configuration: /lookup/ goes to a service. */
static bool
put_config(int version, const char *lookup_service)
{
    char text[2048];

    snprintf(
        text, sizeof(text),
        "{\"version\":\"r%d\",\"services\":["
        "{\"name\":\"alpha\",\"health_path\":\"/health\","
        "\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false},"
        "{\"name\":\"beta\",\"health_path\":\"/health\","
        "\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false}],"
        "\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,"
        "\"header_s\":3,\"idle_s\":15},\"virtual_hosts\":[{\"host\":\"" HOST
        "\",\"path_rules\":[{\"name\":\"lookup\",\"prefix\":\"/lookup/\","
        "\"kind\":\"safe\",\"timeout_s\":1,\"target_latency_s\":0.5,"
        "\"priority\":2,\"service\":\"%s\",\"max_attempts\":2},"
        "{\"name\":\"order\",\"prefix\":\"/order/\","
        "\"kind\":\"unsafe\",\"timeout_s\":1.2,\"target_latency_s\":0.6,"
        "\"priority\":1,\"service\":\"alpha\",\"max_attempts\":2},"
        "{\"name\":\"other\",\"prefix\":\"/other/\",\"kind\":\"safe\","
        "\"timeout_s\":1,\"target_latency_s\":0.5,\"priority\":2,"
        "\"service\":\"beta\",\"max_attempts\":2}]}]}",
        version, lookup_service);
    return Lab_OperatorPut("op", "config", text);
}

/* Starts the store, the first version of the configuration and the nodes
 * "alpha-1", "alpha-2", "alpha-3" and "beta-1", and waits until each of them
 * serves calls. */
static void
start_fleet(lab_node_t nodes[4])
{
    static const char *const names[] = {"alpha-1", "alpha-2", "alpha-3",
                                        "beta-1"};
    static const char *const zones[] = {"zone-a", "zone-b", "zone-c",
                                        "zone-a"};

    store_port = Lab_StartStore();
    Lab_Require(put_config(5, "alpha"), "the store is away");
    for (int i = 0; i < 4; i++) {
        Lab_StartNode(&nodes[i], names[i], zones[i], i < 3 ? "alpha" : "beta",
                      store_port);
    }
    for (int i = 0; i < 4; i++) {
        Lab_AwaitReady(&nodes[i], 20);
    }
    for (int i = 0; i < 4; i++) {
        lab_answer_t answer =
            Lab_CallUntilServed(&nodes[i], HOST, "/lookup/1", 10);
        Lab_Require(answer.status == 200, "a call is not served");
        answer = Lab_CallUntilServed(&nodes[i], HOST, "/other/1", 10);
        Lab_Require(answer.status == 200, "a call is not served");
    }
    Lab_Sleep(4); /* the records are written and read */
}

/* ---- drill: a version that is accepted after it is not taken over ---- */

static bool
is_record_left(const char *node)
{
    char text[1024];

    return Lab_StoreRow(NODE_TABLE, node, text, sizeof(text)) &&
           strstr(text, "\"left\"") != NULL;
}

static int
run_drill(void)
{
    const double away_s = 2.0;
    lab_node_t nodes[4];
    int broken = 0;

    start_fleet(nodes);
    Lab_CopyStore();
    Lab_Sleep(1);
    /* Planned work: a backend leaves, which writes one row. */
    nodes[2].is_beating = false;
    Lab_Require(Lab_SendLeave(&nodes[2]) == 200, "the leave is not accepted");
    Lab_Require(is_record_left("sidecar-alpha-3"), "the leave isn't recorded");
    Lab_Sleep(3);
    if (has_trouble) {
        Lab_StoreAway();
        Lab_Sleep(away_s);
        Lab_StoreDrill();
    }
    double back_at = Lab_Now();
    while (!put_config(9, "beta")) {
        Lab_Sleep(0.02);
    }
    double accepted_at = Lab_Now();
    /* Only calls after all bounds together are judged. */
    Lab_SleepUntil(back_at + STABLE_WINDOW_S + CONFIG_APPLY_S + OUTER_BOUND_S +
                   1);
    for (int round = 0; round < 10; round++) {
        for (int i = 0; i < 4; i++) {
            lab_answer_t answer = Lab_Call(&nodes[i], HOST, "/lookup/2", 2000);
            if (answer.status == 200 &&
                strncmp(answer.backend, "i-alpha", 7) == 0) {
                broken++;
                Lab_Record("broken: %s was run by the old service, %.1f s "
                           "after r9 was accepted",
                           answer.attempt_id, answer.sent_at - accepted_at);
            }
        }
        Lab_Sleep(0.5);
    }
    Lab_Record("%d of 40 calls were run by the old service", broken);
    return broken > 0 ? 1 : 0;
}

/* ---- drill: the record of a leave is lost, and is not written again ---- */

/* Calls from the clients beside a node that its backend has run although its
 * leave was acknowledged more than DRAIN_S before. */
static int
count_late_runs(const lab_node_t *nodes, const lab_node_t *leaving,
                double left_at, double until)
{
    int broken = 0;

    while (Lab_Now() < until) {
        for (int i = 0; i < 4; i++) {
            lab_answer_t answer = Lab_Call(&nodes[i], HOST, "/lookup/2", 2000);
            if (strcmp(answer.backend, leaving->id) == 0 &&
                answer.sent_at > left_at + DRAIN_S) {
                broken++;
                Lab_Record("broken: %s reached %s %.1f s after its leave was "
                           "acknowledged",
                           answer.attempt_id, leaving->id,
                           answer.sent_at - left_at);
            }
        }
        Lab_Sleep(0.3);
    }
    Lab_Record("%d calls reached the backend later than %.0f s after its "
               "leave was acknowledged",
               broken, DRAIN_S);
    return broken;
}

static int
run_lost_leave(void)
{
    const double away_s = 1.0;
    lab_node_t nodes[4];
    lab_node_t *leaving = &nodes[0];

    start_fleet(nodes);
    leaving->is_beating = false;
    pthread_join(leaving->beats, NULL);
    Lab_CopyStore();
    Lab_Sleep(0.5);
    /* This heartbeat is sent now and arrives late. */
    int64_t late_sequence = ++leaving->sequence;
    double beat_sent_at = Lab_Now();
    Lab_Sleep(0.2);
    Lab_Require(Lab_SendLeave(leaving) == 200, "the leave is not accepted");
    Lab_Require(is_record_left(leaving->name), "the leave isn't recorded");
    Lab_Sleep(1);
    if (has_trouble) {
        Lab_StoreAway();
        Lab_Sleep(away_s);
        Lab_StoreDrill();
    }
    Lab_Sleep(1);
    /* What the backend has announced, it announces again after the drill. */
    int status = 0;
    while (status != 200) {
        status = Lab_SendLeave(leaving);
    }
    double left_at = Lab_Now();
    Lab_Record("the record of %s %s that its backend has left", leaving->name,
               is_record_left(leaving->name) ? "says" : "does not say");
    Lab_Sleep(0.3);
    Lab_KillSidecar(leaving);
    Lab_Sleep(0.5);
    Lab_StartSidecar(leaving, false);
    Lab_Sleep(1);
    status = Lab_SendBeat(leaving, late_sequence, "ready");
    Lab_Record("backend %s: heartbeat %lld, sent at %.3f, arrives, status %d",
               leaving->id, (long long)late_sequence, beat_sent_at, status);
    Lab_Sleep(STABLE_WINDOW_S + 1);
    return count_late_runs(nodes, leaving, left_at, Lab_Now() + 8) > 0;
}

/* ---- a leave is forgotten: the other nodes hold an older record ---- */

static int
run_stale_record(void)
{
    const double down_s = 9.0;
    lab_node_t nodes[4];
    lab_node_t *leaving = &nodes[0];

    start_fleet(nodes);
    leaving->is_beating = false;
    pthread_join(leaving->beats, NULL);
    nodes[1].is_beating = false;
    /* This heartbeat is sent now and arrives late. */
    int64_t late_sequence = ++leaving->sequence;
    double beat_sent_at = Lab_Now();
    /* Two backends leave one shortly after the other. */
    Lab_Require(Lab_SendLeave(&nodes[1]) == 200, "the leave is not accepted");
    Lab_Sleep(0.3);
    Lab_Require(Lab_SendLeave(leaving) == 200, "the leave is not accepted");
    double left_at = Lab_Now();
    Lab_Sleep(0.1);
    if (has_trouble) {
        Lab_StoreAway();
    }
    Lab_KillSidecar(leaving);
    Lab_Sleep(0.3);
    Lab_StartSidecar(leaving, false);
    Lab_SleepUntil(beat_sent_at + 2.5);
    int status = Lab_SendBeat(leaving, late_sequence, "ready");
    Lab_Record("backend %s: heartbeat %lld, sent at %.3f, arrives, status %d",
               leaving->id, (long long)late_sequence, beat_sent_at, status);
    Lab_SleepUntil(left_at + 0.4 + STABLE_WINDOW_S + 0.5);
    int broken = count_late_runs(nodes, leaving, left_at, left_at + down_s);
    if (has_trouble) {
        Lab_StoreBack();
    }
    return broken > 0;
}

/* ---- a malformed heartbeat hides that a backend is draining ---- */

static int
run_malformed(void)
{
    const double stay_s = 12.0;
    char body[1024];
    lab_node_t nodes[4];
    lab_node_t *leaving = &nodes[0];

    start_fleet(nodes);
    if (has_trouble) {
        /* From another writer: the zone is missing; its sequence is the time
         * of day in seconds. */
        snprintf(body, sizeof(body),
                 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
                 "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                 "\"cold_left_s\":0,\"sequence\":%lld,\"born\":%lld}",
                 leaving->service, leaving->backend_port,
                 (long long)time(NULL), (long long)leaving->born_ms);
        int status = Lab_Announce(leaving, "PUT", body);
        Lab_Record("another writer: heartbeat %s, status %d", body, status);
    }
    Lab_Sleep(5);
    leaving->is_beating = false;
    pthread_join(leaving->beats, NULL);
    int status = Lab_SendBeat(leaving, ++leaving->sequence, "draining");
    Lab_Record("backend %s: draining, sequence %lld, status %d", leaving->id,
               (long long)leaving->sequence, status);
    Lab_Require(status == 200, "the leave is not accepted");
    double left_at = Lab_Now();
    int broken = count_late_runs(nodes, leaving, left_at, left_at + stay_s);
    Lab_SendLeave(leaving);
    return broken > 0;
}

/* ---- endless bytes: answered calls behind them are lost ---- */

#define BEHIND 3

/* Sends a call to the backend in trouble, and BEHIND calls for a sound one
 * behind it on the same connection. Returns how many of these the sound
 * backend has run although the connection ended without their responses. */
static int
count_lost_behind(lab_node_t *node, lab_node_t *sound, int number)
{
    lab_message_t response;
    int fd = Lab_Connect(node->callers);
    lab_stream_t stream = {.fd = fd};
    int runs_before = sound->runs, answered = 0;
    double sent_at = Lab_Now();

    Lab_Require(fd >= 0, "no connection");
    Lab_SendText(fd,
                 "GET /other/0 HTTP/1.1\r\nHost: " HOST
                 "\r\nX-Attempt-Id: k%03d\r\nX-Deadline-Ms: 2000\r\n\r\n",
                 number);
    Lab_Require(Lab_ReadMessage(&stream, &response, sent_at + 2) &&
                    response.status == 200,
                "the first call on a connection is not served");
    Lab_FreeMessage(&response);
    runs_before++;
    sent_at = Lab_Now();
    Lab_SendText(fd,
                 "GET /lookup/%d HTTP/1.1\r\nHost: " HOST
                 "\r\nX-Attempt-Id: e%03d\r\nX-Deadline-Ms: 2000\r\n\r\n",
                 number, number);
    Lab_Sleep(0.4);
    for (int i = 0; i < BEHIND; i++) {
        Lab_SendText(fd,
                     "GET /other/%d HTTP/1.1\r\nHost: " HOST
                     "\r\nX-Attempt-Id: b%03d-%d\r\nX-Deadline-Ms: 2000"
                     "\r\n\r\n",
                     i, number, i);
    }
    double behind_at = Lab_Now();
    bool is_first_whole = Lab_ReadMessage(&stream, &response, sent_at + 2);
    if (is_first_whole) {
        Lab_FreeMessage(&response);
    }
    while (is_first_whole && answered < BEHIND &&
           Lab_ReadMessage(&stream, &response, behind_at + 2)) {
        answered++;
        Lab_FreeMessage(&response);
    }
    bool is_ended_by_node = Lab_Now() < sent_at + 1.9;
    int runs = sound->runs - runs_before;
    Lab_Record("connection %d: %s after %.2f s, %d calls behind it run by a "
               "sound backend, %d of %d answered",
               number, is_first_whole ? "all read" : "ended by the node",
               Lab_Now() - sent_at, runs, answered, BEHIND);
    close(fd);
    free(stream.bytes);
    return is_ended_by_node && runs > answered ? runs - answered : 0;
}

static int
run_endless(void)
{
    lab_node_t nodes[4];
    int lost = 0;

    start_fleet(nodes);
    for (int i = 0; has_trouble && i < 2; i++) {
        nodes[i].mode = LAB_ENDLESS;
    }
    for (int number = 0; number < 18; number++) {
        lost += count_lost_behind(&nodes[3], &nodes[3], number);
        Lab_Sleep(0.5);
    }
    Lab_Record("%d calls passed on to a sound backend and not answered", lost);
    return lost > 3;
}

/* ---- surplus bytes: a client gets them as its answer ---- */

#define CALLS 300

/* Sends calls one after the other, at some nodes in turn; returns how many got
 * a success whose body is not that of the backend. */
static int
count_foreign(const lab_node_t *nodes, int node_count, const char *method,
              const char *path)
{
    int foreign = 0;

    for (int i = 0; i < CALLS; i++) {
        char expected[2 * LAB_TEXT];
        lab_answer_t answer =
            Lab_CallWith(&nodes[i % node_count], method, HOST, path, 2000);
        snprintf(expected, sizeof(expected), "answer to %s",
                 answer.attempt_id);
        if (answer.status == 200 && strcmp(answer.body, expected) != 0) {
            foreign++;
            Lab_Sleep(0.1);
            Lab_Record("broken: %s got a success with the body \"%s\"%s",
                       answer.attempt_id, answer.body,
                       Lab_HasRun(answer.attempt_id) ? "" : ", and never ran");
        }
    }
    return foreign;
}

static int
run_surplus(void)
{
    lab_node_t nodes[4];

    start_fleet(nodes);
    if (has_trouble) {
        nodes[0].mode = LAB_SURPLUS;
    }
    int reads = count_foreign(nodes, 3, "GET", "/lookup/2");
    int orders = count_foreign(nodes, 3, "POST", "/order/2");
    Lab_Record("%d lookups and %d orders of %d each got bytes of no response",
               reads, orders, CALLS);
    return reads + orders > 0;
}

/* ---- a response without a body: the bytes behind it reach the client ---- */

/* Sends a lookup to the node beside the backend in trouble, and then another
 * one to a sound service, on one connection. Returns whether the client got
 * something else than the second backend's body for the second one. */
static bool
is_second_answer_foreign(const lab_node_t *node, int number)
{
    lab_message_t response;
    int fd = Lab_Connect(node->callers);
    lab_stream_t stream = {.fd = fd};
    char expected[LAB_TEXT];
    bool is_foreign = false;

    Lab_Require(fd >= 0, "no connection");
    Lab_SendText(fd,
                 "GET /lookup/%d HTTP/1.1\r\nHost: " HOST
                 "\r\nX-Attempt-Id: f%03d\r\nX-Deadline-Ms: 2000\r\n\r\n",
                 number, number);
    if (Lab_ReadMessage(&stream, &response, Lab_Now() + 2)) {
        Lab_Record("client at %s: f%03d GET /lookup/, status %d", node->name,
                   number, response.status);
        Lab_FreeMessage(&response);
        Lab_SendText(fd,
                     "GET /other/%d HTTP/1.1\r\nHost: " HOST
                     "\r\nX-Attempt-Id: g%03d\r\nX-Deadline-Ms: 2000\r\n"
                     "\r\n",
                     number, number);
        if (Lab_ReadMessage(&stream, &response, Lab_Now() + 2)) {
            snprintf(expected, sizeof(expected), "answer to g%03d", number);
            is_foreign =
                response.status == 200 && strcmp(response.body, expected) != 0;
            Lab_Record("client at %s: g%03d GET /other/, status %d, \"%s\"%s",
                       node->name, number, response.status, response.body,
                       is_foreign ? ", broken" : "");
            Lab_FreeMessage(&response);
        }
    }
    close(fd);
    free(stream.bytes);
    return is_foreign;
}

#define SECOND_CALLS 150

static int
run_no_content(void)
{
    lab_node_t nodes[4];
    int foreign = 0;

    start_fleet(nodes);
    if (has_trouble) {
        nodes[0].mode = LAB_NO_CONTENT;
    }
    for (int number = 0; number < SECOND_CALLS; number++) {
        foreign += is_second_answer_foreign(&nodes[0], number);
    }
    Lab_Record("%d of %d second calls on a connection got bytes of no "
               "response",
               foreign, SECOND_CALLS);
    /* Calls that come from another node, each on a connection of its own. */
    int forwarded = count_foreign(&nodes[3], 1, "GET", "/lookup/2");
    Lab_Record("%d of %d forwarded calls got bytes of no response", forwarded,
               CALLS);
    int orders = count_foreign(&nodes[3], 1, "POST", "/order/2");
    Lab_Record("%d of %d forwarded orders got bytes of no response", orders,
               CALLS);
    return foreign + forwarded + orders > 0;
}

int
main(int argc, char **argv)
{
    static const struct {
        const char *name;
        int (*run)(void);
    } cases[] = {{"drill", run_drill},
                 {"lost-leave", run_lost_leave},
                 {"stale-record", run_stale_record},
                 {"endless", run_endless},
                 {"malformed", run_malformed},
                 {"surplus", run_surplus},
                 {"no-content", run_no_content}};
    const char *trouble = getenv("TROUBLE");

    has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    for (size_t i = 0; argc == 3 && i < sizeof(cases) / sizeof(cases[0]);
         i++) {
        if (strcmp(argv[1], cases[i].name) == 0) {
            Lab_Start(argv[2]);
            int result = cases[i].run();
            Lab_Record("result %d", result);
            Lab_Exit(result);
        }
    }
    fputs("usage: lab CASE RECORD\n", stderr);
    return 2;
}
