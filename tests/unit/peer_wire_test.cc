// Tests of bb_wire, bb_token_bucket and bb_member.
#include <glib.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <vector>

#include "bb_counters.h"
#include "bb_error.h"
#include "bb_member.h"
#include "bb_token_bucket.h"
#include "bb_wire.h"

namespace {

bb_member_t
MakeRecord(uint64_t node_id, int64_t incarnation, const char *peer_address)
{
    bb_member_t member = {};
    member.node_id = node_id;
    member.incarnation = incarnation;
    member.state = BB_MEMBER_ALIVE;
    member.target_state = BB_TARGET_READY;
    member.slots = 18;
    strcpy(member.data_centre, "north");
    strcpy(member.service, "orders");
    strcpy(member.caller_address, "10.1.2.3:8000");
    strcpy(member.peer_address, peer_address);
    return member;
}

// A message with a value in every field.
struct Message : bb_wire_message_t {
    bb_member_t records[2];
    bb_summary_t services[1] = {};
    std::string content = R"({"base":"00"})";

    explicit Message(int wire_type) : bb_wire_message_t()
    {
        type = (bb_wire_type_t)wire_type;
        sender = 77;
        member = MakeRecord(77, 5, "10.0.0.1:7000");
        records[0] = MakeRecord(8, BB_MAX_INCARNATION, "10.0.0.2:7000");
        records[1] = MakeRecord(UINT64_MAX, 1, "255.255.255.255:65535");
        is_join = true;
        addresses.count = 1;
        strcpy(addresses.items[0], "10.0.0.9:7009");
        gateways = addresses;
        delay_ms = 1234;
        version = 99;
        config_digest = 0xfedcba9876543210;
        member_digest = 3;
        for (size_t i = 0; i < BB_MEMBER_BUCKETS; i++) {
            buckets[i] = i << 40;
        }
        members = records;
        member_count = 2;
        release.version = 4;
        release.size = 13;
        memset(release.digest, 'a', BB_DIGEST_HEX_LENGTH);
        strcpy(release.owner, "harbour");
        strcpy(release.month, "2026-12");
        memset(release.signature, '5', BB_SIGNATURE_HEX_LENGTH);
        text = content.data();
        text_size = content.size();
        strcpy(data_centre, "north");
        origin = 6;
        sequence = 7;
        summary_digest = 8;
        strcpy(services[0].service, "orders");
        services[0].live = 3;
        services[0].address_count = 1;
        strcpy(services[0].addresses[0], "10.0.0.3:8000");
        summaries = services;
        summary_count = 1;
    }
    std::vector<unsigned char> Encode(const char *cluster = "test") const
    {
        size_t size;
        unsigned char *frame = BbWire_Encode(cluster, this, &size);
        std::vector<unsigned char> result(frame, frame + size);
        g_free(frame);
        return result;
    }
};

} // namespace

// Guards against fields that are lost or swapped by encoding and decoding.
TEST(Wire, EveryTypeIsUnchangedByEncodeAndDecode)
{
    for (int type = 1; type < BB_WIRE_TYPE_COUNT; type++) {
        Message sent(type);
        auto frame = sent.Encode();
        bb_wire_message_t decoded;
        ASSERT_EQ(BbWire_Decode("test", frame.data(), frame.size(), &decoded),
                  0)
            << BbWire_TypeName((bb_wire_type_t)type);
        EXPECT_EQ(decoded.sender, 77u);
        // Encoding the decoded message must give the same frame.
        size_t size;
        unsigned char *reencoded = BbWire_Encode("test", &decoded, &size);
        EXPECT_EQ(frame,
                  std::vector<unsigned char>(reencoded, reencoded + size));
        g_free(reencoded);
        BbWire_Clear(&decoded);
    }
}

// Guards against reads past the end of a frame and against messages that are
// partly decoded: every truncated frame and every changed byte must be
// refused.
TEST(Wire, TruncatedAndCorruptFramesAreRefused)
{
    BbCounters_Reset();
    int64_t refused_count = 0;
    for (int type = 1; type < BB_WIRE_TYPE_COUNT; type++) {
        auto frame = Message(type).Encode();
        bb_wire_message_t decoded;
        for (size_t size = 0; size < frame.size(); size++, refused_count++) {
            std::vector<unsigned char> part(frame.begin(),
                                            frame.begin() + (long)size);
            EXPECT_EQ(BbWire_Decode("test", part.data(), size, &decoded),
                      BB_ERR_PARSE);
        }
        for (size_t i = 0; i < frame.size(); i++, refused_count++) {
            auto changed = frame;
            changed[i] ^= 0x21;
            EXPECT_NE(BbWire_Decode("test", changed.data(), changed.size(),
                                    &decoded),
                      0);
        }
    }
    EXPECT_EQ(BbCounters_Get(BB_COUNTER_PEER_CORRUPT), refused_count);
}

// Guards against out-of-range values in a frame with a valid checksum.
TEST(Wire, ValuesOutOfRangeAreRefused)
{
    bb_wire_message_t decoded;
    auto refused = [&](const Message &message) {
        auto frame = message.Encode();
        return BbWire_Decode("test", frame.data(), frame.size(), &decoded) ==
               BB_ERR_PARSE;
    };
    Message update(BB_WIRE_UPDATE);
    update.records[1].incarnation = BB_MAX_INCARNATION + 1;
    EXPECT_TRUE(refused(update));
    update.records[1] = MakeRecord(5, 5, "10.0.0.1:0");
    EXPECT_TRUE(refused(update));
    update.records[1] = MakeRecord(5, 5, "10.0.0.1:1");
    update.records[1].state = (bb_member_state_t)9;
    EXPECT_TRUE(refused(update));
    update.records[1] = MakeRecord(5, 5, "10.0.0.1:1");
    strcpy(update.records[1].service, "Or/ders");
    EXPECT_TRUE(refused(update));
    std::vector<bb_member_t> too_many(BB_WIRE_MAX_MEMBERS + 1,
                                      MakeRecord(5, 5, "10.0.0.1:1"));
    update.members = too_many.data();
    update.member_count = too_many.size();
    EXPECT_TRUE(refused(update));
    Message hello(BB_WIRE_HELLO);
    hello.sender = 0;
    EXPECT_TRUE(refused(hello));
}

// Guards against nodes that accept messages of another cluster, and against
// frames above the size limit.
TEST(Wire, ForeignAndOversizedFramesAreCounted)
{
    BbCounters_Reset();
    bb_wire_message_t decoded;
    auto frame = Message(BB_WIRE_HEARTBEAT).Encode("other");
    EXPECT_EQ(BbWire_Decode("test", frame.data(), frame.size(), &decoded),
              BB_ERR_INVALID);
    EXPECT_EQ(BbCounters_Get(BB_COUNTER_PEER_FOREIGN), 1);
    std::vector<unsigned char> large(BB_MAX_FRAME_BYTES + 1);
    EXPECT_EQ(BbWire_Decode("test", large.data(), large.size(), &decoded),
              BB_ERR_LIMIT);
    EXPECT_EQ(BbCounters_Get(BB_COUNTER_PEER_OVERSIZED), 1);
}

// Guards against heartbeats that exceed the byte budget.
TEST(Wire, HeartbeatIsSmall)
{
    EXPECT_LE(Message(BB_WIRE_HEARTBEAT).Encode().size(), 64u);
}

// ---- rate limits ----

// Guards against a member overloaded by joins, and against deferred nodes that
// all retry at the same time.
TEST(TokenBucket, JoinsAreAdmittedAtABoundedRate)
{
    bb_token_bucket_t joins;
    bb_random_t *random = BbRandom_New(3);
    int64_t delay_ms = 0;
    int admitted = 0;
    int64_t shortest_ms = INT64_MAX, longest_ms = 0;
    BbTokenBucket_Init(&joins, 20, 0);
    for (int64_t now_ms = 0; now_ms < 10000; now_ms += 5) {
        if (BbTokenBucket_AdmitJoin(&joins, random, now_ms, &delay_ms)) {
            admitted++;
        }
        else {
            shortest_ms = std::min(shortest_ms, delay_ms);
            longest_ms = std::max(longest_ms, delay_ms);
        }
    }
    EXPECT_LE(admitted, 20 * 10 + 20);
    EXPECT_GE(admitted, 20 * 10);
    EXPECT_GT(longest_ms - shortest_ms, BB_MAX_JOIN_DELAY_MS / 2);
    EXPECT_LE(longest_ms, BB_MAX_JOIN_DELAY_MS);
    BbRandom_Free(random);
}

// Guards against a bucket that holds more tokens than are added in one second,
// and against a balance that falls without a limit.
TEST(TokenBucket, BucketHoldsAtMostOneSecondOfTokens)
{
    bb_token_bucket_t bucket;
    BbTokenBucket_Init(&bucket, 8192, 0);
    EXPECT_TRUE(BbTokenBucket_HasTokens(&bucket, 3600000));
    BbTokenBucket_Take(&bucket, 8192, 3600000);
    EXPECT_FALSE(BbTokenBucket_HasTokens(&bucket, 3600000));
    EXPECT_TRUE(BbTokenBucket_HasTokens(&bucket, 3600001));
    BbTokenBucket_Take(&bucket, 1000000000, 3600001);
    EXPECT_FALSE(BbTokenBucket_HasTokens(&bucket, 3604000));
    EXPECT_TRUE(BbTokenBucket_HasTokens(&bucket, 3605000));
}

// ---- membership ----

namespace {

struct MemberTable : public ::testing::Test {
    bb_members_t *members = nullptr;
    std::vector<bb_member_t> changes;
    int64_t now = 1000;

    void SetUp() override
    {
        bb_members_options_t options = {};
        options.self = MakeRecord(1, 100, "10.0.0.1:7000");
        options.on_change = [](const bb_member_t *member, void *arg) {
            static_cast<MemberTable *>(arg)->changes.push_back(*member);
        };
        options.arg = this;
        members = BbMembers_New(&options);
    }
    void TearDown() override
    {
        BbMembers_Free(members);
    }
    bb_merge_t Merge(uint64_t id, int64_t incarnation,
                     bb_member_state_t state = BB_MEMBER_ALIVE,
                     const char *address = "10.0.0.2:7000")
    {
        bb_member_t record = MakeRecord(id, incarnation, address);
        record.state = state;
        return BbMembers_Merge(members, &record, 0, now);
    }
    void AdvanceTo(int64_t end)
    {
        for (; now < end; now += 200) {
            BbMembers_Tick(members, now);
        }
    }
    bb_member_state_t State(uint64_t id)
    {
        const bb_member_t *member = BbMembers_Find(members, id);
        return member != nullptr ? member->state : (bb_member_state_t)-1;
    }
};

} // namespace

// Guards against a delayed or reordered record that overwrites a newer one.
TEST_F(MemberTable, HigherIncarnationWinsThenHigherState)
{
    EXPECT_EQ(Merge(2, 5), BB_MERGE_CHANGED);
    EXPECT_EQ(Merge(2, 5), BB_MERGE_UNCHANGED);
    EXPECT_EQ(Merge(2, 5, BB_MEMBER_DRAINING), BB_MERGE_CHANGED);
    EXPECT_EQ(Merge(2, 5, BB_MEMBER_SUSPECT), BB_MERGE_SUPERSEDED);
    EXPECT_EQ(Merge(2, 5, BB_MEMBER_LEFT), BB_MERGE_CHANGED);
    EXPECT_EQ(Merge(2, 5, BB_MEMBER_DEAD), BB_MERGE_SUPERSEDED);
    EXPECT_EQ(Merge(2, 4), BB_MERGE_SUPERSEDED);
    EXPECT_EQ(Merge(2, 6), BB_MERGE_CHANGED);
    EXPECT_EQ(State(2), BB_MEMBER_ALIVE);
}

// Guards against a node that accepts a record saying that it is suspect or
// dead, also when that record has the largest starting incarnation.
TEST_F(MemberTable, RefutesFalseRecordsAboutItself)
{
    EXPECT_EQ(Merge(1, 100, BB_MEMBER_SUSPECT, "10.0.0.1:7000"),
              BB_MERGE_CHANGED);
    EXPECT_EQ(BbMembers_Self(members)->incarnation, 101);
    EXPECT_EQ(BbMembers_Self(members)->state, BB_MEMBER_ALIVE);
    EXPECT_EQ(
        Merge(9, BB_MAX_FIRST_INCARNATION, BB_MEMBER_DEAD, "10.0.0.1:7000"),
        BB_MERGE_CHANGED);
    EXPECT_GT(BbMembers_Self(members)->incarnation, BB_MAX_FIRST_INCARNATION);
    EXPECT_EQ(BbMembers_Self(members)->node_id, 1u);
}

// Guards against suspects that never become dead and tombstones that are never
// removed.
TEST_F(MemberTable, SuspectIsDeadAfterThreeSecondsAndRemovedAfterSixty)
{
    Merge(2, 5);
    AdvanceTo(2000);
    BbMembers_Suspect(members, 2, now);
    AdvanceTo(4800);
    EXPECT_EQ(State(2), BB_MEMBER_SUSPECT);
    AdvanceTo(5400);
    EXPECT_EQ(State(2), BB_MEMBER_DEAD);
    EXPECT_EQ(Merge(2, 5), BB_MERGE_SUPERSEDED);
    AdvanceTo(64000);
    EXPECT_EQ(State(2), BB_MEMBER_DEAD);
    AdvanceTo(66000);
    EXPECT_EQ(BbMembers_Find(members, 2), nullptr);
}

// Guards against a node that declares others dead after it was paused itself,
// and against a suspect declared dead although a message of it arrived.
TEST_F(MemberTable, OwnPauseAndReceivedMessagesDelayDeath)
{
    Merge(2, 5);
    AdvanceTo(2000);
    BbMembers_Suspect(members, 2, now);
    now += 10000;
    AdvanceTo(now + 400);
    EXPECT_EQ(State(2), BB_MEMBER_SUSPECT);
    BbMembers_ConfirmAlive(members, 2, now);
    AdvanceTo(now + 10000);
    EXPECT_EQ(State(2), BB_MEMBER_ALIVE);
}

// Guards against two records for one address, and against callers that keep
// sending calls to a process that was replaced.
TEST_F(MemberTable, NewerProcessOnTheSameAddressReplacesTheOlder)
{
    Merge(2, 5);
    EXPECT_EQ(Merge(3, 4), BB_MERGE_SUPERSEDED);
    changes.clear();
    EXPECT_EQ(Merge(3, 6), BB_MERGE_CHANGED);
    ASSERT_EQ(changes.size(), 2u);
    EXPECT_EQ(changes[0].node_id, 2u);
    EXPECT_EQ(changes[0].state, BB_MEMBER_DEAD);
    EXPECT_EQ(changes[1].node_id, 3u);
    EXPECT_EQ(BbMembers_LiveCount(members), 2u);
    EXPECT_EQ(Merge(3, 7, BB_MEMBER_ALIVE, "10.0.0.9:7000"), BB_MERGE_REFUSED);
}

// Guards against a change that is sent twice on a link, never, or back on the
// link on which it arrived.
TEST_F(MemberTable, EachChangeIsReturnedOncePerLink)
{
    uint64_t cursor = BbMembers_Sequence(members);
    bb_member_t out[2];
    bb_member_t record = MakeRecord(2, 5, "10.0.0.2:7000");
    BbMembers_Merge(members, &record, 44, now);
    Merge(3, 5, BB_MEMBER_ALIVE, "10.0.0.3:7000");
    Merge(4, 5, BB_MEMBER_ALIVE, "10.0.0.4:7000");
    Merge(3, 6, BB_MEMBER_ALIVE, "10.0.0.3:7000");
    ASSERT_EQ(BbMembers_Changes(members, &cursor, 44, out, 1), 1u);
    EXPECT_EQ(out[0].node_id, 4u);
    ASSERT_EQ(BbMembers_Changes(members, &cursor, 44, out, 2), 1u);
    EXPECT_EQ(out[0].node_id, 3u);
    EXPECT_EQ(out[0].incarnation, 6);
    EXPECT_EQ(BbMembers_Changes(members, &cursor, 44, out, 2), 0u);
}

// Guards against a cursor that never reaches the newest change because the
// record of that change was removed: the update loop of a new link then never
// ended.
TEST_F(MemberTable, CursorSkipsChangesOfRemovedRecords)
{
    bb_member_t out[2];
    uint64_t cursor = 0;
    Merge(2, 5, BB_MEMBER_DEAD);
    AdvanceTo(now + 61000);
    ASSERT_EQ(BbMembers_Find(members, 2), nullptr);
    BbMembers_Changes(members, &cursor, 0, out, 2);
    EXPECT_EQ(cursor, BbMembers_Sequence(members));
}
