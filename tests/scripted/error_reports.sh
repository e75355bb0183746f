#!/usr/bin/env bash
# Errors of an operator: each gives one report with all findings and their file
# and line, and a non-zero exit code.
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/common.bash
. scripts/fleet.sh
fleet_init error_reports 21200 kingston
trap 'fleet_stop; rm -rf "$fleet_dir"; cleanup' EXIT

# report EXPECTED COMMAND...: runs the command, writes its output to $work/last
# and checks its exit code.
report() {
    local expected=$1 code=0
    shift
    timeout 20 "$@" >"$work/last" 2>&1 || code=$?
    [ "$code" -eq "$expected" ] ||
        fail "$*: exit $code, expected $expected: $(cat "$work/last")"
}
has() { # has TEXT: the last output contains it
    grep -qF -- "$1" "$work/last" || fail "no '$1' in: $(cat "$work/last")"
}
lines() { # lines N: the last output has N lines
    expect "lines of: $(cat "$work/last")" "$1" "$(wc -l <"$work/last")"
}

# Guards against a bad table whose findings are shown one at a time.
printf '%s\n' '[pool.a]' 'service = "A b"' 'slots = 0' '[route.x]' \
    'path_prefix = "x"' 'pool = "nope"' 'colour = 1' >"$work/bad.toml"
report 1 "$build/bbctl" check "$work/bad.toml"
has "$work/bad.toml:2: pool.a.service: "
has "$work/bad.toml:3: pool.a.slots: "
has "$work/bad.toml:5: route.x.path_prefix: "
has "$work/bad.toml:6: route.x.pool: "
has "$work/bad.toml:7: route.x.colour: "
has '5 findings'
lines 6

# Guards against missing keys that are only reported after the wrong ones have
# been corrected, and against a misspelt key of an owner that is ignored.
printf '%s\n' '[node]' 'cluster = "K X"' '[platform]' 'poll_ms = 1' \
    '[[owner]]' 'name = "a"' 'public-key = "00"' >"$work/settings.toml"
report 2 "$build/bbnode" --check-settings --settings "$work/settings.toml"
has "$work/settings.toml:2: node.cluster: "
has "$work/settings.toml:4: platform.poll_ms: "
has "$work/settings.toml:5: owner[0].public_key: "
has "$work/settings.toml:5: owner[0].public-key: unknown key"
has 'node.data_centre: is missing'
has 'platform.url: is missing'
lines 10
report 2 "$build/bbnode" --settings "$work/absent.toml"
has "$work/absent.toml: cannot be opened"
lines 2

# Guards against a node that waits for the platform without logging it.
fleet_node 0 kingston-a
wait_for 15 fleet_status 0
wait_for 15 grep -q "platform http://$fleet_platform_address does not answer" \
    "$fleet_dir/node-0.log"
report 3 "$build/bbctl" propose examples/kingston-tables.toml \
    --platform "http://$fleet_platform_address"
has "the platform at http://$fleet_platform_address does not answer"
has 'nothing was written'
lines 1
fleet_platform
wait_for 15 grep -q "platform http://$fleet_platform_address answers again" \
    "$fleet_dir/node-0.log"
expect 'reports of one outage' 1 \
    "$(grep -c 'does not answer' "$fleet_dir/node-0.log")"

# Guards against a start that reports only the first of three addresses that are
# in use.
report 1 "$build/bbnode" --settings "$fleet_settings" \
    --set node.data_centre=kingston-a \
    --set "node.caller_address=$(fleet_caller 0)" \
    --set "node.admin_address=$(fleet_admin 0)" \
    --set "node.peer_address=127.0.0.1:$(fleet_port 0 2)"
has "caller_address $(fleet_caller 0): address-in-use"
has "admin_address $(fleet_admin 0): address-in-use"
has "peer_address 127.0.0.1:$(fleet_port 0 2): "
lines 3
report 1 "$build/bbplatform" --address "$fleet_platform_address"
has "cannot listen on $fleet_platform_address: address-in-use"

# Guards against accepting with a key that is not that of the month's owner.
"$build/bbctl" key "$work/other.key" >/dev/null
fleet_ctl owner set "$(fleet_month)" "$fleet_owner" "$fleet_public_key" \
    >/dev/null
id=$(fleet_ctl propose examples/kingston-tables.toml --json | jq -r .proposal)
report 5 "$build/bbctl" accept "$id" --key "$work/other.key" \
    --platform "http://$fleet_platform_address"
has "owners: $(fleet_month).key: the key file is not that of '$fleet_owner'"
lines 2

# Guards against `bbctl route` being reported as unknown without a list of the
# commands that begin with it.
report 2 "$build/bbctl" route
has 'bbctl route set NAME'
