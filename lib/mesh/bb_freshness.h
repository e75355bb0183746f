/*
 * bb_freshness - how current the configuration of this node is
 *
 * A node with an open feed call cannot tell a store without changes from a
 * connection that delivers nothing more. It therefore records when the
 * configuration was last confirmed as the newest one, by the store or by a
 * node that knew, and the newest version that another node has reported.
 *
 * USE
 *   BbFreshness_Confirm(&freshness, time); BbFreshness_Hear(&freshness, 12);
 *   age_s = BbFreshness_AgeS(&freshness, BbClock_Now(loop));
 */
#ifndef BB_FRESHNESS_H
#define BB_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Age of a configuration that was never confirmed. */
#define BB_FRESHNESS_UNKNOWN (-1.0)

/* All zero before the first configuration. */
typedef struct {
    double confirmed_at;   /* in seconds of BbClock_Now(); 0: never */
    int64_t heard_version; /* newest one reported by another node */
} bb_freshness_t;

/* The configuration in force was the newest one at that time. Earlier times
 * than the last one are ignored. */
void BbFreshness_Confirm(bb_freshness_t *freshness, double at);

/* Another node has reported that it holds this version. */
void BbFreshness_Hear(bb_freshness_t *freshness, int64_t version);

/* Seconds since the last confirmation, or BB_FRESHNESS_UNKNOWN. */
double BbFreshness_AgeS(const bb_freshness_t *freshness, double now);

/* Whether another node holds a newer version than own_version. */
bool BbFreshness_IsBehind(const bb_freshness_t *freshness,
                          int64_t own_version);

#ifdef __cplusplus
}
#endif

#endif
