/*
 * bb_curl_io - libcurl multi handle driven by a libev loop
 *
 * USE
 *   BbCurl_Start() starts the transfer of a prepared easy handle; done is
 *   called exactly once when the transfer ends, unless BbCurl_Cancel() is
 *   called first. BbCurl_Request() sends a request and buffers its response;
 *   it is meant for control traffic.
 *
 * LIMITS
 *   done is called from the loop, never from inside BbCurl_Start(). It may
 *   free the easy handle and start other transfers.
 */
#ifndef BB_CURL_IO_H
#define BB_CURL_IO_H

#include <curl/curl.h>
#include <ev.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_curl bb_curl_t;

typedef void (*bb_curl_done_cb_t)(CURL *easy, CURLcode result, void *arg);

typedef struct {
    struct ev_loop *loop;
    int max_idle_connections; /* kept open for reuse; 0: libcurl's default */
} bb_curl_options_t;

bb_curl_t *BbCurl_New(const bb_curl_options_t *options);

/* Cancels the running transfers without calling done. */
void BbCurl_Free(bb_curl_t *curl);

/* Uses CURLOPT_PRIVATE of easy. Returns 0 or BB_ERR_IO. */
int BbCurl_Start(bb_curl_t *curl, CURL *easy, bb_curl_done_cb_t done,
                 void *arg);

/*
 * Returns the socket of a running transfer, CURL_SOCKET_BAD before it has one.
 * libcurl does not watch the socket of a paused transfer, so code that pauses
 * a transfer for long must itself check whether the peer has closed it.
 */
curl_socket_t BbCurl_GetSocket(CURL *easy);

/* Ends the transfer without calling done; its connection is closed if the
 * response is not complete. */
void BbCurl_Cancel(bb_curl_t *curl, CURL *easy);

/*
 * Result of a buffered request. error is 0 when an HTTP response arrived,
 * BB_ERR_TIMEOUT, or BB_ERR_UNAVAILABLE, also when what arrived is not valid
 * HTTP. body is NUL terminated and valid only while done runs.
 */
typedef struct {
    int error;
    long status;
    const char *body;
    size_t body_size;
    int64_t bytes; /* sent and received, with headers */
    int is_sent;   /* 0: no byte of the request left this process */
} bb_curl_result_t;

typedef void (*bb_curl_result_cb_t)(const bb_curl_result_t *result, void *arg);

typedef struct {
    const char *method; /* "GET", "PUT", "POST", "DELETE" */
    const char *url;    /* copied */
    const void *body;   /* copied; may be NULL */
    size_t body_size;
    long timeout_ms;
    size_t max_response_bytes; /* 0: 8 MiB; over it: BB_ERR_UNAVAILABLE */
    /* libcurl sends a request again by itself when a reused connection closes
     * before the first byte of the response; a new connection prevents that.
     */
    int needs_new_connection;
    bb_curl_result_cb_t done;
    void *arg;
} bb_curl_request_t;

/* Returns 0 or a negative error. done is called exactly once if 0 is returned,
 * else never. */
int BbCurl_Request(bb_curl_t *curl, const bb_curl_request_t *request);

#ifdef __cplusplus
}
#endif

#endif
