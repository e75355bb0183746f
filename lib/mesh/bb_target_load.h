/*
 * bb_target_load - load that a target reports with its responses
 *
 * The text is "running,waiting,slots" or "running,waiting,slots,percent"; the
 * last figure tells how long work takes on the target's hardware at this
 * moment, 100 being normal.
 *
 * bb_work_factor_t relates that figure to its mean over recent responses: the
 * measured service times contain the mean already. The figure changes many
 * times a second, so its effect fades out within WORK_FACTOR_KEEP_S (in
 * bb_target_load.c).
 *
 * Designed for targets with noisy neighbours on the same hardware, which slow
 * them down for fractions of a second.
 *
 * USE
 *   if (BbTargetLoad_Parse(text, &load) == 0 && load.percent > 0) {
 *       BbWorkFactor_Add(&factor, load.percent, now);
 *   }
 *   predicted_s = mean_s * BbWorkFactor_Scale(&factor, now);
 */
#ifndef BB_TARGET_LOAD_H
#define BB_TARGET_LOAD_H

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    int running;
    int waiting;
    int slots;
    double percent; /* 0 without the last figure */
} bb_target_load_t;

/* Returns 0 or BB_ERR_PARSE, also when text is NULL. */
int BbTargetLoad_Parse(const char *text, bb_target_load_t *out);

/* Zero it before the first use. */
typedef struct {
    double mean;
    double latest;
    double latest_at;
} bb_work_factor_t;

void BbWorkFactor_Add(bb_work_factor_t *factor, double percent, double now);

/* Expected time of work that starts now relative to the mean; 1 if unknown. */
double BbWorkFactor_Scale(const bb_work_factor_t *factor, double now);

#ifdef __cplusplus
}
#endif

#endif
