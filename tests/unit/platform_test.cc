// Tests of bb_store: tables, transactions and objects of the platform
// stand-in.
#include <gtest/gtest.h>

#include <string>

#include "bb_error.h"
#include "bb_store.h"

namespace {

const int64_t kNow = 1000000;

class Store : public ::testing::Test {
  protected:
    void SetUp() override
    {
        store = BbStore_New();
    }
    void TearDown() override
    {
        BbStore_Free(store);
    }
    // Returns the error of the commit; sets revision and conflicts from its
    // response.
    int Commit(const std::string &checks, const std::string &writes,
               int64_t now = kNow)
    {
        std::string text = "{\"id\":\"00\",\"checks\":[" + checks +
                           "],\"writes\":[" + writes + "]}";
        json_t *transaction = json_loads(text.c_str(), 0, nullptr);
        json_t *response = nullptr;
        int error = BbStore_Commit(store, transaction, now, &response);
        revision = json_integer_value(json_object_get(response, "revision"));
        conflicts = json_array_size(json_object_get(response, "conflicts"));
        json_decref(response);
        json_decref(transaction);
        return error;
    }
    // Returns the value of a row as JSON text, empty when the row is absent.
    std::string Value(const char *table, const char *key, int64_t now = kNow)
    {
        json_t *row = BbStore_GetRow(store, table, key, now);
        if (row == nullptr) {
            return "";
        }
        char *text = json_dumps(json_object_get(row, "value"),
                                JSON_COMPACT | JSON_ENCODE_ANY);
        std::string value(text);
        free(text);
        json_decref(row);
        return value;
    }
    bb_store_t *store;
    int64_t revision = 0;
    size_t conflicts = 0;
};

const char kWriteA[] = R"({"table":"t","key":"a","value":1})";
const char kWriteB[] = R"({"table":"t","key":"b","value":2})";
const char kCheckAIsAbsent[] = R"({"table":"t","key":"a","revision":0})";

// Guards against two inserts of one row that both succeed.
TEST_F(Store, InsertIfAbsentSucceedsOnce)
{
    EXPECT_EQ(Commit(kCheckAIsAbsent, kWriteA), 0);
    EXPECT_EQ(Commit(kCheckAIsAbsent, kWriteA), BB_ERR_CONFLICT);
    EXPECT_EQ(conflicts, 1u);
}

// Guards against a refused or malformed transaction that applies some of its
// writes.
TEST_F(Store, RefusedTransactionWritesNothing)
{
    ASSERT_EQ(Commit("", kWriteA), 0);
    EXPECT_EQ(Commit(std::string(kCheckAIsAbsent) + "," +
                         R"({"table":"t","key":"b","revision":0})",
                     kWriteB),
              BB_ERR_CONFLICT);
    EXPECT_EQ(Value("t", "b"), "");
    EXPECT_EQ(Commit("", std::string(kWriteB) + R"(,{"table":"t"})"),
              BB_ERR_ARGUMENT);
    EXPECT_EQ(Value("t", "b"), "");
    EXPECT_EQ(Commit("", std::string(kWriteB) + "," + kWriteB),
              BB_ERR_ARGUMENT);
}

// Guards against a row that gets an old revision when it is inserted again
// after a deletion, so that a check of the old revision succeeds.
TEST_F(Store, RevisionIsNeverReused)
{
    ASSERT_EQ(Commit("", kWriteA), 0);
    int64_t first = revision;
    ASSERT_EQ(Commit("", R"({"table":"t","key":"a","value":null})"), 0);
    EXPECT_EQ(Value("t", "a"), "");
    ASSERT_EQ(Commit(kCheckAIsAbsent, kWriteA), 0);
    EXPECT_GT(revision, first);
    EXPECT_EQ(Commit(R"({"table":"t","key":"a","revision":)" +
                         std::to_string(first) + "}",
                     kWriteB),
              BB_ERR_CONFLICT);
}

// Guards against a transaction that commits outside the time window it checks.
// An owner's acceptance is limited to the owner's month in this way.
TEST_F(Store, CommitOutsideTimeWindowIsRefused)
{
    const char *window = R"({"not_before_ms":1000,"before_ms":2000})";
    EXPECT_EQ(Commit(window, kWriteA, 999), BB_ERR_CONFLICT);
    EXPECT_EQ(Commit(window, kWriteA, 1000), 0);
    EXPECT_EQ(Commit(window, kWriteA, 2000), BB_ERR_CONFLICT);
}

// Guards against expired rows that are still returned, listed or block an
// insert.
TEST_F(Store, RowExpiresByThePlatformClock)
{
    ASSERT_EQ(Commit("", R"({"table":"t","key":"a","value":1,"ttl_ms":50})"),
              0);
    EXPECT_EQ(Value("t", "a", kNow + 49), "1");
    EXPECT_EQ(Value("t", "a", kNow + 50), "");
    json_t *list = BbStore_ListRows(store, "t", nullptr, kNow + 50);
    EXPECT_EQ(json_array_size(json_object_get(list, "rows")), 0u);
    json_decref(list);
    EXPECT_EQ(Commit(kCheckAIsAbsent, kWriteA, kNow + 49), BB_ERR_CONFLICT);
    EXPECT_EQ(Commit(kCheckAIsAbsent, kWriteA, kNow + 50), 0);
    BbStore_Expire(store, kNow + 1000);
    EXPECT_EQ(Value("t", "a", kNow + 1000), "1");
}

// Guards against lists that contain rows of other tables or without the
// prefix, or are not sorted by key.
TEST_F(Store, ListIsSortedAndFiltered)
{
    ASSERT_EQ(Commit("", std::string(kWriteB) + "," + kWriteA +
                             R"(,{"table":"t","key":"a/1","value":3},)"
                             R"({"table":"u","key":"a","value":4})"),
              0);
    json_t *list = BbStore_ListRows(store, "t", "a", kNow);
    json_t *rows = json_object_get(list, "rows");
    ASSERT_EQ(json_array_size(rows), 2u);
    EXPECT_STREQ(
        json_string_value(json_object_get(json_array_get(rows, 1), "key")),
        "a/1");
    json_decref(list);
}

// Guards against objects that can be overwritten. Versions are stored under
// the digest of their content, so an object must not change.
TEST_F(Store, ObjectsAreWriteOnce)
{
    size_t size = 0;
    EXPECT_EQ(BbStore_PutObject(store, "o", "abc", 3), 1);
    EXPECT_EQ(BbStore_PutObject(store, "o", "abc", 3), 0);
    EXPECT_EQ(BbStore_PutObject(store, "o", "abd", 3), BB_ERR_CONFLICT);
    const char *content = BbStore_GetObject(store, "o", &size);
    EXPECT_EQ(std::string(content, size), "abc");
    EXPECT_EQ(BbStore_GetObject(store, "p", &size), nullptr);
}

} // namespace
