#!/usr/bin/env bash
# Guards against a version that is not read until the leases of dead readers
# expire: both readers of the only data centre are killed, then a version is
# accepted. It must be in force on the other nodes within 6 s (guarantee G9).
set -u
cd "$(dirname "$0")/../.." || exit 1
. scripts/fleet.sh
limit_ms=6000
fleet_init readers-killed 21800 kingston
fleet_platform
fleet_ctl owner set "$(fleet_month)" "$fleet_owner" "$fleet_public_key" ||
    fleet_fail "owner set"

# accept_tables TIMEOUT_MS: proposes and accepts tables with this timeout_ms, so
# that their content differs from that of other versions. Sets $accepted_ms.
accept_tables() {
    local id
    sed "s/timeout_ms = 2000/timeout_ms = $1/" examples/kingston-tables.toml \
        >"$fleet_dir/tables.toml"
    id=$(fleet_ctl propose "$fleet_dir/tables.toml" --json | jq -r .proposal)
    accepted_ms=$(date +%s%3N)
    fleet_ctl accept "$id" --key "$fleet_key" || fleet_fail "accept"
}

# Sets $readers and $others to the indexes of the nodes that read the platform
# and of those that do not.
list_readers() {
    readers=()
    others=()
    local index
    for index in 0 1 2 3; do
        if [ "$(fleet_status "$index" | jq .platform.reader)" = true ]; then
            readers+=("$index")
        else
            others+=("$index")
        fi
    done
}

# True when there are two readers, every node sees all 4 members as live, and
# both readers are gateways.
readers_are_gateways() {
    list_readers
    [ "${#readers[@]}" -eq 2 ] || return 1
    local index
    for index in 0 1 2 3; do
        [ "$(fleet_status "$index" | jq .peer.live_members)" = 4 ] || return 1
    done
    for index in "${readers[@]}"; do
        [ "$(fleet_status "$index" | jq .peer.gateway)" = true ] || return 1
    done
}

accept_tables 2000
for index in 0 1 2 3; do
    fleet_node "$index" dc-a
done
fleet_wait_version 1 0 1 2 3
wait_until 40 readers_are_gateways ||
    fleet_fail "the readers are not two gateways"
for index in "${readers[@]}"; do
    fleet_end "node-$index" KILL
done
accept_tables 2042
fleet_wait_version 2 "${others[@]}"
for index in "${others[@]}"; do
    took_ms=$(fleet_status "$index" | jq "[.config.history[] |
        select(.version == 2) | .at_ms - $accepted_ms][0]")
    echo "node $index: in force after $took_ms ms"
    [ "$took_ms" -le "$limit_ms" ] ||
        fleet_fail "version 2 in force after $took_ms ms, limit $limit_ms"
done
