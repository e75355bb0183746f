// A bbsidecar process under test, with the target beside it in the test.
#ifndef SIDECAR_PROCESS_H
#define SIDECAR_PROCESS_H

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>

#include <climits>
#include <cstdlib>
#include <fstream>

#include "fake_store.h"
#include "mesh_rig.h"

namespace mesh_rig {

// Directory of the running test program, where bbsidecar is built as well.
inline std::string
BuildDirectory()
{
    char path[PATH_MAX] = "";
    ssize_t size = readlink("/proc/self/exe", path, sizeof(path) - 1);
    std::string text(path, size > 0 ? static_cast<size_t>(size) : 0);
    return text.substr(0, text.rfind('/'));
}

// One node, whose process can be stopped and started again while the target
// keeps running.
class SidecarProcess {
  public:
    // settings: further lines of the settings file.
    SidecarProcess(Loop *loop, FakeStore *store,
                   const std::string &store_address,
                   const std::string &name = "n1",
                   const std::string &version = "v1",
                   const std::string &settings = "")
        : loop_(loop), store_(store), name_(name), version_(version),
          target(loop)
    {
        char directory[] = "/tmp/bbsidecar-XXXXXX";
        directory_ = mkdtemp(directory);
        callers = FreeAddress();
        announcements = FreeAddress();
        std::string forwarded = FreeAddress();
        admin_ = FreeAddress();
        std::ofstream out(SettingsPath());
        out << "[node]\nname = \"" << name
            << "\"\ndata_centre = \"a\"\nservice = \"one\""
            << "\ntarget_address = \"" << target.address
            << "\"\n[listen]\ncallers = \"" << callers << "\"\nforwarded = \""
            << forwarded << "\"\nadmin = \"" << admin_
            << "\"\nannouncements = \"" << announcements
            << "\"\n[platform]\naddress = \"" << store_address
            << "\"\n[limits]\nshutdown_s = 6\nrepeat_ratio = 0.2\n"
            << "repeat_extra = 60\n"
            << settings;
        out.close();
        Start();
    }
    ~SidecarProcess()
    {
        if (pid > 0) {
            Signal(SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        unlink(SettingsPath().c_str());
        unlink(LogPath().c_str());
        rmdir(directory_.c_str());
    }
    void Start()
    {
        std::string program = BuildDirectory() + "/bbsidecar";
        pid = fork();
        if (pid == 0) {
            int fd =
                open(LogPath().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, STDOUT_FILENO);
            dup2(fd, STDERR_FILENO);
            execl(program.c_str(), "bbsidecar", "--settings",
                  SettingsPath().c_str(), nullptr);
            _exit(127);
        }
    }
    void Signal(int number)
    {
        kill(pid, number);
    }
    // Returns false if the process has not ended within limit_s.
    bool WaitForEnd(double limit_s = 10.0)
    {
        return loop_->RunUntil(
            [&] {
                if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid) {
                    pid = -1;
                }
                return pid < 0;
            },
            limit_s);
    }
    // Sends a heartbeat of the target; state is ready or draining. Returns the
    // status of the response, empty without one.
    std::string SendHeartbeat(const std::string &id, int sequence,
                              const std::string &state = "ready",
                              int64_t born_ms = 1000)
    {
        std::string body =
            "{\"service\":\"one\",\"address\":\"" + target.address +
            "\",\"zone\":\"a\",\"version\":\"" + version_ +
            "\",\"slots\":8,\"state\":\"" + state +
            "\",\"cold_left_s\":0,\"sequence\":" + std::to_string(sequence) +
            ",\"born\":" + std::to_string(born_ms) + "}";
        return Announce("PUT", id, body);
    }
    std::string SendLeave(const std::string &id)
    {
        return Announce("DELETE", id, "");
    }
    // Repeats a leave as targets do until it is acknowledged. Returns false if
    // it is not within limit_s.
    bool LeaveAcknowledged(const std::string &id, double limit_s = 5.0)
    {
        ev_tstamp end = ev_time() + limit_s;
        while (ev_time() < end) {
            if (SendLeave(id) == "200") {
                return true;
            }
            loop_->RunFor(0.05);
        }
        return false;
    }
    // Waits until the process accepts heartbeats.
    bool IsUp(double limit_s = 5.0)
    {
        ev_tstamp end = ev_time() + limit_s;
        while (ev_time() < end) {
            if (Announce("GET", "", "") == "404") {
                return true;
            }
            loop_->RunFor(0.02);
        }
        return false;
    }
    // Waits until the process has a configuration; without one it refuses all
    // calls. Heartbeats are accepted, and the record is written, before that.
    bool HasConfig(double limit_s = 5.0)
    {
        ev_tstamp end = ev_time() + limit_s;
        while (ev_time() < end) {
            if (Send(admin_, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") ==
                "200") {
                return true;
            }
            loop_->RunFor(0.02);
        }
        return false;
    }
    // Sends a call as a caller of the VM does and returns its status.
    std::string Call(const std::string &path)
    {
        return Send(callers, "GET " + path +
                                 " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: c1"
                                 "\r\nX-Deadline-Ms: 1000\r\n\r\n");
    }
    // Value of the node's row in the store, empty without a row.
    std::string Record() const
    {
        auto found = store_->rows.find("burdockbarrow-nodes/" + name_);
        return found == store_->rows.end() || found->second.is_removed
                   ? ""
                   : found->second.value;
    }
    bool RecordHas(const std::string &text) const
    {
        return Record().find(text) != std::string::npos;
    }
    std::string Log() const
    {
        std::ifstream in(LogPath());
        return std::string(std::istreambuf_iterator<char>(in), {});
    }

  private:
    std::string SettingsPath() const
    {
        return directory_ + "/settings.toml";
    }
    std::string LogPath() const
    {
        return directory_ + "/log";
    }
    std::string Announce(const std::string &method, const std::string &id,
                         const std::string &body)
    {
        return Send(announcements,
                    method + " /v1/instances/" + id +
                        " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    std::string Send(const std::string &address, const std::string &request)
    {
        Connection connection(loop_, BbH1_Connect(address.c_str()));
        connection.Send(request);
        loop_->RunUntil(
            [&] {
                return connection.is_closed ||
                       connection.received.find("\r\n\r\n") !=
                           std::string::npos;
            },
            3.0);
        return Status(connection.received);
    }
    Loop *loop_;
    FakeStore *store_;
    std::string name_, version_, directory_, admin_;

  public:
    Target target;
    std::string callers, announcements;
    pid_t pid = -1;
};

} // namespace mesh_rig

#endif
