#include "bb_h1_fetch.h"

#include <glib.h>
#include <string.h>

#include "bb_error.h"

struct bb_h1_fetch {
    struct ev_loop *loop;
    void (*done)(const bb_h1_fetch_result_t *fetched, void *arg);
    void *arg;
    bb_h1_exchange_t *exchange;
    double transfer_s; /* timeout from the head on; 0: the timer goes on */
    ev_timer timer;
    int status;
    GByteArray *body;
    const char *wanted_field;
    char *field;
};

static void
free_fetch(bb_h1_fetch_t *fetch)
{
    ev_timer_stop(fetch->loop, &fetch->timer);
    g_byte_array_unref(fetch->body);
    g_free(fetch->field);
    g_free(fetch);
}

static void
finish_fetch(bb_h1_fetch_t *fetch, int error)
{
    const bb_h1_fetch_result_t fetched = {
        .error = error,
        .status = fetch->status,
        .body = (const char *)fetch->body->data,
        .size = fetch->body->len,
        .field = fetch->field,
    };

    ev_timer_stop(fetch->loop, &fetch->timer);
    fetch->done(&fetched, fetch->arg);
    free_fetch(fetch);
}

static void
handle_head(int status, const bb_h1_fields_t *fields, void *arg)
{
    bb_h1_fetch_t *fetch = arg;

    fetch->status = status;
    if (fetch->wanted_field != NULL) {
        g_free(fetch->field);
        fetch->field = g_strdup(BbH1Fields_Get(fields, fetch->wanted_field));
    }
    if (fetch->transfer_s > 0) {
        ev_timer_stop(fetch->loop, &fetch->timer);
        ev_timer_set(&fetch->timer, fetch->transfer_s, 0.0);
        ev_timer_start(fetch->loop, &fetch->timer);
    }
}

static void
handle_data(const char *data, size_t size, void *arg)
{
    bb_h1_fetch_t *fetch = arg;

    if (fetch->body->len + size > BB_H1_FETCH_MAX_BYTES) {
        BbH1_Cancel(fetch->exchange);
        finish_fetch(fetch, BB_ERR_LIMIT);
        return;
    }
    g_byte_array_append(fetch->body, (const guint8 *)data, (guint)size);
}

static void
handle_end(void *arg)
{
    finish_fetch(arg, 0);
}

static void
handle_fail(int error, bool is_sent, void *arg)
{
    (void)is_sent;
    finish_fetch(arg, error);
}

static const bb_h1_exchange_handler_t exchange_handler = {
    .on_head = handle_head,
    .on_data = handle_data,
    .on_end = handle_end,
    .on_fail = handle_fail,
};

static void
handle_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    bb_h1_fetch_t *fetch = timer->data;

    BbH1_Cancel(fetch->exchange);
    finish_fetch(fetch, BB_ERR_TIMEOUT);
}

bb_h1_fetch_t *
BbH1Fetch_Start(const bb_h1_fetch_options_t *options)
{
    bb_h1_fetch_t *fetch = g_new0(bb_h1_fetch_t, 1);
    size_t size = options->json != NULL ? strlen(options->json) : 0;
    bb_h1_fields_t fields;

    fetch->loop = options->loop;
    fetch->done = options->done;
    fetch->arg = options->arg;
    fetch->body = g_byte_array_new();
    fetch->wanted_field = options->wanted_field;
    BbH1Fields_Init(&fields);
    BbH1Fields_Add(&fields, "Host", options->address);
    if (options->json != NULL) {
        BbH1Fields_Add(&fields, "Content-Type", "application/json");
    }
    const bb_h1_exchange_options_t exchange = {
        .address = options->address,
        .method = options->method,
        .target = options->target,
        .fields = &fields,
        .content_length =
            options->json != NULL ? (int64_t)size : BB_H1_NO_BODY,
        .max_idle_s = options->max_idle_s,
        .handler = &exchange_handler,
        .arg = fetch,
    };
    fetch->exchange = BbH1_Start(options->client, &exchange);
    BbH1Fields_Free(&fields);
    if (options->json != NULL) {
        BbH1_Send(fetch->exchange, options->json, size);
        BbH1_SendEnd(fetch->exchange);
    }
    bool has_head_timeout = options->head_timeout_s > 0;
    fetch->transfer_s = has_head_timeout ? options->timeout_s : 0;
    ev_timer_init(
        &fetch->timer, handle_timeout,
        has_head_timeout ? options->head_timeout_s : options->timeout_s, 0.0);
    fetch->timer.data = fetch;
    ev_timer_start(options->loop, &fetch->timer);
    return fetch;
}

void
BbH1Fetch_Cancel(bb_h1_fetch_t *fetch)
{
    BbH1_Cancel(fetch->exchange);
    free_fetch(fetch);
}
