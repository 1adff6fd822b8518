#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are plain modules in lib-2 without dependencies, which are only checked.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/case.mjs 10/case.mjs; do
    [ ! -e "$file" ] || node --check "$file"
done
