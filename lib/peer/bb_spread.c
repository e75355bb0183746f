#include "bb_spread.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "bb_counters.h"
#include "bb_delta.h"
#include "bb_error.h"

#define PULL_RETRY_MS 1000
/* Longest pull timeout in multiples of the initial one. A node that was cut
 * off must be up to date within 6 s of the end of the cut, so its timeout must
 * not be much longer than 2 s. */
#define MAX_RETRY_FACTOR 2
#define FIRST_VERSION_WAIT_MS 2000
#define FIRST_VERSION_REPORTS 3
/* Larger deltas are not kept, so that the log of deltas stays within 1 MiB. */
#define MAX_LOGGED_BYTES (64 * 1024)

typedef struct {
    uint64_t id;
    bool has_reported_version;
    int64_t version;         /* latest one reported or sent by the peer */
    uint64_t digest;         /* of that version */
    uint64_t sent_digest;    /* of the content last sent to the peer; the peer
                                has it unless a message was lost */
    int failures;            /* unanswered pulls and refused versions */
    int64_t content_version; /* last version sent as full content */
    int64_t content_ms;      /* when that was sent */
    UT_hash_handle hh;
} link_t;

/* A delta in the form in which it is sent. */
typedef struct {
    bb_release_t release;
    uint64_t base; /* digest of the content that it changes */
    char *text;
    size_t size;
} delta_t;

struct bb_spread {
    bb_spread_options_t options;
    link_t *links;
    /* Log of the latest deltas, each based on the previous one. */
    delta_t log[BB_SPREAD_MAX_DELTAS];
    size_t log_count;
    int64_t start_ms;
    uint64_t pull_link_id; /* 0 = no pull in progress */
    int64_t pull_ms;
    int64_t pull_timeout_ms; /* current timeout of a pull */
    bool needs_full_content; /* a delta was refused: pull full content */
};

bb_spread_t *
BbSpread_New(const bb_spread_options_t *options, int64_t now_ms)
{
    bb_spread_t *spread = g_new0(bb_spread_t, 1);
    spread->options = *options;
    bb_spread_options_t *set = &spread->options;
    set->pull_retry_ms =
        set->pull_retry_ms ? set->pull_retry_ms : PULL_RETRY_MS;
    set->first_version_wait_ms = set->first_version_wait_ms
                                     ? set->first_version_wait_ms
                                     : FIRST_VERSION_WAIT_MS;
    set->first_version_reports = set->first_version_reports
                                     ? set->first_version_reports
                                     : FIRST_VERSION_REPORTS;
    spread->start_ms = now_ms;
    spread->pull_timeout_ms = set->pull_retry_ms;
    return spread;
}

static void
clear_log(bb_spread_t *spread)
{
    for (size_t i = 0; i < spread->log_count; i++) {
        g_free(spread->log[i].text);
    }
    spread->log_count = 0;
}

void
BbSpread_Free(bb_spread_t *spread)
{
    if (spread == NULL) {
        return;
    }
    while (spread->links != NULL) {
        link_t *link = spread->links;
        HASH_DEL(spread->links, link);
        g_free(link);
    }
    clear_log(spread);
    g_free(spread);
}

static link_t *
find_link(const bb_spread_t *spread, uint64_t id)
{
    link_t *link = NULL;
    HASH_FIND(hh, spread->links, &id, sizeof(id), link);
    return link;
}

static int64_t
own_version(const bb_spread_t *spread)
{
    return BbActiveConfig_GetVersion(spread->options.active_config);
}

static uint64_t
own_digest(const bb_spread_t *spread)
{
    const bb_release_t *release =
        BbActiveConfig_GetRelease(spread->options.active_config);
    return release != NULL ? BbWire_ShortDigest(release->digest) : 0;
}

int64_t
BbSpread_LinkVersion(const bb_spread_t *spread, uint64_t id)
{
    const link_t *link = find_link(spread, id);
    return link != NULL ? link->version : 0;
}

/* ---- sending ---- */

static void
send_own_version(bb_spread_t *spread, uint64_t link, bb_wire_type_t type)
{
    bb_wire_message_t message = {.type = type,
                                 .version = own_version(spread),
                                 .config_digest = own_digest(spread)};
    spread->options.send(link, &message, spread->options.arg);
}

static void
send_delta(bb_spread_t *spread, link_t *link, const delta_t *delta)
{
    bb_wire_message_t message = {.type = BB_WIRE_DELTA,
                                 .release = delta->release,
                                 .text = delta->text,
                                 .text_size = delta->size};
    link->sent_digest = BbWire_ShortDigest(delta->release.digest);
    BbCounters_Add(BB_COUNTER_SPREAD_DELTA_SENT, 1);
    spread->options.send(link->id, &message, spread->options.arg);
}

/* Sends the full content. A repeated request within half the initial pull
 * timeout is a duplicate and gets no response. */
static void
send_content(bb_spread_t *spread, link_t *link, int64_t now_ms)
{
    bb_wire_message_t message = {
        .type = BB_WIRE_CONTENT,
        .release = *BbActiveConfig_GetRelease(spread->options.active_config)};
    if (link->content_version == message.release.version &&
        now_ms - link->content_ms < spread->options.pull_retry_ms / 2) {
        return;
    }
    link->content_version = message.release.version;
    link->content_ms = now_ms;
    link->sent_digest = own_digest(spread);
    message.text = BbConfig_CanonicalText(
        BbActiveConfig_GetConfig(spread->options.active_config),
        &message.text_size);
    BbCounters_Add(BB_COUNTER_SPREAD_CONTENT_SENT, 1);
    spread->options.send(link->id, &message, spread->options.arg);
}

/* Appends a delta to the log. Clears the log first when the delta is not based
 * on the last one in it. Takes ownership of text. */
static const delta_t *
append_to_log(bb_spread_t *spread, uint64_t base, char *text, size_t size)
{
    size_t count = spread->log_count;
    if (count > 0 &&
        BbWire_ShortDigest(spread->log[count - 1].release.digest) != base) {
        clear_log(spread);
    }
    if (spread->log_count == BB_SPREAD_MAX_DELTAS) {
        g_free(spread->log[0].text);
        spread->log_count--;
        memmove(&spread->log[0], &spread->log[1],
                spread->log_count * sizeof(spread->log[0]));
    }
    delta_t *delta = &spread->log[spread->log_count++];
    *delta =
        (delta_t){*BbActiveConfig_GetRelease(spread->options.active_config),
                  base, text, size};
    return delta;
}

static const delta_t *
make_delta(bb_spread_t *spread, const bb_config_t *base)
{
    bb_config_t *config =
        BbActiveConfig_GetConfig(spread->options.active_config);
    json_t *object = BbDelta_Make(base, config);
    char *text = json_dumps(object, JSON_COMPACT | JSON_SORT_KEYS);
    size_t size = strlen(text);
    json_decref(object);
    const delta_t *delta = NULL;
    if (size <= MAX_LOGGED_BYTES) {
        delta =
            append_to_log(spread, BbWire_ShortDigest(BbConfig_Digest(base)),
                          g_strdup(text), size);
    }
    else {
        clear_log(spread);
    }
    free(text);
    return delta;
}

/* Forwards a version that was just swapped in to all links but from. delta may
 * be NULL. */
static void
forward_version(bb_spread_t *spread, const delta_t *delta, uint64_t from)
{
    bool is_push = spread->options.mode == BB_SPREAD_PUSH && delta != NULL &&
                   delta->size <= BB_MAX_PUSH_BYTES;
    for (link_t *link = spread->links; link != NULL; link = link->hh.next) {
        if (link->id == from || link->version >= own_version(spread)) {
            continue;
        }
        if (is_push && (link->digest == delta->base ||
                        link->sent_digest == delta->base)) {
            send_delta(spread, link, delta);
        }
        else {
            send_own_version(spread, link->id, BB_WIRE_ADVERTISE);
        }
    }
}

/* ---- pulls ---- */

/* The link to pull from: fewest failures first, then the highest version. */
static link_t *
choose_source(const bb_spread_t *spread)
{
    link_t *best = NULL;
    int64_t current_version = own_version(spread);
    for (link_t *link = spread->links; link != NULL; link = link->hh.next) {
        if (link->version <= current_version) {
            continue;
        }
        if (best == NULL || link->failures < best->failures ||
            (link->failures == best->failures &&
             link->version > best->version)) {
            best = link;
        }
    }
    return best;
}

/* A node without a version first waits for several neighbours to report
 * theirs, so that it does not start with the old version of one that lags. */
static bool
may_pull(const bb_spread_t *spread, int64_t now_ms)
{
    size_t reports = 0;
    if (own_version(spread) > 0 ||
        now_ms - spread->start_ms >= spread->options.first_version_wait_ms) {
        return true;
    }
    for (link_t *link = spread->links; link != NULL; link = link->hh.next) {
        reports += link->has_reported_version;
    }
    return reports >= spread->options.first_version_reports;
}

static void
start_pull(bb_spread_t *spread, int64_t now_ms)
{
    link_t *source = choose_source(spread);
    spread->pull_link_id = 0;
    if (source == NULL || !may_pull(spread, now_ms)) {
        return;
    }
    bb_wire_message_t message = {
        .type = BB_WIRE_PULL,
        .version = own_version(spread),
        .config_digest = spread->needs_full_content ? 0 : own_digest(spread)};
    spread->pull_link_id = source->id;
    spread->pull_ms = now_ms;
    BbCounters_Add(BB_COUNTER_SPREAD_PULL, 1);
    spread->options.send(source->id, &message, spread->options.arg);
}

/* Counts a failure of the pull in progress and starts another one. The same
 * link is chosen again only when no other link with fewer failures has a newer
 * version. */
static void
retry_pull(bb_spread_t *spread, int64_t now_ms)
{
    link_t *link = find_link(spread, spread->pull_link_id);
    if (link != NULL) {
        link->failures++;
    }
    BbCounters_Add(BB_COUNTER_SPREAD_PULL_RETRY, 1);
    spread->pull_timeout_ms =
        MIN(spread->pull_timeout_ms * 2,
            spread->options.pull_retry_ms * MAX_RETRY_FACTOR);
    start_pull(spread, now_ms);
}

void
BbSpread_Tick(bb_spread_t *spread, int64_t now_ms)
{
    if (spread->pull_link_id == 0) {
        start_pull(spread, now_ms);
    }
    else if (now_ms - spread->pull_ms >= spread->pull_timeout_ms) {
        retry_pull(spread, now_ms);
    }
}

/* ---- links ---- */

void
BbSpread_AddLink(bb_spread_t *spread, uint64_t id, int64_t now_ms)
{
    (void)now_ms;
    link_t *link = g_new0(link_t, 1);
    link->id = id;
    HASH_ADD(hh, spread->links, id, sizeof(id), link);
}

void
BbSpread_RemoveLink(bb_spread_t *spread, uint64_t id, int64_t now_ms)
{
    link_t *link = find_link(spread, id);
    if (link == NULL) {
        return;
    }
    HASH_DEL(spread->links, link);
    g_free(link);
    if (spread->pull_link_id == id) {
        start_pull(spread, now_ms);
    }
}

/* ---- versions received ---- */

/* Forwards a version that was swapped in and continues or ends the pull. delta
 * may be NULL. */
static void
finish_swap(bb_spread_t *spread, const delta_t *delta, uint64_t from,
            int64_t now_ms)
{
    const link_t *source = find_link(spread, from);
    spread->needs_full_content = false;
    spread->pull_timeout_ms = spread->options.pull_retry_ms;
    forward_version(spread, delta, from);
    if (source != NULL && from == spread->pull_link_id &&
        source->version > own_version(spread)) {
        spread->pull_ms = now_ms; /* more deltas of this pull follow */
        return;
    }
    start_pull(spread, now_ms);
}

/* Offers full content to bb_active_config. from is the link, 0 for the
 * platform. */
static int
offer_content(bb_spread_t *spread, const bb_release_t *release,
              const char *text, size_t size, bb_findings_t *findings,
              uint64_t from, int64_t now_ms)
{
    bb_config_t *base =
        BbActiveConfig_GetConfig(spread->options.active_config);
    base = base != NULL ? BbConfig_Ref(base) : NULL;
    int error = BbActiveConfig_Apply(spread->options.active_config, release,
                                     text, size, findings);
    if (error == 0) {
        const delta_t *delta = base != NULL ? make_delta(spread, base) : NULL;
        finish_swap(spread, delta, from, now_ms);
    }
    if (base != NULL) {
        BbConfig_Unref(base);
    }
    return error;
}

int
BbSpread_Offer(bb_spread_t *spread, const bb_release_t *release,
               const char *text, size_t size, bb_findings_t *findings,
               int64_t now_ms)
{
    return offer_content(spread, release, text, size, findings, 0, now_ms);
}

/* Offers a delta received from a peer to bb_active_config. */
static int
offer_delta(bb_spread_t *spread, uint64_t from,
            const bb_wire_message_t *message, bb_findings_t *findings,
            int64_t now_ms)
{
    json_t *object = json_loadb(message->text, message->text_size,
                                JSON_REJECT_DUPLICATES, NULL);
    if (object == NULL) {
        return BB_ERR_PARSE;
    }
    uint64_t base = own_digest(spread);
    int error = BbActiveConfig_ApplyDelta(spread->options.active_config,
                                          &message->release, object, findings);
    json_decref(object);
    if (error == 0) {
        const delta_t *delta = append_to_log(
            spread, base, g_strndup(message->text, message->text_size),
            message->text_size);
        finish_swap(spread, delta, from, now_ms);
    }
    return error;
}

/* Handles a version from a peer that bb_active_config refused. */
static void
handle_refusal(bb_spread_t *spread, link_t *link, bb_wire_type_t type,
               int error, int64_t now_ms)
{
    if (error == BB_ERR_STALE) {
        return;
    }
    if (error != BB_ERR_NOT_FOUND) {
        BbCounters_Add(BB_COUNTER_SPREAD_REFUSED, 1);
        link->failures++;
        spread->needs_full_content |= type == BB_WIRE_DELTA;
    }
    if (spread->pull_link_id == 0) {
        start_pull(spread, now_ms);
    }
}

static void
handle_version(bb_spread_t *spread, link_t *link,
               const bb_wire_message_t *message, int64_t now_ms)
{
    bb_findings_t findings;
    int error;
    int64_t version = message->release.version;
    if (version > link->version) {
        link->version = version;
        link->digest = BbWire_ShortDigest(message->release.digest);
    }
    if (version <= own_version(spread)) {
        BbCounters_Add(BB_COUNTER_SPREAD_DUPLICATE, 1);
        return;
    }
    BbFindings_Init(&findings);
    if (message->type == BB_WIRE_DELTA) {
        error = offer_delta(spread, link->id, message, &findings, now_ms);
    }
    else {
        error = offer_content(spread, &message->release, message->text,
                              message->text_size, &findings, link->id, now_ms);
    }
    BbFindings_Free(&findings);
    if (error == 0) {
        link->failures = 0;
    }
    else {
        handle_refusal(spread, link, message->type, error, now_ms);
    }
}

/* A neighbour reported its version. */
static void
handle_reported_version(bb_spread_t *spread, link_t *link,
                        const bb_wire_message_t *message, int64_t now_ms)
{
    int64_t current_version = own_version(spread);
    link->has_reported_version = true;
    link->version = message->version;
    link->digest = message->config_digest;
    if (current_version > 0 && message->version == current_version &&
        message->config_digest != own_digest(spread)) {
        BbCounters_Add(BB_COUNTER_SPREAD_TWO_DIGESTS, 1);
    }
    const link_t *pull_source = find_link(spread, spread->pull_link_id);
    if (pull_source == NULL || (link->version > current_version &&
                                link->failures < pull_source->failures)) {
        start_pull(spread, now_ms);
    }
}

/* Answers with the deltas that follow the requester's base, or with the full
 * content when those are not kept or the content is smaller. */
static void
handle_pull(bb_spread_t *spread, link_t *link,
            const bb_wire_message_t *message, int64_t now_ms)
{
    size_t first = 0;
    size_t delta_bytes = 0;
    size_t content_bytes;
    if (message->version >= own_version(spread)) {
        return;
    }
    while (first < spread->log_count &&
           spread->log[first].base != message->config_digest) {
        first++;
    }
    for (size_t i = first; i < spread->log_count; i++) {
        delta_bytes += spread->log[i].size + sizeof(bb_release_t);
    }
    BbConfig_CanonicalText(
        BbActiveConfig_GetConfig(spread->options.active_config),
        &content_bytes);
    if (first == spread->log_count || message->config_digest == 0 ||
        delta_bytes > content_bytes + sizeof(bb_release_t)) {
        send_content(spread, link, now_ms);
        return;
    }
    for (size_t i = first; i < spread->log_count; i++) {
        send_delta(spread, link, &spread->log[i]);
    }
}

void
BbSpread_Receive(bb_spread_t *spread, uint64_t id,
                 const bb_wire_message_t *message, int64_t now_ms)
{
    link_t *link = find_link(spread, id);
    if (link == NULL) {
        return;
    }
    switch (message->type) {
    case BB_WIRE_HEARTBEAT:
    case BB_WIRE_ADVERTISE:
        handle_reported_version(spread, link, message, now_ms);
        break;
    case BB_WIRE_PULL:
        handle_pull(spread, link, message, now_ms);
        break;
    case BB_WIRE_DELTA:
    case BB_WIRE_CONTENT:
        handle_version(spread, link, message, now_ms);
        break;
    default:
        break;
    }
}
