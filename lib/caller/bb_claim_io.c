#include "bb_claim_io.h"

#include <glib.h>
#include <sodium.h>

struct bb_claim_io {
    bb_platform_t *platform;
    bb_claim_t claim;
    bb_claim_ready_cb_t ready;
    void (*released)(void *arg);
    void *arg;
    bool is_pending;  /* a platform request is in progress */
    bool is_detached; /* no callbacks; free it when the request has ended */
};

static void advance(bb_claim_io_t *io, bb_claim_action_t action);

static void
make_write_id(char out[BB_WRITE_ID_HEX_LENGTH + 1])
{
    unsigned char bytes[BB_WRITE_ID_HEX_LENGTH / 2];

    randombytes_buf(bytes, sizeof(bytes));
    sodium_bin2hex(out, BB_WRITE_ID_HEX_LENGTH + 1, bytes, sizeof(bytes));
}

static void
commit(bb_claim_io_t *io, json_t *transaction, bb_platform_cb_t done)
{
    io->is_pending = true;
    BbPlatform_Commit(io->platform, transaction, done, io);
    json_decref(transaction);
}

static void
handle_commit(int error, json_t *response, void *arg)
{
    bb_claim_io_t *io = arg;
    advance(io, BbClaim_OnCommit(&io->claim, error, response));
}

static void
handle_read(int error, json_t *response, void *arg)
{
    bb_claim_io_t *io = arg;
    advance(io, BbClaim_OnRead(&io->claim, error, response));
}

/* Called when the last request of a claim has ended. */
static void
handle_last_commit(int error, json_t *response, void *arg)
{
    (void)error;
    (void)response;
    bb_claim_io_t *io = arg;

    if (!io->is_detached && io->released != NULL) {
        io->released(io->arg);
    }
    g_free(io);
}

static void
commit_release(bb_claim_io_t *io)
{
    char id[BB_WRITE_ID_HEX_LENGTH + 1];

    make_write_id(id);
    commit(io, BbClaim_ReleaseTransaction(&io->claim, id), handle_last_commit);
}

static void
report_result(bb_claim_io_t *io, bb_claim_action_t action)
{
    io->is_pending = false;
    if (!io->is_detached) {
        io->ready(action, io->claim.reason, io->claim.status, io->arg);
    }
    else if (action == BB_CLAIM_RUN) {
        commit_release(io);
    }
    else {
        g_free(io);
    }
}

static void
advance(bb_claim_io_t *io, bb_claim_action_t action)
{
    switch (action) {
    case BB_CLAIM_COMMIT:
        commit(io, BbClaim_InsertTransaction(&io->claim), handle_commit);
        break;
    case BB_CLAIM_READ:
        io->is_pending = true;
        BbPlatform_GetRow(io->platform, BB_CLAIM_TABLE, io->claim.row_key,
                          handle_read, io);
        break;
    case BB_CLAIM_RUN:
    case BB_CLAIM_RESPOND:
        report_result(io, action);
        break;
    }
}

void
BbClaimIo_Start(const bb_claim_io_options_t *options, bb_claim_io_t **out)
{
    bb_claim_io_t *io = g_new0(bb_claim_io_t, 1);
    char id[BB_WRITE_ID_HEX_LENGTH + 1];

    io->platform = options->platform;
    io->ready = options->ready;
    io->arg = options->arg;
    *out = io;
    make_write_id(id);
    advance(io, BbClaim_Start(&io->claim, options->pool, options->key,
                              options->call_id, id));
}

void
BbClaimIo_End(bb_claim_io_t *io, int status)
{
    char id[BB_WRITE_ID_HEX_LENGTH + 1];

    io->is_detached = true;
    make_write_id(id);
    commit(io, BbClaim_EndTransaction(&io->claim, id, status),
           handle_last_commit);
}

void
BbClaimIo_Release(bb_claim_io_t *io, void (*released)(void *arg), void *arg)
{
    io->released = released;
    io->arg = arg;
    commit_release(io);
}

void
BbClaimIo_Abandon(bb_claim_io_t *io)
{
    io->is_detached = true;
    if (!io->is_pending) {
        g_free(io);
    }
}
