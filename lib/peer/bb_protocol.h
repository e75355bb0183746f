/*
 * bb_protocol - the peer protocol of one node, without I/O
 *
 * Combines membership, distribution of configuration versions, service
 * summaries and the choice of neighbours. It does no I/O and reads no clock:
 * its owner passes in received frames and the time, and frames are sent
 * through a table of transport functions. Tests can therefore run many nodes
 * in virtual time.
 *
 * USE
 *   Call BbProtocol_Tick() about every 100 ms, BbProtocol_Accept() for the
 *   first frame of an unknown connection and BbProtocol_Receive() for each
 *   frame. A link is a connection to a peer in either direction; a peer with a
 *   link is a neighbour.
 *
 * LIMITS
 *   BB_MAX_LINKS links and BB_MAX_SEEDS seeds, which are addresses that may be
 *   asked for members.
 */
#ifndef BB_PROTOCOL_H
#define BB_PROTOCOL_H

#include <jansson.h>

#include "bb_random.h"
#include "bb_spread.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_MAX_LINKS 128
#define BB_MAX_SEEDS 64

typedef struct bb_protocol bb_protocol_t;

/* A field that is 0 takes its default, which its comment gives. */
typedef struct {
    /* 1,000: interval of heartbeats */
    int64_t heartbeat_interval_ms;
    /* 200: interval of the batches of member updates */
    int64_t update_interval_ms;
    /* 2,000: a link silent for this time is replaced */
    int64_t replace_link_after_ms;
    /* 3,000: a neighbour silent for this time becomes suspect */
    int64_t suspect_after_ms;
    /* 3,000: a suspect becomes dead after this time */
    int64_t dead_after_ms;
    /* 60,000: the record of a dead member is removed after this time */
    int64_t remove_after_ms;
    /* 2,000: membership digests differ for this time before an exchange */
    int64_t digest_mismatch_ms;
    /* 5,000: shortest time between two exchanges on a link */
    int64_t exchange_interval_ms;
    /* 10,000: interval of summary digests without changes and of probes */
    int64_t summary_interval_ms;
    /* 30,000: a summary not refreshed for this time is stale */
    int64_t summary_stale_after_ms;
    /* 1,000: wait before an unanswered join is repeated, jittered */
    int64_t join_retry_ms;
    /* 1,000: first wait for the response to a pull */
    int64_t pull_retry_ms;
    /* 2,000: longest wait for versions of peers before the first pull */
    int64_t first_version_wait_ms;
    /* 8,192: budget of updates, exchanges and summaries */
    int64_t bytes_per_second;
    /* 20: joins admitted by one member */
    int64_t joins_per_second;
} bb_peer_timing_t;

/* Each function may be NULL. */
typedef struct {
    /* The record of another member of this node's data centre changed. A
     * suspect member still counts as live. */
    void (*on_member_change)(const bb_member_t *member, void *arg);
    /* A stale summary is reported with live 0 and without addresses. */
    void (*on_summary_change)(const char *data_centre,
                              const bb_summary_t *summary, void *arg);
    void (*on_gateway_change)(bool is_gateway, void *arg);
    void *arg;
} bb_peer_callbacks_t;

/* The protocol chooses the link numbers. */
typedef struct {
    /* Returns false if the frame was dropped. */
    bool (*send)(uint64_t link, const unsigned char *frame, size_t size,
                 void *arg);
    /* Starts to connect; the protocol sends frames without waiting for the
     * connection. Returns false on failure. */
    bool (*open)(uint64_t link, const char *address, void *arg);
    /* The transport must deliver no frames of the link afterwards. */
    void (*close)(uint64_t link, void *arg);
    void *arg;
} bb_transport_t;

typedef struct {
    bb_active_config_t *active_config; /* borrowed */
    bb_member_t self;
    const char *cluster;      /* copied */
    const char *const *seeds; /* "IP:PORT"; own address is ignored; copied */
    size_t seed_count;
    int fanout; /* ring successors to link to; 0 takes 3 */
    bb_spread_mode_t mode;
    bb_random_t *random; /* borrowed */
    bb_peer_timing_t timing;
    bb_peer_callbacks_t callbacks;
    bb_transport_t transport;
} bb_protocol_options_t;

bb_protocol_t *BbProtocol_New(const bb_protocol_options_t *options,
                              int64_t now_ms);

/* Does not close the links in the transport; its owner must do that. */
void BbProtocol_Free(bb_protocol_t *protocol);

/* Returns the number of a new incoming link, or 0 at BB_MAX_LINKS. */
uint64_t BbProtocol_Accept(bb_protocol_t *protocol, int64_t now_ms);

/* Handles one frame. Malformed frames are dropped and counted. */
void BbProtocol_Receive(bb_protocol_t *protocol, uint64_t link,
                        const unsigned char *frame, size_t size,
                        int64_t now_ms);

/* Does what is due: heartbeats, update batches, checks for silent links,
 * joins and pulls. */
void BbProtocol_Tick(bb_protocol_t *protocol, int64_t now_ms);

/* bb_peer_io.h describes the functions of the same names. */
void BbProtocol_SetTarget(bb_protocol_t *protocol, const char *service,
                          bb_target_state_t state, int slots, int64_t now_ms);
void BbProtocol_AddSeeds(bb_protocol_t *protocol, const char *data_centre,
                         const char *const *addresses, size_t count);
int BbProtocol_OfferVersion(bb_protocol_t *protocol,
                            const bb_release_t *release, const char *text,
                            size_t size, bb_findings_t *findings,
                            int64_t now_ms);
void BbProtocol_Drain(bb_protocol_t *protocol, int64_t now_ms);
void BbProtocol_Leave(bb_protocol_t *protocol, int64_t now_ms);
bool BbProtocol_IsGateway(const bb_protocol_t *protocol);
json_t *BbProtocol_StatusJson(const bb_protocol_t *protocol, int64_t now_ms);

/* The table belongs to the protocol. */
const bb_members_t *BbProtocol_Members(const bb_protocol_t *protocol);

/* Total bytes, with BB_WIRE_OVERHEAD_BYTES for each message. */
int64_t BbProtocol_BytesSent(const bb_protocol_t *protocol);
int64_t BbProtocol_BytesReceived(const bb_protocol_t *protocol);

#ifdef __cplusplus
}
#endif

#endif
