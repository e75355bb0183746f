#include "bb_quota.h"

#include <math.h>
#include <string.h>

/* Time constant of this node's demand. */
#define DEMAND_TIME_S 0.5

/* Below this demand a node needs no lease: it would rarely use a token before
 * it expires. */
#define THIN_DEMAND_PER_S 4.0

/* Calls that a node admits by chance before it reports them. */
#define THIN_CREDIT 2

/* Leased tokens expire this long after the report that the response belongs
 * to; a new response renews them. */
#define LEASE_S 0.5

/* Times after the last message at which news is sent: of an account that needs
 * leases or is not yet known to the owner, of another one, and of a calm one
 * whose demand is below LAZY_SHARE of its limit (since its last report). */
#define TIGHT_INTERVAL_S 0.1
#define CALM_INTERVAL_S 0.25
#define LAZY_INTERVAL_S 1.0
#define LAZY_SHARE 0.4

/* An account is reported at once when this share of its credit is used. */
#define EARLY_SHARE 0.5

/* Time until a report that is due is sent and responded to. */
#define RESPONSE_S 0.15

/* Without news a node still reports, so that the owner knows that it is
 * connected: after the first time if its last message had news or an account
 * is tight, after the second while it has calls, and after the third if it has
 * had none for IDLE_S. */
#define BUSY_KEEP_ALIVE_S 0.25
#define KEEP_ALIVE_S 0.5
#define IDLE_KEEP_ALIVE_S 1.0
#define IDLE_S 2.0

/* With more nodes, the intervals of calm accounts and without news grow in
 * proportion: each node reports to each owner, so that an owner would
 * otherwise get more messages with each node. */
#define FULL_PACE_NODES 300.0

/* A candidate that does not respond is tried again after this time. */
#define RETRY_CANDIDATE_S 0.5

/* For this long after the start of an owner, an account that it does not list
 * may be about to become tight. */
#define NEW_OWNER_MS 2000

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
#define STALE_CREDIT 2

/* What was not reported to an owner that has been silent for longer is
 * reported to the next one in full. */
#define CARRIED_S 1.0

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

typedef enum { REFUSED_CALM, REFUSED_TIGHT, REFUSED_NO_OWNER } refused_in_t;

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
    refused_in_t refused_in;
} entry_t;

typedef struct {
    char *name;
    double failed_at; /* 0: none or it has responded since */
    double sent_at;   /* of the message under way */
    bool is_under_way;
    int64_t sequence;
    int64_t acknowledged;
} candidate_t;

typedef struct {
    candidate_t candidates[BB_QUOTA_CANDIDATES];
    size_t count;
    size_t current;     /* index; count if none responds */
    uint32_t epoch;     /* increases when the owner changes */
    bool has_responded; /* the owner, in this epoch */
    bool is_owner_new;
    double responded_at; /* last response of the owner */
    double lost_at;      /* time of the last change */
    double sent_at;      /* last message to the owner; 0 in a new epoch */
    double return_s;     /* the next one follows within this time */
    GPtrArray *news;     /* entry_t, borrowed */
    GPtrArray *tight;    /* entry_t, borrowed; those in this state */
} slot_t;

struct bb_quota {
    bb_quota_options_t options;
    char *node;
    GHashTable *entries; /* name to entry_t; accounts with a limit */
    GArray *slots;       /* slot_t */
    size_t nodes;
    double last_call_at;
    uint32_t last_epoch; /* of any slot; tickets of others are void */
    GString *lines;      /* of the message that is being composed */
};

/* ---- hashing ---- */

uint64_t
BbQuota_Hash(uint64_t seed, const char *name)
{
    uint64_t hash = 14695981039346656037ULL ^ (seed * 0x9e3779b97f4a7c15ULL);

    for (const char *at = name; *at != '\0'; at++) {
        hash = (hash ^ (uint8_t)*at) * 1099511628211ULL;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

size_t
BbQuota_Slot(const char *account, size_t slots)
{
    size_t best = 0;
    uint64_t highest = 0;

    for (size_t i = 0; slots > 1 && i < slots; i++) {
        uint64_t hash = BbQuota_Hash(i + 1, account);
        if (hash > highest) {
            highest = hash;
            best = i;
        }
    }
    return best;
}

/* ---- entries ---- */

static slot_t *
slot_at(const bb_quota_t *quota, size_t index)
{
    return &g_array_index(quota->slots, slot_t, index);
}

static void
free_entry(gpointer data)
{
    entry_t *entry = data;

    g_free(entry->name);
    g_free(entry);
}

static void
add_news(bb_quota_t *quota, entry_t *entry)
{
    if (!entry->has_news) {
        entry->has_news = true;
        g_ptr_array_add(slot_at(quota, entry->slot)->news, entry);
    }
}

static void
set_state(slot_t *slot, entry_t *entry, bb_quota_state_t state)
{
    if (entry->state == state) {
        return;
    }
    entry->state = state;
    if (state == BB_QUOTA_TIGHT) {
        g_ptr_array_add(slot->tight, entry);
    }
    else {
        g_ptr_array_remove_fast(slot->tight, entry);
    }
}

typedef struct {
    bb_quota_t *quota;
    GHashTable *kept;
} adoption_t;

static void
adopt_account(const bb_account_t *account, void *arg)
{
    adoption_t *adoption = arg;
    bb_quota_t *quota = adoption->quota;
    entry_t *entry = g_hash_table_lookup(quota->entries, account->name);

    if (account->rate_per_s <= 0) {
        return;
    }
    if (entry == NULL) {
        entry = g_new0(entry_t, 1);
        entry->name = g_strdup(account->name);
        entry->slot = BbQuota_Slot(account->name, quota->slots->len);
        entry->state = BB_QUOTA_CALM;
        entry->chance = 1.0;
        entry->credit_limit = -1;
        g_hash_table_insert(quota->entries, entry->name, entry);
    }
    if (account->rate_per_s < entry->rate_per_s) {
        /* A credit of the higher limit must not be used up. */
        entry->credit_limit = MIN(entry->credit_limit, STALE_CREDIT);
    }
    entry->rate_per_s = account->rate_per_s;
    entry->burst = account->burst;
    g_hash_table_add(adoption->kept, entry);
}

static gboolean
drop_entry(gpointer name, gpointer value, gpointer arg)
{
    adoption_t *adoption = arg;
    entry_t *entry = value;
    (void)name;

    if (g_hash_table_contains(adoption->kept, entry)) {
        return FALSE;
    }
    slot_t *slot = slot_at(adoption->quota, entry->slot);
    set_state(slot, entry, BB_QUOTA_CALM);
    if (entry->has_news) {
        g_ptr_array_remove_fast(slot->news, entry);
    }
    return TRUE;
}

void
BbQuota_SetAccounts(bb_quota_t *quota, const bb_account_table_t *accounts)
{
    adoption_t adoption = {quota, g_hash_table_new(NULL, NULL)};

    if (accounts != NULL) {
        BbAccountTable_ForEach(accounts, adopt_account, &adoption);
    }
    g_hash_table_foreach_remove(quota->entries, drop_entry, &adoption);
    g_hash_table_destroy(adoption.kept);
}

static double
decayed_demand(const entry_t *entry, double now)
{
    return entry->demand *
           exp(-MAX(now - entry->demand_at, 0.0) / DEMAND_TIME_S);
}

static void
note_call(entry_t *entry, double now)
{
    entry->demand = decayed_demand(entry, now) + 1.0 / DEMAND_TIME_S;
    entry->demand_at = now;
    entry->wanted++;
}

/* ---- slots and owners ---- */

static void
settle_report(entry_t *entry, bool is_delivered)
{
    if (entry->is_sent && !is_delivered) {
        entry->credit += entry->sent_credit;
        entry->wanted += entry->sent_wanted;
        entry->returned += entry->sent_returned;
    }
    entry->is_sent = false;
}

static void
settle_reports(slot_t *slot, bool is_delivered)
{
    for (guint i = 0; i < slot->news->len; i++) {
        settle_report(g_ptr_array_index(slot->news, i), is_delivered);
    }
}

static void
clear_slot(gpointer data)
{
    slot_t *slot = data;

    for (size_t i = 0; i < slot->count; i++) {
        g_free(slot->candidates[i].name);
    }
    g_ptr_array_unref(slot->news);
    g_ptr_array_unref(slot->tight);
}

bool
BbQuota_HasLimits(const bb_quota_t *quota)
{
    return g_hash_table_size(quota->entries) > 0;
}

const char *
BbQuota_Candidate(const bb_quota_t *quota, size_t slot, size_t candidate)
{
    return slot_at(quota, slot)->candidates[candidate].name;
}

const char *
BbQuota_Owner(const bb_quota_t *quota, size_t slot_index)
{
    const slot_t *slot = slot_at(quota, slot_index);

    return slot->current < slot->count ? slot->candidates[slot->current].name
                                       : "";
}

static int64_t
unreported_credit(const entry_t *entry)
{
    return entry->credit + (entry->is_sent ? entry->sent_credit : 0);
}

/* Part of the unreported calls that the next owner is told of: those beyond
 * this node's equal share of the limit since the last response. The sum over
 * all nodes is what the fleet has admitted beyond the limit. A node below its
 * share reports a negative number, since others with more calls are above
 * theirs. */
static int64_t
carried_credit(const bb_quota_t *quota, const entry_t *entry, double silent_s)
{
    if (silent_s > CARRIED_S) {
        return unreported_credit(entry);
    }
    double excess = (double)unreported_credit(entry) -
                    entry->rate_per_s * silent_s / (double)quota->nodes;
    double whole = floor(excess);
    bool is_up = BbRandom_Unit(quota->options.random) < excess - whole;

    return (int64_t)whole + is_up;
}

/* Ends the epoch of an owner. Nothing that it granted may be used any more,
 * and the next owner, whose bucket starts empty, is told of the excess only.
 */
static void
end_epoch(bb_quota_t *quota, size_t slot_index, double now)
{
    slot_t *slot = slot_at(quota, slot_index);
    double silent_s = slot->has_responded ? now - slot->responded_at : 0.0;
    GHashTableIter iter;
    gpointer value;

    slot->epoch = ++quota->last_epoch;
    slot->has_responded = false;
    slot->is_owner_new = true;
    slot->lost_at = now;
    slot->sent_at = 0;
    g_hash_table_iter_init(&iter, quota->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        entry_t *entry = value;
        if (entry->slot == slot_index) {
            entry->lost_demand = decayed_demand(entry, now);
            entry->credit = carried_credit(quota, entry, silent_s);
            entry->wanted = 0;
            entry->returned = 0;
            entry->tokens = 0;
            entry->is_sent = false;
            if (entry->credit != 0) {
                add_news(quota, entry);
            }
        }
    }
}

static void
assign_slot(gpointer name, gpointer value, gpointer arg)
{
    bb_quota_t *quota = arg;
    entry_t *entry = value;
    (void)name;

    entry->slot = BbQuota_Slot(entry->name, quota->slots->len);
    entry->has_news = false;
    entry->state = BB_QUOTA_CALM;
    entry->epoch = 0;
    if (entry->credit != 0) {
        add_news(quota, entry);
    }
}

void
BbQuota_SetFleet(bb_quota_t *quota, size_t nodes, size_t slots, double now)
{
    quota->nodes = MAX(nodes, 1);
    slots = MAX(slots, 1);
    if (quota->slots->len == slots) {
        return;
    }
    for (size_t i = 0; i < quota->slots->len; i++) {
        end_epoch(quota, i, now);
    }
    g_array_set_size(quota->slots, 0);
    for (size_t i = 0; i < slots; i++) {
        slot_t slot = {.news = g_ptr_array_new(),
                       .tight = g_ptr_array_new(),
                       .epoch = ++quota->last_epoch,
                       .lost_at = now};
        g_array_append_val(quota->slots, slot);
    }
    g_hash_table_foreach(quota->entries, assign_slot, quota);
}

static void
choose_owner(bb_quota_t *quota, size_t slot_index, double now)
{
    slot_t *slot = slot_at(quota, slot_index);
    size_t chosen = 0;

    while (chosen < slot->count && slot->candidates[chosen].failed_at > 0) {
        chosen++;
    }
    if (chosen == slot->current) {
        return;
    }
    char *previous = g_strdup(BbQuota_Owner(quota, slot_index));
    slot->current = chosen;
    end_epoch(quota, slot_index, now);
    if (quota->options.on_owner != NULL) {
        quota->options.on_owner(slot_index, previous,
                                BbQuota_Owner(quota, slot_index),
                                quota->options.arg);
    }
    g_free(previous);
}

bool
BbQuota_HasOwners(const bb_quota_t *quota, size_t slot_index,
                  const char *const *names, size_t count)
{
    const slot_t *slot = slot_at(quota, slot_index);
    bool is_same = slot->count == MIN(count, BB_QUOTA_CANDIDATES);

    for (size_t i = 0; is_same && i < slot->count; i++) {
        is_same = strcmp(slot->candidates[i].name, names[i]) == 0;
    }
    return is_same;
}

void
BbQuota_SetOwners(bb_quota_t *quota, size_t slot_index,
                  const char *const *names, size_t count, double now)
{
    slot_t *slot = slot_at(quota, slot_index);
    candidate_t candidates[BB_QUOTA_CANDIDATES] = {{0}};
    char *previous = g_strdup(BbQuota_Owner(quota, slot_index));

    settle_reports(slot, false);
    count = MIN(count, BB_QUOTA_CANDIDATES);
    for (size_t i = 0; i < count; i++) {
        for (size_t j = 0; j < slot->count; j++) {
            if (strcmp(slot->candidates[j].name, names[i]) == 0) {
                candidates[i] = slot->candidates[j];
            }
        }
        candidates[i].is_under_way = false;
        candidates[i].name = g_strdup(names[i]);
    }
    for (size_t j = 0; j < slot->count; j++) {
        g_free(slot->candidates[j].name);
    }
    memcpy(slot->candidates, candidates, sizeof(candidates));
    slot->count = count;
    slot->current = count;
    for (size_t i = 0; i < count; i++) {
        if (strcmp(candidates[i].name, previous) == 0) {
            slot->current = i;
        }
    }
    if (slot->current == count && previous[0] != '\0') {
        end_epoch(quota, slot_index, now);
    }
    g_free(previous);
    choose_owner(quota, slot_index, now);
}

/* ---- admission ---- */

static double
spread(const bb_quota_t *quota, double wait_s)
{
    return wait_s * (0.5 + BbRandom_Unit(quota->options.random));
}

/* Seconds until calls beyond the limit are likely to be admitted: the calls of
 * one second beyond the limit take this long at the limit. */
static double
retry_after_s(const bb_quota_t *quota, const entry_t *entry,
              refused_in_t refused_in)
{
    if (refused_in == REFUSED_NO_OWNER) {
        return spread(quota, RETRY_AFTER_NO_OWNER_S);
    }
    double excess = entry->total_demand / entry->rate_per_s - 1.0;
    return spread(quota, CLAMP(excess, RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S));
}

/* Factor of the intervals that depend on the size of the fleet. */
static double
size_factor(const bb_quota_t *quota)
{
    return MAX((double)quota->nodes / FULL_PACE_NODES, 1.0);
}

/* Calls that may be admitted on credit while the account is calm. */
static int64_t
calm_credit(const bb_quota_t *quota, const slot_t *slot, const entry_t *entry,
            bool is_known, double now)
{
    bool is_recent = is_known && entry->credit_limit >= 0 &&
                     now - entry->said_at < CREDIT_RECENT_S;

    if (now - slot->responded_at > STALE_S * size_factor(quota)) {
        return STALE_CREDIT; /* the account may have become tight */
    }
    int64_t unasked =
        (int64_t)MAX(entry->burst * DEFAULT_CREDIT_SHARE, DEFAULT_CREDIT_MIN);

    return is_recent ? entry->credit_limit : MAX(entry->credit_limit, unasked);
}

static bool
admit_by_chance(const bb_quota_t *quota, const entry_t *entry, double now)
{
    return decayed_demand(entry, now) <
               THIN_DEMAND_PER_S + 1 / DEMAND_TIME_S &&
           unreported_credit(entry) < THIN_CREDIT &&
           BbRandom_Unit(quota->options.random) < entry->chance;
}

/* Rate of this node while no owner responds, in calls/s. */
static double
share_rate(const bb_quota_t *quota, const entry_t *entry, double now)
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
admit_share(const bb_quota_t *quota, entry_t *entry, const slot_t *slot,
            double now)
{
    double rate = share_rate(quota, entry, now);

    if (entry->share_epoch != slot->epoch) {
        entry->share_epoch = slot->epoch;
        entry->share_tokens = 0;
        entry->share_at = slot->lost_at;
    }
    entry->share_tokens =
        MIN(entry->share_tokens + rate * MAX(now - entry->share_at, 0.0),
            MAX(rate * LEASE_S, 1.0));
    entry->share_at = now;
    if (entry->share_tokens >= 1.0) {
        entry->share_tokens -= 1.0;
        return true;
    }
    if (rate * LEASE_S < 1.0) {
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
admit_single_call(entry_t *entry, const slot_t *slot, double now)
{
    bool was_calm =
        entry->state == BB_QUOTA_CALM && entry->said_at > 0 &&
        (slot->has_responded || now - slot->lost_at < CALM_AFTER_LOSS_S) &&
        entry->total_demand < entry->rate_per_s;

    if (was_calm && decayed_demand(entry, now) < THIN_DEMAND_PER_S &&
        now - entry->single_at >= SINGLE_CALL_S) {
        entry->single_at = now;
        return true;
    }
    return false;
}

static bb_quota_ticket_t
make_ticket(const slot_t *slot, uint32_t kind)
{
    return slot->epoch << TICKET_KIND_BITS | kind;
}

static void
expire_tokens(entry_t *entry, double now)
{
    if (entry->tokens > 0 && now > entry->tokens_until) {
        entry->returned += entry->tokens;
        entry->tokens = 0;
    }
}

bool
BbQuota_Admit(bb_quota_t *quota, const char *account, double now,
              bb_quota_ticket_t *ticket, double *retry_after)
{
    entry_t *entry = g_hash_table_lookup(quota->entries, account);
    bool is_admitted = false;
    refused_in_t refused_in = REFUSED_NO_OWNER;
    uint32_t kind = TICKET_CREDIT;

    *ticket = 0;
    if (entry == NULL) {
        return true;
    }
    slot_t *slot = slot_at(quota, entry->slot);
    quota->last_call_at = now;
    note_call(entry, now);
    add_news(quota, entry);
    expire_tokens(entry, now);
    bool is_known = entry->epoch == slot->epoch;
    if (!slot->has_responded || entry->is_unowned ||
        (slot->is_owner_new && !is_known)) {
        is_admitted = admit_share(quota, entry, slot, now);
        if (is_admitted) {
            kind = TICKET_SHARE;
        }
        else {
            is_admitted = admit_single_call(entry, slot, now);
        }
    }
    else if (!is_known || entry->state == BB_QUOTA_CALM) {
        is_admitted = unreported_credit(entry) <
                      calm_credit(quota, slot, entry, is_known, now);
        refused_in = REFUSED_CALM;
    }
    else if (entry->tokens > 0) {
        entry->tokens--;
        *ticket = make_ticket(slot, TICKET_TOKEN);
        return true;
    }
    else {
        is_admitted = admit_by_chance(quota, entry, now);
        refused_in = REFUSED_TIGHT;
    }
    if (is_admitted) {
        entry->credit++;
        *ticket = make_ticket(slot, kind);
        return true;
    }
    entry->refused++;
    entry->refused_in = refused_in;
    *retry_after = retry_after_s(quota, entry, refused_in);
    return false;
}

/* A call whose credit was reported already is returned like a token: unlike
 * credit, the owner does not count it again if the report is repeated. */
static void
return_credit(entry_t *entry)
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
    entry_t *entry = g_hash_table_lookup(quota->entries, account);

    if (ticket == 0 || entry == NULL) {
        return;
    }
    slot_t *slot = slot_at(quota, entry->slot);
    if (ticket == make_ticket(slot, TICKET_CREDIT) ||
        ticket == make_ticket(slot, TICKET_SHARE)) {
        return_credit(entry);
        add_news(quota, entry);
        if (ticket == make_ticket(slot, TICKET_SHARE)) {
            entry->share_tokens += 1.0;
        }
    }
    else if (ticket == make_ticket(slot, TICKET_TOKEN)) {
        expire_tokens(entry, now);
        if (entry->tokens > 0 || now <= entry->tokens_until) {
            entry->tokens++;
        }
        else {
            entry->returned++;
        }
        add_news(quota, entry);
    }
}

/* ---- reports ---- */

static bool
is_idle(const bb_quota_t *quota, double now)
{
    return now - quota->last_call_at > IDLE_S;
}

static double
keep_alive_s(const bb_quota_t *quota, const slot_t *slot, bool has_news,
             double now)
{
    double factor = size_factor(quota);

    if (is_idle(quota, now)) {
        return factor * IDLE_KEEP_ALIVE_S;
    }
    return factor * (has_news || slot->tight->len > 0 ? BUSY_KEEP_ALIVE_S
                                                      : KEEP_ALIVE_S);
}

static bool
has_changes(const entry_t *entry)
{
    return entry->wanted != 0 || entry->credit != 0 || entry->returned != 0 ||
           entry->tokens > 0;
}

/* Unreported calls of a calm account with which it is reported at once. The
 * rest of the credit lasts until the response, also for a burst. */
static double
early_credit(const bb_quota_t *quota, const slot_t *slot, const entry_t *entry,
             double now)
{
    double credit = (double)calm_credit(quota, slot, entry, true, now);
    double demand = decayed_demand(entry, now);
    double expected = demand * RESPONSE_S;

    if (demand < THIN_DEMAND_PER_S) {
        return credit * EARLY_SHARE;
    }
    return MIN(credit * EARLY_SHARE,
               MAX(credit - expected - 2.0 * sqrt(expected), 1.0));
}

/* Time after the last message at which the news of an account is sent;
 * INFINITY without news. */
static double
report_after_s(const bb_quota_t *quota, const slot_t *slot,
               const entry_t *entry, double now)
{
    double demand = decayed_demand(entry, now);

    if (!has_changes(entry)) {
        return INFINITY;
    }
    if (entry->epoch != slot->epoch) {
        return TIGHT_INTERVAL_S;
    }
    if (entry->state == BB_QUOTA_TIGHT) {
        return entry->tokens > 0 || demand >= THIN_DEMAND_PER_S
                   ? TIGHT_INTERVAL_S
                   : CALM_INTERVAL_S;
    }
    if ((double)entry->credit >= early_credit(quota, slot, entry, now)) {
        return 0.0;
    }
    bool is_lazy =
        MAX(entry->total_demand, demand) < entry->rate_per_s * LAZY_SHARE;
    if (is_lazy &&
        now - entry->reported_at < LAZY_INTERVAL_S * size_factor(quota)) {
        return INFINITY;
    }
    return CALM_INTERVAL_S * size_factor(quota);
}

static void
add_report(entry_t *entry, double now, GString *text)
{
    double demand = decayed_demand(entry, now);
    bool needs_lease = entry->tokens > 0 || demand >= THIN_DEMAND_PER_S;
    const bb_quota_report_t report = {
        .credit = entry->credit,
        .wanted = entry->wanted,
        .returned = entry->returned,
        .held = needs_lease ? entry->tokens : -1,
        .demand_milli = (int64_t)(demand * 1000),
        .since_ms = (int64_t)(MIN(now - entry->reported_at, 60.0) * 1000),
        .name = entry->name,
    };

    BbQuotaWire_AddReport(text, &report);
    entry->sent_credit = entry->credit;
    entry->sent_wanted = entry->wanted;
    entry->sent_returned = entry->returned;
    entry->is_sent = true;
    entry->credit = 0;
    entry->wanted = 0;
    entry->returned = 0;
    entry->reported_at = now;
}

/* Whether a message with news is due. Drops accounts without news from the
 * list. */
static bool
is_news_due(const bb_quota_t *quota, slot_t *slot, double now)
{
    double after_s = INFINITY;

    for (guint i = slot->news->len; i > 0; i--) {
        entry_t *entry = g_ptr_array_index(slot->news, i - 1);
        expire_tokens(entry, now);
        if (has_changes(entry) || entry->is_sent) {
            after_s = MIN(after_s, report_after_s(quota, slot, entry, now));
        }
        else {
            entry->has_news = false;
            g_ptr_array_remove_index_fast(slot->news, i - 1);
        }
    }
    return now - slot->sent_at >= after_s;
}

/* Adds all news, except of calm accounts with a low demand whose time has not
 * come. */
static void
add_reports(const bb_quota_t *quota, slot_t *slot, double now, GString *text)
{
    for (guint i = 0; i < slot->news->len; i++) {
        entry_t *entry = g_ptr_array_index(slot->news, i);
        if (!isinf(report_after_s(quota, slot, entry, now))) {
            add_report(entry, now, text);
        }
    }
}

/* Composes a message from the lines of the accounts. */
static void
compose(bb_quota_t *quota, candidate_t *candidate, double return_s,
        bool is_new, double now, const char *lines, GString *text)
{
    const bb_quota_report_head_t head = {
        .incarnation = quota->options.incarnation,
        .sequence = ++candidate->sequence,
        .acknowledged = candidate->acknowledged,
        .return_ms = (int64_t)(return_s * 1000),
        .is_idle = is_idle(quota, now),
        .is_new = is_new,
        .node = quota->node,
    };

    g_string_truncate(text, 0);
    BbQuotaWire_AddReportHead(text, &head);
    g_string_append(text, lines);
    candidate->is_under_way = true;
    candidate->sent_at = now;
}

/* A candidate that is preferred to the owner in use, or any one if there is
 * none, is tried again with an empty report. */
static bool
try_failed_candidate(bb_quota_t *quota, slot_t *slot, double now,
                     GString *text, size_t *index)
{
    for (size_t i = 0; i < MIN(slot->current, slot->count); i++) {
        candidate_t *candidate = &slot->candidates[i];
        if (!candidate->is_under_way &&
            now - candidate->failed_at >= RETRY_CANDIDATE_S) {
            compose(quota, candidate, 0, false, now, "", text);
            *index = i;
            return true;
        }
    }
    return false;
}

/* The report to the owner, if one is due. */
static bool
report_to_owner(bb_quota_t *quota, slot_t *slot, double now, GString *text)
{
    bool has_news = is_news_due(quota, slot, now);
    GString *lines = quota->lines;

    if (!has_news && slot->sent_at > 0 &&
        now - slot->sent_at < slot->return_s) {
        return false;
    }
    g_string_truncate(lines, 0);
    add_reports(quota, slot, now, lines);
    slot->return_s = keep_alive_s(quota, slot, lines->len > 0, now);
    slot->sent_at = now;
    compose(quota, &slot->candidates[slot->current], slot->return_s,
            !slot->has_responded, now, lines->str, text);
    return true;
}

bool
BbQuota_NextMessage(bb_quota_t *quota, size_t slot_index, double now,
                    GString *text, size_t *index)
{
    slot_t *slot = slot_at(quota, slot_index);

    if (!BbQuota_HasLimits(quota)) {
        return false;
    }
    if (slot->current < slot->count &&
        !slot->candidates[slot->current].is_under_way &&
        report_to_owner(quota, slot, now, text)) {
        *index = slot->current;
        return true;
    }
    return try_failed_candidate(quota, slot, now, text, index);
}

/* ---- responses ---- */

static void
apply_grant(bb_quota_t *quota, slot_t *slot, size_t slot_index,
            const bb_quota_grant_t *grant, double sent_at, double now)
{
    entry_t *entry = g_hash_table_lookup(quota->entries, grant->name);

    if (entry == NULL || entry->slot != slot_index) {
        return;
    }
    entry->epoch = slot->epoch;
    entry->is_unowned = grant->state == BB_QUOTA_UNOWNED;
    if (entry->is_unowned) {
        return;
    }
    entry->said_at = now;
    set_state(slot, entry, grant->state);
    entry->chance = (double)grant->chance_milli / 1000.0;
    entry->total_demand = (double)grant->demand_milli / 1000.0;
    if (grant->state == BB_QUOTA_CALM) {
        entry->credit_limit = grant->tokens;
    }
    else {
        entry->credit_limit = -1;
        expire_tokens(entry, now);
        entry->tokens += grant->tokens;
        if (grant->tokens > 0) {
            entry->tokens_until = sent_at + LEASE_S;
            add_news(quota, entry);
        }
        expire_tokens(entry, now);
    }
}

/* An account that the owner no longer lists as tight is calm. */
static void
calm_unlisted(slot_t *slot, double now)
{
    for (guint i = slot->tight->len; i > 0; i--) {
        entry_t *entry = g_ptr_array_index(slot->tight, i - 1);
        if (entry->epoch != slot->epoch || entry->said_at < now) {
            entry->chance = 1.0;
            set_state(slot, entry, BB_QUOTA_CALM);
        }
    }
}

/* The candidate if a message to it is under way, otherwise NULL. */
static candidate_t *
candidate_under_way(slot_t *slot, size_t index)
{
    return index < slot->count && slot->candidates[index].is_under_way
               ? &slot->candidates[index]
               : NULL;
}

void
BbQuota_HandleResponse(bb_quota_t *quota, size_t slot_index, size_t index,
                       char *text, double now)
{
    slot_t *slot = slot_at(quota, slot_index);
    candidate_t *candidate = candidate_under_way(slot, index);
    bb_quota_grant_head_t head;
    bb_quota_grant_t grant;
    char *cursor = text;

    if (candidate == NULL) {
        return;
    }
    if (!BbQuotaWire_ParseGrantHead(&cursor, &head) ||
        head.sequence != candidate->sequence) {
        BbQuota_HandleFailure(quota, slot_index, index, now);
        return;
    }
    candidate->is_under_way = false;
    candidate->acknowledged = head.sequence;
    candidate->failed_at = 0;
    if (index != slot->current) {
        choose_owner(quota, slot_index, now);
        return;
    }
    settle_reports(slot, true);
    slot->has_responded = true;
    slot->responded_at = now;
    slot->is_owner_new = head.age_ms < NEW_OWNER_MS;
    while (BbQuotaWire_NextGrant(&cursor, &grant)) {
        apply_grant(quota, slot, slot_index, &grant, candidate->sent_at, now);
    }
    if (head.is_complete) {
        calm_unlisted(slot, now);
    }
}

void
BbQuota_HandleFailure(bb_quota_t *quota, size_t slot_index, size_t index,
                      double now)
{
    slot_t *slot = slot_at(quota, slot_index);
    candidate_t *candidate = candidate_under_way(slot, index);

    if (candidate == NULL) {
        return;
    }
    candidate->is_under_way = false;
    candidate->failed_at = now;
    if (index == slot->current) {
        settle_reports(slot, false);
        choose_owner(quota, slot_index, now);
    }
}

/* ---- refusals ---- */

static gint
compare_refused(gconstpointer a, gconstpointer b)
{
    const entry_t *x = *(const entry_t *const *)a;
    const entry_t *y = *(const entry_t *const *)b;

    return x->refused < y->refused ? 1 : x->refused > y->refused ? -1 : 0;
}

int64_t
BbQuota_TakeRefusals(bb_quota_t *quota, size_t max_count,
                     void (*visit)(const bb_quota_refusals_t *refusals,
                                   void *arg),
                     void *arg)
{
    static const char *const states[] = {"calm", "tight", "no_owner"};
    GPtrArray *refusing = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    int64_t others = 0;

    g_hash_table_iter_init(&iter, quota->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((entry_t *)value)->refused > 0) {
            g_ptr_array_add(refusing, value);
        }
    }
    g_ptr_array_sort(refusing, compare_refused);
    for (guint i = 0; i < refusing->len; i++) {
        entry_t *entry = g_ptr_array_index(refusing, i);
        const bb_quota_refusals_t refusals = {
            .account = entry->name,
            .refused = entry->refused,
            .state = states[entry->refused_in],
            .demand = entry->total_demand,
            .rate_per_s = entry->rate_per_s,
        };
        if (i < max_count) {
            visit(&refusals, arg);
        }
        else {
            others += entry->refused;
        }
        entry->refused = 0;
    }
    g_ptr_array_unref(refusing);
    return others;
}

/* ---- create and free ---- */

bb_quota_t *
BbQuota_New(const bb_quota_options_t *options)
{
    bb_quota_t *quota = g_new0(bb_quota_t, 1);

    quota->options = *options;
    quota->node = g_strdup(options->node);
    quota->lines = g_string_new(NULL);
    quota->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    quota->slots = g_array_new(FALSE, TRUE, sizeof(slot_t));
    g_array_set_clear_func(quota->slots, clear_slot);
    BbQuota_SetFleet(quota, 1, 1, options->now);
    return quota;
}

void
BbQuota_Free(bb_quota_t *quota)
{
    if (quota != NULL) {
        g_hash_table_destroy(quota->entries);
        g_array_unref(quota->slots);
        g_string_free(quota->lines, TRUE);
        g_free(quota->node);
        g_free(quota);
    }
}
