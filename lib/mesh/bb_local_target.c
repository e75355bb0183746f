#include "bb_local_target.h"

#include <glib.h>
#include <string.h>

/* Most departed incarnations that are remembered; a VM has only a few. */
#define MAX_DEPARTED 256

struct bb_local_target {
    char *address;
    char *service;
    char id[BB_TARGET_ID_TEXT + 1];
    int64_t born_ms;
    int64_t sequence;
    int slots;
    char *version; /* NULL while unknown */
    double cold_left_s;
    bb_local_state_t state;
    bool is_restored; /* ready only by the record of an earlier process */
    bool waits_for_record;
    bool is_ready_pending; /* ready by a heartbeat, once the record is known */
    GHashTable *departed;  /* id to born_ms of the departed, as gint64 */
};

bb_local_target_t *
BbLocalTarget_New(const bb_local_target_options_t *options)
{
    bb_local_target_t *target = g_new0(bb_local_target_t, 1);

    target->address = g_strdup(options->address);
    target->service = g_strdup(options->service);
    target->waits_for_record = options->waits_for_record;
    target->departed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return target;
}

void
BbLocalTarget_Free(bb_local_target_t *target)
{
    if (target != NULL) {
        g_hash_table_destroy(target->departed);
        g_free(target->address);
        g_free(target->service);
        g_free(target->version);
        g_free(target);
    }
}

static bool
has_departed(const bb_local_target_t *target, const bb_heartbeat_t *heartbeat)
{
    const gint64 *born_ms =
        g_hash_table_lookup(target->departed, heartbeat->id);

    return born_ms != NULL && heartbeat->born_ms <= *born_ms;
}

static bool
is_stale(const bb_local_target_t *target, const bb_heartbeat_t *heartbeat)
{
    if (has_departed(target, heartbeat)) {
        return true;
    }
    if (target->id[0] == '\0') {
        return false;
    }
    if (heartbeat->born_ms != target->born_ms) {
        return heartbeat->born_ms < target->born_ms;
    }
    return strcmp(heartbeat->id, target->id) == 0 &&
           heartbeat->sequence <= target->sequence;
}

bb_heartbeat_result_t
BbLocalTarget_Heartbeat(bb_local_target_t *target,
                        const bb_heartbeat_t *heartbeat)
{
    if (strcmp(heartbeat->address, target->address) != 0 ||
        strcmp(heartbeat->service, target->service) != 0) {
        return BB_HEARTBEAT_OTHER_TARGET;
    }
    if (is_stale(target, heartbeat)) {
        return BB_HEARTBEAT_STALE;
    }
    bool is_same = strcmp(heartbeat->id, target->id) == 0 &&
                   heartbeat->born_ms == target->born_ms;
    /* Draining is final within an incarnation. */
    bool is_draining = heartbeat->is_draining ||
                       (is_same && target->state == BB_LOCAL_DRAINING);
    bb_local_state_t state = is_draining ? BB_LOCAL_DRAINING : BB_LOCAL_READY;

    target->is_ready_pending =
        target->waits_for_record && state == BB_LOCAL_READY;
    if (target->is_ready_pending) {
        state = BB_LOCAL_UNKNOWN;
    }
    bool is_changed = !is_same || state != target->state ||
                      heartbeat->slots != target->slots ||
                      g_strcmp0(heartbeat->version, target->version) != 0;

    g_strlcpy(target->id, heartbeat->id, sizeof(target->id));
    target->born_ms = heartbeat->born_ms;
    target->sequence = heartbeat->sequence;
    target->is_restored = false;
    target->slots = heartbeat->slots;
    BbLocalTarget_RestoreVersion(target, heartbeat->version);
    target->cold_left_s = heartbeat->cold_left_s;
    target->state = state;
    return is_changed ? BB_HEARTBEAT_CHANGED : BB_HEARTBEAT_UNCHANGED;
}

/* A departure that is known for a later start time stays. */
static void
add_departed(bb_local_target_t *target, const char *id, int64_t born_ms)
{
    const gint64 *known = g_hash_table_lookup(target->departed, id);
    gint64 *value = g_new(gint64, 1);

    *value = known != NULL ? MAX(*known, born_ms) : born_ms;
    if (g_hash_table_size(target->departed) >= MAX_DEPARTED) {
        g_hash_table_remove_all(target->departed);
    }
    g_hash_table_replace(target->departed, g_strdup(id), value);
}

static void
set_gone(bb_local_target_t *target)
{
    target->state = BB_LOCAL_GONE;
    target->is_ready_pending = false;
    target->is_restored = false;
}

bool
BbLocalTarget_RestoreDeparted(bb_local_target_t *target, const char *id,
                              int64_t born_ms, int64_t departed_born_ms)
{
    bool is_first = target->id[0] == '\0';
    bool is_current =
        strcmp(id, target->id) == 0 && target->born_ms <= departed_born_ms;

    add_departed(target, id, departed_born_ms);
    if (is_first) {
        g_strlcpy(target->id, id, sizeof(target->id));
        target->born_ms = born_ms;
    }
    bool is_leaving =
        target->state == BB_LOCAL_DRAINING || target->state == BB_LOCAL_GONE;
    if (!is_first && (!is_current || is_leaving)) {
        return false;
    }
    set_gone(target);
    return true;
}

bool
BbLocalTarget_RecordKnown(bb_local_target_t *target)
{
    bool is_ready = target->is_ready_pending;

    target->waits_for_record = false;
    target->is_ready_pending = false;
    if (is_ready) {
        target->state = BB_LOCAL_READY;
    }
    return is_ready;
}

void
BbLocalTarget_RecordMissing(bb_local_target_t *target)
{
    target->waits_for_record = false;
    target->is_ready_pending = false;
}

bool
BbLocalTarget_RestoreReady(bb_local_target_t *target, const char *id,
                           int64_t born_ms, int slots)
{
    const bb_heartbeat_t recalled = {.id = id, .born_ms = born_ms};

    if (target->id[0] != '\0' || id[0] == '\0' ||
        has_departed(target, &recalled)) {
        return false;
    }
    g_strlcpy(target->id, id, sizeof(target->id));
    target->born_ms = born_ms;
    target->sequence = -1; /* accepts any heartbeat */
    target->slots = slots;
    target->state = BB_LOCAL_READY;
    target->is_restored = true;
    return true;
}

void
BbLocalTarget_RestoreVersion(bb_local_target_t *target, const char *version)
{
    if (g_strcmp0(target->version, version) != 0) {
        g_free(target->version);
        target->version = g_strdup(version);
    }
}

const char *
BbLocalTarget_Version(const bb_local_target_t *target)
{
    return target->version;
}

bool
BbLocalTarget_ExpireRestored(bb_local_target_t *target)
{
    if (!target->is_restored) {
        return false;
    }
    target->is_restored = false;
    target->state = BB_LOCAL_UNKNOWN;
    target->id[0] = '\0';
    return true;
}

bool
BbLocalTarget_Leave(bb_local_target_t *target, const char *id)
{
    bool is_current = strcmp(id, target->id) == 0;
    bool is_state_changed = is_current || target->state == BB_LOCAL_UNKNOWN;

    /* An unknown incarnation cannot have started later than now. */
    add_departed(target, id,
                 is_current ? target->born_ms : g_get_real_time() / 1000);
    if (is_state_changed) {
        g_strlcpy(target->id, id, sizeof(target->id));
        set_gone(target);
    }
    return is_state_changed;
}

void
BbLocalTarget_OnMismatch(bb_local_target_t *target)
{
    if (target->state == BB_LOCAL_READY) {
        target->state = BB_LOCAL_UNKNOWN;
        target->is_restored = false;
    }
}

bb_local_state_t
BbLocalTarget_State(const bb_local_target_t *target)
{
    return target->state;
}

const char *
BbLocalTarget_Id(const bb_local_target_t *target)
{
    return target->id;
}

int64_t
BbLocalTarget_BornMs(const bb_local_target_t *target)
{
    return target->born_ms;
}

int64_t
BbLocalTarget_DepartedBornMs(const bb_local_target_t *target)
{
    const gint64 *born_ms = g_hash_table_lookup(target->departed, target->id);

    return born_ms != NULL ? MAX(*born_ms, target->born_ms) : target->born_ms;
}

int
BbLocalTarget_Slots(const bb_local_target_t *target)
{
    return target->slots;
}

double
BbLocalTarget_ColdLeft(const bb_local_target_t *target)
{
    return target->cold_left_s;
}

const char *
BbLocalState_Name(bb_local_state_t state)
{
    static const char *const names[] = {"unknown", "ready", "draining",
                                        "gone"};
    return names[state];
}
