#!/usr/bin/env bash
# Runs the soak test (build/soak) for 10 s with each seed that
# tests/soak/seeds.txt lists for all faults and with seed 1, in parallel. See
# tests/soak/soak.cc for the faults and checks.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/soak.bash

start_soaks 10 "$(soak_seeds all) 1"
finish_soaks
