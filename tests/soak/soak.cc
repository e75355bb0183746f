// Randomized fault soak of bbsidecar: runs real processes on loopback, injects
// faults and checks the guarantees for callers and targets against what the
// callers and targets observe.
//
// Use: soak [--seed N] [--seconds S] [--nodes N] [--sidecar PATH] [--log DIR]
//          [--faults all|connections]
// Exit: 0 all guarantees held, 1 a guarantee was violated or fewer than half
// of the calls were served, 2 wrong option.
//
// The store stand-in, the targets and the callers run in one process, so that
// the checks can compare what each of them observed; each node is a process of
// its own. A seed gives the same schedule of faults, but not the same timing
// of processes.
#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>
#include <set>

#include "fake_store.h"
#include "relay.h"

using mesh_rig::Connection;
using mesh_rig::FakeStore;
using mesh_rig::FreeAddress;
using mesh_rig::HeaderField;
using mesh_rig::Loop;
using mesh_rig::Relay;
using mesh_rig::Status;

namespace {

// Bounds of the guarantees, in seconds.
//
// A target gets no more calls this long after its drain was acknowledged.
const double kDrainBound = 3.0;
// An undisturbed node serves a configuration this long after it was stored.
const double kConvergeBound = 2.0;
// The same after the store has dropped its history, which is no outage.
const double kConvergeBoundWithoutHistory = 6.0;
// A node that gets SIGTERM ends its calls within this time (shutdown_s).
const double kShutdownLimit = 4.0;

// A node and the store count as undisturbed this long after their last fault.
const double kUndisturbedAfter = 3.0;

// Makes the random source of connection faults differ from the main one.
const unsigned kConnectionSeedOffset = 1000000;

struct Options {
    unsigned seed = 1;
    double seconds = 20;
    int nodes = 6;
    std::string sidecar = "build/bbsidecar";
    std::string log = "";
    // Only new versions and faults of the connections to the store. Among all
    // faults the store is hardly ever undisturbed for long enough to check
    // when a version arrives.
    bool has_only_connection_faults = false;
};

class Soak;

// Target at a fixed address. Each replacement of its process has the next
// generation.
struct SoakTarget {
    std::string address, service, announce_address;
    int generation = 0;
    int64_t sequence = 0;
    bool is_draining = false;
    double drain_acknowledged_at = 0; // 0: not acknowledged
    double faulty_until = 0;
    int fault = 0;
    int listener = -1;
    ev_io accept_io;
    std::vector<std::unique_ptr<Connection>> connections;
    Soak *soak = nullptr;
    std::string Id() const
    {
        return "i-" + address.substr(address.find(':') + 1) + "-" +
               std::to_string(generation);
    }
};

struct SoakNode {
    std::string name, data_centre, service;
    std::string callers, forwarded, admin, announcements, settings;
    SoakTarget target;
    std::unique_ptr<Relay> store_relay; // its connections to the store
    double store_silent_until = 0;
    pid_t pid = -1;
    double started_at = 0, disturbed_at = 0, paused_until = 0, sigterm_at = 0;
    double restart_at = 0;
    int newest_marker = 0; // highest marker route served by this process
};

struct Call {
    std::string id, path;
    bool is_unsafe; // must run at most once
    SoakNode *node;
    pid_t pid;
    double sent_at;
    std::unique_ptr<Connection> connection;
    bool is_done = false;
    bool is_probe = false; // of a marker route; not counted as a call
    int marker = 0;
    std::string status;
};

class Soak {
  public:
    explicit Soak(const Options &options)
        : options_(options), random_(options.seed),
          connection_random_(options.seed + kConnectionSeedOffset),
          store_(&loop_)
    {
        char path[] = "/tmp/bbsoak-XXXXXX";
        work_dir_ = mkdtemp(path);
        PutConfig();
        for (int i = 0; i < options.nodes; i++) {
            AddNode(i);
        }
    }
    ~Soak()
    {
        for (auto &node : nodes_) {
            if (node->pid > 0) {
                kill(node->pid, SIGKILL);
                waitpid(node->pid, nullptr, 0);
            }
            ev_io_stop(loop_.loop, &node->target.accept_io);
            close(node->target.listener);
        }
    }
    int Run()
    {
        start_ = ev_time();
        ev_tstamp end = start_ + options_.seconds;
        next_fault_ = start_ + 3.0;
        next_connection_fault_ = start_ + 3.0;
        loop_.RunUntil([&] { return Step() || ev_time() >= end; },
                       options_.seconds + 5);
        is_load_stopped_ = true;
        ev_tstamp last = ev_time() + 5.0;
        loop_.RunUntil([&] { return Step() || ev_time() >= last; }, 8.0);
        CheckAtEnd();
        printf("soak seed %u: %d calls, %d served, %d refused, %d unknown, "
               "%d faults, %zu violations\n",
               options_.seed, call_count_, served_, refused_, unknown_,
               faults_, violations_.size());
        for (const auto &line : violations_) {
            printf("  VIOLATION %s\n", line.c_str());
        }
        for (const auto &line : fault_log_) {
            if (!violations_.empty()) {
                printf("  %s\n", line.c_str());
            }
        }
        if (served_ * 2 < call_count_) {
            printf("  VIOLATION fewer than half of the calls were served\n");
            return 1;
        }
        return violations_.empty() ? 0 : 1;
    }

  private:
    double Now() const
    {
        return ev_time() - start_;
    }
    int RandomBelow(int bound)
    {
        return RandomBelow(bound, &random_);
    }
    double RandomFraction()
    {
        return RandomFraction(&random_);
    }
    static int RandomBelow(int bound, std::mt19937 *random)
    {
        return std::uniform_int_distribution<int>(0, bound - 1)(*random);
    }
    static double RandomFraction(std::mt19937 *random)
    {
        return std::uniform_real_distribution<double>(0, 1)(*random);
    }
    void LogFault(const char *format, ...)
        __attribute__((format(printf, 2, 3)))
    {
        char text[200], line[240];
        va_list args;
        va_start(args, format);
        vsnprintf(text, sizeof(text), format, args);
        va_end(args);
        snprintf(line, sizeof(line), "%7.3f %s", Now(), text);
        fault_log_.push_back(line);
    }
    void AddViolation(const std::string &text)
    {
        char at[32];
        snprintf(at, sizeof(at), "%7.3f ", Now());
        violations_.push_back(at + text);
    }

    // ---- configuration ----
    //
    // Version N adds the marker route /mN/ and keeps those of the four
    // versions before it, so that a probe of a marker shows which versions a
    // node has.
    void PutConfig()
    {
        version_++;
        std::string rules;
        for (int n = std::max(1, version_ - 4); n <= version_; n++) {
            rules += FormatRule("m" + std::to_string(n), "safe", "one") + ",";
        }
        rules += FormatRule("safe", "safe", "one") + "," +
                 FormatRule("once", "unsafe", "one") + "," +
                 FormatRule("two", "unsafe", "two");
        store_.Put("op", "config",
                   "{\"version\":\"r" + std::to_string(version_) +
                       "\",\"services\":[{\"name\":\"one\"},{\"name\":"
                       "\"two\"}],\"limits\":{},\"virtual_hosts\":[{\"host\":"
                       "\"h\",\"path_rules\":[" +
                       rules + "]}]}");
        config_put_at_[version_] = start_ > 0 ? Now() : 0;
    }
    static std::string FormatRule(const std::string &name,
                                  const std::string &kind,
                                  const std::string &service)
    {
        return "{\"name\":\"" + name + "\",\"prefix\":\"/" + name +
               "/\",\"kind\":\"" + kind +
               "\",\"timeout_s\":2,\"target_latency_s\":0.5,\"priority\":1,"
               "\"service\":\"" +
               service + "\",\"max_attempts\":2}";
    }

    // ---- nodes ----
    void AddNode(int index)
    {
        auto node = std::make_unique<SoakNode>();
        node->name = "n" + std::to_string(index);
        node->data_centre = index % 2 == 0 ? "a" : "b";
        node->service = index % 3 == 2 ? "two" : "one";
        node->callers = FreeAddress();
        node->forwarded = FreeAddress();
        node->admin = FreeAddress();
        node->announcements = FreeAddress();
        node->settings = work_dir_ + "/" + node->name + ".toml";
        node->store_relay = std::make_unique<Relay>(&loop_, store_.address);
        SoakTarget &target = node->target;
        target.soak = this;
        target.service = node->service;
        target.announce_address = node->announcements;
        target.address = FreeAddress();
        target.listener = BbH1_Listen(target.address.c_str());
        ev_io_init(&target.accept_io, OnAccept, target.listener, EV_READ);
        target.accept_io.data = &target;
        ev_io_start(loop_.loop, &target.accept_io);
        WriteSettings(node.get());
        nodes_.push_back(std::move(node));
        StartNode(nodes_.back().get());
    }
    void WriteSettings(SoakNode *node)
    {
        std::ofstream out(node->settings);
        out << "[node]\nname = \"" << node->name << "\"\ndata_centre = \""
            << node->data_centre << "\"\nservice = \"" << node->service
            << "\"\ntarget_address = \"" << node->target.address
            << "\"\n[listen]\ncallers = \"" << node->callers
            << "\"\nforwarded = \"" << node->forwarded << "\"\nadmin = \""
            << node->admin << "\"\nannouncements = \"" << node->announcements
            << "\"\n[platform]\naddress = \"" << node->store_relay->address
            << "\"\n[limits]\nshutdown_s = " << kShutdownLimit
            << "\nrepeat_ratio = 0.2\nrepeat_extra = 60\n";
    }
    void StartNode(SoakNode *node)
    {
        node->pid = fork();
        if (node->pid == 0) {
            std::string path = options_.log.empty()
                                   ? "/dev/null"
                                   : options_.log + "/" + node->name + ".log";
            int fd = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, STDOUT_FILENO);
            dup2(fd, STDERR_FILENO);
            execl(options_.sidecar.c_str(), "bbsidecar", "--settings",
                  node->settings.c_str(), nullptr);
            _exit(127);
        }
        node->started_at = node->disturbed_at = start_ > 0 ? Now() : 0;
        node->sigterm_at = node->paused_until = node->restart_at = 0;
        node->newest_marker = 0;
    }
    void SuperviseNode(SoakNode *node)
    {
        int status;
        if (node->store_silent_until > 0) {
            node->disturbed_at = std::max(node->disturbed_at, Now());
            if (Now() >= node->store_silent_until) {
                node->store_silent_until = 0;
                node->store_relay->is_silent = false;
            }
        }
        if (node->paused_until > 0 && Now() >= node->paused_until) {
            kill(node->pid, SIGCONT);
            node->paused_until = 0;
            node->disturbed_at = Now();
        }
        if (node->pid > 0 && waitpid(node->pid, &status, WNOHANG) > 0) {
            bool is_planned = node->sigterm_at > 0 || node->restart_at > 0;
            if (!is_planned) {
                AddViolation(node->name +
                             " ended without an injected fault, wait status " +
                             std::to_string(status));
            }
            node->pid = -1;
            node->disturbed_at = Now();
            node->restart_at = Now() + 0.3;
        }
        if (node->pid < 0 && Now() >= node->restart_at) {
            StartNode(node);
        }
    }

    // ---- targets ----
    static void OnAccept(struct ev_loop *, ev_io *io, int)
    {
        auto *target = static_cast<SoakTarget *>(io->data);
        int fd = accept(target->listener, nullptr, nullptr);
        if (fd >= 0) {
            target->connections.push_back(
                std::make_unique<Connection>(&target->soak->loop_, fd));
            target->connections.back()->on_bytes =
                [target](Connection *connection) {
                    target->soak->HandleRequest(target, connection);
                };
        }
    }
    struct Work {
        SoakTarget *target;
        Connection *connection;
        std::string id;
        double done_at;
        int fault;
    };
    void HandleRequest(SoakTarget *target, Connection *connection)
    {
        size_t end = connection->received.find("\r\n\r\n");
        if (end == std::string::npos) {
            return;
        }
        std::string head = connection->received.substr(0, end + 2);
        std::string length = HeaderField(head, "Content-Length");
        size_t body = length.empty() ? 0 : std::stoul(length);
        if (connection->received.size() < end + 4 + body) {
            return;
        }
        connection->received.erase(0, end + 4 + body);
        std::string id = HeaderField(head, "X-Attempt-Id");
        if (HeaderField(head, "X-Expect-Instance") != target->Id()) {
            connection->Send("HTTP/1.1 421 Misdirected Request\r\n"
                             "Content-Length: 0\r\n\r\n");
            return;
        }
        int fault = Now() < target->faulty_until && RandomFraction() < 0.3
                        ? target->fault
                        : 0;
        if (fault == kShed) {
            connection->Send(
                "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + id +
                "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        run_counts_[id]++;
        if (target->drain_acknowledged_at > 0 &&
            Now() > target->drain_acknowledged_at + kDrainBound) {
            AddViolation("call " + id + " started at " + target->Id() +
                         " after its drain was acknowledged");
        }
        if (unsafe_ids_.count(id) > 0 && run_counts_[id] > 1) {
            AddViolation("call " + id +
                         " must run at most once and ran again");
        }
        if (refused_unsafe_ids_.count(id) > 0) {
            AddViolation("call " + id + " got status 503 and ran later");
        }
        work_list_.push_back({target, connection, id,
                              Now() + 0.005 + 0.05 * RandomFraction(), fault});
    }
    enum Fault {
        kNone,
        kShed,
        kReset,
        kTruncate,
        kExtraResponse,
        kSilent,
        kStatus500,
        kFaultCount
    };
    static std::string ResponseBody(const std::string &id)
    {
        std::string body;
        for (int i = 0; i < 40; i++) {
            body += id + "/" + std::to_string(i) + ";";
        }
        return body;
    }
    void SendResponse(const Work &work)
    {
        std::string body = ResponseBody(work.id);
        std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + work.id +
                           "\r\nX-Server-Seal: s\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n";
        switch (work.fault) {
        case kReset:
            work.connection->Close(true);
            break;
        case kTruncate:
            work.connection->Send(head + body.substr(0, body.size() / 2));
            work.connection->Close(false);
            break;
        case kExtraResponse:
            work.connection->Send(head + body + head + body);
            break;
        case kSilent:
            break;
        case kStatus500:
            work.connection->Send("HTTP/1.1 500 Internal Server Error\r\n"
                                  "X-Attempt-Id: " +
                                  work.id +
                                  "\r\nX-Server-Seal: s\r\nContent-Length: 0"
                                  "\r\n\r\n");
            break;
        default:
            work.connection->Send(head + body);
        }
    }
    void SendAnnouncement(SoakNode *node)
    {
        SoakTarget &target = node->target;
        target.sequence++;
        std::string body = "{\"service\":\"" + target.service +
                           "\",\"address\":\"" + target.address +
                           "\",\"zone\":\"a\",\"version\":\"v1\","
                           "\"slots\":8,\"state\":\"" +
                           (target.is_draining ? "draining" : "ready") +
                           "\",\"cold_left_s\":0,\"sequence\":" +
                           std::to_string(target.sequence) + ",\"born\":" +
                           std::to_string(1000 + target.generation) + "}";
        auto connection = std::make_unique<Connection>(
            &loop_, BbH1_Connect(target.announce_address.c_str()));
        bool is_draining = target.is_draining;
        int generation = target.generation;
        connection->on_bytes = [this, node, is_draining,
                                generation](Connection *w) {
            SoakTarget &t = node->target;
            if (is_draining && generation == t.generation &&
                t.drain_acknowledged_at <= 0 && Status(w->received) == "200") {
                t.drain_acknowledged_at = Now();
            }
        };
        connection->Send("PUT /v1/instances/" + target.Id() +
                         " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
        announcement_connections_.push_back(std::move(connection));
        if (announcement_connections_.size() > 200) {
            announcement_connections_.erase(announcement_connections_.begin(),
                                            announcement_connections_.begin() +
                                                100);
        }
    }

    // ---- callers ----
    void SendCall(SoakNode *node, const std::string &route, bool is_unsafe,
                  int marker)
    {
        auto call = std::make_unique<Call>();
        call->id = "s" + std::to_string(options_.seed) + "-c" +
                   std::to_string(++next_id_);
        call->is_unsafe = is_unsafe;
        call->node = node;
        call->pid = node->pid;
        call->sent_at = Now();
        call->marker = marker;
        call->is_probe = marker > 0;
        call_count_ += !call->is_probe;
        probe_count_ += call->is_probe;
        if (call->is_probe) {
            call->id = "s" + std::to_string(options_.seed) + "-p" +
                       std::to_string(probe_count_);
        }
        if (is_unsafe) {
            unsafe_ids_.insert(call->id);
        }
        int fd = BbH1_Connect(node->callers.c_str());
        if (fd < 0) {
            return;
        }
        call->connection = std::make_unique<Connection>(&loop_, fd);
        std::string body =
            is_unsafe ? std::string(RandomBelow(20) == 0 ? 60000 : 200, 'x')
                      : "";
        std::string text =
            std::string(is_unsafe ? "POST" : "GET") + " /" + route +
            "/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + call->id +
            "\r\nX-Deadline-Ms: 2500\r\n";
        if (is_unsafe) {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        pending_.push_back({call.get(), text + "\r\n" + body});
        calls_.push_back(std::move(call));
    }
    void CheckCall(Call *call)
    {
        const std::string &bytes = call->connection->received;
        size_t end = bytes.find("\r\n\r\n");
        std::string length =
            end != std::string::npos
                ? HeaderField(bytes.substr(0, end + 2), "Content-Length")
                : "";
        bool is_complete =
            !length.empty() && bytes.size() >= end + 4 + std::stoul(length);
        if (!is_complete && !call->connection->is_closed) {
            if (Now() - call->sent_at > 6.0 && IsUndisturbed(call->node)) {
                AddViolation("call " + call->id +
                             " has no response after 6 s");
                call->is_done = true;
            }
            return;
        }
        call->is_done = true;
        call->status = is_complete ? Status(bytes) : "cut";
        if (call->is_probe) {
            CheckProbe(call);
            return;
        }
        if (call->status == "200") {
            served_++;
            if (bytes.substr(end + 4) != ResponseBody(call->id)) {
                AddViolation("call " + call->id +
                             " got status 200 and a body that is not its own");
            }
            if (run_counts_[call->id] < 1) {
                AddViolation("call " + call->id +
                             " got status 200 and never ran");
            }
        }
        else if (call->status == "503") {
            refused_++;
            if (call->is_unsafe && run_counts_[call->id] > 0) {
                AddViolation("call " + call->id +
                             " got status 503 and had run");
            }
            if (call->is_unsafe) {
                refused_unsafe_ids_.insert(call->id);
            }
        }
        else {
            unknown_++;
            if (call->status == "404") {
                AddViolation("call " + call->id +
                             " got status 404 for a route that "
                             "all versions have");
            }
            if (call->status == "cut" && run_counts_[call->id] > 0 &&
                WasOnlyTerminated(call)) {
                AddViolation("call " + call->id + " to " + call->node->name +
                             ", sent at " + std::to_string(call->sent_at) +
                             ", got no complete response when the process was "
                             "stopped by SIGTERM");
            }
        }
    }
    // True if the process that the call was sent to got neither SIGKILL nor
    // SIGSTOP.
    bool WasOnlyTerminated(const Call *call) const
    {
        return killed_pids_.count(call->pid) == 0 &&
               paused_pids_.count(call->pid) == 0;
    }
    bool IsUndisturbed(const SoakNode *node) const
    {
        return node->pid > 0 && node->paused_until <= 0 &&
               node->sigterm_at <= 0 &&
               Now() - node->disturbed_at > kUndisturbedAfter;
    }
    void CheckProbe(Call *call)
    {
        SoakNode *node = call->node;
        if (node->pid != call->pid) {
            return;
        }
        if (call->status == "200" || call->status == "503" ||
            call->status == "502" || call->status == "504") {
            if (call->status == "200") {
                node->newest_marker =
                    std::max(node->newest_marker, call->marker);
            }
            return;
        }
        if (call->status != "404") {
            return;
        }
        bool is_history_recent =
            Now() - history_dropped_at_ <= kUndisturbedAfter;
        double bound =
            is_history_recent ? kConvergeBoundWithoutHistory : kConvergeBound;
        bool was_put_long_ago =
            config_put_at_[call->marker] + bound < call->sent_at;
        bool is_in_config = call->marker > version_ - 4;
        if (!is_in_config) {
            return;
        }
        if (node->newest_marker >= call->marker) {
            AddViolation(
                node->name +
                " served this or a newer version and then lacked version " +
                std::to_string(call->marker));
        }
        if (was_put_long_ago && IsUndisturbed(node) &&
            Now() - store_disturbed_at_ > kUndisturbedAfter) {
            AddViolation(node->name + " lacks version " +
                         std::to_string(call->marker) + " after " +
                         std::to_string(static_cast<int>(bound)) + " s");
        }
    }

    // ---- faults ----
    SoakNode *RandomNode()
    {
        return nodes_[static_cast<size_t>(RandomBelow(options_.nodes))].get();
    }
    void InjectFault()
    {
        if (options_.has_only_connection_faults) {
            PutConfig();
            LogFault("new configuration version %d", version_);
            return;
        }
        SoakNode *node = RandomNode();
        bool is_up =
            node->pid > 0 && node->paused_until <= 0 && node->sigterm_at <= 0;
        faults_++;
        switch (RandomBelow(12)) {
        case 0:
            if (is_up) {
                LogFault("SIGKILL %s", node->name.c_str());
                killed_pids_.insert(node->pid);
                node->restart_at = Now() + 0.3;
                kill(node->pid, SIGKILL);
            }
            break;
        case 1:
        case 2:
            if (is_up) {
                LogFault("SIGTERM %s", node->name.c_str());
                node->sigterm_at = Now();
                kill(node->pid, SIGTERM);
            }
            break;
        case 3:
            if (is_up) {
                node->paused_until = Now() + 0.3 + 2.0 * RandomFraction();
                LogFault("SIGSTOP %s", node->name.c_str());
                paused_pids_.insert(node->pid);
                node->disturbed_at = Now();
                kill(node->pid, SIGSTOP);
            }
            break;
        case 4:
            LogFault("store refuses calls");
            store_.refuse = 5 + RandomBelow(40);
            store_.refuse_status = RandomBelow(2) == 0 ? 503 : 429;
            break;
        case 5:
            LogFault("store is silent");
            store_.is_silent = true;
            silent_until_ = Now() + 0.5 + 2.5 * RandomFraction();
            break;
        case 6:
            LogFault("store drops its history and loses responses");
            store_.history_from = store_.version + 1;
            store_.version++;
            store_.lose_answers = 2;
            history_dropped_at_ = Now();
            store_.AnswerWaitingFeeds();
            break;
        case 7:
        case 8:
            LogFault("target of %s injects faults", node->name.c_str());
            node->target.fault = 1 + RandomBelow(kFaultCount - 1);
            node->target.faulty_until = Now() + 1.0 + 3.0 * RandomFraction();
            break;
        case 9:
            DrainAndReplaceTarget(node);
            break;
        case 10:
            LogFault("SIGHUP %s", node->name.c_str());
            WriteSettings(node);
            if (is_up) {
                kill(node->pid, SIGHUP);
            }
            break;
        default:
            PutConfig();
            LogFault("new configuration version %d", version_);
        }
    }
    // Faults of the connections between nodes and the store. They have a
    // random source of their own, so that a seed keeps its other faults.
    void InjectConnectionFault()
    {
        int count = 1 + RandomBelow(options_.nodes, &connection_random_);
        int first = RandomBelow(options_.nodes, &connection_random_);
        int kind = RandomBelow(3, &connection_random_);
        double silent_s = 0.3 + 4.0 * RandomFraction(&connection_random_);
        faults_++;
        LogFault("connections to the store of %d nodes from n%d on: %s", count,
                 first,
                 kind == 0   ? "silent for good"
                 : kind == 1 ? "reset"
                             : "responses lost for some time");
        for (int i = 0; i < count; i++) {
            auto &node =
                nodes_[static_cast<size_t>((first + i) % options_.nodes)];
            node->disturbed_at = std::max(node->disturbed_at, Now());
            if (kind == 0) {
                node->store_relay->MuteOpenConnections();
            }
            else if (kind == 1) {
                node->store_relay->ResetOpenConnections();
            }
            else {
                node->store_relay->is_silent = true;
                node->store_silent_until = Now() + silent_s;
            }
        }
    }
    // Starts a drain; the next generation starts 0.5 s after kDrainBound.
    void DrainAndReplaceTarget(SoakNode *node)
    {
        SoakTarget &target = node->target;
        if (target.is_draining) {
            return;
        }
        LogFault("drain %s", target.Id().c_str());
        target.is_draining = true;
        SendAnnouncement(node);
        pending_replacements_.push_back({node, Now() + kDrainBound + 0.5});
    }
    void StartNextGeneration(SoakNode *node)
    {
        SoakTarget &target = node->target;
        target.generation++;
        target.sequence = 0;
        target.is_draining = false;
        target.drain_acknowledged_at = 0;
        SendAnnouncement(node);
    }

    // ---- one step of the loop ----
    bool Step()
    {
        double now = Now();
        for (auto &node : nodes_) {
            SuperviseNode(node.get());
        }
        if (store_.is_silent || store_.refuse > 0) {
            store_disturbed_at_ = now;
        }
        if (silent_until_ > 0 && now >= silent_until_) {
            silent_until_ = 0;
            store_.is_silent = false;
        }
        for (size_t i = 0; i < work_list_.size();) {
            if (work_list_[i].done_at > now) {
                i++;
                continue;
            }
            Work work = work_list_[i];
            work_list_.erase(work_list_.begin() + static_cast<long>(i));
            SendResponse(work);
        }
        for (size_t i = 0; i < pending_replacements_.size();) {
            if (pending_replacements_[i].second > now) {
                i++;
                continue;
            }
            StartNextGeneration(pending_replacements_[i].first);
            pending_replacements_.erase(pending_replacements_.begin() +
                                        static_cast<long>(i));
        }
        if (now >= next_announcement_) {
            next_announcement_ = now + 0.5;
            for (auto &node : nodes_) {
                SendAnnouncement(node.get());
            }
        }
        SendPending();
        if (!is_load_stopped_ && now >= next_call_) {
            next_call_ = now + 0.01;
            SoakNode *node = RandomNode();
            int kind = RandomBelow(3);
            SendCall(node,
                     kind == 0   ? "safe"
                     : kind == 1 ? "once"
                                 : "two",
                     kind != 0, 0);
        }
        if (now >= next_probe_) {
            next_probe_ = now + 0.1;
            int marker = std::max(1, version_ - RandomBelow(3));
            SendCall(RandomNode(), "m" + std::to_string(marker), false,
                     marker);
        }
        if (!is_load_stopped_ && ev_time() >= next_fault_) {
            next_fault_ = ev_time() + 0.15 + 0.6 * RandomFraction();
            if (options_.has_only_connection_faults) {
                next_fault_ += 1.5;
            }
            InjectFault();
        }
        if (!is_load_stopped_ && ev_time() >= next_connection_fault_) {
            next_connection_fault_ =
                ev_time() + 1.0 + 6.0 * RandomFraction(&connection_random_);
            InjectConnectionFault();
        }
        for (auto &call : calls_) {
            if (!call->is_done) {
                CheckCall(call.get());
            }
        }
        calls_.erase(std::remove_if(calls_.begin(), calls_.end(),
                                    [](const std::unique_ptr<Call> &call) {
                                        return call->is_done;
                                    }),
                     calls_.end());
        return false;
    }
    // Sends each request whose connection is established, because connects do
    // not block. A call whose connect fails or takes more than 1 s is dropped
    // and not counted.
    void SendPending()
    {
        for (size_t i = 0; i < pending_.size();) {
            Call *call = pending_[i].first;
            int error = 0;
            socklen_t size = sizeof(error);
            sockaddr_in peer;
            socklen_t peer_size = sizeof(peer);
            if (call->connection->fd >= 0) {
                getsockopt(call->connection->fd, SOL_SOCKET, SO_ERROR, &error,
                           &size);
            }
            bool is_connected =
                call->connection->fd >= 0 && error == 0 &&
                getpeername(call->connection->fd,
                            reinterpret_cast<sockaddr *>(&peer),
                            &peer_size) == 0;
            bool is_failed = call->connection->is_closed || error != 0 ||
                             Now() - call->sent_at > 1.0;
            if (is_connected) {
                call->connection->Send(pending_[i].second);
            }
            else if (is_failed) {
                call->is_done = true;
                call_count_ -= !call->is_probe;
            }
            if (is_connected || is_failed) {
                pending_.erase(pending_.begin() + static_cast<long>(i));
            }
            else {
                i++;
            }
        }
    }
    void CheckAtEnd()
    {
        for (const auto &id : unsafe_ids_) {
            if (run_counts_[id] > 1) {
                AddViolation("call " + id + " ran " +
                             std::to_string(run_counts_[id]) + " times");
            }
        }
    }

    Options options_;
    std::mt19937 random_, connection_random_;
    Loop loop_;
    FakeStore store_;
    std::string work_dir_;
    std::vector<std::unique_ptr<SoakNode>> nodes_;
    std::vector<std::unique_ptr<Call>> calls_;
    std::vector<std::pair<Call *, std::string>> pending_;
    std::vector<std::unique_ptr<Connection>> announcement_connections_;
    std::vector<Work> work_list_;
    std::vector<std::pair<SoakNode *, double>> pending_replacements_;
    std::map<std::string, int> run_counts_;
    std::set<std::string> unsafe_ids_, refused_unsafe_ids_;
    std::set<pid_t> killed_pids_, paused_pids_;
    std::map<int, double> config_put_at_;
    std::vector<std::string> violations_, fault_log_;
    ev_tstamp start_ = 0, next_fault_ = 0, next_connection_fault_ = 0;
    double next_announcement_ = 0, next_call_ = 1.5, next_probe_ = 2.5;
    double silent_until_ = 0, store_disturbed_at_ = 0;
    double history_dropped_at_ = -kUndisturbedAfter;
    bool is_load_stopped_ = false;
    int next_id_ = 0;
    int version_ = 0, call_count_ = 0, probe_count_ = 0, served_ = 0;
    int refused_ = 0, unknown_ = 0, faults_ = 0;
};

} // namespace

int
main(int argc, char **argv)
{
    Options options;
    for (int i = 1; i + 1 < argc; i += 2) {
        std::string key = argv[i];
        if (key == "--seed") {
            options.seed = static_cast<unsigned>(atoi(argv[i + 1]));
        }
        else if (key == "--seconds") {
            options.seconds = atof(argv[i + 1]);
        }
        else if (key == "--nodes") {
            options.nodes = atoi(argv[i + 1]);
        }
        else if (key == "--sidecar") {
            options.sidecar = argv[i + 1];
        }
        else if (key == "--faults") {
            options.has_only_connection_faults =
                strcmp(argv[i + 1], "connections") == 0;
        }
        else if (key == "--log") {
            options.log = argv[i + 1];
        }
        else {
            fprintf(stderr, "soak: unknown option %s\n", argv[i]);
            return 2;
        }
    }
    signal(SIGPIPE, SIG_IGN);
    Soak soak(options);
    return soak.Run();
}
