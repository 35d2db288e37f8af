#!/usr/bin/env bash
# Guards against tickets that are lost or accepted a second time when the log no
# longer keeps their records: the coordinator must write snapshots in time, and
# readers that start later or were frozen must reach the same state.
. "$(dirname "$0")/session.bash"
cluster=$work/cluster
export BUILD_DIR=$build
stop_cluster() {
    kill -CONT "$(cat "$cluster/pids/agent-3")" 2>/dev/null || true
    scripts/localcluster down "$cluster" >/dev/null || true
    clean_up
}
trap stop_cluster EXIT
scripts/localcluster up "$cluster" --entries 1 --agents 3 --keep 40 >/dev/null
address_of() { sed -n "s#^$1=http://##p" "$cluster/env"; }
log=$(address_of LOG)
ctl() { "$build/teaselctl" --log "$log" --entry "$(address_of ENTRY_1)" "$@"; }
in_force() { ctl show | grep -A1 "^service/previews " | tr -d '\n'; }

expect 0 apply "$(make_ticket 1 '"team/first": {"weight": 7}')" --wait
kill -STOP "$(cat "$cluster/pids/agent-3")"
# Writes four times as many records as the log keeps. A snapshot is due after each
# 20 records, because the one before ends in the older half of the kept records.
count_snapshots() {
    curl -fsS -m 5 "http://$log/standin/stats" |
        sed -nE 's/.*"config\.snapshots": *\{[^}]*"appends": *([0-9]+).*/\1/p'
}
has_more_snapshots() { [ "$(count_snapshots)" -gt "$1" ]; }
snapshots=0
for ((number = 2; number <= 160; number++)); do
    expect 0 apply "$(make_ticket "$number" "$(slots previews $((number % 8 + 1)))")"
    if [ "$number" -ge 60 ] && [ $((number % 20)) = 0 ]; then
        wait_until has_more_snapshots "$snapshots"
        snapshots=$(count_snapshots)
    fi
done
[ "$(count_records)" -le 40 ] || fail "the log keeps $(count_records) records"

# A reader that starts now has ticket 1, whose record is trimmed.
expect 0 show
grep -q '^team/first (ticket 1)' "$work/out" || fail "ticket 1 is lost: $(cat "$work/out")"
[ "$(in_force)" = 'service/previews (ticket 160)  slots: 1' ] || fail "in force: $(in_force)"
expect 0 apply "$work/ticket-1.json"
grep -q 'accepted before at offset 1' "$work/out" || fail "ticket 1: $(cat "$work/out")"
expect 1 apply "$(make_ticket 1 '"team/first": {"weight": 8}')"
expect 1 apply "$(make_ticket 100 "$(slots previews 2)")"

# A reader that was frozen before the second ticket gets all tickets.
kill -CONT "$(cat "$cluster/pids/agent-3")"
expect 0 apply "$(make_ticket 161 "$(slots previews 3)")" --wait
grep -q 'in force on 4 of 4' "$work/out" || fail "$(cat "$work/out")"

# The audit of the remaining records agrees with the state of the readers.
expect 0 audit --object ticket/161
grep -q accepted "$work/out" || fail "audit: $(cat "$work/out")"
