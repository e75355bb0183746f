#include "caller.h"

#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "pattern.h"

#define ID_BYTES 16
#define DIGEST_BYTES 32
#define TICK_S 0.001
#define RETRY_DELAY_MS 50
/* Bounds the memory of an open loop against nodes that do not respond. */
#define MAX_IN_FLIGHT 10000

typedef struct {
    crypto_generichash_state digest; /* of the request body so far */
    caller_t *caller;
    char id[2 * ID_BYTES + 1];
    char key[2 * ID_BYTES + 1];
    int64_t due_us; /* open loop: due by the rate; closed loop: started */
    int64_t started_us;
    char lost_attempt[64]; /* see the log in caller.h */
    int attempts;
    size_t node;
    ev_timer retry_timer;
    struct curl_slist *headers;
    uint64_t sent;
    uint64_t received;
    gboolean is_body_wrong;
} call_t;

struct caller {
    caller_options_t options;
    size_t node_count;
    size_t next_node;
    ev_timer timer;
    int64_t start_us;
    int64_t started;
    int64_t expected_size; /* of responses; -1: any */
    int in_flight;
    gboolean is_done;
};

static void start_due_calls(caller_t *caller);

/* ---- requests ---- */

static size_t
send_body(char *out, size_t size, size_t count, void *arg)
{
    call_t *call = arg;
    uint64_t left = (uint64_t)call->caller->options.body_size - call->sent;
    size_t bytes = (size_t)MIN((uint64_t)(size * count), left);

    Pattern_Fill(out, bytes, call->sent, call->id);
    crypto_generichash_update(&call->digest, (const unsigned char *)out,
                              bytes);
    call->sent += bytes;
    return bytes;
}

static size_t
receive_body(char *data, size_t size, size_t count, void *arg)
{
    call_t *call = arg;
    size_t bytes = size * count;

    if (!Pattern_Matches(data, bytes, call->received, call->id)) {
        call->is_body_wrong = TRUE;
    }
    call->received += bytes;
    return bytes;
}

static void
add_header(call_t *call, const char *name, const char *value)
{
    char *line = g_strdup_printf("%s: %s", name, value);

    call->headers = curl_slist_append(call->headers, line);
    g_free(line);
}

static void
add_headers(call_t *call)
{
    const caller_options_t *options = &call->caller->options;

    call->headers = curl_slist_append(NULL, "Expect:");
    add_header(call, "X-Call", call->id);
    if (options->has_key) {
        add_header(call, "Idempotency-Key", call->key);
    }
    if (options->host != NULL) {
        add_header(call, "Host", options->host);
    }
    if (options->deadline_ms > 0) {
        char value[24];
        g_snprintf(value, sizeof(value), "%" G_GINT64_FORMAT,
                   (gint64)options->deadline_ms);
        add_header(call, "Burdock-Deadline-Ms", value);
    }
}

static gboolean
is_idempotent(const char *method)
{
    return strcmp(method, "POST") != 0 && strcmp(method, "PATCH") != 0;
}

static CURL *
build_easy(call_t *call)
{
    const caller_options_t *options = &call->caller->options;
    CURL *easy = curl_easy_init();
    char *url = g_strdup_printf("http://%s%s", options->nodes[call->node],
                                options->path);

    add_headers(call);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)options->timeout_ms);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, receive_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
    if (strcmp(options->method, "HEAD") == 0) {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    else if (options->body_size > 0 || !is_idempotent(options->method)) {
        curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, send_body);
        curl_easy_setopt(easy, CURLOPT_READDATA, call);
        curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
                         (curl_off_t)options->body_size);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, options->method);
    if (!is_idempotent(options->method)) {
        /* On a reused connection that closes before the first byte of the
         * response, libcurl would repeat the call by itself. */
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    g_free(url);
    return easy;
}

/* ---- results ---- */

typedef struct {
    char status[32]; /* HTTP status or name of a transport error */
    long code;       /* HTTP status, 0 without a complete response */
    char outcome[16];
    char reason[64];
    char target[32];
    gboolean is_connect_refused;
} result_t;

static const char *
name_transport_error(CURLcode code)
{
    switch (code) {
    case CURLE_COULDNT_CONNECT:
        return "refused";
    case CURLE_OPERATION_TIMEDOUT:
        return "timeout";
    case CURLE_PARTIAL_FILE:
        return "truncated";
    case CURLE_GOT_NOTHING:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
        return "closed";
    default:
        return curl_easy_strerror(code);
    }
}

static void
copy_header(CURL *easy, const char *name, char *out, size_t size)
{
    struct curl_header *header;

    g_strlcpy(out, "-", size);
    if (curl_easy_header(easy, name, 0, CURLH_HEADER, -1, &header) ==
        CURLHE_OK) {
        g_strlcpy(out, header->value, size);
    }
}

static void
read_result(CURL *easy, CURLcode code, result_t *result)
{
    memset(result, 0, sizeof(*result));
    copy_header(easy, "Burdock-Outcome", result->outcome,
                sizeof(result->outcome));
    copy_header(easy, "Burdock-Reason", result->reason,
                sizeof(result->reason));
    copy_header(easy, "X-Target", result->target, sizeof(result->target));
    if (code != CURLE_OK) {
        g_strlcpy(result->status, name_transport_error(code),
                  sizeof(result->status));
        result->is_connect_refused = code == CURLE_COULDNT_CONNECT;
        return;
    }
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &result->code);
    g_snprintf(result->status, sizeof(result->status), "%ld", result->code);
}

static gboolean
has_right_digest(CURL *easy, call_t *call)
{
    unsigned char digest[DIGEST_BYTES];
    char wanted[2 * DIGEST_BYTES + 1], got[2 * DIGEST_BYTES + 1];

    crypto_generichash_final(&call->digest, digest, sizeof(digest));
    sodium_bin2hex(wanted, sizeof(wanted), digest, sizeof(digest));
    copy_header(easy, "X-Body-Digest", got, sizeof(got));
    return strcmp(wanted, got) == 0;
}

/* Checks a complete 200 response and counts each check that fails. "crossed"
 * is the response of another call; its body is not checked. */
static void
check_response(CURL *easy, call_t *call)
{
    const caller_t *caller = call->caller;
    report_t *report = caller->options.report;
    char id[sizeof(call->id)];

    copy_header(easy, "X-Call", id, sizeof(id));
    if (strcmp(id, call->id) != 0) {
        Report_Count(report, REPORT_CHECK, "crossed");
        return;
    }
    if (call->is_body_wrong) {
        Report_Count(report, REPORT_CHECK, "body");
    }
    if (caller->expected_size >= 0 &&
        strcmp(caller->options.method, "HEAD") != 0 &&
        call->received != (uint64_t)caller->expected_size) {
        Report_Count(report, REPORT_CHECK, "size");
    }
    if (!has_right_digest(easy, call)) {
        Report_Count(report, REPORT_CHECK, "digest");
    }
}

static gboolean
was_not_run(const result_t *result)
{
    return result->is_connect_refused ||
           strcmp(result->outcome, "not-run") == 0;
}

static gboolean
may_retry(const call_t *call, const result_t *result)
{
    const caller_options_t *options = &call->caller->options;
    gboolean is_not_run = was_not_run(result);
    gboolean is_failed = is_not_run || result->code == 0 ||
                         result->code >= 500 ||
                         strcmp(result->outcome, "unknown") == 0;

    return is_failed && call->attempts <= options->max_retries &&
           (is_not_run || options->has_key || is_idempotent(options->method));
}

static void
log_call(const call_t *call, const result_t *result, int64_t latency_us)
{
    FILE *log = call->caller->options.log;

    if (log == NULL) {
        return;
    }
    json_t *object = json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:f, s:s}", "id", call->id, "key",
        call->caller->options.has_key ? call->key : "", "status",
        result->status, "outcome", result->outcome, "reason", result->reason,
        "target", result->target, "attempts", call->attempts, "latency_ms",
        (double)latency_us / 1000.0, "lost_attempt", call->lost_attempt);
    json_dumpf(object, log, JSON_COMPACT);
    fputc('\n', log);
    json_decref(object);
}

static void
end_call(call_t *call, const result_t *result)
{
    caller_t *caller = call->caller;
    report_t *report = caller->options.report;
    int64_t now_us = g_get_monotonic_time();
    int64_t latency_us = now_us - call->due_us;

    Report_Count(report, REPORT_STATUS, result->status);
    Report_Count(report, REPORT_OUTCOME, result->outcome);
    Report_Count(report, REPORT_REASON, result->reason);
    Report_AddCall(report, call->attempts);
    if (result->code / 100 == 2) {
        Report_AddLatency(report, latency_us, now_us - call->started_us);
    }
    log_call(call, result, latency_us);
    free(call);
    caller->in_flight--;
    start_due_calls(caller);
}

/* ---- attempts ---- */

static void begin_attempt(call_t *call);

static void
finish_attempt(CURL *easy, CURLcode code, void *arg)
{
    call_t *call = arg;
    caller_t *caller = call->caller;
    result_t result;

    read_result(easy, code, &result);
    if (result.code == 200) {
        check_response(easy, call);
    }
    curl_easy_cleanup(easy);
    curl_slist_free_all(call->headers);
    call->headers = NULL;
    if (!may_retry(call, &result)) {
        end_call(call, &result);
        return;
    }
    if (!was_not_run(&result) && call->lost_attempt[0] == '\0') {
        g_snprintf(call->lost_attempt, sizeof(call->lost_attempt), "%s %s %s",
                   result.status, result.outcome, result.reason);
    }
    call->node = (call->node + 1) % caller->node_count;
    int64_t delay_ms = BbRandom_Jitter(caller->options.random, RETRY_DELAY_MS);
    ev_timer_set(&call->retry_timer, (double)delay_ms / 1000.0, 0.0);
    ev_timer_start(caller->options.loop, &call->retry_timer);
}

static void
begin_attempt(call_t *call)
{
    CURL *easy = build_easy(call);

    call->attempts++;
    call->sent = 0;
    call->received = 0;
    call->is_body_wrong = FALSE;
    crypto_generichash_init(&call->digest, NULL, 0, DIGEST_BYTES);
    if (BbCurl_Start(call->caller->options.curl, easy, finish_attempt, call) !=
        0) {
        g_error("libcurl cannot start a transfer");
    }
}

static void
handle_retry(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    begin_attempt(timer->data);
}

static void
generate_id(char *out)
{
    unsigned char bytes[ID_BYTES];

    randombytes_buf(bytes, sizeof(bytes));
    sodium_bin2hex(out, 2 * ID_BYTES + 1, bytes, sizeof(bytes));
}

static void
start_call(caller_t *caller, int64_t due_us)
{
    call_t *call = aligned_alloc(_Alignof(call_t), sizeof(call_t));

    memset(call, 0, sizeof(*call));
    call->caller = caller;
    call->due_us = due_us;
    call->started_us = g_get_monotonic_time();
    call->node = caller->next_node++ % caller->node_count;
    generate_id(call->id);
    generate_id(call->key);
    ev_init(&call->retry_timer, handle_retry);
    call->retry_timer.data = call;
    caller->in_flight++;
    begin_attempt(call);
}

/* ---- load ---- */

static gboolean
is_load_over(const caller_t *caller, int64_t now_us)
{
    const caller_options_t *options = &caller->options;

    return now_us >= caller->start_us + options->duration_ms * 1000 ||
           (options->max_calls > 0 && caller->started >= options->max_calls);
}

/* Returns the time at which the next call of the open loop is due. */
static int64_t
find_due_us(const caller_t *caller)
{
    return caller->start_us +
           (int64_t)((double)caller->started * 1e6 / caller->options.rate);
}

static void
start_open_loop(caller_t *caller, int64_t now_us)
{
    int64_t due_us = find_due_us(caller);

    while (due_us <= now_us && !is_load_over(caller, due_us)) {
        caller->started++;
        if (caller->in_flight < MAX_IN_FLIGHT) {
            start_call(caller, due_us);
        }
        else {
            Report_AddSkipped(caller->options.report);
        }
        due_us = find_due_us(caller);
    }
}

static void
start_closed_loop(caller_t *caller, int64_t now_us)
{
    while (caller->in_flight < caller->options.concurrency &&
           !is_load_over(caller, now_us)) {
        caller->started++;
        start_call(caller, now_us);
    }
}

static void
start_due_calls(caller_t *caller)
{
    int64_t now_us = g_get_monotonic_time();

    if (caller->options.rate > 0) {
        start_open_loop(caller, now_us);
    }
    else {
        start_closed_loop(caller, now_us);
    }
    if (caller->in_flight == 0 && is_load_over(caller, now_us) &&
        !caller->is_done) {
        caller->is_done = TRUE;
        ev_timer_stop(caller->options.loop, &caller->timer);
        caller->options.done(caller->options.arg);
    }
}

static void
handle_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    start_due_calls(timer->data);
}

static int64_t
parse_expected_size(const char *path)
{
    const char *size = strstr(path, "size=");

    return size != NULL ? g_ascii_strtoll(size + strlen("size="), NULL, 10)
                        : -1;
}

caller_t *
Caller_New(const caller_options_t *options)
{
    caller_t *caller = g_new0(caller_t, 1);
    caller->options = *options;
    while (options->nodes[caller->node_count] != NULL) {
        caller->node_count++;
    }
    caller->next_node =
        (size_t)BbRandom_Below(options->random, (int32_t)caller->node_count);
    caller->expected_size = parse_expected_size(options->path);
    caller->start_us = g_get_monotonic_time();
    ev_timer_init(&caller->timer, handle_tick, 0.0, TICK_S);
    caller->timer.data = caller;
    ev_timer_start(options->loop, &caller->timer);
    return caller;
}

void
Caller_Free(caller_t *caller)
{
    ev_timer_stop(caller->options.loop, &caller->timer);
    g_free(caller);
}
