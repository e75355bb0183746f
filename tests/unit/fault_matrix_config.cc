// Scenario of the fault matrix for configuration, membership and processes.
//
// Simulates three data centres of three nodes in virtual time. Each node has a
// bb_protocol, bb_active_config, bb_lease, bb_reader and bb_registry, and a
// target on the same VM. A bb_store is the platform; operators change it
// with bb_accept.
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
// Carries out a request at the platform; returns its error and response.
using PlatformOperation = std::function<std::pair<int, json_t *>()>;
using ResponseHandler = std::function<void(int error, json_t *response)>;

const int kDataCentres = 3, kNodesPerCentre = 3,
          kNodes = kDataCentres * kNodesPerCentre;
const int kOperator = -1; // index of an operator, who runs on no node
const int64_t kWallClockOffsetMs = 1796100000000; // in December 2026
const char *const kMonth = "2026-12";
const int64_t kPlatformTimeoutMs = 2000, kPollMs = 500;
// G9: an accepted version is in force on all nodes after at most this time.
const int64_t kActivationLimitMs = 6000;
// G7: a target is offered for at most this time after it left.
const int64_t kLeaveLimitMs = 3000;
const char *const kService = "s";

// What a VM has in addition to the protocol and the active configuration of
// its node. The fields of the target stay when the node is restarted.
struct Vm {
    bb_lease_t *lease = nullptr;
    bb_reader_t *reader = nullptr;
    bb_registry_t *registry = nullptr;
    bool is_draining = false;
    int64_t next_peers_read_ms = 0; // next read of the lease rows for peers
    int peer_failures = 0;
    bb_target_state_t target = BB_TARGET_READY;
    bool misreports_target = false;
    int64_t next_announce_ms = 0, target_left_ms = INT64_MAX;
};

struct Operator {
    std::string proposal, write_id;
    int64_t accepted_ms = -1;
};

struct Simulation {
    Simulation(Step step, uint32_t seed)
        : net(seed, seed % 2 ? BB_SPREAD_PUSH : BB_SPREAD_ADVERTISE),
          store(BbStore_New())
    {
        net.hooks.on_start = [this](Node &node) { StartVm(node); };
        net.hooks.on_stop = [this](Node &node) { StopVm(node); };
        net.hooks.on_tick = [this](Node &node) { TickVm(node); };
        net.hooks.on_swap = [this](Node &node) { CountSwap(node); };
        net.hooks.before_delivery = [this](Node &from, Node &to) {
            if (net.Version(from.index) == head && head > base && to.is_up &&
                net.Version(to.index) < head) {
                ReachStep(VERIFY, to.index);
            }
        };
        net.hooks.on_violation = [this](const std::string &text) {
            violations.push_back(text);
        };
        if (step == FORGET) {
            net.timing.remove_after_ms = 8000; // 60 s would take too long
        }
        WriteOwnerRow();
        for (int i = 0; i < kNodes; i++) {
            net.Add("dc" + std::to_string(i / kNodesPerCentre), Seeds(i));
        }
        StartOperator();
        net.RunUntil(8000, [this] { return net.AllHaveVersion(1); });
        AwaitAgreementAndReader();
    }
    ~Simulation()
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
            if (i % kNodesPerCentre == 0 ||
                i / kNodesPerCentre == index / kNodesPerCentre) {
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
    void AddViolation(const std::string &text)
    {
        violations.push_back(text + " at " + std::to_string(net.now));
    }

    // ---- platform ----

    int64_t PlatformNow() const
    {
        return net.now + kWallClockOffsetMs;
    }
    bool IsCutFromPlatform(int index) const
    {
        auto found = platform_cuts.find(index / kNodesPerCentre);
        return index != kOperator && found != platform_cuts.end() &&
               net.now < found->second;
    }
    // Sends a request to the platform. The response is delivered only if the
    // process that sent the request still runs.
    void SendRequest(int index, bool is_write, PlatformOperation apply,
                     ResponseHandler handler)
    {
        int generation = index == kOperator ? 0 : net.nodes[index]->generation;
        int64_t delay = net.now < platform_slow_until ? 800 : 5;
        int64_t silence_count_when_sent = silence_count;
        auto reply = [=](int64_t after, int error, Json json) {
            After(after, [=] {
                DeliverResponse(index, generation, handler, error, json);
            });
        };
        if (IsCutFromPlatform(index)) {
            reply(kPlatformTimeoutMs / 2, BB_ERR_UNAVAILABLE, nullptr);
            return;
        }
        After(delay, [=] {
            bool is_silent = silence_count_when_sent != silence_count;
            int lost = is_write ? BB_ERR_UNKNOWN : BB_ERR_UNAVAILABLE;
            if (is_silent && Below(2)) {
                reply(kPlatformTimeoutMs, lost, nullptr); // request lost
                return;
            }
            if (net.now < platform_out_until) {
                reply(delay, BB_ERR_UNAVAILABLE, nullptr);
                return;
            }
            auto result = apply();
            Json json(result.second, json_decref);
            bool is_lost =
                is_write && result.first == 0 && responses_to_lose > 0;
            responses_to_lose -= is_lost;
            if (is_lost || is_silent || IsCutFromPlatform(index)) {
                reply(kPlatformTimeoutMs, lost, nullptr);
            }
            else if (net.now < platform_corrupt_until && Below(2)) {
                reply(delay, is_write ? lost : BB_ERR_PARSE, nullptr);
            }
            else {
                reply(delay, result.first, json);
            }
        });
    }
    void DeliverResponse(int index, int generation,
                         const ResponseHandler &handler, int error,
                         const Json &json)
    {
        if (index != kOperator) {
            Node &node = *net.nodes[index];
            if (node.generation != generation) {
                return;
            }
            if (node.paused_until > net.now) {
                net.At(node.paused_until, [=] {
                    DeliverResponse(index, generation, handler, error, json);
                });
                return;
            }
        }
        handler(error, json.get());
        if (index != kOperator && net.nodes[index]->generation == generation) {
            RunSource(index);
        }
    }
    std::pair<int, json_t *> Commit(json_t *transaction)
    {
        json_t *response = nullptr;
        int error =
            BbStore_Commit(store, transaction, PlatformNow(), &response);
        json_t *row = BbStore_GetRow(store, "head", "config", PlatformNow());
        bb_release_t release;
        if (BbRelease_FromJson(json_object_get(row, "value"), &release) == 0 &&
            release.version > head) {
            head = release.version;
            head_accepted_ms = net.now;
            net.digests[head] = release.digest;
        }
        json_decref(row);
        return {error, response};
    }
    PlatformOperation GetRow(const std::string &table, const std::string &key)
    {
        return [=]() -> std::pair<int, json_t *> {
            json_t *row = BbStore_GetRow(store, table.c_str(), key.c_str(),
                                         PlatformNow());
            return {row != nullptr ? 0 : BB_ERR_NOT_FOUND, row};
        };
    }
    PlatformOperation ListLeases()
    {
        return [=]() -> std::pair<int, json_t *> {
            return {0,
                    BbStore_ListRows(store, "leases", nullptr, PlatformNow())};
        };
    }
    void WriteOwnerRow()
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
        registry.on_change = OnTargetChange;
        registry.arg = &node;
        vm.lease = BbLease_New(&lease);
        vm.reader = BbReader_New(&reader);
        vm.registry = BbRegistry_New(&registry);
        vm.is_draining = false;
        vm.next_peers_read_ms = net.now + Below(2000);
        vm.peer_failures = 0;
        vm.next_announce_ms = net.now;
        int index = node.index;
        After(0, [=] { ReachStep(NODE_STARTS, index); });
    }
    void StopVm(Node &node)
    {
        Vm &vm = vms[node.index];
        BbLease_Free(vm.lease);
        BbReader_Free(vm.reader);
        BbRegistry_Free(vm.registry);
    }
    static void OnTargetChange(const bb_announcement_t *target, unsigned int,
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
        if (vm.target != BB_TARGET_ABSENT && now >= vm.next_announce_ms) {
            Announce(node.index);
        }
        BbRegistry_Tick(vm.registry, now);
        CheckTargetLeft(node);
        RunSource(node.index);
        if (awaited_step == ACKNOWLEDGE && head > base) {
            for (int dc = 0; dc < kDataCentres; dc++) {
                if (net.AllHaveVersion(head, "dc" + std::to_string(dc))) {
                    ReachStep(ACKNOWLEDGE, node.index);
                }
            }
        }
        if (removed_node >= 0 &&
            removed_node / kNodesPerCentre == node.index / kNodesPerCentre &&
            !net.nodes[removed_node]->is_up &&
            BbMembers_FindAddress(BbProtocol_Members(node.protocol),
                                  net.nodes[removed_node]->address.c_str()) ==
                nullptr) {
            int index = node.index;
            After(0, [=] { ReachStep(FORGET, index); });
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
        if (vm.misreports_target) {
            target.load = 1e9 * Below(2);
            target.slots = 1 + Below(BB_REGISTRY_MAX_SLOTS);
            target.state = Below(2) ? BB_TARGET_READY : BB_TARGET_STARTING;
        }
        vm.next_announce_ms = net.now + 1000;
        vm.target_left_ms = INT64_MAX;
        BbRegistry_Announce(vm.registry, &target, net.now);
        After(0, [=] { ReachStep(ANNOUNCE, index); });
    }
    void SetTarget(int index, bb_target_state_t state)
    {
        Vm &vm = vms[index];
        vm.target = state;
        vm.next_announce_ms = net.now;
        if (state == BB_TARGET_ABSENT) {
            vm.target_left_ms = net.now; // the leave message is lost
        }
    }
    // Checks G7: kLeaveLimitMs after its target left, the node must no longer
    // offer it.
    void CheckTargetLeft(const Node &node)
    {
        const Vm &vm = vms[node.index];
        const bb_member_t *self =
            BbMembers_Self(BbProtocol_Members(node.protocol));
        if (net.now - kLeaveLimitMs < vm.target_left_ms) {
            return;
        }
        if (BbRegistry_Current(vm.registry)->state == BB_TARGET_READY ||
            self->target_state == BB_TARGET_READY) {
            AddViolation("G7, " + node.address + " still offers its target " +
                         std::to_string(net.now - vm.target_left_ms) +
                         " ms after it left");
        }
    }
    void CountSwap(Node &node)
    {
        int index = node.index;
        int64_t version = BbActiveConfig_GetVersion(node.active_config);
        if (version > base && ++swap_count == 2) {
            After(0, [=] { ReachStep(SWAP, index); });
        }
    }

    // ---- reader lease and reader, driven as by bb_source_io ----

    void RunSource(int index)
    {
        Vm &vm = vms[index];
        Node &node = *net.nodes[index];
        if (!node.is_up) {
            return;
        }
        if (net.now >= vm.next_peers_read_ms) {
            vm.next_peers_read_ms = INT64_MAX;
            SendRequest(index, false, ListLeases(),
                        [=](int error, json_t *response) {
                            AddPeersFromLeases(index, error, response);
                        });
        }
        bool is_candidate =
            BbProtocol_IsGateway(node.protocol) && !vm.is_draining;
        BbLease_SetCandidate(vm.lease, is_candidate, net.now);
        BbReader_SetStandby(vm.reader, is_candidate, net.now);
        RunLease(index);
        RunReader(index);
    }
    void AddPeersFromLeases(int index, int error, json_t *response)
    {
        Vm &vm = vms[index];
        size_t i;
        json_t *row;
        if (error != 0) {
            vm.next_peers_read_ms =
                net.now +
                BbBackoff_Next(&vm.peer_failures, net.nodes[index]->random);
            return;
        }
        json_array_foreach (json_object_get(response, "rows"), i, row) {
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
                SendRequest(index, false, ListLeases(),
                            [=](int error, json_t *response) {
                                BbLease_HandleRows(vms[index].lease, error,
                                                   response, net.now);
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
        SendRequest(
            index, true,
            [=] {
                if (!is_draining) {
                    ReachStep(is_held ? RENEW : LEASE, index);
                }
                return Commit(transaction.get());
            },
            [=](int error, json_t *response) {
                BbLease_HandleCommit(vms[index].lease, error, response,
                                     net.now);
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
                FetchContent(index, *action.release);
                continue;
            }
            SendRequest(
                index, false, GetRow("head", "config"),
                [=](int error, json_t *response) {
                    bb_release_t release;
                    if (error == 0) {
                        error = BbRelease_FromJson(
                            json_object_get(response, "value"), &release);
                    }
                    BbReader_HandleHead(vms[index].reader, error,
                                        error == 0 ? &release : nullptr,
                                        net.now);
                });
        }
    }
    void FetchContent(int index, const bb_release_t &release)
    {
        std::string key = std::string("configs/") + release.digest;
        SendRequest(
            index, false,
            [=]() -> std::pair<int, json_t *> {
                ReachStep(READ, index);
                size_t size;
                const char *text =
                    BbStore_GetObject(store, key.c_str(), &size);
                return {text != nullptr ? 0 : BB_ERR_NOT_FOUND,
                        json_stringn(text, text != nullptr ? size : 0)};
            },
            [=](int error, json_t *response) {
                HandleContent(index, release, error, response);
            });
    }
    void HandleContent(int index, const bb_release_t &release, int error,
                       json_t *response)
    {
        Node &node = *net.nodes[index];
        int generation = node.generation;
        if (error == 0) {
            std::string text(json_string_value(response),
                             json_string_length(response));
            ReachStep(STAGE, index);
            if (node.generation != generation) {
                return;
            }
            if (net.now < platform_corrupt_until && Below(2)) {
                text[text.size() / 2] ^= 1;
            }
            bb_findings_t findings;
            BbFindings_Init(&findings);
            BbProtocol_OfferVersion(node.protocol, &release, text.data(),
                                    text.size(), &findings, net.now);
            BbFindings_Free(&findings);
            net.CheckNode(node);
            After(0, [=] { ReachStep(RELAY, index); });
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
                           [](auto &op) { return op->accepted_ms >= 0; });
    }
    // Reads a row, and repeats the read after a failure. Calls then with the
    // row, or with NULL when there is none.
    void ReadRow(const std::string &table, const std::string &key,
                 std::function<void(Json)> then)
    {
        SendRequest(kOperator, false, GetRow(table, key),
                    [=](int error, json_t *response) {
                        if (error != 0 && error != BB_ERR_NOT_FOUND) {
                            After(300, [=] { ReadRow(table, key, then); });
                            return;
                        }
                        then(Json(json_incref(response), json_decref));
                    });
    }
    static bb_row_t ToRow(const Json &response)
    {
        return {
            json_object_get(response.get(), "value"),
            json_integer_value(json_object_get(response.get(), "revision"))};
    }
    static std::shared_ptr<bb_change_t> NewChange()
    {
        return std::shared_ptr<bb_change_t>(new bb_change_t(), [](auto *c) {
            BbAccept_FreeChange(c);
            delete c;
        });
    }
    // Sends a change, and repeats it until it is known whether it took effect.
    void WriteChange(std::shared_ptr<bb_change_t> change, Step step,
                     std::function<void(bb_commit_result_t)> then)
    {
        SendRequest(
            kOperator, true,
            [=] {
                ReachStep(step, kOperator);
                return Commit(change->transaction);
            },
            [=](int error, json_t *response) {
                ResolveWrite(
                    change, step, then,
                    BbAccept_EvaluateCommit(change.get(), error, response));
            });
    }
    // Reads the row back while the result of a change is unknown, repeats the
    // change where that is safe, and calls then with the final result.
    void ResolveWrite(std::shared_ptr<bb_change_t> change, Step step,
                      std::function<void(bb_commit_result_t)> then,
                      bb_commit_result_t commit_result)
    {
        switch (commit_result) {
        case BB_COMMIT_READ_BACK:
        case BB_COMMIT_UNKNOWN:
            SendRequest(kOperator, false, GetRow(change->table, change->key),
                        [=](int error, json_t *response) {
                            auto next = BbAccept_EvaluateReadBack(
                                change.get(), error, response);
                            After(next == BB_COMMIT_UNKNOWN ? 300 : 0, [=] {
                                ResolveWrite(change, step, then, next);
                            });
                        });
            break;
        case BB_COMMIT_RETRY:
        case BB_COMMIT_UNAVAILABLE:
            After(300, [=] { WriteChange(change, step, then); });
            break;
        default:
            then(commit_result);
        }
    }
    void Edit(Operator *op)
    {
        ReadRow("routes", "r", [=](Json row) {
            auto change = NewChange();
            Json columns(json_pack("{s:s}", "pool", "p"), json_decref);
            bb_draft_edit_t draft = {"routes", "r", ToRow(row).revision,
                                     columns.get()};
            BbAccept_MakeEditDrafts(&draft, 1, NewWriteId().c_str(),
                                    change.get());
            WriteChange(change, EDIT, [=](bb_commit_result_t commit_result) {
                commit_result == BB_COMMIT_DONE ? Propose(op) : Edit(op);
            });
        });
    }
    void Propose(Operator *op)
    {
        ReadRow("head", "config", [=](Json row) {
            std::string text = net.MakeDocument(++document_count);
            char digest[BB_DIGEST_HEX_LENGTH + 1];
            BbConfig_ComputeDigest(text.data(), text.size(), digest);
            BbStore_PutObject(store,
                              (std::string("configs/") + digest).c_str(),
                              text.data(), text.size());
            auto change = NewChange();
            op->proposal = "p" + std::to_string(document_count);
            op->write_id = NewWriteId();
            std::string write_id = NewWriteId();
            bb_proposal_t proposal = {
                op->proposal.c_str(), write_id.c_str(), digest,
                (int64_t)text.size(), ToRow(row),       PlatformNow()};
            BbAccept_MakePropose(&proposal, change.get());
            WriteChange(
                change, PROPOSE, [=](bb_commit_result_t commit_result) {
                    commit_result == BB_COMMIT_DONE ? Accept(op) : Propose(op);
                });
        });
    }
    void Accept(Operator *op)
    {
        ReachStep(ACCEPT, kOperator);
        ReadRow("owners", kMonth, [=](Json owner) {
            ReadRow("head", "config", [=](Json row) {
                ReadRow("proposals", op->proposal, [=](Json proposal) {
                    MakeAcceptance(op, owner, row, proposal);
                });
            });
        });
    }
    void MakeAcceptance(Operator *op, const Json &owner, const Json &row,
                        const Json &proposal)
    {
        auto change = NewChange();
        bb_decision_t decision = {
            PlatformNow(),   ToRow(owner),         ToRow(row),
            ToRow(proposal), op->proposal.c_str(), op->write_id.c_str(),
            net.secret};
        bb_findings_t findings;
        BbFindings_Init(&findings);
        int error = BbAccept_MakeAccept(&decision, &findings, change.get());
        BbFindings_Free(&findings);
        if (error != 0) {
            if (error != BB_ERR_CONFLICT) {
                AddViolation(std::string("accept: ") + BbError_Name(error));
            }
            // Another version was accepted first; the draft remains.
            Propose(op);
            return;
        }
        WriteChange(change, COMMIT, [=](bb_commit_result_t commit_result) {
            if (commit_result != BB_COMMIT_DONE) {
                Propose(op);
                return;
            }
            op->accepted_ms = net.now;
        });
    }
    // Checks that the rows of the table "versions" form one chain by digests,
    // and that each acceptance is in it exactly once.
    void CheckVersionChain()
    {
        Json response(
            BbStore_ListRows(store, "versions", nullptr, PlatformNow()),
            json_decref);
        std::map<std::string, int> acceptance_counts;
        std::string digest;
        size_t i;
        json_t *row;
        json_array_foreach (json_object_get(response.get(), "rows"), i, row) {
            bb_release_t release = {};
            BbRelease_FromJson(json_object_get(row, "value"), &release);
            if (release.version != (int64_t)i + 1 ||
                release.previous_digest != digest) {
                AddViolation("versions form no chain at version " +
                             std::to_string(i + 1));
            }
            digest = release.digest;
            acceptance_counts[release.write_id]++;
        }
        for (auto &op : operators) {
            if (op->accepted_ms >= 0 && acceptance_counts[op->write_id] != 1) {
                AddViolation("acceptance of proposal " + op->proposal +
                             " is recorded " +
                             std::to_string(acceptance_counts[op->write_id]) +
                             " times");
            }
        }
        if ((int64_t)i != head || i != operators.size()) {
            AddViolation(std::to_string(operators.size()) + " acceptances, " +
                         std::to_string(i) + " versions, head " +
                         std::to_string(head));
        }
    }

    // ---- steps ----

    // Called when a step happens at a node or an operator. Injects the fault
    // if this is the awaited step, once per case.
    void ReachStep(Step step, int index)
    {
        if (awaited_step == step) {
            awaited_step = 0;
            on_step(index);
        }
    }
    // Starts the actions that lead to the step.
    void Trigger(Step step);
    void Inject(Fault fault, int index);
    void StopAndRestart(std::vector<int> indexes, int64_t delay_ms,
                        int64_t spread_ms);
    void Restart(int index, int64_t clock_error_ms = 0);
    void DrainAndRestart(int index);
    int FindLeaseHolder();
    int PickRunningNode(int preferred);
    void CutDataCentreFor(int64_t duration_ms, int data_centre, bool out,
                          bool in);
    void ApplyCuts();
    // Extends the time during which faults and restarts are in effect to at
    // least duration_ms from now. What must hold after all faults is checked
    // when that time has passed.
    void ExtendFaultPeriod(int64_t duration_ms)
    {
        fault_period_end = std::max(fault_period_end, net.now + duration_ms);
    }
    void AwaitHeadVersion(const char *when);
    void AwaitAgreementAndReader();

    uint32_t awaited_step = 0;
    std::function<void(int index)> on_step;
    int64_t base = 0; // head before this cell was run
    int64_t head = 0, head_accepted_ms = 0;
    int swap_count = 0, removed_node = -1;
    int64_t fault_period_end = 0, silence_count = 0;
    int64_t platform_out_until = 0, platform_slow_until = 0,
            platform_corrupt_until = 0;
    int responses_to_lose = 0;
    std::map<int, int64_t> platform_cuts; // data centre to end of its cut
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
Simulation::FindLeaseHolder()
{
    for (int i = 0; i < kNodes; i++) {
        if (net.nodes[i]->is_up && BbLease_IsHeld(vms[i].lease, net.now)) {
            return i;
        }
    }
    return -1;
}

int
Simulation::PickRunningNode(int preferred)
{
    auto up = net.RunningNodes();
    if (std::count(up.begin(), up.end(), preferred) || up.empty()) {
        return preferred;
    }
    return up[(size_t)Below((int)up.size())];
}

void
Simulation::Restart(int index, int64_t clock_error_ms)
{
    if (!net.nodes[index]->is_up) {
        net.nodes[index]->paused_until = 0;
        net.Start(index, Seeds(index),
                  kWallClockOffsetMs + net.now + clock_error_ms);
    }
}

void
Simulation::StopAndRestart(std::vector<int> indexes, int64_t delay_ms,
                           int64_t spread_ms)
{
    for (int index : indexes) {
        net.Stop(index);
        After(delay_ms, [=] { Restart(index); });
        delay_ms += spread_ms;
    }
    ExtendFaultPeriod(delay_ms);
}

void
Simulation::DrainAndRestart(int index)
{
    Node &node = *net.nodes[index];
    int generation = node.generation;
    ExtendFaultPeriod(1200);
    vms[index].is_draining = true;
    BbProtocol_Drain(node.protocol, net.now);
    After(0, [=] { ReachStep(NODE_DRAINS, index); });
    After(700, [=] {
        if (net.nodes[index]->generation == generation) {
            BbProtocol_Leave(net.nodes[index]->protocol, net.now);
        }
    });
    After(800, [=] {
        if (net.nodes[index]->generation == generation) {
            net.Stop(index);
            ReachStep(NODE_EXITS, index);
        }
    });
    After(1200, [=] { Restart(index); });
}

void
Simulation::ApplyCuts()
{
    net.cuts.clear();
    for (const Cut &cut : cuts) {
        for (int i = 0; i < kNodes && net.now < cut.until; i++) {
            for (int j = 0; j < kNodes; j++) {
                bool is_from = i / kNodesPerCentre == cut.data_centre;
                bool is_to = j / kNodesPerCentre == cut.data_centre;
                if (is_from != is_to && (is_from ? cut.out : cut.in)) {
                    net.Cut(i, j);
                }
            }
        }
    }
}

void
Simulation::CutDataCentreFor(int64_t duration_ms, int data_centre, bool out,
                             bool in)
{
    cuts.push_back({data_centre, out, in, net.now + duration_ms});
    ApplyCuts();
    After(duration_ms, [this] { ApplyCuts(); });
    ExtendFaultPeriod(duration_ms);
}

void
Simulation::Inject(Fault fault, int index)
{
    const int64_t century_ms = INT64_C(100) * 365 * 86400 * 1000;
    bool random_bit = Below(2);
    auto extend_until = [this](int64_t *end, int64_t duration_ms) {
        *end = std::max(*end, net.now + duration_ms);
        ExtendFaultPeriod(duration_ms);
    };
    index = PickRunningNode(index);
    if (index < 0) {
        index = Below(kNodes);
    }
    int data_centre = index / kNodesPerCentre;
    std::vector<int> every_second_node;
    for (int i = 0; i < kNodes; i++) {
        // Every second node, counted from the affected one, which is included.
        if ((i + kNodes - index) % kNodes % 2 == 0) {
            every_second_node.push_back(i);
        }
    }
    switch (fault) {
    case NO_FAULT:
    case TARGET_SHEDS:
        break;
    case MASS_NODE_FAILURE:
        StopAndRestart(every_second_node, 2000, 500);
        break;
    case RECONNECT_STORM:
        StopAndRestart({0, 1, 2, 3, 4, 5, 6, 7, 8}, 500, 0);
        break;
    case PLATFORM_OUTAGE:
        extend_until(&platform_out_until, random_bit ? 3000 : 12000);
        break;
    case PLATFORM_SLOW:
        extend_until(&platform_slow_until, 4000);
        break;
    case LOST_RESPONSE:
        responses_to_lose++;
        break;
    case LEASE_LAPSED:
        if (!net.nodes[index]->is_up ||
            !BbLease_IsHeld(vms[index].lease, net.now)) {
            index = FindLeaseHolder();
        }
        if (index >= 0) {
            net.Pause(index, BB_LEASE_MS + 500);
            ExtendFaultPeriod(BB_LEASE_MS + 500);
        }
        break;
    case OPERATOR_RACE:
        StartOperator();
        break;
    case REORDERED_UPDATES:
        net.jitter_ms = 400;
        net.duplicate_rate = 0.3;
        StartOperator();
        After(3000, [this] { net.jitter_ms = 0, net.duplicate_rate = 0; });
        ExtendFaultPeriod(3000);
        break;
    case SILENT_CONNECTION:
        net.SilenceAllConnections();
        silence_count++;
        ExtendFaultPeriod(1);
        break;
    case CUT_ONE_WAY:
        CutDataCentreFor(5000, data_centre, random_bit, !random_bit);
        break;
    case CUT_BOTH_WAYS:
        CutDataCentreFor(5000, data_centre, true, true);
        extend_until(&platform_cuts[data_centre], 5000);
        break;
    case CUT_PLATFORM:
        extend_until(&platform_cuts[data_centre], 5000);
        break;
    case NODE_REPLACED:
        StopAndRestart({index}, 300, 0);
        break;
    case TARGET_DRAINS:
        SetTarget(index, BB_TARGET_DRAINING);
        After(1000, [=] { SetTarget(index, BB_TARGET_ABSENT); });
        After(5000, [=] { SetTarget(index, BB_TARGET_READY); });
        ExtendFaultPeriod(5000);
        break;
    case TARGET_COLD:
        SetTarget(index, BB_TARGET_STARTING);
        After(1500, [=] { SetTarget(index, BB_TARGET_READY); });
        ExtendFaultPeriod(1500);
        break;
    case TARGET_MISREPORTS:
        vms[index].misreports_target = true;
        After(2500, [=] { SetTarget(index, BB_TARGET_ABSENT); });
        After(6000, [=] {
            vms[index].misreports_target = false;
            SetTarget(index, BB_TARGET_READY);
        });
        ExtendFaultPeriod(6000);
        break;
    case WRONG_CLOCK:
        net.Stop(index);
        Restart(index, random_bit ? century_ms : -century_ms);
        After(1500, [=] {
            net.Stop(index);
            Restart(index);
        });
        ExtendFaultPeriod(1500);
        break;
    case CORRUPT_MESSAGE:
        net.corruption_rate = 0.3;
        extend_until(&platform_corrupt_until, 2500);
        After(2500, [this] { net.corruption_rate = 0; });
        break;
    }
}

// ---- one case of a cell ----

void
Simulation::Trigger(Step step)
{
    int index = Below(kNodes);
    switch (step) {
    case ANNOUNCE:
        BbRegistry_Withdraw(vms[index].registry);
        vms[index].next_announce_ms = net.now + 200;
        break;
    case LEASE:
        DrainAndRestart(FindLeaseHolder());
        break;
    case RENEW:
        break;
    case LEAVE:
        SetTarget(index, BB_TARGET_ABSENT);
        After(0, [=] { ReachStep(LEAVE, index); });
        After(4000, [=] { SetTarget(index, BB_TARGET_READY); });
        ExtendFaultPeriod(4000);
        break;
    case FORGET:
        removed_node = index;
        net.Stop(index);
        break;
    case NODE_STARTS:
        StopAndRestart({index}, 500, 0);
        break;
    case NODE_DRAINS:
    case NODE_EXITS:
        DrainAndRestart(index);
        break;
    default:
        StartOperator();
    }
}

// Waits for and checks G9: the last accepted version is in force on every node
// within 6 s after its acceptance or, if that is later, after the end of all
// faults.
void
Simulation::AwaitHeadVersion(const char *when)
{
    int64_t end =
        std::max(head_accepted_ms, fault_period_end) + kActivationLimitMs;
    net.RunUntil(end - net.now, [this] { return net.AllHaveVersion(head); });
    for (int index : net.RunningNodes()) {
        if (net.Version(index) != head) {
            AddViolation(
                "G9, " + std::string(when) + ": " + net.nodes[index]->address +
                " has version " + std::to_string(net.Version(index)) +
                " instead of " + std::to_string(head) + ", accepted at " +
                std::to_string(head_accepted_ms) + ", faults ended at " +
                std::to_string(fault_period_end));
        }
    }
}

// Waits up to 25 s until the nodes agree on the members and one holds a reader
// lease.
void
Simulation::AwaitAgreementAndReader()
{
    int64_t end = net.now + 25000;
    while (net.now < end && !(net.MembersAgree() && FindLeaseHolder() >= 0)) {
        net.Run(100); // MembersAgree is too slow to call more often
    }
    if (net.now >= end) {
        AddViolation(
            "members disagree or no node has a reader lease after 25 s");
    }
}

Violations
Simulation::RunCell(Step step, Fault fault, const Options &options)
{
    base = head;
    swap_count = 0;
    bool is_reached = false;
    on_step = [&](int index) {
        is_reached = true;
        Inject(fault, index);
        if (options.inject_twice) {
            ExtendFaultPeriod(1000);
            After(1000, [=] { Inject(fault, index); });
        }
        if (options.second_fault != NO_FAULT) {
            int64_t delay = Below(3000);
            Fault second_fault = options.second_fault;
            ExtendFaultPeriod(delay);
            After(delay, [=] { Inject(second_fault, index); });
        }
        if (step == FORGET) {
            int node = removed_node;
            removed_node = -1;
            After(500, [=] { Restart(node); });
            ExtendFaultPeriod(500);
        }
    };
    awaited_step = step;
    Trigger(step);
    net.RunUntil(25000, [&] { return is_reached; });
    if (!is_reached) {
        AddViolation("the step did not happen");
    }
    net.RunUntil(60000, [this] {
        return net.now >= fault_period_end && AreOperatorsDone();
    });
    if (!AreOperatorsDone()) {
        AddViolation("an operator did not finish");
    }
    AwaitHeadVersion("after the faults");
    StartOperator();
    net.RunUntil(5000, [this] { return AreOperatorsDone(); });
    AwaitHeadVersion("next version after the faults");
    CheckVersionChain();
    responses_to_lose = 0;
    AwaitAgreementAndReader();
    return violations;
}

// Runs one case of a cell: the fault once, twice or with a second fault. The
// cases of a cell share one simulation, so that its start is simulated only
// once. After a case that fails, the next one starts a new simulation.
Violations
RunCase(Step step, Fault fault, const Options &options)
{
    static std::unique_ptr<Simulation> simulation;
    static std::tuple<Step, Fault, uint32_t> simulated_cell;
    auto cell = std::make_tuple(step, fault, options.seed);
    if (simulation == nullptr || simulated_cell != cell ||
        (options.second_fault == NO_FAULT && !options.inject_twice)) {
        simulation = std::make_unique<Simulation>(
            step, options.seed + (uint32_t)__builtin_ctz(step) * 32 +
                      (uint32_t)__builtin_ctz(fault));
        simulated_cell = cell;
    }
    auto violations = simulation->RunCell(step, fault, options);
    if (!violations.empty()) {
        simulation.reset();
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
