#!/usr/bin/env bash
# The committed reference pages are those that bbnode prints.
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/common.bash

# Guards against a page that was not updated after a setting or counter changed.
for page in settings counters; do
    "$build/bbnode" "--print-$page" >"$work/$page"
    diff -u "docs/${page^^}.md" "$work/$page" ||
        fail "docs/${page^^}.md is out of date: run make docs"
done

# Guards against a counter without a note on what its increase means.
if grep -F 'not documented' "$work/counters"; then
    fail "add a BB_COUNTER_NOTE to lib/common/counter_notes.def"
fi

# Guards against a counter that is exported but missing on the page.
rows=$(grep -c '^| `' "$work/counters")
counters=$(cat lib/common/counters_*.def | grep -c '^BB_COUNTER(')
expect 'counters on the page' "$counters" "$rows"
