#!/usr/bin/env bash
# bbctl with two nodes: accept --wait, status and explain.
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/common.bash
. scripts/fleet.sh
fleet_init bbctl-nodes 21100 kingston
# Commands in fleet_stop may fail, for example a kill of a process that has
# ended, so the trap turns errexit off.
trap 'set +e; fleet_stop; rm -rf "$fleet_dir"; cleanup' EXIT
fleet_platform
fleet_ctl owner set "$(fleet_month)" "$fleet_owner" "$fleet_public_key" \
    >"$work/last"
for index in 0 1; do
    fleet_node "$index" "kingston-a"
    wait_for 15 fleet_status "$index"
done
nodes=$(fleet_admin 0),$(fleet_admin 1)

# ctl EXPECTED ARGUMENT...: runs bbctl, writes its output to $work/last and
# checks its exit code.
ctl() {
    local expected=$1 code=0
    shift
    fleet_ctl "$@" >"$work/last" 2>&1 || code=$?
    [ "$code" -eq "$expected" ] ||
        fail "bbctl $*: exit $code, expected $expected: $(cat "$work/last")"
}
has() { # has TEXT: the last output contains it
    grep -qF -- "$1" "$work/last" || fail "no '$1' in: $(cat "$work/last")"
}

# Guards against a missing warning while no node runs a version yet.
ctl 0 propose examples/kingston-tables.toml --nodes "$nodes"
has 'services: orders: no live target'
id=$(awk '/^proposal/ {print $2}' "$work/last")

# Guards against a wait that ends before every node runs the version.
ctl 0 accept "$id" --key "$fleet_key" --wait 20 --nodes "$nodes"
has 'version 1 accepted'
has '2 of 2 nodes run version 1 after'
for index in 0 1; do
    fleet_has_version 1 "$index" || fail "node $index does not run version 1"
done

# Guards against status and explain output that lacks a node or a field.
ctl 0 status "$(fleet_admin 0)" "$(fleet_admin 1)"
digest=$(fleet_status 0 | jq -r .config.digest)
expect 'nodes with the digest' 2 "$(grep -c "${digest:0:12}" "$work/last")"
ctl 0 status --details "$(fleet_admin 0)"
has 'config.version: 1'
ctl 0 status --json "$(fleet_admin 1)"
expect 'version as JSON' 1 "$(jq '.[].config.version' "$work/last")"
ctl 0 explain version "$(fleet_admin 0)"
has 'config.version: 1'
ctl 0 explain route "$(fleet_admin 0)" name=parts
has 'pool: catalogue'
ctl 0 explain call "$(fleet_admin 0)" path=/parts/a%2Fb\&c method=GET
has 'route.route: parts'
ctl 0 explain node "$(fleet_admin 0)"
ctl 2 explain colour "$(fleet_admin 0)"
ctl 2 explain call "$(fleet_admin 0)" path

# Guards against a killed node that is counted as running the newest version.
fleet_end node-1 KILL || true
ctl 3 status "$(fleet_admin 0)" "$(fleet_admin 1)"
has 'no answer'
ctl 0 draft load head
ctl 0 pool set orders slots=9
ctl 0 propose --json
id=$(jq -r .proposal "$work/last")
ctl 7 accept "$id" --key "$fleet_key" --wait 5 --nodes "$nodes" --json
expect 'nodes behind' "$(fleet_admin 1)" "$(jq -r '.behind[]' "$work/last")"
fleet_wait_version 2 0
