/*
 * bb_settings - settings of one node, read from TOML
 *
 * USE
 *   bb_settings_t settings;
 *   int error = BbSettings_Load(&options, &findings, &settings);
 *   BbSettings_Free(&settings);
 *
 *   A file holds the settings that all nodes of an installation share;
 *   overrides of the form "section.key=value" set those that differ per VM
 *   (addresses, data centre). Unknown keys, wrong types and values out of
 *   range are findings with file, line and key, all reported together.
 */
#ifndef BB_SETTINGS_H
#define BB_SETTINGS_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "bb_findings.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_MAX_SEEDS 64
#define BB_MAX_OWNERS 32

typedef struct {
    char *name;
    char *public_key; /* Ed25519, 64 hex digits */
} bb_owner_setting_t;

/* The help texts of settings_table in bb_settings.c describe each member. */
typedef struct {
    /* [node] */
    char *cluster; /* name of the installation */
    char *data_centre;
    char *caller_address;
    char *admin_address;
    char *peer_address;
    char *log_level;
    /* [platform] */
    char *platform_url;
    char *platform_mode;
    int64_t poll_ms;
    int64_t platform_timeout_ms;
    /* [peer] */
    char *peer_mode;
    int64_t fanout;
    char *seeds[BB_MAX_SEEDS];
    size_t seed_count;
    /* [call] */
    char *balancer;
    char *admission;
    char *retry;
    int64_t drain_ms;
    int64_t stall_ms;
    /* [[owner]] */
    bb_owner_setting_t owners[BB_MAX_OWNERS];
    size_t owner_count;
} bb_settings_t;

typedef struct {
    const char *path; /* TOML file; NULL: defaults and overrides only */
    const char *const *overrides; /* NULL-terminated; may be NULL */
} bb_settings_options_t;

/* Returns 0 or BB_ERR_INVALID with findings. */
int BbSettings_Load(const bb_settings_options_t *options,
                    bb_findings_t *findings, bb_settings_t *out);

void BbSettings_Free(bb_settings_t *settings);

/* Writes the text of docs/SETTINGS.md: each key with type, unit, range and
 * default. */
void BbSettings_PrintReference(FILE *out);

#ifdef __cplusplus
}
#endif

#endif
