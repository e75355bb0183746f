#!/usr/bin/env bash
# As soak_connections.sh for 40 s with 27 nodes, most of which ask readers for
# versions.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/soak.bash

start_soaks 40 "$(soak_seeds readers)" --faults connections --nodes 27
finish_soaks
