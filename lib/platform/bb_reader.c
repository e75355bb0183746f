#include "bb_reader.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "bb_backoff.h"
#include "bb_counters.h"
#include "bb_error.h"

struct bb_reader {
    int64_t poll_ms;
    gboolean delays_first_read;
    bb_random_t *random;

    gboolean is_active;
    gboolean is_standby;
    gboolean is_in_flight;
    int64_t sent_ms;
    int64_t next_read_ms; /* of the head */
    int read_failures;

    bb_release_t head; /* version 0: none read yet */
    int64_t earliest_fetch_ms;
    int fetch_failures;
};

static int64_t
random_delay_ms(bb_reader_t *reader, int64_t max_ms)
{
    return (int64_t)(BbRandom_Unit(reader->random) * (double)max_ms);
}

static int64_t
read_interval_ms(const bb_reader_t *reader)
{
    return reader->is_active ? reader->poll_ms
                             : MAX(reader->poll_ms, BB_READER_STANDBY_MS);
}

void
BbReader_SetActive(bb_reader_t *reader, int is_active, int64_t now_ms)
{
    if (reader->is_active == (is_active != 0)) {
        return;
    }
    reader->is_active = is_active != 0;
    reader->next_read_ms = now_ms;
    if (reader->delays_first_read) {
        reader->next_read_ms += random_delay_ms(reader, reader->poll_ms);
    }
}

void
BbReader_SetStandby(bb_reader_t *reader, int is_standby, int64_t now_ms)
{
    if (reader->is_standby == (is_standby != 0)) {
        return;
    }
    reader->is_standby = is_standby != 0;
    if (!reader->is_active) {
        reader->next_read_ms =
            now_ms + random_delay_ms(reader, BB_READER_STANDBY_MS);
    }
}

void
BbReader_Next(bb_reader_t *reader, int64_t version, int64_t now_ms,
              bb_reader_action_t *action)
{
    gboolean needs_content = reader->head.version > version;

    memset(action, 0, sizeof(*action));
    action->wake_ms = INT64_MAX;
    if ((!reader->is_active && !reader->is_standby) || reader->is_in_flight) {
        return;
    }
    if (needs_content && now_ms >= reader->earliest_fetch_ms) {
        action->kind = BB_READER_FETCH_CONTENT;
        action->release = &reader->head;
        reader->is_in_flight = TRUE;
        return;
    }
    if (now_ms >= reader->next_read_ms) {
        action->kind = BB_READER_READ_HEAD;
        reader->is_in_flight = TRUE;
        reader->sent_ms = now_ms;
        return;
    }
    action->wake_ms =
        needs_content ? MIN(reader->next_read_ms, reader->earliest_fetch_ms)
                      : reader->next_read_ms;
}

static int
is_same_release(const bb_release_t *a, const bb_release_t *b)
{
    return a->version == b->version && strcmp(a->digest, b->digest) == 0 &&
           strcmp(a->signature, b->signature) == 0;
}

void
BbReader_HandleHead(bb_reader_t *reader, int error,
                    const bb_release_t *release, int64_t now_ms)
{
    assert(reader->is_in_flight);
    reader->is_in_flight = FALSE;
    if (error != 0 && error != BB_ERR_NOT_FOUND) {
        BbCounters_Add(BB_COUNTER_HEAD_READ_FAILURES, 1);
        reader->next_read_ms =
            now_ms + BbBackoff_Next(&reader->read_failures, reader->random);
        return;
    }
    reader->read_failures = 0;
    reader->next_read_ms =
        MAX(reader->sent_ms + read_interval_ms(reader), now_ms);
    if (error == 0 && !is_same_release(release, &reader->head)) {
        reader->head = *release;
        reader->earliest_fetch_ms = now_ms;
        reader->fetch_failures = 0;
    }
}

void
BbReader_HandleContent(bb_reader_t *reader, int error, int64_t version,
                       int64_t now_ms)
{
    assert(reader->is_in_flight);
    reader->is_in_flight = FALSE;
    if (version >= reader->head.version) {
        reader->fetch_failures = 0;
        return;
    }
    BbCounters_Add(error != 0 ? BB_COUNTER_CONTENT_READ_FAILURES
                              : BB_COUNTER_CONTENT_REFUSED,
                   1);
    reader->earliest_fetch_ms =
        now_ms + BbBackoff_Next(&reader->fetch_failures, reader->random);
}

bb_reader_t *
BbReader_New(const bb_reader_options_t *options)
{
    bb_reader_t *reader = g_new0(bb_reader_t, 1);
    reader->poll_ms = options->poll_ms;
    reader->delays_first_read = options->delays_first_read;
    reader->random = options->random;
    return reader;
}

void
BbReader_Free(bb_reader_t *reader)
{
    g_free(reader);
}
