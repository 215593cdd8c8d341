#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs of the standard library: this checks
# that they compile. The program under test is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py */scenario.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
