#!/usr/bin/env bash
# Calls through two nodes that are replaced one after the other under load.
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/common.bash
. tests/scripted/lib/calls.bash
start_calls_fleet 21200 2

# Guards against a graceful shutdown that cuts calls, uploads or slow
# responses, and against a draining node that refuses calls with another
# outcome than not-run.
set -- -n "$nodes" -d 9 --retries 20
call get "$@" -r 100 -p '/plain/x?size=2000' &
load_pids=$!
call post "$@" -r 50 -p /claim/x -m POST --body-size 1024 -k &
load_pids+=" $!"
call upload "$@" -r 10 -p /claim/x -m POST --body-size 3000000 -k &
load_pids+=" $!"
call slow "$@" -r 10 -p '/claim/x?work_ms=700&size=1000000' -m POST -k &
load_pids+=" $!"
for index in 0 1; do
    wait_for 5 has_calls_in_flight "$index"
    fleet_end "node-$index" || fail "node $index: exit status $?, expected 0"
    start_calls_node "$index"
    wait_for 15 sees_targets "$index" 2
done
for load_pid in $load_pids; do
    wait "$load_pid" || fail 'bbload: a response failed a check'
done
for name in get post upload slow; do
    expect "$name: calls served" "$(get $name .calls)" \
        "$(get $name '.status."200"')"
    expect "$name: attempts whose connection was cut" '' \
        "$(jq -r 'select(.lost_attempt != "").lost_attempt' "$work/$name.calls")"
done
expect 'repeated runs of a key' 0 "$(count_repeated_runs)"
