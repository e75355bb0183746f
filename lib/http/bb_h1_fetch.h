/*
 * bb_h1_fetch - one small request whose response is collected in memory
 *
 * USE
 *   fetch = BbH1Fetch_Start(&options);
 *   done is called once, from the event loop, unless BbH1Fetch_Cancel() is
 *   called first. The fetch must not be used after either of them.
 *
 * ERRORS
 *   Those of bb_h1_client; BB_ERR_TIMEOUT; BB_ERR_LIMIT for a response body
 *   of more than BB_H1_FETCH_MAX_BYTES. A response counts as a success (error
 *   0) whatever its HTTP status is.
 */
#ifndef BB_H1_FETCH_H
#define BB_H1_FETCH_H

#include "bb_h1_client.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_H1_FETCH_MAX_BYTES (16 * 1024 * 1024)

typedef struct bb_h1_fetch bb_h1_fetch_t;

/* Result, valid only during the call of done. */
typedef struct {
    int error;
    int status;
    const char *body; /* size bytes, not NUL-terminated */
    size_t size;
    const char *field; /* value of wanted_field; NULL if there is none */
} bb_h1_fetch_result_t;

typedef struct {
    struct ev_loop *loop;
    bb_h1_client_t *client; /* borrowed */
    const char *address;    /* "IP:PORT", also sent as Host */
    const char *method;
    const char *target;
    const char *json;  /* request body, NULL for none */
    double max_idle_s; /* see bb_h1_exchange_options_t */
    double timeout_s;  /* from the start to the last byte */
    /* If above 0, the head must arrive within this time and timeout_s counts
     * from the head on, so that a large response on a slow link is told from
     * a server that does not respond. */
    double head_timeout_s;
    /* Name of a field of the response that the result is to tell; must stay
     * valid until done. May be NULL. */
    const char *wanted_field;
    void (*done)(const bb_h1_fetch_result_t *fetched, void *arg);
    void *arg;
} bb_h1_fetch_options_t;

bb_h1_fetch_t *BbH1Fetch_Start(const bb_h1_fetch_options_t *options);

/* Closes the connection and frees the fetch without calling done. */
void BbH1Fetch_Cancel(bb_h1_fetch_t *fetch);

#ifdef __cplusplus
}
#endif

#endif
