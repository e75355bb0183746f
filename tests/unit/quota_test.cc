// Tests of lib/account/bb_quota, bb_quota_owner and bb_quota_wire: a fleet of
// nodes in virtual time whose messages are late.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "bb_quota.h"
#include "bb_quota_owner.h"

namespace {

const char kAccount[] = "bakery 12", kOthers[] = "others";

struct SimNode {
    std::string name;
    bb_random_t *random = nullptr;
    bb_quota_t *quota = nullptr;
    bb_quota_owner_t *owner = nullptr;
    double next_tick = 0;
    bool is_dead = false;
    double frozen_until = 0;
    int part = 0; // nodes of different parts do not reach each other
};

// A fleet in virtual time. Calls of one account arrive at random times, at
// nodes chosen by their weights.
class Fleet {
  public:
    Fleet(int count, double rate, uint32_t seed, size_t tight = 0)
        : generator_(seed), nodes(static_cast<size_t>(count)), rate_(rate),
          tight_(tight)
    {
        for (size_t i = 0; i < nodes.size(); i++) {
            nodes[i].name = "n" + std::to_string(i);
            weights.push_back(1.0 / std::pow(i + 1.0, 0.9));
            Start(i);
        }
        std::shuffle(weights.begin(), weights.end(), generator_);
    }
    ~Fleet()
    {
        for (SimNode &node : nodes) {
            Free(node);
        }
    }
    // Starts a node as a new process without state.
    void Start(size_t index)
    {
        SimNode &node = nodes[index];
        Free(node);
        node.random = BbRandom_New(generator_() | 1);
        bb_quota_options_t options = {};
        options.node = node.name.c_str();
        options.incarnation = static_cast<int64_t>(generator_());
        options.random = node.random;
        options.now = now;
        node.quota = BbQuota_New(&options);
        bb_quota_owner_options_t owner = {};
        owner.random = node.random;
        node.owner = BbQuotaOwner_New(&owner);
        node.next_tick = now + Unit() * BB_QUOTA_TICK_S;
        node.is_dead = false;
        BbQuota_SetFleet(node.quota, nodes.size(), 1, now);
        BbQuotaOwner_SetNodeCount(node.owner, nodes.size());
        SetOwners(index, nodes.size() < 4 ? std::vector<size_t>{0, 1}
                                          : std::vector<size_t>{0, 1, 2, 3});
        SetLimit(node, rate_, tight_);
    }
    void SetOwners(size_t index, const std::vector<size_t> &order)
    {
        std::vector<const char *> names;
        for (size_t i : order) {
            names.push_back(nodes[i].name.c_str());
        }
        owners_[index] = order;
        BbQuota_SetOwners(nodes[index].quota, 0, names.data(), names.size(),
                          now);
    }
    static std::string TightName(size_t number)
    {
        return "tight " + std::to_string(number);
    }
    // tight: number of accounts that share the demand of others_per_s.
    static void SetLimit(SimNode &node, double rate, size_t tight = 0)
    {
        bb_account_table_t *table = BbAccountTable_New();
        bb_account_t account = {const_cast<char *>(kAccount), 1, rate, rate};
        BbAccountTable_Add(table, &account);
        bb_account_t others = {const_cast<char *>(kOthers), 1, 5000, 5000};
        BbAccountTable_Add(table, &others);
        for (size_t i = 0; i < tight; i++) {
            std::string name = TightName(i);
            bb_account_t account = {name.data(), 1, kTightRate, kTightRate};
            BbAccountTable_Add(table, &account);
        }
        BbQuota_SetAccounts(node.quota, table);
        BbQuotaOwner_SetAccounts(node.owner, table);
        BbAccountTable_Free(table);
    }
    void Run(double duration_s, double calls_per_s)
    {
        Run(duration_s, [=](double) { return calls_per_s; });
    }
    // calls_per_s gets the time since the begin of this run.
    void Run(double duration_s, std::function<double(double)> calls_per_s)
    {
        const double kStep = 0.001;
        double begin = now;
        while (now < begin + duration_s) {
            now += kStep;
            Deliver();
            for (size_t i = 0; i < nodes.size(); i++) {
                if (IsRunning(nodes[i]) && nodes[i].next_tick <= now) {
                    Tick(i);
                }
            }
            Arrive(calls_per_s(now - begin) * kStep);
            ArriveOthers(others_per_s * kStep);
        }
    }
    double Unit()
    {
        return std::uniform_real_distribution<double>(0, 1)(generator_);
    }
    // Most calls admitted in any 5 s from a time on.
    size_t WorstWindow(double from = 0) const
    {
        size_t first = static_cast<size_t>(
            std::lower_bound(admitted.begin(), admitted.end(), from) -
            admitted.begin());
        size_t worst = 0;
        for (size_t i = first; i < admitted.size(); i++) {
            while (admitted[first] < admitted[i] - 5.0) {
                first++;
            }
            worst = std::max(worst, i - first + 1);
        }
        return worst;
    }
    static size_t Bound(double rate)
    {
        return static_cast<size_t>((rate * 5 + rate) * 1.1 + 20);
    }
    static size_t CountFrom(const std::vector<double> &times, double from)
    {
        return static_cast<size_t>(
            times.end() - std::lower_bound(times.begin(), times.end(), from));
    }

  private:
    struct Message {
        size_t from, to, candidate;
        bool is_response;
        int64_t sent; // number of the request
        std::string text;
    };
    static void Free(SimNode &node)
    {
        BbQuota_Free(node.quota);
        BbQuotaOwner_Free(node.owner);
        BbRandom_Free(node.random);
    }
    bool IsRunning(const SimNode &node) const
    {
        return !node.is_dead && node.frozen_until <= now;
    }
    // Messages take 1 to 20 ms and are processed up to 30 ms late.
    double Delay()
    {
        return 0.001 + Unit() * 0.019 + Unit() * Unit() * 0.03;
    }
    void Send(Message message, bool is_local)
    {
        events_.emplace(now + (is_local ? 0.0 : Delay()), std::move(message));
    }
    void Tick(size_t index)
    {
        SimNode &node = nodes[index];
        node.next_tick = now + BB_QUOTA_TICK_S;
        for (auto open = open_.begin(); open != open_.end();) {
            if (open->second.from == index &&
                open->second.at + BB_QUOTA_TIMEOUT_S <= now) {
                BbQuota_HandleFailure(node.quota, 0, open->second.candidate,
                                      now);
                open = open_.erase(open);
            }
            else {
                ++open;
            }
        }
        GString *text = g_string_new(NULL);
        size_t candidate;
        while (BbQuota_NextMessage(node.quota, 0, now, text, &candidate)) {
            size_t to = owners_[index][candidate];
            messages++;
            open_[++sent_] = {index, candidate, now};
            Send({index, to, candidate, false, sent_, text->str}, to == index);
        }
        g_string_free(text, TRUE);
    }
    void Deliver()
    {
        while (!events_.empty() && events_.begin()->first <= now) {
            Message message = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            SimNode &to = nodes[message.to];
            if (to.is_dead || nodes[message.from].part != to.part) {
                continue;
            }
            if (to.frozen_until > now) {
                double at = to.frozen_until;
                events_.emplace(at, std::move(message));
                continue;
            }
            if (message.is_response) {
                if (open_.erase(message.sent) > 0) {
                    BbQuota_HandleResponse(to.quota, 0, message.candidate,
                                           message.text.data(), now);
                }
                continue;
            }
            GString *response = g_string_new(NULL);
            EXPECT_TRUE(BbQuotaOwner_HandleReport(
                to.owner, message.text.data(), now, response));
            Send({message.to, message.from, message.candidate, true,
                  message.sent, response->str},
                 message.to == message.from);
            g_string_free(response, TRUE);
        }
    }
    void Arrive(double expected)
    {
        int calls = std::poisson_distribution<int>(expected)(generator_);
        if (calls == 0) {
            return;
        }
        std::discrete_distribution<size_t> choose(weights.begin(),
                                                  weights.end());
        for (int i = 0; i < calls; i++) {
            SimNode &node = nodes[choose(generator_)];
            if (!IsRunning(node)) {
                continue;
            }
            bool is_admitted = Admit(node, kAccount);
            (is_admitted ? admitted : refused).push_back(now);
            if (on_call) {
                on_call(static_cast<size_t>(&node - nodes.data()),
                        is_admitted);
            }
        }
    }
    // Calls of another account, so that no node is idle.
    void ArriveOthers(double expected)
    {
        int calls = std::poisson_distribution<int>(expected)(generator_);
        for (int i = 0; i < calls; i++) {
            SimNode &node = nodes[generator_() % nodes.size()];
            std::string name =
                tight_ > 0 ? TightName(generator_() % tight_) : kOthers;
            if (IsRunning(node) && Admit(node, name.c_str())) {
                others_admitted[name].push_back(now);
            }
        }
    }
    bool Admit(SimNode &node, const char *account)
    {
        bb_quota_ticket_t ticket;
        double retry_after_s = 0;
        bool is_admitted =
            BbQuota_Admit(node.quota, account, now, &ticket, &retry_after_s);
        EXPECT_TRUE(is_admitted || retry_after_s > 0);
        if (is_admitted && gives_back) {
            BbQuota_Return(node.quota, account, ticket, now);
        }
        return is_admitted;
    }
    struct Open {
        size_t from, candidate;
        double at;
    };
    std::mt19937 generator_;
    std::multimap<double, Message> events_;
    std::map<int64_t, Open> open_;
    std::map<size_t, std::vector<size_t>> owners_;
    int64_t sent_ = 0;

  public:
    double now = 100;
    std::vector<SimNode> nodes;
    std::vector<double> weights, admitted, refused;
    std::map<std::string, std::vector<double>> others_admitted;
    static constexpr double kTightRate = 2;
    size_t messages = 0;
    double others_per_s = 0, measured_from = 104;
    bool gives_back = false; // no call reaches a target
    std::function<void(size_t node, bool is_admitted)> on_call;

  private:
    double rate_;
    size_t tight_;
};

const double kCalm = 1 / 1.6; // usual demand as a share of the limit
const double kHot = 4.7;      // demand of a hot account
const int kNodes = 78;

// Runs each case with several seeds, so that few calls give a share too.
class QuotaTest : public ::testing::TestWithParam<double> {
  protected:
    using Case = std::function<void(Fleet &)>;

    void ExpectBound(Case run, int seeds = 2)
    {
        for (int seed = 1; seed <= seeds; seed++) {
            Fleet fleet(kNodes, GetParam(), seed);
            run(fleet);
            EXPECT_LE(fleet.WorstWindow(), Fleet::Bound(GetParam()))
                << "seed " << seed;
        }
    }
    // From 4 s after the start on, at most a share of the calls is refused.
    void ExpectFewRefused(Case run, double share = 0.01)
    {
        size_t refused = 0, calls = 0;
        for (int seed = 1; calls < 2000; seed++) {
            Fleet fleet(kNodes, GetParam(), seed);
            run(fleet);
            refused += Fleet::CountFrom(fleet.refused, fleet.measured_from);
            calls += Fleet::CountFrom(fleet.refused, fleet.measured_from) +
                     Fleet::CountFrom(fleet.admitted, fleet.measured_from);
        }
        EXPECT_LT(static_cast<double>(refused), share * calls);
    }
    double Usual() const
    {
        return GetParam() * kCalm;
    }
    double Hot() const
    {
        return GetParam() * kHot;
    }
    // Runs calmly until the bucket is full, then demand jumps.
    void RunIntoSurge(Fleet &fleet, double surge_s)
    {
        fleet.Run(8, Usual());
        fleet.Run(surge_s, Hot());
    }
};

INSTANTIATE_TEST_SUITE_P(Rates, QuotaTest,
                         ::testing::Values(6.0, 40.0, 566.0));

// Guards against credit or tokens that are granted beyond the limit when
// demand jumps, and against a limit that is not used up.
TEST_P(QuotaTest, HoldsTheBoundInASurge)
{
    ExpectBound([&](Fleet &fleet) {
        RunIntoSurge(fleet, 8);
        EXPECT_GT(fleet.WorstWindow(fleet.now - 6), GetParam() * 5 * 0.8);
        fleet.Run(4, Usual());
        fleet.Run(6, Hot());
    });
}

// Guards against a bucket that is full when another node becomes the owner.
TEST_P(QuotaTest, HoldsTheBoundWhenTheOwnerDies)
{
    for (double after_s : {0.0, 0.2, 1.0}) {
        ExpectBound([&](Fleet &fleet) {
            RunIntoSurge(fleet, after_s);
            fleet.nodes[0].is_dead = true;
            fleet.Run(6, Hot());
            fleet.Start(0);
            fleet.Run(6, Hot());
        });
    }
}

// Guards against an owner that resumes with the bucket of the time before it
// was paused.
TEST_P(QuotaTest, HoldsTheBoundWhenTheOwnerFreezes)
{
    for (double frozen_s : {0.4, 1.5, 4.0}) {
        ExpectBound([&](Fleet &fleet) {
            RunIntoSurge(fleet, 0.1);
            fleet.nodes[0].frozen_until = fleet.now + frozen_s;
            fleet.Run(10, Hot());
        });
    }
}

// Guards against parts of a divided fleet that each grant the whole limit.
TEST_P(QuotaTest, HoldsTheBoundInAPartition)
{
    for (int parts : {2, 3}) {
        for (double after_s : {0.0, 0.3, 2.0}) {
            ExpectBound([&](Fleet &fleet) {
                RunIntoSurge(fleet, after_s);
                for (size_t i = 0; i < fleet.nodes.size(); i++) {
                    fleet.nodes[i].part = static_cast<int>(i) % parts;
                }
                fleet.Run(6, Hot());
                for (SimNode &node : fleet.nodes) {
                    node.part = 0;
                }
                fleet.Run(6, Hot());
            });
        }
    }
}

// Guards against a second burst after a restart of all nodes.
TEST_P(QuotaTest, HoldsTheBoundWhenAllNodesRestart)
{
    ExpectBound([&](Fleet &fleet) {
        RunIntoSurge(fleet, 0.8);
        for (size_t i = 0; i < fleet.nodes.size(); i++) {
            fleet.Start(i);
        }
        fleet.Run(7, Hot());
    });
}

// Guards against two owners, while node records differ, that each grant the
// whole limit.
TEST_P(QuotaTest, HoldsTheBoundWithTwoOwners)
{
    ExpectBound([&](Fleet &fleet) {
        RunIntoSurge(fleet, 1.0);
        for (size_t first : {5, 0}) {
            for (size_t i = 0; i < fleet.nodes.size(); i += 2) {
                fleet.SetOwners(i, {first, 1, 2, 3});
            }
            fleet.Run(6, Hot());
        }
    });
}

// Guards against accounts that are not limited at nodes which have not heard
// that they are tight, since a response has no room for all, and against
// refusals of a calm account because of them.
TEST_P(QuotaTest, HoldsTheBoundWithManyTightAccounts)
{
    size_t refused = 0, calls = 0;
    for (int seed = 1; calls < 500; seed++) {
        Fleet fleet(kNodes, GetParam(), seed, 100);
        fleet.others_per_s = 100 * 3 * Fleet::kTightRate;
        fleet.Run(8, Usual());
        refused += Fleet::CountFrom(fleet.refused, fleet.measured_from);
        calls += Fleet::CountFrom(fleet.refused, fleet.measured_from) +
                 Fleet::CountFrom(fleet.admitted, fleet.measured_from);
        fleet.Run(8, Hot());
        fleet.nodes[0].is_dead = true;
        fleet.Run(6, Hot());
        EXPECT_LE(fleet.WorstWindow(), Fleet::Bound(GetParam()));
        for (const auto &other : fleet.others_admitted) {
            fleet.admitted = other.second;
            EXPECT_LE(fleet.WorstWindow(), Fleet::Bound(Fleet::kTightRate));
        }
    }
    EXPECT_LT(refused * 100, calls);
}

// Guards against tokens and credit of the old limit after it was lowered.
TEST_P(QuotaTest, AppliesALoweredLimit)
{
    Fleet fleet(kNodes, GetParam() * 5, 8);
    fleet.Run(8, Usual() * 5);
    // Nodes get the version within 2.5 s.
    for (SimNode &node : fleet.nodes) {
        Fleet::SetLimit(node, GetParam());
        fleet.Run(2.5 / kNodes, Usual() * 5);
    }
    double applied_at = fleet.now;
    fleet.Run(8, Hot());
    EXPECT_LE(fleet.WorstWindow(applied_at), Fleet::Bound(GetParam()));
}

// Guards against refusals below the limit, and against messages that grow with
// the calls.
TEST_P(QuotaTest, ServesUsualDemand)
{
    ExpectFewRefused([&](Fleet &fleet) {
        fleet.Run(20, Usual());
        EXPECT_LT(fleet.messages, 20 * kNodes * 4.5);
    });
}

// Guards against messages for accounts well under their limit.
TEST_P(QuotaTest, SendsLittleForLowDemand)
{
    Fleet fleet(kNodes, GetParam(), 1);
    fleet.Run(4, Usual() * 0.3);
    fleet.messages = 0;
    fleet.Run(10, Usual() * 0.3);
    EXPECT_LT(fleet.messages, 10 * kNodes * 2.6);
    EXPECT_EQ(Fleet::CountFrom(fleet.refused, fleet.measured_from), 0U);
}

// Guards against refusals below the limit when demand is concentrated.
TEST_P(QuotaTest, ServesDemandAtTwoNodes)
{
    ExpectFewRefused([&](Fleet &fleet) {
        fleet.weights.assign(kNodes, 0.2 / (kNodes - 2));
        fleet.weights[10] = fleet.weights[60] = 0.4;
        fleet.Run(20, Usual());
    });
}

// Guards against credit that stays at the nodes where the demand was.
TEST_P(QuotaTest, ServesDemandThatMoves)
{
    ExpectFewRefused([&](Fleet &fleet) {
        for (int step = 0; step < 200; step++) {
            // Within one second out of two, from one third to the next.
            double moved = std::min(step % 20 / 10.0, 1.0);
            size_t from = step / 20 % 3;
            for (size_t i = 0; i < fleet.weights.size(); i++) {
                fleet.weights[i] = i % 3 == from             ? 1 - moved
                                   : i % 3 == (from + 1) % 3 ? moved
                                                             : 0.0;
            }
            fleet.Run(0.1, Usual());
        }
    });
}

// Guards against refusals in bursts within the limit.
TEST_P(QuotaTest, ServesBursts)
{
    ExpectFewRefused([&](Fleet &fleet) {
        fleet.Run(20, [&](double at) {
            return GetParam() * (std::fmod(at, 2.0) < 0.4 ? 1.6 : 0.38);
        });
    });
}

// Guards against refusing the calls of all accounts of an owner that died.
TEST_P(QuotaTest, ServesMostCallsWhenTheOwnerDies)
{
    ExpectFewRefused(
        [&](Fleet &fleet) {
            fleet.others_per_s = 5 * kNodes;
            fleet.Run(8, Usual());
            fleet.nodes[0].is_dead = true;
            fleet.measured_from = fleet.now;
            fleet.Run(3, Usual());
        },
        0.1);
}

// Guards against serving small shares of a tight account less than large ones.
TEST_P(QuotaTest, ServesSmallSharesAsFullyAsLargeOnes)
{
    double admitted[2] = {}, calls[2] = {};
    for (int seed = 1; calls[0] < 2000; seed++) {
        Fleet fleet(kNodes, GetParam(), seed);
        fleet.weights.assign(kNodes, 0.4 / (kNodes - 2));
        fleet.weights[10] = fleet.weights[60] = 0.3;
        fleet.Run(4, GetParam() * 2);
        fleet.on_call = [&](size_t node, bool is_admitted) {
            bool is_large = node == 10 || node == 60;
            calls[is_large]++;
            admitted[is_large] += is_admitted;
        };
        fleet.Run(8, GetParam() * 2);
    }
    double small = admitted[0] / calls[0], large = admitted[1] / calls[1];
    EXPECT_GT(small, 0.8 * large);
    EXPECT_GT(large, 0.8 * small);
}

// Guards against credit that is lost when calls reach no target: they would be
// refused as soon as the bucket is empty, although none has run.
TEST(QuotaReturn, RefillsTheBucket)
{
    Fleet fleet(2, 50, 1);
    fleet.gives_back = true;
    fleet.Run(10, 100);
    EXPECT_LT(static_cast<double>(fleet.refused.size()),
              0.02 * static_cast<double>(fleet.admitted.size()));
}

// Guards against an account without any limit while its owner lacks the
// version that adds it.
TEST(QuotaOwner, UnknownAccountsAreLimitedByShare)
{
    Fleet fleet(4, 40, 1);
    BbQuotaOwner_SetAccounts(fleet.nodes[0].owner, nullptr);
    fleet.Run(10, 400);
    EXPECT_LE(fleet.WorstWindow(), Fleet::Bound(40));
    EXPECT_GT(fleet.WorstWindow(104), 5 * 40 * 0.7);
}

// Guards against a crash or an endless loop on a message of another release.
TEST(QuotaWire, SkipsMalformedLines)
{
    std::string text = "1 5 2 1 250 0 1 n 1\n"
                       "1 2 3\n\nx y\n3 4 0 -1 500 100 bakery 12\n1 1";
    char *cursor = text.data();
    bb_quota_report_head_t head;
    bb_quota_report_t report;

    ASSERT_TRUE(BbQuotaWire_ParseReportHead(&cursor, &head));
    EXPECT_STREQ(head.node, "n 1");
    EXPECT_TRUE(head.is_new);
    ASSERT_TRUE(BbQuotaWire_NextReport(&cursor, &report));
    EXPECT_STREQ(report.name, kAccount);
    EXPECT_EQ(report.held, -1);
    EXPECT_FALSE(BbQuotaWire_NextReport(&cursor, &report));
    std::string other = "2 5 2 1 250 0 1 n\n";
    cursor = other.data();
    EXPECT_FALSE(BbQuotaWire_ParseReportHead(&cursor, &head));
}

const char kHuge[] = "9223372036854775807";

// Guards against integer overflows and negative leases by figures that another
// node has sent.
TEST(QuotaWire, ClipsFigures)
{
    const std::string huge = kHuge;
    std::string text = "-" + huge + " -5 -5 -9 -7 -7 a\n" + huge + " " + huge +
                       " " + huge + " " + huge + " " + huge + " " + huge +
                       " b\n";
    char *cursor = text.data();
    bb_quota_report_t report;
    const int64_t most = 1000000000000;

    ASSERT_TRUE(BbQuotaWire_NextReport(&cursor, &report));
    EXPECT_EQ(report.credit, -most);
    EXPECT_EQ(report.wanted, 0);
    EXPECT_EQ(report.returned, 0);
    EXPECT_EQ(report.held, -1);
    EXPECT_EQ(report.demand_milli, 0);
    EXPECT_EQ(report.since_ms, 0);
    ASSERT_TRUE(BbQuotaWire_NextReport(&cursor, &report));
    EXPECT_EQ(report.credit, most);
    EXPECT_EQ(report.held, most);
    EXPECT_EQ(report.demand_milli, most);
    bb_quota_grant_t grant;
    text = "t -3 -1 -1 a\nt " + huge + " " + huge + " " + huge + " b\n";
    cursor = text.data();
    ASSERT_TRUE(BbQuotaWire_NextGrant(&cursor, &grant));
    EXPECT_EQ(grant.tokens, 0);
    EXPECT_EQ(grant.chance_milli, 0);
    ASSERT_TRUE(BbQuotaWire_NextGrant(&cursor, &grant));
    EXPECT_EQ(grant.tokens, most);
}

class OwnerOfOneAccount : public ::testing::Test {
  protected:
    OwnerOfOneAccount() : random(BbRandom_New(7)), text(g_string_new(nullptr))
    {
        bb_quota_owner_options_t options = {};
        options.random = random;
        owner = BbQuotaOwner_New(&options);
        BbQuotaOwner_SetNodeCount(owner, 1);
        SetLimit(kRate, kBurst);
    }
    ~OwnerOfOneAccount()
    {
        BbQuotaOwner_Free(owner);
        BbRandom_Free(random);
        g_string_free(text, TRUE);
    }
    void SetLimit(double rate, double burst)
    {
        bb_account_table_t *table = BbAccountTable_New();
        bb_account_t account = {const_cast<char *>("a"), 1, rate, burst};
        BbAccountTable_Add(table, &account);
        BbQuotaOwner_SetAccounts(owner, table);
        BbAccountTable_Free(table);
    }
    double Level() const
    {
        return BbQuotaOwner_Level(owner, "a");
    }
    // Returns the response to a report.
    std::string Report(std::string report, double now)
    {
        g_string_truncate(text, 0);
        EXPECT_TRUE(
            BbQuotaOwner_HandleReport(owner, report.data(), now, text));
        return text->str;
    }
    static constexpr double kRate = 10, kBurst = 20;
    bb_random_t *random;
    bb_quota_owner_t *owner;
    GString *text;
};

// Guards against reports of a faulty node that block an account for long, or
// raise its bucket above the burst.
TEST_F(OwnerOfOneAccount, BoundsDebtAndSurplus)
{
    const std::string huge = kHuge;
    Report("1 5 1 0 250 0 0 n\n" + huge + " 1 0 0 0 100 a\n", 10);
    EXPECT_GE(Level(), -(5 * kRate + kBurst + BB_QUOTA_EXTRA_CALLS));
    Report("1 5 2 1 250 0 0 n\n-" + huge + " 1 0 0 0 100 a\n", 10.2);
    EXPECT_LE(Level(), kBurst + BB_QUOTA_EXTRA_CALLS);
    Report("1 5 3 2 250 0 0 n\n0 1 " + huge + " 0 0 100 a\n", 10.4);
    EXPECT_LE(Level(), kBurst + BB_QUOTA_EXTRA_CALLS);
}

// Guards against memory that grows with the names in foreign messages, and
// against names that are kept for as long as their message asks for.
TEST_F(OwnerOfOneAccount, BoundsTheNodesThatItKeeps)
{
    const std::string first = "1 0 1 0 9223372036854775807 0 0 ";
    const std::string second = "1 0 2 1 9223372036854775807 0 0 ";
    const std::string returns = "last\n0 1 5 -1 0 100 a\n";
    for (int i = 0; i < 10000; i++) {
        Report(first + std::to_string(i) + "\n", 10);
    }
    Report(first + returns, 11.2);
    EXPECT_NEAR(Level(), 1.2 * kRate, 0.01);
    double forgotten = 10 + 60 * 1.6 + 5 + 0.1;
    Report(first + "last\n", forgotten);
    Report(second + returns, forgotten + 1.2);
    EXPECT_NEAR(Level(), 1.2 * kRate + 5, 0.01);
}

// One node whose reports go to the owner at once.
class NodeOfOneOwner : public OwnerOfOneAccount {
  protected:
    NodeOfOneOwner() : message(g_string_new(nullptr))
    {
        bb_quota_options_t options = {};
        options.node = "n";
        options.random = random;
        options.now = now;
        quota = BbQuota_New(&options);
        SetOwners({"o"});
    }
    ~NodeOfOneOwner()
    {
        BbQuota_Free(quota);
        g_string_free(message, TRUE);
    }
    void SetLimits(double rate, double burst)
    {
        bb_account_table_t *table = BbAccountTable_New();
        bb_account_t account = {const_cast<char *>("a"), 1, rate, burst};
        BbAccountTable_Add(table, &account);
        BbQuota_SetAccounts(quota, table);
        BbQuotaOwner_SetAccounts(owner, table);
        BbAccountTable_Free(table);
    }
    void SetOwners(const std::vector<const char *> &names)
    {
        BbQuota_SetOwners(quota, 0, names.data(), names.size(), now);
    }
    bool Admit(bb_quota_ticket_t *ticket)
    {
        double retry_after_s;
        return BbQuota_Admit(quota, "a", now, ticket, &retry_after_s);
    }
    // Sends the reports that are due. Responses to reports of the account may
    // be lost. Returns whether one was.
    bool Tick(bool is_response_lost = false)
    {
        bool has_lost = false;
        size_t candidate;
        now += BB_QUOTA_TICK_S;
        while (BbQuota_NextMessage(quota, 0, now, message, &candidate)) {
            bool has_account = strstr(message->str, " a\n") != nullptr;
            std::string response = Report(message->str, now);
            if (is_response_lost && has_account) {
                has_lost = true;
            }
            else {
                BbQuota_HandleResponse(quota, 0, candidate, response.data(),
                                       now);
            }
        }
        return has_lost;
    }
    // Level now: the empty report of another node refills the bucket.
    double CurrentLevel()
    {
        Report("1 9 1 0 60000 0 0 m\n0 0 0 -1 0 0 a\n", now);
        return Level();
    }
    double now = 100;
    bb_quota_t *quota;
    GString *message;
};

// Guards against calls that are returned twice because the response to their
// report was lost.
TEST_F(NodeOfOneOwner, ARepeatedReportReturnsCallsOnce)
{
    std::vector<bb_quota_ticket_t> tickets(20);
    SetLimits(10, 1000);
    while (now < 400 && Level() < 800) {
        Tick();
        if (static_cast<int>(now * 20) % 5 == 0) {
            Admit(&tickets[0]); // so that the owner knows the account
        }
    }
    for (auto &ticket : tickets) {
        ASSERT_TRUE(Admit(&ticket));
    }
    double begin = now;
    while (now < begin + 2) {
        Tick();
    }
    double level = CurrentLevel();
    ASSERT_GT(level, 700);
    ASSERT_LT(level, 900);
    begin = now;
    for (auto ticket : tickets) {
        BbQuota_Return(quota, "a", ticket, now);
    }
    while (!Tick(true) && now < begin + 2) {
    }
    SetOwners({"o", "p"});
    while (now < begin + 4) {
        Tick();
    }
    EXPECT_NEAR(CurrentLevel(), level + 20 + 10 * (now - begin), 1);
}

// Guards against a call that was admitted without a token of the local bucket,
// but returns one to it.
TEST_F(NodeOfOneOwner, ASingleCallWithoutAnOwnerReturnsNoToken)
{
    bb_quota_ticket_t ticket = 0;
    SetLimits(1, 1000);
    while (now < 2000 && Level() < 900) {
        Tick();
        if (static_cast<int>(now * 20) % 40 == 0) {
            Admit(&ticket);
        }
    }
    BbQuota_SetFleet(quota, 80, 1, now);
    now += 1;
    SetOwners({});
    // The local bucket is empty.
    ASSERT_TRUE(Admit(&ticket));
    BbQuota_Return(quota, "a", ticket, now);
    EXPECT_FALSE(Admit(&ticket));
}

// Guards against tokens that are returned to an owner that has not leased
// them, and against calls that no owner is told of, when a change of the
// number of slots gives the account another owner.
TEST_F(NodeOfOneOwner, AChangeOfSlotsKeepsCallsAndVoidsReturns)
{
    std::vector<bb_quota_ticket_t> tickets(20);
    SetLimits(10, 1000);
    while (now < 400 && Level() < 800) {
        Tick();
        if (static_cast<int>(now * 20) % 5 == 0) {
            Admit(&tickets[0]);
        }
    }
    for (auto &ticket : tickets) {
        ASSERT_TRUE(Admit(&ticket));
    }
    size_t candidate;
    now += 0.3;
    ASSERT_TRUE(BbQuota_NextMessage(quota, 0, now, message, &candidate));
    ASSERT_NE(strstr(message->str, "\n20 "), nullptr) << message->str;
    BbQuota_Return(quota, "a", tickets[0], now);
    BbQuota_SetFleet(quota, 1, 2, now);
    size_t slot = BbQuota_Slot("a", 2);
    const char *const name = "p";
    BbQuota_SetOwners(quota, slot, &name, 1, now);
    ASSERT_TRUE(BbQuota_NextMessage(quota, slot, now, message, &candidate));
    char *cursor = message->str;
    bb_quota_report_head_t head;
    bb_quota_report_t report;
    ASSERT_TRUE(BbQuotaWire_ParseReportHead(&cursor, &head));
    ASSERT_TRUE(BbQuotaWire_NextReport(&cursor, &report));
    EXPECT_EQ(report.returned, 0);
    EXPECT_GE(report.credit, 10); // less the share of at most 1 s
}

// One node, and an owner of many accounts.
class NodeOfManyAccounts : public NodeOfOneOwner {
  protected:
    void SetAccounts(size_t count, size_t name_size, double rate)
    {
        bb_account_table_t *table = BbAccountTable_New();
        for (size_t i = 0; i < count; i++) {
            std::string number = std::to_string(i);
            names.push_back(std::string(name_size - number.size(), 'x') +
                            number);
            bb_account_t account = {names[i].data(), 1, rate, 2};
            BbAccountTable_Add(table, &account);
        }
        BbQuota_SetAccounts(quota, table);
        BbQuotaOwner_SetAccounts(owner, table);
        BbAccountTable_Free(table);
    }
    size_t AdmitOneOfEach()
    {
        size_t admitted = 0;
        for (const std::string &name : names) {
            bb_quota_ticket_t ticket;
            double retry_after_s;
            admitted += BbQuota_Admit(quota, name.c_str(), now, &ticket,
                                      &retry_after_s);
        }
        return admitted;
    }
    // Another node has 10 calls of each account.
    void ReportOthers(int sequence)
    {
        std::string report = "1 9 " + std::to_string(sequence) + " " +
                             std::to_string(sequence - 1) + " 60000 0 0 m\n";
        for (const std::string &name : names) {
            report += "10 10 0 -1 0 100 " + name + "\n";
        }
        Report(report, now);
    }
    std::vector<std::string> names;
};

// Guards against a node that takes tight accounts for calm because they do not
// fit into one response, and against accounts that it takes for tight for
// ever.
TEST_F(NodeOfManyAccounts, LearnsTheStatesOfAllAccounts)
{
    SetAccounts(1000, 8, 1);
    BbQuotaOwner_SetNodeCount(owner, 2);
    ReportOthers(1);
    now += 3; // the owner is no longer new
    ReportOthers(2);
    Tick();
    EXPECT_EQ(AdmitOneOfEach(), 0u);
    for (double end = now + 80; now < end;) {
        Tick();
    }
    EXPECT_EQ(AdmitOneOfEach(), names.size());
}

// Guards against reports that are refused for their size, and against lines
// that are left out or repeated when one message of several is lost.
TEST_F(NodeOfManyAccounts, SplitReportsCountEachCallOnce)
{
    std::map<std::string, int64_t> credit;
    size_t candidate, sent = 0; // messages
    SetAccounts(5000, 100, 1e-6);
    for (double end = now + 3; now < end;) {
        Tick();
    }
    ASSERT_EQ(AdmitOneOfEach(), names.size());
    ASSERT_EQ(AdmitOneOfEach(), names.size());
    for (double end = now + 2; now < end; now += BB_QUOTA_TICK_S) {
        while (BbQuota_NextMessage(quota, 0, now, message, &candidate)) {
            EXPECT_LT(message->len, 128u * 1024);
            if (++sent == 3) {
                BbQuota_HandleFailure(quota, 0, candidate, now);
                continue;
            }
            std::string text = message->str;
            bb_quota_report_head_t head;
            bb_quota_report_t report;
            char *cursor = text.data();
            ASSERT_TRUE(BbQuotaWire_ParseReportHead(&cursor, &head));
            while (BbQuotaWire_NextReport(&cursor, &report)) {
                credit[report.name] += report.credit;
            }
            std::string response = Report(message->str, now);
            BbQuota_HandleResponse(quota, 0, candidate, response.data(), now);
            EXPECT_TRUE(sent > 3 || BbQuota_IsContinued(quota, 0));
        }
    }
    for (const std::string &name : names) {
        ASSERT_EQ(credit[name], 2) << name;
    }
}

} // namespace
