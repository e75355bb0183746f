/*
 * bb_versions - the latest configuration texts, and deltas between them
 *
 * A version usually differs from its predecessor in a few rows, while the full
 * text of 1,600 routes takes half a second on a link of 5 Mbit/s. A node that
 * has a recent version is therefore sent a delta: the new text compressed by
 * libzstd with the old text as prefix.
 *
 * USE
 *   BbVersions_Add(versions, 7, text, size);
 *   delta = BbVersions_EncodeDelta(versions, 5, &base); base is 5, or 0 if the
 *   delta contains the full text.
 *   text = BbVersions_DecodeDelta(versions, base, delta, size, text_size);
 *
 * LIMITS
 *   BB_VERSIONS_KEPT versions; texts up to 16 MiB.
 */
#ifndef BB_VERSIONS_H
#define BB_VERSIONS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BB_VERSIONS_KEPT 8

/* Enough for a node that serves versions to no other node. */
#define BB_VERSIONS_KEPT_BY_NON_READER 2

typedef struct bb_versions bb_versions_t;

bb_versions_t *BbVersions_New(void);
void BbVersions_Free(bb_versions_t *versions);

/* Sets how many versions are kept, 1 to BB_VERSIONS_KEPT; drops the oldest
 * ones above that. */
void BbVersions_SetMaxCount(bb_versions_t *versions, size_t max_count);

/* Versions must be added in ascending order; a version that is not newer, or
 * a text above the size limit, is ignored. */
void BbVersions_Add(bb_versions_t *versions, int64_t version, const char *text,
                    size_t size);

/* Version and text size of the newest version; 0 if there is none. */
int64_t BbVersions_Newest(const bb_versions_t *versions);
size_t BbVersions_NewestSize(const bb_versions_t *versions);

/* Encodes the newest version as a delta against the version that the receiver
 * holds, or in full if that version is not kept. Borrowed until the next
 * call; NULL if there is no version. */
const GByteArray *BbVersions_EncodeDelta(bb_versions_t *versions,
                                         int64_t receiver_version,
                                         int64_t *base);

/* Returns the decoded text, to be freed with g_free(); NULL if base is not
 * kept or the delta is corrupt. */
char *BbVersions_DecodeDelta(const bb_versions_t *versions, int64_t base,
                             const void *delta, size_t size, size_t text_size);

#ifdef __cplusplus
}
#endif

#endif
