#!/bin/sh
# Runs the linter, then every scenario; the build has already checked the types. Scenarios listed in KNOWN-RED.txt may fail.
set -eu
cd "$(dirname "$0")/.."
npm run --silent lint
exec node scripts/run-scenarios.js
