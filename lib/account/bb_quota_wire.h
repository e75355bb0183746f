/*
 * bb_quota_wire - text of the messages between a node and a quota owner
 *
 * A message is a header line and one line for each account, fields separated
 * by spaces. All figures are integers; the name is the last field of a line.
 * A report of a node:
 *
 *   1 INCARNATION SEQUENCE ACKNOWLEDGED RETURN_MS IDLE NEW NODE
 *   CREDIT WANTED RETURNED HELD DEMAND SINCE_MS ACCOUNT
 *
 * and the response of the owner:
 *
 *   1 SEQUENCE AGE_MS COMPLETE
 *   STATE TOKENS CHANCE DEMAND ACCOUNT
 *
 * COMPLETE is 1 if each tight account has a line, 2 if the owner has more to
 * list, which the node requests with its next report, and otherwise 0. A node
 * of an earlier release takes 2 for 0.
 *
 * LIMITS
 *   The names of accounts and nodes must not contain a line break; such an
 *   account is left out. Lines that cannot be parsed are skipped. Figures out
 *   of the valid range, as another node may send them, are clipped to it.
 */
#ifndef BB_QUOTA_WIRE_H
#define BB_QUOTA_WIRE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Path of the request between nodes. */
#define BB_QUOTA_PATH "/burdockbarrow/quota"

/* Size that the lines of a report may reach before the rest is left to the
 * next one. A node accepts 256 KiB, and a message must arrive well within
 * BB_QUOTA_TIMEOUT_S: 64 KiB take 52 ms on a link of 10 Mbit/s. */
#define BB_QUOTA_REPORT_BYTES (64 * 1024)

typedef struct {
    int64_t incarnation;  /* of the process of the node */
    int64_t sequence;     /* of this message to this owner */
    int64_t acknowledged; /* last sequence that was responded to */
    int64_t return_ms;    /* the next message follows within this time */
    bool is_idle;         /* the node has no calls of accounts */
    bool is_new;          /* first report since it asked another owner */
    const char *node;
} bb_quota_report_head_t;

/* What a node reports of one account since its last report that was responded
 * to. */
typedef struct {
    int64_t credit;       /* calls admitted on credit, less those returned */
    int64_t wanted;       /* calls that arrived, with those refused */
    int64_t returned;     /* unused tokens, and reported credit not used */
    int64_t held;         /* leased tokens; -1 if the node needs no lease */
    int64_t demand_milli; /* calls per 1,000 s, average of the last second */
    int64_t since_ms;     /* time since the last report of the account */
    const char *name;
} bb_quota_report_t;

typedef struct {
    int64_t sequence;
    int64_t age_ms;   /* for how long this node has been the owner */
    bool is_complete; /* each account that is tight has a line */
    bool has_more;    /* the next response lists further accounts */
} bb_quota_grant_head_t;

typedef enum {
    BB_QUOTA_CALM = 'c',
    BB_QUOTA_TIGHT = 't',
    BB_QUOTA_UNOWNED = 'u', /* the owner has no limit for the account */
} bb_quota_state_t;

typedef struct {
    bb_quota_state_t state;
    int64_t tokens;       /* calm: limit of the credit; tight: leased */
    int64_t chance_milli; /* share of the calls that the limit allows */
    int64_t demand_milli; /* of all nodes, calls per 1,000 s */
    const char *name;
} bb_quota_grant_t;

void BbQuotaWire_AddReportHead(GString *text,
                               const bb_quota_report_head_t *head);
void BbQuotaWire_AddReport(GString *text, const bb_quota_report_t *report);
void BbQuotaWire_AddGrantHead(GString *text,
                              const bb_quota_grant_head_t *head);
void BbQuotaWire_AddGrant(GString *text, const bb_quota_grant_t *grant);

/* The following functions parse the next line at *cursor, which they advance.
 * They change the text: names are terminated in place. Return false at the end
 * and, for a head, if it is not one of this version. */
bool BbQuotaWire_ParseReportHead(char **cursor, bb_quota_report_head_t *out);
bool BbQuotaWire_NextReport(char **cursor, bb_quota_report_t *out);
bool BbQuotaWire_ParseGrantHead(char **cursor, bb_quota_grant_head_t *out);
bool BbQuotaWire_NextGrant(char **cursor, bb_quota_grant_t *out);

#ifdef __cplusplus
}
#endif

#endif
