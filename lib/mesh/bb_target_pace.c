#include "bb_target_pace.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "bb_counters.h"
#include "bb_event.h"

/* A target that was started longer ago than this before the first heartbeat
 * that this process received has been running beside an earlier process, and
 * is not new. */
#define STARTED_BEFORE_MS 5000

struct bb_target_pace {
    bb_pace_t *pace; /* may be NULL */
    const bb_local_target_t *target;
    bb_slot_queue_t *queue;
    char id[BB_TARGET_ID_TEXT + 1]; /* last incarnation that was ready */
    int64_t born_ms;
    bool was_ready;
};

bb_target_pace_t *
BbTargetPace_New(const bb_target_pace_options_t *options)
{
    bb_target_pace_t *target_pace = g_new0(bb_target_pace_t, 1);

    target_pace->pace = options->pace;
    target_pace->target = options->target;
    target_pace->queue = options->queue;
    return target_pace;
}

void
BbTargetPace_Free(bb_target_pace_t *target_pace)
{
    g_free(target_pace);
}

static void
log_pace(const bb_target_pace_t *target_pace, const char *state)
{
    const bb_pace_t *pace = target_pace->pace;

    if (BbEvent_Allows(BB_EVENT_PACE)) {
        BbEvent_Write(
            BB_EVENT_PACE,
            json_pack("{s:s, s:s, s:s, s:i, s:i, s:i, s:f}", "target",
                      BbLocalTarget_Id(target_pace->target), "state", state,
                      "reason", BbPace_ReasonName(pace), "limit",
                      BbPace_Limit(pace), "slots",
                      BbLocalTarget_Slots(target_pace->target), "running",
                      BbSlotQueue_Running(target_pace->queue), "slowness",
                      BbPace_Slowness(pace)));
    }
}

static void
apply(bb_target_pace_t *target_pace, bb_pace_change_t change)
{
    BbSlotQueue_SetSlots(target_pace->queue, BbPace_Limit(target_pace->pace));
    switch (change) {
    case BB_PACE_BEGUN:
        BbCounters_Add(BB_COUNTER_PACE_BEGUN, 1);
        log_pace(target_pace, "begun");
        break;
    case BB_PACE_LOWERED:
        BbCounters_Add(BB_COUNTER_PACE_LOWERED, 1);
        log_pace(target_pace, "lowered");
        break;
    case BB_PACE_ENDED:
        BbCounters_Add(BB_COUNTER_PACE_ENDED, 1);
        log_pace(target_pace, "full");
        break;
    case BB_PACE_UNCHANGED:
        break;
    }
}

/* Whether the ready target was running before this process started. */
static bool
is_target_old(const bb_target_pace_t *target_pace)
{
    int64_t born_ms = BbLocalTarget_BornMs(target_pace->target);

    return target_pace->id[0] == '\0' && born_ms > 0 &&
           g_get_real_time() / 1000 - born_ms > STARTED_BEFORE_MS;
}

void
BbTargetPace_TargetChanged(bb_target_pace_t *target_pace, double now)
{
    const bb_local_target_t *target = target_pace->target;
    bool is_ready = BbLocalTarget_State(target) == BB_LOCAL_READY;
    bool was_ready = target_pace->was_ready;
    const char *id = BbLocalTarget_Id(target);

    if (target_pace->pace == NULL) {
        return;
    }
    BbPace_SetSlots(target_pace->pace, BbLocalTarget_Slots(target));
    target_pace->was_ready = is_ready;
    if (!is_ready) {
        return;
    }
    bool is_same = strcmp(id, target_pace->id) == 0 &&
                   BbLocalTarget_BornMs(target) == target_pace->born_ms;
    bool is_old = is_target_old(target_pace);
    g_strlcpy(target_pace->id, id, sizeof(target_pace->id));
    target_pace->born_ms = BbLocalTarget_BornMs(target);
    double cold_left_s = BbLocalTarget_ColdLeft(target);
    if ((!is_same && !is_old) || cold_left_s > 0) {
        apply(target_pace, BbPace_Begin(target_pace->pace, BB_PACE_STARTED,
                                        cold_left_s, now));
    }
    else if (is_same && !was_ready) {
        apply(target_pace,
              BbPace_Begin(target_pace->pace, BB_PACE_RETURNED, 0, now));
    }
}

/* Applies the time, and predicts with the time that the class takes elsewhere,
 * because the own mean follows too slowly. */
void
BbTargetPace_OnOffer(bb_target_pace_t *target_pace, const char *class_name,
                     double now)
{
    bb_pace_t *pace = target_pace->pace;

    if (pace == NULL || !BbPace_IsActive(pace)) {
        return;
    }
    apply(target_pace, BbPace_Update(pace, now));
    BbSlotQueue_AssumeTime(
        target_pace->queue, class_name,
        BbPace_Reference(pace, class_name, now) * BbPace_Slowness(pace), now);
}

void
BbTargetPace_OnResponse(bb_target_pace_t *target_pace, const char *class_name,
                        double started_at, double now)
{
    if (target_pace->pace != NULL) {
        int running = BbSlotQueue_Running(target_pace->queue);
        apply(target_pace, BbPace_OnResponse(target_pace->pace, class_name,
                                             started_at, running, now));
    }
}

void
BbTargetPace_OnFailure(bb_target_pace_t *target_pace, double started_at,
                       bool is_timeout, double now)
{
    if (target_pace->pace != NULL) {
        apply(target_pace, BbPace_OnFailure(target_pace->pace, started_at,
                                            is_timeout, now));
    }
}

void
BbTargetPace_OnLoadElsewhere(bb_target_pace_t *target_pace,
                             const char *class_name, const bb_load_t *load,
                             int record_slots, double now)
{
    bool has_limit = load->slots < record_slots;

    if (target_pace->pace == NULL || load->slots <= 0) {
        return;
    }
    BbPace_OnUsage(target_pace->pace,
                   (double)(load->running + load->waiting) / load->slots);
    if (!has_limit) {
        BbPace_OnReference(target_pace->pace, class_name,
                           load->class_ms / 1000.0, now);
    }
}

int
BbTargetPace_Slots(const bb_target_pace_t *target_pace)
{
    return target_pace->pace != NULL
               ? BbPace_Limit(target_pace->pace)
               : BbLocalTarget_Slots(target_pace->target);
}

double
BbTargetPace_ServiceTime(const bb_target_pace_t *target_pace, int calls)
{
    return target_pace->pace != NULL
               ? BbPace_ServiceTime(target_pace->pace, calls)
               : 0;
}

double
BbTargetPace_ClassTime(const bb_target_pace_t *target_pace,
                       const char *class_name, double now)
{
    return target_pace->pace != NULL
               ? BbSlotQueue_MeasuredTime(target_pace->queue, class_name, now)
               : 0;
}
