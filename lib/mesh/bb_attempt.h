/*
 * bb_attempt - one attempt of a call, at the local target or at another node
 *
 * The side that received the call from its caller owns the attempt and its
 * body. What differs between the two places stands behind bb_attempt_ops_t.
 *
 * RULES
 *   Exactly one of on_refused, on_end and on_lost ends an attempt, unless it
 *   is cancelled. on_refused means that no target has run the call and none
 *   will; on_lost means that one may have.
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

/* Header names that the installation speaks with callers and targets. */
typedef struct {
    const char *call_id;         /* names one call of a caller */
    const char *deadline;        /* milliseconds that are left */
    const char *expected_target; /* id of the target that must run it */
    const char *caller_service;  /* service of the VM where it began */
    const char *seal;            /* the target's mark of its own answers */
    const char *not_run;         /* the target has not run the call */
} bb_header_names_t;

/* Header names between the nodes. */
#define BB_HOP_PREFIX "Burdock-"
#define BB_HOP_CALL "Burdock-Call" /* see bb_hop.h */
#define BB_HOP_OUTCOME "Burdock-Outcome"
#define BB_HOP_REASON "Burdock-Reason"
#define BB_HOP_LOAD "Burdock-Load"

/* Bytes of a body, as far as they have arrived and are still needed. */
typedef struct {
    GByteArray *bytes;
    size_t dropped;   /* bytes that stood before bytes[0] */
    bool is_complete; /* the last byte has arrived */
} bb_body_t;

void BbBody_Init(bb_body_t *body);
void BbBody_Free(bb_body_t *body);
void BbBody_Append(bb_body_t *body, const char *data, size_t size);

/* Gives the exchange what it has not got yet; *sent counts its bytes. */
void BbBody_Feed(const bb_body_t *body, bb_h1_exchange_t *exchange,
                 size_t *sent);

/* Drops the first bytes, up to an offset in the whole body. */
void BbBody_Drop(bb_body_t *body, size_t offset);

/* Times are seconds by the clock of the loop. Borrowed until the end. */
typedef struct {
    const char *call_id; /* empty when the caller gave none */
    const char *method;
    const char *target;
    const bb_h1_fields_t *fields; /* end to end, without the names above */
    int64_t content_length;
    const bb_body_t *body;
    const char *service;
    const char *caller_service;
    bool is_idempotent;
    const char *class_name; /* calls that take about equally long */
    int rank;
    double target_latency_s;
    double target_at;
    double deadline_at;
} bb_attempt_request_t;

typedef struct {
    /* retry_after_s: when a slot may be free, 0 when not known. */
    void (*on_refused)(bb_reason_t reason, double retry_after_s, void *arg);
    void (*on_head)(int status, const bb_h1_fields_t *fields,
                    int64_t content_length, void *arg);
    void (*on_data)(const char *data, size_t size, void *arg);
    void (*on_end)(void *arg);
    void (*on_lost)(bb_reason_t reason, void *arg);
    /* Nothing was heard of the node in time. The owner may cancel the attempt
     * and go elsewhere, or wait on; may_have_run as for on_lost. Returns
     * true when it has cancelled it. NULL waits on. */
    bool (*on_silent)(bool may_have_run, void *arg);
    /* The body given so far has been sent. */
    void (*on_drained)(size_t sent, void *arg);
} bb_attempt_handler_t;

typedef struct bb_attempt bb_attempt_t;

typedef struct {
    void (*body_grew)(bb_attempt_t *attempt);
    void (*cancel)(bb_attempt_t *attempt);
    /* Stops and restarts reading the response. */
    void (*pause)(bb_attempt_t *attempt, bool is_paused);
} bb_attempt_ops_t;

/* A response is read on while no more than this waits for its receiver: a
 * target may send without end, and faster than the receiver reads. */
#define BB_UNSENT_RESPONSE_BYTES (1024 * 1024)

/* First member of both kinds of attempt. */
struct bb_attempt {
    const bb_attempt_ops_t *ops;
};

/* Passes a piece of the response on, and pauses the attempt while its receiver
 * has more than BB_UNSENT_RESPONSE_BYTES to take; attempt may be NULL. The
 * owner resumes it when the request is drained. */
void BbAttempt_PassData(bb_attempt_t *attempt, bb_h1_request_t *request,
                        const void *data, size_t size);

/* Whether a field goes end to end: not of one connection, not of bb_hop. */
bool BbAttempt_IsEndToEnd(const char *name);

/* Copies the fields that go end to end. */
void BbAttempt_CopyFields(bb_h1_fields_t *to, const bb_h1_fields_t *from);

/* Length of a response body by its head. */
int64_t BbAttempt_ContentLength(const bb_h1_fields_t *fields);

#ifdef __cplusplus
}
#endif

#endif
