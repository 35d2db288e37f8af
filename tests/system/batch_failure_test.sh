#!/usr/bin/env bash
# Guards against lost, repeated or overlapping runs of batch jobs when the
# coordinator, an agent or a worker is killed or frozen at different steps.
set -euo pipefail
. "$(dirname "$0")/batch.bash"
start_batch_cluster
wait_until 20 has_coordinator

round=0
# next_round PAUSE: submits the jobs of the next round and waits PAUSE seconds
next_round() {
    round=$((round + 1))
    submit_jobs "r$round" 8 3000
    sleep "$1"
}
# finish_round TEXT: waits until the jobs of the round are done, checks their runs
finish_round() {
    local begin
    begin=$(now_ms)
    await_jobs "r$round" 8
    echo "$1: all done after $(($(now_ms) - begin)) ms"
    check_runs
}

for pause in 0 0.4; do
    next_round $pause
    victim=$(coordinator)
    cluster_do stop "$victim" KILL
    cluster_do start "$victim"
    finish_round "coordinator $victim killed after $pause s"
done

next_round 0.4
victim=$(coordinator)
cluster_do stop "$victim" KILL
finish_round "coordinator $victim killed and not restarted"
cluster_do start "$victim"

# Prints the number of an agent that runs a task and is not the coordinator.
find_busy_agent() {
    local i agent current
    current=$(coordinator)
    for i in $(seq 8); do
        agent=$(job_field "r$round-$i" worker)
        if job_is "r$round-$i" running && [ "$agent" != "$current" ]; then
            echo "${agent#agent-}"
            return
        fi
    done
    return 1
}

next_round 0.4
wait_until 30 find_busy_agent
victim=$(find_busy_agent)
cluster_do stop "agent-$victim" KILL
cluster_do start "agent-$victim"
finish_round "agent-$victim killed"

next_round 0.4
wait_until 30 find_busy_agent
victim=$(find_busy_agent)
save_stats "worker-$victim"
cluster_do stop "worker-$victim" KILL
cluster_do start "worker-$victim"
finish_round "worker-$victim killed"

next_round 0.4
pid=$(pid_of "$(coordinator)")
kill -STOP "$pid"
sleep 6
kill -CONT "$pid"
finish_round "coordinator frozen for 6 s"

next_round 0.4
wait_until 30 find_busy_agent
victim=$(find_busy_agent)
pid=$(pid_of "agent-$victim")
kill -STOP "$pid"
sleep 6
kill -CONT "$pid"
finish_round "agent-$victim frozen for 6 s"
