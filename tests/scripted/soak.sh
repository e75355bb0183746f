#!/usr/bin/env bash
# Runs the soak test (build/soak) for 10 s with each seed of
# tests/soak/seeds.txt and with seed 1, in parallel. See tests/soak/soak.cc for
# the faults and checks.
set -u
cd "$(dirname "$0")/../.." || exit 1
build=${BUILD:-build}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
seeds="$(sed -n 's/^\([0-9][0-9]*\) |.*/\1/p' tests/soak/seeds.txt) 1"
pids=()
for seed in $seeds; do
    "$build/soak" --seed "$seed" --seconds 10 --sidecar "$build/bbsidecar" \
        >"$work/$seed" 2>&1 &
    pids+=($!)
done
status=0
for pid in "${pids[@]}"; do
    wait "$pid" || status=1
done
cat "$work"/*
exit "$status"
