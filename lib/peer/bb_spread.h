/*
 * bb_spread - distribution of configuration versions over the links of a node
 *
 * Decides which version is sent on which link, and in which form. Does no I/O
 * and reads no clock: the caller passes in messages and the time, and messages
 * are sent through the send function. The version in force changes only
 * through bb_active_config, so duplicate, late and reordered messages have no
 * effect.
 *
 * USE
 *   BbSpread_Offer() takes a version read from the platform. An accepted
 *   version is forwarded: in push mode as a delta, in advertise mode (and when
 *   the delta is larger than BB_MAX_PUSH_BYTES) as an advertisement. A node
 *   that lacks the base of a delta pulls. The response is the sequence of
 *   deltas from its base, or the full content when those deltas are no longer
 *   kept or would be larger.
 *
 * LIMITS
 *   At most BB_SPREAD_MAX_DELTAS deltas are kept. One pull is in progress at
 *   a time; when it is not answered, it is retried, on another link if any.
 */
#ifndef BB_SPREAD_H
#define BB_SPREAD_H

#include "bb_active_config.h"
#include "bb_random.h"
#include "bb_wire.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_SPREAD_MAX_DELTAS 16
#define BB_MAX_PUSH_BYTES (16 * 1024) /* larger deltas are advertised */

typedef enum {
    BB_SPREAD_PUSH,
    BB_SPREAD_ADVERTISE,
} bb_spread_mode_t;

typedef struct bb_spread bb_spread_t;

typedef struct {
    bb_active_config_t *active_config; /* borrowed */
    bb_spread_mode_t mode;
    int64_t pull_retry_ms; /* initial timeout of a pull; 0 = 1,000 */
    /*
     * A node without a version sends its first pull after this time (0 =
     * 2,000), or once this many neighbours have reported theirs (0 = 3).
     */
    int64_t first_version_wait_ms;
    size_t first_version_reports;
    void (*send)(uint64_t link, const bb_wire_message_t *message, void *arg);
    void *arg;
} bb_spread_options_t;

bb_spread_t *BbSpread_New(const bb_spread_options_t *options, int64_t now_ms);

void BbSpread_Free(bb_spread_t *spread);

/* The caller chooses the link numbers and must not reuse them. */
void BbSpread_AddLink(bb_spread_t *spread, uint64_t link, int64_t now_ms);

void BbSpread_RemoveLink(bb_spread_t *spread, uint64_t link, int64_t now_ms);

/* Offers a version read from the platform. Returns the result of
 * BbActiveConfig_Apply(). */
int BbSpread_Offer(bb_spread_t *spread, const bb_release_t *release,
                   const char *text, size_t size, bb_findings_t *findings,
                   int64_t now_ms);

/* Handles heartbeat, advertise, pull, delta and content messages. */
void BbSpread_Receive(bb_spread_t *spread, uint64_t link,
                      const bb_wire_message_t *message, int64_t now_ms);

/* Starts pulls and retries those that timed out. */
void BbSpread_Tick(bb_spread_t *spread, int64_t now_ms);

/* Latest version received or advertised on a link, 0 when none. */
int64_t BbSpread_LinkVersion(const bb_spread_t *spread, uint64_t link);

#ifdef __cplusplus
}
#endif

#endif
