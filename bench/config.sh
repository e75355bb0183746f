#!/usr/bin/env bash
# Measures the distribution of configurations and membership with real
# processes on loopback. Prints one table and writes bench/results/config.json.
#
#   bench/config.sh            all sizes and variants, about 10 minutes
#   BENCH_SIZES="12 30"        other fleet sizes, multiples of the data centres
#   BENCH_DATA_CENTRES=7       number of data centres (default 3)
#   BENCH_APPEND=1             keeps the rows of earlier runs
#   BENCH_VARIANTS="kingston"  some of kingston and nordeste (profiles in
#                              examples/) and poll-all (baseline: kingston with
#                              platform.mode=poll-all)
#   BENCH_VERSIONS, BENCH_IDLE_S, BENCH_OUTAGE_S, BENCH_BASE_PORT
#                              versions per fleet (10), seconds without changes
#                              (15), seconds of outage (15), first port (27000)
#
# Convergence is the time from just before `bbctl accept` starts until a node
# runs the version, by the wall clock of the VM; it includes the start of bbctl.
# Control bytes are peer traffic sent and received (with an allowance for
# framing and TCP/IP headers) plus platform traffic.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/fleet.sh
sizes=${BENCH_SIZES:-12 30 99 198}
variants=${BENCH_VARIANTS:-kingston nordeste poll-all}
versions=${BENCH_VERSIONS:-10}
idle_s=${BENCH_IDLE_S:-15}
results=bench/results/config.json
dc_count=${BENCH_DATA_CENTRES:-3}

now_ms() {
    date +%s%3N
}

# snapshot FILE INDEX...: writes the statuses of these nodes as a JSON array.
snapshot() {
    local file=$1 index
    shift
    for index in "$@"; do
        echo "url=http://$(fleet_admin "$index")/status"
    done >"$fleet_dir/urls"
    curl -s --parallel --parallel-max 50 -K "$fleet_dir/urls" 2>/dev/null |
        jq -s . >"$file"
}

# all_match FILTER INDEX...: true when the jq filter holds for the status of
# each of these nodes.
all_match() {
    local filter=$1
    shift
    snapshot "$fleet_dir/poll.json" "$@"
    [ "$(jq "[.[] | select($filter)] | length" "$fleet_dir/poll.json")" = $# ]
}

# ms_until LIMIT FILTER INDEX...: prints the ms until all match, or null when
# they do not within LIMIT seconds.
ms_until() {
    local limit=$1 start
    shift
    start=$(now_ms)
    if wait_until "$limit" all_match "$@"; then
        echo $(($(now_ms) - start))
    else
        echo null
    fi
}

platform_stat() {
    curl -s "http://$fleet_platform_address/v1/stats" | jq -c .
}

# rates BEFORE AFTER SECONDS: control bytes/s, CPU share and memory of a node,
# from two snapshots.
rates() {
    jq -n --slurpfile a "$1" --slurpfile b "$2" --argjson s "$3" '
      def bytes: .peer.bytes_sent + .peer.bytes_received + .platform.bytes;
      ($a[0] | map({key: .node.id, value: .}) | from_entries) as $old
      | [$b[0][] | select($old[.node.id] != null)
         | {bytes: ((bytes - ($old[.node.id] | bytes)) / $s),
            cpu: ((.process.cpu_ms - $old[.node.id].process.cpu_ms)
                  / ($s * 10)),
            kb: .process.resident_kb}]
      | {control_bytes_per_s_mean: (map(.bytes) | add / length | floor),
         control_bytes_per_s_max: (map(.bytes) | max | floor),
         cpu_percent_mean: ((map(.cpu) | add / length) * 1000 | round / 1000),
         cpu_percent_max: ((map(.cpu) | max) * 1000 | round / 1000),
         memory_kb_max: (map(.kb) | max)}'
}

write_tables() {
    sed "s/^timeout_ms = 2000/timeout_ms = $((2000 + $1))/" \
        examples/kingston-tables.toml >"$fleet_dir/tables.toml"
}

# accept_version N: proposes and accepts a version; sets accepted_ms and prints
# nothing.
accept_version() {
    local id
    write_tables "$1"
    id=$(fleet_ctl propose "$fleet_dir/tables.toml" --json | jq -r .proposal)
    accepted_ms=$(now_ms)
    fleet_ctl accept "$id" --key "$fleet_key" >/dev/null ||
        fleet_fail "bbctl accept $id of version $1"
}

start_nodes() {
    local index
    for index in "$@"; do
        fleet_node "$index" "dc-$((index % dc_count))" "${node_args[@]}"
    done
}

measure_convergence() {
    local version
    echo '[]' >"$fleet_dir/times.json"
    for ((version = 2; version <= versions + 1; version++)); do
        accept_version "$version"
        wait_until 30 all_match ".config.version >= $version" "${all[@]}" ||
            fleet_fail "not all nodes run version $version within 30 s"
        jq --argjson v "$version" --argjson t "$accepted_ms" \
            --slurpfile old "$fleet_dir/times.json" \
            '$old[0] + [.[].config.history[] | select(.version == $v)
             | .at_ms - $t]' "$fleet_dir/poll.json" >"$fleet_dir/times.new"
        mv "$fleet_dir/times.new" "$fleet_dir/times.json"
        sleep 0.$((RANDOM % 9))
    done
    jq 'sort | {convergence_ms_p50: .[length / 2 | floor],
                convergence_ms_p99: .[length * 0.99 | floor],
                convergence_ms_max: .[-1], samples: length}' \
        "$fleet_dir/times.json"
}

measure_idle() {
    local before after
    snapshot "$fleet_dir/before.json" "${all[@]}"
    before=$(platform_stat)
    sleep "$idle_s"
    snapshot "$fleet_dir/after.json" "${all[@]}"
    after=$(platform_stat)
    rates "$fleet_dir/before.json" "$fleet_dir/after.json" "$idle_s" |
        jq --argjson a "$before" --argjson b "$after" --argjson s "$idle_s" \
            '. + {platform_reads_per_s:
                    (($b.reads - $a.reads) / $s * 100 | round / 100),
                  platform_writes_per_s:
                    (($b.writes - $a.writes) / $s * 100 | round / 100)}'
}

# Restarts one node after another to measure the cost of membership events.
measure_restarts() {
    local count=$((size < 20 ? 4 : 10)) start seconds i index
    local watched=("${all[@]:count}")
    snapshot "$fleet_dir/before.json" "${watched[@]}"
    start=$(now_ms)
    for ((i = 0; i < count; i++)); do
        index=${all[i]}
        fleet_end "node-$index"
        start_nodes "$index"
        sleep 1
    done
    seconds=$((($(now_ms) - start) / 1000))
    snapshot "$fleet_dir/after.json" "${watched[@]}"
    rates "$fleet_dir/before.json" "$fleet_dir/after.json" "$seconds" |
        jq --argjson n "$count" --argjson s "$seconds" \
            '{restarts: $n, restart_seconds: $s,
              restart_control_bytes_per_s_mean: .control_bytes_per_s_mean,
              restart_control_bytes_per_s_max: .control_bytes_per_s_max}'
}

# Kills a third of the nodes at once, then starts them again at once. noticed
# is the time until no other node counts them as live, recovered the time from
# the restart until all nodes run the newest version and count all members of
# their data centre as live.
measure_herd() {
    local third=$((size / 3 / dc_count * dc_count)) index noticed recovered
    local killed=("${all[@]:0:third}") survivors=("${all[@]:third}")
    local expected=$(((size - third) / dc_count))
    snapshot "$fleet_dir/before.json" "${survivors[@]}"
    for index in "${killed[@]}"; do
        kill -KILL "${fleet_pid[node-$index]}"
    done
    for index in "${killed[@]}"; do
        fleet_end "node-$index" KILL 2>/dev/null
    done
    noticed=$(ms_until 40 ".peer.live_members == $expected" "${survivors[@]}")
    snapshot "$fleet_dir/after.json" "${survivors[@]}"
    rates "$fleet_dir/before.json" "$fleet_dir/after.json" \
        "$(jq -n "($noticed // 40000) / 1000")" >"$fleet_dir/herd.json"
    start_nodes "${killed[@]}"
    recovered=$(ms_until 60 ".config.version > $versions and
        .peer.live_members >= $((size / dc_count))" "${all[@]}")
    jq --argjson noticed "$noticed" --argjson recovered "$recovered" \
        --argjson n "$third" \
        '{herd_size: $n, herd_noticed_ms: $noticed,
          herd_recovered_ms: $recovered,
          herd_control_bytes_per_s_mean: .control_bytes_per_s_mean,
          herd_control_bytes_per_s_max: .control_bytes_per_s_max}' \
        "$fleet_dir/herd.json"
}

platform_fault() {
    curl -sf "http://$fleet_platform_address/v1/fault" -d "$1" >/dev/null ||
        fleet_fail "platform fault $1"
}

# Measures the time until all nodes run the next version after an outage of
# the platform.
measure_outage() {
    local version=$((versions + 2)) recovered
    platform_fault '{"mode":"outage"}'
    sleep "${BENCH_OUTAGE_S:-15}"
    platform_fault '{"mode":"none"}'
    accept_version "$version"
    wait_until 40 all_match ".config.version >= $version" "${all[@]}"
    recovered=$(jq --argjson v "$version" --argjson t "$accepted_ms" \
        '[.[].config.history[] | select(.version == $v) | .at_ms - $t] | max' \
        "$fleet_dir/poll.json")
    jq -n --argjson r "$recovered" '{outage_recovered_ms: $r}'
}

measure_variant() {
    local profile=$variant index
    node_args=()
    if [ "$variant" = poll-all ]; then
        profile=kingston
        node_args=(--set platform.mode=poll-all)
    fi
    fleet_init bench-config "${BENCH_BASE_PORT:-27000}" "$profile"
    fleet_step="$variant, $size nodes"
    fleet_platform
    fleet_ctl owner set "$(fleet_month)" "$fleet_owner" "$fleet_public_key" \
        >/dev/null || fleet_fail "bbctl owner set"
    accept_version 1
    all=()
    for ((index = 0; index < size; index++)); do
        all+=("$index")
    done
    start_nodes "${all[@]}"
    ms_until 60 ".config.version >= 1 and
        .peer.live_members >= $((size / dc_count))" "${all[@]}" \
        >"$fleet_dir/start_ms"
    # The measurements must not run in subshells, because they start and end
    # processes, whose ids this shell keeps.
    jq -n --arg variant "$variant" --argjson nodes "$size" \
        --argjson dcs "$dc_count" \
        --argjson ms "$(cat "$fleet_dir/start_ms")" \
        '{variant: $variant, data_centres: $dcs, nodes: $nodes,
          start_ms: $ms}' \
        >"$fleet_dir/part-0.json"
    measure_convergence >"$fleet_dir/part-1.json"
    measure_idle >"$fleet_dir/part-2.json"
    measure_restarts >"$fleet_dir/part-3.json"
    measure_herd >"$fleet_dir/part-4.json"
    measure_outage >"$fleet_dir/part-5.json"
    jq -s add "$fleet_dir"/part-?.json >"$fleet_dir/result.json"
    fleet_stop
    jq -s '.[0] + [.[1]]' "$results" "$fleet_dir/result.json" >"$results.new"
    mv "$results.new" "$results"
}

print_table() {
    jq -r '["variant", "DCs", "nodes", "p50 ms", "p99 ms", "max ms", "reads/s",
            "writes/s", "bytes/s", "bytes/s max", "CPU %", "mem KB",
            "restart B/s", "herd ms", "back ms", "outage ms"],
           (.[] | [.variant, .data_centres, .nodes, .convergence_ms_p50,
            .convergence_ms_p99, .convergence_ms_max, .platform_reads_per_s,
            .platform_writes_per_s, .control_bytes_per_s_mean,
            .control_bytes_per_s_max, .cpu_percent_mean, .memory_kb_max,
            .restart_control_bytes_per_s_mean, .herd_noticed_ms,
            .herd_recovered_ms, .outage_recovered_ms]) | @tsv' "$results" |
        column -t -s "$(printf '\t')"
}

mkdir -p bench/results
if [ -z "${BENCH_APPEND:-}" ]; then
    echo '[]' >"$results"
fi
for variant in $variants; do
    for size in $sizes; do
        measure_variant
        print_table | tail -n 1
    done
done
print_table
