#!/usr/bin/env bash
# Measures calls through nodes, with real processes on loopback, and compares
# them with direct calls to the same target stand-ins. Prints one table and
# writes bench/results/calls.json.
#
#   bench/calls.sh                     all sections, about 7 minutes
#   BENCH_SECTIONS="latency rolling"   some of these sections:
#       latency   one and two nodes between caller and target
#       chain     targets that call the next service through nodes
#       cpu       CPU time of nodes per call
#       goodput   successful calls up to and above the capacity of a pool
#       leave     the time until a draining or killed target gets no calls
#       herd      lost and doubled calls when 3 of 9 nodes are killed at once
#       rolling   the same when all nodes are replaced one by one
#       outage    the same during faults of the platform
#   BENCH_SECONDS=2                    length of one sample (default 5)
#   BENCH_RATES="144"                  rates of the latency section
#   BENCH_LOADS="1 3"                  loads of the goodput section, in multiples
#                                      of the capacity of the pool
#   BENCH_ROLLING_S=60                 length of the rolling section (default 40)
#   BENCH_BASE_PORT, BENCH_RESULTS     first port (28000), result file
#
# Latency counts from the start of the first attempt; percentiles are medians
# of three rounds. "added" is the difference between the percentiles with and
# without nodes.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/fleet.sh
sections=${BENCH_SECTIONS:-latency chain cpu goodput leave herd rolling outage}
sample_s=${BENCH_SECONDS:-5}
rates=${BENCH_RATES:-144 1000}
loads=${BENCH_LOADS:-1 1.5 3}
results=${BENCH_RESULTS:-bench/results/calls.json}
work=$(mktemp -d "${TMPDIR:-/tmp}/bb-calls-XXXXXX")
started_at=$(date -u +%FT%TZ)
: >"$work/rows"

# row WHAT DIRECT MEASURED ADDED TARGET MET [JSON]: adds one row to the table
# and prints it. TARGET is the value to reach, MET whether it was reached.
row() {
    jq -nc --arg what "$1" --arg direct "$2" --arg measured "$3" \
        --arg added "$4" --arg target "$5" --arg met "$6" \
        --argjson data "${7:-null}" '$ARGS.named' >>"$work/rows"
    tail -n 1 "$work/rows" |
        jq -r '[.what, .direct, .measured, .added, .target, .met] | @tsv'
}

# yes_or_no CONDITION: evaluates a jq condition and prints yes or NO, for the
# column met.
yes_or_no() {
    jq -rn "if $1 then \"yes\" else \"NO\" end"
}

# ---- fleet ----

write_tables() {
    local pool
    for pool in plain:none window:window claim:claim; do
        cat <<EOF
[pool.${pool%:*}]
service = "test"
slots = ${slots:-256}
connections = 1024
queue = 36
retry_max = 2
once = "${pool#*:}"
spill = true

[route.${pool%:*}]
host = "*"
path_prefix = "/${pool%:*}"
pool = "${pool%:*}"
timeout_ms = 30000

EOF
    done >"$fleet_dir/tables.toml"
}

target_address() {
    echo "127.0.0.1:$(fleet_port "$1" 3)"
}

# is_ready INDEX LIVE: true when the node has a version and at least LIVE live
# targets in its data centre.
is_ready() {
    [ "$(fleet_status "$1" | jq ".config.version >= 1 and
        .services.test.live >= $2")" = true ]
}

wait_ready() { # LIVE INDEX...
    local live=$1 index
    shift
    for index in "$@"; do
        wait_until 30 is_ready "$index" "$live" ||
            fleet_fail "node $index: no version or fewer than $live live" \
                "targets after 30 s"
    done
}

start_node() { # INDEX: nodes take the data centres in turn
    fleet_node "$1" "dc-$(($1 % dc_count))" "${node_args[@]}"
}

# start_fleet NODES TARGETS: starts the platform, the nodes, and a target next
# to each of the first TARGETS nodes. Uses dc_count, slots, node_args,
# target_args and ramp_up_s.
start_fleet() {
    local index id
    fleet_init bench-calls "${BENCH_BASE_PORT:-28000}" kingston
    fleet_platform
    fleet_ctl owner set "$(fleet_month)" "$fleet_owner" "$fleet_public_key" \
        >/dev/null || fleet_fail "bbctl owner set"
    write_tables
    id=$(fleet_ctl propose "$fleet_dir/tables.toml" --json | jq -r .proposal)
    fleet_ctl accept "$id" --key "$fleet_key" >/dev/null ||
        fleet_fail "bbctl accept $id"
    all=()
    targets=()
    for ((index = 0; index < $1; index++)); do
        start_node "$index"
        all+=("$index")
    done
    for ((index = 0; index < $2; index++)); do
        fleet_target "$index" test --record 1000000 "${target_args[@]}"
        targets+=("$index")
    done
    wait_ready $(($2 / dc_count)) "${all[@]}"
    # The load on a target ramps up for 10 s after its start.
    sleep "${ramp_up_s:-1}"
}

stop_fleet() {
    fleet_stop 2>/dev/null
    rm -rf "$fleet_dir"
}

set_defaults() {
    dc_count=1
    slots=256
    node_args=()
    target_args=(--slots 256 --connections 1024)
    ramp_up_s=1
}

addresses() { # INDEX...: caller addresses, separated by commas
    local index list=
    for index in "$@"; do
        list+=,$(fleet_caller "$index")
    done
    echo "${list#,}"
}

direct_addresses() { # INDEX...: target addresses, separated by commas
    local index list=
    for index in "$@"; do
        list+=,$(target_address "$index")
    done
    echo "${list#,}"
}

# make_calls NAME ARGS...: report in $work/NAME.json, calls in $work/NAME.log
make_calls() {
    local name=$1
    shift
    "$fleet_build/bbload" call --json --log "$work/$name.log" "$@" \
        >"$work/$name.json"
}

report_value() { # NAME FILTER: a value of the report $work/NAME.json
    jq -r "$2" "$work/$1.json"
}

counter_sum() { # FILTER: sum of a value of the counters over all nodes
    local index
    for index in "${all[@]}"; do
        fleet_status "$index"
    done | jq -s "[.[].counters | $1] | add // 0"
}

# ---- latency ----

percentiles() { # NAME: "p50/p99/p99.9"
    report_value "$1" '.started_latency_ms | [."p50", ."p99", ."p99.9"] |
        map(. * 1000 | round / 1000) | join("/")'
}

difference() { # NAME DIRECT [DIVISOR]: (NAME - DIRECT) / DIVISOR, in ms
    jq -r --slurpfile d "$work/$2.json" --argjson n "${3:-1}" \
        '.started_latency_ms as $m | $d[0].started_latency_ms as $d |
         ["p50", "p99", "p99.9"] |
         map(($m[.] - $d[.]) / $n * 1000 | round / 1000) | join("/")' \
        "$work/$1.json"
}

latency_row() { # WHAT NAME DIRECT [DIVISOR]
    local added ok
    added=$(difference "$2" "$3" "${4:-1}")
    ok=$(report_value "$2" '.successes == .calls')
    row "$1, ms p50/p99/p99.9" "$(percentiles "$3")" "$(percentiles "$2")" \
        "$added" "p99 1.1" \
        "$(yes_or_no "$ok and $(cut -d/ -f2 <<<"$added") <= 1.1")" \
        "$(jq -c '{calls, successes, status, reason, skipped, rounds}' \
            "$work/$2.json")"
}

# median NAME: writes the report NAME, in which each percentile is the median
# of that percentile over the rounds.
median() {
    jq -s '. as $all | .[0] as $first |
        (["p50", "p99", "p99.9"] | map(. as $p | {key: $p, value:
            ([$all[].started_latency_ms[$p]] | sort | .[length / 2 | floor])
            }) | from_entries) as $l |
        {calls: (map(.calls) | add), successes: (map(.successes) | add),
         skipped: (map(.skipped) | add), reason: $first.reason,
         status: $first.status, started_latency_ms: $l,
         rounds: map(.started_latency_ms)}' \
        "$work/$1"-?.json >"$work/$1.json"
}

# Measures the paths in turn and keeps the median of the rounds, because other
# load on the VM comes in bursts that are longer than the differences measured.
measure_latency_of() { # KIND RATE ARGS...
    local kind=$1 rate=$2 round path
    shift 2
    set -- -r "$rate" -d "$(jq -n "$sample_s / 2")" "$@"
    for round in 1 2 3; do
        make_calls "direct-$round" -n "$(target_address 0)" "$@"
        make_calls "two-$round" -n "$(fleet_caller 1)" "$@"
        make_calls "one-$round" -n "$(fleet_caller 0)" "$@"
    done
    for path in direct two one; do
        median "$path"
    done
    latency_row "$kind, $rate/s, one node" one direct
    latency_row "$kind, $rate/s, two nodes" two direct
}

measure_latency() {
    local rate post=(-m POST --body-size 1024 -k)
    start_fleet 2 1
    for rate in $rates; do
        measure_latency_of GET "$rate" -p '/plain/x?size=100'
        measure_latency_of "POST window" "$rate" -p /window/x "${post[@]}"
        # A claim needs two writes per call; the platform allows several
        # hundred writes per second.
        [ "$rate" -gt 200 ] ||
            measure_latency_of "POST claim" "$rate" -p /claim/x "${post[@]}"
    done
    stop_fleet
}

measure_chain() {
    local index depth count
    slots=256
    start_fleet 6 0
    for index in 0 1 2 3 4 5; do
        fleet_target "$index" test --slots 256 --connections 1024 \
            --chain-node "$(fleet_caller "$index")"
        fleet_spawn "direct-$index" "$fleet_build/bbload" target \
            --address "$(target_address $((20 + index)))" \
            --chain-node "$(target_address $((20 + (index + 1) % 6)))"
    done
    wait_ready 6 "${all[@]}"
    sleep 10 # ramp-up of targets
    for depth in 1 4 24; do
        count=$((600 * sample_s / 5 / (depth < 5 ? 1 : 3)))
        set -- --calls $count -d 60 -p "/plain/chain?depth=$depth" \
            --deadline-ms 20000
        make_calls direct -n "$(target_address 20)" "$@"
        make_calls chain -n "$(fleet_caller 0)" "$@"
        latency_row "GET, chain of $depth, added per level" chain direct \
            "$depth"
    done
    stop_fleet
}

# ---- CPU ----

cpu_ms() {
    fleet_status "$1" | jq .process.cpu_ms
}

measure_cpu_of() { # WHAT NODE ARGS...
    local what=$1 node=$2 before0 before1 count pids=() i
    shift 2
    before0=$(cpu_ms 0)
    before1=$(cpu_ms 1)
    for i in 1 2 3; do
        make_calls "cpu-$i" -n "$(fleet_caller "$node")" -c 16 \
            -d "$sample_s" "$@" &
        pids+=("$!")
    done
    wait "${pids[@]}"
    jq -s --argjson a "$(($(cpu_ms 0) - before0))" \
        --argjson b "$(($(cpu_ms 1) - before1))" --argjson node "$node" '
        {calls: (map(.successes) | add), failed: (map(.calls - .successes) |
         add), calls_per_s: (map(.calls_per_s) | add | round)}
        | . + {us_target_side: ($a * 1000 / .calls | round),
               us_caller_side: ($b * 1000 / .calls | round)}
        | . + {per_core: (if $node == 0
               then 1000000 / .us_target_side
               else 1000000 / (.us_caller_side + .us_target_side) end |
               round)}' "$work"/cpu-?.json >"$work/cpu.json"
    make_calls direct -n "$(target_address 0)" -c 48 -d 2 "$@"
    row "$what, calls/s for one core" \
        "$(report_value direct '.calls_per_s | round')/s seen" \
        "$(report_value cpu .per_core)" \
        "$(report_value cpu '"\(.us_caller_side) + \(
            .us_target_side) us CPU, \(.calls_per_s)/s seen"')" - - \
        "$(jq -c . "$work/cpu.json")"
}

measure_cpu() {
    start_fleet 2 1
    sleep 8
    measure_cpu_of "GET, one node" 0 -p '/plain/x?size=100'
    measure_cpu_of "GET, two nodes" 1 -p '/plain/x?size=100'
    measure_cpu_of "POST window, one node" 0 -p /window/x -m POST \
        --body-size 1024 -k
    measure_cpu_of "POST window, two nodes" 1 -p /window/x -m POST \
        --body-size 1024 -k
    stop_fleet
}

# ---- goodput ----

# Each load should have at most one retry per ten calls. The retry budget of a
# node and pool stores up to 10 retries, so that a load that follows a time
# without calls can have more.
capacity=600 # 3 targets, 4 workers each, 20 ms a call
retries='to_entries | map(select(.key | test("^retry_") and
    (test("denied") | not)).value) | add'

load_rate() {
    jq -n "$1 * $capacity"
}

measure_load() { # VARIANT LOAD ADDRESSES: adds a line to $work/goodput
    local before_calls before_retries goodput
    before_calls=$(counter_sum .calls_total)
    before_retries=$(counter_sum "$retries")
    make_calls load -n "$3" -r "$(load_rate "$2")" -d "$sample_s" \
        -p '/plain/x?size=100' --deadline-ms 300 --timeout-ms 300
    goodput=$(report_value load ".successes / $sample_s | round")
    jq -c --arg variant "$1" --argjson load "$2" --argjson goodput "$goodput" \
        --argjson c "$(($(counter_sum .calls_total) - before_calls))" \
        --argjson r "$(($(counter_sum "$retries") - before_retries))" \
        --argjson share "$(jq -n "$(counter_sum "$retries") /
            ([1, $(counter_sum .calls_total)] | max)")" \
        '{variant: $variant, load: $load, goodput: $goodput, calls: $c,
          retries: $r, retry_share_since_start: $share, p99: .latency_ms.p99, status, reason}' \
        "$work/load.json" >>"$work/goodput"
    sleep 0.5
}

goodput_rows() { # VARIANT: rows of the lines in $work/goodput
    jq -sc --arg v "$1" '
        (map(select(.variant == $v)) | max_by(.goodput).goodput) as $peak |
        (map(select(.variant == "direct")) |
         map({key: "\(.load)", value: .goodput}) | from_entries) as $direct |
        map(select(.variant == $v))[] |
        . + {peak: $peak, direct: $direct["\(.load)"],
             share: (if .calls > 0 then .retries / .calls else 0 end)} |
        .retry_share_since_start *= 1000 |
        .retry_share_since_start |= round / 1000' \
        "$work/goodput" |
        while read -r line; do
            jq -r --arg v "$1" '["goodput \($v), \(.load)x", .direct,
                "\(.goodput) (p99 \(.p99 | round) ms)",
                "retries \(.share * 1000 | round / 10)%, \(
                    .retry_share_since_start * 100)% since start",
                (if $v == "limits" then "90% of peak, retries 10%" else "-"
                 end),
                (if $v != "limits" then "-" elif
                 (.load < 3 or .goodput >= 0.9 * .peak) and
                 .share <= 0.1
                 then "yes" else "NO" end), tojson] | @tsv' <<<"$line" |
                while IFS=$'\t' read -r a b c d e f g; do
                    row "$a" "$b" "$c" "$d" "$e" "$f" "$(printf '%b' "$g")"
                done
        done
}

measure_goodput() {
    local variant load
    : >"$work/goodput"
    for variant in limits call.admission=none call.balancer=round-robin \
        call.retry=always; do
        set_defaults
        slots=4
        ramp_up_s=10
        target_args=(--slots 4 --workers 4 --work-ms 20)
        [ "$variant" = limits ] || node_args=(--set "$variant")
        start_fleet 4 3
        for load in $loads; do
            [ "$variant" != limits ] || measure_load direct "$load" \
                "$(direct_addresses 0 1 2)"
            measure_load "$variant" "$load" "$(addresses 0 1 2 3)"
        done
        stop_fleet
        goodput_rows "$variant"
    done
}

# ---- leave ----

now_ms() { # by the clock of began_ms in a target's record
    awk '{printf "%d\n", $1 * 1000}' /proc/uptime
}

fault() { # INDEX JSON: changes the behaviour of the target
    curl -sf "http://$(target_address "$1")/_fault" -d "$2" >/dev/null
}

last_began() { # INDEX: when the last call that ran was received, in ms
    curl -s "http://$(target_address "$1")/_record" |
        jq '[.calls[] | select(.has_run) | .began_ms] | max // 0'
}

connect_failures() {
    fleet_status "$1" | jq .counters.refused_target_connect_total
}

# measure_drain_of INDEX: prints the ms from the drain until the last call
# began.
measure_drain_of() {
    local start
    start=$(now_ms)
    fault "$1" '{"state":"draining"}'
    sleep 4
    jq -n "[$(last_began "$1") - $start, 0] | max"
    fault "$1" '{"state":"ready"}'
}

# measure_kill_of INDEX: sets killed_ms to the ms from the kill until the last
# failed connect of the node.
measure_kill_of() {
    local start last seen now
    last=$(connect_failures "$1")
    start=$(now_ms)
    killed_ms=0
    fleet_end "target-$1" KILL
    while now=$(now_ms) && [ "$now" -lt $((start + 4500)) ]; do
        seen=$(connect_failures "$1")
        [ "$seen" = "$last" ] || killed_ms=$((now - start))
        last=$seen
        sleep 0.05
    done
    fleet_target "$1" test --record 1000000 "${target_args[@]}"
}

measure_leave() {
    local index drained=0 killed=0 ms load
    start_fleet 3 3
    make_calls leave -n "$(addresses 0 1 2)" -r 300 -d 36 \
        -p '/plain/x?size=100' &
    load=$!
    sleep 2
    for index in 0 1 2; do
        ms=$(measure_drain_of "$index")
        drained=$((ms > drained ? ms : drained))
        sleep 1.5
    done
    for index in 0 1 2; do
        measure_kill_of "$index"
        killed=$((killed_ms > killed ? killed_ms : killed))
        sleep 1.5
    done
    wait "$load"
    row "last call begun after drain, worst of 3" - "$drained ms" - "3000 ms" \
        "$(yes_or_no "$drained <= 3000")"
    row "last attempt at a killed target, worst of 3" - "$killed ms" \
        "callers saw $(report_value leave '.calls - .successes') of $(
            report_value leave .calls) fail" "3000 ms" \
        "$(yes_or_no "$killed <= 3000")" \
        "$(jq -c '{calls, successes, status, reason}' "$work/leave.json")"
    stop_fleet
}

# ---- safety ----

fetch_records() { # writes the records of all targets to $work/records
    local index
    for index in "${targets[@]}"; do
        curl -s "http://$(target_address "$index")/_record"
    done >"$work/records"
}

# audit NAME...: compares the results that the callers of these logs got with
# the runs that the targets recorded; writes $work/audit.json.
#   lost             a result says that the call ran, but no target ran it
#   doubled          a call with an Idempotency-Key ran more than once
#   wrongly_not_run  the result is not-run and no earlier attempt may have run
#                    the call, but a target ran it
#   cut              an attempt got neither status 200 nor a result not-run
audit() {
    local name logs=()
    for name in "$@"; do
        logs+=("$work/$name.log")
    done
    fetch_records
    jq -s '[.[].calls[] | select(.has_run)] | group_by(.id) |
        map({key: .[0].id, value: length}) | from_entries' \
        "$work/records" >"$work/runs-by-id"
    jq -s '[.[].calls[] | select(.has_run and .key != null)] |
        group_by(.key) | map({key: .[0].key, value: length}) |
        from_entries' "$work/records" >"$work/runs-by-key"
    jq -s --slurpfile ids "$work/runs-by-id" \
        --slurpfile keys "$work/runs-by-key" '
        def runs: if .key != "" then $keys[0][.key] // 0
                  else $ids[0][.id] // 0 end;
        def is_not_run: .outcome == "not-run" or .status == "refused";
        {calls: length,
         ok: map(select(.status == "200")) | length,
         ran: map(select(.outcome == "ran")) | length,
         unknown: map(select(.outcome == "unknown")) | length,
         not_run: map(select(is_not_run)) | length,
         no_answer: map(select(.outcome == "-" and .status != "200" and
                               .status != "refused")) | length,
         lost: map(select((.status == "200" or .outcome == "ran") and
                          runs == 0)) | length,
         doubled: map(select(.key != "" and runs > 1)) | length,
         wrongly_not_run: map(select(is_not_run and (.lost_attempt == "") and
                                     runs > 0)) | length,
         cut: map(select(.lost_attempt != "" or (.status != "200" and
                         (is_not_run | not)))) | length,
         endings: (group_by([.status, .outcome, .reason, .lost_attempt]) |
                   map({key: "\(.[0].status) \(.[0].outcome) \(.[0].reason
                        )\(.[0].lost_attempt | if . == "" then "" else
                        " after \(.)" end)", value: length}) | from_entries)}' \
        "${logs[@]}" >"$work/audit.json"
}

safety_row() { # WHAT MAX_CUT: the most calls that may be cut, or any
    local cut=$2
    row "$1: lost, doubled, wrongly not-run" - \
        "$(report_value audit '"\(.lost), \(.doubled), \(.wrongly_not_run) of \(
            .calls) calls"')" \
        "$(report_value audit '"ok \(.ok), ran \(.ran), unknown \(
            .unknown), not-run \(.not_run), no answer \(.no_answer), cut \(.cut)"')" \
        "0, 0, 0$([ "$cut" = any ] || echo "; cut $cut")" \
        "$(yes_or_no "$(report_value audit "
            .lost + .doubled + .wrongly_not_run == 0 and
            ($([ "$cut" = any ] && echo true || echo ".cut <= $cut"))")")" \
        "$(jq -c . "$work/audit.json")"
}

measure_herd() {
    local index pids=() killed=(0 1 2)
    dc_count=3
    target_args=(--slots 64 --connections 256 --work-ms 100)
    start_fleet 9 9
    make_calls herd-claim -n "$(addresses "${all[@]}")" -r 150 -d 14 \
        -p /claim/x -m POST --body-size 1024 -k --retries 6 --timeout-ms 5000 &
    pids+=("$!")
    make_calls herd-get -n "$(addresses "${all[@]}")" -r 200 -d 14 \
        -p '/plain/x?size=1000' --retries 6 --timeout-ms 5000 &
    pids+=("$!")
    sleep 3
    for index in "${killed[@]}"; do
        kill -KILL "${fleet_pid[node-$index]}"
    done
    for index in "${killed[@]}"; do
        fleet_end "node-$index" KILL 2>/dev/null
    done
    sleep 3
    for index in "${killed[@]}"; do
        start_node "$index"
    done
    wait "${pids[@]}"
    audit herd-claim
    safety_row "herd death, POST claim" any
    audit herd-get
    safety_row "herd death, GET" any
    stop_fleet
}

replace_nodes() {
    local index
    for index in "${all[@]}"; do
        fleet_end "node-$index" || true
        start_node "$index"
        wait_until 30 is_ready "$index" "${#targets[@]}" ||
            fleet_fail "node $index is not ready 30 s after its restart"
    done
}

measure_rolling() {
    local pids=() start seconds=${BENCH_ROLLING_S:-40} took
    target_args=(--slots 128 --connections 512 --work-ms 5)
    start_fleet 6 6
    set -- -n "$(addresses "${all[@]}")" -d "$seconds" --retries 20
    make_calls roll-get "$@" -r 200 -p '/plain/x?size=2000' &
    pids+=("$!")
    make_calls roll-post "$@" -r 100 -p /window/x -m POST --body-size 1024 -k &
    pids+=("$!")
    make_calls roll-claim "$@" -r 50 -p /claim/x -m POST --body-size 1024 -k &
    pids+=("$!")
    make_calls roll-upload "$@" -r 8 -p /window/up -m POST \
        --body-size 3000000 -k &
    pids+=("$!")
    make_calls roll-slow "$@" -r 8 -m POST -k \
        -p '/window/slow?work_ms=1200&size=1000000' &
    pids+=("$!")
    sleep 1
    start=$(date +%s%3N)
    replace_nodes
    took=$(($(date +%s%3N) - start))
    [ "$took" -lt $((seconds * 1000 - 1000)) ] ||
        fleet_fail "replacing the nodes took $took ms, longer than the load" \
            "of $seconds s"
    wait "${pids[@]}"
    audit roll-get
    safety_row "rolling replacement ($took ms), GET" 0
    audit roll-post roll-claim
    safety_row "rolling replacement, POST window and claim" 0
    audit roll-upload
    safety_row "rolling replacement, uploads of 3 MB" 0
    audit roll-slow
    safety_row "rolling replacement, slow responses of 1 MB" 0
    stop_fleet
}

platform_fault() {
    curl -sf "http://$fleet_platform_address/v1/fault" -d "$1" >/dev/null ||
        fleet_fail "fault $1"
}

measure_outage() {
    local pid mode
    target_args=(--slots 64 --connections 256 --work-ms 10)
    start_fleet 3 3
    for mode in outage lose_answers silent; do
        make_calls "outage-$mode" -n "$(addresses "${all[@]}")" -r 100 -d 9 \
            -p /claim/x -m POST --body-size 1024 -k --retries 3 \
            --timeout-ms 8000 &
        pid=$!
        sleep 2
        platform_fault "{\"mode\":\"$mode\"}"
        sleep 3
        platform_fault '{"mode":"none"}'
        wait "$pid"
        audit "outage-$mode"
        safety_row "platform $mode for 3 s, POST claim" any
    done
    stop_fleet
}

# ---- all ----

print_table() {
    jq -r '(["measurement", "direct", "measured", "added or notes", "target",
             "met"] | @tsv),
           (.rows[] | [.what, .direct, .measured, .added, .target, .met] |
            @tsv)' "$results" | column -t -s "$(printf '\t')"
}

mkdir -p "$(dirname "$results")"
for section in $sections; do
    fleet_step=$section
    set_defaults
    "measure_$section"
done
jq -s --arg at "$started_at" --argjson s "$SECONDS" \
    '{started: $at, duration_s: $s, rows: .}' "$work/rows" >"$results"
echo
print_table
rm -rf "$work"
