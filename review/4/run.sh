#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.."
PYTHONPATH=target/standins-2 exec python3 review/4/run.py
