/*
 * bb_reader - schedule of reads of the head and of a version's content
 *
 * The head is the row "config" of table "head", which names the last accepted
 * version. An active reader, which holds a lease or runs with poll_all (see
 * bb_source_io.h), reads it every poll_ms. When the head is newer than the
 * version in force, the reader fetches the object configs/DIGEST, unless the
 * version has arrived over a peer link meanwhile. After failures it waits as
 * described in bb_backoff.h.
 *
 * A standby reader, which is a gateway without a lease, reads the head every
 * BB_READER_STANDBY_MS, or every poll_ms if that is longer. When the readers
 * of all data centres die together, their leases stay valid for up to 10 s;
 * without standby readers no node would read a new version in this time.
 *
 * USE
 *   As for bb_lease.h: after each event and when wake_ms is reached, call
 *   BbReader_Next() until it returns BB_READER_WAIT.
 *
 * LIMITS
 *   A version whose content the node refuses is fetched again with the same
 *   delays as after failures, because the content can be damaged in transit.
 */
#ifndef BB_READER_H
#define BB_READER_H

#include <jansson.h>
#include <stdint.h>

#include "bb_random.h"
#include "bb_release.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Interval of a standby reader's reads; its first read comes after a random
 * part of it. Must stay below the 6 s in which every node must have an
 * accepted version in force (guarantee G9 of docs/design.md). */
#define BB_READER_STANDBY_MS 2000

typedef struct bb_reader bb_reader_t;

typedef struct {
    int64_t poll_ms;
    /* Delays the first read by a random part of poll_ms, so that nodes do not
     * read at the same moment where every node is a reader. */
    int delays_first_read;
    bb_random_t *random; /* borrowed */
} bb_reader_options_t;

typedef enum {
    BB_READER_WAIT,          /* nothing to do until wake_ms or an event */
    BB_READER_READ_HEAD,     /* read row config of table "head" */
    BB_READER_FETCH_CONTENT, /* get the object of release->digest */
} bb_reader_action_kind_t;

typedef struct {
    bb_reader_action_kind_t kind;
    const bb_release_t *release; /* FETCH_CONTENT: valid until the result */
    int64_t wake_ms;
} bb_reader_action_t;

bb_reader_t *BbReader_New(const bb_reader_options_t *options);

void BbReader_Free(bb_reader_t *reader);

/* Starts or stops reads every poll_ms. */
void BbReader_SetActive(bb_reader_t *reader, int is_active, int64_t now_ms);

/* Starts or stops standby reads; takes effect only while the reader is not
 * active. */
void BbReader_SetStandby(bb_reader_t *reader, int is_standby, int64_t now_ms);

/* version is the version in force. */
void BbReader_Next(bb_reader_t *reader, int64_t version, int64_t now_ms,
                   bb_reader_action_t *action);

/* release is NULL unless error is 0. BB_ERR_NOT_FOUND means that no version
 * has been accepted yet. */
void BbReader_HandleHead(bb_reader_t *reader, int error,
                         const bb_release_t *release, int64_t now_ms);

/* version is the version in force after the content, if it could be fetched,
 * was passed to the node. */
void BbReader_HandleContent(bb_reader_t *reader, int error, int64_t version,
                            int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
