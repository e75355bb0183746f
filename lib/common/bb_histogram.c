#include "bb_histogram.h"

#include <inttypes.h>
#include <string.h>

typedef struct {
    const char *name;
    const char *help;
} histogram_info_t;

static const histogram_info_t histogram_info[] = {
#define BB_HISTOGRAM(id, name, help) {name, help},
#include "histograms.def"
#undef BB_HISTOGRAM
};

typedef struct {
    int64_t buckets[BB_HISTOGRAM_BUCKETS + 1]; /* the last has no end */
    int64_t count;
    double sum_s;
} histogram_t;

static histogram_t histograms[BB_HISTOGRAM_COUNT];

void
BbHistogram_Add(bb_histogram_t histogram, double seconds)
{
    histogram_t *held = &histograms[histogram];
    double end_s = BB_HISTOGRAM_FIRST_S;
    int bucket = 0;

    while (bucket < BB_HISTOGRAM_BUCKETS && seconds > end_s) {
        end_s *= 2;
        bucket++;
    }
    held->buckets[bucket]++;
    held->count++;
    held->sum_s += seconds;
}

static void
format_one(const histogram_info_t *info, const histogram_t *held,
           GString *text)
{
    double end_s = BB_HISTOGRAM_FIRST_S;
    int64_t below = 0;

    g_string_append_printf(text,
                           "# HELP burdockbarrow_%s %s\n"
                           "# TYPE burdockbarrow_%s histogram\n",
                           info->name, info->help, info->name);
    for (int i = 0; i < BB_HISTOGRAM_BUCKETS; i++) {
        below += held->buckets[i];
        g_string_append_printf(
            text, "burdockbarrow_%s_bucket{le=\"%g\"} %" PRId64 "\n",
            info->name, end_s, below);
        end_s *= 2;
    }
    g_string_append_printf(text,
                           "burdockbarrow_%s_bucket{le=\"+Inf\"} %" PRId64
                           "\nburdockbarrow_%s_sum %g\n"
                           "burdockbarrow_%s_count %" PRId64 "\n",
                           info->name, held->count, info->name, held->sum_s,
                           info->name, held->count);
}

void
BbHistogram_FormatPrometheus(GString *text)
{
    for (int i = 0; i < BB_HISTOGRAM_COUNT; i++) {
        format_one(&histogram_info[i], &histograms[i], text);
    }
}
