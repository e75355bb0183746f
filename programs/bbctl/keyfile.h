/*
 * keyfile - an owner's Ed25519 key in a file with mode 0600
 *
 * The file is JSON: {"public_key":HEX,"secret_key":HEX}. A file that its group
 * or others can access is refused, because they may know or replace its key.
 */
#ifndef BBCTL_KEYFILE_H
#define BBCTL_KEYFILE_H

#include "bb_findings.h"
#include "bb_release.h"

#define KEYFILE_SECRET_BYTES 64

typedef struct {
    char public_key[BB_KEY_HEX_LENGTH + 1];
    unsigned char secret_key[KEYFILE_SECRET_BYTES];
} keyfile_t;

/* Makes a key and its file, which must not exist. Returns 0 or BB_ERR_IO with
 * a finding. */
int Keyfile_Create(const char *path, keyfile_t *key, bb_findings_t *findings);

/* Returns 0, BB_ERR_IO, BB_ERR_INVALID (mode) or BB_ERR_PARSE with a finding.
 */
int Keyfile_Load(const char *path, keyfile_t *key, bb_findings_t *findings);

/* Overwrites the key in memory. */
void Keyfile_Wipe(keyfile_t *key);

#endif
