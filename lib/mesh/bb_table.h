/*
 * bb_table - tables of a shared store, as a node uses them
 *
 * What speaks to a store stands behind bb_table_ops_t; lib/ knows rows,
 * versions and errors only.
 *
 * ERRORS in bb_table_result_t
 *   0; BB_ERR_UNAVAILABLE (no answer, or one that says nothing was done; a
 *   write may still take effect later); BB_ERR_LIMIT (too many calls);
 *   BB_ERR_STALE (the history asked for is gone); BB_ERR_CONFLICT (the row
 *   has another version, told in rows); BB_ERR_PARSE.
 */
#ifndef BB_TABLE_H
#define BB_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    const char *key;
    const char *value; /* size bytes */
    size_t size;
    int64_t version;
    bool is_removed;
} bb_table_row_t;

typedef struct {
    int error;
    const bb_table_row_t *rows;
    size_t count;
    int64_t version; /* newest of the store at that moment */
    bool has_more;   /* read on after the last key */
} bb_table_result_t;

typedef void (*bb_table_done_t)(const bb_table_result_t *result, void *arg);

typedef struct bb_table_store bb_table_store_t;

/* Each call returns a handle for cancel(); done is called once, later. */
typedef struct {
    /* Rows with keys after the given one; NULL for all. */
    void *(*read)(bb_table_store_t *store, const char *table,
                  const char *after_key, bb_table_done_t done, void *arg);
    /* Waits up to wait_s for rows changed after a version. */
    void *(*feed)(bb_table_store_t *store, const char *table,
                  int64_t after_version, double wait_s, bb_table_done_t done,
                  void *arg);
    /* Writes one row if its version is the expected one, 0 for a new row;
     * value NULL removes it. */
    void *(*write)(bb_table_store_t *store, const char *table, const char *key,
                   const char *value, size_t size, int64_t expected,
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
