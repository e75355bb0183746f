#include "bb_quota_private.h"

/* Calls that a node admits by chance before it reports them. */
#define THIN_CREDIT 2

/* Limit of the credit of an account that the owner has not granted any, as a
 * share of the burst, and its least value. It covers the calls until the first
 * response when the demand moves to this node. */
#define DEFAULT_CREDIT_SHARE 0.04
#define DEFAULT_CREDIT_MIN 3.0

/* A limit of the credit that is older is raised to that limit: the demand of
 * this node may have changed. */
#define CREDIT_RECENT_S 0.5

/* Without a response for this long, which is longer than the keep-alive of a
 * node with calls, only few calls are admitted until the next response. */
#define STALE_S 0.7

/* Without an owner, this part of the limit is distributed by the last known
 * demand, and the rest equally. */
#define SHARE_BY_DEMAND 0.8

/* What is known of the demand may be used for this long. */
#define KNOWN_S 30.0

/* For this long after the loss of the owner, single calls of an account that
 * was calm are admitted as before. */
#define CALM_AFTER_LOSS_S 0.15

/* Interval in which one such call is admitted. */
#define SINGLE_CALL_S 0.25

/* Retry-After. */
#define RETRY_AFTER_MIN_S 0.2
#define RETRY_AFTER_MAX_S 1.3
#define RETRY_AFTER_NO_OWNER_S 0.5

/* Kinds of tickets; the upper bits are the epoch of the slot. */
#define TICKET_CREDIT 1U
#define TICKET_TOKEN 2U
#define TICKET_SHARE 3U
#define TICKET_KIND_BITS 2

static void
note_call(bb_quota_entry_t *entry, double now)
{
    entry->demand =
        BbQuotaEntry_Demand(entry, now) + 1.0 / BB_QUOTA_DEMAND_TIME_S;
    entry->demand_at = now;
    entry->wanted++;
}

static double
spread(const bb_quota_t *quota, double wait_s)
{
    return wait_s * (0.5 + BbRandom_Unit(quota->options.random));
}

/* Seconds until calls beyond the limit are likely to be admitted: the calls of
 * one second beyond the limit take this long at the limit. */
static double
retry_after_s(const bb_quota_t *quota, const bb_quota_entry_t *entry,
              bb_quota_refused_in_t refused_in)
{
    if (refused_in == BB_QUOTA_REFUSED_NO_OWNER) {
        return spread(quota, RETRY_AFTER_NO_OWNER_S);
    }
    double excess = entry->total_demand / entry->rate_per_s - 1.0;
    return spread(quota, CLAMP(excess, RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S));
}

int64_t
BbQuota_CalmCredit(const bb_quota_t *quota, const bb_quota_slot_t *slot,
                   const bb_quota_entry_t *entry, bool is_known, double now)
{
    bool is_recent = is_known && entry->credit_limit >= 0 &&
                     now - entry->said_at < CREDIT_RECENT_S;

    if (now - slot->responded_at > STALE_S * BbQuota_SizeFactor(quota)) {
        return BB_QUOTA_STALE_CREDIT; /* the account may have become tight */
    }
    int64_t unasked =
        (int64_t)MAX(entry->burst * DEFAULT_CREDIT_SHARE, DEFAULT_CREDIT_MIN);

    return is_recent ? entry->credit_limit : MAX(entry->credit_limit, unasked);
}

static bool
admit_by_chance(const bb_quota_t *quota, const bb_quota_entry_t *entry,
                double now)
{
    return BbQuotaEntry_Demand(entry, now) <
               BB_QUOTA_THIN_DEMAND_PER_S + 1 / BB_QUOTA_DEMAND_TIME_S &&
           BbQuotaEntry_UnreportedCredit(entry) < THIN_CREDIT &&
           BbRandom_Unit(quota->options.random) < entry->chance;
}

/* Rate of this node while no owner responds, in calls/s. */
static double
share_rate(const bb_quota_t *quota, const bb_quota_entry_t *entry, double now)
{
    double equal = entry->rate_per_s / (double)quota->nodes;
    bool is_demand_known = entry->total_demand > 0 && entry->said_at > 0 &&
                           now - entry->said_at < KNOWN_S;

    if (!is_demand_known) {
        return equal;
    }
    /* An estimate below what the limit allows must not raise the sum. */
    double part = MIN(entry->lost_demand / entry->total_demand, 1.0);
    return SHARE_BY_DEMAND * entry->rate_per_s * part +
           (1.0 - SHARE_BY_DEMAND) * equal;
}

/* Admits from a local bucket, which is empty when the owner is lost. A part of
 * a token is a chance at a node that rarely gets a whole one. */
static bool
admit_share(const bb_quota_t *quota, bb_quota_entry_t *entry,
            const bb_quota_slot_t *slot, double now)
{
    double rate = share_rate(quota, entry, now);

    if (entry->share_epoch != slot->epoch) {
        entry->share_epoch = slot->epoch;
        entry->share_tokens = 0;
        entry->share_at = slot->lost_at;
    }
    entry->share_tokens =
        MIN(entry->share_tokens + rate * MAX(now - entry->share_at, 0.0),
            MAX(rate * BB_QUOTA_LEASE_S, 1.0));
    entry->share_at = now;
    if (entry->share_tokens >= 1.0) {
        entry->share_tokens -= 1.0;
        return true;
    }
    if (rate * BB_QUOTA_LEASE_S < 1.0) {
        /* The part is used up in any case: kept, it would raise the chance of
         * the next call, and the sum would exceed the rate. */
        double chance = entry->share_tokens;
        entry->share_tokens = 0;
        if (BbRandom_Unit(quota->options.random) < chance) {
            return true;
        }
    }
    return false;
}

/* Admits single calls of an account that was calm until its owner was lost.
 * They take nothing from the local bucket. */
static bool
admit_single_call(bb_quota_entry_t *entry, const bb_quota_slot_t *slot,
                  double now)
{
    bool was_calm =
        entry->state == BB_QUOTA_CALM && entry->said_at > 0 &&
        (slot->has_responded || now - slot->lost_at < CALM_AFTER_LOSS_S) &&
        entry->total_demand < entry->rate_per_s;

    if (was_calm &&
        BbQuotaEntry_Demand(entry, now) < BB_QUOTA_THIN_DEMAND_PER_S &&
        now - entry->single_at >= SINGLE_CALL_S) {
        entry->single_at = now;
        return true;
    }
    return false;
}

static bb_quota_ticket_t
make_ticket(const bb_quota_slot_t *slot, uint32_t kind)
{
    return slot->epoch << TICKET_KIND_BITS | kind;
}

/* Admits by what the owner has last said. *kind is that of the ticket. */
static bool
admit_by_state(bb_quota_t *quota, const bb_quota_slot_t *slot,
               bb_quota_entry_t *entry, double now, uint32_t *kind,
               bb_quota_refused_in_t *refused_in)
{
    bool is_known = entry->epoch == slot->epoch;

    *kind = TICKET_CREDIT;
    if (!slot->has_responded || entry->is_unowned ||
        (slot->is_owner_new && !is_known)) {
        *refused_in = BB_QUOTA_REFUSED_NO_OWNER;
        if (admit_share(quota, entry, slot, now)) {
            *kind = TICKET_SHARE;
            return true;
        }
        return admit_single_call(entry, slot, now);
    }
    if (!is_known || entry->state == BB_QUOTA_CALM) {
        *refused_in = BB_QUOTA_REFUSED_CALM;
        return BbQuotaEntry_UnreportedCredit(entry) <
               BbQuota_CalmCredit(quota, slot, entry, is_known, now);
    }
    *refused_in = BB_QUOTA_REFUSED_TIGHT;
    if (entry->tokens > 0) {
        entry->tokens--;
        *kind = TICKET_TOKEN;
        return true;
    }
    return admit_by_chance(quota, entry, now);
}

bool
BbQuota_Admit(bb_quota_t *quota, const char *account, double now,
              bb_quota_ticket_t *ticket, double *retry_after)
{
    bb_quota_entry_t *entry = g_hash_table_lookup(quota->entries, account);
    bb_quota_refused_in_t refused_in;
    uint32_t kind;

    *ticket = 0;
    if (entry == NULL) {
        return true;
    }
    bb_quota_slot_t *slot = BbQuota_SlotAt(quota, entry->slot);
    quota->last_call_at = now;
    note_call(entry, now);
    BbQuotaEntry_AddNews(quota, entry);
    BbQuotaEntry_ExpireTokens(entry, now);
    if (!admit_by_state(quota, slot, entry, now, &kind, &refused_in)) {
        entry->refused++;
        entry->refused_in = refused_in;
        *retry_after = retry_after_s(quota, entry, refused_in);
        return false;
    }
    if (kind != TICKET_TOKEN) {
        entry->credit++;
    }
    *ticket = make_ticket(slot, kind);
    return true;
}

/* A call whose credit was reported already is returned like a token: unlike
 * credit, the owner does not count it again if the report is repeated. */
static void
return_credit(bb_quota_entry_t *entry)
{
    if (entry->credit > 0) {
        entry->credit--;
    }
    else {
        entry->returned++;
    }
}

void
BbQuota_Return(bb_quota_t *quota, const char *account,
               bb_quota_ticket_t ticket, double now)
{
    bb_quota_entry_t *entry = g_hash_table_lookup(quota->entries, account);

    if (ticket == 0 || entry == NULL) {
        return;
    }
    bb_quota_slot_t *slot = BbQuota_SlotAt(quota, entry->slot);
    if (ticket == make_ticket(slot, TICKET_CREDIT) ||
        ticket == make_ticket(slot, TICKET_SHARE)) {
        return_credit(entry);
        BbQuotaEntry_AddNews(quota, entry);
        if (ticket == make_ticket(slot, TICKET_SHARE)) {
            entry->share_tokens += 1.0;
        }
    }
    else if (ticket == make_ticket(slot, TICKET_TOKEN)) {
        BbQuotaEntry_ExpireTokens(entry, now);
        if (entry->tokens > 0 || now <= entry->tokens_until) {
            entry->tokens++;
        }
        else {
            entry->returned++;
        }
        BbQuotaEntry_AddNews(quota, entry);
    }
}
