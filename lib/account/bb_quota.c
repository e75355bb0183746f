#include "bb_quota_private.h"

#include <math.h>

/* With more nodes, the intervals of calm accounts and without news grow in
 * proportion: each node reports to each owner, so that an owner would
 * otherwise get more messages with each node. */
#define FULL_PACE_NODES 300.0

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

bb_quota_slot_t *
BbQuota_SlotAt(const bb_quota_t *quota, size_t index)
{
    return &g_array_index(quota->slots, bb_quota_slot_t, index);
}

static void
free_entry(gpointer data)
{
    bb_quota_entry_t *entry = data;

    g_free(entry->name);
    g_free(entry);
}

void
BbQuotaEntry_AddNews(bb_quota_t *quota, bb_quota_entry_t *entry)
{
    if (!entry->has_news) {
        entry->has_news = true;
        g_ptr_array_add(BbQuota_SlotAt(quota, entry->slot)->news, entry);
    }
}

void
BbQuotaEntry_SetState(bb_quota_slot_t *slot, bb_quota_entry_t *entry,
                      bb_quota_state_t state)
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

double
BbQuotaEntry_Demand(const bb_quota_entry_t *entry, double now)
{
    return entry->demand *
           exp(-MAX(now - entry->demand_at, 0.0) / BB_QUOTA_DEMAND_TIME_S);
}

int64_t
BbQuotaEntry_UnreportedCredit(const bb_quota_entry_t *entry)
{
    return entry->credit + (entry->is_sent ? entry->sent_credit : 0);
}

void
BbQuotaEntry_ExpireTokens(bb_quota_entry_t *entry, double now)
{
    if (entry->tokens > 0 && now > entry->tokens_until) {
        entry->returned += entry->tokens;
        entry->tokens = 0;
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
    bb_quota_entry_t *entry =
        g_hash_table_lookup(quota->entries, account->name);

    if (account->rate_per_s <= 0) {
        return;
    }
    if (entry == NULL) {
        entry = g_new0(bb_quota_entry_t, 1);
        entry->name = g_strdup(account->name);
        entry->slot = BbQuota_Slot(account->name, quota->slots->len);
        entry->state = BB_QUOTA_CALM;
        entry->chance = 1.0;
        entry->credit_limit = -1;
        g_hash_table_insert(quota->entries, entry->name, entry);
    }
    if (account->rate_per_s < entry->rate_per_s) {
        /* A credit of the higher limit must not be used up. */
        entry->credit_limit = MIN(entry->credit_limit, BB_QUOTA_STALE_CREDIT);
    }
    entry->rate_per_s = account->rate_per_s;
    entry->burst = account->burst;
    g_hash_table_add(adoption->kept, entry);
}

static gboolean
drop_entry(gpointer name, gpointer value, gpointer arg)
{
    adoption_t *adoption = arg;
    bb_quota_entry_t *entry = value;
    (void)name;

    if (g_hash_table_contains(adoption->kept, entry)) {
        return FALSE;
    }
    bb_quota_slot_t *slot = BbQuota_SlotAt(adoption->quota, entry->slot);
    BbQuotaEntry_SetState(slot, entry, BB_QUOTA_CALM);
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

bool
BbQuota_HasLimits(const bb_quota_t *quota)
{
    return g_hash_table_size(quota->entries) > 0;
}

double
BbQuota_SizeFactor(const bb_quota_t *quota)
{
    return MAX((double)quota->nodes / FULL_PACE_NODES, 1.0);
}

static gint
compare_refused(gconstpointer a, gconstpointer b)
{
    const bb_quota_entry_t *x = *(const bb_quota_entry_t *const *)a;
    const bb_quota_entry_t *y = *(const bb_quota_entry_t *const *)b;

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
        if (((bb_quota_entry_t *)value)->refused > 0) {
            g_ptr_array_add(refusing, value);
        }
    }
    g_ptr_array_sort(refusing, compare_refused);
    for (guint i = 0; i < refusing->len; i++) {
        bb_quota_entry_t *entry = g_ptr_array_index(refusing, i);
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

bb_quota_t *
BbQuota_New(const bb_quota_options_t *options)
{
    bb_quota_t *quota = g_new0(bb_quota_t, 1);

    quota->options = *options;
    quota->node = g_strdup(options->node);
    quota->lines = g_string_new(NULL);
    quota->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    quota->slots = g_array_new(FALSE, TRUE, sizeof(bb_quota_slot_t));
    g_array_set_clear_func(quota->slots, BbQuotaSlot_Clear);
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
