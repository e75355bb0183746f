/*
 * bbsidecar - the mesh node that runs beside a target
 *
 * Exit codes: 0 after a shutdown or a successful check, 1 when it cannot
 * start, 2 for wrong options, settings or an invalid configuration.
 */
#include <ev.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "bb_config_review.h"
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
    char *config_path;
    char *in_force_path;
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
        {"check-config", 0, 0, G_OPTION_ARG_FILENAME, &options->config_path,
         "Check the configuration in FILE, as the operator would send it, and "
         "exit",
         "FILE"},
        {"in-force", 0, 0, G_OPTION_ARG_FILENAME, &options->in_force_path,
         "With --check-config: print how it differs from the one in FILE",
         "FILE"},
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

static void
free_options(options_t *options)
{
    g_free(options->settings_path);
    g_free(options->config_path);
    g_free(options->in_force_path);
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

/* Returns the configuration in the file, or NULL after printing why there is
 * none. */
static bb_mesh_config_t *
read_config(const char *path)
{
    GError *error = NULL;
    char *text = NULL;
    gsize size = 0;
    bb_mesh_config_t *config = NULL;
    bb_findings_t findings;

    if (!g_file_get_contents(path, &text, &size, &error)) {
        fprintf(stderr, "bbsidecar: %s\n", error->message);
        g_error_free(error);
        return NULL;
    }
    BbFindings_Init(&findings);
    if (Platform_DecodeConfig(text, size, &findings, &config) != 0) {
        printf("error: %s is not valid:\n", path);
        BbFindings_Print(&findings, stdout);
    }
    BbFindings_Free(&findings);
    g_free(text);
    return config;
}

static int
check_config(const char *path, const char *in_force_path)
{
    bb_mesh_config_t *config = read_config(path);
    bb_mesh_config_t *in_force =
        in_force_path != NULL ? read_config(in_force_path) : NULL;
    bool is_valid =
        config != NULL && (in_force_path == NULL || in_force != NULL);

    if (is_valid) {
        size_t warnings = BbConfigReview_Warn(config, stdout);
        size_t differences =
            in_force != NULL ? BbConfigReview_Compare(in_force, config, stdout)
                             : 0;
        printf("version %" G_GINT64_FORMAT
               ": %zu routes, %zu warnings, %zu differences\n",
               (gint64)BbMeshConfig_Version(config),
               BbMeshConfig_RouteCount(config), warnings, differences);
    }
    BbMeshConfig_Unref(config);
    BbMeshConfig_Unref(in_force);
    return is_valid ? EXIT_STOPPED : EXIT_BAD_SETTINGS;
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
    if (options.config_path != NULL) {
        int result = check_config(options.config_path, options.in_force_path);
        free_options(&options);
        return result;
    }
    signal(SIGPIPE, SIG_IGN);
    int status = EXIT_BAD_SETTINGS;
    if (load_settings(options.settings_path, &settings) == 0) {
        status = options.check_settings
                     ? EXIT_STOPPED
                     : run_sidecar(&settings, options.settings_path);
        BbSidecarSettings_Free(&settings);
    }
    free_options(&options);
    return status;
}
