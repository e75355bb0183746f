#include "sidecar.h"
#include "bb_clock.h"

#include <signal.h>
#include <sys/stat.h>

#include "bb_error.h"
#include "bb_event.h"
#include "sidecar_internal.h"

/* Interval at which the settings file is checked for changes. */
#define SETTINGS_CHECK_S 1.0

/* Shortest shutdown: callers stop sending only after two failed readiness
 * checks, which are one second apart. */
#define SHUTDOWN_MIN_S 2.3

/* Without a new call for this long during a shutdown, all callers are assumed
 * to have moved to other nodes. */
#define CALLERS_GONE_S 0.6

/* This long after SIGTERM, new calls are refused as not run. They come from
 * callers that the platform does not move to another node: the sooner this
 * process ends, the sooner its successor serves them. */
#define REFUSE_AFTER_S 2.6
#define SHUTDOWN_CHECK_S 0.05

/* Open calls are ended with an error response SHUTDOWN_MARGIN_S before the
 * platform would kill the process. FINAL_RESPONSES_S is the time allowed for
 * sending these responses. Within it, WITHDRAW_S is the time in which other
 * nodes can tell that a forwarded call has not run: several round trips
 * between data centres, and less than SHUTDOWN_CHECK_S. */
#define SHUTDOWN_MARGIN_S 0.3
#define FINAL_RESPONSES_S 0.1
#define WITHDRAW_S 0.04

/* ---- state of the target ---- */

void
Sidecar_TargetChanged(sidecar_t *sidecar, const char *reason)
{
    if (!Sidecar_HasTargetDeparted(sidecar)) {
        sidecar->target_departed_at = 0;
    }
    else if (sidecar->target_departed_at == 0) {
        sidecar->target_departed_at = BbClock_Now(sidecar->loop);
    }
    if (BbEvent_Allows(BB_EVENT_TARGET)) {
        BbEvent_Write(
            BB_EVENT_TARGET,
            json_pack("{s:s, s:s, s:i, s:s}", "target",
                      BbLocalTarget_Id(sidecar->target), "state",
                      BbLocalState_Name(BbLocalTarget_State(sidecar->target)),
                      "slots", BbLocalTarget_Slots(sidecar->target), "reason",
                      reason));
    }
    BbTargetIo_TargetChanged(sidecar->target_io);
    Sidecar_PublishRecord(sidecar);
}

/* ---- settings ---- */

static void
log_settings(const char *outcome, const bb_findings_t *findings)
{
    if (BbEvent_Allows(BB_EVENT_SETTINGS)) {
        BbEvent_Write(
            BB_EVENT_SETTINGS,
            json_pack("{s:s, s:i, s:s}", "outcome", outcome, "findings",
                      (int)findings->count, "first",
                      findings->count > 0 ? findings->items[0].message : ""));
    }
}

static void
reload_settings(sidecar_t *sidecar)
{
    bb_sidecar_settings_t changed;
    bb_findings_t findings;

    BbFindings_Init(&findings);
    if (BbSidecarSettings_Load(sidecar->path, &findings, &changed) != 0) {
        log_settings("refused", &findings);
        BbFindings_Free(&findings);
        return;
    }
    const bb_repeat_budget_options_t budget = {.ratio = changed.repeat_ratio,
                                               .extra = changed.repeat_extra};
    BbRepeatBudget_SetOptions(sidecar->budget, &budget);
    log_settings("taken", &findings);
    BbSidecarSettings_Free(&changed);
    BbFindings_Free(&findings);
}

/* Whether the settings file was modified since the previous call. */
static bool
has_settings_changed(sidecar_t *sidecar)
{
    struct stat info;

    if (stat(sidecar->path, &info) != 0) {
        return false;
    }
    bool is_changed =
        info.st_mtim.tv_sec != sidecar->settings_changed_at.tv_sec ||
        info.st_mtim.tv_nsec != sidecar->settings_changed_at.tv_nsec;
    sidecar->settings_changed_at = info.st_mtim;
    return is_changed;
}

static void
handle_settings_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    sidecar_t *sidecar = timer->data;

    if (has_settings_changed(sidecar)) {
        reload_settings(sidecar);
    }
}

static void
handle_hangup(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)events;
    sidecar_t *sidecar = watcher->data;

    has_settings_changed(sidecar);
    reload_settings(sidecar);
}

/* ---- shutdown ---- */

static int
open_calls(const sidecar_t *sidecar)
{
    return BbCallIo_OpenCalls(sidecar->call_io) +
           BbTargetIo_OpenCallCount(sidecar->target_io);
}

static bool
is_flushed(const sidecar_t *sidecar)
{
    return BbCallIo_IsFlushed(sidecar->call_io) &&
           BbHopServer_IsFlushed(sidecar->hop_server);
}

static void
handle_shutdown_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)events;
    sidecar_t *sidecar = timer->data;
    double now = BbClock_Now(loop);
    double since_s = now - sidecar->shutdown_started_at;
    bool are_callers_gone =
        since_s >= REFUSE_AFTER_S ||
        now - BbCallIo_LastCallTime(sidecar->call_io) >= CALLERS_GONE_S;
    bool is_recorded = !Sidecar_HasTargetDeparted(sidecar) ||
                       BbRowWriter_IsDone(sidecar->record);
    bool is_drained = open_calls(sidecar) == 0 &&
                      !BbHopServer_HasCallsWithoutBody(sidecar->hop_server) &&
                      is_flushed(sidecar) && is_recorded &&
                      since_s >= SHUTDOWN_MIN_S && are_callers_gone;

    if (since_s >= REFUSE_AFTER_S) {
        BbCallIo_RefuseNewCalls(sidecar->call_io);
    }
    double end_s = sidecar->settings->shutdown_s - SHUTDOWN_MARGIN_S;
    if (since_s >= end_s) {
        BbHopServer_RefuseCallsWithoutBody(sidecar->hop_server);
        BbCallIo_EndWaitingCalls(sidecar->call_io);
    }
    if (since_s >= end_s + WITHDRAW_S) {
        BbCallIo_FailOpenCalls(sidecar->call_io);
    }
    if (is_drained || since_s >= end_s + FINAL_RESPONSES_S) {
        if (BbEvent_Allows(BB_EVENT_STOP)) {
            BbEvent_Write(BB_EVENT_STOP,
                          json_pack("{s:i, s:f}", "open_calls",
                                    open_calls(sidecar), "after_s", since_s));
        }
        ev_break(loop, EVBREAK_ALL);
    }
}

static void
handle_term(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)events;
    sidecar_t *sidecar = watcher->data;

    if (sidecar->shutdown_started_at > 0) {
        return;
    }
    sidecar->shutdown_started_at = BbClock_Now(loop);
    if (BbEvent_Allows(BB_EVENT_TERM)) {
        BbEvent_Write(BB_EVENT_TERM,
                      json_pack("{s:i}", "open_calls", open_calls(sidecar)));
    }
    BbCallIo_SetDraining(sidecar->call_io);
    BbTargetIo_SetNodeDraining(sidecar->target_io);
    Sidecar_PublishRecord(sidecar);
    ev_timer_start(loop, &sidecar->shutdown_timer);
}

/* ---- start ---- */

static void
create_components(sidecar_t *sidecar)
{
    const bb_sidecar_settings_t *settings = sidecar->settings;
    const bb_repeat_budget_options_t budget = {
        .ratio = settings->repeat_ratio, .extra = settings->repeat_extra};
    const bb_local_target_options_t target = {
        .address = settings->target_address,
        .service = settings->service,
        .waits_for_record = !settings->is_first_start};
    const bb_target_io_options_t target_io = {
        .loop = sidecar->loop,
        .address = settings->target_address,
        .service = settings->service,
        .names = Platform_HeaderNames(),
    };

    if (settings->expose_share > 0) {
        sidecar->rollouts = SidecarRollouts_New(sidecar);
    }
    sidecar->hedge = settings->is_hedge_enabled ? BbHedge_New() : NULL;
    sidecar->pace = settings->is_pace_enabled ? BbPace_New() : NULL;
    sidecar->random = BbRandom_New(0);
    sidecar->fleet = BbFleet_New(settings->name);
    sidecar->readers = BbReaders_New(sidecar->fleet);
    sidecar->versions = BbVersions_New();
    sidecar->budget = BbRepeatBudget_New(&budget);
    sidecar->target = BbLocalTarget_New(&target);
    sidecar->dropped_keys = BbDroppedKeys_New();
    bb_target_io_options_t options = target_io;
    options.target = sidecar->target;
    options.dropped_keys = sidecar->dropped_keys;
    sidecar->pacer = BbLinkPacer_New(sidecar->loop, settings->link_mbps);
    sidecar->link_admission =
        BbLinkAdmission_New(BbLinkPacer_Queue(sidecar->pacer));
    options.link = sidecar->link_admission;
    options.rollout = SidecarRollouts_TargetHooks(sidecar->rollouts);
    options.pace = sidecar->pace;
    options.uses_target_load = settings->is_target_load_enabled;
    sidecar->target_io = BbTargetIo_New(&options);
}

/* At the first start of a fleet no records exist that could be missing. */
static bool
is_fleet_known(void *arg)
{
    const sidecar_t *sidecar = arg;

    return sidecar->has_records || sidecar->peer_revision > 0 ||
           sidecar->settings->is_first_start;
}

static int
start_call_io(sidecar_t *sidecar)
{
    const bb_sidecar_settings_t *settings = sidecar->settings;
    const bb_hop_server_options_t server = {
        .loop = sidecar->loop,
        .address = settings->forward_address,
        .link_mbps = settings->link_mbps,
        .pacer = sidecar->pacer,
        .target = sidecar->target_io,
        .names = Platform_HeaderNames(),
        .config_version = Sidecar_OwnVersion,
        .on_peer_request = Sidecar_HandlePeerRequest,
        .on_peer_message = Sidecar_HandlePeerMessage,
        .on_peer_request_lost = Sidecar_DropPeerRequest,
        .arg = sidecar,
    };
    int error = BbHopServer_New(&server, &sidecar->hop_server);
    if (error != 0) {
        return error;
    }
    const bb_hop_client_options_t client = {
        .loop = sidecar->loop,
        .on_version = Sidecar_HandlePeerVersion,
        .arg = sidecar,
        .pacer = sidecar->pacer,
    };
    sidecar->hop_client = BbHopClient_New(&client);
    const bb_quota_io_options_t quota = {
        .loop = sidecar->loop,
        .client = BbHopClient_GetHttpClient(sidecar->hop_client),
        .fleet = sidecar->fleet,
        .random = sidecar->random,
        .node = settings->name,
        .is_fleet_known = is_fleet_known,
        .arg = sidecar,
    };
    sidecar->quota_io = BbQuotaIo_New(&quota);
    const bb_call_quota_t call_quota = BbQuotaIo_Calls(sidecar->quota_io);
    const bb_call_io_options_t calls = {
        .loop = sidecar->loop,
        .address = settings->caller_address,
        .data_centre = settings->data_centre,
        .service = settings->service,
        .names = Platform_HeaderNames(),
        .fleet = sidecar->fleet,
        .target = sidecar->target_io,
        .hop = sidecar->hop_client,
        .budget = sidecar->budget,
        .random = sidecar->random,
        .spill_share = settings->spill_share,
        .is_paced = settings->is_pace_enabled,
        .hedge = sidecar->hedge,
        .freshness = &sidecar->freshness,
        .dropped_keys = sidecar->dropped_keys,
        .pacer = sidecar->pacer,
        .quota = &call_quota,
        .rollout = SidecarRollouts_CallHooks(sidecar->rollouts),
    };
    return BbCallIo_New(&calls, &sidecar->call_io);
}

static void
start_signals(sidecar_t *sidecar)
{
    ev_signal_init(&sidecar->term_signal, handle_term, SIGTERM);
    ev_signal_init(&sidecar->interrupt_signal, handle_term, SIGINT);
    ev_signal_init(&sidecar->hangup_signal, handle_hangup, SIGHUP);
    ev_timer_init(&sidecar->settings_timer, handle_settings_timer,
                  SETTINGS_CHECK_S, SETTINGS_CHECK_S);
    ev_timer_init(&sidecar->shutdown_timer, handle_shutdown_timer,
                  SHUTDOWN_CHECK_S, SHUTDOWN_CHECK_S);
    sidecar->term_signal.data = sidecar;
    sidecar->interrupt_signal.data = sidecar;
    sidecar->hangup_signal.data = sidecar;
    sidecar->settings_timer.data = sidecar;
    /* Behind all input of the same turn of the loop: a request that is read in
     * it counts as an open call. */
    ev_set_priority(&sidecar->shutdown_timer, EV_MINPRI);
    sidecar->shutdown_timer.data = sidecar;
    ev_signal_start(sidecar->loop, &sidecar->term_signal);
    ev_signal_start(sidecar->loop, &sidecar->interrupt_signal);
    ev_signal_start(sidecar->loop, &sidecar->hangup_signal);
    ev_timer_start(sidecar->loop, &sidecar->settings_timer);
}

sidecar_t *
Sidecar_New(struct ev_loop *loop, const bb_sidecar_settings_t *settings,
            const char *path)
{
    sidecar_t *sidecar = g_new0(sidecar_t, 1);

    sidecar->loop = loop;
    sidecar->settings = settings;
    sidecar->path = path;
    sidecar->started_at = BbClock_Now(loop);
    has_settings_changed(sidecar);
    create_components(sidecar);
    int error = start_call_io(sidecar);
    if (error == 0) {
        error = Sidecar_StartEndpoints(sidecar);
    }
    if (error != 0) {
        fprintf(stderr,
                "bbsidecar: cannot listen on a configured address: %s\n",
                BbError_Name(error));
        Sidecar_Free(sidecar);
        return NULL;
    }
    Sidecar_StartStore(sidecar);
    Sidecar_StartSync(sidecar);
    start_signals(sidecar);
    Sidecar_PublishRecord(sidecar);
    if (BbEvent_Allows(BB_EVENT_START)) {
        BbEvent_Write(BB_EVENT_START,
                      json_pack("{s:s, s:s, s:s}", "version",
                                BB_VERSION_STRING, "callers",
                                settings->caller_address, "forwarded",
                                settings->forward_address));
    }
    return sidecar;
}

void
Sidecar_Free(sidecar_t *sidecar)
{
    struct ev_loop *loop = sidecar->loop;

    ev_signal_stop(loop, &sidecar->term_signal);
    ev_signal_stop(loop, &sidecar->interrupt_signal);
    ev_signal_stop(loop, &sidecar->hangup_signal);
    ev_timer_stop(loop, &sidecar->settings_timer);
    ev_timer_stop(loop, &sidecar->role_timer);
    ev_timer_stop(loop, &sidecar->shutdown_timer);
    ev_timer_stop(loop, &sidecar->store_loss_timer);
    ev_timer_stop(loop, &sidecar->restored_timer);
    ev_timer_stop(loop, &sidecar->record_timer);
    ev_timer_stop(loop, &sidecar->ack_timer);
    SidecarRollouts_Free(sidecar->rollouts);
    BbSyncClient_Free(sidecar->sync_client);
    BbProbe_Free(sidecar->probe);
    BbSyncServer_Free(sidecar->sync_server);
    BbFollower_Free(sidecar->config_follower);
    BbFollower_Free(sidecar->node_follower);
    BbRowWriter_Free(sidecar->record);
    PlatformStore_Free(sidecar->store);
    BbH1Server_Free(sidecar->admin);
    BbH1Server_Free(sidecar->metrics);
    BbH1Server_Free(sidecar->announcements);
    g_clear_pointer(&sidecar->pending_leaves, g_ptr_array_unref);
    BbCallIo_Free(sidecar->call_io);
    BbQuotaIo_Free(sidecar->quota_io);
    BbHopServer_Free(sidecar->hop_server);
    BbHopClient_Free(sidecar->hop_client);
    BbTargetIo_Free(sidecar->target_io);
    BbLinkAdmission_Free(sidecar->link_admission);
    BbLinkPacer_Free(sidecar->pacer);
    BbPace_Free(sidecar->pace);
    BbHedge_Free(sidecar->hedge);
    BbLocalTarget_Free(sidecar->target);
    BbDroppedKeys_Free(sidecar->dropped_keys);
    BbRepeatBudget_Free(sidecar->budget);
    BbMeshConfig_Unref(sidecar->config);
    BbVersions_Free(sidecar->versions);
    BbReaders_Free(sidecar->readers);
    BbFleet_Free(sidecar->fleet);
    BbRandom_Free(sidecar->random);
    g_free(sidecar);
}
