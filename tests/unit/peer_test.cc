// Tests of lib/peer on the in-memory network of peer_net.h: membership,
// version distribution and links. G1 to G9 are the guarantees in
// docs/design.md.
#include "peer_net.h"

#include <cstdlib>

#include "bb_error.h"
#include "bb_peer_io.h"
#include "bb_token_bucket.h"

using peer_net::Net;

namespace {

const char *const kDataCentres[] = {"north", "south", "west"};

// The first node of each data centre and two more of the given one.
std::vector<std::string>
SeedAddresses(int data_centre_count, int nodes_per_data_centre,
              int data_centre)
{
    std::vector<std::string> seeds;
    for (int i = 0; i < data_centre_count; i++) {
        int first = i * nodes_per_data_centre + 1;
        seeds.push_back("10.0.0." + std::to_string(first) + ":7000");
        if (i == data_centre) {
            seeds.push_back("10.0.0." + std::to_string(first + 1) + ":7000");
            seeds.push_back("10.0.0." + std::to_string(first + 2) + ":7000");
        }
    }
    return seeds;
}

void
AddDataCentres(Net &net, int data_centre_count, int nodes_per_data_centre)
{
    for (int i = 0; i < data_centre_count * nodes_per_data_centre; i++) {
        net.Add(kDataCentres[i / nodes_per_data_centre],
                SeedAddresses(data_centre_count, nodes_per_data_centre,
                              i / nodes_per_data_centre));
    }
}

} // namespace

class PeerModes : public ::testing::TestWithParam<bb_spread_mode_t> {};

// Guards against a version that does not reach all nodes and data centres.
TEST_P(PeerModes, VersionReachesThreeDataCentres)
{
    Net net(11, GetParam());
    AddDataCentres(net, 3, 10);
    ASSERT_GE(net.RunUntil(15000, [&] { return net.MembersAgree(); }), 0);
    ASSERT_EQ(net.Offer(4, 1), 0);
    EXPECT_GE(net.RunUntil(6000, [&] { return net.AllHaveVersion(1); }), 0);
    for (int64_t version = 2; version < 6; version++) {
        ASSERT_EQ(net.Offer((int)version * 5, version), 0);
        EXPECT_GE(
            net.RunUntil(6000, [&] { return net.AllHaveVersion(version); }),
            0);
    }
}

INSTANTIATE_TEST_SUITE_P(Peer, PeerModes,
                         ::testing::Values(BB_SPREAD_PUSH,
                                           BB_SPREAD_ADVERTISE));

namespace {

// Three data centres of ten nodes each; all have joined and have version 1.
struct PeerFaults : public ::testing::Test {
    Net net{23};
    void SetUp() override
    {
        BbCounters_Reset();
        AddDataCentres(net, 3, 10);
        ASSERT_GE(net.RunUntil(15000, [&] { return net.MembersAgree(); }), 0);
        ASSERT_EQ(net.Offer(4, 1), 0);
        ASSERT_GE(net.RunUntil(6000, [&] { return net.AllHaveVersion(1); }),
                  0);
    }
    // True when all running nodes outside a data centre see this number of
    // live targets of a service ("DC/SERVICE").
    bool AllSeeLiveTargets(const std::string &service, int live,
                           const std::string &except) const
    {
        for (auto &node : net.nodes) {
            if (!node->is_up || node->data_centre == except) {
                continue;
            }
            auto found = node->remote_live.find(service);
            if ((found == node->remote_live.end() ? 0 : found->second) !=
                live) {
                return false;
            }
        }
        return true;
    }
};

} // namespace

// Guards against a data centre that keeps an old version after a cut has
// healed (G9), loses its own members during the cut, or whose services are
// still used by other data centres during it.
TEST_F(PeerFaults, DataCentreRecoversAfterCut)
{
    for (int index : {20, 21, 22}) {
        BbProtocol_SetTarget(net.nodes[index]->protocol, "orders",
                             BB_TARGET_READY, 18, net.now);
    }
    EXPECT_GE(net.RunUntil(
                  15000,
                  [&] { return AllSeeLiveTargets("west/orders", 3, "west"); }),
              0);
    net.CutDataCentre("west");
    for (int64_t version = 2; version < 30; version++) {
        net.Offer((int)version % 20, version);
        net.Run(1500);
    }
    EXPECT_TRUE(net.AllHaveVersion(29, "north") &&
                net.AllHaveVersion(29, "south"));
    EXPECT_TRUE(net.AllHaveVersion(1, "west"));
    EXPECT_TRUE(net.MembersAgree());
    EXPECT_TRUE(AllSeeLiveTargets("west/orders", 0, "west"));
    BbProtocol_SetTarget(net.nodes[23]->protocol, "orders", BB_TARGET_READY,
                         18, net.now);
    net.Run(3000);
    net.cuts.clear();
    EXPECT_GE(net.RunUntil(6000, [&] { return net.AllHaveVersion(29); }), 0);
    EXPECT_GE(net.RunUntil(
                  15000,
                  [&] { return AllSeeLiveTargets("west/orders", 4, "west"); }),
              0);
}

// Guards against a ring that splits when neighbours stop at the same time, and
// against versions that are not distributed while it is repaired.
TEST_F(PeerFaults, ThirdOfNodesStopsAndRestarts)
{
    for (int index = 0; index < 30; index += 3) {
        net.Stop(index);
    }
    net.Run(1000);
    ASSERT_EQ(net.Offer(1, 2), 0);
    EXPECT_GE(net.RunUntil(6000, [&] { return net.AllHaveVersion(2); }), 0);
    EXPECT_GE(net.RunUntil(15000, [&] { return net.MembersAgree(); }), 0);
    for (int index = 0; index < 30; index += 3) {
        net.Start(index, SeedAddresses(3, 10, index / 10), net.now);
    }
    EXPECT_GE(net.RunUntil(6000, [&] { return net.AllHaveVersion(2); }), 0);
    EXPECT_GE(net.RunUntil(20000, [&] { return net.MembersAgree(); }), 0);
}

// Guards against a new process that cannot replace the record of the previous
// process at its address, also when that one's clock was a century ahead.
TEST_F(PeerFaults, RestartedNodeReplacesRecordWithFutureIncarnation)
{
    const int64_t century_ms = INT64_C(100) * 365 * 86400 * 1000;
    net.Stop(7);
    net.Start(7, SeedAddresses(3, 10, 0), net.now + century_ms);
    EXPECT_GE(net.RunUntil(15000, [&] { return net.MembersAgree(); }), 0);
    net.Stop(7);
    net.Start(7, SeedAddresses(3, 10, 0), net.now);
    EXPECT_GE(net.RunUntil(15000, [&] { return net.MembersAgree(); }), 0);
    auto self = BbMembers_Self(BbProtocol_Members(net.nodes[7]->protocol));
    auto seen = BbMembers_FindAddress(
        BbProtocol_Members(net.nodes[3]->protocol), self->peer_address);
    EXPECT_EQ(seen->node_id, self->node_id);
    EXPECT_GT(self->incarnation, century_ms);
}

// Guards against a node that resumes after a pause, counts the pause as
// silence of its neighbours and reports them suspect or dead, or that returns
// to its outdated records and version.
TEST_F(PeerFaults, ResumedNodeDoesNotSuspectItsNeighbours)
{
    net.Pause(5, 20000);
    net.Run(10000);
    ASSERT_EQ(net.Offer(1, 2), 0);
    net.Run(9900);
    EXPECT_EQ(net.Version(5), 1);
    int64_t dead = BbCounters_Get(BB_COUNTER_MEMBER_DEAD);
    int64_t suspected = BbCounters_Get(BB_COUNTER_MEMBER_SUSPECTED);
    EXPECT_GE(net.RunUntil(6100, [&] { return net.AllHaveVersion(2); }), 0);
    EXPECT_GE(net.RunUntil(10000, [&] { return net.MembersAgree(); }), 0);
    net.Run(5000);
    EXPECT_TRUE(net.MembersAgree());
    EXPECT_EQ(BbCounters_Get(BB_COUNTER_MEMBER_DEAD), dead);
    EXPECT_EQ(BbCounters_Get(BB_COUNTER_MEMBER_SUSPECTED), suspected);
}

// Guards against connections that are kept although nothing arrives on them
// any more.
TEST_F(PeerFaults, SilentConnectionsAreReplaced)
{
    net.SilenceAllConnections();
    ASSERT_EQ(net.Offer(1, 2), 0);
    EXPECT_GE(net.RunUntil(6000, [&] { return net.AllHaveVersion(2); }), 0);
    EXPECT_TRUE(net.MembersAgree());
    EXPECT_EQ(BbCounters_Get(BB_COUNTER_MEMBER_DEAD), 0);
}

// Guards against a node that is declared dead because a single neighbour
// receives nothing from it.
TEST_F(PeerFaults, OneWayCutDoesNotMakeANodeDead)
{
    auto members = BbProtocol_Members(net.nodes[2]->protocol);
    const bb_member_t *next[3];
    ASSERT_EQ(BbMembers_Successors(members, 1, next, 3), 1u);
    int other = atoi(next[0]->peer_address + strlen("10.0.0.")) - 1;
    net.Cut(other, 2);
    ASSERT_EQ(net.Offer(other, 2), 0);
    EXPECT_GE(net.RunUntil(6000, [&] { return net.AllHaveVersion(2); }), 0);
    net.Run(20000);
    EXPECT_EQ(BbCounters_Get(BB_COUNTER_MEMBER_DEAD), 0);
    net.cuts.clear();
    EXPECT_GE(net.RunUntil(10000, [&] { return net.MembersAgree(); }), 0);
}

// Guards against frames that are accepted although a byte changed in transit.
TEST_F(PeerFaults, CorruptFramesAreDiscarded)
{
    net.corruption_rate = 0.3;
    for (int64_t version = 2; version < 12; version++) {
        ASSERT_EQ(net.Offer((int)version, version), 0);
        EXPECT_GE(
            net.RunUntil(6000, [&] { return net.AllHaveVersion(version); }),
            0);
    }
    net.corruption_rate = 0;
    EXPECT_GT(BbCounters_Get(BB_COUNTER_PEER_CORRUPT), 100);
    EXPECT_EQ(BbCounters_Get(BB_COUNTER_SPREAD_REFUSED), 0);
    EXPECT_GE(net.RunUntil(15000, [&] { return net.MembersAgree(); }), 0);
}

// Guards against new work for a target that is draining (G7): the message must
// not wait for the next batch, and when it is lost on some links, it must
// arrive over others.
TEST_F(PeerFaults, DrainIsSeenAtOnceAndWithinThreeSecondsDespiteLoss)
{
    auto all_see_draining = [&](int draining) {
        const char *address = net.nodes[draining]->address.c_str();
        for (int index : net.RunningNodes("south")) {
            auto record = BbMembers_FindAddress(
                BbProtocol_Members(net.nodes[index]->protocol), address);
            if (record->state != BB_MEMBER_DRAINING) {
                return false;
            }
        }
        return true;
    };
    BbProtocol_Drain(net.nodes[11]->protocol, net.now);
    EXPECT_GE(net.RunUntil(50, [&] { return all_see_draining(11); }), 0);
    net.loss_rate = 0.3;
    BbProtocol_Drain(net.nodes[12]->protocol, net.now);
    EXPECT_GE(net.RunUntil(3000, [&] { return all_see_draining(12); }), 0);
}

// Guards against a new node that takes its first version from a peer that
// lags.
TEST_F(PeerFaults, NewNodeStartsWithTheHighestVersion)
{
    for (int index : net.RunningNodes()) {
        net.Cut(index, 9); // receives nothing: stays at version 1
    }
    ASSERT_EQ(net.Offer(1, 2), 0);
    net.Run(3000);
    net.Add("north", {net.nodes[9]->address}); // answers first
    EXPECT_GE(net.RunUntil(4000,
                           [&] {
                               int64_t version = net.Version(30);
                               EXPECT_NE(version, 1);
                               return version == 2;
                           }),
              0);
}

// Guards against more than 10 KB/s of traffic per node while one node restarts
// every second.
TEST_F(PeerFaults, ChurnTrafficStaysBelowLimit)
{
    std::vector<int64_t> before(30, 0);
    for (int i = 0; i < 30; i++) {
        before[i] = BbProtocol_BytesSent(net.nodes[i]->protocol) +
                    BbProtocol_BytesReceived(net.nodes[i]->protocol);
    }
    for (int second = 0; second < 30; second++) {
        int index = 5 + second % 5 + 10 * (second % 3);
        net.Stop(index);
        net.Start(index, SeedAddresses(3, 10, index / 10), net.now);
        net.Run(1000);
    }
    for (int i : {0, 1, 10, 11, 20, 21}) {
        int64_t bytes = BbProtocol_BytesSent(net.nodes[i]->protocol) +
                        BbProtocol_BytesReceived(net.nodes[i]->protocol) -
                        before[i];
        EXPECT_LT(bytes / 30, 10 * 1024) << "node " << i;
    }
    EXPECT_GE(net.RunUntil(15000, [&] { return net.MembersAgree(); }), 0);
}

// ---- random faults ----

namespace {

void
InjectRandomFault(Net &net, int64_t &version)
{
    auto up = net.RunningNodes();
    int count = (int)net.nodes.size();
    int a = BbRandom_Below(net.random, count);
    int b = BbRandom_Below(net.random, count);
    switch (BbRandom_Below(net.random, 9)) {
    case 0:
    case 1:
        if (net.nodes[a]->is_up) {
            net.Offer(a, ++version);
        }
        break;
    case 2:
        if (up.size() > 12) {
            net.Stop(a);
        }
        break;
    case 3:
        if (!net.nodes[a]->is_up) {
            net.Start(a, SeedAddresses(3, 6, a / 6),
                      net.now + BbRandom_Below(net.random, 1 << 30) -
                          (1 << 29));
        }
        break;
    case 4:
        net.Cut(a, b);
        break;
    case 5:
        net.Cut(a, b);
        net.Cut(b, a);
        break;
    case 6:
        net.Pause(a, BbRandom_Below(net.random, 8000));
        break;
    case 7:
        net.SilenceAllConnections();
        break;
    case 8:
        net.CutDataCentre(kDataCentres[BbRandom_Below(net.random, 3)]);
        break;
    }
}

// Injects random faults, then ends all of them: the highest version must be in
// force on all nodes within 6 s and the members must agree within 70 s.
void
RunRandomFaults(uint32_t seed)
{
    Net net(seed, seed % 2 ? BB_SPREAD_PUSH : BB_SPREAD_ADVERTISE);
    int64_t version = 0;
    AddDataCentres(net, 3, 6);
    net.Run(5000);
    net.loss_rate = 0.1;
    net.duplicate_rate = 0.1;
    net.corruption_rate = 0.05;
    net.jitter_ms = 300;
    for (int step = 0; step < 40; step++) {
        InjectRandomFault(net, version);
        net.Run(BbRandom_Below(net.random, 3000));
        if (step % 10 == 9) {
            net.cuts.clear();
        }
    }
    for (auto &node : net.nodes) {
        net.Run(std::max<int64_t>(node->paused_until - net.now, 0));
    }
    net.loss_rate = net.duplicate_rate = net.corruption_rate = 0;
    net.jitter_ms = 0;
    net.cuts.clear();
    int64_t highest = 0;
    for (int index : net.RunningNodes()) {
        highest = std::max(highest, net.Version(index));
    }
    EXPECT_GE(net.RunUntil(6000, [&] { return net.AllHaveVersion(highest); }),
              0)
        << "replay with BB_SEED=" << seed;
    EXPECT_GE(net.RunUntil(70000, [&] { return net.MembersAgree(); }), 0)
        << "replay with BB_SEED=" << seed;
}

} // namespace

// Guards against combinations of faults that no other test covers.
TEST(PeerRandom, NodesConvergeAfterRandomFaults)
{
    const char *text = getenv("BB_SEED");
    if (text != nullptr) {
        RunRandomFaults((uint32_t)strtoul(text, nullptr, 10));
        return;
    }
    for (uint32_t seed = 1; seed <= 20 && !HasFailure(); seed++) {
        RunRandomFaults(seed);
    }
}
