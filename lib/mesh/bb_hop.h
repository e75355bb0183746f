/*
 * bb_hop - what one node tells another with a forwarded call
 *
 * One short header field, since the bytes between data centres are counted:
 * "service,caller,class,deadline_ms,latency_ms,left_ms,rank,once,length".
 *
 * USE
 *   text = BbHop_Format(&hop); free with g_free()
 *   error = BbHop_Parse(text, &hop); the texts are freed by BbHop_Clear()
 */
#ifndef BB_HOP_H
#define BB_HOP_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Interim responses of the node beside the target. */
#define BB_HOP_SEND_BODY 100
#define BB_HOP_HEAD_READ 102

/* Connections between nodes that are idle for longer are closed. */
#define BB_HOP_CLIENT_IDLE_S 12.0

typedef struct {
    char *service;        /* that must run the call */
    char *caller_service; /* of the VM where the call began */
    char *class_name;     /* calls that take about equally long */
    int deadline_ms;      /* left */
    int latency_ms;       /* target latency of the route */
    int left_ms;          /* until the target latency; negative when late */
    int rank;
    bool is_once;           /* must not run twice */
    int64_t content_length; /* of the caller's body, as in bb_h1_message.h */
} bb_hop_call_t;

char *BbHop_Format(const bb_hop_call_t *hop);

/* Returns 0 or BB_ERR_PARSE; text may be NULL. */
int BbHop_Parse(const char *text, bb_hop_call_t *out);
void BbHop_Clear(bb_hop_call_t *hop);

#ifdef __cplusplus
}
#endif

#endif
