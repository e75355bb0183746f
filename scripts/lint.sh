#!/usr/bin/env bash
# Checks the format (clang-format, PEP 7 settings), then runs cppcheck with
# warnings as errors. Exits 1 when a step finds something; cppcheck does not
# run when the format is wrong.
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
    -Ilib/caller -Ilib/http -Ilib/mesh -Ilib/account -Ilib/admission \
    -Ilib/link -Ilib/pace -Ilib/rollout -Iplatform "${sources[@]}" || exit 1
echo "lint: ${#files[@]} files clean"
