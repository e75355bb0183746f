#!/usr/bin/env bash
# The callers and the target stand-in of bbload, without nodes between them.
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/common.bash

# Another bbload target takes the place of the node that receives the
# announcements.
pick_port
node=127.0.0.1:$port
start_server node "http://$node/_health" "$build/bbload" target --address $node
pick_port
address=127.0.0.1:$port
url=http://$address
start_server target $url/_health "$build/bbload" target --address $address \
    --node $node --service catalogue --work-ms 5
target=$started

call() { # call NAME ARGS...: report in $work/NAME.json
    local name=$1
    shift
    "$build/bbload" call --json --log "$work/calls.jsonl" "$@" \
        >"$work/$name.json"
}
get() { # get NAME FILTER: value from a report
    jq -r "${@:2}" "$work/$1.json"
}
record() { # record FILTER: value from the target's record
    curl -sf "$url/_record" | jq -r "$1"
}
fault() {
    curl -sf -o "$work/body" $url/_fault -d "$1" || fail "fault $1"
}

# Guards against responses or uploads whose content is not checked. The bodies
# are larger than all buffers, and several calls run at a time.
call big -n $address --calls 20 --concurrency 8 --path '/x?size=1000000' \
    --method POST --body-size 700000 --key
expect 'big calls' 20 "$(get big '.status."200"')"
expect 'failed checks' '{}' "$(get big -c .failed_checks | tr -d '\n ')"
expect 'ran' 20 "$(record .ran)"
expect 'ended' 20 "$(record .ended)"
expect 'keys' 20 "$(record '[.calls[].key]|unique|length')"
expect 'logged ids are the recorded ids' \
    "$(record '[.calls[].id]|sort|join(",")')" \
    "$(jq -rs '[.[].id]|sort|join(",")' "$work/calls.jsonl")"

# Guards against checks that accept the response of another call.
if call foreign -n $node --calls 1 --path /_health; then
    fail 'a response without X-Call passed the checks'
fi
expect 'foreign response' 1 "$(get foreign .failed_checks.crossed)"

# Guards against a target that reports a call that ran as not run, and against
# callers that take a truncated response for a complete one.
before=$(record .ran)
fault '{"mode":"close","count":1}'
call close -n $address --calls 1 --method POST
expect 'closed' 1 "$(get close .status.closed)"
fault '{"mode":"truncate","count":1}'
call truncate -n $address --calls 1 --path '/?size=100000'
expect 'truncated' 1 "$(get truncate .status.truncated)"
call slow -n $address --calls 1 --path '/?fault=slow&delay_ms=300'
awk "BEGIN{exit !($(get slow .latency_ms.max) >= 300)}" ||
    fail "slow call took $(get slow .latency_ms.max) ms, expected at least 300"
call silent -n $address --calls 1 --path '/?fault=silent' --timeout-ms 200
expect 'silent' 1 "$(get silent .status.timeout)"
expect 'ran with each of the four faults' $((before + 4)) "$(record .ran)"
fault '{"mode":"shed","count":1}'
call shed -n $address --calls 1
expect 'shed' 1 "$(get shed '.status."503"')"
expect 'refused' 1 "$(record .refused)"
expect 'not run' $((before + 4)) "$(record .ran)"

# Guards against retries with another key, and against retries of a call without
# a key.
fault '{"mode":"close","count":2}'
call retry -n $address,$address --calls 1 --method POST --key --retries 3
expect 'retried' 3 "$(get retry .attempts)"
expect 'succeeded' 1 "$(get retry '.status."200"')"
expect 'one key in three runs' 1 "$(record '[.calls[-3:][].key]|unique|length')"
fault '{"mode":"close","count":1}'
call no_key -n $address --calls 1 --method POST --retries 3
expect 'not retried without key' 1 "$(get no_key .attempts)"

# Guards against an open loop (calls at a fixed rate) that slows down when the
# target does.
call open -n $address --rate 200 --duration-s 1
expect 'open loop' 200 "$(get open .calls)"

# Guards against a cancelled call that the target continues to run.
call cancel -n $address --calls 1 --path '/?work_ms=60000' --timeout-ms 100
has_no_running_call() {
    [ "$(record .running)" = 0 ]
}
wait_for 5 has_no_running_call

fault '{"health":"up","state":"starting"}'
expect 'false health while starting' 200 \
    "$(curl -s -o "$work/body" -w '%{http_code}' $url/_health)"
fault '{"health":"true"}'
expect 'true health while starting' 503 \
    "$(curl -s -o "$work/body" -w '%{http_code}' $url/_health)"

# Guards against a drain that cuts a call in flight, or that does not end.
call last -n $address --calls 1 --path '/?work_ms=1500&size=10' &
last=$!
has_running_call() {
    [ "$(record .running)" = 1 ]
}
wait_for 5 has_running_call
kill -TERM "$target"
wait "$last" || fail 'a check of the call during the drain failed'
expect 'call during the drain' 1 "$(get last '.status."200"')"
wait "$target" || fail "target: exit status $?, expected 0"
announced=$(curl -sf "http://$node/_record" |
    jq '[.calls[]|select(.path=="/v1/announce")]|length')
[ "$announced" -ge 3 ] || fail "announced $announced times, expected 3 or more"

set +e
"$build/bbload" target --address $node >"$work/second.log" 2>&1
expect 'exit status with the port in use' 1 $?
set -e
expect 'address-in-use reports' 1 "$(grep -c address-in-use "$work/second.log")"
