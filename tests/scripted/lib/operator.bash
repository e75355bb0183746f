# Helpers of the scripted tests of bbctl. Set `address` to the platform's
# address and source this after common.bash.
export BB_PLATFORM=http://$address
output=$work/output
month=$(date -u +%Y-%m)

start_platform() {
    start platform "$build/bbplatform" --address "$address"
    wait_for 10 curl -sf "$BB_PLATFORM/v1/stats"
    # Set the platform's clock to noon of the 2nd, so that a test that runs
    # at the end of a month does not see two months.
    local noon now
    noon=$(date -u -d "$month-02 12:00" +%s)
    now=$(date -u +%s)
    set_clock $(((noon - now) * 1000))
}

set_clock() { # set_clock OFFSET_MS
    curl -sf -o "$work/body" "$BB_PLATFORM/v1/clock" -d "{\"offset_ms\":$1}"
}

fault() { # fault JSON
    curl -sf -o "$work/body" "$BB_PLATFORM/v1/fault" -d "$1"
}

# run EXPECTED ARGUMENT...: runs bbctl and appends the command, its output and
# its exit code to $output, with variable parts replaced by fixed words.
# Fails when the exit code is not EXPECTED.
run() {
    local expected=$1 code=0
    shift
    "$build/bbctl" "$@" >"$work/last" 2>&1 || code=$?
    {
        echo "\$ bbctl $*"
        cat "$work/last"
        echo "exit $code"
    } | sed -E -e "s#$work#WORK#g" -e "s#$address#PLATFORM#g" \
        -e 's/\bp[0-9a-f]{11}\b/PROPOSAL/g' -e "s/$month/MONTH/g" \
        -e 's/\b[0-9a-f]{64}\b/HEX64/g' >>"$output"
    expect "exit code of bbctl $*" "$expected" "$code"
}

# last_proposal: prints the proposal id that the last command printed.
last_proposal() {
    sed -n 's/^proposal \(p[0-9a-f]*\)$/\1/p' "$work/last"
}

# compare_output NAME: compares the recorded output with NAME.expected.
compare_output() {
    diff -u "tests/scripted/$1.expected" "$output" ||
        fail "output differs from tests/scripted/$1.expected"
}
