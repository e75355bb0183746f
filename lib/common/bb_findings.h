/*
 * bb_findings - problems of an input, with location, reported together
 *
 * USE
 *   bb_findings_t findings;
 *   BbFindings_Init(&findings);
 *   BbFindings_Add(&findings, "routes", "parts", "pool", 12, "no pool '%s'",
 *                  name);
 *   BbFindings_Print(&findings, stderr);
 *   BbFindings_Free(&findings);
 *
 * LIMITS
 *   At most BB_MAX_FINDINGS are kept; further ones are only counted, so that a
 *   hostile document cannot exhaust memory.
 */
#ifndef BB_FINDINGS_H
#define BB_FINDINGS_H

#include <stddef.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BB_MAX_FINDINGS 200

typedef struct {
    char *source; /* file or table */
    char *row;    /* row or section; empty: the whole source */
    char *column; /* column or key; empty: the whole row */
    int line;     /* line in the file, 0 if unknown */
    char *message;
} bb_finding_t;

typedef struct {
    bb_finding_t items[BB_MAX_FINDINGS];
    size_t count;   /* findings in items */
    size_t omitted; /* further findings, not kept */
} bb_findings_t;

void BbFindings_Init(bb_findings_t *findings);

void BbFindings_Free(bb_findings_t *findings);

/* Adds one finding. source, row and column may be NULL. */
void BbFindings_Add(bb_findings_t *findings, const char *source,
                    const char *row, const char *column, int line,
                    const char *format, ...)
    __attribute__((format(printf, 6, 7)));

/* Prints one line per finding: "source:line: row.column: message". */
void BbFindings_Print(const bb_findings_t *findings, FILE *out);

#ifdef __cplusplus
}
#endif

#endif
