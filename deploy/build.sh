#!/usr/bin/env bash
# Puts what a router needs under target/deps, compiled: the tree is read-only when
# it runs, and compiling at each start would cost half a second.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=target/deps/.requirements
if ! cmp --silent deploy/requirements.txt "$stamp"; then
	python3 -m pip install --quiet --disable-pip-version-check --no-deps --upgrade \
		--target target/deps --requirement deploy/requirements.txt
	cp deploy/requirements.txt "$stamp"
fi
rm -rf target/deps/ibisport_fleet target/deps/ibisport_platform
cp -r packages/fleet/src/ibisport_fleet platform/src/ibisport_platform target/deps/
python3 -m compileall -q target/deps
