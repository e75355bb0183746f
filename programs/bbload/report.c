#include "report.h"

#include <glib.h>
#include <math.h>

static const char *const kind_names[REPORT_KIND_COUNT] = {
    [REPORT_STATUS] = "status",
    [REPORT_OUTCOME] = "outcome",
    [REPORT_REASON] = "reason",
    [REPORT_CHECK] = "failed_checks",
};

static const struct {
    const char *name;
    double share;
} percentiles[] = {
    {"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}, {"max", 1.0}};

struct report {
    GHashTable *counts[REPORT_KIND_COUNT]; /* label to count as pointer */
    GArray *latencies_us;                  /* int64_t, from the due time */
    GArray *latencies_from_start_us;       /* int64_t */
    int64_t calls;
    int64_t attempts;
    int64_t skipped;
};

report_t *
Report_New(void)
{
    report_t *report = g_new0(report_t, 1);
    for (int i = 0; i < REPORT_KIND_COUNT; i++) {
        report->counts[i] =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    }
    report->latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    report->latencies_from_start_us =
        g_array_new(FALSE, FALSE, sizeof(int64_t));
    return report;
}

void
Report_Free(report_t *report)
{
    for (int i = 0; i < REPORT_KIND_COUNT; i++) {
        g_hash_table_destroy(report->counts[i]);
    }
    g_array_free(report->latencies_us, TRUE);
    g_array_free(report->latencies_from_start_us, TRUE);
    g_free(report);
}

void
Report_Count(report_t *report, report_kind_t kind, const char *label)
{
    GHashTable *counts = report->counts[kind];
    int count = GPOINTER_TO_INT(g_hash_table_lookup(counts, label));

    g_hash_table_insert(counts, g_strdup(label), GINT_TO_POINTER(count + 1));
}

void
Report_AddLatency(report_t *report, int64_t latency_us,
                  int64_t latency_from_start_us)
{
    g_array_append_val(report->latencies_us, latency_us);
    g_array_append_val(report->latencies_from_start_us, latency_from_start_us);
}

void
Report_AddCall(report_t *report, int attempts)
{
    report->calls++;
    report->attempts += attempts;
}

void
Report_AddSkipped(report_t *report)
{
    report->skipped++;
}

int64_t
Report_FailedChecks(const report_t *report)
{
    GHashTableIter iter;
    gpointer count;
    int64_t sum = 0;

    g_hash_table_iter_init(&iter, report->counts[REPORT_CHECK]);
    while (g_hash_table_iter_next(&iter, NULL, &count)) {
        sum += GPOINTER_TO_INT(count);
    }
    return sum;
}

static int
compare_latencies(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left, b = *(const int64_t *)right;

    return a < b ? -1 : a > b;
}

/* Returns a percentile of sorted samples (in us) by nearest rank, in ms; 0
 * without samples. */
static double
find_percentile(const GArray *samples, double share)
{
    guint count = samples->len;

    if (count == 0) {
        return 0.0;
    }
    guint rank = (guint)ceil(share * count);
    guint index = rank > 0 ? rank - 1 : 0;
    return (double)g_array_index(samples, int64_t, index) / 1000.0;
}

static json_t *
format_percentiles(GArray *samples)
{
    json_t *object = json_object();

    g_array_sort(samples, compare_latencies);
    for (size_t i = 0; i < G_N_ELEMENTS(percentiles); i++) {
        json_object_set_new(
            object, percentiles[i].name,
            json_real(find_percentile(samples, percentiles[i].share)));
    }
    return object;
}

static json_t *
format_counts(GHashTable *counts)
{
    json_t *object = json_object();
    GHashTableIter iter;
    gpointer label, count;

    g_hash_table_iter_init(&iter, counts);
    while (g_hash_table_iter_next(&iter, &label, &count)) {
        json_object_set_new(object, label,
                            json_integer(GPOINTER_TO_INT(count)));
    }
    return object;
}

json_t *
Report_ToJson(report_t *report, double duration_s)
{
    json_t *object = json_pack(
        "{s:I, s:I, s:I, s:f, s:f, s:I}", "calls", (json_int_t)report->calls,
        "attempts", (json_int_t)report->attempts, "skipped",
        (json_int_t)report->skipped, "duration_s", duration_s, "calls_per_s",
        duration_s > 0 ? (double)report->calls / duration_s : 0.0, "successes",
        (json_int_t)report->latencies_us->len);

    json_object_set_new(object, "latency_ms",
                        format_percentiles(report->latencies_us));
    json_object_set_new(object, "started_latency_ms",
                        format_percentiles(report->latencies_from_start_us));
    for (int i = 0; i < REPORT_KIND_COUNT; i++) {
        json_object_set_new(object, kind_names[i],
                            format_counts(report->counts[i]));
    }
    return object;
}

static void
print_counts(json_t *object, const char *kind, FILE *out)
{
    const char *label;
    json_t *count;

    json_object_foreach (json_object_get(object, kind), label, count) {
        fprintf(out, "%-14s %-24s %10" JSON_INTEGER_FORMAT "\n", kind, label,
                json_integer_value(count));
    }
}

void
Report_Print(report_t *report, double duration_s, FILE *out)
{
    json_t *object = Report_ToJson(report, duration_s);

    fprintf(out,
            "%" G_GINT64_FORMAT " calls in %.2f s (%.1f per second), "
            "%" G_GINT64_FORMAT " attempts, %" G_GINT64_FORMAT " skipped\n",
            (gint64)report->calls, duration_s,
            duration_s > 0 ? (double)report->calls / duration_s : 0.0,
            (gint64)report->attempts, (gint64)report->skipped);
    for (int i = 0; i < REPORT_KIND_COUNT; i++) {
        print_counts(object, kind_names[i], out);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(percentiles); i++) {
        fprintf(out, "%-14s %-24s %10.3f\n", "latency_ms", percentiles[i].name,
                find_percentile(report->latencies_us, percentiles[i].share));
    }
    json_decref(object);
}
