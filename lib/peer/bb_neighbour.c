/* Selects the peers to keep links to (ring successors, a random member and
 * gateways) and opens short-lived links for joins and probes. */
#include <glib.h>
#include <string.h>

#include "bb_counters.h"
#include "bb_protocol_private.h"

/* Peers that a joining node asks for members at the same time. */
#define MAX_JOIN_LINKS 3
/* A link opened for a join is kept this long, to get the first version. */
#define JOIN_LINK_MS 5000
/* A link opened as a probe, to see which node answers, is kept this long. */
#define PROBE_LINK_MS 2000
/* Most ring successors with a link, suspects included. */
#define MAX_SUCCESSORS 32
/* An incoming link without a message for this long was closed by the peer. */
#define INCOMING_IDLE_MS 5000

/* ---- links ---- */

bb_link_t *
BbNeighbour_FindLink(const bb_protocol_t *protocol, uint64_t id)
{
    bb_link_t *link = NULL;
    HASH_FIND(hh, protocol->links, &id, sizeof(id), link);
    return link;
}

static bb_link_t *
add_link(bb_protocol_t *protocol, bool is_incoming)
{
    if (HASH_COUNT(protocol->links) >= BB_MAX_LINKS) {
        BbCounters_Add(BB_COUNTER_PEER_LINK_REFUSED, 1);
        return NULL;
    }
    bb_link_t *link = g_new0(bb_link_t, 1);
    link->id = ++protocol->last_link_id;
    link->is_incoming = is_incoming;
    link->opened_ms = protocol->now_ms;
    link->last_received_ms = protocol->now_ms;
    HASH_ADD(hh, protocol->links, id, sizeof(link->id), link);
    BbSpread_AddLink(protocol->spread, link->id, protocol->now_ms);
    return link;
}

bb_link_t *
BbNeighbour_AddIncomingLink(bb_protocol_t *protocol)
{
    return add_link(protocol, true);
}

void
BbNeighbour_CloseLink(bb_protocol_t *protocol, bb_link_t *link)
{
    const bb_transport_t *transport = &protocol->options.transport;
    uint64_t id = link->id;
    transport->close(id, transport->arg);
    HASH_DEL(protocol->links, link);
    g_free(link);
    BbSpread_RemoveLink(protocol->spread, id, protocol->now_ms);
}

static bb_link_t *
open_link(bb_protocol_t *protocol, const char *address)
{
    const bb_transport_t *transport = &protocol->options.transport;
    bb_link_t *link = add_link(protocol, false);
    if (link == NULL) {
        return NULL;
    }
    g_strlcpy(link->address, address, sizeof(link->address));
    if (!transport->open(link->id, address, transport->arg)) {
        link->is_open_failed = true;
        return link;
    }
    BbProtocol_SendHello(protocol, link);
    return link;
}

static bool
is_active(const bb_protocol_t *protocol, const bb_link_t *link)
{
    return !link->is_open_failed && protocol->now_ms - link->last_received_ms <
                                        protocol->timing.replace_link_after_ms;
}

static bb_link_t *
find_outgoing(const bb_protocol_t *protocol, const char *address)
{
    for (bb_link_t *link = protocol->links; link != NULL;
         link = link->hh.next) {
        if (!link->is_incoming && strcmp(link->address, address) == 0) {
            return link;
        }
    }
    return NULL;
}

/* The incoming link from an address on which a message arrived last. */
static bb_link_t *
find_incoming(const bb_protocol_t *protocol, const char *address)
{
    bb_link_t *best = NULL;
    for (bb_link_t *link = protocol->links; link != NULL;
         link = link->hh.next) {
        if (link->is_incoming && link->node_id != 0 &&
            strcmp(link->address, address) == 0 &&
            (best == NULL ||
             link->last_received_ms > best->last_received_ms)) {
            best = link;
        }
    }
    return best;
}

/* ---- seeds ---- */

static bb_seed_t *
find_seed(bb_protocol_t *protocol, const char *address)
{
    for (size_t i = 0; i < protocol->seed_count; i++) {
        if (strcmp(protocol->seeds[i].address, address) == 0) {
            return &protocol->seeds[i];
        }
    }
    return NULL;
}

void
BbNeighbour_AddSeed(bb_protocol_t *protocol, const char *address,
                    const char *data_centre)
{
    const bb_member_t *self = BbMembers_Self(protocol->members);
    if (strcmp(address, self->peer_address) == 0 || address[0] == '\0') {
        return;
    }
    bb_seed_t *seed = find_seed(protocol, address);
    if (seed == NULL && protocol->seed_count < BB_MAX_SEEDS) {
        seed = &protocol->seeds[protocol->seed_count++];
    }
    else if (seed == NULL) {
        /* A full list drops a random entry of its second half, which holds
         * addresses learned at run time, not those from the settings. */
        int first_learned = BB_MAX_SEEDS / 2;
        seed = &protocol->seeds[first_learned +
                                BbRandom_Below(protocol->options.random,
                                               BB_MAX_SEEDS - first_learned)];
        memset(seed, 0, sizeof(*seed));
    }
    g_strlcpy(seed->address, address, sizeof(seed->address));
    if (data_centre[0] != '\0') {
        g_strlcpy(seed->data_centre, data_centre, sizeof(seed->data_centre));
    }
}

void
BbNeighbour_DelaySeed(bb_protocol_t *protocol, const char *address,
                      int64_t until_ms)
{
    bb_seed_t *seed = find_seed(protocol, address);
    if (seed != NULL) {
        seed->next_try_ms = until_ms;
    }
}

static bool
is_own_data_centre(const bb_protocol_t *protocol, const char *data_centre)
{
    const bb_member_t *self = BbMembers_Self(protocol->members);
    return strcmp(data_centre, self->data_centre) == 0;
}

void
BbNeighbour_FillAddresses(const bb_protocol_t *protocol,
                          const char *data_centre, bb_wire_addresses_t *out)
{
    out->count = 0;
    if (is_own_data_centre(protocol, data_centre)) {
        const bb_member_t *members[BB_WIRE_MAX_ADDRESSES / 2];
        size_t count =
            BbMembers_Successors(protocol->members, G_N_ELEMENTS(members),
                                 members, G_N_ELEMENTS(members));
        for (size_t i = 0; i < count; i++) {
            g_strlcpy(out->items[out->count++], members[i]->peer_address,
                      sizeof(out->items[0]));
        }
        return;
    }
    for (size_t i = 0;
         i < protocol->seed_count && out->count < BB_WIRE_MAX_ADDRESSES / 2;
         i++) {
        const bb_seed_t *seed = &protocol->seeds[i];
        if (strcmp(seed->data_centre, data_centre) == 0) {
            g_strlcpy(out->items[out->count++], seed->address,
                      sizeof(out->items[0]));
        }
    }
}

/* ---- other data centres ---- */

/* Returns NULL if the data centre is new and BB_MAX_DATA_CENTRES are known. */
static bb_remote_data_centre_t *
find_or_add_data_centre(bb_protocol_t *protocol, const char *name)
{
    for (size_t i = 0; i < protocol->remote_data_centre_count; i++) {
        if (strcmp(protocol->remote_data_centres[i].name, name) == 0) {
            return &protocol->remote_data_centres[i];
        }
    }
    if (protocol->remote_data_centre_count == BB_MAX_DATA_CENTRES) {
        return NULL;
    }
    bb_remote_data_centre_t *centre =
        &protocol->remote_data_centres[protocol->remote_data_centre_count++];
    g_strlcpy(centre->name, name, sizeof(centre->name));
    return centre;
}

/* Lists the seeds of a data centre, known gateways first. */
static size_t
list_seeds(const bb_protocol_t *protocol, const char *name,
           const bb_seed_t *out[BB_MAX_SEEDS])
{
    size_t count = 0;
    for (int is_gateway = 1; is_gateway >= 0; is_gateway--) {
        for (size_t i = 0; i < protocol->seed_count; i++) {
            const bb_seed_t *seed = &protocol->seeds[i];
            if (seed->is_gateway == (bool)is_gateway &&
                strcmp(seed->data_centre, name) == 0) {
                out[count++] = seed;
            }
        }
    }
    return count;
}

void
BbNeighbour_SetGateways(bb_protocol_t *protocol, const char *data_centre,
                        const bb_wire_addresses_t *gateways,
                        const char *address)
{
    const bb_seed_t *seeds[BB_MAX_SEEDS];
    bb_remote_data_centre_t *centre =
        find_or_add_data_centre(protocol, data_centre);
    if (centre == NULL || gateways->count == 0) {
        return;
    }
    for (size_t i = 0; i < protocol->seed_count; i++) {
        if (strcmp(protocol->seeds[i].data_centre, data_centre) == 0) {
            protocol->seeds[i].is_gateway = false;
        }
    }
    for (size_t i = 0; i < gateways->count; i++) {
        BbNeighbour_AddSeed(protocol, gateways->items[i], data_centre);
        bb_seed_t *seed = find_seed(protocol, gateways->items[i]);
        if (seed != NULL) {
            seed->is_gateway = true;
        }
    }
    /* Keep using the gateway that answered, whatever its index in the list. */
    size_t count = list_seeds(protocol, data_centre, seeds);
    centre->attempt = 0;
    for (size_t i = 0; i < count; i++) {
        if (seeds[i]->is_gateway && strcmp(seeds[i]->address, address) == 0) {
            centre->attempt = i + count - protocol->gateway_index % count;
        }
    }
}

/* ---- link selection ---- */

/* Marks the link to an address as selected, opening it if needed. An active
 * incoming link from that node makes an outgoing one unnecessary. */
static void
request_link(bb_protocol_t *protocol, const char *address)
{
    bb_link_t *link = find_outgoing(protocol, address);
    const bb_link_t *incoming = find_incoming(protocol, address);
    const bb_member_t *self = BbMembers_Self(protocol->members);
    bool has_active_incoming =
        incoming != NULL && is_active(protocol, incoming);
    if (link != NULL) {
        /* Of two links between a pair of nodes, the one opened by the node
         * with the lower id is kept. */
        link->is_selected =
            !has_active_incoming || self->node_id < incoming->node_id;
        return;
    }
    if (has_active_incoming) {
        return;
    }
    link = open_link(protocol, address);
    if (link != NULL) {
        link->is_selected = true;
        /* Measure silence from the last message on the replaced link. */
        link->last_received_ms = incoming != NULL ? incoming->last_received_ms
                                                  : link->last_received_ms;
    }
}

/* Requests a link to one random live member that is not a ring successor. */
static void
request_random_member_link(bb_protocol_t *protocol,
                           const bb_member_t **successors,
                           size_t successor_count)
{
    const bb_member_t *chosen =
        BbMembers_Find(protocol->members, protocol->random_member_id);
    for (size_t i = 0; i < successor_count && chosen != NULL; i++) {
        chosen = successors[i] == chosen ? NULL : chosen;
    }
    if (chosen == NULL || !BbMember_IsLive(chosen)) {
        const bb_member_t **all = g_new(const bb_member_t *, BB_MAX_MEMBERS);
        size_t count = BbMembers_List(protocol->members, all, BB_MAX_MEMBERS);
        chosen = all[BbRandom_Below(protocol->options.random, (int)count)];
        g_free(all);
        protocol->random_member_id = chosen->node_id;
    }
    if (BbMember_IsLive(chosen) &&
        chosen != BbMembers_Self(protocol->members)) {
        request_link(protocol, chosen->peer_address);
    }
}

static void
request_member_links(bb_protocol_t *protocol)
{
    const bb_member_t *successors[MAX_SUCCESSORS];
    size_t fanout = (size_t)protocol->options.fanout;
    size_t count = BbMembers_Successors(protocol->members, fanout, successors,
                                        MAX_SUCCESSORS);
    for (size_t i = 0; i < count; i++) {
        request_link(protocol, successors[i]->peer_address);
    }
    request_random_member_link(protocol, successors, count);
}

/* Requests a link to one node in each other data centre with known seeds. */
static void
request_data_centre_links(bb_protocol_t *protocol)
{
    const bb_seed_t *seeds[BB_MAX_SEEDS];
    for (size_t i = 0; i < protocol->seed_count; i++) {
        const char *name = protocol->seeds[i].data_centre;
        if (name[0] != '\0' && !is_own_data_centre(protocol, name)) {
            find_or_add_data_centre(protocol, name);
        }
    }
    for (size_t i = 0; i < protocol->remote_data_centre_count; i++) {
        const bb_remote_data_centre_t *centre =
            &protocol->remote_data_centres[i];
        size_t count = list_seeds(protocol, centre->name, seeds);
        if (count > 0) {
            size_t index = protocol->gateway_index + centre->attempt;
            request_link(protocol, seeds[index % count]->address);
        }
    }
}

static bool
is_live_member(const bb_protocol_t *protocol, const char *address)
{
    const bb_member_t *member =
        BbMembers_FindAddress(protocol->members, address);
    return member != NULL && BbMember_IsLive(member);
}

/* A random seed that may be tried now, or NULL. Its data centre is unknown or,
 * with include_own, may also be this node's. */
static bb_seed_t *
choose_seed(bb_protocol_t *protocol, bool include_own)
{
    bb_seed_t *found[BB_MAX_SEEDS];
    int count = 0;
    for (size_t i = 0; i < protocol->seed_count; i++) {
        bb_seed_t *seed = &protocol->seeds[i];
        bool is_own = is_own_data_centre(protocol, seed->data_centre);
        if ((seed->data_centre[0] == '\0' || (include_own && is_own)) &&
            protocol->now_ms >= seed->next_try_ms &&
            !is_live_member(protocol, seed->address) &&
            find_outgoing(protocol, seed->address) == NULL) {
            found[count++] = seed;
        }
    }
    return count > 0 ? found[BbRandom_Below(protocol->options.random, count)]
                     : NULL;
}

static void
open_seed_link(bb_protocol_t *protocol, bb_seed_t *seed, int64_t keep_ms)
{
    int64_t retry_ms = BbRandom_Jitter(protocol->options.random,
                                       protocol->timing.join_retry_ms);
    seed->next_try_ms = protocol->now_ms + retry_ms;
    bb_link_t *link = open_link(protocol, seed->address);
    if (link != NULL) {
        link->is_selected = true;
        link->keep_until_ms = protocol->now_ms + keep_ms;
    }
}

/* Asks up to MAX_JOIN_LINKS peers at the same time. Used while this node knows
 * no other member. */
static void
open_join_links(bb_protocol_t *protocol)
{
    int open_count = 0;
    for (const bb_link_t *link = protocol->links; link != NULL;
         link = link->hh.next) {
        open_count += !link->is_incoming && link->data_centre[0] == '\0';
    }
    while (open_count++ < MAX_JOIN_LINKS) {
        bb_seed_t *seed = choose_seed(protocol, true);
        if (seed == NULL) {
            break;
        }
        open_seed_link(protocol, seed, JOIN_LINK_MS);
    }
}

/*
 * Run by gateways: probes seeds that are not known as live members, so that
 * two halves of a data centre that consider each other dead merge again. Seeds
 * whose data centre is unknown are retried every second.
 */
static void
probe_seeds(bb_protocol_t *protocol)
{
    bool is_due = protocol->now_ms >= protocol->next_probe_ms;
    bb_seed_t *seed = choose_seed(protocol, is_due);
    if (is_due) {
        protocol->next_probe_ms =
            protocol->now_ms + protocol->timing.summary_interval_ms;
    }
    if (seed != NULL) {
        open_seed_link(protocol, seed, PROBE_LINK_MS);
    }
}

void
BbNeighbour_UpdateLinks(bb_protocol_t *protocol)
{
    bb_link_t *link;
    bb_link_t *next;
    for (link = protocol->links; link != NULL; link = link->hh.next) {
        link->is_selected = protocol->now_ms < link->keep_until_ms;
    }
    if (BbMembers_LiveCount(protocol->members) > 1) {
        request_member_links(protocol);
    }
    else {
        open_join_links(protocol);
    }
    if (protocol->is_gateway) {
        request_data_centre_links(protocol);
        probe_seeds(protocol);
    }
    for (link = protocol->links; link != NULL; link = next) {
        next = link->hh.next;
        if ((!link->is_incoming && !link->is_selected) ||
            link->is_open_failed) {
            BbNeighbour_CloseLink(protocol, link);
        }
    }
}

/* ---- silent links ---- */

/* Suspects the member at the other end of an outgoing link on which nothing
 * arrived for suspect_after_ms, unless an incoming link from it is active. */
static void
suspect_silent(bb_protocol_t *protocol, bb_link_t *link)
{
    int64_t wait_ms = protocol->timing.suspect_after_ms;
    const bb_member_t *member =
        BbMembers_FindAddress(protocol->members, link->address);
    const bb_link_t *incoming = find_incoming(protocol, link->address);
    if (member == NULL ||
        protocol->now_ms - link->last_received_ms < wait_ms ||
        protocol->now_ms - link->suspected_ms < wait_ms ||
        (incoming != NULL && is_active(protocol, incoming))) {
        return;
    }
    link->suspected_ms = protocol->now_ms;
    BbMembers_Suspect(protocol->members, member->node_id, protocol->now_ms);
}

/* Closes a silent or lost link and reopens it if it leads to a live member: a
 * connection can stop delivering messages while new ones work. For another
 * data centre, the next selection tries another address. */
static void
replace_link(bb_protocol_t *protocol, bb_link_t *silent_link)
{
    bb_link_t previous = *silent_link;
    bool is_member = is_live_member(protocol, silent_link->address);
    bb_remote_data_centre_t *centre = NULL;
    if (previous.data_centre[0] == '\0') {
        const bb_seed_t *seed = find_seed(protocol, previous.address);
        if (seed != NULL) {
            g_strlcpy(previous.data_centre, seed->data_centre,
                      sizeof(previous.data_centre));
        }
    }
    if (previous.data_centre[0] != '\0' &&
        !is_own_data_centre(protocol, previous.data_centre)) {
        centre = find_or_add_data_centre(protocol, previous.data_centre);
    }
    BbNeighbour_CloseLink(protocol, silent_link);
    BbCounters_Add(BB_COUNTER_PEER_LINK_REPLACED, 1);
    if (centre != NULL) {
        centre->attempt++; /* the next selection uses another address */
    }
    if (!is_member) {
        return;
    }
    bb_link_t *link = open_link(protocol, previous.address);
    if (link != NULL) {
        link->is_selected = previous.is_selected;
        link->keep_until_ms = previous.keep_until_ms;
        link->last_received_ms = previous.last_received_ms;
        link->suspected_ms = previous.suspected_ms;
    }
}

void
BbNeighbour_CheckSilence(bb_protocol_t *protocol)
{
    uint64_t newest = protocol->last_link_id;
    bb_link_t *next;
    for (bb_link_t *link = protocol->links; link != NULL; link = next) {
        next = link->hh.next;
        int64_t last_ms = MAX(link->last_received_ms, link->opened_ms);
        int64_t silent_ms = protocol->now_ms - last_ms;
        if (link->is_incoming) {
            if (silent_ms >= INCOMING_IDLE_MS) {
                BbNeighbour_CloseLink(protocol, link);
            }
            continue;
        }
        suspect_silent(protocol, link);
        if (silent_ms >= protocol->timing.replace_link_after_ms ||
            link->is_open_failed) {
            replace_link(protocol, link);
        }
        if (next != NULL && next->id > newest) {
            break; /* the remaining links were opened by this loop */
        }
    }
}
