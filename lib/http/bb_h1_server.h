/*
 * bb_h1_server - HTTP/1.1 server that handles pipelined requests concurrently
 *
 * libmicrohttpd serves the requests of one connection one after the other, so
 * that callers that pipeline wait for the sum of all response times. Here each
 * request is reported as soon as its head is read, and responses are sent in
 * the order of the requests.
 *
 * USE
 *   For each request on_head is called, then on_body for each piece of the
 *   body, then on_end. The handler responds with BbH1_Respond(), or with
 *   BbH1_RespondStart(), BbH1_RespondData() and BbH1_RespondEnd(), in on_head
 *   or later. The request must not be used after BbH1_Respond(),
 *   BbH1_RespondEnd(), BbH1_Abort() or on_connection_lost.
 *
 *   A response may be given before the body is read; the rest of the body is
 *   then read and dropped, so that the connection stays usable.
 *
 * ERRORS
 *   A malformed request gets status 400, a head over the limit 431, and the
 *   connection is closed; the handler is not called for them.
 *
 * LIMITS
 *   At most BB_H1_MAX_PIPELINE requests of a connection are open at once.
 *
 *   No new request is read from a connection that has BB_H1_MAX_UNSENT_BYTES
 * of unsent responses, so that a receiver that reads slowly holds little
 * memory.
 *
 *   While BbH1_PauseBody() is in force, nothing is read from the connection.
 *
 *   With a pacer, responses with bodies above BB_LINK_BULK_BYTES to requests
 *   that have a due_at are written as the link allows, see bb_link_queue.h.
 *   Their waiting bytes count as unsent. Other responses are written at once,
 *   unless they are behind such a response on their connection.
 */
#ifndef BB_H1_SERVER_H
#define BB_H1_SERVER_H

#include <ev.h>

#include "bb_h1_message.h"
#include "bb_link_pacer_io.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_H1_MAX_PIPELINE 64
#define BB_H1_MAX_UNSENT_BYTES (1024 * 1024)

typedef struct bb_h1_server bb_h1_server_t;
typedef struct bb_h1_connection bb_h1_connection_t;

typedef struct bb_h1_request {
    const char *method;
    GString *target;        /* as it was sent, query included */
    bb_h1_fields_t fields;  /* as they were sent */
    int64_t content_length; /* BB_H1_NO_BODY, BB_H1_CHUNKED or the length */
    bool is_read;           /* the whole request has been read */
    void *user_data;        /* for use by the handler */
    /* Order among large responses, set by the handler before it responds: the
     * rank, 0 is the most urgent, and the end of the target latency in seconds
     * of BbClock_Now(). With 0 the response is never paced. */
    int rank;
    double due_at;
    /* private */
    bb_h1_connection_t *connection;
    GByteArray *out;
    bool is_head_request, is_response_started, is_chunked, is_response_ended,
        is_aborted;
    bool is_head_reported, is_awaiting_drain;
    bool is_bulk;      /* more body bytes than BB_LINK_BULK_BYTES */
    int64_t body_size; /* announced length, else the bytes given so far */
    struct bb_h1_request *prev, *next;
} bb_h1_request_t;

typedef struct {
    void (*on_head)(bb_h1_request_t *request, void *arg);
    void (*on_body)(bb_h1_request_t *request, const char *data, size_t size,
                    void *arg);                          /* may be NULL */
    void (*on_end)(bb_h1_request_t *request, void *arg); /* may be NULL */
    /* The connection was closed before the response was complete. */
    void (*on_connection_lost)(bb_h1_request_t *request,
                               void *arg); /* may be NULL */
    /* See BbH1_NotifyWhenDrained(). */
    void (*on_drained)(bb_h1_request_t *request, void *arg);
    /* The client has sent the whole request and then ended its sending side,
     * or has disconnected. The connection is closed after this call, which may
     * respond. Not called for requests behind another one. */
    void (*on_sending_ended)(bb_h1_request_t *request,
                             void *arg); /* may be NULL */
} bb_h1_handler_t;

typedef struct {
    struct ev_loop *loop;
    const char *address; /* "IP:PORT" */
    const bb_h1_handler_t *handler;
    void *arg;
    size_t max_head_bytes;  /* 0 means 64 KiB */
    double idle_s;          /* timeout of idle connections; 0 means 60 */
    double head_s;          /* time limit for reading a head; 0 means 60 */
    bb_link_pacer_t *pacer; /* borrowed; NULL writes all responses at once */
} bb_h1_server_options_t;

/* Returns 0, BB_ERR_ADDRESS_IN_USE, BB_ERR_ARGUMENT or BB_ERR_IO. */
int BbH1Server_New(const bb_h1_server_options_t *options,
                   bb_h1_server_t **out);

/* Closes all connections; open requests are reported by on_connection_lost. */
void BbH1Server_Free(bb_h1_server_t *server);

/* Changes the limits of open and future connections; 0 takes the default. */
void BbH1Server_SetLimits(bb_h1_server_t *server, size_t max_head_bytes,
                          double idle_s, double head_s);

/* Whether all bytes of responses given so far have been passed to sockets. */
bool BbH1Server_IsFlushed(const bb_h1_server_t *server);

/* Makes later responses carry "Connection: close". */
void BbH1Server_SetClosing(bb_h1_server_t *server);

/* Sends an interim response, 100 or 102, before the response. */
void BbH1_RespondInterim(bb_h1_request_t *request, int status);

/* Sends a whole response; fields and body may be NULL. */
void BbH1_Respond(bb_h1_request_t *request, int status,
                  const bb_h1_fields_t *fields, const void *body, size_t size);

/* Sends the head; content_length is a length or BB_H1_CHUNKED. */
void BbH1_RespondStart(bb_h1_request_t *request, int status,
                       const bb_h1_fields_t *fields, int64_t content_length);
void BbH1_RespondData(bb_h1_request_t *request, const void *data, size_t size);
void BbH1_RespondEnd(bb_h1_request_t *request);

/* Returns how many bytes are not yet passed to the socket: those of this
 * response, and those already moved from earlier requests to the output of the
 * connection. */
size_t BbH1_UnsentBytes(const bb_h1_request_t *request);

/* Requests one call of on_drained, when all bytes given so far have been
 * passed to the socket. There is no call once the response is complete. */
void BbH1_NotifyWhenDrained(bb_h1_request_t *request);

/* Closes the connection once the bytes given so far have been sent, so that a
 * response that was started cannot be taken for a complete one. Requests that
 * arrive on the connection after that are dropped. */
void BbH1_Abort(bb_h1_request_t *request);

/* Stops and restarts reading from the connection of this request. */
void BbH1_PauseBody(bb_h1_request_t *request, bool is_paused);

#ifdef __cplusplus
}
#endif

#endif
