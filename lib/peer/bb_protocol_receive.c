/* Handling of the messages received by bb_protocol. */
#include <glib.h>
#include <string.h>

#include "bb_counters.h"
#include "bb_protocol_private.h"

/* Records which node, of which data centre, is at the other end of a link. */
static void
set_link_peer(bb_protocol_t *protocol, bb_link_t *link,
              const bb_member_t *member)
{
    if (link->is_incoming) {
        g_strlcpy(link->address, member->peer_address, sizeof(link->address));
    }
    if (link->node_id == member->node_id && link->data_centre[0] != '\0') {
        return;
    }
    link->node_id = member->node_id;
    g_strlcpy(link->data_centre, member->data_centre,
              sizeof(link->data_centre));
    /* Only later changes are sent as updates; the comparison of digests finds
     * differences in older records. */
    link->cursor = BbMembers_Sequence(protocol->members);
    link->digest_mismatch_since_ms = 0;
    /* The first exchange need not wait for exchange_interval_ms, only until
     * the digests have differed for digest_mismatch_ms (2 s by default). */
    link->last_exchange_ms =
        protocol->now_ms - protocol->timing.exchange_interval_ms;
}

static void
defer_join(bb_protocol_t *protocol, bb_link_t *link, const char *data_centre,
           int64_t delay_ms)
{
    bb_wire_message_t message = {.type = BB_WIRE_LATER, .delay_ms = delay_ms};
    link->is_deferred = true;
    BbNeighbour_FillAddresses(protocol, data_centre, &message.addresses);
    BbProtocol_Send(protocol, link, &message);
}

static bool
is_live_member(const bb_protocol_t *protocol, uint64_t node_id)
{
    const bb_member_t *member = BbMembers_Find(protocol->members, node_id);
    return member != NULL && BbMember_IsLive(member);
}

static void
handle_hello(bb_protocol_t *protocol, bb_link_t *link,
             const bb_wire_message_t *message)
{
    const bb_member_t *self = BbMembers_Self(protocol->members);
    int64_t delay_ms = 0;
    bool is_local = strcmp(message->data_centre, self->data_centre) == 0;
    bool is_join = is_local && message->is_join;
    if (is_join && !is_live_member(protocol, message->sender) &&
        !BbTokenBucket_AdmitJoin(&protocol->joins, protocol->options.random,
                                 protocol->now_ms, &delay_ms)) {
        defer_join(protocol, link, message->data_centre, delay_ms);
        return;
    }
    link->is_deferred = false;
    set_link_peer(protocol, link, &message->member);
    if (is_join) {
        link->cursor = 0; /* send all records, as the byte budget allows */
    }
    if (is_local) {
        BbProtocol_MergeRecords(protocol, link, &message->member, 1);
    }
    else {
        BbNeighbour_AddSeed(protocol, message->member.peer_address,
                            message->data_centre);
    }
    BbProtocol_SendWelcome(protocol, link);
    BbProtocol_SendHeartbeat(protocol, link);
}

static void
handle_welcome(bb_protocol_t *protocol, bb_link_t *link,
               const bb_wire_message_t *message)
{
    const bb_member_t *self = BbMembers_Self(protocol->members);
    bool is_new = link->data_centre[0] == '\0';
    set_link_peer(protocol, link, &message->member);
    BbNeighbour_AddSeed(protocol, message->member.peer_address,
                        message->data_centre);
    for (size_t i = 0; i < message->addresses.count; i++) {
        BbNeighbour_AddSeed(protocol, message->addresses.items[i],
                            self->data_centre);
    }
    if (BbProtocol_IsLocal(protocol, link)) {
        BbProtocol_MergeRecords(protocol, link, &message->member, 1);
    }
    else {
        BbNeighbour_SetGateways(protocol, message->data_centre,
                                &message->gateways,
                                message->member.peer_address);
    }
    if (is_new) {
        BbProtocol_SendHeartbeat(protocol, link);
    }
}

static void
handle_later(bb_protocol_t *protocol, bb_link_t *link,
             const bb_wire_message_t *message)
{
    const bb_member_t *self = BbMembers_Self(protocol->members);
    if (link->is_incoming || link->data_centre[0] != '\0') {
        return;
    }
    protocol->last_deferred_ms = protocol->now_ms;
    for (size_t i = 0; i < message->addresses.count; i++) {
        BbNeighbour_AddSeed(protocol, message->addresses.items[i],
                            self->data_centre);
    }
    BbNeighbour_DelaySeed(protocol, link->address,
                          protocol->now_ms + message->delay_ms);
    link->keep_until_ms = 0; /* closed by BbNeighbour_UpdateLinks() */
}

static void
send_buckets(bb_protocol_t *protocol, bb_link_t *link, bool is_reply)
{
    bb_wire_message_t message = {.type = BB_WIRE_EXCHANGE,
                                 .is_reply = is_reply};
    BbMembers_Buckets(protocol->members, message.buckets);
    link->last_exchange_ms = protocol->now_ms;
    BbProtocol_SendAndCharge(protocol, link, &message);
}

/* Starts an exchange when the digests have differed for long enough. */
static void
compare_digests(bb_protocol_t *protocol, bb_link_t *link,
                uint64_t member_digest)
{
    int64_t now_ms = protocol->now_ms;
    if (member_digest == BbMembers_Digest(protocol->members)) {
        link->digest_mismatch_since_ms = 0;
        return;
    }
    if (link->digest_mismatch_since_ms == 0) {
        link->digest_mismatch_since_ms = now_ms;
    }
    if (now_ms - link->digest_mismatch_since_ms >=
            protocol->timing.digest_mismatch_ms &&
        now_ms - link->last_exchange_ms >=
            protocol->timing.exchange_interval_ms &&
        BbTokenBucket_HasTokens(&protocol->bytes, now_ms)) {
        BbCounters_Add(BB_COUNTER_PEER_EXCHANGE, 1);
        send_buckets(protocol, link, false);
    }
}

static void
handle_heartbeat(bb_protocol_t *protocol, bb_link_t *link,
                 const bb_wire_message_t *message)
{
    BbSpread_Receive(protocol->spread, link->id, message, protocol->now_ms);
    if (!BbProtocol_IsLocal(protocol, link)) {
        return;
    }
    const bb_member_t *member =
        BbMembers_Find(protocol->members, message->sender);
    if (member == NULL) {
        BbProtocol_SendHello(protocol, link); /* the welcome has the record */
    }
    else if (!BbMember_IsLive(member)) {
        bb_member_t stored = *member; /* the live node refutes it */
        BbProtocol_SendRecords(protocol, link, &stored, 1);
    }
    compare_digests(protocol, link, message->member_digest);
}

static void
handle_update(bb_protocol_t *protocol, bb_link_t *link,
              const bb_wire_message_t *message)
{
    if (BbProtocol_IsLocal(protocol, link)) {
        BbProtocol_MergeRecords(protocol, link, message->members,
                                message->member_count);
    }
}

/* Sends the live records of the buckets whose digests differ, until the byte
 * budget is spent. */
static void
send_differing_records(bb_protocol_t *protocol, bb_link_t *link,
                       const uint64_t other[BB_MEMBER_BUCKETS])
{
    uint64_t own[BB_MEMBER_BUCKETS];
    bb_member_t records[MAX_UPDATE_RECORDS];
    size_t pending = 0;
    const bb_member_t **all = g_new(const bb_member_t *, BB_MAX_MEMBERS);
    size_t count = BbMembers_List(protocol->members, all, BB_MAX_MEMBERS);
    /* Starts at a random record so that no record is always the one for which
     * the budget is spent. */
    size_t start =
        (size_t)BbRandom_Below(protocol->options.random, (int)count);
    BbMembers_Buckets(protocol->members, own);
    for (size_t i = 0; i < count; i++) {
        const bb_member_t *member = all[(start + i) % count];
        size_t bucket = BbMember_Bucket(member->node_id);
        if (!BbMember_IsLive(member) || own[bucket] == other[bucket]) {
            continue;
        }
        records[pending++] = *member;
        if (pending == MAX_UPDATE_RECORDS) {
            BbProtocol_SendRecords(protocol, link, records, pending);
            pending = 0;
            if (!BbTokenBucket_HasTokens(&protocol->bytes, protocol->now_ms)) {
                break;
            }
        }
    }
    BbProtocol_SendRecords(protocol, link, records, pending);
    g_free(all);
}

static void
handle_exchange(bb_protocol_t *protocol, bb_link_t *link,
                const bb_wire_message_t *message)
{
    if (!BbProtocol_IsLocal(protocol, link) ||
        !BbTokenBucket_HasTokens(&protocol->bytes, protocol->now_ms)) {
        return;
    }
    if (!message->is_reply) {
        send_buckets(protocol, link, true);
    }
    send_differing_records(protocol, link, message->buckets);
}

static void
handle_version_message(bb_protocol_t *protocol, bb_link_t *link,
                       const bb_wire_message_t *message)
{
    BbSpread_Receive(protocol->spread, link->id, message, protocol->now_ms);
}

/* Forwards a summary to the other linked nodes of this data centre, so that
 * it is sent between data centres only once. */
static void
forward_summary(bb_protocol_t *protocol, const bb_wire_message_t *message,
                uint64_t from)
{
    for (bb_link_t *link = protocol->links; link != NULL;
         link = link->hh.next) {
        if (link->id != from && BbProtocol_IsLocal(protocol, link)) {
            bb_wire_message_t copy = *message;
            BbProtocol_SendAndCharge(protocol, link, &copy);
        }
    }
}

static void
handle_summary(bb_protocol_t *protocol, bb_link_t *link,
               const bb_wire_message_t *message)
{
    bb_summary_result_t result =
        BbSummaries_Apply(protocol->summaries, message, protocol->now_ms);
    if (result == BB_SUMMARY_FORWARD || result == BB_SUMMARY_INCOMPLETE) {
        forward_summary(protocol, message, link->id);
    }
    if (result == BB_SUMMARY_INCOMPLETE) {
        bb_wire_message_t pull = {.type = BB_WIRE_SUMMARY_PULL};
        g_strlcpy(pull.data_centre, message->data_centre,
                  sizeof(pull.data_centre));
        BbProtocol_SendAndCharge(protocol, link, &pull);
    }
}

static void
handle_summary_pull(bb_protocol_t *protocol, bb_link_t *link,
                    const bb_wire_message_t *message)
{
    bb_wire_message_t response;
    if (BbTokenBucket_HasTokens(&protocol->bytes, protocol->now_ms) &&
        BbSummaries_FillFull(protocol->summaries, message->data_centre,
                             &response)) {
        BbProtocol_SendAndCharge(protocol, link, &response);
        BbWire_Clear(&response);
    }
}

typedef void (*handler_t)(bb_protocol_t *protocol, bb_link_t *link,
                          const bb_wire_message_t *message);

static const handler_t handlers[BB_WIRE_TYPE_COUNT] = {
    [BB_WIRE_HELLO] = handle_hello,
    [BB_WIRE_WELCOME] = handle_welcome,
    [BB_WIRE_LATER] = handle_later,
    [BB_WIRE_HEARTBEAT] = handle_heartbeat,
    [BB_WIRE_UPDATE] = handle_update,
    [BB_WIRE_EXCHANGE] = handle_exchange,
    [BB_WIRE_ADVERTISE] = handle_version_message,
    [BB_WIRE_PULL] = handle_version_message,
    [BB_WIRE_DELTA] = handle_version_message,
    [BB_WIRE_CONTENT] = handle_version_message,
    [BB_WIRE_SUMMARY] = handle_summary,
    [BB_WIRE_SUMMARY_PULL] = handle_summary_pull,
};

/* Updates the link and the membership table for a message of this sender. */
static void
update_sender(bb_protocol_t *protocol, bb_link_t *link, uint64_t sender)
{
    const bb_member_t *member = BbMembers_Find(protocol->members, sender);
    link->last_received_ms = protocol->now_ms;
    if (link->node_id != sender) {
        /* Another process now uses the address at the other end. */
        link->node_id = sender;
        link->data_centre[0] = '\0';
        if (member != NULL) {
            set_link_peer(protocol, link, member);
        }
    }
    BbMembers_ConfirmAlive(protocol->members, sender, protocol->now_ms);
}

void
BbProtocol_Receive(bb_protocol_t *protocol, uint64_t id,
                   const unsigned char *frame, size_t size, int64_t now_ms)
{
    bb_wire_message_t message;
    bb_link_t *link = BbNeighbour_FindLink(protocol, id);
    int64_t bytes = (int64_t)size + BB_WIRE_OVERHEAD_BYTES;
    protocol->now_ms = now_ms;
    BbCounters_Add(BB_COUNTER_PEER_MESSAGES_RECEIVED, 1);
    BbCounters_Add(BB_COUNTER_PEER_BYTES_RECEIVED, bytes);
    if (BbWire_Decode(protocol->cluster, frame, size, &message) != 0) {
        protocol->bytes_received[0] += bytes;
        protocol->messages_received[0]++;
        return;
    }
    protocol->bytes_received[message.type] += bytes;
    protocol->messages_received[message.type]++;
    if (link != NULL && !protocol->has_left &&
        message.sender != BbMembers_Self(protocol->members)->node_id) {
        update_sender(protocol, link, message.sender);
        handlers[message.type](protocol, link, &message);
    }
    BbWire_Clear(&message);
}
