#!/usr/bin/env bash
# The stand-ins of the second review use Python's standard library alone, so
# that nothing is installed: this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q -f standins_2.py 6 7 8 9 10
