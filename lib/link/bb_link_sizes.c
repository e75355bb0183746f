#include "bb_link_sizes.h"

#include <glib.h>
#include <math.h>

#include "bb_link_queue.h"

/* Weight of the newest response in the mean. */
#define SIZE_WEIGHT 0.1

/* Without new responses the mean decays after MEAN_FRESH_S. Sizes depend on
 * the class and hardly on the load, so this is slower than for the service
 * times in bb_slot_queue.c. */
#define MEAN_FRESH_S 10.0
#define MEAN_DECAY_S 20.0

#define MAX_CLASSES 512

typedef struct {
    double mean;
    double measured_at;
} size_mean_t;

struct bb_link_sizes {
    GHashTable *classes; /* name to size_mean_t */
};

bb_link_sizes_t *
BbLinkSizes_New(void)
{
    bb_link_sizes_t *sizes = g_new0(bb_link_sizes_t, 1);

    sizes->classes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return sizes;
}

void
BbLinkSizes_Free(bb_link_sizes_t *sizes)
{
    if (sizes != NULL) {
        g_hash_table_destroy(sizes->classes);
        g_free(sizes);
    }
}

static double
current_mean(const size_mean_t *size, double now)
{
    double age = now - size->measured_at - MEAN_FRESH_S;

    return age > 0 ? size->mean * exp(-age / MEAN_DECAY_S) : size->mean;
}

void
BbLinkSizes_Add(bb_link_sizes_t *sizes, const char *class_name, size_t bytes,
                double now)
{
    if (class_name == NULL) {
        return;
    }
    size_mean_t *size = g_hash_table_lookup(sizes->classes, class_name);
    double mean = (double)bytes;

    if (size != NULL) {
        double old = current_mean(size, now);
        mean = old + SIZE_WEIGHT * (mean - old);
    }
    else {
        if (g_hash_table_size(sizes->classes) >= MAX_CLASSES) {
            g_hash_table_remove_all(sizes->classes);
        }
        size = g_new0(size_mean_t, 1);
        g_hash_table_insert(sizes->classes, g_strdup(class_name), size);
    }
    size->mean = mean;
    size->measured_at = now;
}

double
BbLinkSizes_Bulk(const bb_link_sizes_t *sizes, const char *class_name,
                 double now)
{
    const size_mean_t *size =
        class_name != NULL ? g_hash_table_lookup(sizes->classes, class_name)
                           : NULL;
    double mean = size != NULL ? current_mean(size, now) : 0;

    return mean > BB_LINK_BULK_BYTES ? mean : 0;
}
