#include "bb_name_table.h"

void *
BbNameTable_Get(GHashTable *table, const char *name, size_t record_size,
                guint max)
{
    void *record = g_hash_table_lookup(table, name);

    if (record == NULL) {
        if (g_hash_table_size(table) >= max) {
            g_hash_table_remove_all(table);
        }
        record = g_malloc0(record_size);
        g_hash_table_insert(table, g_strdup(name), record);
    }
    return record;
}
