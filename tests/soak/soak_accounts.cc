// Soak: client accounts, their keys and a quota.
//
// Version N holds a constant key of each account and the rotating keys that
// versions N-1 and N added.
#include "soak.h"

#include <algorithm>

namespace soak {

static const char *const kQuotaAccount = "metered";
static const char *const kAccounts[] = {"acme", "bolt", kQuotaAccount};
const int kVersionsOfKey = 2;

std::string
CallKey::Text() const
{
    switch (kind) {
    case kConstant:
        return "key-" + account;
    case kRotating:
        return "key-" + account + "-" + std::to_string(version);
    case kNeverHeld:
        return "key-" + account + "-unknown";
    default:
        return "";
    }
}

std::string
Soak::FormatAccounts(int version)
{
    std::string text;

    for (const char *name : kAccounts) {
        CallKey key;
        key.account = name;
        key.kind = CallKey::kConstant;
        text += std::string(text.empty() ? "" : ",") + "{\"name\":\"" + name +
                "\",\"api_keys\":[\"" + key.Text() + "\"";
        key.kind = CallKey::kRotating;
        for (int n = std::max(1, version - kVersionsOfKey + 1); n <= version;
             n++) {
            key.version = n;
            text += ",\"" + key.Text() + "\"";
        }
        text += "],\"priority\":1";
        if (name == kQuotaAccount) {
            text += ",\"rate_per_s\":" + std::to_string(kQuotaRate) +
                    ",\"burst\":" + std::to_string(kQuotaBurst);
        }
        text += "}";
    }
    return "\"tenants\":[" + text + "],";
}

void
Soak::SendAccountCall(SoakNode *node)
{
    static const char *const routes[] = {"safe", "once", "two", "public"};
    int route = RandomBelow(4, &account_random_);
    int account = RandomBelow(4, &account_random_);
    int kind = RandomBelow(8, &account_random_);
    int age = RandomBelow(kVersionsOfKey + 3, &account_random_);
    CallKey key;

    if (route != 3) {
        // The last account gets half of the calls with a key.
        key.account = kAccounts[std::min(account, 2)];
        key.kind = kind == 0   ? CallKey::kNeverHeld
                   : kind <= 4 ? CallKey::kRotating
                               : CallKey::kConstant;
        key.version = std::max(1, version_ - age);
    }
    SendCall(node, routes[route], route != 0, 0, key);
}

bool
Soak::MustHaveVersion(int version, const SoakNode *node, double at) const
{
    auto put = config_put_at_.find(version);
    double bound = at - history_dropped_at_ <= kUndisturbedAfter
                       ? kConvergeBoundWithoutHistory
                       : kConvergeBound;

    return put != config_put_at_.end() && put->second + bound < at &&
           IsUndisturbed(node) && at - store_disturbed_at_ > kUndisturbedAfter;
}

void
Soak::CheckAccountCall(const Call *call)
{
    const CallKey &key = call_keys_[call->id];
    std::string text = "call " + call->id + " to " + call->node->name +
                       " with \"" + key.Text() + "\" got status " +
                       call->status;

    if (call->status == "401") {
        unauthorized_++;
        bool is_dropped = key.version + kVersionsOfKey <= version_;
        bool is_held =
            key.kind == CallKey::kNoKey || key.kind == CallKey::kConstant ||
            (key.kind == CallKey::kRotating && !is_dropped &&
             call->pid == call->node->pid &&
             MustHaveVersion(key.version, call->node, call->sent_at));
        if (is_held) {
            AddViolation(text + " although its key is held");
        }
    }
    else if (call->status == "429") {
        over_quota_++;
        if (key.account != kQuotaAccount) {
            AddViolation(text + " without a quota");
        }
    }
    else {
        return;
    }
    if (run_counts_[call->id] > 0) {
        AddViolation(text + " and had run");
    }
    if (call->is_unsafe) {
        refused_unsafe_ids_.insert(call->id);
    }
}

void
Soak::CheckAccountRun(const SoakTarget *target, const std::string &id,
                      const std::string &head)
{
    const CallKey &key = call_keys_[id];
    std::string text =
        "call " + id + " with \"" + key.Text() + "\" ran at " + target->Id();

    if (HeaderField(head, "X-Tenant") != key.account) {
        AddViolation(text + " with account \"" +
                     HeaderField(head, "X-Tenant") + "\"");
    }
    if (!HeaderField(head, "X-Key").empty()) {
        AddViolation(text + " and its key was forwarded");
    }
    if (key.kind == CallKey::kNeverHeld) {
        AddViolation(text + ", held by no version");
    }
    auto owner = std::find_if(nodes_.begin(), nodes_.end(), [&](auto &node) {
        return &node->target == target;
    });
    if (key.kind == CallKey::kRotating && key.node->pid == key.pid &&
        MustHaveVersion(key.version + kVersionsOfKey, key.node, Now()) &&
        IsUndisturbed(owner->get())) {
        AddViolation(text + ", sent to " + key.node->name +
                     ", after its key was dropped");
    }
    if (key.account == kQuotaAccount && run_counts_[id] == 1) {
        quota_runs_.push_back(Now());
        while (quota_runs_.front() < Now() - kQuotaWindow) {
            quota_runs_.pop_front();
        }
        if (quota_runs_.size() > quota_most_) {
            quota_most_ = quota_runs_.size();
            quota_most_at_ = Now();
        }
    }
}

} // namespace soak
