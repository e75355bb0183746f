#include "bb_quota_private.h"

#include <math.h>

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

/* A candidate that does not respond is tried again after this time. */
#define RETRY_CANDIDATE_S 0.5

/* For this long after the start of an owner, an account that it does not list
 * may be about to become tight. */
#define NEW_OWNER_MS 2000

static bool
is_idle(const bb_quota_t *quota, double now)
{
    return now - quota->last_call_at > IDLE_S;
}

static double
keep_alive_s(const bb_quota_t *quota, const bb_quota_slot_t *slot,
             bool has_news, double now)
{
    double factor = BbQuota_SizeFactor(quota);

    if (is_idle(quota, now)) {
        return factor * IDLE_KEEP_ALIVE_S;
    }
    return factor * (has_news || slot->tight->len > 0 ? BUSY_KEEP_ALIVE_S
                                                      : KEEP_ALIVE_S);
}

static bool
has_changes(const bb_quota_entry_t *entry)
{
    return entry->wanted != 0 || entry->credit != 0 || entry->returned != 0 ||
           entry->tokens > 0;
}

/* Unreported calls of a calm account with which it is reported at once. The
 * rest of the credit lasts until the response, also for a burst. */
static double
early_credit(const bb_quota_t *quota, const bb_quota_slot_t *slot,
             const bb_quota_entry_t *entry, double now)
{
    double credit = (double)BbQuota_CalmCredit(quota, slot, entry, true, now);
    double demand = BbQuotaEntry_Demand(entry, now);
    double expected = demand * RESPONSE_S;

    if (demand < BB_QUOTA_THIN_DEMAND_PER_S) {
        return credit * EARLY_SHARE;
    }
    return MIN(credit * EARLY_SHARE,
               MAX(credit - expected - 2.0 * sqrt(expected), 1.0));
}

/* Time after the last message at which the news of an account is sent;
 * INFINITY without news. */
static double
report_after_s(const bb_quota_t *quota, const bb_quota_slot_t *slot,
               const bb_quota_entry_t *entry, double now)
{
    double demand = BbQuotaEntry_Demand(entry, now);

    if (!has_changes(entry)) {
        return INFINITY;
    }
    if (entry->epoch != slot->epoch) {
        return TIGHT_INTERVAL_S;
    }
    if (entry->state == BB_QUOTA_TIGHT) {
        return entry->tokens > 0 || demand >= BB_QUOTA_THIN_DEMAND_PER_S
                   ? TIGHT_INTERVAL_S
                   : CALM_INTERVAL_S;
    }
    if ((double)entry->credit >= early_credit(quota, slot, entry, now)) {
        return 0.0;
    }
    bool is_lazy =
        MAX(entry->total_demand, demand) < entry->rate_per_s * LAZY_SHARE;
    if (is_lazy && now - entry->reported_at <
                       LAZY_INTERVAL_S * BbQuota_SizeFactor(quota)) {
        return INFINITY;
    }
    return CALM_INTERVAL_S * BbQuota_SizeFactor(quota);
}

static void
add_report(bb_quota_entry_t *entry, double now, GString *text)
{
    double demand = BbQuotaEntry_Demand(entry, now);
    bool needs_lease =
        entry->tokens > 0 || demand >= BB_QUOTA_THIN_DEMAND_PER_S;
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
is_news_due(const bb_quota_t *quota, bb_quota_slot_t *slot, double now)
{
    double after_s = INFINITY;

    for (guint i = slot->news->len; i > 0; i--) {
        bb_quota_entry_t *entry = g_ptr_array_index(slot->news, i - 1);
        BbQuotaEntry_ExpireTokens(entry, now);
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

/* Adds the news of accounts that the current batch has not reported, except of
 * calm ones with a low demand whose time has not come. Returns false if some
 * did not fit. */
static bool
add_reports(const bb_quota_t *quota, const bb_quota_slot_t *slot, double now,
            GString *text)
{
    for (guint i = 0; i < slot->news->len; i++) {
        bb_quota_entry_t *entry = g_ptr_array_index(slot->news, i);
        bool is_reported =
            slot->has_unsent && entry->reported_at >= slot->batch_at;
        if (is_reported || isinf(report_after_s(quota, slot, entry, now))) {
            continue;
        }
        if (text->len >= BB_QUOTA_REPORT_BYTES) {
            return false;
        }
        add_report(entry, now, text);
    }
    return true;
}

/* Composes a message from the lines of the accounts. */
static void
compose(bb_quota_t *quota, bb_quota_candidate_t *candidate, double return_s,
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
try_failed_candidate(bb_quota_t *quota, bb_quota_slot_t *slot, double now,
                     GString *text, size_t *index)
{
    for (size_t i = 0; i < MIN(slot->current, slot->count); i++) {
        bb_quota_candidate_t *candidate = &slot->candidates[i];
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
report_to_owner(bb_quota_t *quota, bb_quota_slot_t *slot, double now,
                GString *text)
{
    bool has_news = is_news_due(quota, slot, now);
    GString *lines = quota->lines;

    if (!has_news && !slot->has_unsent && !slot->has_more &&
        slot->sent_at > 0 && now - slot->sent_at < slot->return_s) {
        return false;
    }
    if (!slot->has_unsent) {
        slot->batch_at = now;
    }
    g_string_truncate(lines, 0);
    slot->has_unsent = !add_reports(quota, slot, now, lines);
    slot->has_more = false;
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
    bb_quota_slot_t *slot = BbQuota_SlotAt(quota, slot_index);

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

bool
BbQuota_IsContinued(const bb_quota_t *quota, size_t slot_index)
{
    const bb_quota_slot_t *slot = BbQuota_SlotAt(quota, slot_index);

    return slot->has_unsent || slot->has_more;
}

static void
apply_grant(bb_quota_t *quota, bb_quota_slot_t *slot, size_t slot_index,
            const bb_quota_grant_t *grant, double sent_at, double now)
{
    bb_quota_entry_t *entry = g_hash_table_lookup(quota->entries, grant->name);

    if (entry == NULL || entry->slot != slot_index) {
        return;
    }
    entry->epoch = slot->epoch;
    entry->is_unowned = grant->state == BB_QUOTA_UNOWNED;
    if (entry->is_unowned) {
        return;
    }
    entry->said_at = now;
    BbQuotaEntry_SetState(slot, entry, grant->state);
    entry->chance = (double)grant->chance_milli / 1000.0;
    entry->total_demand = (double)grant->demand_milli / 1000.0;
    if (grant->state == BB_QUOTA_CALM) {
        entry->credit_limit = grant->tokens;
    }
    else {
        entry->credit_limit = -1;
        BbQuotaEntry_ExpireTokens(entry, now);
        entry->tokens += grant->tokens;
        if (grant->tokens > 0) {
            entry->tokens_until = sent_at + BB_QUOTA_LEASE_S;
            BbQuotaEntry_AddNews(quota, entry);
        }
        BbQuotaEntry_ExpireTokens(entry, now);
    }
}

/* An account that the owner no longer lists as tight is calm. */
static void
calm_unlisted(bb_quota_slot_t *slot, double now)
{
    for (guint i = slot->tight->len; i > 0; i--) {
        bb_quota_entry_t *entry = g_ptr_array_index(slot->tight, i - 1);
        if (entry->epoch != slot->epoch || entry->said_at < now) {
            entry->chance = 1.0;
            BbQuotaEntry_SetState(slot, entry, BB_QUOTA_CALM);
        }
    }
}

/* The candidate if a message to it is under way, otherwise NULL. */
static bb_quota_candidate_t *
candidate_under_way(bb_quota_slot_t *slot, size_t index)
{
    return index < slot->count && slot->candidates[index].is_under_way
               ? &slot->candidates[index]
               : NULL;
}

void
BbQuota_HandleResponse(bb_quota_t *quota, size_t slot_index, size_t index,
                       char *text, double now)
{
    bb_quota_slot_t *slot = BbQuota_SlotAt(quota, slot_index);
    bb_quota_candidate_t *candidate = candidate_under_way(slot, index);
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
        BbQuotaSlot_ChooseOwner(quota, slot_index, now);
        return;
    }
    BbQuotaSlot_SettleReports(slot, true);
    slot->has_responded = true;
    slot->responded_at = now;
    slot->is_owner_new = head.age_ms < NEW_OWNER_MS;
    slot->has_more = head.has_more;
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
    bb_quota_slot_t *slot = BbQuota_SlotAt(quota, slot_index);
    bb_quota_candidate_t *candidate = candidate_under_way(slot, index);

    if (candidate == NULL) {
        return;
    }
    candidate->is_under_way = false;
    candidate->failed_at = now;
    if (index == slot->current) {
        BbQuotaSlot_SettleReports(slot, false);
        BbQuotaSlot_ChooseOwner(quota, slot_index, now);
    }
}
