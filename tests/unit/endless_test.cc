// Bytes without end from targets, in a head or a body, until the node closes:
// bounded memory, an end by the deadline, no success, other calls unharmed.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <vector>

#include "bb_h1_client.h"
#include "mesh_rig.h"

using mesh_rig::Caller;
using mesh_rig::Loop;
using mesh_rig::Node;
using mesh_rig::Status;
using mesh_rig::Target;
using mesh_rig::Wire;

namespace {

const double kDeadlineS = 0.6;
const double kGraceS = 0.5;        // after the deadline
const long kMemoryKb = 32 * 1024;  // a node has 160 MB on small VMs
const size_t kPumpBytes = 1 << 18; // for each step of the pump
const double kOtherCallS = 0.5;    // target latency of the routes

struct Endless {
    const char *name;
    std::string begin;  // "@" stands for the id of the call
    std::string repeat; // without end
};

std::vector<Endless>
EndlessAnswers()
{
    const std::string ok = "HTTP/1.1 200 OK\r\nCall-Id: @\r\nSeal: s\r\n";
    const std::string xs(1000, 'x');
    return {
        {"status line", "HTTP/1.1 200 ", xs},
        {"field", ok + "A: ", xs},
        {"fields", ok, "A: b\r\n"},
        {"interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"no HTTP", "", "\x01\x02\x03"},
        {"line ends", "", "\r\n"},
        {"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n5;", xs},
        {"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
         "A: b\r\n"},
        {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n",
         "5\r\nhello\r\n"},
        {"body without length", ok + "\r\n", xs},
        {"body of great length", ok + "Content-Length: 1000000000000\r\n\r\n",
         xs},
        {"answer to another call",
         "HTTP/1.1 200 OK\r\nCall-Id: other\r\nSeal: s\r\n"
         "Content-Length: 1000000000000\r\n\r\n",
         xs},
        {"bytes behind an answer", ok + "Content-Length: 2\r\n\r\nok", xs},
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

// Sends a text again and again, as fast as the other end reads, or a piece
// each 100 ms.
class Pump {
  public:
    Pump(Loop *loop, Wire *wire, const std::string &repeat, bool is_drip)
        : loop_(loop), wire_(wire), is_drip_(is_drip)
    {
        while (text_.size() < (is_drip ? 1 : 1 << 16)) {
            text_ += repeat;
        }
        if (is_drip) {
            text_ = repeat.substr(0, 1);
        }
        double pause_s = is_drip ? 0.1 : 0.001;
        ev_timer_init(&timer_, OnTimer, pause_s, pause_s);
        timer_.data = this;
        ev_timer_start(loop_->loop, &timer_);
    }
    ~Pump()
    {
        ev_timer_stop(loop_->loop, &timer_);
    }

  private:
    static void OnTimer(struct ev_loop *, ev_timer *timer, int)
    {
        static_cast<Pump *>(timer->data)->Send();
    }
    void Send()
    {
        size_t step = is_drip_ ? 1 : kPumpBytes;
        for (size_t sent = 0; sent < step && wire_->fd >= 0;) {
            ssize_t size =
                send(wire_->fd, text_.data() + offset_, text_.size() - offset_,
                     MSG_NOSIGNAL | MSG_DONTWAIT);
            if (size <= 0) {
                return;
            }
            sent += static_cast<size_t>(size);
            offset_ = (offset_ + static_cast<size_t>(size)) % text_.size();
        }
    }
    Loop *loop_;
    Wire *wire_;
    bool is_drip_;
    std::string text_;
    size_t offset_ = 0;
    ev_timer timer_;
};

struct EndlessCase {
    bool is_forwarded; // the target is beside another node
    bool is_drip;
};

class EndlessAnswer : public testing::TestWithParam<EndlessCase> {
  protected:
    void Play(const Endless &endless)
    {
        SCOPED_TRACE(endless.name);
        Loop loop;
        Target target(&loop), unused(&loop);
        Node node(&loop, "n1", "a", &target), other(&loop, "n2", "a", &unused);
        Node *serving = &node;
        if (GetParam().is_forwarded) {
            serving = &other;
            other.Know(&node, 2);
            other.ForgetOwn();
        }
        std::unique_ptr<Pump> pump;
        target.script = [&](const Target::Request &request) {
            if (request.id != "endless") {
                request.wire->Send(Target::Answer(request.id, "ok"));
                return;
            }
            std::string begin = endless.begin;
            size_t at = begin.find('@');
            if (at != std::string::npos) {
                begin.replace(at, 1, request.id);
            }
            request.wire->Send(begin);
            pump = std::make_unique<Pump>(&loop, request.wire, endless.repeat,
                                          GetParam().is_drip);
        };
        Caller caller(&loop, serving->caller_address);
        long before_kb = ResidentKb();
        double started = ev_time();
        caller.wire.Send(Caller::Request("POST", "/once/1", "endless", "x",
                                         kDeadlineS * 1000));
        ASSERT_TRUE(loop.RunUntil([&] { return pump != nullptr; }));
        caller.wire.StopReading(); // the worst reader
        Caller second(&loop, serving->caller_address);
        double asked = ev_time();
        EXPECT_EQ(Status(second.Call(Caller::Request("GET", "/safe/1", "c2"))),
                  "200");
        EXPECT_LE(ev_time() - asked, kOtherCallS);
        Wire *wire = target.requests.front().wire;
        EXPECT_TRUE(
            loop.RunUntil([&] { return wire->is_closed; },
                          kDeadlineS + kGraceS - (ev_time() - started)))
            << "the connection of the target is still open";
        ExpectBoundedMemory(before_kb);
        caller.wire.ResumeReading();
        loop.RunUntil(
            [&] { return caller.wire.is_closed || caller.Count() > 0; }, 1.0);
        loop.RunFor(0.1);
        ExpectNoSuccess(caller, endless);
    }
    // A build with AddressSanitizer keeps freed memory for some time.
    static void ExpectBoundedMemory(long before_kb)
    {
#ifndef __SANITIZE_ADDRESS__
        EXPECT_LE(ResidentKb() - before_kb, kMemoryKb);
#else
        (void)before_kb;
#endif
    }
    // What had come before the endless part may be a whole answer.
    static void ExpectNoSuccess(const Caller &caller, const Endless &endless)
    {
        const std::string &got = caller.wire.received;
        if (std::string(endless.name) == "bytes behind an answer") {
            EXPECT_EQ(Status(got), "200");
        }
        else if (Status(got) == "200") {
            EXPECT_TRUE(caller.wire.is_closed);
            EXPECT_EQ(got.find("\r\n0\r\n\r\n"), std::string::npos);
        }
        else {
            EXPECT_TRUE(Status(got) == "502" || Status(got) == "504")
                << got.substr(0, 100);
        }
    }
};

} // namespace

TEST_P(EndlessAnswer, EndsByTheDeadlineInBoundedMemory)
{
    for (const Endless &endless : EndlessAnswers()) {
        Play(endless);
    }
}

// Guards against a kept connection that is never read again, because the last
// response on it ended while reading was paused.
TEST(H1Client, KeptConnectionsAreReadAfterAPause)
{
    struct Exchange {
        bb_h1_exchange_t *exchange;
        bool is_ended = false, is_failed = false;
    };
    static const bb_h1_exchange_handler_t handler = [] {
        bb_h1_exchange_handler_t made = {};
        made.on_head = [](int, const bb_h1_fields_t *, void *) {};
        made.on_data = [](const char *, size_t, void *arg) {
            BbH1_PauseResponse(static_cast<Exchange *>(arg)->exchange, true);
        };
        made.on_end = [](void *arg) {
            static_cast<Exchange *>(arg)->is_ended = true;
        };
        made.on_fail = [](int, bool, void *arg) {
            static_cast<Exchange *>(arg)->is_failed = true;
        };
        return made;
    }();
    Loop loop;
    Target target(&loop);
    bb_h1_client_options_t client_options = {loop.loop, 0, 0, 0};
    bb_h1_client_t *client = BbH1Client_New(&client_options);
    bb_h1_fields_t fields;
    BbH1Fields_Init(&fields);
    for (int i = 0; i < 2; i++) {
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
        EXPECT_TRUE(exchange.is_ended) << i;
        if (!exchange.is_ended && !exchange.is_failed) {
            BbH1_Cancel(exchange.exchange);
        }
    }
    EXPECT_EQ(target.wires.size(), 1u);
    BbH1Fields_Free(&fields);
    BbH1Client_Free(client);
}

INSTANTIATE_TEST_SUITE_P(
    Paths, EndlessAnswer,
    testing::Values(EndlessCase{false, false}, EndlessCase{true, false},
                    EndlessCase{false, true}, EndlessCase{true, true}),
    [](const testing::TestParamInfo<EndlessCase> &info) {
        return std::string(info.param.is_forwarded ? "forwarded" : "local") +
               (info.param.is_drip ? "Drip" : "");
    });
