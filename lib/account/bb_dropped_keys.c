#include "bb_dropped_keys.h"

#include <glib.h>

struct bb_dropped_keys {
    GHashTable *digests; /* of uint64_t, owned */
    GQueue order;        /* the same uint64_t, oldest first */
};

bb_dropped_keys_t *
BbDroppedKeys_New(void)
{
    bb_dropped_keys_t *dropped = g_new0(bb_dropped_keys_t, 1);

    dropped->digests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    g_queue_init(&dropped->order);
    return dropped;
}

void
BbDroppedKeys_Free(bb_dropped_keys_t *dropped)
{
    if (dropped != NULL) {
        g_queue_clear(&dropped->order);
        g_hash_table_destroy(dropped->digests);
        g_free(dropped);
    }
}

static void
remove_digest(uint64_t digest, void *arg)
{
    bb_dropped_keys_t *dropped = arg;
    gpointer stored = NULL;

    if (g_hash_table_lookup_extended(dropped->digests, &digest, &stored,
                                     NULL)) {
        g_queue_remove(&dropped->order, stored);
        g_hash_table_remove(dropped->digests, stored);
    }
}

static void
add_digest(uint64_t digest, void *arg)
{
    bb_dropped_keys_t *dropped = arg;

    if (g_hash_table_contains(dropped->digests, &digest)) {
        return;
    }
    if (dropped->order.length >= BB_DROPPED_KEYS_MAX) {
        g_hash_table_remove(dropped->digests,
                            g_queue_pop_head(&dropped->order));
    }
    uint64_t *stored = g_new(uint64_t, 1);
    *stored = digest;
    g_hash_table_add(dropped->digests, stored);
    g_queue_push_tail(&dropped->order, stored);
}

size_t
BbDroppedKeys_Update(bb_dropped_keys_t *dropped,
                     const bb_account_table_t *old_accounts,
                     const bb_account_table_t *new_accounts)
{
    BbAccountTable_ForEachMissingKey(new_accounts, old_accounts, remove_digest,
                                     dropped);
    return BbAccountTable_ForEachMissingKey(old_accounts, new_accounts,
                                            add_digest, dropped);
}

bool
BbDroppedKeys_Contains(const bb_dropped_keys_t *dropped, uint64_t digest)
{
    return dropped != NULL && digest != 0 &&
           g_hash_table_contains(dropped->digests, &digest);
}
