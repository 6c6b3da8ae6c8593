PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed
PACKAGES := packages/core packages/node packages/cli platform
SOURCES := packages platform deploy scripts

.PHONY: install demo test lint format doctest unit soak clean platform-day

install: $(STAMP)

$(STAMP): constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt $(foreach p,$(PACKAGES),-e $(p)) \
		pytest hypothesis ruff wemake-python-styleguide
	touch $(STAMP)

demo: install
	$(BIN)/python scripts/demo.py

lint: install
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: install
	$(BIN)/ruff check --fix $(SOURCES)
	$(BIN)/ruff format $(SOURCES)

unit: install
	$(BIN)/python scripts/run_tests.py

test: lint unit

soak: install
	CACTUSHEAD_SOAK=1 $(BIN)/python -m pytest packages -k soak -s

clean:
	rm -rf $(VENV) .demo

# Plays a calm day of a site on the users' bench; KIT is the folder of the kit
# that holds `bin` and `sites`, which isn't part of this repository.
KIT ?=
SITE ?= hsp-tinsla
DAY ?= quiet-1

platform-day:
	@if [ -x "$(KIT)/bin/fleetbench" ]; then \
		"$(KIT)/bin/fleetbench" run "$(KIT)/sites/$(SITE).toml" "$(DAY)"; \
	else \
		echo "not played: no bench at KIT='$(KIT)'; give its folder, as in" \
			"make platform-day KIT=folder"; \
	fi
