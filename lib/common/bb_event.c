#include "bb_event.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Buffer of lines that could not be written to standard output yet. */
#define BUFFER_BYTES 65536

typedef struct {
    const char *name;
    int per_second;
    const char *fields;
} event_info_t;

static const event_info_t event_info[] = {
#define BB_EVENT(id, name, per_second, fields) {name, per_second, fields},
#include "events.def"
#undef BB_EVENT
};

typedef struct {
    gint64 second; /* of the monotonic clock, to which lines refers */
    int lines;     /* permitted in this second */
    int omitted;   /* since the last line of this kind */
} event_rate_t;

static char node_name[64] = "-";
static event_rate_t rates[BB_EVENT_COUNT];
static char buffer[BUFFER_BYTES];
static size_t buffered;
static int dropped;     /* lines lost since the last one that was buffered */
static bool is_enabled; /* set by BbEvent_Init() */

void
BbEvent_Init(const char *node)
{
    int flags = fcntl(STDOUT_FILENO, F_GETFL);

    g_strlcpy(node_name, node, sizeof(node_name));
    is_enabled = true;
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

bool
BbEvent_Allows(bb_event_t event)
{
    event_rate_t *rate = &rates[event];
    gint64 second = g_get_monotonic_time() / G_USEC_PER_SEC;

    if (!is_enabled) {
        return false;
    }
    if (rate->second != second) {
        rate->second = second;
        rate->lines = 0;
    }
    if (rate->lines >= event_info[event].per_second) {
        rate->omitted++;
        return false;
    }
    rate->lines++;
    return true;
}

static void
flush_buffer(void)
{
    size_t written = 0;

    while (written < buffered) {
        ssize_t size =
            write(STDOUT_FILENO, buffer + written, buffered - written);
        if (size <= 0) {
            break;
        }
        written += (size_t)size;
    }
    memmove(buffer, buffer + written, buffered - written);
    buffered -= written;
}

void
BbEvent_Write(bb_event_t event, json_t *fields)
{
    event_rate_t *rate = &rates[event];
    json_t *line = json_pack(
        "{s:f, s:s, s:s}", "time", (double)g_get_real_time() / G_USEC_PER_SEC,
        "node", node_name, "event", event_info[event].name);

    if (fields != NULL) {
        json_object_update(line, fields);
        json_decref(fields);
    }
    if (rate->omitted > 0) {
        json_object_set_new(line, "omitted", json_integer(rate->omitted));
    }
    if (dropped > 0) {
        json_object_set_new(line, "dropped", json_integer(dropped));
    }
    char *text = json_dumps(line, JSON_COMPACT | JSON_REAL_PRECISION(15));
    size_t size = text != NULL ? strlen(text) : 0;
    if (size == 0 || buffered + size + 1 > sizeof(buffer)) {
        dropped++;
    }
    else {
        memcpy(buffer + buffered, text, size);
        buffer[buffered + size] = '\n';
        buffered += size + 1;
        rate->omitted = 0;
        dropped = 0;
    }
    free(text);
    json_decref(line);
    flush_buffer();
}

void
BbEvent_PrintReference(FILE *out)
{
    fputs("# Log lines\n\nPrinted by `bbsidecar --print-events`. Each line "
          "on standard output is a JSON\nobject with `time`, `node`, `event` "
          "and the fields below.\n\n| event | lines/s | fields |\n"
          "| --- | --- | --- |\n",
          out);
    for (int i = 0; i < BB_EVENT_COUNT; i++) {
        fprintf(out, "| `%s` | %d | %s |\n", event_info[i].name,
                event_info[i].per_second, event_info[i].fields);
    }
}
