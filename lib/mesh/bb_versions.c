#include "bb_versions.h"

#include <string.h>
#include <zstd.h>

/* log2 of the match window, which must cover the whole prefix. */
#define WINDOW_LOG 24
#define COMPRESSION_LEVEL 1
#define MAX_TEXT_BYTES (16 * 1024 * 1024)

typedef struct {
    int64_t version;
    char *text;
    size_t size;
} kept_version_t;

struct bb_versions {
    kept_version_t texts[BB_VERSIONS_KEPT]; /* newest last */
    size_t count;
    size_t max_count;  /* limit of count */
    GByteArray *delta; /* cached result of the last encoding */
    int64_t delta_base;
    int64_t delta_version;
};

bb_versions_t *
BbVersions_New(void)
{
    bb_versions_t *versions = g_new0(bb_versions_t, 1);

    versions->max_count = BB_VERSIONS_KEPT;
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
        g_free(versions->texts[i].text);
    }
    g_byte_array_unref(versions->delta);
    g_free(versions);
}

int64_t
BbVersions_Newest(const bb_versions_t *versions)
{
    return versions->count > 0 ? versions->texts[versions->count - 1].version
                               : 0;
}

size_t
BbVersions_NewestSize(const bb_versions_t *versions)
{
    return versions->count > 0 ? versions->texts[versions->count - 1].size : 0;
}

static void
drop_oldest(bb_versions_t *versions)
{
    g_free(versions->texts[0].text);
    versions->count--;
    memmove(versions->texts, versions->texts + 1,
            sizeof(kept_version_t) * versions->count);
}

void
BbVersions_SetMaxCount(bb_versions_t *versions, size_t max_count)
{
    versions->max_count = CLAMP(max_count, 1, BB_VERSIONS_KEPT);
    while (versions->count > versions->max_count) {
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
    if (versions->count == versions->max_count) {
        drop_oldest(versions);
    }
    versions->texts[versions->count++] = (kept_version_t){
        .version = version,
        .text = g_strndup(text, size),
        .size = size,
    };
}

static const kept_version_t *
find_version(const bb_versions_t *versions, int64_t version)
{
    for (size_t i = 0; i < versions->count; i++) {
        if (versions->texts[i].version == version) {
            return &versions->texts[i];
        }
    }
    return NULL;
}

static void
compress(GByteArray *out, const kept_version_t *newest,
         const kept_version_t *base)
{
    ZSTD_CCtx *context = ZSTD_createCCtx();

    g_byte_array_set_size(out, (guint)ZSTD_compressBound(newest->size));
    ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel,
                           COMPRESSION_LEVEL);
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
BbVersions_EncodeDelta(bb_versions_t *versions, int64_t receiver_version,
                       int64_t *base)
{
    if (versions->count == 0) {
        return NULL;
    }
    const kept_version_t *newest = &versions->texts[versions->count - 1];
    const kept_version_t *old = find_version(versions, receiver_version);
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
BbVersions_DecodeDelta(const bb_versions_t *versions, int64_t base,
                       const void *delta, size_t size, size_t text_size)
{
    const kept_version_t *old = find_version(versions, base);

    if ((base != 0 && old == NULL) || text_size > MAX_TEXT_BYTES) {
        return NULL;
    }
    ZSTD_DCtx *context = ZSTD_createDCtx();
    char *text = g_malloc(text_size + 1);
    ZSTD_DCtx_setParameter(context, ZSTD_d_windowLogMax, WINDOW_LOG);
    if (old != NULL) {
        ZSTD_DCtx_refPrefix(context, old->text, old->size);
    }
    size_t decoded_size =
        ZSTD_decompressDCtx(context, text, text_size, delta, size);
    ZSTD_freeDCtx(context);
    if (decoded_size != text_size) {
        g_free(text);
        return NULL;
    }
    text[text_size] = '\0';
    return text;
}
