#!/usr/bin/env bash
# The stand-ins are plain modules for Node.js; checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
