// Tests of the lengths of messages, one table for all readers.
#include <string>
#include <vector>

#include "bb_h1_length.h"
#include "bb_hop.h"
#include "mesh_rig.h"

using mesh_rig::Caller;
using mesh_rig::Fetch;
using mesh_rig::Node;
using mesh_rig::Status;
using mesh_rig::Target;

namespace {

const char *const kBadLengths[] = {
    "",
    "+5",
    "-5",
    "5 5",
    "5, 5",
    "0x5",
    "5a",
    "a",
    "9223372036854775808",
    "1 000",
    "5.0",
    "5\t5",
    "18446744073709551615",
    "5,6",
    "- 1",
    "--5",
    "18446744073709551616",
};

const char *const kBadChunkSizes[] = {
    "",
    "+5",
    "-5",
    " 5",
    "0x5",
    "g",
    "8000000000000000",
    "5g",
    "--5",
    "ffffffffffffffff",
    "10000000000000000",
};

// Malformed messages: header fields, and the body if it is malformed.
struct BadFraming {
    std::string fields, body;
};

std::vector<BadFraming>
BadFramings()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string five = "Content-Length: 5\r\n";
    std::vector<BadFraming> bad = {
        {five + five, "hello"},
        {five + "Content-Length: 6\r\n", "hello"},
        {"Content-Length:\r\n" + five, "hello"},
        {five + chunked, "0\r\n\r\n"},
        {chunked + five, "0\r\n\r\n"},
    };
    for (const char *length : kBadLengths) {
        bad.push_back(
            {std::string("Content-Length: ") + length + "\r\n", "hello"});
    }
    for (const char *size : kBadChunkSizes) {
        bad.push_back({chunked, std::string(size) + "\r\nhello\r\n"});
    }
    return bad;
}

// The response behind the interim ones.
std::string
LastResponse(const std::string &received)
{
    size_t at = received.rfind("HTTP/1.1 ");
    return at != std::string::npos ? received.substr(at) : "";
}

struct Length : mesh_rig::DirectAndForwarded {
    // Sends a malformed request. Returns the status, "open" if the connection
    // is not closed after it.
    std::string Reject(const std::string &address, const std::string &head,
                       const BadFraming &bad)
    {
        Caller caller(&loop, address);
        caller.connection.Send(head + bad.fields + "\r\n" + bad.body);
        loop.RunUntil([&] { return caller.connection.is_closed; }, 1.0);
        return caller.connection.is_closed
                   ? Status(LastResponse(caller.connection.received))
                   : "open";
    }
};

} // namespace

// Guards against a length that one reader takes for another than the next one
// does, so that a part of a message is taken for the next message.
TEST_F(Length, MalformedRequestsAreRejected)
{
    for (const BadFraming &bad : BadFramings()) {
        SCOPED_TRACE(bad.fields + bad.body);
        EXPECT_EQ(Reject(node.caller_address,
                         "POST /once/1 HTTP/1.1\r\nHost: h\r\n", bad),
                  "400");
        EXPECT_EQ(Reject(node.forward_address,
                         "POST /burdockbarrow/x HTTP/1.1\r\n", bad),
                  "400");
    }
}

// Guards against the same in responses of targets and of the store.
TEST_F(Length, MalformedResponsesAreErrors)
{
    for (const BadFraming &bad : BadFramings()) {
        SCOPED_TRACE(bad.fields + bad.body);
        target.on_request = [&](const Target::Request &request) {
            request.connection->Send("HTTP/1.1 200 OK\r\nSeal: s\r\n" +
                                     bad.fields + "\r\n" + bad.body);
        };
        for (Node *serving : {&node, &forwarding}) {
            Caller caller(&loop, serving->caller_address);
            EXPECT_EQ(Status(caller.Call(
                          Caller::Request("POST", "/once/1", "c", "x"))),
                      "502");
            EXPECT_TRUE(loop.RunUntil(
                [&] { return target.connections.back()->is_closed; }, 1.0));
        }
        EXPECT_EQ(Fetch(&loop, target.address).error, BB_ERR_PARSE);
    }
}

// Guards against the same in the call header between nodes, and against one
// that contradicts the message that it is sent with.
TEST_F(Length, MalformedCallHeadersAreErrors)
{
    auto reject = [&](const std::string &length) {
        return Reject(node.forward_address,
                      "POST /safe/1 HTTP/1.1\r\nConnection: close\r\n"
                      "Burdock-Call: orders,x,safe,900,500,400,1,0," +
                          length + "\r\n",
                      {"Content-Length: 5\r\n", "hello"});
    };
    for (const char *length : kBadLengths) {
        EXPECT_EQ(reject(length), "400") << length;
    }
    for (const char *length : {"-3", "-1", "-2", "0", "4", "05x"}) {
        EXPECT_EQ(reject(length), "400") << length;
    }
    EXPECT_EQ(reject("5"), "200");
}

// Guards against a limit of lengths that is off by one.
TEST_F(Length, LargestLengthIsAccepted)
{
    const std::string largest = "9223372036854775807";
    int64_t length = 0;
    EXPECT_EQ(BbH1Length_Parse(largest.data(), largest.size(), &length), 0);
    EXPECT_EQ(length, INT64_MAX);
}
