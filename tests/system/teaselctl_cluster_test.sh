#!/usr/bin/env bash
# Guards against operators being told that a ticket is in force on a process
# that has not read it, and against a change of limits or a drain that cuts
# requests off.
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
# entry-2 is found from entry-1.
entry_2_known() {
    curl -fsS "http://$(address_of ENTRY_1)/admin/config" | grep -q entry-2
}
wait_until entry_2_known

title in force on all processes
run apply examples/ticket.json --wait
run show
run --json members
run --json apply "$(make_ticket 202612040002 "$(slots previews 8)")" --wait

title limits shrink below what runs
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
run drain agent-3 --author kofi --reason 'new fan' --wait
run members
run drain agent-3 --off --author kofi --wait

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

title a frozen agent is told as lagging
freeze agent-2
lost() { ctl members | grep -q '^agent-2 .* lost$'; }
wait_until lost
run --timeout 2000 apply "$(make_ticket 202612040004 "$(slots previews 4)")" --wait
run show
resume agent-2
run apply "$work/ticket-202612040004.json" --wait

title a frozen entry is told as lagging, and catches up
freeze entry-2
run --timeout 2000 apply "$(make_ticket 202612040005 "$(slots previews 5)")" --wait
resume entry-2
run apply "$work/ticket-202612040005.json" --wait

title the log is down
fault '{"outage": true}'
run --timeout 1000 show
fault '{"outage": false}'
all_usable() { [ "$(ctl members | grep -c ' usable$')" = 3 ]; }
wait_until all_usable
run members

compare_golden teaselctl_cluster.txt
