/*
 * bb_stream - bounded byte buffer between the two sides of a call
 *
 * A ring buffer that grows on demand up to its limit, so that a small body
 * needs only a small allocation. The writer pauses while BbStream_Space() is 0
 * and resumes when the reader has taken bytes out, which gives back-pressure.
 */
#ifndef BB_STREAM_H
#define BB_STREAM_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    uint8_t *data;
    size_t allocated; /* size of data */
    size_t start;     /* index of the first byte held */
    size_t size;      /* number of bytes held */
    size_t limit;     /* most bytes that may be held */
} bb_stream_t;

void BbStream_Init(bb_stream_t *stream, size_t limit);

/* Frees the memory; the stream is empty and usable afterwards. */
void BbStream_Clear(bb_stream_t *stream);

/* Returns the number of bytes that can be written. */
size_t BbStream_Space(const bb_stream_t *stream);

/* Returns the number of bytes written, at most BbStream_Space(). */
size_t BbStream_Write(bb_stream_t *stream, const void *data, size_t size);

/* Removes bytes from the front and returns their number; 0 when the stream is
 * empty. */
size_t BbStream_Read(bb_stream_t *stream, void *data, size_t size);

#ifdef __cplusplus
}
#endif

#endif
