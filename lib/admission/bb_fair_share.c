#include "bb_fair_share.h"

#include <glib.h>
#include <math.h>

/* Time constant of the use: long enough for a few calls of an account at one
 * target, shorter than the bursts of 3 to 7 s. */
#define USE_DECAY_S 3.0

/* An account whose decayed use is below this number of mean calls is
 * forgotten. */
#define MIN_CALLS 0.1

/* How often the sums are renewed and idle accounts are forgotten. */
#define RENEW_INTERVAL_S 0.5

#define MAX_RANKS 16

typedef struct {
    int rank;
    double used_s; /* decayed until renewed_at */
} account_use_t;

typedef struct {
    double used_s; /* sum over accounts */
    int accounts;
} rank_use_t;

struct bb_fair_share {
    GHashTable *accounts; /* name to account_use_t */
    rank_use_t ranks[MAX_RANKS];
    double call_s; /* mean use of one call */
    double renewed_at;
};

bb_fair_share_t *
BbFairShare_New(void)
{
    bb_fair_share_t *share = g_new0(bb_fair_share_t, 1);

    share->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return share;
}

void
BbFairShare_Free(bb_fair_share_t *share)
{
    if (share != NULL) {
        g_hash_table_destroy(share->accounts);
        g_free(share);
    }
}

/* Account names are not empty, see bb_account.h. */
static const char *
key_of(const char *account)
{
    return account != NULL ? account : "";
}

static rank_use_t *
rank_use(bb_fair_share_t *share, int rank)
{
    return &share->ranks[CLAMP(rank, 0, MAX_RANKS - 1)];
}

/* Decays all uses, forgets idle accounts and renews the sums. */
static void
renew(bb_fair_share_t *share, double now)
{
    double factor = exp(-(now - share->renewed_at) / USE_DECAY_S);
    GHashTableIter iter;
    gpointer value;

    for (int i = 0; i < MAX_RANKS; i++) {
        share->ranks[i] = (rank_use_t){0};
    }
    g_hash_table_iter_init(&iter, share->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        account_use_t *use = value;
        use->used_s *= factor;
        if (use->used_s < share->call_s * MIN_CALLS) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        rank_use_t *sum = rank_use(share, use->rank);
        sum->used_s += use->used_s;
        sum->accounts++;
    }
    share->renewed_at = now;
}

void
BbFairShare_Add(bb_fair_share_t *share, const char *account, int rank,
                double used_s, double now)
{
    if (now - share->renewed_at >= RENEW_INTERVAL_S) {
        renew(share, now);
    }
    account_use_t *use = g_hash_table_lookup(share->accounts, key_of(account));
    if (use == NULL) {
        use = g_new0(account_use_t, 1);
        use->rank = rank;
        g_hash_table_insert(share->accounts, g_strdup(key_of(account)), use);
        rank_use(share, rank)->accounts++;
    }
    const double newest_weight = 0.05;
    share->call_s +=
        share->call_s > 0 ? newest_weight * (used_s - share->call_s) : used_s;
    use->used_s += used_s;
    rank_use(share, use->rank)->used_s += used_s;
}

double
BbFairShare_Excess(const bb_fair_share_t *share, const char *account,
                   double now)
{
    const account_use_t *use =
        g_hash_table_lookup(share->accounts, key_of(account));

    if (use == NULL) {
        return 0;
    }
    double factor = exp(-MAX(now - share->renewed_at, 0.0) / USE_DECAY_S);
    const rank_use_t *sum = rank_use((bb_fair_share_t *)share, use->rank);
    double mean_s = factor * sum->used_s / MAX(sum->accounts, 1);
    double used_s = factor * use->used_s;
    /* one standard deviation of the number of calls */
    double certain_s = used_s - sqrt(used_s * share->call_s);
    return mean_s > 0 ? CLAMP(certain_s / mean_s - 1, 0.0, 1.0) : 0.0;
}
