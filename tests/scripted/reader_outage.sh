#!/usr/bin/env bash
# Reader leases of three nodes: renewals whose answers are lost, an outage of
# the platform that lasts longer than the leases, and the time after it.
set -u
cd "$(dirname "$0")/../.." || exit 1
. scripts/fleet.sh
# Tests of several checkouts can run at the same time on one VM, so the base
# port is a random one that is free.
is_taken() {
    (: <>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}
base=$((22100 + RANDOM % 40 * 20))
while is_taken $base || is_taken $((base + 10)); do
    base=$((22100 + RANDOM % 40 * 20))
done
fleet_init reader_outage $base kingston
platform=http://$fleet_platform_address
fleet_platform
fleet_ctl owner set "$(fleet_month)" "$fleet_owner" "$fleet_public_key" ||
    fleet_fail "owner set"
for index in 0 1 2; do
    fleet_node $index kingston-a
done
admins=$(fleet_admin 0),$(fleet_admin 1),$(fleet_admin 2)

fault() {
    curl -sf -o /dev/null "$platform/v1/fault" -d "$1" ||
        fleet_fail "the platform does not accept the fault $1"
}
platform_stat() { # platform_stat NAME: a value of /v1/stats
    curl -sf "$platform/v1/stats" | jq ".$1"
}
leases() { # leases FILTER: applies a jq filter to the values of the lease rows
    curl -sf "$platform/v1/rows/leases" | jq -c "[.rows[].value]|$1"
}
has_readers() { # has_readers N: exactly N nodes read the platform
    local index count=0
    for index in 0 1 2; do
        [ "$(fleet_status $index | jq -r .platform.reader)" = true ] &&
            count=$((count + 1))
    done
    [ "$count" = "$1" ]
}
# True when two nodes are gateways and only these read the platform. Until the
# nodes know each other, each of them is a gateway.
readers_are_gateways() {
    local index roles=
    for index in 0 1 2; do
        roles+=$(curl -sf "http://$(fleet_admin $index)/explain?kind=node" |
            jq .gateway)-$(fleet_status $index | jq .platform.reader)' '
    done
    [ "$(tr ' ' '\n' <<<"$roles" | sort | xargs)" = \
        'false-false true-true true-true' ]
}
accept() { # accept TABLES
    local id
    id=$(fleet_ctl propose "$1" --json | jq -r .proposal)
    fleet_ctl accept "$id" --key "$fleet_key" --wait 30 --nodes "$admins" ||
        fleet_fail "accept"
}

# Guards against two gateways that do not take one of the two leases each.
wait_until 30 readers_are_gateways ||
    fleet_fail "the readers are not the two gateways"
accept examples/kingston-tables.toml
[ "$(leases '[.[].holder]|unique|length')" = 2 ] ||
    fleet_fail "the leases do not have 2 different holders"

# Guards against leases that change their holder because answers to renewals
# were lost.
before=$(leases '[.[]|[.holder,.fence]]')
fault '{"mode":"lose_answers","count":2}'
answers_lost() {
    [ "$(platform_stat faults)" -ge 2 ]
}
wait_until 20 answers_lost ||
    fleet_fail "the platform lost fewer than 2 answers in 20 s"
renewed_after() {
    [ "$(leases '[.[].expires_ms]|min')" -gt "$1" ]
}
wait_until 20 renewed_after $(($(platform_stat now_ms) + 9000)) ||
    fleet_fail "leases not renewed after lost answers"
[ "$(leases '[.[]|[.holder,.fence]]')" = "$before" ] ||
    fleet_fail "lost answers changed the holders"

# Guards against readers that continue without a lease, and against nodes that
# read too often during an outage: each of the two candidates waits 2 to 4 s
# between its attempts.
fault '{"mode":"outage"}'
wait_until 30 has_readers 0 ||
    fleet_fail "a node is still a reader 30 s after the start of the outage"
reads=$(platform_stat reads)
start_ms=$(date +%s%3N)
more_reads() {
    [ "$(platform_stat reads)" -ge $((reads + 6)) ]
}
wait_until 60 more_reads ||
    fleet_fail "fewer than 6 reads in 60 s of the outage"
took_ms=$(($(date +%s%3N) - start_ms))
[ $took_ms -ge 3000 ] ||
    fleet_fail "6 reads in $took_ms ms of the outage, expected at least 3000 ms"

# Guards against versions that are in force later than 6 s after the platform
# is back (guarantee G9).
fault '{"mode":"none"}'
outage_end_ms=$(date +%s%3N)
sed 's/timeout_ms = [0-9]*/timeout_ms = 1234/' examples/kingston-tables.toml \
    >"$fleet_dir/tables.toml"
accept "$fleet_dir/tables.toml"
took_ms=$(($(date +%s%3N) - outage_end_ms))
echo "version in force $took_ms ms after the outage"
[ $took_ms -le 6000 ] ||
    fleet_fail "version in force $took_ms ms after the outage, limit 6000 ms"
fleet_stop
rm -rf "$fleet_dir"
