/*
 * The store gives one node no response for some seconds, while it serves the
 * others and the operator, who puts a new version in force.
 */
#include <stdio.h>
#include <stdlib.h>

#include "lab.h"

#define SILENT_S 5.0
#define STABLE_WINDOW_S 3.0
#define CONFIG_APPLY_S 2.0

#define RULES LAB_RULE("r-front", "/front/", "safe", "front")
#define NEW_RULES RULES "," LAB_RULE("r-new", "/new/", "safe", "front")

/* Sends a request on a route and returns the status of the answer. */
static int
ask(const lab_node_t *node, const char *target)
{
    lab_client_t *client = calloc(1, sizeof(*client));
    char id[40];
    int status = 0;

    LabClient_NewId(id);
    double sent_at = Lab_Now();
    if (LabClient_Open(client, node->callers_port)) {
        if (LabClient_Send(client, "GET", target, id, 2000, 0)) {
            status = LabClient_Read(client, 2.5, 0, 0).status;
        }
        LabClient_Close(client);
    }
    Lab_Record("client at %s: %s, sent at %.3f, gets %d", node->name, target,
               sent_at, status);
    free(client);
    return status;
}

/* Waits until the node has begun a feed call of its node table not long ago,
 * so that the store owes it no response of that call while it is silent. */
static void
wait_for_feed(const lab_node_t *node)
{
    double until = Lab_Now() + 15;

    while (Lab_Now() - node->feed_began[LAB_FEED_NODES] > 1.0) {
        if (Lab_Now() > until) {
            Lab_GiveUp("no feed call");
        }
        Lab_Sleep(0.02);
    }
}

int
main(void)
{
    Lab_Start();
    lab_node_t *node = Lab_AddNode("front", "kingston-a", 18);
    lab_node_t *other = Lab_AddNode("front", "kingston-b", 18);
    Lab_AddNode("data", "kingston-c", 18);
    Lab_Run(Lab_FormatConfig(7, RULES));
    wait_for_feed(node);
    LabStore_PutConfig(Lab_FormatConfig(8, RULES));
    Lab_Sleep(1.0);
    double silent_at = Lab_Now();
    if (lab_trouble) {
        LabStore_SetSilent(node, true);
    }
    Lab_Sleep(1.0);
    double acked_at = LabStore_PutConfig(Lab_FormatConfig(9, NEW_RULES));
    while (Lab_Now() < silent_at + SILENT_S) {
        ask(node, "/front/?work=20&size=500");
        Lab_Sleep(0.25);
    }
    LabStore_SetSilent(node, false);
    double calm_at = Lab_Now() + STABLE_WINDOW_S;
    while (Lab_Now() < calm_at) {
        ask(node, "/front/?work=20&size=500");
        Lab_Sleep(0.25);
    }
    int refused = 0, asked = 0, refused_by_other = 0;
    while (Lab_Now() < calm_at + 6.0) {
        bool is_due = Lab_Now() > acked_at + CONFIG_APPLY_S;
        refused += ask(node, "/new/?work=20&size=500") == 404 && is_due;
        refused_by_other += ask(other, "/new/?work=20&size=500") == 404;
        asked++;
        Lab_Sleep(0.1);
    }
    Lab_Record("version acknowledged at %.3f, node in touch from %.3f; "
               "refused with 404 at %s: %d of %d, at %s: %d",
               acked_at, calm_at, node->name, refused, asked, other->name,
               refused_by_other);
    printf("handled as the older version allows: %d of %d\n", refused, asked);
    return Lab_Finish(refused > 0);
}
