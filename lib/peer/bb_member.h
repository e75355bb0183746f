/*
 * bb_member - membership table of one data centre, kept by each node
 *
 * Does no I/O and reads no clock: the caller passes in received records and
 * the time, and gets back changes and records to send. See docs/design.md,
 * section 11.
 *
 * USE
 *   Call BbMembers_Merge() for each record received, BbMembers_ConfirmAlive()
 *   for each message from a neighbour (a node linked to this one),
 *   BbMembers_Suspect() for each neighbour that stopped sending and
 *   BbMembers_Tick() periodically. Every change of a record gets a sequence
 *   number; a link stores the number up to which it has sent changes and gets
 *   later ones from BbMembers_Changes().
 *
 * LIMITS
 *   At most BB_MAX_MEMBERS records, one per peer address. Records of
 *   other data centres are refused. The record of a dead or left member stays
 *   as a tombstone for remove_after_ms, so that an older record does not add
 *   the member again.
 */
#ifndef BB_MEMBER_H
#define BB_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BB_ADDRESS_TEXT 21 /* "255.255.255.255:65535" */
#define BB_DATA_CENTRE_TEXT 31
#define BB_SERVICE_TEXT 63

/* Of two records with equal incarnation the one with the higher state wins. */
typedef enum {
    BB_MEMBER_ALIVE,
    BB_MEMBER_SUSPECT,
    BB_MEMBER_DRAINING,
    BB_MEMBER_DEAD,
    BB_MEMBER_LEFT,
} bb_member_state_t;

/* State that the target on the node's VM announced. */
typedef enum {
    BB_TARGET_ABSENT, /* none announced, or its lease expired */
    BB_TARGET_STARTING,
    BB_TARGET_READY,
    BB_TARGET_DRAINING,
} bb_target_state_t;

typedef struct {
    uint64_t node_id;
    int64_t incarnation;
    bb_member_state_t state;
    bb_target_state_t target_state;
    int slots; /* calls that the target runs at once */
    char data_centre[BB_DATA_CENTRE_TEXT + 1];
    char service[BB_SERVICE_TEXT + 1]; /* empty without a target */
    char caller_address[BB_ADDRESS_TEXT + 1];
    char peer_address[BB_ADDRESS_TEXT + 1];
} bb_member_t;

#define BB_MAX_MEMBERS 4096
#define BB_MEMBER_BUCKETS 32
#define BB_GATEWAYS 2          /* members with links to other data centres */
#define BB_SUMMARY_ADDRESSES 4 /* addresses in the summary of a service */

/*
 * Largest incarnation accepted from a peer, and largest initial value. The gap
 * lets a node exceed any initial value, even one taken from a VM clock that is
 * centuries ahead.
 */
#define BB_MAX_INCARNATION (INT64_C(1) << 60)
#define BB_MAX_FIRST_INCARNATION (INT64_C(1) << 59)

typedef struct bb_members bb_members_t;

typedef struct {
    bb_member_t self;        /* incarnation: start time; clamped */
    int64_t dead_after_ms;   /* from suspect to dead; 0 = 3,000 */
    int64_t remove_after_ms; /* tombstone lifetime; 0 = 60,000 */
    /*
     * Called for each change of another node's record. When a record is
     * replaced by another process at the same address, the old one is reported
     * as BB_MEMBER_DEAD first. May be NULL. Must not change the table.
     */
    void (*on_change)(const bb_member_t *member, void *arg);
    void *arg;
} bb_members_options_t;

typedef enum {
    BB_MERGE_UNCHANGED,
    BB_MERGE_CHANGED,
    BB_MERGE_SUPERSEDED, /* the stored record wins: send it back */
    BB_MERGE_REFUSED, /* other data centre, id known at another address, full
                         table */
} bb_merge_t;

bb_members_t *BbMembers_New(const bb_members_options_t *options);

void BbMembers_Free(bb_members_t *members);

/* This node's record. Borrowed; later calls may modify it. */
const bb_member_t *BbMembers_Self(const bb_members_t *members);

/*
 * Sets the target fields of this node's record. A change increments the
 * incarnation. Returns true when a field changed.
 */
bool BbMembers_SetTarget(bb_members_t *members, const char *service,
                         bb_target_state_t state, int slots);

/* Sets this node's state to draining or left. The state never goes back. */
void BbMembers_SetOwnState(bb_members_t *members, bb_member_state_t state);

/*
 * Merges a record received on a link (0 = none). A newer record for this
 * node's own id or address raises this node's incarnation above the received
 * one.
 */
bb_merge_t BbMembers_Merge(bb_members_t *members, const bb_member_t *record,
                           uint64_t link, int64_t now_ms);

/* Call when a message of the node arrived: a suspect becomes alive at once. */
void BbMembers_ConfirmAlive(bb_members_t *members, uint64_t node_id,
                            int64_t now_ms);

/* Call when a neighbour stopped sending: alive becomes suspect, draining
 * becomes dead. */
void BbMembers_Suspect(bb_members_t *members, uint64_t node_id,
                       int64_t now_ms);

/*
 * Declares suspects dead and removes tombstones whose deadline has passed.
 * Time during which this node itself was paused does not count against
 * suspects.
 */
void BbMembers_Tick(bb_members_t *members, int64_t now_ms);

/* Return a borrowed record, or NULL when there is none. */
const bb_member_t *BbMembers_Find(const bb_members_t *members,
                                  uint64_t node_id);
const bb_member_t *BbMembers_FindAddress(const bb_members_t *members,
                                         const char *peer_address);

/* Number of members that are alive, suspect or draining, with this node. */
size_t BbMembers_LiveCount(const bb_members_t *members);

/* Lists up to max records, tombstones included; the pointers are borrowed. */
size_t BbMembers_List(const bb_members_t *members, const bb_member_t **out,
                      size_t max);

/* True when the member is alive, suspect or draining. */
bool BbMember_IsLive(const bb_member_t *member);

/* Position on the ring; also the rank by which gateways are elected. */
uint64_t BbMember_Rank(uint64_t node_id);

/*
 * The next count live members on the ring, after this node. Suspects are
 * returned but do not count towards count, so that several consecutive dead
 * members do not split the ring.
 */
size_t BbMembers_Successors(const bb_members_t *members, size_t count,
                            const bb_member_t **out, size_t max);

/* The alive members (not suspect or draining) with the lowest ranks. */
size_t BbMembers_Gateways(const bb_members_t *members,
                          const bb_member_t *out[BB_GATEWAYS]);

/* Digest of the live records, equal on two nodes that have the same ones. */
uint64_t BbMembers_Digest(const bb_members_t *members);

/* Digest of each bucket of the table; their XOR is BbMembers_Digest(). */
void BbMembers_Buckets(const bb_members_t *members,
                       uint64_t out[BB_MEMBER_BUCKETS]);

/* Index of the bucket that contains a node's record. */
size_t BbMember_Bucket(uint64_t node_id);

/* Sequence number of the latest change. */
uint64_t BbMembers_Sequence(const bb_members_t *members);

/*
 * Copies records changed after *cursor, oldest change first, except those that
 * arrived on skip_link (0 = none). Advances *cursor past the records examined.
 */
size_t BbMembers_Changes(const bb_members_t *members, uint64_t *cursor,
                         uint64_t skip_link, bb_member_t *out, size_t max);

/* One service of one data centre, as announced to other data centres. */
typedef struct {
    char service[BB_SERVICE_TEXT + 1];
    int live; /* number of members with a ready target */
    size_t address_count;
    char addresses[BB_SUMMARY_ADDRESSES][BB_ADDRESS_TEXT + 1];
} bb_summary_t;

/* Returns summaries sorted by service; free with g_free(). */
bb_summary_t *BbMembers_Summarize(const bb_members_t *members, size_t *count);

#ifdef __cplusplus
}
#endif

#endif
