/*
 * report - prints results as JSON or as text tables, and errors
 *
 * Results go to standard output. Findings and errors go to standard error;
 * with --json they go to standard output, findings as
 * {"findings":[...],"omitted":N} and an error as {"error":TEXT}.
 */
#ifndef BBCTL_REPORT_H
#define BBCTL_REPORT_H

#include "bb_accept.h"
#include "bbctl.h"

/* With --json, prints the object and returns true. Otherwise returns false. */
bool Report_Json(const bbctl_t *ctl, json_t *object);

/* Prints a table with aligned columns. rows is an array of arrays of strings;
 * headers ends with NULL. */
void Report_Table(const char *const *headers, json_t *rows);

/* Prints all findings and returns code. */
int Report_Findings(const bbctl_t *ctl, const bb_findings_t *findings,
                    int code);

/* Prints one error and returns code. */
int Report_Error(const bbctl_t *ctl, int code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Reports that item_name could not be read, or that it does not exist. Returns
 * the exit code. */
int Report_ReadError(const bbctl_t *ctl, int error, const char *item_name);

/* Returns the exit code for an error number of bb_error.h. */
int Report_ExitCode(int error);

#endif
