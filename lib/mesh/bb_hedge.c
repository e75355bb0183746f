#include "bb_hedge.h"

#include <glib.h>

#include "bb_name_table.h"

/* Share of the responses of a class that are late. With 0.05 the second
 * attempt often begins too late to end within the target latency. */
#define LATE_SHARE 0.08

/* The estimate moves by this share of itself per response, times the distance
 * of the response's rank from the percentile. With it, 100 responses that are
 * twice as slow as before raise it by a half. */
#define STEP 0.1

/* Larger steps of the first responses, until the estimate is about right. */
#define FIRST_STEP 1.0

/* Responses before the estimate is used. */
#define MIN_RESPONSES 40

/* A second attempt before that costs more than it saves. */
#define MIN_DELAY_S 0.02

/* Share of the calls of a class that may be hedged, and the number of calls
 * that may be hedged at once after a calm period. */
#define MAX_SHARE 0.03
#define MAX_TOKENS 2.0

/* Time after a refusal for lack of capacity in which the service counts as
 * short of it. */
#define SHORT_S 1.0

#define MAX_CLASSES 256
#define MAX_SERVICES 256

typedef struct {
    double late_s; /* estimated percentile */
    int responses;
    double tokens;
} class_state_t;

struct bb_hedge {
    GHashTable *classes;  /* name to class_state_t */
    GHashTable *refusals; /* service to double, time of the last one */
};

bb_hedge_t *
BbHedge_New(void)
{
    bb_hedge_t *hedge = g_new0(bb_hedge_t, 1);

    hedge->classes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    hedge->refusals =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return hedge;
}

void
BbHedge_Free(bb_hedge_t *hedge)
{
    if (hedge != NULL) {
        g_hash_table_destroy(hedge->classes);
        g_hash_table_destroy(hedge->refusals);
        g_free(hedge);
    }
}

static class_state_t *
find_or_add_class(bb_hedge_t *hedge, const char *name)
{
    return BbNameTable_Get(hedge->classes, name, sizeof(class_state_t),
                           MAX_CLASSES);
}

void
BbHedge_OnCall(bb_hedge_t *hedge, const char *class_name)
{
    class_state_t *state = find_or_add_class(hedge, class_name);

    state->tokens = MIN(state->tokens + MAX_SHARE, MAX_TOKENS);
}

void
BbHedge_OnResponse(bb_hedge_t *hedge, const char *class_name, double took_s)
{
    class_state_t *state = find_or_add_class(hedge, class_name);

    if (state->responses == 0) {
        state->late_s = took_s;
    }
    double step =
        MAX(STEP, FIRST_STEP * (1.0 - 1.0 * state->responses / MIN_RESPONSES));
    state->late_s *= took_s > state->late_s ? 1.0 + step * (1.0 - LATE_SHARE)
                                            : 1.0 - step * LATE_SHARE;
    state->responses = MIN(state->responses + 1, MIN_RESPONSES);
}

void
BbHedge_OnRefusal(bb_hedge_t *hedge, const char *service, double now)
{
    double *at = g_new(double, 1);

    *at = now;
    if (g_hash_table_size(hedge->refusals) >= MAX_SERVICES) {
        g_hash_table_remove_all(hedge->refusals);
    }
    g_hash_table_replace(hedge->refusals, g_strdup(service), at);
}

double
BbHedge_Delay(const bb_hedge_t *hedge, const char *class_name)
{
    const class_state_t *state =
        g_hash_table_lookup(hedge->classes, class_name);

    return state != NULL && state->responses >= MIN_RESPONSES
               ? MAX(state->late_s, MIN_DELAY_S)
               : 0;
}

bool
BbHedge_Take(bb_hedge_t *hedge, const bb_hedge_request_t *request, double now)
{
    class_state_t *state = find_or_add_class(hedge, request->class_name);
    const double *refused_at =
        g_hash_table_lookup(hedge->refusals, request->service);
    bool is_short = refused_at != NULL && now - *refused_at < SHORT_S;

    if (is_short || !request->has_room || state->tokens < 1.0 ||
        now + request->predicted_s > request->due_at) {
        return false;
    }
    state->tokens -= 1.0;
    return true;
}
