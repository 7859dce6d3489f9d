#!/usr/bin/env bash
# Gathers the libraries and the packages that a daemon runs in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if [ ! -e "$deps/.installed" ] || [ deploy/requirements.txt -nt "$deps/.installed" ]; then
  python3 -m pip install -q -U --target "$deps" -r deploy/requirements.txt
  touch "$deps/.installed"
fi
for package in wire telemetry notes settings protocol decisions gateway; do
  rm -rf "$deps/cassiahead_$package"
  cp -R "packages/$package/src/cassiahead_$package" "$deps/"
done
rm -rf "$deps/cassiahead_platform"
cp -R platform/src/cassiahead_platform "$deps/"
python3 -m compileall -q "$deps"
