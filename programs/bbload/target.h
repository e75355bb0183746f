/*
 * target - a target stand-in that records what it runs
 *
 * Every path that does not start with "/_" is a call: it runs for work_ms,
 * then responds with size bytes of the pattern of its X-Call; see behaviour.h
 * and pattern.h. Responses carry
 *   X-Call         as received
 *   X-Body-Digest  BLAKE2b-256 of the request body in hex
 *   X-Target       address of the target
 * Control paths: GET /_record[?summary=1], GET /_health, POST /_fault.
 *
 * With max_workers, later calls wait for a worker in the order of arrival, so
 * that the stand-in has a capacity of max_workers / work_ms. A call with the
 * query depth=N, N > 1, calls the next service through chain_node; see
 * chain.h.
 *
 * A call whose connection closes while it waits or runs is cancelled.
 */
#ifndef BBLOAD_TARGET_H
#define BBLOAD_TARGET_H

#include <ev.h>
#include <stddef.h>

#include "bb_curl_io.h"
#include "behaviour.h"

typedef struct target target_t;

typedef struct {
    struct ev_loop *loop;
    const char *address; /* borrowed */
    behaviour_t behaviour;
    unsigned int max_connections;
    int max_workers;        /* calls that run at a time; 0: no limit */
    bb_curl_t *curl;        /* for chain_node */
    const char *chain_node; /* "IP:PORT"; borrowed; may be NULL */
    size_t max_recorded_calls;
    void (*on_idle)(void *arg);   /* the last call in flight ended */
    void (*on_change)(void *arg); /* POST /_fault was accepted */
    void *arg;
} target_options_t;

/* Returns the errors of BbMhd_Start(). */
int Target_Start(target_t **target, const target_options_t *options);

void Target_Free(target_t *target);

behaviour_t *Target_Behaviour(target_t *target);

/* Returns the number of calls that run now. */
int Target_Running(const target_t *target);

/* Returns the number of calls without a complete response, those of
 * MODE_SILENT excepted. */
int Target_InFlight(const target_t *target);

#endif
