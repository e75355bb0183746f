// Tests of lib/http/bb_h1_server with raw connections.
#include <gtest/gtest.h>

#include <string>

#include "bb_h1_server.h"
#include "mesh_rig.h"

using mesh_rig::Connection;
using mesh_rig::Loop;

namespace {

// A server that keeps its newest request open, and one client.
struct H1Server : testing::Test {
    H1Server() : address(mesh_rig::FreeAddress())
    {
        bb_h1_server_options_t options = {};
        options.loop = loop.loop;
        options.address = address.c_str();
        options.handler = &kHandler;
        options.arg = this;
        EXPECT_EQ(BbH1Server_New(&options, &server), 0);
        client =
            std::make_unique<Connection>(&loop, BbH1_Connect(address.c_str()));
        loop.RunFor(0.02); // until the connection is established
    }
    ~H1Server()
    {
        BbH1Server_Free(server);
    }
    static void OnHead(bb_h1_request_t *request, void *arg)
    {
        auto *test = static_cast<H1Server *>(arg);
        test->request = request;
        test->request_count++;
    }
    static void OnConnectionLost(bb_h1_request_t *, void *arg)
    {
        auto *test = static_cast<H1Server *>(arg);
        test->request = nullptr;
        test->lost_count++;
    }
    static const bb_h1_handler_t kHandler;
    Loop loop;
    std::string address;
    bb_h1_server_t *server = nullptr;
    std::unique_ptr<Connection> client;
    bb_h1_request_t *request = nullptr;
    int request_count = 0, lost_count = 0;
};

const bb_h1_handler_t H1Server::kHandler = {
    OnHead, nullptr, nullptr, OnConnectionLost, nullptr, nullptr};

} // namespace

// Guards against a request that is freed while its handler passes data: a
// process ended by signal 11 when clients left large responses.
TEST_F(H1Server, RequestsOutliveAFailedWriteOfTheirResponse)
{
    client->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(loop.RunUntil([&] { return request_count == 1; }));
    client->Close(true);
    usleep(20000); // until the reset has arrived, without a turn of the loop
    std::string data(100000, 'x');
    BbH1_RespondStart(request, 200, nullptr, BB_H1_CHUNKED);
    for (int i = 0; i < 5; i++) {
        ASSERT_EQ(lost_count, 0) << "during write " << i;
        BbH1_RespondData(request, data.data(), data.size());
        EXPECT_EQ(BbH1_UnsentBytes(request), 0u);
    }
    EXPECT_TRUE(loop.RunUntil([&] { return lost_count == 1; }, 1.0));
}

// Guards against targets that work on for a client that has left: the server
// stops reading at its limit of open requests, and did not see the end of the
// connection then.
TEST_F(H1Server, NoticesTheEndOfAConnectionThatIsNotRead)
{
    for (int i = 0; i < BB_H1_MAX_PIPELINE; i++) {
        client->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        ASSERT_TRUE(loop.RunUntil([&] { return request_count == i + 1; }));
    }
    client->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n"); // is not read
    loop.RunFor(0.05);
    client->Close(false);
    EXPECT_TRUE(
        loop.RunUntil([&] { return lost_count == BB_H1_MAX_PIPELINE; }, 0.5));
    EXPECT_EQ(request_count, BB_H1_MAX_PIPELINE);
}

// Guards against a process that exits at the end of a shutdown with responses
// that are given but not sent: it asks whether any are left.
TEST_F(H1Server, KnowsOfResponsesThatAreNotSent)
{
    const std::string body(16 * 1024 * 1024, 'x');
    EXPECT_TRUE(BbH1Server_IsFlushed(server));
    client->StopReading();
    client->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(loop.RunUntil([&] { return request_count == 1; }));
    BbH1_Respond(request, 200, nullptr, body.data(), body.size());
    loop.RunFor(0.05);
    EXPECT_FALSE(BbH1Server_IsFlushed(server));
    client->ResumeReading();
    EXPECT_TRUE(
        loop.RunUntil([&] { return client->received.size() > body.size(); }));
    EXPECT_TRUE(BbH1Server_IsFlushed(server));
}

// Guards against connections that stay open, with their unsent bytes, because
// the receiver of an aborted response has stopped reading.
TEST_F(H1Server, AbortedResponsesOfStalledReceiversTimeOut)
{
    BbH1Server_SetLimits(server, 0, 0.2, 0);
    const std::string data(16 * 1024 * 1024, 'x');
    client->StopReading();
    client->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(loop.RunUntil([&] { return request_count == 1; }));
    BbH1_RespondStart(request, 200, nullptr, BB_H1_CHUNKED);
    BbH1_RespondData(request, data.data(), data.size());
    BbH1_Abort(request);
    EXPECT_FALSE(BbH1Server_IsFlushed(server));
    EXPECT_TRUE(
        loop.RunUntil([&] { return BbH1Server_IsFlushed(server); }, 1.0));
    EXPECT_EQ(lost_count, 0);
}
