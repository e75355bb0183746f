/*
 * bb_reserve - slots of a target that are kept free for urgent calls
 *
 * A running call cannot be preempted, so when long runs of a less urgent rank
 * hold all slots, a short urgent call waits until one of them ends. The
 * reserve against a call is the smallest number of slots for which at most
 * MAX_LATE_SHARE (bb_reserve.c) of the more urgent calls wait for longer than
 * their target latency allows. It follows from the arrival rate and service
 * time of the urgent classes and from how often the runs of the class that
 * asks free a slot. Calls of the rank that asks and of less urgent ones
 * together occupy at most the other slots, but always a quarter of all slots,
 * so that no class starves.
 *
 * Where runs end often enough, as with classes of similar duration, nothing is
 * reserved. A reserve of the expected urgent calls plus their square root was
 * tried: it cost three times as many calls of low rank as it saved urgent
 * ones, because targets with 18 slots free one each 50 ms.
 *
 * Designed for bursts of calls of 870 ms at rank 2 beside calls of 140 ms with
 * a target latency of 400 ms at rank 0, at targets with 9 to 18 slots.
 *
 * USE
 *   BbReserve_OnArrival() for each call that arrives, refused ones too.
 *   A call may start while BbReserve_MayStart() is true; then OnStart() and,
 *   when it ends, OnEnd().
 */
#ifndef BB_RESERVE_H
#define BB_RESERVE_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_reserve bb_reserve_t;

typedef struct {
    const char *class_name; /* NULL: the call reserves nothing */
    int rank;               /* 0 is the most urgent */
    double service_s;       /* expected time at the target */
    double target_latency_s;
} bb_reserve_call_t;

bb_reserve_t *BbReserve_New(void);
void BbReserve_Free(bb_reserve_t *reserve);

/* Times are in seconds. */
void BbReserve_OnArrival(bb_reserve_t *reserve, const bb_reserve_call_t *call,
                         double now);
void BbReserve_OnStart(bb_reserve_t *reserve, int rank);
void BbReserve_OnEnd(bb_reserve_t *reserve, int rank);

/* Number of slots that calls of this rank and of less urgent ones may occupy,
 * at least 1. */
int BbReserve_Limit(const bb_reserve_t *reserve, const bb_reserve_call_t *call,
                    int slots, double now);

/* Whether the limit leaves room for the call; a free slot is not checked. */
bool BbReserve_MayStart(const bb_reserve_t *reserve,
                        const bb_reserve_call_t *call, int slots, double now);

#ifdef __cplusplus
}
#endif

#endif
