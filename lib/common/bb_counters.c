#include "bb_counters.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

typedef struct {
    const char *package;
    const char *name;
    const char *help;
} counter_info_t;

static const counter_info_t counter_info[BB_COUNTER_COUNT] = {
#define BB_COUNTER(id, name, help) [BB_COUNTER_##id] = {PACKAGE, name, help},
#define PACKAGE "caller"
#include "counters_caller.def"
#undef PACKAGE
#define PACKAGE "operator"
#include "counters_operator.def"
#undef PACKAGE
#define PACKAGE "peer"
#include "counters_peer.def"
#undef PACKAGE
#define PACKAGE "platform"
#include "counters_platform.def"
#undef PACKAGE
#define PACKAGE "target"
#include "counters_target.def"
#undef PACKAGE
#undef BB_COUNTER
};

/* NULL for a counter without a note; BbCounters_PrintReference() then prints
 * "not documented". */
static const char *const counter_notes[BB_COUNTER_COUNT] = {
#define BB_COUNTER_NOTE(id, note) [BB_COUNTER_##id] = note,
#include "counter_notes.def"
#undef BB_COUNTER_NOTE
};

static int64_t counter_values[BB_COUNTER_COUNT];

void
BbCounters_Add(bb_counter_t counter, int64_t amount)
{
    assert(counter < BB_COUNTER_COUNT);
    counter_values[counter] += amount;
}

int64_t
BbCounters_Get(bb_counter_t counter)
{
    assert(counter < BB_COUNTER_COUNT);
    return counter_values[counter];
}

const char *
BbCounters_Name(bb_counter_t counter)
{
    assert(counter < BB_COUNTER_COUNT);
    return counter_info[counter].name;
}

const char *
BbCounters_Help(bb_counter_t counter)
{
    assert(counter < BB_COUNTER_COUNT);
    return counter_info[counter].help;
}

void
BbCounters_Reset(void)
{
    memset(counter_values, 0, sizeof(counter_values));
}

char *
BbCounters_FormatPrometheus(void)
{
    GString *text = g_string_new(NULL);
    for (int i = 0; i < BB_COUNTER_COUNT; i++) {
        const counter_info_t *info = &counter_info[i];
        g_string_append_printf(
            text,
            "# HELP burdockbarrow_%s %s\n# TYPE burdockbarrow_%s counter\n"
            "burdockbarrow_%s %" G_GINT64_FORMAT "\n",
            info->name, info->help, info->name, info->name,
            (gint64)counter_values[i]);
    }
    return g_string_free(text, FALSE);
}

void
BbCounters_PrintReference(FILE *out)
{
    const char *package = "";

    fputs("# Counters of bbnode\n\n"
          "Printed by `bbnode --print-counters`; `make docs` writes this "
          "page. `/metrics` of\nthe admin address shows each counter with "
          "the prefix `burdockbarrow_`, `/status`\nwithout it. Each counts "
          "from the start of the process.\n",
          out);
    for (int i = 0; i < BB_COUNTER_COUNT; i++) {
        const counter_info_t *info = &counter_info[i];
        if (strcmp(info->package, package) != 0) {
            package = info->package;
            fprintf(out,
                    "\n## %s\n\n| counter | meaning | a rise says |\n"
                    "| --- | --- | --- |\n",
                    package);
        }
        fprintf(out, "| `%s` | %s | %s |\n", info->name, info->help,
                counter_notes[i] != NULL ? counter_notes[i]
                                         : "not documented");
    }
}
