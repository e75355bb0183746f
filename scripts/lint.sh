#!/usr/bin/env bash
# Checks formatting (clang-format, PEP 7 settings) and runs cppcheck with
# warnings as errors. Exits non-zero on the first kind of finding.
set -u
cd "$(dirname "$0")/.." || exit 1
mapfile -t files < <(git ls-files -co --exclude-standard '*.c' '*.h' '*.cc')
clang-format --dry-run --Werror "${files[@]}" || exit 1
mapfile -t sources < <(git ls-files -co --exclude-standard \
    'lib/*.c' 'programs/*.c' 'platform/*.c')
cppcheck --quiet --std=c11 --language=c -j 4 --error-exitcode=1 \
    --enable=warning,performance,portability --inline-suppr \
    --include=/usr/include/utlist.h --include=/usr/include/uthash.h \
    --suppress="*:/usr/include/*" --suppress=missingIncludeSystem --suppress=unknownMacro \
    -Ilib/common -Ilib/operator -Ilib/platform -Ilib/peer -Ilib/target \
    -Ilib/caller -Ilib/http -Ilib/mesh -Iplatform "${sources[@]}" || exit 1
echo "lint: ${#files[@]} files clean"
