#include "bb_reaper.h"

#include <string.h>

/* Probes without response that are required before a removal. */
#define MIN_FAILURES 3

typedef struct {
    const bb_fleet_t *fleet;
    double now;
    double removal_probability;
    bb_random_t *random;
    bb_endpoint_t *found;
    bb_endpoint_t *unprobed; /* one without failed probe, at random */
    int unprobed_count;
} search_t;

typedef struct {
    const char *data_centre;
    bool is_found;
} reachable_search_t;

static void
match_reachable_node(bb_endpoint_t *endpoint, void *arg)
{
    reachable_search_t *lookup = arg;

    lookup->is_found |=
        !endpoint->is_removed && !endpoint->is_unverified &&
        strcmp(endpoint->record.data_centre, lookup->data_centre) == 0;
}

static bool
is_data_centre_reachable(const bb_fleet_t *fleet,
                         const bb_endpoint_t *endpoint)
{
    reachable_search_t lookup = {endpoint->record.data_centre, false};

    BbFleet_ForEach(fleet, match_reachable_node, &lookup);
    return lookup.is_found;
}

/* Reservoir sampling: keeps one of all offered nodes, each with equal
 * probability. */
static void
sample_unprobed(search_t *search, bb_endpoint_t *endpoint)
{
    search->unprobed_count++;
    if (BbRandom_Below(search->random, search->unprobed_count) == 0) {
        search->unprobed = endpoint;
    }
}

static bool
is_removal_drawn(const search_t *search)
{
    return BbRandom_Unit(search->random) < search->removal_probability;
}

/* A stopped node needs no probe: if it runs again, it has replaced its record.
 */
static void
check_stopped(search_t *search, bb_endpoint_t *endpoint)
{
    if (search->now - endpoint->stopped_at >= BB_REAPER_LOST_S &&
        is_removal_drawn(search)) {
        search->found = endpoint;
    }
}

static void
check_endpoint(bb_endpoint_t *endpoint, void *arg)
{
    search_t *search = arg;

    if (endpoint->is_stopped && search->found == NULL) {
        check_stopped(search, endpoint);
        return;
    }
    if (search->found != NULL || endpoint->is_local || endpoint->is_removed ||
        !endpoint->is_unverified ||
        search->now - endpoint->unverified_since < BB_REAPER_LOST_S) {
        return;
    }
    if (endpoint->probe_failures == 0) {
        sample_unprobed(search, endpoint);
        return;
    }
    endpoint->is_probe_requested = true;
    if (endpoint->probe_failures >= MIN_FAILURES && is_removal_drawn(search) &&
        is_data_centre_reachable(search->fleet, endpoint)) {
        search->found = endpoint;
    }
}

bb_endpoint_t *
BbReaper_Next(const bb_fleet_t *fleet, bb_random_t *random, double now)
{
    double nodes = (double)BbFleet_NodeCount(fleet);
    search_t search = {
        .fleet = fleet,
        .now = now,
        .removal_probability = BB_REAPER_CHECK_S / MAX(nodes, 1.0),
        .random = random,
    };

    BbFleet_ForEach(fleet, check_endpoint, &search);
    if (search.unprobed != NULL) {
        search.unprobed->is_probe_requested = true;
    }
    if (search.found != NULL) {
        /* A refused removal is tried again after BB_REAPER_LOST_S. */
        search.found->unverified_since = now;
        search.found->stopped_at = now;
    }
    return search.found;
}
