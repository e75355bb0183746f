/*
 * bb_call - retry and response decisions for one call at the caller-side node
 *
 * USE
 *   reason = BbCall_Init(&call, &options, now_ms); refuse unless NONE
 *   For each attempt: BbCall_BeginAttempt(), then BbCall_OnAttempt() with its
 *   result. The decision is to retry, to forward the target's response, or to
 *   answer with a status, outcome and reason.
 *
 * RULES
 *   - A call is retried when no attempt so far can have run it, or when it is
 *     idempotent. Retries end at the deadline, after retry_max of them, or
 *     when the pool's retry budget is used up.
 *   - A call is not retried once response bytes were sent to the caller.
 *   - The outcome covers all attempts: a call whose first attempt may have
 *     run is never answered not-run, whatever the results of later attempts.
 *   - A call with a window key (pool setting once = "window") is retried at
 *     the target chosen by its key, since only that node knows whether the
 *     key has run. It goes to the next target in the order of the key only
 *     when that node refuses with key_moved. When every candidate has done
 *     so, or after BB_MAX_ATTEMPTS - 2 attempts, the last round starts again
 *     at the first one, and Burdock-Key-Last tells the nodes that one of them
 *     has to take the call.
 */
#ifndef BB_CALL_H
#define BB_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bb_config.h"
#include "bb_random.h"
#include "bb_reason.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_HEADER_CALL "Burdock-Call"
#define BB_HEADER_ATTEMPT "Burdock-Attempt"
#define BB_HEADER_DEADLINE "Burdock-Deadline-Ms"
#define BB_HEADER_HOP "Burdock-Hop"
#define BB_HEADER_POOL "Burdock-Pool"
#define BB_HEADER_KEY "Idempotency-Key"
#define BB_HEADER_OUTCOME "Burdock-Outcome"
#define BB_HEADER_REASON "Burdock-Reason"
#define BB_HEADER_STATUS "Burdock-Status" /* of the first run, if it ran */
#define BB_HEADER_LOAD "Burdock-Load"     /* running + queued at the target */
/* "1" when the call is not idempotent. Sent so that the target-side node does
 * not look the route up again, possibly in another configuration version. */
#define BB_HEADER_ONCE "Burdock-Once"
/* "1" on attempts of the last round, after the candidates have refused the
 * window key with key_moved; see bb_once_call_t.is_last_round. */
#define BB_HEADER_KEY_LAST "Burdock-Key-Last"

#define BB_CALL_ID_HEX_LENGTH 32
#define BB_MAX_KEY_LENGTH 255
#define BB_MAX_DEADLINE_MS 600000
#define BB_MAX_ATTEMPTS 8 /* the first, retries, those after key_moved */
/* No retry begins with less time left: it could only time out. */
#define BB_MIN_ATTEMPT_MS 2

/* ---- parsing of caller headers and hop headers ---- */

/*
 * Functions that return bb_reason_t return BB_REASON_NONE or the reason named
 * with them. text NULL means that the header is absent. Numbers consist of
 * decimal digits only: a sign, blank or fraction is refused.
 */

/* Reads 1 to BB_MAX_DEADLINE_MS; larger values are lowered to it. *out is 0
 * when the header is absent. Returns BAD_DEADLINE, or DEADLINE_PASSED for
 * "0". */
bb_reason_t BbCall_ParseDeadline(const char *text, int64_t *out);

/* Accepts 1 to BB_MAX_KEY_LENGTH visible ASCII characters; otherwise BAD_KEY.
 */
bb_reason_t BbCall_CheckKey(const char *text);

/* Values of the hop headers received from another node. */
typedef struct {
    char call_id[BB_CALL_ID_HEX_LENGTH + 1];
    int attempt;
    int64_t deadline_ms; /* milliseconds left */
    char pool[BB_MAX_NAME_LENGTH + 1];
    bool once; /* from Burdock-Once: the call is not idempotent; unlike
                  bb_pool_t.once, which is a mode */
} bb_hop_t;

typedef struct {
    const char *call_id, *attempt, *deadline, *hop, *pool, *once;
} bb_hop_headers_t;

/* Returns BAD_HOP when a header is missing or malformed, except Burdock-Once:
 * without it the call is treated as not idempotent. */
bb_reason_t BbCall_ParseHop(const bb_hop_headers_t *headers, bb_hop_t *out);

/* Value of Burdock-Load in a response; negative when absent or malformed. */
double BbCall_ParseLoad(const char *text);

/* ---- retry budget, one per caller-side node and pool ---- */

/* Tokens added by each call; one retry takes one token. */
#define BB_BUDGET_PER_CALL 0.1
#define BB_BUDGET_MAX 10.0

typedef struct {
    double tokens; /* starts at 0, so that retries never exceed a tenth of
                      the calls, not even among the first calls */
} bb_retry_budget_t;

/* Adds the tokens of one new call. */
void BbRetryBudget_OnCall(bb_retry_budget_t *budget);

/* Takes one token; returns false when less than one is left. */
bool BbRetryBudget_Take(bb_retry_budget_t *budget);

/* ---- one call ---- */

typedef enum {
    BB_ATTEMPT_REFUSED,        /* answered by the target-side node itself,
                                  with Burdock-Outcome and Burdock-Reason */
    BB_ATTEMPT_CONNECT_FAILED, /* no connection */
    BB_ATTEMPT_SEND_FAILED,    /* connection lost before any byte was sent */
    BB_ATTEMPT_BROKEN,         /* connection lost after bytes of the request
                                  were sent, before the response started */
    BB_ATTEMPT_TIMEOUT,        /* deadline passed without a response */
    BB_ATTEMPT_STALLED,        /* no byte sent or received for stall_ms */
    BB_ATTEMPT_RESPONSE,       /* the target's response started */
} bb_attempt_result_t;

typedef struct {
    bb_attempt_result_t result;
    bb_outcome_t outcome; /* REFUSED: from Burdock-Outcome */
    bb_reason_t reason;   /* REFUSED: from Burdock-Reason */
    int status;           /* REFUSED with outcome ran: Burdock-Status */
    bool can_resend;      /* all body bytes sent so far are still buffered */
} bb_attempt_report_t;

typedef enum {
    BB_CALL_RETRY,    /* after delay_ms */
    BB_CALL_FORWARD,  /* forward the target's response to the caller */
    BB_CALL_RESPOND,  /* answer with status, outcome and reason */
    BB_CALL_TRUNCATE, /* the response had begun: close the connection
                         without the end of the body */
} bb_call_action_t;

typedef struct {
    bb_call_action_t action;
    int64_t delay_ms;   /* RETRY */
    bool same_target;   /* RETRY: at the target of this attempt; otherwise add
                           that target to those tried */
    bool is_last_round; /* RETRY: the last round begins: clear the list of
                           targets tried and send Burdock-Key-Last */
    int http_status;    /* RESPOND */
    bb_outcome_t outcome;
    bb_reason_t reason;
    int ran_status; /* RESPOND with outcome ran: value of Burdock-Status */
} bb_call_decision_t;

typedef struct bb_call bb_call_t;

typedef struct {
    const char *name;
    /* Whether the result of the attempt allows a retry; limits are checked
     * separately. */
    bool (*may_retry)(const bb_call_t *call,
                      const bb_attempt_report_t *report);
    bool uses_budget;
} bb_retry_policy_t;

/* Default: retries idempotent calls and calls that cannot have run, within
 * the retry budget. */
const bb_retry_policy_t *BbCall_SafeRetryPolicy(void);

/* Baseline for comparison: retries every failure up to retry_max, without a
 * budget. */
const bb_retry_policy_t *BbCall_AlwaysRetryPolicy(void);

typedef struct {
    const bb_retry_policy_t *policy; /* NULL: BbCall_SafeRetryPolicy() */
    const bb_pool_t *pool;     /* borrowed; of the call's config version */
    int timeout_ms;            /* of the route */
    bool idempotent;           /* BbRoute_IsIdempotent() */
    const char *deadline_text; /* Burdock-Deadline-Ms or NULL */
    const char *key;           /* Idempotency-Key or NULL; borrowed */
    bb_retry_budget_t *budget; /* borrowed */
    bb_random_t *random;       /* borrowed; adds jitter to delays */
} bb_call_options_t;

struct bb_call {
    bb_call_options_t options;
    int64_t deadline_ms;
    int attempt;             /* number of the current attempt, 1 and up */
    int retries;             /* without the attempts that follow key_moved */
    bool maybe_ran;          /* an attempt so far may have run the call */
    bool is_last_round;      /* in the last round: send Burdock-Key-Last */
    bool response_started;   /* a response is being forwarded */
    bb_reason_t last_reason; /* of the last failed attempt */
    bb_reason_t maybe_ran_reason; /* of the first attempt that may have run */
};

/*
 * Checks the caller's input and sets the deadline. Adds to the retry budget.
 * Returns BB_REASON_NONE or the reason for BbCall_Refuse().
 */
bb_reason_t BbCall_Init(bb_call_t *call, const bb_call_options_t *options,
                        int64_t now_ms);

/* Response for a call that is refused before its first attempt. */
bb_call_decision_t BbCall_Refuse(bb_reason_t reason);

/* Key for bb_choice_request_t.key; NULL when the choice of the target does
 * not depend on the key. */
const char *BbCall_ChoiceKey(const bb_call_t *call);

/* Milliseconds left, 0 when the deadline has passed. */
int64_t BbCall_Remaining(const bb_call_t *call, int64_t now_ms);

/* Counts the attempt and returns its number for Burdock-Attempt. */
int BbCall_BeginAttempt(bb_call_t *call);

/* Decides what follows from the result of the current attempt. */
bb_call_decision_t BbCall_OnAttempt(bb_call_t *call,
                                    const bb_attempt_report_t *report,
                                    int64_t now_ms);

/*
 * To be called when no candidate is left. Returns true, at most once per
 * call, when the last of them refused a window key with key_moved. The owner
 * then clears the list of targets tried, chooses again and sends
 * Burdock-Key-Last with all further attempts.
 */
bool BbCall_BeginLastRound(bb_call_t *call);

/*
 * Ends a call without a further attempt: no candidate is left (reason
 * NO_LIVE_TARGET) or the deadline passed before an attempt began
 * (DEADLINE_PASSED). The reason of an earlier attempt takes precedence.
 */
bb_call_decision_t BbCall_GiveUp(bb_call_t *call, bb_reason_t reason);

#ifdef __cplusplus
}
#endif

#endif
