#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bb_error.h"
#include "caller.h"
#include "commands.h"

typedef struct {
    char *nodes;
    char *method;
    char *path;
    char *host;
    char *log;
    double rate;
    double duration_s;
    int concurrency;
    int retries;
    gint64 calls;
    gint64 body_size;
    gint64 timeout_ms;
    gint64 deadline_ms;
    gboolean has_key;
    gboolean prints_json;
} arguments_t;

static int
parse_arguments(int argc, char **argv, arguments_t *out)
{
    GOptionEntry entries[] = {
        {"node", 'n', 0, G_OPTION_ARG_STRING, &out->nodes,
         "Caller addresses of nodes", "IP:PORT,..."},
        {"method", 'm', 0, G_OPTION_ARG_STRING, &out->method,
         "Method (default GET)", "METHOD"},
        {"path", 'p', 0, G_OPTION_ARG_STRING, &out->path,
         "Path with query (default /)", "PATH"},
        {"host", 0, 0, G_OPTION_ARG_STRING, &out->host, "Host header", "HOST"},
        {"rate", 'r', 0, G_OPTION_ARG_DOUBLE, &out->rate,
         "Open loop with this many calls per second", "N"},
        {"concurrency", 'c', 0, G_OPTION_ARG_INT, &out->concurrency,
         "Closed loop with this many calls at a time (default 1)", "N"},
        {"duration-s", 'd', 0, G_OPTION_ARG_DOUBLE, &out->duration_s,
         "Start calls for this long (default 10)", "S"},
        {"calls", 0, 0, G_OPTION_ARG_INT64, &out->calls,
         "Start at most this many calls", "N"},
        {"body-size", 0, 0, G_OPTION_ARG_INT64, &out->body_size,
         "Bytes of each request body (default 0)", "N"},
        {"timeout-ms", 0, 0, G_OPTION_ARG_INT64, &out->timeout_ms,
         "Timeout of one attempt (default 10000)", "MS"},
        {"deadline-ms", 0, 0, G_OPTION_ARG_INT64, &out->deadline_ms,
         "Burdock-Deadline-Ms to send", "MS"},
        {"key", 'k', 0, G_OPTION_ARG_NONE, &out->has_key,
         "Send a unique Idempotency-Key with each call", NULL},
        {"retries", 0, 0, G_OPTION_ARG_INT, &out->retries,
         "Retries of a call through other nodes (default 0)", "N"},
        {"log", 0, 0, G_OPTION_ARG_FILENAME, &out->log,
         "Write one JSON line per call", "FILE"},
        {"json", 'j', 0, G_OPTION_ARG_NONE, &out->prints_json,
         "Report as JSON", NULL},
        G_OPTION_ENTRY_NULL,
    };
    return Commands_ParseOptions(argc, argv, entries,
                                 "call - make calls and report");
}

/* Returns BB_ERR_ARGUMENT after a report of the first wrong argument. */
static int
check_arguments(const arguments_t *arguments, char *const *nodes)
{
    const char *problem = NULL;

    if (nodes[0] == NULL) {
        problem = "--node is missing";
    }
    else if (arguments->path[0] != '/') {
        problem = "--path must start with '/'";
    }
    else if (arguments->concurrency < 1 || arguments->rate < 0) {
        problem = "--concurrency must be at least 1 and --rate at least 0";
    }
    else if (arguments->body_size < 0 || arguments->retries < 0) {
        problem = "--body-size and --retries must be at least 0";
    }
    if (problem != NULL) {
        fprintf(stderr, "bbload: %s\n", problem);
        return BB_ERR_ARGUMENT;
    }
    return 0;
}

static void
stop_loop(void *arg)
{
    ev_break(arg, EVBREAK_ALL);
}

static void
run_calls(const arguments_t *arguments, char *const *nodes, FILE *log,
          report_t *report)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    bb_curl_options_t curl_options = {
        .loop = loop,
        .max_idle_connections = MAX(arguments->concurrency, 64),
    };
    bb_curl_t *curl = BbCurl_New(&curl_options);
    bb_random_t *random = BbRandom_New(0);
    caller_options_t options = {
        .loop = loop,
        .curl = curl,
        .random = random,
        .report = report,
        .nodes = nodes,
        .method = arguments->method,
        .path = arguments->path,
        .host = arguments->host,
        .body_size = arguments->body_size,
        .timeout_ms = arguments->timeout_ms,
        .deadline_ms = arguments->deadline_ms,
        .has_key = arguments->has_key,
        .max_retries = arguments->retries,
        .rate = arguments->rate,
        .concurrency = arguments->concurrency,
        .duration_ms = (int64_t)(arguments->duration_s * 1000.0),
        .max_calls = arguments->calls,
        .log = log,
        .done = stop_loop,
        .arg = loop,
    };

    caller_t *caller = Caller_New(&options);
    ev_run(loop, 0);
    BbCurl_Free(curl);
    Caller_Free(caller);
    BbRandom_Free(random);
    ev_loop_destroy(loop);
}

static void
print_report(const arguments_t *arguments, report_t *report, double duration_s)
{
    if (!arguments->prints_json) {
        Report_Print(report, duration_s, stdout);
        return;
    }
    json_t *object = Report_ToJson(report, duration_s);
    json_dumpf(object, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
    putchar('\n');
    json_decref(object);
}

/* Returns the exit status: 1 when a response failed a check, 2 when the log
 * cannot be written. */
static int
make_calls(const arguments_t *arguments, char *const *nodes)
{
    FILE *log = NULL;

    if (arguments->log != NULL && (log = fopen(arguments->log, "w")) == NULL) {
        fprintf(stderr, "bbload: %s: %s\n", arguments->log, strerror(errno));
        return 2;
    }
    report_t *report = Report_New();
    int64_t start_us = g_get_monotonic_time();
    run_calls(arguments, nodes, log, report);
    print_report(arguments, report,
                 (double)(g_get_monotonic_time() - start_us) / 1e6);
    int status = Report_FailedChecks(report) > 0 ? 1 : 0;
    Report_Free(report);
    if (log != NULL && fclose(log) != 0) {
        fprintf(stderr, "bbload: %s: %s\n", arguments->log, strerror(errno));
        status = 2;
    }
    return status;
}

static char *
value_or_default(char *value, const char *fallback)
{
    return value != NULL ? value : g_strdup(fallback);
}

int
Commands_RunCall(int argc, char **argv)
{
    arguments_t arguments = {
        .concurrency = 1, .duration_s = 10.0, .timeout_ms = 10000};
    int status = 2;

    if (parse_arguments(argc, argv, &arguments) == 0) {
        arguments.method = value_or_default(arguments.method, "GET");
        arguments.path = value_or_default(arguments.path, "/");
        arguments.nodes = value_or_default(arguments.nodes, "");
        char **nodes = g_strsplit(arguments.nodes, ",", -1);
        if (check_arguments(&arguments, nodes) == 0) {
            status = make_calls(&arguments, nodes);
        }
        g_strfreev(nodes);
    }
    g_free(arguments.nodes);
    g_free(arguments.method);
    g_free(arguments.path);
    g_free(arguments.host);
    g_free(arguments.log);
    return status;
}
