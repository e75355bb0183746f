#include "bb_readers.h"

#include <string.h>

/* A node and the hash of its name, for ranking. */
typedef struct {
    bb_endpoint_t *endpoint;
    guint hash;
} ranked_node_t;

struct bb_readers {
    const bb_fleet_t *fleet;
    uint64_t generation;    /* of the records in use */
    GHashTable *nodes;      /* names of the readers */
    GPtrArray *by_rank;     /* readers in the order of compare_rank() */
    GPtrArray *rank;        /* last result of BbReaders_ListOthers(); not the
                             rank of a call */
    char *rank_data_centre; /* of rank; NULL without result */
    GHashTable *per_data_centre; /* name to number of readers */
};

static void
collect_node(bb_endpoint_t *endpoint, void *arg)
{
    if (!endpoint->is_removed) {
        const ranked_node_t ranked = {endpoint, g_str_hash(endpoint->node)};
        g_array_append_val((GArray *)arg, ranked);
    }
}

/* Fastest link first; equal links are ordered by the hash of the name, which
 * spreads the readers over the names. */
static gint
compare_rank(gconstpointer a, gconstpointer b)
{
    const ranked_node_t *x = a, *y = b;
    int x_mbps = x->endpoint->record.link_mbps;
    int y_mbps = y->endpoint->record.link_mbps;

    if (x_mbps != y_mbps) {
        return x_mbps > y_mbps ? -1 : 1;
    }
    if (x->hash != y->hash) {
        return x->hash < y->hash ? -1 : 1;
    }
    return strcmp(x->endpoint->node, y->endpoint->node);
}

/* Makes the next node in the order of compare_rank() a reader, unless its data
 * centre has enough. */
static void
select_reader(bb_readers_t *readers, bb_endpoint_t *endpoint,
              bool is_small_fleet)
{
    const char *data_centre = endpoint->record.data_centre;
    int count = GPOINTER_TO_INT(
        g_hash_table_lookup(readers->per_data_centre, data_centre));

    if (!is_small_fleet && count >= BB_READERS_PER_DATA_CENTRE) {
        return;
    }
    g_hash_table_replace(readers->per_data_centre, g_strdup(data_centre),
                         GINT_TO_POINTER(count + 1));
    g_hash_table_add(readers->nodes, g_strdup(endpoint->node));
    g_ptr_array_add(readers->by_rank, endpoint);
}

static void
refresh(bb_readers_t *readers)
{
    uint64_t generation = BbFleet_Generation(readers->fleet);

    if (readers->generation == generation) {
        return;
    }
    GArray *all = g_array_new(FALSE, FALSE, sizeof(ranked_node_t));
    BbFleet_ForEach(readers->fleet, collect_node, all);
    g_array_sort(all, compare_rank);
    g_hash_table_remove_all(readers->nodes);
    g_hash_table_remove_all(readers->per_data_centre);
    g_ptr_array_set_size(readers->by_rank, 0);
    g_clear_pointer(&readers->rank_data_centre, g_free);
    for (guint i = 0; i < all->len; i++) {
        select_reader(readers, g_array_index(all, ranked_node_t, i).endpoint,
                      all->len <= BB_READERS_MAX_ALL_READ);
    }
    g_array_unref(all);
    readers->generation = generation;
}

bool
BbReaders_IsReader(bb_readers_t *readers, const char *own_node)
{
    const bb_endpoint_t *own = BbFleet_Find(readers->fleet, own_node);

    refresh(readers);
    return own == NULL || own->is_removed ||
           g_hash_table_contains(readers->nodes, own_node);
}

static void
add_other_readers(const bb_readers_t *readers, const char *data_centre,
                  bool is_near, GPtrArray *out)
{
    for (guint i = 0; i < readers->by_rank->len; i++) {
        bb_endpoint_t *endpoint = g_ptr_array_index(readers->by_rank, i);
        bool is_same = strcmp(endpoint->record.data_centre, data_centre) == 0;
        if (!endpoint->is_local && is_same == is_near) {
            g_ptr_array_add(out, endpoint);
        }
    }
}

const GPtrArray *
BbReaders_ListOthers(bb_readers_t *readers, const char *data_centre)
{
    refresh(readers);
    if (g_strcmp0(readers->rank_data_centre, data_centre) != 0) {
        g_ptr_array_set_size(readers->rank, 0);
        add_other_readers(readers, data_centre, true, readers->rank);
        add_other_readers(readers, data_centre, false, readers->rank);
        g_free(readers->rank_data_centre);
        readers->rank_data_centre = g_strdup(data_centre);
    }
    return readers->rank;
}

bb_readers_t *
BbReaders_New(const bb_fleet_t *fleet)
{
    bb_readers_t *readers = g_new0(bb_readers_t, 1);

    readers->fleet = fleet;
    readers->nodes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    readers->per_data_centre =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    readers->by_rank = g_ptr_array_new();
    readers->rank = g_ptr_array_new();
    return readers;
}

void
BbReaders_Free(bb_readers_t *readers)
{
    if (readers == NULL) {
        return;
    }
    g_hash_table_destroy(readers->nodes);
    g_hash_table_destroy(readers->per_data_centre);
    g_ptr_array_unref(readers->by_rank);
    g_ptr_array_unref(readers->rank);
    g_free(readers->rank_data_centre);
    g_free(readers);
}
