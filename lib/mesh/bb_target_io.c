#include "bb_target_io.h"
#include "bb_clock.h"

#include <math.h>
#include <string.h>
#include <utlist.h>

#include "bb_counters.h"
#include "bb_error.h"
#include "bb_event.h"
#include "bb_histogram.h"
#include "bb_slot_queue.h"
#include "bb_target_load.h"
#include "bb_target_pace.h"

/* The deadline given to the target is this much earlier than the time at which
 * the node that received the call stops waiting. */
#define DEADLINE_MARGIN_S 0.01

/* A kept-alive connection that was idle for longer is not reused. A call that
 * is not idempotent gets the shorter limit: if the target closes the
 * connection just as the call is sent, it is unknown whether the call has run.
 */
#define IDLE_MAX_S 4.0
#define IDLE_MAX_NON_IDEMPOTENT_S 1.0

#define MAX_IDLE_CONNECTIONS 64

/* Longer waits at the link are reported as this: no call is placed there. */
#define MAX_REPORTED_LINK_S 60.0

/* Time for which a number of calls that the target reports is used. */
#define TARGET_LOAD_KEEP_S 0.3

/* Weight of the newest call in the moving average of the failure rate. */
#define FAIL_RATE_WEIGHT 0.05

/* Retry-After of a call whose nested calls have no capacity: the time constant
 * with which a recovery is seen. */
#define NESTED_RETRY_AFTER_S 1.0

typedef struct target_call {
    bb_attempt_t base; /* must be first */
    bb_target_io_t *io;
    bb_attempt_request_t request;
    const bb_attempt_handler_t *handler;
    void *arg;
    bb_slot_ticket_t ticket;
    bb_link_reservation_t reservation;
    int status; /* of the response; 0 before its head */
    size_t response_bytes;
    bb_call_run_t *run; /* while it has a slot; may be NULL */
    ev_timer deadline_timer;
    bb_h1_exchange_t *exchange;
    size_t sent;
    bb_reason_t refusal; /* from the response head, or BB_REASON_NONE */
    bool is_head_forwarded;
    struct target_call *prev, *next;
} target_call_t;

struct bb_target_io {
    struct ev_loop *loop;
    char *address;
    char *service;
    const bb_header_names_t *names;
    bb_local_target_t *target;
    const bb_dropped_keys_t *dropped_keys;
    bb_link_admission_t *link;          /* may be NULL */
    const bb_target_rollout_t *rollout; /* may be NULL */
    bb_target_pace_t *pace;
    bb_slot_queue_t *queue;
    bb_reserve_t *reserve;
    bb_fair_share_t *share;
    bb_call_tree_t *tree;
    bb_h1_client_t *client;
    target_call_t *calls;
    int call_count;
    bool uses_target_load;
    int foreign_running; /* calls at the target that are not from this node */
    double foreign_at;   /* when the target reported them */
    double fail_rate;
    bool is_node_draining;
    bool is_node_ending;   /* no more calls are started */
    bool is_queue_running; /* run_queue() is in progress */
    ev_timer queue_timer;
};

static void run_queue(bb_target_io_t *io);

/* ---- ending a call ---- */

static void
free_call(target_call_t *call)
{
    bb_target_io_t *io = call->io;

    ev_timer_stop(io->loop, &call->deadline_timer);
    BbLinkAdmission_End(io->link, &call->reservation);
    DL_DELETE(io->calls, call);
    io->call_count--;
    g_free(call);
}

/* Releases the slot of a running call, or removes a waiting call from the
 * queue. is_measured: see BbSlotQueue_Finish(). */
static void
release_ticket(target_call_t *call, bool is_measured)
{
    bb_target_io_t *io = call->io;

    if (call->ticket.state == BB_SLOT_RUNNING) {
        BbHistogram_Add(BB_HISTOGRAM_QUEUE_WAIT,
                        call->ticket.started_at - call->ticket.arrived_at);
        BbHistogram_Add(BB_HISTOGRAM_TARGET_TIME,
                        BbClock_Now(io->loop) - call->ticket.started_at);
        BbSlotQueue_Finish(io->queue, &call->ticket, is_measured,
                           BbClock_Now(io->loop));
        BbCallTree_EndRun(io->tree, call->run);
        call->run = NULL;
    }
    else if (call->ticket.state == BB_SLOT_WAITING) {
        BbSlotQueue_Cancel(io->queue, &call->ticket);
    }
}

static void
record_result(bb_target_io_t *io, bool is_failed)
{
    io->fail_rate +=
        FAIL_RATE_WEIGHT * ((is_failed ? 1.0 : 0.0) - io->fail_rate);
}

/* Reports a call that was sent to the target. */
static void
report_run(const target_call_t *call, bool is_failed)
{
    const bb_target_rollout_t *rollout = call->io->rollout;

    if (rollout != NULL && call->request.class_name != NULL) {
        rollout->on_run_ended(call->request.class_name, is_failed,
                              BbClock_Now(call->io->loop) -
                                  call->ticket.started_at,
                              rollout->arg);
    }
}

static void
record_refusal(const target_call_t *call, bb_reason_t reason)
{
    const bb_target_io_t *io = call->io;

    double now = BbClock_Now(io->loop);

    BbReason_Count(reason);
    if (BbEvent_Allows(BB_EVENT_TARGET_REFUSED)) {
        BbEvent_Write(
            BB_EVENT_TARGET_REFUSED,
            json_pack("{s:s, s:s, s:i, s:i, s:i, s:f, s:f}", "call",
                      call->request.call_id, "reason", BbReason_Name(reason),
                      "running", BbSlotQueue_Running(io->queue), "waiting",
                      BbSlotQueue_Waiting(io->queue), "slots",
                      BbTargetPace_Slots(io->pace), "service_s",
                      BbSlotQueue_ServiceTime(io->queue, now), "link_s",
                      BbLinkAdmission_Wait(io->link, now)));
    }
}

static void
refuse(target_call_t *call, bb_reason_t reason)
{
    bb_target_io_t *io = call->io;
    const bb_attempt_handler_t *handler = call->handler;
    void *arg = call->arg;
    double retry_after_s = BbSlotQueue_PredictTicketWait(
        io->queue, &call->ticket, BbClock_Now(io->loop));

    record_refusal(call, reason);
    release_ticket(call, false);
    free_call(call);
    handler->on_refused(reason, retry_after_s, arg);
    run_queue(io);
}

static void
fail_call(target_call_t *call, bb_reason_t reason, int error)
{
    bb_target_io_t *io = call->io;
    const bb_attempt_handler_t *handler = call->handler;
    void *arg = call->arg;
    double now = BbClock_Now(io->loop);

    if (BbEvent_Allows(BB_EVENT_TARGET_FAILED)) {
        BbEvent_Write(BB_EVENT_TARGET_FAILED,
                      json_pack("{s:s, s:s, s:s, s:f, s:s}", "call",
                                call->request.call_id, "target",
                                BbLocalTarget_Id(io->target), "reason",
                                BbReason_Name(reason), "took_s",
                                now - call->ticket.started_at, "error",
                                error != 0 ? BbError_Name(error) : ""));
    }
    record_result(io, true);
    /* A call that was cut at its deadline may have started late. Its duration
     * tells a slow target, and a failure would tell only an overloaded one. */
    report_run(call, reason != BB_REASON_CALL_TIMEOUT);
    BbTargetPace_OnFailure(io->pace, call->ticket.started_at,
                           reason == BB_REASON_CALL_TIMEOUT,
                           BbClock_Now(io->loop));
    release_ticket(call, reason == BB_REASON_CALL_TIMEOUT);
    free_call(call);
    handler->on_lost(reason, arg);
    run_queue(io);
}

/* ---- response from the target ---- */

static void
read_target_load(bb_target_io_t *io, const bb_h1_fields_t *fields)
{
    bb_target_load_t load;
    double now = BbClock_Now(io->loop);

    if (!io->uses_target_load ||
        BbTargetLoad_Parse(BbH1Fields_Get(fields, io->names->target_load),
                           &load) != 0 ||
        load.percent <= 0) {
        return;
    }
    BbSlotQueue_SetWorkPercent(io->queue, load.percent, now);
    io->foreign_running =
        MAX(load.running - BbSlotQueue_Running(io->queue), 0);
    io->foreign_at = now;
    if (io->foreign_running > 0) {
        BbCounters_Add(BB_COUNTER_TARGET_LOAD_DIFFERS, 1);
    }
}

static bool
has_matching_call_id(const bb_h1_fields_t *fields, void *arg)
{
    target_call_t *call = arg;
    const char *id = BbH1Fields_Get(fields, call->io->names->call_id);

    return id == NULL || call->request.call_id[0] == '\0' ||
           strcmp(id, call->request.call_id) == 0;
}

static void
handle_head(int status, const bb_h1_fields_t *fields, void *arg)
{
    target_call_t *call = arg;
    const bb_header_names_t *names = call->io->names;

    read_target_load(call->io, fields);
    if (status == 421) {
        call->refusal = BB_REASON_TARGET_REPLACED;
        return;
    }
    if (BbH1Fields_Get(fields, names->not_run) != NULL) {
        call->refusal = BB_REASON_TARGET_SHED;
        return;
    }
    /* A target sets the seal on its own responses, so a success without it is
     * not taken for a response of the target. */
    if (status / 100 == 2 && BbH1Fields_Get(fields, names->seal) == NULL) {
        BbH1_Cancel(call->exchange);
        call->exchange = NULL;
        fail_call(call, BB_REASON_TARGET_LOST, BB_ERR_INVALID);
        return;
    }
    bb_h1_fields_t forwarded_fields;
    BbH1Fields_Init(&forwarded_fields);
    BbAttempt_CopyEndToEnd(&forwarded_fields, fields);
    call->is_head_forwarded = true;
    call->status = status;
    record_result(call->io, status >= 500);
    call->handler->on_head(status, &forwarded_fields,
                           BbAttempt_ContentLength(fields), call->arg);
    BbH1Fields_Free(&forwarded_fields);
}

static void
handle_data(const char *data, size_t size, void *arg)
{
    target_call_t *call = arg;

    if (call->is_head_forwarded) {
        call->response_bytes += size;
        call->handler->on_data(data, size, call->arg);
    }
}

static void
handle_end(void *arg)
{
    target_call_t *call = arg;
    bb_target_io_t *io = call->io;
    const bb_attempt_handler_t *handler = call->handler;
    void *owner = call->arg;

    call->exchange = NULL;
    if (call->refusal != BB_REASON_NONE) {
        if (call->refusal == BB_REASON_TARGET_REPLACED) {
            BbLocalTarget_OnMismatch(io->target);
        }
        record_result(io, true);
        BbTargetPace_OnFailure(io->pace, call->ticket.started_at, false,
                               BbClock_Now(io->loop));
        refuse(call, call->refusal);
        return;
    }
    if (call->status / 100 == 2) {
        BbLinkAdmission_Measure(io->link, call->request.class_name,
                                call->response_bytes, BbClock_Now(io->loop));
    }
    report_run(call, call->status >= 500);
    BbTargetPace_OnResponse(io->pace, call->request.class_name,
                            call->ticket.started_at, BbClock_Now(io->loop));
    release_ticket(call, true);
    free_call(call);
    handler->on_end(owner);
    run_queue(io);
}

static void
handle_fail(int error, bool is_sent, void *arg)
{
    target_call_t *call = arg;

    call->exchange = NULL;
    if (call->refusal != BB_REASON_NONE || !is_sent) {
        record_result(call->io, true);
        BbTargetPace_OnFailure(call->io->pace, call->ticket.started_at, false,
                               BbClock_Now(call->io->loop));
        refuse(call, call->refusal != BB_REASON_NONE
                         ? call->refusal
                         : BB_REASON_TARGET_CONNECT);
        return;
    }
    if (error == BB_ERR_SURPLUS) {
        /* The target may have sent surplus bytes on its other connections too.
         * A retry must not meet them. */
        BbH1Client_CloseIdle(call->io->client, call->io->address);
        fail_call(call, BB_REASON_TARGET_SURPLUS, error);
        return;
    }
    fail_call(call, BB_REASON_TARGET_LOST, error);
}

static void
handle_drained(void *arg)
{
    target_call_t *call = arg;
    call->handler->on_drained(call->sent, call->arg);
}

static const bb_h1_exchange_handler_t exchange_handler = {
    .belongs_to_request = has_matching_call_id,
    .on_head = handle_head,
    .on_data = handle_data,
    .on_end = handle_end,
    .on_fail = handle_fail,
    .on_drained = handle_drained,
};

/* ---- starting a call ---- */

static void
start_call(target_call_t *call)
{
    bb_target_io_t *io = call->io;
    const bb_attempt_request_t *request = &call->request;
    bb_h1_fields_t fields;
    char deadline_ms[24];
    double remaining_s =
        request->deadline_at - DEADLINE_MARGIN_S - BbClock_Now(io->loop);

    call->run = BbCallTree_StartRun(
        io->tree, request->call_id, request->class_name,
        request->due_at - request->target_latency_s - request->parent_age_s);
    g_snprintf(deadline_ms, sizeof(deadline_ms), "%d",
               (int)MAX(remaining_s * 1000, 1));
    BbH1Fields_Init(&fields);
    BbH1Fields_CopyEndToEnd(&fields, request->fields);
    BbH1Fields_Add(&fields, io->names->deadline, deadline_ms);
    BbH1Fields_Add(&fields, io->names->expected_target,
                   BbLocalTarget_Id(io->target));
    BbH1Fields_Add(&fields, io->names->caller_service,
                   request->caller_service);
    if (request->account != NULL) {
        BbH1Fields_Add(&fields, io->names->account, request->account);
    }
    bb_h1_exchange_options_t options = {
        .address = io->address,
        .method = request->method,
        .target = request->target,
        .fields = &fields,
        .content_length = request->content_length,
        .max_idle_s =
            request->is_idempotent ? IDLE_MAX_S : IDLE_MAX_NON_IDEMPOTENT_S,
        .handler = &exchange_handler,
        .arg = call,
    };
    call->exchange = BbH1_Start(io->client, &options);
    BbH1Fields_Free(&fields);
    BbBody_SendBuffered(request->body, call->exchange, &call->sent);
}

static void
schedule_queue_timer(bb_target_io_t *io)
{
    const double check_s = 0.02;

    if (BbSlotQueue_Waiting(io->queue) > 0 &&
        !ev_is_active(&io->queue_timer)) {
        ev_timer_set(&io->queue_timer, check_s, 0.0);
        ev_timer_start(io->loop, &io->queue_timer);
    }
}

/* Reason for which every call is refused in the present state of the target
 * and of this node, or BB_REASON_NONE. */
static bb_reason_t
state_refusal_reason(const bb_target_io_t *io)
{
    switch (BbLocalTarget_State(io->target)) {
    case BB_LOCAL_UNKNOWN:
        return BB_REASON_NO_TARGET;
    case BB_LOCAL_DRAINING:
    case BB_LOCAL_GONE:
        return BB_REASON_TARGET_DRAINING;
    case BB_LOCAL_READY:
        break;
    }
    if (io->rollout != NULL && !io->rollout->accepts_calls(io->rollout->arg)) {
        return BB_REASON_VERSION_INACTIVE;
    }
    return io->is_node_draining ? BB_REASON_NODE_DRAINING : BB_REASON_NONE;
}

/* Whether the key of the call's account was removed after the call was sent.
 */
static bool
has_dropped_key(const bb_target_io_t *io, const bb_attempt_request_t *request)
{
    return BbDroppedKeys_Contains(io->dropped_keys, request->key_digest);
}

/* Starts and refuses the calls that the queue returns. Refusing a call ends
 * here again; that inner run leaves the rest to the outer one, so that the
 * stack does not grow with the number of refused calls. */
static void
run_queue(bb_target_io_t *io)
{
    bb_slot_ticket_t *ticket;

    if (io->is_queue_running) {
        return;
    }
    io->is_queue_running = true;
    while ((ticket = BbSlotQueue_Next(io->queue, BbClock_Now(io->loop))) !=
           NULL) {
        target_call_t *call = ticket->arg;
        if (ticket->state != BB_SLOT_RUNNING) {
            refuse(call, ticket->reason);
        }
        else if (has_dropped_key(io, &call->request)) {
            refuse(call, BB_REASON_ACCOUNT_REVOKED);
        }
        else if (io->is_node_ending) {
            refuse(call, BB_REASON_NODE_DRAINING);
        }
        else {
            start_call(call);
        }
    }
    io->is_queue_running = false;
    schedule_queue_timer(io);
}

static void
handle_queue_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    run_queue(timer->data);
}

static void
handle_deadline(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    target_call_t *call = timer->data;

    if (call->exchange == NULL) {
        refuse(call, BB_REASON_QUEUE_EXPIRED);
        return;
    }
    bool is_sent = BbH1_IsSent(call->exchange);
    BbH1_Cancel(call->exchange);
    call->exchange = NULL;
    if (is_sent) {
        fail_call(call, BB_REASON_CALL_TIMEOUT, 0);
    }
    else {
        refuse(call, BB_REASON_TARGET_CONNECT);
    }
}

static void
body_extended(bb_attempt_t *attempt)
{
    target_call_t *call = (target_call_t *)attempt;

    if (call->exchange != NULL) {
        BbBody_SendBuffered(call->request.body, call->exchange, &call->sent);
    }
}

static void
cancel(bb_attempt_t *attempt)
{
    target_call_t *call = (target_call_t *)attempt;
    bb_target_io_t *io = call->io;

    if (call->exchange != NULL) {
        /* A caller that gives up on a slow call is evidence of its duration,
         * not of a failure. */
        if (BbH1_IsSent(call->exchange)) {
            report_run(call, false);
        }
        BbH1_Cancel(call->exchange);
        call->exchange = NULL;
    }
    release_ticket(call, false);
    free_call(call);
    run_queue(io);
}

static void
pause_response(bb_attempt_t *attempt, bool is_paused)
{
    target_call_t *call = (target_call_t *)attempt;

    if (call->exchange != NULL) {
        BbH1_PauseResponse(call->exchange, is_paused);
    }
}

static bool
is_not_started(const bb_attempt_t *attempt)
{
    const target_call_t *call = (const target_call_t *)attempt;

    return call->exchange == NULL || !BbH1_IsSent(call->exchange);
}

static const bb_attempt_ops_t attempt_ops = {
    .body_extended = body_extended,
    .cancel = cancel,
    .pause = pause_response,
    .is_not_started = is_not_started,
};

/* Counts and logs a refusal without a target_call_t, and returns its reason.
 */
static bb_reason_t
report_refusal(const bb_target_io_t *io, const bb_attempt_request_t *request,
               bb_reason_t reason)
{
    const target_call_t call = {.io = (bb_target_io_t *)io,
                                .request = *request};
    record_refusal(&call, reason);
    return reason;
}

static bb_slot_ticket_t
make_ticket(const bb_attempt_request_t *request)
{
    return (bb_slot_ticket_t){
        .class_name = request->class_name,
        .rank = request->rank,
        .account = request->account,
        .is_nested = request->is_nested,
        .parent_age_s = request->parent_age_s,
        .target_latency_s = request->target_latency_s,
        .due_at = request->due_at,
        .expires_at = request->deadline_at - DEADLINE_MARGIN_S,
    };
}

/* Reason for which the call is refused before it is offered to the queue, or
 * BB_REASON_NONE. */
static bb_reason_t
offer_refusal_reason(const bb_target_io_t *io,
                     const bb_attempt_request_t *request)
{
    if (strcmp(request->service, io->service) != 0) {
        return BB_REASON_WRONG_SERVICE;
    }
    return has_dropped_key(io, request) ? BB_REASON_ACCOUNT_REVOKED
                                        : state_refusal_reason(io);
}

/* Whether the link can take the response of the call in time. */
static bool
is_link_available(const bb_target_io_t *io,
                  const bb_attempt_request_t *request, double *retry_after_s)
{
    if (io->link == NULL) {
        return true;
    }
    double now = BbClock_Now(io->loop);
    const bb_link_call_t call = {
        .class_name = request->class_name,
        .rank = request->rank,
        .target_latency_s = request->target_latency_s,
        .due_at = request->due_at,
        .expires_at = request->deadline_at - DEADLINE_MARGIN_S,
    };
    double ready_s =
        BbSlotQueue_PredictWait(io->queue, now) +
        BbSlotQueue_ClassTime(io->queue, request->class_name, now);

    return BbLinkAdmission_Accepts(io->link, &call, ready_s, now,
                                   retry_after_s);
}

/* Whether the call is refused because its nested calls would fail. Only while
 * calls wait: a slot that no other call needs costs nothing. */
static bool
is_nested_short(const bb_target_io_t *io, const bb_attempt_request_t *request)
{
    return !request->is_checked && !request->is_nested &&
           BbSlotQueue_Waiting(io->queue) > 0 &&
           BbCallTree_MustRefuse(io->tree, request->class_name,
                                 BbClock_Now(io->loop));
}

bb_reason_t
BbTargetIo_RefusalReason(const bb_target_io_t *io,
                         const bb_attempt_request_t *request,
                         double *retry_after_s)
{
    const bb_slot_ticket_t ticket = make_ticket(request);
    bb_reason_t reason = offer_refusal_reason(io, request);

    *retry_after_s = 0;
    if (reason == BB_REASON_NONE &&
        BbSlotQueue_WouldRefuse(io->queue, &ticket, BbClock_Now(io->loop))) {
        *retry_after_s = BbSlotQueue_PredictTicketWait(io->queue, &ticket,
                                                       BbClock_Now(io->loop));
        reason = BB_REASON_QUEUE_FULL;
    }
    else if (reason == BB_REASON_NONE &&
             !is_link_available(io, request, retry_after_s)) {
        reason = BB_REASON_LINK_FULL;
    }
    else if (reason == BB_REASON_NONE && is_nested_short(io, request)) {
        *retry_after_s = NESTED_RETRY_AFTER_S;
        reason = BB_REASON_NESTED_SHORT;
    }
    return reason != BB_REASON_NONE ? report_refusal(io, request, reason)
                                    : reason;
}

bb_reason_t
BbTargetIo_Submit(bb_target_io_t *io, const bb_attempt_request_t *request,
                  const bb_attempt_handler_t *handler, void *arg,
                  double *retry_after_s, bb_attempt_t **attempt)
{
    double now = BbClock_Now(io->loop);
    bb_reason_t reason = offer_refusal_reason(io, request);

    *retry_after_s = 0;
    if (reason != BB_REASON_NONE) {
        return report_refusal(io, request, reason);
    }
    BbTargetPace_OnOffer(io->pace, request->class_name, now);
    if (!is_link_available(io, request, retry_after_s)) {
        return report_refusal(io, request, BB_REASON_LINK_FULL);
    }
    if (is_nested_short(io, request)) {
        *retry_after_s = NESTED_RETRY_AFTER_S;
        return report_refusal(io, request, BB_REASON_NESTED_SHORT);
    }
    target_call_t *call = g_new0(target_call_t, 1);
    call->base.ops = &attempt_ops;
    call->io = io;
    call->request = *request;
    call->handler = handler;
    call->arg = arg;
    call->ticket = make_ticket(request);
    call->ticket.arg = call;
    if (BbSlotQueue_Offer(io->queue, &call->ticket, now) == BB_SLOT_REFUSED) {
        reason = call->ticket.reason;
        *retry_after_s =
            BbSlotQueue_PredictTicketWait(io->queue, &call->ticket, now);
        g_free(call);
        return report_refusal(io, request, reason);
    }
    BbLinkAdmission_Begin(io->link, &call->reservation, request->class_name,
                          now);
    DL_APPEND(io->calls, call);
    io->call_count++;
    ev_timer_init(&call->deadline_timer, handle_deadline,
                  MAX(call->ticket.expires_at - now, 0.001), 0.0);
    call->deadline_timer.data = call;
    ev_timer_start(io->loop, &call->deadline_timer);
    *attempt = &call->base;
    if (call->ticket.state == BB_SLOT_RUNNING) {
        start_call(call);
    }
    else {
        if (BbSlotQueue_Running(io->queue) < BbTargetPace_Slots(io->pace)) {
            BbCounters_Add(BB_COUNTER_RESERVE_WAITS, 1);
        }
        schedule_queue_timer(io);
    }
    return BB_REASON_NONE;
}

/* ---- state changes, creation and destruction ---- */

static void
refuse_waiting(bb_target_io_t *io, bb_reason_t reason)
{
    bb_slot_ticket_t *ticket;

    while ((ticket = BbSlotQueue_FirstWaiting(io->queue)) != NULL) {
        refuse(ticket->arg, reason);
    }
}

void
BbTargetIo_TargetChanged(bb_target_io_t *io)
{
    BbTargetPace_TargetChanged(io->pace, BbClock_Now(io->loop));
    BbSlotQueue_SetSlots(io->queue, BbTargetPace_Slots(io->pace));
    bb_reason_t reason = state_refusal_reason(io);
    if (reason != BB_REASON_NONE && reason != BB_REASON_NODE_DRAINING) {
        refuse_waiting(io, reason);
    }
    run_queue(io);
}

void
BbTargetIo_SetNodeDraining(bb_target_io_t *io)
{
    io->is_node_draining = true;
}

void
BbTargetIo_SetNodeEnding(bb_target_io_t *io)
{
    io->is_node_draining = true;
    io->is_node_ending = true;
    refuse_waiting(io, BB_REASON_NODE_DRAINING);
}

void
BbTargetIo_GetLoad(const bb_target_io_t *io, const char *class_name,
                   bb_load_t *load)
{
    double now = BbClock_Now(io->loop);

    load->running = BbSlotQueue_Running(io->queue);
    if (now - io->foreign_at < TARGET_LOAD_KEEP_S) {
        load->running += io->foreign_running;
    }
    load->waiting = BbSlotQueue_Waiting(io->queue);
    load->slots = BbTargetPace_Slots(io->pace);
    double service_s =
        BbTargetPace_ServiceTime(io->pace, load->running + load->waiting);
    if (service_s <= 0) {
        service_s = BbSlotQueue_MixTime(io->queue, now);
    }
    load->service_ms = (int)lrint(service_s * 1000);
    load->fail_permille = (int)lrint(io->fail_rate * 1000);
    /* Bytes that are sent while the next call runs do not delay it. */
    double link_s =
        BbLinkAdmission_Wait(io->link, now) - load->service_ms / 1000.0;
    load->link_ms = (int)lrint(CLAMP(link_s, 0.0, MAX_REPORTED_LINK_S) * 1000);
    load->class_ms =
        (int)lrint(BbTargetPace_ClassTime(io->pace, class_name, now) * 1000);
}

void
BbTargetIo_OnLoadElsewhere(bb_target_io_t *io, const char *class_name,
                           const bb_load_t *load, int record_slots)
{
    BbTargetPace_OnLoadElsewhere(io->pace, class_name, load, record_slots,
                                 BbClock_Now(io->loop));
}

bb_call_tree_t *
BbTargetIo_CallTree(bb_target_io_t *io)
{
    return io->tree;
}

double
BbTargetIo_ServiceTime(const bb_target_io_t *io, const char *class_name)
{
    return BbSlotQueue_ClassTime(io->queue, class_name, BbClock_Now(io->loop));
}

int
BbTargetIo_OpenCallCount(const bb_target_io_t *io)
{
    return io->call_count;
}

bb_target_io_t *
BbTargetIo_New(const bb_target_io_options_t *options)
{
    bb_target_io_t *io = g_new0(bb_target_io_t, 1);
    bb_h1_client_options_t client_options = {
        .loop = options->loop,
        .max_idle_connections = MAX_IDLE_CONNECTIONS,
        .idle_timeout_s = IDLE_MAX_S,
    };

    io->loop = options->loop;
    io->address = g_strdup(options->address);
    io->service = g_strdup(options->service);
    io->names = options->names;
    io->target = options->target;
    io->dropped_keys = options->dropped_keys;
    io->link = options->link;
    io->rollout = options->rollout;
    io->uses_target_load = options->uses_target_load;
    io->queue = BbSlotQueue_New();
    const bb_target_pace_options_t pace_options = {options->pace, io->target,
                                                   io->queue};
    io->pace = BbTargetPace_New(&pace_options);
    io->reserve = BbReserve_New();
    BbSlotQueue_SetReserve(io->queue, io->reserve);
    io->share = BbFairShare_New();
    BbSlotQueue_SetFairShare(io->queue, io->share);
    io->tree = BbCallTree_New(options->names->call_id_separator);
    io->client = BbH1Client_New(&client_options);
    ev_init(&io->queue_timer, handle_queue_timer);
    io->queue_timer.data = io;
    return io;
}

void
BbTargetIo_Free(bb_target_io_t *io)
{
    if (io == NULL) {
        return;
    }
    ev_timer_stop(io->loop, &io->queue_timer);
    while (io->calls != NULL) {
        cancel(&io->calls->base);
    }
    BbH1Client_Free(io->client);
    BbTargetPace_Free(io->pace);
    BbSlotQueue_Free(io->queue);
    BbReserve_Free(io->reserve);
    BbFairShare_Free(io->share);
    BbCallTree_Free(io->tree);
    g_free(io->address);
    g_free(io->service);
    g_free(io);
}
