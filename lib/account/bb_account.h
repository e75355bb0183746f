/*
 * bb_account - client accounts of one configuration version, and their keys
 *
 * Callers identify themselves with a key. The table finds the account of a
 * key by a SHA-256 digest; the keys themselves are not stored.
 *
 * USE
 *   table = BbAccountTable_New();
 *   account = BbAccountTable_Add(table, &options);
 *   error = BbAccountTable_AddKey(table, account, "m4n79acpvj6vk9tie4cn");
 *   account = BbAccountTable_Find(table, key, &digest);
 *
 * ERRORS
 *   BB_ERR_CONFLICT  another account has the key
 *   BB_ERR_ARGUMENT  the key is empty
 *
 * LIMITS
 *   A key costs about 100 bytes and a lookup one digest.
 */
#ifndef BB_ACCOUNT_H
#define BB_ACCOUNT_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Largest rate_per_s and burst. Quota modules convert products of these
 * figures, such as 1,000 times the rate, to 64-bit integers. */
#define BB_ACCOUNT_QUOTA_MAX 1e9

typedef struct {
    char *name;
    int rank;          /* of the account's calls; 0 is the most urgent */
    double rate_per_s; /* quota of calls, over all nodes; 0 for no limit */
    double burst;      /* calls beyond the rate, over all nodes */
} bb_account_t;

typedef struct bb_account_table bb_account_table_t;

bb_account_table_t *BbAccountTable_New(void);
void BbAccountTable_Free(bb_account_table_t *table);

/* Copies the account. The result belongs to the table. */
const bb_account_t *BbAccountTable_Add(bb_account_table_t *table,
                                       const bb_account_t *account);

/* Returns 0 or one of the errors above. A key that the account has already is
 * not an error. */
int BbAccountTable_AddKey(bb_account_table_t *table,
                          const bb_account_t *account, const char *key);

/* Returns the account of a key, or NULL. *digest gets BbAccount_KeyDigest().
 * key may be NULL. */
const bb_account_t *BbAccountTable_Find(const bb_account_table_t *table,
                                        const char *key, uint64_t *digest);

/* Returns the account with a name, or NULL. name may be NULL. */
const bb_account_t *BbAccountTable_FindByName(const bb_account_table_t *table,
                                              const char *name);

size_t BbAccountTable_Count(const bb_account_table_t *table);
/* Number of keys of one account of the table. */
size_t BbAccountTable_AccountKeyCount(const bb_account_table_t *table,
                                      const bb_account_t *account);
size_t BbAccountTable_KeyCount(const bb_account_table_t *table);

/* The first 8 bytes of the digest of a key: identifies it between nodes. */
uint64_t BbAccount_KeyDigest(const char *key);

/* Calls visit with the digest of each key that other lacks; returns how many.
 * Either table may be NULL, which has no keys. */
size_t BbAccountTable_ForEachMissingKey(
    const bb_account_table_t *table, const bb_account_table_t *other,
    void (*visit)(uint64_t digest, void *arg), void *arg);

/* Calls visit for each account, in the order of addition. */
void BbAccountTable_ForEach(const bb_account_table_t *table,
                            void (*visit)(const bb_account_t *account,
                                          void *arg),
                            void *arg);

#ifdef __cplusplus
}
#endif

#endif
