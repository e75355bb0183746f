/*
 * bb_config - immutable snapshot of the routes and pools tables
 *
 * A bb_config_t is reference counted. A call holds a reference to the
 * snapshot that it started with, so that a new version does not change the
 * routing of calls in progress.
 *
 * Every route points to a pool and every pool to a service of the same
 * snapshot (guarantee G2 of docs/design.md): BbConfig_Parse() rejects a
 * document with a dangling reference, and BbConfig_AssertReferences() checks
 * the built snapshot again.
 *
 * ERRORS
 *   Functions that return an int return 0 or a BB_ERR_* code. The parsing
 *   functions set *out to NULL on error and report why in findings.
 *
 * LIMITS
 *   The reference count is not atomic. Documents and names have the maximum
 *   sizes defined below.
 */
#ifndef BB_CONFIG_H
#define BB_CONFIG_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bb_findings.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_MAX_DOCUMENT_BYTES (4 * 1024 * 1024)
#define BB_MAX_ROUTES 10000
#define BB_MAX_POOLS 2000
#define BB_MAX_NAME_LENGTH 63          /* bytes */
#define BB_MAX_PATH_PREFIX_LENGTH 1024 /* bytes */
#define BB_MAX_HOST_LENGTH 253         /* bytes; limit of DNS */
#define BB_DIGEST_HEX_LENGTH \
    64 /* BLAKE2b-256 in lower-case hex, without the NUL */

/* How a non-idempotent call is prevented from running twice. */
typedef enum {
    BB_ONCE_MODE_NONE,   /* only by its call id, not by an idempotency key */
    BB_ONCE_MODE_WINDOW, /* the target-side node remembers idempotency keys */
    BB_ONCE_MODE_CLAIM, /* idempotency keys are claimed in the platform's table
                         */
} bb_once_mode_t;

typedef struct {
    char *name;
    int index; /* position among the services of the snapshot */
} bb_service_t;

typedef struct {
    char *name;
    const bb_service_t *service;
    int slots;       /* concurrent calls per target-side node */
    int connections; /* open connections per target-side node */
    int queue;       /* calls waiting per target-side node */
    int retry_max;   /* retries per call */
    bb_once_mode_t once;
    bool spill; /* targets in other data centres may serve its calls */
} bb_pool_t;

/* Bits of bb_route_t.methods. */
enum {
    BB_METHOD_GET = 1 << 0,
    BB_METHOD_HEAD = 1 << 1,
    BB_METHOD_POST = 1 << 2,
    BB_METHOD_PUT = 1 << 3,
    BB_METHOD_DELETE = 1 << 4,
    BB_METHOD_PATCH = 1 << 5,
    BB_METHOD_OPTIONS = 1 << 6,
    BB_METHOD_ALL = (1 << 7) - 1,
};

/* The idempotent column of a route; BY_METHOD when the column is not set. */
typedef enum {
    BB_IDEMPOTENT_BY_METHOD,
    BB_IDEMPOTENT_YES,
    BB_IDEMPOTENT_NO,
} bb_idempotent_t;

typedef struct {
    char *name;
    char *host; /* lower case, or "*" for any host */
    char *path_prefix;
    unsigned int methods; /* bits BB_METHOD_* */
    bb_idempotent_t idempotent;
    int timeout_ms;
    const bb_pool_t *pool;
} bb_route_t;

typedef struct bb_config bb_config_t;

/*
 * Validates a document {"pools":{},"routes":{}} and builds a snapshot of it.
 * Reports every finding, not only the first, with its table, row and column.
 * Returns BB_ERR_INVALID or BB_ERR_LIMIT when there is a finding.
 */
int BbConfig_Parse(json_t *document, bb_findings_t *findings,
                   bb_config_t **out);

/*
 * Like BbConfig_Parse(), for a document made by BbDelta_Apply() from base.
 * Row objects that it shares with base are not validated again; references
 * between rows are.
 */
int BbConfig_ParseIncremental(const bb_config_t *base, json_t *document,
                              bb_findings_t *findings, bb_config_t **out);

/*
 * Parses JSON text, which need not be in canonical form. Returns BB_ERR_PARSE
 * when it is not valid JSON.
 */
int BbConfig_ParseText(const char *text, size_t size, bb_findings_t *findings,
                       bb_config_t **out);

/*
 * Reads the tables [route.NAME] and [pool.NAME] of a TOML file. Findings have
 * line numbers.
 */
int BbConfig_LoadToml(const char *path, bb_findings_t *findings,
                      bb_config_t **out);

/*
 * Validates one row without the references to other rows. *out becomes a new
 * reference to its canonical form. table is "routes" or "pools". Returns 0 or
 * BB_ERR_INVALID.
 */
int BbConfig_CheckRow(const char *table, const char *name, json_t *row,
                      bb_findings_t *findings, json_t **out);

/* Writes the hex digest of text to out, which has BB_DIGEST_HEX_LENGTH + 1
 * bytes. */
void BbConfig_ComputeDigest(const char *text, size_t size, char *out);

bb_config_t *BbConfig_Ref(bb_config_t *config);

void BbConfig_Unref(bb_config_t *config);

/*
 * Canonical form: compact JSON with sorted keys and default values written
 * out. The idempotent column is omitted when the method decides; methods are
 * listed in the order of their bits, as an empty array when all are allowed;
 * hosts are lower case; a path prefix other than "/" has no trailing slash.
 * size may be NULL.
 */
const char *BbConfig_CanonicalText(const bb_config_t *config, size_t *size);

/* Hex digest of the canonical form. */
const char *BbConfig_Digest(const bb_config_t *config);

/* The canonical document as a JSON object; borrowed. */
json_t *BbConfig_Document(const bb_config_t *config);

size_t BbConfig_RouteCount(const bb_config_t *config);
const bb_route_t *BbConfig_Route(const bb_config_t *config, size_t index);
size_t BbConfig_PoolCount(const bb_config_t *config);
const bb_pool_t *BbConfig_Pool(const bb_config_t *config, size_t index);
size_t BbConfig_ServiceCount(const bb_config_t *config);
const bb_service_t *BbConfig_Service(const bb_config_t *config, size_t index);

/* NULL when there is no pool of this name. */
const bb_pool_t *BbConfig_FindPool(const bb_config_t *config,
                                   const char *name);

/* BB_METHOD_* bit of a method name, 0 for any other method. */
unsigned int BbConfig_MethodBit(const char *method);

/*
 * Finds the route with the longest matching path prefix, NULL when none
 * matches. Routes of the exact host are tried before those of host "*". host
 * may be NULL; its port and the query of path are ignored. A prefix matches
 * whole path segments only. A route that does not allow the method does not
 * match. Cost: at most two hash look-ups per path segment, independent of the
 * number of routes.
 */
const bb_route_t *BbConfig_FindRoute(const bb_config_t *config,
                                     const char *host, const char *path,
                                     const char *method);

/* True when a call with this method on this route may be repeated. */
bool BbRoute_IsIdempotent(const bb_route_t *route, const char *method);

/* Aborts when a route or pool points outside the snapshot (violates G2). */
void BbConfig_AssertReferences(const bb_config_t *config);

#ifdef __cplusplus
}
#endif

#endif
