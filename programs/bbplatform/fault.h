/*
 * fault - fault injection of the platform stand-in
 */
#ifndef BBPLATFORM_FAULT_H
#define BBPLATFORM_FAULT_H

#include <jansson.h>
#include <stdint.h>

typedef enum {
    FAULT_NONE,
    FAULT_OUTAGE,       /* answered with 503; no effect */
    FAULT_SLOW,         /* takes effect at once; answered after delay_ms */
    FAULT_LOSE_ANSWERS, /* writes take effect; connection closed unanswered */
    FAULT_SILENT,       /* accepted but never answered; no effect */
} fault_mode_t;

typedef struct {
    fault_mode_t mode;
    int64_t delay_ms;
    int64_t count; /* requests still affected; 0: all until mode is changed */
} fault_t;

/* Returns 0 or BB_ERR_ARGUMENT; leaves *fault unchanged on errors. */
int Fault_FromJson(json_t *object, fault_t *fault);

/* Returns the fault of the next request. If the request is affected,
 * decrements count and ends the fault after the last one. */
fault_mode_t Fault_NextMode(fault_t *fault, int is_write);

#endif
