/*
 * bb_hop - metadata of a call that one node forwards to another
 *
 * One short header field, since traffic between data centres is costly:
 * "service,caller,class,deadline_ms,latency_ms,due_in_ms,rank,once,length",
 * then for a nested call ",nAGE" (see parent_age_ms), and for the call of a
 * client account ",digest,account".
 *
 * USE
 *   text = BbHop_Format(&hop); free with g_free()
 *   error = BbHop_Parse(text, &hop); free its strings with BbHop_Clear()
 */
#ifndef BB_HOP_H
#define BB_HOP_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Interim (1xx) statuses sent by the node on the target's VM. Both acknowledge
 * the head. */
#define BB_HOP_SEND_BODY 100 /* the body is requested now */
#define BB_HOP_HEAD_READ 102 /* a body that must be requested has to wait */

/* A node closes its connections to other nodes after this idle time. */
#define BB_HOP_CLIENT_IDLE_S 12.0

typedef struct {
    char *service;        /* service that must run the call */
    char *caller_service; /* service of the VM that made the call */
    char *class_name;     /* groups calls of similar duration */
    int deadline_ms;      /* time until the deadline */
    int latency_ms;       /* target latency of the route */
    int due_in_ms; /* time left of the target latency; negative when exceeded
                    */
    int rank;      /* 0 is the most urgent */
    bool is_at_most_once;   /* the call must not run twice */
    int64_t content_length; /* of the request body, as in bb_h1_message.h */
    bool is_nested;         /* a run elsewhere waits for the call */
    int parent_age_ms;      /* of that run; see bb_call_tree.h */
    uint64_t key_digest;    /* see bb_account.h; 0 without account */
    char *account;          /* name of the client account, or NULL */
} bb_hop_call_t;

char *BbHop_Format(const bb_hop_call_t *hop);

/* Returns 0 or BB_ERR_PARSE; text may be NULL. */
int BbHop_Parse(const char *text, bb_hop_call_t *out);
void BbHop_Clear(bb_hop_call_t *hop);

#ifdef __cplusplus
}
#endif

#endif
