/*
 * bb_rollout_row - state of the roll-out of one service, as nodes exchange it
 *
 * The row is kept in the shared table of the roll-outs (key: the service) and
 * is passed between nodes as the same JSON text. Of two rows of a service the
 * one with the higher order counts, then the higher epoch, then the higher
 * serial. The epoch rises with each change of the deciding node, which writes
 * the row under a condition on its version; epoch 0 is a provisional row that
 * each node derives from the order itself: no new target gets calls.
 *
 * LIMITS
 *   A row has at most BB_ROLLOUT_MAX_NAMES active targets and as many rejected
 *   versions, so its text stays below some 4 KB.
 */
#ifndef BB_ROLLOUT_ROW_H
#define BB_ROLLOUT_ROW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BB_ROLLOUT_MAX_NAMES 64

typedef enum {
    BB_ROLLOUT_CANARY,      /* a share of the calls goes to the active new
                               targets; the old ones serve the rest */
    BB_ROLLOUT_SHIFTING,    /* all calls go to new targets; the old ones end
                               what they are running */
    BB_ROLLOUT_COMPLETED,   /* old targets get nothing */
    BB_ROLLOUT_ROLLED_BACK, /* new targets get nothing */
} bb_rollout_phase_t;

typedef struct {
    char *service;
    char *to;       /* version of the new targets */
    int64_t order;  /* version of the operator's row */
    int64_t epoch;  /* 0: provisional */
    int64_t serial; /* increases within an epoch */
    bb_rollout_phase_t phase;
    bool is_reported;   /* the final phase is in the operator's status row */
    double share;       /* of all calls, for the new targets, in canary */
    double duration_s;  /* from the order to the deadline */
    int64_t started_ms; /* wall clock at the order */
    char *decider;      /* name of the deciding node; empty in epoch 0 */
    char **active;      /* names of the nodes beside active new targets;
                           NULL-terminated */
    char **rejected;    /* versions of this service that were rolled back or
                           whose order was replaced; NULL-terminated */
    /* Nodes beside ready old targets that have never reported to a deciding
     * node, so that the next one knows who may not have heard of the order;
     * BB_ROLLOUT_EVERY_NODE for more than a few. NULL-terminated. */
    char **unheard;
} bb_rollout_row_t;

#define BB_ROLLOUT_EVERY_NODE "*"

/* "canary", "shifting", "completed" or "rolled_back". */
const char *BbRolloutPhase_Name(bb_rollout_phase_t phase);

/* Whether the phase is final. */
bool BbRolloutPhase_IsFinal(bb_rollout_phase_t phase);

/* Returns JSON text; free it with g_free(). */
char *BbRolloutRow_Format(const bb_rollout_row_t *row);

/* Returns 0 or BB_ERR_PARSE; free the row with BbRolloutRow_Clear(). */
int BbRolloutRow_Parse(const char *text, size_t size, bb_rollout_row_t *out);
void BbRolloutRow_Clear(bb_rollout_row_t *row);
void BbRolloutRow_Copy(bb_rollout_row_t *to, const bb_rollout_row_t *from);

/* Above 0 if row is newer than the other one, 0 if they are the same, below 0
 * if it is older. */
int BbRolloutRow_Compare(const bb_rollout_row_t *row,
                         const bb_rollout_row_t *than);

/* Versions that get no calls after an order of version to: those of the
 * earlier row (which may be NULL), and its own unless it was completed. Free
 * the result with g_strfreev(). */
char **BbRolloutRow_RejectedAfter(const bb_rollout_row_t *before,
                                  const char *to);

bool BbRolloutRow_IsActive(const bb_rollout_row_t *row, const char *node);
bool BbRolloutRow_IsUnheard(const bb_rollout_row_t *row, const char *node);
bool BbRolloutRow_IsRejected(const bb_rollout_row_t *row, const char *version);

#ifdef __cplusplus
}
#endif

#endif
