#include <string.h>

#include "bb_clock.h"
#include "bb_counters.h"
#include "bb_event.h"
#include "bb_histogram.h"
#include "sidecar_internal.h"

/* A leave announcement gets status 503 when the record is not written within
 * this time, which is shorter than the time for which the target waits for the
 * response. */
#define ACK_WAIT_S 0.8

/* ---- announcements from the target ---- */

static void
log_ignored(const char *id, const char *reason)
{
    if (BbEvent_Allows(BB_EVENT_HEARTBEAT_IGNORED)) {
        BbEvent_Write(BB_EVENT_HEARTBEAT_IGNORED,
                      json_pack("{s:s, s:s}", "target", id, "reason", reason));
    }
}

/* Returns the HTTP status of the response. */
static int
apply_heartbeat(sidecar_t *sidecar, const char *id, const GByteArray *body)
{
    platform_heartbeat_t heartbeat;

    if (Platform_DecodeHeartbeat(id, (const char *)body->data, body->len,
                                 &heartbeat) != 0) {
        log_ignored(id, "unreadable");
        return 400;
    }
    switch (BbLocalTarget_Heartbeat(sidecar->target, &heartbeat.heartbeat)) {
    case BB_HEARTBEAT_CHANGED:
        Sidecar_TargetChanged(sidecar, "heartbeat");
        break;
    case BB_HEARTBEAT_STALE:
        log_ignored(id, "stale");
        break;
    case BB_HEARTBEAT_OTHER_TARGET:
        log_ignored(id, "foreign");
        break;
    case BB_HEARTBEAT_UNCHANGED:
        break;
    }
    Platform_FreeHeartbeat(&heartbeat);
    return 200;
}

static void
announcement_head(bb_h1_request_t *request, void *arg)
{
    (void)arg;
    request->user_data = g_byte_array_new();
}

static void
announcement_body(bb_h1_request_t *request, const char *data, size_t size,
                  void *arg)
{
    (void)arg;
    g_byte_array_append(request->user_data, (const guint8 *)data, (guint)size);
}

static void
respond_to_announcement(bb_h1_request_t *request, int status)
{
    bb_h1_fields_t fields;

    BbH1Fields_Init(&fields);
    BbH1Fields_Add(&fields, "Content-Type", "application/json");
    BbH1_Respond(request, status, &fields, "{}", 2);
    BbH1Fields_Free(&fields);
}

static void
log_leave(const sidecar_t *sidecar, int status)
{
    double now = BbClock_Now(sidecar->loop);

    if (BbEvent_Allows(BB_EVENT_LEAVE)) {
        BbEvent_Write(
            BB_EVENT_LEAVE,
            json_pack("{s:s, s:i, s:b, s:f}", "target",
                      BbLocalTarget_Id(sidecar->target), "status", status,
                      "is_recorded", BbRowWriter_IsDone(sidecar->record),
                      "waited_s", now - sidecar->target_departed_at));
    }
}

static void
respond_to_leaves(sidecar_t *sidecar, int status)
{
    if (sidecar->pending_leaves->len > 0) {
        log_leave(sidecar, status);
    }
    ev_timer_stop(sidecar->loop, &sidecar->ack_timer);
    while (sidecar->pending_leaves->len > 0) {
        bb_h1_request_t *request =
            g_ptr_array_steal_index(sidecar->pending_leaves, 0);
        respond_to_announcement(request, status);
    }
}

void
Sidecar_AcknowledgeLeaves(sidecar_t *sidecar)
{
    respond_to_leaves(sidecar, 200);
}

/* A target that gets 503 announces its leave again. While the store cannot be
 * reached it gets no acknowledgement and ends without one; the leave binds
 * this process all the same. */
static void
handle_ack_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    respond_to_leaves(timer->data, 503);
}

/* An acknowledged leave is binding even if this process ends right after the
 * acknowledgement, so the next process must find it in the record: the
 * response is sent only after the record is written. */
static void
defer_response(sidecar_t *sidecar, bb_h1_request_t *request)
{
    g_ptr_array_add(sidecar->pending_leaves, request);
    if (!ev_is_active(&sidecar->ack_timer)) {
        ev_timer_set(&sidecar->ack_timer, ACK_WAIT_S, 0.0);
        ev_timer_start(sidecar->loop, &sidecar->ack_timer);
    }
}

static bool
must_wait_for_record(const sidecar_t *sidecar)
{
    return sidecar->target_departed_at > 0 &&
           !BbRowWriter_IsDone(sidecar->record);
}

static void
announcement_end(bb_h1_request_t *request, void *arg)
{
    sidecar_t *sidecar = arg;
    GByteArray *body = request->user_data;
    char id[BB_TARGET_ID_TEXT + 1];
    int status = 404;

    switch (Platform_ClassifyRequest(request->method, request->target->str, id,
                                     sizeof(id))) {
    case PLATFORM_HEARTBEAT:
        status = apply_heartbeat(sidecar, id, body);
        break;
    case PLATFORM_LEAVE:
        status = 200;
        if (BbLocalTarget_Leave(sidecar->target, id)) {
            Sidecar_TargetChanged(sidecar, "leave");
        }
        break;
    case PLATFORM_OTHER_REQUEST:
        break;
    }
    g_byte_array_unref(body);
    request->user_data = NULL;
    if (status == 200 && must_wait_for_record(sidecar)) {
        defer_response(sidecar, request);
    }
    else {
        if (status == 200 && sidecar->target_departed_at > 0) {
            log_leave(sidecar, status);
        }
        respond_to_announcement(request, status);
    }
}

static void
announcement_connection_lost(bb_h1_request_t *request, void *arg)
{
    sidecar_t *sidecar = arg;

    g_ptr_array_remove(sidecar->pending_leaves, request);
    if (request->user_data != NULL) {
        g_byte_array_unref(request->user_data);
    }
}

static const bb_h1_handler_t announcement_handler = {
    .on_head = announcement_head,
    .on_body = announcement_body,
    .on_end = announcement_end,
    .on_connection_lost = announcement_connection_lost,
};

/* ---- admin ---- */

static bool
is_ready(const sidecar_t *sidecar)
{
    return sidecar->config != NULL && sidecar->shutdown_started_at <= 0;
}

static void
append_gauge(GString *text, const char *name, const char *help, double value)
{
    g_string_append_printf(text,
                           "# HELP burdockbarrow_%s %s\n"
                           "# TYPE burdockbarrow_%s gauge\n"
                           "burdockbarrow_%s %.15g\n",
                           name, help, name, name, value);
}

static void
append_config_gauges(GString *text, sidecar_t *sidecar)
{
    append_gauge(text, "config_version", "configuration version in force",
                 (double)Sidecar_OwnVersion(sidecar));
    append_gauge(text, "config_heard_version",
                 "newest version reported by another node",
                 (double)sidecar->freshness.heard_version);
    append_gauge(
        text, "config_age_seconds",
        "time since the version was confirmed as the newest one, "
        "-1 if never",
        BbFreshness_AgeS(&sidecar->freshness, BbClock_Now(sidecar->loop)));
}

static void
append_store_gauges(GString *text, const sidecar_t *sidecar)
{
    bb_position_t position = Sidecar_RecordsPosition(sidecar);

    append_gauge(text, "store_generation",
                 "generation of the store whose node records are known, "
                 "rises by one with each restore",
                 (double)BbPosition_Generation(position));
    append_gauge(text, "store_version",
                 "version of the store up to which node records are known",
                 (double)BbPosition_Version(position));
}

static void
respond_with_metrics(sidecar_t *sidecar, bb_h1_request_t *request)
{
    char *counters = BbCounters_FormatPrometheus();
    GString *text = g_string_new(counters);
    bb_h1_fields_t fields;

    BbH1Fields_Init(&fields);
    BbH1Fields_Add(&fields, "Content-Type", "text/plain; version=0.0.4");
    append_config_gauges(text, sidecar);
    append_store_gauges(text, sidecar);
    BbHistogram_FormatPrometheus(text);
    BbH1_Respond(request, 200, &fields, text->str, text->len);
    BbH1Fields_Free(&fields);
    g_string_free(text, TRUE);
    g_free(counters);
}

static void
admin_head(bb_h1_request_t *request, void *arg)
{
    sidecar_t *sidecar = arg;
    const char *path = request->target->str;

    if (strcmp(path, "/healthz") == 0) {
        BbH1_Respond(request, is_ready(sidecar) ? 200 : 503, NULL, NULL, 0);
    }
    else if (strcmp(path, "/metrics") == 0) {
        respond_with_metrics(sidecar, request);
    }
    else {
        BbH1_Respond(request, 404, NULL, NULL, 0);
    }
}

static const bb_h1_handler_t admin_handler = {
    .on_head = admin_head,
};

/* ---- start ---- */

static int
start_server(sidecar_t *sidecar, const char *address,
             const bb_h1_handler_t *handler, bb_h1_server_t **out)
{
    const bb_h1_server_options_t options = {
        .loop = sidecar->loop,
        .address = address,
        .handler = handler,
        .arg = sidecar,
    };
    return BbH1Server_New(&options, out);
}

int
Sidecar_StartEndpoints(sidecar_t *sidecar)
{
    const bb_sidecar_settings_t *settings = sidecar->settings;

    sidecar->pending_leaves = g_ptr_array_new();
    ev_init(&sidecar->ack_timer, handle_ack_timer);
    sidecar->ack_timer.data = sidecar;
    int error = start_server(sidecar, settings->admin_address, &admin_handler,
                             &sidecar->admin);

    if (error == 0) {
        error = start_server(sidecar, settings->announce_address,
                             &announcement_handler, &sidecar->announcements);
    }
    if (error == 0 && settings->metrics_address != NULL) {
        error = start_server(sidecar, settings->metrics_address,
                             &admin_handler, &sidecar->metrics);
    }
    return error;
}
