// Tests of bb_lease and bb_reader in virtual time against bb_store.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "bb_backoff.h"
#include "bb_error.h"
#include "bb_lease.h"
#include "bb_reader.h"
#include "bb_store.h"

namespace {

const int64_t kTickMs = 10;

// Upper bound of one node's attempts in a minute at the longest backoff.
// Jitter shortens a delay by at most half.
const int kMaxAttemptsPerMinute = 60000 / (BB_BACKOFF_MAX_MS / 2);

struct Platform {
    Platform() : store(BbStore_New())
    {
    }
    ~Platform()
    {
        BbStore_Free(store);
    }
    bb_store_t *store;
    int64_t wall_clock_offset = 1700000000000; // its clock at virtual time 0
    bool is_unavailable = false;
    int responses_to_lose = 0;
    int requests = 0;
    int commits = 0;
};

struct Node {
    Node(Platform *platform, const std::string &id, uint32_t seed,
         int64_t monotonic_offset, int64_t now)
        : platform(platform), monotonic_offset(monotonic_offset),
          random(BbRandom_New(seed))
    {
        bb_lease_options_t options = {"recife-a", id.c_str(), "10.0.0.1:1",
                                      random};
        lease = BbLease_New(&options);
        BbLease_SetCandidate(lease, 1, now + monotonic_offset);
    }
    ~Node()
    {
        if (has_response) {
            json_decref(response_json);
        }
        BbLease_Free(lease);
        BbRandom_Free(random);
    }
    void ScheduleResponse(int64_t at, int error, json_t *response,
                          bool is_commit)
    {
        has_response = true;
        response_at = at;
        response_error = error;
        response_json = response;
        response_is_commit = is_commit;
    }
    void Deliver(int64_t now)
    {
        if (!has_response || now < response_at) {
            return;
        }
        has_response = false;
        (response_is_commit ? BbLease_HandleCommit : BbLease_HandleRows)(
            lease, response_error, response_json, now + monotonic_offset);
        json_decref(response_json);
    }
    void Commit(int64_t now, json_t *transaction)
    {
        json_t *response = nullptr;
        int error = BB_ERR_UNAVAILABLE;
        platform->commits++;
        if (!platform->is_unavailable) {
            error =
                BbStore_Commit(platform->store, transaction,
                               now + platform->wall_clock_offset, &response);
        }
        json_decref(transaction);
        if (platform->responses_to_lose > 0) {
            platform->responses_to_lose--;
            json_decref(response);
            ScheduleResponse(now + 2000, BB_ERR_UNKNOWN, nullptr, true);
            return;
        }
        ScheduleResponse(now + 20, error, response, true);
    }
    void Execute(int64_t now, const bb_lease_action_t &action)
    {
        action_kinds.push_back(action.kind);
        if (action.kind == BB_LEASE_START_READING ||
            action.kind == BB_LEASE_STOP_READING) {
            is_reading = action.kind == BB_LEASE_START_READING;
            return;
        }
        platform->requests++;
        if (action.kind == BB_LEASE_COMMIT) {
            Commit(now, action.transaction);
            return;
        }
        json_t *rows =
            platform->is_unavailable
                ? nullptr
                : BbStore_ListRows(platform->store, "leases", nullptr,
                                   now + platform->wall_clock_offset);
        ScheduleResponse(now + 20, rows != nullptr ? 0 : BB_ERR_UNAVAILABLE,
                         rows, false);
    }
    void Run(int64_t now)
    {
        bb_lease_action_t action;
        Deliver(now);
        for (;;) {
            BbLease_Next(lease, now + monotonic_offset, &action);
            if (action.kind == BB_LEASE_WAIT) {
                return;
            }
            Execute(now, action);
        }
    }
    Platform *platform;
    int64_t monotonic_offset; // VM's monotonic clock at virtual time 0
    bb_random_t *random;
    bb_lease_t *lease;
    bool is_paused = false;
    bool is_reading = false;
    std::vector<int> action_kinds;
    bool has_response = false;
    int64_t response_at = 0;
    int response_error = 0;
    json_t *response_json = nullptr;
    bool response_is_commit = false;
};

class Lease : public ::testing::Test {
  protected:
    Node *AddNode(int64_t monotonic_offset = 0)
    {
        auto seed = static_cast<uint32_t>(nodes.size() + 1);
        nodes.push_back(std::make_unique<Node>(&platform,
                                               "node-" + std::to_string(seed),
                                               seed, monotonic_offset, now));
        return nodes.back().get();
    }
    void Run(int64_t duration)
    {
        for (int64_t end = now + duration; now < end; now += kTickMs) {
            for (auto &node : nodes) {
                if (!node->is_paused) {
                    node->Run(now);
                }
            }
        }
    }
    int CountReaders() const
    {
        int count = 0;
        for (const auto &node : nodes) {
            count += node->is_reading && !node->is_paused;
        }
        return count;
    }
    Platform platform;
    std::vector<std::unique_ptr<Node>> nodes;
    int64_t now = 0;
};

// Guards against leases that expire between renewals, or are renewed so often
// that they load the platform.
TEST_F(Lease, HolderRenewsAfterOneThirdOfLease)
{
    Node *node = AddNode();
    Run(6000);
    ASSERT_TRUE(node->is_reading);
    int requests = platform.requests;
    node->action_kinds.clear();
    Run(60000);
    EXPECT_TRUE(node->is_reading);
    EXPECT_EQ(BbLease_Fence(node->lease), 1);
    EXPECT_NEAR(platform.requests - requests, 18, 1);
    for (int kind : node->action_kinds) {
        EXPECT_EQ(kind, BB_LEASE_COMMIT);
    }
}

// Guards against two candidates that take one slot and leave the other free.
TEST_F(Lease, TwoCandidatesHoldBothSlots)
{
    AddNode();
    AddNode();
    Run(16000);
    EXPECT_EQ(CountReaders(), 2);
    EXPECT_EQ(BbLease_Fence(nodes[0]->lease), 1);
    EXPECT_EQ(BbLease_Fence(nodes[1]->lease), 1);
}

// Guards against a burst of writes when many nodes find free slots at the same
// time.
TEST_F(Lease, SimultaneousCandidatesWriteFewTimes)
{
    for (int i = 0; i < 200; i++) {
        AddNode();
    }
    Run(6000);
    EXPECT_EQ(CountReaders(), 2);
    // The writes and renewals of 2 holders, and a few candidates that wrote
    // within the same round trip.
    EXPECT_LE(platform.commits, 12);
}

// Guards against a holder that stops reading, or takes its own slot again with
// a new fence, because the response to its renewal was lost.
TEST_F(Lease, LostResponseOfRenewalIsReadBack)
{
    Node *node = AddNode();
    Run(6000);
    ASSERT_TRUE(node->is_reading);
    node->action_kinds.clear();
    platform.responses_to_lose = 1;
    Run(30000);
    EXPECT_EQ(platform.responses_to_lose, 0);
    EXPECT_EQ(BbLease_Fence(node->lease), 1);
    int reads = 0;
    for (int kind : node->action_kinds) {
        EXPECT_NE(kind, BB_LEASE_STOP_READING);
        reads += kind == BB_LEASE_READ_ROWS;
    }
    EXPECT_EQ(reads, 1);
}

// Guards against a slot that stays unused until it expires because the
// response to the write that took it was lost.
TEST_F(Lease, LostResponseOfTakeIsReadBack)
{
    Node *node = AddNode();
    platform.responses_to_lose = 1;
    Run(9000);
    EXPECT_TRUE(node->is_reading);
    EXPECT_EQ(BbLease_Fence(node->lease), 1);
}

// Guards against a paused holder that writes, or goes on reading, when it
// resumes after its lease expired, and against its slot staying free.
TEST_F(Lease, ResumedHolderStopsReadingAndDoesNotWrite)
{
    Node *first = AddNode();
    AddNode();
    Run(16000);
    ASSERT_EQ(CountReaders(), 2);
    Node *third = AddNode();
    first->is_paused = true;
    Run(25000);
    EXPECT_EQ(CountReaders(), 2);
    EXPECT_EQ(BbLease_Fence(third->lease), 2);
    first->action_kinds.clear();
    first->is_paused = false;
    Run(20000);
    ASSERT_FALSE(first->action_kinds.empty());
    EXPECT_EQ(first->action_kinds[0], BB_LEASE_STOP_READING);
    for (int kind : first->action_kinds) {
        EXPECT_NE(kind, BB_LEASE_COMMIT);
    }
    EXPECT_EQ(CountReaders(), 2);
}

// Guards against readers that send requests without backoff during an outage,
// go on reading without a lease, or do not take a lease after the outage.
TEST_F(Lease, ReadersBackOffInOutageAndRecover)
{
    AddNode();
    AddNode();
    Run(16000);
    ASSERT_EQ(CountReaders(), 2);
    platform.is_unavailable = true;
    Run(BB_LEASE_MS);
    EXPECT_EQ(CountReaders(), 0);
    int requests = platform.requests;
    Run(60000);
    EXPECT_LE(platform.requests - requests, 2 * kMaxAttemptsPerMinute);
    platform.is_unavailable = false;
    Run(BB_BACKOFF_MAX_MS + 100);
    EXPECT_GE(CountReaders(), 1);
    Run(BB_LEASE_JITTER_MS + 100);
    EXPECT_EQ(CountReaders(), 2);
}

// Guards against leases that expire by the VM's clock. The clocks of the VMs
// differ by days from each other and from the platform's clock.
TEST_F(Lease, ExpiryDoesNotDependOnVmClocks)
{
    Node *first = AddNode(500000000);
    AddNode(7);
    platform.wall_clock_offset = 86400000;
    Run(16000);
    ASSERT_EQ(CountReaders(), 2);
    AddNode(-900000000);
    Run(60000);
    EXPECT_FALSE(nodes[2]->is_reading);
    first->is_paused = true;
    Run(BB_LEASE_MS + BB_LEASE_JITTER_MS + 1000);
    EXPECT_TRUE(nodes[2]->is_reading);
}

// Guards against a slot that stays blocked for as long as the platform's clock
// was set back, here an hour, because its row expires in the far future.
TEST_F(Lease, SlotIsFreeAfterPlatformClockIsSetBack)
{
    Node *first = AddNode();
    Run(6000);
    ASSERT_TRUE(first->is_reading);
    first->is_paused = true;
    platform.wall_clock_offset -= 3600000;
    AddNode();
    AddNode();
    Run(2 * BB_LEASE_MS + BB_LEASE_JITTER_MS);
    EXPECT_EQ(CountReaders(), 2);
}

// Guards against a data centre that has no reader until the old leases would
// have expired, although they were released: two nodes cease to be gateways
// after two new gateways have found both slots taken. A version accepted in
// this time took 6.5 s to reach 30 nodes.
TEST_F(Lease, WaitingCandidatesTakeReleasedSlots)
{
    Node *first = AddNode();
    Node *second = AddNode();
    Run(6000);
    ASSERT_EQ(CountReaders(), 2);
    AddNode();
    AddNode();
    Run(BB_LEASE_JITTER_MS + 100);
    BbLease_SetCandidate(first->lease, 0, now + first->monotonic_offset);
    BbLease_SetCandidate(second->lease, 0, now + second->monotonic_offset);
    Run(2 * BB_LEASE_RECHECK_MS + 100);
    EXPECT_EQ(CountReaders(), 2);
}

// Guards against a node that is no longer a gateway and keeps its slot until
// the lease expires.
TEST_F(Lease, FormerCandidateReleasesItsSlot)
{
    Node *first = AddNode();
    AddNode();
    Run(16000);
    BbLease_SetCandidate(first->lease, 0, now + first->monotonic_offset);
    Run(1000);
    EXPECT_FALSE(first->is_reading);
    Node *third = AddNode();
    Run(BB_LEASE_JITTER_MS + 100);
    EXPECT_TRUE(third->is_reading);
    EXPECT_EQ(BbLease_Fence(third->lease), 2);
}

class Reader : public ::testing::Test {
  protected:
    Reader() : random(BbRandom_New(1))
    {
        bb_reader_options_t options = {500, 0, random};
        reader = BbReader_New(&options);
        BbReader_SetActive(reader, 1, now);
    }
    ~Reader() override
    {
        BbReader_Free(reader);
        BbRandom_Free(random);
    }
    // Runs the reader for duration; sets reads and fetches to the number of
    // head reads and content fetches in this time.
    void Run(int64_t duration)
    {
        reads = fetches = 0;
        for (int64_t end = now + duration; now < end; now += kTickMs) {
            bb_reader_action_t action;
            for (BbReader_Next(reader, version, now, &action);
                 action.kind != BB_READER_WAIT;
                 BbReader_Next(reader, version, now, &action)) {
                Execute(action);
            }
        }
    }
    void Execute(const bb_reader_action_t &action)
    {
        if (action.kind == BB_READER_READ_HEAD) {
            reads++;
            BbReader_HandleHead(reader, error, error == 0 ? &head : nullptr,
                                now);
            return;
        }
        fetches++;
        if (accepts_content) {
            version = action.release->version;
        }
        BbReader_HandleContent(reader, 0, version, now);
    }
    bb_random_t *random;
    bb_reader_t *reader;
    bb_release_t head = {};
    int64_t version = 0;
    int64_t now = 5000;
    int error = BB_ERR_NOT_FOUND;
    bool accepts_content = true;
    int reads = 0;
    int fetches = 0;
};

// Guards against fetching the content of a version that is already in force.
TEST_F(Reader, FetchesOnlyNewerVersions)
{
    Run(5000);
    EXPECT_EQ(reads, 10);
    error = 0;
    head.version = 3;
    Run(5000);
    EXPECT_EQ(fetches, 1);
    EXPECT_EQ(version, 3);
    head.version = version = 4; // arrived over a peer link first
    Run(5000);
    EXPECT_EQ(fetches, 0);
    EXPECT_EQ(reads, 10);
}

// Guards against fetching a version that the node refuses at every poll, and
// against delaying its successor by the backoff.
TEST_F(Reader, RefusedContentIsFetchedWithBackoff)
{
    error = 0;
    head.version = 1;
    accepts_content = false;
    Run(60000);
    EXPECT_GE(fetches, 6);
    EXPECT_LE(fetches, 6 + kMaxAttemptsPerMinute);
    EXPECT_EQ(reads, 120);
    head.version = 2; // its fetch is not delayed by the backoff
    accepts_content = true;
    Run(600);
    EXPECT_EQ(version, 2);
}

// Guards against versions that no node reads while the leases of dead readers
// are still valid, and against gateways without a lease that read at the full
// rate.
TEST_F(Reader, StandbyReaderReadsEveryTwoSeconds)
{
    BbReader_SetActive(reader, 0, now);
    error = 0;
    head.version = 3;
    BbReader_SetStandby(reader, 1, now);
    Run(BB_READER_STANDBY_MS + 100);
    EXPECT_EQ(version, 3);
    Run(10 * BB_READER_STANDBY_MS);
    EXPECT_GE(reads, 9);
    EXPECT_LE(reads, 11);
    BbReader_SetStandby(reader, 0, now);
    Run(10000);
    EXPECT_EQ(reads, 0);
}

// Guards against head reads at the full rate during an outage, and against
// reads by a node that is no longer a reader.
TEST_F(Reader, HeadReadsBackOffInOutage)
{
    error = BB_ERR_UNAVAILABLE;
    Run(60000);
    EXPECT_LE(reads, 6 + kMaxAttemptsPerMinute);
    error = 0;
    head.version = 1;
    Run(BB_BACKOFF_MAX_MS + 100);
    EXPECT_EQ(version, 1);
    BbReader_SetActive(reader, 0, now);
    Run(10000);
    EXPECT_EQ(reads, 0);
}

} // namespace
