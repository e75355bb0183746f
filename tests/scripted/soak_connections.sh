#!/usr/bin/env bash
# Runs the soak test with faults of the connections to the store and the seeds
# that tests/soak/seeds.txt lists for them, in parallel: 6 nodes, which all read
# the store, and 27 nodes, most of which ask others for versions.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/soak.bash

start_soaks 30 "$(soak_seeds connections)" --faults connections
start_soaks 40 "$(soak_seeds readers)" --faults connections --nodes 27
finish_soaks
