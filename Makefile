PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: env demo test format lint types unit replay regression clean

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
	$(BIN)/black --check --quiet src platform tests

lint: env
	$(BIN)/flake8 src platform tests

types: env
	$(BIN)/mypy

unit: env
	$(BIN)/python -m tests

fuzz: env
	$(BIN)/python -m tests.fuzz

replay: env
	$(BIN)/python -m tests.replay

PLOT_VENV := .venv-plot
SAVED := docs/data/gossip-150.json docs/data/gossip-450.json

# The two larger sizes of the gossip measurement take over 6 minutes; their
# saved output is used. `egretfork-bench gossip --nodes N` makes it again.
capacity: $(PLOT_VENV)/installed
	$(PLOT_VENV)/bin/python -m egretfork.bench.program capacity \
		$(addprefix --gossip ,$(wildcard $(SAVED)))
	$(PLOT_VENV)/bin/python -m egretfork.bench.capacity_page

$(PLOT_VENV)/installed: requirements.txt requirements-plot.txt pyproject.toml
	$(PYTHON) -m venv $(PLOT_VENV)
	$(PLOT_VENV)/bin/pip install --quiet -r requirements-plot.txt
	$(PLOT_VENV)/bin/pip install --quiet --no-deps -e .
	touch $@

# BENCH is the users' bench, SITES its site files, BASE the commit to compare
# with. The scores of the working copy's commit are made here.
JOBS ?= 3
regression: env
	@test -n "$(BENCH)" -a -n "$(SITES)" -a -n "$(BASE)" || \
		{ echo "usage: make regression BENCH=... SITES=... BASE=..." >&2; exit 64; }
	for site in $(SITES); do \
		$(BENCH) score $$site --jobs $(JOBS) --why "regression against $(BASE)"; \
	done
	$(BIN)/egretfork-bench regression --before $(BASE) \
		--after $$(git rev-parse HEAD) $(if $(PLOT),--plot $(PLOT))

clean:
	rm -rf $(VENV) $(PLOT_VENV) build var .mypy_cache .hypothesis
