// Soak: targets, which run calls and announce themselves to their nodes.
#include "soak.h"

namespace soak {

void
Soak::OnAccept(struct ev_loop *, ev_io *io, int)
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

void
Soak::HandleRequest(SoakTarget *target, Connection *connection)
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
    if (options_.has_accounts) {
        CheckAccountRun(target, id, head);
    }
    if (!options_.rollout.empty()) {
        CheckRolloutRun(target, id);
        if (options_.rollout == "bad" && target->version == "v2" &&
            RandomFraction() < 0.4) {
            fault = kStatus500;
            bad_responses_++;
        }
    }
    if (unsafe_ids_.count(id) > 0 && run_counts_[id] > 1) {
        AddViolation("call " + id + " must run at most once and ran again");
    }
    if (refused_unsafe_ids_.count(id) > 0) {
        AddViolation("call " + id + " got status 503 and ran later");
    }
    work_list_.push_back({target, connection, id,
                          Now() + 0.005 + 0.05 * RandomFraction(), fault});
}

std::string
Soak::ResponseBody(const std::string &id)
{
    std::string body;
    for (int i = 0; i < 40; i++) {
        body += id + "/" + std::to_string(i) + ";";
    }
    return body;
}

void
Soak::SendResponse(const Work &work)
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

std::string
Soak::FormatHeartbeat(const SoakTarget &target, const std::string &state)
{
    return "{\"service\":\"" + target.service + "\",\"address\":\"" +
           target.address + "\",\"zone\":\"a\",\"version\":\"" +
           target.version + "\",\"slots\":8,\"state\":\"" + state +
           "\",\"cold_left_s\":0,\"sequence\":" +
           std::to_string(target.sequence) +
           ",\"born\":" + std::to_string(1000 + target.generation) + "}";
}

void
Soak::Announce(SoakNode *node, const std::string &method,
               const std::string &body, bool is_leaving)
{
    SoakTarget &target = node->target;
    auto connection = std::make_unique<Connection>(
        &loop_, BbH1_Connect(target.announce_address.c_str()));
    int generation = target.generation;
    connection->on_bytes = [this, node, is_leaving,
                            generation](Connection *w) {
        SoakTarget &t = node->target;
        if (is_leaving && generation == t.generation &&
            t.drain_acknowledged_at <= 0 && Status(w->received) == "200") {
            t.drain_acknowledged_at = Now();
        }
    };
    connection->Send(method + " /v1/instances/" + target.Id() +
                     " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
    announcement_connections_.push_back(std::move(connection));
    if (announcement_connections_.size() > 200) {
        announcement_connections_.erase(announcement_connections_.begin(),
                                        announcement_connections_.begin() +
                                            100);
    }
}

void
Soak::SendAnnouncement(SoakNode *node)
{
    SoakTarget &target = node->target;
    bool is_stopped = IsOld(&target)
                          ? rollout_state_ == "completed"
                          : target.version == "v2" && rollout_ordered_at_ <= 0;

    if (is_stopped) {
        return;
    }
    if (!target.has_left) {
        target.sequence++;
        std::string state = target.is_draining ? "draining" : "ready";
        Announce(node, "PUT", FormatHeartbeat(target, state),
                 target.is_draining);
    }
    else if (target.drain_acknowledged_at <= 0) {
        Announce(node, "DELETE", "", true);
    }
}

} // namespace soak
