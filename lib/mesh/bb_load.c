#include "bb_load.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>

#include "bb_error.h"

void
BbLoad_Format(const bb_load_t *load, char *out, size_t size)
{
    int length =
        snprintf(out, size, "%d,%d,%d,%d,%d,%d,%" PRId64, load->running,
                 load->waiting, load->slots, load->service_ms,
                 load->fail_permille, load->transfer_ms, load->version);

    if (length < 0 || (size_t)length >= size) {
        return;
    }
    if (load->class_ms > 0) {
        snprintf(out + length, size - (size_t)length, ",%d,%d", load->link_ms,
                 load->class_ms);
    }
    else if (load->link_ms > 0) {
        snprintf(out + length, size - (size_t)length, ",%d", load->link_ms);
    }
}

int
BbLoad_Parse(const char *text, bb_load_t *out)
{
    int end = 0;
    int more = 0;

    if (text == NULL ||
        sscanf(text, "%9d,%9d,%9d,%9d,%9d,%9d,%18" SCNd64 "%n", &out->running,
               &out->waiting, &out->slots, &out->service_ms,
               &out->fail_permille, &out->transfer_ms, &out->version,
               &end) != 7 ||
        out->running < 0 || out->waiting < 0 || out->slots < 0 ||
        out->service_ms < 0) {
        return BB_ERR_PARSE;
    }
    out->link_ms = 0;
    out->class_ms = 0;
    /* The last figures are optional. */
    int count = sscanf(text + end, ",%9d%n,%9d%n", &out->link_ms, &more,
                       &out->class_ms, &more);
    bool is_valid = count < 1 || (out->link_ms >= 0 && out->class_ms >= 0);
    return is_valid && text[end + more] == '\0' ? 0 : BB_ERR_PARSE;
}
