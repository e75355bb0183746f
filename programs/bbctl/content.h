/*
 * content - loads the tables that a command-line argument names
 *
 *   head          the newest accepted version
 *   draft         the draft rows
 *   N             accepted version N
 *   pXXXXXXXXXXX  a proposal
 *   FILE          a path with '/' or the suffix ".toml"
 */
#ifndef BBCTL_CONTENT_H
#define BBCTL_CONTENT_H

#include "bb_config.h"
#include "bbctl.h"

#define CONTENT_PROPOSAL_ID_LENGTH 12 /* characters */

#define CONTENT_HELP "head|draft|N|PROPOSAL|FILE"

/* Returns the exit code; errors have been reported. Before the first version
 * is accepted, "head" is an empty configuration. */
int Content_Load(bbctl_t *ctl, const char *name, bb_config_t **out);

/* Loads configs/DIGEST and checks that its content has this digest. Returns
 * the exit code; errors have been reported. */
int Content_LoadByDigest(bbctl_t *ctl, const char *digest, bb_config_t **out);

/* Reads head/config and the platform's time. *head has the form of a response
 * of Io_GetRow(); it is NULL before the first version. Returns the exit code;
 * errors have been reported. */
int Content_ReadHead(bbctl_t *ctl, json_t **head, int64_t *now_ms);

/* Prints the rows that differ, and the columns that differ in changed rows. */
void Content_PrintDiff(const bb_config_t *from, const bb_config_t *to);

#endif
