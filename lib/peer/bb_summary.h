/*
 * bb_summary - services of other data centres, as known to one node
 *
 * Does no I/O and reads no clock. A gateway describes its data centre in
 * summary messages with a sequence number per gateway. Most contain only the
 * services that changed and a digest of all services. A node that computes
 * another digest after applying the changes requests a full summary.
 *
 * LIMITS
 *   BB_MAX_DATA_CENTRES other data centres. For each one the sequence numbers
 *   of the BB_SUMMARY_MAX_ORIGINS gateways heard from last are stored.
 */
#ifndef BB_SUMMARY_H
#define BB_SUMMARY_H

#include "bb_wire.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_MAX_DATA_CENTRES 32
#define BB_SUMMARY_MAX_ORIGINS 4

typedef struct bb_summaries bb_summaries_t;

typedef struct {
    char data_centre[BB_DATA_CENTRE_TEXT + 1]; /* this node's data centre */
    uint64_t origin;                           /* this node's id */
    int64_t refresh_ms; /* interval of messages without changes; 0 = 10,000 */
    int64_t stale_ms;   /* age at which a summary is stale; 0 = 30,000 */
    void (*on_change)(const char *data_centre, const bb_summary_t *summary,
                      void *arg); /* may be NULL */
    void *arg;
} bb_summaries_options_t;

typedef enum {
    BB_SUMMARY_DUPLICATE,  /* received before, ignored: do not forward */
    BB_SUMMARY_UNCHANGED,  /* no change since a recent message */
    BB_SUMMARY_FORWARD,    /* forward it */
    BB_SUMMARY_INCOMPLETE, /* forward it and request a full summary */
} bb_summary_result_t;

bb_summaries_t *BbSummaries_New(const bb_summaries_options_t *options);

void BbSummaries_Free(bb_summaries_t *summaries);

/* Applies a summary message that describes another data centre. */
bb_summary_result_t BbSummaries_Apply(bb_summaries_t *summaries,
                                      const bb_wire_message_t *message,
                                      int64_t now_ms);

/*
 * Fills a message with all services of any data centre, including this node's.
 * Free with BbWire_Clear(). Returns false when the services are unknown, stale
 * or incomplete.
 */
bool BbSummaries_FillFull(const bb_summaries_t *summaries,
                          const char *data_centre, bb_wire_message_t *message);

/*
 * Fills a message with the services of this node's data centre that changed
 * since the previous message, or with only the digest when refresh_ms have
 * passed without a change. Free with BbWire_Clear(). Returns false when there
 * is nothing to send.
 */
bool BbSummaries_FillChanges(bb_summaries_t *summaries,
                             const bb_members_t *members,
                             bb_wire_message_t *message, int64_t now_ms);

/* Marks summaries stale that are too old and reports 0 live members for each
 * of their services. */
void BbSummaries_Tick(bb_summaries_t *summaries, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
