#include "bb_row_writer.h"

#include <glib.h>
#include <string.h>

#include "bb_error.h"
#include "bb_event.h"

#define BACKOFF_MIN_S 0.1
#define BACKOFF_MAX_S 1.5

struct bb_row_writer {
    bb_row_writer_options_t options;
    char *table;
    char *key;
    char *wanted;  /* NULL for no row */
    char *stored;  /* value of the row at position; NULL if unknown */
    bool is_dirty; /* wanted is not yet acknowledged */
    bool is_set_during_write; /* wanted was set during a write */
    bool is_removing;         /* the write in progress removes the row */
    bb_position_t position;   /* of the row in the store; 0 without a row */
    void *pending;
    ev_timer retry_timer;
    double backoff_s;
};

static void write_row(bb_row_writer_t *writer);

static void
log_outcome(int error)
{
    if (BbEvent_Allows(BB_EVENT_ROW)) {
        BbEvent_Write(BB_EVENT_ROW,
                      json_pack("{s:s, s:s}", "outcome",
                                error == 0 ? "written" : "refused", "error",
                                error != 0 ? BbError_Name(error) : ""));
    }
}

static void
retry_later(bb_row_writer_t *writer)
{
    writer->backoff_s = writer->backoff_s > 0
                            ? MIN(writer->backoff_s * 2, BACKOFF_MAX_S)
                            : BACKOFF_MIN_S;
    double delay_s =
        writer->backoff_s * (0.5 + BbRandom_Unit(writer->options.random));
    ev_timer_set(&writer->retry_timer, delay_s, 0.0);
    ev_timer_start(writer->options.loop, &writer->retry_timer);
}

static const bb_table_row_t *
find_row(const bb_row_writer_t *writer, const bb_table_result_t *result)
{
    for (size_t i = 0; i < result->count; i++) {
        if (strcmp(result->rows[i].key, writer->key) == 0 &&
            !result->rows[i].is_removed) {
            return &result->rows[i];
        }
    }
    return NULL;
}

static void
handle_conflict(bb_row_writer_t *writer, const bb_table_result_t *result)
{
    const bb_table_row_t *row = find_row(writer, result);

    writer->position = row != NULL ? row->position : 0;
    if (row != NULL && writer->options.on_conflict != NULL) {
        writer->options.on_conflict(row, writer->options.arg);
    }
    if (writer->pending == NULL) { /* on_conflict may have started a write */
        write_row(writer);
    }
}

static void
handle_written(const bb_table_result_t *result, void *arg)
{
    bb_row_writer_t *writer = arg;

    writer->pending = NULL;
    log_outcome(result->error);
    if (result->error == BB_ERR_CONFLICT) {
        handle_conflict(writer, result);
        return;
    }
    if (result->error != 0) {
        retry_later(writer);
        return;
    }
    writer->backoff_s = 0;
    writer->position = writer->is_removing ? 0 : result->position;
    writer->is_dirty = writer->is_set_during_write;
    if (writer->is_set_during_write) {
        write_row(writer);
    }
    else if (writer->options.on_done != NULL) {
        writer->options.on_done(writer->options.arg);
    }
}

static void
write_row(bb_row_writer_t *writer)
{
    bb_table_store_t *store = writer->options.store;

    writer->is_set_during_write = false;
    g_clear_pointer(&writer->stored, g_free); /* unknown until the response */
    if (writer->wanted == NULL && writer->position == 0) {
        writer->is_dirty = false;
        return;
    }
    size_t size = writer->wanted != NULL ? strlen(writer->wanted) : 0;
    writer->is_removing = writer->wanted == NULL;
    writer->pending =
        store->ops->write(store, writer->table, writer->key, writer->wanted,
                          size, writer->position, handle_written, writer);
}

static void
handle_retry(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    write_row(timer->data);
}

void
BbRowWriter_Set(bb_row_writer_t *writer, const char *value)
{
    if (!writer->is_dirty && g_strcmp0(value, writer->wanted) == 0) {
        return;
    }
    g_free(writer->wanted);
    writer->wanted = g_strdup(value);
    writer->is_dirty = true;
    if (writer->pending != NULL) {
        writer->is_set_during_write = true;
        return;
    }
    if (value != NULL && g_strcmp0(value, writer->stored) == 0) {
        writer->is_dirty = false;
        return;
    }
    ev_timer_stop(writer->options.loop, &writer->retry_timer);
    write_row(writer);
}

void
BbRowWriter_Observe(bb_row_writer_t *writer, bb_position_t position,
                    const char *value, size_t size)
{
    if (position <= writer->position) {
        return;
    }
    writer->position = value != NULL ? position : 0;
    g_free(writer->stored);
    writer->stored = value != NULL ? g_strndup(value, size) : NULL;
    bool is_idle =
        writer->pending == NULL && !ev_is_active(&writer->retry_timer);
    if (is_idle && writer->wanted != NULL &&
        g_strcmp0(writer->stored, writer->wanted) != 0) {
        writer->is_dirty = true;
        write_row(writer);
    }
}

void
BbRowWriter_ObserveTable(bb_row_writer_t *writer, bb_position_t position)
{
    if (BbPosition_IsRestored(position, writer->position)) {
        BbRowWriter_Observe(writer, position, NULL, 0);
    }
}

bool
BbRowWriter_IsDone(const bb_row_writer_t *writer)
{
    return !writer->is_dirty;
}

bb_row_writer_t *
BbRowWriter_New(const bb_row_writer_options_t *options)
{
    bb_row_writer_t *writer = g_new0(bb_row_writer_t, 1);

    writer->options = *options;
    writer->table = g_strdup(options->table);
    writer->key = g_strdup(options->key);
    ev_init(&writer->retry_timer, handle_retry);
    writer->retry_timer.data = writer;
    return writer;
}

void
BbRowWriter_Free(bb_row_writer_t *writer)
{
    if (writer == NULL) {
        return;
    }
    ev_timer_stop(writer->options.loop, &writer->retry_timer);
    if (writer->pending != NULL) {
        bb_table_store_t *store = writer->options.store;
        store->ops->cancel(store, writer->pending);
    }
    g_free(writer->wanted);
    g_free(writer->stored);
    g_free(writer->table);
    g_free(writer->key);
    g_free(writer);
}
