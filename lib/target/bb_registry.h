/*
 * bb_registry - current announcement of the target beside this node
 *
 * A target announces itself every second. An announcement is valid for the
 * time of a lease, measured from its arrival on this node's monotonic clock.
 * So a target that is gone is dropped even if its leave message was lost or
 * the VM clock is wrong (guarantee G7 in docs/design.md).
 *
 * USE
 *   Call BbRegistry_Announce() for each POST /v1/announce, and
 *   BbRegistry_Tick() from a timer at the time BbRegistry_NextEvent().
 *   on_change is called with the fields that changed.
 */
#ifndef BB_REGISTRY_H
#define BB_REGISTRY_H

#include <jansson.h>
#include <stdint.h>

#include "bb_member.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Of the 3 s that G7 allows, half a second is left for the change to reach the
 * other nodes. */
#define BB_REGISTRY_LEASE_MS 2500

/* Upper limits of the announced numbers, the same as for pool rows. */
#define BB_REGISTRY_MAX_SLOTS 1024
#define BB_REGISTRY_MAX_CONNECTIONS 10000

typedef struct {
    bb_target_state_t state; /* BB_TARGET_ABSENT if no lease is valid */
    int slots;
    int connections;
    double load; /* calls in progress as reported by the target */
    char service[BB_SERVICE_TEXT + 1];
    char address[BB_ADDRESS_TEXT + 1]; /* "IP:PORT" of the target */
} bb_announcement_t;

/* Bits of the changes argument of on_change. */
enum {
    BB_REGISTRY_STATE = 1 << 0,
    BB_REGISTRY_SERVICE = 1 << 1,
    BB_REGISTRY_ADDRESS = 1 << 2,
    BB_REGISTRY_LIMITS = 1 << 3,
};

typedef void (*bb_registry_change_t)(const bb_announcement_t *current,
                                     unsigned int changes, void *arg);

typedef struct {
    int lease_ms;                   /* 0: BB_REGISTRY_LEASE_MS */
    bb_registry_change_t on_change; /* may be NULL; not called for load */
    void *arg;
} bb_registry_options_t;

typedef struct bb_registry bb_registry_t;

bb_registry_t *BbRegistry_New(const bb_registry_options_t *options);

void BbRegistry_Free(bb_registry_t *registry);

/*
 * Reads the body of POST /v1/announce. Returns 0, BB_ERR_PARSE if the body is
 * not a JSON object, or BB_ERR_INVALID with the name of the first invalid
 * field in *field.
 */
int BbRegistry_Parse(const json_t *body, bb_announcement_t *out,
                     const char **field);

/* Replaces the current announcement and renews the lease. */
void BbRegistry_Announce(bb_registry_t *registry,
                         const bb_announcement_t *announcement,
                         int64_t now_ms);

/* Ends the lease at once, when the target sends a leave message. */
void BbRegistry_Withdraw(bb_registry_t *registry);

/* Withdraws the announcement if its lease has expired. */
void BbRegistry_Tick(bb_registry_t *registry, int64_t now_ms);

/* Time at which the lease expires, -1 if there is none. */
int64_t BbRegistry_NextEvent(const bb_registry_t *registry);

/* Returns the current announcement, which the registry owns. Its state is
 * BB_TARGET_ABSENT if there is no target. */
const bb_announcement_t *BbRegistry_Current(const bb_registry_t *registry);

#ifdef __cplusplus
}
#endif

#endif
