/*
 * bb_link_queue - paces bulk responses on this VM's outbound link
 *
 * Responses that are written to their sockets at once fill the queues of the
 * kernel and of the link, and small responses wait behind them. Here a bulk
 * response waits, and gets the right to write piece by piece, just below the
 * rate of the link. Small responses are written at once and only counted.
 *
 * Bulk goes in the order of due time and rank; what is late goes last. A
 * transfer whose socket is full yields its turn to the next.
 *
 * link_mbps is the upper bound of the rate. A link that takes less is detected
 * by two or more sockets that are full most of the time although bytes still
 * leave them; one full socket, or some that take nothing, are slow receivers.
 *
 * Designed for links of 5 to 200 Mbit/s that are loaded to more than half by
 * responses of 50 to 500 KB, beside many small ones with tight deadlines.
 *
 * USE
 *   BbLinkQueue_Charge(queue, bytes, now) for each small response.
 *   For bulk: bytes = BbLinkQueue_Take(queue, &transfer, unsent, now);
 *   Write that many; BbLinkQueue_Return() what the socket does not take. A
 *   transfer with unsent bytes stays queued: at BbLinkQueue_Delay() seconds
 *   from now, take again for BbLinkQueue_Next().
 *
 * LIMITS
 *   No clock and no sockets; O(n) in the number of waiting transfers. now must
 *   not go back.
 */
#ifndef BB_LINK_QUEUE_H
#define BB_LINK_QUEUE_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A response body above this size is bulk. */
#define BB_LINK_BULK_BYTES 16384

/* Times are in seconds, on the clock of the now arguments. Initialize the
 * struct with zeros. */
typedef struct bb_link_transfer {
    int rank;      /* 0 is the most urgent */
    double due_at; /* end of the target latency */
    void *arg;     /* for the owner */
    /* set by the queue */
    size_t waiting_bytes;
    double waiting_since;
    bool is_queued;
    bool is_held; /* its socket is full */
    double held_since;
    struct bb_link_transfer *prev, *next;
} bb_link_transfer_t;

typedef struct bb_link_queue bb_link_queue_t;

/* link_mbps: bandwidth of the link in Mbit/s, above 0. */
bb_link_queue_t *BbLinkQueue_New(double link_mbps, double now);
void BbLinkQueue_Free(bb_link_queue_t *queue);

/* Counts bytes that are written without waiting. */
void BbLinkQueue_Charge(bb_link_queue_t *queue, size_t bytes, double now);

/* States that the transfer has this many unsent bytes, and returns how many of
 * them may be written now. The transfer is queued while there are more. */
size_t BbLinkQueue_Take(bb_link_queue_t *queue, bb_link_transfer_t *transfer,
                        size_t bytes, double now);

/* Takes back bytes that the socket has not accepted. The transfer is skipped
 * until its next BbLinkQueue_Take(). */
void BbLinkQueue_Return(bb_link_queue_t *queue, bb_link_transfer_t *transfer,
                        size_t bytes, double now);

/* Removes a transfer with all its waiting bytes; it need not be queued. */
void BbLinkQueue_Remove(bb_link_queue_t *queue, bb_link_transfer_t *transfer,
                        double now);

/* Returns the transfer that may write now, NULL if none may. */
bb_link_transfer_t *BbLinkQueue_Next(bb_link_queue_t *queue, double now);

/* Seconds until BbLinkQueue_Next() returns a transfer, negative if no transfer
 * waits whose socket has room. */
double BbLinkQueue_Delay(bb_link_queue_t *queue, double now);

bool BbLinkQueue_HasWaiting(const bb_link_queue_t *queue);
size_t BbLinkQueue_WaitingBytes(const bb_link_queue_t *queue);

/* Bytes per second that are left for bulk: the rate of the link less the
 * recent small responses. */
double BbLinkQueue_BulkRate(bb_link_queue_t *queue, double now);

/* Predicted seconds until a response of this size would be written, if it was
 * given now. */
double BbLinkQueue_Predict(bb_link_queue_t *queue, double bytes, int rank,
                           double due_at, double now);

/* Rate that the link is found to take, in bytes per second; at most that of
 * link_mbps. */
double BbLinkQueue_Rate(const bb_link_queue_t *queue);

/* Size of a piece at the present rate. */
size_t BbLinkQueue_PieceBytes(const bb_link_queue_t *queue);

#ifdef __cplusplus
}
#endif

#endif
