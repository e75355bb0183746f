#include "bb_findings.h"

#include <glib.h>
#include <stdarg.h>
#include <string.h>

void
BbFindings_Init(bb_findings_t *findings)
{
    memset(findings, 0, sizeof(*findings));
}

void
BbFindings_Free(bb_findings_t *findings)
{
    for (size_t i = 0; i < findings->count; i++) {
        g_free(findings->items[i].source);
        g_free(findings->items[i].row);
        g_free(findings->items[i].column);
        g_free(findings->items[i].message);
    }
    BbFindings_Init(findings);
}

void
BbFindings_Add(bb_findings_t *findings, const char *source, const char *row,
               const char *column, int line, const char *format, ...)
{
    if (findings->count == BB_MAX_FINDINGS) {
        findings->omitted++;
        return;
    }
    bb_finding_t *item = &findings->items[findings->count++];
    va_list args;
    va_start(args, format);
    item->message = g_strdup_vprintf(format, args);
    va_end(args);
    item->source = g_strdup(source != NULL ? source : "");
    item->row = g_strdup(row != NULL ? row : "");
    item->column = g_strdup(column != NULL ? column : "");
    item->line = line;
}

void
BbFindings_Print(const bb_findings_t *findings, FILE *out)
{
    for (size_t i = 0; i < findings->count; i++) {
        const bb_finding_t *item = &findings->items[i];
        fputs(item->source, out);
        if (item->line > 0) {
            fprintf(out, ":%d", item->line);
        }
        fputs(": ", out);
        if (item->row[0] != '\0') {
            fputs(item->row, out);
            if (item->column[0] != '\0') {
                fprintf(out, ".%s", item->column);
            }
            fputs(": ", out);
        }
        else if (item->column[0] != '\0') {
            fprintf(out, "%s: ", item->column);
        }
        fprintf(out, "%s\n", item->message);
    }
    if (findings->omitted > 0) {
        fprintf(out, "and %zu more findings\n", findings->omitted);
    }
}
