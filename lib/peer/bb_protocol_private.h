/*
 * bb_protocol_private - state shared by the files of bb_protocol and by
 * bb_neighbour
 *
 * Only for lib/peer.
 */
#ifndef BB_PROTOCOL_PRIVATE_H
#define BB_PROTOCOL_PRIVATE_H

#include <uthash.h>

#include "bb_protocol.h"
#include "bb_summary.h"
#include "bb_token_bucket.h"

typedef struct {
    uint64_t id;
    bool is_incoming;
    bool is_selected;    /* selected by the last BbNeighbour_UpdateLinks() */
    bool is_open_failed; /* the transport failed to open it */
    bool is_deferred;    /* the peer's join was deferred */
    /* Outgoing: the address connected to. Incoming: taken from the hello. */
    char address[BB_ADDRESS_TEXT + 1];
    uint64_t node_id; /* 0 until something was received */
    char data_centre[BB_DATA_CENTRE_TEXT + 1]; /* empty until known */
    int64_t opened_ms;
    int64_t last_received_ms; /* last message received */
    int64_t suspected_ms;
    int64_t keep_until_ms; /* joins and probes: not closed before this time */
    uint64_t cursor; /* last member change sent, see BbMembers_Changes() */
    int64_t digest_mismatch_since_ms; /* 0: membership digests are equal */
    int64_t last_exchange_ms;
    UT_hash_handle hh;
} bb_link_t;

/* The address of a node that may be asked for members. */
typedef struct {
    char address[BB_ADDRESS_TEXT + 1];
    char data_centre[BB_DATA_CENTRE_TEXT + 1]; /* empty: unknown */
    bool is_gateway;
    int64_t next_try_ms;
} bb_seed_t;

/* Another data centre, to which a gateway keeps a link. */
typedef struct {
    char name[BB_DATA_CENTRE_TEXT + 1];
    /* The link goes to the seed at index gateway_index + attempt, modulo the
     * number of seeds of the data centre. */
    size_t attempt;
} bb_remote_data_centre_t;

struct bb_protocol {
    bb_protocol_options_t options;
    bb_peer_timing_t timing; /* defaults filled in */
    char cluster[BB_MAX_CLUSTER_TEXT + 1];
    bb_members_t *members;
    bb_spread_t *spread;
    bb_summaries_t *summaries;
    bb_link_t *links;
    uint64_t last_link_id;
    bb_seed_t seeds[BB_MAX_SEEDS];
    size_t seed_count;
    bb_remote_data_centre_t remote_data_centres[BB_MAX_DATA_CENTRES];
    size_t remote_data_centre_count;
    bb_token_bucket_t bytes; /* budget of updates, exchanges and summaries */
    bb_token_bucket_t joins; /* joins that may be admitted */
    int64_t start_ms;
    int64_t now_ms; /* time of the current event */
    int64_t last_tick_ms;
    int64_t next_heartbeat_ms;
    int64_t next_update_ms;
    int64_t next_probe_ms;    /* of seeds, and when gateways are asked again */
    int64_t last_deferred_ms; /* last time a peer deferred a join of this
                                 node; 0 = never */
    uint64_t random_member_id; /* node id of the member linked to at random */
    bool is_gateway;
    size_t gateway_index; /* index of this node among the gateways */
    bool has_left;
    /* Traffic by message type; index 0 counts malformed frames. */
    int64_t messages_sent[BB_WIRE_TYPE_COUNT];
    int64_t messages_received[BB_WIRE_TYPE_COUNT];
    int64_t bytes_sent[BB_WIRE_TYPE_COUNT];
    int64_t bytes_received[BB_WIRE_TYPE_COUNT];
};

/* ---- bb_protocol.c ---- */

/*
 * Encodes, sends and counts a message. Returns its size with
 * BB_WIRE_OVERHEAD_BYTES, or 0 if the transport dropped it.
 */
size_t BbProtocol_Send(bb_protocol_t *protocol, bb_link_t *link,
                       bb_wire_message_t *message);

#define MAX_UPDATE_RECORDS 32 /* records in one update message */

/* Used by bb_protocol_receive.c. */
void BbProtocol_SendAndCharge(bb_protocol_t *protocol, bb_link_t *link,
                              bb_wire_message_t *message);
void BbProtocol_SendHeartbeat(bb_protocol_t *protocol, bb_link_t *link);
void BbProtocol_SendWelcome(bb_protocol_t *protocol, bb_link_t *link);
void BbProtocol_SendRecords(bb_protocol_t *protocol, bb_link_t *link,
                            bb_member_t *records, size_t count);
void BbProtocol_MergeRecords(bb_protocol_t *protocol, bb_link_t *link,
                             const bb_member_t *records, size_t count);

/* Also used by bb_neighbour.c. */
void BbProtocol_SendHello(bb_protocol_t *protocol, bb_link_t *link);

/* True if the peer is known to be in this node's data centre. */
bool BbProtocol_IsLocal(const bb_protocol_t *protocol, const bb_link_t *link);

/* ---- bb_neighbour.c ---- */

bb_link_t *BbNeighbour_FindLink(const bb_protocol_t *protocol, uint64_t id);

/* Registers an incoming link; NULL at BB_MAX_LINKS. */
bb_link_t *BbNeighbour_AddIncomingLink(bb_protocol_t *protocol);

void BbNeighbour_CloseLink(bb_protocol_t *protocol, bb_link_t *link);

/* data_centre is empty if it is unknown. */
void BbNeighbour_AddSeed(bb_protocol_t *protocol, const char *address,
                         const char *data_centre);

/* Stores the gateways of another data centre as reported by the node at
 * address. */
void BbNeighbour_SetGateways(bb_protocol_t *protocol, const char *data_centre,
                             const bb_wire_addresses_t *gateways,
                             const char *address);

/* Prevents the seed with this address from being asked before until_ms. */
void BbNeighbour_DelaySeed(bb_protocol_t *protocol, const char *address,
                           int64_t until_ms);

/* Replaces silent links and marks silent neighbours as suspect. */
void BbNeighbour_CheckSilence(bb_protocol_t *protocol);

/* Selects the neighbours, opens links to them and closes other outgoing
 * links. */
void BbNeighbour_UpdateLinks(bb_protocol_t *protocol);

/* Lists member addresses of one data centre for a node that asks. */
void BbNeighbour_FillAddresses(const bb_protocol_t *protocol,
                               const char *data_centre,
                               bb_wire_addresses_t *out);

#endif
