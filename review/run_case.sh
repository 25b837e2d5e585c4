#!/usr/bin/env bash
# review/run_case.sh N: runs case N; see claim.txt of the case. Exit status: 1 if
# the rule was broken, 0 if it held, 2 if the case couldn't run. Called by N/run.sh.
set -u
cd "$(dirname "$0")/.."
n="$1"
driver="review/bin/case-$n"
# The command of deploy/system.toml.
export GATEWAY="${GATEWAY:-target/bin/marjorambeam-gateway}"
export RECORD="review/$n/record.txt"
if [ ! -x "$driver" ] || [ ! -x "$GATEWAY" ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
timeout 110 "$driver"
status=$?
[ "$status" -le 2 ] || status=2
tail -n 2 "$RECORD"
exit "$status"
