/*
 * bb_follow - a table of the store, read once and followed by its feed
 *
 * USE
 *   on_row gets each row of the first read and each change after it;
 *   on_snapshot ends a whole read with the keys that it showed. It may suspend
 *   the table, so that its feed is not followed.
 *
 * ERRORS
 *   Failed calls are repeated with growing, random delays; on_health tells
 *   when the store is lost and regained. A lost history is read anew.
 */
#ifndef BB_FOLLOW_H
#define BB_FOLLOW_H

#include <ev.h>
#include <glib.h>

#include "bb_random.h"
#include "bb_table.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Mean pauses between calls to a store that fails. */
#define BB_FOLLOW_BACKOFF_FIRST_S 0.1
#define BB_FOLLOW_BACKOFF_MAX_S 1.0

typedef struct bb_follow bb_follow_t;

typedef struct {
    void (*on_row)(const bb_table_row_t *row, void *arg);
    /* May be NULL. */
    void (*on_snapshot)(GHashTable *keys, int64_t version, void *arg);
    void (*on_health)(bool is_connected, int error, void *arg);
} bb_follow_handler_t;

typedef struct {
    struct ev_loop *loop;
    bb_table_store_t *store;
    const char *table;
    /* Pause between an answer with changes and the next call. Changes that
     * come in quick succession are then read together: the newest value of
     * each row, in one call. */
    double pause_s;
    double start_delay_s; /* until the first call */
    bool is_suspended;    /* no call before BbFollow_Resume() */
    const bb_follow_handler_t *handler;
    void *arg;
    bb_random_t *random;
} bb_follow_options_t;

bb_follow_t *BbFollow_New(const bb_follow_options_t *options);
void BbFollow_Free(bb_follow_t *follow);

/* Other pauses than the defaults above. */
void BbFollow_SetBackoff(bb_follow_t *follow, double first_s, double max_s);

/* Makes no further calls until BbFollow_Resume(), which goes on where the
 * table was left. */
void BbFollow_Suspend(bb_follow_t *follow);
void BbFollow_Resume(bb_follow_t *follow, double delay_s);
bool BbFollow_IsSuspended(const bb_follow_t *follow);

/* Version up to which all changes have been seen, 0 before the first read. */
int64_t BbFollow_Version(const bb_follow_t *follow);

/* False from a failed call until the next good one. */
bool BbFollow_IsConnected(const bb_follow_t *follow);

#ifdef __cplusplus
}
#endif

#endif
