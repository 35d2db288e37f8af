#!/usr/bin/env bash
# Guards against a planned stop of an agent that cuts off, refuses or repeats
# a request, while all agents are restarted one after the other under load.
set -euo pipefail
. "$(dirname "$0")/../../scripts/measure.sh"
. "$(dirname "$0")/executions.bash"
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
check_executions "$result"
rm -f "$result"
