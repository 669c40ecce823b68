# Two commands do all set-up: `make demo` and `make test`.
VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test bench

demo: $(STAMP)
	$(PY) -m ochrecourse day run demo

test: $(STAMP)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports
	$(PY) -m pytest -q

bench: $(STAMP)
	$(PY) benchmarks/cost.py

$(STAMP): pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install -e '.[dev]'
	touch $@
