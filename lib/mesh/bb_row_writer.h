/*
 * bb_row_writer - keeps one row of the store equal to a given value
 *
 * Each write is conditional on the position that it replaces. A write whose
 * response was lost, and which takes effect late, can therefore not overwrite
 * a later one. A row that the store has lost in a restore is written again.
 *
 * USE
 *   BbRowWriter_Set(writer, text) when the value changes; NULL removes the
 *   row. BbRowWriter_Observe() with each state of the row that was read from
 *   the store, BbRowWriter_ObserveTable() when all rows have been. A value
 *   that the row already has is not written again.
 */
#ifndef BB_ROW_WRITER_H
#define BB_ROW_WRITER_H

#include <ev.h>

#include "bb_random.h"
#include "bb_table.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_row_writer bb_row_writer_t;

typedef struct {
    struct ev_loop *loop;
    bb_table_store_t *store;
    const char *table;
    const char *key;
    bb_random_t *random;
    /* Called when a write has failed because another writer, or an earlier
     * process of this node, has written the row, before that row is replaced.
     * The function may call BbRowWriter_Set(). May be NULL. */
    void (*on_conflict)(const bb_table_row_t *row, void *arg);
    /* Called when the store has acknowledged the wanted value. May be NULL. */
    void (*on_done)(void *arg);
    void *arg;
} bb_row_writer_options_t;

bb_row_writer_t *BbRowWriter_New(const bb_row_writer_options_t *options);
void BbRowWriter_Free(bb_row_writer_t *writer);

/* Sets the wanted value of the row; NULL for no row. */
void BbRowWriter_Set(bb_row_writer_t *writer, const char *value);

/* Reports the value of the row at a position; NULL if it does not exist then.
 * If another writer, a late write of an earlier process, or a restore of the
 * store has changed the row, it is written again. */
void BbRowWriter_Observe(bb_row_writer_t *writer, bb_position_t position,
                         const char *value, size_t size);

/* Reports that all rows of the table up to this position have been observed.
 * If the row is known from an earlier generation only, it is lost. */
void BbRowWriter_ObserveTable(bb_row_writer_t *writer, bb_position_t position);

/* True when the store has acknowledged the wanted value. */
bool BbRowWriter_IsDone(const bb_row_writer_t *writer);

#ifdef __cplusplus
}
#endif

#endif
