/*
 * lab - small stand-ins of the platform for the cases of this review
 *
 * One process holds the store, the backends and the clients as threads with
 * blocking sockets, and starts real sidecars as child processes. All addresses
 * are loopback addresses with free ports.
 *
 * What the stand-ins do follows PROTOCOL.md: the store keeps rows and serves
 * rows-get, rows-feed and rows-tx; a backend announces itself each second and
 * leaves the answer to a function of the case; a client reads the answers of
 * its connection in order.
 */
#ifndef LAB_H
#define LAB_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_HEAD_BYTES 16384
#define LAB_MAX_NODES 16

/* ---- HTTP ---- */

/* A connection and the bytes that were received but not yet consumed. */
typedef struct {
    int fd;
    char buffer[65536];
    size_t start, end;
} lab_connection_t;

typedef struct {
    char text[LAB_HEAD_BYTES]; /* lines, each ended by NUL */
    size_t size;
    char method[16];
    char target[1024];
    int status; /* of a response */
} lab_head_t;

/* Returns false at the end of the connection or after timeout_s. */
bool Lab_ReadHead(lab_connection_t *connection, lab_head_t *head,
                  double timeout_s);

/* Reads a body of the length in the head and drops it, unless out is given.
 * Returns false if the connection ended before; *size is what was read. */
bool Lab_ReadBody(lab_connection_t *connection, const lab_head_t *head,
                  GByteArray *out, size_t *size, double timeout_s);

const char *Lab_Field(const lab_head_t *head, const char *name);
int Lab_Connect(int port);
bool Lab_SendAll(int fd, const void *data, size_t size);
bool Lab_SendText(int fd, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Sends size bytes of a body whose content does not matter. */
bool Lab_SendFiller(int fd, size_t size);

/* ---- time and record ---- */

double Lab_Now(void); /* seconds since Lab_Start() */
void Lab_Sleep(double seconds);
void Lab_Record(const char *format, ...) G_GNUC_PRINTF(1, 2);

/* ---- deployment ---- */

typedef struct lab_backend lab_backend_t;

/* Answers one request; returns false to close the connection. */
typedef bool (*lab_answer_t)(lab_backend_t *backend, int fd,
                             const lab_head_t *head);

struct lab_backend {
    char id[32];
    const char *service;
    int slots;
    int port;
    lab_answer_t answer;
    const char *version; /* of its software */
    bool is_draining;    /* what its heartbeats say */
    bool is_slow;        /* used by the cases only */
};

typedef struct {
    char name[32];
    const char *zone;
    pid_t pid; /* of the sidecar; 0 when it has ended */
    int callers, forwarded, admin, announcements;
    bool was_started;
    lab_backend_t backend;
} lab_node_t;

extern lab_node_t Lab_Nodes[LAB_MAX_NODES];
extern int Lab_NodeCount;

/* Creates the folder for settings and logs and starts the store. Exits with 2
 * when the sidecar is missing. */
void Lab_Start(const char *record_path);

void Lab_AddNode(const char *zone, const char *service, int slots,
                 lab_answer_t answer);

/* The operator writes the configuration; rules are the entries of path_rules
 * of the host "h". */
void Lab_PutConfig(int version, const char *services, const char *rules);

/* Further tables of the settings files, "" without. */
extern const char *Lab_MoreSettings;

/* Starts all sidecars and waits until each is ready. */
void Lab_StartNodes(void);

/* Starts the sidecar of a node, again or later than the fleet, and, at its
 * first start, the heartbeats of its backend. */
void Lab_StartNode(lab_node_t *node, bool is_first_start);

/* Sends SIGTERM to the sidecar and waits for its end. */
void Lab_TerminateNode(lab_node_t *node);

/* The operator writes a row. */
void Lab_PutRow(const char *table, const char *key, const char *text);

/* Text of a row, to be freed; NULL without a row. */
char *Lab_GetRow(const char *table, const char *key);

/* The drill: the store keeps a copy; is away, which it answers with 503; and
 * comes back from the copy with the next era. */
void Lab_CopyStore(void);
void Lab_SetStoreAway(bool is_away);
void Lab_RestoreStore(void);

/* Resident memory of the sidecar in MB; 0 when it has ended. */
double Lab_MemoryMb(const lab_node_t *node);

/* Kills the sidecar. */
void Lab_EndNode(lab_node_t *node);

void Lab_StopNodes(void);

#endif
