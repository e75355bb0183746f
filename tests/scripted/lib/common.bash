# Helpers of the scripted tests: start a process, wait for a condition.
# Source it after `cd` to the root of the tree.
set -eu
build=${BUILD:-build}
work=$(mktemp -d)
pids=()

# Ends the processes that this test started and removes its files.
cleanup() {
    local pid
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap cleanup EXIT

fail() {
    echo "FAIL: $*" >&2
    cat "$work"/*.log >&2 2>/dev/null || true
    exit 1
}

# pick_port: sets $port to a port that is free, because tests of several
# checkouts can run at the same time on one VM.
pick_port() {
    port=$((22000 + RANDOM % 500))
    while (: <>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; do
        port=$((22000 + RANDOM % 500))
    done
}

# start NAME COMMAND...: runs in the background, output in $work/NAME.log; the
# process id is in $started.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    started=$!
    pids+=("$started")
}

# start_server NAME URL COMMAND...: start, then wait until URL is served by the
# process that was started.
start_server() {
    local name=$1 url=$2
    shift 2
    start "$name" "$@"
    wait_for 10 curl -sf --max-time 2 "$url"
    kill -0 "$started" || fail "$name ended although $url is served"
}

# wait_for SECONDS COMMAND...: polls until the command succeeds; fails the test
# after SECONDS.
wait_for() {
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$deadline" ] ||
            fail "no success within the time limit: $*"
        sleep 0.05
    done
}

# expect WHAT WANTED GOT: fails unless the two texts are equal.
expect() {
    [ "$2" = "$3" ] || fail "$1: expected '$2', got '$3'"
}
