#!/usr/bin/env bash
# Guards against reporting success to two operators that apply conflicting
# tickets at once, and against a state in force that differs from the highest
# accepted ticket.
. "$(dirname "$0")/session.bash"
log=$(address 41)
start_log
# The delay lets every teaselctl read the log before any of the new records can
# be read, so that none can detect the conflict before its append.
fault '{"delay_ms": 300}'
operators=8

# apply_all FILE...: applies all files at once; prints the exit codes, sorted
apply_all() {
    local file i=0 jobs=()
    for file in "$@"; do
        i=$((i + 1))
        ctl apply "$file" >"$work/out-$i" 2>&1 && echo 0 >"$work/code-$i" ||
            echo $? >"$work/code-$i" &
        jobs+=($!)
    done
    wait "${jobs[@]}"
    cat "$work"/code-* | sort | tr -d '\n'
}

# in_force OBJECT: prints "TICKET SLOTS"
in_force() {
    ctl show | sed -nE "/^service\/$1 /{s/.*ticket ([0-9]+)\)/\1/;N;s/\n *slots://;p}"
}

# The same number with different bodies: exactly one is accepted.
files=()
for ((i = 1; i <= operators; i++)); do
    files+=("$(make_ticket 50 "$(slots same "$i")" "operator-$i" "same-$i")")
done
codes=$(apply_all "${files[@]}")
[ "$codes" = 01111111 ] || fail "same number: exit codes $codes"
winner=$(grep -l accepted "$work"/out-* | sed 's/.*-//')
[ "$(in_force same)" = "50 $winner" ] ||
    fail "operator $winner got \"accepted\", in force: $(in_force same)"
for ((i = 1; i <= operators; i++)); do
    [ "$i" = "$winner" ] || grep -q "taken by another ticket of \"operator-$winner\"" \
        "$work/out-$i" || fail "operator $i got no refusal that names the winner: $(cat "$work/out-$i")"
done

# The same ticket from several operators: accepted for all of them.
rm "$work"/out-* "$work"/code-*
file=$(make_ticket 60 "$(slots equal 3)")
codes=$(apply_all "$file" "$file" "$file" "$file")
[ "$codes" = 0000 ] || fail "same ticket: exit codes $codes"

# Overlapping objects: the highest number is in force, and each lower ticket is
# either accepted with all its objects or refused with all of them.
rm "$work"/out-* "$work"/code-*
files=()
for ((i = 1; i <= operators; i++)); do
    files+=("$(make_ticket $((70 + i)) "$(slots shared "$i"), $(slots "own-$i" "$i")" \
        "operator-$i")")
done
apply_all "${files[@]}" >/dev/null
highest=$((70 + operators))
[ "$(in_force shared)" = "$highest $operators" ] ||
    fail "overlap: in force $(in_force shared)"
for ((i = 1; i <= operators; i++)); do
    own=$(in_force "own-$i")
    if grep -q accepted "$work/out-$i"; then
        [ "$own" = "$((70 + i)) $i" ] || fail "ticket $((70 + i)) was accepted, in force: $own"
    else
        [ -z "$own" ] || fail "ticket $((70 + i)) was refused, in force: $own"
    fi
done
