/*
 * bb_mesh_call - one call of a caller on this VM; internal to lib/mesh
 *
 *   bb_call_io           requests of callers: route, time, body
 *   bb_mesh_call_attempt choice of nodes, attempts and their results
 *   bb_mesh_call_answer  answers to callers, held back or streamed
 */
#ifndef BB_MESH_CALL_H
#define BB_MESH_CALL_H

#include "bb_call_io.h"

/* The own answer at a deadline leaves this much earlier. */
#define BB_ANSWER_MARGIN_S 0.02

/* A request body is kept for a second attempt up to this size, and read no
 * further than this ahead of what was sent. */
#define BB_KEPT_BODY_BYTES (1024 * 1024)

typedef struct bb_mesh_call {
    bb_call_io_t *io;
    bb_h1_request_t *request;
    bb_mesh_config_t *config;
    const bb_mesh_route_t *route;
    const char *service; /* of the chosen part; lives with config */
    char *call_id;
    bb_h1_fields_t fields;
    bb_body_t body;
    bb_attempt_request_t asked;
    double arrived_at;
    ev_timer deadline_timer;
    double spent_s; /* by the caller on earlier tries */
    /* attempts */
    bb_attempt_t *attempt;
    bb_endpoint_t *endpoint;
    bb_hop_news_t news;
    bb_endpoint_t *tried[BB_PLACEMENT_MAX_TRIED];
    size_t tried_count;
    int attempts;
    int leaving;         /* attempts refused by what leaves */
    int full;            /* attempts refused for want of slots */
    int targets_reached; /* attempts that a target may have seen */
    bool may_have_run;
    bb_reason_t last_reason;
    double retry_after_s;
    /* answer */
    int status;
    bb_h1_fields_t answer_fields;
    GByteArray *answer;
    int64_t answer_length;
    bool is_streaming; /* too large to hold back */
    struct bb_mesh_call *prev, *next;
} bb_mesh_call_t;

struct bb_call_io {
    bb_call_io_options_t options;
    char *data_centre;
    char *service;
    bb_h1_server_t *server;
    bb_mesh_config_t *config;
    bb_mesh_call_t *calls;
    int call_count;
    double last_call_at;
    bool is_refusing;
    GHashTable *longest; /* route to the longest deadline of its calls */
};

/* ---- bb_call_io ---- */

double BbMeshCall_Now(const bb_mesh_call_t *call);

/* The call was answered, or its caller has left. */
void BbMeshCall_Free(bb_mesh_call_t *call);

/* ---- bb_mesh_call_attempt ---- */

/* Starts the next attempt, or answers the call when no node is left. */
void BbMeshCall_Place(bb_mesh_call_t *call);

/* The attempt under way is over; tells placement what it showed. */
void BbMeshCall_CloseAttempt(bb_mesh_call_t *call,
                             bb_attempt_outcome_t outcome);

/* Ends a call for which there is no more time. */
void BbMeshCall_End(bb_mesh_call_t *call, bb_attempt_outcome_t outcome);

/* ---- bb_mesh_call_answer ---- */

/* Node of the last attempt, "" before the first. */
const char *BbMeshCall_PeerName(const bb_mesh_call_t *call);

/* Each of these ends the call and frees it. */
void BbMeshCall_AnswerOwn(bb_mesh_call_t *call, int status,
                          bb_reason_t reason);
void BbMeshCall_GiveUp(bb_mesh_call_t *call, bb_reason_t reason);
void BbMeshCall_AnswerWhole(bb_mesh_call_t *call);

#endif
