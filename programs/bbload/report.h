/*
 * report - results of many calls: counts and latency
 *
 * All latency samples are kept and sorted at the end, so that percentiles are
 * exact.
 */
#ifndef BBLOAD_REPORT_H
#define BBLOAD_REPORT_H

#include <jansson.h>
#include <stdint.h>
#include <stdio.h>

typedef struct report report_t;

typedef enum {
    REPORT_STATUS,  /* HTTP status, or the name of a transport error */
    REPORT_OUTCOME, /* Burdock-Outcome, "-" when absent */
    REPORT_REASON,  /* Burdock-Reason, "-" when absent */
    REPORT_CHECK,   /* failed checks of responses */
    REPORT_KIND_COUNT
} report_kind_t;

report_t *Report_New(void);

void Report_Free(report_t *report);

/* Counts one more result with this label. */
void Report_Count(report_t *report, report_kind_t kind, const char *label);

/* Adds the latencies of a successful call: latency_us from the time at which
 * it was due, latency_from_start_us from the time at which it was started. */
void Report_AddLatency(report_t *report, int64_t latency_us,
                       int64_t latency_from_start_us);

/* Counts a call that ended after this number of attempts. */
void Report_AddCall(report_t *report, int attempts);

/* Counts a call that the open loop skipped as too many were in flight. */
void Report_AddSkipped(report_t *report);

/* Returns the number of failed checks; one response may fail several. */
int64_t Report_FailedChecks(const report_t *report);

/* Returns a new reference. Sorts the samples. */
json_t *Report_ToJson(report_t *report, double duration_s);

/* Prints the counts and latency_ms as text. */
void Report_Print(report_t *report, double duration_s, FILE *out);

#endif
