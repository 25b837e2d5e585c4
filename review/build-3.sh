#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases into target/. They need the
# compiler, the threads of the C++ library and nlohmann-json3-dev, which the
# deploy file lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review3
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review3/cases \
    review/standins3/standins.cc review/standins3/cases.cc
