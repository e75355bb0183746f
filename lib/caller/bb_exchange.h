/*
 * bb_exchange - state of one request received by the proxy
 *
 * Internal to lib/caller. An exchange lasts from the request head to the last
 * byte of the response. It is implemented in these files:
 *
 *   bb_exchange_io     receives the request from the caller or another node
 *   bb_response_io     sends the response
 *   bb_attempt_io      request to another node or to the local target
 *   bb_progress_io     detects stalled streams and closed connections
 *   bb_caller_side_io  route, choice of target, attempts, retries
 *   bb_target_side_io  call id, admission, idempotency key, request to the
 *                      local target
 *   bb_proxy_io        server, timers, drain
 *
 * When the caller side chooses the local target, both roles run in the same
 * exchange.
 *
 * UNITS
 *   Names that end in _ms are milliseconds. Points in time have the clock of
 *   BbProxy_Now().
 */
#ifndef BB_EXCHANGE_H
#define BB_EXCHANGE_H

#include <glib.h>
#include <microhttpd.h>

#include "bb_call.h"
#include "bb_claim_io.h"
#include "bb_http_io.h"
#include "bb_proxy_io.h"
#include "bb_stream.h"
#include "bb_upstream_io.h"

typedef enum {
    BB_PHASE_HEAD,           /* head received; no body byte requested yet */
    BB_PHASE_BODY,           /* the body is being received */
    BB_PHASE_AWAIT_RESPONSE, /* request complete; no response yet */
    BB_PHASE_RESPONSE,       /* the response is queued */
} bb_exchange_phase_t;

typedef struct {
    char *name;
    char *value;
} bb_header_t;

typedef struct bb_exchange bb_exchange_t;

struct bb_exchange {
    bb_proxy_t *proxy;
    bb_exchange_t *prev, *next;
    struct MHD_Connection *connection;
    bb_exchange_phase_t phase;
    bool is_head_checked; /* check_head() has run */
    bool is_suspended;    /* the connection, by BbExchange_Suspend() */
    bool is_closing;      /* no (further) response byte is sent */
    bool is_hop;          /* the request came from another node */

    /* request */
    char *uri; /* path and query as received */
    char method[16];
    int64_t body_bytes; /* Content-Length, or BB_BODY_* */
    int64_t body_received;
    bb_stream_t upload;      /* request body bytes not yet forwarded */
    bool may_receive_body;   /* libmicrohttpd may read the body */
    bool upload_ended;       /* the last body byte was received */
    bool is_discarding_body; /* received body bytes are dropped */
    GByteArray *replay;      /* body bytes already sent, kept for a retry */
    size_t replay_sent;      /* bytes of replay sent in this attempt */
    bool can_resend;         /* replay has all body bytes sent so far */
    int64_t linger_until_ms; /* when to close the connection after an error
                                response written to the socket, else 0 */

    /* response */
    struct MHD_Response *response;
    unsigned int status;
    GArray *headers;      /* bb_header_t, response head from upstream */
    bb_stream_t download; /* response body bytes not yet forwarded */
    bool download_ended;
    bool download_failed;
    bool is_forwarding; /* the target's response is being forwarded */

    /* request to a node or target */
    bb_upstream_t *upstream;
    bool body_requested;     /* libcurl has read from the body */
    bool has_response_head;  /* upstream response head is complete */
    int64_t content_length;  /* of the response, -1 when not announced */
    int64_t forwarded_bytes; /* response body bytes received */
    bool was_refused; /* the response is a refusal by the target-side node */
    int64_t last_progress_ms; /* when a byte was last sent or received */

    /* call */
    bb_config_t *config;
    const bb_pool_t *pool;
    bool is_idempotent;
    int64_t deadline_ms;
    ev_timer deadline_timer;
    char call_id[BB_CALL_ID_HEX_LENGTH + 1];
    int attempt;

    /* caller side */
    bb_call_t call;
    ev_timer retry_timer;
    char address[BB_ADDRESS_TEXT + 1]; /* chosen for the current attempt */
    bool is_balancer_attempt_open;     /* BbBalancer_BeginAttempt() was
                                          called, BbBalancer_EndAttempt() was
                                          not */
    double load; /* reported by the target-side node, negative when absent */
    char tried[BB_BALANCER_MAX_TRIED][BB_ADDRESS_TEXT + 1];
    size_t tried_count;

    /* target side */
    bool is_target_side;
    bb_ticket_t ticket;
    bool is_once_entry_open; /* BbOnce_Begin() was called, neither
                                BbOnce_Refuse() nor BbOnce_End() was */
    bb_claim_io_t *claim;
    bool is_last_round;          /* see bb_once_call_t.is_last_round */
    bb_reason_t not_sent_reason; /* reported once the claim is released */
    bool is_claimed;             /* the claim is stored and the call may run */
};

struct bb_proxy {
    bb_proxy_options_t options;
    char *address;
    bb_mhd_t *mhd;
    bb_upstream_pool_t *upstreams;
    bb_exchange_t *exchanges;
    int exchange_count;
    GHashTable *budgets; /* pool name -> bb_retry_budget_t */
    ev_timer sweep_timer;
    ev_timer queue_timer;
    ev_timer drain_timer;
    bool is_draining;
    bool is_stopping;
    void (*drain_done)(void *arg);
    void *drain_arg;
};

/* ---- bb_proxy_io ---- */

/* Monotonic time in milliseconds. */
int64_t BbProxy_Now(void);

/* Starts or refuses queued calls, for example after a slot became free. */
void BbProxy_ProcessQueue(bb_proxy_t *proxy);

/* Sets the queue timer to the next event of admission control. */
void BbProxy_ArmQueueTimer(bb_proxy_t *proxy);

/* Add to and remove from the proxy's list. Start and stop the sweep timer. */
void BbProxy_AddExchange(bb_proxy_t *proxy, bb_exchange_t *exchange);
void BbProxy_RemoveExchange(bb_proxy_t *proxy, bb_exchange_t *exchange);

/* ---- bb_exchange_io ---- */

/* Callbacks of libmicrohttpd. */
void *BbExchange_OnUri(void *arg, const char *uri, struct MHD_Connection *c);
enum MHD_Result BbExchange_OnAccess(void *arg, struct MHD_Connection *c,
                                    const char *url, const char *method,
                                    const char *version, const char *data,
                                    size_t *size, void **request_arg);
void BbExchange_OnCompleted(void *arg, struct MHD_Connection *c,
                            void **request_arg,
                            enum MHD_RequestTerminationCode code);

/* Frees an exchange whose request libmicrohttpd has completed. */
void BbExchange_Free(bb_exchange_t *exchange);

/* Value of a request header or NULL. */
const char *BbExchange_GetHeader(const bb_exchange_t *exchange,
                                 const char *name);

/* Resumes sending of the response after bytes were added to download. */
void BbExchange_ResumeResponse(bb_exchange_t *exchange);

/* Suspend and resume the connection in libmicrohttpd. */
void BbExchange_Suspend(bb_exchange_t *exchange);
void BbExchange_Resume(bb_exchange_t *exchange);

/* Descriptor of the connection. */
int BbExchange_GetSocket(const bb_exchange_t *exchange);

/* True when the rest of the request body is short enough to read and drop. */
bool BbExchange_CanDiscardBody(const bb_exchange_t *exchange);

/* Moves up to size request body bytes out of the buffer; returns the count. */
size_t BbExchange_TakeBody(bb_exchange_t *exchange, char *data, size_t size);

/* Starts receiving the request body. */
void BbExchange_ReceiveBody(bb_exchange_t *exchange);

/* Closes the connection without sending a further byte. */
void BbExchange_Close(bb_exchange_t *exchange);

/* ---- bb_response_io ---- */

/*
 * Sends an error response made by this node. A ran_status above 0 is sent as
 * Burdock-Status. Does nothing when a response exists already.
 */
void BbExchange_RespondError(bb_exchange_t *exchange, int status,
                             bb_outcome_t outcome, bb_reason_t reason,
                             int ran_status);

/* Starts forwarding the response whose head is in headers. */
void BbExchange_ForwardResponse(bb_exchange_t *exchange);

/* Ends a forwarded response. An incomplete one closes the connection. */
void BbExchange_EndForwarding(bb_exchange_t *exchange, bool is_complete);

/* ---- bb_progress_io ---- */

/*
 * Fails or closes an exchange that made no progress for stall_ms, or whose
 * connection has ended without a report by libcurl or libmicrohttpd. Called
 * every 50 ms.
 */
void BbExchange_Sweep(bb_exchange_t *exchange, int64_t now_ms);

/* ---- bb_attempt_io ---- */

/* Request headers to forward, without the hop-by-hop ones. */
struct curl_slist *BbAttempt_BuildHeaders(const bb_exchange_t *exchange);

/* Takes ownership of headers. Returns false when the request did not start. */
bool BbAttempt_Send(bb_exchange_t *exchange, const char *address,
                    struct curl_slist *headers, bool use_new_connection,
                    bool expect_continue);

/* True while a request, attempt, ticket, claim or retry is pending. */
bool BbAttempt_IsActive(const bb_exchange_t *exchange);

/*
 * Cancels everything that BbAttempt_IsActive() covers, because the caller is
 * gone or at fault or the node stops. Returns true when the target may have
 * run the call.
 */
bool BbAttempt_Cancel(bb_exchange_t *exchange);

/* Cancels the request to the node or target and reports this result. */
void BbAttempt_Fail(bb_exchange_t *exchange, bb_attempt_result_t result);

/* Starts the deadline timer. */
void BbAttempt_SetDeadline(bb_exchange_t *exchange, int64_t deadline_ms);

/* Value of a collected response header or NULL. */
const char *BbAttempt_GetResponseHeader(const bb_exchange_t *exchange,
                                        const char *name);

/* Drops the response head and the state of the last request. */
void BbAttempt_ClearResponse(bb_exchange_t *exchange);

/* ---- bb_caller_side_io ---- */

/* Starts a call from a caller. path is the decoded path without the query. */
void BbCallerSide_Begin(bb_exchange_t *exchange, const char *path);

/* Handles the result of an attempt whose response is not yet forwarded. */
void BbCallerSide_OnAttempt(bb_exchange_t *exchange,
                            const bb_attempt_report_t *report);

/* The response head of another node is complete. */
void BbCallerSide_OnHead(bb_exchange_t *exchange);

/* The response of another node was a refusal and has ended. */
void BbCallerSide_OnRefusal(bb_exchange_t *exchange);

/* The deadline passed between two attempts. */
void BbCallerSide_OnDeadline(bb_exchange_t *exchange);

/* Reports the result of the attempt to the balancer, unless already done. */
void BbCallerSide_EndAttempt(bb_exchange_t *exchange,
                             bb_balancer_result_t result);

/* ---- bb_target_side_io ---- */

/* Starts a call forwarded by another node. */
void BbTargetSide_BeginHop(bb_exchange_t *exchange);

/* Starts a call for which the caller side chose the local target. */
void BbTargetSide_BeginLocal(bb_exchange_t *exchange);

/* Admission control has admitted or refused the call. */
void BbTargetSide_OnTicket(bb_exchange_t *exchange);

/*
 * Frees the slot and ends the use of the idempotency key; later calls do
 * nothing. status is that of a complete response, 0 when the result is not
 * known. was_sent: the target may have run the call.
 */
void BbTargetSide_Finish(bb_exchange_t *exchange, int status, bool was_sent);

/* The head of the target's response is complete. */
void BbTargetSide_OnHead(bb_exchange_t *exchange);

/* The request to the target failed without a response. */
void BbTargetSide_OnFailure(bb_exchange_t *exchange,
                            bb_attempt_result_t result, bool was_sent);

/* The deadline passed before a request was sent. */
void BbTargetSide_OnDeadline(bb_exchange_t *exchange);

#endif
