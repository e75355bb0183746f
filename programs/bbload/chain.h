/*
 * chain - the call that a target stand-in makes to the next service
 *
 * A target that receives a call with the query depth=N, N > 1, sends one GET
 * with depth=N-1 to the address of --chain-node, with the same X-Call and the
 * time that is left until the deadline. It responds when that GET has ended.
 */
#ifndef BBLOAD_CHAIN_H
#define BBLOAD_CHAIN_H

#include <stdint.h>

#include "bb_curl_io.h"

typedef struct chain chain_t;

typedef struct {
    bb_curl_t *curl;
    const char *node;    /* "IP:PORT" */
    const char *path;    /* without query */
    int64_t depth;       /* of the next call */
    const char *id;      /* X-Call */
    int64_t deadline_ms; /* time left, Burdock-Deadline-Ms; 0: not sent */
    /* Called once, never from inside Chain_Start(); the chain is freed after
     * it. status is the HTTP status, 0 without a complete response. */
    void (*done)(long status, void *arg);
    void *arg;
} chain_options_t;

/* Returns NULL when the call cannot be started. */
chain_t *Chain_Start(const chain_options_t *options);

/* Ends the call and frees the chain; done is not called. */
void Chain_Cancel(chain_t *chain);

#endif
