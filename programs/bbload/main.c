/* bbload - target stand-ins and callers for tests and measurements. */
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "bb_error.h"
#include "commands.h"

static const char usage[] =
    "usage: bbload target|call [OPTION...]\n"
    "\n"
    "  target   serves calls, records them and injects faults\n"
    "  call     makes calls and reports results and latency\n"
    "\n"
    "bbload COMMAND --help lists the options of a command.\n";

int
Commands_ParseOptions(int argc, char **argv, const GOptionEntry *entries,
                      const char *summary)
{
    GOptionContext *context = g_option_context_new(summary);
    GError *error = NULL;

    g_option_context_add_main_entries(context, entries, NULL);
    gboolean is_parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!is_parsed) {
        fprintf(stderr, "bbload: %s\n", error->message);
        g_error_free(error);
        return BB_ERR_ARGUMENT;
    }
    if (argc > 1) {
        fprintf(stderr, "bbload: unexpected argument '%s'\n", argv[1]);
        return BB_ERR_ARGUMENT;
    }
    return 0;
}

static int
run_command(int argc, char **argv)
{
    const char *command = argc > 1 ? argv[1] : "";

    if (strcmp(command, "target") == 0) {
        return Commands_RunTarget(argc - 1, argv + 1);
    }
    if (strcmp(command, "call") == 0) {
        return Commands_RunCall(argc - 1, argv + 1);
    }
    if (strcmp(command, "--version") == 0) {
        printf("bbload %s\n", BB_VERSION_STRING);
        return 0;
    }
    gboolean is_help = strcmp(command, "--help") == 0;
    fputs(usage, is_help ? stdout : stderr);
    return is_help ? 0 : 2;
}

int
main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
        fprintf(stderr, "bbload: cannot initialise libsodium or libcurl\n");
        return 1;
    }
    int status = run_command(argc, argv);
    curl_global_cleanup();
    return status;
}
