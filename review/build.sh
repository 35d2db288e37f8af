#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs without
# other packages, so the build only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py [0-9]/*.py <<'P'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
P
