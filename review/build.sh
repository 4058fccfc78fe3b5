#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies: nothing is compiled,
# the files are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness/*.mjs */case.mjs; do
  node --check "$file"
done
