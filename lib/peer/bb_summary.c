#include "bb_summary.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "bb_counters.h"

#define REFRESH_MS 10000
#define STALE_MS 30000

typedef struct {
    uint64_t id;      /* node id of the gateway */
    int64_t sequence; /* highest received */
} origin_t;

typedef struct {
    char name[BB_DATA_CENTRE_TEXT + 1];
    GArray *services; /* bb_summary_t sorted by name, all with live > 0 */
    origin_t origins[BB_SUMMARY_MAX_ORIGINS]; /* latest sender first */
    int64_t received_ms; /* time of the last message; 0 = none */
    bool is_stale;
    bool is_incomplete; /* digest mismatch, full summary requested */
} data_centre_t;

struct bb_summaries {
    bb_summaries_options_t options;
    data_centre_t centres[BB_MAX_DATA_CENTRES];
    size_t count;
    data_centre_t own; /* this node's data centre, as last sent */
    int64_t sequence;
    int64_t sent_ms;
};

bb_summaries_t *
BbSummaries_New(const bb_summaries_options_t *options)
{
    bb_summaries_t *summaries = g_new0(bb_summaries_t, 1);
    bb_summaries_options_t *set = &summaries->options;
    *set = *options;
    set->refresh_ms = set->refresh_ms ? set->refresh_ms : REFRESH_MS;
    set->stale_ms = set->stale_ms ? set->stale_ms : STALE_MS;
    summaries->own.services = g_array_new(FALSE, TRUE, sizeof(bb_summary_t));
    return summaries;
}

void
BbSummaries_Free(bb_summaries_t *summaries)
{
    if (summaries == NULL) {
        return;
    }
    for (size_t i = 0; i < summaries->count; i++) {
        g_array_free(summaries->centres[i].services, TRUE);
    }
    g_array_free(summaries->own.services, TRUE);
    g_free(summaries);
}

static bb_summary_t *
service_at(const data_centre_t *centre, size_t index)
{
    return &g_array_index(centre->services, bb_summary_t, index);
}

/* Index of a service, or the index at which to insert it. */
static size_t
find_service(const data_centre_t *centre, const char *name, bool *found)
{
    size_t i = 0;
    int order = 1;
    while (i < centre->services->len) {
        order = strcmp(service_at(centre, i)->service, name);
        if (order >= 0) {
            break;
        }
        i++;
    }
    *found = i < centre->services->len && order == 0;
    return i;
}

static bool
is_equal(const bb_summary_t *a, const bb_summary_t *b)
{
    if (a->live != b->live || a->address_count != b->address_count) {
        return false;
    }
    for (size_t i = 0; i < a->address_count; i++) {
        if (strcmp(a->addresses[i], b->addresses[i]) != 0) {
            return false;
        }
    }
    return true;
}

/* Sets, adds or (with 0 live members) removes one service. Returns true when
 * that changed anything. */
static bool
set_service(data_centre_t *centre, const bb_summary_t *summary)
{
    bool found;
    size_t index = find_service(centre, summary->service, &found);
    if (found && is_equal(service_at(centre, index), summary)) {
        return false;
    }
    if (found) {
        g_array_remove_index(centre->services, index);
    }
    if (summary->live > 0) {
        g_array_insert_val(centre->services, index, *summary);
    }
    return found || summary->live > 0;
}

static uint64_t
digest_services(const data_centre_t *centre)
{
    uint64_t digest = 0;
    for (size_t i = 0; i < centre->services->len; i++) {
        const bb_summary_t *service = service_at(centre, i);
        digest = XXH64(service->service, strlen(service->service), digest);
        digest = XXH64(&service->live, sizeof(service->live), digest);
        for (size_t k = 0; k < service->address_count; k++) {
            const char *address = service->addresses[k];
            digest = XXH64(address, strlen(address), digest);
        }
    }
    return digest;
}

static data_centre_t *
find_data_centre(const bb_summaries_t *summaries, const char *name)
{
    for (size_t i = 0; i < summaries->count; i++) {
        if (strcmp(summaries->centres[i].name, name) == 0) {
            return (data_centre_t *)&summaries->centres[i];
        }
    }
    return NULL;
}

static data_centre_t *
add_data_centre(bb_summaries_t *summaries, const char *name)
{
    if (summaries->count == BB_MAX_DATA_CENTRES) {
        return NULL;
    }
    data_centre_t *centre = &summaries->centres[summaries->count++];
    g_strlcpy(centre->name, name, sizeof(centre->name));
    centre->services = g_array_new(FALSE, TRUE, sizeof(bb_summary_t));
    return centre;
}

/* Returns true when a message is newer than the last one of its gateway, or is
 * the requested full summary. Drops the gateway that sent longest ago when a
 * new one does not fit. */
static bool
accept_sequence(data_centre_t *centre, const bb_wire_message_t *message)
{
    size_t i = 0;
    while (i < BB_SUMMARY_MAX_ORIGINS - 1 &&
           centre->origins[i].id != message->origin) {
        i++;
    }
    bool is_known = centre->origins[i].id == message->origin;
    int64_t stored = is_known ? centre->origins[i].sequence : 0;
    if (message->sequence < stored ||
        (message->sequence == stored &&
         !(message->is_full && centre->is_incomplete))) {
        return false;
    }
    memmove(&centre->origins[1], &centre->origins[0], i * sizeof(origin_t));
    centre->origins[0] = (origin_t){message->origin, message->sequence};
    return true;
}

static void
notify_change(const bb_summaries_t *summaries, const data_centre_t *centre,
              const bb_summary_t *summary)
{
    if (summaries->options.on_change != NULL) {
        summaries->options.on_change(centre->name, summary,
                                     summaries->options.arg);
    }
}

static bool
has_service(const bb_wire_message_t *message, const char *name)
{
    for (size_t i = 0; i < message->summary_count; i++) {
        if (strcmp(message->summaries[i].service, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Removes the services that a full summary does not contain. */
static bool
remove_missing(bb_summaries_t *summaries, data_centre_t *centre,
               const bb_wire_message_t *message)
{
    bool changed = false;
    for (size_t i = centre->services->len; i-- > 0;) {
        bb_summary_t gone = {0};
        memcpy(gone.service, service_at(centre, i)->service,
               sizeof(gone.service));
        if (!has_service(message, gone.service)) {
            set_service(centre, &gone);
            notify_change(summaries, centre, &gone);
            changed = true;
        }
    }
    return changed;
}

/* Ends a stale period. Reports all services again, since 0 live members were
 * reported for them when it began. */
static void
clear_stale(bb_summaries_t *summaries, data_centre_t *centre)
{
    if (!centre->is_stale) {
        return;
    }
    centre->is_stale = false;
    for (size_t i = 0; i < centre->services->len; i++) {
        notify_change(summaries, centre, service_at(centre, i));
    }
}

bb_summary_result_t
BbSummaries_Apply(bb_summaries_t *summaries, const bb_wire_message_t *message,
                  int64_t now_ms)
{
    data_centre_t *centre = find_data_centre(summaries, message->data_centre);
    if (strcmp(message->data_centre, summaries->options.data_centre) == 0) {
        return BB_SUMMARY_DUPLICATE;
    }
    if (centre == NULL) {
        centre = add_data_centre(summaries, message->data_centre);
    }
    if (centre == NULL || !accept_sequence(centre, message)) {
        return BB_SUMMARY_DUPLICATE;
    }
    bool changed =
        message->is_full && remove_missing(summaries, centre, message);
    for (size_t i = 0; i < message->summary_count; i++) {
        if (set_service(centre, &message->summaries[i])) {
            notify_change(summaries, centre, &message->summaries[i]);
            changed = true;
        }
    }
    int64_t age_ms = now_ms - centre->received_ms;
    bool should_forward = changed || centre->is_stale ||
                          centre->received_ms == 0 ||
                          age_ms > summaries->options.refresh_ms / 2;
    centre->is_incomplete = digest_services(centre) != message->summary_digest;
    centre->received_ms = now_ms;
    clear_stale(summaries, centre);
    if (centre->is_incomplete) {
        return BB_SUMMARY_INCOMPLETE;
    }
    return should_forward ? BB_SUMMARY_FORWARD : BB_SUMMARY_UNCHANGED;
}

static void
fill_full_summary(const data_centre_t *centre, bb_wire_message_t *message)
{
    message->type = BB_WIRE_SUMMARY;
    message->is_full = true;
    g_strlcpy(message->data_centre, centre->name,
              sizeof(message->data_centre));
    message->origin = centre->origins[0].id;
    message->sequence = centre->origins[0].sequence;
    message->summary_digest = digest_services(centre);
    message->summary_count = centre->services->len;
    message->summaries = g_new0(bb_summary_t, message->summary_count);
    for (size_t i = 0; i < message->summary_count; i++) {
        message->summaries[i] = *service_at(centre, i);
    }
}

bool
BbSummaries_FillFull(const bb_summaries_t *summaries, const char *data_centre,
                     bb_wire_message_t *message)
{
    const data_centre_t *centre = find_data_centre(summaries, data_centre);
    if (strcmp(data_centre, summaries->options.data_centre) == 0) {
        centre = &summaries->own;
    }
    /* The receiver would take incomplete services for all of them. */
    if (centre == NULL || centre->is_stale || centre->is_incomplete ||
        centre->origins[0].sequence == 0) {
        return false;
    }
    memset(message, 0, sizeof(*message));
    fill_full_summary(centre, message);
    return true;
}

/* Updates the services of this node's data centre from the membership table
 * and returns those that changed. */
static GArray *
update_own_services(bb_summaries_t *summaries, const bb_members_t *members)
{
    data_centre_t *own = &summaries->own;
    GArray *changes = g_array_new(FALSE, TRUE, sizeof(bb_summary_t));
    data_centre_t next = {0};
    size_t count;
    bool found;
    bb_summary_t *current = BbMembers_Summarize(members, &count);
    next.services = g_array_new(FALSE, TRUE, sizeof(bb_summary_t));
    g_array_append_vals(next.services, current, (guint)count);
    g_free(current);
    for (size_t i = own->services->len; i-- > 0;) {
        bb_summary_t gone = {0};
        memcpy(gone.service, service_at(own, i)->service,
               sizeof(gone.service));
        find_service(&next, gone.service, &found);
        if (!found) {
            set_service(own, &gone);
            g_array_append_val(changes, gone);
        }
    }
    for (size_t i = 0; i < count; i++) {
        if (set_service(own, service_at(&next, i))) {
            g_array_append_val(changes, *service_at(&next, i));
        }
    }
    g_array_free(next.services, TRUE);
    return changes;
}

bool
BbSummaries_FillChanges(bb_summaries_t *summaries, const bb_members_t *members,
                        bb_wire_message_t *message, int64_t now_ms)
{
    data_centre_t *own = &summaries->own;
    GArray *changes = update_own_services(summaries, members);
    if (changes->len == 0 && summaries->sequence > 0 &&
        now_ms - summaries->sent_ms < summaries->options.refresh_ms) {
        g_array_free(changes, TRUE);
        return false;
    }
    summaries->sent_ms = now_ms;
    summaries->sequence++;
    g_strlcpy(own->name, summaries->options.data_centre, sizeof(own->name));
    own->origins[0] =
        (origin_t){summaries->options.origin, summaries->sequence};
    memset(message, 0, sizeof(*message));
    fill_full_summary(own, message);
    BbWire_Clear(message);
    message->is_full = false;
    message->summary_count = changes->len;
    message->summaries = (bb_summary_t *)g_array_free(changes, FALSE);
    return true;
}

void
BbSummaries_Tick(bb_summaries_t *summaries, int64_t now_ms)
{
    for (size_t i = 0; i < summaries->count; i++) {
        data_centre_t *centre = &summaries->centres[i];
        if (centre->is_stale ||
            now_ms - centre->received_ms < summaries->options.stale_ms) {
            continue;
        }
        centre->is_stale = true;
        BbCounters_Add(BB_COUNTER_SUMMARY_STALE, 1);
        for (size_t k = 0; k < centre->services->len; k++) {
            bb_summary_t gone = {0};
            memcpy(gone.service, service_at(centre, k)->service,
                   sizeof(gone.service));
            notify_change(summaries, centre, &gone);
        }
    }
}
