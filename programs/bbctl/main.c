/* bbctl - command-line tool for operators, see bbctl.h. */
#include "bbctl.h"

#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "bb_error.h"

#define DEFAULT_PLATFORM "http://127.0.0.1:7700"
#define DEFAULT_TIMEOUT_MS 2000
#define USAGE_COLUMNS 34 /* characters before the summary in the help */

static const command_t *const groups[] = {
    key_commands,     draft_commands, propose_commands, accept_commands,
    version_commands, node_commands,  trace_commands,
};

static void
print_help(void)
{
    printf("Usage: bbctl COMMAND [OPTION...] [ARGUMENT...]\n\nCommands:\n");
    for (size_t i = 0; i < G_N_ELEMENTS(groups); i++) {
        for (const command_t *c = groups[i]; c->name != NULL; c++) {
            char *usage = g_strdup_printf("%s %s", c->name, c->arguments);
            if (strlen(usage) > USAGE_COLUMNS) {
                printf("  %s\n  %*s", usage, USAGE_COLUMNS, "");
            }
            else {
                printf("  %-*s", USAGE_COLUMNS, usage);
            }
            printf(" %s\n", c->summary);
            g_free(usage);
        }
    }
    printf(
        "\n`bbctl COMMAND --help` lists the options of a command. All take\n"
        "  --platform URL     platform (default $BB_PLATFORM, then %s)\n"
        "  --timeout-ms MS    per request (default %d)\n"
        "  --json             one JSON object on standard output\n"
        "\nExit codes:\n"
        "  0  done\n"
        "  1  findings in a table, file or key\n"
        "  2  wrong arguments\n"
        "  3  platform or node does not answer\n"
        "  4  another operator's change came first; nothing was written\n"
        "  5  the key is not that of the month's owner\n"
        "  6  no such version, proposal or row\n"
        "  7  accepted, but not in force on every node yet\n",
        DEFAULT_PLATFORM, DEFAULT_TIMEOUT_MS);
}

/* Finds the command that the first one or two arguments name, and sets
 * *word_count to 1 or 2. */
static const command_t *
find_command(int argc, char **argv, int *word_count)
{
    char *two_words =
        argc > 2 ? g_strdup_printf("%s %s", argv[1], argv[2]) : NULL;
    const command_t *found = NULL;

    for (size_t i = 0; i < G_N_ELEMENTS(groups) && found == NULL; i++) {
        for (const command_t *c = groups[i]; c->name != NULL; c++) {
            if (strcmp(c->name, argv[1]) == 0 ||
                (two_words != NULL && strcmp(c->name, two_words) == 0)) {
                *word_count = strcmp(c->name, argv[1]) == 0 ? 1 : 2;
                found = c;
                break;
            }
        }
    }
    g_free(two_words);
    return found;
}

/* Reports a missing or unknown command. When word is the first of two words of
 * a command, such as "route", lists these commands. */
static void
report_unknown_command(const char *word)
{
    if (word == NULL) {
        fputs("bbctl: a command is missing; see bbctl --help\n", stderr);
        return;
    }
    fprintf(stderr, "bbctl: no such command '%s'; see bbctl --help\n", word);
    for (size_t i = 0; i < G_N_ELEMENTS(groups); i++) {
        for (const command_t *c = groups[i]; c->name != NULL; c++) {
            size_t length = strlen(word);
            if (strncmp(c->name, word, length) == 0 &&
                c->name[length] == ' ') {
                fprintf(stderr, "  bbctl %s %s\n", c->name, c->arguments);
            }
        }
    }
}

static bool
parse_options(bbctl_t *ctl, const command_t *command, int *argc, char ***argv)
{
    gint64 timeout_ms = DEFAULT_TIMEOUT_MS;
    GOptionEntry common[] = {
        {"platform", 'p', 0, G_OPTION_ARG_STRING, &ctl->platform_url,
         "Base URL of the platform", "URL"},
        {"timeout-ms", 0, 0, G_OPTION_ARG_INT64, &timeout_ms,
         "Time limit of each request", "MS"},
        {"json", 0, 0, G_OPTION_ARG_NONE, &ctl->is_json,
         "Print one JSON object", NULL},
        G_OPTION_ENTRY_NULL,
    };
    char *usage =
        g_strdup_printf("%s - %s", command->arguments, command->summary);
    GOptionContext *context = g_option_context_new(usage);
    GError *error = NULL;

    if (command->options != NULL) {
        g_option_context_add_main_entries(context, command->options, NULL);
    }
    g_option_context_add_main_entries(context, common, NULL);
    bool is_parsed = g_option_context_parse(context, argc, argv, &error);
    if (!is_parsed) {
        fprintf(stderr, "bbctl %s: %s\n", command->name, error->message);
        g_error_free(error);
    }
    else if (timeout_ms < 1 || timeout_ms > 600000) {
        fprintf(stderr, "bbctl %s: --timeout-ms is outside 1..600000\n",
                command->name);
        is_parsed = false;
    }
    ctl->timeout_ms = (long)timeout_ms;
    g_option_context_free(context);
    g_free(usage);
    return is_parsed;
}

static void
open_platform(bbctl_t *ctl)
{
    const char *environment_url = g_getenv("BB_PLATFORM");

    if (ctl->platform_url == NULL) {
        ctl->platform_url = g_strdup(
            environment_url != NULL ? environment_url : DEFAULT_PLATFORM);
    }
    while (g_str_has_suffix(ctl->platform_url, "/")) {
        ctl->platform_url[strlen(ctl->platform_url) - 1] = '\0';
    }
    bb_curl_options_t curl_options = {.loop = ctl->loop};
    ctl->curl = BbCurl_New(&curl_options);
    bb_platform_options_t options = {
        .curl = ctl->curl,
        .url = ctl->platform_url,
        .timeout_ms = ctl->timeout_ms,
    };
    ctl->platform = BbPlatform_New(&options);
}

static int
run_command(const command_t *command, int argc, char **argv)
{
    bbctl_t ctl = {
        .command = command->name,
        .is_write = command->is_write,
    };

    if (!parse_options(&ctl, command, &argc, &argv)) {
        return BBCTL_USAGE;
    }
    int arguments = argc - 1;
    if (arguments < command->min_arguments ||
        arguments > command->max_arguments) {
        fprintf(stderr, "Usage: bbctl %s %s\n", command->name,
                command->arguments);
        return BBCTL_USAGE;
    }
    ctl.loop = ev_default_loop(EVFLAG_AUTO);
    open_platform(&ctl);
    int code = command->run(&ctl, arguments, argv + 1);
    BbPlatform_Free(ctl.platform);
    BbCurl_Free(ctl.curl);
    ev_loop_destroy(ctl.loop);
    g_free(ctl.platform_url);
    return code;
}

int
main(int argc, char **argv)
{
    int word_count = 0;

    signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0) {
        fprintf(stderr, "bbctl: cannot initialize libsodium\n");
        return BBCTL_UNAVAILABLE;
    }
    if (argc >= 2 && strcmp(argv[1], "--version") == 0) {
        printf("bbctl %s\n", BB_VERSION_STRING);
        return BBCTL_OK;
    }
    if (argc >= 2 && strcmp(argv[1], "--help") == 0) {
        print_help();
        return BBCTL_OK;
    }
    const command_t *command =
        argc >= 2 ? find_command(argc, argv, &word_count) : NULL;
    if (command == NULL) {
        report_unknown_command(argc >= 2 ? argv[1] : NULL);
        return BBCTL_USAGE;
    }
    char *name = g_strdup_printf("bbctl %s", command->name);
    g_set_prgname(name);
    argv[word_count] = name;
    int code = run_command(command, argc - word_count, argv + word_count);
    g_free(name);
    return code;
}
