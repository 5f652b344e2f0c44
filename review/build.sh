#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are Python and only compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q lib ./[0-9]
