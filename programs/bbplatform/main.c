/* bbplatform - stand-in for the platform's table service and object store. */
#include <glib.h>
#include <signal.h>
#include <stdio.h>

#include "bb_error.h"
#include "bb_log.h"
#include "server.h"

#define DEFAULT_ADDRESS "127.0.0.1:7700"

typedef struct {
    char *address;
    gint64 clock_offset_ms;
    gboolean shows_version;
} arguments_t;

static int
parse_arguments(int argc, char **argv, arguments_t *arguments)
{
    GOptionEntry entries[] = {
        {"address", 'a', 0, G_OPTION_ARG_STRING, &arguments->address,
         "Address to listen on (default " DEFAULT_ADDRESS ")", "IP:PORT"},
        {"clock-offset-ms", 0, 0, G_OPTION_ARG_INT64,
         &arguments->clock_offset_ms,
         "Difference of the platform's clock to the VM's clock", "MS"},
        {"version", 'V', 0, G_OPTION_ARG_NONE, &arguments->shows_version,
         "Print the version and exit", NULL},
        G_OPTION_ENTRY_NULL,
    };
    GOptionContext *context = g_option_context_new(
        "- stand-in for the platform's table service and object store");
    GError *error = NULL;

    g_option_context_add_main_entries(context, entries, NULL);
    int is_parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!is_parsed) {
        fprintf(stderr, "bbplatform: %s\n", error->message);
        g_error_free(error);
        return BB_ERR_ARGUMENT;
    }
    if (argc > 1) {
        fprintf(stderr, "bbplatform: unexpected argument '%s'\n", argv[1]);
        return BB_ERR_ARGUMENT;
    }
    if (arguments->address == NULL) {
        arguments->address = g_strdup(DEFAULT_ADDRESS);
    }
    return 0;
}

static void
stop_loop(struct ev_loop *loop, ev_signal *signal, int events)
{
    (void)signal;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

static void
run_loop(struct ev_loop *loop)
{
    ev_signal terminate, interrupt;

    ev_signal_init(&terminate, stop_loop, SIGTERM);
    ev_signal_init(&interrupt, stop_loop, SIGINT);
    ev_signal_start(loop, &terminate);
    ev_signal_start(loop, &interrupt);
    ev_run(loop, 0);
    ev_signal_stop(loop, &terminate);
    ev_signal_stop(loop, &interrupt);
}

static int
run_server(const arguments_t *arguments)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    server_options_t options = {
        .loop = loop,
        .address = arguments->address,
        .clock_offset_ms = arguments->clock_offset_ms,
    };
    server_t *server;

    BbLog_Init("bbplatform", arguments->address);
    int error = Server_Start(&server, &options);
    if (error != 0) {
        BbLog_Write(BB_LOG_ERROR, "cannot listen on %s: %s",
                    arguments->address, BbError_Name(error));
        return 1;
    }
    BbLog_Write(BB_LOG_NOTICE, "serving on %s", arguments->address);
    run_loop(loop);
    Server_Free(server);
    ev_loop_destroy(loop);
    return 0;
}

int
main(int argc, char **argv)
{
    arguments_t arguments = {0};

    signal(SIGPIPE, SIG_IGN);
    if (parse_arguments(argc, argv, &arguments) != 0) {
        return 2;
    }
    int status = 0;
    if (arguments.shows_version) {
        printf("bbplatform %s\n", BB_VERSION_STRING);
    }
    else {
        status = run_server(&arguments);
    }
    g_free(arguments.address);
    return status;
}
