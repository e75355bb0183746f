/*
 * bb_delta - row-level difference between two configurations
 *
 * USE
 *   The sender calls BbDelta_Make(), the receiver BbDelta_Apply() on the same
 *   base.
 *
 * FORMAT
 *   {"base":DIGEST,"pools":{"set":{NAME:ROW},"remove":[NAME]},
 *   "routes":{"set":{NAME:ROW},"remove":[NAME]}}
 *   "base" is the digest of the configuration that the delta applies to.
 *   "set" holds the rows that were added or changed, in full.
 *
 * LIMITS
 *   BbDelta_Apply() does not validate the resulting document. bb_active_config
 *   checks it against the digest in the signed record, so a wrong delta does
 *   not change the configuration in force.
 */
#ifndef BB_DELTA_H
#define BB_DELTA_H

#include "bb_config.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Returns the delta from base to next as a new reference. */
json_t *BbDelta_Make(const bb_config_t *base, const bb_config_t *next);

/*
 * Sets *out to a new reference to the document that results from the delta;
 * base is not changed. Returns 0, BB_ERR_PARSE for a malformed delta,
 * BB_ERR_NOT_FOUND when the delta has another base, or BB_ERR_MEMORY; on
 * errors *out is NULL.
 */
int BbDelta_Apply(const bb_config_t *base, json_t *delta, json_t **out);

#ifdef __cplusplus
}
#endif

#endif
