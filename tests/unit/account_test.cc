// Client accounts: keys in a configuration version, and what targets get.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "bb_account.h"
#include "bb_error.h"
#include "bb_hop.h"
#include "config_text.h"
#include "mesh_rig.h"
#include "platform.h"

using namespace mesh_rig;
using config_text::DecodeConfig;
using config_text::ReplaceFirst;

namespace {

const char kConfig[] =
    "{\"version\":\"r12\",\"services\":[{\"name\":\"s1\"}],\"tenants\":["
    "{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":2,"
    "\"rate_per_s\":7,\"burst\":9},{\"name\":\"t2\",\"api_keys\":[\"k3\"]}],"
    "\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":["
    "{\"name\":\"d\",\"prefix\":\"/d/\",\"kind\":\"download\",\"service\":"
    "\"s1\",\"public\":false},{\"name\":\"p\",\"prefix\":\"/p/\",\"kind\":"
    "\"safe\",\"service\":\"s1\",\"public\":true}]}]}";

// A node whose configuration has the accounts "t1" with the key "k1" and "t2"
// with the key "k2", and whose route /public/ needs no key.
class AccountIo : public ::testing::Test {
  protected:
    AccountIo() : target(&loop), node(&loop, "n1", "a", &target)
    {
        SetAccounts(4, {{"t1", "k1"}, {"t2", "k2"}});
    }
    void SetAccounts(
        int64_t version,
        const std::vector<std::pair<std::string, std::string>> &accounts)
    {
        bb_mesh_config_t *config = BbMeshConfig_New(version);
        bb_mesh_route_options_t keyed = {};
        keyed.name = "keyed";
        keyed.host = "h";
        keyed.prefix = "/safe/";
        keyed.is_idempotent = true;
        keyed.target_latency_s = 0.5;
        bb_mesh_route_options_t open = keyed;
        open.name = "open";
        open.prefix = "/public/";
        open.is_public = true;
        BbMeshConfig_AddService(config, "orders", 100);
        BbMeshRoute_AddPart(BbMeshConfig_AddRoute(config, &keyed), "orders",
                            1);
        BbMeshRoute_AddPart(BbMeshConfig_AddRoute(config, &open), "orders", 1);
        bb_account_table_t *table = BbAccountTable_New();
        for (const auto &entry : accounts) {
            bb_account_t account = {};
            account.name = const_cast<char *>(entry.first.c_str());
            BbAccountTable_AddKey(table, BbAccountTable_Add(table, &account),
                                  entry.second.c_str());
        }
        BbMeshConfig_SetAccounts(config, table);
        BbCallIo_SetConfig(node.calls, config);
        BbMeshConfig_Unref(config);
    }
    static std::string Request(const std::string &path, const std::string &id,
                               const std::string &fields)
    {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nCall-Id: " + id +
               "\r\nLeft-Ms: 2000\r\n" + fields + "\r\n";
    }
    Loop loop;
    Target target;
    Node node;
};

} // namespace

// Guards against accounts that are decoded wrongly, and against downloads that
// are not repeated.
TEST(AccountConfig, DecodesAccountsAndDownloads)
{
    bb_mesh_config_t *config = nullptr;
    ASSERT_EQ(DecodeConfig(kConfig, &config), 0);
    const bb_account_table_t *accounts = BbMeshConfig_Accounts(config);
    ASSERT_NE(accounts, nullptr);
    uint64_t first, second;
    const bb_account_t *account = BbAccountTable_Find(accounts, "k2", &second);
    ASSERT_NE(account, nullptr);
    EXPECT_STREQ(account->name, "t1");
    EXPECT_EQ(account->rank, 2);
    EXPECT_DOUBLE_EQ(account->rate_per_s, 7);
    EXPECT_DOUBLE_EQ(account->burst, 9);
    EXPECT_EQ(BbAccountTable_Find(accounts, "k1", &first), account);
    EXPECT_NE(first, second);
    EXPECT_EQ(BbAccountTable_Find(accounts, "k", &first), nullptr);
    EXPECT_EQ(BbAccountTable_Find(accounts, nullptr, &first), nullptr);
    EXPECT_EQ(BbAccountTable_KeyCount(accounts), 3u);
    EXPECT_TRUE(BbMeshConfig_FindRoute(config, "h", "/d/1")->is_idempotent);
    EXPECT_FALSE(BbMeshConfig_FindRoute(config, "h", "/d/1")->is_public);
    EXPECT_TRUE(BbMeshConfig_FindRoute(config, "h", "/p/1")->is_public);
    BbMeshConfig_Unref(config);
}

// Guards against a version in which a key would name the wrong account.
TEST(AccountConfig, RejectsAmbiguousAccounts)
{
    const std::string good = kConfig;
    const std::string bad[] = {
        ReplaceFirst(good, "\"k3\"", "\"k1\""),
        ReplaceFirst(good, "\"k3\"", "\"\""),
        ReplaceFirst(good, "\"k3\"", "7"),
        ReplaceFirst(good, "\"name\":\"t2\"", "\"name\":\"t1\""),
        ReplaceFirst(good, "\"name\":\"t2\",", ""),
        ReplaceFirst(good, "\"rate_per_s\":7", "\"rate_per_s\":-7"),
    };
    for (const auto &text : bad) {
        bb_mesh_config_t *config = nullptr;
        EXPECT_EQ(DecodeConfig(text, &config), BB_ERR_INVALID) << text;
    }
}

// Guards against a quota of the wrong type that is read as 0, which lifts the
// limit, and against a finding that does not name the account and the field.
TEST(AccountConfig, RejectsQuotasThatAreNotNumbers)
{
    for (const char *field : {"\"rate_per_s\":7", "\"burst\":9"}) {
        const std::string name =
            std::string(field).substr(0, strlen(field) - 1);
        for (const char *value : {"\"7\"", "true", "null", "[7]", "{}"}) {
            const std::string text =
                ReplaceFirst(kConfig, field, name + value);
            bb_mesh_config_t *config = nullptr;
            bb_findings_t findings;
            BbFindings_Init(&findings);
            EXPECT_EQ(Platform_DecodeConfig(text.data(), text.size(),
                                            &findings, &config),
                      BB_ERR_INVALID)
                << text;
            ASSERT_EQ(findings.count, 1u) << text;
            EXPECT_STREQ(findings.items[0].row, "t1");
            EXPECT_EQ("\"" + std::string(findings.items[0].column) + "\":",
                      name);
            BbFindings_Free(&findings);
        }
    }
}

// Guards against names that end a header field or a line of a quota report,
// which would put the account beyond its limit; against limits that overflow
// an integer; and against a key of which the part before a NUL is accepted.
TEST(AccountConfig, RejectsValuesThatCannotBeTransmitted)
{
    const std::string good = kConfig;
    std::vector<std::string> bad = {
        ReplaceFirst(good, "\"k3\"", "\"k3\\u0000x\""),
        ReplaceFirst(good, "\"rate_per_s\":7", "\"rate_per_s\":1e300"),
        ReplaceFirst(good, "\"burst\":9", "\"burst\":1e300"),
    };
    for (const char *name :
         {"t\\n2", "t\\r2", "t\\u00002", " t2", "t2 ", ""}) {
        bad.push_back(ReplaceFirst(good, "\"name\":\"t2\"",
                                   std::string("\"name\":\"") + name + "\""));
    }
    for (const auto &text : bad) {
        bb_mesh_config_t *config = nullptr;
        ASSERT_NE(text, good);
        EXPECT_EQ(DecodeConfig(text, &config), BB_ERR_INVALID) << text;
    }
}

// Guards against keys that reach a target, and against accounts that a caller
// has forged.
TEST_F(AccountIo, TargetsGetTheAccountAndNoKey)
{
    Caller caller(&loop, node.caller_address);
    caller.Call(Request("/safe/1", "c1", "Key: k1\r\nAccount: forged\r\n"));
    caller.Call(Request("/public/1", "c2", "Key: k1\r\nAccount: forged\r\n"));
    ASSERT_EQ(target.requests.size(), 2u);
    EXPECT_EQ(HeaderField(target.requests[0].head, "Account"), "t1");
    EXPECT_EQ(HeaderField(target.requests[0].head, "Key"), "");
    EXPECT_EQ(HeaderField(target.requests[1].head, "Account"), "");
    EXPECT_EQ(HeaderField(target.requests[1].head, "Key"), "");
}

// Guards against calls that run without a valid key, and against a connection
// that is bound to the key of its first call.
TEST_F(AccountIo, RefusesUnknownKeysCallByCall)
{
    Caller caller(&loop, node.caller_address);
    EXPECT_EQ(Status(caller.Call(Request("/safe/1", "c1", "Key: k2\r\n"))),
              "200");
    EXPECT_EQ(Status(caller.Call(Request("/safe/1", "c2", "Key: x\r\n"))),
              "401");
    EXPECT_EQ(Status(caller.Call(Request("/safe/1", "c3", ""))), "401");
    EXPECT_EQ(Status(caller.Call(Request("/safe/1", "c4", "Key: k1\r\n"))),
              "200");
    SetAccounts(5, {{"t2", "k2"}});
    EXPECT_EQ(Status(caller.Call(Request("/safe/1", "c5", "Key: k1\r\n"))),
              "401");
    EXPECT_EQ(target.requests.size(), 2u);
}

// Guards against a final 401 for a key that a newer version may have.
TEST_F(AccountIo, UnknownKeysAreNotDeniedWhileANewerVersionIsKnown)
{
    Caller caller(&loop, node.caller_address);
    BbFreshness_Hear(&node.freshness, 5);
    std::string response = caller.Call(Request("/safe/1", "c1", "Key: x\r\n"));
    EXPECT_EQ(Status(response), "503");
    EXPECT_EQ(target.requests.size(), 0u);
}

// Guards against keys that stay dropped after a version adds them again, and
// against a set that grows without bound.
TEST(DroppedKeys, KeepsTheLastRemovedKeys)
{
    const bb_account_t account = {const_cast<char *>("t1"), 0, 0, 0};
    bb_account_table_t *some = BbAccountTable_New(),
                       *none = BbAccountTable_New();
    const bb_account_t *owner = BbAccountTable_Add(some, &account);
    BbAccountTable_AddKey(some, owner, "k1");
    uint64_t k1 = BbAccount_KeyDigest("k1");
    bb_dropped_keys_t *dropped = BbDroppedKeys_New();
    EXPECT_EQ(BbDroppedKeys_Update(dropped, some, none), 1u);
    EXPECT_TRUE(BbDroppedKeys_Contains(dropped, k1));
    EXPECT_FALSE(BbDroppedKeys_Contains(dropped, 0));
    EXPECT_EQ(BbDroppedKeys_Update(dropped, none, some), 0u);
    EXPECT_FALSE(BbDroppedKeys_Contains(dropped, k1));
    BbDroppedKeys_Update(dropped, some, nullptr);
    EXPECT_TRUE(BbDroppedKeys_Contains(dropped, k1));
    bb_account_table_t *many = BbAccountTable_New();
    owner = BbAccountTable_Add(many, &account);
    for (int i = 0; i < BB_DROPPED_KEYS_MAX + 10; i++) {
        BbAccountTable_AddKey(many, owner, ("m" + std::to_string(i)).c_str());
    }
    BbDroppedKeys_Update(dropped, many, none);
    EXPECT_FALSE(BbDroppedKeys_Contains(dropped, k1));
    int kept = 0;
    for (int i = 0; i < BB_DROPPED_KEYS_MAX + 10; i++) {
        kept += BbDroppedKeys_Contains(
            dropped, BbAccount_KeyDigest(("m" + std::to_string(i)).c_str()));
    }
    EXPECT_EQ(kept, BB_DROPPED_KEYS_MAX);
    BbDroppedKeys_Free(dropped);
    BbAccountTable_Free(many);
    BbAccountTable_Free(none);
    BbAccountTable_Free(some);
}

// Guards against a call that waits for a slot and runs after its key was
// removed.
TEST_F(AccountIo, WaitingCallsAreNotRunOnceTheirKeyIsRemoved)
{
    std::vector<Target::Request> held;
    target.on_request = [&](const Target::Request &request) {
        held.push_back(request);
    };
    Caller running(&loop, node.caller_address);
    Caller waiting(&loop, node.caller_address);
    for (int i = 0; i < 4; i++) { // all slots of the target
        running.connection.Send(
            Request("/safe/1", "r" + std::to_string(i), "Key: k2\r\n"));
    }
    ASSERT_TRUE(loop.RunUntil([&] { return held.size() == 4; }));
    waiting.connection.Send(Request("/safe/1", "w", "Key: k1\r\n"));
    loop.RunFor(0.05);
    ASSERT_EQ(waiting.ResponseCount(), 0u);
    bb_account_table_t *old_accounts = BbAccountTable_New();
    const bb_account_t account = {const_cast<char *>("t1"), 0, 0, 0};
    BbAccountTable_AddKey(old_accounts,
                          BbAccountTable_Add(old_accounts, &account), "k1");
    BbDroppedKeys_Update(node.dropped_keys, old_accounts, nullptr);
    BbAccountTable_Free(old_accounts);
    for (const auto &request : held) {
        request.connection->Send(Target::Response(request.id, "x"));
    }
    EXPECT_EQ(Status(waiting.Wait(1)), "401");
    loop.RunFor(0.05);
    EXPECT_EQ(target.requests.size(), 4u);
}

// Guards against an account that is lost between two nodes.
TEST(AccountHop, CarriesTheAccount)
{
    bb_hop_call_t hop = {};
    hop.service = const_cast<char *>("orders");
    hop.caller_service = const_cast<char *>("catalogue");
    hop.class_name = const_cast<char *>("r-1");
    hop.key_digest = 0xfedcba9876543210u;
    hop.account = const_cast<char *>("a, b");
    char *text = BbHop_Format(&hop);
    bb_hop_call_t read;
    ASSERT_EQ(BbHop_Parse(text, &read), 0);
    EXPECT_EQ(read.key_digest, hop.key_digest);
    EXPECT_STREQ(read.account, "a, b");
    BbHop_Clear(&read);
    g_free(text);
}
