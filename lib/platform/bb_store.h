/*
 * bb_store - tables and objects of the platform stand-in
 *
 * Implements the rules of the protocol in bb_platform_io.h without sockets
 * and without a clock: functions that depend on the time take the platform's
 * time as a parameter, so that tests can let rows expire.
 *
 * LIMITS
 *   Nothing is stored on disk. One counter numbers the revisions of all
 *   tables, so that a row that is deleted and inserted again never gets an
 *   earlier revision.
 */
#ifndef BB_STORE_H
#define BB_STORE_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_store bb_store_t;

bb_store_t *BbStore_New(void);

void BbStore_Free(bb_store_t *store);

/* Returns the response (new reference), or NULL when the row is absent. */
json_t *BbStore_GetRow(bb_store_t *store, const char *table, const char *key,
                       int64_t now_ms);

/* Returns the response (new reference) with the rows sorted by key; prefix may
 * be NULL. */
json_t *BbStore_ListRows(bb_store_t *store, const char *table,
                         const char *prefix, int64_t now_ms);

/*
 * Returns 0, BB_ERR_CONFLICT or, for a malformed transaction,
 * BB_ERR_ARGUMENT. response is a new reference, NULL for BB_ERR_ARGUMENT.
 */
int BbStore_Commit(bb_store_t *store, const json_t *transaction,
                   int64_t now_ms, json_t **response);

/* Returns 1 when stored, 0 when the object exists with the same content, or
 * BB_ERR_CONFLICT when it exists with other content. */
int BbStore_PutObject(bb_store_t *store, const char *key, const char *content,
                      size_t size);

/* Returns the content, borrowed, or NULL when the object does not exist. */
const char *BbStore_GetObject(const bb_store_t *store, const char *key,
                              size_t *size);

/* Frees expired rows, which the other functions treat as absent already. */
void BbStore_Expire(bb_store_t *store, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
