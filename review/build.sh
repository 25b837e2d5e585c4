#!/usr/bin/env bash
# review/build.sh: builds the stand-ins and drivers of the cases into review/bin.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
flags="-std=c++20 -O2 -Wall -Wextra -pthread"
compiler="${CXX:-c++}"
# shellcheck disable=SC2086
"$compiler" $flags -c standins/standins.cc -o bin/standins.o
for it in [1-4]/case.cc; do
    n="${it%%/*}"
    # shellcheck disable=SC2086
    "$compiler" $flags "$it" bin/standins.o -o "bin/case-$n"
done
