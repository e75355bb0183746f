#include "bb_news_server.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Longest time that a question may wait. */
#define MAX_WAIT_S 10.0

typedef struct question {
    bb_news_server_t *server;
    bb_h1_request_t *request;
    int64_t version;
    int64_t revision;
    ev_timer timer;
    struct question *prev, *next;
} question_t;

struct bb_news_server {
    bb_news_server_options_t options;
    question_t *waiting;
};

typedef struct {
    json_t *nodes;
    int64_t after;
} collect_t;

static void
add_node(bb_endpoint_t *endpoint, void *arg)
{
    collect_t *collect = arg;

    if (endpoint->revision <= collect->after) {
        return;
    }
    json_t *entry = json_pack("{s:s, s:I}", "node", endpoint->node, "revision",
                              (json_int_t)endpoint->revision);
    if (!endpoint->is_removed) {
        char *text = BbNodeRecord_Format(&endpoint->record);
        json_object_set_new(entry, "record", json_string(text));
        g_free(text);
    }
    json_array_append_new(collect->nodes, entry);
}

static void
add_config(bb_news_server_t *server, int64_t held, json_t *root)
{
    bb_versions_t *versions = server->options.versions;
    int64_t base = 0;

    if (BbVersions_Newest(versions) <= held) {
        return;
    }
    const GByteArray *delta = BbVersions_Encode(versions, held, &base);
    if (delta == NULL) {
        return;
    }
    char *encoded = g_base64_encode(delta->data, delta->len);
    json_object_set_new(root, "base", json_integer(base));
    json_object_set_new(
        root, "size",
        json_integer((json_int_t)BbVersions_NewestSize(versions)));
    json_object_set_new(root, "delta", json_string(encoded));
    g_free(encoded);
}

static void
answer(bb_news_server_t *server, bb_h1_request_t *request, int64_t version,
       int64_t revision)
{
    const bb_news_server_options_t *options = &server->options;
    int64_t own_revision = options->revision(options->arg);
    collect_t collect = {json_array(), revision};
    json_t *root = json_pack("{s:I, s:b, s:I}", "version",
                             (json_int_t)BbVersions_Newest(options->versions),
                             "connected", options->is_connected(options->arg),
                             "revision", (json_int_t)own_revision);

    add_config(server, version, root);
    BbFleet_ForEach(options->fleet, add_node, &collect);
    json_object_set_new(root, "nodes", collect.nodes);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    BbH1_Respond(request, 200, NULL, text, strlen(text));
    free(text);
}

static void
answer_question(question_t *question)
{
    bb_news_server_t *server = question->server;

    ev_timer_stop(server->options.loop, &question->timer);
    DL_DELETE(server->waiting, question);
    answer(server, question->request, question->version, question->revision);
    g_free(question);
}

static void
handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    answer_question(timer->data);
}

static int64_t
query_number(const char *target, const char *name)
{
    const char *found = strstr(target, name);
    return found != NULL ? g_ascii_strtoll(found + strlen(name), NULL, 10) : 0;
}

static void
tell_newer(const bb_news_server_t *server, const question_t *asked)
{
    const bb_news_server_options_t *options = &server->options;
    const char *from = strstr(asked->request->target->str, "from=");

    if (from != NULL &&
        asked->version > BbVersions_Newest(options->versions)) {
        options->on_newer(asked->version, from + strlen("from="),
                          options->arg);
    }
}

static bool
has_news(const bb_news_server_t *server, const question_t *question)
{
    const bb_news_server_options_t *options = &server->options;

    return BbVersions_Newest(options->versions) > question->version ||
           options->revision(options->arg) > question->revision;
}

void
BbNewsServer_Ask(bb_news_server_t *server, bb_h1_request_t *request)
{
    const char *target = request->target->str;
    double wait_s = (double)query_number(target, "wait_ms=") / 1000.0;
    question_t asked = {
        .server = server,
        .request = request,
        .version = query_number(target, "version="),
        .revision = query_number(target, "revision="),
    };

    tell_newer(server, &asked);
    if (wait_s <= 0 || has_news(server, &asked)) {
        answer(server, request, asked.version, asked.revision);
        return;
    }
    question_t *question = g_memdup2(&asked, sizeof(asked));
    DL_APPEND(server->waiting, question);
    ev_timer_init(&question->timer, handle_timer, MIN(wait_s, MAX_WAIT_S),
                  0.0);
    question->timer.data = question;
    ev_timer_start(server->options.loop, &question->timer);
}

void
BbNewsServer_Gone(bb_news_server_t *server, bb_h1_request_t *request)
{
    question_t *question, *next;

    DL_FOREACH_SAFE (server->waiting, question, next) {
        if (question->request == request) {
            ev_timer_stop(server->options.loop, &question->timer);
            DL_DELETE(server->waiting, question);
            g_free(question);
        }
    }
}

void
BbNewsServer_Changed(bb_news_server_t *server)
{
    question_t *question, *next;

    DL_FOREACH_SAFE (server->waiting, question, next) {
        if (has_news(server, question)) {
            answer_question(question);
        }
    }
}

bb_news_server_t *
BbNewsServer_New(const bb_news_server_options_t *options)
{
    bb_news_server_t *server = g_new0(bb_news_server_t, 1);

    server->options = *options;
    return server;
}

void
BbNewsServer_Free(bb_news_server_t *server)
{
    if (server == NULL) {
        return;
    }
    while (server->waiting != NULL) {
        answer_question(server->waiting);
    }
    g_free(server);
}
