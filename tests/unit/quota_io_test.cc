// Tests of lib/account/bb_quota_io and lib/mesh/bb_quota_owners: two nodes
// over loopback, and the choice of owners.
#include <set>

#include "bb_quota.h"
#include "bb_quota_owners.h"
#include "mesh_rig.h"

namespace {

using namespace mesh_rig;

bb_mesh_config_t *
MakeAccounts(double rate)
{
    bb_mesh_config_t *config = MakeConfig();
    bb_account_table_t *accounts = BbAccountTable_New();
    const bb_account_t limited = {const_cast<char *>("limited"), 1, rate,
                                  rate};
    const bb_account_t free = {const_cast<char *>("free"), 1, 0, 0};
    BbAccountTable_AddKey(accounts, BbAccountTable_Add(accounts, &limited),
                          "k-limited");
    BbAccountTable_AddKey(accounts, BbAccountTable_Add(accounts, &free),
                          "k-free");
    BbMeshConfig_SetAccounts(config, accounts);
    return config;
}

std::string
Call(Caller *caller, const std::string &key, int number)
{
    std::string text =
        Caller::Request("GET", "/safe/x", "c" + std::to_string(number));
    return caller->Call(text.insert(text.size() - 2, "Key: " + key + "\r\n"));
}

class QuotaIoTest : public ::testing::Test {
  protected:
    QuotaIoTest()
        : target(&loop), a(&loop, "a", "dc1", &target, 16),
          b(&loop, "b", "dc2", &target, 16), config(MakeAccounts(20))
    {
        a.AddNodeRecord(&b, 1);
        b.AddNodeRecord(&a, 1);
        a.SetConfig(config);
        b.SetConfig(config);
    }
    ~QuotaIoTest()
    {
        BbMeshConfig_Unref(config);
    }
    Loop loop;
    Target target;
    Node a, b;
    bb_mesh_config_t *config;
};

// Guards against limits that each node applies for itself, a refusal without
// Retry-After, and keys in messages between nodes.
TEST_F(QuotaIoTest, RefusesCallsOverTheQuotaOfBothNodes)
{
    Caller at_a(&loop, a.caller_address), at_b(&loop, b.caller_address);
    std::map<std::string, int> statuses;
    std::string refusal;
    loop.RunFor(1.5);
    for (int i = 0; i < 400; i++) {
        std::string response = Call(i % 2 ? &at_a : &at_b, "k-limited", i);
        statuses[Status(response)]++;
        if (Status(response) == "429") {
            refusal = response;
        }
        loop.RunFor(0.005);
    }
    // 400 calls take at least 2 s.
    EXPECT_GT(statuses["200"], 20);
    EXPECT_GT(statuses["429"], 200);
    EXPECT_EQ(statuses["200"] + statuses["429"], 400);
    double retry_after_s = atof(HeaderField(refusal, "Retry-After").c_str());
    EXPECT_GT(retry_after_s, 0.0);
    EXPECT_LE(retry_after_s, 2.0);
    EXPECT_EQ(Status(Call(&at_a, "k-free", 401)), "200");
    EXPECT_STREQ(BbQuotaIo_Owner(a.quota, "limited"),
                 BbQuotaIo_Owner(b.quota, "limited"));
    Node &owner = a.peer_messages.empty() ? b : a;
    ASSERT_FALSE(owner.peer_messages.empty());
    for (const std::string &message : owner.peer_messages) {
        EXPECT_EQ(message.find("k-limited"), std::string::npos);
        EXPECT_LT(message.size(), 100U);
    }
}

// Guards against calls that use up the quota although no target was reached.
TEST_F(QuotaIoTest, GivesBackCallsThatReachedNoTarget)
{
    a.MarkOwnTargetNotReady();
    BbFleet_Find(a.fleet, "b")->record.is_ready = false;
    Caller caller(&loop, a.caller_address);
    loop.RunFor(1.5);
    for (int i = 0; i < 100; i++) {
        EXPECT_EQ(Status(Call(&caller, "k-limited", i)), "503");
    }
}

// Guards against calls that use up the quota although each target that got
// them has refused them as not run.
TEST_F(QuotaIoTest, GivesBackCallsThatTargetsRefuseAsNotRun)
{
    target.on_request = [](const Target::Request &request) {
        request.connection->Send(Target::Response(
            request.id, "", "503 Service Unavailable", "Not-Run: 1\r\n"));
    };
    Caller caller(&loop, a.caller_address);
    loop.RunFor(1.5);
    for (int i = 0; i < 100; i++) {
        EXPECT_EQ(Status(Call(&caller, "k-limited", i)), "503");
    }
    EXPECT_GT(target.requests.size(), 50U);
}

// Guards against calls that use up the quota although their callers have
// disconnected before a target got them, and against giving back those that a
// target may have run.
TEST_F(QuotaIoTest, GivesBackCallsOfCallersThatLeaveWhileTheyWait)
{
    BbFleet_Find(a.fleet, "b")->record.is_ready = false;
    target.on_request = [](const Target::Request &) {};
    loop.RunFor(1.5);
    auto count_refused = [&] {
        int refused = 0;
        for (int i = 0; i < 60; i++) {
            Caller caller(&loop, a.caller_address);
            std::string text =
                Caller::Request("GET", "/safe/x", "c" + std::to_string(i));
            caller.connection.Send(
                text.insert(text.size() - 2, "Key: k-limited\r\n"));
            loop.RunFor(0.01);
            refused += Status(caller.connection.received) == "429";
        }
        return refused;
    };
    EXPECT_GT(count_refused(), 20); // a target runs them
    loop.RunFor(1.5);
    std::vector<std::unique_ptr<Caller>> running;
    size_t reached = target.requests.size();
    for (int i = 0; i < 16; i++) { // the target has 16 slots
        running.push_back(std::make_unique<Caller>(&loop, a.caller_address));
        std::string text =
            Caller::Request("GET", "/safe/x", "r" + std::to_string(i));
        running.back()->connection.Send(
            text.insert(text.size() - 2, "Key: k-free\r\n"));
    }
    ASSERT_TRUE(
        loop.RunUntil([&] { return target.requests.size() == reached + 16; }));
    EXPECT_EQ(count_refused(), 0);
    EXPECT_EQ(target.requests.size(), reached + 16);
}

void
AddNode(bb_fleet_t *fleet, int number, int link_mbps)
{
    std::string name = "node-" + std::to_string(number);
    bb_node_record_t record = {};
    record.address = record.data_centre = record.service = record.target_id =
        const_cast<char *>("x");
    record.link_mbps = link_mbps;
    BbFleet_Merge(fleet, name.c_str(), &record, number + 1, 0);
}

// Guards against owners on narrow links, and against nodes that disagree
// because they have received the records in another order.
TEST(QuotaOwners, AreTheSameAtAllNodesAndHaveWideLinks)
{
    bb_fleet_t *one = BbFleet_New("one"), *other = BbFleet_New("other");
    for (int i = 0; i < 400; i++) {
        AddNode(one, i, i % 40 == 0 ? 200 : 10);
        AddNode(other, 399 - i, (399 - i) % 40 == 0 ? 200 : 10);
    }
    size_t slots = BbQuotaOwners_SlotCount(one);
    std::set<std::string> owners;
    EXPECT_EQ(slots, 5U);
    for (size_t slot = 0; slot < slots; slot++) {
        GPtrArray *list = BbQuotaOwners_List(one, slot, slots);
        GPtrArray *same = BbQuotaOwners_List(other, slot, slots);
        ASSERT_EQ(list->len, static_cast<guint>(BB_QUOTA_CANDIDATES));
        for (guint i = 0; i < list->len; i++) {
            auto *node = static_cast<bb_endpoint_t *>(list->pdata[i]);
            EXPECT_EQ(node->record.link_mbps, 200);
            EXPECT_STREQ(node->node,
                         static_cast<bb_endpoint_t *>(same->pdata[i])->node);
        }
        owners.insert(static_cast<bb_endpoint_t *>(list->pdata[0])->node);
        g_ptr_array_unref(list);
        g_ptr_array_unref(same);
    }
    EXPECT_GE(owners.size(), 3U);
    BbFleet_Free(one);
    BbFleet_Free(other);
}

// Guards against accounts that all have the same owner, and against moving
// more of them than needed when there is one more.
TEST(QuotaOwners, DistributeAccounts)
{
    int counts[4] = {}, moved = 0;
    for (int i = 0; i < 1000; i++) {
        std::string account = "account " + std::to_string(i);
        size_t slot = BbQuota_Slot(account.c_str(), 4);
        counts[slot]++;
        size_t next = BbQuota_Slot(account.c_str(), 5);
        EXPECT_TRUE(next == slot || next == 4);
        moved += next != slot;
    }
    for (int count : counts) {
        EXPECT_NEAR(count, 250, 80);
    }
    EXPECT_NEAR(moved, 200, 70);
}

} // namespace
