#include "bb_quota_owners.h"

#include <string.h>

#include "bb_quota.h"

/* Nodes for which one owner is enough: 312 messages a second at 4 of each
 * node. */
#define NODES_PER_SLOT 80

/* Nodes among which the owner of a slot is chosen, besides one per slot: those
 * that replace an owner must have fast links too. */
#define SPARE_NODES (BB_QUOTA_CANDIDATES - 1)

typedef struct {
    bb_endpoint_t *endpoint;
    uint64_t hash;
} ranked_t;

static void
collect(bb_endpoint_t *endpoint, void *arg)
{
    if (!endpoint->is_removed) {
        const ranked_t ranked = {endpoint, BbQuota_Hash(0, endpoint->node)};
        g_array_append_val((GArray *)arg, ranked);
    }
}

static gint
compare_hash(gconstpointer a, gconstpointer b)
{
    const ranked_t *x = a, *y = b;

    if (x->hash != y->hash) {
        return x->hash > y->hash ? -1 : 1;
    }
    return strcmp(x->endpoint->node, y->endpoint->node);
}

static gint
compare_link(gconstpointer a, gconstpointer b)
{
    const ranked_t *x = a, *y = b;
    int x_mbps = x->endpoint->record.link_mbps;
    int y_mbps = y->endpoint->record.link_mbps;

    if (x_mbps != y_mbps) {
        return x_mbps > y_mbps ? -1 : 1;
    }
    return compare_hash(a, b);
}

size_t
BbQuotaOwners_SlotCount(const bb_fleet_t *fleet)
{
    size_t nodes = BbFleet_NodeCount(fleet);

    return MAX((nodes + NODES_PER_SLOT / 2) / NODES_PER_SLOT, 1);
}

GPtrArray *
BbQuotaOwners_List(const bb_fleet_t *fleet, size_t slot, size_t slots)
{
    GArray *nodes = g_array_new(FALSE, FALSE, sizeof(ranked_t));
    GPtrArray *list = g_ptr_array_new();

    BbFleet_ForEach(fleet, collect, nodes);
    g_array_sort(nodes, compare_link);
    g_array_set_size(nodes, MIN(nodes->len, (guint)(slots + SPARE_NODES)));
    for (guint i = 0; i < nodes->len; i++) {
        ranked_t *ranked = &g_array_index(nodes, ranked_t, i);
        ranked->hash = BbQuota_Hash(slot + 1, ranked->endpoint->node);
    }
    g_array_sort(nodes, compare_hash);
    for (guint i = 0; i < nodes->len && i < BB_QUOTA_CANDIDATES; i++) {
        g_ptr_array_add(list, g_array_index(nodes, ranked_t, i).endpoint);
    }
    g_array_unref(nodes);
    return list;
}
