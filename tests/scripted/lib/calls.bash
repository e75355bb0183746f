# A small fleet with one target for each node, for tests of calls. Source it
# after common.bash. The routes /plain, /window and /claim lead to pools with
# once = "none", "window" and "claim", all with the service test.
. scripts/fleet.sh

start_calls_node() {
    fleet_node "$1" dc-a
}

sees_targets() { # INDEX COUNT: the node has a version and COUNT live targets
    [ "$(fleet_status "$1" | jq ".config.version >= 1 and
        .services.test.live >= $2")" = true ]
}

has_calls_in_flight() { # INDEX
    [ "$(fleet_status "$1" | jq '.calls.calls_in_flight > 0')" = true ]
}

write_calls_tables() {
    local once
    for once in plain window claim; do
        printf '[pool.%s]\nservice = "test"\nslots = 64\nconnections = 256\n' \
            $once
        printf 'queue = 36\nretry_max = 2\nspill = true\nonce = "%s"\n' \
            "${once/plain/none}"
        printf '[route.%s]\nhost = "*"\npath_prefix = "/%s"\npool = "%s"\n' \
            $once $once $once
        printf 'timeout_ms = 10000\n'
    done
}

# start_calls_fleet BASE_PORT COUNT: starts COUNT nodes and targets and waits
# until each node sees all targets. Sets $nodes, the addresses for callers, and
# $count.
start_calls_fleet() {
    local index
    fleet_init calls "$1" kingston
    trap 'set +e; fleet_stop; rm -rf "$fleet_dir"; cleanup' EXIT
    fleet_platform
    fleet_ctl owner set "$(fleet_month)" "$fleet_owner" "$fleet_public_key" \
        >"$work/last"
    write_calls_tables >"$work/tables.toml"
    fleet_ctl accept "$(fleet_ctl propose "$work/tables.toml" --json |
        jq -r .proposal)" --key "$fleet_key" >"$work/last"
    nodes=
    count=$2
    for ((index = 0; index < count; index++)); do
        start_calls_node "$index"
        fleet_target "$index" test --slots 64 --connections 256
        nodes+=${nodes:+,}$(fleet_caller "$index")
    done
    for ((index = 0; index < count; index++)); do
        wait_for 15 sees_targets "$index" "$count"
    done
}

target_address() { # INDEX
    echo "127.0.0.1:$(fleet_port "$1" 3)"
}

call() { # call NAME ARGS...: report in $work/NAME.json
    local name=$1
    shift
    "$build/bbload" call --json --log "$work/$name.calls" "$@" \
        >"$work/$name.json"
}

get() { # get NAME FILTER: value from a report
    jq -r "$2" "$work/$1.json"
}

fault() { # fault INDEX JSON
    curl -sf -o "$work/body" "http://$(target_address "$1")/_fault" -d "$2" ||
        fail "target $1 does not accept the fault $2"
}

list_run_calls() { # the calls that the targets ran, as a JSON array
    local index
    for ((index = 0; index < count; index++)); do
        curl -sf "http://$(target_address "$index")/_record"
    done | jq -s '[.[].calls[] | select(.has_run)]'
}

count_repeated_runs() { # number of runs beyond the first one of each key
    list_run_calls | jq '[.[].key | values] | length - (unique | length)'
}

# check_lost_responses POOL: guards against a key that runs again when its
# caller repeats the call through another node after the response was lost.
check_lost_responses() {
    local pool=$1 index
    for index in 0 1; do
        fault "$index" '{"mode":"close","count":8}'
    done
    call "$pool" -n "$nodes" --calls 40 -c 4 -p "/$pool/x" -m POST -k \
        --retries 3
    [ "$(get "$pool" .attempts)" -gt 48 ] ||
        fail "$pool: $(get "$pool" .attempts) attempts, expected more than 48"
    expect "$pool: calls with the outcome not-run" null \
        "$(get "$pool" '.outcome."not-run"')"
    expect "$pool: calls run" 40 "$(list_run_calls |
        jq "[.[] | select(.path == \"/$pool/x\")] | length")"
    expect "$pool: repeated runs of a key" 0 "$(count_repeated_runs)"
    for index in 0 1; do
        fault "$index" '{"mode":"none"}'
    done
}
