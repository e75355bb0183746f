#!/usr/bin/env bash
# scripts/fleet.sh under `set -e`: a script that fails or is ended by a signal
# leaves no process behind.
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/common.bash

cat >"$work/run.sh" <<'SCRIPT'
set -eu
. scripts/fleet.sh
fleet_init cleanup 21300 kingston
echo "$fleet_dir" >"$1/dir"
fleet_platform
fleet_node 0 kingston-a
fleet_target 0 catalogue
fleet_spawn brief true
sleep 0.2
fleet_end brief
fleet_end brief
printf '%s\n' "${fleet_pid[@]}" >"$1/pids"
[ "$2" = fail ] && false
[ "$2" = stop ] && fleet_stop && echo stopped >"$1/end" && exit 0
sleep 60
SCRIPT

all_ended() { # none of the processes in $work/pids runs
    local pid
    while read -r pid; do
        if kill -0 "$pid" 2>/dev/null; then
            return 1
        fi
    done <"$work/pids"
}

# Guards against processes that keep running after a step of the script failed
# or after a signal, and against a fleet_stop that ends the script that calls
# it.
for ending in fail stop TERM INT; do
    rm -f "$work/pids" "$work/end"
    # With job control the script is a process group of its own and does not
    # ignore SIGINT, as background jobs do otherwise.
    set -m
    start "run-$ending" bash "$work/run.sh" "$work" "$ending"
    set +m
    wait_for 20 test -s "$work/pids"
    expect "processes started (ending: $ending)" 3 "$(wc -l <"$work/pids")"
    case $ending in
    TERM) kill -TERM "$started" ;;
    INT) kill -INT -- "-$started" ;; # to the process group, as a terminal does
    esac
    echo "ending: $ending" >"$work/ending.log"
    wait_for 20 all_ended
    wait "$started" || true
    rm -rf "$(cat "$work/dir")"
    if [ "$ending" = stop ]; then
        expect 'script after fleet_stop' stopped "$(cat "$work/end")"
    fi
done
