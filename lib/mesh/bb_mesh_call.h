/*
 * bb_mesh_call - state of one call from a caller on this VM
 *
 * Internal to lib/mesh, shared by the files that process a call:
 *   bb_call_io           reads requests: route lookup, deadline, body
 *   bb_mesh_call_attempt chooses nodes, runs attempts, decides on retries
 *   bb_mesh_call_hedge   runs the second attempt of a hedged call
 *   bb_mesh_call_response sends responses, buffered or streamed
 *
 * Times are seconds of BbClock_Now().
 */
#ifndef BB_MESH_CALL_H
#define BB_MESH_CALL_H

#include "bb_call_io.h"

/* An error response because of a deadline is sent this long before it, so
 * that it reaches the caller in time. */
#define BB_RESPONSE_MARGIN_S 0.02

/* A request body is buffered up to this size, so that a retry can send it
 * again. Reading pauses while more than this is buffered. */
#define BB_MAX_BUFFERED_BODY_BYTES (1024 * 1024)

typedef struct bb_mesh_call {
    bb_call_io_t *io;
    bb_h1_request_t *request;
    bb_mesh_config_t *config;
    const bb_mesh_route_t *route;
    const char *service; /* chosen from the route's parts; owned by config */
    const bb_account_t *account; /* owned by config; NULL without one */
    uint64_t key_digest;         /* see bb_account.h */
    uint32_t quota_ticket;       /* see bb_call_quota.h */
    bool has_quota_ticket;
    char *call_id;
    bool is_nested; /* in a run at the local target */
    bb_h1_fields_t fields;
    bb_body_t body;
    bb_attempt_request_t attempt_request;
    double arrived_at;
    ev_timer deadline_timer;
    double earlier_tries_s; /* estimated time since the first try */
    /* attempts */
    bb_attempt_t *attempt;   /* running; NULL when there is none */
    bb_endpoint_t *endpoint; /* node of the running attempt */
    bb_hop_load_report_t load_report;
    bb_endpoint_t *tried[BB_PLACEMENT_MAX_TRIED];
    size_t tried_count;
    /* Tried node that may be chosen once more; NULL when there is none. */
    const bb_endpoint_t *retryable;
    int attempts;
    int draining_refusals; /* attempts refused by a draining node or target */
    int full_refusals;     /* attempts refused because no slot was free */
    int targets_reached;   /* attempts that a target may have received */
    bool is_new_turn;      /* part of a roll-out's share of the new version */
    bool may_have_run;     /* at a target; also set once one has responded */
    bb_reason_t last_reason;
    double retry_after_s;
    double attempt_started_at;
    ev_timer hedge_timer;
    struct bb_hedge_attempt *hedge; /* second attempt of a hedged call */
    bool has_failed_response; /* the first attempt ended with status 5xx while
                                 the second one was running */
    /* response */
    int status;
    bb_h1_fields_t response_fields;
    GByteArray *response_body;
    int64_t response_length;
    size_t response_bytes; /* received so far */
    bool is_streaming;     /* head already sent, body not buffered */
    struct bb_mesh_call *prev, *next;
} bb_mesh_call_t;

struct bb_call_io {
    bb_call_io_options_t options;
    bb_call_quota_t quota; /* admit is NULL without quotas */
    char *data_centre;
    char *service;
    bb_h1_server_t *server;
    bb_mesh_config_t *config;
    bb_mesh_call_t *calls;
    int call_count;
    double last_call_at;
    bool is_draining;
    bool is_refusing;
    bool is_ending; /* the process is about to exit: no more attempts */
    GHashTable *longest_deadlines; /* by route name, in seconds */
    bb_link_sizes_t *sizes;        /* of responses, by route name */
    GHashTable *room_expected_at;  /* by route name, from refusals */
};

/* ---- bb_call_io ---- */

double BbMeshCall_Now(const bb_mesh_call_t *call);

/* Returns the number that a table keeps for the call's route, 0 at first. A
 * table with many routes, left by earlier configurations, starts anew. */
double *BbMeshCall_RouteNumber(const bb_mesh_call_t *call, GHashTable *table);

/* Frees a call that has been answered or whose caller has disconnected. */
void BbMeshCall_Free(bb_mesh_call_t *call);

/* ---- bb_mesh_call_attempt ---- */

/* Starts the next attempt, or sends an error response when no node is
 * available. */
void BbMeshCall_StartNextAttempt(bb_mesh_call_t *call);

/* Reports the outcome of an attempt at the node to bb_placement, with the load
 * report that came with its response, and releases the node. */
void BbMeshCall_ReleaseEndpoint(const bb_mesh_call_t *call,
                                bb_endpoint_t *endpoint,
                                const bb_hop_load_report_t *report,
                                bb_attempt_outcome_t outcome);

/* Ends the running attempt, if any, and reports its outcome to
 * bb_placement. */
void BbMeshCall_EndAttempt(bb_mesh_call_t *call, bb_attempt_outcome_t outcome);

/* Ends a call that may take no more time, because of its deadline or because
 * the node shuts down: cancels the running attempt and sends an error. */
void BbMeshCall_TimeOut(bb_mesh_call_t *call, bb_attempt_outcome_t outcome);

/* Opens an attempt. Returns BB_REASON_NONE and sets *attempt, or the reason
 * for which the local target does not take the call. */
bb_reason_t BbMeshCall_OpenAttempt(bb_mesh_call_t *call,
                                   bb_endpoint_t *endpoint,
                                   const bb_attempt_handler_t *handler,
                                   void *arg, bb_hop_load_report_t *report,
                                   double *retry_after_s,
                                   bb_attempt_t **attempt);

/* Logs that an attempt is sent to the node. */
void BbMeshCall_LogPlaced(const bb_mesh_call_t *call,
                          const bb_endpoint_t *endpoint);

/* Chooses the node of the next attempt; NULL when none is left. */
bb_endpoint_t *BbMeshCall_ChooseEndpoint(bb_mesh_call_t *call, bool *is_full);

/* Applies a refusal by a node to the state of the node and of the call.
 * Returns the outcome of the attempt. */
bb_attempt_outcome_t BbMeshCall_ApplyRefusal(bb_mesh_call_t *call,
                                             bb_endpoint_t *endpoint,
                                             bb_reason_t reason,
                                             double retry_after_s);

/* Lets the call try the node once more if its attempt there was lost to
 * surplus bytes on a reused connection, which a new connection does not have.
 */
void BbMeshCall_AllowRetry(bb_mesh_call_t *call, const bb_endpoint_t *endpoint,
                           bb_reason_t reason);

/* The call's handler, with the call as argument. */
extern const bb_attempt_handler_t BbMeshCall_Handler;

/* Continues after the last running attempt was refused or lost. */
void BbMeshCall_RetryOrFail(bb_mesh_call_t *call, bb_reason_t reason,
                            bool reached_target);

/* ---- bb_mesh_call_hedge ---- */

/* Schedules the second attempt when the first one has been started. */
void BbMeshCall_ScheduleHedge(bb_mesh_call_t *call);

/* Whether the second attempt is running: a failure of the first one then does
 * not end the call. */
bool BbMeshCall_IsHedged(const bb_mesh_call_t *call);

/* Cancels the second attempt, if any, and its timer. */
void BbMeshCall_CancelHedge(bb_mesh_call_t *call);

/* ---- bb_mesh_call_response ---- */

/* Name of the node of the last attempt, "" before the first. */
const char *BbMeshCall_PeerName(const bb_mesh_call_t *call);

/* Each of the following functions ends the call and frees it. */
/* Sends an error response of this node. A response that is being streamed is
 * aborted instead. */
void BbMeshCall_RespondError(bb_mesh_call_t *call, int status,
                             bb_reason_t reason);

/* Sends the error response for a call that no attempt has completed: 503 when
 * it has certainly not run, else 504 on a timeout and 502 otherwise. */
void BbMeshCall_Fail(bb_mesh_call_t *call, bb_reason_t reason);

/* Ends a call whose key was removed while it was open: 401 if it has certainly
 * not run. */
void BbMeshCall_RespondRevoked(bb_mesh_call_t *call);

/* Sends the complete response of the target, or ends the streamed one. */
void BbMeshCall_RespondFromTarget(bb_mesh_call_t *call);

#endif
