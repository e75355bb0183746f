#include "bb_once.h"

#include <assert.h>
#include <glib.h>
#include <sodium.h>
#include <stdbool.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

/* 128 bits of BLAKE2b: callers choose the keys and must not be able to find
 * two with the same hash. */
#define HASH_BYTES 16

typedef enum {
    ENTRY_RUNNING,
    ENTRY_RAN,     /* ended with a status */
    ENTRY_UNKNOWN, /* it is not known how the call ended */
    ENTRY_REFUSED, /* call ids only: answered not-run */
    ENTRY_MOVED,   /* keys only: another target may run the call */
} entry_state_t;

typedef struct entry {
    unsigned char hash[HASH_BYTES];
    entry_state_t state;
    short status;
    short attempt; /* call ids only: highest attempt so far */
    int64_t expiry_ms;
    struct entry *prev, *next; /* in the list for its state, oldest first */
    UT_hash_handle hh;
} entry_t;

typedef struct {
    entry_t *entries;
    entry_t *ended;         /* entries in ENTRY_RAN, _UNKNOWN and _MOVED */
    entry_t *refused;       /* separate list and limit: the many refusals of an
                               overload must not displace records of runs */
    size_t unrefused_count; /* number of entries that are not refused */
    size_t refused_count;
    size_t max;
    int retention_ms;
} table_t;

struct bb_once {
    table_t calls;
    table_t keys;
    int defer_ms;
    int64_t defer_end_ms; /* when keys without a record may run again */
};

/* ---- tables ---- */

static void
init_table(table_t *table, size_t max, int retention_ms)
{
    table->max = max;
    table->retention_ms = retention_ms;
}

static entry_t *
find_entry(const table_t *table, const unsigned char *hash)
{
    entry_t *entry;
    HASH_FIND(hh, table->entries, hash, HASH_BYTES, entry);
    return entry;
}

static bool
is_full(const table_t *table)
{
    return table->unrefused_count >= table->max;
}

static entry_t *
add_entry(table_t *table, const unsigned char *hash)
{
    entry_t *entry = g_new0(entry_t, 1);
    memcpy(entry->hash, hash, HASH_BYTES);
    entry->state = ENTRY_RUNNING;
    HASH_ADD(hh, table->entries, hash, HASH_BYTES, entry);
    table->unrefused_count++;
    return entry;
}

/* Removes an entry from the list for its state and makes it running. */
static void
detach_entry(table_t *table, entry_t *entry)
{
    if (entry->state == ENTRY_REFUSED) {
        DL_DELETE(table->refused, entry);
        table->refused_count--;
        table->unrefused_count++;
    }
    else if (entry->state != ENTRY_RUNNING) {
        DL_DELETE(table->ended, entry);
    }
    entry->state = ENTRY_RUNNING;
}

static void
drop_entry(table_t *table, entry_t *entry)
{
    detach_entry(table, entry);
    HASH_DEL(table->entries, entry);
    table->unrefused_count--;
    g_free(entry);
}

/* Sets the end state of a running entry and appends it to the list for this
 * state. */
static void
end_entry(table_t *table, entry_t *entry, entry_state_t state, int64_t now_ms)
{
    assert(entry->state == ENTRY_RUNNING);
    entry->state = state;
    entry->expiry_ms = now_ms + table->retention_ms;
    if (state == ENTRY_REFUSED) {
        DL_APPEND(table->refused, entry);
        table->unrefused_count--;
        table->refused_count++;
    }
    else {
        DL_APPEND(table->ended, entry);
    }
}

/* Makes a running entry a refused one. Drops the entry and returns false if
 * the table is full of refusals. */
static bool
refuse_entry(table_t *table, entry_t *entry, int64_t now_ms)
{
    if (table->refused_count >= table->max) {
        drop_entry(table, entry);
        return false;
    }
    end_entry(table, entry, ENTRY_REFUSED, now_ms);
    return true;
}

static void
expire_entries(table_t *table, int64_t now_ms)
{
    while (table->ended != NULL && table->ended->expiry_ms <= now_ms) {
        drop_entry(table, table->ended);
    }
    while (table->refused != NULL && table->refused->expiry_ms <= now_ms) {
        drop_entry(table, table->refused);
    }
}

static void
free_table(table_t *table)
{
    entry_t *entry, *tmp = NULL;
    HASH_ITER(hh, table->entries, entry, tmp)
    {
        HASH_DEL(table->entries, entry);
        g_free(entry);
    }
}

/* ---- construction ---- */

bb_once_t *
BbOnce_New(const bb_once_options_t *options)
{
    bb_once_t *once = g_new0(bb_once_t, 1);
    init_table(&once->calls,
               options->max_calls > 0 ? options->max_calls : BB_ONCE_MAX_CALLS,
               options->call_retention_ms > 0 ? options->call_retention_ms
                                              : BB_ONCE_CALL_RETENTION_MS);
    init_table(&once->keys,
               options->max_keys > 0 ? options->max_keys : BB_ONCE_MAX_KEYS,
               options->key_retention_ms > 0 ? options->key_retention_ms
                                             : BB_ONCE_KEY_RETENTION_MS);
    once->defer_ms = options->defer_ms;
    once->defer_end_ms = INT64_MIN;
    return once;
}

void
BbOnce_Free(bb_once_t *once)
{
    if (once != NULL) {
        free_table(&once->calls);
        free_table(&once->keys);
        g_free(once);
    }
}

void
BbOnce_DeferUnknownKeys(bb_once_t *once, int64_t now_ms)
{
    if (once->defer_ms > 0) {
        once->defer_end_ms = now_ms + once->defer_ms;
    }
}

void
BbOnce_Tick(bb_once_t *once, int64_t now_ms)
{
    expire_entries(&once->calls, now_ms);
    expire_entries(&once->keys, now_ms);
}

size_t
BbOnce_CallCount(const bb_once_t *once)
{
    return once->calls.unrefused_count + once->calls.refused_count;
}

size_t
BbOnce_KeyCount(const bb_once_t *once)
{
    return once->keys.unrefused_count + once->keys.refused_count;
}

/* ---- hashes ---- */

static void
hash_call(const bb_once_call_t *call, unsigned char *hash)
{
    crypto_generichash(hash, HASH_BYTES, (const unsigned char *)call->call_id,
                       strlen(call->call_id), NULL, 0);
}

/* The NUL after the pool separates ("ab", "c") from ("a", "bc"). */
static void
hash_key(const bb_once_call_t *call, unsigned char *hash)
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, NULL, 0, HASH_BYTES);
    crypto_generichash_update(&state, (const unsigned char *)call->pool,
                              strlen(call->pool) + 1);
    crypto_generichash_update(&state, (const unsigned char *)call->key,
                              strlen(call->key));
    crypto_generichash_final(&state, hash, HASH_BYTES);
}

/* ---- decisions ---- */

static bb_reason_t
find_call_reason(const entry_t *entry, int attempt)
{
    switch (entry->state) {
    case ENTRY_RUNNING:
        return BB_REASON_CALL_RUNNING;
    case ENTRY_RAN:
        return BB_REASON_CALL_RAN;
    case ENTRY_REFUSED:
        return attempt > entry->attempt ? BB_REASON_NONE
                                        : BB_REASON_ATTEMPT_REFUSED;
    case ENTRY_UNKNOWN:
    case ENTRY_MOVED:
        break;
    }
    return BB_REASON_CALL_UNKNOWN;
}

static bb_reason_t
find_key_reason(const entry_t *entry)
{
    switch (entry->state) {
    case ENTRY_RUNNING:
        return BB_REASON_KEY_RUNNING;
    case ENTRY_RAN:
        return BB_REASON_KEY_RAN;
    case ENTRY_MOVED:
        return BB_REASON_KEY_MOVED;
    case ENTRY_UNKNOWN:
    case ENTRY_REFUSED:
        break;
    }
    return BB_REASON_KEY_UNKNOWN;
}

static bb_once_verdict_t
set_response(bb_once_response_t *response, bb_reason_t reason,
             const entry_t *entry)
{
    response->reason = reason;
    response->status =
        entry != NULL && entry->state == ENTRY_RAN ? entry->status : 0;
    BbReason_Count(reason);
    return BB_ONCE_RESPOND;
}

/* Marks a key as moved and restarts its retention time: the mark must last at
 * least as long as the record of the run at the other node. */
static void
mark_moved(table_t *keys, entry_t *entry, int64_t now_ms)
{
    detach_entry(keys, entry);
    end_entry(keys, entry, ENTRY_MOVED, now_ms);
}

/* Reason why the call may not run here because of its key, BB_REASON_NONE if
 * it may. Sets *out to the entry of the key, NULL if there is none. */
static bb_reason_t
check_key(bb_once_t *once, const bb_once_call_t *call,
          const unsigned char *hash, entry_t **out, int64_t now_ms)
{
    entry_t *entry = find_entry(&once->keys, hash);
    bb_reason_t reason =
        entry != NULL ? find_key_reason(entry) : BB_REASON_NONE;
    *out = entry;
    if (entry == NULL && is_full(&once->keys)) {
        return BB_REASON_WINDOW_FULL;
    }
    if (entry == NULL && now_ms < once->defer_end_ms && !call->is_last_round) {
        *out = entry = add_entry(&once->keys, hash);
        reason = BB_REASON_KEY_MOVED;
    }
    if (reason == BB_REASON_KEY_MOVED) {
        mark_moved(&once->keys, entry, now_ms);
        return call->is_last_round ? BB_REASON_NONE : reason;
    }
    return reason;
}

/* Makes an entry running: a new one if entry is NULL, else one that was
 * refused or moved. */
static entry_t *
start_entry(table_t *table, entry_t *entry, const unsigned char *hash)
{
    if (entry == NULL) {
        return add_entry(table, hash);
    }
    detach_entry(table, entry);
    return entry;
}

/* Records the refusal for a full table, so that a late copy of the attempt
 * does not run. */
static bb_reason_t
refuse_for_full_table(table_t *calls, entry_t *entry,
                      const unsigned char *hash, int attempt, int64_t now_ms)
{
    entry = start_entry(calls, entry, hash);
    entry->attempt = (short)attempt;
    return refuse_entry(calls, entry, now_ms) ? BB_REASON_WINDOW_FULL
                                              : BB_REASON_REFUSALS_FULL;
}

bb_once_verdict_t
BbOnce_Begin(bb_once_t *once, const bb_once_call_t *call, int64_t now_ms,
             bb_once_response_t *response)
{
    unsigned char call_hash[HASH_BYTES], key_hash[HASH_BYTES];
    entry_t *key_entry = NULL;
    bb_reason_t reason = BB_REASON_NONE;
    BbOnce_Tick(once, now_ms);
    hash_call(call, call_hash);
    entry_t *entry = find_entry(&once->calls, call_hash);
    if (entry != NULL) {
        reason = find_call_reason(entry, call->attempt);
        if (reason != BB_REASON_NONE) {
            return set_response(response, reason, entry);
        }
    }
    if (call->key != NULL) {
        hash_key(call, key_hash);
        reason = check_key(once, call, key_hash, &key_entry, now_ms);
    }
    if (reason == BB_REASON_WINDOW_FULL ||
        (reason == BB_REASON_NONE && is_full(&once->calls))) {
        reason = refuse_for_full_table(&once->calls, entry, call_hash,
                                       call->attempt, now_ms);
    }
    if (reason != BB_REASON_NONE) {
        return set_response(response, reason, key_entry);
    }
    entry = start_entry(&once->calls, entry, call_hash);
    entry->attempt = (short)call->attempt;
    if (call->key != NULL) {
        start_entry(&once->keys, key_entry, key_hash);
    }
    return BB_ONCE_PROCEED;
}

/* The running entry that BbOnce_Begin() made for the call or its key. */
static entry_t *
find_running(const table_t *table, const unsigned char *hash)
{
    entry_t *entry = find_entry(table, hash);
    assert(entry != NULL && entry->state == ENTRY_RUNNING);
    return entry;
}

/* True if another target may run the key after this refusal: the target here
 * will not run new calls for longer than a caller waits. */
static bool
is_key_moved_by(bb_reason_t reason)
{
    return reason == BB_REASON_TARGET_DRAINING ||
           reason == BB_REASON_NODE_DRAINING ||
           reason == BB_REASON_NO_TARGET ||
           reason == BB_REASON_TARGET_STARTING;
}

/* Ends the running entry of the key of a refused call. Returns true if the key
 * was moved. */
static bool
release_key(bb_once_t *once, const bb_once_call_t *call, bb_reason_t reason,
            int64_t now_ms)
{
    unsigned char hash[HASH_BYTES];
    hash_key(call, hash);
    entry_t *entry = find_running(&once->keys, hash);
    if (!is_key_moved_by(reason)) {
        drop_entry(&once->keys, entry);
        return false;
    }
    end_entry(&once->keys, entry, ENTRY_MOVED, now_ms);
    return true;
}

bb_reason_t
BbOnce_Refuse(bb_once_t *once, const bb_once_call_t *call, bb_reason_t reason,
              int64_t now_ms)
{
    unsigned char hash[HASH_BYTES];
    hash_call(call, hash);
    bool recorded =
        refuse_entry(&once->calls, find_running(&once->calls, hash), now_ms);
    if (call->key != NULL && release_key(once, call, reason, now_ms)) {
        return BB_REASON_KEY_MOVED;
    }
    if (!recorded && BbReason_Outcome(reason) == BB_OUTCOME_NOT_RUN) {
        BbReason_Count(BB_REASON_REFUSALS_FULL);
        return BB_REASON_REFUSALS_FULL;
    }
    return reason;
}

void
BbOnce_End(bb_once_t *once, const bb_once_call_t *call, int status,
           int64_t now_ms)
{
    unsigned char hash[HASH_BYTES];
    entry_state_t state = status > 0 ? ENTRY_RAN : ENTRY_UNKNOWN;
    hash_call(call, hash);
    entry_t *entry = find_running(&once->calls, hash);
    entry->status = (short)status;
    end_entry(&once->calls, entry, state, now_ms);
    if (call->key != NULL) {
        hash_key(call, hash);
        entry = find_running(&once->keys, hash);
        entry->status = (short)status;
        end_entry(&once->keys, entry, state, now_ms);
    }
}
