#!/usr/bin/env bash
# bbctl while the platform fails, when operators write at the same time and
# after the end of a month. All output is compared with bbctl_faults.expected.
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/common.bash
address=127.0.0.1:21020
. tests/scripted/lib/operator.bash

cat >"$work/a.toml" <<'TOML'
[pool.parts]
service = "parts"
[route.parts]
pool = "parts"
path_prefix = "/parts"
TOML
# b.toml is a.toml with another service in the pool.
sed 's/"parts"$/"other"/' "$work/a.toml" >"$work/b.toml"
sed -i 's/^pool = "other"/pool = "parts"/' "$work/b.toml"

# Guards against an edit whose columns are not printed when the platform does
# not answer, and against exit codes other than 3 without a platform or node.
run 3 pool set parts service=parts slots=4
run 3 propose "$work/a.toml"
run 3 history
run 3 status 127.0.0.1:21021

start_platform
run 0 key "$work/harbour.key"
harbour_key=$(cat "$work/last")
run 0 key "$work/inland.key"
run 0 owner set "$month" harbour "$harbour_key"

# Guards against an outage that is reported as a success or a conflict.
fault '{"mode":"outage"}'
run 3 propose "$work/a.toml"
fault '{"mode":"silent","count":1}'
run 3 history --timeout-ms 300
fault '{"mode":"none"}'

# Guards against a second proposal or version when the response to a write is
# lost and bbctl sends the write again, and against a decision that is made with
# the key of another owner or about a proposal that does not exist.
fault '{"mode":"lose_answers","count":2}'
run 0 propose "$work/a.toml"
proposal_a=$(last_proposal)
run 0 propose "$work/b.toml"
proposal_b=$(last_proposal)
run 5 accept "$proposal_a" --key "$work/inland.key"
run 5 refuse "$proposal_a" --key "$work/inland.key" --reason no
run 6 accept p00000000000 --key "$work/harbour.key"
fault '{"mode":"lose_answers","count":1}'
run 0 accept "$proposal_a" --key "$work/harbour.key"
run 0 history

# Guards against accepting a proposal that was made from an older version and
# would undo the version accepted since.
run 4 accept "$proposal_b" --key "$work/harbour.key"
run 4 propose --base 0 "$work/b.toml"

# Guards against an edit that overwrites a later edit of another operator.
run 0 pool set parts service=parts slots=4
revision=$("$build/bbctl" pool list --json | jq '.rows[0].revision')
run 0 pool set parts slots=5
run 4 pool set parts slots=6 --revision "$revision"
run 0 pool list

# Guards against more than one accepted proposal when four proposals made from
# the same version are accepted at the same time.
for round in 1 2 3 4 5; do
    ids=()
    for name in 0 1 2 3; do
        sed "s#/parts#/parts/$round/$name#" "$work/a.toml" >"$work/r.toml"
        "$build/bbctl" propose "$work/r.toml" >"$work/last"
        ids+=("$(last_proposal)")
    done
    accept_pids=()
    for id in "${ids[@]}"; do
        "$build/bbctl" accept "$id" --key "$work/harbour.key" \
            >"$work/race.$id.log" 2>&1 &
        accept_pids+=("$!")
    done
    accepted=0 conflicts=0
    for pid in "${accept_pids[@]}"; do
        code=0
        wait "$pid" || code=$?
        case $code in
        0) accepted=$((accepted + 1)) ;;
        4) conflicts=$((conflicts + 1)) ;;
        *) fail "bbctl accept in round $round: exit $code, expected 0 or 4" ;;
        esac
    done
    expect "accepted proposals of round $round" 1 "$accepted"
    expect "conflicts of round $round" 3 "$conflicts"
done
expect 'versions after 5 rounds' 6 \
    "$("$build/bbctl" history --json | jq '.rows|length')"

# Guards against accept --wait counting a node that does not answer.
run 0 propose 1
run 7 accept "$(last_proposal)" --key "$work/harbour.key" --wait 1 \
    --nodes 127.0.0.1:21021

# Guards against an owner who can still accept after the end of the month.
run 0 propose "$work/b.toml"
last=$(last_proposal)
set_clock $((40 * 86400000))
run 5 accept "$last" --key "$work/harbour.key"
sed -i -E 's/[0-9]{4}-[0-9]{2}: no owner/LATER: no owner/
    s/after [0-9.]+ s/after T s/
    s#/parts/5/[0-3]#/parts/5/N#' "$output"
compare_output bbctl_faults
