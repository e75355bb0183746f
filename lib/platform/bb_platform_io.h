/*
 * bb_platform_io - client of the platform's table service and object store
 *
 * PROTOCOL (HTTP/1.1, JSON)
 *   GET  /v1/rows/TABLE/KEY   200 {"value":V,"revision":N,"now_ms":T}, 404
 *   GET  /v1/rows/TABLE       200 {"rows":[{"key","value","revision"}],
 *                             "now_ms":T}; optional query prefix=
 *   POST /v1/transaction      {"id":HEX,"checks":[...],"writes":[...]}
 *     checks:  {"table","key","revision":N}  N = 0: the row is absent
 *              {"not_before_ms":A,"before_ms":B}  commit time by the
 *              platform's clock
 *     writes:  {"table","key","value":V[,"ttl_ms":T]}; value null deletes
 *     200 {"revision":N,"now_ms":T}, 409 {"conflicts":[{"check":I,...}]}
 *              I is the index of the failed check
 *   PUT  /v1/objects/KEY      201; 200 when the object exists with the same
 *                             content; 409 when it exists with another
 *   GET  /v1/objects/KEY      200, 404
 *   A 503 means that nothing was written.
 *
 * ERRORS
 *   0, BB_ERR_NOT_FOUND, BB_ERR_CONFLICT (a check of the transaction failed,
 *   or the object exists with other content), BB_ERR_UNAVAILABLE (a read
 *   failed, or a write certainly had no effect) or BB_ERR_UNKNOWN (a write may
 *   have taken effect: read back to find out).
 *   done is called exactly once per request, from the loop.
 *
 * LIMITS
 *   Call BbCurl_Free() before BbPlatform_Free(): requests still running are
 *   then dropped without a call of done. Each write uses a new connection,
 *   because libcurl may resend a request on a reused connection.
 */
#ifndef BB_PLATFORM_IO_H
#define BB_PLATFORM_IO_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "bb_curl_io.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_platform bb_platform_t;

typedef struct {
    bb_curl_t *curl;
    const char *url; /* "http://IP:PORT", copied */
    long timeout_ms; /* per request; 0 selects 2,000 ms */
} bb_platform_options_t;

/* response is borrowed and NULL on errors other than BB_ERR_CONFLICT. */
typedef void (*bb_platform_cb_t)(int error, json_t *response, void *arg);

/* content is NUL terminated and valid only during the call. */
typedef void (*bb_platform_object_cb_t)(int error, const char *content,
                                        size_t size, void *arg);

bb_platform_t *BbPlatform_New(const bb_platform_options_t *options);

void BbPlatform_Free(bb_platform_t *platform);

/* Borrowed; valid until BbPlatform_Free(). */
const char *BbPlatform_Url(const bb_platform_t *platform);

void BbPlatform_GetRow(bb_platform_t *platform, const char *table,
                       const char *key, bb_platform_cb_t done, void *arg);

/* prefix may be NULL. */
void BbPlatform_ListRows(bb_platform_t *platform, const char *table,
                         const char *prefix, bb_platform_cb_t done, void *arg);

/* Keeps no reference to transaction after the call. */
void BbPlatform_Commit(bb_platform_t *platform, json_t *transaction,
                       bb_platform_cb_t done, void *arg);

void BbPlatform_PutObject(bb_platform_t *platform, const char *key,
                          const char *content, size_t size,
                          bb_platform_object_cb_t done, void *arg);

void BbPlatform_GetObject(bb_platform_t *platform, const char *key,
                          bb_platform_object_cb_t done, void *arg);

/* Number of requests so far, and of bytes sent and received. */
int64_t BbPlatform_RequestCount(const bb_platform_t *platform);
int64_t BbPlatform_ByteCount(const bb_platform_t *platform);

#ifdef __cplusplus
}
#endif

#endif
