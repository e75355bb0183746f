/*
 * behaviour - how a target stand-in treats a call
 *
 * Set for all calls by POST /_fault
 *   {"mode":"none|close|truncate|slow|silent|shed","delay_ms":N,"count":N,
 *    "work_ms":N,"health":"true|up|down","state":"starting|ready|draining"}
 * (every field optional, count 0 = until changed), or for one call by the
 * query ?fault=MODE&delay_ms=N&work_ms=N&size=N.
 */
#ifndef BBLOAD_BEHAVIOUR_H
#define BBLOAD_BEHAVIOUR_H

#include <jansson.h>
#include <stdint.h>

typedef enum {
    MODE_NONE,
    MODE_CLOSE,    /* runs, then closes the connection without a response */
    MODE_TRUNCATE, /* runs, then closes after half of the body */
    MODE_SLOW,     /* runs, then waits delay_ms before the first byte */
    MODE_SILENT,   /* runs and never responds */
    MODE_SHED,     /* responds 503 without running */
} fault_mode_t;

typedef enum {
    HEALTH_BY_STATE, /* "true": healthy while the state is ready */
    HEALTH_UP,       /* healthy in every state */
    HEALTH_DOWN,     /* unhealthy in every state */
} health_t;

typedef enum { STATE_STARTING, STATE_READY, STATE_DRAINING } target_state_t;

typedef struct {
    fault_mode_t mode;
    int64_t delay_ms; /* of MODE_SLOW */
    int64_t work_ms;  /* duration of a run */
    int64_t count;    /* next calls that mode affects; 0 = until changed */
    health_t health;
    target_state_t state;
} behaviour_t;

/* Changes the fields that are present. Returns 0 or BB_ERR_ARGUMENT;
 * behaviour is unchanged on errors. */
int Behaviour_Merge(behaviour_t *behaviour, json_t *object);

/* Returns 0 or BB_ERR_ARGUMENT. */
int Behaviour_ParseMode(const char *name, fault_mode_t *out);
int Behaviour_ParseState(const char *name, target_state_t *out);

const char *Behaviour_StateName(target_state_t state);

/* Returns the mode for the next call and counts that call; the last counted
 * call sets the mode back to MODE_NONE. */
fault_mode_t Behaviour_TakeMode(behaviour_t *behaviour);

#endif
