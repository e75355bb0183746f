#!/usr/bin/env bash
# bbplatform, the stand-in for the platform, over HTTP: requests, injected
# faults, clock, and a port that is already in use.
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/common.bash

pick_port
address=127.0.0.1:$port
url=http://$address
start_server platform $url/v1/stats "$build/bbplatform" --address $address
platform=$started

status() {
    curl -s -o "$work/body" -w '%{http_code}' --max-time 2 "$@" || true
}
insert() { # insert KEY [EXTRA]: status of an insert if absent
    status $url/v1/transaction -d '{"id":"1","checks":[{"table":"t",
        "key":"'"$1"'","revision":0}],"writes":[{"table":"t",
        "key":"'"$1"'","value":{"n":1}'"${2:-}"'}]}'
}
fault() {
    expect "set fault $1" 200 "$(status $url/v1/fault -d "$1")"
}

# Guards against keys that are cut at a slash, a dot segment or an escape.
expect insert 200 "$(insert 'dc/../0 %')"
expect 'key with dots' 200 \
    "$(status --path-as-is "$url/v1/rows/t/dc/../0%20%25")"
expect 'revision' 1 "$(jq .revision "$work/body")"
expect 'second insert' 409 "$(insert 'dc/../0 %')"
expect 'index of the failed check' 0 "$(jq '.conflicts[0].check' "$work/body")"
expect 'list by prefix' 200 "$(status "$url/v1/rows/t?prefix=dc/")"
expect 'listed rows' 1 "$(jq '.rows|length' "$work/body")"
expect 'malformed transaction' 400 "$(status $url/v1/transaction -d '{}')"

# Guards against objects that can be overwritten.
expect 'put' 201 "$(status -X PUT $url/v1/objects/o -d abc)"
expect 'put again' 200 "$(status -X PUT $url/v1/objects/o -d abc)"
expect 'put other content' 409 "$(status -X PUT $url/v1/objects/o -d abd)"
expect 'get' 200 "$(status $url/v1/objects/o)"
expect 'content' abc "$(cat "$work/body")"
expect 'get an object that does not exist' 404 "$(status $url/v1/objects/p)"

# Guards against an outage in which a write takes effect.
fault '{"mode":"outage","count":2}'
expect 'outage' 503 "$(insert a)"
expect 'outage of reads' 503 "$(status $url/v1/rows/t/a)"
expect 'not written' 404 "$(status $url/v1/rows/t/a)"

# Guards against a lost answer whose write did not take effect.
fault '{"mode":"lose_answers","count":1}'
expect 'reads are served' 404 "$(status $url/v1/rows/t/b)"
expect 'lost answer' 000 "$(insert b)"
expect 'written' 200 "$(status $url/v1/rows/t/b)"

# Guards against a silent fault that also affects the control paths, such as
# /v1/fault.
fault '{"mode":"silent","count":1}'
expect 'silent' 000 "$(insert c)"
expect 'not written' 404 "$(status $url/v1/rows/t/c)"

fault '{"mode":"slow","delay_ms":300,"count":1}'
took=$(curl -s -o /dev/null -w '%{time_total}' $url/v1/rows/t)
awk "BEGIN{exit !($took >= 0.3)}" ||
    fail "slow answer took $took s, expected at least 0.3 s"
expect 'unknown fault mode' 400 "$(status $url/v1/fault -d '{"mode":"odd"}')"

# Guards against a row that expires by a clock other than the platform's.
expect 'insert with ttl' 200 "$(insert d ',"ttl_ms":60000')"
expect 'clock' 200 "$(status $url/v1/clock -d '{"offset_ms":3600000}')"
expect 'expired' 404 "$(status $url/v1/rows/t/d)"

status $url/v1/stats >"$work/status"
expect 'conflicts' 2 "$(jq .conflicts "$work/body")"
expect 'faults' 5 "$(jq .faults "$work/body")"

# Guards against a second instance that keeps running although its port is in
# use.
set +e
"$build/bbplatform" --address $address >"$work/second.log" 2>&1
expect 'exit status with the port in use' 1 $?
set -e
expect 'address-in-use reports' 1 "$(grep -c address-in-use "$work/second.log")"
expect 'lines printed with the port in use' 1 "$(wc -l <"$work/second.log")"
expect 'version' 'bbplatform 0.1.0' "$("$build/bbplatform" --version)"

kill -TERM "$platform"
wait "$platform" || fail "bbplatform: exit status $?, expected 0"
