// Leaves of targets across restarts of their node, with real processes.
#include <gtest/gtest.h>

#include "relay.h"
#include "sidecar_process.h"

using mesh_rig::FakeStore;
using mesh_rig::Loop;
using mesh_rig::Relay;
using mesh_rig::SidecarProcess;

namespace {

const char kConfig[] =
    "{\"version\":\"r1\",\"services\":[{\"name\":\"one\"}],\"limits\":{},"
    "\"virtual_hosts\":[{\"host\":\"h\",\"path_rules\":[{\"name\":\"all\","
    "\"prefix\":\"/\",\"kind\":\"safe\",\"timeout_s\":2,"
    "\"target_latency_s\":0.5,\"priority\":1,\"service\":\"one\","
    "\"max_attempts\":1}]}]}";

struct SidecarLeave : testing::Test {
    SidecarLeave()
        : store(&loop), relay(&loop, store.address),
          node(&loop, &store, relay.address)
    {
        store.Put("op", "config", kConfig);
        EXPECT_TRUE(node.IsUp());
    }
    ~SidecarLeave()
    {
        if (HasFailure()) {
            printf("%s", node.Log().c_str());
        }
    }
    // The target announces itself and its node has recorded that.
    bool BecomeReady()
    {
        return node.SendHeartbeat("i-1", 1) == "200" &&
               loop.RunUntil([&] { return node.RecordHas("\"ready\":true"); });
    }
    bool Restart(int signal)
    {
        node.Signal(signal);
        return StartAgain();
    }
    bool StartAgain()
    {
        bool has_ended = node.WaitForEnd();
        node.Start();
        return has_ended && node.IsUp();
    }
    // Whether a call of the VM is run by the target. The node must have its
    // configuration by then: a call that it refuses for lack of one shows
    // nothing about the target.
    bool IsTargetCalled()
    {
        EXPECT_TRUE(node.HasConfig());
        size_t before = node.target.requests.size();
        node.Call("/x");
        return node.target.requests.size() > before;
    }
    // Whether the running process has logged this state of its target.
    bool HasBecome(const std::string &state) const
    {
        std::string log = node.Log();
        return log.find("\"state\":\"" + state + "\",\"slots\"",
                        log.rfind("\"event\":\"start\"")) != std::string::npos;
    }
    Loop loop;
    FakeStore store;
    Relay relay; // between the node and the store
    SidecarProcess node;
};

} // namespace

// Guards against calls to a target that has left while its node was stopped by
// SIGTERM: a heartbeat from before the leave arrives at the next process.
TEST_F(SidecarLeave, IsKnownAfterAnOrderlyRestart)
{
    ASSERT_TRUE(BecomeReady());
    EXPECT_TRUE(IsTargetCalled());
    node.Signal(SIGTERM);
    loop.RunFor(0.3);
    EXPECT_TRUE(node.LeaveAcknowledged("i-1"));
    ASSERT_TRUE(StartAgain());
    EXPECT_EQ(node.SendHeartbeat("i-1", 2), "200");
    loop.RunFor(0.2);
    EXPECT_FALSE(IsTargetCalled());
    EXPECT_FALSE(node.RecordHas("\"ready\":true"));
}

// Guards against the same when the leave, or the drain, came before SIGTERM.
TEST_F(SidecarLeave, IsKnownWhenItCameBeforeTheRestart)
{
    ASSERT_TRUE(BecomeReady());
    EXPECT_EQ(node.SendHeartbeat("i-1", 3, "draining"), "200");
    ASSERT_TRUE(Restart(SIGTERM));
    EXPECT_EQ(node.SendHeartbeat("i-1", 2), "200");
    loop.RunFor(0.2);
    EXPECT_FALSE(IsTargetCalled());
    // The next incarnation is not held back by the departed one.
    EXPECT_EQ(node.SendHeartbeat("i-2", 1, "ready", 2000), "200");
    EXPECT_TRUE(
        loop.RunUntil([&] { return node.RecordHas("\"ready\":true"); }));
    EXPECT_TRUE(IsTargetCalled());
}

// Guards against calls to a target whose leave was acknowledged by a process
// that had not heard of it: the leave comes before any heartbeat, a kill
// follows, and a heartbeat from before the leave arrives at the next process.
TEST_F(SidecarLeave, IsKnownWhenItCameBeforeAnyHeartbeat)
{
    EXPECT_TRUE(node.LeaveAcknowledged("i-1"));
    ASSERT_TRUE(Restart(SIGKILL));
    EXPECT_EQ(node.SendHeartbeat("i-1", 2), "200");
    loop.RunFor(0.2);
    EXPECT_FALSE(IsTargetCalled());
    // A target that started before the leave of the other one arrived.
    EXPECT_EQ(node.SendHeartbeat("i-2", 1, "ready", 900), "200");
    EXPECT_TRUE(
        loop.RunUntil([&] { return node.RecordHas("\"ready\":true"); }));
    EXPECT_TRUE(IsTargetCalled());
}

// Guards against calls to a departed target while a restarted node cannot read
// its record: the store is silent, and a late heartbeat arrives before it
// returns.
TEST_F(SidecarLeave, BindsBeforeTheRecordCanBeRead)
{
    ASSERT_TRUE(BecomeReady());
    EXPECT_TRUE(node.LeaveAcknowledged("i-1"));
    relay.is_silent = true;
    ASSERT_TRUE(Restart(SIGKILL));
    EXPECT_EQ(node.SendHeartbeat("i-1", 2), "200");
    loop.RunFor(3.0);
    EXPECT_FALSE(HasBecome("ready"));
    relay.is_silent = false;
    EXPECT_TRUE(loop.RunUntil([&] { return HasBecome("gone"); }));
    EXPECT_FALSE(HasBecome("ready"));
    EXPECT_FALSE(IsTargetCalled());
}

// Guards against a live target that gets no calls for as long as its restarted
// node cannot read the store: its heartbeats go on.
TEST_F(SidecarLeave, HeartbeatsCountWhenTheRecordStaysUnreadable)
{
    ASSERT_TRUE(BecomeReady());
    relay.is_silent = true;
    ASSERT_TRUE(Restart(SIGKILL));
    int sequence = 2;
    ev_tstamp end = ev_time() + 8.0;
    while (!HasBecome("ready") && ev_time() < end) {
        EXPECT_EQ(node.SendHeartbeat("i-1", sequence++), "200");
        loop.RunFor(0.3);
    }
    EXPECT_TRUE(HasBecome("ready"));
}

// Guards against records of nodes that are gone: without a departed target
// SIGTERM removes the record.
TEST_F(SidecarLeave, RecordIsRemovedAtSigtermWithoutADepartedTarget)
{
    ASSERT_TRUE(BecomeReady());
    node.Signal(SIGTERM);
    EXPECT_TRUE(node.WaitForEnd());
    EXPECT_EQ(node.Record(), "");
}

// Guards against an acknowledgement that only this process knows of: the store
// is silent for longer than the target repeats its leave, and a kill would
// make the next process forget it.
TEST_F(SidecarLeave, IsNotAcknowledgedBeforeItIsRecorded)
{
    ASSERT_TRUE(BecomeReady());
    relay.is_silent = true;
    EXPECT_FALSE(node.LeaveAcknowledged("i-1", 4.0));
    EXPECT_FALSE(IsTargetCalled()); // it binds all the same
    relay.is_silent = false;
    EXPECT_TRUE(node.LeaveAcknowledged("i-1"));
    EXPECT_TRUE(node.RecordHas("\"left\":true"));
}

// Guards against an acknowledgement during the shutdown that no other process
// can know of: the store does not answer, so the leave cannot be recorded.
TEST_F(SidecarLeave, IsNotAcknowledgedUnrecordedDuringAShutdown)
{
    ASSERT_TRUE(BecomeReady());
    node.Signal(SIGTERM);
    loop.RunFor(0.3);
    relay.is_silent = true;
    EXPECT_FALSE(node.LeaveAcknowledged("i-1", 4.0));
}
