// Test harness for lib/http and lib/mesh: mesh nodes, targets and callers in
// one event loop, connected by loopback sockets. Targets and callers send raw
// HTTP text.
#ifndef MESH_RIG_H
#define MESH_RIG_H

#include <arpa/inet.h>
#include <ev.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bb_call_io.h"
#include "bb_error.h"
#include "bb_h1_fetch.h"
#include "bb_h1_message.h"
#include "bb_hop_server.h"
#include "bb_quota_io.h"

namespace mesh_rig {

// In the order of bb_header_names_t: call id, deadline, expected target,
// caller service, seal, not run, account key and account.
const bb_header_names_t kHeaderNames = {
    "Call-Id", "Left-Ms", "Want-Target", "Caller", "Seal",
    "Not-Run", "Key",     "Account",     ".",      "Target-Load"};

// Ports of tests, below those of the scripted tests and the ephemeral ports,
// so that no outgoing connection takes a port before it is bound.
const int kFirstPort = 10000, kPortsPerRange = 200, kPortRanges = 50;

// Claims a range of ports for this process by listening on its first port.
// Returns that port, or -1 if all ranges are claimed. Processes that run at
// the same time would otherwise take each other's ports, which are not bound
// while a node starts.
inline int
ClaimPortRange()
{
    for (int i = 0; i < kPortRanges; i++) {
        int port = kFirstPort + (getpid() + i) % kPortRanges * kPortsPerRange;
        std::string guard = "127.0.0.1:" + std::to_string(port);
        if (BbH1_Listen(guard.c_str()) >= 0) {
            return port; // the socket stays open until the process ends
        }
    }
    return -1;
}

// Returns a loopback address with a free port, a different one at each call.
inline std::string
FreeAddress()
{
    static int last = 0, end = 0;

    for (;;) {
        if (++last >= end) {
            last = ClaimPortRange() + 1;
            end = last - 1 + kPortsPerRange;
        }
        if (last <= 0) {
            ADD_FAILURE() << "all port ranges are in use";
            return "";
        }
        std::string address = "127.0.0.1:" + std::to_string(last);
        int fd = BbH1_Listen(address.c_str());
        if (fd >= 0) {
            close(fd);
            return address;
        }
    }
}

class Loop {
  public:
    Loop() : loop(ev_loop_new(EVFLAG_AUTO))
    {
    }
    ~Loop()
    {
        ev_loop_destroy(loop);
    }
    // Runs the loop until the condition holds. Returns false when it does not
    // hold within limit_s.
    bool RunUntil(std::function<bool()> condition, double limit_s = 10.0)
    {
        ev_timer tick;
        ev_timer_init(
            &tick, [](struct ev_loop *, ev_timer *, int) {}, 0.002, 0.002);
        ev_timer_start(loop, &tick);
        ev_tstamp end = ev_time() + limit_s;
        while (!condition() && ev_time() < end) {
            ev_run(loop, EVRUN_ONCE);
        }
        ev_timer_stop(loop, &tick);
        return condition();
    }
    void RunFor(double seconds)
    {
        ev_tstamp end = ev_time() + seconds;
        RunUntil([&] { return ev_time() >= end; }, seconds + 1.0);
    }
    struct ev_loop *loop;
};

// One end of a TCP connection that sends and receives raw bytes.
class Connection {
  public:
    Connection(Loop *loop, int fd) : loop_(loop), fd(fd)
    {
        ev_io_init(&io_, OnReadable, fd, EV_READ);
        io_.data = this;
        ev_io_start(loop_->loop, &io_);
    }
    ~Connection()
    {
        Close(false);
    }
    void Send(const std::string &text)
    {
        if (fd >= 0 && send(fd, text.data(), text.size(), MSG_NOSIGNAL) < 0) {
            is_closed = true;
        }
    }
    void Close(bool is_reset)
    {
        if (fd < 0) {
            return;
        }
        ev_io_stop(loop_->loop, &io_);
        if (is_reset) {
            linger option = {1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        }
        close(fd);
        fd = -1;
        is_closed = true;
    }
    void StopReading()
    {
        ev_io_stop(loop_->loop, &io_);
    }
    void ResumeReading()
    {
        if (fd >= 0) {
            ev_io_start(loop_->loop, &io_);
        }
    }
    std::function<void(Connection *)> on_bytes;
    std::string received;
    bool is_closed = false;

  private:
    static void OnReadable(struct ev_loop *, ev_io *io, int)
    {
        Connection *connection = static_cast<Connection *>(io->data);
        char data[65536];
        ssize_t size = recv(connection->fd, data, sizeof(data), MSG_DONTWAIT);
        if (size <= 0) {
            connection->Close(false);
            return;
        }
        connection->received.append(data, static_cast<size_t>(size));
        if (connection->on_bytes) {
            connection->on_bytes(connection);
        }
    }
    Loop *loop_;
    ev_io io_;

  public:
    int fd;
};

// Value of a header field, empty when it is absent.
inline std::string
HeaderField(const std::string &head, const std::string &name)
{
    size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return "";
    }
    at += name.size() + 4;
    return head.substr(at, head.find("\r\n", at) - at);
}

// A target that passes each request to on_request, which sends the response:
// by default status 200 with the body "ok".
class Target {
  public:
    struct Request {
        std::string head;
        std::string id;
        Connection *connection;
    };
    explicit Target(Loop *loop) : loop_(loop), address(FreeAddress())
    {
        fd_ = BbH1_Listen(address.c_str());
        ev_io_init(&io_, OnAccept, fd_, EV_READ);
        io_.data = this;
        ev_io_start(loop->loop, &io_);
        on_request = [this](const Request &request) {
            request.connection->Send(Response(request.id, "ok"));
        };
    }
    ~Target()
    {
        ev_io_stop(loop_->loop, &io_);
        close(fd_);
    }
    static std::string Response(const std::string &id, const std::string &body,
                                const std::string &status = "200 OK",
                                const std::string &fields = "Seal: s\r\n")
    {
        return "HTTP/1.1 " + status + "\r\nCall-Id: " + id + "\r\n" + fields +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    }
    int RunCount(const std::string &id) const
    {
        auto found = runs.find(id);
        return found != runs.end() ? found->second : 0;
    }
    std::function<void(const Request &)> on_request;
    std::map<std::string, int> runs;
    std::vector<Request> requests;
    std::vector<std::unique_ptr<Connection>> connections;

  private:
    static void OnAccept(struct ev_loop *, ev_io *io, int)
    {
        Target *target = static_cast<Target *>(io->data);
        int fd = accept(target->fd_, nullptr, nullptr);
        if (fd < 0) {
            return;
        }
        target->connections.push_back(
            std::make_unique<Connection>(target->loop_, fd));
        target->connections.back()->on_bytes =
            [target](Connection *connection) {
                target->HandleRequests(connection);
            };
    }
    void HandleRequests(Connection *connection)
    {
        size_t end;
        while ((end = connection->received.find("\r\n\r\n")) !=
               std::string::npos) {
            std::string head = connection->received.substr(0, end + 2);
            std::string length = HeaderField(head, "Content-Length");
            size_t body = length.empty() ? 0 : std::stoul(length);
            if (connection->received.size() < end + 4 + body &&
                !answers_before_body) {
                return;
            }
            connection->received.erase(0, answers_before_body
                                              ? connection->received.size()
                                              : end + 4 + body);
            Request request = {head, HeaderField(head, "Call-Id"), connection};
            runs[request.id]++;
            requests.push_back(request);
            on_request(request);
        }
    }
    Loop *loop_;
    int fd_;
    ev_io io_;

  public:
    std::string address;
    bool answers_before_body =
        false; // calls on_request before the body is read
};

// Two routes to the service "orders": "safe" is idempotent, calls of "once"
// must not run twice.
inline bb_mesh_config_t *
MakeConfig()
{
    bb_mesh_config_t *config = BbMeshConfig_New(3);
    bb_mesh_route_options_t safe = {"safe", "h", "/safe/", true, 3,
                                    0.5,    1,   2,        false};
    bb_mesh_route_options_t once = {"once", "h", "/once/", false, 3,
                                    0.5,    1,   2,        false};
    BbMeshConfig_AddService(config, "orders", 100);
    BbMeshRoute_AddPart(BbMeshConfig_AddRoute(config, &safe), "orders", 1);
    BbMeshRoute_AddPart(BbMeshConfig_AddRoute(config, &once), "orders", 1);
    return config;
}

// One node whose local target has the service "orders".
class Node {
  public:
    Node(Loop *loop, const std::string &name, const std::string &data_centre,
         Target *target, int slots = 4, double link_mbps = 0,
         const bb_target_rollout_t *rollout = nullptr)
        : target(target), slots_(slots), caller_address(FreeAddress()),
          forward_address(FreeAddress()), name(name), data_centre(data_centre)
    {
        bb_local_target_options_t local = {target->address.c_str(), "orders",
                                           false};
        local_target = BbLocalTarget_New(&local);
        pacer = BbLinkPacer_New(loop->loop, link_mbps);
        link_admission = BbLinkAdmission_New(BbLinkPacer_Queue(pacer));
        bb_target_io_options_t target_options = {};
        target_options.loop = loop->loop;
        target_options.address = target->address.c_str();
        target_options.service = "orders";
        target_options.names = &kHeaderNames;
        target_options.target = local_target;
        target_options.link = link_admission;
        target_options.dropped_keys = dropped_keys;
        target_options.rollout = rollout;
        target_io = BbTargetIo_New(&target_options);
        bb_hop_server_options_t server_options = {};
        server_options.loop = loop->loop;
        server_options.address = forward_address.c_str();
        server_options.link_mbps = 1000;
        server_options.pacer = pacer;
        server_options.target = target_io;
        server_options.names = &kHeaderNames;
        server_options.config_version = [](void *) -> int64_t { return 3; };
        server_options.on_peer_message = [](bb_h1_request_t *request,
                                            const char *body, size_t size,
                                            void *arg) {
            Node *node = static_cast<Node *>(arg);
            node->peer_messages.push_back(std::string(body, size));
            BbQuotaIo_HandleReport(node->quota, request, body, size);
        };
        server_options.on_peer_request_lost = [](bb_h1_request_t *, void *) {};
        server_options.arg = this;
        EXPECT_EQ(BbHopServer_New(&server_options, &hop_server), 0);
        bb_hop_client_options_t client_options = {};
        client_options.loop = loop->loop;
        client_options.on_version = [](int64_t, const char *, void *) {};
        client_options.pacer = pacer;
        hop_client = BbHopClient_New(&client_options);
        fleet = BbFleet_New(name.c_str());
        random = BbRandom_New(1);
        bb_quota_io_options_t quota_options = {
            loop->loop,   BbHopClient_GetHttpClient(hop_client),
            fleet,        random,
            name.c_str(), nullptr,
            nullptr};
        quota = BbQuotaIo_New(&quota_options);
        bb_call_quota_t call_quota = BbQuotaIo_Calls(quota);
        bb_repeat_budget_options_t budget_options = {1.0, 100};
        budget = BbRepeatBudget_New(&budget_options);
        bb_call_io_options_t options = {};
        options.loop = loop->loop;
        options.address = caller_address.c_str();
        options.data_centre = data_centre.c_str();
        options.service = "orders";
        options.names = &kHeaderNames;
        options.fleet = fleet;
        options.target = target_io;
        options.hop = hop_client;
        options.budget = budget;
        options.random = random;
        options.spill_share = 0.9;
        options.freshness = &freshness;
        options.dropped_keys = dropped_keys;
        options.pacer = pacer;
        options.quota = &call_quota;
        options.hedge = hedge;
        EXPECT_EQ(BbCallIo_New(&options, &calls), 0);
        config_ = MakeConfig();
        BbCallIo_SetConfig(calls, config_);
        SendHeartbeat(1, false);
        AddNodeRecord(this, 1);
    }
    ~Node()
    {
        BbCallIo_Free(calls);
        BbQuotaIo_Free(quota);
        BbHopServer_Free(hop_server);
        BbHopClient_Free(hop_client);
        BbTargetIo_Free(target_io);
        BbLinkAdmission_Free(link_admission);
        BbLinkPacer_Free(pacer);
        BbLocalTarget_Free(local_target);
        BbHedge_Free(hedge);
        BbRepeatBudget_Free(budget);
        BbRandom_Free(random);
        BbFleet_Free(fleet);
        BbMeshConfig_Unref(config_);
        BbDroppedKeys_Free(dropped_keys);
    }
    void SendHeartbeat(int64_t sequence, bool is_draining)
    {
        bb_heartbeat_t heartbeat = {};
        heartbeat.id = name.c_str();
        heartbeat.address = target->address.c_str();
        heartbeat.service = "orders";
        heartbeat.slots = slots_;
        heartbeat.is_draining = is_draining;
        heartbeat.sequence = sequence;
        BbLocalTarget_Heartbeat(local_target, &heartbeat);
        BbTargetIo_TargetChanged(target_io);
    }
    // Adds the record of another node, or of this one, to the fleet.
    void AddNodeRecord(Node *other, int64_t revision)
    {
        bb_node_record_t record = {};
        record.address = const_cast<char *>(other->forward_address.c_str());
        record.data_centre = const_cast<char *>(other->data_centre.c_str());
        record.service = const_cast<char *>("orders");
        record.target_id = const_cast<char *>(other->name.c_str());
        record.slots = other->slots_;
        record.is_ready = true;
        if (other == this) {
            BbFleet_SetOwn(fleet, &record, 0);
        }
        else {
            BbFleet_Merge(fleet, other->name.c_str(), &record, revision, 0);
        }
    }
    // Puts a configuration in force that has client accounts.
    void SetConfig(bb_mesh_config_t *config)
    {
        BbCallIo_SetConfig(calls, config);
        BbQuotaIo_SetConfig(quota, config);
    }
    // Marks the own target as not ready, so that calls go to other nodes only.
    void MarkOwnTargetNotReady()
    {
        BbFleet_Find(fleet, name.c_str())->record.is_ready = false;
    }
    Target *target;

  private:
    int slots_;
    bb_mesh_config_t *config_;

  public:
    std::string caller_address, forward_address, name, data_centre;
    bb_link_pacer_t *pacer; // NULL without link_mbps
    bb_link_admission_t *link_admission;
    bb_local_target_t *local_target;
    bb_target_io_t *target_io;
    bb_hop_server_t *hop_server;
    bb_hop_client_t *hop_client;
    bb_fleet_t *fleet;
    bb_random_t *random;
    bb_repeat_budget_t *budget;
    bb_quota_io_t *quota;
    std::vector<std::string> peer_messages;
    bb_hedge_t *hedge = BbHedge_New(); // inert until it knows a class
    bb_freshness_t freshness = {};
    bb_dropped_keys_t *dropped_keys = BbDroppedKeys_New();
    bb_call_io_t *calls;
};

// A caller that uses one raw connection.
class Caller {
  public:
    Caller(Loop *loop, const std::string &address)
        : loop_(loop), connection(loop, Connect(address))
    {
    }
    static std::string Request(const std::string &method,
                               const std::string &path, const std::string &id,
                               const std::string &body = "",
                               int left_ms = 2000)
    {
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: h\r\n" +
                           "Call-Id: " + id +
                           "\r\nLeft-Ms: " + std::to_string(left_ms) + "\r\n";
        if (!body.empty()) {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        return text + "\r\n" + body;
    }
    // Waits until this many responses were received in total, or the
    // connection is closed. Returns all received bytes.
    std::string Wait(size_t responses, double limit_s = 10.0)
    {
        loop_->RunUntil(
            [&] {
                return ResponseCount() >= responses || connection.is_closed;
            },
            limit_s);
        return connection.received;
    }
    std::string Call(const std::string &text)
    {
        size_t before = connection.received.size();
        size_t count = ResponseCount();
        connection.Send(text);
        Wait(count + 1);
        return connection.received.substr(before);
    }
    size_t ResponseCount() const
    {
        size_t count = 0, at = 0;
        while ((at = connection.received.find("HTTP/1.1 ", at)) !=
               std::string::npos) {
            count++;
            at++;
        }
        return count;
    }

  private:
    static int Connect(const std::string &address)
    {
        int fd = BbH1_Connect(address.c_str());
        EXPECT_GE(fd, 0);
        return fd;
    }
    Loop *loop_;

  public:
    Connection connection;
};

// Two nodes: callers of the first one reach its target directly, those of the
// other one are forwarded to it.
struct DirectAndForwarded : testing::Test {
    DirectAndForwarded()
        : target(&loop), unused(&loop), node(&loop, "n1", "a", &target),
          forwarding(&loop, "n2", "a", &unused)
    {
        forwarding.AddNodeRecord(&node, 2);
        forwarding.MarkOwnTargetNotReady();
    }
    Loop loop;
    Target target, unused;
    Node node, forwarding;
};

// Error and status of one request sent as the readers of the store and of
// other nodes do.
struct Fetched {
    int error, status;
};

inline Fetched
Fetch(Loop *loop, const std::string &address)
{
    struct State {
        bool is_done = false;
        Fetched fetched = {};
    } state;
    bb_h1_client_options_t client_options = {loop->loop, 0, 0, 0, nullptr};
    bb_h1_client_t *client = BbH1Client_New(&client_options);
    bb_h1_fetch_options_t options = {};
    options.loop = loop->loop;
    options.client = client;
    options.address = address.c_str();
    options.method = "GET";
    options.target = "/";
    options.timeout_s = 1;
    options.done = [](const bb_h1_fetch_result_t *result, void *arg) {
        *static_cast<State *>(arg) = {true, {result->error, result->status}};
    };
    options.arg = &state;
    BbH1Fetch_Start(&options);
    EXPECT_TRUE(loop->RunUntil([&] { return state.is_done; }, 2.0));
    BbH1Client_Free(client);
    return state.fetched;
}

// Status code of the first response, empty when the text is too short.
inline std::string
Status(const std::string &response)
{
    return response.size() > 12 ? response.substr(9, 3) : "";
}

} // namespace mesh_rig

#endif
