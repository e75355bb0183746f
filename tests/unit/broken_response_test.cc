// Tests of responses that are not HTTP, or that end early, and of their valid
// neighbours: the readers of lib/http, and calls over lib/mesh, direct and
// forwarded.
#include <gtest/gtest.h>

#include <string>

#include "bb_counters.h"
#include "mesh_rig.h"
#include "response_cases.h"

using mesh_rig::Caller;
using mesh_rig::Fetch;
using mesh_rig::Node;
using mesh_rig::Status;
using mesh_rig::Target;
using response_cases::Response;

namespace {

// The target sends the same bytes to each request.
struct BrokenResponse : mesh_rig::DirectAndForwarded {
    BrokenResponse()
    {
        BbCounters_Reset();
        target.on_request = [this](const Target::Request &request) {
            request.connection->Send(response);
        };
    }
    std::string Call(const Node &serving, bool is_idempotent = false)
    {
        Caller caller(&loop, serving.caller_address);
        last_id = "c" + std::to_string(++call_count);
        return caller.Call(
            is_idempotent ? Caller::Request("GET", "/safe/1", last_id)
                          : Caller::Request("POST", "/once/1", last_id, "x"));
    }
    // Expects what follows each broken response: the caller is told that the
    // call may have run, it ran once, its connection is closed, and the
    // target's failure is counted.
    void ExpectBroken(const Node &serving)
    {
        int64_t lost = BbCounters_Get(BB_COUNTER_REFUSED_TARGET_LOST) +
                       BbCounters_Get(BB_COUNTER_REFUSED_TARGET_SURPLUS);
        EXPECT_EQ(Call(serving),
                  "HTTP/1.1 502 Bad Gateway\r\nCall-Id: " + last_id +
                      "\r\nContent-Length: 0\r\n\r\n");
        EXPECT_EQ(target.RunCount(last_id), 1);
        EXPECT_TRUE(loop.RunUntil(
            [&] { return target.requests.back().connection->is_closed; },
            1.0));
        EXPECT_EQ(BbCounters_Get(BB_COUNTER_REFUSED_TARGET_LOST) +
                      BbCounters_Get(BB_COUNTER_REFUSED_TARGET_SURPLUS),
                  lost + 1);
        bb_load_t load = {};
        BbTargetIo_GetLoad(node.target_io, "once", &load);
        EXPECT_GT(load.fail_permille, 0);
    }
    // Expects a broken response on a new connection and on a reused one, from
    // both nodes.
    void ExpectBrokenEverywhere(const std::string &broken)
    {
        SCOPED_TRACE(broken);
        for (const Node *serving : {&node, &forwarding}) {
            SCOPED_TRACE(serving->name);
            response = broken;
            ExpectBroken(*serving);
            response = Response("200");
            EXPECT_EQ(Status(Call(*serving)), "200");
            response = broken;
            ExpectBroken(*serving);
        }
    }
    std::string response; // sent by the target
    std::string last_id;  // of the last call
    int call_count = 0;
};

} // namespace

// Guards against a status that no response has, passed on as an answer.
TEST_F(BrokenResponse, InvalidStatusesAreErrors)
{
    for (const char *status : response_cases::kBadStatuses) {
        ExpectBrokenEverywhere(Response(status));
        response = Response(status);
        EXPECT_EQ(Fetch(&loop, target.address).error, BB_ERR_PARSE) << status;
    }
}

// Guards against a call that is sent again although it may have run and must
// not run twice, and against an idempotent one that is not.
TEST_F(BrokenResponse, OnlyIdempotentCallsAreSentToAnotherTarget)
{
    node.AddNodeRecord(&forwarding, 2); // with its target
    auto run_count = [&] {
        return target.RunCount(last_id) + unused.RunCount(last_id);
    };
    target.on_request = [&](const Target::Request &request) {
        request.connection->Send(Response(run_count() == 1 ? "000" : "200"));
    };
    unused.on_request = target.on_request;
    for (int i = 0; i < 5; i++) { // the first target is chosen at random
        EXPECT_EQ(Status(Call(node, true)), "200");
        EXPECT_EQ(run_count(), 2);
        EXPECT_EQ(Status(Call(node)), "502");
        EXPECT_EQ(run_count(), 1);
    }
}

// Guards against a valid status that is refused, at the ends of each range.
TEST_F(BrokenResponse, StatusesOfAllClassesAreForwarded)
{
    for (const char *status : response_cases::kFinalStatuses) {
        SCOPED_TRACE(status);
        response = Response(status);
        for (const Node *serving : {&node, &forwarding}) {
            std::string got = Call(*serving);
            EXPECT_EQ(Status(got), status);
            EXPECT_EQ(got.substr(got.size() - 6), "\r\n\r\nok");
        }
        EXPECT_EQ(Fetch(&loop, target.address).status, atoi(status));
    }
    for (const char *status : response_cases::kInterimStatuses) {
        SCOPED_TRACE(status);
        response = std::string("HTTP/1.1 ") + status + " Wait\r\n\r\n" +
                   Response("200");
        for (const Node *serving : {&node, &forwarding}) {
            EXPECT_EQ(Status(Call(*serving)), "200");
        }
        EXPECT_EQ(Fetch(&loop, target.address).status, 200);
    }
}
