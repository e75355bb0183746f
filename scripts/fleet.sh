# shellcheck shell=bash
# Functions that run a small fleet of nodes and targets on loopback; sourced by
# the demo, by scripted tests and by measurements.
#
#   fleet_init NAME BASE_PORT PROFILE   directory, owner key, settings
#   fleet_platform [ARGS...]            starts bbplatform
#   fleet_node INDEX DATA_CENTRE        starts bbnode number INDEX
#   fleet_target INDEX SERVICE [ARGS]   starts the target beside that node
#   fleet_wait_version VERSION INDEX... waits until these nodes run VERSION
#   fleet_end NAME [SIGNAL]             ends one process, for example node-0
#   fleet_stop                          ends all processes, by process id
#
# The functions work with and without `set -e`. fleet_init sets a trap, so that
# a run that fails or is ended by a signal leaves no process behind; a script
# with a trap of its own calls fleet_stop in it.
#
# Node INDEX uses four ports from BASE_PORT + 10 + 4 * INDEX: callers, admin,
# peers, target. Only processes started here are ended.

fleet_owner=owner-a

fleet_fail() {
    echo "$fleet_name: step '${fleet_step:-start}' failed: $*" >&2
    echo "$fleet_name: logs are in $fleet_dir" >&2
    exit 1
}

# wait_until SECONDS COMMAND...: polls until the command succeeds; returns 1
# after SECONDS.
wait_until() {
    local limit=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$limit" ] || return 1
        sleep 0.05
    done
}

fleet_init() {
    fleet_name=$1
    fleet_base=$2
    fleet_profile=$3
    fleet_build=${BUILD:-build}
    fleet_dir=$(mktemp -d "${TMPDIR:-/tmp}/bb-$fleet_name-XXXXXX")
    fleet_platform_address=127.0.0.1:$fleet_base
    declare -gA fleet_pid=()
    trap 'fleet_stop' EXIT
    fleet_settings=$fleet_dir/settings.toml
    fleet_key=$fleet_dir/$fleet_owner.key
    fleet_public_key=$("$fleet_build/bbctl" key "$fleet_key") ||
        fleet_fail "bbctl key $fleet_key"
    cp "examples/$fleet_profile.toml" "$fleet_settings"
    printf '\n[[owner]]\nname = "%s"\npublic_key = "%s"\n' \
        "$fleet_owner" "$fleet_public_key" >>"$fleet_settings"
}

# fleet_spawn NAME COMMAND...: starts a process that logs to NAME.log.
fleet_spawn() {
    local name=$1
    shift
    "$@" >"$fleet_dir/$name.log" 2>&1 &
    fleet_pid[$name]=$!
}

fleet_ctl() {
    BB_PLATFORM=http://$fleet_platform_address "$fleet_build/bbctl" "$@"
}

fleet_platform() {
    fleet_spawn platform "$fleet_build/bbplatform" \
        --address "$fleet_platform_address" "$@"
    wait_until 10 curl -sf "http://$fleet_platform_address/v1/stats" ||
        fleet_fail "bbplatform: no response on $fleet_platform_address" \
            "within 10 s"
}

fleet_month() {
    date -u +%Y-%m
}

fleet_port() {
    echo $((fleet_base + 10 + 4 * $1 + $2))
}

fleet_caller() {
    echo "127.0.0.1:$(fleet_port "$1" 0)"
}

fleet_admin() {
    echo "127.0.0.1:$(fleet_port "$1" 1)"
}

fleet_node() {
    local index=$1 data_centre=$2
    shift 2
    fleet_spawn "node-$index" "$fleet_build/bbnode" \
        --settings "$fleet_settings" \
        --set "node.data_centre=$data_centre" \
        --set "node.caller_address=$(fleet_caller "$index")" \
        --set "node.admin_address=$(fleet_admin "$index")" \
        --set "node.peer_address=127.0.0.1:$(fleet_port "$index" 2)" \
        --set "platform.url=http://$fleet_platform_address" "$@"
}

fleet_target() {
    local index=$1 service=$2
    shift 2
    fleet_spawn "target-$index" "$fleet_build/bbload" target \
        --address "127.0.0.1:$(fleet_port "$index" 3)" \
        --node "$(fleet_admin "$index")" --service "$service" "$@"
}

fleet_status() {
    curl -sf "http://$(fleet_admin "$1")/status"
}

# fleet_has_version VERSION INDEX: true when the node runs this version or a
# newer one.
fleet_has_version() {
    local version
    version=$(curl -sf "http://$(fleet_admin "$2")/explain?kind=version" |
        jq -r .config.version)
    [ "${version:-0}" -ge "$1" ]
}

fleet_wait_version() {
    local version=$1 index
    shift
    for index in "$@"; do
        wait_until 30 fleet_has_version "$version" "$index" ||
            fleet_fail "node $index does not run version $version within 30 s"
    done
}

# fleet_is_running PID: true while the process runs and is a child of this
# shell, since the id of a process that has ended may be reused by another.
fleet_is_running() {
    grep -qsx "PPid:[[:space:]]*$$" "/proc/$1/status" &&
        ! grep -qs '^State:[[:space:]]*Z' "/proc/$1/status"
}

# fleet_signal PID SIGNAL: sends a signal to a process that runs.
fleet_signal() {
    if fleet_is_running "$1"; then
        kill "-$2" "$1" 2>/dev/null || true
    fi
}

# fleet_end NAME [SIGNAL]: ends one process and waits for it.
fleet_end() {
    local pid=${fleet_pid[$1]:-}
    [ -n "$pid" ] || return 0
    fleet_signal "$pid" "${2:-TERM}"
    wait "$pid" 2>/dev/null || true
    unset "fleet_pid[$1]"
}

# Ends all processes by SIGTERM, those that still run after 8 s by SIGKILL.
fleet_stop() {
    local name limit=$((SECONDS + 8))
    for name in "${!fleet_pid[@]}"; do
        fleet_signal "${fleet_pid[$name]}" TERM
    done
    for name in "${!fleet_pid[@]}"; do
        while fleet_is_running "${fleet_pid[$name]}"; do
            if [ "$SECONDS" -ge "$limit" ]; then
                fleet_signal "${fleet_pid[$name]}" KILL
                break
            fi
            sleep 0.05
        done
        wait "${fleet_pid[$name]}" 2>/dev/null || true
    done
    fleet_pid=()
}
