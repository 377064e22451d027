# Set-up and the jobs of this repository. Everything runs from .venv.

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint types check bench clean

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/waxwingwalk demo examples/refunds.json

test: $(STAMP)
	$(BIN)/python -m tests

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 waxwingwalk tests bench examples docs

types: $(STAMP)
	$(BIN)/mypy

check: test lint types

bench: $(STAMP)
	$(BIN)/python -m bench $(if $(QUICK),--quick)

clean:
	rm -rf $(VENV)
