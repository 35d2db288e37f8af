#!/usr/bin/env bash
# Guards against a planned stop of an agent that cuts off, refuses or repeats
# a request, while all agents are restarted one after the other under load.
set -euo pipefail
. "$(dirname "$0")/../../scripts/measure.sh"
. "$(dirname "$0")/executions.bash"
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
check_executions "$result"
rm -f "$result"
