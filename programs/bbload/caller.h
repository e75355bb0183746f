/*
 * caller - makes calls through nodes and checks the responses
 *
 * Each call has a random X-Call id. Its request body is the pattern of that
 * id, so the X-Body-Digest of the response shows whether the target received
 * this body. A 200 response from a target stand-in must carry the same X-Call
 * and a body with the pattern of that id, of N bytes when the path has size=N.
 *
 * The log has one object per call with the result of its last attempt.
 * lost_attempt is the result of the first attempt that may have run the call
 * and was retried, "" for none. When it is set, an outcome not-run says only
 * that the last attempt did not run.
 *
 * Closed loop: concurrency calls at a time. Open loop: rate calls per second;
 * latency then counts from the time at which the call was due, so that a stall
 * of the nodes lowers neither the number of samples nor their latency.
 */
#ifndef BBLOAD_CALLER_H
#define BBLOAD_CALLER_H

#include <stdint.h>
#include <stdio.h>

#include "bb_curl_io.h"
#include "bb_random.h"
#include "report.h"

typedef struct caller caller_t;

typedef struct {
    struct ev_loop *loop;
    bb_curl_t *curl;
    bb_random_t *random;
    report_t *report;
    char *const *nodes; /* "IP:PORT", NULL-terminated */
    const char *method;
    const char *path; /* with query */
    const char *host; /* Host header; NULL: the node's address */
    int64_t body_size;
    int64_t timeout_ms;
    int64_t deadline_ms;     /* Burdock-Deadline-Ms; 0: not sent */
    int has_key;             /* a unique Idempotency-Key for each call */
    int max_retries;         /* of a call, through other nodes */
    double rate;             /* calls per second; > 0: open loop */
    int concurrency;         /* of the closed loop */
    int64_t duration_ms;     /* for which calls are started */
    int64_t max_calls;       /* 0: no limit */
    FILE *log;               /* one JSON object per call; may be NULL */
    void (*done)(void *arg); /* the last call ended */
    void *arg;
} caller_options_t;

caller_t *Caller_New(const caller_options_t *options);

/* Free options->curl first: its transfers refer to caller. */
void Caller_Free(caller_t *caller);

#endif
