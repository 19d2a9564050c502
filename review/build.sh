#!/usr/bin/env bash
# Compiles the stand-ins of the scripts, which use the standard library only. The
# project's own programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins review/[0-9]/case.py
