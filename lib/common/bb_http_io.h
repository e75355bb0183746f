/*
 * bb_http_io - libmicrohttpd servers driven by a libev loop
 *
 * USE
 *   BbMhd_Start() gives a daemon with a caller-supplied access handler, for
 *   streamed calls. BbHttp_Start() gives a server that collects each request
 *   body first and lets the handler answer at once or later, for control
 *   traffic.
 *
 * LIMITS
 *   After MHD_resume_connection() call BbMhd_Wake(): libmicrohttpd looks at
 *   resumed connections only when it is run again.
 */
#ifndef BB_HTTP_IO_H
#define BB_HTTP_IO_H

#include <ev.h>
#include <microhttpd.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* ---- raw daemons ---- */

typedef struct bb_mhd bb_mhd_t;

typedef struct {
    struct ev_loop *loop;
    const char *address; /* "IP:PORT" */
    MHD_AccessHandlerCallback handler;
    void *handler_arg;
    MHD_RequestCompletedCallback completed; /* may be NULL */
    void *completed_arg;
    /* Gets the request target as it was sent, before it is unescaped, and
     * returns the first value of the handler's request argument. May be
     * NULL. */
    void *(*raw_uri)(void *arg, const char *uri, struct MHD_Connection *);
    void *raw_uri_arg;
    unsigned int connection_timeout_s; /* idle connections; 0 = none */
    unsigned int max_connections;      /* 0 takes 1024 */
    size_t memory_per_connection;      /* 0 takes 32 KiB */
} bb_mhd_options_t;

/* Returns BB_ERR_ADDRESS_IN_USE, BB_ERR_ARGUMENT or BB_ERR_IO on failure. */
int BbMhd_Start(bb_mhd_t **mhd, const bb_mhd_options_t *options);

/* Runs the daemon once from the loop, after the current callbacks. */
void BbMhd_Wake(bb_mhd_t *mhd);

/* Stops accepting; open connections go on, also those that wait in the queue
 * of the listener. */
void BbMhd_StopAccepting(bb_mhd_t *mhd);

/* Number of open connections. */
unsigned int BbMhd_ConnectionCount(const bb_mhd_t *mhd);

/* Closes all connections. No connection may be suspended. */
void BbMhd_Free(bb_mhd_t *mhd);

/* ---- buffered servers ---- */

typedef struct bb_http bb_http_t;
typedef struct bb_http_request bb_http_request_t;

typedef void (*bb_http_handler_t)(bb_http_request_t *request, void *arg);

typedef struct {
    struct ev_loop *loop;
    const char *address; /* "IP:PORT" */
    bb_http_handler_t handler;
    void *arg;
    size_t max_body_bytes; /* 0 takes 8 MiB; larger requests get a 413 */
} bb_http_options_t;

int BbHttp_Start(bb_http_t **http, const bb_http_options_t *options);

/* Unanswered requests are dropped. */
void BbHttp_Free(bb_http_t *http);

const char *BbHttp_Method(const bb_http_request_t *request);

/* Path without the query. */
const char *BbHttp_Path(const bb_http_request_t *request);

/* Query parameter or NULL. */
const char *BbHttp_Query(const bb_http_request_t *request, const char *name);

/* Header or NULL. */
const char *BbHttp_Header(const bb_http_request_t *request, const char *name);

/* NUL terminated; size may be NULL. */
const char *BbHttp_Body(const bb_http_request_t *request, size_t *size);

/* Answers and ends the request; exactly one of Reply and Drop per request. */
void BbHttp_Reply(bb_http_request_t *request, unsigned int status,
                  const char *content_type, const char *body, size_t size);

/* Closes the connection without an answer, to inject faults. */
void BbHttp_Drop(bb_http_request_t *request);

/* Splits "IP:PORT" into an IPv4 socket address. */
struct sockaddr_in;
int BbHttp_ParseAddress(const char *address, struct sockaddr_in *out);

#ifdef __cplusplus
}
#endif

#endif
