// Tests of the streaming in lib/caller: real proxies, a fake target and
// callers in one libev loop on loopback addresses.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <sodium.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bb_counters.h"
#include "bb_error.h"
#include "bb_headers.h"
#include "bb_http_io.h"
#include "bb_proxy_io.h"
#include "bb_stream.h"
#include "response_cases.h"

namespace {

const size_t kMegabyte = 1024 * 1024;
const int kTimeoutMs = 20000; // a longer wait fails the test

int64_t
NowMs()
{
    return g_get_monotonic_time() / 1000;
}

// A loopback address with a port of 24000 to 24999 that is free now.
std::string
FreeAddress()
{
    static int port = 24000 + (int)(getpid() % 900);
    for (;;) {
        std::string address = "127.0.0.1:" + std::to_string(port);
        port = port < 24999 ? port + 1 : 24000;
        struct sockaddr_in name;
        BbHttp_ParseAddress(address.c_str(), &name);
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        int one = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        int error = bind(fd, (struct sockaddr *)&name, sizeof(name));
        close(fd);
        if (error == 0) {
            return address;
        }
    }
}

// Byte i of every large body. The pattern makes lost or duplicated parts
// change the digest.
char
PatternAt(uint64_t i)
{
    return (char)(i * 2654435761u >> 13);
}

std::string
PatternDigest(uint64_t size)
{
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
    std::string block;
    for (uint64_t offset = 0; offset < size; offset += block.size()) {
        block.resize(std::min<uint64_t>(size - offset, 65536));
        for (size_t i = 0; i < block.size(); i++) {
            block[i] = PatternAt(offset + i);
        }
        g_checksum_update(sum, (const guchar *)block.data(),
                          (gssize)block.size());
    }
    std::string digest = g_checksum_get_string(sum);
    g_checksum_free(sum);
    return digest;
}

// ---- fake target ----

struct FakeTarget;

struct FakeTargetCall {
    FakeTarget *target;
    struct MHD_Connection *connection;
    std::string path;
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
    uint64_t limit = 0; // bytes after which the response ends, fails or stalls

    void Hold(); // suspends the call until FakeTarget::ReleaseHeld()
};

// The path of a request selects the behaviour. ran counts, by path, the
// requests that were received in full.
struct FakeTarget {
    bb_mhd_t *mhd = nullptr;
    std::string address;
    std::map<std::string, int> ran;
    std::map<std::string, std::string> headers; // of the last request
    std::string last_uri;
    int gone = 0; // requests whose response was not sent in full
    std::vector<FakeTargetCall *> held;

    static void *OnUri(void *arg, const char *uri, struct MHD_Connection *);
    static enum MHD_Result OnAccess(void *arg, struct MHD_Connection *c,
                                    const char *url, const char *method,
                                    const char *version, const char *data,
                                    size_t *size, void **request_arg);
    static void OnCompleted(void *arg, struct MHD_Connection *c,
                            void **request_arg,
                            enum MHD_RequestTerminationCode code);
    void ReleaseHeld();
    bool IsHeldCallClosed();
};

void
FakeTargetCall::Hold()
{
    target->held.push_back(this);
    MHD_suspend_connection(connection);
}

enum MHD_Result
RecordHeader(void *arg, enum MHD_ValueKind, const char *name,
             const char *value)
{
    auto *target = static_cast<FakeTarget *>(arg);
    target->headers[name] = value != nullptr ? value : "";
    return MHD_YES;
}

void *
FakeTarget::OnUri(void *arg, const char *uri, struct MHD_Connection *c)
{
    auto *call = new FakeTargetCall;
    call->target = static_cast<FakeTarget *>(arg);
    call->connection = c;
    call->target->last_uri = uri;
    return call;
}

// Sends pattern bytes up to call->limit, then ends, fails or stalls the
// response.
ssize_t
ReadPattern(void *arg, uint64_t offset, char *data, size_t size)
{
    auto *call = static_cast<FakeTargetCall *>(arg);
    if (offset >= call->limit) {
        if (call->path == "/stall") {
            call->Hold();
            return 0;
        }
        return call->path == "/truncated" ? MHD_CONTENT_READER_END_WITH_ERROR
                                          : MHD_CONTENT_READER_END_OF_STREAM;
    }
    size = std::min<uint64_t>(size, call->limit - offset);
    for (size_t i = 0; i < size; i++) {
        data[i] = PatternAt(offset + i);
    }
    return (ssize_t)size;
}

enum MHD_Result
RespondText(FakeTargetCall *call, unsigned int status, const std::string &text)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        text.size(), (void *)text.data(), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "X-Target", "yes");
    MHD_add_response_header(response, "Connection", "X-Private");
    MHD_add_response_header(response, "X-Private", "yes");
    MHD_add_response_header(response, "Burdock-Outcome", "not-run");
    enum MHD_Result result =
        MHD_queue_response(call->connection, status, response);
    MHD_destroy_response(response);
    return result;
}

enum MHD_Result
RespondPattern(FakeTargetCall *call, uint64_t content_length, uint64_t limit)
{
    call->limit = limit;
    struct MHD_Response *response = MHD_create_response_from_callback(
        content_length, 65536, ReadPattern, call, nullptr);
    enum MHD_Result result =
        MHD_queue_response(call->connection, 200, response);
    MHD_destroy_response(response);
    return result;
}

// Responds to a request that was received in full. "/big-N" gives N MiB with a
// Content-Length, "/chunked-N" N MiB without.
enum MHD_Result
HandleRequest(FakeTargetCall *call)
{
    FakeTarget *target = call->target;
    const std::string &path = call->path;
    if (path == "/hold") {
        call->Hold();
        return MHD_YES;
    }
    target->ran[path]++;
    if (path == "/close") {
        return MHD_NO;
    }
    if (path == "/truncated" || path == "/stall") {
        return RespondPattern(call, 200000, 100000);
    }
    if (path == "/truncated-chunks") {
        call->path = "/truncated";
        return RespondPattern(call, MHD_SIZE_UNKNOWN, 100000);
    }
    if (path.rfind("/big-", 0) == 0) {
        uint64_t size = std::stoull(path.substr(5)) * kMegabyte;
        return RespondPattern(call, size, size);
    }
    if (path.rfind("/chunked-", 0) == 0) {
        uint64_t size = std::stoull(path.substr(9)) * kMegabyte;
        return RespondPattern(call, MHD_SIZE_UNKNOWN, size);
    }
    if (path.rfind("/status-", 0) == 0) {
        int status = std::stoi(path.substr(8));
        return RespondText(call, status, status == 204 ? "" : "status text");
    }
    return RespondText(call, 200, g_checksum_get_string(call->sum));
}

enum MHD_Result
FakeTarget::OnAccess(void *arg, struct MHD_Connection *c, const char *url,
                     const char *, const char *, const char *data,
                     size_t *size, void **request_arg)
{
    auto *call = static_cast<FakeTargetCall *>(*request_arg);
    if (call->path.empty()) {
        call->path = url;
        call->target->headers.clear();
        MHD_get_connection_values(c, MHD_HEADER_KIND, RecordHeader, arg);
        if (call->path == "/early") {
            call->target->ran["/early"]++;
            return RespondText(call, 413, "too large");
        }
        if (call->path == "/unread") { // never reads the body
            call->Hold();
        }
        return MHD_YES;
    }
    if (*size > 0) {
        g_checksum_update(call->sum, (const guchar *)data, (gssize)*size);
        *size = 0;
        return MHD_YES;
    }
    return HandleRequest(call);
}

void
FakeTarget::OnCompleted(void *, struct MHD_Connection *, void **request_arg,
                        enum MHD_RequestTerminationCode code)
{
    auto *call = static_cast<FakeTargetCall *>(*request_arg);
    if (call == nullptr) {
        return;
    }
    if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK) {
        call->target->gone++;
    }
    g_checksum_free(call->sum);
    delete call;
    *request_arg = nullptr;
}

void
FakeTarget::ReleaseHeld()
{
    for (FakeTargetCall *call : held) {
        call->limit = 0;
        call->path = call->path == "/stall" ? "/truncated" : "/released";
        MHD_resume_connection(call->connection);
    }
    held.clear();
    BbMhd_Wake(mhd);
}

// Reads the socket directly: libmicrohttpd does not poll suspended
// connections.
bool
FakeTarget::IsHeldCallClosed()
{
    char byte;
    int fd = MHD_get_connection_info(held.at(0)->connection,
                                     MHD_CONNECTION_INFO_CONNECTION_FD)
                 ->connect_fd;
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

// A target or node that sends fixed bytes after each received block, for
// responses that no HTTP library would send.
struct RawTarget {
    struct ev_loop *loop;
    std::string address = FreeAddress();
    std::string response;
    bool closes_after_response = false; // closes the connection
    bool resets_after_response = false; // resets it instead
    std::vector<std::string> requests;
    std::vector<std::unique_ptr<ev_io>> watchers;

    explicit RawTarget(struct ev_loop *event_loop) : loop(event_loop)
    {
        struct sockaddr_in name;
        BbHttp_ParseAddress(address.c_str(), &name);
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        int one = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        EXPECT_EQ(bind(fd, (struct sockaddr *)&name, sizeof(name)), 0);
        EXPECT_EQ(listen(fd, 16), 0);
        Watch(fd, [](struct ev_loop *, ev_io *io, int) {
            static_cast<RawTarget *>(io->data)->Watch(
                accept(io->fd, nullptr, nullptr), HandleReadable);
        });
    }
    RawTarget(const RawTarget &) = delete;
    ~RawTarget()
    {
        for (auto &io : watchers) {
            ev_io_stop(loop, io.get());
            close(io->fd);
        }
    }
    void Watch(int fd, void (*handler)(struct ev_loop *, ev_io *, int))
    {
        watchers.push_back(std::make_unique<ev_io>());
        ev_io *io = watchers.back().get();
        ev_io_init(io, handler, fd, EV_READ);
        io->data = this;
        ev_io_start(loop, io);
    }
    static void HandleReadable(struct ev_loop *loop, ev_io *io, int)
    {
        auto *raw = static_cast<RawTarget *>(io->data);
        char block[8192];
        ssize_t n = recv(io->fd, block, sizeof(block), 0);
        if (n > 0) {
            raw->requests.emplace_back(block, (size_t)n);
            send(io->fd, raw->response.data(), raw->response.size(),
                 MSG_NOSIGNAL);
        }
        if (n <= 0 || raw->closes_after_response) {
            ev_io_stop(loop, io);
            shutdown(io->fd, SHUT_RDWR);
        }
        else if (raw->resets_after_response) {
            ev_io_stop(loop, io);
            ResetConnection(io->fd);
        }
    }
    // Leaves an unconnected socket, so that the descriptor stays valid.
    static void ResetConnection(int fd)
    {
        struct sockaddr unspecified = {};
        unspecified.sa_family = AF_UNSPEC;
        connect(fd, &unspecified, sizeof(unspecified));
    }
};

// A connected socket, or -1.
int
Connect(const std::string &address)
{
    struct sockaddr_in name;
    BbHttp_ParseAddress(address.c_str(), &name);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(fd, (struct sockaddr *)&name, sizeof(name)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

// ---- nodes ----

const char kConfigText[] =
    R"({"pools":{"parts":{"service":"parts","slots":8,"connections":120,)"
    R"("queue":8,"retry_max":2,"once":"none","spill":false},)"
    R"("claims":{"service":"parts","slots":8,"connections":120,)"
    R"("queue":8,"retry_max":0,"once":"claim","spill":false},)"
    R"("tight":{"service":"parts","slots":1,"connections":120,)"
    R"("queue":0,"retry_max":0,"once":"none","spill":false}},)"
    R"("routes":{"all":{"host":"*","path_prefix":"/","pool":"parts",)"
    R"("methods":[],"timeout_ms":15000},)"
    R"("tight":{"host":"tight","path_prefix":"/","pool":"tight",)"
    R"("methods":[],"timeout_ms":15000},)"
    R"("claims":{"host":"claims","path_prefix":"/","pool":"claims",)"
    R"("methods":[],"timeout_ms":15000},)"
    R"("get":{"host":"get","path_prefix":"/only","pool":"parts",)"
    R"("methods":["GET"],"timeout_ms":15000}}})";

struct Node {
    std::string address;
    bb_curl_t *curl;
    bb_random_t *random;
    bb_balancer_t *balancer;
    bb_admission_t *admission;
    bb_once_t *once;
    bb_registry_t *registry;
    bb_proxy_t *proxy = nullptr;
};

// ---- callers ----

struct Caller {
    CURL *easy = curl_easy_init();
    struct curl_slist *headers = nullptr;
    uint64_t upload_size = 0;
    uint64_t uploaded = 0;
    uint64_t pause_at = UINT64_MAX; // upload pauses at this byte
    uint64_t received = 0;
    bool is_reading = true;
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
    std::string body; // first 4 KiB
    std::map<std::string, std::string> response_headers;
    long status = 0;
    bool is_done = false;
    CURLcode code = CURLE_OK;

    Caller() = default;
    Caller(const Caller &) = delete;
    ~Caller()
    {
        curl_easy_cleanup(easy);
        curl_slist_free_all(headers);
        g_checksum_free(sum);
    }
    std::string Digest()
    {
        return g_checksum_get_string(sum);
    }
};

size_t
CallerRead(char *data, size_t size, size_t count, void *arg)
{
    auto *caller = static_cast<Caller *>(arg);
    uint64_t end = std::min(caller->upload_size, caller->pause_at);
    uint64_t n = std::min<uint64_t>(size * count, end - caller->uploaded);
    if (n == 0 && caller->uploaded < caller->upload_size) {
        return CURL_READFUNC_PAUSE;
    }
    for (uint64_t i = 0; i < n; i++) {
        data[i] = PatternAt(caller->uploaded + i);
    }
    caller->uploaded += n;
    return n;
}

size_t
CallerWrite(char *data, size_t size, size_t count, void *arg)
{
    auto *caller = static_cast<Caller *>(arg);
    if (!caller->is_reading) {
        return CURL_WRITEFUNC_PAUSE;
    }
    g_checksum_update(caller->sum, (guchar *)data, (gssize)(size * count));
    caller->received += size * count;
    if (caller->body.size() < 4096) {
        caller->body.append(data, size * count);
    }
    return size * count;
}

size_t
CallerHeader(char *line, size_t size, size_t count, void *arg)
{
    auto *caller = static_cast<Caller *>(arg);
    std::string text(line, size * count);
    size_t colon = text.find(": ");
    if (colon != std::string::npos) {
        caller->response_headers[text.substr(0, colon)] =
            text.substr(colon + 2, text.size() - colon - 4);
    }
    return size * count;
}

void
CallerDone(CURL *easy, CURLcode code, void *arg)
{
    auto *caller = static_cast<Caller *>(arg);
    caller->code = code;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &caller->status);
    caller->is_done = true;
}

// Node a has no target, so its calls take a hop to node b. Node b serves the
// target, so its calls use both roles in one node.
class Proxy : public ::testing::Test {
  protected:
    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
    bb_curl_t *curl; // used by the callers
    bb_active_config_t *active_config;
    bb_trusted_owner_t owner;
    FakeTarget target;
    Node a, b;
    bb_platform_t *platform = nullptr;
    int64_t drain_ms = 30000;
    int64_t stall_ms = 10000;
    int64_t max_body_bytes = 0;

    void SetUp() override
    {
        ASSERT_GE(sodium_init(), 0);
        BbCounters_Reset();
        bb_curl_options_t curl_options = {loop, 0};
        curl = BbCurl_New(&curl_options);
        ApplyConfig();
        StartTarget();
    }

    void Start()
    {
        StartNode(&a);
        StartNode(&b);
        AddCandidate(&a, &b);
        AddCandidate(&b, &b);
        BbAdmission_SetTarget(b.admission, BB_TARGET_READY, 8, 120);
        Announce(target.address);
    }

    void Announce(const std::string &address)
    {
        bb_announcement_t announcement = {};
        announcement.state = BB_TARGET_READY;
        announcement.slots = 8;
        announcement.connections = 120;
        g_strlcpy(announcement.service, "parts", BB_SERVICE_TEXT);
        g_strlcpy(announcement.address, address.c_str(), BB_ADDRESS_TEXT);
        BbRegistry_Announce(b.registry, &announcement, NowMs());
    }

    void TearDown() override
    {
        target.ReleaseHeld();
        BbCurl_Free(curl);
        for (Node *node : {&a, &b}) {
            BbProxy_Free(node->proxy);
            // Every test must release each slot exactly once.
            EXPECT_EQ(BbAdmission_RunningCount(node->admission), 0);
            EXPECT_EQ(BbAdmission_QueuedCount(node->admission), 0);
            BbCurl_Free(node->curl);
            BbBalancer_Free(node->balancer);
            BbAdmission_Free(node->admission);
            BbOnce_Free(node->once);
            BbRegistry_Free(node->registry);
            BbRandom_Free(node->random);
        }
        BbMhd_Free(target.mhd);
        BbActiveConfig_Free(active_config);
        ev_loop_destroy(loop);
    }

    void ApplyConfig()
    {
        unsigned char secret[crypto_sign_SECRETKEYBYTES];
        g_strlcpy(owner.name, "owner", sizeof(owner.name));
        crypto_sign_keypair(owner.key, secret);
        bb_active_config_options_t options = {&owner, 1, nullptr, nullptr};
        active_config = BbActiveConfig_New(&options);
        bb_findings_t findings;
        BbFindings_Init(&findings);
        bb_config_t *config = nullptr;
        ASSERT_EQ(BbConfig_ParseText(kConfigText, strlen(kConfigText),
                                     &findings, &config),
                  0);
        bb_release_t release = {};
        size_t size;
        const char *text = BbConfig_CanonicalText(config, &size);
        release.version = 1;
        release.size = (int64_t)size;
        g_strlcpy(release.digest, BbConfig_Digest(config),
                  BB_DIGEST_HEX_LENGTH + 1);
        g_strlcpy(release.owner, "owner", BB_MAX_NAME_LENGTH + 1);
        g_strlcpy(release.month, "2026-12", BB_MONTH_LENGTH + 1);
        ASSERT_EQ(BbRelease_Sign(&release, secret), 0);
        ASSERT_EQ(BbActiveConfig_Apply(active_config, &release, text, size,
                                       &findings),
                  0);
        BbConfig_Unref(config);
        BbFindings_Free(&findings);
    }

    void StartTarget()
    {
        target.address = FreeAddress();
        bb_mhd_options_t options = {};
        options.loop = loop;
        options.address = target.address.c_str();
        options.handler = FakeTarget::OnAccess;
        options.handler_arg = &target;
        options.completed = FakeTarget::OnCompleted;
        options.raw_uri = FakeTarget::OnUri;
        options.raw_uri_arg = &target;
        ASSERT_EQ(BbMhd_Start(&target.mhd, &options), 0);
    }

    void StartNode(Node *node)
    {
        bb_curl_options_t curl_options = {loop, 32};
        bb_admission_options_t admission = {};
        bb_once_options_t once = {};
        bb_registry_options_t registry = {};
        bb_balancer_options_t balancer = {};
        node->address = FreeAddress();
        node->curl = BbCurl_New(&curl_options);
        node->random = BbRandom_New(1);
        balancer.data_centre = "dc";
        balancer.random = node->random;
        node->balancer = BbBalancer_New(&balancer);
        node->admission = BbAdmission_New(&admission);
        node->once = BbOnce_New(&once);
        node->registry = BbRegistry_New(&registry);
        bb_proxy_options_t options = {};
        options.loop = loop;
        options.curl = node->curl;
        options.address = node->address.c_str();
        options.active_config = active_config;
        options.balancer = node->balancer;
        options.admission = node->admission;
        options.once = node->once;
        options.registry = node->registry;
        options.random = node->random;
        options.platform = platform;
        options.drain_ms = drain_ms;
        options.stall_ms = stall_ms;
        options.max_body_bytes = max_body_bytes;
        ASSERT_EQ(BbProxy_New(&options, &node->proxy), 0);
    }

    // Adds the address of node, with a ready target, to the candidates of
    // chooser's balancer.
    void AddCandidate(Node *chooser, Node *node)
    {
        bb_member_t member = {};
        member.node_id = 7;
        member.incarnation = 1;
        member.state = BB_MEMBER_ALIVE;
        member.target_state = BB_TARGET_READY;
        member.slots = 8;
        g_strlcpy(member.data_centre, "dc", sizeof(member.data_centre));
        g_strlcpy(member.service, "parts", sizeof(member.service));
        g_strlcpy(member.caller_address, node->address.c_str(),
                  sizeof(member.caller_address));
        BbBalancer_SetMember(chooser->balancer, &member, NowMs());
    }

    // Runs the loop until the condition holds; false after kTimeoutMs.
    bool RunUntil(const std::function<bool()> &condition)
    {
        int64_t end = NowMs() + kTimeoutMs;
        ev_timer tick;
        ev_timer_init(
            &tick, [](struct ev_loop *, ev_timer *, int) {}, 0.01, 0.01);
        ev_timer_start(loop, &tick);
        while (!condition() && NowMs() < end) {
            ev_run(loop, EVRUN_ONCE);
        }
        ev_timer_stop(loop, &tick);
        return condition();
    }

    // Starts a request; without a body when size is negative.
    void Send(Caller *caller, const Node &node, const char *method,
              const std::string &path, int64_t size = -1)
    {
        CURL *easy = caller->easy;
        curl_easy_setopt(easy, CURLOPT_URL,
                         ("http://" + node.address + path).c_str());
        curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
        caller->headers = curl_slist_append(caller->headers, "Expect:");
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, caller->headers);
        if (size >= 0) {
            caller->upload_size = (uint64_t)size;
            curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
            curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE, (curl_off_t)size);
            curl_easy_setopt(easy, CURLOPT_READFUNCTION, CallerRead);
            curl_easy_setopt(easy, CURLOPT_READDATA, caller);
        }
        if (std::string(method) == "HEAD") {
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        }
        else {
            curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
        }
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, CallerWrite);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, caller);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, CallerHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, caller);
        ASSERT_EQ(BbCurl_Start(curl, easy, CallerDone, caller), 0);
    }

    // Sends a request and waits for its end.
    std::unique_ptr<Caller> Call(const Node &node, const char *method,
                                 const std::string &path, int64_t size = -1,
                                 const char *header = nullptr)
    {
        auto caller = std::make_unique<Caller>();
        if (header != nullptr) {
            caller->headers = curl_slist_append(caller->headers, header);
        }
        Send(caller.get(), node, method, path, size);
        EXPECT_TRUE(RunUntil([&] { return caller->is_done; })) << path;
        return caller;
    }

    // Expects what follows each broken response: the caller is told that the
    // order may have run, and it was sent once.
    void ExpectBrokenResponse(const Node &node, RawTarget *raw)
    {
        SCOPED_TRACE(raw->response);
        size_t count = raw->requests.size();
        int64_t lost = BbCounters_Get(BB_COUNTER_REFUSED_TARGET_LOST);
        auto order = Call(node, "POST", "/x", 0);
        EXPECT_EQ(order->status, 502);
        EXPECT_EQ(order->response_headers["Burdock-Outcome"], "unknown");
        EXPECT_EQ(order->response_headers["Burdock-Reason"], "target_lost");
        EXPECT_EQ(raw->requests.size(), count + 1);
        EXPECT_EQ(BbCounters_Get(BB_COUNTER_REFUSED_TARGET_LOST), lost + 1);
        EXPECT_EQ(BbAdmission_RunningCount(b.admission), 0);
    }

    // Sends a request with one more field line and returns the status.
    std::string PostWithLine(const Node &node, const std::string &line)
    {
        return ExchangeRaw(node, "POST /x HTTP/1.1\r\nHost: h\r\n" + line +
                                     BB_HEADER_DEADLINE
                                     ": 500\r\n"
                                     "Connection: close\r\n"
                                     "Content-Length: 1\r\n\r\nx")
            .substr(9, 3);
    }

    static bool EndsHeadOfLibmicrohttpd(const std::string &line)
    {
        return line[0] == '\0' || line[0] == ':';
    }

    // Sends a request with BbCurl_Request() and returns its error.
    int RequestBuffered(const std::string &address)
    {
        int error = 1;
        std::string url = "http://" + address + "/";
        bb_curl_request_t request = {};
        request.method = "GET";
        request.url = url.c_str();
        request.timeout_ms = kTimeoutMs;
        request.done = [](const bb_curl_result_t *result, void *arg) {
            *static_cast<int *>(arg) = result->error;
        };
        request.arg = &error;
        EXPECT_EQ(BbCurl_Request(curl, &request), 0);
        EXPECT_TRUE(RunUntil([&] { return error != 1; }));
        return error;
    }

    // Sends a transaction to a store at this address and returns its error.
    int CommitToStore(const std::string &address)
    {
        int error = 1;
        std::string url = "http://" + address;
        bb_platform_options_t options = {curl, url.c_str(), 0};
        bb_platform_t *store = BbPlatform_New(&options);
        json_t *transaction = json_object();
        BbPlatform_Commit(
            store, transaction,
            [](int result, json_t *, void *arg) {
                *static_cast<int *>(arg) = result;
            },
            &error);
        EXPECT_TRUE(RunUntil([&] { return error != 1; }));
        json_decref(transaction);
        BbPlatform_Free(store);
        return error;
    }

    // Sends text unchanged and returns the bytes received until a body byte
    // has arrived or the connection closes.
    std::string ExchangeRaw(const Node &node, const std::string &text)
    {
        struct sockaddr_in name;
        BbHttp_ParseAddress(node.address.c_str(), &name);
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        EXPECT_EQ(connect(fd, (struct sockaddr *)&name, sizeof(name)), 0);
        fcntl(fd, F_SETFL, O_NONBLOCK);
        size_t sent = 0;
        std::string response;
        RunUntil([&] {
            ssize_t n =
                send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            sent += n > 0 ? (size_t)n : 0;
            char block[4096];
            n = recv(fd, block, sizeof(block), 0);
            if (n > 0) {
                response.append(block, (size_t)n);
            }
            size_t body = response.find("\r\n\r\n");
            return n == 0 || (n < 0 && errno != EAGAIN) ||
                   (body != std::string::npos && response.size() > body + 4);
        });
        close(fd);
        return response;
    }
};

// Guards against a role that drops or changes a plain call, with a hop (node
// a) and without (node b).
TEST_F(Proxy, ServesGetAndPostThroughBothRoles)
{
    Start();
    for (const Node *node : {&a, &b}) {
        auto get = Call(*node, "GET", "/x%41/../y?q=%20");
        EXPECT_EQ(get->status, 200);
        EXPECT_EQ(get->body, PatternDigest(0));
        EXPECT_EQ(target.last_uri, "/x%41/../y?q=%20");
        auto post = Call(*node, "POST", "/order", 1000);
        EXPECT_EQ(post->status, 200);
        EXPECT_EQ(post->body, PatternDigest(1000));
    }
    EXPECT_EQ(BbCounters_Get(BB_COUNTER_HOPS), 2);
}

// Guards against bodies that are reordered or truncated, in particular when
// back-pressure stops a fast sender, in both directions.
TEST_F(Proxy, StreamsLargeBodiesUnchanged)
{
    Start();
    std::string digest = PatternDigest(50 * kMegabyte);
    for (const Node *node : {&a, &b}) {
        auto post = Call(*node, "POST", "/order", 50 * kMegabyte);
        EXPECT_EQ(post->status, 200);
        EXPECT_EQ(post->body, digest);
        auto get = Call(*node, "GET", node == &a ? "/big-50" : "/chunked-50");
        EXPECT_EQ(get->code, CURLE_OK);
        EXPECT_EQ(get->received, 50 * kMegabyte);
        EXPECT_EQ(get->Digest(), digest);
    }
}

// Guards against unbounded buffers: back-pressure must stop a sender, caller
// or target, whose reader is slower. The limit of 100 MiB leaves room for the
// kernel's buffers.
TEST_F(Proxy, AppliesBackPressureToFastSenders)
{
    stall_ms = 300;
    Start();
    for (const Node *node : {&a, &b}) {
        auto upload = Call(*node, "POST", "/unread", 500 * kMegabyte);
        EXPECT_LT(upload->uploaded, 100 * kMegabyte);
        EXPECT_EQ(upload->status, 504);
        EXPECT_EQ(upload->response_headers["Burdock-Outcome"], "unknown");
        EXPECT_EQ(upload->response_headers["Burdock-Reason"], "stalled");
        Caller reader;
        reader.is_reading = false;
        Send(&reader, *node, "GET", "/big-40");
        ASSERT_TRUE(
            RunUntil([&] { return !reader.response_headers.empty(); }));
        EXPECT_EQ(Call(*node, "GET", "/x")->status, 200); // while it is paused
        EXPECT_EQ(reader.received, 0u);
        reader.is_reading = true;
        curl_easy_pause(reader.easy, CURLPAUSE_CONT);
        EXPECT_TRUE(RunUntil([&] { return reader.is_done; }));
        EXPECT_EQ(reader.Digest(), PatternDigest(40 * kMegabyte));
    }
}

// Guards against hop-by-hop and Burdock-* headers that are forwarded, and
// against end-to-end headers that are lost.
TEST_F(Proxy, ForwardsEndToEndHeadersOnly)
{
    Start();
    for (const Node *node : {&a, &b}) {
        Caller caller;
        for (const char *header :
             {"Burdock-Pool: forged", "Connection: X-Drop", "X-Drop: 1",
              "X-Keep: 2", "X-Empty;", "Idempotency-Key: k1",
              "Burdock-Deadline-Ms: 9000", "Accept:"}) {
            caller.headers = curl_slist_append(caller.headers, header);
        }
        Send(&caller, *node, "GET", "/x");
        ASSERT_TRUE(RunUntil([&] { return caller.is_done; }));
        EXPECT_EQ(target.headers.count("Burdock-Pool"), 0u);
        EXPECT_EQ(target.headers.count("Burdock-Hop"), 0u);
        EXPECT_EQ(target.headers.count("X-Drop"), 0u);
        EXPECT_EQ(target.headers.count("Accept"), 0u);
        EXPECT_EQ(target.headers["X-Keep"], "2");
        EXPECT_EQ(target.headers.count("X-Empty"), 1u);
        EXPECT_EQ(target.headers["Idempotency-Key"], "k1");
        EXPECT_EQ(target.headers["Host"], node->address);
        int64_t left = std::stoll("0" + target.headers["Burdock-Deadline-Ms"]);
        EXPECT_GT(left, 5000);
        EXPECT_LE(left, 9000);
        EXPECT_EQ(caller.response_headers["X-Target"], "yes");
        // Burdock-* and hop-by-hop headers of the target are dropped.
        for (const char *name :
             {"X-Private", "Burdock-Load", "Burdock-Outcome"}) {
            EXPECT_EQ(caller.response_headers.count(name), 0u) << name;
        }
    }
}

// Guards against wrong framing of responses without a body, which would
// corrupt the next response on the same connection.
TEST_F(Proxy, ForwardsResponsesWithoutABody)
{
    Start();
    for (const Node *node : {&a, &b}) {
        auto head = Call(*node, "HEAD", "/big-3");
        EXPECT_EQ(head->code, CURLE_OK);
        EXPECT_EQ(head->response_headers["Content-Length"],
                  std::to_string(3 * kMegabyte));
        EXPECT_EQ(Call(*node, "HEAD", "/chunked-1")->status, 200);
        auto empty = Call(*node, "GET", "/status-204");
        EXPECT_EQ(empty->status, 204);
        EXPECT_EQ(empty->response_headers.count("Content-Length"), 0u);
        EXPECT_EQ(empty->response_headers.count("Transfer-Encoding"), 0u);
        EXPECT_EQ(Call(*node, "GET", "/status-304")->status, 304);
        auto error = Call(*node, "GET", "/status-503");
        EXPECT_EQ(error->status, 503);
        EXPECT_EQ(error->body, "status text");
        auto post = Call(*node, "POST", "/order", 0);
        EXPECT_EQ(post->body, PatternDigest(0));
        // The connection is still usable after all of them.
        EXPECT_EQ(Call(*node, "GET", "/x")->body, PatternDigest(0));
    }
}

// Guards against a truncated response that looks complete to the caller (G4
// in docs/design.md).
TEST_F(Proxy, ClosesTheConnectionAfterATruncatedResponse)
{
    Start();
    for (const Node *node : {&a, &b}) {
        auto sized = Call(*node, "GET", "/truncated");
        EXPECT_EQ(sized->code, CURLE_PARTIAL_FILE);
        auto chunked = Call(*node, "GET", "/truncated-chunks");
        EXPECT_NE(chunked->code, CURLE_OK);
    }
    // No retry once bytes were forwarded.
    EXPECT_EQ(target.ran["/truncated"], 2);
    EXPECT_GE(BbCounters_Get(BB_COUNTER_TRUNCATED), 4);
}

// Guards against bytes of one response that reach another call, and against
// malformed responses that are forwarded (G4).
TEST_F(Proxy, IsolatesMalformedTargetResponses)
{
    Start();
    RawTarget raw(loop);
    Announce(raw.address);
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
    for (const Node *node : {&a, &b}) {
        for (const char *excess : {"one", "oneMORE", "one" /* again */}) {
            raw.response = "HTTP/1.1 102 Wait\r\nX: 1\r\n\r\n" + ok + excess;
            if (excess == std::string("oneMORE")) {
                raw.response += ok + "dup";
            }
            EXPECT_EQ(Call(*node, "GET", "/x")->body, "one");
            raw.response = ok + "two";
            EXPECT_EQ(Call(*node, "GET", "/x")->body, "two");
        }
        raw.closes_after_response = true;
        for (const char *response :
             {"", "HTTP/1.1 200 OK\r\nContent-Le", "220 smtp ready\r\n\r\n"}) {
            raw.response = response;
            auto order = Call(*node, "POST", "/x", 0);
            EXPECT_EQ(order->status, 502) << response;
            EXPECT_EQ(order->response_headers["Burdock-Outcome"], "unknown")
                << response;
        }
        raw.response = "HTTP/1.1 200 OK\r\nX: " + std::string(100000, 'x');
        EXPECT_EQ(Call(*node, "POST", "/x", 0)->status, 502);
        raw.closes_after_response = false;
        EXPECT_EQ(BbAdmission_RunningCount(b.admission), 0);
    }
}

// Guards against a status that no response has, passed on as an answer, and
// against a valid one at the ends of each range that is refused.
TEST_F(Proxy, ForwardsValidStatusesOnly)
{
    Start();
    RawTarget raw(loop);
    Announce(raw.address);
    for (const Node *node : {&a, &b}) {
        for (const char *status : response_cases::kBadStatuses) {
            raw.response = response_cases::Response(status);
            ExpectBrokenResponse(*node, &raw);
        }
        for (const char *status : response_cases::kFinalStatuses) {
            raw.response = response_cases::Response(status);
            auto order = Call(*node, "POST", "/x", 0);
            EXPECT_EQ(order->status, atoi(status));
            EXPECT_EQ(order->body, "ok") << status;
        }
        for (const char *status : response_cases::kInterimStatuses) {
            raw.response = std::string("HTTP/1.1 ") + status +
                           " Wait\r\n\r\n" + response_cases::Response("200");
            EXPECT_EQ(Call(*node, "POST", "/x", 0)->body, "ok") << status;
        }
    }
}

// Guards against the same in buffered requests, as to the platform's store: a
// write whose response is broken may have been made.
TEST_F(Proxy, BufferedRequestsAcceptValidStatusesOnly)
{
    Start();
    RawTarget raw(loop);
    for (const char *status : response_cases::kBadStatuses) {
        raw.response = response_cases::Response(status);
        EXPECT_EQ(RequestBuffered(raw.address), BB_ERR_UNAVAILABLE) << status;
        EXPECT_EQ(CommitToStore(raw.address), BB_ERR_UNKNOWN) << status;
    }
    for (const char *status : response_cases::kFinalStatuses) {
        raw.response = response_cases::Response(status);
        EXPECT_EQ(RequestBuffered(raw.address), 0) << status;
    }
}

// Guards against a field whose name is not a token, passed on or left out of
// an answer, and against a valid one that is refused.
TEST_F(Proxy, ForwardsValidFieldsOnly)
{
    Start();
    RawTarget raw(loop);
    Announce(raw.address);
    for (bool is_first : {true, false}) {
        for (const Node *node : {&a, &b}) {
            for (const std::string &line :
                 response_cases::BrokenLinesForLibcurl()) {
                raw.response =
                    response_cases::ResponseWithLine(line, is_first);
                ExpectBrokenResponse(*node, &raw);
            }
            for (const std::string line : response_cases::kGoodFieldLines) {
                SCOPED_TRACE(line);
                raw.response =
                    response_cases::ResponseWithLine(line, is_first);
                auto order = Call(*node, "POST", "/x", 0);
                EXPECT_EQ(order->body, "ok");
                EXPECT_EQ(order->response_headers.count(
                              line.substr(0, line.find(':'))),
                          1u);
            }
        }
        for (const std::string &line :
             response_cases::BrokenLinesForLibcurl()) {
            raw.response = response_cases::ResponseWithLine(line, is_first);
            SCOPED_TRACE(testing::PrintToString(raw.response));
            EXPECT_EQ(RequestBuffered(raw.address), BB_ERR_UNAVAILABLE);
        }
    }
}

// Guards against a line that begins with NUL and is left out of an answer:
// libcurl drops the bytes from there to the end of what it has read at once.
TEST_F(Proxy, LinesThatBeginWithNulAreErrors)
{
    Start();
    RawTarget raw(loop);
    Announce(raw.address);
    const std::string line("\0A: x\r\n", 7);
    raw.response = "HTTP/1.1 200 OK\r\nSeal: s\r\n" + line;
    for (const Node *node : {&a, &b}) {
        Caller order;
        size_t count = raw.requests.size();
        order.headers = curl_slist_append(nullptr, BB_HEADER_DEADLINE ": 500");
        Send(&order, *node, "POST", "/x", 0);
        ASSERT_TRUE(RunUntil([&] { return raw.requests.size() > count; }));
        int64_t sent_at = NowMs() + 50; // the first part has been read
        RunUntil([&] { return NowMs() >= sent_at; });
        const std::string rest = "Content-Length: 2\r\n\r\nok";
        send(raw.watchers.back()->fd, rest.data(), rest.size(), MSG_NOSIGNAL);
        ASSERT_TRUE(RunUntil([&] { return order.is_done; }));
        EXPECT_EQ(order.status, 502);
        EXPECT_EQ(order.response_headers["Burdock-Outcome"], "unknown");
    }
}

// Guards against the same in requests, whose heads are passed on to targets.
TEST_F(Proxy, RejectsInvalidFieldNamesInRequests)
{
    Start();
    for (const Node *node : {&a, &b}) {
        for (const std::string &line : response_cases::BadFieldLines()) {
            if (!EndsHeadOfLibmicrohttpd(line)) {
                EXPECT_EQ(PostWithLine(*node, line), "400")
                    << testing::PrintToString(line);
            }
        }
        for (const char *line : response_cases::kGoodFieldLines) {
            EXPECT_EQ(PostWithLine(*node, line), "200") << line;
        }
    }
}

// Guards against lines that libmicrohttpd takes for the end of the head: it
// reads the fields behind them as the next request.
TEST_F(Proxy, RejectsRequestLinesWithoutAName)
{
    Start();
    for (const std::string &line : response_cases::BadFieldLines()) {
        if (EndsHeadOfLibmicrohttpd(line)) {
            EXPECT_EQ(PostWithLine(b, line), "400")
                << testing::PrintToString(line);
        }
    }
}

// Guards against freed memory that libcurl uses when the first field of a head
// begins with a blank: it takes the line for the rest of the last field that
// the same handle has read. The node of this test ends, or a sanitizer reports
// it.
TEST_F(Proxy, SurvivesHeadsThatBeginWithABlank)
{
    Start();
    RawTarget raw(loop);
    Announce(raw.address);
    for (const Node *node : {&a, &b}) {
        for (int i = 0; i < 20; i++) {
            raw.response = response_cases::ResponseWithLine("A: x\r\n", false);
            EXPECT_EQ(Call(*node, "POST", "/x", 0)->body, "ok");
            raw.response = response_cases::ResponseWithLine(" A: x\r\n", true);
            Call(*node, "POST", "/x", 0);
        }
        EXPECT_EQ(BbAdmission_RunningCount(b.admission), 0);
    }
}

// Guards against a part of a response without a length that looks complete
// because the target reset the connection during the upload, and against one
// that did end but is refused, while the caller sends and while it pauses.
TEST_F(Proxy, TellsAResetFromTheEndOfAnEarlyResponse)
{
    Start();
    RawTarget raw(loop);
    Announce(raw.address);
    raw.response = "HTTP/1.1 200 OK\r\n\r\npart";
    for (const Node *node : {&a, &b}) {
        for (bool is_reset : {true, false}) {
            for (bool is_paused : {true, false}) {
                SCOPED_TRACE(std::string(is_reset ? "reset" : "closed") +
                             (is_paused ? " paused" : "") +
                             (node == &a ? " forwarded" : ""));
                raw.resets_after_response = is_reset;
                raw.closes_after_response = !is_reset;
                Caller upload;
                upload.pause_at = is_paused ? 100000 : UINT64_MAX;
                Send(&upload, *node, "POST", "/x", 5 * kMegabyte);
                int64_t resumed_at = NowMs() + 300;
                RunUntil([&] { return NowMs() >= resumed_at; });
                upload.pause_at = UINT64_MAX;
                curl_easy_pause(upload.easy, CURLPAUSE_CONT);
                ASSERT_TRUE(RunUntil([&] { return upload.is_done; }));
                bool is_whole = upload.status == 200 &&
                                upload.code == CURLE_OK &&
                                upload.body == "part";
                EXPECT_EQ(is_whole, !is_reset)
                    << upload.status << " " << upload.code << " "
                    << upload.body;
            }
        }
    }
}

// Guards against a call that runs twice because libcurl sends a request
// without a body again when a reused connection to a node closes (G6).
TEST_F(Proxy, RefusesARepeatedHop)
{
    Start();
    RawTarget raw(loop);
    Node node = {};
    node.address = raw.address;
    BbBalancer_Remove(a.balancer, b.address.c_str());
    AddCandidate(&a, &node);
    raw.response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    EXPECT_EQ(Call(a, "GET", "/x")->status, 200);
    raw.response = "";
    raw.closes_after_response = true;
    auto order = Call(a, "POST", "/order", 0);
    EXPECT_EQ(order->response_headers["Burdock-Outcome"], "unknown");
    ASSERT_EQ(raw.requests.size(), 3u); // the order was sent twice
    EXPECT_EQ(raw.requests[1], raw.requests[2]);
    // A real node runs the first copy only.
    std::string first = ExchangeRaw(b, raw.requests[1]);
    EXPECT_EQ(first.substr(0, 12), "HTTP/1.1 200");
    std::string second = ExchangeRaw(b, raw.requests[2]);
    EXPECT_EQ(second.substr(0, 12), "HTTP/1.1 409");
    EXPECT_NE(second.find("Burdock-Reason: call_ran"), std::string::npos);
    EXPECT_EQ(target.ran["/order"], 1);
}

// Guards against an order that runs twice because libcurl sends it again when
// a reused connection to the target closes after the order was run and before
// its response (G6). Calls that are not idempotent need a new connection.
TEST_F(Proxy, RunsAnOrderOnceWhenAReusedConnectionCloses)
{
    Start();
    for (const Node *node : {&a, &b}) {
        for (int64_t size : {0, 100}) {
            target.ran.clear();
            EXPECT_EQ(Call(*node, "GET", "/x")->status, 200);
            auto order = Call(*node, "POST", "/close", size);
            EXPECT_EQ(target.ran["/close"], 1) << size;
            EXPECT_EQ(order->status, 502);
            EXPECT_EQ(order->response_headers["Burdock-Outcome"], "unknown");
            EXPECT_EQ(order->response_headers["Burdock-Reason"],
                      "target_lost");
        }
    }
}

// Guards against calls that continue after their caller has disconnected, at
// each stage of a call, and against slots that are not released.
TEST_F(Proxy, CancelsCallsOfDisconnectedCallers)
{
    Start();
    for (const Node *node : {&a, &b}) {
        for (const char *path : {"/hold", "/stall", "/big-50"}) {
            Caller caller;
            caller.is_reading = false;
            int64_t counted_before =
                BbCounters_Get(BB_COUNTER_REFUSED_CALLER_GONE);
            int gone = target.gone;
            Send(&caller, *node, "GET", path);
            ASSERT_TRUE(RunUntil([&] {
                return target.held.size() > 0 ||
                       !caller.response_headers.empty();
            }));
            BbCurl_Cancel(curl, caller.easy);
            EXPECT_TRUE(RunUntil([&] {
                return BbAdmission_RunningCount(b.admission) == 0 &&
                       BbProxy_InFlightCount(a.proxy) == 0;
            })) << path;
            EXPECT_GT(BbCounters_Get(BB_COUNTER_REFUSED_CALLER_GONE),
                      counted_before);
            EXPECT_TRUE(RunUntil([&] {
                return target.held.empty() ? target.gone > gone
                                           : target.IsHeldCallClosed();
            })) << path;
            target.ReleaseHeld();
        }
        Caller upload;
        upload.pause_at = kMegabyte;
        Send(&upload, *node, "POST", "/order", 2 * kMegabyte);
        ASSERT_TRUE(RunUntil([&] { return upload.uploaded == kMegabyte; }));
        BbCurl_Cancel(curl, upload.easy);
        EXPECT_TRUE(RunUntil(
            [&] { return BbAdmission_RunningCount(b.admission) == 0; }));
    }
    EXPECT_EQ(target.ran["/order"], 0);
}

// Guards against a drain that interrupts an upload, and against new calls that
// are accepted during the drain (G7, G8).
TEST_F(Proxy, FinishesAnUploadDuringDrain)
{
    Start();
    Caller upload;
    upload.pause_at = kMegabyte;
    Send(&upload, a, "POST", "/order", 3 * kMegabyte);
    ASSERT_TRUE(RunUntil([&] { return upload.uploaded == kMegabyte; }));
    int drained = 0;
    auto count = [](void *arg) { ++*static_cast<int *>(arg); };
    BbProxy_Drain(a.proxy, count, &drained);
    BbProxy_Drain(b.proxy, count, &drained);
    for (const Node *node : {&a, &b}) {
        auto refused = Call(*node, "POST", "/order", 10);
        EXPECT_EQ(refused->status, 503);
        EXPECT_EQ(refused->response_headers["Burdock-Outcome"], "not-run");
        EXPECT_EQ(refused->response_headers["Burdock-Reason"],
                  "node_draining");
    }
    EXPECT_EQ(drained, 0);
    upload.pause_at = UINT64_MAX;
    curl_easy_pause(upload.easy, CURLPAUSE_CONT);
    ASSERT_TRUE(RunUntil([&] { return upload.is_done && drained == 2; }));
    EXPECT_EQ(upload.body, PatternDigest(3 * kMegabyte));
    EXPECT_EQ(target.ran["/order"], 1);
}

// Guards against a drain that never ends because one call does not.
TEST_F(Proxy, EndsADrainAtItsTimeLimit)
{
    drain_ms = 100;
    Start();
    Caller held;
    Send(&held, a, "GET", "/hold");
    ASSERT_TRUE(RunUntil([&] { return target.held.size() == 1; }));
    int drained = 0;
    BbProxy_Drain(
        a.proxy, [](void *arg) { ++*static_cast<int *>(arg); }, &drained);
    ASSERT_TRUE(RunUntil([&] { return drained == 1; }));
    EXPECT_EQ(BbProxy_InFlightCount(a.proxy), 1);
    EXPECT_EQ(BbCounters_Get(BB_COUNTER_DRAIN_CUT), 1);
}

// Guards against calls lost when a node exits, as seen in
// tests/scripted/calls_replace.sh: a call on a connection that the node had
// not accepted yet, and a call on a connection made between the last call and
// the exit of the process.
TEST_F(Proxy, AnswersPendingConnectionsAndAcceptsNoneAfterDrain)
{
    const std::string request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    Start();
    std::vector<int> sockets;
    for (int i = 0; i < 20; i++) {
        sockets.push_back(Connect(target.address));
        ASSERT_GE(sockets.back(), 0);
        send(sockets.back(), request.data(), request.size(), MSG_NOSIGNAL);
    }
    BbMhd_StopAccepting(target.mhd);
    for (int fd : sockets) {
        char block[12] = "";
        ASSERT_TRUE(RunUntil([&] {
            return recv(fd, block, sizeof(block), MSG_PEEK | MSG_DONTWAIT) > 0;
        }));
        EXPECT_EQ(std::string(block, 9), "HTTP/1.1 ");
        close(fd);
    }
    int drained = 0;
    BbProxy_Drain(
        a.proxy, [](void *arg) { ++*static_cast<int *>(arg); }, &drained);
    ASSERT_TRUE(RunUntil([&] { return drained == 1; }));
    EXPECT_LT(Connect(a.address), 0);
}

// Guards against a stream that hangs forever when the target stops sending,
// and against a slow caller that keeps a slot occupied.
TEST_F(Proxy, EndsStalledStreams)
{
    stall_ms = 200;
    Start();
    for (const Node *node : {&a, &b}) {
        auto get = Call(*node, "GET", "/stall");
        EXPECT_EQ(get->code, CURLE_PARTIAL_FILE);
        Caller upload;
        upload.pause_at = 100;
        Send(&upload, *node, "POST", "/order", 200);
        ASSERT_TRUE(
            RunUntil([&] { return upload.response_headers.size() > 3; }));
        // Lets libcurl notice the response.
        curl_easy_pause(upload.easy, CURLPAUSE_CONT);
        ASSERT_TRUE(RunUntil([&] { return upload.is_done; }));
        EXPECT_EQ(upload.status, 408);
        EXPECT_EQ(upload.response_headers["Burdock-Reason"], "slow_caller");
        EXPECT_EQ(upload.response_headers["Burdock-Outcome"], "unknown");
        EXPECT_TRUE(RunUntil(
            [&] { return BbAdmission_RunningCount(b.admission) == 0; }));
    }
    EXPECT_EQ(target.ran["/order"], 0);
    std::string slow = ExchangeRaw(a, "GET /x HTTP/1.1\r\nHost: h\r\n");
    EXPECT_EQ(slow.substr(0, 12), "HTTP/1.1 408");
    EXPECT_TRUE(RunUntil([&] { return BbProxy_InFlightCount(a.proxy) == 0; }));
}

// Guards against a stall limit that ends calls whose target only needs longer
// to respond, and against expired deadlines that are reported as not-run.
TEST_F(Proxy, LimitsTheWaitForAResponseByTheDeadlineOnly)
{
    stall_ms = 100;
    Start();
    for (const Node *node : {&a, &b}) {
        // The second deadline is above the service time that admission control
        // learnt from the first call.
        auto late = Call(*node, "GET", "/hold", -1,
                         node == &a ? "Burdock-Deadline-Ms: 300"
                                    : "Burdock-Deadline-Ms: 900");
        EXPECT_EQ(late->status, 504);
        EXPECT_EQ(late->response_headers["Burdock-Outcome"], "unknown");
        EXPECT_EQ(late->response_headers["Burdock-Reason"], "call_timeout");
    }
}

// Guards against a body that is transferred although the call is refused, and
// against a refusal without its outcome: a target whose slots are all taken
// refuses an upload before its body.
TEST_F(Proxy, RefusesAnUploadBeforeItsBody)
{
    Start();
    for (const Node *node : {&a, &b}) {
        Caller first;
        first.headers = curl_slist_append(first.headers, "Host: tight");
        Send(&first, *node, "GET", "/hold");
        ASSERT_TRUE(RunUntil([&] { return target.held.size() == 1; }));
        auto upload =
            Call(*node, "POST", "/order", 50 * kMegabyte, "Host: tight");
        EXPECT_EQ(upload->status, 503);
        EXPECT_EQ(upload->response_headers["Burdock-Outcome"], "not-run");
        EXPECT_EQ(upload->response_headers["Burdock-Reason"], "queue_full");
        EXPECT_LT(upload->uploaded, 8 * kMegabyte);
        target.ReleaseHeld();
        ASSERT_TRUE(RunUntil([&] { return first.is_done; }));
        EXPECT_EQ(first.status, 200);
    }
}

// Guards against a queued upload whose body is lost or truncated while the
// call waits for a slot.
TEST_F(Proxy, StreamsABodyAfterWaitingForASlot)
{
    Start();
    std::vector<std::unique_ptr<Caller>> holders;
    for (int i = 0; i < 8; i++) {
        holders.push_back(std::make_unique<Caller>());
        Send(holders.back().get(), a, "GET", "/hold");
    }
    ASSERT_TRUE(RunUntil([&] { return target.held.size() == 8; }));
    Caller uploads[2];
    Send(&uploads[0], a, "POST", "/order", 2 * kMegabyte);
    Send(&uploads[1], b, "POST", "/order", 2 * kMegabyte);
    ASSERT_TRUE(
        RunUntil([&] { return BbAdmission_QueuedCount(b.admission) == 2; }));
    target.ReleaseHeld();
    for (Caller &upload : uploads) {
        ASSERT_TRUE(RunUntil([&] { return upload.is_done; }));
        EXPECT_EQ(upload.body, PatternDigest(2 * kMegabyte));
    }
    ASSERT_TRUE(RunUntil([&] { return BbProxy_InFlightCount(a.proxy) == 0; }));
}

// Guards against a lost early response: the target refuses an upload without
// reading its body.
TEST_F(Proxy, ForwardsAResponseSentBeforeTheBodyWasRead)
{
    Start();
    for (const Node *node : {&a, &b}) {
        auto upload = Call(*node, "POST", "/early", 20 * kMegabyte);
        EXPECT_EQ(upload->status, 413);
        EXPECT_EQ(upload->body, "too large");
    }
}

// Guards against a wrong outcome: a call that certainly did not run must be
// reported as not-run and not as unknown.
TEST_F(Proxy, ReportsAnUnreachableNodeOrTargetAsNotRun)
{
    Start();
    BbMhd_StopAccepting(target.mhd);
    for (const Node *node : {&a, &b}) {
        auto order = Call(*node, "POST", "/order", 10);
        EXPECT_EQ(order->status, 502);
        EXPECT_EQ(order->response_headers["Burdock-Outcome"], "not-run");
        EXPECT_EQ(order->response_headers["Burdock-Reason"], "target_connect");
    }
    BbBalancer_Remove(a.balancer, b.address.c_str());
    EXPECT_EQ(Call(a, "GET", "/x")->response_headers["Burdock-Reason"],
              "no_live_target");
    Node unreachable = {};
    unreachable.address = FreeAddress();
    AddCandidate(&a, &unreachable);
    auto lost = Call(a, "POST", "/order", 10);
    EXPECT_EQ(lost->response_headers["Burdock-Outcome"], "not-run");
    EXPECT_EQ(lost->response_headers["Burdock-Reason"], "connect_failed");
}

// Guards against a retry that sends only part of the body: the first target is
// down, and the second must receive the complete body.
TEST_F(Proxy, ResendsTheBodyOnRetry)
{
    Start();
    Node unreachable = {};
    unreachable.address = FreeAddress();
    for (int i = 0; i < 100; i++) { // each call adds to the retry budget
        EXPECT_EQ(Call(a, "GET", "/x")->status, 200);
    }
    for (int64_t size : {1000, 60000, 5000000}) {
        int64_t retries = BbCounters_Get(BB_COUNTER_RETRY_CONNECT_FAILED);
        int tries = 0;
        while (retries == BbCounters_Get(BB_COUNTER_RETRY_CONNECT_FAILED) &&
               tries++ < 100) {
            BbBalancer_Remove(a.balancer, unreachable.address.c_str());
            // Added again, the member has no failure on record.
            AddCandidate(&a, &unreachable);
            auto order = Call(a, "POST", "/order", size);
            EXPECT_EQ(order->status, 200);
            EXPECT_EQ(order->body, PatternDigest((uint64_t)size));
        }
        EXPECT_LT(tries, 100);
    }
}

// A fake platform with one table: rows with revisions and compare-and-set.
struct ClaimTable {
    std::map<std::string, json_t *> rows;
    int64_t revision = 0;
    bool is_unavailable = false;

    ~ClaimTable()
    {
        for (auto &row : rows) {
            json_decref(row.second);
        }
    }
    static void Handle(bb_http_request_t *request, void *arg)
    {
        auto *table = static_cast<ClaimTable *>(arg);
        json_t *body = json_loads(BbHttp_Body(request, nullptr), 0, nullptr);
        json_t *response = nullptr;
        int status = table->is_unavailable ? 503
                     : body != nullptr     ? table->Commit(body, &response)
                                           : table->Read(request, &response);
        char *text = json_dumps(response, 0);
        BbHttp_Reply(request, (unsigned)status, "application/json",
                     text != nullptr ? text : "",
                     text != nullptr ? strlen(text) : 0);
        free(text);
        json_decref(response);
        json_decref(body);
    }
    int Read(bb_http_request_t *request, json_t **response)
    {
        auto row =
            rows.find(BbHttp_Path(request) + strlen("/v1/rows/claims/"));
        *response = row != rows.end() ? json_incref(row->second) : nullptr;
        return row != rows.end() ? 200 : 404;
    }
    int Commit(json_t *body, json_t **response)
    {
        json_t *check = json_array_get(json_object_get(body, "checks"), 0);
        json_t *write = json_array_get(json_object_get(body, "writes"), 0);
        std::string key = json_string_value(json_object_get(write, "key"));
        int64_t found =
            rows.count(key) == 0
                ? 0
                : json_integer_value(json_object_get(rows[key], "revision"));
        if (found != json_integer_value(json_object_get(check, "revision"))) {
            *response = json_pack("{s:[{s:i}]}", "conflicts", "check", 0);
            return 409;
        }
        *response = json_pack("{s:I,s:i}", "revision", (json_int_t)++revision,
                              "now_ms", 1);
        if (found != 0) {
            json_decref(rows[key]);
            rows.erase(key);
        }
        json_t *value = json_object_get(write, "value");
        if (!json_is_null(value)) {
            rows[key] = json_pack("{s:O,s:I,s:i}", "value", value, "revision",
                                  (json_int_t)revision, "now_ms", 1);
        }
        return 200;
    }
};

// Guards against an order that runs twice despite its claim, that runs without
// a claim, or whose claim remains although it certainly did not run (G6).
TEST_F(Proxy, ClaimsAnOrderBeforeItRuns)
{
    ClaimTable table;
    bb_http_t *http = nullptr;
    std::string address = FreeAddress(), url = "http://" + address;
    bb_http_options_t http_options = {loop, address.c_str(),
                                      ClaimTable::Handle, &table, 0};
    ASSERT_EQ(BbHttp_Start(&http, &http_options), 0);
    bb_platform_options_t options = {curl, url.c_str(), 0};
    platform = BbPlatform_New(&options);
    Start();
    auto order = [&](const Node &node, const char *key) {
        auto caller = std::make_unique<Caller>();
        caller->headers = curl_slist_append(nullptr, "Host: claims");
        caller->headers = curl_slist_append(caller->headers, key);
        Send(caller.get(), node, "POST", "/order", 100);
        EXPECT_TRUE(RunUntil([&] { return caller->is_done; }));
        return caller;
    };
    EXPECT_EQ(order(a, "X: no key")->status, 428);
    auto first = order(a, "Idempotency-Key: k1");
    EXPECT_EQ(first->body, PatternDigest(100));
    // Revision 1 is the claim, 2 its end.
    EXPECT_TRUE(RunUntil([&] { return table.revision == 2; }));
    auto again = order(b, "Idempotency-Key: k1");
    EXPECT_EQ(again->status, 409);
    EXPECT_EQ(again->response_headers["Burdock-Outcome"], "ran");
    EXPECT_EQ(again->response_headers["Burdock-Status"], "200");
    table.is_unavailable = true;
    auto refused = order(a, "Idempotency-Key: k2");
    EXPECT_EQ(refused->response_headers["Burdock-Outcome"], "not-run");
    EXPECT_EQ(refused->response_headers["Burdock-Reason"],
              "claim_unavailable");
    table.is_unavailable = false;
    Announce(FreeAddress());
    EXPECT_EQ(
        order(a, "Idempotency-Key: k3")->response_headers["Burdock-Reason"],
        "target_connect");
    EXPECT_EQ(table.rows.size(), 1u);
    Announce(target.address);
    EXPECT_EQ(order(b, "Idempotency-Key: k3")->status, 200);
    EXPECT_EQ(target.ran["/order"], 2);
    EXPECT_TRUE(RunUntil([&] { return table.revision == 6; }));
    ev_run(loop, EVRUN_NOWAIT);
    BbPlatform_Free(platform);
    BbHttp_Free(http);
}

// Guards against invalid requests that affect other calls or get a 5xx status.
TEST_F(Proxy, RefusesInvalidRequestsWithAReason)
{
    max_body_bytes = 1000000;
    Start();
    struct {
        const char *request;
        const char *status;
        const char *reason;
    } cases[] = {
        {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "400", "bad_request"},
        {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
         "Content-Length: 4\r\n\r\nabc",
         "400", "bad_request"},
        {"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
         "400", "bad_request"},
        {"GET /x HTTP/1.1\r\nHost: h\r\nBurdock-Deadline-Ms: -1\r\n\r\n",
         "400", "bad_deadline"},
        {"BREW /x HTTP/1.1\r\nHost: h\r\n\r\n", "405", "bad_method"},
        {"GET http://h/x HTTP/1.1\r\nHost: h\r\n\r\n", "400", "bad_request"},
        {"POST /only HTTP/1.1\r\nHost: get\r\nContent-Length: 0\r\n\r\n",
         "200", ""}, // "get" does not allow POST, so the route of "*" matches
        {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 99000001\r\n\r\n",
         "413", "body_too_large"},
        {"GET /x HTTP/1.1\r\nHost: h\r\nBurdock-Hop: 1\r\n\r\n", "400",
         "bad_hop"},
        {nullptr, "431", "head_too_large"},
    };
    for (const auto &c : cases) {
        std::string huge =
            "GET /x HTTP/1.1\r\nHost: h\r\nX: " + std::string(20000, 'x') +
            "\r\n\r\n";
        std::string response =
            ExchangeRaw(a, c.request != nullptr ? c.request : huge);
        EXPECT_EQ(response.substr(0, 9 + 3),
                  std::string("HTTP/1.1 ") + c.status)
            << (c.request != nullptr ? c.request : "huge head");
        EXPECT_NE(response.find(c.reason), std::string::npos) << response;
    }
    EXPECT_EQ(BbCounters_Get(BB_COUNTER_REFUSED_BAD_REQUEST), 4);
    EXPECT_EQ(ExchangeRaw(a, "nonsense\r\n\r\n").find("200"),
              std::string::npos);
    EXPECT_EQ(Call(a, "GET", "/x")->status, 200);
}

// Guards against a ring buffer that loses or reorders bytes when it grows or
// wraps.
TEST(Stream, KeepsOrderAcrossGrowthAndWrap)
{
    bb_stream_t stream;
    BbStream_Init(&stream, 10000);
    uint64_t written = 0, read = 0;
    for (int round = 1; round < 4000; round++) {
        char block[3000];
        size_t size = (size_t)(round * 37 % 2900 + 1);
        for (size_t i = 0; i < size; i++) {
            block[i] = PatternAt(written + i);
        }
        written += BbStream_Write(&stream, block, size);
        size = BbStream_Read(&stream, block, (size_t)(round * 53 % 2900));
        for (size_t i = 0; i < size; i++) {
            ASSERT_EQ(block[i], PatternAt(read + i));
        }
        read += size;
        ASSERT_EQ(stream.size, written - read);
        ASSERT_LE(stream.size, 10000u);
    }
    BbStream_Clear(&stream);
}

} // namespace
