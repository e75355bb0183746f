#!/usr/bin/env bash
# As soak_connections.sh with leaves of targets around restarts of their nodes,
# late heartbeats included.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/soak.bash

start_soaks 25 "$(soak_seeds leaves)" --faults leaves
finish_soaks
