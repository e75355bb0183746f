/*
 * bb_readers - which nodes read the store for the others
 *
 * A call of every node for every change would cost calls in proportion to the
 * fleet and bytes that small links do not have. In each data centre the
 * BB_READERS_PER_DATA_CENTRE nodes with the widest links read; the others ask
 * two of them. All nodes work the roles out from the same records; while
 * records differ, more or fewer nodes read for a moment, which costs calls
 * and breaks nothing. A small fleet has no need for roles: every node reads.
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

/* Whether this node reads the store; true while it knows too little. */
bool BbReaders_IsOwn(const bb_fleet_t *fleet, const char *own_node);

/* Readers that a node may ask, best first: those of its data centre, then
 * others. Borrowed endpoints; free the array. */
GPtrArray *BbReaders_Rank(const bb_fleet_t *fleet, const char *data_centre);

#ifdef __cplusplus
}
#endif

#endif
