#!/usr/bin/env bash
# Guards against reporting a ticket as in force on a process that has not read
# it, and against requests that fail because limits were reduced or an agent was
# drained.
. "$(dirname "$0")/session.bash"
cluster=$work/cluster
export BUILD_DIR=$build
stop_cluster() {
    resume agent-2
    resume entry-2
    scripts/localcluster down "$cluster" >/dev/null || true
    clean_up
}
trap stop_cluster EXIT

pid_of() { cat "$cluster/pids/$1"; }
freeze() { kill -STOP "$(pid_of "$1")"; }
resume() { kill -CONT "$(pid_of "$1")" 2>/dev/null || true; }

scripts/localcluster up "$cluster" --entries 2 --agents 3 --service-ms 3000 >/dev/null
address_of() { sed -n "s#^$1=http://##p" "$cluster/env"; }
log=$(address_of LOG)
ctl() {
    "$build/teaselctl" --log "$log" --entry "$(address_of ENTRY_1)" "$@"
}
# teaselctl gets the address of entry-2 from entry-1.
entry_2_known() {
    curl -fsS "http://$(address_of ENTRY_1)/admin/config" | grep -q entry-2
}
wait_until entry_2_known

title in force on all processes
run apply examples/ticket.json --wait
run show
run --json members
run --json apply "$(make_ticket 202612040002 "$(slots previews 8)")" --wait

title limits reduced below the number of running requests
send() { curl -sS -m 60 -o /dev/null -w '%{http_code}\n' "http://$(address_of ENTRY_1)/svc/previews/x"; }
jobs=()
for ((i = 0; i < 8; i++)); do
    send >"$work/answer-$i" &
    jobs+=($!)
done
all_run() {
    local i running=0
    for i in 1 2 3; do
        running=$((running + $(curl -fsS -m 5 "http://$(address_of EXECUTOR_$i)/standin/stats" |
            sed -E 's/.*"running": *([0-9]+).*/\1/')))
    done
    [ "$running" = 8 ]
}
wait_until all_run
run apply "$(make_ticket 202612040003 "$(slots previews 1)")" --wait
wait "${jobs[@]}"
echo "answers: $(sort "$work"/answer-* | uniq -c | sed 's/^ *//')" >>"$session"

title a drain
total_of() {
    curl -fsS -m 5 "http://$(address_of "$1")/standin/stats" |
        sed -E 's/.*"total": *([0-9]+).*/\1/'
}
# agent-1 has had the longest response times so far, so requests are routed to
# it only because the other agents are drained.
drained_total() { echo $(($(total_of EXECUTOR_2) + $(total_of EXECUTOR_3))); }
before=$(drained_total)
run drain agent-2 --author kofi --reason 'new fan' --wait
run drain agent-3 --author kofi --reason 'new fan' --wait
run members
echo "answer: $(send), requests at drained executors: $(($(drained_total) - before))" >>"$session"
run drain agent-2 --off --author kofi --wait
run drain agent-3 --off --author kofi --wait
echo "answer: $(send), requests at these executors: $(($(drained_total) - before))" >>"$session"

title jobs
sed 's/"run_ms": [0-9]*/"run_ms": 600000/' examples/job.json >"$work/long.json"
sed 's/"cpu_milli": [0-9]*/"cpu_milli": -1/' examples/job.json >"$work/bad.json"
run jobs submit long "$work/long.json" --author ama
run jobs submit long "$work/long.json"
run jobs submit long examples/job.json
run jobs submit bad "$work/bad.json"
run jobs show other
run jobs cancel other
has_state() { ctl jobs show long | grep -q "^state: $1$"; }
wait_until has_state running
run jobs cancel long --author kofi
wait_until has_state cancelled
run jobs
run jobs show long
run audit --object long

title a frozen agent is reported as lagging
freeze agent-2
agent_2_is_lost() { ctl members | grep -q '^agent-2 .* lost$'; }
wait_until agent_2_is_lost
run --timeout 2000 apply "$(make_ticket 202612040004 "$(slots previews 4)")" --wait
run show
resume agent-2
run apply "$work/ticket-202612040004.json" --wait

title a frozen entry is reported as lagging, and catches up
freeze entry-2
run --timeout 2000 apply "$(make_ticket 202612040005 "$(slots previews 5)")" --wait
resume entry-2
run apply "$work/ticket-202612040005.json" --wait

title the log is unavailable
fault '{"outage": true}'
run --timeout 1000 show
fault '{"outage": false}'
all_usable() { [ "$(ctl members | grep -c ' usable$')" = 3 ]; }
wait_until all_usable
run members

compare_golden teaselctl_cluster.txt
