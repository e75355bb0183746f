#!/usr/bin/env bash
# bbctl trace: prints the log lines of one call from all nodes and, with
# --context, other events of these nodes. Guards against lines that are missing,
# out of order, or of another call.
set -eu
cd "$(dirname "$0")/../.."
bbctl=${BUILD:-build}/bbctl
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cat >"$work/a.log" <<'LOG'
  12.1 a-1 {"time":100.5,"node":"a-1","event":"call_failed","call":"c1","status":504,"peer":"b-1"}
{"time":100.0,"node":"a-1","event":"call_placed","call":"c1","peer":"b-1","attempt":1}
{"time":100.1,"node":"a-1","event":"call_served","call":"c2","peer":"b-1"}
not a log line
LOG
cat >"$work/b.log" <<'LOG'
{"time":98.0,"node":"b-1","event":"target","target":"i-1","state":"ready"}
{"time":100.4,"node":"b-1","event":"target_failed","call":"c1","reason":"call_timeout"}
{"time":99.0,"node":"c-1","event":"target","target":"i-9","state":"ready"}
LOG
{
    "$bbctl" trace c1 "$work/a.log" "$work/b.log"
    echo "--"
    "$bbctl" trace --context c1 "$work/a.log" "$work/b.log" | head -n 1
    echo "--"
    "$bbctl" trace c9 "$work/a.log" 2>&1 || echo "exit $?"
} >"$work/out"
diff tests/scripted/bbctl_trace.expected "$work/out"
