/*
 * bb_readers - selects the nodes that read the store for the others
 *
 * If every node read every change, the calls to the store would grow with the
 * fleet, and nodes with small links could not carry the bytes. In each data
 * centre the BB_READERS_PER_DATA_CENTRE nodes with the fastest links read; the
 * others ask them. All nodes derive the readers from the same records. While
 * records differ, more or fewer nodes read for a moment, which costs calls but
 * is safe. In a small fleet every node reads.
 *
 * USE
 *   readers = BbReaders_New(fleet); the first query after a change of
 *   records selects the readers again.
 */
#ifndef BB_READERS_H
#define BB_READERS_H

#include "bb_fleet.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_READERS_PER_DATA_CENTRE 2

/* Largest fleet in which every node reads. */
#define BB_READERS_MAX_ALL_READ 24

typedef struct bb_readers bb_readers_t;

/* The fleet is borrowed. */
bb_readers_t *BbReaders_New(const bb_fleet_t *fleet);
void BbReaders_Free(bb_readers_t *readers);

/* Whether this node reads the store; true while its own record is not known.
 */
bool BbReaders_IsReader(bb_readers_t *readers, const char *own_node);

/* Returns the readers other than this node: those of the data centre first,
 * then the others, fastest link first in both. Borrowed; valid until records
 * change. */
const GPtrArray *BbReaders_ListOthers(bb_readers_t *readers,
                                      const char *data_centre);

#ifdef __cplusplus
}
#endif

#endif
