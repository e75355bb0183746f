/*
 * lab - small fleet of real sidecars among stand-ins, on loopback
 *
 * Stand-ins: the platform's store with its operator, backends with their
 * heartbeats, and clients. Everything that they send, answer and run is
 * written to a record file. Threads are used for all of them; a stand-in does
 * only what the users' pages allow.
 */
#ifndef LAB_H
#define LAB_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_TEXT 256
#define LAB_MAX_NODES 6

/* ---- time and record ---- */

/* Starts the clock, opens the record and limits the time of the process. */
void Lab_Start(const char *record_path);

/* Seconds since Lab_Start(). */
double Lab_Now(void);

void Lab_Sleep(double seconds);
void Lab_SleepUntil(double at);

/* Writes one line with the time to the record. */
void Lab_Record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Ends all processes that were started, then this one. 2: could not run. */
void Lab_Exit(int code) __attribute__((noreturn));
void Lab_Require(bool condition, const char *what);

/* ---- HTTP ---- */

typedef struct {
    char *head; /* NUL-terminated, with the last blank line */
    size_t head_size;
    char *body;
    size_t body_size;
    char method[16];
    char target[1024];
    int status; /* of a response */
} lab_message_t;

typedef struct {
    int fd;
    char *bytes; /* read and not yet used */
    size_t size;
} lab_stream_t;

/* Reads a request or response. Returns false at the end of the stream, at an
 * error, or when the deadline (of Lab_Now(), 0 for none) has passed. */
bool Lab_ReadMessage(lab_stream_t *stream, lab_message_t *message,
                     double deadline);
void Lab_FreeMessage(lab_message_t *message);

/* Copies the value of a field; false without one. */
bool Lab_Field(const lab_message_t *message, const char *name, char *out,
               size_t size);

bool Lab_Send(int fd, const void *data, size_t size);
bool Lab_SendText(int fd, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
int Lab_Connect(int port);
int Lab_FreePort(void);

typedef void (*lab_handler_t)(int fd, lab_message_t *request, void *arg);

typedef struct lab_server lab_server_t;

lab_server_t *Lab_NewServer(int port, lab_handler_t handler, void *arg);

/* Closes the port and all connections, and opens the port again. */
void Lab_CloseServer(lab_server_t *server);
void Lab_OpenServer(lab_server_t *server);

/* ---- store ---- */

int Lab_StartStore(void); /* returns its port */

/* The operator writes a value; false while the store is away. */
bool Lab_OperatorPut(const char *table, const char *key, const char *value);
void Lab_CopyStore(void);  /* takes the copy of a drill */
void Lab_StoreAway(void);  /* nobody answers at its port */
void Lab_StoreBack(void);  /* with all that it had */
void Lab_StoreDrill(void); /* comes back from the copy, in the next era */
int64_t Lab_StoreVersion(void);

/* Copies the value of a row; false without one. */
bool Lab_StoreRow(const char *table, const char *key, char *out, size_t size);

/* ---- backends and sidecars ---- */

typedef enum {
    LAB_SOUND,
    LAB_ENDLESS,    /* some responses are bytes without end */
    LAB_SURPLUS,    /* bytes behind a complete response, which arrive late */
    LAB_NO_CONTENT, /* some responses are 204, with bytes behind the head */
} lab_mode_t;

typedef struct {
    char name[LAB_TEXT];
    char zone[LAB_TEXT];
    char service[LAB_TEXT];
    char id[LAB_TEXT]; /* of the backend */
    int64_t born_ms;
    int64_t sequence;
    int backend_port, callers, forwarded, admin, announcements;
    pid_t pid; /* of the sidecar; 0 while it does not run */
    bool is_beating;
    lab_mode_t mode;
    double work_s;
    int runs;
    double last_run_at;
    pthread_t beats;
} lab_node_t;

/* Starts a backend with its heartbeats, and the sidecar beside it. */
void Lab_StartNode(lab_node_t *node, const char *name, const char *zone,
                   const char *service, int store_port);
void Lab_StartSidecar(lab_node_t *node, bool is_first_start);
void Lab_KillSidecar(lab_node_t *node);

/* Waits until the sidecar is ready. */
void Lab_AwaitReady(const lab_node_t *node, double timeout_s);

/* Whether a backend has begun to run the request of this id. */
bool Lab_HasRun(const char *attempt_id);

/* Sends a request to a node's address for heartbeats, with the id of its
 * backend in the path; returns the status, 0 without a response within one
 * second. */
int Lab_Announce(const lab_node_t *node, const char *method, const char *body);

/* Sends a heartbeat with the given sequence; returns the status or 0. */
int Lab_SendBeat(lab_node_t *node, int64_t sequence, const char *state);
int Lab_SendLeave(lab_node_t *node);

/* ---- clients ---- */

typedef struct {
    int status;             /* 0 without a whole response */
    char backend[LAB_TEXT]; /* id of the backend that answered, or empty */
    char attempt_id[LAB_TEXT];
    char body[LAB_TEXT];
    double sent_at;
} lab_answer_t;

/* Sends one request without a body to the clients' address of a node. */
lab_answer_t Lab_CallWith(const lab_node_t *node, const char *method,
                          const char *host, const char *path, int deadline_ms);

/* The same with GET. */
lab_answer_t Lab_Call(const lab_node_t *node, const char *host,
                      const char *path, int deadline_ms);

/* Like Lab_Call(), repeated until the status is 200 or the time is over. */
lab_answer_t Lab_CallUntilServed(const lab_node_t *node, const char *host,
                                 const char *path, double timeout_s);

#endif
