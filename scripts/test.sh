#!/bin/sh
# Lint, then every scenario; the types were checked by the build before.
set -eu
cd "$(dirname "$0")/.."
npm run --silent lint
exec node_modules/.bin/cucumber-js
