# Set-up: `make deps`, then `make build`.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: deps build test format lint fuzz soak bench demo capacity first-token \
  settings

deps:
	tools/install_packages

build:
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

demo: deps build
	tools/demo $(BUILD)

first-token: build
	tools/first_token $(BUILD)

settings: build
	tools/write_settings $(BUILD)

test: build
	tools/run_tests $(BUILD)

format:
	tools/check_format --fix

lint:
	tools/check_format
	tools/check_layers
	tools/check_lint $(BUILD)

bench: build
	$(BUILD)/bulrush-bench
	$(BUILD)/bulrush-bench-admission

# Longer fuzz runs with a random seed, which is printed. To repeat a run:
# `make fuzz SEED=7`
SEED ?= $(shell od -An -N4 -tu4 /dev/urandom | tr -d ' ')
fuzz: build
	tools/fuzz $(BUILD) $(SEED)

# A fleet of real processes under overlapping troubles, seed after seed; about
# 20 s each. The logs of a seed with a problem are kept.
SOAK_FIRST ?= 1
SOAK_SEEDS ?= 50
soak: build
	BULRUSH_SOAK_FIRST=$(SOAK_FIRST) BULRUSH_SOAK_SEEDS=$(SOAK_SEEDS) \
	  $(BUILD)/test_process "[soak]"

# Measures sweeps of hosts, endpoints, models and configuration changes; prints
# the slopes for CAPACITY.md.
capacity: build
	tools/capacity $(BUILD)
