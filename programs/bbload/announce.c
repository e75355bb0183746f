#include "announce.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "bb_log.h"

#define INTERVAL_S 1.0
#define TIMEOUT_MS 900

struct announce {
    announce_options_t options;
    ev_timer timer;
    char *url;
    target_state_t sent_state; /* in the last announcement sent */
    int running;               /* announcements sent without a result so far */
    gboolean is_accepted;      /* result of the last announcement */
};

static void
log_acceptance(announce_t *announce, gboolean is_accepted)
{
    if (is_accepted != announce->is_accepted) {
        announce->is_accepted = is_accepted;
        BbLog_Write(BB_LOG_NOTICE, "node %s %s", announce->options.node,
                    is_accepted ? "accepts announcements"
                                : "does not accept announcements");
    }
}

static void
handle_result(const bb_curl_result_t *result, void *arg)
{
    announce_t *announce = arg;
    gboolean is_accepted = result->error == 0 && result->status / 100 == 2;

    announce->running--;
    log_acceptance(announce, is_accepted);
    /* While an announcement is under way, this result may be that of an older
     * one, sent with another state. */
    if (is_accepted && announce->sent_state == STATE_DRAINING &&
        announce->running == 0) {
        announce->options.on_drain_confirmed(announce->options.arg);
    }
}

static char *
format_announcement(const announce_t *announce)
{
    const announce_options_t *options = &announce->options;
    json_t *object =
        json_pack("{s:s, s:s, s:s, s:i, s:i, s:i}", "service",
                  options->service, "address", options->address, "state",
                  Behaviour_StateName(options->behaviour->state), "slots",
                  options->slots, "connections", options->connections, "load",
                  options->get_load(options->arg));
    char *text = json_dumps(object, JSON_COMPACT);

    json_decref(object);
    return text;
}

void
Announce_Send(announce_t *announce)
{
    char *text = format_announcement(announce);
    bb_curl_request_t request = {
        .method = "POST",
        .url = announce->url,
        .body = text,
        .body_size = strlen(text),
        .timeout_ms = TIMEOUT_MS,
        .done = handle_result,
        .arg = announce,
    };

    announce->sent_state = announce->options.behaviour->state;
    if (BbCurl_Request(announce->options.curl, &request) == 0) {
        announce->running++;
    }
    free(text);
}

static void
handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    Announce_Send(timer->data);
}

announce_t *
Announce_New(const announce_options_t *options)
{
    announce_t *announce = g_new0(announce_t, 1);
    announce->options = *options;
    announce->url = g_strdup_printf("http://%s/v1/announce", options->node);
    ev_timer_init(&announce->timer, handle_timer, 0.0, INTERVAL_S);
    announce->timer.data = announce;
    ev_timer_start(options->loop, &announce->timer);
    return announce;
}

void
Announce_Free(announce_t *announce)
{
    if (announce == NULL) {
        return;
    }
    ev_timer_stop(announce->options.loop, &announce->timer);
    g_free(announce->url);
    g_free(announce);
}
