// Scenario of the fault matrix for configuration, membership and processes.
//
// Three data centres of three nodes in virtual time: each node has its
// protocol, stage, reader lease, reader and registry and a target beside it;
// bb_store is the platform and operators work by bb_accept.
#include "fault_matrix.h"
#include "peer_net.h"

#include <algorithm>

#include "bb_accept.h"
#include "bb_backoff.h"
#include "bb_error.h"
#include "bb_lease.h"
#include "bb_reader.h"
#include "bb_registry.h"
#include "bb_store.h"

namespace fault_matrix {

namespace {

using peer_net::Net;
using peer_net::Node;
using Json = std::shared_ptr<json_t>;
// The part of a request at the platform; returns error and answer.
using Apply = std::function<std::pair<int, json_t *>()>;
using Answer = std::function<void(int error, json_t *answer)>;

const int kCentres = 3, kPerCentre = 3, kNodes = kCentres * kPerCentre;
const int kOperator = -1;                 // asks the platform from outside
const int64_t kWallClock = 1796100000000; // in December 2026
const char *const kMonth = "2026-12";
const int64_t kPlatformTimeout = 2000, kPollMs = 500;
const int64_t kInForceMs = 6000; // G9
const int64_t kLeaveMs = 3000;   // G7
const char *const kService = "s";

// What a VM has beside the node's protocol and stage. The target outlives
// the node.
struct Vm {
    bb_lease_t *lease = nullptr;
    bb_reader_t *reader = nullptr;
    bb_registry_t *registry = nullptr;
    bool is_draining = false;
    int64_t peers_ms = 0; // when the lease rows are read next
    int peer_failures = 0;
    bb_target_state_t target = BB_TARGET_READY;
    bool target_lies = false;
    int64_t announce_ms = 0, left_ms = INT64_MAX;
};

struct Operator {
    std::string proposal, write_id;
    int64_t accepted_ms = -1;
};

struct World {
    World(Step step, uint32_t seed)
        : net(seed, seed % 2 ? BB_SPREAD_PUSH : BB_SPREAD_ADVERTISE),
          store(BbStore_New())
    {
        net.hooks.on_start = [this](Node &node) { StartVm(node); };
        net.hooks.on_stop = [this](Node &node) { StopVm(node); };
        net.hooks.on_tick = [this](Node &node) { TickVm(node); };
        net.hooks.on_swap = [this](Node &node) { NoteSwap(node); };
        net.hooks.before_delivery = [this](Node &from, Node &to) {
            if (net.Version(from.index) == head && head > base && to.is_up &&
                net.Version(to.index) < head) {
                Happens(VERIFY, to.index);
            }
        };
        net.hooks.on_violation = [this](const std::string &text) {
            violations.push_back(text);
        };
        if (step == FORGET) {
            net.timing.remove_after_ms = 8000; // 60 s take too long
        }
        SetOwner();
        for (int i = 0; i < kNodes; i++) {
            net.Add("dc" + std::to_string(i / kPerCentre), Seeds(i));
        }
        StartOperator();
        net.RunUntil(8000, [this] { return net.AllHaveVersion(1); });
        Settle();
    }
    ~World()
    {
        for (auto &node : net.nodes) {
            net.Stop(node->index);
        }
        BbStore_Free(store);
    }

    Violations RunCell(Step step, Fault fault, const Options &options);

    Net net;
    bb_store_t *store;
    Vm vms[kNodes];
    Violations violations;

  private:
    static std::vector<std::string> Seeds(int index)
    {
        std::vector<std::string> seeds;
        for (int i = 0; i < kNodes; i++) {
            if (i % kPerCentre == 0 || i / kPerCentre == index / kPerCentre) {
                seeds.push_back("10.0.0." + std::to_string(i + 1) + ":7000");
            }
        }
        return seeds;
    }
    int Below(int bound)
    {
        return BbRandom_Below(net.random, bound);
    }
    void After(int64_t delay_ms, std::function<void()> action)
    {
        net.At(net.now + delay_ms, std::move(action));
    }
    void Violation(const std::string &text)
    {
        violations.push_back(text + " at " + std::to_string(net.now));
    }

    // ---- platform ----

    int64_t PlatformNow() const
    {
        return net.now + kWallClock;
    }
    bool IsCut(int index) const
    {
        auto found = platform_cuts.find(index / kPerCentre);
        return index != kOperator && found != platform_cuts.end() &&
               net.now < found->second;
    }
    // Sends a request; its answer reaches the asker if that still runs.
    void Ask(int index, bool is_write, Apply apply, Answer answer)
    {
        int generation = index == kOperator ? 0 : net.nodes[index]->generation;
        int64_t delay = net.now < slow_until ? 800 : 5;
        int64_t silences = silence_count;
        auto reply = [=](int64_t after, int error, Json json) {
            After(after,
                  [=] { Deliver(index, generation, answer, error, json); });
        };
        if (IsCut(index)) {
            reply(kPlatformTimeout / 2, BB_ERR_UNAVAILABLE, nullptr);
            return;
        }
        After(delay, [=] {
            bool is_silent = silences != silence_count;
            int lost = is_write ? BB_ERR_UNKNOWN : BB_ERR_UNAVAILABLE;
            if (is_silent && Below(2)) {
                reply(kPlatformTimeout, lost, nullptr); // request lost
                return;
            }
            if (net.now < out_until) {
                reply(delay, BB_ERR_UNAVAILABLE, nullptr);
                return;
            }
            auto result = apply();
            Json json(result.second, json_decref);
            bool is_lost = is_write && result.first == 0 && lost_answers > 0;
            lost_answers -= is_lost;
            if (is_lost || is_silent || IsCut(index)) {
                reply(kPlatformTimeout, lost, nullptr);
            }
            else if (net.now < corrupt_until && Below(2)) {
                reply(delay, is_write ? lost : BB_ERR_PARSE, nullptr);
            }
            else {
                reply(delay, result.first, json);
            }
        });
    }
    void Deliver(int index, int generation, const Answer &answer, int error,
                 const Json &json)
    {
        if (index != kOperator) {
            Node &node = *net.nodes[index];
            if (node.generation != generation) {
                return;
            }
            if (node.paused_until > net.now) {
                net.At(node.paused_until, [=] {
                    Deliver(index, generation, answer, error, json);
                });
                return;
            }
        }
        answer(error, json.get());
        if (index != kOperator && net.nodes[index]->generation == generation) {
            RunSource(index);
        }
    }
    std::pair<int, json_t *> Commit(json_t *transaction)
    {
        json_t *answer = nullptr;
        int error = BbStore_Commit(store, transaction, PlatformNow(), &answer);
        json_t *row = BbStore_GetRow(store, "head", "config", PlatformNow());
        bb_release_t release;
        if (BbRelease_FromJson(json_object_get(row, "value"), &release) == 0 &&
            release.version > head) {
            head = release.version;
            head_ms = net.now;
            net.digests[head] = release.digest;
        }
        json_decref(row);
        return {error, answer};
    }
    Apply GetRow(const std::string &table, const std::string &key)
    {
        return [=]() -> std::pair<int, json_t *> {
            json_t *row = BbStore_GetRow(store, table.c_str(), key.c_str(),
                                         PlatformNow());
            return {row != nullptr ? 0 : BB_ERR_NOT_FOUND, row};
        };
    }
    Apply ListLeases()
    {
        return [=]() -> std::pair<int, json_t *> {
            return {0,
                    BbStore_ListRows(store, "leases", nullptr, PlatformNow())};
        };
    }
    void SetOwner()
    {
        char key[BB_KEY_HEX_LENGTH + 1];
        bb_change_t change;
        sodium_bin2hex(key, sizeof(key), net.owner.key, 32);
        BbAccept_MakeSetOwner(kMonth, {nullptr, 0}, net.owner.name, key,
                              NewWriteId().c_str(), &change);
        json_decref(Commit(change.transaction).second);
        BbAccept_FreeChange(&change);
    }

    // ---- VMs ----

    void StartVm(Node &node)
    {
        Vm &vm = vms[node.index];
        std::string id =
            "n" + std::to_string(node.generation * 100 + node.index);
        bb_lease_options_t lease = {node.data_centre.c_str(), id.c_str(),
                                    node.address.c_str(), node.random};
        bb_reader_options_t reader = {kPollMs, 0, node.random};
        bb_registry_options_t registry = {};
        registry.on_change = NoteTarget;
        registry.arg = &node;
        vm.lease = BbLease_New(&lease);
        vm.reader = BbReader_New(&reader);
        vm.registry = BbRegistry_New(&registry);
        vm.is_draining = false;
        vm.peers_ms = net.now + Below(2000);
        vm.peer_failures = 0;
        vm.announce_ms = net.now;
        int index = node.index;
        After(0, [=] { Happens(NODE_STARTS, index); });
    }
    void StopVm(Node &node)
    {
        Vm &vm = vms[node.index];
        BbLease_Free(vm.lease);
        BbReader_Free(vm.reader);
        BbRegistry_Free(vm.registry);
    }
    static void NoteTarget(const bb_announcement_t *target, unsigned int,
                           void *arg)
    {
        Node *node = static_cast<Node *>(arg);
        BbProtocol_SetTarget(node->protocol, target->service, target->state,
                             target->slots, node->net->now);
    }
    void TickVm(Node &node)
    {
        Vm &vm = vms[node.index];
        int64_t now = net.now;
        if (vm.target != BB_TARGET_ABSENT && now >= vm.announce_ms) {
            Announce(node.index);
        }
        BbRegistry_Tick(vm.registry, now);
        CheckLeft(node);
        RunSource(node.index);
        if (armed == ACKNOWLEDGE && head > base) {
            for (int dc = 0; dc < kCentres; dc++) {
                if (net.AllHaveVersion(head, "dc" + std::to_string(dc))) {
                    Happens(ACKNOWLEDGE, node.index);
                }
            }
        }
        if (forgotten >= 0 &&
            forgotten / kPerCentre == node.index / kPerCentre &&
            !net.nodes[forgotten]->is_up &&
            BbMembers_FindAddress(BbProtocol_Members(node.protocol),
                                  net.nodes[forgotten]->address.c_str()) ==
                nullptr) {
            int index = node.index;
            After(0, [=] { Happens(FORGET, index); });
        }
    }
    void Announce(int index)
    {
        Vm &vm = vms[index];
        bb_announcement_t target = {};
        target.state = vm.target;
        target.slots = 18;
        target.connections = 120;
        strcpy(target.service, kService);
        strcpy(target.address, "10.0.0.1:80");
        if (vm.target_lies) {
            target.load = 1e9 * Below(2);
            target.slots = 1 + Below(BB_REGISTRY_MAX_SLOTS);
            target.state = Below(2) ? BB_TARGET_READY : BB_TARGET_STARTING;
        }
        vm.announce_ms = net.now + 1000;
        vm.left_ms = INT64_MAX;
        BbRegistry_Announce(vm.registry, &target, net.now);
        After(0, [=] { Happens(ANNOUNCE, index); });
    }
    void SetTarget(int index, bb_target_state_t state)
    {
        Vm &vm = vms[index];
        vm.target = state;
        vm.announce_ms = net.now;
        if (state == BB_TARGET_ABSENT) {
            vm.left_ms = net.now; // the leave message is lost
        }
    }
    // G7, once the node has had the chance to notice.
    void CheckLeft(const Node &node)
    {
        const Vm &vm = vms[node.index];
        const bb_member_t *self =
            BbMembers_Self(BbProtocol_Members(node.protocol));
        if (net.now - kLeaveMs < vm.left_ms) {
            return;
        }
        if (BbRegistry_Current(vm.registry)->state == BB_TARGET_READY ||
            self->target_state == BB_TARGET_READY) {
            Violation("G7, " + node.address + " offers its target " +
                      std::to_string(net.now - vm.left_ms) +
                      " ms after it left");
        }
    }
    void NoteSwap(Node &node)
    {
        int index = node.index;
        int64_t version = BbActiveConfig_GetVersion(node.active_config);
        if (version > base && ++swaps == 2) {
            After(0, [=] { Happens(SWAP, index); });
        }
    }

    // ---- versions from the platform, as bb_source_io does ----

    void RunSource(int index)
    {
        Vm &vm = vms[index];
        Node &node = *net.nodes[index];
        if (!node.is_up) {
            return;
        }
        if (net.now >= vm.peers_ms) {
            vm.peers_ms = INT64_MAX;
            Ask(index, false, ListLeases(), [=](int error, json_t *answer) {
                HandlePeers(index, error, answer);
            });
        }
        bool is_candidate =
            BbProtocol_IsGateway(node.protocol) && !vm.is_draining;
        BbLease_SetCandidate(vm.lease, is_candidate, net.now);
        BbReader_SetStandby(vm.reader, is_candidate, net.now);
        RunLease(index);
        RunReader(index);
    }
    void HandlePeers(int index, int error, json_t *answer)
    {
        Vm &vm = vms[index];
        size_t i;
        json_t *row;
        if (error != 0) {
            vm.peers_ms = net.now + BbBackoff_Next(&vm.peer_failures,
                                                   net.nodes[index]->random);
            return;
        }
        json_array_foreach (json_object_get(answer, "rows"), i, row) {
            std::string key = json_string_value(json_object_get(row, "key"));
            const char *address = json_string_value(json_object_get(
                json_object_get(row, "value"), "peer_address"));
            BbProtocol_AddSeeds(net.nodes[index]->protocol,
                                key.substr(0, key.find('/')).c_str(), &address,
                                1);
        }
    }
    void RunLease(int index)
    {
        Vm &vm = vms[index];
        bb_lease_action_t action;
        for (;;) {
            BbLease_Next(vm.lease, net.now, &action);
            switch (action.kind) {
            case BB_LEASE_WAIT:
                return;
            case BB_LEASE_START_READING:
            case BB_LEASE_STOP_READING:
                BbReader_SetActive(
                    vm.reader, action.kind == BB_LEASE_START_READING, net.now);
                break;
            case BB_LEASE_READ_ROWS:
                Ask(index, false, ListLeases(),
                    [=](int error, json_t *answer) {
                        BbLease_HandleRows(vms[index].lease, error, answer,
                                           net.now);
                    });
                break;
            case BB_LEASE_COMMIT:
                WriteLease(index, Json(action.transaction, json_decref));
                break;
            }
        }
    }
    void WriteLease(int index, const Json &transaction)
    {
        bool is_held = BbLease_IsHeld(vms[index].lease, net.now);
        bool is_draining = vms[index].is_draining;
        Ask(
            index, true,
            [=] {
                if (!is_draining) {
                    Happens(is_held ? RENEW : LEASE, index);
                }
                return Commit(transaction.get());
            },
            [=](int error, json_t *answer) {
                BbLease_HandleCommit(vms[index].lease, error, answer, net.now);
            });
    }
    void RunReader(int index)
    {
        Vm &vm = vms[index];
        bb_reader_action_t action;
        for (;;) {
            BbReader_Next(vm.reader, net.Version(index), net.now, &action);
            if (action.kind == BB_READER_WAIT) {
                return;
            }
            if (action.kind == BB_READER_FETCH_CONTENT) {
                Fetch(index, *action.release);
                continue;
            }
            Ask(index, false, GetRow("head", "config"),
                [=](int error, json_t *answer) {
                    bb_release_t release;
                    if (error == 0) {
                        error = BbRelease_FromJson(
                            json_object_get(answer, "value"), &release);
                    }
                    BbReader_HandleHead(vms[index].reader, error,
                                        error == 0 ? &release : nullptr,
                                        net.now);
                });
        }
    }
    void Fetch(int index, const bb_release_t &release)
    {
        std::string key = std::string("configs/") + release.digest;
        Ask(
            index, false,
            [=]() -> std::pair<int, json_t *> {
                Happens(READ, index);
                size_t size;
                const char *text =
                    BbStore_GetObject(store, key.c_str(), &size);
                return {text != nullptr ? 0 : BB_ERR_NOT_FOUND,
                        json_stringn(text, text != nullptr ? size : 0)};
            },
            [=](int error, json_t *answer) {
                TakeContent(index, release, error, answer);
            });
    }
    void TakeContent(int index, const bb_release_t &release, int error,
                     json_t *answer)
    {
        Node &node = *net.nodes[index];
        int generation = node.generation;
        if (error == 0) {
            std::string text(json_string_value(answer),
                             json_string_length(answer));
            Happens(STAGE, index);
            if (node.generation != generation) {
                return;
            }
            if (net.now < corrupt_until && Below(2)) {
                text[text.size() / 2] ^= 1;
            }
            bb_findings_t findings;
            BbFindings_Init(&findings);
            BbProtocol_OfferRelease(node.protocol, &release, text.data(),
                                    text.size(), &findings, net.now);
            BbFindings_Free(&findings);
            net.CheckNode(node);
            After(0, [=] { Happens(RELAY, index); });
        }
        BbReader_HandleContent(vms[index].reader, error, net.Version(index),
                               net.now);
    }

    // ---- operators ----

    std::string NewWriteId()
    {
        std::string digits = std::to_string(++write_count);
        return std::string(BB_WRITE_ID_HEX_LENGTH - digits.size(), '0') +
               digits;
    }
    void StartOperator()
    {
        operators.push_back(std::make_unique<Operator>());
        Edit(operators.back().get());
    }
    bool AreOperatorsDone() const
    {
        return std::all_of(operators.begin(), operators.end(),
                           [](auto &o) { return o->accepted_ms >= 0; });
    }
    // Reads a row, again after a failure; then is given NULL when absent.
    void Read(const std::string &table, const std::string &key,
              std::function<void(Json)> then)
    {
        Ask(kOperator, false, GetRow(table, key),
            [=](int error, json_t *answer) {
                if (error != 0 && error != BB_ERR_NOT_FOUND) {
                    After(300, [=] { Read(table, key, then); });
                    return;
                }
                then(Json(json_incref(answer), json_decref));
            });
    }
    static bb_row_t Row(const Json &answer)
    {
        return {json_object_get(answer.get(), "value"),
                json_integer_value(json_object_get(answer.get(), "revision"))};
    }
    static std::shared_ptr<bb_change_t> NewChange()
    {
        return std::shared_ptr<bb_change_t>(new bb_change_t(), [](auto *c) {
            BbAccept_FreeChange(c);
            delete c;
        });
    }
    // Sends a change until its effect is known.
    void Write(std::shared_ptr<bb_change_t> change, Step step,
               std::function<void(bb_commit_result_t)> then)
    {
        Ask(
            kOperator, true,
            [=] {
                Happens(step, kOperator);
                return Commit(change->transaction);
            },
            [=](int error, json_t *answer) {
                Settle(change, step, then,
                       BbAccept_EvaluateCommit(change.get(), error, answer));
            });
    }
    void Settle(std::shared_ptr<bb_change_t> change, Step step,
                std::function<void(bb_commit_result_t)> then,
                bb_commit_result_t commit_result)
    {
        switch (commit_result) {
        case BB_COMMIT_READ_BACK:
        case BB_COMMIT_UNKNOWN:
            Ask(kOperator, false, GetRow(change->table, change->key),
                [=](int error, json_t *answer) {
                    auto next =
                        BbAccept_EvaluateReadBack(change.get(), error, answer);
                    After(next == BB_COMMIT_UNKNOWN ? 300 : 0,
                          [=] { Settle(change, step, then, next); });
                });
            break;
        case BB_COMMIT_RETRY:
        case BB_COMMIT_UNAVAILABLE:
            After(300, [=] { Write(change, step, then); });
            break;
        default:
            then(commit_result);
        }
    }
    void Edit(Operator *o)
    {
        Read("routes", "r", [=](Json row) {
            auto change = NewChange();
            Json columns(json_pack("{s:s}", "pool", "p"), json_decref);
            bb_draft_edit_t draft = {"routes", "r", Row(row).revision,
                                     columns.get()};
            BbAccept_MakeDrafts(&draft, 1, NewWriteId().c_str(), change.get());
            Write(change, EDIT, [=](bb_commit_result_t commit_result) {
                commit_result == BB_COMMIT_DONE ? Propose(o) : Edit(o);
            });
        });
    }
    void Propose(Operator *o)
    {
        Read("head", "config", [=](Json row) {
            std::string text = net.MakeDocument(++document_count);
            char digest[BB_DIGEST_HEX_LENGTH + 1];
            BbConfig_ComputeDigest(text.data(), text.size(), digest);
            BbStore_PutObject(store,
                              (std::string("configs/") + digest).c_str(),
                              text.data(), text.size());
            auto change = NewChange();
            o->proposal = "p" + std::to_string(document_count);
            o->write_id = NewWriteId();
            std::string write_id = NewWriteId();
            bb_proposal_t proposal = {
                o->proposal.c_str(),  write_id.c_str(), digest,
                (int64_t)text.size(), Row(row),         PlatformNow()};
            BbAccept_MakePropose(&proposal, change.get());
            Write(change, PROPOSE, [=](bb_commit_result_t commit_result) {
                commit_result == BB_COMMIT_DONE ? Accept(o) : Propose(o);
            });
        });
    }
    void Accept(Operator *o)
    {
        Happens(ACCEPT, kOperator);
        Read("owners", kMonth, [=](Json owner) {
            Read("head", "config", [=](Json row) {
                Read("proposals", o->proposal,
                     [=](Json proposal) { Decide(o, owner, row, proposal); });
            });
        });
    }
    void Decide(Operator *o, const Json &owner, const Json &row,
                const Json &proposal)
    {
        auto change = NewChange();
        bb_decision_t decision = {
            PlatformNow(),       Row(owner),          Row(row),  Row(proposal),
            o->proposal.c_str(), o->write_id.c_str(), net.secret};
        bb_findings_t findings;
        BbFindings_Init(&findings);
        int error = BbAccept_MakeAccept(&decision, &findings, change.get());
        BbFindings_Free(&findings);
        if (error != 0) {
            if (error != BB_ERR_CONFLICT) {
                Violation(std::string("accept: ") + BbError_Name(error));
            }
            Propose(o); // another version came first: the edit is kept
            return;
        }
        Write(change, COMMIT, [=](bb_commit_result_t commit_result) {
            if (commit_result != BB_COMMIT_DONE) {
                Propose(o);
                return;
            }
            o->accepted_ms = net.now;
        });
    }
    // versions/N form one chain, and each acceptance is in it once.
    void CheckChain()
    {
        Json answer(
            BbStore_ListRows(store, "versions", nullptr, PlatformNow()),
            json_decref);
        std::map<std::string, int> seen;
        std::string digest;
        size_t i;
        json_t *row;
        json_array_foreach (json_object_get(answer.get(), "rows"), i, row) {
            bb_release_t release = {};
            BbRelease_FromJson(json_object_get(row, "value"), &release);
            if (release.version != (int64_t)i + 1 ||
                release.previous_digest != digest) {
                Violation("versions are no chain at " + std::to_string(i + 1));
            }
            digest = release.digest;
            seen[release.write_id]++;
        }
        for (auto &o : operators) {
            if (o->accepted_ms >= 0 && seen[o->write_id] != 1) {
                Violation("acceptance " + o->proposal + " is recorded " +
                          std::to_string(seen[o->write_id]) + " times");
            }
        }
        if ((int64_t)i != head || i != operators.size()) {
            Violation(std::to_string(operators.size()) + " acceptances, " +
                      std::to_string(i) + " versions, head " +
                      std::to_string(head));
        }
    }

    // ---- steps ----

    void Happens(Step step, int index)
    {
        if (armed == step) {
            armed = 0;
            on_step(index);
        }
    }
    // Brings the step about.
    void Trigger(Step step);
    void Inject(Fault fault, int index);
    void StopMany(std::vector<int> indexes, int64_t delay_ms,
                  int64_t spread_ms);
    void Restart(int index, int64_t clock_error_ms = 0);
    void DrainAndRestart(int index);
    int AnyHolder();
    int AnyUp(int preferred);
    void CutFor(int64_t duration_ms, int data_centre, bool out, bool in);
    void RefreshCuts();
    // Nothing is checked as healed before then.
    void Busy(int64_t duration_ms)
    {
        busy_until = std::max(busy_until, net.now + duration_ms);
    }
    void AwaitVersion(const char *when);
    void Settle();

    uint32_t armed = 0;
    std::function<void(int index)> on_step;
    int64_t base = 0; // head before the cell
    int64_t head = 0, head_ms = 0;
    int swaps = 0, forgotten = -1;
    int64_t busy_until = 0, silence_count = 0;
    int64_t out_until = 0, slow_until = 0, corrupt_until = 0;
    int lost_answers = 0;
    std::map<int, int64_t> platform_cuts; // data centre to end
    struct Cut {
        int data_centre;
        bool out, in;
        int64_t until;
    };
    std::vector<Cut> cuts;
    std::vector<std::unique_ptr<Operator>> operators;
    int write_count = 0, document_count = 0;
};

// ---- faults ----

int
World::AnyHolder()
{
    for (int i = 0; i < kNodes; i++) {
        if (net.nodes[i]->is_up && BbLease_IsHeld(vms[i].lease, net.now)) {
            return i;
        }
    }
    return -1;
}

int
World::AnyUp(int preferred)
{
    auto up = net.RunningNodes();
    if (std::count(up.begin(), up.end(), preferred) || up.empty()) {
        return preferred;
    }
    return up[(size_t)Below((int)up.size())];
}

void
World::Restart(int index, int64_t clock_error_ms)
{
    if (!net.nodes[index]->is_up) {
        net.nodes[index]->paused_until = 0;
        net.Start(index, Seeds(index), kWallClock + net.now + clock_error_ms);
    }
}

void
World::StopMany(std::vector<int> indexes, int64_t delay_ms, int64_t spread_ms)
{
    for (int index : indexes) {
        net.Stop(index);
        After(delay_ms, [=] { Restart(index); });
        delay_ms += spread_ms;
    }
    Busy(delay_ms);
}

void
World::DrainAndRestart(int index)
{
    Node &node = *net.nodes[index];
    int generation = node.generation;
    Busy(1200);
    vms[index].is_draining = true;
    BbProtocol_Drain(node.protocol, net.now);
    After(0, [=] { Happens(NODE_DRAINS, index); });
    After(700, [=] {
        if (net.nodes[index]->generation == generation) {
            BbProtocol_Leave(net.nodes[index]->protocol, net.now);
        }
    });
    After(800, [=] {
        if (net.nodes[index]->generation == generation) {
            net.Stop(index);
            Happens(NODE_EXITS, index);
        }
    });
    After(1200, [=] { Restart(index); });
}

void
World::RefreshCuts()
{
    net.cuts.clear();
    for (const Cut &cut : cuts) {
        for (int i = 0; i < kNodes && net.now < cut.until; i++) {
            for (int j = 0; j < kNodes; j++) {
                bool is_from = i / kPerCentre == cut.data_centre;
                bool is_to = j / kPerCentre == cut.data_centre;
                if (is_from != is_to && (is_from ? cut.out : cut.in)) {
                    net.Cut(i, j);
                }
            }
        }
    }
}

void
World::CutFor(int64_t duration_ms, int data_centre, bool out, bool in)
{
    cuts.push_back({data_centre, out, in, net.now + duration_ms});
    RefreshCuts();
    After(duration_ms, [this] { RefreshCuts(); });
    Busy(duration_ms);
}

void
World::Inject(Fault fault, int index)
{
    const int64_t century_ms = INT64_C(100) * 365 * 86400 * 1000;
    bool is_odd = Below(2);
    auto until = [this](int64_t *end, int64_t duration_ms) {
        *end = std::max(*end, net.now + duration_ms);
        Busy(duration_ms);
    };
    index = AnyUp(index);
    if (index < 0) {
        index = Below(kNodes);
    }
    int data_centre = index / kPerCentre;
    std::vector<int> some;
    for (int i = 0; i < kNodes; i++) {
        // Node 0 of the ring beginning at the involved node is taken too.
        if ((i + kNodes - index) % kNodes % 2 == 0) {
            some.push_back(i);
        }
    }
    switch (fault) {
    case NO_FAULT:
    case TARGET_SHEDS:
        break;
    case HERD_DEATH:
        StopMany(some, 2000, 500);
        break;
    case RECONNECT_STORM:
        StopMany({0, 1, 2, 3, 4, 5, 6, 7, 8}, 500, 0);
        break;
    case PLATFORM_OUTAGE:
        until(&out_until, is_odd ? 3000 : 12000);
        break;
    case PLATFORM_SLOW:
        until(&slow_until, 4000);
        break;
    case LOST_ANSWER:
        lost_answers++;
        break;
    case LEASE_LAPSED:
        if (!net.nodes[index]->is_up ||
            !BbLease_IsHeld(vms[index].lease, net.now)) {
            index = AnyHolder();
        }
        if (index >= 0) {
            net.Pause(index, BB_LEASE_MS + 500);
            Busy(BB_LEASE_MS + 500);
        }
        break;
    case OPERATOR_RACE:
        StartOperator();
        break;
    case CROSSED_UPDATES:
        net.jitter_ms = 400;
        net.duplicate_rate = 0.3;
        StartOperator();
        After(3000, [this] { net.jitter_ms = 0, net.duplicate_rate = 0; });
        Busy(3000);
        break;
    case SILENT_CONNECTION:
        net.SilenceAllConnections();
        silence_count++;
        Busy(1);
        break;
    case CUT_ONE_WAY:
        CutFor(5000, data_centre, is_odd, !is_odd);
        break;
    case CUT_BOTH_WAYS:
        CutFor(5000, data_centre, true, true);
        until(&platform_cuts[data_centre], 5000);
        break;
    case CUT_PLATFORM:
        until(&platform_cuts[data_centre], 5000);
        break;
    case NODE_REPLACED:
        StopMany({index}, 300, 0);
        break;
    case TARGET_DRAINS:
        SetTarget(index, BB_TARGET_DRAINING);
        After(1000, [=] { SetTarget(index, BB_TARGET_ABSENT); });
        After(5000, [=] { SetTarget(index, BB_TARGET_READY); });
        Busy(5000);
        break;
    case TARGET_COLD:
        SetTarget(index, BB_TARGET_STARTING);
        After(1500, [=] { SetTarget(index, BB_TARGET_READY); });
        Busy(1500);
        break;
    case TARGET_LIES:
        vms[index].target_lies = true;
        After(2500, [=] { SetTarget(index, BB_TARGET_ABSENT); });
        After(6000, [=] {
            vms[index].target_lies = false;
            SetTarget(index, BB_TARGET_READY);
        });
        Busy(6000);
        break;
    case WRONG_CLOCK:
        net.Stop(index);
        Restart(index, is_odd ? century_ms : -century_ms);
        After(1500, [=] {
            net.Stop(index);
            Restart(index);
        });
        Busy(1500);
        break;
    case CORRUPT_MESSAGE:
        net.corruption_rate = 0.3;
        until(&corrupt_until, 2500);
        After(2500, [this] { net.corruption_rate = 0; });
        break;
    }
}

// ---- one cell ----

void
World::Trigger(Step step)
{
    int index = Below(kNodes);
    switch (step) {
    case ANNOUNCE:
        BbRegistry_Withdraw(vms[index].registry);
        vms[index].announce_ms = net.now + 200;
        break;
    case LEASE:
        DrainAndRestart(AnyHolder());
        break;
    case RENEW:
        break;
    case LEAVE:
        SetTarget(index, BB_TARGET_ABSENT);
        After(0, [=] { Happens(LEAVE, index); });
        After(4000, [=] { SetTarget(index, BB_TARGET_READY); });
        Busy(4000);
        break;
    case FORGET:
        forgotten = index;
        net.Stop(index);
        break;
    case NODE_STARTS:
        StopMany({index}, 500, 0);
        break;
    case NODE_DRAINS:
    case NODE_EXITS:
        DrainAndRestart(index);
        break;
    default:
        StartOperator();
    }
}

// G9: the last accepted version is in force on every node within 6 s of its
// acceptance or of the end of all faults.
void
World::AwaitVersion(const char *when)
{
    int64_t end = std::max(head_ms, busy_until) + kInForceMs;
    net.RunUntil(end - net.now, [this] { return net.AllHaveVersion(head); });
    for (int index : net.RunningNodes()) {
        if (net.Version(index) != head) {
            Violation("G9, " + std::string(when) + ": " +
                      net.nodes[index]->address + " has version " +
                      std::to_string(net.Version(index)) + " instead of " +
                      std::to_string(head) + ", accepted at " +
                      std::to_string(head_ms) + ", healed at " +
                      std::to_string(busy_until));
        }
    }
}

// Waits for the members to agree and for a reader.
void
World::Settle()
{
    int64_t end = net.now + 25000;
    while (net.now < end && !(net.MembersAgree() && AnyHolder() >= 0)) {
        net.Run(100); // the check is slow
    }
    if (net.now >= end) {
        Violation("members disagree or no reader 25 s after healing");
    }
}

Violations
World::RunCell(Step step, Fault fault, const Options &options)
{
    base = head;
    swaps = 0;
    bool is_reached = false;
    on_step = [&](int index) {
        is_reached = true;
        Inject(fault, index);
        if (options.twice) {
            Busy(1000);
            After(1000, [=] { Inject(fault, index); });
        }
        if (options.second != NO_FAULT) {
            int64_t delay = Below(3000);
            Fault second = options.second;
            Busy(delay);
            After(delay, [=] { Inject(second, index); });
        }
        if (step == FORGET) {
            int node = forgotten;
            forgotten = -1;
            After(500, [=] { Restart(node); });
            Busy(500);
        }
    };
    armed = step;
    Trigger(step);
    net.RunUntil(25000, [&] { return is_reached; });
    if (!is_reached) {
        Violation("the step did not happen");
    }
    net.RunUntil(
        60000, [this] { return net.now >= busy_until && AreOperatorsDone(); });
    if (!AreOperatorsDone()) {
        Violation("an operator did not finish");
    }
    AwaitVersion("after the faults");
    StartOperator();
    net.RunUntil(5000, [this] { return AreOperatorsDone(); });
    AwaitVersion("next version");
    CheckChain();
    lost_answers = 0;
    Settle();
    return violations;
}

// The cases of one cell follow each other in one world, which saves the
// start; a case that fails ends it.
Violations
RunCase(Step step, Fault fault, const Options &options)
{
    static std::unique_ptr<World> world;
    static std::tuple<Step, Fault, uint32_t> world_cell;
    auto cell = std::make_tuple(step, fault, options.seed);
    if (world == nullptr || world_cell != cell ||
        (options.second == NO_FAULT && !options.twice)) {
        world = std::make_unique<World>(
            step, options.seed + (uint32_t)__builtin_ctz(step) * 32 +
                      (uint32_t)__builtin_ctz(fault));
        world_cell = cell;
    }
    auto violations = world->RunCell(step, fault, options);
    if (!violations.empty()) {
        world.reset();
    }
    return violations;
}

const Registration kConfiguration(
    EDIT | PROPOSE | ACCEPT | COMMIT | READ | RELAY | VERIFY | STAGE | SWAP |
        ACKNOWLEDGE,
    "G1, G2, G3, G7 and G9; no acceptance is lost or counted twice", RunCase);
const Registration kMembership(ANNOUNCE | LEASE | RENEW | LEAVE | FORGET,
                               "G1, G2, G3, G7 and G9; members agree",
                               RunCase);
const Registration kProcess(NODE_STARTS | NODE_DRAINS | NODE_EXITS,
                            "G1, G2, G3, G7 and G9; members agree", RunCase);

} // namespace

} // namespace fault_matrix
