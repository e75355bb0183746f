#include "fault.h"

#include <string.h>

#include "bb_error.h"

static const char *const mode_names[] = {
    [FAULT_NONE] = "none",     [FAULT_OUTAGE] = "outage",
    [FAULT_SLOW] = "slow",     [FAULT_LOSE_ANSWERS] = "lose_answers",
    [FAULT_SILENT] = "silent",
};

#define MODE_COUNT (sizeof(mode_names) / sizeof(mode_names[0]))

int
Fault_FromJson(json_t *object, fault_t *fault)
{
    const char *name;
    json_int_t delay_ms = 0, count = 0;

    if (json_unpack(object, "{s:s, s?I, s?I !}", "mode", &name, "delay_ms",
                    &delay_ms, "count", &count) != 0 ||
        delay_ms < 0 || count < 0) {
        return BB_ERR_ARGUMENT;
    }
    for (size_t i = 0; i < MODE_COUNT; i++) {
        if (strcmp(name, mode_names[i]) == 0) {
            fault->mode = (fault_mode_t)i;
            fault->delay_ms = delay_ms;
            fault->count = count;
            return 0;
        }
    }
    return BB_ERR_ARGUMENT;
}

fault_mode_t
Fault_NextMode(fault_t *fault, int is_write)
{
    fault_mode_t mode = fault->mode;

    if (mode == FAULT_NONE || (mode == FAULT_LOSE_ANSWERS && !is_write)) {
        return FAULT_NONE;
    }
    if (fault->count > 0 && --fault->count == 0) {
        fault->mode = FAULT_NONE;
    }
    return mode;
}
