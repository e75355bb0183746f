/*
 * bb_config_check - validation of the routes and pools tables
 *
 * Internal to lib/operator. Produces the canonical document, with default
 * values written out, or findings with their location. Two routes with the
 * same host, path prefix and a common method are rejected: which of them
 * matches would depend on the order of the rows.
 */
#ifndef BB_CONFIG_CHECK_H
#define BB_CONFIG_CHECK_H

#include <jansson.h>

#include "bb_findings.h"
#include "bb_toml.h"

/* Where a document comes from: its file, for the locations of findings, and
 * the document that it was derived from. */
typedef struct {
    const char *path;      /* NULL when it is JSON */
    const bb_toml_t *toml; /* NULL when it is JSON */
    /* A document validated before, or NULL. Rows that are the same object in
     * both documents are not validated again. */
    json_t *base;
} bb_config_source_t;

/*
 * Validates a document. Returns 0 with a new reference in *out, or
 * BB_ERR_INVALID or BB_ERR_LIMIT with NULL in *out.
 */
int BbConfigCheck_Document(json_t *document, const bb_config_source_t *source,
                           bb_findings_t *findings, json_t **out);

#endif
