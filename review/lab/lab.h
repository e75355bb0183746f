/*
 * lab - stand-ins for the scripts of the review
 *
 * One process holds the platform's store, the backends and the clients; each
 * node is a process of its own, started with the command of the deploy file.
 * Every address is on loopback, every port is a free one.
 *
 * USE
 *   Lab_Start();                      reads TROUBLE, opens the record
 *   a = Lab_AddNode("front", ...);    a node with its backend
 *   Lab_Run(config);                  starts all, waits until all are ready
 *   ... clients ...
 *   return Lab_Finish(is_broken);     ends all, returns the exit code
 *
 * Requests tell the backend what to do by their query:
 *   work=MS      time of the work
 *   size=BYTES   size of the body of the response
 *   rate=KBPS    the body is sent at this rate (0: as fast as it goes)
 */
#ifndef LAB_H
#define LAB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_MAX_NODES 8
#define LAB_EXIT_HELD 0
#define LAB_EXIT_BROKEN 1
#define LAB_EXIT_NOT_RUN 2

typedef struct {
    char name[32];
    char service[32];
    char zone[32];
    char target_id[32];
    int slots;
    int callers_port, forward_port, admin_port, control_port, target_port;
    pid_t pid;
    bool is_first_start;
    int64_t sequence;
    int64_t born_ms;
    volatile bool has_left; /* its backend sends no heartbeats any more */
    volatile bool is_store_silent; /* the store gives this node no response */
    int store_port;                /* of the store, for this node only */
    volatile double feed_began[2]; /* last feed call: op, node table */
    volatile int running;
} lab_node_t;

/* One run of a request at a backend. */
typedef struct {
    char id[40];
    char target_id[32];
    double arrived_at; /* its head was read */
    double began_at;   /* 0: not run */
    double ended_at;   /* 0: still at work */
    bool is_dropped;   /* its connection closed before the end */
} lab_run_t;

extern lab_node_t lab_nodes[LAB_MAX_NODES];
extern int lab_node_count;
extern bool lab_trouble; /* false with TROUBLE=0 */

void Lab_Start(void);
lab_node_t *Lab_AddNode(const char *service, const char *zone, int slots);

/* A rule of a configuration, as JSON. */
#define LAB_RULE(name, prefix, kind, service)                           \
    "{\"name\":\"" name "\",\"prefix\":\"" prefix "\",\"kind\":\"" kind \
    "\",\"timeout_s\":8,\"target_latency_s\":2.5,\"priority\":2,"       \
    "\"service\":\"" service "\",\"max_attempts\":2}"

/* Text of a configuration with the services of all nodes; free it. */
char *Lab_FormatConfig(int version, const char *rules);

/* Writes op/config, starts all nodes and waits until all are ready and know
 * each other. Exits with LAB_EXIT_NOT_RUN when they are not. */
void Lab_Run(const char *config);
int Lab_Finish(bool is_broken);

/* Ends all processes that were started, without a result. */
void Lab_End(void);
void Lab_GiveUp(const char *reason) __attribute__((noreturn));

void Lab_StartNode(lab_node_t *node);
/* Whether the process runs; *status gets the status of waitpid() if not. */
bool Lab_IsAlive(lab_node_t *node, int *status);

double Lab_Now(void); /* seconds since Lab_Start() */
void Lab_Sleep(double seconds);
void Lab_Record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* ---- store ---- */

/* Writes op/config; returns the time of the acknowledgement. */
double LabStore_PutConfig(const char *config);

/* While silent, the store carries out the calls of this node and serves the
 * others, but its responses to this node are lost. A connection on which a
 * response was lost delivers nothing further, also afterwards. */
void LabStore_SetSilent(lab_node_t *node, bool is_silent);

enum { LAB_FEED_CONFIG, LAB_FEED_NODES };

/* ---- backends ---- */
/* Copies the runs that are known so far; returns their number. */
int LabBackend_Runs(lab_run_t *out, int most);
bool LabBackend_FindRun(const char *id, lab_run_t *out);

/* The backend says that it leaves (DELETE) and goes on serving. Returns the
 * time of the acknowledgement, 0 if there is none. */
double LabBackend_Leave(lab_node_t *node);

/* Sends the heartbeat "ready" that the backend made with this sequence.
 * Returns the status of the response. */
int LabBackend_SendHeartbeat(lab_node_t *node, int64_t sequence);

/* ---- clients ---- */
typedef struct {
    int fd;
    char buffer[65536];
    size_t used;
    char id[40]; /* of the last request; "" before the first */
} lab_client_t;

typedef struct {
    int status;    /* 0: the connection ended without a whole answer */
    bool has_head; /* a head was read */
    int64_t content_length;
    int64_t received; /* bytes of the body */
    bool is_sealed;
    bool is_timeout;
    char call_id[40];
} lab_answer_t;

void LabClient_NewId(char id[40]);
bool LabClient_Open(lab_client_t *client, int port);

/* A client across a network instead of loopback: its segments have at most
 * mss bytes and its window receive_bytes. */
bool LabClient_OpenFar(lab_client_t *client, int port, int mss,
                       int receive_bytes);
void LabClient_Close(lab_client_t *client);
bool LabClient_Send(lab_client_t *client, const char *method,
                    const char *target, const char *id, int deadline_ms,
                    size_t body_bytes);
bool LabClient_Write(lab_client_t *client, const void *data, size_t size);
/* Reads one answer; rate_kbps: reads the body at this rate, 0 means at once.
 * stop_after: returns once that many bytes of the body were read (0: all). */
lab_answer_t LabClient_Read(lab_client_t *client, double timeout_s,
                            double rate_kbps, int64_t stop_after);

#endif
