#include "target.h"

#include <errno.h>
#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <utlist.h>

#include "bb_error.h"
#include "bb_http_io.h"
#include "chain.h"
#include "pattern.h"
#include "record.h"

#define DIGEST_BYTES 32
#define DIGEST_HEX_SIZE (2 * DIGEST_BYTES + 1)
#define BLOCK_BYTES (64 * 1024) /* of a response body, at a time */
#define MAX_CONTROL_BYTES 4096  /* of the body of POST /_fault */
#define NO_ID "-"               /* id of calls without X-Call */

typedef enum {
    PHASE_BODY,     /* the request is being received */
    PHASE_WAIT,     /* waits for a worker */
    PHASE_START,    /* has got a worker, run not yet started */
    PHASE_WORK,     /* runs for work_ms */
    PHASE_DELAY,    /* run ended, the first byte waits for delay_ms */
    PHASE_CHAIN,    /* the next service is called, or its call has failed */
    PHASE_RESPONSE, /* the response can be queued */
    PHASE_REFUSED,  /* shed without running */
    PHASE_SILENT,   /* run ended, no response is sent */
    PHASE_CLOSED,   /* to be closed without a response */
} phase_t;

typedef struct call {
    /* First, because libsodium requires an alignment of 64 bytes. */
    crypto_generichash_state digest;
    target_t *target;
    struct MHD_Connection *connection;
    char *id;
    GString *control; /* body of a control request; NULL for calls */
    size_t number;    /* from Record_Add() */
    phase_t phase;
    fault_mode_t mode;
    int64_t work_ms;
    int64_t delay_ms;
    uint64_t size;      /* of the response body */
    int64_t depth;      /* services left in the chain, this one included */
    int64_t expires_ms; /* deadline by the monotonic clock; 0: none */
    char *path;
    chain_t *chain;
    gboolean has_worker;
    gboolean is_suspended;
    gboolean is_in_flight; /* counted in target->in_flight */
    ev_timer timer;
    ev_io close_watcher; /* reports a closed connection while suspended */
    struct call *prev;
    struct call *next;
} call_t;

struct target {
    target_options_t options;
    behaviour_t behaviour;
    bb_mhd_t *mhd;
    record_t *record;
    call_t *calls;
    int in_flight;
    int busy_workers;
};

static void
set_in_flight(call_t *call, gboolean is_in_flight)
{
    target_t *target = call->target;

    if (call->is_in_flight == is_in_flight) {
        return;
    }
    call->is_in_flight = is_in_flight;
    target->in_flight += is_in_flight ? 1 : -1;
    if (target->in_flight == 0) {
        target->options.on_idle(target->options.arg);
    }
}

/* ---- suspended calls ---- */

static void
resume(call_t *call)
{
    struct ev_loop *loop = call->target->options.loop;

    ev_timer_stop(loop, &call->timer);
    ev_io_stop(loop, &call->close_watcher);
    if (call->is_suspended) {
        call->is_suspended = FALSE;
        MHD_resume_connection(call->connection);
        BbMhd_Wake(call->target->mhd);
    }
}

static void
end_wait(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    resume(timer->data);
}

static void
release_worker(call_t *call)
{
    target_t *target = call->target;
    call_t *next;

    if (!call->has_worker) {
        return;
    }
    call->has_worker = FALSE;
    target->busy_workers--;
    DL_SEARCH_SCALAR(target->calls, next, phase, PHASE_WAIT);
    if (next != NULL) {
        target->busy_workers++;
        next->has_worker = TRUE;
        next->phase = PHASE_START;
        resume(next);
    }
}

static void
record_run_end(call_t *call)
{
    if (call->phase == PHASE_WORK) {
        Record_EndRun(call->target->record);
    }
}

static void
check_closed(struct ev_loop *loop, ev_io *watch, int events)
{
    (void)events;
    call_t *call = watch->data;
    char byte;
    ssize_t size = recv(watch->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

    if (size > 0 || (size < 0 && (errno == EAGAIN || errno == EINTR))) {
        /* A pipelined request: its unread bytes would trigger this callback
         * in every iteration of the loop. */
        ev_io_stop(loop, watch);
        return;
    }
    record_run_end(call);
    call->phase = PHASE_CLOSED;
    release_worker(call);
    resume(call);
}

/* Suspends the call for wait_ms; < 0: until resume() is called or the
 * connection closes. */
static enum MHD_Result
suspend(call_t *call, int64_t wait_ms)
{
    struct ev_loop *loop = call->target->options.loop;
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        call->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

    call->is_suspended = TRUE;
    MHD_suspend_connection(call->connection);
    ev_io_set(&call->close_watcher, info->connect_fd, EV_READ);
    ev_io_start(loop, &call->close_watcher);
    if (wait_ms >= 0) {
        ev_now_update(loop);
        ev_timer_set(&call->timer, (double)wait_ms / 1000.0, 0.0);
        ev_timer_start(loop, &call->timer);
    }
    return MHD_YES;
}

/* ---- responses ---- */

typedef struct {
    char *id;
    uint64_t truncate_at; /* bytes sent; UINT64_MAX: the whole body */
} body_t;

static ssize_t
fill_body(void *arg, uint64_t position, char *out, size_t max)
{
    const body_t *body = arg;

    if (position >= body->truncate_at) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    size_t size = (size_t)MIN((uint64_t)max, body->truncate_at - position);
    Pattern_Fill(out, size, position, body->id);
    return (ssize_t)size;
}

static void
free_body(void *arg)
{
    body_t *body = arg;

    g_free(body->id);
    g_free(body);
}

static struct MHD_Response *
build_response(const call_t *call)
{
    body_t *body = g_new0(body_t, 1);
    gboolean is_truncated = call->mode == MODE_TRUNCATE;

    body->id = g_strdup(call->id);
    body->truncate_at = is_truncated ? call->size / 2 : UINT64_MAX;
    /* A response is truncated only if at least one byte of its Content-Length
     * is not sent. */
    uint64_t size = is_truncated ? MAX(call->size, 1) : call->size;
    return MHD_create_response_from_callback(size, BLOCK_BYTES, fill_body,
                                             body, free_body);
}

static enum MHD_Result
queue_response(call_t *call)
{
    unsigned char digest[DIGEST_BYTES];
    char hex[DIGEST_HEX_SIZE];
    struct MHD_Response *response = build_response(call);

    crypto_generichash_final(&call->digest, digest, sizeof(digest));
    sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
    MHD_add_response_header(response, "X-Call", call->id);
    MHD_add_response_header(response, "X-Body-Digest", hex);
    MHD_add_response_header(response, "X-Target",
                            call->target->options.address);
    enum MHD_Result result =
        MHD_queue_response(call->connection, MHD_HTTP_OK, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
queue_text(call_t *call, unsigned int status, const char *text)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);

    MHD_add_response_header(response, "Content-Type", "application/json");
    enum MHD_Result result =
        MHD_queue_response(call->connection, status, response);
    MHD_destroy_response(response);
    return result;
}

/* ---- control paths ---- */

static const char *
find_query(const call_t *call, const char *name)
{
    return MHD_lookup_connection_value(call->connection, MHD_GET_ARGUMENT_KIND,
                                       name);
}

static enum MHD_Result
serve_record(call_t *call)
{
    json_t *object = Record_ToJson(call->target->record,
                                   find_query(call, "summary") == NULL);
    char *text = json_dumps(object, JSON_COMPACT);
    enum MHD_Result result = queue_text(call, MHD_HTTP_OK, text);

    free(text);
    json_decref(object);
    return result;
}

static enum MHD_Result
serve_health(call_t *call)
{
    const behaviour_t *behaviour = &call->target->behaviour;
    gboolean is_up = behaviour->health == HEALTH_UP ||
                     (behaviour->health == HEALTH_BY_STATE &&
                      behaviour->state == STATE_READY);

    return queue_text(call, is_up ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
                      is_up ? "{\"healthy\":true}" : "{\"healthy\":false}");
}

static enum MHD_Result
serve_fault(call_t *call)
{
    target_t *target = call->target;
    json_t *object =
        json_loadb(call->control->str, call->control->len, 0, NULL);
    int error = Behaviour_Merge(&target->behaviour, object);

    json_decref(object);
    if (error != 0) {
        return queue_text(call, MHD_HTTP_BAD_REQUEST,
                          "{\"error\":\"malformed fault\"}");
    }
    target->options.on_change(target->options.arg);
    return queue_text(call, MHD_HTTP_OK, "{}");
}

static enum MHD_Result
serve_control(call_t *call, const char *method, const char *path)
{
    gboolean is_get = strcmp(method, "GET") == 0;

    if (is_get && strcmp(path, "/_record") == 0) {
        return serve_record(call);
    }
    if (is_get && strcmp(path, "/_health") == 0) {
        return serve_health(call);
    }
    if (!is_get && strcmp(path, "/_fault") == 0) {
        return serve_fault(call);
    }
    return queue_text(call, MHD_HTTP_NOT_FOUND, "{}");
}

/* ---- calls ---- */

static int64_t
find_number(const call_t *call, const char *name, int64_t fallback)
{
    const char *text = find_query(call, name);

    return text != NULL ? MAX(g_ascii_strtoll(text, NULL, 10), 0) : fallback;
}

static void
set_expiry(call_t *call)
{
    const char *text = MHD_lookup_connection_value(
        call->connection, MHD_HEADER_KIND, "Burdock-Deadline-Ms");

    if (text != NULL) {
        call->expires_ms =
            g_get_monotonic_time() / 1000 + g_ascii_strtoll(text, NULL, 10);
    }
}

static void
init_call(call_t *call, const char *method, const char *path)
{
    target_t *target = call->target;
    struct MHD_Connection *connection = call->connection;
    record_call_t entry = {
        .method = method,
        .path = path,
        .key = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
                                           "Idempotency-Key"),
        .call = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
                                            "Burdock-Call"),
        .id =
            MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "X-Call"),
    };

    call->id = g_strdup(entry.id != NULL ? entry.id : NO_ID);
    call->mode = Behaviour_TakeMode(&target->behaviour);
    Behaviour_ParseMode(find_query(call, "fault"), &call->mode);
    call->work_ms = find_number(call, "work_ms", target->behaviour.work_ms);
    call->delay_ms = find_number(call, "delay_ms", target->behaviour.delay_ms);
    call->size = (uint64_t)find_number(call, "size", 0);
    call->depth = find_number(call, "depth", 1);
    call->path = g_strdup(path);
    set_expiry(call);
    call->number = Record_Add(target->record, &entry);
    set_in_flight(call, TRUE);
}

static call_t *
new_call(target_t *target, struct MHD_Connection *connection,
         const char *method, const char *path)
{
    call_t *call = aligned_alloc(_Alignof(call_t), sizeof(call_t));

    memset(call, 0, sizeof(*call));
    crypto_generichash_init(&call->digest, NULL, 0, DIGEST_BYTES);
    call->target = target;
    call->connection = connection;
    ev_init(&call->timer, end_wait);
    call->timer.data = call;
    ev_init(&call->close_watcher, check_closed);
    call->close_watcher.data = call;
    if (g_str_has_prefix(path, "/_")) {
        call->control = g_string_new(NULL);
    }
    else {
        init_call(call, method, path);
    }
    DL_APPEND(target->calls, call);
    return call;
}

static void
end_chain(long status, void *arg)
{
    call_t *call = arg;

    call->chain = NULL;
    call->phase = status == MHD_HTTP_OK ? PHASE_RESPONSE : PHASE_CHAIN;
    resume(call);
}

static enum MHD_Result
call_next_service(call_t *call)
{
    target_t *target = call->target;
    int64_t now_ms = g_get_monotonic_time() / 1000;
    chain_options_t options = {
        .curl = target->options.curl,
        .node = target->options.chain_node,
        .path = call->path,
        .depth = call->depth - 1,
        .id = call->id,
        .deadline_ms =
            call->expires_ms > 0 ? MAX(call->expires_ms - now_ms, 1) : 0,
        .done = end_chain,
        .arg = call,
    };

    call->phase = PHASE_CHAIN;
    call->chain = Chain_Start(&options);
    return call->chain != NULL ? suspend(call, -1) : MHD_NO;
}

static enum MHD_Result
finish_run(call_t *call)
{
    record_run_end(call);
    release_worker(call);
    if (call->depth > 1 && call->target->options.chain_node != NULL) {
        return call_next_service(call);
    }
    switch (call->mode) {
    case MODE_CLOSE:
        call->phase = PHASE_CLOSED;
        return MHD_NO;
    case MODE_SILENT:
        call->phase = PHASE_SILENT;
        set_in_flight(call, FALSE);
        return suspend(call, -1);
    case MODE_SLOW:
        call->phase = PHASE_DELAY;
        return suspend(call, call->delay_ms);
    default:
        call->phase = PHASE_RESPONSE;
        return queue_response(call);
    }
}

static enum MHD_Result
begin_work(call_t *call)
{
    call->phase = PHASE_WORK;
    Record_SetState(call->target->record, call->number, RECORD_RAN);
    return call->work_ms > 0 ? suspend(call, call->work_ms) : finish_run(call);
}

static enum MHD_Result
start_run(call_t *call)
{
    target_t *target = call->target;

    if (call->mode == MODE_SHED) {
        call->phase = PHASE_REFUSED;
        Record_SetState(call->target->record, call->number, RECORD_REFUSED);
        return queue_text(call, MHD_HTTP_SERVICE_UNAVAILABLE,
                          "{\"error\":\"shed\"}");
    }
    if (target->options.max_workers > 0) {
        if (target->busy_workers >= target->options.max_workers) {
            call->phase = PHASE_WAIT;
            return suspend(call, -1);
        }
        target->busy_workers++;
        call->has_worker = TRUE;
    }
    return begin_work(call);
}

/* Called when the whole request was received and after each wait. */
static enum MHD_Result
continue_call(call_t *call)
{
    switch (call->phase) {
    case PHASE_BODY:
        return start_run(call);
    case PHASE_START:
        return begin_work(call);
    case PHASE_WORK:
        return finish_run(call);
    case PHASE_DELAY:
        call->phase = PHASE_RESPONSE;
        return queue_response(call);
    case PHASE_RESPONSE:
        return queue_response(call);
    case PHASE_CHAIN:
        return queue_text(call, MHD_HTTP_BAD_GATEWAY,
                          "{\"error\":\"next service\"}");
    default:
        return MHD_NO;
    }
}

static void
receive_body(call_t *call, const char *data, size_t size)
{
    if (call->control == NULL) {
        crypto_generichash_update(&call->digest, (const unsigned char *)data,
                                  size);
    }
    else if (call->control->len + size <= MAX_CONTROL_BYTES) {
        g_string_append_len(call->control, data, (gssize)size);
    }
}

static enum MHD_Result
handle_access(void *arg, struct MHD_Connection *connection, const char *path,
              const char *method, const char *version, const char *upload,
              size_t *upload_size, void **call_arg)
{
    (void)version;
    call_t *call = *call_arg;

    if (call == NULL) {
        *call_arg = new_call(arg, connection, method, path);
        return MHD_YES;
    }
    if (*upload_size > 0) {
        receive_body(call, upload, *upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    return call->control != NULL ? serve_control(call, method, path)
                                 : continue_call(call);
}

/* ---- ends ---- */

static void
end_call(call_t *call, gboolean is_complete)
{
    target_t *target = call->target;

    if (call->phase != PHASE_REFUSED) {
        Record_SetState(target->record, call->number,
                        is_complete ? RECORD_ENDED : RECORD_ABORTED);
    }
    set_in_flight(call, FALSE);
}

static void
complete_request(void *arg, struct MHD_Connection *connection, void **call_arg,
                 enum MHD_RequestTerminationCode code)
{
    (void)connection;
    target_t *target = arg;
    call_t *call = *call_arg;

    if (call == NULL) {
        return;
    }
    *call_arg = NULL;
    DL_DELETE(target->calls, call);
    release_worker(call);
    if (call->chain != NULL) {
        Chain_Cancel(call->chain);
    }
    if (call->control != NULL) {
        g_string_free(call->control, TRUE);
    }
    else {
        end_call(call, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    }
    g_free(call->id);
    g_free(call->path);
    free(call);
}

int
Target_Start(target_t **out, const target_options_t *options)
{
    target_t *target = g_new0(target_t, 1);
    bb_mhd_options_t mhd_options = {
        .loop = options->loop,
        .address = options->address,
        .handler = handle_access,
        .handler_arg = target,
        .completed = complete_request,
        .completed_arg = target,
        .max_connections = options->max_connections,
    };

    int error = BbMhd_Start(&target->mhd, &mhd_options);
    if (error != 0) {
        g_free(target);
        return error;
    }
    target->options = *options;
    target->behaviour = options->behaviour;
    target->record = Record_New(options->max_recorded_calls);
    *out = target;
    return 0;
}

void
Target_Free(target_t *target)
{
    call_t *call;

    DL_FOREACH (target->calls, call) {
        call->phase = PHASE_CLOSED;
        resume(call);
    }
    BbMhd_Free(target->mhd);
    Record_Free(target->record);
    g_free(target);
}

behaviour_t *
Target_Behaviour(target_t *target)
{
    return &target->behaviour;
}

int
Target_Running(const target_t *target)
{
    return Record_Running(target->record);
}

int
Target_InFlight(const target_t *target)
{
    return target->in_flight;
}
