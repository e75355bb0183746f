#!/usr/bin/env bash
# Uploads that a node refuses before their body has arrived.
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/common.bash
. tests/scripted/lib/calls.bash
start_calls_fleet 21350 1

# Guards against a refusal that is lost because the connection is closed with
# unread bytes of the body: the caller could not tell that its call was not run.
call refused -n "$nodes" -c 4 --calls 80 -p /nowhere -m POST \
    --body-size 3000000
expect 'refused uploads' 80 "$(get refused '.outcome."not-run"')"
