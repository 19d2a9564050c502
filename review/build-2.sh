#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: plain Python, compiled to target/standins-2.
# No stand-in of the project itself is used.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/standins-2
mkdir -p target/standins-2
cp review/standins-2/*.py target/standins-2/
python3 -m compileall -q target/standins-2
