#include "bb_account.h"

#include <glib.h>
#include <string.h>

#include "bb_error.h"

#define DIGEST_BYTES 32

struct bb_account_table {
    GPtrArray *accounts; /* bb_account_t, owned */
    GHashTable *by_name; /* name to bb_account_t */
    GHashTable *by_key;  /* digest to bb_account_t */
};

/* Digest of a key. Its first 8 bytes are the hash value in the table. */
typedef struct {
    uint64_t head;
    guint8 rest[DIGEST_BYTES - sizeof(uint64_t)];
} key_digest_t;

static key_digest_t
compute_digest(const char *key)
{
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    guint8 bytes[DIGEST_BYTES];
    gsize size = sizeof(bytes);
    key_digest_t digest;

    g_checksum_update(checksum, (const guchar *)key, (gssize)strlen(key));
    g_checksum_get_digest(checksum, bytes, &size);
    g_checksum_free(checksum);
    memcpy(digest.rest, bytes + sizeof(digest.head), sizeof(digest.rest));
    uint64_t head;
    memcpy(&head, bytes, sizeof(head));
    /* Nodes compare it, so it must not depend on their byte order. */
    digest.head = GUINT64_FROM_BE(head);
    return digest;
}

static guint
hash_digest(gconstpointer data)
{
    return (guint)((const key_digest_t *)data)->head;
}

static gboolean
equal_digests(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, sizeof(key_digest_t)) == 0;
}

static void
free_account(gpointer data)
{
    bb_account_t *account = data;

    g_free(account->name);
    g_free(account);
}

bb_account_table_t *
BbAccountTable_New(void)
{
    bb_account_table_t *table = g_new0(bb_account_table_t, 1);

    table->accounts = g_ptr_array_new_with_free_func(free_account);
    table->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    table->by_key =
        g_hash_table_new_full(hash_digest, equal_digests, g_free, NULL);
    return table;
}

void
BbAccountTable_Free(bb_account_table_t *table)
{
    if (table != NULL) {
        g_hash_table_destroy(table->by_key);
        g_hash_table_destroy(table->by_name);
        g_ptr_array_unref(table->accounts);
        g_free(table);
    }
}

const bb_account_t *
BbAccountTable_Add(bb_account_table_t *table, const bb_account_t *account)
{
    bb_account_t *copy = g_new(bb_account_t, 1);

    *copy = *account;
    copy->name = g_strdup(account->name);
    g_ptr_array_add(table->accounts, copy);
    g_hash_table_replace(table->by_name, copy->name, copy);
    return copy;
}

int
BbAccountTable_AddKey(bb_account_table_t *table, const bb_account_t *account,
                      const char *key)
{
    if (key[0] == '\0') {
        return BB_ERR_ARGUMENT;
    }
    key_digest_t digest = compute_digest(key);
    const bb_account_t *holder = g_hash_table_lookup(table->by_key, &digest);
    if (holder != NULL) {
        return holder == account ? 0 : BB_ERR_CONFLICT;
    }
    key_digest_t *stored = g_new(key_digest_t, 1);
    *stored = digest;
    g_hash_table_insert(table->by_key, stored, (gpointer)account);
    return 0;
}

const bb_account_t *
BbAccountTable_Find(const bb_account_table_t *table, const char *key,
                    uint64_t *digest)
{
    *digest = 0;
    if (key == NULL || key[0] == '\0') {
        return NULL;
    }
    key_digest_t computed = compute_digest(key);
    *digest = computed.head;
    return g_hash_table_lookup(table->by_key, &computed);
}

const bb_account_t *
BbAccountTable_FindByName(const bb_account_table_t *table, const char *name)
{
    return name != NULL ? g_hash_table_lookup(table->by_name, name) : NULL;
}

size_t
BbAccountTable_Count(const bb_account_table_t *table)
{
    return table->accounts->len;
}

size_t
BbAccountTable_KeyCount(const bb_account_table_t *table)
{
    return g_hash_table_size(table->by_key);
}

size_t
BbAccountTable_AccountKeyCount(const bb_account_table_t *table,
                               const bb_account_t *account)
{
    GHashTableIter iter;
    gpointer holder;
    size_t count = 0;

    g_hash_table_iter_init(&iter, table->by_key);
    while (g_hash_table_iter_next(&iter, NULL, &holder)) {
        count += holder == account;
    }
    return count;
}

uint64_t
BbAccount_KeyDigest(const char *key)
{
    return compute_digest(key).head;
}

size_t
BbAccountTable_ForEachMissingKey(const bb_account_table_t *table,
                                 const bb_account_table_t *other,
                                 void (*visit)(uint64_t digest, void *arg),
                                 void *arg)
{
    GHashTableIter iter;
    gpointer key;
    size_t count = 0;

    if (table == NULL) {
        return 0;
    }
    g_hash_table_iter_init(&iter, table->by_key);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        if (other == NULL || !g_hash_table_contains(other->by_key, key)) {
            visit(((const key_digest_t *)key)->head, arg);
            count++;
        }
    }
    return count;
}

void
BbAccountTable_ForEach(const bb_account_table_t *table,
                       void (*visit)(const bb_account_t *account, void *arg),
                       void *arg)
{
    for (guint i = 0; i < table->accounts->len; i++) {
        visit(g_ptr_array_index(table->accounts, i), arg);
    }
}
