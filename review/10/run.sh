#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2/standins ] && [ -x target/bin/marjorambeam-gateway ] || exit 2
exec target/review2/standins missed-evacuation review/10
