#!/usr/bin/env bash
# Guards against a planned stop of an agent that cuts off, refuses or repeats
# a request, while all agents are restarted one after the other under load.
set -euo pipefail
. "$(dirname "$0")/../../scripts/measure.sh"
start_cluster --agents 6 --entries 2 --no-workers
result=$(mktemp)

# 60% of 6 executors with 8 slots at 20 ms; 72% of those that remain.
"$build/loadgen" --targets "$(urls ENTRY)" --path /svc/previews/x \
    --method POST --rate 1440 --seconds 14 --service-ms 20 \
    --timeout-ms 10000 --name stop- >"$result" &
load=$!
sleep 1
for i in 1 2 3 4 5 6; do
    "$root/scripts/localcluster" stop "$cluster" "agent-$i"
    "$root/scripts/localcluster" start "$cluster" "agent-$i"
done
wait "$load"
cat "$result"
for i in 1 2 3 4 5 6; do
    url="EXECUTOR_$i"
    curl -fsS "${!url}/standin/stats"
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
' "$result"
rm -f "$result"
