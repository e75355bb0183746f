/*
 * bb_wire - encoding and decoding of the messages between nodes
 *
 * A message is sent as one frame that contains a msgpack map.
 *
 * USE
 *   BbWire_Encode() returns the frame for a message. BbWire_Decode() validates
 *   the whole frame before it returns a message: checksum, cluster, types,
 *   lengths and ranges. BbWire_Clear() frees the memory of a decoded message.
 *
 * ERRORS
 *   BB_ERR_PARSE    truncated or corrupt, or a field is missing, of the wrong
 *                   type or out of range
 *   BB_ERR_LIMIT    larger than BB_MAX_FRAME_BYTES
 *   BB_ERR_INVALID  from another cluster, or of an unknown message type
 *   Each of these cases has a counter.
 *
 * DESIGN
 *   Control traffic is limited to 10 KB/s per node. Map keys are therefore
 *   small integers, addresses take six bytes and digests are binary. Each
 *   frame ends with a checksum because the TCP checksum misses some corrupted
 *   data.
 */
#ifndef BB_WIRE_H
#define BB_WIRE_H

#include "bb_config.h"
#include "bb_member.h"
#include "bb_release.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_MAX_FRAME_BYTES (BB_MAX_DOCUMENT_BYTES + 64 * 1024)
#define BB_MAX_CLUSTER_TEXT 63
#define BB_WIRE_MAX_MEMBERS 128  /* member records in one message */
#define BB_WIRE_MAX_ADDRESSES 16 /* addresses in one message */
#define BB_WIRE_MAX_SUMMARIES BB_MAX_POOLS

/* Bytes of framing and TCP/IP headers that are counted for each message. */
#define BB_WIRE_OVERHEAD_BYTES 70

typedef enum {
    BB_WIRE_HELLO = 1,    /* first message on a link: the sender's record */
    BB_WIRE_WELCOME,      /* response to a hello */
    BB_WIRE_LATER,        /* join refused for now: retry after a delay */
    BB_WIRE_HEARTBEAT,    /* configuration version and digests */
    BB_WIRE_UPDATE,       /* member records */
    BB_WIRE_EXCHANGE,     /* bucket digests of the membership table */
    BB_WIRE_ADVERTISE,    /* the sender has this configuration version */
    BB_WIRE_PULL,         /* requests newer configuration versions */
    BB_WIRE_DELTA,        /* signed release record and delta */
    BB_WIRE_CONTENT,      /* signed release record and complete content */
    BB_WIRE_SUMMARY,      /* services of a data centre */
    BB_WIRE_SUMMARY_PULL, /* requests all services of a data centre */
    BB_WIRE_TYPE_COUNT,
} bb_wire_type_t;

typedef struct {
    size_t count;
    char items[BB_WIRE_MAX_ADDRESSES][BB_ADDRESS_TEXT + 1];
} bb_wire_addresses_t;

typedef struct {
    bb_wire_type_t type;
    uint64_t sender; /* node id */

    /* The comments name the message types that have a field. */
    bb_member_t member; /* hello, welcome: record of the sender */
    bool is_join;       /* hello: the sender knows no other member yet */
    bool is_reply;      /* exchange: answers another exchange */

    bb_wire_addresses_t addresses; /* welcome, later: members to contact */
    bb_wire_addresses_t gateways;  /* welcome: of the sender's data centre */
    int64_t delay_ms;              /* later: time until the next attempt */

    int64_t version;        /* heartbeat, advertise, pull; 0 = none */
    uint64_t config_digest; /* first 8 bytes of the digest of that version */
    uint64_t member_digest; /* heartbeat */

    uint64_t buckets[BB_MEMBER_BUCKETS]; /* exchange */

    bb_member_t *members; /* update */
    size_t member_count;

    bb_release_t release; /* delta, content */
    const char *text;     /* delta, content; points into the frame */
    size_t text_size;

    /* hello, welcome, update, summary, summary-pull */
    char data_centre[BB_DATA_CENTRE_TEXT + 1];
    uint64_t origin;         /* summary: node id of the gateway */
    int64_t sequence;        /* summary: number given by the origin */
    uint64_t summary_digest; /* summary: digest of all services */
    bool is_full;            /* summary: lists all services, not changes */
    bb_summary_t *summaries;
    size_t summary_count;
} bb_wire_message_t;

/* Returns the frame and sets *size; free the frame with g_free(). */
unsigned char *BbWire_Encode(const char *cluster,
                             const bb_wire_message_t *message, size_t *size);

/*
 * Returns 0 or an error; *out is valid only after 0. Its text points into the
 * frame.
 */
int BbWire_Decode(const char *cluster, const unsigned char *frame, size_t size,
                  bb_wire_message_t *out);

/* Frees members and summaries. */
void BbWire_Clear(bb_wire_message_t *message);

/* Returns the lower-case name of a type, for the status report and tests. */
const char *BbWire_TypeName(bb_wire_type_t type);

/* Returns the first 8 bytes of a hex digest as a number, 0 if it is empty. */
uint64_t BbWire_ShortDigest(const char *hex);

#ifdef __cplusplus
}
#endif

#endif
