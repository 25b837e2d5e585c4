#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/. They need the
# compiler, the threads of the C++ library and nlohmann-json3-dev, which the
# deploy file lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review2
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review2/standins \
    review/standins2/standins.cc review/standins2/cases.cc
