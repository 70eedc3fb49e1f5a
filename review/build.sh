#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they need the standard library and what
# the build line of the deploy file puts under target/deps, nothing else.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPATH=../target/deps python3 -m compileall -q lib [1-5]
