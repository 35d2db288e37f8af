#!/usr/bin/env bash
# Guards against a planned stop of an agent that cuts off, refuses or repeats
# a request, while all agents are restarted one after the other under load.
set -euo pipefail
. "$(dirname "$0")/../../scripts/measure.sh"
start_cluster --agents 3 --entries 2 --no-workers
result=$(mktemp)

# 30% of 3 executors with 8 slots at 10 ms; the queues absorb a slow machine.
"$build/loadgen" --targets "$(urls ENTRY)" --path /svc/previews/x \
    --method POST --rate 720 --seconds 8 --service-ms 10 \
    --timeout-ms 10000 --name stop- >"$result" &
load=$!
sleep 1
for i in 1 2 3; do
    "$root/scripts/localcluster" stop "$cluster" "agent-$i"
    "$root/scripts/localcluster" start "$cluster" "agent-$i"
done
wait "$load"
cat "$result"
for i in 1 2 3; do
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
