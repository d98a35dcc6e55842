#!/bin/bash
# The stand-ins are plain JavaScript and need no build; the cases need the programs that the deploy file builds.
cd "$(dirname "$0")/.." || exit 2
[ -f target/entry.mjs ] && [ -f target/rank.mjs ] || node scripts/bundle.js
