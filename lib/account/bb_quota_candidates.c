#include "bb_quota_private.h"

#include <math.h>
#include <string.h>

/* What was not reported to an owner that has been silent for longer is
 * reported to the next one in full. */
#define CARRIED_S 1.0

static void
settle_report(bb_quota_entry_t *entry, bool is_delivered)
{
    if (entry->is_sent && !is_delivered) {
        entry->credit += entry->sent_credit;
        entry->wanted += entry->sent_wanted;
        entry->returned += entry->sent_returned;
    }
    entry->is_sent = false;
}

void
BbQuotaSlot_SettleReports(bb_quota_slot_t *slot, bool is_delivered)
{
    for (guint i = 0; i < slot->news->len; i++) {
        settle_report(g_ptr_array_index(slot->news, i), is_delivered);
    }
}

void
BbQuotaSlot_Clear(gpointer data)
{
    bb_quota_slot_t *slot = data;

    for (size_t i = 0; i < slot->count; i++) {
        g_free(slot->candidates[i].name);
    }
    g_ptr_array_unref(slot->news);
    g_ptr_array_unref(slot->tight);
}

const char *
BbQuota_Candidate(const bb_quota_t *quota, size_t slot, size_t candidate)
{
    return BbQuota_SlotAt(quota, slot)->candidates[candidate].name;
}

const char *
BbQuota_Owner(const bb_quota_t *quota, size_t slot_index)
{
    const bb_quota_slot_t *slot = BbQuota_SlotAt(quota, slot_index);

    return slot->current < slot->count ? slot->candidates[slot->current].name
                                       : "";
}

/* Part of the unreported calls that the next owner is told of: those beyond
 * this node's equal share of the limit since the last response. The sum over
 * all nodes is what the fleet has admitted beyond the limit. A node below its
 * share reports a negative number, since others with more calls are above
 * theirs. */
static int64_t
carried_credit(const bb_quota_t *quota, const bb_quota_entry_t *entry,
               double silent_s)
{
    if (silent_s > CARRIED_S) {
        return BbQuotaEntry_UnreportedCredit(entry);
    }
    double excess = (double)BbQuotaEntry_UnreportedCredit(entry) -
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
    bb_quota_slot_t *slot = BbQuota_SlotAt(quota, slot_index);
    double silent_s = slot->has_responded ? now - slot->responded_at : 0.0;
    GHashTableIter iter;
    gpointer value;

    slot->epoch = ++quota->last_epoch;
    slot->has_responded = false;
    slot->is_owner_new = true;
    slot->lost_at = now;
    slot->sent_at = 0;
    slot->has_unsent = false;
    slot->has_more = false;
    g_hash_table_iter_init(&iter, quota->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        bb_quota_entry_t *entry = value;
        if (entry->slot == slot_index) {
            entry->lost_demand = BbQuotaEntry_Demand(entry, now);
            entry->credit = carried_credit(quota, entry, silent_s);
            entry->wanted = 0;
            entry->returned = 0;
            entry->tokens = 0;
            entry->is_sent = false;
            if (entry->credit != 0) {
                BbQuotaEntry_AddNews(quota, entry);
            }
        }
    }
}

static void
assign_slot(gpointer name, gpointer value, gpointer arg)
{
    bb_quota_t *quota = arg;
    bb_quota_entry_t *entry = value;
    (void)name;

    entry->slot = BbQuota_Slot(entry->name, quota->slots->len);
    entry->has_news = false;
    entry->state = BB_QUOTA_CALM;
    entry->epoch = 0;
    if (entry->credit != 0) {
        BbQuotaEntry_AddNews(quota, entry);
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
        bb_quota_slot_t slot = {.news = g_ptr_array_new(),
                                .tight = g_ptr_array_new(),
                                .epoch = ++quota->last_epoch,
                                .lost_at = now};
        g_array_append_val(quota->slots, slot);
    }
    g_hash_table_foreach(quota->entries, assign_slot, quota);
}

void
BbQuotaSlot_ChooseOwner(bb_quota_t *quota, size_t slot_index, double now)
{
    bb_quota_slot_t *slot = BbQuota_SlotAt(quota, slot_index);
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
    const bb_quota_slot_t *slot = BbQuota_SlotAt(quota, slot_index);
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
    bb_quota_slot_t *slot = BbQuota_SlotAt(quota, slot_index);
    bb_quota_candidate_t candidates[BB_QUOTA_CANDIDATES] = {{0}};
    char *previous = g_strdup(BbQuota_Owner(quota, slot_index));

    BbQuotaSlot_SettleReports(slot, false);
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
    BbQuotaSlot_ChooseOwner(quota, slot_index, now);
}
