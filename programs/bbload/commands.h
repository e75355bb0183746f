/*
 * commands - the subcommands of bbload and their common option handling
 */
#ifndef BBLOAD_COMMANDS_H
#define BBLOAD_COMMANDS_H

#include <glib.h>

/* Each returns the exit status; argv[0] is the subcommand. */
int Commands_RunTarget(int argc, char **argv);
int Commands_RunCall(int argc, char **argv);

/* Returns 0, or BB_ERR_ARGUMENT after a report on standard error. */
int Commands_ParseOptions(int argc, char **argv, const GOptionEntry *entries,
                          const char *summary);

#endif
