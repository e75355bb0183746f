/*
 * bb_counters - event counters of the process
 *
 * Each refusal reason and each retry reason has a counter of its own. The
 * lists are in counters_PACKAGE.def, where PACKAGE is a folder of lib/ and the
 * heading of the list in docs/COUNTERS.md. They have one entry per counter:
 *
 *   BB_COUNTER(REFUSED_NO_CONFIG, "refused_no_config_total", "help text")
 *
 * which gives the constant BB_COUNTER_REFUSED_NO_CONFIG and the exported
 * name "burdockbarrow_refused_no_config_total". counter_notes.def says for
 * each counter what a rise indicates about the installation.
 *
 * LIMITS
 *   Not thread safe: a process runs one loop on one thread.
 */
#ifndef BB_COUNTERS_H
#define BB_COUNTERS_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
#define BB_COUNTER(id, name, help) BB_COUNTER_##id,
#include "counters_caller.def"
#include "counters_operator.def"
#include "counters_peer.def"
#include "counters_platform.def"
#include "counters_target.def"
#undef BB_COUNTER
    BB_COUNTER_COUNT
} bb_counter_t;

void BbCounters_Add(bb_counter_t counter, int64_t amount);

int64_t BbCounters_Get(bb_counter_t counter);

/* Exported name without prefix, for example "refused_no_config_total". */
const char *BbCounters_Name(bb_counter_t counter);

const char *BbCounters_Help(bb_counter_t counter);

/* Sets all counters to 0, for tests. */
void BbCounters_Reset(void);

/* Returns all counters in the Prometheus text format; free with g_free(). */
char *BbCounters_FormatPrometheus(void);

/* Writes the text of docs/COUNTERS.md: the counters of each package and their
 * meaning. */
void BbCounters_PrintReference(FILE *out);

#ifdef __cplusplus
}
#endif

#endif
