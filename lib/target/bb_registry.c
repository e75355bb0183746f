#include "bb_registry.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "bb_counters.h"
#include "bb_error.h"
#include "bb_http_io.h"

struct bb_registry {
    bb_registry_options_t options;
    bb_announcement_t current;
    int64_t lease_end_ms;
};

bb_registry_t *
BbRegistry_New(const bb_registry_options_t *options)
{
    bb_registry_t *registry = g_new0(bb_registry_t, 1);
    registry->options = *options;
    if (registry->options.lease_ms == 0) {
        registry->options.lease_ms = BB_REGISTRY_LEASE_MS;
    }
    return registry;
}

void
BbRegistry_Free(bb_registry_t *registry)
{
    g_free(registry);
}

static bool
is_service_name(const char *text)
{
    size_t length = strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-");
    return length > 0 && length <= BB_SERVICE_TEXT && text[length] == '\0';
}

static bool
is_address(const char *text)
{
    struct sockaddr_in name;
    return strlen(text) <= BB_ADDRESS_TEXT &&
           BbHttp_ParseAddress(text, &name) == 0;
}

static bool
parse_state(const char *text, bb_target_state_t *out)
{
    static const char *const names[] = {
        [BB_TARGET_STARTING] = "starting",
        [BB_TARGET_READY] = "ready",
        [BB_TARGET_DRAINING] = "draining",
    };
    for (int i = BB_TARGET_STARTING; i <= BB_TARGET_DRAINING; i++) {
        if (strcmp(text, names[i]) == 0) {
            *out = (bb_target_state_t)i;
            return true;
        }
    }
    return false;
}

static bool
parse_limit(const json_t *value, int max, int *out)
{
    if (!json_is_integer(value) || json_integer_value(value) < 1 ||
        json_integer_value(value) > max) {
        return false;
    }
    *out = (int)json_integer_value(value);
    return true;
}

static const char *
get_text(const json_t *body, const char *field)
{
    const char *text = json_string_value(json_object_get(body, field));
    return text != NULL ? text : "";
}

/* Returns the name of the first invalid field, NULL if all are valid. Sets the
 * state, slots and connections of *out. */
static const char *
find_invalid_field(const json_t *body, bb_announcement_t *out)
{
    const json_t *load = json_object_get(body, "load");
    if (!is_service_name(get_text(body, "service"))) {
        return "service";
    }
    if (!is_address(get_text(body, "address"))) {
        return "address";
    }
    if (!parse_state(get_text(body, "state"), &out->state)) {
        return "state";
    }
    if (!parse_limit(json_object_get(body, "slots"), BB_REGISTRY_MAX_SLOTS,
                     &out->slots)) {
        return "slots";
    }
    if (!parse_limit(json_object_get(body, "connections"),
                     BB_REGISTRY_MAX_CONNECTIONS, &out->connections)) {
        return "connections";
    }
    if (load != NULL &&
        (!json_is_number(load) || !(json_number_value(load) >= 0))) {
        return "load";
    }
    return NULL;
}

int
BbRegistry_Parse(const json_t *body, bb_announcement_t *out,
                 const char **field)
{
    memset(out, 0, sizeof(*out));
    *field = NULL;
    if (!json_is_object(body)) {
        return BB_ERR_PARSE;
    }
    *field = find_invalid_field(body, out);
    if (*field != NULL) {
        return BB_ERR_INVALID;
    }
    out->load = json_number_value(json_object_get(body, "load"));
    g_strlcpy(out->service, get_text(body, "service"), sizeof(out->service));
    g_strlcpy(out->address, get_text(body, "address"), sizeof(out->address));
    return 0;
}

static unsigned int
find_changes(const bb_announcement_t *old, const bb_announcement_t *new)
{
    unsigned int changes = 0;
    if (old->state != new->state) {
        changes |= BB_REGISTRY_STATE;
    }
    if (strcmp(old->service, new->service) != 0) {
        changes |= BB_REGISTRY_SERVICE;
    }
    if (strcmp(old->address, new->address) != 0) {
        changes |= BB_REGISTRY_ADDRESS;
    }
    if (old->slots != new->slots || old->connections != new->connections) {
        changes |= BB_REGISTRY_LIMITS;
    }
    return changes;
}

static void
replace_current(bb_registry_t *registry, const bb_announcement_t *next)
{
    unsigned int changes = find_changes(&registry->current, next);
    registry->current = *next;
    if (changes != 0 && registry->options.on_change != NULL) {
        registry->options.on_change(&registry->current, changes,
                                    registry->options.arg);
    }
}

void
BbRegistry_Announce(bb_registry_t *registry,
                    const bb_announcement_t *announcement, int64_t now_ms)
{
    registry->lease_end_ms = now_ms + registry->options.lease_ms;
    replace_current(registry, announcement);
}

void
BbRegistry_Withdraw(bb_registry_t *registry)
{
    const bb_announcement_t absent = {.state = BB_TARGET_ABSENT};
    replace_current(registry, &absent);
}

void
BbRegistry_Tick(bb_registry_t *registry, int64_t now_ms)
{
    if (registry->current.state != BB_TARGET_ABSENT &&
        now_ms >= registry->lease_end_ms) {
        BbCounters_Add(BB_COUNTER_TARGET_LEASE_LAPSED, 1);
        BbRegistry_Withdraw(registry);
    }
}

int64_t
BbRegistry_NextEvent(const bb_registry_t *registry)
{
    return registry->current.state == BB_TARGET_ABSENT
               ? -1
               : registry->lease_end_ms;
}

const bb_announcement_t *
BbRegistry_Current(const bb_registry_t *registry)
{
    return &registry->current;
}
