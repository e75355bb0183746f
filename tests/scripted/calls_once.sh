#!/usr/bin/env bash
# Calls whose responses are lost, and a target that drains under load, with two
# nodes and two targets.
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/common.bash
. tests/scripted/lib/calls.bash
start_calls_fleet 21250 2

# Guards against calls that libcurl itself sends a second time: it repeats a
# request when a reused connection closes before the first byte of the
# response. The orders are POSTs without a body, since libcurl cannot repeat a
# body that it has read. The GETs before them leave open connections to nodes
# and targets that are then reused.
call warm -n "$nodes" -c 8 --calls 200 -p '/plain/x?size=10'
expect 'warm-up' 200 "$(get warm '.status."200"')"
for index in 0 1; do
    fault "$index" '{"mode":"close","count":10}'
done
call order -n "$nodes" --calls 20 -p /plain/order -m POST
orders='[.[] | select(.path == "/plain/order")]'
lost=$(get order '.outcome.unknown')
[ "$lost" -ge 10 ] ||
    fail "$lost orders have an unknown outcome, expected 10 or more"
expect 'orders lost or done' 20 "$((lost + $(get order '.status."200" // 0')))"
expect 'orders run' 20 "$(list_run_calls | jq "$orders | length")"
expect 'orders run once' 20 \
    "$(list_run_calls | jq "$orders | [.[].id] | unique | length")"

check_lost_responses claim

# Guards against calls that reach a draining target more than 3 s after it
# announced that it drains, and against calls that fail because one target
# drains.
received() {
    curl -sf "http://$(target_address "$1")/_record?summary=1" | jq .received
}
received_at_start=$(received 0)
call drain -n "$nodes" -r 100 -d 6 -p /plain/x &
load=$!
has_received_calls() {
    [ "$(received 0)" -gt "$received_at_start" ]
}
wait_for 5 has_received_calls
fault 0 '{"state":"draining"}'
sleep 3
received_after_3_s=$(received 0)
other=$(received 1)
wait "$load" || fail 'bbload drain: a response failed a check'
expect 'calls received 3 s after the drain' "$received_after_3_s" \
    "$(received 0)"
[ "$(received 1)" -gt "$other" ] ||
    fail 'the target that does not drain got no calls after 3 s'
expect 'calls served' 600 "$(get drain '.status."200"')"
