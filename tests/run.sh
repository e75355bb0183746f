#!/usr/bin/env bash
# Runs every test and prints "N passed, N failed" as the last line.
#
# Unit tests are the GoogleTest cases of $BUILD/unit_tests. Scripted tests are
# the files tests/scripted/NAME.sh; each exits 0 when it passes.
#
# Tests listed in KNOWN-RED.txt may fail: they are run and printed, but count
# neither as passed nor as failed. An entry is a line "TEST | COMMAND AND SEED |
# SEEN | issue N". A listed test that does not exist, or an entry without an
# issue, fails the run. A listed test that passes is reported so that the entry
# can be removed.
set -u
cd "$(dirname "$0")/.." || exit 1
build=${BUILD:-build}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

declare -A known_red=()
if [ -f KNOWN-RED.txt ]; then
    while IFS='|' read -r name _ _ issue; do
        name=$(echo "$name" | xargs)
        case "$name" in
        "" | \#*) continue ;;
        esac
        if ! [[ "${issue:-}" =~ issue[[:space:]]+[0-9]+ ]]; then
            echo "KNOWN-RED.txt: entry '$name' names no issue;" \
                "expected 'issue N' in field 4"
            failed=$((failed + 1))
        fi
        known_red[$name]=0
    done <KNOWN-RED.txt
fi

# record NAME STATUS: counts one finished test; status 0 is passed.
record() {
    local name=$1 status=$2
    if [ -n "${known_red[$name]+x}" ]; then
        known_red[$name]=1
        if [ "$status" -eq 0 ]; then
            echo "KNOWN-RED $name passed this time"
        else
            echo "KNOWN-RED $name failed as listed"
        fi
        return
    fi
    if [ "$status" -eq 0 ]; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
        echo "FAILED $name"
    fi
}

# exclusively COMMAND...: runs the command under a lock that all checkouts on
# this VM share, because tests that use sockets have fixed ports.
exclusively() {
    flock -o "${TMPDIR:-/tmp}/burdockbarrow-tests.lock" "$@"
}

unit_status=0
exclusively "$build/unit_tests" --gtest_color=no >"$work/unit.log" 2>&1 ||
    unit_status=$?
if [ "$unit_status" -ne 0 ] &&
    { ! grep -q '^\[  PASSED  \]' "$work/unit.log" ||
        ! grep -q '^\[  FAILED  \]' "$work/unit.log"; }; then
    # A crash, or a sanitizer report after the last test, counts as one failure
    # of its own.
    echo "unit_tests ended with status $unit_status; last lines:"
    tail -n 30 "$work/unit.log"
    failed=$((failed + 1))
fi
while read -r name; do
    record "$name" 0
done < <(sed -n 's/^\[       OK \] \([^ ]*\).*/\1/p' "$work/unit.log")
while read -r name; do
    record "$name" 1
done < <(sed -n 's/^\[  FAILED  \] \([^ ,]*\)[ ,].*([0-9]* ms)$/\1/p' \
    "$work/unit.log" | sort -u)
grep -q '^\[  FAILED  \]' "$work/unit.log" &&
    grep -B 12 '^\[  FAILED  \]' "$work/unit.log" | head -n 120

for script in tests/scripted/*.sh; do
    [ -e "$script" ] || continue
    name=scripted.$(basename "$script" .sh)
    if BUILD=$build exclusively timeout 300 bash "$script" \
        >"$work/$name.log" 2>&1; then
        record "$name" 0
    else
        record "$name" 1
        tail -n 60 "$work/$name.log"
    fi
done

for name in "${!known_red[@]}"; do
    if [ "${known_red[$name]}" -eq 0 ]; then
        echo "KNOWN-RED.txt: no test is named '$name'"
        failed=$((failed + 1))
    fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
