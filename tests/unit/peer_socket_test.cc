// Peers over real sockets on 127.0.0.1, ports 23000 to 23999.
#include <ev.h>
#include <gtest/gtest.h>
#include <sodium.h>
#include <unistd.h>

#include <cstring>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bb_counters.h"
#include "bb_peer_io.h"

namespace {

struct Member {
    bb_active_config_t *active_config = nullptr;
    bb_peer_t *peer = nullptr;
    std::string address;
};

class PeerSocket : public ::testing::Test {
  protected:
    void SetUp() override
    {
        ASSERT_GE(sodium_init(), 0);
        BbCounters_Reset();
        loop = ev_loop_new(EVFLAG_AUTO);
        random = BbRandom_New(5);
        strcpy(owner.name, "harbour");
        crypto_sign_keypair(owner.key, secret);
    }
    void TearDown() override
    {
        for (auto &member : members) {
            Stop(member);
        }
        BbRandom_Free(random);
        ev_loop_destroy(loop);
    }
    static void Stop(Member &member)
    {
        BbPeer_Free(member.peer);
        BbActiveConfig_Free(member.active_config);
        member.peer = nullptr;
        member.active_config = nullptr;
    }
    // Starts a peer on the given address, or on the next free port.
    Member &Add(const char *data_centre, const char *seed,
                const std::string &address = "")
    {
        Member member;
        bb_active_config_options_t active_config = {&owner, 1, nullptr,
                                                    nullptr};
        member.active_config = BbActiveConfig_New(&active_config);
        bb_peer_options_t options = {};
        options.loop = loop;
        options.active_config = member.active_config;
        options.cluster = cluster.c_str();
        options.random = random;
        options.seeds = &seed;
        options.seed_count = seed != nullptr ? 1 : 0;
        strcpy(options.self.data_centre, data_centre);
        strcpy(options.self.caller_address, "127.0.0.1:1");
        while (member.peer == nullptr && port < 23999) {
            member.address = !address.empty()
                                 ? address
                                 : "127.0.0.1:" + std::to_string(port);
            port++;
            strcpy(options.self.peer_address, member.address.c_str());
            options.bind_address = member.address.c_str();
            member.peer = BbPeer_New(&options);
        }
        members.push_back(member);
        return members.back();
    }
    // Runs the loop until a condition holds.
    bool RunUntil(double limit_s, const std::function<bool()> &condition)
    {
        ev_timer wake;
        ev_timer_init(
            &wake, [](struct ev_loop *, ev_timer *, int) {}, 0.02, 0.02);
        ev_timer_start(loop, &wake);
        double end = ev_time() + limit_s;
        while (!condition() && ev_time() < end) {
            ev_run(loop, EVRUN_ONCE);
        }
        ev_timer_stop(loop, &wake);
        return condition();
    }
    bool AllSeeLiveMembers(size_t count) const
    {
        for (const auto &member : members) {
            if (member.peer != nullptr && LiveMembers(member) != count) {
                return false;
            }
        }
        return true;
    }
    static size_t LiveMembers(const Member &member)
    {
        json_t *status = BbPeer_StatusJson(member.peer);
        json_int_t live =
            json_integer_value(json_object_get(status, "live_members"));
        json_decref(status);
        return (size_t)live;
    }
    bool AllHaveVersion(int64_t version) const
    {
        for (const auto &member : members) {
            if (member.peer != nullptr &&
                BbActiveConfig_GetVersion(member.active_config) != version) {
                return false;
            }
        }
        return true;
    }
    int Offer(const Member &member, int64_t version, int routes)
    {
        std::string rows;
        for (int i = 0; i < routes; i++) {
            rows += (i > 0 ? ",\"r" : "\"r") + std::to_string(i) +
                    R"(":{"pool":"p","path_prefix":"/r)" + std::to_string(i) +
                    R"(","timeout_ms":)" + std::to_string(version) + "}";
        }
        std::string text =
            R"({"pools":{"p":{"service":"s"}},"routes":{)" + rows + "}}";
        bb_findings_t findings;
        bb_config_t *config = nullptr;
        BbFindings_Init(&findings);
        EXPECT_EQ(
            BbConfig_ParseText(text.data(), text.size(), &findings, &config),
            0);
        bb_release_t release = {};
        size_t size;
        const char *canonical = BbConfig_CanonicalText(config, &size);
        release.version = version;
        release.size = (int64_t)size;
        strcpy(release.digest, BbConfig_Digest(config));
        strcpy(release.owner, "harbour");
        strcpy(release.month, "2026-12");
        strcpy(release.write_id, "00112233445566778899aabbccddeeff");
        BbRelease_Sign(&release, secret);
        int error = BbPeer_OfferVersion(member.peer, &release, canonical, size,
                                        &findings);
        BbConfig_Unref(config);
        BbFindings_Free(&findings);
        return error;
    }

    struct ev_loop *loop = nullptr;
    bb_random_t *random = nullptr;
    bb_trusted_owner_t owner = {};
    unsigned char secret[crypto_sign_SECRETKEYBYTES];
    std::vector<Member> members;
    // Differs per process, so that members of two test runs on one VM do not
    // join each other when one run takes a port that a stopped member of the
    // other run had.
    std::string cluster = "test-" + std::to_string(getpid());
    int port = 23000 + getpid() % 40 * 24;
};

} // namespace

// Guards against an event loop that misses a ZeroMQ socket event and stalls,
// and against large contents that are not delivered.
TEST_F(PeerSocket, VersionsReachAllMembersOfTwoDataCentres)
{
    std::string north = Add("north", nullptr).address;
    for (int i = 0; i < 3; i++) {
        Add("north", north.c_str());
    }
    std::string south = Add("south", north.c_str()).address;
    for (int i = 0; i < 3; i++) {
        Add("south", south.c_str());
    }
    ASSERT_TRUE(RunUntil(20, [&] { return AllSeeLiveMembers(4); }));
    ASSERT_EQ(Offer(members[1], 1, 10), 0);
    ASSERT_TRUE(RunUntil(10, [&] { return AllHaveVersion(1); }));
    for (int64_t version = 2; version < 12; version++) {
        ASSERT_EQ(Offer(members[version % 8], version, 10), 0);
        ASSERT_TRUE(RunUntil(6, [&] { return AllHaveVersion(version); }))
            << version;
    }
    ASSERT_EQ(Offer(members[6], 12, 9000), 0);
    EXPECT_TRUE(RunUntil(6, [&] { return AllHaveVersion(12); }));
}

// Guards against a leave message that is lost because the process ends, and
// against members that cannot join again after a restart at the same address.
TEST_F(PeerSocket, LeaveIsSeenWithin2SAndSilenceWithin9S)
{
    std::string first = Add("north", nullptr).address;
    for (int i = 0; i < 4; i++) {
        Add("north", first.c_str());
    }
    ASSERT_TRUE(RunUntil(20, [&] { return AllSeeLiveMembers(5); }));
    BbPeer_Leave(members[2].peer);
    Stop(members[2]);
    EXPECT_TRUE(RunUntil(2, [&] { return AllSeeLiveMembers(4); }));
    Stop(members[3]);
    EXPECT_TRUE(RunUntil(9, [&] { return AllSeeLiveMembers(3); }));
    Member restarted = Add("north", first.c_str(), members[2].address);
    ASSERT_NE(restarted.peer, nullptr);
    EXPECT_TRUE(RunUntil(10, [&] { return AllSeeLiveMembers(4); }));
}
