// In-memory network of nodes in virtual time. Each has a bb_protocol and a
// bb_active_config.
//
// Frames can be lost, duplicated, delayed (and so reordered) and corrupted;
// the path between two nodes can be cut in one or both directions; a
// connection can stop delivering frames while new ones work; nodes can be
// stopped, restarted and paused. After each event its node is checked for the
// guarantees G1, G2 and G3 of docs/design.md. Hooks let a larger model handle
// a node's events.
#ifndef PEER_NET_H
#define PEER_NET_H

#include <gtest/gtest.h>
#include <sodium.h>

#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "bb_counters.h"
#include "bb_protocol.h"

namespace peer_net {

using Frame = std::vector<unsigned char>;

struct Net;

struct Node {
    Net *net = nullptr;
    int index = 0;
    int generation = 0; // incremented when the node's process starts or stops
    bool is_up = false;
    int64_t paused_until = 0;
    std::string address;
    std::string data_centre;
    bb_active_config_t *active_config = nullptr;
    bb_protocol_t *protocol = nullptr;
    bb_random_t *random = nullptr;
    int64_t last_version = 0;
    std::map<std::string, int> remote_live; // "dc/service" to live count
    std::map<uint64_t, int> connections;    // link number to connection
};

// A connection. Index 0 is the end that opened it, 1 the one that accepted it.
struct Connection {
    int node[2];
    int generation[2];
    uint64_t link[2];       // 0 at end 1 until its first frame arrives
    bool is_silent = false; // delivers no more frames
    bool is_closed = false;
    int64_t arrival[2] = {0, 0}; // time of the latest frame, per end
};

// Called on events of a node; functions may be empty.
struct Hooks {
    std::function<void(Node &)> on_start, on_stop, on_tick, on_swap;
    std::function<void(Node &from, Node &to)> before_delivery;
    std::function<void(const std::string &)> on_violation;
};

struct Net {
    explicit Net(uint32_t seed, bb_spread_mode_t mode = BB_SPREAD_PUSH)
        : seed(seed), mode(mode), random(BbRandom_New(seed))
    {
        EXPECT_GE(sodium_init(), 0);
        unsigned char key_seed[crypto_sign_SEEDBYTES] = {7};
        crypto_sign_seed_keypair(owner.key, secret, key_seed);
        strcpy(owner.name, "harbour");
    }
    ~Net()
    {
        for (auto &node : nodes) {
            Stop(node->index);
        }
        BbRandom_Free(random);
    }

    // ---- nodes ----

    int Add(const std::string &data_centre, std::vector<std::string> seeds)
    {
        auto node = std::make_unique<Node>();
        node->net = this;
        node->index = (int)nodes.size();
        node->data_centre = data_centre;
        node->address = "10.0.0." + std::to_string(node->index + 1) + ":7000";
        nodes.push_back(std::move(node));
        Start(nodes.back()->index, seeds, now);
        return nodes.back()->index;
    }

    // Starts a new process at the node's address, without any state.
    void Start(int index, std::vector<std::string> seeds, int64_t incarnation)
    {
        Node &node = *nodes[index];
        bb_active_config_options_t active_config = {&owner, 1, OnSwap, &node};
        std::vector<const char *> seed_addresses;
        for (const auto &text : seeds) {
            seed_addresses.push_back(text.c_str());
        }
        bb_protocol_options_t options = {};
        node.active_config = BbActiveConfig_New(&active_config);
        node.random =
            BbRandom_New(seed + 1000u * ++node.generation + index + 1);
        node.last_version = 0;
        node.remote_live.clear();
        node.connections.clear();
        options.active_config = node.active_config;
        options.random = node.random;
        options.cluster = "test";
        options.seeds = seed_addresses.data();
        options.seed_count = seed_addresses.size();
        options.mode = mode;
        options.timing = timing;
        options.self.node_id =
            ((uint64_t)BbRandom_Below(random, 1 << 30) << 20) +
            (uint64_t)index + 1;
        options.self.incarnation = incarnation;
        strcpy(options.self.data_centre, node.data_centre.c_str());
        strcpy(options.self.peer_address, node.address.c_str());
        strcpy(options.self.caller_address, node.address.c_str());
        options.transport = {SendFrame, OpenLink, CloseLink, &node};
        options.callbacks.on_summary_change = OnSummaryChange;
        options.callbacks.arg = &node;
        node.is_up = true;
        node.protocol = BbProtocol_New(&options, now);
        Call(hooks.on_start, node);
        int generation = node.generation;
        At(now + BbRandom_Below(random, 100),
           [this, index, generation] { TickNode(index, generation); });
    }

    // Ends the process without sending a message.
    void Stop(int index)
    {
        Node &node = *nodes[index];
        if (!node.is_up) {
            return;
        }
        Call(hooks.on_stop, node);
        node.is_up = false;
        node.generation++;
        BbProtocol_Free(node.protocol);
        BbActiveConfig_Free(node.active_config);
        BbRandom_Free(node.random);
        node.protocol = nullptr;
        node.active_config = nullptr;
    }

    // Suspends the node for a while; frames to it are delivered afterwards.
    void Pause(int index, int64_t duration_ms)
    {
        nodes[index]->paused_until = now + duration_ms;
    }

    // ---- faults ----

    double loss_rate = 0, duplicate_rate = 0, corruption_rate = 0;
    int jitter_ms = 0;
    // Pairs (from, to) of nodes between which frames are dropped.
    std::set<std::pair<int, int>> cuts;

    void Cut(int from, int to)
    {
        cuts.insert({from, to});
    }
    void CutDataCentre(const std::string &name)
    {
        for (auto &a : nodes) {
            for (auto &b : nodes) {
                if (a->data_centre == name && b->data_centre != name) {
                    Cut(a->index, b->index);
                    Cut(b->index, a->index);
                }
            }
        }
    }
    void SilenceAllConnections()
    {
        for (auto &connection : connections) {
            connection.is_silent = true;
        }
    }

    // ---- versions ----

    // Canonical text of a configuration that differs for each version.
    std::string MakeDocument(int64_t version) const
    {
        std::string name = "r" + std::to_string(version % 5);
        std::string text =
            R"({"pools":{"p":{"service":"s"}},"routes":{"r":{"pool":"p",)"
            R"("path_prefix":"/r","timeout_ms":)" +
            std::to_string(version) + R"(},")" + name +
            R"(":{"pool":"p","path_prefix":"/)" + name + R"("}}})";
        bb_findings_t findings;
        bb_config_t *config = nullptr;
        BbFindings_Init(&findings);
        EXPECT_EQ(
            BbConfig_ParseText(text.data(), text.size(), &findings, &config),
            0);
        std::string canonical = BbConfig_CanonicalText(config, nullptr);
        BbConfig_Unref(config);
        BbFindings_Free(&findings);
        return canonical;
    }
    // Offers a version to a node, as the platform reader does.
    int Offer(int index, int64_t version)
    {
        std::string text = MakeDocument(version);
        bb_release_t release = {};
        release.version = version;
        release.size = (int64_t)text.size();
        BbConfig_ComputeDigest(text.data(), text.size(), release.digest);
        strcpy(release.owner, "harbour");
        strcpy(release.month, "2026-12");
        strcpy(release.write_id, "00112233445566778899aabbccddeeff");
        BbRelease_Sign(&release, secret);
        digests[version] = release.digest;
        bb_findings_t findings;
        BbFindings_Init(&findings);
        int error =
            BbProtocol_OfferVersion(nodes[index]->protocol, &release,
                                    text.data(), text.size(), &findings, now);
        BbFindings_Free(&findings);
        CheckNode(*nodes[index]);
        return error;
    }
    int64_t Version(int index) const
    {
        return nodes[index]->is_up
                   ? BbActiveConfig_GetVersion(nodes[index]->active_config)
                   : 0;
    }

    // ---- time ----

    void At(int64_t time, std::function<void()> action)
    {
        events.push({time, ++event_count, std::move(action)});
    }
    void Run(int64_t duration_ms)
    {
        int64_t end = now + duration_ms;
        while (!events.empty() && events.top().time <= end) {
            Event event = events.top();
            events.pop();
            now = event.time;
            event.action();
        }
        now = end;
    }
    // Runs until a condition holds; returns the time it took, or -1.
    int64_t RunUntil(int64_t limit_ms, const std::function<bool()> &condition)
    {
        int64_t start = now;
        while (!condition()) {
            if (now - start >= limit_ms) {
                return -1;
            }
            Run(10);
        }
        return now - start;
    }

    // ---- conditions ----

    std::vector<int> RunningNodes(const std::string &data_centre = "") const
    {
        std::vector<int> result;
        for (auto &node : nodes) {
            if (node->is_up &&
                (data_centre.empty() || node->data_centre == data_centre)) {
                result.push_back(node->index);
            }
        }
        return result;
    }
    bool AllHaveVersion(int64_t version,
                        const std::string &data_centre = "") const
    {
        for (int index : RunningNodes(data_centre)) {
            if (Version(index) != version) {
                return false;
            }
        }
        return true;
    }
    // True when each node lists exactly the running nodes of its data centre
    // as alive.
    bool MembersAgree() const
    {
        for (int index : RunningNodes()) {
            const Node &node = *nodes[index];
            auto members = BbProtocol_Members(node.protocol);
            auto up = RunningNodes(node.data_centre);
            if (BbMembers_LiveCount(members) != up.size()) {
                return false;
            }
            for (int other : up) {
                auto record = BbMembers_FindAddress(
                    members, nodes[other]->address.c_str());
                if (record == nullptr || record->state != BB_MEMBER_ALIVE) {
                    return false;
                }
            }
        }
        return true;
    }

    struct Event {
        int64_t time;
        int64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    uint32_t seed;
    bb_spread_mode_t mode;
    bb_peer_timing_t timing = {}; // for nodes started from now on
    Hooks hooks;
    bb_random_t *random;
    int64_t now = 1000000;
    int64_t event_count = 0;
    int64_t frame_count = 0;
    std::priority_queue<Event> events;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<Connection> connections;
    std::map<int64_t, std::string> digests; // of the versions offered
    bb_trusted_owner_t owner = {};
    unsigned char secret[crypto_sign_SECRETKEYBYTES];

    bool Chance(double probability)
    {
        return probability > 0 && BbRandom_Unit(random) < probability;
    }
    void Report(const std::string &violation)
    {
        if (hooks.on_violation) {
            hooks.on_violation(violation);
            return;
        }
        ADD_FAILURE() << violation << ", seed " << seed;
    }

    // G1: the version did not decrease. G2: references resolve. G3: the
    // content is exactly the one offered under this version number.
    void CheckNode(Node &node)
    {
        int64_t version = BbActiveConfig_GetVersion(node.active_config);
        std::string name = node.address + " at " + std::to_string(now) +
                           ": version " + std::to_string(version);
        if (version < node.last_version) {
            Report("G1, " + name + " is lower than the previous version " +
                   std::to_string(node.last_version));
        }
        if (version == node.last_version) {
            return;
        }
        node.last_version = version;
        bb_config_t *config = BbActiveConfig_GetConfig(node.active_config);
        if (!ReferencesResolve(config)) {
            Report("G2, " + name +
                   " has a route or pool without its pool or "
                   "service");
            return;
        }
        BbConfig_AssertReferences(config);
        char digest[BB_DIGEST_HEX_LENGTH + 1];
        size_t size;
        const char *text = BbConfig_CanonicalText(config, &size);
        BbConfig_ComputeDigest(text, size, digest);
        if (digests[version] != digest) {
            Report("G3, " + name +
                   " differs from the content offered under this number");
        }
    }
    // True when each route's pool belongs to the configuration and has a
    // service.
    static bool ReferencesResolve(const bb_config_t *config)
    {
        for (size_t i = 0; i < BbConfig_RouteCount(config); i++) {
            const bb_pool_t *pool = BbConfig_Route(config, i)->pool;
            if (pool == nullptr || pool->service == nullptr ||
                BbConfig_FindPool(config, pool->name) != pool) {
                return false;
            }
        }
        return true;
    }

  private:
    static void Call(const std::function<void(Node &)> &hook, Node &node)
    {
        if (hook) {
            hook(node);
        }
    }
    static void OnSwap(const bb_release_t *, bb_config_t *, void *arg)
    {
        Node *node = static_cast<Node *>(arg);
        Call(node->net->hooks.on_swap, *node);
    }

    void TickNode(int index, int generation)
    {
        Node &node = *nodes[index];
        if (node.generation != generation) {
            return;
        }
        if (node.paused_until > now) {
            At(node.paused_until,
               [this, index, generation] { TickNode(index, generation); });
            return;
        }
        BbProtocol_Tick(node.protocol, now);
        CheckNode(node);
        Call(hooks.on_tick, node);
        At(now + 100,
           [this, index, generation] { TickNode(index, generation); });
    }

    void Deliver(size_t number, int from_end, const Frame &frame)
    {
        int to_end = 1 - from_end;
        int from = connections[number].node[from_end];
        Node &node = *nodes[connections[number].node[to_end]];
        if (hooks.before_delivery) {
            hooks.before_delivery(*nodes[from], node);
        }
        Connection &connection = connections[number];
        if (!node.is_up || connection.is_silent ||
            cuts.count({from, node.index})) {
            return;
        }
        if (node.paused_until > now) {
            At(node.paused_until, [this, number, from_end, frame] {
                Deliver(number, from_end, frame);
            });
            return;
        }
        if (to_end == 1 && (connection.generation[1] != node.generation ||
                            connection.link[1] == 0)) {
            // The first frame, or a new process runs at the address.
            if (connection.is_closed) {
                return;
            }
            connection.generation[1] = node.generation;
            connection.link[1] = BbProtocol_Accept(node.protocol, now);
            node.connections[connection.link[1]] = (int)number;
        }
        if (connection.generation[to_end] != node.generation) {
            return;
        }
        BbProtocol_Receive(node.protocol, connection.link[to_end],
                           frame.data(), frame.size(), now);
        CheckNode(node);
    }

    bool Send(Node &node, uint64_t link, const unsigned char *bytes,
              size_t size)
    {
        auto found = node.connections.find(link);
        if (found == node.connections.end()) {
            return false;
        }
        size_t number = (size_t)found->second;
        Connection &connection = connections[number];
        int end =
            connection.node[0] == node.index && connection.link[0] == link ? 0
                                                                           : 1;
        frame_count++;
        if (connection.is_closed) {
            return end == 0;
        }
        for (int copies = Chance(duplicate_rate) ? 2 : 1; copies > 0;
             copies--) {
            if (Chance(loss_rate)) {
                continue;
            }
            Frame frame(bytes, bytes + size);
            if (Chance(corruption_rate)) {
                frame[(size_t)BbRandom_Below(random, (int)size)] ^=
                    (unsigned char)(1 + BbRandom_Below(random, 255));
                frame.resize(size - (size_t)BbRandom_Below(random, 2));
            }
            // Without jitter a connection preserves the order of its frames.
            int64_t time = now + 1;
            if (jitter_ms > 0) {
                time += BbRandom_Below(random, jitter_ms);
            }
            At(time,
               [this, number, end, frame] { Deliver(number, end, frame); });
        }
        return true;
    }

    static bool SendFrame(uint64_t link, const unsigned char *bytes,
                          size_t size, void *arg)
    {
        Node *node = static_cast<Node *>(arg);
        return node->net->Send(*node, link, bytes, size);
    }
    static bool OpenLink(uint64_t link, const char *address, void *arg)
    {
        Node *node = static_cast<Node *>(arg);
        for (auto &other : node->net->nodes) {
            if (other->address == address) {
                Connection connection = {};
                connection.node[0] = node->index;
                connection.node[1] = other->index;
                connection.generation[0] = node->generation;
                connection.link[0] = link;
                node->connections[link] = (int)node->net->connections.size();
                node->net->connections.push_back(connection);
            }
        }
        return true;
    }
    static void CloseLink(uint64_t link, void *arg)
    {
        Node *node = static_cast<Node *>(arg);
        auto found = node->connections.find(link);
        if (found == node->connections.end()) {
            return;
        }
        Connection &connection = node->net->connections[(size_t)found->second];
        if (connection.link[0] == link && connection.node[0] == node->index) {
            connection.is_closed = true;
        }
        else {
            connection.link[1] = 0; // a later frame opens a new incoming link
        }
        node->connections.erase(found);
    }
    static void OnSummaryChange(const char *data_centre,
                                const bb_summary_t *summary, void *arg)
    {
        Node *node = static_cast<Node *>(arg);
        node->remote_live[std::string(data_centre) + "/" + summary->service] =
            summary->live;
    }
};

} // namespace peer_net

#endif
