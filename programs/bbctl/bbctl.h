/*
 * bbctl - command-line tool for operators
 *
 * Each group of subcommands has a file of its own, with a table of its
 * commands that main.c lists. A command runs the event loop until its requests
 * have ended, and returns an exit code.
 */
#ifndef BBCTL_H
#define BBCTL_H

#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "bb_curl_io.h"
#include "bb_findings.h"
#include "bb_platform_io.h"

/* Exit codes; `bbctl --help` prints them. */
enum {
    BBCTL_OK = 0,
    BBCTL_FINDINGS = 1,    /* a table, file or key is invalid */
    BBCTL_USAGE = 2,       /* wrong arguments */
    BBCTL_UNAVAILABLE = 3, /* platform or node does not answer */
    BBCTL_CONFLICT = 4,    /* another change came first; nothing written */
    BBCTL_NOT_OWNER = 5,   /* the key is not that of the month's owner */
    BBCTL_NOT_FOUND = 6,   /* no such version, proposal or row */
    BBCTL_WAITING = 7,     /* accepted, but not in force on every node yet */
};

typedef struct {
    const char *command; /* name for messages */
    bool is_write;
    struct ev_loop *loop;
    bb_curl_t *curl;
    bb_platform_t *platform;
    char *platform_url;
    gboolean is_json;
    long timeout_ms;
} bbctl_t;

typedef struct {
    const char *name;      /* one or two words, for example "route set" */
    const char *arguments; /* for the help text */
    const char *summary;
    const GOptionEntry *options; /* of this command only; may be NULL */
    int min_arguments;
    int max_arguments;
    int (*run)(bbctl_t *ctl, int argc, char **argv);
    bool is_write; /* changes rows of the platform */
} command_t;

extern const command_t accept_commands[];
extern const command_t draft_commands[];
extern const command_t key_commands[];
extern const command_t node_commands[];
extern const command_t propose_commands[];
extern const command_t trace_commands[];
extern const command_t version_commands[];

#endif
