VENV := .venv
PYTHON := $(VENV)/bin/python
PACKAGES := wire telemetry notes settings protocol decisions daemon gateway ctl
EDITABLE := $(foreach package,$(PACKAGES),-e packages/$(package)) -e platform

# Test files that run at once: each may start a dozen processes.
WORKERS := 3

.PHONY: install demo test check long long-mixed measure refusals

install: $(VENV)/installed

$(VENV)/installed: requirements-dev.txt $(foreach package,$(PACKAGES),packages/$(package)/pyproject.toml) platform/pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements-dev.txt $(EDITABLE)
	touch $@

demo: install
	PYTHONPATH=packages/daemon/tests $(PYTHON) -m standins.demo

test: install
	$(PYTHON) -m pytest -n $(WORKERS) --dist loadfile -rx --xfail-tb -m "not crowd"
	$(PYTHON) -m pytest -rx --xfail-tb -m crowd

check: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy packages/*/src platform/src

measure: install
	PYTHONPATH=packages/daemon/tests $(PYTHON) benchmarks/tail.py
	PYTHONPATH=packages/daemon/tests $(PYTHON) benchmarks/overload.py
	$(PYTHON) benchmarks/slopes.py
	$(PYTHON) benchmarks/gateway_slopes.py
	PYTHONPATH=packages/daemon/tests:platform/tests $(PYTHON) benchmarks/search_cost.py

refusals: install
	PYTHONPATH=packages/decisions/tests $(PYTHON) benchmarks/refusals.py

long: install
	CASSIAHEAD_SEEDS=$(or $(SEEDS),200) $(PYTHON) -m pytest packages/decisions

long-mixed: install
	CASSIAHEAD_MIXED_SEEDS=$(or $(SEEDS),20) $(PYTHON) -m pytest -rP packages/daemon/tests/faults/test_mixed.py
