#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in bin/standin3 bin/flintspread-router bin/flintspread-controller; do
  [ -x "$program" ] || { echo "$program is missing: build by the deploy file, then review/build-2.sh" >&2; exit 2; }
done
exec bin/standin3 killed-router "$PWD/review/10"
