#include "bb_stream.h"

#include <glib.h>
#include <string.h>

/* Large enough for most request and response bodies of lookup calls. */
#define MIN_ALLOCATION 4096

void
BbStream_Init(bb_stream_t *stream, size_t limit)
{
    memset(stream, 0, sizeof(*stream));
    stream->limit = limit;
}

void
BbStream_Clear(bb_stream_t *stream)
{
    g_free(stream->data);
    BbStream_Init(stream, stream->limit);
}

size_t
BbStream_Space(const bb_stream_t *stream)
{
    return stream->limit - stream->size;
}

static void
copy_out(const bb_stream_t *stream, uint8_t *out, size_t size)
{
    size_t first = MIN(size, stream->allocated - stream->start);

    if (first > 0) {
        memcpy(out, stream->data + stream->start, first);
    }
    if (size > first) {
        memcpy(out + first, stream->data, size - first);
    }
}

static void
grow(bb_stream_t *stream, size_t needed)
{
    size_t allocated = MAX(stream->allocated * 2, MIN_ALLOCATION);
    while (allocated < needed) {
        allocated *= 2;
    }
    allocated = MIN(allocated, stream->limit);
    uint8_t *data = g_malloc(allocated);
    copy_out(stream, data, stream->size);
    g_free(stream->data);
    stream->data = data;
    stream->allocated = allocated;
    stream->start = 0;
}

size_t
BbStream_Write(bb_stream_t *stream, const void *data, size_t size)
{
    size_t count = MIN(size, BbStream_Space(stream));

    if (count == 0) {
        return 0;
    }
    if (stream->size + count > stream->allocated) {
        grow(stream, stream->size + count);
    }
    size_t end = (stream->start + stream->size) % stream->allocated;
    size_t first = MIN(count, stream->allocated - end);
    memcpy(stream->data + end, data, first);
    if (count > first) {
        memcpy(stream->data, (const uint8_t *)data + first, count - first);
    }
    stream->size += count;
    return count;
}

size_t
BbStream_Read(bb_stream_t *stream, void *data, size_t size)
{
    size_t count = MIN(size, stream->size);

    if (count == 0) {
        return 0;
    }
    copy_out(stream, data, count);
    stream->start = (stream->start + count) % stream->allocated;
    stream->size -= count;
    if (stream->size == 0) {
        stream->start = 0;
    }
    return count;
}
