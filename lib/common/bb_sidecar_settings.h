/*
 * bb_sidecar_settings - settings of one sidecar, read from TOML
 *
 * USE
 *   error = BbSidecarSettings_Load(path, &findings, &settings);
 *   BbSidecarSettings_Free(&settings);
 *
 * ERRORS
 *   BB_ERR_INVALID with all findings: a missing key, a wrong type, a value
 *   out of range, an unknown key. Keys of later releases are unknown too: an
 *   unknown key is never ignored, since a misspelt key would silently leave a
 *   setting at its default.
 */
#ifndef BB_SIDECAR_SETTINGS_H
#define BB_SIDECAR_SETTINGS_H

#include <stdbool.h>
#include <stdio.h>

#include "bb_findings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    /* [node] */
    char *name;
    char *data_centre;
    char *service;
    char *target_address;
    double link_mbps;
    bool is_first_start; /* the whole fleet starts for the first time, so the
                          * shared table has no records yet */
    /* [listen] */
    char *caller_address;
    char *forward_address;
    char *admin_address;
    char *announce_address;
    char *metrics_address;
    /* [platform] */
    char *platform_address;
    /* [limits] */
    double shutdown_s;   /* from SIGTERM to the forced exit */
    double repeat_ratio; /* retries per call of a service, over all nodes */
    double repeat_extra; /* further retries in a time window, over all nodes */
    double spill_share;  /* see bb_placement.h */
    /* [rollout] */
    double expose_share; /* of all calls, for a bad version; 0: no roll-outs */
    double expose_extra; /* further calls */
    double rollback_s;   /* from its first bad responses to its last call */
    /* [pace] */
    bool is_pace_enabled;
    /* [target_load] */
    bool is_target_load_enabled;
    /* [hedge] */
    bool is_hedge_enabled;
} bb_sidecar_settings_t;

int BbSidecarSettings_Load(const char *path, bb_findings_t *findings,
                           bb_sidecar_settings_t *out);
void BbSidecarSettings_Free(bb_sidecar_settings_t *settings);

/* Writes the table of settings in Markdown. */
void BbSidecarSettings_PrintReference(FILE *out);

#ifdef __cplusplus
}
#endif

#endif
