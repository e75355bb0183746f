#include "bb_member.h"

#include <assert.h>
#include <glib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

#include "bb_counters.h"

#define DEAD_AFTER_MS 3000
#define REMOVE_AFTER_MS 60000
/* Ticks come about every 100 ms; a gap longer than this means that this
 * process or its VM was paused. */
#define MIN_PAUSE_MS 1000

typedef struct entry {
    bb_member_t record;
    uint64_t source_link; /* link of the latest change; 0 = none */
    uint64_t sequence;    /* number of the latest change */
    int64_t deadline_ms;  /* suspect: declared dead; tombstone: removed */
    UT_hash_handle by_id;
    UT_hash_handle by_address;
    struct entry *prev; /* list sorted by sequence, oldest change first */
    struct entry *next;
} entry_t;

struct bb_members {
    bb_members_options_t options;
    entry_t *ids;       /* all records, hashed by node id */
    entry_t *addresses; /* the same, hashed by peer address */
    entry_t *changes;   /* the same, as a list: oldest change first */
    entry_t *self;
    uint64_t sequence;
    int64_t last_tick_ms;
    int64_t now_ms;
};

uint64_t
BbMember_Rank(uint64_t node_id)
{
    return XXH64(&node_id, sizeof(node_id), 0);
}

size_t
BbMember_Bucket(uint64_t node_id)
{
    return (size_t)(BbMember_Rank(node_id) % BB_MEMBER_BUCKETS);
}

bool
BbMember_IsLive(const bb_member_t *member)
{
    return member->state < BB_MEMBER_DEAD;
}

static entry_t *
find_id(const bb_members_t *members, uint64_t node_id)
{
    entry_t *entry = NULL;
    HASH_FIND(by_id, members->ids, &node_id, sizeof(node_id), entry);
    return entry;
}

static entry_t *
find_address(const bb_members_t *members, const char *address)
{
    entry_t *entry = NULL;
    HASH_FIND(by_address, members->addresses, address, strlen(address), entry);
    return entry;
}

static entry_t *
add_entry(bb_members_t *members, const bb_member_t *record)
{
    entry_t *entry = g_new0(entry_t, 1);
    entry->record = *record;
    HASH_ADD(by_id, members->ids, record.node_id, sizeof(uint64_t), entry);
    HASH_ADD_KEYPTR(by_address, members->addresses, entry->record.peer_address,
                    strlen(entry->record.peer_address), entry);
    DL_APPEND(members->changes, entry);
    return entry;
}

static void
remove_entry(bb_members_t *members, entry_t *entry)
{
    HASH_DELETE(by_id, members->ids, entry);
    HASH_DELETE(by_address, members->addresses, entry);
    DL_DELETE(members->changes, entry);
    g_free(entry);
}

static void
set_deadline(bb_members_t *members, entry_t *entry)
{
    int64_t wait = 0;
    if (entry->record.state == BB_MEMBER_SUSPECT) {
        wait = members->options.dead_after_ms;
    }
    else if (!BbMember_IsLive(&entry->record)) {
        wait = members->options.remove_after_ms;
    }
    entry->deadline_ms = members->now_ms + wait;
}

static void
notify_change(const bb_members_t *members, const bb_member_t *record)
{
    if (members->options.on_change != NULL) {
        members->options.on_change(record, members->options.arg);
    }
}

/* Assigns a sequence number to a change, so that it is sent on all links
 * except the one it arrived on. */
static void
record_change(bb_members_t *members, entry_t *entry, uint64_t link)
{
    entry->source_link = link;
    entry->sequence = ++members->sequence;
    DL_DELETE(members->changes, entry);
    DL_APPEND(members->changes, entry);
    set_deadline(members, entry);
    if (entry != members->self) {
        notify_change(members, &entry->record);
    }
}

bb_members_t *
BbMembers_New(const bb_members_options_t *options)
{
    bb_members_t *members = g_new0(bb_members_t, 1);
    members->options = *options;
    if (members->options.dead_after_ms == 0) {
        members->options.dead_after_ms = DEAD_AFTER_MS;
    }
    if (members->options.remove_after_ms == 0) {
        members->options.remove_after_ms = REMOVE_AFTER_MS;
    }
    members->self = add_entry(members, &options->self);
    bb_member_t *self = &members->self->record;
    self->incarnation = CLAMP(self->incarnation, 1, BB_MAX_FIRST_INCARNATION);
    members->self->sequence = ++members->sequence;
    return members;
}

void
BbMembers_Free(bb_members_t *members)
{
    if (members == NULL) {
        return;
    }
    entry_t *entry;
    entry_t *next;
    DL_FOREACH_SAFE (members->changes, entry, next) {
        remove_entry(members, entry);
    }
    g_free(members);
}

const bb_member_t *
BbMembers_Self(const bb_members_t *members)
{
    return &members->self->record;
}

/* Raises this node's incarnation above its current value and another one. */
static void
raise_own_incarnation(bb_members_t *members, int64_t above)
{
    bb_member_t *self = &members->self->record;
    int64_t highest = MAX(self->incarnation, above);
    self->incarnation = MIN(highest + 1, BB_MAX_INCARNATION);
    record_change(members, members->self, 0);
}

bool
BbMembers_SetTarget(bb_members_t *members, const char *service,
                    bb_target_state_t state, int slots)
{
    bb_member_t *self = &members->self->record;
    if (self->target_state == state && self->slots == slots &&
        strcmp(self->service, service) == 0) {
        return false;
    }
    g_strlcpy(self->service, service, sizeof(self->service));
    self->target_state = state;
    self->slots = slots;
    raise_own_incarnation(members, 0);
    return true;
}

void
BbMembers_SetOwnState(bb_members_t *members, bb_member_state_t state)
{
    bb_member_t *self = &members->self->record;
    assert(state == BB_MEMBER_DRAINING || state == BB_MEMBER_LEFT);
    if (self->state < state) {
        self->state = state;
        raise_own_incarnation(members, 0);
    }
}

/* Orders two records of one address: < 0 when b supersedes a. */
static int
compare_precedence(const bb_member_t *a, const bb_member_t *b)
{
    if (a->incarnation != b->incarnation) {
        return a->incarnation < b->incarnation ? -1 : 1;
    }
    if (a->node_id != b->node_id) {
        return a->node_id < b->node_id ? -1 : 1;
    }
    return (int)a->state - (int)b->state;
}

/* Merges a record with this node's own id or address. */
static bb_merge_t
merge_own(bb_members_t *members, const bb_member_t *record)
{
    const bb_member_t *self = &members->self->record;
    int order = compare_precedence(record, self);
    if (order == 0) {
        return BB_MERGE_UNCHANGED;
    }
    if (order > 0) {
        BbCounters_Add(BB_COUNTER_MEMBER_REFUTED, 1);
        raise_own_incarnation(members, record->incarnation);
        return BB_MERGE_CHANGED;
    }
    return BB_MERGE_SUPERSEDED;
}

static bb_merge_t
merge_new(bb_members_t *members, const bb_member_t *record, uint64_t link)
{
    if (HASH_CNT(by_id, members->ids) >= BB_MAX_MEMBERS) {
        BbCounters_Add(BB_COUNTER_MEMBER_REFUSED, 1);
        return BB_MERGE_REFUSED;
    }
    record_change(members, add_entry(members, record), link);
    return BB_MERGE_CHANGED;
}

/* Replaces the record of an earlier process at the same address. */
static void
replace_entry(bb_members_t *members, entry_t *entry, const bb_member_t *record)
{
    bb_member_t old = entry->record;
    remove_entry(members, entry);
    BbCounters_Add(BB_COUNTER_MEMBER_REPLACED, 1);
    if (BbMember_IsLive(&old)) {
        old.state = BB_MEMBER_DEAD;
        notify_change(members, &old);
    }
    add_entry(members, record);
}

bb_merge_t
BbMembers_Merge(bb_members_t *members, const bb_member_t *record,
                uint64_t link, int64_t now_ms)
{
    const bb_member_t *self = &members->self->record;
    members->now_ms = now_ms;
    entry_t *by_id = find_id(members, record->node_id);
    entry_t *existing = find_address(members, record->peer_address);
    if (strcmp(record->data_centre, self->data_centre) != 0 ||
        (by_id != NULL && by_id != existing)) {
        BbCounters_Add(BB_COUNTER_MEMBER_REFUSED, 1);
        return BB_MERGE_REFUSED;
    }
    if (existing == members->self) {
        return merge_own(members, record);
    }
    if (existing == NULL) {
        return merge_new(members, record, link);
    }
    int order = compare_precedence(record, &existing->record);
    if (order <= 0) {
        return order == 0 ? BB_MERGE_UNCHANGED : BB_MERGE_SUPERSEDED;
    }
    if (existing->record.node_id != record->node_id) {
        replace_entry(members, existing, record);
        existing = find_id(members, record->node_id);
    }
    existing->record = *record;
    record_change(members, existing, link);
    return BB_MERGE_CHANGED;
}

void
BbMembers_ConfirmAlive(bb_members_t *members, uint64_t node_id, int64_t now_ms)
{
    entry_t *entry = find_id(members, node_id);
    members->now_ms = now_ms;
    if (entry != NULL && entry->record.state == BB_MEMBER_SUSPECT) {
        /* Gets no sequence number, so it is not sent: other nodes learn of it
         * from the higher incarnation that the member itself announces. */
        entry->record.state = BB_MEMBER_ALIVE;
        notify_change(members, &entry->record);
    }
}

void
BbMembers_Suspect(bb_members_t *members, uint64_t node_id, int64_t now_ms)
{
    entry_t *entry = find_id(members, node_id);
    members->now_ms = now_ms;
    if (entry == NULL || entry == members->self) {
        return;
    }
    if (entry->record.state == BB_MEMBER_ALIVE) {
        BbCounters_Add(BB_COUNTER_MEMBER_SUSPECTED, 1);
        entry->record.state = BB_MEMBER_SUSPECT;
        record_change(members, entry, 0);
    }
    else if (entry->record.state == BB_MEMBER_DRAINING) {
        /* A draining member cannot become suspect, as draining is the higher
         * state; one that stopped sending has left. */
        BbCounters_Add(BB_COUNTER_MEMBER_DEAD, 1);
        entry->record.state = BB_MEMBER_DEAD;
        record_change(members, entry, 0);
    }
}

static void
expire_entry(bb_members_t *members, entry_t *entry)
{
    if (entry->record.state == BB_MEMBER_SUSPECT) {
        BbCounters_Add(BB_COUNTER_MEMBER_DEAD, 1);
        entry->record.state = BB_MEMBER_DEAD;
        record_change(members, entry, 0);
    }
    else if (!BbMember_IsLive(&entry->record) && entry != members->self) {
        remove_entry(members, entry);
    }
}

void
BbMembers_Tick(bb_members_t *members, int64_t now_ms)
{
    int64_t gap =
        members->last_tick_ms != 0 ? now_ms - members->last_tick_ms : 0;
    members->last_tick_ms = now_ms;
    members->now_ms = now_ms;
    entry_t *entry;
    entry_t *next;
    DL_FOREACH_SAFE (members->changes, entry, next) {
        if (gap > MIN_PAUSE_MS && entry->record.state == BB_MEMBER_SUSPECT) {
            entry->deadline_ms += gap;
        }
        if (now_ms >= entry->deadline_ms) {
            expire_entry(members, entry);
        }
    }
}

const bb_member_t *
BbMembers_Find(const bb_members_t *members, uint64_t node_id)
{
    const entry_t *entry = find_id(members, node_id);
    return entry != NULL ? &entry->record : NULL;
}

const bb_member_t *
BbMembers_FindAddress(const bb_members_t *members, const char *peer_address)
{
    const entry_t *entry = find_address(members, peer_address);
    return entry != NULL ? &entry->record : NULL;
}

size_t
BbMembers_LiveCount(const bb_members_t *members)
{
    size_t count = 0;
    const entry_t *entry;
    DL_FOREACH (members->changes, entry) {
        count += BbMember_IsLive(&entry->record);
    }
    return count;
}

size_t
BbMembers_List(const bb_members_t *members, const bb_member_t **out,
               size_t max)
{
    size_t count = 0;
    const entry_t *entry;
    DL_FOREACH (members->changes, entry) {
        if (count < max) {
            out[count++] = &entry->record;
        }
    }
    return count;
}

typedef struct {
    uint64_t distance;
    const bb_member_t *member;
} ring_position_t;

static int
compare_positions(const void *a, const void *b)
{
    uint64_t x = ((const ring_position_t *)a)->distance;
    uint64_t y = ((const ring_position_t *)b)->distance;
    return x < y ? -1 : x > y;
}

/* Live members sorted by their distance from a ring position. Free with
 * g_free(). */
static ring_position_t *
sort_ring(const bb_members_t *members, uint64_t start, size_t *count)
{
    ring_position_t *positions =
        g_new(ring_position_t, HASH_CNT(by_id, members->ids));
    *count = 0;
    const entry_t *entry;
    DL_FOREACH (members->changes, entry) {
        if (BbMember_IsLive(&entry->record)) {
            uint64_t rank = BbMember_Rank(entry->record.node_id);
            positions[(*count)++] =
                (ring_position_t){rank - start, &entry->record};
        }
    }
    qsort(positions, *count, sizeof(*positions), compare_positions);
    return positions;
}

size_t
BbMembers_Successors(const bb_members_t *members, size_t count,
                     const bb_member_t **out, size_t max)
{
    size_t found = 0;
    size_t total;
    uint64_t start = BbMember_Rank(members->self->record.node_id);
    ring_position_t *positions = sort_ring(members, start, &total);
    for (size_t i = 0; i < total && count > 0 && found < max; i++) {
        const bb_member_t *member = positions[i].member;
        if (member == &members->self->record) {
            continue;
        }
        out[found++] = member;
        count -= member->state != BB_MEMBER_SUSPECT;
    }
    g_free(positions);
    return found;
}

size_t
BbMembers_Gateways(const bb_members_t *members,
                   const bb_member_t *out[BB_GATEWAYS])
{
    size_t found = 0;
    size_t total;
    ring_position_t *positions = sort_ring(members, 0, &total);
    for (size_t i = 0; i < total && found < BB_GATEWAYS; i++) {
        if (positions[i].member->state == BB_MEMBER_ALIVE) {
            out[found++] = positions[i].member;
        }
    }
    g_free(positions);
    return found;
}

/* Suspect and alive give the same digest, since each node decides by itself
 * whether it suspects a member. */
static uint64_t
digest_record(const bb_member_t *record)
{
    uint64_t fields[] = {record->node_id, (uint64_t)record->incarnation,
                         record->state == BB_MEMBER_DRAINING};
    return XXH64(fields, sizeof(fields), 1);
}

void
BbMembers_Buckets(const bb_members_t *members, uint64_t out[BB_MEMBER_BUCKETS])
{
    memset(out, 0, BB_MEMBER_BUCKETS * sizeof(out[0]));
    const entry_t *entry;
    DL_FOREACH (members->changes, entry) {
        if (BbMember_IsLive(&entry->record)) {
            size_t bucket = BbMember_Bucket(entry->record.node_id);
            out[bucket] ^= digest_record(&entry->record);
        }
    }
}

uint64_t
BbMembers_Digest(const bb_members_t *members)
{
    uint64_t buckets[BB_MEMBER_BUCKETS];
    uint64_t digest = 0;
    BbMembers_Buckets(members, buckets);
    for (size_t i = 0; i < BB_MEMBER_BUCKETS; i++) {
        digest ^= buckets[i];
    }
    return digest;
}

uint64_t
BbMembers_Sequence(const bb_members_t *members)
{
    return members->sequence;
}

size_t
BbMembers_Changes(const bb_members_t *members, uint64_t *cursor,
                  uint64_t skip_link, bb_member_t *out, size_t max)
{
    if (*cursor >= members->sequence) {
        return 0;
    }
    if (members->changes == NULL) {
        *cursor = members->sequence;
        return 0;
    }
    const entry_t *first = members->changes->prev; /* latest change */
    while (first != members->changes && first->prev->sequence > *cursor) {
        first = first->prev;
    }
    size_t count = 0;
    const entry_t *entry = first;
    for (; entry != NULL && count < max; entry = entry->next) {
        if (entry->sequence > *cursor &&
            (entry->source_link != skip_link || skip_link == 0)) {
            out[count++] = entry->record;
        }
        *cursor = MAX(*cursor, entry->sequence);
    }
    if (entry == NULL) {
        /* The record of the latest change may have been removed since; without
         * this assignment the cursor would never reach its number. */
        *cursor = members->sequence;
    }
    return count;
}

static int
compare_by_service(const void *a, const void *b)
{
    const bb_member_t *x = *(const bb_member_t *const *)a;
    const bb_member_t *y = *(const bb_member_t *const *)b;
    int order = strcmp(x->service, y->service);
    if (order != 0) {
        return order;
    }
    uint64_t rank_x = BbMember_Rank(x->node_id);
    uint64_t rank_y = BbMember_Rank(y->node_id);
    return rank_x < rank_y ? -1 : rank_x > rank_y;
}

static bool
has_ready_target(const bb_member_t *member)
{
    return member->state <= BB_MEMBER_SUSPECT &&
           member->target_state == BB_TARGET_READY &&
           member->service[0] != '\0';
}

/* Adds a member to the last summary, or appends a summary if its service
 * differs. Members must come sorted by service. */
static void
add_to_summaries(GArray *summaries, const bb_member_t *member)
{
    bb_summary_t *last = NULL;
    if (summaries->len > 0) {
        last = &g_array_index(summaries, bb_summary_t, summaries->len - 1);
    }
    if (last == NULL || strcmp(last->service, member->service) != 0) {
        bb_summary_t next = {0};
        g_strlcpy(next.service, member->service, sizeof(next.service));
        g_array_append_val(summaries, next);
        last = &g_array_index(summaries, bb_summary_t, summaries->len - 1);
    }
    last->live++;
    if (last->address_count < BB_SUMMARY_ADDRESSES) {
        g_strlcpy(last->addresses[last->address_count++],
                  member->caller_address, sizeof(last->addresses[0]));
    }
}

bb_summary_t *
BbMembers_Summarize(const bb_members_t *members, size_t *count)
{
    const bb_member_t **serving =
        g_new(const bb_member_t *, HASH_CNT(by_id, members->ids));
    size_t total = 0;
    const entry_t *entry;
    DL_FOREACH (members->changes, entry) {
        if (has_ready_target(&entry->record)) {
            serving[total++] = &entry->record;
        }
    }
    qsort(serving, total, sizeof(*serving), compare_by_service);
    GArray *summaries = g_array_new(FALSE, TRUE, sizeof(bb_summary_t));
    for (size_t i = 0; i < total; i++) {
        add_to_summaries(summaries, serving[i]);
    }
    g_free(serving);
    *count = summaries->len;
    return (bb_summary_t *)g_array_free(summaries, FALSE);
}
