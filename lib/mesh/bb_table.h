/*
 * bb_table - interface to the tables of a shared store
 *
 * bb_table_ops_t is implemented by the client of each kind of store; the code
 * in lib/ depends on rows, versions and errors only.
 *
 * ERRORS in bb_table_result_t
 *   0                   success
 *   BB_ERR_UNAVAILABLE  no response, or one that reports that nothing was
 *                       done; a write may still take effect later
 *   BB_ERR_LIMIT        too many calls
 *   BB_ERR_STALE        the store no longer has the changes after that version
 *   BB_ERR_CONFLICT     the row has another version, which is in rows
 *   BB_ERR_PARSE        the response could not be parsed
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
    int64_t version; /* newest version of the store at that time */
    bool has_more;   /* more rows follow after the last key */
} bb_table_result_t;

typedef void (*bb_table_done_t)(const bb_table_result_t *result, void *arg);

typedef struct bb_table_store bb_table_store_t;

/* read, feed and write return a handle for cancel(); done is called once,
 * after they have returned. */
typedef struct {
    /* Reads rows with keys after after_key, or from the first one if NULL. */
    void *(*read)(bb_table_store_t *store, const char *table,
                  const char *after_key, bb_table_done_t done, void *arg);
    /* Reads the rows changed after a version; waits up to wait_s for one. */
    void *(*feed)(bb_table_store_t *store, const char *table,
                  int64_t after_version, double wait_s, bb_table_done_t done,
                  void *arg);
    /* Writes one row if its version equals expected, 0 for a new row. value
     * NULL removes the row. */
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
