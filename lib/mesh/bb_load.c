#include "bb_load.h"

#include <inttypes.h>
#include <stdio.h>

#include "bb_error.h"

void
BbLoad_Format(const bb_load_t *load, char *out, size_t size)
{
    snprintf(out, size, "%d,%d,%d,%d,%d,%d,%" PRId64, load->running,
             load->waiting, load->slots, load->service_ms, load->fail_permille,
             load->transfer_ms, load->version);
}

int
BbLoad_Parse(const char *text, bb_load_t *out)
{
    int end = 0;

    if (text == NULL ||
        sscanf(text, "%9d,%9d,%9d,%9d,%9d,%9d,%18" SCNd64 "%n", &out->running,
               &out->waiting, &out->slots, &out->service_ms,
               &out->fail_permille, &out->transfer_ms, &out->version,
               &end) != 7 ||
        text[end] != '\0' || out->running < 0 || out->waiting < 0 ||
        out->slots < 0 || out->service_ms < 0) {
        return BB_ERR_PARSE;
    }
    return 0;
}
