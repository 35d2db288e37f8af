# Check for the stop tests; to be sourced after scripts/measure.sh.
# shellcheck shell=bash

# check_executions FILE: every request in the load generator's report was
# answered with 200 and run exactly once by the executors
check_executions() {
    local url
    for url in $(sed -n 's|^EXECUTOR_[0-9]*=||p' "$cluster/env"); do
        curl -fsS "$url/standin/stats"
    done | python3 -c '
import json, sys
load = json.load(open(sys.argv[1]))
stats = [json.loads(line) for line in sys.stdin.read().replace("}{", "}\n{").splitlines()]
runs = {}
for one in stats:
    for name, count in one["executions"].items():
        runs[name] = runs.get(name, 0) + count
assert load["status_200"] == load["sent"], load
assert len(runs) == load["sent"], (len(runs), load["sent"])
assert max(runs.values()) == 1, "a request was run twice"
' "$1"
}
