/*
 * bb_versions - the last texts of the configuration, and what changed
 *
 * A version differs from the one before it in a few rows, while the whole
 * text of 1,600 routes takes half a second on a link of 5 Mbit/s. A node that
 * holds a recent version is therefore sent the text compressed against that
 * version (libzstd with the old text as prefix).
 *
 * USE
 *   BbVersions_Add(versions, 7, text, size);
 *   delta = BbVersions_Encode(versions, 5, &base); base is 5, or 0 when the
 *   delta holds the whole text.
 *   text = BbVersions_Decode(versions, base, delta, size, text_size);
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

/* Enough for a node that tells no others. */
#define BB_VERSIONS_KEPT_ALONE 2

typedef struct bb_versions bb_versions_t;

bb_versions_t *BbVersions_New(void);
void BbVersions_Free(bb_versions_t *versions);

/* Keeps fewer versions than BB_VERSIONS_KEPT from now on; at least 1. */
void BbVersions_SetKept(bb_versions_t *versions, size_t kept);

/* Versions must be added in ascending order; others are ignored. */
void BbVersions_Add(bb_versions_t *versions, int64_t version, const char *text,
                    size_t size);

int64_t BbVersions_Newest(const bb_versions_t *versions);
size_t BbVersions_NewestSize(const bb_versions_t *versions);

/* The newest version against what the other side holds; borrowed until the
 * next call. NULL when there is none. */
const GByteArray *BbVersions_Encode(bb_versions_t *versions, int64_t held,
                                    int64_t *base);

/* The text, to be freed with g_free(); NULL when base is not held or the
 * delta is damaged. */
char *BbVersions_Decode(const bb_versions_t *versions, int64_t base,
                        const void *delta, size_t size, size_t text_size);

#ifdef __cplusplus
}
#endif

#endif
