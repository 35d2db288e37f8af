#!/usr/bin/env bash
# Guards against a request that is run twice, or reported as not run although
# it was, when an agent is killed, an agent is frozen for longer than its
# connections last, or an executor closes connections without an answer.
set -euo pipefail
. "$(dirname "$0")/../../scripts/measure.sh"
start_cluster --agents 2 --entries 2 --no-workers
result=$(mktemp)

"$build/loadgen" --targets "$(urls ENTRY)" --path /svc/previews/x \
    --method POST --rate 600 --seconds 10 --service-ms 10 \
    --timeout-ms 5000 --name failure- >"$result" &
load=$!
sleep 1
"$root/scripts/localcluster" stop "$cluster" agent-1 KILL
"$root/scripts/localcluster" start "$cluster" agent-1
sleep 1
kill -STOP "$(cat "$cluster/pids/agent-2")"
sleep 3
kill -CONT "$(cat "$cluster/pids/agent-2")"
fault "$EXECUTOR_1" '{"drop_answers": 5}'
sleep 1
fault "$EXECUTOR_2" '{"refuse_ms": 500}'
wait "$load"
cat "$result"
grep -q '"event_name":"agent-frozen"' "$cluster/logs/agent-2.log"
for i in 1 2; do
    url="EXECUTOR_$i"
    curl -fsS "${!url}/standin/stats"
done | python3 -c '
import json, sys
load = json.load(open(sys.argv[1]))
stats = [json.loads(line) for line in sys.stdin.read().replace("}{", "}\n{").splitlines()]
runs = {}
for one in stats:
    assert one["max_running"] <= 8 and one["max_connections"] <= 64
    for name, count in one["executions"].items():
        runs[name] = runs.get(name, 0) + count
assert max(runs.values()) == 1, "a request was run twice"
assert load["unanswered"] == 0, load
assert load["status_200"] > 0, load
# Every request that was run is answered or reported as possibly run.
assert len(runs) <= load["sent"] - load["executed_no"], load
' "$result"
rm -f "$result"
