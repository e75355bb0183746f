#!/usr/bin/env bash
# Prints what is seen of the findings that are not cases; always exits 0.
cd "$(dirname "$0")/../.." || exit 2
LAB_RECORD=review/probes/record.txt timeout -k 5 115 review/out/probes
exit 0
