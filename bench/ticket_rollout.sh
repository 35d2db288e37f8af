#!/usr/bin/env bash
# Measures the time from the submission of a ticket until it is in force on all of
# 3 entries and 11 agents. Prints Markdown. The time starts when teaselctl creates
# the record, so it includes the append, and ends with event 5001 of the last
# process (resolution 1 ms).
set -euo pipefail
. "$(dirname "$0")/../scripts/measure.sh"
tickets=${TICKETS:-200}
rate=${RATE:-2600} # 60% of 11 executors with 8 slots and 20 ms
number=0

ctl() {
    local log=${LOG#http://} entry
    local -a entries=()
    for entry in "$ENTRY_1" "$ENTRY_2" "$ENTRY_3"; do
        entries+=(--entry "${entry#http://}")
    done
    "$build/teaselctl" --log "$log" "${entries[@]}" "$@"
}

make_ticket() {
    number=$((number + 1))
    printf '{"ticket": %d, "author": "bench", "reason": "bench", "objects":
        {"service/previews": {"slots": 8, "queue": %d}}}' \
        "$number" $((64 + number % 2)) >"$cluster/ticket.json"
}

apply_tickets() {
    local i
    for ((i = 0; i < $1; i++)); do
        make_ticket
        ctl apply "$cluster/ticket.json" >/dev/null
    done
}

# Prints "NUMBER MS" for each ticket: the time of its record in ms of the day
tickets_written() {
    ctl audit --kind ticket --json | tr -d ' "\n' |
        grep -oE 'wall_ms:[0-9]+|ticket/[0-9]+' |
        sed -E 's/wall_ms:([0-9]+)/\1/; s#ticket/##' | paste -d' ' - - |
        awk '{print $2, $1 % 86400000}'
}

# Prints "NUMBER MS" for each ticket and process: the time at which the ticket was
# in force, in ms of the day
tickets_in_force() {
    sed -nE 's/^[^T]*T([0-9:.]+)Z INFO 5001 .* ticket=([0-9]+) .*/\2 \1/p' \
        "$cluster"/logs/{entry,agent}-*.log |
        awk '{split($2, t, ":"); printf "%d %d\n", $1,
              (t[1] * 3600 + t[2] * 60) * 1000 + t[3] * 1000 + 0.5}'
}

# report NAME FIRST LAST PROCESSES: prints a row for the tickets FIRST to LAST
# that are in force on at least PROCESSES processes; names the others on standard
# error
report() {
    { tickets_written | sed 's/^/w /'; tickets_in_force | sed 's/^/f /'; } |
        awk -v first="$2" -v last="$3" -v want="$4" '
            $2 < first || $2 > last {next}
            $1 == "w" {from[$2] = $3}
            $1 == "f" {seen[$2]++; d = $3 - from[$2]; if (d > worst[$2]) worst[$2] = d}
            END {for (n in from) if (seen[n] >= want) print worst[n] + 0;
                 else print "ticket " n " in force on " seen[n] + 0 " of " want " processes" >"/dev/stderr"}' |
        sort -g | awk -v name="$1" '{v[NR] = $1} END {
            printf "| %s | %d | %d | %d | %d |\n", name, NR, v[int((NR + 1) / 2)],
                v[int(NR * 0.99 + 0.999)], v[NR]}'
}

describe_machine
echo
echo '| | tickets in force everywhere | p50 ms | p99 ms | max ms |'
echo '|---|---|---|---|---|'
start_cluster --entries 3 --agents 11 --service-ms 20
apply_tickets "$tickets"
report idle 1 "$tickets" 14

load --targets "$(urls ENTRY)" --path /svc/previews/x --rate "$rate" \
    --seconds $((tickets / 5)) --seed 1 --timeout-ms 5000 \
    --header 'Teasel-Timeout-Ms: 1000' >"$cluster/load.json" &
load_pid=$!
sleep 2
first=$((number + 1))
rounds=0
while kill -0 "$load_pid" 2>/dev/null && [ "$rounds" -lt "$tickets" ]; do
    apply_tickets 1
    rounds=$((rounds + 1))
    sleep 0.05
done
wait "$load_pid"
report "$rate requests/s" "$first" "$number" 14
fault "$LOG" '{"delay_ms": 100}'
first=$((number + 1))
apply_tickets $((tickets / 4))
fault "$LOG" '{"delay_ms": 0}'
report 'idle, answers of the log delayed by 100 ms' "$first" "$number" 14
echo
echo "Load: $(tr -d '\n' <"$cluster/load.json" | cut -c1-400)"
echo

frozen=$(pid_of agent-5)
kill -STOP "$frozen"
first=$((number + 1))
apply_tickets 20
make_ticket
echo 'With agent-5 stopped by SIGSTOP:'
echo
echo '```'
ctl --timeout 3000 apply "$cluster/ticket.json" --wait || echo "exit $?"
echo '```'
echo
echo '| | tickets in force everywhere | p50 ms | p99 ms | max ms |'
echo '|---|---|---|---|---|'
report 'on the other 13 processes' "$first" "$number" 13
kill -CONT "$frozen"
resumed=$(date +%s%3N)
ctl apply "$cluster/ticket.json" --wait | tail -1
echo
echo "agent-5 had all $((number - first + 1)) tickets in force within" \
    "$(($(date +%s%3N) - resumed)) ms after SIGCONT."
stop_cluster
