# Every target sets up its own virtual environment; only Python 3.11 and make are needed.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 1

.PHONY: test lint format check demo bench lock clean

$(STAMP): pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $(STAMP)

test: lint
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check src
	$(BIN)/ruff check src

format: $(STAMP)
	$(BIN)/ruff format src
	$(BIN)/ruff check --fix src

demo: $(STAMP)
	$(BIN)/catkinspread demo

bench: $(STAMP)
	$(BIN)/catkinspread bench --all --seed $(SEED)

lock: pyproject.toml
	$(PYTHON) -m venv $(VENV)/lock
	$(VENV)/lock/bin/pip install --quiet ".[test]"
	$(VENV)/lock/bin/pip install --quiet "setuptools>=77" "wheel>=0.45"
	$(VENV)/lock/bin/pip freeze --all --exclude catkinspread --exclude pip > requirements.lock

clean:
	rm -r $(VENV)
