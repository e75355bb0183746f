#!/usr/bin/env bash
# Builds the stand-ins of review/11 and following into build/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-3
read -ra flags <<<"$(pkg-config --cflags --libs glib-2.0 jansson)"
gcc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra \
    review/lab-3/lab.c review/lab-3/cases.c -o build/review-3/cases \
    -pthread "${flags[@]}"
