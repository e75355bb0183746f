#!/usr/bin/env bash
# Runs the soak test for 30 s with faults of the connections to the store and
# the seeds that tests/soak/seeds.txt lists for them, in parallel. Each of the 6
# nodes reads the store.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/soak.bash

start_soaks 30 "$(soak_seeds connections)" --faults connections
finish_soaks
