/*
 * change - commits a change to the platform and determines its result
 */
#ifndef BBCTL_CHANGE_H
#define BBCTL_CHANGE_H

#include "bb_accept.h"
#include "bbctl.h"

/* Sends the change, reads the row back and retries as bb_accept.h describes.
 * When the retries are used up, returns BB_COMMIT_UNKNOWN or
 * BB_COMMIT_UNAVAILABLE. */
bb_commit_result_t Change_Commit(bbctl_t *ctl, bb_change_t *change);

/* Reports why a change was not committed, with the rows whose checks failed.
 * Returns the exit code. */
int Change_Report(const bbctl_t *ctl, const bb_change_t *change,
                  bb_commit_result_t result);

/* Writes a random write id; out holds BB_WRITE_ID_HEX_LENGTH + 1 bytes. */
void Change_NewWriteId(char *out);

#endif
