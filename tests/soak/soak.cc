// Randomized soak of bbsidecar: real processes on loopback, faults from
// outside, promises checked from what callers and targets see.
//
// Use: soak --seed N [--seconds S] [--nodes N] [--sidecar PATH] [--log DIR]
// Exit: 0 kept, 1 a promise broken, 2 the run could not be made.
//
// One process holds the store stand-in, the targets and the callers, so that
// each sees what the others did; each node is a process of its own. A seed
// gives the same schedule of faults; the timing of processes differs.
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

using mesh_rig::Connection;
using mesh_rig::FakeStore;
using mesh_rig::FreeAddress;
using mesh_rig::HeaderField;
using mesh_rig::Loop;
using mesh_rig::Status;

namespace {

// Bounds of the promises, in seconds (PRODUCT guarantees G7, G8, G9).
const double kLeaveBound = 3.0;
const double kConvergeBound = 6.0;
const double kShutdown = 4.0;

// A node counts as undisturbed this long after its last fault.
const double kCalm = 3.0;

struct Options {
    unsigned seed = 1;
    double seconds = 20;
    int nodes = 6;
    std::string sidecar = "build/bbsidecar";
    std::string log = "";
};

class Soak;

// One incarnation after another of a target at one address.
struct SoakTarget {
    std::string address, service, announce;
    int generation = 0;
    int64_t sequence = 0;
    bool is_draining = false;
    double acked_leave_at = 0;
    double faulty_until = 0;
    int fault = 0;
    int listener = -1;
    ev_io accept_io;
    std::vector<std::unique_ptr<Connection>> wires;
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
    pid_t pid = -1;
    double started_at = 0, disturbed_at = 0, stopped_until = 0, term_at = 0;
    double restart_at = 0;
    int newest_seen = 0; // marker route served by this process
};

struct Call {
    std::string id, path;
    bool is_once;
    SoakNode *node;
    pid_t pid;
    double sent_at;
    std::unique_ptr<Connection> wire;
    bool is_done = false;
    bool is_probe = false;
    int marker = 0;
    std::string status;
};

class Soak {
  public:
    explicit Soak(const Options &options)
        : options_(options), random_(options.seed), store_(&loop_)
    {
        char path[] = "/tmp/bbsoak-XXXXXX";
        work_ = mkdtemp(path);
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
        loop_.RunUntil([&] { return Step() || ev_time() >= end; },
                       options_.seconds + 5);
        is_closing_ = true;
        ev_tstamp last = ev_time() + 5.0;
        loop_.RunUntil([&] { return Step() || ev_time() >= last; }, 8.0);
        CheckAtEnd();
        printf("soak seed %u: %d calls, %d served, %d refused, %d unknown, "
               "%d faults, %zu broken\n",
               options_.seed, call_count_, served_, refused_, unknown_,
               faults_, broken_.size());
        for (const auto &line : broken_) {
            printf("  BROKEN %s\n", line.c_str());
        }
        for (const auto &line : schedule_) {
            if (!broken_.empty()) {
                printf("  %s\n", line.c_str());
            }
        }
        if (served_ * 2 < call_count_) {
            printf("  BROKEN fewer than half of the calls were served\n");
            return 1;
        }
        return broken_.empty() ? 0 : 1;
    }

  private:
    double Now() const
    {
        return ev_time() - start_;
    }
    int Below(int bound)
    {
        return std::uniform_int_distribution<int>(0, bound - 1)(random_);
    }
    double Unit()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }
    void Note(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[200], line[240];
        va_list args;
        va_start(args, format);
        vsnprintf(text, sizeof(text), format, args);
        va_end(args);
        snprintf(line, sizeof(line), "%7.3f %s", Now(), text);
        schedule_.push_back(line);
    }
    void Break(const std::string &text)
    {
        char at[32];
        snprintf(at, sizeof(at), "%7.3f ", Now());
        broken_.push_back(at + text);
    }

    // ---- configuration: markers /mN/ of the last versions ----
    void PutConfig()
    {
        version_++;
        std::string rules;
        for (int n = std::max(1, version_ - 4); n <= version_; n++) {
            rules += Rule("m" + std::to_string(n), "safe", "one") + ",";
        }
        rules += Rule("safe", "safe", "one") + "," +
                 Rule("once", "unsafe", "one") + "," +
                 Rule("two", "unsafe", "two");
        store_.Put("op", "config",
                   "{\"version\":\"r" + std::to_string(version_) +
                       "\",\"services\":[{\"name\":\"one\"},{\"name\":"
                       "\"two\"}],\"limits\":{},\"virtual_hosts\":[{\"host\":"
                       "\"h\",\"path_rules\":[" +
                       rules + "]}]}");
        put_at_[version_] = start_ > 0 ? Now() : 0;
    }
    static std::string Rule(const std::string &name, const std::string &kind,
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
        node->settings = work_ + "/" + node->name + ".toml";
        SoakTarget &target = node->target;
        target.soak = this;
        target.service = node->service;
        target.announce = node->announcements;
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
            << "\"\n[platform]\naddress = \"" << store_.address
            << "\"\n[limits]\nshutdown_s = " << kShutdown
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
        node->term_at = node->stopped_until = node->restart_at = 0;
        node->newest_seen = 0;
    }
    void WatchNode(SoakNode *node)
    {
        int status;
        if (node->stopped_until > 0 && Now() >= node->stopped_until) {
            kill(node->pid, SIGCONT);
            node->stopped_until = 0;
            node->disturbed_at = Now();
        }
        if (node->pid > 0 && waitpid(node->pid, &status, WNOHANG) > 0) {
            bool is_planned = node->term_at > 0 || node->restart_at > 0;
            if (!is_planned) {
                Break(node->name + " ended by itself, status " +
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
            target->wires.push_back(
                std::make_unique<Connection>(&target->soak->loop_, fd));
            target->wires.back()->on_bytes = [target](Connection *wire) {
                target->soak->TakeRequest(target, wire);
            };
        }
    }
    struct Work {
        SoakTarget *target;
        Connection *wire;
        std::string id;
        double done_at;
        int fault;
    };
    void TakeRequest(SoakTarget *target, Connection *wire)
    {
        size_t end = wire->received.find("\r\n\r\n");
        if (end == std::string::npos) {
            return;
        }
        std::string head = wire->received.substr(0, end + 2);
        std::string length = HeaderField(head, "Content-Length");
        size_t body = length.empty() ? 0 : std::stoul(length);
        if (wire->received.size() < end + 4 + body) {
            return;
        }
        wire->received.erase(0, end + 4 + body);
        std::string id = HeaderField(head, "X-Attempt-Id");
        if (HeaderField(head, "X-Expect-Instance") != target->Id()) {
            wire->Send("HTTP/1.1 421 Misdirected Request\r\n"
                       "Content-Length: 0\r\n\r\n");
            return;
        }
        int fault =
            Now() < target->faulty_until && Unit() < 0.3 ? target->fault : 0;
        if (fault == kShed) {
            wire->Send(
                "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + id +
                "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        runs_[id]++;
        if (target->acked_leave_at > 0 &&
            Now() > target->acked_leave_at + kLeaveBound) {
            Break("call " + id + " started at " + target->Id() +
                  " after its leave was acknowledged");
        }
        if (once_.count(id) > 0 && runs_[id] > 1) {
            Break("call " + id + " must not be repeated and ran twice");
        }
        if (refusals_.count(id) > 0) {
            Break("call " + id + " was answered 503 and ran later");
        }
        work_list_.push_back(
            {target, wire, id, Now() + 0.005 + 0.05 * Unit(), fault});
    }
    enum Fault {
        kNone,
        kShed,
        kReset,
        kTruncate,
        kExtra,
        kMute,
        kError,
        kFaultCount
    };
    static std::string BodyOf(const std::string &id)
    {
        std::string body;
        for (int i = 0; i < 40; i++) {
            body += id + "/" + std::to_string(i) + ";";
        }
        return body;
    }
    void Finish(const Work &work)
    {
        std::string body = BodyOf(work.id);
        std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + work.id +
                           "\r\nX-Server-Seal: s\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n";
        switch (work.fault) {
        case kReset:
            work.wire->Close(true);
            break;
        case kTruncate:
            work.wire->Send(head + body.substr(0, body.size() / 2));
            work.wire->Close(false);
            break;
        case kExtra:
            work.wire->Send(head + body + head + body);
            break;
        case kMute:
            break;
        case kError:
            work.wire->Send("HTTP/1.1 500 Internal Server Error\r\n"
                            "X-Attempt-Id: " +
                            work.id +
                            "\r\nX-Server-Seal: s\r\nContent-Length: 0"
                            "\r\n\r\n");
            break;
        default:
            work.wire->Send(head + body);
        }
    }
    void Beat(SoakNode *node)
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
        auto wire = std::make_unique<Connection>(
            &loop_, BbH1_Connect(target.announce.c_str()));
        bool is_draining = target.is_draining;
        int generation = target.generation;
        wire->on_bytes = [this, node, is_draining, generation](Connection *w) {
            SoakTarget &t = node->target;
            if (is_draining && generation == t.generation &&
                t.acked_leave_at <= 0 && Status(w->received) == "200") {
                t.acked_leave_at = Now();
            }
        };
        wire->Send("PUT /v1/instances/" + target.Id() +
                   " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
        beats_.push_back(std::move(wire));
        if (beats_.size() > 200) {
            beats_.erase(beats_.begin(), beats_.begin() + 100);
        }
    }

    // ---- callers ----
    void SendCall(SoakNode *node, const std::string &route, bool is_once,
                  int marker)
    {
        auto call = std::make_unique<Call>();
        call->id = "s" + std::to_string(options_.seed) + "-c" +
                   std::to_string(++next_id_);
        call->is_once = is_once;
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
        if (is_once) {
            once_.insert(call->id);
        }
        int fd = BbH1_Connect(node->callers.c_str());
        if (fd < 0) {
            return;
        }
        call->wire = std::make_unique<Connection>(&loop_, fd);
        std::string body =
            is_once ? std::string(Below(20) == 0 ? 60000 : 200, 'x') : "";
        std::string text =
            std::string(is_once ? "POST" : "GET") + " /" + route +
            "/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + call->id +
            "\r\nX-Deadline-Ms: 2500\r\n";
        if (is_once) {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        pending_.push_back({call.get(), text + "\r\n" + body});
        calls_.push_back(std::move(call));
    }
    void CheckCall(Call *call)
    {
        const std::string &bytes = call->wire->received;
        size_t end = bytes.find("\r\n\r\n");
        std::string length =
            end != std::string::npos
                ? HeaderField(bytes.substr(0, end + 2), "Content-Length")
                : "";
        bool is_whole =
            !length.empty() && bytes.size() >= end + 4 + std::stoul(length);
        if (!is_whole && !call->wire->is_closed) {
            if (Now() - call->sent_at > 6.0 && IsCalm(call->node)) {
                Break("call " + call->id + " has no answer after 6 s");
                call->is_done = true;
            }
            return;
        }
        call->is_done = true;
        call->status = is_whole ? Status(bytes) : "cut";
        if (call->is_probe) {
            CheckProbe(call);
            return;
        }
        if (call->status == "200") {
            served_++;
            if (bytes.substr(end + 4) != BodyOf(call->id)) {
                Break("call " + call->id + " got another body");
            }
            if (runs_[call->id] < 1) {
                Break("call " + call->id + " succeeded and never ran");
            }
        }
        else if (call->status == "503") {
            refused_++;
            if (call->is_once && runs_[call->id] > 0) {
                Break("call " + call->id + " was answered 503 and had run");
            }
            if (call->is_once) {
                refusals_.insert(call->id);
            }
        }
        else {
            unknown_++;
            if (call->status == "404") {
                Break("call " + call->id +
                      " got 404 for a route of all "
                      "versions");
            }
            if (call->status == "cut" && runs_[call->id] > 0 &&
                WasOnlyTermed(call)) {
                Break("call " + call->id + " to " + call->node->name +
                      ", sent at " + std::to_string(call->sent_at) +
                      ", was cut by a planned stop");
            }
        }
    }
    // The process that took the call was stopped in order and not killed.
    bool WasOnlyTermed(const Call *call) const
    {
        return killed_.count(call->pid) == 0 && frozen_.count(call->pid) == 0;
    }
    bool IsCalm(const SoakNode *node) const
    {
        return node->pid > 0 && node->stopped_until <= 0 &&
               node->term_at <= 0 && Now() - node->disturbed_at > kCalm;
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
                node->newest_seen = std::max(node->newest_seen, call->marker);
            }
            return;
        }
        if (call->status != "404") {
            return;
        }
        bool was_there_for_long =
            put_at_[call->marker] + kConvergeBound < call->sent_at;
        bool is_still_there = call->marker > version_ - 4;
        if (!is_still_there) {
            return;
        }
        if (node->newest_seen >= call->marker) {
            Break(node->name + " went back behind version " +
                  std::to_string(call->marker));
        }
        if (was_there_for_long && IsCalm(node) &&
            Now() - store_disturbed_at_ > kConvergeBound) {
            Break(node->name + " lacks version " +
                  std::to_string(call->marker) + " after 6 s");
        }
    }

    // ---- faults ----
    SoakNode *AnyNode()
    {
        return nodes_[static_cast<size_t>(Below(options_.nodes))].get();
    }
    void Inject()
    {
        SoakNode *node = AnyNode();
        bool is_up =
            node->pid > 0 && node->stopped_until <= 0 && node->term_at <= 0;
        faults_++;
        switch (Below(12)) {
        case 0:
            if (is_up) {
                Note("kill %s", node->name.c_str());
                killed_.insert(node->pid);
                node->restart_at = Now() + 0.3;
                kill(node->pid, SIGKILL);
            }
            break;
        case 1:
        case 2:
            if (is_up) {
                Note("term %s", node->name.c_str());
                node->term_at = Now();
                kill(node->pid, SIGTERM);
            }
            break;
        case 3:
            if (is_up) {
                node->stopped_until = Now() + 0.3 + 2.0 * Unit();
                Note("freeze %s", node->name.c_str());
                frozen_.insert(node->pid);
                node->disturbed_at = Now();
                kill(node->pid, SIGSTOP);
            }
            break;
        case 4:
            Note("store refuses");
            store_.refuse = 5 + Below(40);
            store_.refuse_status = Below(2) == 0 ? 503 : 429;
            store_disturbed_at_ = Now() + 2;
            break;
        case 5:
            Note("store is silent");
            store_.is_silent = true;
            silent_until_ = Now() + 0.5 + 2.5 * Unit();
            store_disturbed_at_ = silent_until_ + 2;
            break;
        case 6:
            Note("store forgets its history and loses answers");
            store_.history_from = store_.version + 1;
            store_.version++;
            store_.lose_answers = 2;
            store_.AnswerWaitingFeeds();
            break;
        case 7:
        case 8:
            Note("target %s misbehaves", node->name.c_str());
            node->target.fault = 1 + Below(kFaultCount - 1);
            node->target.faulty_until = Now() + 1.0 + 3.0 * Unit();
            break;
        case 9:
            ReplaceTarget(node);
            break;
        case 10:
            Note("hup %s", node->name.c_str());
            WriteSettings(node);
            if (is_up) {
                kill(node->pid, SIGHUP);
            }
            break;
        default:
            PutConfig();
            Note("version %d", version_);
        }
    }
    // Drains first; the next incarnation starts when the drain time is over.
    void ReplaceTarget(SoakNode *node)
    {
        SoakTarget &target = node->target;
        if (target.is_draining) {
            return;
        }
        Note("drain %s", target.Id().c_str());
        target.is_draining = true;
        Beat(node);
        reborn_.push_back({node, Now() + kLeaveBound + 0.5});
    }
    void Rebirth(SoakNode *node)
    {
        SoakTarget &target = node->target;
        target.generation++;
        target.sequence = 0;
        target.is_draining = false;
        target.acked_leave_at = 0;
        Beat(node);
    }

    // ---- one step of the loop ----
    bool Step()
    {
        double now = Now();
        for (auto &node : nodes_) {
            WatchNode(node.get());
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
            Finish(work);
        }
        for (size_t i = 0; i < reborn_.size();) {
            if (reborn_[i].second > now) {
                i++;
                continue;
            }
            Rebirth(reborn_[i].first);
            reborn_.erase(reborn_.begin() + static_cast<long>(i));
        }
        if (now >= next_beat_) {
            next_beat_ = now + 0.5;
            for (auto &node : nodes_) {
                Beat(node.get());
            }
        }
        SendPending();
        if (!is_closing_ && now >= next_call_) {
            next_call_ = now + 0.01;
            SoakNode *node = AnyNode();
            int kind = Below(3);
            SendCall(node,
                     kind == 0   ? "safe"
                     : kind == 1 ? "once"
                                 : "two",
                     kind != 0, 0);
        }
        if (now >= next_probe_) {
            next_probe_ = now + 0.1;
            int marker = std::max(1, version_ - Below(3));
            SendCall(AnyNode(), "m" + std::to_string(marker), false, marker);
        }
        if (!is_closing_ && ev_time() >= next_fault_) {
            next_fault_ = ev_time() + 0.15 + 0.6 * Unit();
            Inject();
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
    // A connect takes a moment; requests are sent when it is through.
    void SendPending()
    {
        for (size_t i = 0; i < pending_.size();) {
            Call *call = pending_[i].first;
            int error = 0;
            socklen_t size = sizeof(error);
            sockaddr_in peer;
            socklen_t peer_size = sizeof(peer);
            if (call->wire->fd >= 0) {
                getsockopt(call->wire->fd, SOL_SOCKET, SO_ERROR, &error,
                           &size);
            }
            bool is_connected =
                call->wire->fd >= 0 && error == 0 &&
                getpeername(call->wire->fd,
                            reinterpret_cast<sockaddr *>(&peer),
                            &peer_size) == 0;
            bool is_over = call->wire->is_closed || error != 0 ||
                           Now() - call->sent_at > 1.0;
            if (is_connected) {
                call->wire->Send(pending_[i].second);
            }
            else if (is_over) {
                call->is_done = true;
                call_count_ -= !call->is_probe;
            }
            if (is_connected || is_over) {
                pending_.erase(pending_.begin() + static_cast<long>(i));
            }
            else {
                i++;
            }
        }
    }
    void CheckAtEnd()
    {
        for (const auto &id : once_) {
            if (runs_[id] > 1) {
                Break("call " + id + " ran " + std::to_string(runs_[id]) +
                      " times");
            }
        }
    }

    Options options_;
    std::mt19937 random_;
    Loop loop_;
    FakeStore store_;
    std::string work_;
    std::vector<std::unique_ptr<SoakNode>> nodes_;
    std::vector<std::unique_ptr<Call>> calls_;
    std::vector<std::pair<Call *, std::string>> pending_;
    std::vector<std::unique_ptr<Connection>> beats_;
    std::vector<Work> work_list_;
    std::vector<std::pair<SoakNode *, double>> reborn_;
    std::map<std::string, int> runs_;
    std::set<std::string> once_, refusals_;
    std::set<pid_t> killed_, frozen_;
    std::map<int, double> put_at_;
    std::vector<std::string> broken_, schedule_;
    ev_tstamp start_ = 0, next_fault_ = 0;
    double next_beat_ = 0, next_call_ = 1.5, next_probe_ = 2.5;
    double silent_until_ = 0, store_disturbed_at_ = 0;
    bool is_closing_ = false;
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
        else if (key == "--log") {
            options.log = argv[i + 1];
        }
        else {
            fprintf(stderr, "soak: no option %s\n", argv[i]);
            return 2;
        }
    }
    signal(SIGPIPE, SIG_IGN);
    Soak soak(options);
    return soak.Run();
}
