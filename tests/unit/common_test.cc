// Tests of lib/common: findings, TOML line numbers, counters, addresses,
// random numbers and settings.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <set>
#include <string>

#include "bb_counters.h"
#include "bb_error.h"
#include "bb_findings.h"
#include "bb_http_io.h"
#include "bb_random.h"
#include "bb_settings.h"
#include "bb_toml.h"

// Guards against findings that point at the wrong line of a file.
TEST(Toml, ReportsLineOfKeysAndOfErrors)
{
    bb_findings_t findings;
    BbFindings_Init(&findings);
    bb_toml_t *toml = BbToml_Parse("a = 1\n[route.parts]\npool = \"x\"\n",
                                   "t.toml", &findings);
    ASSERT_NE(toml, nullptr);
    EXPECT_EQ(BbToml_Line(toml, "a"), 1);
    EXPECT_EQ(BbToml_Line(toml, "route.parts.pool"), 3);
    EXPECT_EQ(BbToml_Line(toml, "route.none"), 0);
    BbToml_Free(toml);
    EXPECT_EQ(BbToml_Parse("a = 1\nb = \n", "t.toml", &findings), nullptr);
    ASSERT_EQ(findings.count, 1u);
    EXPECT_EQ(findings.items[0].line, 2);
    BbFindings_Free(&findings);
}

// Guards against a hostile document whose findings exhaust memory.
TEST(Findings, OnlyCountsFindingsOverTheLimit)
{
    bb_findings_t findings;
    BbFindings_Init(&findings);
    for (int i = 0; i < BB_MAX_FINDINGS + 7; i++) {
        BbFindings_Add(&findings, "t", "r", "c", i, "n %d", i);
    }
    EXPECT_EQ(findings.count, (size_t)BB_MAX_FINDINGS);
    EXPECT_EQ(findings.omitted, 7u);
    BbFindings_Free(&findings);
}

// Guards against two counters that share an exported name.
TEST(Counters, NamesAreUniqueAndHaveHelp)
{
    std::set<std::string> names;
    for (int i = 0; i < BB_COUNTER_COUNT; i++) {
        auto counter = static_cast<bb_counter_t>(i);
        EXPECT_TRUE(names.insert(BbCounters_Name(counter)).second)
            << BbCounters_Name(counter);
        EXPECT_GT(std::string(BbCounters_Help(counter)).size(), 5u);
    }
}

// Guards against a malformed address that is accepted, so that a node binds to
// another address than the one configured.
TEST(Address, AcceptsIpAndPortOnly)
{
    sockaddr_in name;
    EXPECT_EQ(BbHttp_ParseAddress("127.0.0.1:8080", &name), 0);
    EXPECT_EQ(ntohs(name.sin_port), 8080);
    EXPECT_EQ(BbHttp_ParseAddress("localhost:80", &name), BB_ERR_ARGUMENT);
    EXPECT_EQ(BbHttp_ParseAddress("127.0.0.1:", &name), BB_ERR_ARGUMENT);
    EXPECT_EQ(BbHttp_ParseAddress("127.0.0.1:99999", &name), BB_ERR_ARGUMENT);
}

// Guards against test runs that cannot be replayed from their seed.
TEST(Random, SameSeedGivesSameNumbers)
{
    bb_random_t *a = BbRandom_New(7);
    bb_random_t *b = BbRandom_New(7);
    for (int i = 0; i < 100; i++) {
        EXPECT_EQ(BbRandom_Below(a, 1000), BbRandom_Below(b, 1000));
    }
    BbRandom_Free(a);
    BbRandom_Free(b);
}

// Guards against a report that stops at the first wrong setting, so that the
// operator finds them one at a time.
TEST(Settings, ReportsAllFindingsTogetherWithTheirPlace)
{
    char path[] = "/tmp/bb_settings_XXXXXX";
    int fd = mkstemp(path);
    const char text[] = "[node]\ncluster = \"UPPER\"\nspeed = 3\n"
                        "[platform]\npoll_ms = 7\n[other]\na = 1\n";
    ASSERT_EQ(write(fd, text, sizeof(text) - 1), (ssize_t)sizeof(text) - 1);
    close(fd);
    bb_findings_t findings;
    BbFindings_Init(&findings);
    const char *overrides[] = {"call.stall_ms=never", "node.none=1", NULL};
    bb_settings_options_t options = {path, overrides};
    bb_settings_t settings;
    EXPECT_EQ(BbSettings_Load(&options, &findings, &settings), BB_ERR_INVALID);
    std::set<std::string> places;
    for (size_t i = 0; i < findings.count; i++) {
        places.insert(std::string(findings.items[i].row) + "." +
                      findings.items[i].column + ":" +
                      std::to_string(findings.items[i].line));
    }
    std::set<std::string> expected = {"node.cluster:2",     "node.speed:3",
                                      "platform.poll_ms:5", "other.:6",
                                      "call.stall_ms:0",    "node.none:0"};
    for (const char *missing : {"node.data_centre:0", "node.caller_address:0",
                                "node.admin_address:0", "node.peer_address:0",
                                "platform.url:0", "owner.:0"}) {
        expected.insert(missing);
    }
    EXPECT_EQ(places, expected);
    BbFindings_Free(&findings);
    BbSettings_Free(&settings);
    unlink(path);
}
