/*
 * bb_quota_private - state of the quota decisions of one node
 *
 * Internal to lib/account, shared by the files of bb_quota:
 *   bb_quota             accounts, refusals, helpers of the other files
 *   bb_quota_admission   admits calls and takes them back
 *   bb_quota_candidates  slots, and the choice of their owners
 *   bb_quota_report      reports to owners and their responses
 */
#ifndef BB_QUOTA_PRIVATE_H
#define BB_QUOTA_PRIVATE_H

#include "bb_quota.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Time constant of this node's demand. */
#define BB_QUOTA_DEMAND_TIME_S 0.5

/* Below this demand a node needs no lease: it would rarely use a token before
 * it expires. */
#define BB_QUOTA_THIN_DEMAND_PER_S 4.0

/* Leased tokens expire this long after the report that the response belongs
 * to; a new response renews them. */
#define BB_QUOTA_LEASE_S 0.5

/* Credit without a response for long, and just after a limit was lowered. */
#define BB_QUOTA_STALE_CREDIT 2

typedef enum {
    BB_QUOTA_REFUSED_CALM,
    BB_QUOTA_REFUSED_TIGHT,
    BB_QUOTA_REFUSED_NO_OWNER
} bb_quota_refused_in_t;

typedef struct {
    char *name;
    double rate_per_s;
    double burst;
    size_t slot;
    bool has_news;   /* in the list of its slot */
    bool is_unowned; /* its owner has no limit for it */
    /* what the owner has said */
    uint32_t epoch; /* of the slot when the owner has last said something */
    double said_at;
    bb_quota_state_t state;
    int64_t credit_limit; /* -1 for none granted since the account was tight */
    double chance;
    double total_demand; /* of all nodes, calls/s */
    /* since the last report */
    int64_t credit;
    int64_t wanted;
    int64_t returned;
    /* in the report under way */
    int64_t sent_credit;
    int64_t sent_wanted;
    int64_t sent_returned;
    bool is_sent;
    double reported_at;
    int64_t tokens; /* leased */
    double tokens_until;
    double demand; /* of this node, calls/s at demand_at */
    double demand_at;
    /* without an owner */
    double lost_demand; /* of this node when the owner was lost */
    double share_tokens;
    double share_at;
    uint32_t share_epoch;
    double single_at; /* last call admitted as single call */
    int64_t refused;
    bb_quota_refused_in_t refused_in;
} bb_quota_entry_t;

typedef struct {
    char *name;
    double failed_at; /* 0: none or it has responded since */
    double sent_at;   /* of the message under way */
    bool is_under_way;
    int64_t sequence;
    int64_t acknowledged;
} bb_quota_candidate_t;

typedef struct {
    bb_quota_candidate_t candidates[BB_QUOTA_CANDIDATES];
    size_t count;
    size_t current;     /* index; count if none responds */
    uint32_t epoch;     /* increases when the owner changes */
    bool has_responded; /* the owner, in this epoch */
    bool is_owner_new;
    double responded_at; /* last response of the owner */
    double lost_at;      /* time of the last change */
    double sent_at;      /* last message to the owner; 0 in a new epoch */
    double return_s;     /* the next one follows within this time */
    double batch_at;     /* first message of the current batch */
    bool has_unsent;     /* news that did not fit into the last message */
    bool has_more;       /* the owner has more accounts to list */
    GPtrArray *news;     /* bb_quota_entry_t, borrowed */
    GPtrArray *tight;    /* bb_quota_entry_t, borrowed; those in this state */
} bb_quota_slot_t;

struct bb_quota {
    bb_quota_options_t options;
    char *node;
    GHashTable *entries; /* name to bb_quota_entry_t; accounts with a limit */
    GArray *slots;       /* bb_quota_slot_t */
    size_t nodes;
    double last_call_at;
    uint32_t last_epoch; /* of any slot; tickets of others are void */
    GString *lines;      /* of the message that is being composed */
};

bb_quota_slot_t *BbQuota_SlotAt(const bb_quota_t *quota, size_t index);

/* Adds the account to those that its slot reports on. */
void BbQuotaEntry_AddNews(bb_quota_t *quota, bb_quota_entry_t *entry);

/* Keeps the list of tight accounts of the slot. */
void BbQuotaEntry_SetState(bb_quota_slot_t *slot, bb_quota_entry_t *entry,
                           bb_quota_state_t state);

/* Demand of this node in calls/s. */
double BbQuotaEntry_Demand(const bb_quota_entry_t *entry, double now);

/* Calls on credit that the owner has not confirmed. */
int64_t BbQuotaEntry_UnreportedCredit(const bb_quota_entry_t *entry);

/* Leased tokens whose lease has ended are returned with the next report. */
void BbQuotaEntry_ExpireTokens(bb_quota_entry_t *entry, double now);

/* Ends the report under way. What was not delivered is reported again. */
void BbQuotaSlot_SettleReports(bb_quota_slot_t *slot, bool is_delivered);

void BbQuotaSlot_Clear(gpointer data);

/* Chooses the first candidate that has not failed. Ends the epoch if it is
 * another one. */
void BbQuotaSlot_ChooseOwner(bb_quota_t *quota, size_t slot_index, double now);

/* Factor of the intervals that depend on the size of the fleet. */
double BbQuota_SizeFactor(const bb_quota_t *quota);

/* Calls that may be admitted on credit while the account is calm. */
int64_t BbQuota_CalmCredit(const bb_quota_t *quota,
                           const bb_quota_slot_t *slot,
                           const bb_quota_entry_t *entry, bool is_known,
                           double now);

#ifdef __cplusplus
}
#endif

#endif
