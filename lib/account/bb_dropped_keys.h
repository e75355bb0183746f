/*
 * bb_dropped_keys - keys that newer configuration versions have removed
 *
 * A call may wait in a queue, or come from a node with an older version, when
 * a version removes its key. The set answers whether a key was removed without
 * a comparison of versions between nodes.
 *
 * USE
 *   BbDroppedKeys_Update(dropped, old_accounts, new_accounts) for each version
 *   that is put in force; then BbDroppedKeys_Contains(dropped, digest).
 *
 * LIMITS
 *   Keeps the last BB_DROPPED_KEYS_MAX removed keys.
 */
#ifndef BB_DROPPED_KEYS_H
#define BB_DROPPED_KEYS_H

#include <stdbool.h>

#include "bb_account.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_DROPPED_KEYS_MAX 4096

typedef struct bb_dropped_keys bb_dropped_keys_t;

bb_dropped_keys_t *BbDroppedKeys_New(void);
void BbDroppedKeys_Free(bb_dropped_keys_t *dropped);

/* Either table may be NULL: a version without accounts. A key that a version
 * adds again is no longer dropped. Returns the number of keys removed. */
size_t BbDroppedKeys_Update(bb_dropped_keys_t *dropped,
                            const bb_account_table_t *old_accounts,
                            const bb_account_table_t *new_accounts);

/* dropped may be NULL; digest 0 stands for a call without account. */
bool BbDroppedKeys_Contains(const bb_dropped_keys_t *dropped, uint64_t digest);

#ifdef __cplusplus
}
#endif

#endif
