/*
 * bb_http_io - libmicrohttpd servers driven by a libev loop
 *
 * USE
 *   BbMhd_Start() starts a daemon with the given access handler, for streamed
 *   calls. BbHttp_Start() starts a server that buffers each request body
 *   before it calls the handler, which may respond at once or later, for
 *   control traffic.
 *
 * LIMITS
 *   After MHD_resume_connection() call BbMhd_Wake(): libmicrohttpd processes
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

/* ---- daemons for streamed calls ---- */

typedef struct bb_mhd bb_mhd_t;

typedef struct {
    struct ev_loop *loop;
    const char *address; /* "IP:PORT" */
    MHD_AccessHandlerCallback handler;
    void *handler_arg;
    MHD_RequestCompletedCallback completed; /* may be NULL */
    void *completed_arg;
    /* Called with the request URI as received, before percent-decoding; the
     * result is the initial value of the handler's request argument. May be
     * NULL. */
    void *(*raw_uri)(void *arg, const char *uri, struct MHD_Connection *);
    void *raw_uri_arg;
    unsigned int connection_timeout_s; /* of idle connections; 0: none */
    unsigned int max_connections;      /* 0: 1024 */
    size_t memory_per_connection;      /* 0: 32 KiB */
} bb_mhd_options_t;

/* Returns BB_ERR_ADDRESS_IN_USE, BB_ERR_ARGUMENT or BB_ERR_IO on failure. */
int BbMhd_Start(bb_mhd_t **mhd, const bb_mhd_options_t *options);

/* Makes the loop run the daemon once, after the current callbacks. */
void BbMhd_Wake(bb_mhd_t *mhd);

/* Closes the listener. Open connections are still served, also those in the
 * listener's backlog. */
void BbMhd_StopAccepting(bb_mhd_t *mhd);

/* Number of open connections. */
unsigned int BbMhd_ConnectionCount(const bb_mhd_t *mhd);

/* Closes all connections. Must not be called while a connection is
 * suspended. */
void BbMhd_Free(bb_mhd_t *mhd);

/* ---- servers for buffered requests ---- */

typedef struct bb_http bb_http_t;
typedef struct bb_http_request bb_http_request_t;

typedef void (*bb_http_handler_t)(bb_http_request_t *request, void *arg);

typedef struct {
    struct ev_loop *loop;
    const char *address; /* "IP:PORT" */
    bb_http_handler_t handler;
    void *arg;
    size_t max_body_bytes; /* 0: 8 MiB; larger requests get a 413 */
} bb_http_options_t;

/* Returns 0 or an error of BbMhd_Start(). */
int BbHttp_Start(bb_http_t **http, const bb_http_options_t *options);

/* Closes the connections of requests without a response. */
void BbHttp_Free(bb_http_t *http);

const char *BbHttp_Method(const bb_http_request_t *request);

/* Returns the path without the query. */
const char *BbHttp_Path(const bb_http_request_t *request);

/* Returns the query parameter, NULL if absent. */
const char *BbHttp_Query(const bb_http_request_t *request, const char *name);

/* Returns the header, NULL if absent. */
const char *BbHttp_Header(const bb_http_request_t *request, const char *name);

/* Returns the body, NUL terminated. size may be NULL. */
const char *BbHttp_Body(const bb_http_request_t *request, size_t *size);

/* Sends a response and ends the request. Each request is ended by exactly one
 * call of BbHttp_Reply() or BbHttp_Drop(). */
void BbHttp_Reply(bb_http_request_t *request, unsigned int status,
                  const char *content_type, const char *body, size_t size);

/* Closes the connection without a response, to inject faults. */
void BbHttp_Drop(bb_http_request_t *request);

/* Parses "IP:PORT" into an IPv4 socket address. Returns 0 or
 * BB_ERR_ARGUMENT. */
struct sockaddr_in;
int BbHttp_ParseAddress(const char *address, struct sockaddr_in *out);

#ifdef __cplusplus
}
#endif

#endif
