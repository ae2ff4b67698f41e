#!/usr/bin/env bash
# Case 6; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
exec timeout --signal=KILL 115 node run.mjs
