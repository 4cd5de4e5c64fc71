PYTHON ?= python3

.PHONY: build demo demo-fleet test lint run example fleet fleet-takeovers

build: .venv/installed-dev.txt

.venv/installed-dev.txt: pyproject.toml requirements.txt
	$(PYTHON) -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -e '.[dev]'
	touch $@

lint: build
	.venv/bin/ruff format --check calicohitch tests example benchmarks
	.venv/bin/ruff check calicohitch tests example benchmarks
	.venv/bin/mypy

# Starts a toy platform and a relay, hands in a few messages, shows the worst one's story, and ends.
demo: build
	.venv/bin/python example/demo.py

# Three relays: one is killed with work in hand, and the others go on with it.
demo-fleet: build
	.venv/bin/python example/demo_fleet.py

test: build
	.venv/bin/python -m pytest

# Reads NODE_CONFIG and the other NODE_ variables.
run: build
	.venv/bin/python -m calicohitch serve

example: build
	.venv/bin/python example/toy_server.py

# The long list of several processes with faults between them: each seed plays one scenario, all of them in turn.
SEEDS ?= 1-200
WORKERS ?= 4
fleet: build
	.venv/bin/python tests/fleet/play.py --in-turn --workers $(WORKERS) --seeds $(SEEDS)

# The same for work that is taken over from relays that are lost.
fleet-takeovers: build
	.venv/bin/python tests/fleet/play.py --takeovers --in-turn --workers $(WORKERS) --seeds $(SEEDS)
