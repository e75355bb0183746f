/*
 * bb_table - interface to the tables of a shared store
 *
 * bb_table_ops_t is implemented by the client of each kind of store; the code
 * in lib/ depends on rows, positions and errors only.
 *
 * A response of an earlier generation of the store than one already seen is
 * reported as BB_ERR_UNAVAILABLE: what it tells is no longer so.
 *
 * ERRORS in bb_table_result_t
 *   0                   success
 *   BB_ERR_UNAVAILABLE  no response, or one that reports that nothing was
 *                       done; a write may still take effect later
 *   BB_ERR_LIMIT        too many calls
 *   BB_ERR_STALE        the store does not have the changes after that
 *                       position: no longer, or it is one of before a restore
 *   BB_ERR_CONFLICT     the row has another position, which is in rows
 *   BB_ERR_PARSE        the response could not be parsed
 */
#ifndef BB_TABLE_H
#define BB_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bb_position.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    const char *key;
    const char *value; /* size bytes */
    size_t size;
    bb_position_t position;
    bool is_removed;
} bb_table_row_t;

typedef struct {
    int error;
    const bb_table_row_t *rows;
    size_t count;
    bb_position_t position; /* newest one of the store at that time */
    bool has_more;          /* more rows follow after the last key */
} bb_table_result_t;

typedef void (*bb_table_done_t)(const bb_table_result_t *result, void *arg);

typedef struct bb_table_store bb_table_store_t;

/* read, feed and write return a handle for cancel(); done is called once,
 * after they have returned. */
typedef struct {
    /* Reads rows with keys after after_key, or from the first one if NULL. */
    void *(*read)(bb_table_store_t *store, const char *table,
                  const char *after_key, bb_table_done_t done, void *arg);
    /* Reads the rows changed after a position; waits up to wait_s for one. */
    void *(*feed)(bb_table_store_t *store, const char *table,
                  bb_position_t after, double wait_s, bb_table_done_t done,
                  void *arg);
    /* Writes one row if its position equals expected, 0 for a new row. value
     * NULL removes the row. A position of an earlier generation is that of no
     * row, so the write ends with BB_ERR_CONFLICT. */
    void *(*write)(bb_table_store_t *store, const char *table, const char *key,
                   const char *value, size_t size, bb_position_t expected,
                   bb_table_done_t done, void *arg);
    void (*cancel)(bb_table_store_t *store, void *handle);
} bb_table_ops_t;

struct bb_table_store {
    const bb_table_ops_t *ops;
};

#ifdef __cplusplus
}
#endif

#endif
