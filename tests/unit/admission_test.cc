// Tests of lib/admission without a load: limits and edge cases.
#include <gtest/gtest.h>

#include <string>

#include "bb_call_tree.h"
#include "bb_fair_share.h"
#include "bb_reserve.h"
#include "bb_slot_queue.h"

namespace {

const bb_reserve_call_t kLong = {"profile", 2, 0.87, 4};
const bb_reserve_call_t kUrgent = {"price", 0, 0.14, 0.4};

// Urgent calls at the given rate from 1.0 s to 2.0 s.
bb_reserve_t *
ReserveAfterArrivals(int per_s, const bb_reserve_call_t &call)
{
    bb_reserve_t *reserve = BbReserve_New();
    for (int i = 0; i <= per_s; i++) {
        BbReserve_OnArrival(reserve, &call, 1.0 + 1.0 * i / per_s);
    }
    return reserve;
}

} // namespace

// Guards against a reserve that starves the low rank, that is kept when no
// urgent calls come, and that counts against urgent calls themselves.
TEST(AdmissionReserve, IsBoundedAndReleased)
{
    bb_reserve_t *reserve = ReserveAfterArrivals(30, kUrgent);
    EXPECT_LT(BbReserve_Limit(reserve, &kLong, 18, 2.0), 18);
    EXPECT_EQ(BbReserve_Limit(reserve, &kUrgent, 18, 2.0), 18);
    EXPECT_EQ(BbReserve_Limit(reserve, &kLong, 18, 3.2), 18);
    BbReserve_Free(reserve);
    reserve = ReserveAfterArrivals(2000, kUrgent);
    EXPECT_EQ(BbReserve_Limit(reserve, &kLong, 18, 2.0), 5);
    EXPECT_EQ(BbReserve_Limit(reserve, &kLong, 1, 2.0), 1);
    for (int i = 0; i < 5; i++) {
        EXPECT_TRUE(BbReserve_MayStart(reserve, &kLong, 18, 2.0));
        BbReserve_OnStart(reserve, kLong.rank);
    }
    EXPECT_FALSE(BbReserve_MayStart(reserve, &kLong, 18, 2.0));
    EXPECT_TRUE(BbReserve_MayStart(reserve, &kUrgent, 18, 2.0));
    BbReserve_OnEnd(reserve, kLong.rank);
    EXPECT_TRUE(BbReserve_MayStart(reserve, &kLong, 18, 2.0));
    BbReserve_Free(reserve);
}

// Guards against slots that stay empty for classes whose calls end soon
// enough to make room for each other.
TEST(AdmissionReserve, ShortRunsOfLowRankAreNotLimited)
{
    const bb_reserve_call_t menu = {"menu", 2, 0.16, 0.6};
    const bb_reserve_call_t booking = {"booking", 1, 0.21, 1};
    bb_reserve_t *reserve = ReserveAfterArrivals(2000, booking);
    EXPECT_EQ(BbReserve_Limit(reserve, &menu, 9, 2.0), 9);
    BbReserve_Free(reserve);
}

// Guards against an order that changes by accounts where none is heavier than
// the others or none is known, and against a surplus that is never forgotten.
TEST(AdmissionFairShare, OnlyASurplusBeyondFluctuationCounts)
{
    bb_fair_share_t *share = BbFairShare_New();
    for (int i = 0; i < 100; i++) {
        BbFairShare_Add(share, nullptr, 1, 0.5, 1.0 + i * 0.02);
    }
    EXPECT_EQ(BbFairShare_Excess(share, nullptr, 3.0), 0);
    for (int i = 0; i < 300; i++) {
        std::string account = i % 3 == 0 ? "hot" : std::to_string(i % 20);
        BbFairShare_Add(share, account.c_str(), 2, 0.5, 3.0 + i * 0.02);
    }
    EXPECT_EQ(BbFairShare_Excess(share, "hot", 9.0), 1);
    EXPECT_EQ(BbFairShare_Excess(share, "4", 9.0), 0);
    EXPECT_EQ(BbFairShare_Excess(share, nullptr, 9.0), 0);
    for (int i = 0; i < 60; i++) {
        BbFairShare_Add(share, std::to_string(i % 20).c_str(), 2, 0.5,
                        15.0 + i * 0.1);
    }
    EXPECT_EQ(BbFairShare_Excess(share, "hot", 21.0), 0);
    BbFairShare_Free(share);
}

namespace {

// One run of "menu" with two nested calls of "allergy".
void
RunMenu(bb_call_tree_t *tree, bool is_refused, double now)
{
    double age_s;
    bb_call_run_t *run = BbCallTree_StartRun(tree, "c.1", "menu", now - 0.2);
    ASSERT_TRUE(BbCallTree_BeginNested(tree, "c.1.a", "allergy", now, &age_s));
    EXPECT_NEAR(age_s, 0.2, 1e-9);
    ASSERT_TRUE(
        BbCallTree_BeginNested(tree, "c.1.b.2", "allergy", now, &age_s));
    BbCallTree_EndNested(tree, "allergy", is_refused, now);
    BbCallTree_EndNested(tree, "allergy", is_refused, now);
    BbCallTree_EndRun(tree, run);
}

} // namespace

// Guards against calls that are taken for nested ones, and against a node that
// learns from ids that do not show nested calls.
TEST(AdmissionCallTree, FindsOnlyCallsNestedInRuns)
{
    double age_s;
    bb_call_tree_t *tree = BbCallTree_New(".");
    bb_call_run_t *run = BbCallTree_StartRun(tree, "c1", "menu", 1);
    for (const char *id :
         {"c1", "c10", "c10.1", "c", "", ".", "c.1", "xc1.1", "c1........."}) {
        EXPECT_FALSE(BbCallTree_BeginNested(tree, id, "a", 2, &age_s)) << id;
    }
    EXPECT_TRUE(BbCallTree_BeginNested(tree, "c1.1", "a", 2, &age_s));
    BbCallTree_EndRun(tree, run);
    EXPECT_FALSE(BbCallTree_BeginNested(tree, "c1.1", "a", 2, &age_s));
    BbCallTree_Free(tree);
    tree = BbCallTree_New(nullptr);
    EXPECT_EQ(BbCallTree_StartRun(tree, "c1", "menu", 1), nullptr);
    EXPECT_FALSE(BbCallTree_BeginNested(tree, "c1.1", "a", 2, &age_s));
    BbCallTree_Free(tree);
}

// Guards against nested calls that are no longer recognized after many
// configurations with other routes, and against runs that refer to a class
// that was dropped.
TEST(AdmissionCallTree, TableOfClassesStartsAnewWhenFull)
{
    bb_call_tree_t *tree = BbCallTree_New(".");
    double age_s;
    bb_call_run_t *first = BbCallTree_StartRun(tree, "first", "parent", 1.0);
    EXPECT_TRUE(BbCallTree_BeginNested(tree, "first.1", "child", 1, &age_s));
    for (int i = 0; i < 3000; i++) {
        std::string name = "class " + std::to_string(i);
        BbCallTree_EndRun(
            tree, BbCallTree_StartRun(tree, "other", name.c_str(), 1.0));
    }
    EXPECT_TRUE(BbCallTree_BeginNested(tree, "first.2", "child", 1, &age_s));
    bb_call_run_t *last = BbCallTree_StartRun(tree, "last", "new", 1.0);
    EXPECT_TRUE(BbCallTree_BeginNested(tree, "last.1", "newer", 1, &age_s));
    BbCallTree_EndRun(tree, first);
    BbCallTree_EndRun(tree, last);
    BbCallTree_Free(tree);
}

// Guards against refused roots without a shortage or after it has ended, and
// against a refusal of all roots, after which no recovery would be seen.
TEST(AdmissionCallTree, RefusesRootsOnlyDuringAShortage)
{
    bb_call_tree_t *tree = BbCallTree_New(".");
    int refused = 0;
    double now = 1;
    for (int i = 0; i < 50; i++) {
        RunMenu(tree, i % 10 == 0, now += 0.02);
        EXPECT_FALSE(BbCallTree_MustRefuse(tree, "menu", now));
    }
    for (int i = 0; i < 400; i++) {
        RunMenu(tree, true, now += 0.02);
        refused += BbCallTree_MustRefuse(tree, "menu", now);
        EXPECT_FALSE(BbCallTree_MustRefuse(tree, "booking", now));
    }
    EXPECT_GT(refused, 300);
    EXPECT_LE(refused, 360);
    EXPECT_EQ(BbCallTree_RefusalShare(tree, "menu", now + 10), 0);
    for (int i = 0; i < 100; i++) {
        RunMenu(tree, false, now += 0.02);
    }
    EXPECT_EQ(BbCallTree_RefusalShare(tree, "menu", now), 0);
    BbCallTree_Free(tree);
}

// Guards against a load report that changes where all calls are alike, and
// against one that gives the time of the short calls that go first while long
// calls wait.
TEST(AdmissionLoadReport, GivesTheMixOfOpenCalls)
{
    bb_slot_queue_t *queue = BbSlotQueue_New();
    bb_slot_ticket_t tickets[8] = {};
    BbSlotQueue_SetSlots(queue, 1);
    for (int i = 0; i < 8; i++) {
        tickets[i].class_name = i < 6 ? "profile" : "price";
        tickets[i].target_latency_s = tickets[i].due_at = 100;
        tickets[i].expires_at = 200;
    }
    auto run = [&](bb_slot_ticket_t *ticket, double now, double took_s) {
        ASSERT_EQ(BbSlotQueue_Offer(queue, ticket, now), BB_SLOT_RUNNING);
        BbSlotQueue_Finish(queue, ticket, true, now + took_s);
    };
    run(&tickets[0], 1.0, 0.8);
    run(&tickets[1], 2.0, 0.9);
    BbSlotQueue_Offer(queue, &tickets[2], 3.0);
    BbSlotQueue_Offer(queue, &tickets[3], 3.0);
    EXPECT_DOUBLE_EQ(BbSlotQueue_MixTime(queue, 3.0),
                     BbSlotQueue_ServiceTime(queue, 3.0));
    BbSlotQueue_Finish(queue, &tickets[2], false, 3.1);
    EXPECT_EQ(BbSlotQueue_Next(queue, 3.1), &tickets[3]);
    BbSlotQueue_Finish(queue, &tickets[3], false, 3.1);
    run(&tickets[6], 3.1, 0.1);
    for (int i = 0; i < 60; i++) {
        run(&tickets[7], 3.2 + i * 0.01, 0.01);
    }
    BbSlotQueue_Offer(queue, &tickets[4], 3.8);
    BbSlotQueue_Offer(queue, &tickets[5], 3.8);
    EXPECT_LT(BbSlotQueue_ServiceTime(queue, 3.8), 0.1);
    EXPECT_GT(BbSlotQueue_MixTime(queue, 3.8), 0.7);
    BbSlotQueue_Free(queue);
}
