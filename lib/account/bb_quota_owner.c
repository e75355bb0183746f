#include "bb_quota_owner.h"

#include <math.h>
#include <string.h>
#include <utlist.h>

/* An account is tight below this share of its burst, and calm again above the
 * other. */
#define TIGHT_BELOW 0.5
#define CALM_ABOVE 0.6

/* Time constant of the demand of all nodes: longer than the interval between
 * the reports of a node, and long enough for some calls at the limit. */
#define DEMAND_TIME_S 0.4
#define DEMAND_CALLS 3.0

/* Time in which the tokens of a tight account are handed out or its debt is
 * paid back; several times the delay of a report and its response. */
#define SETTLE_S 0.3

/* A node with a lease holds tokens for its demand of this time, which covers
 * an interval of 0.1 s, the delay of a report and a burst. */
#define LEASE_HORIZON_S 0.3

/* Longest time between two reports for which tokens are handed out. */
#define SINCE_MAX_S 0.3

/* Share of the bucket that all nodes together may admit before they report.
 * One part is in line with demand, the rest is the same for each node. */
#define CREDIT_SHARE 0.4
#define CREDIT_BY_DEMAND 0.8

/* Smallest limit of the credit of one node, so that a few calls in a row need
 * no response between them. */
#define CREDIT_MIN 3.0
#define CREDIT_MIN_SHARE 0.004

/* A node counts as heard for this multiple of the time within which it has
 * said that its next message follows. */
#define HEARD_FACTOR 1.6

/* For this long, the bucket of a new owner holds no more than what has been
 * refilled. */
#define SETTLED_S 1.0

/* Without any report for this long, this node may have been paused, or cut
 * off, while another node was the owner. */
#define PAUSED_S 0.8

/* A node that has not reported for this long after it was due is forgotten. */
#define FORGET_S 5.0

/* Longest accepted time within which a node says that its next message
 * follows. It is 11 s in a fleet of 3,400 nodes. */
#define RETURN_MAX_S 60.0

/* Nodes that are kept: three times the largest fleet. The names come from
 * messages, so their number must be limited. */
#define NODES_MAX 10000

/* Calls that ran longer ago than the window of the bound do not count in it: a
 * larger debt than the calls of one window would only block the account. */
#define DEBT_MAX_S 5.0

/* Interval at which the nodes heard from are counted. */
#define COUNT_INTERVAL_S 0.05

/* Tight accounts that are listed in each response without having been
 * reported. If there are more, these are the next ones in turn, and the
 * response also lists each account whose state has changed since the last
 * response that the node has seen, at most CHANGES_MAX: about 12 KB, 10 ms on
 * a link of 10 Mbit/s. The node requests the rest at once. */
#define LISTED_MAX 16
#define CHANGES_MAX 400

typedef struct account {
    char *name;
    double rate_per_s;
    double burst;
    double level; /* tokens; negative when more calls were admitted */
    double at;    /* time of level */
    bb_quota_state_t state;
    double demand; /* calls/s of all nodes at demand_at */
    double demand_at;
    int64_t listed_in;  /* number of the last response with this account */
    int64_t changed_in; /* number of the last change of state; 0 for none */
    struct account *prev, *next; /* in the order of changed_in */
} account_t;

typedef struct {
    int64_t incarnation;
    int64_t sequence;
    double heard_until;
    bool is_idle; /* has no calls of accounts */
    /* Changes of state up to these numbers were listed in responses that the
     * node has seen, and in the last response. */
    int64_t seen_changes;
    int64_t sent_changes;
} node_t;

struct bb_quota_owner {
    bb_quota_owner_options_t options;
    GHashTable *accounts; /* name to account_t; those reported on */
    GHashTable *limits;   /* name to bb_account_t, a copy */
    GHashTable *nodes;    /* name to node_t */
    GPtrArray *tight;     /* account_t, borrowed from accounts */
    account_t *changed;   /* borrowed from accounts; the latest change last */
    int64_t changes;      /* number of the latest change of a state */
    guint next_listed;    /* index in tight */
    size_t node_count;
    double fraction; /* nodes heard from by nodes known, without idle ones */
    double fraction_at;
    double owner_since; /* time of the first report after a pause */
    double last_report_at;
    GString *lines; /* of the response that is being composed */
    int64_t responses;
    int64_t leased;
};

/* ---- accounts and limits ---- */

static void
free_account(gpointer data)
{
    account_t *account = data;

    g_free(account->name);
    g_free(account);
}

static void
free_limit(gpointer data)
{
    bb_account_t *limit = data;

    g_free(limit->name);
    g_free(limit);
}

static double
capacity(const account_t *account)
{
    return account->burst + BB_QUOTA_EXTRA_CALLS;
}

static double
debt_max(const account_t *account)
{
    return account->rate_per_s * DEBT_MAX_S + capacity(account);
}

static void
add_limit(const bb_account_t *account, void *arg)
{
    bb_quota_owner_t *owner = arg;

    if (account->rate_per_s > 0) {
        bb_account_t *limit = g_new(bb_account_t, 1);
        *limit = *account;
        limit->name = g_strdup(account->name);
        g_hash_table_replace(owner->limits, limit->name, limit);
    }
}

static gboolean
adopt_limit(gpointer name, gpointer value, gpointer arg)
{
    bb_quota_owner_t *owner = arg;
    account_t *account = value;
    const bb_account_t *limit = g_hash_table_lookup(owner->limits, name);

    if (limit == NULL) {
        g_ptr_array_remove_fast(owner->tight, account);
        if (account->changed_in > 0) {
            DL_DELETE(owner->changed, account);
        }
        return TRUE;
    }
    account->rate_per_s = limit->rate_per_s;
    account->burst = limit->burst;
    account->level = MIN(account->level, capacity(account));
    return FALSE;
}

void
BbQuotaOwner_SetAccounts(bb_quota_owner_t *owner,
                         const bb_account_table_t *accounts)
{
    g_hash_table_remove_all(owner->limits);
    if (accounts != NULL) {
        BbAccountTable_ForEach(accounts, add_limit, owner);
    }
    g_hash_table_foreach_remove(owner->accounts, adopt_limit, owner);
}

static account_t *
find_account(bb_quota_owner_t *owner, const char *name, double now)
{
    account_t *account = g_hash_table_lookup(owner->accounts, name);

    if (account != NULL) {
        return account;
    }
    const bb_account_t *limit = g_hash_table_lookup(owner->limits, name);
    if (limit == NULL) {
        return NULL;
    }
    account = g_new0(account_t, 1);
    account->name = g_strdup(name);
    account->rate_per_s = limit->rate_per_s;
    account->burst = limit->burst;
    account->state = BB_QUOTA_CALM;
    /* As if it had been empty when this node became the owner. */
    account->at = owner->owner_since;
    account->demand_at = now;
    g_hash_table_insert(owner->accounts, account->name, account);
    return account;
}

/* ---- nodes ---- */

typedef struct {
    double now;
    size_t heard; /* without idle ones */
    size_t idle;
    size_t missed;
} node_count_t;

static gboolean
count_node(gpointer name, gpointer value, gpointer arg)
{
    const node_t *node = value;
    node_count_t *count = arg;
    (void)name;

    if (node->heard_until >= count->now) {
        count->idle += node->is_idle;
        count->heard += !node->is_idle;
    }
    else {
        count->missed++;
    }
    return node->heard_until + FORGET_S < count->now;
}

static void
start_anew(bb_quota_owner_t *owner, double now)
{
    GHashTableIter iter;
    gpointer value;

    owner->owner_since = now;
    g_hash_table_iter_init(&iter, owner->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        account_t *account = value;
        account->level = MIN(account->level, 0.0);
        account->at = now;
        account->demand = 0;
    }
}

/* Counts the nodes heard from, and detects that this node was paused: then
 * most nodes that have said when they report next have not done so. */
static void
count_nodes(bb_quota_owner_t *owner, double now)
{
    node_count_t count = {.now = now};

    if (now - owner->fraction_at < COUNT_INTERVAL_S) {
        return;
    }
    g_hash_table_foreach_remove(owner->nodes, count_node, &count);
    if (owner->last_report_at == 0 ||
        (now - owner->last_report_at > PAUSED_S &&
         count.missed >= count.heard + count.idle)) {
        start_anew(owner, now);
    }
    /* Idle nodes report seldom: they tell nothing about a cut, and would hide
     * it if they counted as heard. */
    size_t known =
        owner->node_count > count.idle ? owner->node_count - count.idle : 0;
    owner->fraction =
        MIN((double)MAX(count.heard, 1) / (double)MAX(known, 1), 1.0);
    owner->fraction_at = now;
}

void
BbQuotaOwner_SetNodeCount(bb_quota_owner_t *owner, size_t count)
{
    owner->node_count = count;
}

/* Notes the report of a node. Returns NULL for a node beyond the most that are
 * kept. *is_in_order is set if the node has seen the response to its previous
 * report. */
static node_t *
note_node(bb_quota_owner_t *owner, const bb_quota_report_head_t *head,
          double now, bool *is_in_order)
{
    *is_in_order = false;
    node_t *node = g_hash_table_lookup(owner->nodes, head->node);

    if (node == NULL) {
        if (g_hash_table_size(owner->nodes) >= NODES_MAX) {
            return NULL;
        }
        node = g_new0(node_t, 1);
        g_hash_table_insert(owner->nodes, g_strdup(head->node), node);
    }
    *is_in_order = node->incarnation != head->incarnation ||
                   node->sequence == head->acknowledged;
    if (head->is_new || node->incarnation != head->incarnation) {
        /* It has forgotten what this node has listed. */
        node->seen_changes = 0;
    }
    else if (*is_in_order) {
        node->seen_changes = node->sent_changes;
    }
    node->incarnation = head->incarnation;
    node->sequence = head->sequence;
    node->is_idle = head->is_idle;
    double return_s =
        CLAMP((double)head->return_ms / 1000.0, 0.0, RETURN_MAX_S);
    node->heard_until = now + HEARD_FACTOR * return_s;
    return node;
}

/* A node that has asked another owner, or was restarted, may have admitted
 * calls that this owner does not know of: its share of each burst is taken to
 * be used up. Without this, a bucket would be full again when all nodes return
 * to an owner after a short pause. */
static void
charge_new_node(bb_quota_owner_t *owner)
{
    double nodes = (double)MAX(owner->node_count, 1);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, owner->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        account_t *account = value;
        double charged = account->level - capacity(account) / nodes;
        account->level = MAX(charged, MIN(account->level, 0.0));
    }
}

/* ---- buckets ---- */

static void
refill(const bb_quota_owner_t *owner, account_t *account, double now)
{
    double elapsed_s = MAX(now - account->at, 0.0);

    account->level =
        MIN(account->level + account->rate_per_s * owner->fraction * elapsed_s,
            capacity(account));
    if (now - owner->owner_since < SETTLED_S) {
        /* Reports of other nodes may follow that lower it. */
        account->level =
            MIN(account->level, account->rate_per_s * owner->fraction *
                                    MAX(now - owner->owner_since, 0.0));
    }
    account->at = now;
}

static double
demand_time_s(const account_t *account)
{
    return DEMAND_TIME_S + DEMAND_CALLS / account->rate_per_s;
}

/* Demand of all nodes in calls/s. */
static double
current_demand(const account_t *account, double now)
{
    return account->demand *
           exp(-MAX(now - account->demand_at, 0.0) / demand_time_s(account));
}

static void
set_state(bb_quota_owner_t *owner, account_t *account, bb_quota_state_t state,
          double now)
{
    account->state = state;
    if (account->changed_in > 0) {
        DL_DELETE(owner->changed, account);
    }
    account->changed_in = ++owner->changes;
    DL_APPEND(owner->changed, account);
    if (state == BB_QUOTA_TIGHT) {
        g_ptr_array_add(owner->tight, account);
    }
    else {
        g_ptr_array_remove_fast(owner->tight, account);
    }
    if (owner->options.on_state != NULL) {
        owner->options.on_state(account->name, state, account->level,
                                current_demand(account, now),
                                owner->options.arg);
    }
}

static void
update_state(bb_quota_owner_t *owner, account_t *account, double now)
{
    if (account->state == BB_QUOTA_CALM &&
        account->level < TIGHT_BELOW * account->burst) {
        set_state(owner, account, BB_QUOTA_TIGHT, now);
    }
    else if (account->state == BB_QUOTA_TIGHT &&
             account->level > CALM_ABOVE * account->burst + 1.0) {
        set_state(owner, account, BB_QUOTA_CALM, now);
    }
}

/* Calls/s that the nodes of a tight account may admit. */
static double
supply(const bb_quota_owner_t *owner, const account_t *account)
{
    double rate = account->rate_per_s * owner->fraction;

    return MAX(rate + account->level / SETTLE_S, 0.0);
}

static int64_t
round_randomly(const bb_quota_owner_t *owner, double value)
{
    double whole = floor(value);

    return (int64_t)whole +
           (BbRandom_Unit(owner->options.random) < value - whole ? 1 : 0);
}

static double
credit_limit(const bb_quota_owner_t *owner, const account_t *account,
             double node_demand, double demand)
{
    double share = demand > 0 ? MIN(node_demand / demand, 1.0) : 0.0;
    double nodes = (double)MAX(owner->node_count, 1);
    double credit =
        CREDIT_SHARE * MAX(account->level, 0.0) *
        (CREDIT_BY_DEMAND * share + (1.0 - CREDIT_BY_DEMAND) / nodes);

    return MAX(credit, CREDIT_MIN + CREDIT_MIN_SHARE * account->burst);
}

static double
lease_size(const bb_quota_owner_t *owner, const account_t *account,
           const bb_quota_report_t *report, double demand)
{
    double node_demand = (double)report->demand_milli / 1000.0;
    double since_s = MIN((double)report->since_ms / 1000.0, SINCE_MAX_S);
    double rate = supply(owner, account);
    double missing =
        node_demand * LEASE_HORIZON_S + 1.0 - (double)report->held;
    double share = rate * since_s * MIN(node_demand / MAX(demand, 0.001), 1.0);

    if (rate >= demand) {
        share = MAX(share, missing);
    }
    return CLAMP(missing, 0.0, share);
}

static bb_quota_grant_t
describe(const bb_quota_owner_t *owner, const account_t *account, double now)
{
    double demand = current_demand(account, now);
    double chance = account->state == BB_QUOTA_CALM || demand <= 0
                        ? 1.0
                        : MIN(supply(owner, account) / demand, 1.0);

    return (bb_quota_grant_t){.state = account->state,
                              .chance_milli = (int64_t)(chance * 1000),
                              .demand_milli = (int64_t)(demand * 1000),
                              .name = account->name};
}

/* ---- reports ---- */

static void
apply_report(bb_quota_owner_t *owner, const bb_quota_report_t *report,
             bool is_in_order, double now, GString *response)
{
    account_t *account = find_account(owner, report->name, now);

    if (account == NULL) {
        const bb_quota_grant_t unowned = {.state = BB_QUOTA_UNOWNED,
                                          .name = report->name};
        BbQuotaWire_AddGrant(response, &unowned);
        return;
    }
    refill(owner, account, now);
    account->level -= (double)report->credit;
    if (is_in_order) {
        /* A repeated report must not return tokens twice. */
        account->level += (double)report->returned;
    }
    account->level =
        CLAMP(account->level, -debt_max(account), capacity(account));
    account->demand = current_demand(account, now) +
                      (double)report->wanted / demand_time_s(account);
    account->demand_at = now;
    update_state(owner, account, now);
    bb_quota_grant_t grant = describe(owner, account, now);
    if (account->state == BB_QUOTA_CALM) {
        grant.tokens = (int64_t)credit_limit(
            owner, account, (double)report->demand_milli / 1000.0,
            account->demand);
    }
    else if (report->held >= 0) {
        grant.tokens = round_randomly(
            owner, lease_size(owner, account, report, account->demand));
        account->level -= (double)grant.tokens;
        owner->leased += grant.tokens;
    }
    account->listed_in = owner->responses;
    BbQuotaWire_AddGrant(response, &grant);
}

/* Adds an account that the node has not reported on, and that the response
 * does not list yet. */
static void
list_account(bb_quota_owner_t *owner, account_t *account, double now,
             GString *response)
{
    bb_quota_grant_t grant = describe(owner, account, now);

    if (account->listed_in == owner->responses) {
        return;
    }
    if (account->state == BB_QUOTA_CALM) {
        grant.tokens = (int64_t)credit_limit(owner, account, 0, 0);
    }
    account->listed_in = owner->responses;
    BbQuotaWire_AddGrant(response, &grant);
}

/* Lists tight accounts that the node has not reported on. */
static void
add_tight_accounts(bb_quota_owner_t *owner, double now, GString *response)
{
    size_t listed = 0;

    for (guint i = owner->tight->len; i > 0 && listed < LISTED_MAX; i--) {
        account_t *account = g_ptr_array_index(owner->tight, i - 1);
        refill(owner, account, now);
        update_state(owner, account, now);
        if (account->state == BB_QUOTA_TIGHT &&
            account->listed_in != owner->responses) {
            list_account(owner, account, now, response);
            listed++;
        }
    }
}

/* Lists the next tight accounts in turn. This also detects those that have
 * become calm without a report. */
static void
add_next_tight_accounts(bb_quota_owner_t *owner, double now, GString *response)
{
    for (int i = 0; i < LISTED_MAX && owner->tight->len > 0; i++) {
        if (owner->next_listed >= owner->tight->len) {
            owner->next_listed = 0;
        }
        account_t *account =
            g_ptr_array_index(owner->tight, owner->next_listed);
        refill(owner, account, now);
        update_state(owner, account, now);
        /* One that has become calm was replaced by another one. */
        owner->next_listed += account->state == BB_QUOTA_TIGHT;
        list_account(owner, account, now, response);
    }
}

/* Lists the accounts whose state has changed since the last response that the
 * node has seen. Returns whether there are more. */
static bool
add_changes(bb_quota_owner_t *owner, node_t *node, double now,
            GString *response)
{
    account_t *first = NULL;
    size_t listed = 0;

    if (owner->changed != NULL) {
        account_t *account = owner->changed->prev; /* the latest change */
        while (account->changed_in > node->seen_changes) {
            first = account;
            if (account == owner->changed) {
                break;
            }
            account = account->prev;
        }
    }
    node->sent_changes = node->seen_changes;
    for (account_t *account = first; account != NULL;
         account = account->next) {
        if (listed == CHANGES_MAX) {
            return true;
        }
        /* A node that has seen no list takes each account for calm. */
        if (account->state == BB_QUOTA_TIGHT || node->seen_changes > 0) {
            list_account(owner, account, now, response);
            listed++;
        }
        node->sent_changes = account->changed_in;
    }
    return false;
}

/* Lists the accounts that the node has not reported on and that it should know
 * of, as far as there is room. */
static void
add_unreported(bb_quota_owner_t *owner, node_t *node, double now,
               bb_quota_grant_head_t *head, GString *response)
{
    head->is_complete = owner->tight->len <= LISTED_MAX;
    if (head->is_complete) {
        add_tight_accounts(owner, now, response);
        if (node != NULL) {
            node->sent_changes = owner->changes;
        }
        return;
    }
    add_next_tight_accounts(owner, now, response);
    head->has_more = node != NULL && add_changes(owner, node, now, response);
}

bool
BbQuotaOwner_HandleReport(bb_quota_owner_t *owner, char *text, double now,
                          GString *response)
{
    char *cursor = text;
    bb_quota_report_head_t head;
    bb_quota_report_t report;

    if (!BbQuotaWire_ParseReportHead(&cursor, &head)) {
        return false;
    }
    count_nodes(owner, now);
    bool is_in_order;
    node_t *node = note_node(owner, &head, now, &is_in_order);
    if (head.is_new) {
        charge_new_node(owner);
    }
    owner->last_report_at = now;
    owner->responses++;
    bb_quota_grant_head_t grant_head = {
        .sequence = head.sequence,
        .age_ms = (int64_t)((now - owner->owner_since) * 1000),
    };
    GString *lines = owner->lines;
    g_string_truncate(lines, 0);
    while (BbQuotaWire_NextReport(&cursor, &report)) {
        apply_report(owner, &report, is_in_order, now, lines);
    }
    add_unreported(owner, node, now, &grant_head, lines);
    BbQuotaWire_AddGrantHead(response, &grant_head);
    g_string_append_len(response, lines->str, (gssize)lines->len);
    return true;
}

int64_t
BbQuotaOwner_LeasedTokens(const bb_quota_owner_t *owner)
{
    return owner->leased;
}

double
BbQuotaOwner_Level(const bb_quota_owner_t *owner, const char *account)
{
    const account_t *found = g_hash_table_lookup(owner->accounts, account);

    return found != NULL ? found->level : 0.0;
}

bb_quota_owner_t *
BbQuotaOwner_New(const bb_quota_owner_options_t *options)
{
    bb_quota_owner_t *owner = g_new0(bb_quota_owner_t, 1);

    owner->options = *options;
    owner->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_account);
    owner->limits =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_limit);
    owner->nodes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    owner->tight = g_ptr_array_new();
    owner->lines = g_string_new(NULL);
    return owner;
}

void
BbQuotaOwner_Free(bb_quota_owner_t *owner)
{
    if (owner != NULL) {
        g_hash_table_destroy(owner->accounts);
        g_hash_table_destroy(owner->limits);
        g_hash_table_destroy(owner->nodes);
        g_ptr_array_unref(owner->tight);
        g_string_free(owner->lines, TRUE);
        g_free(owner);
    }
}
