#!/usr/bin/env bash
# Restarts each agent, the coordinator included, while batch jobs run that use
# more memory than they declare. Guards against a planned stop that does not hand
# over the tasks of the agent, against effects that are lost or published twice,
# and against workers that get more tasks than their capacity permits.
set -euo pipefail
. "$(dirname "$0")/../../scripts/measure.sh"
start_cluster --agents 3 --entries 1 --agent-set lease_ms=5000 \
    --agent-set claim_silence_ms=1000
jobs=24

coordinator() {
    curl -fsS -m 2 "$ENTRY_1/admin/jobs" | tr ',{}' '\n' |
        sed -n 's/^"coordinator": *"\(.*\)"/\1/p'
}
has_coordinator() { [ -n "$(coordinator)" ]; }
submit() {
    curl -fsS -m 10 -o /dev/null -X PUT "$ENTRY_1/jobs/$1" -d '{"team": "t",
        "class": "c", "cpu_milli": 4000, "memory_mb": 8000, "run_ms": 2500,
        "true_memory_mb": 12000, "checkpoint_ms": 100}'
}
effects() { sum_stat WORKER effects; }
are_published() { [ "$(effects)" -ge "$jobs" ]; }

wait_until 20 has_coordinator
for i in $(seq "$jobs"); do
    wait_until 20 submit "handover-$i"
done
for i in 1 2 3; do
    "$root/scripts/localcluster" stop "$cluster" "agent-$i"
    "$root/scripts/localcluster" start "$cluster" "agent-$i"
done
wait_until 120 are_published || echo "not all of the $jobs jobs published their effects within 120 s"
sleep 1
for i in 1 2 3; do
    url="WORKER_$i"
    curl -fsS "${!url}/standin/stats"
done | python3 -c '
import json, sys
text = sys.stdin.read()
decoder, position, effects, stops = json.JSONDecoder(), 0, {}, 0
while text[position:].strip():
    stats, position = decoder.raw_decode(text, position)
    print({key: value for key, value in stats.items() if key != "tasks"})
    assert stats["max_cpu_milli"] <= 32000 and stats["max_memory_mb"] <= 125000
    for task in stats["tasks"]:
        effects[task["job_id"]] = effects.get(task["job_id"], 0) + task["effects"]
        stops += task["stops"]
print(len(effects), "jobs,", stops, "handed over")
assert len(effects) == int(sys.argv[1]), effects
assert set(effects.values()) == {1}, effects
assert stops > 0, "no task was handed over"
' "$jobs"
if grep -H '"event_name":"stop-unfinished"' "$cluster"/logs/agent-*.log; then
    exit 1
fi
