#include "pattern.h"

#include <string.h>

#define SEPARATOR '\n' /* in no id, so that a shifted body differs */

static char
byte_at(uint64_t offset, const char *id, size_t length)
{
    size_t position = (size_t)(offset % (length + 1));

    return position < length ? id[position] : SEPARATOR;
}

void
Pattern_Fill(char *out, size_t size, uint64_t offset, const char *id)
{
    size_t length = strlen(id);

    for (size_t i = 0; i < size; i++) {
        out[i] = byte_at(offset + i, id, length);
    }
}

int
Pattern_Matches(const char *data, size_t size, uint64_t offset, const char *id)
{
    size_t length = strlen(id);

    for (size_t i = 0; i < size; i++) {
        if (data[i] != byte_at(offset + i, id, length)) {
            return 0;
        }
    }
    return 1;
}
