/*
 * bb_curl_io - libcurl multi handle driven by a libev loop
 *
 * USE
 *   BbCurl_Start() adds an easy handle that the caller has prepared; done is
 *   called exactly once when the transfer ends, unless BbCurl_Cancel() is
 *   called first. BbCurl_Request() is the buffered form for control traffic.
 *
 * LIMITS
 *   done runs from the loop, never from inside BbCurl_Start(). It may free
 *   the easy handle and start other transfers.
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

typedef void (*bb_curl_done_t)(CURL *easy, CURLcode result, void *arg);

typedef struct {
    struct ev_loop *loop;
    int max_idle_connections; /* kept open for reuse; 0 takes curl's default */
} bb_curl_options_t;

bb_curl_t *BbCurl_New(const bb_curl_options_t *options);

/* Transfers still running are dropped without a call of done. */
void BbCurl_Free(bb_curl_t *curl);

/* Uses CURLOPT_PRIVATE of easy. Returns 0 or BB_ERR_IO. */
int BbCurl_Start(bb_curl_t *curl, CURL *easy, bb_curl_done_t done, void *arg);

/*
 * Socket that a running transfer uses, CURL_SOCKET_BAD before the first.
 * libcurl does not watch it while the transfer is paused, so an owner that
 * pauses for long looks for the end of the stream itself.
 */
curl_socket_t BbCurl_GetSocket(CURL *easy);

/* Removes the transfer; its connection is closed if an answer is pending. */
void BbCurl_Cancel(bb_curl_t *curl, CURL *easy);

/*
 * Result of a buffered request. error is 0 when an HTTP answer arrived,
 * BB_ERR_TIMEOUT, or BB_ERR_UNAVAILABLE. body is NUL terminated and valid
 * only during the call.
 */
typedef struct {
    int error;
    long status;
    const char *body;
    size_t body_size;
    int64_t bytes; /* sent and received, heads included */
    int is_sent;   /* 0: not a byte of the request left this process */
} bb_curl_result_t;

typedef void (*bb_curl_result_cb_t)(const bb_curl_result_t *result, void *arg);

typedef struct {
    const char *method; /* "GET", "PUT", "POST", "DELETE" */
    const char *url;    /* copied */
    const void *body;   /* copied; may be NULL */
    size_t body_size;
    long timeout_ms;
    size_t max_answer_bytes; /* 0 takes 8 MiB */
    /* libcurl sends a request again by itself when a kept connection closes
     * before the first byte of the answer; a new connection prevents that. */
    int needs_new_connection;
    bb_curl_result_cb_t done;
    void *arg;
} bb_curl_request_t;

/* Returns 0 or a negative error; done is called exactly once after 0. */
int BbCurl_Request(bb_curl_t *curl, const bb_curl_request_t *request);

#ifdef __cplusplus
}
#endif

#endif
