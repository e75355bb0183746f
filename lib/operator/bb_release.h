/*
 * bb_release - the signed record of an accepted version
 *
 * The record holds a version number, the digest of the content and the owner
 * who accepted it. The owner's Ed25519 signature covers every field except
 * write_id and the signature itself, encoded as compact JSON with sorted keys.
 * A node that relays records can delay one, but cannot change a signed field
 * without detection.
 *
 * USE
 *   Fill in a bb_release_t, call BbRelease_Sign() and store the result of
 *   BbRelease_ToJson(). To read one, call BbRelease_FromJson() and then
 *   BbRelease_Verify(). sodium_init() must have been called before.
 */
#ifndef BB_RELEASE_H
#define BB_RELEASE_H

#include <jansson.h>
#include <stdint.h>

#include "bb_config.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_KEY_HEX_LENGTH 64        /* Ed25519 public key in hex */
#define BB_SIGNATURE_HEX_LENGTH 128 /* Ed25519 signature in hex */
#define BB_WRITE_ID_HEX_LENGTH 32   /* random identifier of a write, in hex */
#define BB_MONTH_LENGTH 7           /* "YYYY-MM" */

typedef struct {
    int64_t version; /* 1 and up */
    int64_t size;    /* bytes of the canonical content */
    char digest[BB_DIGEST_HEX_LENGTH + 1];
    char previous_digest[BB_DIGEST_HEX_LENGTH + 1]; /* empty for version 1 */
    char owner[BB_MAX_NAME_LENGTH + 1];
    char month[BB_MONTH_LENGTH + 1];
    char write_id[BB_WRITE_ID_HEX_LENGTH + 1];
    char signature[BB_SIGNATURE_HEX_LENGTH + 1];
} bb_release_t;

/* An owner whose signatures a node accepts. */
typedef struct {
    char name[BB_MAX_NAME_LENGTH + 1];
    unsigned char key[32]; /* Ed25519 public key */
} bb_trusted_owner_t;

/* Returns 0, or BB_ERR_PARSE when a field is missing or malformed. Does not
 * check the signature. */
int BbRelease_FromJson(json_t *object, bb_release_t *out);

/* Returns a new reference. */
json_t *BbRelease_ToJson(const bb_release_t *release);

/* Sets release->signature. secret_key is a 64-byte Ed25519 secret key of
 * libsodium. Returns 0, or BB_ERR_ARGUMENT when a text field is not valid
 * UTF-8. */
int BbRelease_Sign(bb_release_t *release, const unsigned char *secret_key);

/* Returns 0 when a key of the owner named in the record made the signature,
 * otherwise BB_ERR_SIGNATURE. */
int BbRelease_Verify(const bb_release_t *release,
                     const bb_trusted_owner_t *owners, size_t owner_count);

#ifdef __cplusplus
}
#endif

#endif
