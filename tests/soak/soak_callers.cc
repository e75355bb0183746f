// Soak: callers and the checks of what they observe.
#include "soak.h"

#include <algorithm>

namespace soak {

void
Soak::SendCall(SoakNode *node, const std::string &route, bool is_unsafe,
               int marker, const CallKey &key)
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
    if (options_.has_accounts) {
        CallKey &sent = call_keys_[call->id] = key;
        sent.node = node;
        sent.pid = node->pid;
    }
    int fd = BbH1_Connect(node->callers.c_str());
    if (fd < 0) {
        return;
    }
    call->connection = std::make_unique<Connection>(&loop_, fd);
    std::string body =
        is_unsafe ? std::string(RandomBelow(20) == 0 ? 60000 : 200, 'x') : "";
    std::string text = std::string(is_unsafe ? "POST" : "GET") + " /" + route +
                       "/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + call->id +
                       "\r\nX-Deadline-Ms: 2500\r\n";
    if (options_.has_accounts) {
        text += "X-Tenant: forged\r\n";
        text +=
            key.kind == CallKey::kNoKey ? "" : "X-Key: " + key.Text() + "\r\n";
    }
    if (is_unsafe) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    pending_.push_back({call.get(), text + "\r\n" + body});
    calls_.push_back(std::move(call));
}

void
Soak::CheckCall(Call *call)
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
            AddViolation("call " + call->id + " has no response after 6 s");
            call->is_done = true;
        }
        return;
    }
    call->is_done = true;
    call->status = is_complete ? Status(bytes) : "cut";
    if (options_.has_accounts) {
        CheckAccountCall(call);
    }
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
            AddViolation("call " + call->id + " got status 200 and never ran");
        }
    }
    else if (call->status == "503") {
        refused_++;
        if (call->is_unsafe && run_counts_[call->id] > 0) {
            AddViolation("call " + call->id + " got status 503 and had run");
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

bool
Soak::WasOnlyTerminated(const Call *call) const
{
    return killed_pids_.count(call->pid) == 0 &&
           paused_pids_.count(call->pid) == 0;
}

bool
Soak::IsUndisturbed(const SoakNode *node) const
{
    return node->pid > 0 && node->paused_until <= 0 && node->sigterm_at <= 0 &&
           Now() - node->disturbed_at > kUndisturbedAfter;
}

void
Soak::CheckProbe(Call *call)
{
    SoakNode *node = call->node;
    if (node->pid != call->pid) {
        return;
    }
    if (call->status == "200" || call->status == "503" ||
        call->status == "502" || call->status == "504") {
        if (call->status == "200") {
            node->newest_marker = std::max(node->newest_marker, call->marker);
        }
        return;
    }
    if (call->status != "404") {
        return;
    }
    bool is_history_recent = Now() - history_dropped_at_ <= kUndisturbedAfter;
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

} // namespace soak
