#include "bb_news_client.h"
#include "bb_clock.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "bb_h1_fetch.h"
#include "bb_news_server.h"

/* A question waits this long at the reader. */
#define WAIT_S 1.0

/* Time for the answer beyond that: a delta on a slow link. */
#define ANSWER_S 0.8

/* Without an answer for this long the readers are taken to be lost. */
#define FED_S 1.5

/* The same for the first answer after the role of this node has changed. */
#define FIRST_FED_S 0.8

/* A reader that failed is not asked for this long, nor by a node that holds no
 * version: after a loss of power its readers start at the same time. */
#define PASS_OVER_S 2.0
#define PASS_OVER_START_S 0.2

#define CHECK_S 0.1

/* A version heard of is asked for after this time; at once by a node that
 * holds none. */
#define HINT_S 0.4

/* While the store is lost a random node is asked this often. */
#define GOSSIP_S 0.3

typedef struct {
    bb_news_client_t *owner;
    char *address; /* NULL while no question is open */
    bb_h1_fetch_t *fetch;
    bool is_hint; /* asked for one version, not a subscription */
} question_t;

struct bb_news_client {
    bb_news_client_options_t options;
    char *data_centre;
    bb_news_scope_t scope;
    bool is_fed;
    double fed_at;
    double answered_at; /* by a reader, connected or not; 0 before the first */
    question_t questions[BB_NEWS_SUBSCRIPTIONS + 1]; /* the last for hints */
    GHashTable *passed_over; /* address to double, the time it ends */
    ev_timer check_timer;
    int64_t hint_version;
    double hint_at;
    char *hint_address;
    char *address;
    bool is_store_lost;
    double gossip_at;
};

static double
now_of(const bb_news_client_t *client)
{
    return BbClock_Now(client->options.loop);
}

static bool
holds_none(const bb_news_client_t *client)
{
    return BbVersions_Newest(client->options.versions) == 0;
}

/* ---- answers ---- */

static void
take_nodes(bb_news_client_t *client, const json_t *root)
{
    const bb_news_client_options_t *options = &client->options;
    size_t index;
    json_t *entry;

    json_array_foreach (json_object_get(root, "nodes"), index, entry) {
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
    options->on_revision(json_integer_value(json_object_get(root, "revision")),
                         options->arg);
}

static void
take_config(bb_news_client_t *client, const json_t *root)
{
    const bb_news_client_options_t *options = &client->options;
    const char *encoded = json_string_value(json_object_get(root, "delta"));
    json_int_t text_size = json_integer_value(json_object_get(root, "size"));
    gsize size;

    if (encoded == NULL || text_size <= 0) {
        return;
    }
    guchar *delta = g_base64_decode(encoded, &size);
    char *text = BbVersions_Decode(
        options->versions, json_integer_value(json_object_get(root, "base")),
        delta, size, (size_t)text_size);
    if (text != NULL) {
        options->on_config(text, (size_t)text_size, "node", options->arg);
    }
    g_free(text);
    g_free(delta);
}

static void
set_fed(bb_news_client_t *client, bool is_fed)
{
    if (client->is_fed != is_fed) {
        client->is_fed = is_fed;
        client->options.on_fed(is_fed, client->options.arg);
    }
}

static void
pass_over(bb_news_client_t *client, const char *address)
{
    double *until = g_new(double, 1);
    double pass_over_s = holds_none(client) ? PASS_OVER_START_S : PASS_OVER_S;

    *until = now_of(client) + pass_over_s;
    g_hash_table_replace(client->passed_over, g_strdup(address), until);
}

static void
close_question(question_t *question)
{
    question->fetch = NULL;
    g_clear_pointer(&question->address, g_free);
}

static void fill_questions(bb_news_client_t *client);

static void
take_answer(question_t *question, const bb_h1_fetched_t *fetched)
{
    bb_news_client_t *client = question->owner;
    json_t *root = json_loadb(fetched->body, fetched->size, 0, NULL);
    bool is_connected = json_is_true(json_object_get(root, "connected"));

    if (!question->is_hint && !is_connected) {
        pass_over(client, question->address);
    }
    close_question(question);
    if (root != NULL) {
        take_nodes(client, root);
        take_config(client, root);
    }
    json_decref(root);
    if (!question->is_hint) {
        client->answered_at = now_of(client);
    }
    if (!question->is_hint && is_connected) {
        client->fed_at = now_of(client);
        set_fed(client, client->scope == BB_NEWS_READERS);
    }
}

static void
handle_fetched(const bb_h1_fetched_t *fetched, void *arg)
{
    question_t *question = arg;
    bb_news_client_t *client = question->owner;

    if (fetched->error == 0 && fetched->status == 200) {
        take_answer(question, fetched);
    }
    else {
        pass_over(client, question->address);
        close_question(question);
    }
    fill_questions(client);
}

/* ---- questions ---- */

static void
ask(question_t *question, const char *address, double wait_s)
{
    bb_news_client_t *client = question->owner;
    const bb_news_client_options_t *options = &client->options;
    char target[200];

    g_snprintf(target, sizeof(target),
               BB_NEWS_PATH "?version=%" PRId64 "&revision=%" PRId64
                            "&wait_ms=%d&from=%s",
               BbVersions_Newest(options->versions),
               options->revision(options->arg), (int)(wait_s * 1000),
               client->address);
    question->address = g_strdup(address);
    const bb_h1_fetch_options_t fetch = {
        .loop = options->loop,
        .client = options->client,
        .address = address,
        .method = "GET",
        .target = target,
        .max_idle_s = WAIT_S,
        .timeout_s = wait_s + ANSWER_S,
        .done = handle_fetched,
        .arg = question,
    };
    question->fetch = BbH1Fetch_Start(&fetch);
}

static bool
is_usable(const bb_news_client_t *client, const bb_endpoint_t *endpoint)
{
    const char *address = endpoint->record.address;
    const double *until = g_hash_table_lookup(client->passed_over, address);

    if (client->scope == BB_NEWS_REMOTE &&
        strcmp(endpoint->record.data_centre, client->data_centre) == 0) {
        return false;
    }
    if (until != NULL && *until > now_of(client)) {
        return false;
    }
    for (int i = 0; i < BB_NEWS_SUBSCRIPTIONS; i++) {
        if (g_strcmp0(client->questions[i].address, address) == 0) {
            return false;
        }
    }
    return true;
}

static int
readers_near(const bb_news_client_t *client, const GPtrArray *readers)
{
    int count = 0;

    for (guint i = 0; i < readers->len; i++) {
        const bb_endpoint_t *endpoint = g_ptr_array_index(readers, i);
        count +=
            strcmp(endpoint->record.data_centre, client->data_centre) == 0;
    }
    return count;
}

/* The nodes of a data centre begin at different ones of its readers. */
static const char *
next_reader(const bb_news_client_t *client, const GPtrArray *readers)
{
    guint near = (guint)readers_near(client, readers);
    guint first = near > 0 ? g_str_hash(client->address) % near : 0;

    for (guint i = 0; i < readers->len; i++) {
        guint index = i < near ? (first + i) % near : i;
        const bb_endpoint_t *endpoint = g_ptr_array_index(readers, index);
        if (is_usable(client, endpoint)) {
            return endpoint->record.address;
        }
    }
    return NULL;
}

static int
subscription_count(const bb_news_client_t *client)
{
    switch (client->scope) {
    case BB_NEWS_NONE:
        return 0;
    case BB_NEWS_REMOTE:
        return 1;
    case BB_NEWS_READERS:
        return holds_none(client) ? 1 : BB_NEWS_SUBSCRIPTIONS;
    }
    return 0;
}

static void
fill_questions(bb_news_client_t *client)
{
    int count = subscription_count(client);

    if (count == 0) {
        return;
    }
    const GPtrArray *readers =
        BbReaders_Rank(client->options.readers, client->data_centre);
    for (int i = 0; i < count; i++) {
        question_t *question = &client->questions[i];
        if (question->fetch != NULL) {
            continue;
        }
        const char *address = next_reader(client, readers);
        if (address != NULL) {
            ask(question, address, WAIT_S);
        }
    }
}

static void
check_hint(bb_news_client_t *client)
{
    question_t *question = &client->questions[BB_NEWS_SUBSCRIPTIONS];

    if (client->hint_version <= BbVersions_Newest(client->options.versions)) {
        client->hint_version = 0;
    }
    else if (now_of(client) - client->hint_at >= HINT_S &&
             question->fetch == NULL) {
        client->hint_version = 0;
        ask(question, client->hint_address, 0.0);
    }
}

static void
collect_address(bb_endpoint_t *endpoint, void *arg)
{
    if (!endpoint->is_local && endpoint->record.address != NULL) {
        g_ptr_array_add(arg, endpoint->record.address);
    }
}

static void
ask_random_node(bb_news_client_t *client)
{
    question_t *question = &client->questions[BB_NEWS_SUBSCRIPTIONS];
    GPtrArray *addresses = g_ptr_array_new();

    BbFleet_ForEach(client->options.fleet, collect_address, addresses);
    if (addresses->len > 0 && question->fetch == NULL) {
        int32_t index =
            BbRandom_Below(client->options.random, (int32_t)addresses->len);
        ask(question, g_ptr_array_index(addresses, index), 0.0);
    }
    g_ptr_array_unref(addresses);
}

static void
handle_check(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    bb_news_client_t *client = timer->data;

    if (client->hint_version > 0) {
        check_hint(client);
    }
    if (client->is_store_lost &&
        now_of(client) - client->gossip_at >= GOSSIP_S) {
        client->gossip_at = now_of(client);
        ask_random_node(client);
    }
    fill_questions(client);
    if (client->scope == BB_NEWS_READERS && client->is_fed &&
        now_of(client) - client->fed_at > FED_S) {
        set_fed(client, false);
    }
}

void
BbNewsClient_Hint(bb_news_client_t *client, int64_t version,
                  const char *address)
{
    if (client->hint_version > 0 ||
        version <= BbVersions_Newest(client->options.versions)) {
        return;
    }
    client->hint_version = version;
    client->hint_at = holds_none(client) ? 0 : now_of(client);
    g_free(client->hint_address);
    client->hint_address = g_strdup(address);
}

void
BbNewsClient_SetStoreLost(bb_news_client_t *client, bool is_lost)
{
    client->is_store_lost = is_lost;
}

bool
BbNewsClient_HasAnswers(const bb_news_client_t *client)
{
    return client->answered_at > 0 &&
           now_of(client) - client->answered_at <= FED_S;
}

static void
cancel_question(question_t *question)
{
    if (question->fetch != NULL) {
        BbH1Fetch_Cancel(question->fetch);
        close_question(question);
    }
}

void
BbNewsClient_SetScope(bb_news_client_t *client, bb_news_scope_t scope)
{
    if (client->scope == scope) {
        return;
    }
    client->scope = scope;
    client->is_fed = scope == BB_NEWS_READERS;
    client->fed_at = now_of(client) - FED_S + FIRST_FED_S;
    for (int i = 0; i < BB_NEWS_SUBSCRIPTIONS; i++) {
        cancel_question(&client->questions[i]);
    }
    fill_questions(client);
}

/* ---- life ---- */

bb_news_client_t *
BbNewsClient_New(const bb_news_client_options_t *options)
{
    bb_news_client_t *client = g_new0(bb_news_client_t, 1);

    client->options = *options;
    client->data_centre = g_strdup(options->data_centre);
    client->address = g_strdup(options->address);
    client->passed_over =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (int i = 0; i <= BB_NEWS_SUBSCRIPTIONS; i++) {
        question_t *question = &client->questions[i];
        question->owner = client;
        question->is_hint = i == BB_NEWS_SUBSCRIPTIONS;
    }
    ev_timer_init(&client->check_timer, handle_check, CHECK_S, CHECK_S);
    client->check_timer.data = client;
    ev_timer_start(options->loop, &client->check_timer);
    return client;
}

void
BbNewsClient_Free(bb_news_client_t *client)
{
    if (client == NULL) {
        return;
    }
    ev_timer_stop(client->options.loop, &client->check_timer);
    for (int i = 0; i <= BB_NEWS_SUBSCRIPTIONS; i++) {
        cancel_question(&client->questions[i]);
    }
    g_hash_table_destroy(client->passed_over);
    g_free(client->hint_address);
    g_free(client->data_centre);
    g_free(client->address);
    g_free(client);
}
