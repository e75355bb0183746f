#!/usr/bin/env bash
# Runs the soak test for 18 s with the roll-outs that tests/soak/seeds.txt
# lists, of good and of bad versions. See tests/soak/soak_rollout.cc.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/soak.bash

for kind in good bad; do
    start_soaks 18 "$(soak_seeds "rollout_$kind")" --accounts on \
        --faults connections --rollout "$kind"
done
finish_soaks
