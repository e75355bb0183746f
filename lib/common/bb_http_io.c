#include "bb_http_io.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "bb_error.h"

#define DEFAULT_MAX_CONNECTIONS 1024
#define DEFAULT_CONNECTION_MEMORY (32 * 1024)
#define DEFAULT_MAX_BODY_BYTES (8 * 1024 * 1024)
#define LISTEN_BACKLOG 512

/* ---- daemons for streamed calls ---- */

struct bb_mhd {
    struct ev_loop *loop;
    struct MHD_Daemon *daemon;
    int listen_fd;
    ev_io io;
    ev_timer timer;
    ev_idle idle; /* keeps the loop from blocking after BbMhd_Wake() */
    ev_check check;
};

int
BbHttp_ParseAddress(const char *address, struct sockaddr_in *out)
{
    const char *colon = strrchr(address, ':');
    char ip[INET_ADDRSTRLEN];
    char *end = NULL;

    if (colon == NULL || (size_t)(colon - address) >= sizeof(ip)) {
        return BB_ERR_ARGUMENT;
    }
    g_strlcpy(ip, address, (gsize)(colon - address) + 1);
    long port = strtol(colon + 1, &end, 10);
    if (colon[1] == '\0' || *end != '\0' || port < 0 || port > 65535) {
        return BB_ERR_ARGUMENT;
    }
    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, ip, &out->sin_addr) == 1 ? 0 : BB_ERR_ARGUMENT;
}

static int
open_listener(const char *address, int *fd_out)
{
    struct sockaddr_in name;
    int one = 1;

    if (BbHttp_ParseAddress(address, &name) != 0) {
        return BB_ERR_ARGUMENT;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return BB_ERR_IO;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&name, sizeof(name)) != 0 ||
        listen(fd, LISTEN_BACKLOG) != 0) {
        int error = errno == EADDRINUSE ? BB_ERR_ADDRESS_IN_USE : BB_ERR_IO;
        close(fd);
        return error;
    }
    *fd_out = fd;
    return 0;
}

static void
run_daemon(bb_mhd_t *mhd)
{
    MHD_UNSIGNED_LONG_LONG timeout_ms;

    MHD_run(mhd->daemon);
    ev_timer_stop(mhd->loop, &mhd->timer);
    if (MHD_get_timeout(mhd->daemon, &timeout_ms) == MHD_YES) {
        if (timeout_ms == 0) {
            BbMhd_Wake(mhd);
            return;
        }
        ev_timer_set(&mhd->timer, (double)timeout_ms / 1000.0, 0.0);
        ev_timer_start(mhd->loop, &mhd->timer);
    }
}

static void
handle_mhd_io(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    (void)events;
    run_daemon(io->data);
}

static void
handle_mhd_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    run_daemon(timer->data);
}

static void
handle_mhd_check(struct ev_loop *loop, ev_check *check, int events)
{
    (void)events;
    bb_mhd_t *mhd = check->data;
    ev_idle_stop(loop, &mhd->idle);
    ev_check_stop(loop, &mhd->check);
    run_daemon(mhd);
}

static void
handle_mhd_idle(struct ev_loop *loop, ev_idle *idle, int events)
{
    (void)loop;
    (void)idle;
    (void)events;
}

void
BbMhd_Wake(bb_mhd_t *mhd)
{
    ev_idle_start(mhd->loop, &mhd->idle);
    ev_check_start(mhd->loop, &mhd->check);
}

int
BbMhd_Start(bb_mhd_t **mhd_out, const bb_mhd_options_t *options)
{
    int fd;
    int error = open_listener(options->address, &fd);
    if (error != 0) {
        return error;
    }
    bb_mhd_t *mhd = g_new0(bb_mhd_t, 1);
    mhd->loop = options->loop;
    mhd->listen_fd = fd;
    mhd->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
        options->handler, options->handler_arg, MHD_OPTION_LISTEN_SOCKET, fd,
        MHD_OPTION_NOTIFY_COMPLETED, options->completed,
        options->completed_arg, MHD_OPTION_CONNECTION_TIMEOUT,
        options->connection_timeout_s, MHD_OPTION_CONNECTION_LIMIT,
        options->max_connections > 0 ? options->max_connections
                                     : DEFAULT_MAX_CONNECTIONS,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        options->memory_per_connection > 0 ? options->memory_per_connection
                                           : DEFAULT_CONNECTION_MEMORY,
        MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK,
        options->raw_uri, options->raw_uri_arg, MHD_OPTION_END);
    if (mhd->daemon == NULL) {
        close(fd);
        g_free(mhd);
        return BB_ERR_IO;
    }
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(mhd->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    ev_io_init(&mhd->io, handle_mhd_io, info->epoll_fd, EV_READ);
    ev_init(&mhd->timer, handle_mhd_timer);
    ev_idle_init(&mhd->idle, handle_mhd_idle);
    ev_check_init(&mhd->check, handle_mhd_check);
    mhd->io.data = mhd;
    mhd->timer.data = mhd;
    mhd->check.data = mhd;
    ev_io_start(mhd->loop, &mhd->io);
    BbMhd_Wake(mhd);
    *mhd_out = mhd;
    return 0;
}

/* Closing the listener would reset the connections in its backlog, so all of
 * them are accepted and handed to the daemon first. */
static void
accept_pending(bb_mhd_t *mhd, int listen_fd)
{
    struct sockaddr_in name;
    socklen_t size = sizeof(name);
    int fd;

    while ((fd = accept4(listen_fd, (struct sockaddr *)&name, &size,
                         SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        /* Closes the socket if the connection limit is reached. */
        MHD_add_connection(mhd->daemon, fd, (struct sockaddr *)&name, size);
        size = sizeof(name);
    }
}

void
BbMhd_StopAccepting(bb_mhd_t *mhd)
{
    if (mhd->listen_fd >= 0) {
        MHD_socket fd = MHD_quiesce_daemon(mhd->daemon);
        if (fd != MHD_INVALID_SOCKET) {
            accept_pending(mhd, fd);
            close(fd);
        }
        mhd->listen_fd = -1;
        BbMhd_Wake(mhd);
    }
}

unsigned int
BbMhd_ConnectionCount(const bb_mhd_t *mhd)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(mhd->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    return info != NULL ? info->num_connections : 0;
}

void
BbMhd_Free(bb_mhd_t *mhd)
{
    if (mhd == NULL) {
        return;
    }
    ev_io_stop(mhd->loop, &mhd->io);
    MHD_stop_daemon(mhd->daemon);
    /* Callbacks that run while the daemon stops may call BbMhd_Wake(). */
    ev_timer_stop(mhd->loop, &mhd->timer);
    ev_idle_stop(mhd->loop, &mhd->idle);
    ev_check_stop(mhd->loop, &mhd->check);
    g_free(mhd);
}

/* ---- servers for buffered requests ---- */

struct bb_http_request {
    bb_http_t *http;
    struct MHD_Connection *connection;
    char *method;
    char *path;
    GByteArray *body;
    gboolean is_too_large;
    gboolean is_dispatched;
    gboolean is_suspended;
    gboolean is_dropped;
    struct MHD_Response *response; /* set by BbHttp_Reply() */
    unsigned int status;
    bb_http_request_t *prev;
    bb_http_request_t *next;
};

struct bb_http {
    bb_mhd_t *mhd;
    bb_http_handler_t handler;
    void *arg;
    size_t max_body_bytes;
    bb_http_request_t *requests;
};

static bb_http_request_t *
new_request(bb_http_t *http, struct MHD_Connection *connection,
            const char *method, const char *path)
{
    bb_http_request_t *request = g_new0(bb_http_request_t, 1);
    request->http = http;
    request->connection = connection;
    request->method = g_strdup(method);
    request->path = g_strdup(path);
    request->body = g_byte_array_new();
    DL_APPEND(http->requests, request);
    return request;
}

static void
collect_body(bb_http_request_t *request, const char *data, size_t size)
{
    if (request->body->len + size > request->http->max_body_bytes) {
        request->is_too_large = TRUE;
        return;
    }
    g_byte_array_append(request->body, (const guint8 *)data, (guint)size);
}

static void
dispatch_request(bb_http_request_t *request)
{
    request->is_dispatched = TRUE;
    g_byte_array_append(request->body, (const guint8 *)"", 1);
    if (request->is_too_large) {
        static const char message[] = "request body too large\n";
        BbHttp_Reply(request, MHD_HTTP_CONTENT_TOO_LARGE, "text/plain",
                     message, sizeof(message) - 1);
        return;
    }
    request->http->handler(request, request->http->arg);
}

static enum MHD_Result
handle_access(void *arg, struct MHD_Connection *connection, const char *url,
              const char *method, const char *version, const char *upload,
              size_t *upload_size, void **request_arg)
{
    (void)version;
    bb_http_t *http = arg;
    bb_http_request_t *request = *request_arg;

    if (request == NULL) {
        *request_arg = new_request(http, connection, method, url);
        return MHD_YES;
    }
    if (*upload_size > 0) {
        collect_body(request, upload, *upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    if (!request->is_dispatched) {
        dispatch_request(request);
    }
    if (request->is_dropped) {
        return MHD_NO;
    }
    if (request->response == NULL) {
        request->is_suspended = TRUE;
        MHD_suspend_connection(connection);
        return MHD_YES;
    }
    return MHD_queue_response(connection, request->status, request->response);
}

static void
complete_request(void *arg, struct MHD_Connection *connection,
                 void **request_arg, enum MHD_RequestTerminationCode code)
{
    (void)connection;
    (void)code;
    bb_http_t *http = arg;
    bb_http_request_t *request = *request_arg;

    if (request == NULL) {
        return;
    }
    *request_arg = NULL;
    DL_DELETE(http->requests, request);
    if (request->response != NULL) {
        MHD_destroy_response(request->response);
    }
    g_byte_array_free(request->body, TRUE);
    g_free(request->method);
    g_free(request->path);
    g_free(request);
}

static void
resume_request(bb_http_request_t *request)
{
    if (request->is_suspended) {
        request->is_suspended = FALSE;
        MHD_resume_connection(request->connection);
        BbMhd_Wake(request->http->mhd);
    }
}

int
BbHttp_Start(bb_http_t **http_out, const bb_http_options_t *options)
{
    bb_http_t *http = g_new0(bb_http_t, 1);
    http->handler = options->handler;
    http->arg = options->arg;
    http->max_body_bytes = options->max_body_bytes > 0
                               ? options->max_body_bytes
                               : DEFAULT_MAX_BODY_BYTES;
    bb_mhd_options_t mhd_options = {
        .loop = options->loop,
        .address = options->address,
        .handler = handle_access,
        .handler_arg = http,
        .completed = complete_request,
        .completed_arg = http,
    };
    int error = BbMhd_Start(&http->mhd, &mhd_options);
    if (error != 0) {
        g_free(http);
        return error;
    }
    *http_out = http;
    return 0;
}

void
BbHttp_Free(bb_http_t *http)
{
    bb_http_request_t *request;

    if (http == NULL) {
        return;
    }
    DL_FOREACH (http->requests, request) {
        request->is_dropped = TRUE;
        resume_request(request);
    }
    BbMhd_Free(http->mhd);
    g_free(http);
}

const char *
BbHttp_Method(const bb_http_request_t *request)
{
    return request->method;
}

const char *
BbHttp_Path(const bb_http_request_t *request)
{
    return request->path;
}

const char *
BbHttp_Query(const bb_http_request_t *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection,
                                       MHD_GET_ARGUMENT_KIND, name);
}

const char *
BbHttp_Header(const bb_http_request_t *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
                                       name);
}

const char *
BbHttp_Body(const bb_http_request_t *request, size_t *size)
{
    if (size != NULL) {
        *size = request->body->len - 1;
    }
    return (const char *)request->body->data;
}

void
BbHttp_Reply(bb_http_request_t *request, unsigned int status,
             const char *content_type, const char *body, size_t size)
{
    request->status = status;
    request->response = MHD_create_response_from_buffer(
        size, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(request->response, "Content-Type", content_type);
    resume_request(request);
}

void
BbHttp_Drop(bb_http_request_t *request)
{
    request->is_dropped = TRUE;
    resume_request(request);
}
