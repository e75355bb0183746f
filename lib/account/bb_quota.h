/*
 * bb_quota - admission of calls of client accounts at one node
 *
 * The limits of an account apply to the sum over all nodes. Each account has a
 * quota owner, a node that keeps its bucket (see bb_quota_owner.h). This
 * module admits or refuses calls by what the owner has last said, and composes
 * the reports to it:
 *   calm    calls are admitted on credit, up to a limit for those that are not
 *           yet reported
 *   tight   a node with a considerable demand admits with leased tokens, one
 *           with little demand admits single calls with a chance
 *   without an owner that responds, the node keeps to its share of the limit:
 *           in line with its last known part of the demand, otherwise the same
 *           for all nodes
 *
 * LOAD
 *   A decision is one hash lookup and one exponential, without a message. All
 *   accounts with news go to their owner in one message; nothing is sent for
 *   an account whose demand is well under its limit for up to a second.
 *
 * USE
 *   BbQuota_SetAccounts() for each configuration;
 *   BbQuota_SetOwners() for each slot when the node records change;
 *   is_admitted = BbQuota_Admit(quota, name, now, &ticket, &retry_after_s);
 *   BbQuota_Return(quota, name, ticket, now) if the call has not run;
 *   every BB_QUOTA_TICK_S, for each slot, BbQuota_NextMessage() until it
 *   returns false; then BbQuota_HandleResponse() or BbQuota_HandleFailure().
 *   After a response, BbQuota_NextMessage() again if BbQuota_IsContinued().
 *
 * LIMITS
 *   A restarted node has no tokens and no credit. One report per owner is
 *   under way at a time.
 */
#ifndef BB_QUOTA_H
#define BB_QUOTA_H

#include "bb_account.h"
#include "bb_quota_wire.h"
#include "bb_random.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Interval at which reports are checked for being due. */
#define BB_QUOTA_TICK_S 0.05

/* A report without a response for this long has failed. */
#define BB_QUOTA_TIMEOUT_S 0.3

/* Candidates for the owner of a slot: the owner and those that replace it. */
#define BB_QUOTA_CANDIDATES 4

typedef struct bb_quota bb_quota_t;

/* How a call was admitted; 0 for one that is not limited. */
typedef uint32_t bb_quota_ticket_t;

typedef struct {
    const char *node;    /* name of this node; copied */
    int64_t incarnation; /* differs for each process of the node */
    bb_random_t *random; /* borrowed */
    double now;          /* local buckets are empty at this time */
    /* The node that is asked as owner of a slot has changed; "" for none. May
     * be NULL. */
    void (*on_owner)(size_t slot, const char *previous, const char *owner,
                     void *arg);
    void *arg;
} bb_quota_options_t;

/* Refusals of one account since the last call of BbQuota_TakeRefusals(). */
typedef struct {
    const char *account;
    int64_t refused;
    const char *state; /* "calm", "tight" or "no_owner" at the last refusal */
    double demand;     /* of all nodes as last known, in calls/s */
    double rate_per_s; /* limit */
} bb_quota_refusals_t;

bb_quota_t *BbQuota_New(const bb_quota_options_t *options);
void BbQuota_Free(bb_quota_t *quota);

/* Adopts the limits of a configuration; accounts may be NULL. */
void BbQuota_SetAccounts(bb_quota_t *quota,
                         const bb_account_table_t *accounts);

/* Number of nodes with a record, this one included, and number of slots over
 * which the accounts are distributed. */
void BbQuota_SetFleet(bb_quota_t *quota, size_t nodes, size_t slots,
                      double now);

/* Whether these are the candidates of a slot already. */
bool BbQuota_HasOwners(const bb_quota_t *quota, size_t slot,
                       const char *const *candidates, size_t count);

/* Sets the candidates of a slot in the order of preference; copied. At most
 * BB_QUOTA_CANDIDATES are used. Messages under way in this slot must have been
 * cancelled. */
void BbQuota_SetOwners(bb_quota_t *quota, size_t slot,
                       const char *const *candidates, size_t count,
                       double now);

/* Returns whether a call of the account may run now. *retry_after_s is set for
 * a refused one. */
bool BbQuota_Admit(bb_quota_t *quota, const char *account, double now,
                   bb_quota_ticket_t *ticket, double *retry_after_s);

/* A call that was admitted with this ticket has not run and never will. */
void BbQuota_Return(bb_quota_t *quota, const char *account,
                    bb_quota_ticket_t ticket, double now);

/* Composes the next message that is due in a slot. *candidate is the index of
 * its receiver among the candidates. Returns false if none is due. */
bool BbQuota_NextMessage(bb_quota_t *quota, size_t slot, double now,
                         GString *text, size_t *candidate);

/* The response to the message under way to this candidate; text is changed. */
void BbQuota_HandleResponse(bb_quota_t *quota, size_t slot, size_t candidate,
                            char *text, double now);

/* The message failed or was not responded to in BB_QUOTA_TIMEOUT_S. */
void BbQuota_HandleFailure(bb_quota_t *quota, size_t slot, size_t candidate,
                           double now);

/* Whether a message is due at once because the last one had no room for all
 * news, or because the owner has more to list. */
bool BbQuota_IsContinued(const bb_quota_t *quota, size_t slot);

/* Whether any account has a limit. */
bool BbQuota_HasLimits(const bb_quota_t *quota);

/* Name of a candidate for the owner of a slot. */
const char *BbQuota_Candidate(const bb_quota_t *quota, size_t slot,
                              size_t candidate);

/* Name of the owner of a slot, "" if no candidate responds. */
const char *BbQuota_Owner(const bb_quota_t *quota, size_t slot);

/* Passes the accounts with the most refusals, at most max_count, and resets
 * the counts of all. Returns the number of refusals of the others. */
int64_t BbQuota_TakeRefusals(bb_quota_t *quota, size_t max_count,
                             void (*visit)(const bb_quota_refusals_t *refusals,
                                           void *arg),
                             void *arg);

/* Slot of an account among slots, by rendezvous hashing. */
size_t BbQuota_Slot(const char *account, size_t slots);

/* Hash of two names, for rendezvous hashing; the same on all nodes. */
uint64_t BbQuota_Hash(uint64_t seed, const char *name);

#ifdef __cplusplus
}
#endif

#endif
