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
    int64_t buckets[BB_HISTOGRAM_BUCKETS + 1]; /* the last is unbounded */
    int64_t count;
    double sum_s;
} histogram_t;

static histogram_t histograms[BB_HISTOGRAM_COUNT];

void
BbHistogram_Add(bb_histogram_t histogram, double seconds)
{
    histogram_t *data = &histograms[histogram];
    double bound_s = BB_HISTOGRAM_FIRST_BOUND_S;
    int bucket = 0;

    while (bucket < BB_HISTOGRAM_BUCKETS && seconds > bound_s) {
        bound_s *= 2;
        bucket++;
    }
    data->buckets[bucket]++;
    data->count++;
    data->sum_s += seconds;
}

static void
format_histogram(const histogram_info_t *info, const histogram_t *data,
                 GString *text)
{
    double bound_s = BB_HISTOGRAM_FIRST_BOUND_S;
    int64_t cumulative_count = 0;

    g_string_append_printf(text,
                           "# HELP burdockbarrow_%s %s\n"
                           "# TYPE burdockbarrow_%s histogram\n",
                           info->name, info->help, info->name);
    for (int i = 0; i < BB_HISTOGRAM_BUCKETS; i++) {
        cumulative_count += data->buckets[i];
        g_string_append_printf(
            text, "burdockbarrow_%s_bucket{le=\"%g\"} %" PRId64 "\n",
            info->name, bound_s, cumulative_count);
        bound_s *= 2;
    }
    g_string_append_printf(text,
                           "burdockbarrow_%s_bucket{le=\"+Inf\"} %" PRId64
                           "\nburdockbarrow_%s_sum %g\n"
                           "burdockbarrow_%s_count %" PRId64 "\n",
                           info->name, data->count, info->name, data->sum_s,
                           info->name, data->count);
}

void
BbHistogram_FormatPrometheus(GString *text)
{
    for (int i = 0; i < BB_HISTOGRAM_COUNT; i++) {
        format_histogram(&histogram_info[i], &histograms[i], text);
    }
}
