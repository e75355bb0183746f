// Tests of lib/operator: configuration document, delta, signed release record
// and the version in force.
#include <gtest/gtest.h>

#include <sodium.h>

#include <cstring>
#include <string>

#include "bb_active_config.h"
#include "bb_config.h"
#include "bb_counters.h"
#include "bb_delta.h"
#include "bb_error.h"
#include "bb_release.h"

namespace {

const char kBase[] =
    R"({"pools":{"p":{"service":"s"},"q":{"service":"s","once":"claim"}},)"
    R"("routes":{"r":{"pool":"p","path_prefix":"/a"},)"
    R"("x":{"pool":"q","host":"h.example","path_prefix":"/a/b"}}})";
const char kNext[] = R"({"pools":{"p":{"service":"s","slots":3}},)"
                     R"("routes":{"r":{"pool":"p","path_prefix":"/a"}}})";

struct Findings : bb_findings_t {
    Findings()
    {
        BbFindings_Init(this);
    }
    ~Findings()
    {
        BbFindings_Free(this);
    }
    // True when there is a finding with this source, row and column.
    bool HasFinding(const char *source, const char *row,
                    const char *column) const
    {
        for (size_t i = 0; i < count; i++) {
            if (!strcmp(items[i].source, source) &&
                !strcmp(items[i].row, row) &&
                !strcmp(items[i].column, column)) {
                return true;
            }
        }
        return false;
    }
};

bb_config_t *
ParseOrFail(const std::string &text)
{
    Findings findings;
    bb_config_t *config = nullptr;
    EXPECT_EQ(BbConfig_ParseText(text.data(), text.size(), &findings, &config),
              0);
    BbFindings_Print(&findings, stderr);
    return config;
}

class ActiveConfigTest : public ::testing::Test {
  protected:
    void SetUp() override
    {
        ASSERT_GE(sodium_init(), 0);
        BbCounters_Reset();
        strcpy(owner.name, "harbour");
        crypto_sign_keypair(owner.key, secret_key);
        bb_active_config_options_t options = {&owner, 1, nullptr, nullptr};
        active_config = BbActiveConfig_New(&options);
        base = ParseOrFail(kBase);
        next = ParseOrFail(kNext);
        ASSERT_EQ(SignAndApply(1, CanonicalText(base)), 0);
    }
    void TearDown() override
    {
        BbActiveConfig_Free(active_config);
        BbConfig_Unref(base);
        BbConfig_Unref(next);
    }
    static std::string CanonicalText(bb_config_t *config)
    {
        return BbConfig_CanonicalText(config, nullptr);
    }
    bb_release_t Sign(int64_t version, const std::string &text)
    {
        bb_release_t release = {};
        release.version = version;
        release.size = (int64_t)text.size();
        BbConfig_ComputeDigest(text.data(), text.size(), release.digest);
        strcpy(release.owner, "harbour");
        strcpy(release.month, "2026-12");
        strcpy(release.write_id, "00112233445566778899aabbccddeeff");
        BbRelease_Sign(&release, secret_key);
        return release;
    }
    int SignAndApply(int64_t version, const std::string &text)
    {
        bb_release_t release = Sign(version, text);
        return BbActiveConfig_Apply(active_config, &release, text.data(),
                                    text.size(), &findings);
    }
    // Expects that version 1 (kBase) is still in force with its digest and
    // rows, and that counter was incremented once.
    void ExpectBaseInForce(bb_counter_t counter)
    {
        EXPECT_EQ(BbActiveConfig_GetVersion(active_config), 1);
        EXPECT_STREQ(BbConfig_Digest(BbActiveConfig_GetConfig(active_config)),
                     BbConfig_Digest(base));
        EXPECT_EQ(BbConfig_RouteCount(BbActiveConfig_GetConfig(active_config)),
                  2u);
        EXPECT_EQ(BbCounters_Get(counter), 1) << BbCounters_Name(counter);
    }
    bb_trusted_owner_t owner = {};
    unsigned char secret_key[crypto_sign_SECRETKEYBYTES];
    bb_active_config_t *active_config = nullptr;
    bb_config_t *base = nullptr, *next = nullptr;
    Findings findings;
};

} // namespace

// Guards against different digests for documents with the same meaning.
TEST(Config, CanonicalFormWritesOutDefaults)
{
    bb_config_t *a = ParseOrFail(kNext);
    bb_config_t *b = ParseOrFail(
        R"({"routes":{"r":{"timeout_ms":10000,"path_prefix":"/a/","host":"*",)"
        R"("methods":["OPTIONS","GET","HEAD","POST","PUT","DELETE","PATCH"],)"
        R"("pool":"p"}},"pools":{"p":{"queue":64,"slots":3,"retry_max":1,)"
        R"("connections":100,"once":"none","spill":true,"service":"s"}}})");
    EXPECT_STREQ(BbConfig_CanonicalText(a, nullptr),
                 BbConfig_CanonicalText(b, nullptr));
    EXPECT_STREQ(BbConfig_Digest(a), BbConfig_Digest(b));
    BbConfig_Unref(a);
    BbConfig_Unref(b);
}

// Guards against a check that stops at the first problem, and against findings
// without table, row and column.
TEST(Config, ReportsAllFindingsWithTheirLocation)
{
    Findings findings;
    bb_config_t *config = nullptr;
    std::string text =
        R"({"pools":{"p":{"slots":0,"colour":1},"B":{"service":"s"}},)"
        R"("routes":{"r":{"pool":"none","timeout_ms":"1"},)"
        R"("s":{"pool":"p","path_prefix":"a","methods":["BREW"]},)"
        R"("t":{"pool":"p","path_prefix":"/t"},)"
        R"("u":{"pool":"p","path_prefix":"/t/","methods":["GET"]}}})";
    EXPECT_EQ(BbConfig_ParseText(text.data(), text.size(), &findings, &config),
              BB_ERR_INVALID);
    EXPECT_EQ(config, nullptr);
    EXPECT_TRUE(findings.HasFinding("pools", "p", "service"));
    EXPECT_TRUE(findings.HasFinding("pools", "p", "slots"));
    EXPECT_TRUE(findings.HasFinding("pools", "p", "colour"));
    EXPECT_TRUE(findings.HasFinding("pools", "B", ""));
    EXPECT_TRUE(findings.HasFinding("routes", "r", "pool"));
    EXPECT_TRUE(findings.HasFinding("routes", "r", "timeout_ms"));
    EXPECT_TRUE(findings.HasFinding("routes", "s", "path_prefix"));
    EXPECT_TRUE(findings.HasFinding("routes", "s", "methods"));
    EXPECT_TRUE(findings.HasFinding("routes", "u", "path_prefix"));
    EXPECT_EQ(findings.count, 9u);
}

// Guards against choosing a shorter prefix, a prefix that ends inside a
// segment, a route without the method, or a route of the host "*" instead of
// the longest match on the exact host.
TEST(Config, FindRoutePrefersLongestPrefixOfExactHost)
{
    bb_config_t *config = ParseOrFail(
        R"({"pools":{"p":{"service":"s"}},"routes":{)"
        R"("any":{"pool":"p"},"deep":{"pool":"p","path_prefix":"/a/b/c"},)"
        R"("host":{"pool":"p","host":"H.example","path_prefix":"/a"},)"
        R"("post":{"pool":"p","host":"h.example","path_prefix":"/a/b",)"
        R"("methods":["POST"],"idempotent":true}}})");
    auto find = [&](const char *host, const char *path, const char *method) {
        const bb_route_t *route =
            BbConfig_FindRoute(config, host, path, method);
        return std::string(route != nullptr ? route->name : "-");
    };
    EXPECT_EQ(find("h.EXAMPLE:80", "/a/b/c/d", "GET"), "host");
    EXPECT_EQ(find("h.example", "/a/b?q=/x", "POST"), "post");
    EXPECT_EQ(find("h.example", "/a/bc", "POST"), "host");
    EXPECT_EQ(find("h.example", "/ab", "GET"), "any");
    EXPECT_EQ(find(nullptr, "/a/b/c/d", "GET"), "deep");
    EXPECT_EQ(find(nullptr, "/a/b/cd", "GET"), "any");
    EXPECT_EQ(find(nullptr, "/", "TRACE"), "-");
    const bb_route_t *post =
        BbConfig_FindRoute(config, "h.example", "/a/b", "POST");
    EXPECT_TRUE(BbRoute_IsIdempotent(post, "POST"));
    EXPECT_FALSE(BbRoute_IsIdempotent(BbConfig_Route(config, 0), "POST"));
    BbConfig_Unref(config);
}

// Guards against applying a signed record that is forged or was changed after
// signing.
TEST_F(ActiveConfigTest, RefusesWrongSignature)
{
    std::string text = CanonicalText(next);
    bb_release_t release = Sign(2, text);
    release.version = 3;
    EXPECT_EQ(BbActiveConfig_Apply(active_config, &release, text.data(),
                                   text.size(), &findings),
              BB_ERR_SIGNATURE);
    EXPECT_TRUE(findings.HasFinding("versions", "000000000003", "signature"));
    ExpectBaseInForce(BB_COUNTER_VERSION_REFUSED_SIGNATURE);
}

// Guards against applying content that differs from the signed digest in one
// bit.
TEST_F(ActiveConfigTest, RefusesCorruptContent)
{
    std::string text = CanonicalText(next);
    bb_release_t release = Sign(2, text);
    text[text.size() / 2] ^= 1;
    EXPECT_EQ(BbActiveConfig_Apply(active_config, &release, text.data(),
                                   text.size(), &findings),
              BB_ERR_DIGEST);
    EXPECT_TRUE(findings.HasFinding("versions", "000000000002", "digest"));
    ExpectBaseInForce(BB_COUNTER_VERSION_REFUSED_DIGEST);
}

// Guards against applying a truncated document.
TEST_F(ActiveConfigTest, RefusesTruncatedContent)
{
    std::string text = CanonicalText(next);
    bb_release_t release = Sign(2, text);
    EXPECT_EQ(BbActiveConfig_Apply(active_config, &release, text.data(),
                                   text.size() / 2, &findings),
              BB_ERR_DIGEST);
    EXPECT_TRUE(findings.HasFinding("versions", "000000000002", "size"));
    ExpectBaseInForce(BB_COUNTER_VERSION_REFUSED_SIZE);
}

// Guards against applying a signed document with a dangling reference (G2).
TEST_F(ActiveConfigTest, RefusesDanglingReference)
{
    std::string text = CanonicalText(next);
    size_t position = text.find("\"pool\":\"p\"");
    ASSERT_NE(position, std::string::npos);
    text[position + 8] = 'z';
    EXPECT_EQ(SignAndApply(2, text), BB_ERR_INVALID);
    EXPECT_TRUE(findings.HasFinding("routes", "r", "pool"));
    ExpectBaseInForce(BB_COUNTER_VERSION_REFUSED_INVALID);
}

// Guards against memory use beyond BB_MAX_DOCUMENT_BYTES.
TEST_F(ActiveConfigTest, RefusesOversizedContent)
{
    std::string text(BB_MAX_DOCUMENT_BYTES + 1, ' ');
    EXPECT_EQ(SignAndApply(2, text), BB_ERR_LIMIT);
    EXPECT_TRUE(findings.HasFinding("versions", "000000000002", "size"));
    ExpectBaseInForce(BB_COUNTER_VERSION_REFUSED_LIMIT);
}

// Guards against applying signed text that is not in canonical form. A delta
// identifies its base by the digest of the canonical form, so no delta could
// be based on such a text.
TEST_F(ActiveConfigTest, RefusesNonCanonicalContent)
{
    EXPECT_EQ(SignAndApply(2, kNext), BB_ERR_DIGEST);
    ExpectBaseInForce(BB_COUNTER_VERSION_REFUSED_FORM);
    EXPECT_EQ(SignAndApply(2, "not JSON"), BB_ERR_PARSE);
    ExpectBaseInForce(BB_COUNTER_VERSION_REFUSED_PARSE);
}

// Guards against a decreasing version number (G1), and against two documents
// with the same version number.
TEST_F(ActiveConfigTest, RefusesOlderVersionAndSameVersionWithAnotherDigest)
{
    EXPECT_EQ(SignAndApply(1, CanonicalText(base)), BB_ERR_STALE);
    EXPECT_EQ(findings.count, 0u);
    ExpectBaseInForce(BB_COUNTER_VERSION_DUPLICATE);
    EXPECT_EQ(SignAndApply(1, CanonicalText(next)), BB_ERR_INVALID);
    EXPECT_TRUE(findings.HasFinding("versions", "000000000001", "digest"));
    ExpectBaseInForce(BB_COUNTER_VERSION_REFUSED_CONFLICT);
    ASSERT_EQ(SignAndApply(5, CanonicalText(next)), 0);
    EXPECT_EQ(SignAndApply(4, CanonicalText(base)), BB_ERR_STALE);
    EXPECT_EQ(BbActiveConfig_GetVersion(active_config), 5);
    EXPECT_EQ(BbCounters_Get(BB_COUNTER_VERSION_REFUSED_STALE), 1);
}

// Guards against a change of the configuration during a call: the call keeps
// its reference to the snapshot that it started with.
TEST_F(ActiveConfigTest, KeepsReferencedSnapshotAfterNewVersion)
{
    bb_config_t *referenced =
        BbConfig_Ref(BbActiveConfig_GetConfig(active_config));
    ASSERT_EQ(SignAndApply(2, CanonicalText(next)), 0);
    EXPECT_STREQ(BbConfig_Digest(referenced), BbConfig_Digest(base));
    BbConfig_AssertReferences(referenced);
    BbConfig_Unref(referenced);
}

// Guards against a delta that is applied to another base than its own or whose
// result differs from the full document.
TEST_F(ActiveConfigTest, AppliesDeltaToItsBaseOnly)
{
    bb_release_t release = Sign(2, CanonicalText(next));
    json_t *delta = BbDelta_Make(base, next);
    json_t *reverse_delta = BbDelta_Make(next, base);
    EXPECT_EQ(BbActiveConfig_ApplyDelta(active_config, &release, reverse_delta,
                                        &findings),
              BB_ERR_NOT_FOUND);
    ExpectBaseInForce(BB_COUNTER_DELTA_REFUSED_BASE);
    EXPECT_EQ(findings.count, 0u);
    EXPECT_EQ(
        BbActiveConfig_ApplyDelta(active_config, &release, delta, &findings),
        0);
    EXPECT_STREQ(BbConfig_Digest(BbActiveConfig_GetConfig(active_config)),
                 BbConfig_Digest(next));
    json_decref(delta);
    json_decref(reverse_delta);
}

// Guards against applying a part of a delta that is malformed or whose result
// does not have the signed digest.
TEST_F(ActiveConfigTest, RefusesInvalidDelta)
{
    bb_release_t release = Sign(2, CanonicalText(next));
    json_t *delta = BbDelta_Make(base, next);
    json_t *routes = json_object_get(delta, "routes");
    json_array_clear(json_object_get(routes, "remove"));
    EXPECT_EQ(
        BbActiveConfig_ApplyDelta(active_config, &release, delta, &findings),
        BB_ERR_DIGEST);
    EXPECT_TRUE(findings.HasFinding("versions", "000000000002", "digest"));
    ExpectBaseInForce(BB_COUNTER_DELTA_REFUSED_DIGEST);
    json_object_set_new(routes, "remove", json_true());
    EXPECT_EQ(
        BbActiveConfig_ApplyDelta(active_config, &release, delta, &findings),
        BB_ERR_PARSE);
    EXPECT_TRUE(findings.HasFinding("versions", "000000000002", "delta"));
    ExpectBaseInForce(BB_COUNTER_DELTA_REFUSED_PARSE);
    json_decref(delta);
}

// Guards against applying a signed delta that removes the pool of a remaining
// route (G2). Rows shared with the base are not validated again; references
// must be.
TEST_F(ActiveConfigTest, RefusesDeltaThatLeavesDanglingReference)
{
    json_t *delta = BbDelta_Make(base, base), *document = nullptr;
    json_t *pools = json_object_get(delta, "pools");
    json_array_append_new(json_object_get(pools, "remove"), json_string("q"));
    ASSERT_EQ(BbDelta_Apply(base, delta, &document), 0);
    char *text = json_dumps(document, JSON_COMPACT | JSON_SORT_KEYS);
    bb_release_t release = Sign(2, text);
    EXPECT_EQ(
        BbActiveConfig_ApplyDelta(active_config, &release, delta, &findings),
        BB_ERR_INVALID);
    EXPECT_TRUE(findings.HasFinding("routes", "x", "pool"));
    ExpectBaseInForce(BB_COUNTER_VERSION_REFUSED_INVALID);
    free(text);
    json_decref(document);
    json_decref(delta);
}

// Guards against a signed record that loses a field when it is sent to
// another node, and against accepting an invalid month.
TEST_F(ActiveConfigTest, ReleaseRoundTripsThroughJson)
{
    bb_release_t release = Sign(2, CanonicalText(next)), copy;
    json_t *object = BbRelease_ToJson(&release);
    ASSERT_EQ(BbRelease_FromJson(object, &copy), 0);
    EXPECT_EQ(BbRelease_Verify(&copy, &owner, 1), 0);
    EXPECT_STREQ(copy.write_id, release.write_id);
    json_object_set_new(object, "month", json_string("2026-13"));
    EXPECT_EQ(BbRelease_FromJson(object, &copy), BB_ERR_PARSE);
    json_decref(object);
}
