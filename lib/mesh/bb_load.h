/*
 * bb_load - load of one target as the node beside it reports it
 *
 * Each answer to a forwarded call carries it, so that nodes learn of spare
 * capacity without probes.
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

#define BB_LOAD_TEXT 96 /* bytes of the longest text */

typedef struct {
    int running;       /* calls at the target */
    int waiting;       /* calls in the queue of the node beside it */
    int slots;         /* calls that the target runs at once */
    int service_ms;    /* mean time of a call at the target */
    int fail_permille; /* of recent calls, refused or failed by the target */
    int transfer_ms;   /* until a large body could come in */
    int64_t version;   /* of the configuration in force there */
} bb_load_t;

void BbLoad_Format(const bb_load_t *load, char *out, size_t size);

/* Returns 0 or BB_ERR_PARSE; text may be NULL. */
int BbLoad_Parse(const char *text, bb_load_t *out);

#ifdef __cplusplus
}
#endif

#endif
