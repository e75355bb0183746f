#include "bb_log.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

/* Syslog facility "daemon"; the priority is facility * 8 + level. */
#define FACILITY_DAEMON 3

static char program_name[32] = "burdockbarrow";
static char identity_name[64] = "-";
static bb_log_level_t max_level = BB_LOG_INFO;
static gint64 window_start_us;
static int window_lines;
static int suppressed_lines;

void
BbLog_Init(const char *program, const char *identity)
{
    g_strlcpy(program_name, program, sizeof(program_name));
    g_strlcpy(identity_name, identity, sizeof(identity_name));
}

void
BbLog_SetLevel(bb_log_level_t level)
{
    max_level = level;
}

/* Counts a line. Returns 0 if it is over BB_LOG_LINES_PER_SECOND. */
static int
is_within_rate(void)
{
    gint64 now_us = g_get_monotonic_time();
    if (now_us - window_start_us >= G_USEC_PER_SEC) {
        window_start_us = now_us;
        window_lines = 0;
    }
    return ++window_lines <= BB_LOG_LINES_PER_SECOND;
}

void
BbLog_Write(bb_log_level_t level, const char *format, ...)
{
    char message[1024];
    va_list args;

    if (level > max_level) {
        return;
    }
    if (!is_within_rate()) {
        suppressed_lines++;
        return;
    }
    va_start(args, format);
    vsnprintf(message, sizeof(message), format, args);
    va_end(args);
    fprintf(stderr, "<%d>%s[%d]: %s: %s", FACILITY_DAEMON * 8 + level,
            program_name, (int)getpid(), identity_name, message);
    if (suppressed_lines > 0) {
        fprintf(stderr, " (%d earlier lines suppressed)", suppressed_lines);
        suppressed_lines = 0;
    }
    fputc('\n', stderr);
}
