/*
 * bb_source_io - reads configuration versions from the platform for one node
 *
 * Runs bb_lease and bb_reader on a libev loop and carries out their actions
 * with bb_platform_io. A candidate (a gateway) tries to take a reader lease
 * and reads versions while it holds one. With poll_all every node reads
 * without a lease; this is the baseline for measurements, whose load on the
 * platform grows with the number of nodes.
 *
 * USE
 *   BbSource_New() reads the lease rows once, so that a new node learns the
 *   addresses of nodes through which it can join. Call BbSource_SetCandidate()
 *   when the node becomes or ceases to be a gateway, and with 0 when the node
 *   leaves, to release its slot.
 *
 * LIMITS
 *   Callbacks run from the loop. Call BbCurl_Free() for the platform's curl
 *   before BbSource_Free(), because requests still running refer to the
 *   source.
 */
#ifndef BB_SOURCE_IO_H
#define BB_SOURCE_IO_H

#include <ev.h>
#include <stddef.h>
#include <stdint.h>

#include "bb_platform_io.h"
#include "bb_random.h"
#include "bb_release.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_source bb_source_t;

/* A node that holds or held a reader lease, as named in a lease row. Strings
 * are valid only during the call of on_peers. */
typedef struct {
    const char *data_centre;
    const char *node_id;
    const char *peer_address;
    int is_current; /* 0: the lease has expired; the node may still answer */
} bb_source_peer_t;

typedef struct {
    struct ev_loop *loop;
    bb_platform_t *platform;
    const char *data_centre; /* copied, as are the next two */
    const char *node_id;
    const char *peer_address;
    int64_t poll_ms;
    /* Upper bound of the random delay of the first read of the lease rows. */
    int64_t start_jitter_ms;
    int poll_all;        /* read versions without a lease */
    bb_random_t *random; /* borrowed */

    /* Returns the version in force, 0 before the first. */
    int64_t (*get_version)(void *arg);
    /* Called with a version that was newer than the one in force when its
     * fetch began. Neither the signature nor the content is verified. */
    void (*on_release)(const bb_release_t *release, const char *text,
                       size_t size, void *arg);
    /* Called with all lease rows after each read of them. May be NULL. */
    void (*on_peers)(const bb_source_peer_t *peers, size_t count, void *arg);
    void *arg;
} bb_source_options_t;

bb_source_t *BbSource_New(const bb_source_options_t *options);

void BbSource_Free(bb_source_t *source);

/* No effect with poll_all. */
void BbSource_SetCandidate(bb_source_t *source, int is_candidate);

/* Reads the lease rows again, with backoff until the platform answers. */
void BbSource_ReadPeers(bb_source_t *source);

/* True while this node reads versions at the full rate: it holds a lease, or
 * poll_all is set. */
int BbSource_IsReading(const bb_source_t *source);

#ifdef __cplusplus
}
#endif

#endif
