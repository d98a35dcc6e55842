#!/bin/bash
# Builds the stand-ins that the scripts of review/4 to review/8 start: the project's own, into dist/.
cd "$(dirname "$0")/.." || exit 1
[ node_modules/.package-lock.json -nt package-lock.json ] || npm ci --silent --no-audit --no-fund || exit 1
node_modules/.bin/tsc -p tsconfig.json
