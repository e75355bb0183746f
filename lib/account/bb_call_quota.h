/*
 * bb_call_quota - callbacks by which a call is admitted to its account's quota
 */
#ifndef BB_CALL_QUOTA_H
#define BB_CALL_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    /* Returns whether a call of the account may run. *ticket identifies how it
     * was admitted; *retry_after_s is set for one that is refused. */
    bool (*admit)(const char *account, uint32_t *ticket, double *retry_after_s,
                  void *arg);
    /* The call admitted with this ticket has not run at a target and never
     * will. Called at most once for a ticket. */
    void (*give_back)(const char *account, uint32_t ticket, void *arg);
    void *arg;
} bb_call_quota_t;

#ifdef __cplusplus
}
#endif

#endif
