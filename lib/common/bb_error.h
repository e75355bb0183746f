/*
 * bb_error - error numbers shared by all packages, and the version
 *
 * USE
 *   Functions that can fail return 0 (or a count) on success and one of the
 *   negative BB_ERR_* numbers on failure. BbError_Name() gives the symbolic
 *   name for log lines and reports.
 */
#ifndef BB_ERROR_H
#define BB_ERROR_H

#ifdef __cplusplus
extern "C" {
#endif

#define BB_VERSION_STRING "0.1.0"

enum {
    BB_OK = 0,
    BB_ERR_MEMORY = -1,      /* allocation failed */
    BB_ERR_ARGUMENT = -2,    /* argument outside its documented range */
    BB_ERR_IO = -3,          /* file or socket operation failed */
    BB_ERR_PARSE = -4,       /* input is malformed */
    BB_ERR_INVALID = -5,     /* input is well formed but breaks a rule */
    BB_ERR_NOT_FOUND = -6,   /* no such row, object or member */
    BB_ERR_CONFLICT = -7,    /* compare-and-set failed */
    BB_ERR_UNAVAILABLE = -8, /* peer or platform does not answer */
    BB_ERR_TIMEOUT = -9,     /* deadline passed */
    BB_ERR_SIGNATURE = -10,  /* signature missing, wrong or not trusted */
    BB_ERR_DIGEST = -11,     /* content does not match its digest */
    BB_ERR_STALE = -12,      /* version superseded or no longer available */
    BB_ERR_LIMIT = -13,      /* size or rate limit exceeded */
    BB_ERR_UNKNOWN = -14,    /* a write may or may not have taken effect */
    BB_ERR_NOT_OWNER = -15,  /* not the owner assigned to the month */
    BB_ERR_ADDRESS_IN_USE = -16,
    BB_ERR_SURPLUS = -17, /* bytes of an earlier response on a connection */
};

/* Returns the symbolic name of an error number, "unknown-error" otherwise. */
const char *BbError_Name(int error);

#ifdef __cplusplus
}
#endif

#endif
