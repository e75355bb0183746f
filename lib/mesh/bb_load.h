/*
 * bb_load - load report of a target, made by the node beside it
 *
 * Each response to a forwarded call carries a report, so that nodes learn of
 * spare capacity without separate requests.
 *
 * USE
 *   BbLoad_Format(&load, text, sizeof(text));
 *   error = BbLoad_Parse(text, &load);
 */
#ifndef BB_LOAD_H
#define BB_LOAD_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BB_LOAD_TEXT 128 /* buffer size for the longest text */

typedef struct {
    int running;       /* calls at the target */
    int waiting;       /* calls in the queue of the node beside it */
    int slots;         /* calls that the target runs at once */
    int service_ms;    /* mean time of a call at the target */
    int fail_permille; /* of recent calls, refused or failed by the target */
    int transfer_ms;   /* until the node could receive a large body */
    int64_t version;   /* of the configuration in use there */
    int link_ms;       /* wait of a large response at the outbound link */
    int class_ms;      /* mean time at the target of calls of the class that
                          the report comes with; 0 if unknown */
} bb_load_t;

/* A class_ms of 0 is left out, and so is a link_ms of 0 then, because earlier
 * releases do not know them. */
void BbLoad_Format(const bb_load_t *load, char *out, size_t size);

/* Returns 0 or BB_ERR_PARSE, also when text is NULL. Without link_ms or
 * class_ms in the report they are 0. */
int BbLoad_Parse(const char *text, bb_load_t *out);

#ifdef __cplusplus
}
#endif

#endif
