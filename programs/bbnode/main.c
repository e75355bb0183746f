/*
 * bbnode - daemon that runs the mesh node of a VM, see node.h
 *
 * Exit codes: 0 after a drain or a successful check, 1 when the node cannot
 * start, 2 for wrong options or settings.
 */
#include <curl/curl.h>
#include <ev.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>

#include "bb_counters.h"
#include "bb_error.h"
#include "bb_log.h"
#include "bb_settings.h"
#include "node.h"

enum {
    EXIT_OK = 0,
    EXIT_CANNOT_START = 1,
    EXIT_BAD_SETTINGS = 2,
};

typedef struct {
    char *settings_path;
    char **overrides;
    gboolean check_settings;
    gboolean print_settings;
    gboolean print_counters;
    gboolean version;
} options_t;

static int
parse_options(int *argc, char ***argv, options_t *options)
{
    const GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &options->settings_path,
         "Settings file (TOML)", "FILE"},
        {"set", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->overrides,
         "Override one setting; may be repeated", "SECTION.KEY=VALUE"},
        {"check-settings", 0, 0, G_OPTION_ARG_NONE, &options->check_settings,
         "Check the settings and exit", NULL},
        {"print-settings", 0, 0, G_OPTION_ARG_NONE, &options->print_settings,
         "Print the reference of all settings (Markdown) and exit", NULL},
        {"print-counters", 0, 0, G_OPTION_ARG_NONE, &options->print_counters,
         "Print the reference of all counters (Markdown) and exit", NULL},
        {"version", 0, 0, G_OPTION_ARG_NONE, &options->version,
         "Print the version and exit", NULL},
        {0}};
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("- node of the mesh");

    g_option_context_add_main_entries(context, entries, NULL);
    gboolean is_parsed = g_option_context_parse(context, argc, argv, &error);
    g_option_context_free(context);
    if (!is_parsed) {
        fprintf(stderr, "bbnode: %s\n", error->message);
        g_error_free(error);
        return BB_ERR_ARGUMENT;
    }
    if (*argc > 1) {
        fprintf(stderr, "bbnode: unexpected argument '%s'\n", (*argv)[1]);
        return BB_ERR_ARGUMENT;
    }
    return 0;
}

static bb_log_level_t
log_level(const char *name)
{
    static const char *const names[] = {"error", "warning", "notice", "info",
                                        "debug"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (g_strcmp0(name, names[i]) == 0) {
            return BB_LOG_ERROR + (bb_log_level_t)i;
        }
    }
    return BB_LOG_INFO;
}

static int
load_settings(const options_t *options, bb_settings_t *settings)
{
    bb_findings_t findings;
    bb_settings_options_t settings_options = {
        .path = options->settings_path,
        .overrides = (const char *const *)options->overrides,
    };

    BbFindings_Init(&findings);
    int error = BbSettings_Load(&settings_options, &findings, settings);
    if (error != 0) {
        fprintf(stderr, "bbnode: settings are not valid:\n");
        BbFindings_Print(&findings, stderr);
    }
    BbFindings_Free(&findings);
    return error;
}

static int
run_node(const bb_settings_t *settings)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    node_t *node = Node_New(loop, settings);

    if (node == NULL) {
        return EXIT_CANNOT_START;
    }
    ev_run(loop, 0);
    Node_Free(node);
    return EXIT_OK;
}

int
main(int argc, char **argv)
{
    options_t options = {0};
    bb_settings_t settings;

    if (parse_options(&argc, &argv, &options) != 0) {
        return EXIT_BAD_SETTINGS;
    }
    if (options.version) {
        puts("bbnode " BB_VERSION_STRING);
        return EXIT_OK;
    }
    if (options.print_settings) {
        BbSettings_PrintReference(stdout);
        return EXIT_OK;
    }
    if (options.print_counters) {
        BbCounters_PrintReference(stdout);
        return EXIT_OK;
    }
    signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
        fputs("bbnode: libsodium or libcurl cannot be initialised\n", stderr);
        return EXIT_CANNOT_START;
    }
    int status = EXIT_BAD_SETTINGS;
    if (load_settings(&options, &settings) == 0) {
        status = EXIT_OK;
        if (!options.check_settings) {
            BbLog_Init("bbnode", settings.admin_address);
            BbLog_SetLevel(log_level(settings.log_level));
            status = run_node(&settings);
        }
    }
    BbSettings_Free(&settings);
    g_free(options.settings_path);
    g_strfreev(options.overrides);
    return status;
}
