/*
 * bb_name_table - bounded tables of records by name
 *
 * The names come from configurations or messages of other nodes, so their
 * number must be limited. A full table is cleared: the records are moving
 * averages and the like, which are soon known again.
 *
 * USE
 *   table = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
 *   record = BbNameTable_Get(table, name, sizeof(*record), MAX_CLASSES);
 */
#ifndef BB_NAME_TABLE_H
#define BB_NAME_TABLE_H

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

/* The record of the name. One that is not there is added, filled with zeros,
 * after a table with max records was cleared. */
void *BbNameTable_Get(GHashTable *table, const char *name, size_t record_size,
                      guint max);

#ifdef __cplusplus
}
#endif

#endif
