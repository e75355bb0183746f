/*
 * bb_reaper - which records of lost VMs are to be removed
 *
 * A VM that is lost for good cannot remove its record, and without this the
 * table, and what every node holds of it, would grow with each VM replaced.
 * A record is removed when its node has answered no probe for
 * BB_REAPER_LOST_S while another node of its data centre is there, so that a
 * cut of the data centre removes nothing. A removal names the version that it
 * removes; a node that finds its own record removed writes it again.
 *
 * All nodes may remove records. Each takes a share of the chances that shrinks
 * with the fleet, so that about one call in a second is made by all together.
 *
 * USE
 *   Every BB_REAPER_CHECK_S while the store is reached:
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

/* A node whose record is to be removed now, or NULL. Asks for a probe of one
 * more node that was not heard of for long: all nodes together ask each of
 * them about twice a second, whatever the size of the fleet. */
bb_endpoint_t *BbReaper_Next(const bb_fleet_t *fleet, bb_random_t *random,
                             double now);

#ifdef __cplusplus
}
#endif

#endif
