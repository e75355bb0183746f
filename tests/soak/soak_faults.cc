// Soak: injected faults.
#include "soak.h"

#include <signal.h>

#include <algorithm>

namespace soak {

SoakNode *
Soak::RandomNode()
{
    return nodes_[static_cast<size_t>(RandomBelow(options_.nodes))].get();
}

void
Soak::InjectFault()
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

void
Soak::InjectConnectionFault()
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
        auto &node = nodes_[static_cast<size_t>((first + i) % options_.nodes)];
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

void
Soak::DrainAndReplaceTarget(SoakNode *node)
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

void
Soak::StartNextGeneration(SoakNode *node)
{
    SoakTarget &target = node->target;
    target.generation++;
    target.sequence = 0;
    target.is_draining = false;
    target.drain_acknowledged_at = 0;
    SendAnnouncement(node);
}

} // namespace soak
