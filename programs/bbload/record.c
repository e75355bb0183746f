#include "record.h"

#include <glib.h>

typedef struct {
    char *method;
    char *path;
    char *key;
    char *call;
    char *id;
    record_state_t state;
    gboolean has_run;
    /* By the VM's monotonic clock. */
    gint64 began_ms; /* the head was received */
    gint64 ended_ms; /* the call ended, was aborted or refused; 0: not yet */
} entry_t;

struct record {
    GArray *entries;
    size_t max_calls;
    size_t received;
    size_t ran;
    size_t ended;
    size_t aborted;
    size_t refused;
    int running;
    int max_running;
};

static void
clear_entry(void *arg)
{
    entry_t *entry = arg;

    g_free(entry->method);
    g_free(entry->path);
    g_free(entry->key);
    g_free(entry->call);
    g_free(entry->id);
}

record_t *
Record_New(size_t max_calls)
{
    record_t *record = g_new0(record_t, 1);
    record->entries = g_array_new(FALSE, TRUE, sizeof(entry_t));
    g_array_set_clear_func(record->entries, clear_entry);
    record->max_calls = max_calls;
    return record;
}

void
Record_Free(record_t *record)
{
    g_array_free(record->entries, TRUE);
    g_free(record);
}

size_t
Record_Add(record_t *record, const record_call_t *call)
{
    if (record->entries->len < record->max_calls) {
        entry_t entry = {
            .method = g_strdup(call->method),
            .path = g_strdup(call->path),
            .key = g_strdup(call->key),
            .call = g_strdup(call->call),
            .id = g_strdup(call->id),
            .began_ms = g_get_monotonic_time() / 1000,
        };
        g_array_append_val(record->entries, entry);
    }
    return record->received++;
}

static void
count_state(record_t *record, record_state_t state)
{
    switch (state) {
    case RECORD_RECEIVED:
        break;
    case RECORD_RAN:
        record->ran++;
        record->running++;
        record->max_running = MAX(record->max_running, record->running);
        break;
    case RECORD_ENDED:
        record->ended++;
        break;
    case RECORD_ABORTED:
        record->aborted++;
        break;
    case RECORD_REFUSED:
        record->refused++;
        break;
    }
}

void
Record_SetState(record_t *record, size_t number, record_state_t state)
{
    count_state(record, state);
    if (number >= record->entries->len) {
        return;
    }
    entry_t *entry = &g_array_index(record->entries, entry_t, number);
    entry->state = state;
    if (state == RECORD_RAN) {
        entry->has_run = TRUE;
    }
    else {
        entry->ended_ms = g_get_monotonic_time() / 1000;
    }
}

void
Record_EndRun(record_t *record)
{
    record->running--;
}

int
Record_Running(const record_t *record)
{
    return record->running;
}

static void
set_text(json_t *object, const char *name, const char *text)
{
    if (text != NULL) {
        json_object_set_new(object, name, json_string(text));
    }
}

static json_t *
format_entry(const entry_t *entry)
{
    static const char *const names[] = {
        [RECORD_RECEIVED] = "received", [RECORD_RAN] = "ran",
        [RECORD_ENDED] = "ended",       [RECORD_ABORTED] = "aborted",
        [RECORD_REFUSED] = "refused",
    };
    json_t *object = json_pack("{s:s, s:b, s:I, s:I}", "state",
                               names[entry->state], "has_run", entry->has_run,
                               "began_ms", (json_int_t)entry->began_ms,
                               "ended_ms", (json_int_t)entry->ended_ms);

    set_text(object, "method", entry->method);
    set_text(object, "path", entry->path);
    set_text(object, "key", entry->key);
    set_text(object, "call", entry->call);
    set_text(object, "id", entry->id);
    return object;
}

json_t *
Record_ToJson(const record_t *record, int with_calls)
{
    json_t *object = json_pack(
        "{s:I, s:I, s:I, s:I, s:I, s:i, s:i}", "received",
        (json_int_t)record->received, "ran", (json_int_t)record->ran, "ended",
        (json_int_t)record->ended, "aborted", (json_int_t)record->aborted,
        "refused", (json_int_t)record->refused, "running", record->running,
        "max_running", record->max_running);

    if (with_calls) {
        json_t *calls = json_array();
        for (guint i = 0; i < record->entries->len; i++) {
            json_array_append_new(calls, format_entry(&g_array_index(
                                             record->entries, entry_t, i)));
        }
        json_object_set_new(object, "calls", calls);
    }
    return object;
}
