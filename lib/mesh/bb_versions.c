#include "bb_versions.h"

#include <string.h>
#include <zstd.h>

/* The window must reach back over the whole old text. */
#define WINDOW_LOG 24
#define LEVEL 1
#define MAX_TEXT_BYTES (16 * 1024 * 1024)

typedef struct {
    int64_t version;
    char *text;
    size_t size;
} held_t;

struct bb_versions {
    held_t held[BB_VERSIONS_KEPT]; /* newest last */
    size_t count;
    size_t kept;
    GByteArray *delta; /* the last one that was encoded */
    int64_t delta_base;
    int64_t delta_version;
};

bb_versions_t *
BbVersions_New(void)
{
    bb_versions_t *versions = g_new0(bb_versions_t, 1);

    versions->kept = BB_VERSIONS_KEPT;
    versions->delta = g_byte_array_new();
    return versions;
}

void
BbVersions_Free(bb_versions_t *versions)
{
    if (versions == NULL) {
        return;
    }
    for (size_t i = 0; i < versions->count; i++) {
        g_free(versions->held[i].text);
    }
    g_byte_array_unref(versions->delta);
    g_free(versions);
}

int64_t
BbVersions_Newest(const bb_versions_t *versions)
{
    return versions->count > 0 ? versions->held[versions->count - 1].version
                               : 0;
}

size_t
BbVersions_NewestSize(const bb_versions_t *versions)
{
    return versions->count > 0 ? versions->held[versions->count - 1].size : 0;
}

static void
drop_oldest(bb_versions_t *versions)
{
    g_free(versions->held[0].text);
    versions->count--;
    memmove(versions->held, versions->held + 1,
            sizeof(held_t) * versions->count);
}

void
BbVersions_SetKept(bb_versions_t *versions, size_t kept)
{
    versions->kept = CLAMP(kept, 1, BB_VERSIONS_KEPT);
    while (versions->count > versions->kept) {
        drop_oldest(versions);
    }
}

void
BbVersions_Add(bb_versions_t *versions, int64_t version, const char *text,
               size_t size)
{
    if (version <= BbVersions_Newest(versions) || size > MAX_TEXT_BYTES) {
        return;
    }
    if (versions->count == versions->kept) {
        drop_oldest(versions);
    }
    versions->held[versions->count++] = (held_t){
        .version = version,
        .text = g_strndup(text, size),
        .size = size,
    };
}

static const held_t *
find_held(const bb_versions_t *versions, int64_t version)
{
    for (size_t i = 0; i < versions->count; i++) {
        if (versions->held[i].version == version) {
            return &versions->held[i];
        }
    }
    return NULL;
}

static void
compress(GByteArray *out, const held_t *newest, const held_t *base)
{
    ZSTD_CCtx *context = ZSTD_createCCtx();

    g_byte_array_set_size(out, (guint)ZSTD_compressBound(newest->size));
    ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, LEVEL);
    if (base != NULL) {
        ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog, WINDOW_LOG);
        ZSTD_CCtx_setParameter(context, ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(context, base->text, base->size);
    }
    size_t size = ZSTD_compress2(context, out->data, out->len, newest->text,
                                 newest->size);
    g_byte_array_set_size(out, ZSTD_isError(size) ? 0 : (guint)size);
    ZSTD_freeCCtx(context);
}

const GByteArray *
BbVersions_Encode(bb_versions_t *versions, int64_t held, int64_t *base)
{
    if (versions->count == 0) {
        return NULL;
    }
    const held_t *newest = &versions->held[versions->count - 1];
    const held_t *old = find_held(versions, held);
    *base = old != NULL ? old->version : 0;
    if (versions->delta_version != newest->version ||
        versions->delta_base != *base || versions->delta->len == 0) {
        compress(versions->delta, newest, old);
        versions->delta_version = newest->version;
        versions->delta_base = *base;
    }
    return versions->delta->len > 0 ? versions->delta : NULL;
}

char *
BbVersions_Decode(const bb_versions_t *versions, int64_t base,
                  const void *delta, size_t size, size_t text_size)
{
    const held_t *old = find_held(versions, base);

    if ((base != 0 && old == NULL) || text_size > MAX_TEXT_BYTES) {
        return NULL;
    }
    ZSTD_DCtx *context = ZSTD_createDCtx();
    char *text = g_malloc(text_size + 1);
    ZSTD_DCtx_setParameter(context, ZSTD_d_windowLogMax, WINDOW_LOG);
    if (old != NULL) {
        ZSTD_DCtx_refPrefix(context, old->text, old->size);
    }
    size_t got = ZSTD_decompressDCtx(context, text, text_size, delta, size);
    ZSTD_freeDCtx(context);
    if (got != text_size) {
        g_free(text);
        return NULL;
    }
    text[text_size] = '\0';
    return text;
}
