#!/bin/sh
# Builds the stand-ins of the review's scripts: plain Python of the standard library.
cd "$(dirname "$0")" && exec python3 -m compileall -q lib */case.py
