/*
 * bb_config_review - checks of a configuration version before it is sent
 *
 * A version that passes BbMeshConfig_Check() can still hold entries that no
 * call matches, limits that contradict each other, or changes that its author
 * did not intend. The review reports these.
 *
 * USE
 *   count = BbConfigReview_Warn(config, stdout);
 *   BbConfigReview_Compare(in_force, config, stdout);
 *
 * Lines are sorted as in the configuration: routes, services, accounts. Keys
 * of accounts are counted, never printed.
 */
#ifndef BB_CONFIG_REVIEW_H
#define BB_CONFIG_REVIEW_H

#include <stdio.h>

#include "bb_mesh_config.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Prints one line for each entry that can never match and each contradiction.
 * Returns the number of lines. */
size_t BbConfigReview_Warn(const bb_mesh_config_t *config, FILE *out);

/* Prints one line for each difference. Returns the number of lines. */
size_t BbConfigReview_Compare(const bb_mesh_config_t *in_force,
                              const bb_mesh_config_t *config, FILE *out);

#ifdef __cplusplus
}
#endif

#endif
