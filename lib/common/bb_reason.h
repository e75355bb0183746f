/*
 * bb_reason - outcomes and reasons of responses that a node itself makes
 *
 * A response that does not come from a target carries Burdock-Outcome and
 * Burdock-Reason. Each reason has one name, HTTP status, outcome and counter;
 * the list is in reasons.def. Nodes exchange reasons by name, so names are
 * part of the protocol and do not change.
 *
 * A name that this node does not know, because a newer node sent it, is parsed
 * as BB_REASON_OTHER. The outcome then comes from Burdock-Outcome alone. A
 * missing or malformed outcome counts as unknown, never as not-run (guarantee
 * G5 of docs/design.md).
 */
#ifndef BB_REASON_H
#define BB_REASON_H

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
    BB_OUTCOME_NOT_RUN, /* no target started the call */
    BB_OUTCOME_RAN,     /* the call ran and ended */
    BB_OUTCOME_UNKNOWN, /* the call may have run or be running */
} bb_outcome_t;

typedef enum {
    BB_REASON_NONE,
#define BB_REASON(id, name, status, outcome) BB_REASON_##id,
#include "reasons.def"
#undef BB_REASON
    BB_REASON_OTHER, /* received from another node, unknown here */
    BB_REASON_COUNT
} bb_reason_t;

/* "not-run", "ran" or "unknown". */
const char *BbOutcome_Name(bb_outcome_t outcome);

/* NULL and other text give BB_OUTCOME_UNKNOWN. */
bb_outcome_t BbOutcome_Parse(const char *text);

/* Value of Burdock-Reason, for example "queue_full". */
const char *BbReason_Name(bb_reason_t reason);

/* NULL gives BB_REASON_NONE, an unknown name BB_REASON_OTHER. */
bb_reason_t BbReason_Parse(const char *text);

/* HTTP status of a response with this reason. */
int BbReason_Status(bb_reason_t reason);

/* Outcome of a response that this node makes with this reason. */
bb_outcome_t BbReason_Outcome(bb_reason_t reason);

/*
 * Adds one to the reason's counter, refused_NAME_total. Called once, by the
 * code that decides on the reason: the modules of lib/target and lib/caller
 * have already counted a reason that they return.
 */
void BbReason_Count(bb_reason_t reason);

#ifdef __cplusplus
}
#endif

#endif
