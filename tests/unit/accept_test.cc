// Tests of propose, accept, refuse and draft edits against an in-memory fake
// of the platform's rows.
#include <gtest/gtest.h>

#include <sodium.h>

#include <cstring>
#include <map>
#include <string>

#include "bb_accept.h"
#include "bb_error.h"

namespace {

const int64_t kDecemberStartMs = 1796083200000; // 2026-12-01T00:00:00Z
const int64_t kJanuaryStartMs = 1798761600000;  // 2027-01-01T00:00:00Z

std::string
Text(json_t *object, const char *field)
{
    const char *text = json_string_value(json_object_get(object, field));
    return text != nullptr ? text : "";
}

int64_t
Integer(json_t *object, const char *field)
{
    return json_integer_value(json_object_get(object, field));
}

// In-memory rows with the transaction semantics that bb_accept relies on: all
// checks must pass, then all writes are applied at one new revision.
struct FakeTable {
    struct Row {
        json_t *value;
        int64_t revision;
    };
    std::map<std::string, Row> rows;
    int64_t now_ms = kDecemberStartMs + 1000, revision = 0;

    ~FakeTable()
    {
        for (auto &entry : rows) {
            json_decref(entry.second.value);
        }
    }
    bb_row_t Get(const std::string &name)
    {
        auto found = rows.find(name);
        return found == rows.end()
                   ? bb_row_t{nullptr, 0}
                   : bb_row_t{found->second.value, found->second.revision};
    }
    static std::string RowName(json_t *item)
    {
        return Text(item, "table") + "/" + Text(item, "key");
    }
    bool CheckPasses(json_t *check)
    {
        if (json_object_get(check, "table") == nullptr) {
            return now_ms >= Integer(check, "not_before_ms") &&
                   now_ms < Integer(check, "before_ms");
        }
        return Get(RowName(check)).revision == Integer(check, "revision");
    }
    int Commit(json_t *transaction, json_t **response)
    {
        json_t *conflicts = json_array(), *item;
        size_t i;
        json_array_foreach (json_object_get(transaction, "checks"), i, item) {
            if (!CheckPasses(item)) {
                json_array_append_new(
                    conflicts, json_pack("{s:I}", "check", (json_int_t)i));
            }
        }
        *response = json_pack("{s:o}", "conflicts", conflicts);
        if (json_array_size(conflicts) > 0) {
            return BB_ERR_CONFLICT;
        }
        revision++;
        json_array_foreach (json_object_get(transaction, "writes"), i, item) {
            json_t *value = json_object_get(item, "value");
            auto found = rows.find(RowName(item));
            if (found != rows.end()) {
                json_decref(found->second.value);
                rows.erase(found);
            }
            if (!json_is_null(value)) {
                rows[RowName(item)] = {json_incref(value), revision};
            }
        }
        return 0;
    }
};

class AcceptTest : public ::testing::Test {
  protected:
    void SetUp() override
    {
        ASSERT_GE(sodium_init(), 0);
        crypto_sign_keypair(owner.key, secret_key);
        strcpy(owner.name, "harbour");
        SetOwner("2026-12", "harbour", owner.key);
        BbFindings_Init(&findings);
    }
    void TearDown() override
    {
        BbFindings_Free(&findings);
    }
    static std::string WriteId(int number)
    {
        return std::string(BB_WRITE_ID_HEX_LENGTH - 1, '0') +
               (char)('0' + number);
    }
    void SetOwner(const char *month, const char *name,
                  const unsigned char *key)
    {
        char text[BB_KEY_HEX_LENGTH + 1];
        sodium_bin2hex(text, sizeof(text), key, 32);
        bb_change_t change;
        ASSERT_EQ(BbAccept_MakeSetOwner(
                      month, table.Get(std::string("owners/") + month), name,
                      text, WriteId(9).c_str(), &change),
                  0);
        EXPECT_EQ(Send(&change), BB_COMMIT_DONE);
        BbAccept_FreeChange(&change);
    }
    void Propose(const char *id, char digit)
    {
        std::string write_id = WriteId(8), digest(BB_DIGEST_HEX_LENGTH, digit);
        bb_proposal_t proposal = {id, write_id.c_str(),         digest.c_str(),
                                  10, table.Get("head/config"), table.now_ms};
        bb_change_t change;
        ASSERT_EQ(BbAccept_MakePropose(&proposal, &change), 0);
        EXPECT_EQ(Send(&change), BB_COMMIT_DONE);
        BbAccept_FreeChange(&change);
    }
    // Reads the rows that a decision depends on, as bbctl does.
    bb_decision_t ReadDecision(const char *id, const char *month = "2026-12")
    {
        bb_decision_t decision = {};
        decision.now_ms = table.now_ms;
        decision.owner = table.Get(std::string("owners/") + month);
        decision.head = table.Get("head/config");
        decision.proposal = table.Get(std::string("proposals/") + id);
        decision.proposal_id = id;
        decision.write_id = write_id.c_str();
        decision.secret_key = secret_key;
        return decision;
    }
    bb_commit_result_t ReadBack(const bb_change_t *change)
    {
        bb_row_t row =
            table.Get(std::string(change->table) + "/" + change->key);
        json_t *response = json_pack("{s:O*,s:I}", "value", row.value,
                                     "revision", (json_int_t)row.revision);
        bb_commit_result_t result = BbAccept_EvaluateReadBack(
            change, row.value != nullptr ? 0 : BB_ERR_NOT_FOUND, response);
        json_decref(response);
        return result;
    }
    bb_commit_result_t Send(bb_change_t *change, bool is_response_lost = false)
    {
        json_t *response = nullptr;
        int error = table.Commit(change->transaction, &response);
        bb_commit_result_t result = BbAccept_EvaluateCommit(
            change, is_response_lost ? BB_ERR_UNKNOWN : error,
            is_response_lost ? nullptr : response);
        json_decref(response);
        return result == BB_COMMIT_READ_BACK ? ReadBack(change) : result;
    }
    bb_commit_result_t Accept(const char *id)
    {
        bb_change_t change;
        EXPECT_EQ(MakeAccept(ReadDecision(id), &change), 0);
        bb_commit_result_t result = Send(&change);
        BbAccept_FreeChange(&change);
        return result;
    }
    int MakeAccept(const bb_decision_t &decision, bb_change_t *change)
    {
        return BbAccept_MakeAccept(&decision, &findings, change);
    }
    int64_t HeadVersion()
    {
        return Integer(table.Get("head/config").value, "version");
    }
    FakeTable table;
    bb_trusted_owner_t owner = {};
    unsigned char secret_key[crypto_sign_SECRETKEYBYTES];
    std::string write_id = WriteId(1);
    bb_findings_t findings;
};

} // namespace

// Guards against month bounds that depend on the local time zone or assume a
// fixed month length.
TEST(Month, FormatAndBoundsAreUtc)
{
    char month[BB_MONTH_LENGTH + 1];
    int64_t begin, end;
    BbMonth_Format(kJanuaryStartMs - 1, month);
    EXPECT_STREQ(month, "2026-12");
    ASSERT_EQ(BbMonth_GetBounds(month, &begin, &end), 0);
    EXPECT_EQ(begin, kDecemberStartMs);
    EXPECT_EQ(end, kJanuaryStartMs);
    ASSERT_EQ(BbMonth_GetBounds("2028-02", &begin, &end), 0);
    EXPECT_EQ(end - begin, 29 * 86400000LL);
    EXPECT_EQ(BbMonth_GetBounds("2026-00", &begin, &end), BB_ERR_ARGUMENT);
    EXPECT_EQ(BbMonth_GetBounds("2026-1x", &begin, &end), BB_ERR_ARGUMENT);
}

// Guards against a signed record that nodes reject, and against reusing the
// old version number when content that was in force before is accepted again.
TEST_F(AcceptTest, ReacceptedContentGetsANewVersionNumber)
{
    bb_release_t release;
    // Proposal id, and the digit that its digest consists of.
    for (const char *step : {"a:1", "b:2", "c:1"}) {
        std::string id(step, 1);
        Propose(id.c_str(), step[2]);
        EXPECT_EQ(Accept(id.c_str()), BB_COMMIT_DONE);
    }
    EXPECT_EQ(HeadVersion(), 3);
    ASSERT_EQ(
        BbRelease_FromJson(table.Get("versions/000000000003").value, &release),
        0);
    EXPECT_EQ(BbRelease_Verify(&release, &owner, 1), 0);
    EXPECT_EQ(release.digest, std::string(BB_DIGEST_HEX_LENGTH, '1'));
    EXPECT_EQ(release.previous_digest, std::string(BB_DIGEST_HEX_LENGTH, '2'));
    EXPECT_EQ(Text(table.Get("proposals/c").value, "state"), "accepted");
}

// Guards against two operators who accept at the same time and are both told
// that their version is in force, and against the later accept overwriting the
// rows of the earlier one.
TEST_F(AcceptTest, OnlyOneOfTwoConcurrentAcceptsIsCommitted)
{
    Propose("a", '1');
    Propose("b", '2');
    bb_change_t first, second;
    ASSERT_EQ(MakeAccept(ReadDecision("a"), &first), 0);
    write_id = WriteId(2);
    ASSERT_EQ(MakeAccept(ReadDecision("b"), &second), 0);
    EXPECT_EQ(Send(&first), BB_COMMIT_DONE);
    EXPECT_EQ(Send(&second), BB_COMMIT_HEAD_CHANGED);
    EXPECT_EQ(json_array_size(second.changed_rows), 2u);
    EXPECT_STREQ(json_string_value(json_array_get(second.changed_rows, 0)),
                 "head/config");
    EXPECT_EQ(Text(table.Get("proposals/b").value, "state"), "open");
    BbAccept_FreeChange(&first);
    BbAccept_FreeChange(&second);
    EXPECT_EQ(MakeAccept(ReadDecision("b"), &second), BB_ERR_CONFLICT);
    EXPECT_STREQ(findings.items[0].column, "base_version");
    EXPECT_EQ(HeadVersion(), 1);
}

// Guards against creating a second version when an accept was committed but
// its response was lost.
TEST_F(AcceptTest, CommittedAcceptWithLostResponseIsDetected)
{
    Propose("a", '1');
    bb_change_t change;
    ASSERT_EQ(MakeAccept(ReadDecision("a"), &change), 0);
    EXPECT_EQ(Send(&change, true), BB_COMMIT_DONE);
    // The second copy conflicts with the first.
    EXPECT_EQ(Send(&change), BB_COMMIT_DONE);
    EXPECT_EQ(HeadVersion(), 1);
    BbAccept_FreeChange(&change);
}

// Guards against reporting success for a write that was never committed, and
// against a repeat that succeeds after another operator's accept.
TEST_F(AcceptTest, UncommittedAcceptWithLostResponseIsRetried)
{
    Propose("a", '1');
    bb_change_t change;
    ASSERT_EQ(MakeAccept(ReadDecision("a"), &change), 0);
    EXPECT_EQ(BbAccept_EvaluateCommit(&change, BB_ERR_UNKNOWN, nullptr),
              BB_COMMIT_READ_BACK);
    EXPECT_EQ(BbAccept_EvaluateReadBack(&change, BB_ERR_UNAVAILABLE, nullptr),
              BB_COMMIT_UNKNOWN);
    EXPECT_EQ(ReadBack(&change), BB_COMMIT_RETRY);
    // The first copy may still be committed.
    EXPECT_EQ(BbAccept_EvaluateCommit(&change, BB_ERR_UNAVAILABLE, nullptr),
              BB_COMMIT_READ_BACK);
    Propose("b", '2');
    write_id = WriteId(2);
    EXPECT_EQ(Accept("b"), BB_COMMIT_DONE);
    EXPECT_EQ(ReadBack(&change), BB_COMMIT_HEAD_CHANGED);
    EXPECT_EQ(Send(&change), BB_COMMIT_HEAD_CHANGED);
    BbAccept_FreeChange(&change);
}

// Guards against an owner whose accept is committed after the end of the
// month.
TEST_F(AcceptTest, MonthEndsBetweenReadAndCommit)
{
    Propose("a", '1');
    bb_change_t change;
    ASSERT_EQ(MakeAccept(ReadDecision("a"), &change), 0);
    table.now_ms = kJanuaryStartMs;
    EXPECT_EQ(Send(&change), BB_COMMIT_MONTH_ENDED);
    EXPECT_EQ(HeadVersion(), 0);
    BbAccept_FreeChange(&change);
    EXPECT_EQ(MakeAccept(ReadDecision("a", "2027-01"), &change),
              BB_ERR_NOT_OWNER);
    EXPECT_STREQ(findings.items[0].row, "2027-01");
}

// Guards against an accept or refusal with a key that is not the owner's, also
// when the owner is replaced between reading the rows and the commit.
TEST_F(AcceptTest, KeyOfAnotherOwnerIsRejected)
{
    unsigned char other_key[32], other_secret_key[64];
    crypto_sign_keypair(other_key, other_secret_key);
    Propose("a", '1');
    bb_decision_t decision = ReadDecision("a");
    decision.secret_key = other_secret_key;
    bb_change_t change;
    EXPECT_EQ(MakeAccept(decision, &change), BB_ERR_NOT_OWNER);
    EXPECT_EQ(BbAccept_MakeRefuse(&decision, "no", &findings, &change),
              BB_ERR_NOT_OWNER);
    EXPECT_STREQ(findings.items[0].column, "key");
    ASSERT_EQ(MakeAccept(ReadDecision("a"), &change), 0);
    SetOwner("2026-12", "inland", other_key);
    EXPECT_EQ(Send(&change), BB_COMMIT_OWNER_CHANGED);
    BbAccept_FreeChange(&change);
}

// Guards against accepting a refused proposal, and against a refusal without a
// reason.
TEST_F(AcceptTest, RefusalStoresItsReason)
{
    Propose("a", '1');
    bb_decision_t decision = ReadDecision("a");
    bb_change_t change;
    EXPECT_EQ(BbAccept_MakeRefuse(&decision, "", &findings, &change),
              BB_ERR_ARGUMENT);
    ASSERT_EQ(
        BbAccept_MakeRefuse(&decision, "slots too low", &findings, &change),
        0);
    EXPECT_EQ(Send(&change, true), BB_COMMIT_DONE);
    BbAccept_FreeChange(&change);
    EXPECT_EQ(Text(table.Get("proposals/a").value, "reason"), "slots too low");
    EXPECT_EQ(MakeAccept(ReadDecision("a"), &change), BB_ERR_CONFLICT);
}

// Guards against an edit that overwrites a draft row that another operator
// changed since it was read.
TEST_F(AcceptTest, ConcurrentDraftEditIsDetected)
{
    json_t *columns = json_pack("{s:s}", "service", "s");
    bb_change_t late_edit, first_edit, removal;
    bb_draft_edit_t set[] = {{"pools", "q", 0, nullptr},
                             {"pools", "p", 0, columns}};
    BbAccept_MakeEditDrafts(set, 2, WriteId(1).c_str(), &late_edit);
    BbAccept_MakeEditDrafts(set, 2, WriteId(2).c_str(), &first_edit);
    // The absence of the removed row "q" would not prove the commit.
    EXPECT_STREQ(late_edit.key, "p");
    EXPECT_EQ(Send(&first_edit), BB_COMMIT_DONE);
    EXPECT_EQ(Send(&late_edit), BB_COMMIT_ROW_CHANGED);
    bb_draft_edit_t gone = {"pools", "p", table.Get("pools/p").revision,
                            nullptr};
    BbAccept_MakeEditDrafts(&gone, 1, WriteId(3).c_str(), &removal);
    EXPECT_EQ(Send(&removal, true), BB_COMMIT_DONE);
    EXPECT_EQ(table.Get("pools/p").value, nullptr);
    BbAccept_FreeChange(&late_edit);
    BbAccept_FreeChange(&first_edit);
    BbAccept_FreeChange(&removal);
    json_decref(columns);
}
