/*
 * bb_attempt - one attempt of a call, at the local target or at another node
 *
 * The node that received the call from its caller owns the attempt and the
 * body. bb_attempt_ops_t abstracts over the two kinds of destination.
 *
 * RULES
 *   Exactly one of on_refused, on_end and on_lost ends an attempt, unless it
 *   is cancelled. After on_refused, no target has run the call for this
 *   attempt and none will; after on_lost, a target may have run it.
 */
#ifndef BB_ATTEMPT_H
#define BB_ATTEMPT_H

#include "bb_h1_client.h"
#include "bb_h1_server.h"
#include "bb_load.h"
#include "bb_reason.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Names of the header fields exchanged with callers and targets; each
 * installation has its own. */
typedef struct {
    const char *call_id;         /* id that the caller gave the call */
    const char *deadline;        /* milliseconds until the deadline */
    const char *expected_target; /* id of the only target that may run it */
    const char *caller_service;  /* service of the VM that made the call */
    const char *seal;            /* set by a target on its own responses */
    const char *not_run;         /* set when the target did not run the call */
    const char *account_key;     /* key of the caller's client account */
    const char *account;         /* name of that account, for the target */
    /* between the id of a call and the suffix of calls nested in it; NULL
     * where ids do not show that */
    const char *call_id_separator;
    const char *target_load; /* load of a target, see bb_target_load.h */
} bb_header_names_t;

/* Header names used between nodes. */
#define BB_HOP_PREFIX "Burdock-"
#define BB_HOP_CALL "Burdock-Call" /* see bb_hop.h */
#define BB_HOP_OUTCOME "Burdock-Outcome"
#define BB_HOP_REASON "Burdock-Reason"
#define BB_HOP_LOAD "Burdock-Load"

/* Buffers the received bytes of a body until they are no longer needed. */
typedef struct {
    GByteArray *bytes;
    size_t dropped;   /* offset of bytes[0] in the whole body */
    bool is_complete; /* the whole body has been received */
} bb_body_t;

void BbBody_Init(bb_body_t *body);
void BbBody_Free(bb_body_t *body);
void BbBody_Append(bb_body_t *body, const char *data, size_t size);

/* Gives the exchange the body bytes that it has not been given yet, and the
 * end of a complete body. *sent counts the bytes given so far; it is updated.
 */
void BbBody_SendBuffered(const bb_body_t *body, bb_h1_exchange_t *exchange,
                         size_t *sent);

/* Discards the buffered bytes before an offset in the whole body. */
void BbBody_Drop(bb_body_t *body, size_t offset);

/* Times are seconds of BbClock_Now(). All pointers are borrowed until the
 * attempt ends. */
typedef struct {
    const char *call_id; /* empty if the caller set none */
    const char *method;
    const char *target; /* request target, as in the request line */
    /* end-to-end fields, without those that a node sets for the target: the
     * deadline, the expected target, the caller service and the account */
    const bb_h1_fields_t *fields;
    int64_t content_length;
    const bb_body_t *body;
    const char *service;        /* service that must run the call */
    const char *caller_service; /* service of the VM that made the call */
    bool is_idempotent;
    const char *class_name; /* groups calls of similar duration */
    int rank;               /* 0 is the most urgent */
    const char *account;    /* client account; NULL without one */
    uint64_t key_digest;    /* of the account's key; 0 without account */
    bool is_nested;         /* a run elsewhere waits for the call */
    double parent_age_s;    /* of that run; see bb_call_tree.h */
    bool is_checked; /* BbTargetIo_RefusalReason() has admitted the call */
    double target_latency_s;
    double due_at; /* end of the target latency */
    double deadline_at;
} bb_attempt_request_t;

typedef struct {
    /* retry_after_s: expected seconds until a slot is free, 0 if unknown. */
    void (*on_refused)(bb_reason_t reason, double retry_after_s, void *arg);
    void (*on_head)(int status, const bb_h1_fields_t *fields,
                    int64_t content_length, void *arg);
    void (*on_data)(const char *data, size_t size, void *arg);
    void (*on_end)(void *arg);
    void (*on_lost)(bb_reason_t reason, void *arg);
    /* The other node has not responded in time. The owner may cancel the
     * attempt and try another node, or keep waiting. may_have_run: a target
     * may have run the call. Returns true if the owner has cancelled the
     * attempt. NULL keeps waiting. */
    bool (*on_unresponsive)(bool may_have_run, void *arg);
    /* The body has been written out up to offset sent. */
    void (*on_drained)(size_t sent, void *arg);
} bb_attempt_handler_t;

typedef struct bb_attempt bb_attempt_t;

typedef struct {
    /* The body has more bytes, or is complete. */
    void (*body_extended)(bb_attempt_t *attempt);
    void (*cancel)(bb_attempt_t *attempt);
    /* Asks for the immediate end of the attempt: on_refused if no target has
     * received any of the call, else on_lost. NULL where is_not_started is
     * always certain. */
    void (*withdraw)(bb_attempt_t *attempt);
    /* Pauses and resumes reading the response. */
    void (*pause)(bb_attempt_t *attempt, bool is_paused);
    /* Whether no target has received any of the call, and none will after
     * cancel. False while that is not certain. */
    bool (*is_not_started)(const bb_attempt_t *attempt);
} bb_attempt_ops_t;

/* Reading a response pauses while more bytes than this are unsent: a target
 * may send without end, and faster than the receiver reads. */
#define BB_UNSENT_RESPONSE_BYTES (1024 * 1024)

/* Must be the first member of each kind of attempt. */
struct bb_attempt {
    const bb_attempt_ops_t *ops;
};

/* Forwards response data to the request, and pauses the attempt if more than
 * BB_UNSENT_RESPONSE_BYTES are then unsent. attempt may be NULL. The owner
 * resumes the attempt once the request has drained. */
void BbAttempt_ForwardData(bb_attempt_t *attempt, bb_h1_request_t *request,
                           const void *data, size_t size);

/* Whether a field is end-to-end: neither hop-by-hop nor one of the
 * BB_HOP_PREFIX fields between nodes. */
bool BbAttempt_IsEndToEnd(const char *name);

/* Copies the end-to-end fields. */
void BbAttempt_CopyEndToEnd(bb_h1_fields_t *to, const bb_h1_fields_t *from);

/* Value of Content-Length, or BB_H1_CHUNKED if there is none. */
int64_t BbAttempt_ContentLength(const bb_h1_fields_t *fields);

#ifdef __cplusplus
}
#endif

#endif
