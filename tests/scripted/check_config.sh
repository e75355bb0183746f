#!/usr/bin/env bash
# bbsidecar --check-config: guards against invalid versions that pass, entries
# that never match without a warning, differences that are left out, and keys
# that are printed.
set -eu
cd "$(dirname "$0")/../.."
bbsidecar=${BUILD:-build}/bbsidecar
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cat >"$work/current.json" <<'JSON'
{"version":"r7","services":[{"name":"orders","max_connections":100},{"name":"old","max_connections":5}],
 "limits":{"header_s":3,"idle_s":15},
 "tenants":[{"name":"a","api_keys":["secret-1","secret-2"],"priority":1,"rate_per_s":10,"burst":10},
            {"name":"gone","api_keys":["secret-3"]}],
 "virtual_hosts":[{"host":"h","path_rules":[
  {"name":"r1","prefix":"/a/","kind":"safe","timeout_s":2,"target_latency_s":1,"priority":1,"service":"orders","public":false},
  {"name":"r2","prefix":"/b/","kind":"safe","timeout_s":2,"target_latency_s":1,"service":"old","public":true}]}]}
JSON
cat >"$work/new.json" <<'JSON'
{"version":"r9","services":[{"name":"orders","max_connections":120},{"name":"spare","max_connections":5}],
 "limits":{"header_s":30,"idle_s":15},
 "tenants":[{"name":"a","api_keys":["secret-1","secret-4"],"priority":0,"rate_per_s":5,"burst":0},
            {"name":"b","api_keys":[],"burst":4}],
 "virtual_hosts":[{"host":"h","path_rules":[
  {"name":"r1","prefix":"/a/","kind":"unsafe","timeout_s":0.5,"target_latency_s":1,"priority":1,"weighted_split":[{"service":"orders","weight":9},{"service":"spare","weight":1}],"public":false},
  {"name":"r3","prefix":"/c","kind":"safe","timeout_s":2,"target_latency_s":1,"service":"orders","public":true},
  {"name":"r4","prefix":"/d/","kind":"safe","timeout_s":2,"target_latency_s":1,"service":"orders","public":true},
  {"name":"r5","prefix":"/d/","kind":"safe","timeout_s":2,"target_latency_s":1,"service":"orders","public":true}]}]}
JSON
sed 's/"service":"old"/"service":"missing"/; s/secret-3/secret-1/
     s/{"name":"gone"/{"name":"odd","rate_per_s":"10","burst":-1},&/' \
    "$work/current.json" >"$work/bad.json"
{
    "$bbsidecar" --check-config "$work/new.json" --in-force "$work/current.json"
    echo "--"
    "$bbsidecar" --check-config "$work/current.json"
    echo "--"
    "$bbsidecar" --check-config "$work/current.json" --in-force "$work/new.json" | head -n 1
    echo "--"
    (cd "$work" && "$OLDPWD/$bbsidecar" --check-config bad.json) || echo "exit $?"
} >"$work/out"
if grep -q secret- "$work/out"; then
    echo "a key is printed"
    exit 1
fi
diff tests/scripted/check_config.expected "$work/out"
