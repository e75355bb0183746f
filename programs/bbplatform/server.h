/*
 * server - HTTP server of the platform stand-in
 *
 * Serves the protocol of bb_platform_io.h and the control paths
 *   POST /v1/fault  {"mode":"none|outage|slow|lose_answers|silent",
 *                    "delay_ms":N,"count":N}
 *   POST /v1/clock  {"offset_ms":N}
 *   GET  /v1/stats  counts of reads, writes, conflicts, faults and bytes
 * which are answered whatever fault is set. fault.h explains mode and count;
 * offset_ms is the difference of the platform's clock to the VM's clock.
 */
#ifndef BBPLATFORM_SERVER_H
#define BBPLATFORM_SERVER_H

#include <ev.h>
#include <stdint.h>

typedef struct server server_t;

typedef struct {
    struct ev_loop *loop;
    const char *address;
    int64_t clock_offset_ms;
} server_options_t;

/* Returns the errors of BbHttp_Start(). */
int Server_Start(server_t **server, const server_options_t *options);

void Server_Free(server_t *server);

#endif
