/*
 * bb_event - structured log lines on standard output
 *
 * One JSON object a line, written by jansson. Each kind of event has its own
 * rate; what exceeds it is counted and told in the next line of that kind
 * ("omitted"). Writes never wait: lines that standard output does not take
 * are dropped and counted ("dropped").
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

/* Standard output becomes non-blocking. node is copied. Nothing is written
 * before. */
void BbEvent_Init(const char *node);

/* Whether a line of this kind fits its rate now; counts it if not. */
bool BbEvent_Allows(bb_event_t event);

/* Steals the reference to fields, which may be NULL. */
void BbEvent_Write(bb_event_t event, json_t *fields);

/* Writes the table of kinds and fields in Markdown. */
#include <stdio.h>
void BbEvent_PrintReference(FILE *out);

#ifdef __cplusplus
}
#endif

#endif
