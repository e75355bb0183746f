/*
 * bbsidecar - the mesh node that runs beside a target
 *
 * Exit codes: 0 after a shutdown or a successful check, 1 when it cannot
 * start, 2 for wrong options or settings.
 */
#include <ev.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "bb_error.h"
#include "bb_event.h"
#include "bb_sidecar_settings.h"
#include "platform.h"
#include "sidecar.h"

enum {
    EXIT_STOPPED = 0,
    EXIT_CANNOT_START = 1,
    EXIT_BAD_SETTINGS = 2,
};

typedef struct {
    char *settings_path;
    gboolean check_settings;
    gboolean print_settings;
    gboolean print_events;
    gboolean version;
} options_t;

static int
parse_options(int *argc, char ***argv, options_t *options)
{
    const GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &options->settings_path,
         "Settings file (TOML); without it, " PLATFORM_SETTINGS_VARIABLE
         " must name the file",
         "FILE"},
        {"check-settings", 0, 0, G_OPTION_ARG_NONE, &options->check_settings,
         "Check the settings and exit", NULL},
        {"print-settings", 0, 0, G_OPTION_ARG_NONE, &options->print_settings,
         "Print the reference of all settings (Markdown) and exit", NULL},
        {"print-events", 0, 0, G_OPTION_ARG_NONE, &options->print_events,
         "Print the reference of all log lines (Markdown) and exit", NULL},
        {"version", 0, 0, G_OPTION_ARG_NONE, &options->version,
         "Print the version and exit", NULL},
        {0}};
    GError *error = NULL;
    GOptionContext *context =
        g_option_context_new("- mesh node beside a target");

    g_option_context_add_main_entries(context, entries, NULL);
    gboolean is_parsed = g_option_context_parse(context, argc, argv, &error);
    g_option_context_free(context);
    if (!is_parsed) {
        fprintf(stderr, "bbsidecar: %s\n", error->message);
        g_error_free(error);
        return BB_ERR_ARGUMENT;
    }
    if (*argc > 1) {
        fprintf(stderr, "bbsidecar: unexpected argument '%s'\n", (*argv)[1]);
        return BB_ERR_ARGUMENT;
    }
    if (options->settings_path == NULL) {
        options->settings_path = g_strdup(getenv(PLATFORM_SETTINGS_VARIABLE));
    }
    return 0;
}

static int
load_settings(const char *path, bb_sidecar_settings_t *settings)
{
    bb_findings_t findings;

    if (path == NULL) {
        fputs("bbsidecar: no settings file given (use --settings FILE)\n",
              stderr);
        return BB_ERR_ARGUMENT;
    }
    BbFindings_Init(&findings);
    int error = BbSidecarSettings_Load(path, &findings, settings);
    if (error != 0) {
        fprintf(stderr, "bbsidecar: settings are not valid:\n");
        BbFindings_Print(&findings, stderr);
    }
    BbFindings_Free(&findings);
    return error;
}

static int
run_sidecar(const bb_sidecar_settings_t *settings, const char *path)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);

    BbEvent_Init(settings->name);
    sidecar_t *sidecar = Sidecar_New(loop, settings, path);
    if (sidecar == NULL) {
        return EXIT_CANNOT_START;
    }
    ev_run(loop, 0);
    Sidecar_Free(sidecar);
    return EXIT_STOPPED;
}

int
main(int argc, char **argv)
{
    options_t options = {0};
    bb_sidecar_settings_t settings;

    /* A reload that is requested during the start needs no action, but the
     * default action would end the process. */
    signal(SIGHUP, SIG_IGN);
    if (parse_options(&argc, &argv, &options) != 0) {
        return EXIT_BAD_SETTINGS;
    }
    if (options.version) {
        puts("bbsidecar " BB_VERSION_STRING);
        return EXIT_STOPPED;
    }
    if (options.print_settings) {
        BbSidecarSettings_PrintReference(stdout);
        return EXIT_STOPPED;
    }
    if (options.print_events) {
        BbEvent_PrintReference(stdout);
        return EXIT_STOPPED;
    }
    signal(SIGPIPE, SIG_IGN);
    int status = EXIT_BAD_SETTINGS;
    if (load_settings(options.settings_path, &settings) == 0) {
        status = options.check_settings
                     ? EXIT_STOPPED
                     : run_sidecar(&settings, options.settings_path);
        BbSidecarSettings_Free(&settings);
    }
    g_free(options.settings_path);
    return status;
}
