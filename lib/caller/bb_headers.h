/*
 * bb_headers - which header fields a node forwards; formatting and parsing of
 *              fields
 */
#ifndef BB_HEADERS_H
#define BB_HEADERS_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* True for "Burdock-*", the fields of this system. */
bool BbHeaders_IsInternal(const char *name);

/*
 * True for fields that apply to one connection only, and for fields that a
 * node sets itself on each connection (Content-Length, Transfer-Encoding,
 * Expect). connection is the value of the Connection field, which may name
 * further hop-by-hop fields, or NULL.
 */
bool BbHeaders_IsHopByHop(const char *name, const char *connection);

/* Appends a field in the form that makes libcurl send it, also when value is
 * empty. Returns the new list, or the old one when memory is exhausted. */
struct curl_slist *BbHeaders_Append(struct curl_slist *list, const char *name,
                                    const char *value);

/*
 * Reads a decimal number in [minimum, maximum]. Returns false for signs,
 * blanks, other characters and values out of this range. minimum must not be
 * negative.
 */
bool BbHeaders_ParseNumber(const char *text, int64_t minimum, int64_t maximum,
                           int64_t *out);

#ifdef __cplusplus
}
#endif

#endif
