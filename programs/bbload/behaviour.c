#include "behaviour.h"

#include <string.h>

#include "bb_error.h"

static const char *const mode_names[] = {"none",   "close", "truncate", "slow",
                                         "silent", "shed",  NULL};
static const char *const health_names[] = {"true", "up", "down", NULL};
static const char *const state_names[] = {"starting", "ready", "draining",
                                          NULL};

/* Returns the index of name, or a negative error. NULL is not a name. */
static int
find_name(const char *name, const char *const *names)
{
    for (int i = 0; name != NULL && names[i] != NULL; i++) {
        if (strcmp(name, names[i]) == 0) {
            return i;
        }
    }
    return BB_ERR_ARGUMENT;
}

int
Behaviour_ParseMode(const char *name, fault_mode_t *out)
{
    int index = find_name(name, mode_names);

    if (index < 0) {
        return index;
    }
    *out = (fault_mode_t)index;
    return 0;
}

int
Behaviour_ParseState(const char *name, target_state_t *out)
{
    int index = find_name(name, state_names);

    if (index < 0) {
        return index;
    }
    *out = (target_state_t)index;
    return 0;
}

const char *
Behaviour_StateName(target_state_t state)
{
    return state_names[state];
}

int
Behaviour_Merge(behaviour_t *behaviour, json_t *object)
{
    behaviour_t merged = *behaviour;
    const char *mode = mode_names[behaviour->mode];
    const char *health = health_names[behaviour->health];
    const char *state = state_names[behaviour->state];
    json_int_t delay_ms = behaviour->delay_ms;
    json_int_t work_ms = behaviour->work_ms;
    json_int_t count = 0;

    if (json_unpack(object, "{s?s, s?s, s?s, s?I, s?I, s?I !}", "mode", &mode,
                    "health", &health, "state", &state, "delay_ms", &delay_ms,
                    "work_ms", &work_ms, "count", &count) != 0) {
        return BB_ERR_ARGUMENT;
    }
    int health_index = find_name(health, health_names);
    if (Behaviour_ParseMode(mode, &merged.mode) != 0 || health_index < 0 ||
        Behaviour_ParseState(state, &merged.state) != 0 || delay_ms < 0 ||
        work_ms < 0 || count < 0) {
        return BB_ERR_ARGUMENT;
    }
    merged.health = (health_t)health_index;
    merged.delay_ms = delay_ms;
    merged.work_ms = work_ms;
    merged.count = count;
    *behaviour = merged;
    return 0;
}

fault_mode_t
Behaviour_TakeMode(behaviour_t *behaviour)
{
    fault_mode_t mode = behaviour->mode;

    if (mode != MODE_NONE && behaviour->count > 0 && --behaviour->count == 0) {
        behaviour->mode = MODE_NONE;
    }
    return mode;
}
