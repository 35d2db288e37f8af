#!/usr/bin/env bash
# Guards against accepted jobs that are lost when the log is unavailable for longer
# than a lease, answers of the log are lost, appends are duplicated, the record of
# the submission is trimmed, or all processes are killed at once.
set -euo pipefail
. "$(dirname "$0")/batch.bash"
start_batch_cluster
wait_until 20 has_coordinator

submit_jobs a 8
sleep 0.4
victim=$(coordinator)
fault "$LOG" '{"outage": true}'
cluster_do stop "$victim" KILL
[ "$(put_job refused)" = 503 ]
sleep 5
fault "$LOG" '{"outage": false}'
cluster_do start "$victim"
await_jobs a 8
echo 'log unavailable for 5 s, coordinator killed meanwhile: all done'
check_runs

fault "$LOG" '{"drop_append_answers": 5, "double_appends": 5}'
for i in 1 2 3 4 5 6 7 8; do
    status=$(put_job "b-$i")
    [ "$status" = 201 ] || [ "$status" = 200 ]
done
fault "$LOG" '{"drop_append_answers": 5, "double_appends": 5}'
await_jobs b 8
echo 'answers of appends lost and appends duplicated: all done'
check_runs

submit_jobs c 6
for n in 1 2 3; do
    save_stats "worker-$n"
done
names=(entry-1 agent-1 agent-2 agent-3 worker-1 worker-2 worker-3)
for name in "${names[@]}"; do
    kill -KILL "$(pid_of "$name")"
done
for name in "${names[@]}"; do
    cluster_do stop "$name" KILL
    cluster_do start "$name"
done
wait_until 20 curl -fsS -m 1 "$ENTRY_1/healthz"
await_jobs c 6
echo 'all processes killed after the submissions were accepted: all done'
check_runs

# The record of the submission of d-1 is trimmed while the job still runs.
fault "$LOG" '{"keep": 30}'
submit_jobs d 1 4000
for i in $(seq 40); do
    submit_jobs "e$i" 1 50
done
# Prints the offset of the oldest record that the log keeps of cell 0.
get_first_offset() {
    curl -fsS -m 5 "$LOG/standin/stats" | grep -o '"cell-0": {[^}]*' |
        grep -o '"first": [0-9]*' | tr -dc 0-9
}
offset=$(job_field d-1 submit_offset)
[ "$(get_first_offset)" -gt "$offset" ]
cluster_do stop entry-1 KILL
cluster_do start entry-1
victim=$(coordinator || true)
cluster_do stop "${victim:-agent-1}" KILL
cluster_do start "${victim:-agent-1}"
wait_until 20 curl -fsS -m 1 "$ENTRY_1/healthz"
# The entry answers 503 until it has read the stream of the cell.
is_repeat_accepted() { [ "$(put_job d-1 4000)" = 200 ]; }
wait_until 20 is_repeat_accepted || { tail -n 20 "$cluster"/logs/*.log; exit 1; }
await_jobs d 1
await_jobs e40 1
echo 'submission trimmed: job still found and done'
check_runs
