#!/usr/bin/env bash
# Tests the programs with the platform's published protocol: a job that any
# scheduler accepts runs once, despite the loss of the leader, an outage of the
# store, lost answers, a SIGHUP and planned stops.
# shellcheck source=tests/system/platform.bash
. "$(dirname "$0")/platform.bash"

two_steps='{"Spec":"text","Phases":[{"Count":3,"Cpu":500,"MemMb":64,"EstimatedMs":200},{"Count":2,"Cpu":500,"MemMb":64,"After":[0]}]}'

start_store
put_config 1
for n in 0 1 2; do start_scheduler $n; done
for n in 0 1; do start_node $n; done
for n in 0 1 2; do wait_until is_ready $n; done

# Guards against jobs that do not run, and against a second job with the same id.
id=00000000000000a1
accept 0 $id "$two_steps"
accept 1 $id "$two_steps"
wait_until has_state 2 $id completed
for task in 0.0.0 0.0.1 0.0.2 0.1.0 0.1.1; do
    [ "$(count_starts "$id.$task")" = 1 ] || fail "$task did not run once"
done

# Guards against HTTP statuses and bodies that differ from the published
# interface.
[ "$(call 0 GET /q/00000000000000ff | cut -c1-3)" = 410 ] || fail 'unknown job: status is not 410'
[ "$(call 0 GET /none/00000000000000a1 | cut -c1-3)" = 404 ] || fail 'unknown route: status is not 404'
[ "$(call 0 GET /q/)" = '200 {"Pending":0}' ] || fail "pending jobs: $(call 0 GET /q/)"
[ "$(call 0 POST /q/00000000000000b1 'no json' | cut -c1-3)" = 400 ] ||
    fail 'body is not JSON: status is not 400'

# Guards against jobs that are lost, or tasks that run twice, when the leader
# is killed with tasks running.
for n in 0 1; do
    curl -fsS -o /dev/null -d '{"work_ms":1500}' \
        "http://$(task_address $n)/standin/fault"
done
id=00000000000000a2
accept 0 $id "$two_steps"
leader=$(grep -l '"event":7004,' "$work"/scheduler?.log | tail -1 |
    sed -E 's/.*scheduler([0-9])\.log/\1/')
kill -9 "${scheduler_pids[$leader]}"
other=$(((leader + 1) % 3))
wait_until has_state $other $id completed
for task in 0.0.0 0.0.1 0.0.2 0.1.0 0.1.1; do
    [ "$(count_starts "$id.$task")" = 1 ] ||
        fail "$task of $id ran $(count_starts "$id.$task") times"
done
start_scheduler "$leader"
wait_until is_ready "$leader"

# Guards against a job that is lost in an outage of the store, and against
# refusals without a Retry-After header.
id=00000000000000a3
accept $other $id "$two_steps"
curl -fsS -o /dev/null -d '{"refuse":1}' "http://$store/standin/fault"
tries=0
refused() {
    tries=$((tries + 1))
    curl -sS -m 5 -D - -o /dev/null -X POST -H 'Host: host.example' \
        -d "$two_steps" \
        "http://$(scheduler_http $other)/q/$(printf 'c%015d' $tries)" |
        tr -d '\r' | grep -qi '^retry-after: [1-9]'
}
wait_until refused
curl -fsS -o /dev/null -d '{"refuse":0}' "http://$store/standin/fault"
wait_until has_state $other $id completed
for task in 0.0.0 0.0.1 0.0.2 0.1.0 0.1.1; do
    [ "$(count_starts "$id.$task")" = 1 ] || fail "$task of $id"
done

# Guards against a task that runs twice because the answer to its start is lost.
for n in 0 1; do
    curl -fsS -o /dev/null -d '{"drop_answers":2,"work_ms":300}' \
        "http://$(task_address $n)/standin/fault"
done
id=00000000000000a4
accept $other $id "$two_steps"
wait_until has_state $other $id completed
for task in 0.0.0 0.0.1 0.0.2 0.1.0 0.1.1; do
    [ "$(count_starts "$id.$task")" = 1 ] || fail "$task of $id"
done

# Guards against a SIGHUP that ends the process, and against invalid settings
# that are applied.
cp "$work/scheduler$other.json" "$work/good.json"
kill -HUP "${scheduler_pids[$other]}"
wait_until grep -q '"event":9004,' "$work/scheduler$other.log"
echo '{"name": 3}' >"$work/scheduler$other.json"
kill -HUP "${scheduler_pids[$other]}"
wait_until grep -q '"event":9005,' "$work/scheduler$other.log"
is_ready $other || fail 'not ready after SIGHUP'
cp "$work/good.json" "$work/scheduler$other.json"

# Guards against a new version of the configuration that is not applied.
put_config 2
wait_until grep -q '"version":2,' "$work/scheduler$other.log"

# Guards against an evacuation that the programs do not follow, and against one
# that they do not end.
put_record evacuate/dc '{}'
for n in 0 1 2; do wait_until grep -q '"event":7030,' "$work/scheduler$n.log"; done
for n in 0 1; do wait_until grep -q '"event":8017,' "$work/node$n.log"; done
id=00000000000000a5
accept $other $id "$two_steps"
sleep 1
[ "$(count_starts "$id.0.0.0")" = 0 ] || fail "$id runs in an evacuated data centre"
put_record evacuate/dc ''
wait_until has_state $other $id completed

# Guards against planned stops that never complete.
for n in 0 1 2; do kill -TERM "${scheduler_pids[$n]}"; done
for n in 0 1 2; do
    wait "${scheduler_pids[$n]}" || fail "scheduler $n: exit code $?"
done
echo passed
