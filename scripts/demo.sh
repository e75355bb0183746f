#!/usr/bin/env bash
# Demo on this VM: starts a stand-in for the platform, 12 targets with a node
# each in three data centres (the example Kingston), accepts two versions of
# the configuration, makes calls through several nodes and drains a target.
# Exits 0 when every step worked; otherwise says which step failed and where
# the logs are.
set -u
cd "$(dirname "$0")/.." || exit 1
scripts/install-deps.sh || exit 1
make -s -j "$(nproc)" all || exit 1
. scripts/fleet.sh

step() {
    fleet_step=$1
    echo "== $1"
}

# Nodes take the data centres in turn. Service of each node: 6 catalogue,
# 3 orders, 3 certification.
data_centres=(kingston-a kingston-b kingston-c)
services=(catalogue catalogue catalogue catalogue catalogue catalogue
    orders orders orders certification certification certification)
nodes=("${!services[@]}")

step "owner key and settings"
fleet_init demo "${DEMO_BASE_PORT:-20000}" kingston
"$fleet_build/bbnode" --check-settings --settings "$fleet_settings" \
    --set node.data_centre=kingston-a --set node.caller_address=127.0.0.1:1 \
    --set node.admin_address=127.0.0.1:2 --set node.peer_address=127.0.0.1:3 ||
    fleet_fail "bbnode rejects $fleet_settings"

step "platform"
fleet_platform
fleet_ctl owner set "$(fleet_month)" "$fleet_owner" "$fleet_public_key" ||
    fleet_fail "bbctl owner set"

step "12 nodes and targets in 3 data centres"
admins=()
for index in "${nodes[@]}"; do
    fleet_node "$index" "${data_centres[index % 3]}"
    fleet_target "$index" "${services[index]}" --slots 18
    admins+=("$(fleet_admin "$index")")
done
all_admins=$(
    IFS=,
    echo "${admins[*]}"
)
for index in "${nodes[@]}"; do
    wait_until 15 curl -sf "http://$(fleet_admin "$index")/status" ||
        fleet_fail "node $index: no response to /status within 15 s"
done

# accept_version [TABLES]: proposes and accepts a version and waits until all
# nodes run it.
accept_version() {
    local id
    id=$(fleet_ctl propose "$@" --json |
        jq -r .proposal)
    [ -n "$id" ] || fleet_fail "bbctl propose"
    fleet_ctl accept "$id" --key "$fleet_key" --wait 20 \
        --nodes "$all_admins" || fleet_fail "bbctl accept $id"
}

# call INDEX PATH [CURL ARGS]: makes a call through a node; fails unless its
# status is 200.
call() {
    local index=$1 path=$2 status
    shift 2
    status=$(curl -s -o "$fleet_dir/response" -w '%{http_code}' "$@" \
        "http://$(fleet_caller "$index")$path")
    [ "$status" = 200 ] ||
        fleet_fail "call $path through node $index: $status, not 200:" \
            "$(head -c 200 "$fleet_dir/response")"
    echo "call $path through node $index: $status"
}

call_works() {
    curl -sf -o /dev/null "http://$(fleet_caller "$1")$2"
}

step "first version: check, propose, accept"
"$fleet_build/bbctl" check examples/kingston-tables.toml ||
    fleet_fail "bbctl check"
accept_version examples/kingston-tables.toml

step "calls through several nodes"
# A node that has just started may not know the other members yet; it then
# refuses calls as not-run (no_live_target).
for path in /parts/1 /orders/1 /certification/1; do
    for index in "${nodes[@]}"; do
        wait_until 10 call_works "$index" "$path" ||
            fleet_fail "call $path through node $index: not served within 10 s"
    done
done
call 0 /parts/core-3x3
call 7 /parts/spring-12
call 11 /orders -X POST -d 'core=3' -H "Idempotency-Key: demo-1"
head -c 20000000 /dev/urandom >"$fleet_dir/drawing"
call 5 /certification/drawing -X POST -T "$fleet_dir/drawing" \
    -H "Idempotency-Key: demo-2"
call 2 '/parts/catalogue?size=20000000'

step "second version: one route edited in the platform's table"
fleet_ctl draft load head >/dev/null || fleet_fail "bbctl draft load"
fleet_ctl route set tolerances path_prefix=/tolerances pool=catalogue \
    timeout_ms=1500 || fleet_fail "bbctl route set"
accept_version
call 9 /tolerances/spring-12

step "one target drains"
fleet_end target-0
for _ in 1 2 3 4 5 6; do
    call 0 /parts/spring-12
done

step "status"
fleet_ctl status "${admins[@]}" || fleet_fail "bbctl status"
for index in "${nodes[@]}"; do
    fleet_status "$index" >"$fleet_dir/status-$index.json"
done
curl -sf "http://$fleet_platform_address/v1/stats" && echo

step "stop"
fleet_stop
echo "demo: all steps worked in $SECONDS s"
