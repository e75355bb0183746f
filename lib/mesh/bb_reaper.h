/*
 * bb_reaper - selects the records of lost VMs that are to be removed
 *
 * A VM that is lost for good cannot remove its record, so the table and every
 * node's copy of it would grow with each replaced VM. A record is removed when
 * its node has responded to no probe for BB_REAPER_LOST_S while another node
 * of its data centre is reachable, so that a network partition of the data
 * centre removes nothing. A removal names the version that it removes; a node
 * that finds its own record removed writes it again.
 *
 * A node that was stopped after its target had departed leaves a record that
 * tells its next process of the departure. It is removed after the same time,
 * when no heartbeat of the target can still be under way.
 *
 * All nodes may remove records, each with a probability that falls with the
 * size of the fleet: all nodes together make about one call to the store
 * per second.
 *
 * USE
 *   Every BB_REAPER_CHECK_S while the store is reachable:
 *   endpoint = BbReaper_Next(fleet, random, now);
 */
#ifndef BB_REAPER_H
#define BB_REAPER_H

#include "bb_fleet.h"
#include "bb_random.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_REAPER_CHECK_S 0.5
#define BB_REAPER_LOST_S 60.0

/* Returns a node whose record is to be removed now, or NULL. Also requests a
 * probe of one more node that has been unverified for BB_REAPER_LOST_S and has
 * no failed probe yet. With one request per node and check, all nodes together
 * probe each such node about twice a second, whatever the size of the fleet.
 */
bb_endpoint_t *BbReaper_Next(const bb_fleet_t *fleet, bb_random_t *random,
                             double now);

#ifdef __cplusplus
}
#endif

#endif
