# Functions for the tests with the protocol of the platform; to be sourced. Start
# the stand-ins for its store and executors, schedulers and node agents.
# shellcheck source=tests/system/session.bash
. "$(dirname "${BASH_SOURCE[0]}")/session.bash"
store=$(address 600)

start_store() {
    "$build/platformd" --listen "$store" 2>"$work/store.log" &
    pids+=($!)
    wait_until answers "http://$store/standin/stats"
}

# put_config VERSION: writes a configuration, as the operator does
put_config() {
    put_record config '{"Version":'$1',"Routes":[{"Name":"q","Host":"host.example","PathPrefix":"/q/","Service":"work","MaxAttempts":3,"Priority":0,"TargetLatencyMs":300,"SlackFactor":2.0}]}'
}

# put_record KEY VALUE: writes a record of the operator; an empty value removes
# the key
put_record() {
    python3 - "$1" "$2" >"$work/record" <<'P'
import struct, sys
key = sys.argv[1].encode()
record = bytes([len(key)]) + key + sys.argv[2].encode()
sys.stdout.buffer.write(struct.pack(">I", len(record)) + record)
P
    curl -fsS -m 5 -o /dev/null --data-binary "@$work/record" \
        "http://$store/api/log-append?Topic=keyed.op&part=0"
}

scheduler_http() { address $((610 + $1)); }
scheduler_ready() { address $((620 + $1)); }
scheduler_pids=()

# start_scheduler N
start_scheduler() {
    cat >"$work/scheduler$1.json" <<S
{
    // Settings of scheduler $1.
    "name": "s$1",
    "data_centre": "dc",
    "peer_address": "$(address $((630 + $1)))",
    "http_listen": "$(scheduler_http "$1")",
    "ready_listen": "$(scheduler_ready "$1")",
    "metrics_listen": "$(address $((640 + $1)))",
    "store_address": "$store",
    "lease_ms": 3000
}
S
    "$build/teasel-scheduler" --config "$work/scheduler$1.json" \
        >>"$work/scheduler$1.log" 2>&1 &
    scheduler_pids[$1]=$!
    pids+=($!)
}

is_ready() { answers "http://$(scheduler_ready "$1")/api/readyz"; }

task_address() { address $((660 + $1)); }

# start_node N: starts a node agent and its executor
start_node() {
    cat >"$work/node$1.json" <<S
{
    "name": "n$1",
    "data_centre": "dc",
    "control_listen": "$(address $((650 + $1)))",
    "metrics_listen": "$(address $((670 + $1)))",
    "store_address": "$store"
}
S
    "$build/teasel-node" --config "$work/node$1.json" \
        >>"$work/node$1.log" 2>&1 &
    pids+=($!)
    "$build/taskd" --listen "$(task_address "$1")" \
        --node "$(address $((650 + $1)))" --id "i-$1" 2>"$work/task$1.log" &
    pids+=($!)
    wait_until answers "http://$(task_address "$1")/standin/stats"
}

# call N METHOD PATH [BODY]: calls scheduler N; prints the status and the body
call() {
    curl -sS -m 5 -w '%{http_code} ' -o "$work/body" -X "$2" \
        -H 'Host: host.example' ${4:+-d "$4"} \
        "http://$(scheduler_http "$1")$3" 2>/dev/null || printf '000 '
    cat "$work/body" 2>/dev/null
    rm -f "$work/body"
}

# has_state N ID STATE: checks the state of a job, as scheduler N reports it
has_state() { call "$1" GET "/q/$2" | grep -q "\"State\":\"$3\""; }

# accept N ID BODY: repeats a submission until it is accepted
is_accepted() { [ "$(call "$1" POST "/q/$2" "$3" | cut -c1-3)" = 200 ]; }
accept() { wait_until is_accepted "$@"; }

# count_starts TASK: prints the number of starts on all executors
count_starts() {
    local total=0 count n
    for n in 0 1; do
        count=$(curl -fsS -m 5 "http://$(task_address $n)/standin/stats" |
            sed -nE "s/.*\"$1\": *([0-9]+).*/\1/p" | head -1)
        total=$((total + ${count:-0}))
    done
    echo "$total"
}
