# Commands of the repository; README.md explains them.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
SOURCES := packages platform tests
PACKAGES := core client daemon operator standins dataplane
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/$(p)/src)):$(CURDIR)/platform
export PATH := $(abspath $(VENV))/bin:$(PATH)
SEED ?= 1
SECONDS ?= 60

.PHONY: env lock format lint types unit test demo soak bench clean

env: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --require-hashes -r requirements.lock
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

lock:
	pip-compile --quiet --generate-hashes --no-emit-index-url --no-emit-find-links --no-emit-trusted-host --allow-unsafe --strip-extras -o requirements.lock requirements.in

format: env
	ruff check --fix $(SOURCES)
	ruff format $(SOURCES)

lint: env
	ruff check $(SOURCES)
	ruff format --check $(SOURCES)
	flake8 $(SOURCES)

types: env
	mypy packages/core/src packages/client/src packages/daemon/src packages/operator/src packages/standins/src packages/dataplane/src platform

unit: env
	$(PYTHON) -m pytest

test: lint types unit

demo: env
	bash demo/run.sh
	$(PYTHON) demo/platform_path.py

soak: env
	PYTHONPATH=$(PYTHONPATH):tests/platform $(PYTHON) tests/platform/platform_soak.py --seed $(SEED) --seconds $(SECONDS)
	$(PYTHON) -m turmericrouter_standins.soak --seed $(SEED) --seconds $(SECONDS)

bench: env
	$(PYTHON) -m turmericrouter_standins.experiments --output build/bench

clean:
	rm -rf build .mypy_cache .ruff_cache .pytest_cache .hypothesis
