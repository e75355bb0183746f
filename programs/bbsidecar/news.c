#include "news.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define NEWS_PATH "/burdockbarrow/news"

/* While the store is lost another node is asked this often. */
#define ASK_INTERVAL_S 0.5

#define ANSWER_TIMEOUT_S 1.0

struct news {
    news_options_t options;
    int64_t version;
    char *text; /* of the configuration */
    bb_h1_exchange_t *exchange;
    int status;
    GByteArray *answer;
    ev_timer ask_timer;
    ev_timer timeout_timer;
};

/* ---- answers to others ---- */

static void
add_node(bb_endpoint_t *endpoint, void *arg)
{
    json_t *nodes = arg;
    json_t *entry = json_pack("{s:s, s:I}", "node", endpoint->node,
                              "revision", (json_int_t)endpoint->revision);

    if (endpoint->is_local || endpoint->revision == 0) {
        json_decref(entry);
        return;
    }
    if (!endpoint->is_removed) {
        char *text = BbNodeRecord_Format(&endpoint->record);
        json_object_set_new(entry, "record", json_string(text));
        g_free(text);
    }
    json_array_append_new(nodes, entry);
}

static int64_t
asked_version(const bb_h1_request_t *request)
{
    const char *query = strchr(request->target->str, '=');
    return query != NULL ? g_ascii_strtoll(query + 1, NULL, 10) : 0;
}

void
News_Answer(news_t *news, bb_h1_request_t *request)
{
    json_t *nodes = json_array();
    json_t *root = json_object();

    BbFleet_ForEach(news->options.fleet, add_node, nodes);
    json_object_set_new(root, "nodes", nodes);
    if (news->text != NULL && news->version > asked_version(request)) {
        json_object_set_new(root, "config", json_string(news->text));
    }
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    BbH1_Respond(request, 200, NULL, text, strlen(text));
    free(text);
}

/* ---- questions ---- */

static void
take_answer(news_t *news)
{
    const news_options_t *options = &news->options;
    json_t *root = json_loadb((const char *)news->answer->data,
                              news->answer->len, 0, NULL);
    const char *config = json_string_value(json_object_get(root, "config"));
    size_t index;
    json_t *entry;

    json_array_foreach(json_object_get(root, "nodes"), index, entry)
    {
        const char *node = json_string_value(json_object_get(entry, "node"));
        const char *record =
            json_string_value(json_object_get(entry, "record"));
        int64_t revision =
            json_integer_value(json_object_get(entry, "revision"));
        if (node != NULL) {
            options->on_node(node, record, record != NULL ? strlen(record) : 0,
                             revision, options->arg);
        }
    }
    if (config != NULL) {
        options->on_config(config, strlen(config), "node", options->arg);
    }
    json_decref(root);
}

static void
handle_head(int status, const bb_h1_fields_t *fields, void *arg)
{
    news_t *news = arg;
    (void)fields;
    news->status = status;
}

static void
handle_data(const char *data, size_t size, void *arg)
{
    news_t *news = arg;
    g_byte_array_append(news->answer, (const guint8 *)data, (guint)size);
}

static void
end_question(news_t *news)
{
    news->exchange = NULL;
    ev_timer_stop(news->options.loop, &news->timeout_timer);
}

static void
handle_end(void *arg)
{
    news_t *news = arg;

    end_question(news);
    if (news->status == 200) {
        take_answer(news);
    }
}

static void
handle_fail(int error, bool is_sent, void *arg)
{
    (void)error;
    (void)is_sent;
    end_question(arg);
}

static const bb_h1_exchange_handler_t exchange_handler = {
    .on_head = handle_head,
    .on_data = handle_data,
    .on_end = handle_end,
    .on_fail = handle_fail,
};

static void
handle_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    news_t *news = timer->data;

    BbH1_Cancel(news->exchange);
    end_question(news);
}

void
News_Fetch(news_t *news, const char *address)
{
    char target[64];
    bb_h1_fields_t fields;

    if (news->exchange != NULL) {
        return;
    }
    g_snprintf(target, sizeof(target), NEWS_PATH "?version=%" PRId64,
               news->version);
    g_byte_array_set_size(news->answer, 0);
    BbH1Fields_Init(&fields);
    BbH1Fields_Add(&fields, "Host", address);
    const bb_h1_exchange_options_t options = {
        .address = address,
        .method = "GET",
        .target = target,
        .fields = &fields,
        .content_length = BB_H1_NO_BODY,
        .max_idle_s = 1.0,
        .handler = &exchange_handler,
        .arg = news,
    };
    news->exchange = BbH1_Start(news->options.client, &options);
    BbH1Fields_Free(&fields);
    ev_timer_set(&news->timeout_timer, ANSWER_TIMEOUT_S, 0.0);
    ev_timer_start(news->options.loop, &news->timeout_timer);
}

static void
collect_address(bb_endpoint_t *endpoint, void *arg)
{
    if (!endpoint->is_local && !endpoint->is_removed) {
        g_ptr_array_add(arg, endpoint->record.address);
    }
}

static void
handle_ask(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    news_t *news = timer->data;
    GPtrArray *addresses = g_ptr_array_new();

    BbFleet_ForEach(news->options.fleet, collect_address, addresses);
    if (addresses->len > 0) {
        int32_t index =
            BbRandom_Below(news->options.random, (int32_t)addresses->len);
        News_Fetch(news, g_ptr_array_index(addresses, index));
    }
    g_ptr_array_unref(addresses);
}

/* ---- life ---- */

news_t *
News_New(const news_options_t *options)
{
    news_t *news = g_new0(news_t, 1);

    news->options = *options;
    news->answer = g_byte_array_new();
    ev_timer_init(&news->ask_timer, handle_ask, ASK_INTERVAL_S,
                  ASK_INTERVAL_S);
    ev_init(&news->timeout_timer, handle_timeout);
    news->ask_timer.data = news;
    news->timeout_timer.data = news;
    return news;
}

void
News_Free(news_t *news)
{
    if (news == NULL) {
        return;
    }
    ev_timer_stop(news->options.loop, &news->ask_timer);
    ev_timer_stop(news->options.loop, &news->timeout_timer);
    if (news->exchange != NULL) {
        BbH1_Cancel(news->exchange);
    }
    g_byte_array_unref(news->answer);
    g_free(news->text);
    g_free(news);
}

void
News_SetConfig(news_t *news, int64_t version, const char *text, size_t size)
{
    char *copy = g_strndup(text, size);

    g_free(news->text);
    news->text = copy;
    news->version = version;
}

void
News_SetStoreLost(news_t *news, bool is_lost)
{
    if (is_lost && !ev_is_active(&news->ask_timer)) {
        ev_timer_set(&news->ask_timer, ASK_INTERVAL_S, ASK_INTERVAL_S);
        ev_timer_start(news->options.loop, &news->ask_timer);
    }
    else if (!is_lost) {
        ev_timer_stop(news->options.loop, &news->ask_timer);
    }
}
