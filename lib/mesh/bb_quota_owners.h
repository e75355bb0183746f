/*
 * bb_quota_owners - chooses the quota owners among the nodes
 *
 * The accounts are distributed over slots, one for about 80 nodes (see
 * BbQuota_Slot()). The owner of a slot is chosen by rendezvous hashing among
 * the nodes with the fastest links, so that all nodes agree without
 * communication as soon as they have the same records. Those that follow in
 * the order replace an owner that does not respond.
 *
 * USE
 *   count = BbQuotaOwners_SlotCount(fleet);
 *   list = BbQuotaOwners_List(fleet, slot, count), again when records change.
 */
#ifndef BB_QUOTA_OWNERS_H
#define BB_QUOTA_OWNERS_H

#include "bb_fleet.h"

#ifdef __cplusplus
extern "C" {
#endif

size_t BbQuotaOwners_SlotCount(const bb_fleet_t *fleet);

/* Returns the candidates for the owner of a slot in the order of preference,
 * at most BB_QUOTA_CANDIDATES of bb_quota.h. The endpoints are borrowed; free
 * the list with g_ptr_array_unref(). */
GPtrArray *BbQuotaOwners_List(const bb_fleet_t *fleet, size_t slot,
                              size_t slots);

#ifdef __cplusplus
}
#endif

#endif
