#include "bb_probe.h"

#include <utlist.h>

#include "bb_clock.h"
#include "bb_counters.h"
#include "bb_event.h"
#include "bb_h1_fetch.h"
#include "bb_placement.h"

/* Any HTTP response shows that the node is reachable, so the path need not
 * exist. */
#define PROBE_PATH "/burdockbarrow/probe"

#define CHECK_INTERVAL_S 0.1
#define PROBE_TIMEOUT_S 0.6
#define MAX_IDLE_S 5.0

/* Maximum of probes in progress; further ones wait for the next check. */
#define MAX_OPEN_PROBES 16

typedef struct open_probe {
    bb_probe_t *owner;
    bb_endpoint_t *endpoint;
    bb_h1_fetch_t *fetch;
    struct open_probe *prev, *next;
} open_probe_t;

struct bb_probe {
    bb_probe_options_t options;
    ev_timer timer;
    open_probe_t *open;
    int open_count;
};

static void
close_probe(open_probe_t *open)
{
    open->endpoint->is_probe_running = false;
    BbEndpoint_Unref(open->endpoint);
    DL_DELETE(open->owner->open, open);
    open->owner->open_count--;
    g_free(open);
}

static void
log_outcome(const bb_endpoint_t *endpoint, bool is_reachable, double now)
{
    if (BbEvent_Allows(BB_EVENT_PEER)) {
        BbEvent_Write(BB_EVENT_PEER,
                      json_pack("{s:s, s:s, s:f}", "peer", endpoint->node,
                                "state", is_reachable ? "there" : "silent",
                                "for_s", now - endpoint->unverified_since));
    }
}

static void
handle_fetched(const bb_h1_fetch_result_t *fetched, void *arg)
{
    open_probe_t *open = arg;
    double now = BbClock_Now(open->owner->options.loop);
    bool is_reachable = fetched->error == 0;

    log_outcome(open->endpoint, is_reachable, now);
    if (is_reachable) {
        BbPlacement_SetReachable(open->endpoint);
    }
    else {
        BbPlacement_ProbeFailed(open->endpoint, now);
    }
    close_probe(open);
}

static void
probe_if_due(bb_endpoint_t *endpoint, void *arg)
{
    bb_probe_t *probe = arg;
    double now = BbClock_Now(probe->options.loop);

    if (endpoint->is_probe_running || probe->open_count >= MAX_OPEN_PROBES ||
        !BbPlacement_IsProbeDue(endpoint, now)) {
        return;
    }
    open_probe_t *open = g_new0(open_probe_t, 1);
    open->owner = probe;
    open->endpoint = BbEndpoint_Ref(endpoint);
    endpoint->is_probe_running = true;
    DL_APPEND(probe->open, open);
    probe->open_count++;
    BbCounters_Add(BB_COUNTER_NODE_PROBES, 1);
    const bb_h1_fetch_options_t options = {
        .loop = probe->options.loop,
        .client = probe->options.client,
        .address = endpoint->record.address,
        .method = "GET",
        .target = PROBE_PATH,
        .max_idle_s = MAX_IDLE_S,
        .timeout_s = PROBE_TIMEOUT_S,
        .done = handle_fetched,
        .arg = open,
    };
    open->fetch = BbH1Fetch_Start(&options);
}

static void
handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    bb_probe_t *probe = timer->data;

    BbFleet_ForEach(probe->options.fleet, probe_if_due, probe);
}

bb_probe_t *
BbProbe_New(const bb_probe_options_t *options)
{
    bb_probe_t *probe = g_new0(bb_probe_t, 1);

    probe->options = *options;
    ev_timer_init(&probe->timer, handle_timer, CHECK_INTERVAL_S,
                  CHECK_INTERVAL_S);
    probe->timer.data = probe;
    ev_timer_start(options->loop, &probe->timer);
    return probe;
}

void
BbProbe_Free(bb_probe_t *probe)
{
    if (probe == NULL) {
        return;
    }
    ev_timer_stop(probe->options.loop, &probe->timer);
    while (probe->open != NULL) {
        BbH1Fetch_Cancel(probe->open->fetch);
        close_probe(probe->open);
    }
    g_free(probe);
}
