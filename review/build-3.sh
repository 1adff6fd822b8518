#!/usr/bin/env bash
# Checks the modules that the scripts of cases 11 to 15 run. They need no build and use no stand-in of the project.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
    [ ! -e "$file" ] || node --check "$file"
done
