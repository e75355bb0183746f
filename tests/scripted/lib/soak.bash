# Functions for scripts that run the soak test with several seeds.
build=${BUILD:-build}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
soak_pids=()

# soak_seeds SET: prints the seeds of this set.
soak_seeds() {
    sed -n "s/^$1 \([0-9][0-9]*\) |.*/\1/p" tests/soak/seeds.txt
}

# start_soaks SECONDS SEEDS OPTION...: starts a soak with each of the seeds.
start_soaks() {
    local seconds=$1 seeds=$2 seed
    shift 2
    for seed in $seeds; do
        "$build/soak" --seed "$seed" --seconds "$seconds" \
            --sidecar "$build/bbsidecar" "$@" >"$work/$seed" 2>&1 &
        soak_pids+=($!)
    done
}

# finish_soaks: waits for all soaks, prints their reports and exits with 0 when
# all guarantees held.
finish_soaks() {
    local pid status=0
    for pid in "${soak_pids[@]}"; do
        wait "$pid" || status=1
    done
    cat "$work"/*
    exit "$status"
}
