/*
 * bb_position - a place in the history of a shared store
 *
 * A store that is restored from a copy loses its last versions and gives their
 * numbers out again, so a version alone does not say which history it belongs
 * to. A position is the pair of the store's generation, which rises by one
 * with each restore, and a version of that generation. Positions are ordered
 * by generation first, then by version, and are compared with the operators
 * of C. All that keeps a version of the store keeps a position: the place in
 * a change feed, the condition of a write, the revision of a record.
 *
 * USE
 *   bb_position_t read = BbPosition_Make(generation, row_version);
 *   if (read > known) ...
 *
 * LIMITS
 *   0 stands for no position. A generation has 23 bits (higher ones count as
 *   the highest), a version 40. Where the store names no generation it is 0,
 *   and positions are the bare versions.
 */
#ifndef BB_POSITION_H
#define BB_POSITION_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef int64_t bb_position_t;

#define BB_POSITION_VERSION_BITS 40
#define BB_POSITION_VERSION_MAX ((INT64_C(1) << BB_POSITION_VERSION_BITS) - 1)
#define BB_POSITION_GENERATION_MAX ((INT64_C(1) << 23) - 1)

/* Brings value into the range from 0 to max. */
static inline int64_t
BbPosition_Clamp(int64_t value, int64_t max)
{
    if (value < 0) {
        return 0;
    }
    return value < max ? value : max;
}

static inline bb_position_t
BbPosition_Make(int64_t generation, int64_t version)
{
    return BbPosition_Clamp(generation, BB_POSITION_GENERATION_MAX)
               << BB_POSITION_VERSION_BITS |
           BbPosition_Clamp(version, BB_POSITION_VERSION_MAX);
}

static inline int64_t
BbPosition_Generation(bb_position_t position)
{
    return position >> BB_POSITION_VERSION_BITS;
}

static inline int64_t
BbPosition_Version(bb_position_t position)
{
    return position & BB_POSITION_VERSION_MAX;
}

/* Whether position belongs to a later generation than the other one. */
static inline bool
BbPosition_IsRestored(bb_position_t position, bb_position_t than)
{
    return BbPosition_Generation(position) > BbPosition_Generation(than);
}

#ifdef __cplusplus
}
#endif

#endif
