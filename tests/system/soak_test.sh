#!/usr/bin/env bash
# Guards against cancelled jobs that run on, lost, doubled or refused jobs that run, and processes that end by themselves, amid random faults.
set -e
cd "$(dirname "$0")/../.."
python3 -m unittest discover --start-directory tests/soak --pattern '*_test.py'
keep=${TMPDIR:-/tmp}/teasel-soak-$$
python3 tests/soak/soak.py --seed 6 --runs 2 --seconds 18 --keep "$keep" || {
    code=$?
    echo "logs: $keep"
    exit $code
}
echo passed
