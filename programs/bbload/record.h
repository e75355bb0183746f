/*
 * record - calls that a target stand-in received and ran
 *
 * Each call goes through these states:
 *   received  its head arrived
 *   ran       its whole body arrived and its run started; the mesh must run
 *             at most one call per Idempotency-Key
 *   ended     the whole response was handed to the connection
 *   aborted   the connection ended before that
 *   refused   shed without running
 *
 * LIMITS
 *   Only the first max_calls calls are listed; later ones are only counted.
 */
#ifndef BBLOAD_RECORD_H
#define BBLOAD_RECORD_H

#include <jansson.h>
#include <stddef.h>

typedef struct record record_t;

typedef enum {
    RECORD_RECEIVED,
    RECORD_RAN,
    RECORD_ENDED,
    RECORD_ABORTED,
    RECORD_REFUSED,
} record_state_t;

typedef struct {
    const char *method;
    const char *path;
    const char *key;  /* Idempotency-Key; NULL: none */
    const char *call; /* Burdock-Call; NULL: none */
    const char *id;   /* X-Call; NULL: none */
} record_call_t;

record_t *Record_New(size_t max_calls);

void Record_Free(record_t *record);

/* Copies the strings. Returns the number for Record_SetState(). */
size_t Record_Add(record_t *record, const record_call_t *call);

void Record_SetState(record_t *record, size_t number, record_state_t state);

/* Counts one running call less. The run of the call has ended; its response
 * may still have to be sent. */
void Record_EndRun(record_t *record);

/* Returns the number of calls that run now. */
int Record_Running(const record_t *record);

/* Returns a new reference, without the list of calls unless with_calls. */
json_t *Record_ToJson(const record_t *record, int with_calls);

#endif
