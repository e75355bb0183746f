#include "bb_error.h"

const char *
BbError_Name(int error)
{
    switch (error) {
    case BB_OK:
        return "ok";
    case BB_ERR_MEMORY:
        return "out-of-memory";
    case BB_ERR_ARGUMENT:
        return "bad-argument";
    case BB_ERR_IO:
        return "io-error";
    case BB_ERR_PARSE:
        return "parse-error";
    case BB_ERR_INVALID:
        return "invalid";
    case BB_ERR_NOT_FOUND:
        return "not-found";
    case BB_ERR_CONFLICT:
        return "conflict";
    case BB_ERR_UNAVAILABLE:
        return "unavailable";
    case BB_ERR_TIMEOUT:
        return "timeout";
    case BB_ERR_SIGNATURE:
        return "bad-signature";
    case BB_ERR_DIGEST:
        return "digest-mismatch";
    case BB_ERR_STALE:
        return "stale";
    case BB_ERR_LIMIT:
        return "limit-exceeded";
    case BB_ERR_UNKNOWN:
        return "outcome-unknown";
    case BB_ERR_NOT_OWNER:
        return "not-owner-of-month";
    case BB_ERR_ADDRESS_IN_USE:
        return "address-in-use";
    case BB_ERR_SURPLUS:
        return "surplus-bytes";
    default:
        return "unknown-error";
    }
}
