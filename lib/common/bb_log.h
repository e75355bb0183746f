/*
 * bb_log - syslog-style lines on standard error
 *
 * USE
 *   BbLog_Init("bbnode", "node-3");
 *   BbLog_Write(BB_LOG_NOTICE, "version %" PRId64 " in force", version);
 *   A line is "<priority>program[pid]: identity: message", so that a
 *   collector which reads syslog priorities can filter it.
 *
 * LIMITS
 *   Log only changes of state; count frequent events with bb_counters. At most
 *   BB_LOG_LINES_PER_SECOND lines are written per second. The next line that
 *   is written says how many were suppressed.
 */
#ifndef BB_LOG_H
#define BB_LOG_H

#ifdef __cplusplus
extern "C" {
#endif

#define BB_LOG_LINES_PER_SECOND 50

typedef enum {
    BB_LOG_ERROR = 3,
    BB_LOG_WARNING = 4,
    BB_LOG_NOTICE = 5,
    BB_LOG_INFO = 6,
    BB_LOG_DEBUG = 7,
} bb_log_level_t;

/* identity distinguishes the processes of one program, for example the admin
 * address. Both strings are copied. */
void BbLog_Init(const char *program, const char *identity);

/* Drops lines that are less severe than level. The default is BB_LOG_INFO. */
void BbLog_SetLevel(bb_log_level_t level);

void BbLog_Write(bb_log_level_t level, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#ifdef __cplusplus
}
#endif

#endif
