/*
 * bb_fair_share - how much more than its share a client account uses a target
 *
 * The use of an account is the expected service time of its calls that have
 * started, decayed over some seconds. It is compared with the mean of the
 * accounts of the same rank that used the target lately. Calls without account
 * form one group, so that nothing changes where no call has an account.
 *
 * Designed for one account at 5 to 7.5 times its usual rate, within its quota,
 * among 20 to 81 accounts, each with about one call in some seconds at a
 * target: a surplus counts only beyond the fluctuation of such small numbers.
 *
 * USE
 *   BbFairShare_Add() for each call that starts;
 *   BbFairShare_Excess() orders calls that wait for a slot.
 */
#ifndef BB_FAIR_SHARE_H
#define BB_FAIR_SHARE_H

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_fair_share bb_fair_share_t;

bb_fair_share_t *BbFairShare_New(void);
void BbFairShare_Free(bb_fair_share_t *share);

/* Times are in seconds; account NULL: the calls without account. */
void BbFairShare_Add(bb_fair_share_t *share, const char *account, int rank,
                     double used_s, double now);

/* 0 up to the fair share, 1 from twice the fair share. */
double BbFairShare_Excess(const bb_fair_share_t *share, const char *account,
                          double now);

#ifdef __cplusplus
}
#endif

#endif
