#include "bb_readers.h"

#include <string.h>

static void
collect(bb_endpoint_t *endpoint, void *arg)
{
    if (!endpoint->is_removed) {
        g_ptr_array_add(arg, endpoint);
    }
}

/* Widest link first; the hash spreads the role over equal ones. */
static gint
compare_rank(gconstpointer a, gconstpointer b)
{
    const bb_endpoint_t *x = *(bb_endpoint_t *const *)a;
    const bb_endpoint_t *y = *(bb_endpoint_t *const *)b;

    if (x->record.link_mbps != y->record.link_mbps) {
        return x->record.link_mbps > y->record.link_mbps ? -1 : 1;
    }
    guint hash_x = g_str_hash(x->node), hash_y = g_str_hash(y->node);
    if (hash_x != hash_y) {
        return hash_x < hash_y ? -1 : 1;
    }
    return strcmp(x->node, y->node);
}

static GPtrArray *
all_by_rank(const bb_fleet_t *fleet)
{
    GPtrArray *all = g_ptr_array_new();

    BbFleet_ForEach(fleet, collect, all);
    g_ptr_array_sort(all, compare_rank);
    return all;
}

static int
count_before(const GPtrArray *all, guint index)
{
    const bb_endpoint_t *endpoint = g_ptr_array_index(all, index);
    int before = 0;

    for (guint i = 0; i < index; i++) {
        const bb_endpoint_t *other = g_ptr_array_index(all, i);
        before += strcmp(other->record.data_centre,
                         endpoint->record.data_centre) == 0;
    }
    return before;
}

static bool
is_reader(const GPtrArray *all, guint index)
{
    return all->len <= BB_READERS_ALL ||
           count_before(all, index) < BB_READERS_PER_DATA_CENTRE;
}

bool
BbReaders_IsOwn(const bb_fleet_t *fleet, const char *own_node)
{
    GPtrArray *all = all_by_rank(fleet);
    bool is_own = true;

    for (guint i = 0; i < all->len; i++) {
        const bb_endpoint_t *endpoint = g_ptr_array_index(all, i);
        if (strcmp(endpoint->node, own_node) == 0) {
            is_own = is_reader(all, i);
        }
    }
    g_ptr_array_unref(all);
    return is_own;
}

GPtrArray *
BbReaders_Rank(const bb_fleet_t *fleet, const char *data_centre)
{
    GPtrArray *all = all_by_rank(fleet);
    GPtrArray *near = g_ptr_array_new();
    GPtrArray *far = g_ptr_array_new();

    for (guint i = 0; i < all->len; i++) {
        bb_endpoint_t *endpoint = g_ptr_array_index(all, i);
        if (endpoint->is_local || !is_reader(all, i)) {
            continue;
        }
        bool is_near = strcmp(endpoint->record.data_centre, data_centre) == 0;
        g_ptr_array_add(is_near ? near : far, endpoint);
    }
    for (guint i = 0; i < far->len; i++) {
        g_ptr_array_add(near, g_ptr_array_index(far, i));
    }
    g_ptr_array_unref(far);
    g_ptr_array_unref(all);
    return near;
}
