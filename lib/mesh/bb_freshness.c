#include "bb_freshness.h"

void
BbFreshness_Confirm(bb_freshness_t *freshness, double at)
{
    if (at > freshness->confirmed_at) {
        freshness->confirmed_at = at;
    }
}

void
BbFreshness_Hear(bb_freshness_t *freshness, int64_t version)
{
    if (version > freshness->heard_version) {
        freshness->heard_version = version;
    }
}

double
BbFreshness_AgeS(const bb_freshness_t *freshness, double now)
{
    return freshness->confirmed_at > 0 ? now - freshness->confirmed_at
                                       : BB_FRESHNESS_UNKNOWN;
}

bool
BbFreshness_IsBehind(const bb_freshness_t *freshness, int64_t own_version)
{
    return freshness->heard_version > own_version;
}
