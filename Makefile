PYTHON ?= $(shell command -v python3.11 || command -v python3)
BIN := .venv/bin
PACKAGES := pondquay pondquay-daemon pondquay-cli pondquay-standins pondquay-lab
DIRECTORIES := $(PACKAGES:%=packages/%) platform
SOURCES := $(DIRECTORIES:%=%/src)

SEEDS ?= 1-50
JOBS ?= 4
MINUTES ?= 5
# Tests at the same time; those that start whole fleets take most of the time.
WORKERS ?= 6

.PHONY: demo test fleet bench soak fuzz lint types unit clean

.venv/.installed: requirements.txt $(DIRECTORIES:%=%/pyproject.toml)
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-build-isolation --no-deps $(DIRECTORIES:%=-e %)
	touch $@

demo: .venv/.installed
	$(BIN)/python -m pondquay_standins.demo

fleet: .venv/.installed
	$(BIN)/python -m pondquay_standins.fleetcommand

bench: .venv/.installed
	$(BIN)/python -m pondquay_lab.bench

soak: .venv/.installed
	$(BIN)/python -m pondquay_standins.soak --seeds $(SEEDS) --jobs $(JOBS) $(if $(FROM),--from $(FROM) --seconds 30)

fuzz: .venv/.installed
	$(BIN)/python -m pondquay_lab.fuzz --minutes $(MINUTES) $(if $(SEED),--seed $(SEED))

test: lint types unit

lint: .venv/.installed
	$(BIN)/ruff format --check packages platform
	$(BIN)/ruff check packages platform

types: .venv/.installed
	$(BIN)/mypy $(SOURCES)

unit: .venv/.installed
	$(BIN)/pytest -n $(WORKERS) --dist loadgroup

clean:
	rm -rf .venv var
