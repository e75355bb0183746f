#include "bb_attempt.h"

#include <string.h>
#include <strings.h>

#include "bb_h1_length.h"

void
BbBody_Init(bb_body_t *body)
{
    body->bytes = g_byte_array_new();
    body->dropped = 0;
    body->is_complete = false;
}

void
BbBody_Free(bb_body_t *body)
{
    g_byte_array_unref(body->bytes);
}

void
BbBody_Append(bb_body_t *body, const char *data, size_t size)
{
    g_byte_array_append(body->bytes, (const guint8 *)data, (guint)size);
}

void
BbBody_SendBuffered(const bb_body_t *body, bb_h1_exchange_t *exchange,
                    size_t *sent)
{
    size_t end = body->dropped + body->bytes->len;

    if (*sent < end) {
        const guint8 *data = body->bytes->data + (*sent - body->dropped);
        size_t size = end - *sent;
        *sent = end;
        BbH1_Send(exchange, data, size);
    }
    if (body->is_complete) {
        BbH1_SendEnd(exchange);
    }
}

void
BbBody_Drop(bb_body_t *body, size_t offset)
{
    if (offset > body->dropped) {
        g_byte_array_remove_range(body->bytes, 0,
                                  (guint)(offset - body->dropped));
        body->dropped = offset;
    }
}

void
BbAttempt_ForwardData(bb_attempt_t *attempt, bb_h1_request_t *request,
                      const void *data, size_t size)
{
    BbH1_RespondData(request, data, size);
    if (attempt != NULL &&
        BbH1_UnsentBytes(request) > BB_UNSENT_RESPONSE_BYTES) {
        BbH1_NotifyWhenDrained(request);
        attempt->ops->pause(attempt, true);
    }
}

bool
BbAttempt_IsEndToEnd(const char *name)
{
    return !BbH1_IsHopByHopField(name) &&
           strncasecmp(name, BB_HOP_PREFIX, strlen(BB_HOP_PREFIX)) != 0;
}

void
BbAttempt_CopyEndToEnd(bb_h1_fields_t *to, const bb_h1_fields_t *from)
{
    size_t cursor = 0;
    const char *name, *value;

    while (BbH1Fields_Next(from, &cursor, &name, &value)) {
        if (BbAttempt_IsEndToEnd(name)) {
            BbH1Fields_Add(to, name, value);
        }
    }
}

int64_t
BbAttempt_ContentLength(const bb_h1_fields_t *fields)
{
    int64_t length;
    bool has_length = BbH1Length_Read(fields, &length) == 0 && length >= 0;

    return has_length ? length : BB_H1_CHUNKED;
}
