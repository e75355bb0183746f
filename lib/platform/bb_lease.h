/*
 * bb_lease - state machine of one node that takes and renews a reader lease
 *
 * A node that holds a reader lease reads new versions from the platform. A
 * data centre has BB_LEASE_SLOTS slots, which are the rows DC/SLOT of table
 * "leases" with the value {"holder","peer_address","fence","expires_ms"}. A
 * slot is free when its row is absent or expired by the platform's clock.
 * Candidates for a slot are the gateways of the data centre (see
 * BbMembers_Gateways()). A candidate takes a free slot by compare-and-set on
 * the row's revision and increments the fence, which counts how often the slot
 * was taken. The holder renews the lease after a third of its duration.
 *
 * USE
 *   After each event and when wake_ms is reached, call BbLease_Next() until
 *   it returns BB_LEASE_WAIT, and carry out each action. Pass the results to
 *   BbLease_HandleRows() and BbLease_HandleCommit().
 *
 * TIME
 *   now_ms is the VM's monotonic clock. Expiry is computed from the now_ms of
 *   the platform's responses; the VM's wall clock is not used. The holder
 *   counts the lease from the moment it sent the request, so it stops before
 *   the row expires. A holder that was paused until after its lease ended gets
 *   BB_LEASE_STOP_READING before any other action.
 *
 * LIMITS
 *   Leases only reduce the number of reads of the platform. Two nodes that
 *   both assume to hold one slot do no harm, so no code may rely on a lease
 *   for mutual exclusion.
 */
#ifndef BB_LEASE_H
#define BB_LEASE_H

#include <jansson.h>
#include <stdint.h>

#include "bb_random.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_LEASE_SLOTS 2
#define BB_LEASE_MS 10000
#define BB_LEASE_RENEW_MS (BB_LEASE_MS / 3)

/* Upper bound of the random time that a candidate waits before it tries to
 * take a slot, so that many nodes that find it free do not write at once. */
#define BB_LEASE_JITTER_MS 2000

/* A candidate that finds both slots taken reads the rows again after this time
 * plus a random time of up to the same length. The holders may have ceased to
 * be gateways and released their slots meanwhile; without a reader a new
 * version would reach the data centre late. */
#define BB_LEASE_RECHECK_MS 1000

typedef struct bb_lease bb_lease_t;

typedef struct {
    const char *data_centre;  /* copied, as are the next two */
    const char *node_id;      /* differs between starts of a node */
    const char *peer_address; /* "IP:PORT" */
    bb_random_t *random;      /* borrowed */
} bb_lease_options_t;

typedef enum {
    BB_LEASE_WAIT,          /* nothing to do until wake_ms or an event */
    BB_LEASE_READ_ROWS,     /* list the rows of table "leases" */
    BB_LEASE_COMMIT,        /* commit transaction */
    BB_LEASE_START_READING, /* the lease is held */
    BB_LEASE_STOP_READING,  /* the lease is lost, expired or released */
} bb_lease_action_kind_t;

typedef struct {
    bb_lease_action_kind_t kind;
    json_t *transaction; /* COMMIT: new reference */
    int64_t wake_ms;     /* WAIT: INT64_MAX: wait for an event only */
} bb_lease_action_t;

bb_lease_t *BbLease_New(const bb_lease_options_t *options);

void BbLease_Free(bb_lease_t *lease);

/* A holder that is no longer a candidate gets BB_LEASE_STOP_READING and
 * releases its slot. */
void BbLease_SetCandidate(bb_lease_t *lease, int is_candidate, int64_t now_ms);

/* Writes the next action to *action; see USE. */
void BbLease_Next(bb_lease_t *lease, int64_t now_ms,
                  bb_lease_action_t *action);

/* error and response are those of bb_platform_cb_t (bb_platform_io.h). Rows of
 * other data centres in response are ignored. */
void BbLease_HandleRows(bb_lease_t *lease, int error, json_t *response,
                        int64_t now_ms);

void BbLease_HandleCommit(bb_lease_t *lease, int error, json_t *response,
                          int64_t now_ms);

/* True from BB_LEASE_START_READING until the lease ends at now_ms. */
int BbLease_IsHeld(const bb_lease_t *lease, int64_t now_ms);

/* Fence of the last lease that this node took, 0 before the first. */
int64_t BbLease_Fence(const bb_lease_t *lease);

#ifdef __cplusplus
}
#endif

#endif
