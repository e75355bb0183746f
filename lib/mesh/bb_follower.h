/*
 * bb_follower - reads a table of the store, then follows its change feed
 *
 * USE
 *   on_row is called for each row of the full read and for each later change.
 *   on_snapshot is called at the end of a full read with the keys of all its
 *   rows. It may call BbFollower_Suspend(), so that the feed is not followed.
 *
 * ERRORS
 *   Failed calls to the store are retried with exponential backoff and
 *   jitter; on_health reports when the store becomes unreachable and when it
 *   is back. The whole table is read again if the store does not have the
 *   changes since the last position, or was restored from a copy: what was
 *   read in an earlier generation says nothing about the rows of this one. A
 *   store that refuses the position of its own last full read is given a
 *   pause as after a failed call.
 */
#ifndef BB_FOLLOWER_H
#define BB_FOLLOWER_H

#include <ev.h>
#include <glib.h>

#include "bb_random.h"
#include "bb_table.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Mean delay before the first retry, and the largest mean delay. */
#define BB_FOLLOWER_BACKOFF_FIRST_S 0.1
#define BB_FOLLOWER_BACKOFF_MAX_S 1.0

typedef struct bb_follower bb_follower_t;

typedef struct {
    void (*on_row)(const bb_table_row_t *row, void *arg);
    /* keys, borrowed for the call, are those of all rows that the table had at
     * this position, and maybe of later ones. May be NULL. */
    void (*on_snapshot)(GHashTable *keys, bb_position_t position, void *arg);
    void (*on_health)(bool is_connected, int error, void *arg);
    /* The store has responded: all changes up to now have been passed to
     * on_row. May be NULL. */
    void (*on_confirmed)(void *arg);
} bb_follower_handler_t;

typedef struct {
    struct ev_loop *loop;
    bb_table_store_t *store;
    const char *table;
    /* Pause between a response with changes and the next call. Changes in
     * quick succession are then read in one call, which returns only the
     * newest value of each row. */
    double pause_s;
    /* Time for which the store may hold a feed call open; 0 means 10. A
     * connection that delivers nothing more is noticed only after it. */
    double feed_wait_s;
    double start_delay_s; /* before the first call */
    bool is_suspended;    /* makes no call before BbFollower_Resume() */
    const bb_follower_handler_t *handler;
    void *arg;
    bb_random_t *random;
} bb_follower_options_t;

bb_follower_t *BbFollower_New(const bb_follower_options_t *options);
void BbFollower_Free(bb_follower_t *follower);

/* Replaces the default mean delays of the backoff. */
void BbFollower_SetBackoff(bb_follower_t *follower, double first_s,
                           double max_s);

/* Makes no further calls until BbFollower_Resume(), which continues from the
 * last position; a full read that was interrupted starts again. */
void BbFollower_Suspend(bb_follower_t *follower);
void BbFollower_Resume(bb_follower_t *follower, double delay_s);

/* Replaces a feed call that waits for changes by one that does not wait, on
 * another connection: the one in use may deliver nothing more. A call that is
 * due later does not wait either. */
void BbFollower_Check(bb_follower_t *follower);

bool BbFollower_IsSuspended(const bb_follower_t *follower);

/* Position up to which all changes were received; 0 before the first full
 * read. */
bb_position_t BbFollower_Position(const bb_follower_t *follower);

/* The latest moment (of BbClock_Now()) at which the rows passed to on_row so
 * far were certainly those of the store; 0 before the first full read. Within
 * on_row it is that of the previous successful call. */
double BbFollower_CurrentAt(const bb_follower_t *follower);

/* Whether the last call succeeded; false before the first one. */
bool BbFollower_IsConnected(const bb_follower_t *follower);

#ifdef __cplusplus
}
#endif

#endif
