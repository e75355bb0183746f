/*
 * bb_hedge - decides when a late call gets a second attempt
 *
 * A hedged call runs at two targets, and the first complete response wins. It
 * is for idempotent calls whose response is later than usual for their class:
 * the 92nd percentile, which this module learns from the responses.
 *
 * Bounds: at most MAX_SHARE of the calls of a class (in bb_hedge.c), and none
 * while the service is short of capacity: for SHORT_S after a refusal, when
 * the second target has no free slot, or when the second attempt is predicted
 * to end after the target latency too. The caller takes the repeat budget.
 *
 * Designed for targets of which a few runs in a hundred take many times as
 * long, while most slots are free.
 *
 * USE
 *   BbHedge_OnCall() for each call, BbHedge_OnResponse() for each response,
 *   BbHedge_OnRefusal() for each refusal for lack of capacity.
 *   delay_s = BbHedge_Delay(hedge, class_name);
 *   delay_s after the first attempt, when no response has come:
 *   if (BbHedge_Take(hedge, &request, now)) { start the second attempt }
 */
#ifndef BB_HEDGE_H
#define BB_HEDGE_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_hedge bb_hedge_t;

typedef struct {
    const char *class_name;
    const char *service;
    double due_at;      /* end of the target latency */
    double predicted_s; /* time of the second attempt */
    bool has_room;      /* the second target has a free slot */
} bb_hedge_request_t;

bb_hedge_t *BbHedge_New(void);
void BbHedge_Free(bb_hedge_t *hedge);

void BbHedge_OnCall(bb_hedge_t *hedge, const char *class_name);

/* took_s: of one attempt, from its start to its last byte, or until it was
 * cancelled because the other one has won. */
void BbHedge_OnResponse(bb_hedge_t *hedge, const char *class_name,
                        double took_s);
void BbHedge_OnRefusal(bb_hedge_t *hedge, const char *service, double now);

/* Seconds after which a call of the class is late, 0 while not known. */
double BbHedge_Delay(const bb_hedge_t *hedge, const char *class_name);

/* Whether to start the second attempt; counts it against the share. */
bool BbHedge_Take(bb_hedge_t *hedge, const bb_hedge_request_t *request,
                  double now);

#ifdef __cplusplus
}
#endif

#endif
