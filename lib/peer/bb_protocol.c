#include "bb_protocol.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "bb_counters.h"
#include "bb_error.h"
#include "bb_protocol_private.h"

#define DEFAULT_FANOUT 3
/* A gap between ticks above this means that the process or VM was paused. */
#define MIN_PAUSE_MS 1000
/* A node whose join was deferred and that knows no other member does not act
 * as gateway until this time has passed since the last deferral. */
#define JOIN_DEFERRED_MS 5000

/* ---- sending ---- */

size_t
BbProtocol_Send(bb_protocol_t *protocol, bb_link_t *link,
                bb_wire_message_t *message)
{
    const bb_transport_t *transport = &protocol->options.transport;
    size_t size;
    message->sender = BbMembers_Self(protocol->members)->node_id;
    unsigned char *frame = BbWire_Encode(protocol->cluster, message, &size);
    bool is_sent = transport->send(link->id, frame, size, transport->arg);
    g_free(frame);
    if (!is_sent) {
        BbCounters_Add(BB_COUNTER_PEER_SEND_DROPPED, 1);
        return 0;
    }
    size += BB_WIRE_OVERHEAD_BYTES;
    protocol->messages_sent[message->type]++;
    protocol->bytes_sent[message->type] += (int64_t)size;
    BbCounters_Add(BB_COUNTER_PEER_MESSAGES_SENT, 1);
    BbCounters_Add(BB_COUNTER_PEER_BYTES_SENT, (int64_t)size);
    return size;
}

/* Sends a message and charges its bytes to the byte budget. */
void
BbProtocol_SendAndCharge(bb_protocol_t *protocol, bb_link_t *link,
                         bb_wire_message_t *message)
{
    size_t size = BbProtocol_Send(protocol, link, message);
    BbTokenBucket_Take(&protocol->bytes, (int64_t)size, protocol->now_ms);
}

static void
send_version_message(uint64_t id, const bb_wire_message_t *message, void *arg)
{
    bb_protocol_t *protocol = arg;
    bb_link_t *link = BbNeighbour_FindLink(protocol, id);
    bb_wire_message_t copy = *message;
    if (link != NULL && !protocol->has_left) {
        BbProtocol_Send(protocol, link, &copy);
    }
}

bool
BbProtocol_IsLocal(const bb_protocol_t *protocol, const bb_link_t *link)
{
    const bb_member_t *self = BbMembers_Self(protocol->members);
    return strcmp(link->data_centre, self->data_centre) == 0;
}

static void
fill_own_record(const bb_protocol_t *protocol, bb_wire_message_t *message)
{
    message->member = *BbMembers_Self(protocol->members);
    g_strlcpy(message->data_centre, message->member.data_centre,
              sizeof(message->data_centre));
}

void
BbProtocol_SendHello(bb_protocol_t *protocol, bb_link_t *link)
{
    bb_wire_message_t message = {.type = BB_WIRE_HELLO};
    fill_own_record(protocol, &message);
    message.is_join = BbMembers_LiveCount(protocol->members) == 1;
    BbProtocol_Send(protocol, link, &message);
}

void
BbProtocol_SendHeartbeat(bb_protocol_t *protocol, bb_link_t *link)
{
    const bb_release_t *release =
        BbActiveConfig_GetRelease(protocol->options.active_config);
    bb_wire_message_t message = {.type = BB_WIRE_HEARTBEAT};
    if (release != NULL) {
        message.version = release->version;
        message.config_digest = BbWire_ShortDigest(release->digest);
    }
    if (BbProtocol_IsLocal(protocol, link)) {
        message.member_digest = BbMembers_Digest(protocol->members);
    }
    BbProtocol_Send(protocol, link, &message);
}

void
BbProtocol_SendWelcome(bb_protocol_t *protocol, bb_link_t *link)
{
    const bb_member_t *gateways[BB_GATEWAYS];
    bb_wire_message_t message = {.type = BB_WIRE_WELCOME};
    fill_own_record(protocol, &message);
    BbNeighbour_FillAddresses(protocol, link->data_centre, &message.addresses);
    message.gateways.count = BbMembers_Gateways(protocol->members, gateways);
    for (size_t i = 0; i < message.gateways.count; i++) {
        g_strlcpy(message.gateways.items[i], gateways[i]->peer_address,
                  sizeof(message.gateways.items[i]));
    }
    BbProtocol_Send(protocol, link, &message);
}

/* Sends member records on one link and charges them to the byte budget, which
 * the calling function checks if it needs to. */
void
BbProtocol_SendRecords(bb_protocol_t *protocol, bb_link_t *link,
                       bb_member_t *records, size_t count)
{
    const bb_member_t *self = BbMembers_Self(protocol->members);
    bb_wire_message_t message = {
        .type = BB_WIRE_UPDATE, .members = records, .member_count = count};
    if (count > 0) {
        g_strlcpy(message.data_centre, self->data_centre,
                  sizeof(message.data_centre));
        BbProtocol_SendAndCharge(protocol, link, &message);
    }
}

/* ---- updates ---- */

/* True if the new record means that the member must get no more calls. */
static bool
stops_calls(const bb_member_t *old, const bb_member_t *next)
{
    bool was_ready = old != NULL && old->state <= BB_MEMBER_SUSPECT &&
                     old->target_state == BB_TARGET_READY;
    return next->state == BB_MEMBER_LEFT ||
           next->state == BB_MEMBER_DRAINING ||
           (was_ready && next->target_state != BB_TARGET_READY);
}

/* Sends records that stop calls immediately and even if the byte budget is
 * spent. The next update batch sends them again in case a message was lost. */
static void
send_urgent(bb_protocol_t *protocol, bb_member_t *records, size_t count,
            uint64_t from)
{
    for (bb_link_t *link = protocol->links; link != NULL;
         link = link->hh.next) {
        if (link->id != from && BbProtocol_IsLocal(protocol, link)) {
            BbProtocol_SendRecords(protocol, link, records, count);
        }
    }
}

static void
send_own_record(bb_protocol_t *protocol)
{
    bb_member_t self = *BbMembers_Self(protocol->members);
    send_urgent(protocol, &self, 1, 0);
}

/* Sends the changes after the link's cursor while the byte budget lasts. */
static void
flush_link(bb_protocol_t *protocol, bb_link_t *link)
{
    bb_member_t records[MAX_UPDATE_RECORDS];
    uint64_t newest = BbMembers_Sequence(protocol->members);
    while (link->cursor < newest) {
        if (!BbTokenBucket_HasTokens(&protocol->bytes, protocol->now_ms)) {
            BbCounters_Add(BB_COUNTER_PEER_UPDATE_DEFERRED, 1);
            return;
        }
        size_t count =
            BbMembers_Changes(protocol->members, &link->cursor, link->id,
                              records, MAX_UPDATE_RECORDS);
        BbProtocol_SendRecords(protocol, link, records, count);
    }
}

/* Starts at a random link so that no link is always the one for which the
 * budget is spent. */
static void
flush_updates(bb_protocol_t *protocol)
{
    bb_link_t *local[BB_MAX_LINKS];
    int count = 0;
    for (bb_link_t *link = protocol->links; link != NULL;
         link = link->hh.next) {
        if (BbProtocol_IsLocal(protocol, link) && !link->is_open_failed) {
            local[count++] = link;
        }
    }
    int start =
        count > 0 ? BbRandom_Below(protocol->options.random, count) : 0;
    for (int i = 0; i < count; i++) {
        flush_link(protocol, local[(start + i) % count]);
    }
}

typedef struct {
    bb_member_t urgent[BB_WIRE_MAX_MEMBERS];
    size_t urgent_count;
    bb_member_t newer[BB_WIRE_MAX_MEMBERS]; /* stored records that are newer */
    size_t newer_count;
} merge_result_t;

static void
merge_record(bb_protocol_t *protocol, const bb_link_t *link,
             const bb_member_t *record, merge_result_t *result)
{
    const bb_member_t *stored =
        BbMembers_FindAddress(protocol->members, record->peer_address);
    bool urgent = stops_calls(stored, record);
    bb_merge_t merged =
        BbMembers_Merge(protocol->members, record, link->id, protocol->now_ms);
    stored = BbMembers_FindAddress(protocol->members, record->peer_address);
    if (merged == BB_MERGE_CHANGED && urgent && stored != NULL &&
        stored != BbMembers_Self(protocol->members)) {
        result->urgent[result->urgent_count++] = *stored;
    }
    else if (merged == BB_MERGE_SUPERSEDED && stored != NULL) {
        result->newer[result->newer_count++] = *stored;
    }
}

/* Merges received records. For outdated ones, sends back the newer record. */
void
BbProtocol_MergeRecords(bb_protocol_t *protocol, bb_link_t *link,
                        const bb_member_t *records, size_t count)
{
    merge_result_t *result = g_new0(merge_result_t, 1);
    for (size_t i = 0; i < count; i++) {
        merge_record(protocol, link, &records[i], result);
    }
    if (result->urgent_count > 0) {
        send_urgent(protocol, result->urgent, result->urgent_count, link->id);
    }
    if (BbTokenBucket_HasTokens(&protocol->bytes, protocol->now_ms)) {
        BbProtocol_SendRecords(protocol, link, result->newer,
                               result->newer_count);
    }
    g_free(result);
}

/* ---- periodic work ---- */

/* Decides whether this node acts as a gateway and reports a change. */
static void
check_gateway(bb_protocol_t *protocol)
{
    const bb_member_t *gateways[BB_GATEWAYS];
    const bb_member_t *self = BbMembers_Self(protocol->members);
    const bb_peer_callbacks_t *callbacks = &protocol->options.callbacks;
    int64_t now_ms = protocol->now_ms;
    bool is_gateway = false;
    size_t count = BbMembers_Gateways(protocol->members, gateways);
    for (size_t i = 0; i < count; i++) {
        if (gateways[i] == self) {
            is_gateway = true;
            protocol->gateway_index = i;
        }
    }
    /* A starting node knows no other member and would choose itself. Many
     * nodes that start together must not all read from the platform as
     * gateways. */
    bool is_alone = BbMembers_LiveCount(protocol->members) == 1;
    bool is_starting =
        now_ms - protocol->start_ms < protocol->timing.first_version_wait_ms ||
        (is_alone && protocol->last_deferred_ms != 0 &&
         now_ms - protocol->last_deferred_ms < JOIN_DEFERRED_MS);
    is_gateway = is_gateway && !is_starting;
    if (is_gateway != protocol->is_gateway) {
        protocol->is_gateway = is_gateway;
        if (callbacks->on_gateway_change != NULL) {
            callbacks->on_gateway_change(is_gateway, callbacks->arg);
        }
    }
}

/* Sends the services of this data centre to the linked nodes of others. */
static void
send_own_summary(bb_protocol_t *protocol)
{
    bb_wire_message_t message;
    if (!protocol->is_gateway ||
        !BbTokenBucket_HasTokens(&protocol->bytes, protocol->now_ms) ||
        !BbSummaries_FillChanges(protocol->summaries, protocol->members,
                                 &message, protocol->now_ms)) {
        return;
    }
    for (bb_link_t *link = protocol->links; link != NULL;
         link = link->hh.next) {
        if (link->data_centre[0] != '\0' &&
            !BbProtocol_IsLocal(protocol, link)) {
            BbProtocol_SendAndCharge(protocol, link, &message);
        }
    }
    BbWire_Clear(&message);
}

static void
send_heartbeats(bb_protocol_t *protocol)
{
    for (bb_link_t *link = protocol->links; link != NULL;
         link = link->hh.next) {
        if (link->is_deferred || link->is_open_failed) {
            continue;
        }
        if (link->data_centre[0] == '\0') {
            BbProtocol_SendHello(protocol, link);
        }
        else {
            BbProtocol_SendHeartbeat(protocol, link);
        }
    }
}

/* Sends a hello to other data centres: the welcome lists their current
 * gateways. */
static void
refresh_gateways(bb_protocol_t *protocol)
{
    for (bb_link_t *link = protocol->links; link != NULL;
         link = link->hh.next) {
        if (!link->is_incoming && link->data_centre[0] != '\0' &&
            !BbProtocol_IsLocal(protocol, link)) {
            BbProtocol_SendHello(protocol, link);
        }
    }
}

static void
run_heartbeat_interval(bb_protocol_t *protocol)
{
    /* Read first: BbNeighbour_UpdateLinks() advances next_probe_ms. */
    bool is_refresh_due = protocol->now_ms >= protocol->next_probe_ms;
    check_gateway(protocol);
    BbNeighbour_UpdateLinks(protocol);
    send_heartbeats(protocol);
    send_own_summary(protocol);
    if (is_refresh_due && protocol->is_gateway) {
        refresh_gateways(protocol);
    }
}

/* Time during which this process was paused does not count as silence of
 * peers. */
static void
discount_own_pause(bb_protocol_t *protocol)
{
    int64_t gap_ms = protocol->now_ms - protocol->last_tick_ms;
    protocol->last_tick_ms = protocol->now_ms;
    if (gap_ms <= MIN_PAUSE_MS) {
        return;
    }
    for (bb_link_t *link = protocol->links; link != NULL;
         link = link->hh.next) {
        link->last_received_ms =
            MIN(link->last_received_ms + gap_ms, protocol->now_ms);
        link->opened_ms = MIN(link->opened_ms + gap_ms, protocol->now_ms);
    }
}

void
BbProtocol_Tick(bb_protocol_t *protocol, int64_t now_ms)
{
    protocol->now_ms = now_ms;
    if (protocol->has_left) {
        return;
    }
    discount_own_pause(protocol);
    BbMembers_Tick(protocol->members, now_ms);
    BbSummaries_Tick(protocol->summaries, now_ms);
    BbNeighbour_CheckSilence(protocol);
    BbSpread_Tick(protocol->spread, now_ms);
    if (now_ms >= protocol->next_heartbeat_ms) {
        protocol->next_heartbeat_ms =
            now_ms + protocol->timing.heartbeat_interval_ms;
        run_heartbeat_interval(protocol);
    }
    if (now_ms >= protocol->next_update_ms) {
        protocol->next_update_ms =
            now_ms + protocol->timing.update_interval_ms;
        flush_updates(protocol);
    }
}

/* ---- construction ---- */

static int64_t
value_or_default(int64_t value, int64_t default_value)
{
    return value > 0 ? value : default_value;
}

static void
set_timing(bb_peer_timing_t *timing)
{
    timing->heartbeat_interval_ms =
        value_or_default(timing->heartbeat_interval_ms, 1000);
    timing->update_interval_ms =
        value_or_default(timing->update_interval_ms, 200);
    timing->replace_link_after_ms =
        value_or_default(timing->replace_link_after_ms, 2000);
    timing->suspect_after_ms =
        value_or_default(timing->suspect_after_ms, 3000);
    timing->digest_mismatch_ms =
        value_or_default(timing->digest_mismatch_ms, 2000);
    timing->exchange_interval_ms =
        value_or_default(timing->exchange_interval_ms, 5000);
    timing->summary_interval_ms =
        value_or_default(timing->summary_interval_ms, 10000);
    timing->join_retry_ms = value_or_default(timing->join_retry_ms, 1000);
    timing->first_version_wait_ms =
        value_or_default(timing->first_version_wait_ms, 2000);
    timing->bytes_per_second =
        value_or_default(timing->bytes_per_second, 8192);
    timing->joins_per_second = value_or_default(timing->joins_per_second, 20);
}

static void
report_member(const bb_member_t *member, void *arg)
{
    const bb_protocol_t *protocol = arg;
    const bb_peer_callbacks_t *callbacks = &protocol->options.callbacks;
    if (member->state == BB_MEMBER_DEAD) {
        /* Kept as a seed, to be probed later in case it is back. */
        BbNeighbour_AddSeed(arg, member->peer_address, member->data_centre);
    }
    if (callbacks->on_member_change != NULL) {
        callbacks->on_member_change(member, callbacks->arg);
    }
}

static void
report_summary(const char *data_centre, const bb_summary_t *summary, void *arg)
{
    const bb_protocol_t *protocol = arg;
    const bb_peer_callbacks_t *callbacks = &protocol->options.callbacks;
    if (callbacks->on_summary_change != NULL) {
        callbacks->on_summary_change(data_centre, summary, callbacks->arg);
    }
}

static void
create_components(bb_protocol_t *protocol, int64_t now_ms)
{
    const bb_protocol_options_t *options = &protocol->options;
    const bb_peer_timing_t *timing = &protocol->timing;
    bb_members_options_t members = {.self = options->self,
                                    .dead_after_ms = timing->dead_after_ms,
                                    .remove_after_ms = timing->remove_after_ms,
                                    .on_change = report_member,
                                    .arg = protocol};
    bb_spread_options_t spread = {.active_config = options->active_config,
                                  .mode = options->mode,
                                  .pull_retry_ms = timing->pull_retry_ms,
                                  .first_version_wait_ms =
                                      timing->first_version_wait_ms,
                                  .send = send_version_message,
                                  .arg = protocol};
    bb_summaries_options_t summaries = {
        .origin = options->self.node_id,
        .refresh_ms = timing->summary_interval_ms,
        .stale_ms = timing->summary_stale_after_ms,
        .on_change = report_summary,
        .arg = protocol};
    g_strlcpy(summaries.data_centre, options->self.data_centre,
              sizeof(summaries.data_centre));
    protocol->members = BbMembers_New(&members);
    protocol->spread = BbSpread_New(&spread, now_ms);
    protocol->summaries = BbSummaries_New(&summaries);
}

bb_protocol_t *
BbProtocol_New(const bb_protocol_options_t *options, int64_t now_ms)
{
    bb_protocol_t *protocol = g_new0(bb_protocol_t, 1);
    protocol->options = *options;
    protocol->timing = options->timing;
    set_timing(&protocol->timing);
    if (protocol->options.fanout <= 0) {
        protocol->options.fanout = DEFAULT_FANOUT;
    }
    g_strlcpy(protocol->cluster, options->cluster, sizeof(protocol->cluster));
    protocol->start_ms = now_ms;
    protocol->now_ms = now_ms;
    protocol->last_tick_ms = now_ms;
    create_components(protocol, now_ms);
    BbTokenBucket_Init(&protocol->bytes, protocol->timing.bytes_per_second,
                       now_ms);
    BbTokenBucket_Init(&protocol->joins, protocol->timing.joins_per_second,
                       now_ms);
    BbProtocol_AddSeeds(protocol, NULL, options->seeds, options->seed_count);
    protocol->options.seeds = NULL;
    protocol->options.cluster = NULL;
    return protocol;
}

void
BbProtocol_Free(bb_protocol_t *protocol)
{
    if (protocol == NULL) {
        return;
    }
    while (protocol->links != NULL) {
        bb_link_t *link = protocol->links;
        HASH_DEL(protocol->links, link);
        g_free(link);
    }
    BbSummaries_Free(protocol->summaries);
    BbSpread_Free(protocol->spread);
    BbMembers_Free(protocol->members);
    g_free(protocol);
}

/* ---- public functions ---- */

uint64_t
BbProtocol_Accept(bb_protocol_t *protocol, int64_t now_ms)
{
    protocol->now_ms = now_ms;
    const bb_link_t *link = BbNeighbour_AddIncomingLink(protocol);
    return link != NULL ? link->id : 0;
}

void
BbProtocol_SetTarget(bb_protocol_t *protocol, const char *service,
                     bb_target_state_t state, int slots, int64_t now_ms)
{
    protocol->now_ms = now_ms;
    bool was_ready =
        BbMembers_Self(protocol->members)->target_state == BB_TARGET_READY;
    if (BbMembers_SetTarget(protocol->members, service, state, slots) &&
        was_ready && state != BB_TARGET_READY) {
        send_own_record(protocol);
    }
}

void
BbProtocol_AddSeeds(bb_protocol_t *protocol, const char *data_centre,
                    const char *const *addresses, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        BbNeighbour_AddSeed(protocol, addresses[i],
                            data_centre != NULL ? data_centre : "");
    }
}

int
BbProtocol_OfferVersion(bb_protocol_t *protocol, const bb_release_t *release,
                        const char *text, size_t size, bb_findings_t *findings,
                        int64_t now_ms)
{
    protocol->now_ms = now_ms;
    return BbSpread_Offer(protocol->spread, release, text, size, findings,
                          now_ms);
}

void
BbProtocol_Drain(bb_protocol_t *protocol, int64_t now_ms)
{
    protocol->now_ms = now_ms;
    BbMembers_SetOwnState(protocol->members, BB_MEMBER_DRAINING);
    send_own_record(protocol);
}

void
BbProtocol_Leave(bb_protocol_t *protocol, int64_t now_ms)
{
    protocol->now_ms = now_ms;
    BbMembers_SetOwnState(protocol->members, BB_MEMBER_LEFT);
    send_own_record(protocol);
    protocol->has_left = true;
}

bool
BbProtocol_IsGateway(const bb_protocol_t *protocol)
{
    return protocol->is_gateway;
}

const bb_members_t *
BbProtocol_Members(const bb_protocol_t *protocol)
{
    return protocol->members;
}

static int64_t
sum(const int64_t counts[BB_WIRE_TYPE_COUNT])
{
    int64_t total = 0;
    for (int i = 0; i < BB_WIRE_TYPE_COUNT; i++) {
        total += counts[i];
    }
    return total;
}

int64_t
BbProtocol_BytesSent(const bb_protocol_t *protocol)
{
    return sum(protocol->bytes_sent);
}

int64_t
BbProtocol_BytesReceived(const bb_protocol_t *protocol)
{
    return sum(protocol->bytes_received);
}
