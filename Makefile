# Entry points for newcomers and CI. Both targets install locked dependencies into .venv first.
PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: demo test check format lock clean soak soak-short

$(STAMP): requirements.lock pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.lock
	$(VENV)/bin/pip install -q --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/milletcourse demo $(if $(SERVE),--serve)

check: $(STAMP)
	$(VENV)/bin/ruff format --check src tests scripts
	$(VENV)/bin/ruff check src tests scripts
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports --no-logo

test: check
	PYTHONHASHSEED=0 $(VENV)/bin/python -m pytest -n 6 --ignore=tests/crowds
	PYTHONHASHSEED=0 $(VENV)/bin/python -m pytest -n 0 tests/crowds

format: $(STAMP)
	$(VENV)/bin/ruff format src tests
	$(VENV)/bin/ruff check --fix src tests

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache

# Real gateway processes under faults from outside; fresh seeds each time.
soak: $(STAMP)
	$(VENV)/bin/python tests/soak/run.py $(if $(SEEDS),--seeds $(SEEDS)) --seconds $(or $(SECONDS),20)

# The same with fixed seeds, and planned work alone, for CI: about five minutes.
soak-short: $(STAMP)
	$(VENV)/bin/python tests/soak/run.py --seeds 1:3 --seconds 12
	$(VENV)/bin/python tests/soak/run.py --seeds 4:4 --seconds 15 --limits
	$(VENV)/bin/python tests/soak/run.py --seeds 5:5 --seconds 12 --large
	$(VENV)/bin/python tests/soak/run.py --seeds 6:6 --seconds 12 --cuts
	$(VENV)/bin/python tests/soak/resumption.py --seeds 1:2 --seconds 10
	$(VENV)/bin/python tests/soak/brittle.py --seeds 1:1 --seconds 14 & calm=$$!; \
	$(VENV)/bin/python tests/soak/brittle.py --seeds 2:2 --seconds 14 --rejections 1 --kills \
		&& wait $$calm
	$(VENV)/bin/python tests/soak/crashing_parts.py --seeds 1:1 --seconds 10
	$(VENV)/bin/python tests/soak/isolation.py --seeds 1:1 --seconds 12
	$(VENV)/bin/python tests/soak/abusive_clients.py --seeds 1:4 --seconds 8
	$(VENV)/bin/python tests/soak/late_answers.py --seeds 4:4 --seconds 12
	$(VENV)/bin/python tests/soak/skewed_connections.py --seeds 1:2 --seconds 5
	$(VENV)/bin/python tests/soak/revocation.py --seeds 1:1 --killed 4
	$(VENV)/bin/python tests/soak/revocation.py --seeds 2:2 --heard 0
	$(VENV)/bin/python tests/soak/revocation.py --seeds 3:3 --killed 2 --nothing-lost --written-again -1
	$(VENV)/bin/python tests/soak/planned.py --seeds 1:1 --seconds 15 --at-a-time 3
	$(VENV)/bin/python tests/soak/planned.py --seeds 2:2 --seconds 15 --resting 0.3 --leaving 0.3
	$(VENV)/bin/python tests/soak/planned.py --seeds 3:3 --seconds 20 --copies
