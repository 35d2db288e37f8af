#!/usr/bin/env bash
# Tests the programs in the cases of reviews and reports, side by side: restarts
# and losses for which tasks once ran twice or never. A case that does not
# exercise its disruption fails, too.
# shellcheck source=tests/system/session.bash
. "$(dirname "$0")/session.bash"
# Each is the name of a case, with its variant behind a colon.
cases=(start_after_restart late_start_after_agent_restart
    start_lost_with_agent gang_member_lost_before_end calls_to_a_former_life
    cut_off_leader:planned cut_off_leader:planned_in_two
    cut_off_leader:store_away)
ports_per_case=250 # PORTS_PER_CASE in tests/soak/cases/case.py
limit_s=95

# start_case N: starts a case with the Nth range of ports
start_case() {
    local name=${cases[$1]}
    local variant=()
    [[ $name = *:* ]] && variant=("${name#*:}")
    mkdir "$work/$name"
    RECORD_DIR=$work/$name PYTHONDONTWRITEBYTECODE=1 \
        TEST_PORT_BASE=$((base_port + $1 * ports_per_case)) \
        timeout -k 10 $limit_s python3 "tests/soak/cases/${name%:*}.py" \
        "${variant[@]}" \
        >"$work/$name/output" 2>&1 &
    pids+=($!)
}

# report_case NAME CODE: prints the result of a case, and all that helps to
# explain a failure
report_case() {
    case $2 in
    0) echo "$1: passed" ;;
    10) echo "$1: FAILED, the rule was broken" ;;
    124) echo "$1: FAILED, not finished after $limit_s s" ;;
    *) echo "$1: FAILED, did not run or exercise its disruption ($2)" ;;
    esac
    sed 's/^/    /' "$work/$1/output"
    if [ "$2" != 0 ] && [ -f "$work/$1/record.txt" ]; then
        echo "    end of the record:"
        tail -n 60 "$work/$1/record.txt" | sed 's/^/    /'
    fi
}

for n in "${!cases[@]}"; do start_case "$n"; done
failed=0
for n in "${!cases[@]}"; do
    code=0
    wait "${pids[$n]}" || code=$?
    report_case "${cases[$n]}" $code
    [ $code = 0 ] || failed=$((failed + 1))
done
[ $failed = 0 ] || fail "$failed of ${#cases[@]} cases"
echo passed
