/*
 * A backend leaves while the node beside it is being restarted, and a
 * heartbeat from before the leave arrives late, at the new process.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lab.h"

#define DRAIN_S 2.0
#define STABLE_WINDOW_S 3.0

/* How long the backend serves after its leave is acknowledged. */
#define STAY_S 11.0

#define MAX_RUNS 20000

static lab_node_t *front;
static volatile bool is_over;

static void *
run_client(void *arg)
{
    lab_client_t *client = calloc(1, sizeof(*client));
    char id[40];

    (void)arg;
    if (!LabClient_Open(client, front->callers_port)) {
        Lab_GiveUp("cannot connect");
    }
    while (!is_over) {
        LabClient_NewId(id);
        if (!LabClient_Send(client, "GET", "/data/?work=20&size=500", id, 4000,
                            0)) {
            break;
        }
        int status = LabClient_Read(client, 5, 0, 0).status;
        if (status != 200) {
            Lab_Record("client: %s gets %d", id, status);
        }
        if (status == 0) {
            break;
        }
        Lab_Sleep(0.02);
    }
    LabClient_Close(client);
    return NULL;
}

/* Waits for the end of the process and starts it again. Returns the time of
 * the start. */
static double
restart(lab_node_t *node)
{
    double until = Lab_Now() + 7;

    while (Lab_IsAlive(node, NULL)) {
        if (Lab_Now() > until) {
            Lab_GiveUp("the node has not ended");
        }
        Lab_Sleep(0.02);
    }
    Lab_Sleep(0.2);
    Lab_StartNode(node);
    return Lab_Now();
}

/* Requests that reached the backend of a node after a time. */
static int
count_late(const lab_node_t *node, double after)
{
    static lab_run_t runs[MAX_RUNS];
    int count = LabBackend_Runs(runs, MAX_RUNS), late = 0;

    for (int i = 0; i < count; i++) {
        late += strcmp(runs[i].target_id, node->target_id) == 0 &&
                runs[i].began_at > after;
    }
    return late;
}

int
main(void)
{
    pthread_t threads[4];

    Lab_Start();
    front = Lab_AddNode("front", "kingston-a", 18);
    lab_node_t *leaving = Lab_AddNode("data", "kingston-b", 18);
    Lab_AddNode("data", "kingston-c", 18);
    Lab_Run(Lab_FormatConfig(7, LAB_RULE("r-data", "/data/", "safe", "data")));
    for (int i = 0; i < 4; i++) {
        pthread_create(&threads[i], NULL, run_client, NULL);
    }
    Lab_Sleep(1.0);
    if (lab_trouble) {
        Lab_Record("platform: SIGTERM to %s", leaving->name);
        kill(leaving->pid, SIGTERM);
    }
    Lab_Sleep(1.5);
    /* The heartbeat that will arrive late is made now. */
    int64_t late_sequence = ++leaving->sequence;
    double made_at = Lab_Now();
    double acked_at = LabBackend_Leave(leaving);
    if (acked_at == 0) {
        Lab_GiveUp("the leave is not acknowledged");
    }
    double restarted_at = acked_at;
    if (lab_trouble) {
        restarted_at = restart(leaving);
        Lab_Sleep(0.5);
    }
    else {
        Lab_Sleep(1.5);
    }
    int status = LabBackend_SendHeartbeat(leaving, late_sequence);
    Lab_Record("backend %s: a heartbeat made before the leave arrives %.2f s "
               "late, response %d",
               leaving->target_id, Lab_Now() - made_at, status);
    Lab_Sleep(acked_at + STAY_S - Lab_Now());
    is_over = true;
    Lab_Sleep(0.3);
    double in_touch_from = restarted_at + STABLE_WINDOW_S;
    double bound = acked_at + DRAIN_S;
    int late =
        count_late(leaving, in_touch_from > bound ? in_touch_from : bound);
    Lab_Record("leave acknowledged at %.3f, node in touch from %.3f, requests "
               "that reached the backend later than %.1f s after the "
               "acknowledgement, sent on by a node in touch: %d",
               acked_at, in_touch_from, DRAIN_S, late);
    printf("requests after the leave: %d\n", late);
    return Lab_Finish(late > 0);
}
