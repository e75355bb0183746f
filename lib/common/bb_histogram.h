/*
 * bb_histogram - histograms of durations with exponential buckets
 *
 * USE
 *   BbHistogram_Add(BB_HISTOGRAM_QUEUE_WAIT, seconds);
 *   BbHistogram_FormatPrometheus(text);
 *
 * LIMITS
 *   The upper bound of the first bucket is BB_HISTOGRAM_FIRST_BOUND_S; each
 *   further bound is twice the previous one. Not thread safe. The histograms
 *   are listed in histograms.def.
 */
#ifndef BB_HISTOGRAM_H
#define BB_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BB_HISTOGRAM_FIRST_BOUND_S 0.00025
#define BB_HISTOGRAM_BUCKETS 18 /* the largest finite bound is 32.8 s */

typedef enum {
#define BB_HISTOGRAM(id, name, help) BB_HISTOGRAM_##id,
#include "histograms.def"
#undef BB_HISTOGRAM
    BB_HISTOGRAM_COUNT
} bb_histogram_t;

void BbHistogram_Add(bb_histogram_t histogram, double seconds);

/* Appends all histograms in the Prometheus text format. */
void BbHistogram_FormatPrometheus(GString *text);

#ifdef __cplusplus
}
#endif

#endif
