#!/usr/bin/env bash
# Calls of a pool with once = "window" whose responses are lost, with two nodes
# and two targets.
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/common.bash
. tests/scripted/lib/calls.bash
start_calls_fleet 21300 2

check_lost_responses window
