#!/bin/sh
# Installs the locked packages unless they are installed and up to date.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
	npm ci --no-audit --no-fund --loglevel=error
	touch node_modules/.package-lock.json
fi
