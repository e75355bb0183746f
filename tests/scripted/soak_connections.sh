#!/usr/bin/env bash
# Runs the soak test for 30 s with each seed that tests/soak/seeds.txt lists
# for faults of the connections to the store, in parallel.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/soak.bash

run_soaks 30 "$(soak_seeds connections)" --faults connections
