#include "bb_reaper.h"

#include <string.h>

/* Probes without an answer that are needed as evidence. */
#define MIN_FAILURES 3

typedef struct {
    const bb_fleet_t *fleet;
    double now;
    double chance;
    bb_random_t *random;
    bb_endpoint_t *found;
    bb_endpoint_t *unasked; /* one of those that no probe was sent to */
    int unasked_count;
} search_t;

typedef struct {
    const char *data_centre;
    bool is_found;
} neighbour_t;

static void
find_live(bb_endpoint_t *endpoint, void *arg)
{
    neighbour_t *neighbour = arg;

    neighbour->is_found |=
        !endpoint->is_removed && !endpoint->is_doubted &&
        strcmp(endpoint->record.data_centre, neighbour->data_centre) == 0;
}

static bool
has_live_neighbour(const bb_fleet_t *fleet, const bb_endpoint_t *endpoint)
{
    neighbour_t neighbour = {endpoint->record.data_centre, false};

    BbFleet_ForEach(fleet, find_live, &neighbour);
    return neighbour.is_found;
}

/* Keeps one of all that are offered, each with the same chance. */
static void
offer_unasked(search_t *search, bb_endpoint_t *endpoint)
{
    search->unasked_count++;
    if (BbRandom_Below(search->random, search->unasked_count) == 0) {
        search->unasked = endpoint;
    }
}

static void
consider(bb_endpoint_t *endpoint, void *arg)
{
    search_t *search = arg;

    if (search->found != NULL || endpoint->is_local || endpoint->is_removed ||
        !endpoint->is_doubted ||
        search->now - endpoint->doubted_at < BB_REAPER_LOST_S) {
        return;
    }
    if (endpoint->probe_failures == 0) {
        offer_unasked(search, endpoint);
        return;
    }
    endpoint->is_wanted = true;
    if (endpoint->probe_failures >= MIN_FAILURES &&
        BbRandom_Unit(search->random) < search->chance &&
        has_live_neighbour(search->fleet, endpoint)) {
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
        .chance = BB_REAPER_CHECK_S / MAX(nodes, 1.0),
        .random = random,
    };

    BbFleet_ForEach(fleet, consider, &search);
    if (search.unasked != NULL) {
        search.unasked->is_wanted = true;
    }
    if (search.found != NULL) {
        search.found->doubted_at = now; /* the removal may be refused */
    }
    return search.found;
}
