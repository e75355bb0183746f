#include "bb_quota_wire.h"

#include <inttypes.h>
#include <string.h>

#define WIRE_VERSION 1

/* Figures of accounts are limited to this absolute value. It exceeds the
 * largest valid one, 1,000 times BB_ACCOUNT_QUOTA_MAX, and sums of such
 * figures do not overflow 64 bits. */
#define FIGURE_MAX ((int64_t)1000000000000)

/* Values of the field COMPLETE. */
#define NOT_COMPLETE 0
#define COMPLETE 1
#define MORE_FOLLOW 2

static bool
is_name_usable(const char *name)
{
    return name[0] != '\0' && strpbrk(name, "\r\n") == NULL;
}

void
BbQuotaWire_AddReportHead(GString *text, const bb_quota_report_head_t *head)
{
    g_string_append_printf(
        text, "%d %" PRId64 " %" PRId64 " %" PRId64 " %" PRId64 " %d %d %s\n",
        WIRE_VERSION, head->incarnation, head->sequence, head->acknowledged,
        head->return_ms, head->is_idle, head->is_new, head->node);
}

void
BbQuotaWire_AddReport(GString *text, const bb_quota_report_t *report)
{
    if (is_name_usable(report->name)) {
        g_string_append_printf(
            text,
            "%" PRId64 " %" PRId64 " %" PRId64 " %" PRId64 " %" PRId64
            " %" PRId64 " %s\n",
            report->credit, report->wanted, report->returned, report->held,
            report->demand_milli, report->since_ms, report->name);
    }
}

void
BbQuotaWire_AddGrantHead(GString *text, const bb_quota_grant_head_t *head)
{
    g_string_append_printf(text, "%d %" PRId64 " %" PRId64 " %d\n",
                           WIRE_VERSION, head->sequence, head->age_ms,
                           head->is_complete ? COMPLETE
                           : head->has_more  ? MORE_FOLLOW
                                             : NOT_COMPLETE);
}

void
BbQuotaWire_AddGrant(GString *text, const bb_quota_grant_t *grant)
{
    if (is_name_usable(grant->name)) {
        g_string_append_printf(
            text, "%c %" PRId64 " %" PRId64 " %" PRId64 " %s\n",
            (char)grant->state, grant->tokens, grant->chance_milli,
            grant->demand_milli, grant->name);
    }
}

/* Terminates the line at *cursor and advances to the next one. Returns NULL at
 * the end of the text. */
static char *
take_line(char **cursor)
{
    char *line = *cursor;

    if (*line == '\0') {
        return NULL;
    }
    char *end = strchr(line, '\n');
    if (end != NULL) {
        *end = '\0';
        *cursor = end + 1;
    }
    else {
        *cursor = line + strlen(line);
    }
    return line;
}

/* Parses count figures, each followed by a space. Returns the rest of the
 * line, or NULL if the line is malformed. */
static char *
parse_figures(char *line, int64_t *figures, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        char *end;
        figures[i] = g_ascii_strtoll(line, &end, 10);
        if (end == line || *end != ' ') {
            return NULL;
        }
        line = end + 1;
    }
    return *line != '\0' ? line : NULL;
}

static int64_t
clamp_figure(int64_t figure, int64_t least)
{
    return CLAMP(figure, least, FIGURE_MAX);
}

bool
BbQuotaWire_ParseReportHead(char **cursor, bb_quota_report_head_t *out)
{
    char *line = take_line(cursor);
    int64_t figures[7];
    const char *node =
        line != NULL ? parse_figures(line, figures, G_N_ELEMENTS(figures))
                     : NULL;

    if (node == NULL || figures[0] != WIRE_VERSION) {
        return false;
    }
    *out = (bb_quota_report_head_t){.incarnation = figures[1],
                                    .sequence = figures[2],
                                    .acknowledged = figures[3],
                                    .return_ms = figures[4],
                                    .is_idle = figures[5] != 0,
                                    .is_new = figures[6] != 0,
                                    .node = node};
    return true;
}

bool
BbQuotaWire_NextReport(char **cursor, bb_quota_report_t *out)
{
    char *line;

    while ((line = take_line(cursor)) != NULL) {
        int64_t figures[6];
        const char *name = parse_figures(line, figures, G_N_ELEMENTS(figures));
        if (name != NULL) {
            *out = (bb_quota_report_t){
                .credit = clamp_figure(figures[0], -FIGURE_MAX),
                .wanted = clamp_figure(figures[1], 0),
                .returned = clamp_figure(figures[2], 0),
                .held = clamp_figure(figures[3], -1),
                .demand_milli = clamp_figure(figures[4], 0),
                .since_ms = clamp_figure(figures[5], 0),
                .name = name};
            return true;
        }
    }
    return false;
}

bool
BbQuotaWire_ParseGrantHead(char **cursor, bb_quota_grant_head_t *out)
{
    char *line = take_line(cursor);
    int64_t figures[3];
    const char *rest =
        line != NULL ? parse_figures(line, figures, G_N_ELEMENTS(figures))
                     : NULL;

    if (rest == NULL || figures[0] != WIRE_VERSION) {
        return false;
    }
    *out = (bb_quota_grant_head_t){.sequence = figures[1],
                                   .age_ms = figures[2],
                                   .is_complete = *rest == '0' + COMPLETE,
                                   .has_more = *rest == '0' + MORE_FOLLOW};
    return true;
}

bool
BbQuotaWire_NextGrant(char **cursor, bb_quota_grant_t *out)
{
    char *line;

    while ((line = take_line(cursor)) != NULL) {
        int64_t figures[3];
        bool is_known =
            (line[0] == BB_QUOTA_CALM || line[0] == BB_QUOTA_TIGHT ||
             line[0] == BB_QUOTA_UNOWNED) &&
            line[1] == ' ';
        const char *name =
            is_known ? parse_figures(line + 2, figures, G_N_ELEMENTS(figures))
                     : NULL;
        if (name != NULL) {
            *out =
                (bb_quota_grant_t){.state = (bb_quota_state_t)line[0],
                                   .tokens = clamp_figure(figures[0], 0),
                                   .chance_milli = clamp_figure(figures[1], 0),
                                   .demand_milli = clamp_figure(figures[2], 0),
                                   .name = name};
            return true;
        }
    }
    return false;
}
