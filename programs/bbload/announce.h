/*
 * announce - announces a target to the node on its VM
 *
 * Sends POST /v1/announce every second. Announce_Send() sends one more, for
 * example after a change of state.
 */
#ifndef BBLOAD_ANNOUNCE_H
#define BBLOAD_ANNOUNCE_H

#include "bb_curl_io.h"
#include "behaviour.h"

typedef struct announce announce_t;

typedef struct {
    struct ev_loop *loop;
    bb_curl_t *curl;
    /* Strings and behaviour are borrowed. */
    const char *node; /* admin address "IP:PORT" */
    const char *service;
    const char *address; /* of the target */
    int slots;
    int connections;
    const behaviour_t *behaviour; /* its state is announced */
    int (*get_load)(void *arg);   /* number of calls that run now */
    /* The node accepted an announcement of the state draining. */
    void (*on_drain_confirmed)(void *arg);
    void *arg;
} announce_options_t;

announce_t *Announce_New(const announce_options_t *options);

/* Free options->curl first: its transfers refer to announce. */
void Announce_Free(announce_t *announce);

/* Sends one announcement now. */
void Announce_Send(announce_t *announce);

#endif
