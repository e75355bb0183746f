#!/usr/bin/env bash
# bbctl from making an owner key to listing the accepted versions. All output is
# compared with bbctl_release.expected.
cd "$(dirname "$0")/../.." || exit 1
. tests/scripted/lib/common.bash
address=127.0.0.1:21010
. tests/scripted/lib/operator.bash
start_platform

# Guards against a key file that other users can read, and against a key that is
# overwritten when `bbctl key` runs a second time.
run 0 key "$work/harbour.key"
expect 'mode of the key file' 600 "$(stat -c %a "$work/harbour.key")"
run 1 key "$work/harbour.key"
cp "$work/harbour.key" "$work/group_readable.key"
chmod 640 "$work/group_readable.key"
run 1 key --show "$work/group_readable.key"
run 0 key --show "$work/harbour.key"
key=$(cat "$work/last")

run 2 owner set 2026-13 harbour "$key"
run 0 owner set "$month" harbour "$key"
run 0 owner list

# Guards against a check that stops at the first finding or reports it without
# its line.
cat >"$work/bad.toml" <<'TOML'
[pool.parts]
service = "parts"
slots = 0

[route.parts]
pool = "part"
path_prefix = "parts"
colour = "red"
TOML
run 1 check "$work/bad.toml"
run 1 check --json "$work/bad.toml"
run 1 propose "$work/bad.toml"

cat >"$work/first.toml" <<'TOML'
[pool.parts]
service = "parts"

[route.parts]
pool = "parts"
path_prefix = "/parts"
TOML
run 0 check "$work/first.toml"
run 0 propose "$work/first.toml"
first=$(last_proposal)
run 0 accept "$first" --key "$work/harbour.key"
run 4 accept "$first" --key "$work/harbour.key"

# Guards against edits of draft rows that drop columns, and against a proposal
# that differs from the draft rows.
run 0 draft load head
run 0 pool set parts slots=4 once=window
run 0 pool set orders service=orders
run 1 pool set orders slots=many
run 2 pool set orders slots
run 0 route set orders pool=orders path_prefix=/orders methods=POST,GET
run 0 pool list
run 0 route list
run 0 diff
run 0 propose
second=$(last_proposal)
run 0 accept "$second" --key "$work/harbour.key"
run 0 diff 1 2
run 0 route remove orders
run 6 route remove orders
run 0 route list

# Guards against a refusal without a reason, and against a refused proposal that
# can still be accepted.
run 0 propose draft
third=$(last_proposal)
run 2 refuse "$third" --key "$work/harbour.key"
run 0 refuse "$third" --key "$work/harbour.key" --reason 'preço não é válido'
run 4 accept "$third" --key "$work/harbour.key"

# Guards against content of an old version that is accepted again under its old
# version number.
run 0 propose 1
run 0 accept "$(last_proposal)" --key "$work/harbour.key"
run 0 history
run 0 diff 1 head
run 6 diff 9 head
compare_output bbctl_release
