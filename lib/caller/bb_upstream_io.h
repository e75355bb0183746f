/*
 * bb_upstream_io - one request to another node or to the local target
 *
 * USE
 *   BbUpstream_Start() sends a request with a streamed body and reports the
 *   response through callbacks. The last one is done(), which runs exactly
 *   once unless BbUpstream_Cancel() is called first. The object is freed
 *   after done() and by BbUpstream_Cancel().
 *
 * LIMITS
 *   The request body can't be rewound, so libcurl fails a request whose
 *   reused connection closed after body bytes were sent, instead of sending it
 *   again. A request without a body is still sent again, so calls that must
 *   not run twice need use_new_connection.
 *
 *   The callbacks run inside libcurl. Only done() may start or cancel
 *   requests.
 */
#ifndef BB_UPSTREAM_IO_H
#define BB_UPSTREAM_IO_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bb_curl_io.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Values of body_bytes that are not a byte count. */
#define BB_BODY_NONE (-2)
#define BB_BODY_CHUNKED (-1)

typedef struct bb_upstream bb_upstream_t;
typedef struct bb_upstream_pool bb_upstream_pool_t;

typedef struct {
    /* Returns the bytes copied. 0 without *is_end set pauses the upload until
     * BbUpstream_ResumeRead(). */
    size_t (*read_body)(void *arg, char *data, size_t size, bool *is_end);
    /* A header of the final response head. */
    void (*header)(void *arg, const char *name, const char *value);
    /* The head is complete. body_bytes is -1 without a Content-Length. */
    void (*head)(void *arg, unsigned int status, int64_t body_bytes);
    /* Takes all bytes, or returns false, which pauses the download until
     * BbUpstream_ResumeWrite(). */
    bool (*write_body)(void *arg, const char *data, size_t size);
    /* was_sent: at least one byte of the request left this process. */
    void (*done)(void *arg, CURLcode code, bool was_sent);
} bb_upstream_events_t;

typedef struct {
    const char *address; /* "IP:PORT" */
    const char *target;  /* request target (path and query) as received */
    const char *method;
    struct curl_slist *headers; /* ownership is taken */
    int64_t body_bytes;         /* or BB_BODY_NONE, BB_BODY_CHUNKED */
    bool use_new_connection;    /* new connection, closed after the response */
    bool expect_continue;       /* send the body after "100 Continue" only */
    const bb_upstream_events_t *events;
    void *arg;
} bb_upstream_options_t;

bb_upstream_pool_t *BbUpstream_NewPool(bb_curl_t *curl);

/* Frees the pool; all requests must have ended. */
void BbUpstream_FreePool(bb_upstream_pool_t *pool);

/*
 * Returns NULL when libcurl cannot start the request, for example without
 * memory; nothing was sent.
 */
bb_upstream_t *BbUpstream_Start(bb_upstream_pool_t *pool,
                                const bb_upstream_options_t *options);

/* Continues a paused upload: body bytes or the end of the body are available.
 */
void BbUpstream_ResumeRead(bb_upstream_t *upstream);

/* Continues a paused download: there is room for response body bytes. */
void BbUpstream_ResumeWrite(bb_upstream_t *upstream);

/* True while the upload or download is paused by its callback. */
bool BbUpstream_IsReadPaused(const bb_upstream_t *upstream);
bool BbUpstream_IsWritePaused(const bb_upstream_t *upstream);

/*
 * True when the peer has closed the connection of a request whose upload is
 * paused. libcurl does not notice this until more of the body is sent.
 */
bool BbUpstream_IsClosedByPeer(const bb_upstream_t *upstream);

/* True when at least one byte of the request was sent. */
bool BbUpstream_WasSent(const bb_upstream_t *upstream);

/* Closes the connection and frees the object; done() does not run. */
void BbUpstream_Cancel(bb_upstream_t *upstream);

#ifdef __cplusplus
}
#endif

#endif
