#!/usr/bin/env bash
# usage: scripts/new-package.sh NAME "one-line description" [workspace dependencies...]
set -eu
name=$1 description=$2
shift 2
mkdir -p "packages/$name/src"
dependencies=$(for dependency in "$@"; do printf '        "@chestnutspool/%s": "0.1.0",\n' "$dependency"; done | sed '$ s/,$//')
cat > "packages/$name/package.json" <<EOF
{
    "name": "@chestnutspool/$name",
    "version": "0.1.0",
    "private": true,
    "type": "module",
    "description": "$description",
    "exports": { ".": { "types": "./dist/index.d.ts", "default": "./dist/index.js" } },
    "dependencies": {
$dependencies
    }
}
EOF
printf '# @chestnutspool/%s\n\n%s\n' "$name" "$description" > "packages/$name/README.md"
