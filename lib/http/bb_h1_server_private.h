/*
 * bb_h1_server_private - connections of bb_h1_server
 *
 * Internal to lib/http, shared by the files of the server:
 *   bb_h1_server    accepts and reads connections, reports requests, closes
 *   bb_h1_response  buffers responses and sends them in order
 */
#ifndef BB_H1_SERVER_PRIVATE_H
#define BB_H1_SERVER_PRIVATE_H

#include "bb_h1_server.h"

struct bb_h1_connection {
    bb_h1_reader_t reader;
    bb_h1_server_t *server;
    int fd;
    ev_io read_watcher;
    ev_io write_watcher;
    ev_timer idle_timer; /* also limits the reading of a head, and lingering */
    ev_timer end_timer;  /* runs while the connection is not read */
    bb_h1_request_t *requests;        /* in order of arrival */
    bb_h1_request_t *current_request; /* whose head or body is being read */
    int request_count;
    GByteArray *out;
    size_t out_offset;
    bool is_bulk; /* out contains bytes of a large response */
    bb_paced_transfer_t transfer;
    int unsent_limit; /* bytes, see BbH1Connection_WriteOut(); 0: not set */
    int depth;        /* callbacks in progress */
    bool is_paused;   /* by the handler */
    bool is_close_pending; /* closed after the responses to open requests */
    bool is_lingering;     /* the last response was sent; input is dropped */
    bool is_broken;        /* a write failed; closed by the idle timer */
    bool is_closed;        /* freed once depth is 0 */
    bool has_partial_head; /* the head of the newest request is incomplete */
    struct bb_h1_connection *prev, *next;
};

struct bb_h1_server {
    struct ev_loop *loop;
    int fd;
    ev_io accept_watcher;
    const bb_h1_handler_t *handler;
    void *arg;
    size_t max_head_bytes;
    double idle_s;
    double head_s;
    bb_link_pacer_t *pacer; /* may be NULL */
    bool is_closing;        /* see BbH1Server_SetClosing() */
    bb_h1_connection_t *connections;
};

/* ---- bb_h1_server ---- */

/* Closes the socket and reports the open requests as lost. */
void BbH1Connection_Close(bb_h1_connection_t *connection);

/* Ends a callback that has increased depth; frees a closed connection at 0. */
void BbH1Connection_Release(bb_h1_connection_t *connection);

/* Starts or stops reading, as the number of open requests and the handler
 * allow. */
void BbH1Connection_UpdateReading(bb_h1_connection_t *connection);

void BbH1Connection_RestartIdleTimer(bb_h1_connection_t *connection);

/* Removes a request from its connection and frees it. */
void BbH1Connection_DropRequest(bb_h1_connection_t *connection,
                                bb_h1_request_t *request);

/* ---- bb_h1_response ---- */

/* Writes the output of the connection. Returns whether all of it was written;
 * the rest follows when the socket takes it and, with a pacer, the link. */
bool BbH1Connection_WriteOut(bb_h1_connection_t *connection);

/* Sends what may be sent next, in the order of the requests. */
void BbH1Connection_Flush(bb_h1_connection_t *connection);

/* Calls BbH1Connection_Flush() for the connection of a transfer. */
void BbH1Connection_Resume(bb_paced_transfer_t *transfer);

bool BbH1Connection_HasUnsentBytes(const bb_h1_connection_t *connection);

#endif
