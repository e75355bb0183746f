/*
 * bb_link_pacer_io - the link queue of a node, with its timer
 *
 * All servers of a node share one pacer, because they share the link. The
 * timer runs only while bulk waits that may be written later.
 *
 * USE
 *   pacer = BbLinkPacer_New(loop, link_mbps);
 *   BbLinkPacer_Charge(pacer, size) after a write that does not wait.
 *   For bulk: size = BbLinkPacer_Take(pacer, &transfer, unsent); write that
 *   much; BbLinkPacer_Return() what the socket has not taken.
 *   transfer.resume is called from the event loop when the transfer may take
 *   again. It must call BbLinkPacer_Take() or BbLinkPacer_Remove().
 *
 *   NULL stands for a link without limit: nothing is counted.
 */
#ifndef BB_LINK_PACER_IO_H
#define BB_LINK_PACER_IO_H

#include <ev.h>

#include "bb_link_queue.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct bb_link_pacer bb_link_pacer_t;

typedef struct bb_paced_transfer {
    bb_link_transfer_t base; /* must be first */
    void (*resume)(struct bb_paced_transfer *transfer);
} bb_paced_transfer_t;

/* Returns NULL if link_mbps is 0, that is, not known. */
bb_link_pacer_t *BbLinkPacer_New(struct ev_loop *loop, double link_mbps);

/* No transfer may be queued any more. */
void BbLinkPacer_Free(bb_link_pacer_t *pacer);

void BbLinkPacer_Charge(bb_link_pacer_t *pacer, size_t bytes);
size_t BbLinkPacer_Take(bb_link_pacer_t *pacer, bb_paced_transfer_t *transfer,
                        size_t bytes);
void BbLinkPacer_Return(bb_link_pacer_t *pacer, bb_paced_transfer_t *transfer,
                        size_t bytes);
void BbLinkPacer_Remove(bb_link_pacer_t *pacer, bb_paced_transfer_t *transfer);

/* For predictions; NULL if pacer is NULL. */
bb_link_queue_t *BbLinkPacer_Queue(bb_link_pacer_t *pacer);

#ifdef __cplusplus
}
#endif

#endif
