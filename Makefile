PYTHON ?= python3

.PHONY: build test lint run example

build: .venv/installed-dev.txt

.venv/installed-dev.txt: pyproject.toml requirements.txt
	$(PYTHON) -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -e '.[dev]'
	touch $@

lint: build
	.venv/bin/ruff check calicohitch tests example
	.venv/bin/mypy

test: build
	.venv/bin/python -m pytest

# Reads NODE_CONFIG and the other NODE_ variables.
run: build
	.venv/bin/python -m calicohitch serve

example: build
	.venv/bin/python example/toy_server.py
