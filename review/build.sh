#!/usr/bin/env bash
# Builds the stand-ins, which need only the standard library of Python 3.11.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins.py [0-9]*/case.py
