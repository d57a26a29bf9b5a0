PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/gooseberrymux packages/gooseberryctl packages/gooseberrystand

.PHONY: install test lint demo bench slopes soak

$(VENV)/.installed: requirements.txt $(PACKAGES:%=%/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation $(PACKAGES:%=-e %)
	touch $@

install: $(VENV)/.installed

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: install
	$(BIN)/python -m pytest

demo: install
	$(BIN)/python -m gooseberrystand.demo

bench: install
	$(BIN)/python -m gooseberrystand.bench

slopes: install
	$(BIN)/python -m gooseberrystand.slopes

SOAK ?= --seeds 5

soak: install
	PYTHONPATH=tests:platform $(BIN)/python -m soak $(SOAK)
