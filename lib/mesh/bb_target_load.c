#include "bb_target_load.h"

#include <glib.h>
#include <stdio.h>

#include "bb_error.h"

/* Figures outside of this range are malformed. */
#define MIN_PERCENT 1.0
#define MAX_PERCENT 10000.0

/* Time after which a reported figure has no more effect. */
#define WORK_FACTOR_KEEP_S 0.3

/* Weight of the newest figure in the mean, that of the service times in
 * bb_slot_queue. */
#define MEAN_WEIGHT 0.05

/* Limits of the scale: one figure must not stop all calls to a target. */
#define MIN_SCALE 0.25
#define MAX_SCALE 4.0

int
BbTargetLoad_Parse(const char *text, bb_target_load_t *out)
{
    int end = 0;

    if (text == NULL) {
        return BB_ERR_PARSE;
    }
    out->percent = 0;
    int count = sscanf(text, "%9d ,%9d ,%9d %n,%9lf %n", &out->running,
                       &out->waiting, &out->slots, &end, &out->percent, &end);
    if (count < 3 || text[end] != '\0' || out->running < 0 ||
        out->waiting < 0 || out->slots < 0) {
        return BB_ERR_PARSE;
    }
    return count == 3 ||
                   (out->percent >= MIN_PERCENT && out->percent <= MAX_PERCENT)
               ? 0
               : BB_ERR_PARSE;
}

void
BbWorkFactor_Add(bb_work_factor_t *factor, double percent, double now)
{
    factor->mean = factor->mean > 0
                       ? factor->mean + MEAN_WEIGHT * (percent - factor->mean)
                       : percent;
    factor->latest = percent;
    factor->latest_at = now;
}

double
BbWorkFactor_Scale(const bb_work_factor_t *factor, double now)
{
    double age = now - factor->latest_at;

    if (factor->mean <= 0 || age >= WORK_FACTOR_KEEP_S) {
        return 1.0;
    }
    double scale = CLAMP(factor->latest / factor->mean, MIN_SCALE, MAX_SCALE);
    double weight = 1.0 - MAX(age, 0.0) / WORK_FACTOR_KEEP_S;
    return 1.0 + (scale - 1.0) * weight;
}
