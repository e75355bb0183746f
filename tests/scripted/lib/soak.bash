# Functions for scripts that run the soak test with several seeds.
build=${BUILD:-build}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# soak_seeds FAULTS: prints the seeds listed for this kind of faults.
soak_seeds() {
    sed -n "s/^$1 \([0-9][0-9]*\) |.*/\1/p" tests/soak/seeds.txt
}

# run_soaks SECONDS SEEDS OPTION...: runs the seeds in parallel, prints their
# reports and exits 0 when all guarantees held.
run_soaks() {
    local seconds=$1 seeds=$2 seed pid status=0
    local pids=()
    shift 2
    for seed in $seeds; do
        "$build/soak" --seed "$seed" --seconds "$seconds" \
            --sidecar "$build/bbsidecar" "$@" >"$work/$seed" 2>&1 &
        pids+=($!)
    done
    for pid in "${pids[@]}"; do
        wait "$pid" || status=1
    done
    cat "$work"/*
    exit "$status"
}
