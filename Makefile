VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: demo test soak lint format binary capacity latency clean

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    --requirement requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    --no-deps --editable .
	touch $@

demo: $(VENV)/.ready
	$(BIN)/plantainway demo

test: $(VENV)/.ready
	$(BIN)/python -m pytest

SEED ?= 1
SECONDS ?= 30
NODES ?= 3
RUNS ?= 1

soak: $(VENV)/.ready
	$(BIN)/python -m tests.soak --seed=$(SEED) --seconds=$(SECONDS) \
	    --nodes=$(NODES) --runs=$(RUNS)

lint: $(VENV)/.ready
	$(BIN)/python -m flake8 plantainway tests benchmarks
	$(BIN)/ruff format --check plantainway tests benchmarks

format: $(VENV)/.ready
	$(BIN)/ruff format plantainway tests benchmarks

binary: $(VENV)/.ready
	mkdir -p dist
	$(BIN)/shiv --quiet --compressed --reproducible \
	    --console-script plantainway --output-file dist/plantainway \
	    --python '/usr/bin/env python3' \
	    --requirement requirements-run.lock . --no-deps

capacity: $(VENV)/.ready
	@$(BIN)/python -m benchmarks.capacity

latency: $(VENV)/.ready
	@$(BIN)/python -m benchmarks.latency

clean:
	rm -rf build dist $(VENV)
