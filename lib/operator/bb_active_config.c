#include "bb_active_config.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "bb_counters.h"
#include "bb_delta.h"
#include "bb_error.h"

struct bb_active_config {
    bb_active_config_options_t options;
    bb_config_t *config;
    bb_release_t release;
};

bb_active_config_t *
BbActiveConfig_New(const bb_active_config_options_t *options)
{
    bb_active_config_t *active_config = g_new0(bb_active_config_t, 1);
    active_config->options = *options;
    return active_config;
}

void
BbActiveConfig_Free(bb_active_config_t *active_config)
{
    if (active_config != NULL) {
        BbConfig_Unref(active_config->config);
        g_free(active_config);
    }
}

bb_config_t *
BbActiveConfig_GetConfig(const bb_active_config_t *active_config)
{
    return active_config->config;
}

const bb_release_t *
BbActiveConfig_GetRelease(const bb_active_config_t *active_config)
{
    return active_config->config != NULL ? &active_config->release : NULL;
}

int64_t
BbActiveConfig_GetVersion(const bb_active_config_t *active_config)
{
    return active_config->release.version;
}

/* ---- checks ---- */

/* Adds 1 to the counter and a finding for this column of the version's row in
 * the versions table. Returns error. */
static int
refuse(const bb_release_t *release, bb_findings_t *findings, int error,
       bb_counter_t counter, const char *column, const char *message)
{
    char row[24];

    BbCounters_Add(counter, 1);
    g_snprintf(row, sizeof(row), "%012" PRId64, release->version);
    BbFindings_Add(findings, "versions", row, column, 0, "%s", message);
    return error;
}

/* Compares the version number before it verifies the signature: most versions
 * received are duplicates, and verification is the slower check. */
static int
check_release(const bb_active_config_t *active_config,
              const bb_release_t *release, bb_findings_t *findings)
{
    if (release->version < active_config->release.version) {
        BbCounters_Add(BB_COUNTER_VERSION_REFUSED_STALE, 1);
        return BB_ERR_STALE;
    }
    bool is_same_version = release->version == active_config->release.version;
    if (is_same_version &&
        strcmp(release->digest, active_config->release.digest) == 0) {
        BbCounters_Add(BB_COUNTER_VERSION_DUPLICATE, 1);
        return BB_ERR_STALE;
    }
    if (BbRelease_Verify(release, active_config->options.owners,
                         active_config->options.owner_count) != 0) {
        return refuse(release, findings, BB_ERR_SIGNATURE,
                      BB_COUNTER_VERSION_REFUSED_SIGNATURE, "signature",
                      "the signature was not made by a trusted key of the "
                      "owner named in the record");
    }
    if (is_same_version) {
        return refuse(release, findings, BB_ERR_INVALID,
                      BB_COUNTER_VERSION_REFUSED_CONFLICT, "digest",
                      "the version in force has the same number but another "
                      "digest");
    }
    return 0;
}

static int
check_limits(const bb_release_t *release, size_t size, bb_findings_t *findings)
{
    if (release->size > BB_MAX_DOCUMENT_BYTES ||
        size > BB_MAX_DOCUMENT_BYTES) {
        return refuse(release, findings, BB_ERR_LIMIT,
                      BB_COUNTER_VERSION_REFUSED_LIMIT, "size",
                      "the content is larger than the limit of 4 MiB");
    }
    return 0;
}

static int
check_digest(const bb_release_t *release, const char *text, size_t size,
             bb_findings_t *findings)
{
    char digest[BB_DIGEST_HEX_LENGTH + 1];

    if ((int64_t)size != release->size) {
        return refuse(release, findings, BB_ERR_DIGEST,
                      BB_COUNTER_VERSION_REFUSED_SIZE, "size",
                      "the size of the content differs from the signed size");
    }
    BbConfig_ComputeDigest(text, size, digest);
    if (strcmp(digest, release->digest) != 0) {
        return refuse(release, findings, BB_ERR_DIGEST,
                      BB_COUNTER_VERSION_REFUSED_DIGEST, "digest",
                      "the digest of the content differs from the signed "
                      "digest");
    }
    return 0;
}

static bb_counter_t
counter_of_parse_error(int error)
{
    switch (error) {
    case BB_ERR_LIMIT:
        return BB_COUNTER_VERSION_REFUSED_LIMIT;
    case BB_ERR_PARSE:
        return BB_COUNTER_VERSION_REFUSED_PARSE;
    default:
        return BB_COUNTER_VERSION_REFUSED_INVALID;
    }
}

static int
parse_full_content(const bb_release_t *release, const char *text, size_t size,
                   bb_findings_t *findings, bb_config_t **config)
{
    int error = BbConfig_ParseText(text, size, findings, config);

    if (error != 0) {
        BbCounters_Add(counter_of_parse_error(error), 1);
        return error;
    }
    if (strcmp(BbConfig_Digest(*config), release->digest) != 0) {
        BbConfig_Unref(*config);
        *config = NULL;
        return refuse(release, findings, BB_ERR_DIGEST,
                      BB_COUNTER_VERSION_REFUSED_FORM, "digest",
                      "the content is not in canonical form");
    }
    return 0;
}

/* ---- swap ---- */

static void
swap_config(bb_active_config_t *active_config, const bb_release_t *release,
            bb_config_t *config)
{
    bb_config_t *old = active_config->config;

    g_assert(release->version > active_config->release.version);
    BbConfig_AssertReferences(config);
    active_config->config = config;
    active_config->release = *release;
    BbCounters_Add(BB_COUNTER_VERSIONS_APPLIED, 1);
    if (active_config->options.on_swap != NULL) {
        active_config->options.on_swap(&active_config->release, config,
                                       active_config->options.arg);
    }
    BbConfig_Unref(old);
}

int
BbActiveConfig_Apply(bb_active_config_t *active_config,
                     const bb_release_t *release, const char *text,
                     size_t size, bb_findings_t *findings)
{
    bb_config_t *config = NULL;
    int error = check_release(active_config, release, findings);

    if (error == 0) {
        error = check_limits(release, size, findings);
    }
    if (error == 0) {
        error = check_digest(release, text, size, findings);
    }
    if (error == 0) {
        error = parse_full_content(release, text, size, findings, &config);
    }
    if (error == 0) {
        swap_config(active_config, release, config);
    }
    return error;
}

/* ---- deltas ---- */

static int
apply_delta(const bb_active_config_t *active_config,
            const bb_release_t *release, json_t *delta,
            bb_findings_t *findings, json_t **document)
{
    int error = active_config->config != NULL
                    ? BbDelta_Apply(active_config->config, delta, document)
                    : BB_ERR_NOT_FOUND;

    if (error == BB_ERR_NOT_FOUND) {
        BbCounters_Add(BB_COUNTER_DELTA_REFUSED_BASE, 1);
    }
    else if (error != 0) {
        return refuse(release, findings, error, BB_COUNTER_DELTA_REFUSED_PARSE,
                      "delta", "the delta is malformed");
    }
    return error;
}

/* True when the digest of the document, in canonical form, is the signed
 * one. */
static bool
has_signed_digest(const bb_release_t *release, json_t *document)
{
    char digest[BB_DIGEST_HEX_LENGTH + 1];
    char *text = json_dumps(document, JSON_COMPACT | JSON_SORT_KEYS);

    BbConfig_ComputeDigest(text, strlen(text), digest);
    free(text);
    return strcmp(digest, release->digest) == 0;
}

/* Parses the document before its digest is checked.
 * BbConfig_ParseIncremental() already serialises the document and computes the
 * digest, so a correct delta, the usual case, is serialised only once. When
 * parsing fails, the document is serialised again to tell a signed but invalid
 * document from a wrong delta. */
static int
parse_delta_result(const bb_active_config_t *active_config,
                   const bb_release_t *release, json_t *document,
                   bb_findings_t *findings, bb_config_t **config)
{
    size_t size = 0;
    int error = BbConfig_ParseIncremental(active_config->config, document,
                                          findings, config);

    if (error == 0) {
        BbConfig_CanonicalText(*config, &size);
        if ((int64_t)size == release->size &&
            strcmp(BbConfig_Digest(*config), release->digest) == 0) {
            return 0;
        }
        BbConfig_Unref(*config);
        *config = NULL;
    }
    else if (has_signed_digest(release, document)) {
        BbCounters_Add(counter_of_parse_error(error), 1);
        return error;
    }
    return refuse(release, findings, BB_ERR_DIGEST,
                  BB_COUNTER_DELTA_REFUSED_DIGEST, "digest",
                  "the document that results from the delta does not have "
                  "the signed size and digest");
}

int
BbActiveConfig_ApplyDelta(bb_active_config_t *active_config,
                          const bb_release_t *release, json_t *delta,
                          bb_findings_t *findings)
{
    json_t *document = NULL;
    bb_config_t *config = NULL;
    int error = check_release(active_config, release, findings);

    if (error == 0) {
        error = check_limits(release, 0, findings);
    }
    if (error == 0) {
        error =
            apply_delta(active_config, release, delta, findings, &document);
    }
    if (error == 0) {
        error = parse_delta_result(active_config, release, document, findings,
                                   &config);
    }
    json_decref(document);
    if (error == 0) {
        swap_config(active_config, release, config);
    }
    return error;
}
