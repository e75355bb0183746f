/*
 * io - blocking requests to the platform and to nodes
 *
 * Each function runs the event loop until its requests have ended. Functions
 * that return int return 0 or an error of bb_platform_io.h. Responses are new
 * references.
 */
#ifndef BBCTL_IO_H
#define BBCTL_IO_H

#include "bb_accept.h"
#include "bbctl.h"

int Io_GetRow(bbctl_t *ctl, const char *table, const char *key,
              json_t **response);

/* prefix may be NULL. */
int Io_ListRows(bbctl_t *ctl, const char *table, const char *prefix,
                json_t **response);

/* The response is also set on BB_ERR_CONFLICT. */
int Io_Commit(bbctl_t *ctl, json_t *transaction, json_t **response);

/* Retries on BB_ERR_UNKNOWN (the response was lost). This is safe because
 * objects are write-once: storing the same content again succeeds. */
int Io_PutObject(bbctl_t *ctl, const char *key, const char *content,
                 size_t size);

/* Free *content with g_free(). */
int Io_GetObject(bbctl_t *ctl, const char *key, char **content, size_t *size);

/* Sends GET for one path to all addresses at the same time. responses[i] is
 * NULL when the node at addresses[i] did not answer, or not with JSON. */
void Io_GetFromNodes(bbctl_t *ctl, char **addresses, size_t count,
                     const char *path, json_t **responses);

void Io_Sleep(bbctl_t *ctl, int64_t ms);

/* Returns the row of a response of Io_GetRow(), an absent row for NULL. The
 * value is borrowed from the response. */
bb_row_t Io_ExtractRow(json_t *response);

#endif
