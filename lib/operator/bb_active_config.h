/*
 * bb_active_config - the configuration version in force on one node
 *
 * USE
 *   Pass each version that the node receives to BbActiveConfig_Apply(), or to
 *   BbActiveConfig_ApplyDelta() when it came as a delta. These two are the
 *   only functions that change the node's configuration. They check the
 *   version number, signature, size, digest, document and references, and
 *   replace the configuration by swapping one pointer only when the number is
 *   higher and every check passes. This keeps two guarantees of
 *   docs/design.md: a node's version never decreases (G1), and a bad version
 *   is never partially applied (G3).
 *
 * ERRORS
 *   A refused version leaves the configuration in force unchanged. Each reason
 *   for a refusal has a counter.
 *
 * LIMITS
 *   The content of a version is at most BB_MAX_DOCUMENT_BYTES.
 */
#ifndef BB_ACTIVE_CONFIG_H
#define BB_ACTIVE_CONFIG_H

#include "bb_config.h"
#include "bb_release.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_active_config bb_active_config_t;

typedef struct {
    const bb_trusted_owner_t
        *owners; /* borrowed until BbActiveConfig_Free() */
    size_t owner_count;
    /* Called after each change of the version in force; both arguments are
     * borrowed. May be NULL. */
    void (*on_swap)(const bb_release_t *release, bb_config_t *config,
                    void *arg);
    void *arg;
} bb_active_config_options_t;

bb_active_config_t *
BbActiveConfig_New(const bb_active_config_options_t *options);

void BbActiveConfig_Free(bb_active_config_t *active_config);

/*
 * Checks a version with its full content and puts it in force. Returns
 *   0                 the version is in force,
 *   BB_ERR_STALE      the number is lower, or the same with the same digest;
 *                     adds no finding,
 *   BB_ERR_SIGNATURE  no trusted key of the named owner made the signature,
 *   BB_ERR_DIGEST     the content does not have the signed size or digest, or
 *                     is not in canonical form,
 *   BB_ERR_LIMIT      the content is too large,
 *   BB_ERR_PARSE      the content is not a well-formed document,
 *   BB_ERR_INVALID    the document is invalid, or the version in force has the
 *                     same number but another digest.
 */
int BbActiveConfig_Apply(bb_active_config_t *active_config,
                         const bb_release_t *release, const char *text,
                         size_t size, bb_findings_t *findings);

/*
 * Like BbActiveConfig_Apply() for a version sent as a delta (see bb_delta.h)
 * to the version in force. Returns BB_ERR_NOT_FOUND when the delta has another
 * base or no version is in force; the full content can then be requested from
 * the sender.
 */
int BbActiveConfig_ApplyDelta(bb_active_config_t *active_config,
                              const bb_release_t *release, json_t *delta,
                              bb_findings_t *findings);

/* The configuration in force and its signed record, borrowed. Both are NULL
 * before the first version. */
bb_config_t *BbActiveConfig_GetConfig(const bb_active_config_t *active_config);
const bb_release_t *
BbActiveConfig_GetRelease(const bb_active_config_t *active_config);

/* Number of the version in force, 0 before the first. */
int64_t BbActiveConfig_GetVersion(const bb_active_config_t *active_config);

#ifdef __cplusplus
}
#endif

#endif
