# make test: installs, builds and runs every test. make demo: a small fleet.
BUILD ?= build
JOBS ?= $(shell nproc)
# Lets work trees at different paths share compiled objects.
export CCACHE_BASEDIR = $(CURDIR)
export CCACHE_NOHASHDIR = 1

.PHONY: all packages build test format lint bench demo
all: build
packages:
	scripts/packages
build: packages
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS)
test: build
	scripts/test $(BUILD) $(JOBS)
format:
	scripts/format
lint: build
	BUILD=$(BUILD) scripts/lint
bench: build
	scripts/bench $(BUILD)
demo: build
	scripts/demo $(BUILD)
