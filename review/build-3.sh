#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are plain modules in lib-3 that need no
# build; this checks that Node.js can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ -f "$file" ] && node --check "$file"
done
