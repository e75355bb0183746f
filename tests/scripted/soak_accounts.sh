#!/usr/bin/env bash
# Runs the soak test for 15 s with client accounts, with all faults and with
# those of the connections to the store, and with the roll-out of a good
# version. See tests/soak/soak_accounts.cc and soak_rollout.cc.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/soak.bash

start_soaks 15 1001 --accounts on
start_soaks 15 1002 --accounts on --faults connections
start_soaks 18 1005 --accounts on --faults connections --rollout good
finish_soaks
