#!/usr/bin/env bash
# Prepares the stand-ins of review/4 to review/8. They are Python programs without dependencies, so that nothing has to be
# compiled; this checks that they can be. The sidecar itself is built by the command in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'EOF'
import ast, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed, as in Debian 12")
for path in ["rig2.py", "rig3.py", *(f"{number}/case.py" for number in range(4, 9))]:
    with open(path) as file:
        ast.parse(file.read(), path)
EOF
