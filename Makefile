VENV ?= .venv
PY := $(VENV)/bin/python
PACKAGES := packages/bulrushgrade packages/bulrushgrade_daemon \
	packages/bulrushgrade_standins packages/bulrushgrade_cli platform

.PHONY: demo test lint format long soak

$(VENV)/.ready: requirements.lock $(addsuffix /pyproject.toml,$(PACKAGES))
	python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.lock
	$(PY) -m pip install -q --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $@

demo: $(VENV)/.ready  ## run the whole system on embedded stand-ins
	$(PY) -m bulrushgrade_cli demo

test: $(VENV)/.ready  ## run every test
	$(PY) -m pytest -n 4 --dist loadfile

lint: $(VENV)/.ready  ## check formatting and lint rules
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .

format: $(VENV)/.ready  ## format in place
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

long: $(VENV)/.ready  ## run the state machines longer; prints its seed
	@seed=$${SEED:-$$(date +%s)}; echo "hypothesis seed: $$seed"; \
	HYPOTHESIS_PROFILE=long $(PY) -m pytest -k machine -n 4 --hypothesis-seed=$$seed

soak: $(VENV)/.ready  ## harm gateways at random; SEED and SECONDS may be set
	$(PY) platform/tests/soak.py --seed $${SEED:-1} --seconds $${SECONDS:-60}
