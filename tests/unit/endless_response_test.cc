// Tests of targets that send bytes without end, in a head or a body, until the
// node closes the connection: the node's memory stays bounded, the call ends
// by its deadline without a success, and other calls are not delayed.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <vector>

#include "bb_h1_client.h"
#include "mesh_rig.h"

using mesh_rig::Caller;
using mesh_rig::Connection;
using mesh_rig::Loop;
using mesh_rig::Node;
using mesh_rig::Status;
using mesh_rig::Target;

namespace {

const double kDeadlineS = 0.6;
const double kMaxOverrunS = 0.5;      // allowed time after the deadline
const long kMaxGrowthKb = 32 * 1024;  // a node has 160 MB on small VMs
const size_t kBytesPerStep = 1 << 18; // a timer event stops sending after it
const double kMaxOtherCallS = 0.5;    // target latency of the routes

struct EndlessResponse {
    const char *name;
    std::string prefix;   // sent once; "@" stands for the id of the call
    std::string repeated; // sent in a loop
};

std::vector<EndlessResponse>
EndlessResponses()
{
    const std::string ok = "HTTP/1.1 200 OK\r\nCall-Id: @\r\nSeal: s\r\n";
    const std::string xs(1000, 'x');
    return {
        {"status line", "HTTP/1.1 200 ", xs},
        {"field", ok + "A: ", xs},
        {"fields", ok, "A: b\r\n"},
        {"interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"not HTTP", "", "\x01\x02\x03"},
        {"empty lines", "", "\r\n"},
        {"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n5;", xs},
        {"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
         "A: b\r\n"},
        {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n",
         "5\r\nhello\r\n"},
        {"body without length", ok + "\r\n", xs},
        {"body with a huge length",
         ok + "Content-Length: 1000000000000\r\n\r\n", xs},
        {"response to another call",
         "HTTP/1.1 200 OK\r\nCall-Id: other\r\nSeal: s\r\n"
         "Content-Length: 1000000000000\r\n\r\n",
         xs},
        {"bytes after a response", ok + "Content-Length: 2\r\n\r\nok", xs},
    };
}

long
ResidentKb()
{
    long pages = 0, resident = 0;
    FILE *file = fopen("/proc/self/statm", "r");
    EXPECT_EQ(fscanf(file, "%ld %ld", &pages, &resident), 2);
    fclose(file);
    return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

// Sends a string in a loop: as fast as the other end reads, or when slow one
// byte every 100 ms.
class RepeatingSender {
  public:
    RepeatingSender(Loop *loop, Connection *connection,
                    const std::string &repeated, bool is_slow)
        : loop_(loop), connection_(connection), is_slow_(is_slow)
    {
        while (text_.size() < (is_slow ? 1 : 1 << 16)) {
            text_ += repeated;
        }
        if (is_slow) {
            text_ = repeated.substr(0, 1);
        }
        double pause_s = is_slow ? 0.1 : 0.001;
        ev_timer_init(&timer_, OnTimer, pause_s, pause_s);
        timer_.data = this;
        ev_timer_start(loop_->loop, &timer_);
    }
    ~RepeatingSender()
    {
        ev_timer_stop(loop_->loop, &timer_);
    }

  private:
    static void OnTimer(struct ev_loop *, ev_timer *timer, int)
    {
        static_cast<RepeatingSender *>(timer->data)->Send();
    }
    void Send()
    {
        size_t step = is_slow_ ? 1 : kBytesPerStep;
        for (size_t sent = 0; sent < step && connection_->fd >= 0;) {
            ssize_t size =
                send(connection_->fd, text_.data() + offset_,
                     text_.size() - offset_, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (size <= 0) {
                return;
            }
            sent += static_cast<size_t>(size);
            offset_ = (offset_ + static_cast<size_t>(size)) % text_.size();
        }
    }
    Loop *loop_;
    Connection *connection_;
    bool is_slow_;
    std::string text_;
    size_t offset_ = 0;
    ev_timer timer_;
};

struct EndlessCase {
    bool is_forwarded; // the caller calls another node, which forwards
    bool is_slow;      // one byte every 100 ms
};

class EndlessResponseTest : public testing::TestWithParam<EndlessCase> {
  protected:
    void RunCase(const EndlessResponse &endless)
    {
        SCOPED_TRACE(endless.name);
        Loop loop;
        Target target(&loop), unused(&loop);
        Node node(&loop, "n1", "a", &target), other(&loop, "n2", "a", &unused);
        Node *serving = &node;
        if (GetParam().is_forwarded) {
            serving = &other;
            other.AddNodeRecord(&node, 2);
            other.MarkOwnTargetNotReady();
        }
        std::unique_ptr<RepeatingSender> sender;
        target.on_request = [&](const Target::Request &request) {
            if (request.id != "endless") {
                request.connection->Send(Target::Response(request.id, "ok"));
                return;
            }
            std::string prefix = endless.prefix;
            size_t at = prefix.find('@');
            if (at != std::string::npos) {
                prefix.replace(at, 1, request.id);
            }
            request.connection->Send(prefix);
            sender = std::make_unique<RepeatingSender>(
                &loop, request.connection, endless.repeated,
                GetParam().is_slow);
        };
        Caller caller(&loop, serving->caller_address);
        long before_kb = ResidentKb();
        double started = ev_time();
        caller.connection.Send(Caller::Request("POST", "/once/1", "endless",
                                               "x", kDeadlineS * 1000));
        ASSERT_TRUE(loop.RunUntil([&] { return sender != nullptr; }));
        caller.connection.StopReading(); // the caller reads nothing
        Caller second(&loop, serving->caller_address);
        double second_started = ev_time();
        EXPECT_EQ(Status(second.Call(Caller::Request("GET", "/safe/1", "c2"))),
                  "200");
        EXPECT_LE(ev_time() - second_started, kMaxOtherCallS);
        Connection *connection = target.requests.front().connection;
        EXPECT_TRUE(
            loop.RunUntil([&] { return connection->is_closed; },
                          kDeadlineS + kMaxOverrunS - (ev_time() - started)))
            << "the node has not closed its connection to the target";
        ExpectBoundedMemory(before_kb);
        caller.connection.ResumeReading();
        // The caller first reads what the kernel holds for it, up to 9 MB.
        bool is_whole = std::string(endless.name) == "bytes after a response";
        loop.RunUntil(
            [&] {
                return caller.connection.is_closed ||
                       (is_whole && caller.ResponseCount() > 0);
            },
            1.0);
        loop.RunFor(0.1);
        ExpectNoSuccess(caller, endless);
    }
    // Not checked with AddressSanitizer, which keeps freed memory for a while.
    static void ExpectBoundedMemory(long before_kb)
    {
#ifndef __SANITIZE_ADDRESS__
        EXPECT_LE(ResidentKb() - before_kb, kMaxGrowthKb);
#else
        (void)before_kb;
#endif
    }
    // A success is allowed only when the endless bytes follow a whole
    // response.
    static void ExpectNoSuccess(const Caller &caller,
                                const EndlessResponse &endless)
    {
        const std::string &got = caller.connection.received;
        if (std::string(endless.name) == "bytes after a response") {
            EXPECT_EQ(Status(got), "200");
        }
        else if (Status(got) == "200") {
            EXPECT_TRUE(caller.connection.is_closed);
            EXPECT_EQ(got.find("\r\n0\r\n\r\n"), std::string::npos);
        }
        else {
            EXPECT_TRUE(Status(got) == "502" || Status(got) == "504")
                << got.substr(0, 100);
        }
    }
};

// A client of one target, whose requests pause reading at each body.
class H1Client : public testing::Test {
  protected:
    struct Exchange {
        bb_h1_exchange_t *exchange;
        bool is_ended = false, is_failed = false;
    };
    H1Client() : target(&loop)
    {
        bb_h1_client_options_t options = {loop.loop, 0, 0, 0, nullptr};
        client = BbH1Client_New(&options);
        BbH1Fields_Init(&fields);
    }
    ~H1Client()
    {
        BbH1Fields_Free(&fields);
        BbH1Client_Free(client);
    }
    void Request()
    {
        static const bb_h1_exchange_handler_t handler = [] {
            bb_h1_exchange_handler_t callbacks = {};
            callbacks.on_head = [](int, const bb_h1_fields_t *, void *) {};
            callbacks.on_data = [](const char *, size_t, void *arg) {
                BbH1_PauseResponse(static_cast<Exchange *>(arg)->exchange,
                                   true);
            };
            callbacks.on_end = [](void *arg) {
                static_cast<Exchange *>(arg)->is_ended = true;
            };
            callbacks.on_fail = [](int, bool, void *arg) {
                static_cast<Exchange *>(arg)->is_failed = true;
            };
            return callbacks;
        }();
        Exchange exchange;
        bb_h1_exchange_options_t options = {};
        options.address = target.address.c_str();
        options.method = "GET";
        options.target = "/";
        options.fields = &fields;
        options.content_length = BB_H1_NO_BODY;
        options.max_idle_s = 5;
        options.handler = &handler;
        options.arg = &exchange;
        exchange.exchange = BbH1_Start(client, &options);
        EXPECT_TRUE(loop.RunUntil(
            [&] { return exchange.is_ended || exchange.is_failed; }, 1.0));
        EXPECT_TRUE(exchange.is_ended);
        if (!exchange.is_ended && !exchange.is_failed) {
            BbH1_Cancel(exchange.exchange);
        }
    }
    Loop loop;
    Target target;
    bb_h1_client_t *client;
    bb_h1_fields_t fields;
};

} // namespace

TEST_P(EndlessResponseTest, EndsByTheDeadlineInBoundedMemory)
{
    for (const EndlessResponse &endless : EndlessResponses()) {
        RunCase(endless);
    }
}

// Guards against a persistent connection that is never read again because the
// previous response on it ended while reading was paused.
TEST_F(H1Client, KeptConnectionsAreReadAfterAPause)
{
    for (int i = 0; i < 2; i++) {
        SCOPED_TRACE(i);
        Request();
    }
    EXPECT_EQ(target.connections.size(), 1u);
}

// Guards against a request on a connection whose surplus bytes or end have
// arrived, but have not been read yet: the loop does not run between the end
// of one request and the next.
TEST_F(H1Client, ConnectionsWithUnreadInputAreNotReused)
{
    for (bool is_closed : {false, true}) {
        SCOPED_TRACE(is_closed);
        Request();
        size_t count = target.connections.size();
        if (is_closed) {
            target.connections.back()->Close(false);
        }
        else {
            target.connections.back()->Send("surplus");
        }
        Request();
        EXPECT_EQ(target.connections.size(), count + 1);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Paths, EndlessResponseTest,
    testing::Values(EndlessCase{false, false}, EndlessCase{true, false},
                    EndlessCase{false, true}, EndlessCase{true, true}),
    [](const testing::TestParamInfo<EndlessCase> &info) {
        return std::string(info.param.is_forwarded ? "forwarded" : "local") +
               (info.param.is_slow ? "Slow" : "");
    });
