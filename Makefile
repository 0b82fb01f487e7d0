PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := teaseldock teaseldock-edge teaseldock-balancer teaseldock-agent
STAMP := $(VENV)/.installed

# Plays in virtual time go through sets of names: their order must repeat.
export PYTHONHASHSEED := 2

SOAK_SEEDS ?= 1,2,3
SOAK_SECONDS ?= 20

.PHONY: demo test lint format bench bench-check bench-short capacity report soak clean

$(STAMP): requirements.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.txt -r requirements-dev.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $(STAMP)

demo: $(STAMP)
	@$(BIN)/python -m standins.demo

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/black -q --check packages platform deploy tests bench soak standins examples tools
	$(BIN)/flake8 packages platform deploy tests bench soak standins examples tools

format: $(STAMP)
	$(BIN)/black -q packages platform deploy tests bench soak standins examples tools

bench: $(STAMP)
	$(BIN)/python -m bench

bench-check: $(STAMP)
	$(BIN)/python -m bench --check

bench-short: $(STAMP)
	$(BIN)/python -m bench --check --short --no-path

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity

report: $(STAMP)
	$(BIN)/python -m bench.report

soak: $(STAMP)
	$(PYTHON) deploy/build.py
	PYTHONPATH=platform $(BIN)/python -m soak --seeds=$(SOAK_SEEDS) --seconds=$(SOAK_SECONDS)

clean:
	rm -rf $(VENV) build
