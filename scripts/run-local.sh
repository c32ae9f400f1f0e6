#!/usr/bin/env bash
# Starts platform, 3 engines, KV store, application and 2 routers as separate processes, streams
# through both routers, kills an engine and a router in mid-stream and checks every stream.
set -euo pipefail
cd "$(dirname "$0")/.."
make .venv/.installed
exec .venv/bin/python -m pytest tests/test_processes.py -v "$@"
