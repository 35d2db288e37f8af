#!/usr/bin/env bash
# Restarts all entries one after the other under load. Guards against a planned
# stop that aborts, refuses or repeats a request.
set -euo pipefail
. "$(dirname "$0")/../../scripts/measure.sh"
. "$(dirname "$0")/executions.bash"
start_cluster --agents 3 --entries 3 --no-workers \
    --entry-set leave_delay_ms=500
result=$(mktemp)

# The load is 60% of the capacity of 3 executors with 8 slots at 10 ms; on a slow
# machine the requests queue.
"$build/loadgen" --targets "$(urls ENTRY)" --path /svc/previews/x \
    --method POST --rate 1440 --seconds 12 --service-ms 10 --health-ms 50 \
    --timeout-ms 10000 --name stop- >"$result" &
load=$!
sleep 1
for i in 1 2 3; do
    "$root/scripts/localcluster" stop "$cluster" "entry-$i"
    "$root/scripts/localcluster" start "$cluster" "entry-$i"
    url="ENTRY_$i"
    until curl -fsS -o /dev/null "${!url}/healthz" 2>/dev/null; do
        sleep 0.05
    done
    # Lets the health probes of the load generator find the entry as well.
    sleep 0.5
done
wait "$load"
cat "$result"
check_executions "$result"
rm -f "$result"
