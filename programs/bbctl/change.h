/*
 * change - carries a change to the platform until its effect is known
 */
#ifndef BBCTL_CHANGE_H
#define BBCTL_CHANGE_H

#include "bb_accept.h"
#include "bbctl.h"

/* Sends the change, reads back and repeats as bb_accept.h describes. Gives up
 * with BB_SETTLED_UNKNOWN or BB_SETTLED_UNAVAILABLE. */
bb_commit_result_t Change_Run(bbctl_t *ctl, bb_change_t *change);

/* Reports a change that was not done, with the rows that changed. Returns the
 * exit code. */
int Change_Report(const bbctl_t *ctl, const bb_change_t *change,
                  bb_commit_result_t result);

/* Writes a random write id; out holds BB_WRITE_ID_HEX + 1 bytes. */
void Change_NewWriteId(char *out);

#endif
