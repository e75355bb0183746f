// Soak: the roll-out of a version. The targets of the new one start at the
// order; those of the old one stop without draining at "completed".
#include "soak.h"

namespace soak {

bool
Soak::IsOld(const SoakTarget *target) const
{
    return !options_.rollout.empty() && target->service == "one" &&
           target->version == "v1";
}

std::string
Soak::RolloutState()
{
    auto row = store_.rows.find("status/rollout/one");
    std::string state;

    for (const char *name : {"running", "completed", "rolled_back"}) {
        if (row != store_.rows.end() &&
            row->second.value.find(name) != std::string::npos) {
            state = name;
        }
    }
    return state;
}

void
Soak::StepRollout()
{
    if (rollout_ordered_at_ <= 0 && Now() >= kRolloutAt) {
        LogFault("order of the roll-out, a %s version",
                 options_.rollout.c_str());
        rollout_ordered_at_ = Now();
        store_.Put("op", "rollout/one",
                   "{\"service\":\"one\",\"to\":\"v2\",\"duration_s\":" +
                       std::to_string(kRolloutDuration) + "}");
    }
    std::string state = RolloutState();
    if (state == rollout_state_) {
        return;
    }
    LogFault("roll-out: %s", state.c_str());
    if (rollout_ended_at_ > 0) {
        AddViolation("roll-out " + rollout_state_ + " and then " + state);
    }
    rollout_state_ = state;
    rollout_ended_at_ = state == "running" ? 0 : Now();
    if (state != "completed") {
        return;
    }
    for (const auto &work : work_list_) {
        if (IsOld(work.target)) {
            AddViolation("call " + work.id + " was running at " +
                         work.target->Id() +
                         " when the roll-out was completed");
        }
    }
}

void
Soak::CheckRolloutRun(const SoakTarget *target, const std::string &id)
{
    if (target->service != "one" || rollout_ordered_at_ <= 0) {
        return;
    }
    if (IsOld(target)) {
        old_runs_++;
        if (RolloutState() == "completed") {
            AddViolation("call " + id + " ran at the old target " +
                         target->Id() + " of a completed roll-out");
        }
        return;
    }
    new_runs_++;
    if (options_.rollout != "bad") {
        return;
    }
    if (bad_responses_ >= kBadResponses && last_allowed_new_run_ <= 0) {
        last_allowed_new_run_ = Now() + kRollbackBound;
    }
    if (last_allowed_new_run_ > 0 && Now() > last_allowed_new_run_) {
        AddViolation("call " + id + " ran at the bad version too late");
    }
}

void
Soak::CheckRolloutAtEnd()
{
    bool is_good = options_.rollout == "good";
    double share = kExposeShare * (old_runs_ + new_runs_) + kExposeExtra;

    if (rollout_state_ != (is_good ? "completed" : "rolled_back") ||
        rollout_ended_at_ > rollout_ordered_at_ + kRolloutDuration) {
        AddViolation("the roll-out of a " + options_.rollout +
                     " version is in state \"" + rollout_state_ + "\" since " +
                     std::to_string(rollout_ended_at_));
    }
    if (!is_good && new_runs_ > share) {
        AddViolation(std::to_string(new_runs_) +
                     " runs at the bad version of " +
                     std::to_string(old_runs_ + new_runs_));
    }
}

} // namespace soak
