# Functions of the teaselctl tests: run commands, record them in a session file
# and compare it with a golden file. UPDATE_GOLDEN=1 rewrites the golden file.
set -euo pipefail
build=${BUILD_DIR:-build}
base_port=${TEST_PORT_BASE:-20000}
work=$(mktemp -d)
session=$work/session.txt
pids=()

address() { echo "127.0.0.1:$((base_port + $1))"; }

fail() {
    echo "FAILED: $*" >&2
    exit 1
}

clean_up() {
    local pid
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap clean_up EXIT

# wait_until COMMAND...: polls a condition for at most 30 s
wait_until() {
    local end=$((SECONDS + 30))
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || fail "timeout: $*"
        sleep 0.05
    done
}

answers() { curl -fsS -m 2 -o /dev/null "$1"; }

start_log() {
    "$build/logd" --listen "$log" 2>"$work/logd.log" &
    pids+=($!)
    wait_until answers "http://$log/standin/stats"
}

# fault JSON: enables or disables faults of the log
fault() { curl -fsS -m 5 -o /dev/null -d "$1" "http://$log/standin/fault"; }

# count_records: prints the number of records in stream config
count_records() {
    curl -fsS -m 5 "http://$log/standin/stats" |
        sed -E 's/.*"config": *\{[^}]*"records": *([0-9]+).*/\1/'
}

has_records() { [ "$(count_records)" -ge "$1" ]; }

ctl() { "$build/teaselctl" --log "$log" "$@"; }

# mask: replaces what differs between runs: ports, times, the directory of the
# test and the worker that a job was assigned to
mask() {
    sed -E -e "s#$work/##g" -e "s#127\.0\.0\.1:[0-9]+#ADDRESS#g" \
        -e 's/[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}Z/TIME/g' \
        -e 's/"(wall_ms|waited_ms|report_age_ms|incarnation|service_time_us)":[0-9]+/"\1":0/' \
        -e 's/after [0-9]+ ms/after N ms/; s/within [0-9]+ ms/within N ms/' \
        -e 's/ [0-9]+ us +/ N us  /; s/ [0-9]+ ms +/ N ms  /; s/AGE +STATE/AGE  STATE/' \
        -e 's/on worker agent-[0-9]+/on worker AGENT/; s/long,agent-[0-9]+/long,AGENT/' \
        -e 's/submit_offset: [0-9]+/submit_offset: N/; s/body at offset [0-9]+/body at offset N/' \
        -e 's/^worker: agent-[0-9]+/worker: AGENT/; s/(cancelled +1 +)agent-[0-9]+/\1AGENT/' \
        -e 's/TIME +agent-[0-9]+ /TIME  AGENT /'
}

# run ARGS...: runs teaselctl and records its output and exit code
run() {
    local code=0
    echo "\$ teaselctl $*" | mask >>"$session"
    ctl "$@" >"$work/out" 2>&1 || code=$?
    mask <"$work/out" >>"$session"
    echo "exit $code" >>"$session"
}

title() { printf '\n# %s\n\n' "$*" >>"$session"; }

# expect CODE ARGS...: runs teaselctl without recording; fails on another exit
# code
expect() {
    local want=$1 code=0
    shift
    ctl "$@" >"$work/out" 2>&1 || code=$?
    [ "$code" = "$want" ] ||
        fail "teaselctl $*: exit $code, expected $want: $(cat "$work/out")"
}

# make_ticket NUMBER OBJECTS [AUTHOR [NAME]]: writes a ticket file, prints its
# path
make_ticket() {
    local file=$work/${4:-ticket-$1}.json
    printf '{"ticket": %s, "author": "%s", "reason": "test", "objects": {%s}}\n' \
        "$1" "${3:-ama}" "$2" >"$file"
    echo "$file"
}

slots() { echo "\"service/$1\": {\"slots\": $2}"; }

compare_golden() {
    local golden=tests/golden/$1
    if [ -n "${UPDATE_GOLDEN:-}" ]; then
        cp "$session" "$golden"
    fi
    diff -u "$golden" "$session" || fail "the session differs from $golden"
}
