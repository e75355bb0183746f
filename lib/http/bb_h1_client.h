/*
 * bb_h1_client - HTTP/1.1 client with persistent connections, without retries
 *
 * libcurl repeats a request by itself when a persistent connection closes
 * before the first byte of the response, and hides bytes that belong to no
 * request. Here a request is sent once, its owner is told whether any byte of
 * it was written, and a connection with unexpected bytes is closed.
 *
 * USE
 *   exchange = BbH1_Start(client, &options);
 *   BbH1_Send() and BbH1_SendEnd() send the body.
 *   Exactly one of on_end and on_fail is called, unless BbH1_Cancel() comes
 *   first; the exchange must not be used after any of them.
 *
 * ERRORS
 *   on_fail gets BB_ERR_UNAVAILABLE (no connection), BB_ERR_IO (the connection
 *   broke), BB_ERR_SURPLUS (the bytes before the head of the response to a
 *   request on a reused connection are not valid HTTP, as when the server sent
 *   bytes after an earlier response) or BB_ERR_PARSE (not a valid HTTP
 *   response, or too many bytes before its head: see MAX_DROPPED_BYTES).
 *
 * LIMITS
 *   A connection with bytes or its end ready to be read is not reused. Surplus
 *   bytes that arrive only after the next request was written, and that are a
 *   valid response, are told from its response only by belongs_to_request.
 *   One request at a time on a connection. Only the connect has a timeout; the
 *   owner enforces deadlines with BbH1_Cancel().
 */
#ifndef BB_H1_CLIENT_H
#define BB_H1_CLIENT_H

#include <ev.h>

#include "bb_h1_message.h"
#include "bb_link_pacer_io.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_h1_client bb_h1_client_t;
typedef struct bb_h1_exchange bb_h1_exchange_t;

typedef struct {
    /* Returns whether a response belongs to this request. A response that
     * does not is read to its end and dropped. May be NULL. */
    bool (*belongs_to_request)(const bb_h1_fields_t *fields, void *arg);
    /* An interim response (1xx) was received. May be NULL. */
    void (*on_interim)(int status, void *arg);
    /* The head of the response to this request was received. */
    void (*on_head)(int status, const bb_h1_fields_t *fields, void *arg);
    void (*on_data)(const char *data, size_t size, void *arg);
    void (*on_end)(void *arg);
    /* is_sent: at least one byte of the request was written. */
    void (*on_fail)(int error, bool is_sent, void *arg);
    /* All body bytes given so far have been written. May be NULL. */
    void (*on_drained)(void *arg);
} bb_h1_exchange_handler_t;

typedef struct {
    const char *address; /* "IP:PORT" */
    const char *method;
    const char *target;
    const bb_h1_fields_t *fields; /* without framing fields; copied */
    int64_t content_length;       /* BB_H1_NO_BODY, BB_H1_CHUNKED, length */
    /* A connection that has been idle for longer is not used for this request;
     * a new one is opened instead, and the idle one stays open. */
    double max_idle_s;
    const bb_h1_exchange_handler_t *handler;
    void *arg;
} bb_h1_exchange_options_t;

typedef struct {
    struct ev_loop *loop;
    double connect_timeout_s; /* connect timeout; 0 means 1 s */
    int max_idle_connections; /* idle connections per address; 0 means 64 */
    double idle_timeout_s;    /* timeout of idle connections; 0 means 10 s */
    /* Borrowed; counts the written bytes, which do not wait. May be NULL. */
    bb_link_pacer_t *pacer;
} bb_h1_client_options_t;

bb_h1_client_t *BbH1Client_New(const bb_h1_client_options_t *options);

/* Closes all connections; open exchanges are freed without a callback. */
void BbH1Client_Free(bb_h1_client_t *client);

/* Closes the idle connections to an address. */
void BbH1Client_CloseIdle(bb_h1_client_t *client, const char *address);

/* Starts a request. on_fail is called from the event loop only, never before
 * the return. */
bb_h1_exchange_t *BbH1_Start(bb_h1_client_t *client,
                             const bb_h1_exchange_options_t *options);
void BbH1_Send(bb_h1_exchange_t *exchange, const void *data, size_t size);
void BbH1_SendEnd(bb_h1_exchange_t *exchange);

/* True when at least one byte of the request was written. */
bool BbH1_IsSent(const bb_h1_exchange_t *exchange);

/* Stops and restarts reading the response. */
void BbH1_PauseResponse(bb_h1_exchange_t *exchange, bool is_paused);

/* Ends the sending side of the connection once the whole request has been
 * written: a server that sees it may respond at once, or close the connection.
 * The response is still read. Returns false, without effect, before that. */
bool BbH1_EndSending(bb_h1_exchange_t *exchange);

/* Closes the connection and frees the exchange without a callback. */
void BbH1_Cancel(bb_h1_exchange_t *exchange);

#ifdef __cplusplus
}
#endif

#endif
