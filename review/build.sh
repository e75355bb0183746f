#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the review into review/out/. Needs gcc
# and libjansson-dev, which the build of the deploy file needs too.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/out

# build PROGRAM SOURCE
build() {
    gcc -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -Werror -O2 -g -Ireview/lab \
        -o "review/out/$1" "$2" review/lab/lab.c -ljansson -lpthread
    echo "built review/out/$1"
}

for number in 1 2 3 4 5; do
    [ ! -e "review/$number/case.c" ] ||
        build "case$number" "review/$number/case.c"
done
build probes review/probes/probes.c
