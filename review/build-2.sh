#!/bin/sh
# Checks the stand-ins and scripts of cases 4 to 6. They are plain JavaScript
# and use only Node.js and the program that the deploy file builds.
set -e
cd "$(dirname "$0")/.."
for file in review/harness-2.mjs review/[456]/run.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
test -f target/chestnuthatch-cached.cjs
