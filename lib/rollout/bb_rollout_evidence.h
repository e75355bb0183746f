/*
 * bb_rollout_evidence - whether a new version of a target is worse than the
 * old
 *
 * Nodes beside targets report, by route, how many calls have run, how many of
 * them failed, and how long they took. The counts of the new version are
 * compared with those of the old one on the same route in the same seconds,
 * over several spans of time, so that a fault that starts late is not hidden
 * by earlier good responses.
 *
 * The new version is bad if its calls fail, or take more than about four times
 * the median of the old version, clearly more often than those of the old one.
 * Four is half way (by factors) between the speeds of good targets, which
 * differ by up to 3 to 1 and are half as fast while cold, and a version that
 * is 8 times slower. The excess must remain without the target and without
 * the data centre that contribute most: trouble of one VM or one data centre
 * is no evidence against a version. Such a target is named as a suspect
 * instead.
 *
 * Designed for 3 to 100 reports a second, of some ten routes; services that
 * fail or slow down as a whole, single bad or slow VMs, cold targets, faults
 * that show late, under load or on one route, lost and repeated reports.
 *
 * USE
 *   BbRolloutEvidence_Add() for each report; BbRolloutEvidence_Judge() a few
 *   times a second. Counts in reports are totals since the start of the node
 *   beside the target, so that a lost report is made up for by the next one.
 *   Times are seconds of any monotonic clock.
 */
#ifndef BB_ROLLOUT_EVIDENCE_H
#define BB_ROLLOUT_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Durations are counted in buckets that grow by 2^(1/4) from 1 ms to 32 s. */
#define BB_ROLLOUT_BUCKETS 60

/* Most routes that are told apart; calls of further ones are not counted. */
#define BB_ROLLOUT_MAX_ROUTES 64

typedef struct {
    uint32_t runs;
    uint32_t failures; /* status 5xx, or a response that is broken or lost */
    uint32_t durations[BB_ROLLOUT_BUCKETS];
} bb_rollout_counts_t;

int BbRollout_Bucket(double duration_s);

typedef enum {
    BB_VERDICT_NOT_YET, /* no sign of a fault, not enough calls */
    BB_VERDICT_GOOD,    /* no sign of a fault in enough calls on every route */
    BB_VERDICT_BAD,
    BB_VERDICT_SUSPECT, /* one target or data centre, not the version */
} bb_rollout_verdict_kind_t;

/* The figures that decided; valid until the next call on the evidence. */
typedef struct {
    bb_rollout_verdict_kind_t kind;
    const char *route;  /* where the excess was seen; NULL if none was */
    const char *sign;   /* "failures" or "slow"; NULL if none was seen */
    const char *target; /* that contributes most to the excess */
    double span_s;      /* length of the compared time */
    uint32_t runs;      /* of the new version in that time */
    double seen;        /* failures or slow calls among them */
    double expected;    /* from the old version in the same seconds */
} bb_rollout_verdict_t;

typedef struct bb_rollout_evidence bb_rollout_evidence_t;

bb_rollout_evidence_t *BbRolloutEvidence_New(void);
void BbRolloutEvidence_Free(bb_rollout_evidence_t *evidence);

/* Adds what the counts of one route have increased by since the previous
 * report of the node. Smaller counts than before come from a node that was
 * restarted. */
void BbRolloutEvidence_Add(bb_rollout_evidence_t *evidence, const char *node,
                           const char *data_centre, bool is_new,
                           const char *route,
                           const bb_rollout_counts_t *totals, double now);

bb_rollout_verdict_t BbRolloutEvidence_Judge(bb_rollout_evidence_t *evidence,
                                             double now);

/* Whether the calls of the new version so far speak for it, where they are too
 * few for BB_VERDICT_GOOD: no more of them failed, or were slow, than would be
 * unlikely for a version of which half of the responses fail, or whose calls
 * are nearly all slow. With fewer calls than can tell these apart, none may
 * have failed or been slow; that is enough unless a suspect was left out. */
bool BbRolloutEvidence_IsInFavour(const bb_rollout_evidence_t *evidence,
                                  double now);

/* Leaves a suspect out of later comparisons, so that it hides no other. */
void BbRolloutEvidence_Exclude(bb_rollout_evidence_t *evidence,
                               const char *node);

/* Calls counted for the new version, and for both. */
uint64_t BbRolloutEvidence_NewRuns(const bb_rollout_evidence_t *evidence);

/* Runs of new targets that are not excluded: those that the verdict rests on.
 */
uint64_t BbRolloutEvidence_JudgedRuns(const bb_rollout_evidence_t *evidence);

uint64_t BbRolloutEvidence_AllRuns(const bb_rollout_evidence_t *evidence);

#ifdef __cplusplus
}
#endif

#endif
