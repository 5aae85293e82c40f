PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: env demo test format lint types unit replay clean

env: $(VENV)/installed

$(VENV)/installed: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps -e .
	touch $@

demo: env
	$(BIN)/python -m egretfork.demo

test: format lint types unit

format: env
	$(BIN)/black --check --quiet src tests

lint: env
	$(BIN)/flake8 src tests

types: env
	$(BIN)/mypy

unit: env
	$(BIN)/python -m tests

fuzz: env
	$(BIN)/python -m tests.fuzz

clean:
	rm -rf $(VENV) build var .mypy_cache .hypothesis

replay: env
	$(BIN)/python -m tests.replay
