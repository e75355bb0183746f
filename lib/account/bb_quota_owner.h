/*
 * bb_quota_owner - quotas of the accounts that this node owns
 *
 * For each account the quota owner keeps a token bucket, which all nodes that
 * serve the account report to. An account whose bucket is above a half is
 * calm: each node gets a limit for the calls that it may admit before it
 * reports them. Otherwise the account is tight: nodes with a considerable
 * share of the demand get leased tokens, and the others a chance, with which
 * they admit single calls, so that small shares of many nodes are served as
 * fully as large ones.
 *
 * LOAD
 *   One report per node and interval (0.1 to 0.5 s), with a line for each
 *   account that has news. A line costs a hash lookup and one exponential. The
 *   memory is one entry per account and one per node, none per pair.
 *
 * USE
 *   BbQuotaOwner_SetAccounts() for each configuration, _SetNodeCount() when
 *   the node records change;
 *   response = BbQuotaOwner_HandleReport(owner, text, now).
 *
 * LIMITS
 *   A new owner, and one that was paused, starts with empty buckets. Buckets
 *   are refilled in proportion to the nodes that report, so that two owners
 *   that each hear from one half lease no more than one owner would.
 */
#ifndef BB_QUOTA_OWNER_H
#define BB_QUOTA_OWNER_H

#include "bb_account.h"
#include "bb_quota_wire.h"
#include "bb_random.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Calls beyond the burst that a full bucket holds, so that small accounts are
 * not tight after a few calls in a row. The bound allows 20. */
#define BB_QUOTA_EXTRA_CALLS 3.0

typedef struct bb_quota_owner bb_quota_owner_t;

typedef struct {
    bb_random_t *random; /* borrowed */
    /* An account has become tight or calm; level is that of its bucket, demand
     * that of all nodes in calls/s. May be NULL. */
    void (*on_state)(const char *account, bb_quota_state_t state, double level,
                     double demand, void *arg);
    void *arg;
} bb_quota_owner_options_t;

bb_quota_owner_t *BbQuotaOwner_New(const bb_quota_owner_options_t *options);
void BbQuotaOwner_Free(bb_quota_owner_t *owner);

/* Adopts the limits of a configuration; accounts may be NULL. A bucket that
 * exceeds its new limit is clipped, and dropped accounts are forgotten. */
void BbQuotaOwner_SetAccounts(bb_quota_owner_t *owner,
                              const bb_account_table_t *accounts);

/* Number of nodes with a record, this one included. */
void BbQuotaOwner_SetNodeCount(bb_quota_owner_t *owner, size_t count);

/* Appends the response to a report. text is changed. Returns false if it is
 * malformed. */
bool BbQuotaOwner_HandleReport(bb_quota_owner_t *owner, char *text, double now,
                               GString *response);

/* Sum of the tokens leased since the start. */
int64_t BbQuotaOwner_LeasedTokens(const bb_quota_owner_t *owner);

/* Level of an account's bucket at its last report; 0 if none was received. */
double BbQuotaOwner_Level(const bb_quota_owner_t *owner, const char *account);

#ifdef __cplusplus
}
#endif

#endif
