#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>

#include "announce.h"
#include "bb_error.h"
#include "bb_log.h"
#include "commands.h"
#include "target.h"

/* A node that did not receive the announcement of the drain sends calls for
 * the lease of the previous announcement (2.5 s) and one message delay. */
#define UNCONFIRMED_DRAIN_S 3.0

/* Calls that the node sent before it accepted the drain arrive within this
 * time, because it runs on the same VM. */
#define CONFIRMED_DRAIN_S 0.2

typedef struct {
    char *address;
    char *node;
    char *service;
    char *state;
    int slots;
    int connections;
    gint64 work_ms;
    gint64 record;
    int workers;
    char *chain_node;
} arguments_t;

typedef struct {
    struct ev_loop *loop;
    target_t *target;
    announce_t *announce;
    ev_timer drain_timer;
    gboolean is_draining;
    gboolean is_drain_confirmed; /* the node accepted the drain */
    gboolean is_drain_over;      /* no further calls are expected */
} process_t;

static int
parse_arguments(int argc, char **argv, arguments_t *out)
{
    GOptionEntry entries[] = {
        {"address", 'a', 0, G_OPTION_ARG_STRING, &out->address,
         "Address to serve calls on", "IP:PORT"},
        {"node", 'n', 0, G_OPTION_ARG_STRING, &out->node,
         "Admin address of the node to announce to", "IP:PORT"},
        {"service", 's', 0, G_OPTION_ARG_STRING, &out->service,
         "Service name (default test)", "NAME"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &out->slots,
         "Calls at a time that it announces (default 18)", "N"},
        {"connections", 0, 0, G_OPTION_ARG_INT, &out->connections,
         "Connections that it announces (default 120)", "N"},
        {"work-ms", 0, 0, G_OPTION_ARG_INT64, &out->work_ms,
         "Duration of a call (default 0)", "MS"},
        {"workers", 0, 0, G_OPTION_ARG_INT, &out->workers,
         "Calls that run at a time, others wait (default no limit)", "N"},
        {"chain-node", 0, 0, G_OPTION_ARG_STRING, &out->chain_node,
         "Where calls with the query depth=N send depth=N-1", "IP:PORT"},
        {"state", 0, 0, G_OPTION_ARG_STRING, &out->state,
         "starting, ready (default) or draining", "STATE"},
        {"record", 0, 0, G_OPTION_ARG_INT64, &out->record,
         "Calls listed in /_record (default 100000)", "N"},
        G_OPTION_ENTRY_NULL,
    };
    return Commands_ParseOptions(argc, argv, entries,
                                 "target - target stand-in");
}

/* ---- drain ---- */

static void
stop_if_drained(process_t *process)
{
    if (process->is_drain_over && Target_InFlight(process->target) == 0) {
        ev_break(process->loop, EVBREAK_ALL);
    }
}

static void
end_drain(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    process_t *process = timer->data;
    process->is_drain_over = TRUE;
    stop_if_drained(process);
}

static void
start_drain_timer(process_t *process, double seconds)
{
    ev_timer_stop(process->loop, &process->drain_timer);
    ev_now_update(process->loop);
    ev_timer_set(&process->drain_timer, seconds, 0.0);
    ev_timer_start(process->loop, &process->drain_timer);
}

static void
start_drain(struct ev_loop *loop, ev_signal *signal, int events)
{
    (void)loop;
    (void)events;
    process_t *process = signal->data;

    if (process->is_draining) {
        return;
    }
    process->is_draining = TRUE;
    Target_Behaviour(process->target)->state = STATE_DRAINING;
    BbLog_Write(BB_LOG_NOTICE, "draining, %d calls in flight",
                Target_InFlight(process->target));
    if (process->announce == NULL) {
        start_drain_timer(process, 0.0);
        return;
    }
    Announce_Send(process->announce);
    start_drain_timer(process, UNCONFIRMED_DRAIN_S);
}

static void
handle_drain_confirmed(void *arg)
{
    process_t *process = arg;

    if (process->is_draining && !process->is_drain_confirmed) {
        process->is_drain_confirmed = TRUE;
        start_drain_timer(process, CONFIRMED_DRAIN_S);
    }
}

static void
handle_idle(void *arg)
{
    stop_if_drained(arg);
}

/* ---- process ---- */

static void
handle_change(void *arg)
{
    process_t *process = arg;

    if (process->announce != NULL) {
        Announce_Send(process->announce);
    }
}

static int
get_load(void *arg)
{
    const process_t *process = arg;
    return Target_Running(process->target);
}

static int
start_target(process_t *process, const arguments_t *arguments, bb_curl_t *curl)
{
    target_options_t options = {
        .loop = process->loop,
        .address = arguments->address,
        .behaviour = {.work_ms = arguments->work_ms, .state = STATE_READY},
        .max_connections = 4096,
        .max_workers = arguments->workers,
        .curl = curl,
        .chain_node = arguments->chain_node,
        .max_recorded_calls = (size_t)MAX(arguments->record, 0),
        .on_idle = handle_idle,
        .on_change = handle_change,
        .arg = process,
    };

    if (arguments->state != NULL &&
        Behaviour_ParseState(arguments->state, &options.behaviour.state) !=
            0) {
        fprintf(stderr,
                "bbload: --state '%s' is not starting, ready or draining\n",
                arguments->state);
        return BB_ERR_ARGUMENT;
    }
    int error = Target_Start(&process->target, &options);
    if (error != 0) {
        BbLog_Write(BB_LOG_ERROR, "cannot listen on %s: %s",
                    arguments->address, BbError_Name(error));
    }
    return error;
}

static void
run_process(process_t *process, const arguments_t *arguments, bb_curl_t *curl)
{
    ev_signal signals[2];
    announce_options_t options = {
        .loop = process->loop,
        .curl = curl,
        .node = arguments->node,
        .service = arguments->service,
        .address = arguments->address,
        .slots = arguments->slots,
        .connections = arguments->connections,
        .behaviour = Target_Behaviour(process->target),
        .get_load = get_load,
        .on_drain_confirmed = handle_drain_confirmed,
        .arg = process,
    };

    if (arguments->node != NULL) {
        process->announce = Announce_New(&options);
    }
    ev_init(&process->drain_timer, end_drain);
    process->drain_timer.data = process;
    ev_signal_init(&signals[0], start_drain, SIGTERM);
    ev_signal_init(&signals[1], start_drain, SIGINT);
    for (int i = 0; i < 2; i++) {
        signals[i].data = process;
        ev_signal_start(process->loop, &signals[i]);
    }
    ev_run(process->loop, 0);
    for (int i = 0; i < 2; i++) {
        ev_signal_stop(process->loop, &signals[i]);
    }
    ev_timer_stop(process->loop, &process->drain_timer);
}

static int
serve(const arguments_t *arguments)
{
    process_t process = {.loop = ev_default_loop(EVFLAG_AUTO)};

    bb_curl_options_t curl_options = {
        .loop = process.loop,
        .max_idle_connections = 64,
    };
    bb_curl_t *curl = BbCurl_New(&curl_options);
    if (start_target(&process, arguments, curl) != 0) {
        BbCurl_Free(curl);
        return 1;
    }
    run_process(&process, arguments, curl);
    Target_Free(process.target);
    BbCurl_Free(curl);
    Announce_Free(process.announce);
    ev_loop_destroy(process.loop);
    BbLog_Write(BB_LOG_NOTICE, "ended");
    return 0;
}

int
Commands_RunTarget(int argc, char **argv)
{
    arguments_t arguments = {
        .slots = 18, .connections = 120, .record = 100000};
    int status = 2;

    if (parse_arguments(argc, argv, &arguments) == 0) {
        if (arguments.address == NULL) {
            fprintf(stderr, "bbload: --address is missing\n");
        }
        else {
            if (arguments.service == NULL) {
                arguments.service = g_strdup("test");
            }
            BbLog_Init("bbload", arguments.address);
            status = serve(&arguments);
        }
    }
    g_free(arguments.address);
    g_free(arguments.node);
    g_free(arguments.service);
    g_free(arguments.state);
    g_free(arguments.chain_node);
    return status;
}
