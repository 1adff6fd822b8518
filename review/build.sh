#!/usr/bin/env bash
# The stand-ins of the cases are plain modules in review/lib; this checks that Node.js can read them and the scripts.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
    node --check "$file"
done
