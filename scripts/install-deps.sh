#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linters need.
# Only missing packages are installed. Exits 1 and names each package that
# could not be installed.
set -u

packages=(
    gcc g++ make pkg-config git curl jq
    clang-format clang-tidy cppcheck
    libev-dev libzmq3-dev libmicrohttpd-dev libcurl4-openssl-dev
    libglib2.0-dev libjansson-dev libmsgpack-dev libsodium-dev
    libhttp-parser-dev libzstd-dev
    libxxhash-dev uthash-dev libsimdjson-dev libtomlplusplus-dev libgtest-dev
)

is_installed() {
    dpkg-query -W -f='${Status}' "$1" 2>/dev/null |
        grep -q '^install ok installed$'
}

missing=()
for package in "${packages[@]}"; do
    is_installed "$package" || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
    echo "install-deps: all packages are present"
    exit 0
fi

as_root=()
if [ "$(id -u)" -ne 0 ]; then
    as_root=(sudo)
fi
export DEBIAN_FRONTEND=noninteractive
echo "install-deps: installing ${missing[*]}"
"${as_root[@]}" apt-get update -qq ||
    echo "install-deps: apt-get update failed, using the old package lists" >&2
"${as_root[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null 2>&1

failed=()
for package in "${missing[@]}"; do
    is_installed "$package" && continue
    "${as_root[@]}" apt-get install -y -qq "$package" >/dev/null 2>&1 ||
        failed+=("$package")
done
if [ "${#failed[@]}" -ne 0 ]; then
    echo "install-deps: could not install: ${failed[*]}" >&2
    exit 1
fi
echo "install-deps: done"
