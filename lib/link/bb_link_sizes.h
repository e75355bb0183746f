/*
 * bb_link_sizes - mean response size of each class of calls
 *
 * Kept by the node beside a target for admission by bytes, and by the node of
 * the caller for placement. The mean of a class without new responses decays,
 * so that a class that was refused for its size is tried again.
 *
 * USE
 *   BbLinkSizes_Add(sizes, class_name, bytes, now);
 *   bytes = BbLinkSizes_Bulk(sizes, class_name, now);
 *
 * LIMITS
 *   At most MAX_CLASSES classes (bb_link_sizes.c); more restart the table.
 */
#ifndef BB_LINK_SIZES_H
#define BB_LINK_SIZES_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_link_sizes bb_link_sizes_t;

bb_link_sizes_t *BbLinkSizes_New(void);
void BbLinkSizes_Free(bb_link_sizes_t *sizes);

/* Adds the size of one successful response. now is in seconds. */
void BbLinkSizes_Add(bb_link_sizes_t *sizes, const char *class_name,
                     size_t bytes, double now);

/* Mean size of the responses of a class in bytes; 0 if they are not large or
 * the class is unknown. class_name may be NULL. */
double BbLinkSizes_Bulk(const bb_link_sizes_t *sizes, const char *class_name,
                        double now);

#ifdef __cplusplus
}
#endif

#endif
