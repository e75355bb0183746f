#include "bb_link_io.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <uthash.h>
#include <zmq.h>

#include "bb_error.h"
#include "bb_log.h"

#define SEND_QUEUE 256      /* frames per connection */
#define RECEIVE_QUEUE 1024  /* frames per connection */
#define ACCEPT_BACKLOG 1024 /* many nodes may reconnect at once */
#define CONNECT_TIMEOUT_MS 2000
#define TCP_UNACKED_TIMEOUT_MS 5000 /* then the connection is closed */
#define KEEPALIVE_IDLE_S 5
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 1000
/* Frames received from one socket before other sockets are served. */
#define MAX_FRAMES_PER_TURN 64
/* Sockets are checked at this interval even if no descriptor is readable. */
#define CHECK_INTERVAL_S 0.1

typedef struct sock {
    bb_links_t *owner;
    void *zmq;
    uint64_t link;            /* 0 for the ROUTER */
    bool needs_check;         /* frames may be waiting without an event */
    bool is_closed;           /* freed before the loop blocks */
    struct sock *next_closed; /* in the list of closed sockets */
    ev_io watcher;
    UT_hash_handle hh;
} sock_t;

#define MAX_IDENTITY_BYTES 255

/* An incoming link and the identity that the ROUTER gives its peer. */
typedef struct {
    uint64_t link;
    size_t size;
    UT_hash_handle by_link;
    UT_hash_handle by_identity;
    unsigned char identity[MAX_IDENTITY_BYTES];
} incoming_t;

struct bb_links {
    bb_links_options_t options;
    void *context;
    sock_t router;
    sock_t *dealers;
    sock_t *closed;
    incoming_t *by_link;
    incoming_t *by_identity;
    ev_prepare prepare;
    ev_idle idle;   /* keeps the loop from blocking while frames wait */
    ev_timer check; /* every CHECK_INTERVAL_S */
};

/* ---- sockets ---- */

static int
set_int_option(void *socket, int option, int value)
{
    return zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void *
new_socket(bb_links_t *links, int type)
{
    void *socket = zmq_socket(links->context, type);
    int64_t max_size = (int64_t)links->options.max_frame_bytes;
    if (socket == NULL) {
        return NULL;
    }
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max_size, sizeof(max_size));
    set_int_option(socket, ZMQ_LINGER, 0);
    set_int_option(socket, ZMQ_SNDHWM, SEND_QUEUE);
    set_int_option(socket, ZMQ_RCVHWM, RECEIVE_QUEUE);
    set_int_option(socket, ZMQ_TCP_KEEPALIVE, 1);
    set_int_option(socket, ZMQ_TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S);
    set_int_option(socket, ZMQ_TCP_MAXRT, TCP_UNACKED_TIMEOUT_MS);
    set_int_option(socket, ZMQ_HANDSHAKE_IVL, CONNECT_TIMEOUT_MS);
    return socket;
}

static bool
is_readable(void *socket)
{
    int events = 0;
    size_t size = sizeof(events);
    if (zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size) != 0) {
        return false;
    }
    return (events & ZMQ_POLLIN) != 0;
}

/* Receives one message part; returns false if there is none. */
static bool
receive_part(void *socket, zmq_msg_t *part)
{
    int result;
    do {
        result = zmq_msg_recv(part, socket, ZMQ_DONTWAIT);
    } while (result < 0 && errno == EINTR);
    return result >= 0;
}

/* Discards the rest of a message with too many parts. */
static void
discard_parts(void *socket, zmq_msg_t *part)
{
    while (zmq_msg_more(part) && receive_part(socket, part)) {
    }
}

/* ---- incoming links ---- */

static incoming_t *
find_incoming(const bb_links_t *links, uint64_t link)
{
    incoming_t *incoming = NULL;
    HASH_FIND(by_link, links->by_link, &link, sizeof(link), incoming);
    return incoming;
}

static void
remove_incoming(bb_links_t *links, incoming_t *incoming)
{
    HASH_DELETE(by_link, links->by_link, incoming);
    HASH_DELETE(by_identity, links->by_identity, incoming);
    g_free(incoming);
}

/* Returns the link number for an identity. A new identity gets its number from
 * the accept callback; 0 means that its frames are dropped. */
static uint64_t
find_or_accept_link(bb_links_t *links, const void *identity, size_t size)
{
    incoming_t *incoming = NULL;
    if (size == 0 || size > MAX_IDENTITY_BYTES) {
        return 0;
    }
    HASH_FIND(by_identity, links->by_identity, identity, size, incoming);
    if (incoming != NULL) {
        return incoming->link;
    }
    uint64_t link = links->options.accept(links->options.arg);
    if (link == 0) {
        return 0;
    }
    incoming = g_new0(incoming_t, 1);
    incoming->link = link;
    incoming->size = size;
    memcpy(incoming->identity, identity, size);
    HASH_ADD(by_link, links->by_link, link, sizeof(link), incoming);
    HASH_ADD_KEYPTR(by_identity, links->by_identity, incoming->identity, size,
                    incoming);
    return link;
}

/* ---- receiving ---- */

static void
deliver(bb_links_t *links, uint64_t link, zmq_msg_t *frame)
{
    if (link != 0) {
        links->options.receive(link, zmq_msg_data(frame), zmq_msg_size(frame),
                               links->options.arg);
    }
}

/* Receives one message of the ROUTER: the identity, then the frame. Returns
 * false if there is none; malformed messages are discarded. */
static bool
receive_router(bb_links_t *links, zmq_msg_t *identity, zmq_msg_t *frame)
{
    void *socket = links->router.zmq;
    if (!receive_part(socket, identity)) {
        return false;
    }
    if (!zmq_msg_more(identity) || !receive_part(socket, frame)) {
        return true;
    }
    if (zmq_msg_more(frame)) {
        discard_parts(socket, frame);
        return true;
    }
    deliver(links,
            find_or_accept_link(links, zmq_msg_data(identity),
                                zmq_msg_size(identity)),
            frame);
    return true;
}

static bool
receive_dealer(sock_t *sock, zmq_msg_t *frame)
{
    if (!receive_part(sock->zmq, frame)) {
        return false;
    }
    if (zmq_msg_more(frame)) {
        discard_parts(sock->zmq, frame);
        return true;
    }
    deliver(sock->owner, sock->link, frame);
    return true;
}

/* Receives frames until there are none left or MAX_FRAMES_PER_TURN is
 * reached. */
static void
receive_pending(sock_t *sock)
{
    bb_links_t *links = sock->owner;
    zmq_msg_t identity;
    zmq_msg_t frame;
    zmq_msg_init(&identity);
    zmq_msg_init(&frame);
    sock->needs_check = false;
    for (int i = 0; i < MAX_FRAMES_PER_TURN && !sock->is_closed; i++) {
        bool more = sock == &links->router
                        ? receive_router(links, &identity, &frame)
                        : receive_dealer(sock, &frame);
        if (!more) {
            break;
        }
    }
    zmq_msg_close(&identity);
    zmq_msg_close(&frame);
    if (!sock->is_closed && is_readable(sock->zmq)) {
        sock->needs_check = true;
        ev_idle_start(links->options.loop, &links->idle);
    }
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    receive_pending(watcher->data);
}

static void
free_closed(bb_links_t *links)
{
    while (links->closed != NULL) {
        sock_t *sock = links->closed;
        links->closed = sock->next_closed;
        zmq_close(sock->zmq);
        g_free(sock);
    }
}

static void
on_idle(struct ev_loop *loop, ev_idle *watcher, int events)
{
    (void)events;
    ev_idle_stop(loop, watcher);
}

/* Runs before the loop blocks: a socket that was used may hold frames for
 * which its descriptor does not become readable again. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    (void)loop;
    (void)events;
    bb_links_t *links = watcher->data;
    if (links->router.needs_check) {
        receive_pending(&links->router);
    }
    /* receive_pending() may close sockets. They stay allocated until
     * free_closed(). */
    for (sock_t *sock = links->dealers; sock != NULL; sock = sock->hh.next) {
        if (sock->needs_check && !sock->is_closed) {
            receive_pending(sock);
        }
    }
    free_closed(links);
    if (links->router.needs_check) {
        ev_idle_start(links->options.loop, &links->idle);
    }
}

static void
on_check_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    bb_links_t *links = watcher->data;
    links->router.needs_check = true;
    for (sock_t *sock = links->dealers; sock != NULL; sock = sock->hh.next) {
        sock->needs_check = true;
    }
}

/* ---- construction ---- */

static int
watch_socket(bb_links_t *links, sock_t *sock)
{
    int fd = -1;
    size_t size = sizeof(fd);
    sock->owner = links;
    if (zmq_getsockopt(sock->zmq, ZMQ_FD, &fd, &size) != 0) {
        return BB_ERR_IO;
    }
    ev_io_init(&sock->watcher, on_readable, fd, EV_READ);
    sock->watcher.data = sock;
    ev_io_start(links->options.loop, &sock->watcher);
    sock->needs_check = true;
    return 0;
}

static int
open_router(bb_links_t *links)
{
    char *endpoint = g_strdup_printf("tcp://%s", links->options.bind_address);
    int error = 0;
    links->router.zmq = new_socket(links, ZMQ_ROUTER);
    if (links->router.zmq == NULL) {
        error = BB_ERR_IO;
    }
    else {
        set_int_option(links->router.zmq, ZMQ_ROUTER_MANDATORY, 1);
        set_int_option(links->router.zmq, ZMQ_BACKLOG, ACCEPT_BACKLOG);
        if (zmq_bind(links->router.zmq, endpoint) != 0) {
            error =
                errno == EADDRINUSE ? BB_ERR_ADDRESS_IN_USE : BB_ERR_ARGUMENT;
            BbLog_Write(BB_LOG_ERROR, "cannot bind peer_address %s: %s",
                        links->options.bind_address, zmq_strerror(errno));
        }
    }
    g_free(endpoint);
    return error != 0 ? error : watch_socket(links, &links->router);
}

static void
start_watchers(bb_links_t *links)
{
    struct ev_loop *loop = links->options.loop;
    ev_prepare_init(&links->prepare, on_prepare);
    ev_idle_init(&links->idle, on_idle);
    ev_timer_init(&links->check, on_check_timer, CHECK_INTERVAL_S,
                  CHECK_INTERVAL_S);
    links->prepare.data = links;
    links->check.data = links;
    ev_prepare_start(loop, &links->prepare);
    ev_timer_start(loop, &links->check);
}

int
BbLinks_New(bb_links_t **out, const bb_links_options_t *options)
{
    bb_links_t *links = g_new0(bb_links_t, 1);
    links->options = *options;
    links->context = zmq_ctx_new();
    zmq_ctx_set(links->context, ZMQ_IO_THREADS, 1);
    int error = open_router(links);
    if (error != 0) {
        if (links->router.zmq != NULL) {
            zmq_close(links->router.zmq);
        }
        zmq_ctx_term(links->context);
        g_free(links);
        return error;
    }
    links->options.bind_address = NULL;
    start_watchers(links);
    *out = links;
    return 0;
}

void
BbLinks_Free(bb_links_t *links, int linger_ms)
{
    if (links == NULL) {
        return;
    }
    struct ev_loop *loop = links->options.loop;
    ev_prepare_stop(loop, &links->prepare);
    ev_idle_stop(loop, &links->idle);
    ev_timer_stop(loop, &links->check);
    while (links->dealers != NULL) {
        sock_t *sock = links->dealers;
        set_int_option(sock->zmq, ZMQ_LINGER, linger_ms);
        BbLinks_Close(links, sock->link);
    }
    free_closed(links);
    while (links->by_link != NULL) {
        remove_incoming(links, links->by_link);
    }
    ev_io_stop(loop, &links->router.watcher);
    set_int_option(links->router.zmq, ZMQ_LINGER, linger_ms);
    zmq_close(links->router.zmq);
    zmq_ctx_term(links->context);
    g_free(links);
}

/* ---- links ---- */

static sock_t *
find_dealer(const bb_links_t *links, uint64_t link)
{
    sock_t *sock = NULL;
    HASH_FIND(hh, links->dealers, &link, sizeof(link), sock);
    return sock;
}

bool
BbLinks_Open(bb_links_t *links, uint64_t link, const char *address)
{
    char *endpoint = g_strdup_printf("tcp://%s", address);
    sock_t *sock = g_new0(sock_t, 1);
    sock->link = link;
    sock->zmq = new_socket(links, ZMQ_DEALER);
    bool is_open = false;
    if (sock->zmq != NULL) {
        set_int_option(sock->zmq, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
        set_int_option(sock->zmq, ZMQ_RECONNECT_IVL, RECONNECT_MS);
        set_int_option(sock->zmq, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
        is_open = zmq_connect(sock->zmq, endpoint) == 0 &&
                  watch_socket(links, sock) == 0;
    }
    g_free(endpoint);
    if (!is_open) {
        if (sock->zmq != NULL) {
            zmq_close(sock->zmq);
        }
        g_free(sock);
        return false;
    }
    HASH_ADD(hh, links->dealers, link, sizeof(sock->link), sock);
    return true;
}

static bool
send_part(void *socket, const void *bytes, size_t size, int flags)
{
    int result;
    do {
        result = zmq_send(socket, bytes, size, flags | ZMQ_DONTWAIT);
    } while (result < 0 && errno == EINTR);
    return result >= 0;
}

bool
BbLinks_Send(bb_links_t *links, uint64_t link, const unsigned char *frame,
             size_t size)
{
    sock_t *sock = find_dealer(links, link);
    if (sock != NULL) {
        sock->needs_check = true;
        return send_part(sock->zmq, frame, size, 0);
    }
    const incoming_t *incoming = find_incoming(links, link);
    if (incoming == NULL) {
        return false;
    }
    links->router.needs_check = true;
    return send_part(links->router.zmq, incoming->identity, incoming->size,
                     ZMQ_SNDMORE) &&
           send_part(links->router.zmq, frame, size, 0);
}

void
BbLinks_Close(bb_links_t *links, uint64_t link)
{
    sock_t *sock = find_dealer(links, link);
    incoming_t *incoming = find_incoming(links, link);
    if (sock != NULL) {
        HASH_DEL(links->dealers, sock);
        ev_io_stop(links->options.loop, &sock->watcher);
        sock->is_closed = true;
        sock->next_closed = links->closed;
        links->closed = sock;
    }
    if (incoming != NULL) {
        remove_incoming(links, incoming);
    }
}
