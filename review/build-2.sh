#!/usr/bin/env bash
# Prepares what the scripts of review/6 to review/10 start besides the program of
# the deploy file. Their stand-ins are plain modules in review/lib-2, which need
# no build; this checks that Node.js can load them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [0-9]*/run.mjs; do
  case "$file" in
    [1-5]/*) ;;
    *) node --check "$file" ;;
  esac
done
echo 'the stand-ins are ready'
