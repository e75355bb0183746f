#include "bb_quota_io.h"

#include <jansson.h>
#include <string.h>
#include <utlist.h>

#include "bb_clock.h"
#include "bb_counters.h"
#include "bb_event.h"
#include "bb_h1_fetch.h"
#include "bb_quota.h"
#include "bb_quota_owner.h"
#include "bb_quota_owners.h"

/* Connections to owners are in use each half second. */
#define MAX_IDLE_S 5.0

/* Interval at which refusals are logged, and the accounts that are named. */
#define LOG_INTERVAL_S 1.0
#define LOGGED_ACCOUNTS 5

/* Number of nodes that is assumed until the records are received: as many as
 * in a fleet with one owner. A smaller number would let all nodes that restart
 * at the same time exceed the limit together. */
#define ASSUMED_NODES 80

/* A report under way. */
typedef struct message {
    bb_quota_io_t *io;
    size_t slot;
    size_t candidate;
    bb_h1_fetch_t *fetch;
    struct message *prev, *next;
} message_t;

struct bb_quota_io {
    bb_quota_io_options_t options;
    char *node;
    bb_quota_t *quota;
    bb_quota_owner_t *owner; /* of the accounts that this node owns */
    uint64_t generation;     /* of the records in use */
    size_t slots;
    ev_timer timer;
    double logged_at;
    int64_t leased; /* counted so far */
    message_t *messages;
    GString *text;
    GString *response;
};

static double
current_time(const bb_quota_io_t *io)
{
    return BbClock_Now(io->options.loop);
}

/* ---- log ---- */

static void
handle_owner_changed(size_t slot, const char *previous, const char *owner,
                     void *arg)
{
    (void)arg;
    BbCounters_Add(BB_COUNTER_QUOTA_OWNER_CHANGES, 1);
    if (BbEvent_Allows(BB_EVENT_QUOTA_OWNER)) {
        BbEvent_Write(BB_EVENT_QUOTA_OWNER,
                      json_pack("{s:i, s:s, s:s}", "slot", (int)slot,
                                "previous", previous, "owner", owner));
    }
}

static void
handle_state_changed(const char *account, bb_quota_state_t state, double level,
                     double demand, void *arg)
{
    (void)arg;
    if (state == BB_QUOTA_TIGHT) {
        BbCounters_Add(BB_COUNTER_QUOTA_TIGHT, 1);
    }
    if (BbEvent_Allows(BB_EVENT_QUOTA_STATE)) {
        BbEvent_Write(BB_EVENT_QUOTA_STATE,
                      json_pack("{s:s, s:s, s:f, s:f}", "account", account,
                                "state",
                                state == BB_QUOTA_TIGHT ? "tight" : "calm",
                                "level", level, "demand", demand));
    }
}

static void
log_refusals(const bb_quota_refusals_t *refusals, void *arg)
{
    (void)arg;
    if (BbEvent_Allows(BB_EVENT_QUOTA_REFUSED)) {
        BbEvent_Write(BB_EVENT_QUOTA_REFUSED,
                      json_pack("{s:s, s:I, s:s, s:f, s:f}", "account",
                                refusals->account, "refused",
                                (json_int_t)refusals->refused, "state",
                                refusals->state, "demand", refusals->demand,
                                "limit", refusals->rate_per_s));
    }
}

static void
log_all_refusals(bb_quota_io_t *io)
{
    double now = current_time(io);

    if (now - io->logged_at < LOG_INTERVAL_S) {
        return;
    }
    io->logged_at = now;
    int64_t others =
        BbQuota_TakeRefusals(io->quota, LOGGED_ACCOUNTS, log_refusals, io);
    if (others > 0 && BbEvent_Allows(BB_EVENT_QUOTA_REFUSED)) {
        BbEvent_Write(BB_EVENT_QUOTA_REFUSED,
                      json_pack("{s:s, s:I}", "account", "", "refused",
                                (json_int_t)others));
    }
}

/* ---- as owner ---- */

/* Composes the response to a report in io->response; text is changed. */
static bool
respond_as_owner(bb_quota_io_t *io, char *text)
{
    g_string_truncate(io->response, 0);
    bool is_valid = BbQuotaOwner_HandleReport(io->owner, text,
                                              current_time(io), io->response);
    int64_t leased = BbQuotaOwner_LeasedTokens(io->owner);

    BbCounters_Add(BB_COUNTER_QUOTA_REPORTS, 1);
    BbCounters_Add(BB_COUNTER_QUOTA_LEASED, leased - io->leased);
    io->leased = leased;
    return is_valid;
}

void
BbQuotaIo_HandleReport(bb_quota_io_t *io, bb_h1_request_t *request,
                       const char *body, size_t size)
{
    char *text = g_strndup(body, size);

    if (respond_as_owner(io, text)) {
        BbH1_Respond(request, 200, NULL, io->response->str, io->response->len);
    }
    else {
        BbH1_Respond(request, 400, NULL, NULL, 0);
    }
    g_free(text);
}

/* ---- as reporter ---- */

static void
free_message(message_t *message)
{
    DL_DELETE(message->io->messages, message);
    g_free(message);
}

static void send_due_reports(bb_quota_io_t *io, size_t slot);

static void
handle_fetched(const bb_h1_fetch_result_t *fetched, void *arg)
{
    message_t *message = arg;
    bb_quota_io_t *io = message->io;
    double now = current_time(io);

    if (fetched->error == 0 && fetched->status == 200) {
        char *text = g_strndup(fetched->body, fetched->size);
        BbQuota_HandleResponse(io->quota, message->slot, message->candidate,
                               text, now);
        g_free(text);
    }
    else {
        BbCounters_Add(BB_COUNTER_QUOTA_MESSAGES_FAILED, 1);
        BbQuota_HandleFailure(io->quota, message->slot, message->candidate,
                              now);
    }
    size_t slot = message->slot;
    free_message(message);
    if (BbQuota_IsContinued(io->quota, slot)) {
        send_due_reports(io, slot);
    }
}

/* This node owns the slot. */
static void
report_to_self(bb_quota_io_t *io, size_t slot, size_t candidate)
{
    if (respond_as_owner(io, io->text->str)) {
        BbQuota_HandleResponse(io->quota, slot, candidate, io->response->str,
                               current_time(io));
    }
    else {
        BbQuota_HandleFailure(io->quota, slot, candidate, current_time(io));
    }
}

static void
send_report(bb_quota_io_t *io, size_t slot, size_t candidate,
            const bb_endpoint_t *endpoint)
{
    message_t *message = g_new0(message_t, 1);

    message->io = io;
    message->slot = slot;
    message->candidate = candidate;
    DL_APPEND(io->messages, message);
    BbCounters_Add(BB_COUNTER_QUOTA_MESSAGES, 1);
    const bb_h1_fetch_options_t options = {
        .loop = io->options.loop,
        .client = io->options.client,
        .address = endpoint->record.address,
        .method = "POST",
        .target = BB_QUOTA_PATH,
        .json = io->text->str,
        .max_idle_s = MAX_IDLE_S,
        .timeout_s = BB_QUOTA_TIMEOUT_S,
        .done = handle_fetched,
        .arg = message,
    };
    message->fetch = BbH1Fetch_Start(&options);
}

static void
send_due_reports(bb_quota_io_t *io, size_t slot)
{
    size_t candidate;

    while (BbQuota_NextMessage(io->quota, slot, current_time(io), io->text,
                               &candidate)) {
        const char *name = BbQuota_Candidate(io->quota, slot, candidate);
        const bb_endpoint_t *endpoint = BbFleet_Find(io->options.fleet, name);
        if (strcmp(name, io->node) == 0) {
            report_to_self(io, slot, candidate);
        }
        else if (endpoint != NULL) {
            send_report(io, slot, candidate, endpoint);
        }
        else {
            BbQuota_HandleFailure(io->quota, slot, candidate,
                                  current_time(io));
        }
    }
}

/* ---- fleet and configuration ---- */

/* Responses to messages of the previous candidates must not be taken for those
 * of the new ones. */
static void
cancel_messages(bb_quota_io_t *io, size_t slot)
{
    message_t *message, *next;

    DL_FOREACH_SAFE (io->messages, message, next) {
        if (message->slot == slot) {
            BbH1Fetch_Cancel(message->fetch);
            free_message(message);
        }
    }
}

static void
cancel_all_messages(bb_quota_io_t *io)
{
    for (size_t slot = 0; slot < io->slots; slot++) {
        cancel_messages(io, slot);
    }
}

static void
set_owners(bb_quota_io_t *io, size_t slot)
{
    const char *names[BB_QUOTA_CANDIDATES];
    GPtrArray *list = BbQuotaOwners_List(io->options.fleet, slot, io->slots);

    for (guint i = 0; i < list->len; i++) {
        names[i] = ((bb_endpoint_t *)g_ptr_array_index(list, i))->node;
    }
    if (!BbQuota_HasOwners(io->quota, slot, names, list->len)) {
        cancel_messages(io, slot);
        BbQuota_SetOwners(io->quota, slot, names, list->len, current_time(io));
    }
    g_ptr_array_unref(list);
}

static bool
is_fleet_known(const bb_quota_io_t *io)
{
    const bb_quota_io_options_t *options = &io->options;

    return options->is_fleet_known == NULL ||
           options->is_fleet_known(options->arg);
}

static void
refresh_owners(bb_quota_io_t *io)
{
    const bb_fleet_t *fleet = io->options.fleet;
    uint64_t generation = BbFleet_Generation(fleet);

    if (io->generation == generation || !is_fleet_known(io)) {
        return;
    }
    io->generation = generation;
    size_t slots = BbQuotaOwners_SlotCount(fleet);
    BbQuotaOwner_SetNodeCount(io->owner, BbFleet_NodeCount(fleet));
    if (slots != io->slots) {
        cancel_all_messages(io);
        io->slots = slots;
    }
    BbQuota_SetFleet(io->quota, BbFleet_NodeCount(fleet), io->slots,
                     current_time(io));
    for (size_t slot = 0; slot < io->slots; slot++) {
        set_owners(io, slot);
    }
}

static void
handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    bb_quota_io_t *io = timer->data;

    refresh_owners(io);
    for (size_t slot = 0; slot < io->slots; slot++) {
        send_due_reports(io, slot);
    }
    log_all_refusals(io);
}

void
BbQuotaIo_SetConfig(bb_quota_io_t *io, const bb_mesh_config_t *config)
{
    const bb_account_table_t *accounts = BbMeshConfig_Accounts(config);

    BbQuota_SetAccounts(io->quota, accounts);
    BbQuotaOwner_SetAccounts(io->owner, accounts);
    refresh_owners(io);
    if (BbQuota_HasLimits(io->quota)) {
        ev_timer_start(io->options.loop, &io->timer);
    }
    else {
        ev_timer_stop(io->options.loop, &io->timer);
    }
}

/* ---- calls ---- */

static bool
admit_call(const char *account, uint32_t *ticket, double *retry_after_s,
           void *arg)
{
    bb_quota_io_t *io = arg;

    return BbQuota_Admit(io->quota, account, current_time(io), ticket,
                         retry_after_s);
}

static void
return_call(const char *account, uint32_t ticket, void *arg)
{
    bb_quota_io_t *io = arg;

    BbCounters_Add(BB_COUNTER_QUOTA_RETURNED, 1);
    BbQuota_Return(io->quota, account, ticket, current_time(io));
}

bb_call_quota_t
BbQuotaIo_Calls(bb_quota_io_t *io)
{
    return (bb_call_quota_t){
        .admit = admit_call, .give_back = return_call, .arg = io};
}

const char *
BbQuotaIo_Owner(const bb_quota_io_t *io, const char *account)
{
    return BbQuota_Owner(io->quota, BbQuota_Slot(account, io->slots));
}

/* ---- create and free ---- */

bb_quota_io_t *
BbQuotaIo_New(const bb_quota_io_options_t *options)
{
    bb_quota_io_t *io = g_new0(bb_quota_io_t, 1);

    io->options = *options;
    io->node = g_strdup(options->node);
    io->slots = 1;
    io->text = g_string_new(NULL);
    io->response = g_string_new(NULL);
    const bb_quota_options_t quota = {
        .node = options->node,
        .incarnation = (int64_t)BbRandom_Below(options->random, INT32_MAX),
        .random = options->random,
        .now = BbClock_Now(options->loop),
        .on_owner = handle_owner_changed,
        .arg = io,
    };
    const bb_quota_owner_options_t owner = {
        .random = options->random,
        .on_state = handle_state_changed,
        .arg = io,
    };
    io->quota = BbQuota_New(&quota);
    BbQuota_SetFleet(io->quota, ASSUMED_NODES, io->slots, quota.now);
    io->owner = BbQuotaOwner_New(&owner);
    /* The phases of the nodes differ, so that their reports are spread. */
    ev_timer_init(&io->timer, handle_timer,
                  BB_QUOTA_TICK_S * BbRandom_Unit(options->random),
                  BB_QUOTA_TICK_S);
    io->timer.data = io;
    return io;
}

void
BbQuotaIo_Free(bb_quota_io_t *io)
{
    if (io == NULL) {
        return;
    }
    ev_timer_stop(io->options.loop, &io->timer);
    cancel_all_messages(io);
    BbQuota_Free(io->quota);
    BbQuotaOwner_Free(io->owner);
    g_string_free(io->text, TRUE);
    g_string_free(io->response, TRUE);
    g_free(io->node);
    g_free(io);
}
