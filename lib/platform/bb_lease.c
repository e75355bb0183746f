#include "bb_lease.h"

#include <assert.h>
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "bb_backoff.h"
#include "bb_counters.h"
#include "bb_error.h"

#define NO_SLOT (-1)

typedef enum {
    STEP_NONE,
    STEP_READ,    /* read the rows, then take a free slot */
    STEP_TAKE,    /* write the row of the chosen free slot */
    STEP_RENEW,   /* write the row of the own slot */
    STEP_RELEASE, /* write the row of the own slot as expired */
} step_t;

typedef enum { IN_FLIGHT_NONE, IN_FLIGHT_ROWS, IN_FLIGHT_COMMIT } in_flight_t;

typedef struct {
    int64_t revision; /* 0: the row is absent */
    int64_t fence;
    int64_t expires_ms;
    gboolean is_own;
} slot_t;

struct bb_lease {
    char *key_prefix; /* "DC/" */
    char *node_id;
    char *peer_address;
    bb_random_t *random;

    gboolean is_candidate;
    gboolean is_held;
    /* is_held as of the last START_READING or STOP_READING action. */
    gboolean is_reported_held;
    int64_t held_until_ms;

    step_t step;
    int64_t step_due_ms;
    in_flight_t in_flight;
    step_t step_in_flight;
    int64_t sent_ms;
    int failures;

    int slot; /* the slot that is held or was chosen, or NO_SLOT */
    slot_t slots[BB_LEASE_SLOTS];
    int64_t fence;

    /* Platform's time in the last response, and the VM's time when it was
     * received. */
    int64_t platform_ms;
    int64_t platform_received_ms;
};

/* ---- time ---- */

static void
set_step(bb_lease_t *lease, step_t step, int64_t due_ms)
{
    lease->step = step;
    lease->step_due_ms = due_ms;
}

static void
record_platform_time(bb_lease_t *lease, json_t *response, int64_t now_ms)
{
    lease->platform_ms =
        json_integer_value(json_object_get(response, "now_ms"));
    lease->platform_received_ms = now_ms;
}

/* Returns a lower bound of the platform's time at now_ms. */
static int64_t
estimate_platform_ms(const bb_lease_t *lease, int64_t now_ms)
{
    return lease->platform_ms + (now_ms - lease->platform_received_ms);
}

static int64_t
random_jitter_ms(bb_lease_t *lease)
{
    return BbRandom_Below(lease->random, BB_LEASE_JITTER_MS + 1);
}

/* A row that expires more than two lease durations ahead was written before
 * the platform's clock was set back. No node renews it, so the slot counts as
 * free. */
static gboolean
is_free(const bb_lease_t *lease, const slot_t *slot)
{
    return slot->revision == 0 || slot->expires_ms <= lease->platform_ms ||
           slot->expires_ms > lease->platform_ms + 2 * BB_LEASE_MS;
}

/* ---- rows ---- */

static int
parse_slot_number(const bb_lease_t *lease, const char *key)
{
    if (key == NULL || !g_str_has_prefix(key, lease->key_prefix)) {
        return NO_SLOT;
    }
    const char *digit = key + strlen(lease->key_prefix);
    if (digit[0] < '0' || digit[0] >= '0' + BB_LEASE_SLOTS ||
        digit[1] != '\0') {
        return NO_SLOT;
    }
    return digit[0] - '0';
}

/* Reads a malformed value as an expired row, with the row's revision. */
static void
parse_slot(const bb_lease_t *lease, json_t *row, slot_t *slot)
{
    json_t *value = json_object_get(row, "value");
    const char *holder = json_string_value(json_object_get(value, "holder"));

    slot->revision = json_integer_value(json_object_get(row, "revision"));
    slot->fence = json_integer_value(json_object_get(value, "fence"));
    slot->expires_ms =
        json_integer_value(json_object_get(value, "expires_ms"));
    slot->is_own = holder != NULL && strcmp(holder, lease->node_id) == 0;
}

static void
parse_slots(bb_lease_t *lease, json_t *response)
{
    size_t index;
    json_t *row;

    memset(lease->slots, 0, sizeof(lease->slots));
    json_array_foreach (json_object_get(response, "rows"), index, row) {
        int number = parse_slot_number(
            lease, json_string_value(json_object_get(row, "key")));
        if (number != NO_SLOT) {
            parse_slot(lease, row, &lease->slots[number]);
        }
    }
}

static int
find_own_slot(const bb_lease_t *lease)
{
    for (int i = 0; i < BB_LEASE_SLOTS; i++) {
        if (lease->slots[i].is_own && !is_free(lease, &lease->slots[i])) {
            return i;
        }
    }
    return NO_SLOT;
}

static int
choose_free_slot(bb_lease_t *lease)
{
    int first = BbRandom_Below(lease->random, BB_LEASE_SLOTS);

    for (int i = 0; i < BB_LEASE_SLOTS; i++) {
        int number = (first + i) % BB_LEASE_SLOTS;
        if (is_free(lease, &lease->slots[number])) {
            return number;
        }
    }
    return NO_SLOT;
}

/* Sets the lease state from a slot whose row this node wrote, as confirmed by
 * the response to the write or by a read. */
static void
apply_own_slot(bb_lease_t *lease, int number, int64_t now_ms)
{
    const slot_t *slot = &lease->slots[number];

    lease->slot = number;
    if (slot->fence != lease->fence) {
        BbCounters_Add(BB_COUNTER_LEASE_TAKEN, 1);
        lease->fence = slot->fence;
    }
    /* The platform's clock cannot have shown platform_ms before sent_ms, so
     * the lease ends here no later than the row expires. */
    lease->held_until_ms =
        lease->sent_ms + (slot->expires_ms - lease->platform_ms);
    lease->is_held = lease->held_until_ms > now_ms;
    if (!lease->is_held) {
        set_step(lease, STEP_READ, now_ms + random_jitter_ms(lease));
        return;
    }
    int64_t renew_ms = lease->held_until_ms - BB_LEASE_MS + BB_LEASE_RENEW_MS;
    set_step(lease, STEP_RENEW, MAX(renew_ms, now_ms));
}

/* Schedules the next read of the rows when other nodes hold both slots. */
static void
schedule_recheck(bb_lease_t *lease, int64_t now_ms)
{
    int64_t jitter_ms = BbRandom_Below(lease->random, BB_LEASE_RECHECK_MS + 1);
    set_step(lease, STEP_READ, now_ms + BB_LEASE_RECHECK_MS + jitter_ms);
}

void
BbLease_HandleRows(bb_lease_t *lease, int error, json_t *response,
                   int64_t now_ms)
{
    assert(lease->in_flight == IN_FLIGHT_ROWS);
    lease->in_flight = IN_FLIGHT_NONE;
    if (error != 0) {
        set_step(lease, STEP_READ,
                 now_ms + BbBackoff_Next(&lease->failures, lease->random));
        return;
    }
    lease->failures = 0;
    record_platform_time(lease, response, now_ms);
    parse_slots(lease, response);
    int own = find_own_slot(lease);
    if (own != NO_SLOT) {
        apply_own_slot(lease, own, now_ms);
        return;
    }
    lease->is_held = FALSE;
    lease->slot = choose_free_slot(lease);
    if (lease->slot == NO_SLOT) {
        schedule_recheck(lease, now_ms);
        return;
    }
    set_step(lease, STEP_TAKE, now_ms);
}

/* ---- writes ---- */

static json_t *
build_transaction(const bb_lease_t *lease, int64_t fence, int64_t expires_ms)
{
    unsigned char id[16];
    char id_hex[2 * sizeof(id) + 1];
    char *key = g_strdup_printf("%s%d", lease->key_prefix, lease->slot);

    randombytes_buf(id, sizeof(id));
    sodium_bin2hex(id_hex, sizeof(id_hex), id, sizeof(id));
    json_t *transaction = json_pack(
        "{s:s, s:[{s:s, s:s, s:I}], s:[{s:s, s:s, s:{s:s, s:s, s:I, s:I}}]}",
        "id", id_hex, "checks", "table", "leases", "key", key, "revision",
        (json_int_t)lease->slots[lease->slot].revision, "writes", "table",
        "leases", "key", key, "value", "holder", lease->node_id,
        "peer_address", lease->peer_address, "fence", (json_int_t)fence,
        "expires_ms", (json_int_t)expires_ms);
    g_free(key);
    return transaction;
}

static void
start_commit(bb_lease_t *lease, int64_t now_ms, bb_lease_action_t *action)
{
    slot_t *slot = &lease->slots[lease->slot];
    int64_t expires_ms = estimate_platform_ms(lease, now_ms) + BB_LEASE_MS;

    if (lease->step == STEP_TAKE) {
        slot->fence++;
    }
    else if (lease->step == STEP_RELEASE) {
        expires_ms = 0;
    }
    slot->expires_ms = expires_ms;
    action->kind = BB_LEASE_COMMIT;
    action->transaction = build_transaction(lease, slot->fence, expires_ms);
    lease->in_flight = IN_FLIGHT_COMMIT;
    lease->step_in_flight = lease->step;
    lease->sent_ms = now_ms;
    set_step(lease, STEP_NONE, INT64_MAX);
}

static void
handle_write_success(bb_lease_t *lease, json_t *response, int64_t now_ms)
{
    slot_t *slot = &lease->slots[lease->slot];

    lease->failures = 0;
    slot->revision = json_integer_value(json_object_get(response, "revision"));
    slot->is_own = TRUE;
    record_platform_time(lease, response, now_ms);
    apply_own_slot(lease, lease->slot, now_ms);
}

static void
handle_release_end(bb_lease_t *lease, int64_t now_ms)
{
    if (lease->is_candidate) {
        set_step(lease, STEP_READ, now_ms + random_jitter_ms(lease));
    }
}

void
BbLease_HandleCommit(bb_lease_t *lease, int error, json_t *response,
                     int64_t now_ms)
{
    assert(lease->in_flight == IN_FLIGHT_COMMIT);
    lease->in_flight = IN_FLIGHT_NONE;
    if (lease->step_in_flight == STEP_RELEASE) {
        /* A failed release is not repeated, because the row expires anyway. */
        handle_release_end(lease, now_ms);
        return;
    }
    if (error == 0) {
        handle_write_success(lease, response, now_ms);
        return;
    }
    if (error == BB_ERR_CONFLICT) {
        /* Either another node took the slot, or an earlier write of this node
         * took effect late and its response was lost. The rows show which. */
        BbCounters_Add(BB_COUNTER_LEASE_CONFLICTS, 1);
        set_step(lease, STEP_READ,
                 now_ms + (lease->is_held ? 0 : random_jitter_ms(lease)));
        return;
    }
    if (error == BB_ERR_UNKNOWN) {
        BbCounters_Add(BB_COUNTER_LEASE_READ_BACKS, 1);
    }
    /* Other candidates may have written meanwhile, so a failed take starts
     * again with a read. A renewal that had no effect can be repeated
     * unchanged. */
    gboolean is_repeatable =
        error == BB_ERR_UNAVAILABLE && lease->step_in_flight == STEP_RENEW;
    set_step(lease, is_repeatable ? STEP_RENEW : STEP_READ,
             now_ms + BbBackoff_Next(&lease->failures, lease->random));
}

/* ---- actions ---- */

static void
end_lease(bb_lease_t *lease, int64_t now_ms)
{
    gboolean is_lapsed = now_ms >= lease->held_until_ms;

    lease->is_held = FALSE;
    if (is_lapsed) {
        BbCounters_Add(BB_COUNTER_LEASE_LAPSED, 1);
    }
    if (!lease->is_candidate && !is_lapsed) {
        set_step(lease, STEP_RELEASE, now_ms);
    }
    else if (lease->step != STEP_READ) {
        /* Also replaces a pending renewal, because the slot may have a new
         * holder. */
        set_step(lease, STEP_READ, now_ms + random_jitter_ms(lease));
    }
}

static int
has_step_due(const bb_lease_t *lease, int64_t now_ms)
{
    if (lease->in_flight != IN_FLIGHT_NONE || now_ms < lease->step_due_ms) {
        return 0;
    }
    return lease->step == STEP_RELEASE ||
           (lease->is_candidate && lease->step != STEP_NONE);
}

static int64_t
find_wake_ms(const bb_lease_t *lease)
{
    int64_t wake_ms = lease->is_held ? lease->held_until_ms : INT64_MAX;
    gboolean has_step = lease->is_candidate && lease->step != STEP_NONE &&
                        lease->in_flight == IN_FLIGHT_NONE;

    return has_step ? MIN(wake_ms, lease->step_due_ms) : wake_ms;
}

static void
start_step(bb_lease_t *lease, int64_t now_ms, bb_lease_action_t *action)
{
    if (lease->step != STEP_READ) {
        start_commit(lease, now_ms, action);
        return;
    }
    action->kind = BB_LEASE_READ_ROWS;
    lease->in_flight = IN_FLIGHT_ROWS;
    lease->sent_ms = now_ms;
    set_step(lease, STEP_NONE, INT64_MAX);
}

void
BbLease_Next(bb_lease_t *lease, int64_t now_ms, bb_lease_action_t *action)
{
    memset(action, 0, sizeof(*action));
    if (lease->is_held &&
        (!lease->is_candidate || now_ms >= lease->held_until_ms)) {
        end_lease(lease, now_ms);
    }
    if (lease->is_held != lease->is_reported_held) {
        lease->is_reported_held = lease->is_held;
        action->kind =
            lease->is_held ? BB_LEASE_START_READING : BB_LEASE_STOP_READING;
        return;
    }
    if (has_step_due(lease, now_ms)) {
        start_step(lease, now_ms, action);
        return;
    }
    action->kind = BB_LEASE_WAIT;
    action->wake_ms = find_wake_ms(lease);
}

void
BbLease_SetCandidate(bb_lease_t *lease, int is_candidate, int64_t now_ms)
{
    if (lease->is_candidate == (is_candidate != 0)) {
        return;
    }
    lease->is_candidate = is_candidate != 0;
    if (is_candidate && lease->in_flight == IN_FLIGHT_NONE &&
        lease->step != STEP_RELEASE) {
        set_step(lease, STEP_READ, now_ms + random_jitter_ms(lease));
    }
}

int
BbLease_IsHeld(const bb_lease_t *lease, int64_t now_ms)
{
    return lease->is_held && now_ms < lease->held_until_ms;
}

int64_t
BbLease_Fence(const bb_lease_t *lease)
{
    return lease->fence;
}

bb_lease_t *
BbLease_New(const bb_lease_options_t *options)
{
    bb_lease_t *lease = g_new0(bb_lease_t, 1);
    lease->key_prefix = g_strconcat(options->data_centre, "/", NULL);
    lease->node_id = g_strdup(options->node_id);
    lease->peer_address = g_strdup(options->peer_address);
    lease->random = options->random;
    lease->slot = NO_SLOT;
    return lease;
}

void
BbLease_Free(bb_lease_t *lease)
{
    if (lease == NULL) {
        return;
    }
    g_free(lease->key_prefix);
    g_free(lease->node_id);
    g_free(lease->peer_address);
    g_free(lease);
}
