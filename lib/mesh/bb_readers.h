/*
 * bb_readers - which nodes read the store for the others
 *
 * A call of every node for every change would cost calls in proportion to the
 * fleet and bytes that small links do not have. In each data centre the
 * BB_READERS_PER_DATA_CENTRE nodes with the widest links read; the others ask
 * them. All nodes work the roles out from the same records; while records
 * differ, more or fewer nodes read for a moment, which costs calls and breaks
 * nothing. A small fleet has no need for roles: every node reads.
 *
 * USE
 *   readers = BbReaders_New(fleet); the roles are worked out again after
 *   records have changed, with the first question that follows.
 */
#ifndef BB_READERS_H
#define BB_READERS_H

#include "bb_fleet.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_READERS_PER_DATA_CENTRE 2

/* Up to this number of nodes each one reads. */
#define BB_READERS_ALL 24

typedef struct bb_readers bb_readers_t;

/* The fleet is borrowed. */
bb_readers_t *BbReaders_New(const bb_fleet_t *fleet);
void BbReaders_Free(bb_readers_t *readers);

/* Whether this node reads the store; true while it knows too little. */
bool BbReaders_IsOwn(bb_readers_t *readers, const char *own_node);

/* Other nodes that read, best first: those of the data centre, then others.
 * Borrowed; valid until records change. */
const GPtrArray *BbReaders_Rank(bb_readers_t *readers,
                                const char *data_centre);

#ifdef __cplusplus
}
#endif

#endif
