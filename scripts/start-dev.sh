#!/usr/bin/env bash
# Installs from the lock file, builds, and runs the whole system in one process with stand-in minions and workers.
set -eu
cd "$(dirname "$0")/.."
npm ci --no-audit --no-fund --loglevel=error
npx tsc -b
exec node packages/cli/dist/main.js dev "$@"
