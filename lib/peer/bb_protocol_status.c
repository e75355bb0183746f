/* The status report of bb_protocol as JSON. */
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "bb_protocol_private.h"

/* Indexed by bb_member_state_t and bb_target_state_t. */
static const char *const state_names[] = {"alive", "suspect", "draining",
                                          "dead", "left"};
static const char *const target_state_names[] = {"absent", "starting", "ready",
                                                 "draining"};

static json_t *
node_id_json(uint64_t id)
{
    char text[17];
    g_snprintf(text, sizeof(text), "%016" PRIx64, id);
    return json_string(text);
}

static json_t *
member_json(const bb_member_t *member)
{
    return json_pack(
        "{s:o,s:I,s:s,s:s,s:i,s:s,s:s,s:s}", "node",
        node_id_json(member->node_id), "incarnation",
        (json_int_t)member->incarnation, "state", state_names[member->state],
        "target", target_state_names[member->target_state], "slots",
        member->slots, "service", member->service, "caller_address",
        member->caller_address, "peer_address", member->peer_address);
}

static json_t *
members_json(const bb_protocol_t *protocol)
{
    json_t *array = json_array();
    const bb_member_t **all = g_new(const bb_member_t *, BB_MAX_MEMBERS);
    size_t count = BbMembers_List(protocol->members, all, BB_MAX_MEMBERS);
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(array, member_json(all[i]));
    }
    g_free(all);
    return array;
}

static json_t *
links_json(const bb_protocol_t *protocol, int64_t now_ms)
{
    json_t *array = json_array();
    for (const bb_link_t *link = protocol->links; link != NULL;
         link = link->hh.next) {
        json_t *object = json_pack(
            "{s:o,s:s,s:s,s:s,s:I,s:I}", "node", node_id_json(link->node_id),
            "address", link->address, "data_centre", link->data_centre,
            "direction", link->is_incoming ? "in" : "out", "version",
            (json_int_t)BbSpread_LinkVersion(protocol->spread, link->id),
            "silent_ms", (json_int_t)(now_ms - link->last_received_ms));
        json_array_append_new(array, object);
    }
    return array;
}

static json_t *
traffic_json(const bb_protocol_t *protocol)
{
    json_t *object = json_object();
    for (int i = 0; i < BB_WIRE_TYPE_COUNT; i++) {
        json_object_set_new(
            object, i == 0 ? "malformed" : BbWire_TypeName((bb_wire_type_t)i),
            json_pack("{s:I,s:I,s:I,s:I}", "messages_sent",
                      (json_int_t)protocol->messages_sent[i], "bytes_sent",
                      (json_int_t)protocol->bytes_sent[i], "messages_received",
                      (json_int_t)protocol->messages_received[i],
                      "bytes_received",
                      (json_int_t)protocol->bytes_received[i]));
    }
    return object;
}

json_t *
BbProtocol_StatusJson(const bb_protocol_t *protocol, int64_t now_ms)
{
    return json_pack(
        "{s:o,s:i,s:b,s:o,s:o,s:I,s:I,s:o}", "self",
        member_json(BbMembers_Self(protocol->members)), "live_members",
        (int)BbMembers_LiveCount(protocol->members), "gateway",
        protocol->is_gateway, "members", members_json(protocol), "links",
        links_json(protocol, now_ms), "bytes_sent",
        (json_int_t)BbProtocol_BytesSent(protocol), "bytes_received",
        (json_int_t)BbProtocol_BytesReceived(protocol), "traffic",
        traffic_json(protocol));
}
