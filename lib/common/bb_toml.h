/*
 * bb_toml - TOML files as jansson trees with line numbers
 *
 * A C interface to toml++, which is C++: Debian has no TOML reader in C.
 *
 * USE
 *   bb_toml_t *toml = BbToml_Load("examples/kingston.toml", &findings);
 *   json_t *root = BbToml_Root(toml);
 *   int line = BbToml_Line(toml, "route.parts.pool");
 *
 * LIMITS
 *   Dates and times become strings. A '.' inside a key is not escaped in the
 *   paths of BbToml_Line(), so two keys may have the same path.
 */
#ifndef BB_TOML_H
#define BB_TOML_H

#include <jansson.h>

#include "bb_findings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_toml bb_toml_t;

/* Returns NULL and adds a finding, with its line if known, when the file
 * cannot be read or is not TOML. */
bb_toml_t *BbToml_Load(const char *path, bb_findings_t *findings);

/* Like BbToml_Load() for text in memory; name is the source of findings. */
bb_toml_t *BbToml_Parse(const char *text, const char *name,
                        bb_findings_t *findings);

void BbToml_Free(bb_toml_t *toml);

/* Borrowed reference. */
json_t *BbToml_Root(const bb_toml_t *toml);

/* Returns the line of the key with this dotted path, 0 if there is none. Array
 * elements have their index as key: "owner.0". */
int BbToml_Line(const bb_toml_t *toml, const char *path);

#ifdef __cplusplus
}
#endif

#endif
