/*
 * bb_event - structured log lines on standard output
 *
 * Each line is a JSON object, formatted by jansson. Each kind of event has its
 * own limit of lines per second. Lines over the limit are counted, and the
 * next line of that kind reports their number ("omitted"). Writes never block:
 * lines that fit neither standard output nor the buffer are dropped, and the
 * next line reports their number ("dropped").
 *
 * USE
 *   BbEvent_Init("node-3");
 *   if (BbEvent_Allows(BB_EVENT_CALL_REFUSED)) {
 *       BbEvent_Write(BB_EVENT_CALL_REFUSED, json_pack("{s:s}", ...));
 *   }
 *
 * LIMITS
 *   The kinds, their fields and their lines per second are in events.def.
 */
#ifndef BB_EVENT_H
#define BB_EVENT_H

#include <jansson.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
#define BB_EVENT(id, name, per_second, fields) BB_EVENT_##id,
#include "events.def"
#undef BB_EVENT
    BB_EVENT_COUNT
} bb_event_t;

/* Sets standard output to non-blocking mode. node is copied. Before this call
 * BbEvent_Allows() returns false. */
void BbEvent_Init(const char *node);

/* Returns true and counts a line if the limit of this kind permits one now;
 * otherwise returns false and counts it as omitted. */
bool BbEvent_Allows(bb_event_t event);

/* Writes one line. Steals the reference to fields, which may be NULL. */
void BbEvent_Write(bb_event_t event, json_t *fields);

/* Writes the table of kinds and fields in Markdown. */
#include <stdio.h>
void BbEvent_PrintReference(FILE *out);

#ifdef __cplusplus
}
#endif

#endif
