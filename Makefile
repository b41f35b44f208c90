PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/core packages/daemon packages/client platform
SEED ?= 1
STEPS ?= 20000
SECONDS ?= 60

.PHONY: setup test lint format demo fuzz soak

$(STAMP): requirements.txt $(PACKAGES:%=%/pyproject.toml)
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(PACKAGES:%=--editable %)
	touch $(STAMP)

setup: $(STAMP)

test: $(STAMP)
	$(BIN)/python -m tests

lint: $(STAMP)
	$(BIN)/black --check --quiet packages platform standins soak tests bench
	$(BIN)/ruff check --quiet packages platform standins soak tests bench
	$(BIN)/mypy packages/core/src packages/daemon/src packages/client/src platform/src

format: $(STAMP)
	$(BIN)/ruff check --quiet --fix packages platform standins soak tests bench
	$(BIN)/black --quiet packages platform standins soak tests bench

demo: $(STAMP)
	$(BIN)/python -m standins.demo

fuzz: $(STAMP)
	FUZZ_SEED=$(SEED) FUZZ_STEPS=$(STEPS) $(BIN)/python -m tests --fuzz

soak: $(STAMP)
	$(BIN)/python -m soak --seed $(SEED) --seconds $(SECONDS)
