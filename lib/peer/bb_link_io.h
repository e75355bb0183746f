/*
 * bb_link_io - peer links over ZeroMQ, driven by a libev loop
 *
 * One ROUTER socket accepts the links that other nodes open; each link opened
 * by this node has a DEALER socket. Links carry messages in both directions,
 * each a single frame. A frame that does not fit into a full queue is dropped
 * and counted by the sender; the protocol later detects the loss by its
 * digests and sends the state again.
 *
 * DESIGN
 *   The file descriptor of a ZeroMQ socket becomes readable only when the
 *   state of the socket changes, and each send or receive may consume that
 *   event. A socket that was used is therefore checked for received frames
 *   again before the loop blocks.
 */
#ifndef BB_LINK_IO_H
#define BB_LINK_IO_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_links bb_links_t;

typedef struct {
    struct ev_loop *loop;
    const char *bind_address; /* "IP:PORT" */
    size_t max_frame_bytes;
    /* Returns the number of a new incoming link, or 0 to drop the frame. */
    uint64_t (*accept)(void *arg);
    void (*receive)(uint64_t link, const unsigned char *frame, size_t size,
                    void *arg);
    void *arg;
} bb_links_options_t;

/*
 * Binds bind_address. Returns 0, or BB_ERR_ADDRESS_IN_USE, BB_ERR_ARGUMENT or
 * BB_ERR_IO on failure.
 */
int BbLinks_New(bb_links_t **links, const bb_links_options_t *options);

/* Waits up to linger_ms until queued frames are sent. */
void BbLinks_Free(bb_links_t *links, int linger_ms);

/*
 * Starts to connect to "IP:PORT". The owner chooses link, a number not used
 * before. Returns false on failure.
 */
bool BbLinks_Open(bb_links_t *links, uint64_t link, const char *address);

/* Returns false if the frame was dropped: the queue is full, or the link or
 * its connection no longer exists. */
bool BbLinks_Send(bb_links_t *links, uint64_t link, const unsigned char *frame,
                  size_t size);

/* May be called from the receive callback. */
void BbLinks_Close(bb_links_t *links, uint64_t link);

#ifdef __cplusplus
}
#endif

#endif
