/*
 * Findings of the review that are not cases: they need no disruption, or a
 * client that the pages do not allow. Prints what is seen; see REPORT.md.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lab.h"

/* Uploads whose backend reads as fast as they come. */
static void
probe_uploads(const lab_node_t *node)
{
    static const size_t sizes[] = {360000, 1000000, 2097152};

    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        lab_client_t *client = calloc(1, sizeof(*client));
        char id[40], *body = calloc(1, sizes[i]);
        double began = Lab_Now();

        LabClient_NewId(id);
        if (!LabClient_Open(client, node->callers_port) ||
            !LabClient_Send(client, "POST", "/upload/?work=50&size=400", id,
                            4000, sizes[i])) {
            Lab_GiveUp("cannot send");
        }
        LabClient_Write(client, body, sizes[i]);
        int status = LabClient_Read(client, 5, 0, 0).status;
        printf("upload of %zu bytes: %d after %.2f s\n", sizes[i], status,
               Lab_Now() - began);
        Lab_Record("upload of %zu bytes: %d", sizes[i], status);
        LabClient_Close(client);
        free(client);
        free(body);
    }
}

/* A Content-Length beyond 2^63 on a request whose body looks like another
 * request. */
static void
probe_length(const lab_node_t *node)
{
    static const char text[] =
        "POST /front/?work=10&size=10 HTTP/1.1\r\nHost: mesh.example\r\n"
        "X-Attempt-Id: outer\r\nX-Deadline-Ms: 3000\r\n"
        "Content-Length: 9223372036854775809\r\n\r\n"
        "GET /front/?work=1&size=1 HTTP/1.1\r\nHost: mesh.example\r\n"
        "X-Attempt-Id: inner\r\n\r\n";
    lab_client_t *client = calloc(1, sizeof(*client));
    lab_run_t run;

    if (!LabClient_Open(client, node->callers_port)) {
        Lab_GiveUp("cannot connect");
    }
    LabClient_Write(client, text, strlen(text));
    int status = LabClient_Read(client, 5, 0, 0).status;
    Lab_Sleep(0.3);
    bool has_run = LabBackend_FindRun("inner", &run) && run.began_at > 0;
    printf("Content-Length over 2^63: outer request gets %d, the text in its "
           "body %s\n",
           status, has_run ? "was run as a request" : "was not run");
    LabClient_Close(client);
    free(client);
}

/* A path that is longer than the node's lookup key, within header_bytes. */
static void
probe_path(const lab_node_t *node)
{
    lab_client_t *client = calloc(1, sizeof(*client));
    char text[4096], path[3001];

    memset(path, 'p', sizeof(path) - 1);
    path[sizeof(path) - 1] = '\0';
    int size = snprintf(text, sizeof(text),
                        "GET /front/%s HTTP/1.1\r\nHost: mesh.example\r\n"
                        "X-Attempt-Id: long\r\nX-Deadline-Ms: 3000\r\n\r\n",
                        path);
    if (!LabClient_Open(client, node->callers_port)) {
        Lab_GiveUp("cannot connect");
    }
    LabClient_Write(client, text, (size_t)size);
    printf("path of 3,000 bytes on a route: %d\n",
           LabClient_Read(client, 5, 0, 0).status);
    LabClient_Close(client);
    free(client);
}

int
main(void)
{
    Lab_Start();
    lab_node_t *node = Lab_AddNode("front", "kingston-a", 18);
    Lab_AddNode("data", "kingston-b", 18);
    Lab_Run(Lab_FormatConfig(
        7, LAB_RULE("r-front", "/front/", "safe", "front") "," LAB_RULE(
               "r-upload", "/upload/", "upload", "data")));
    probe_path(node);
    probe_length(node);
    probe_uploads(node);
    Lab_End();
    return 0;
}
