#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Those of these cases are in
# Python, so that only their modules are checked. The programs under test are
# those of the build of the deploy file, under target/.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'P'
import ast
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("the cases need Python 3.11 or later")
for path in glob.glob("review/standins-3/*.py") + glob.glob(
        "review/1[1-5]/*.py") + glob.glob("tests/soak/*.py"):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
P
for program in teasel-scheduler teasel-node; do
    [ -x "target/$program" ] || {
        echo "target/$program is missing: run the build of the deploy file" >&2
        exit 1
    }
done
