// Tests of bb_platform_io and bb_source_io over loopback against bb_store.
#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <string>
#include <vector>

#include "bb_curl_io.h"
#include "bb_error.h"
#include "bb_http_io.h"
#include "bb_platform_io.h"
#include "bb_source_io.h"
#include "bb_store.h"

namespace {

const int kFirstPort = 22500;
const int kLastPort = 22998; // no server listens on the next port, 22999
const int64_t kNow = 1700000000000;

enum class Fault { kNone, kOutage, kDrop, kSilent, kGarbage };

class PlatformIo : public ::testing::Test {
  protected:
    void SetUp() override
    {
        loop = ev_loop_new(EVFLAG_AUTO);
        store = BbStore_New();
        random = BbRandom_New(3);
        ASSERT_EQ(StartServer(), 0);
        bb_curl_options_t curl_options = {loop, 0};
        curl = BbCurl_New(&curl_options);
        bb_platform_options_t options = {curl, url.c_str(), 300};
        platform = BbPlatform_New(&options);
    }
    void TearDown() override
    {
        BbCurl_Free(curl);
        BbSource_Free(source);
        BbPlatform_Free(platform);
        BbHttp_Free(http);
        BbStore_Free(store);
        BbRandom_Free(random);
        ev_loop_destroy(loop);
    }
    // Tries ports in turn, because tests of several work trees may run at the
    // same time.
    int StartServer()
    {
        int error = BB_ERR_ADDRESS_IN_USE;
        for (int port = kFirstPort;
             port <= kLastPort && error == BB_ERR_ADDRESS_IN_USE; port++) {
            std::string address = "127.0.0.1:" + std::to_string(port);
            url = "http://" + address;
            bb_http_options_t options = {loop, address.c_str(), Handle, this,
                                         0};
            error = BbHttp_Start(&http, &options);
        }
        return error;
    }
    static void Handle(bb_http_request_t *request, void *arg)
    {
        auto *test = static_cast<PlatformIo *>(arg);
        test->paths.push_back(BbHttp_Path(request));
        std::string text;
        unsigned int status = test->Serve(request, &text);
        switch (test->fault) {
        case Fault::kDrop:
            BbHttp_Drop(request);
            return;
        case Fault::kSilent:
            return;
        case Fault::kOutage:
            status = 503;
            break;
        case Fault::kGarbage:
            text = "{";
            break;
        case Fault::kNone:
            break;
        }
        BbHttp_Reply(request, status, "application/json", text.data(),
                     text.size());
    }
    static unsigned int FormatResponse(json_t *response, unsigned int status,
                                       std::string *text)
    {
        if (response == nullptr) {
            return 404;
        }
        char *dump = json_dumps(response, 0);
        *text = dump;
        free(dump);
        json_decref(response);
        return status;
    }
    unsigned int Serve(bb_http_request_t *request, std::string *text)
    {
        std::string path = BbHttp_Path(request);
        size_t size;
        const char *body = BbHttp_Body(request, &size);
        if (path == "/v1/transaction") {
            json_t *transaction = json_loadb(body, size, 0, nullptr);
            json_t *response = nullptr;
            int error = BbStore_Commit(store, transaction, kNow, &response);
            json_decref(transaction);
            return FormatResponse(response, error == 0 ? 200 : 409, text);
        }
        if (path.rfind("/v1/objects/", 0) == 0) {
            const char *content =
                BbStore_GetObject(store, path.c_str() + 12, &size);
            *text = content != nullptr ? std::string(content, size) : "";
            return content != nullptr ? 200 : 404;
        }
        std::string name = path.substr(strlen("/v1/rows/"));
        size_t slash = name.find('/');
        if (slash == std::string::npos) {
            return FormatResponse(
                BbStore_ListRows(store, name.c_str(), nullptr, kNow), 200,
                text);
        }
        return FormatResponse(BbStore_GetRow(store,
                                             name.substr(0, slash).c_str(),
                                             name.c_str() + slash + 1, kNow),
                              200, text);
    }
    // Runs the loop until done() returns true, for at most 8 s.
    void RunUntil(const std::function<bool()> &done)
    {
        double end = ev_time() + 8;
        ev_timer tick;
        ev_timer_init(
            &tick, [](struct ev_loop *, ev_timer *, int) {}, 0.02, 0.02);
        ev_timer_start(loop, &tick);
        while (!done() && ev_time() < end) {
            ev_run(loop, EVRUN_ONCE);
        }
        ev_timer_stop(loop, &tick);
    }
    static void SaveError(int error, json_t *, void *arg)
    {
        *static_cast<int *>(arg) = error;
    }
    // Returns the error; result is 1 until the request has ended.
    int Insert(const char *key)
    {
        json_t *transaction = json_pack(
            "{s:s, s:[{s:s, s:s, s:i}], s:[{s:s, s:s, s:{s:i}}]}", "id", "1",
            "checks", "table", "t", "key", key, "revision", 0, "writes",
            "table", "t", "key", key, "value", "n", 1);
        int result = 1;
        BbPlatform_Commit(platform, transaction, SaveError, &result);
        json_decref(transaction);
        RunUntil([&] { return result != 1; });
        return result;
    }
    int Get(const char *key)
    {
        int result = 1;
        BbPlatform_GetRow(platform, "t", key, SaveError, &result);
        RunUntil([&] { return result != 1; });
        return result;
    }
    void CommitWrites(const std::string &text)
    {
        std::string transaction =
            R"({"id":"1","checks":[],"writes":[)" + text + "]}";
        json_t *object = json_loads(transaction.c_str(), 0, nullptr);
        json_t *response = nullptr;
        ASSERT_EQ(BbStore_Commit(store, object, kNow, &response), 0);
        json_decref(response);
        json_decref(object);
    }
    struct ev_loop *loop = nullptr;
    bb_store_t *store = nullptr;
    bb_random_t *random = nullptr;
    bb_http_t *http = nullptr;
    std::string url;
    bb_curl_t *curl = nullptr;
    bb_platform_t *platform = nullptr;
    bb_source_t *source = nullptr;
    Fault fault = Fault::kNone;
    std::vector<std::string> paths;
    // Set by the callbacks of the source.
    int64_t version = 0;
    std::string content;
    std::vector<std::string> peers;
};

// Guards against a write that is reported as without effect although only its
// response was lost, and against libcurl resending it on its own.
TEST_F(PlatformIo, WriteWithLostResponseHasUnknownEffect)
{
    EXPECT_EQ(Get("a"), BB_ERR_NOT_FOUND); // leaves an idle connection
    paths.clear();
    fault = Fault::kDrop;
    EXPECT_EQ(Insert("a"), BB_ERR_UNKNOWN);
    EXPECT_EQ(paths.size(), 1u);
    EXPECT_EQ(Get("a"), BB_ERR_UNAVAILABLE);
    fault = Fault::kSilent;
    EXPECT_EQ(Insert("b"), BB_ERR_UNKNOWN);
    fault = Fault::kGarbage;
    EXPECT_EQ(Insert("c"), BB_ERR_UNKNOWN);
    fault = Fault::kNone;
    EXPECT_EQ(Insert("a"), BB_ERR_CONFLICT);
    EXPECT_EQ(Get("a"), 0);
}

// Guards against a write that certainly had no effect and is reported as
// BB_ERR_UNKNOWN, which needs a read back.
TEST_F(PlatformIo, OutageAndRefusedConnectionAreUnavailable)
{
    fault = Fault::kOutage;
    EXPECT_EQ(Insert("a"), BB_ERR_UNAVAILABLE);
    EXPECT_EQ(Get("a"), BB_ERR_UNAVAILABLE);
    bb_platform_options_t options = {curl, "http://127.0.0.1:22999", 300};
    BbPlatform_Free(platform);
    platform = BbPlatform_New(&options);
    EXPECT_EQ(Insert("a"), BB_ERR_UNAVAILABLE);
}

// Guards against a request, such as a claim of a key, that reads or writes the
// row of another key because special characters in its key were not escaped.
TEST_F(PlatformIo, KeysAreEscapedInPaths)
{
    for (const char *key : {"pay/../x", "a?b=c#d", "50% off/+", "\xc3\xa9"}) {
        EXPECT_EQ(Insert(key), 0) << key;
        EXPECT_EQ(Get(key), 0) << key;
        EXPECT_EQ(paths.back(), std::string("/v1/rows/t/") + key);
    }
}

class Source : public PlatformIo {
  protected:
    void StartSource(int poll_all)
    {
        bb_source_options_t options = {};
        options.loop = loop;
        options.platform = platform;
        options.data_centre = "olinda";
        options.node_id = "n1";
        options.peer_address = "10.0.0.1:1";
        options.poll_ms = 50;
        options.poll_all = poll_all;
        options.random = random;
        options.arg = this;
        options.get_version = [](void *arg) {
            return static_cast<Source *>(arg)->version;
        };
        options.on_release = [](const bb_release_t *release, const char *text,
                                size_t size, void *arg) {
            static_cast<Source *>(arg)->version = release->version;
            static_cast<Source *>(arg)->content = std::string(text, size);
        };
        options.on_peers = [](const bb_source_peer_t *found, size_t count,
                              void *arg) {
            auto *test = static_cast<Source *>(arg);
            test->peers.clear();
            for (size_t i = 0; i < count; i++) {
                test->peers.push_back(std::string(found[i].data_centre) + " " +
                                      found[i].peer_address +
                                      (found[i].is_current ? "" : " old"));
            }
        };
        source = BbSource_New(&options);
    }
    void PutVersion(int number)
    {
        std::string digest(BB_DIGEST_HEX_LENGTH, 'a');
        BbStore_PutObject(store, ("configs/" + digest).c_str(), "{}", 2);
        CommitWrites(
            R"({"table":"head","key":"config","value":{"version":)" +
            std::to_string(number) + R"(,"size":2,"digest":")" + digest +
            R"(","previous_digest":"","owner":"o","month":"2026-01",)" +
            R"("write_id":")" + std::string(BB_WRITE_ID_HEX_LENGTH, 'b') +
            R"(","signature":")" + std::string(BB_SIGNATURE_HEX_LENGTH, 'c') +
            "\"}}");
    }
};

// Guards against a node that reads versions before it is a candidate, a
// candidate that takes no lease, and a lease holder that reads no versions.
TEST_F(Source, CandidateTakesALeaseAndReads)
{
    PutVersion(7);
    CommitWrites(
        R"({"table":"leases","key":"recife-a/0","value":{"holder":"x",)"
        R"("peer_address":"10.0.0.9:1","fence":1,"expires_ms":5}})");
    StartSource(0);
    RunUntil([&] { return !peers.empty(); });
    EXPECT_EQ(peers, std::vector<std::string>{"recife-a 10.0.0.9:1 old"});
    EXPECT_EQ(version, 0);
    BbSource_SetCandidate(source, 1);
    RunUntil([&] { return version == 7 && BbSource_IsReading(source); });
    EXPECT_EQ(version, 7);
    EXPECT_EQ(content, "{}");
    EXPECT_TRUE(BbSource_IsReading(source));
    BbSource_SetCandidate(source, 0);
    RunUntil([&] { return !BbSource_IsReading(source); });
    EXPECT_FALSE(BbSource_IsReading(source));
}

// Guards against poll_all taking a lease, or not reading again after an
// outage.
TEST_F(Source, PollAllReadsWithoutLease)
{
    fault = Fault::kOutage;
    StartSource(1);
    RunUntil([&] { return paths.size() >= 4; });
    fault = Fault::kNone;
    PutVersion(2);
    RunUntil([&] { return version == 2; });
    EXPECT_EQ(version, 2);
    for (const std::string &path : paths) {
        EXPECT_NE(path, "/v1/transaction");
    }
}

} // namespace
